"""python -m birchstack: one real sender, by the configuration that BALANCER_CONFIG names."""

import asyncio
import dataclasses
import gc
import os
import signal
import sys

from birchstack import backlog
from birchstack.net import log
from birchstack.net.audit import MakeAuditLog
from birchstack.net.config import Config, ConfigError, load
from birchstack.net.machine import Machine
from birchstack.net.overflow import Make as MakeStore
from birchstack.net.sender import Node


def _audit_log(config: Config) -> tuple[Config, MakeAuditLog | None]:
    """Whoever keeps the record, where operators switched it on; what it needs is imported only then."""
    path = os.environ.get("BALANCER_FLEET")
    if not path:
        return config, None
    try:
        from birchstack.fleet import audit_log, settings
    except ModuleNotFoundError as problem:
        raise ConfigError(f"BALANCER_FLEET: {problem.name} is missing (the extra `fleet`)") from problem
    told = settings.load(path)
    return settings.room_for(told, config), audit_log.maker(told)


def _store(config: Config) -> tuple[Config, MakeStore | None]:
    """What keeps long lines of documents on disk, where operators switched it on; it takes descriptors."""
    path = os.environ.get("BALANCER_BACKLOG")
    if not path:
        if backlog.contains_documents(os.listdir(config.state)):
            raise ConfigError(f"BALANCER_BACKLOG: not set, but documents wait in a backlog in {config.state}")
        return config, None
    try:
        from birchstack.backlog import maker, settings
    except ModuleNotFoundError as problem:
        raise ConfigError(f"BALANCER_BACKLOG: {problem.name} is missing (the extra `backlog`)") from problem
    sockets = min(config.sockets, Machine().descriptors()) - maker.DESCRIPTORS
    if sockets < 64:
        raise ConfigError(f"limits.sockets: the backlog needs {maker.DESCRIPTORS}, which leaves {sockets}")
    return dataclasses.replace(config, sockets=sockets), maker.store_factory(settings.load(path))


async def _serve(config: Config, audit: MakeAuditLog | None, store: MakeStore | None) -> None:
    node = Node(config, asyncio.get_running_loop(), audit=audit, store=store)
    await node.start()
    gc.collect()
    gc.freeze()  # what a start leaves behind is never garbage
    await node.ended


def main() -> int:
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])  # until it has its handler
    log.start()
    try:
        config, audit = _audit_log(load())
        config, store = _store(config)
    except ConfigError as problem:
        print(f"birchstack: configuration: {problem}", file=sys.stderr)
        return 2
    asyncio.run(_serve(config, audit, store))
    return 0


if __name__ == "__main__":
    sys.exit(main())
