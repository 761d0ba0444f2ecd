"""python -m birchstack.keeper FILE: one keeper, by the file."""

import asyncio
import signal
import sys
from pathlib import Path

from birchstack.keeper.config import KeeperError, load
from birchstack.keeper.process import serve
from birchstack.keeper.tables import StoreError
from birchstack.net import log
from birchstack.net.machine import Machine


def main(path: str) -> int:
    try:
        told = load(path)
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
        log.configure()
        asyncio.run(serve(told, Machine(), str(Path(told.store).absolute().parent)))
    except (KeeperError, StoreError) as problem:
        print(f"birchstack: keeper: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    if len(sys.argv) != 2:
        print("birchstack: keeper: one file is wanted", file=sys.stderr)
        sys.exit(2)
    sys.exit(main(sys.argv[1]))
