"""python -m birchstack: runs one sender, configured by the file that BALANCER_CONFIG names."""

# isort: off
from birchstack.net import no_openssl  # noqa: F401

# isort: on
import asyncio
import dataclasses
import gc
import os
import signal
import sys

from birchstack import backlog
from birchstack.net import log
from birchstack.net.audit import AuditLogFactory
from birchstack.net.config import Config, ConfigError, load
from birchstack.net.machine import Machine
from birchstack.net.overflow import StoreFactory
from birchstack.net.sender import Node


def _configure_log() -> None:
    """Configures the log; BALANCER_LOG_LEVEL may ask for more (debug) or fewer lines than usual."""
    level = os.environ.get("BALANCER_LOG_LEVEL", "info")
    try:
        log.configure(level.upper())
    except ValueError as problem:
        raise ConfigError(f"BALANCER_LOG_LEVEL: no such level: {level!r}") from problem


def _audit_log(config: Config) -> tuple[Config, AuditLogFactory | None]:
    """Loads the audit log if BALANCER_FLEET enables it, and reserves its share of the configured limits.

    Its dependencies are optional (the extra `fleet`), so they are imported only then.
    """
    path = os.environ.get("BALANCER_FLEET")
    if not path:
        return config, None
    try:
        from birchstack.fleet import audit_log, settings
    except ModuleNotFoundError as problem:
        raise ConfigError(f"BALANCER_FLEET: {problem.name} is missing (the extra `fleet`)") from problem
    fleet = settings.load(path)
    return settings.reserve_trail_space(fleet, config), audit_log.audit_log_factory(fleet)


def _store(config: Config) -> tuple[Config, StoreFactory | None]:
    """Loads the backlog on disk if BALANCER_BACKLOG enables it, and reserves its file descriptors."""
    path = os.environ.get("BALANCER_BACKLOG")
    if not path:
        if backlog.contains_documents(os.listdir(config.state)):
            raise ConfigError(f"BALANCER_BACKLOG: not set, but documents wait in a backlog in {config.state}")
        return config, None
    try:
        from birchstack.backlog import maker, settings
    except ModuleNotFoundError as problem:
        raise ConfigError(f"BALANCER_BACKLOG: {problem.name} is missing (the extra `backlog`)") from problem
    sockets = min(config.sockets, Machine().max_descriptors()) - maker.DESCRIPTORS
    if sockets < 64:
        raise ConfigError(f"limits.sockets: the backlog needs {maker.DESCRIPTORS}, which leaves {sockets}")
    return dataclasses.replace(config, sockets=sockets), maker.store_factory(settings.load(path))


async def _serve(config: Config, audit: AuditLogFactory | None, store: StoreFactory | None) -> None:
    node = Node(config, asyncio.get_running_loop(), audit=audit, store=store)
    await node.start()
    gc.collect()
    gc.freeze()  # objects created at the start live as long as the process: the collector skips them
    await node.ended


def main() -> int:
    """Runs the sender until it is told to end. Returns the exit status: 2 if the configuration is wrong."""
    # Blocked until the event loop handles it: its default action would end the process
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
    try:
        _configure_log()
        config, audit = _audit_log(load())
        config, store = _store(config)
    except ConfigError as problem:
        print(f"birchstack: configuration: {problem}", file=sys.stderr)
        return 2
    asyncio.run(_serve(config, audit, store))
    return 0


if __name__ == "__main__":
    sys.exit(main())
