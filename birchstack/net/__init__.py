"""The sender's runtime on asyncio: sockets, files, timers and signals around the decision core."""
