"""python -m birchstack: one real sender, by the configuration that BALANCER_CONFIG names."""

import asyncio
import gc
import signal
import sys

from birchstack.net import log
from birchstack.net.config import Config, ConfigError, load
from birchstack.net.sender import Node


async def _serve(config: Config) -> None:
    node = Node(config, asyncio.get_running_loop())
    await node.start()
    gc.collect()
    gc.freeze()                 # what a start leaves behind is never garbage
    await node.ended


def main() -> int:
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])   # until it has its handler
    log.start()
    try:
        config = load()
    except ConfigError as problem:
        print(f"birchstack: configuration: {problem}", file=sys.stderr)
        return 2
    asyncio.run(_serve(config))
    return 0


if __name__ == "__main__":
    sys.exit(main())
