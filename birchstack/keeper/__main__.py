"""Runs one audit collector: python -m birchstack.keeper FILE, where FILE is its configuration file."""

import asyncio
import signal
import sys
from pathlib import Path

from birchstack.keeper.config import ConfigError, load
from birchstack.keeper.process import run_collector
from birchstack.keeper.tables import StoreError
from birchstack.net import log
from birchstack.net.machine import Machine


def main(path: str) -> int:
    """Runs the collector until it is stopped and returns the process exit status."""
    try:
        config = load(path)
        signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
        log.configure()
        asyncio.run(run_collector(config, Machine(), str(Path(config.store).absolute().parent)))
    except (ConfigError, StoreError) as problem:
        print(f"birchstack: keeper: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    if len(sys.argv) != 2:
        print("birchstack: keeper: expected exactly one argument, the configuration file", file=sys.stderr)
        sys.exit(2)
    sys.exit(main(sys.argv[1]))
