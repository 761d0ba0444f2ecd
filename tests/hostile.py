"""Hostile clients in a process of their own: python tests/hostile.py KIND PORT COUNT SECONDS.

COUNT connections act at once until the time is over; each connects again when it was closed.
"""

import asyncio
import contextlib
import itertools
import sys
from collections.abc import Callable

from fake import post

CHUNKED = (
    b"POST /sync HTTP/1.1\r\nHost: api\r\nRequest-Id: c1\r\nRequest-Timeout-Ms: 5000\r\n"
    b"Transfer-Encoding: chunked\r\nX-Consignee: dest=1\r\n\r\n"
)
MANY_FIELDS = b"GET /up HTTP/1.1\r\nHost: a\r\n" + b"".join(b"%x:\r\n" % number for number in range(2400))
READ_BYTES = 1 << 16
BYTE_INTERVAL_S = 0.05

# Sent once, then the client stays silent
STOPPING = {
    "half a body": lambda number: post(f"x{number}", body=b"x" * 65536)[:-9],
    "half a body in tiny chunks": lambda number: CHUNKED + b"2\r\nab\r\n" * 32000,
    "half a body behind many fields": lambda number: (
        MANY_FIELDS + b"Content-Length: 60000\r\n\r\n" + b"x" * 59000
    ),
    "half a head of many fields": lambda number: MANY_FIELDS,
}
# Sent a byte at a time
TRICKLING = {"a byte at a time": lambda number: post(f"x{number}", body=b"x" * 65536)}
# Sent over and over
SENDING = {
    "readiness checks": lambda number: b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n" * 200,
    "tiny chunks": lambda number: CHUNKED + b"1\r\na\r\n" * 65000 + b"0\r\n\r\n",
    "many fields": lambda number: MANY_FIELDS + b"\r\n",
    "unsound heads": lambda number: b"\x00" * 8000,
    "unknown types": lambda number: post(f"x{number}", f"type{number}"),
    "new names": lambda number: post(
        f"{number:0128d}", dest=1, more=f"Cookie: thread=k{number}\r\nTenant: t{number}\r\n"
    ),
}


async def stop_half_way(writer: asyncio.StreamWriter, request: Callable[[int], bytes], number: int) -> None:
    """Sends a request that is never complete."""
    with contextlib.suppress(OSError):
        writer.write(request(number))
        await writer.drain()


async def trickle(writer: asyncio.StreamWriter, request: Callable[[int], bytes], number: int) -> None:
    """Sends a request a byte at a time."""
    with contextlib.suppress(OSError):
        for byte in request(number):
            writer.write(bytes((byte,)))
            await writer.drain()
            await asyncio.sleep(BYTE_INTERVAL_S)


async def send_on(writer: asyncio.StreamWriter, request: Callable[[int], bytes], number: int) -> None:
    """Sends requests as fast as they are taken."""
    with contextlib.suppress(OSError):
        while not writer.is_closing():
            writer.write(request(next(numbers)))
            await writer.drain()
            await asyncio.sleep(0)


async def act(kind: str, port: int, number: int) -> None:
    """Acts as one client."""
    ways = ((stop_half_way, STOPPING), (trickle, TRICKLING), (send_on, SENDING))
    send, request = next((way, kinds[kind]) for way, kinds in ways if kind in kinds)
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            sending = asyncio.create_task(send(writer, request, number))
            while await reader.read(READ_BYTES):
                pass
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            writer.transport.abort()
        await asyncio.sleep(0.0)


async def main(kind: str, port: str, count: str, seconds: str) -> None:
    """Acts as all clients until the time is over."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(float(seconds)):
            await asyncio.gather(*(act(kind, int(port), number) for number in range(int(count))))


numbers = itertools.count()
if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
