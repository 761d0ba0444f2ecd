"""The one seam between the sender and the machine it runs on: clocks, files, signals, the listening socket.

Owns every call to the operating system that is not asyncio's own. Must never decide, remember a document or
look into bytes. The emulator puts another machine in its place; the code above this file cannot tell.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import fcntl
import os
import select
import signal
import socket
import time
from collections.abc import Callable

ACCEPTED, BACKLOG = 16, 1024            # so many in one pass at most; so many wait for that in the kernel
BOOT = "/proc/sys/kernel/random/boot_id"
ANCHOR = "clock"                        # the file that ties the lasting clock to the wall clock


class Folder:
    """The folder that lasts, by names. Every method raises OSError as the system does."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._locks: dict[str, int] = {}

    def lock(self, name: str) -> bool:
        """True if this process holds the lock of that name from now until it ends; False while another does.
        Where the system has no such locks, every process holds it, as if it were alone."""
        if name in self._locks:
            return True
        handle = os.open(self._at(name), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as problem:
            if problem.errno in (errno.EWOULDBLOCK, errno.EAGAIN):
                os.close(handle)
                return False
        self._locks[name] = handle      # the lock ends with the process, however it ends
        return True

    def unlock(self, name: str) -> None:
        """Gives a lock back that this process holds, and removes its file: no other may come to need it."""
        os.close(self._locks.pop(name))
        self.unlink(name)

    def _at(self, name: str) -> str:
        return os.path.join(self._path, name)

    def names(self) -> list[str]:
        return os.listdir(self._path)

    def read(self, name: str) -> bytes:
        with open(self._at(name), "rb") as file:
            return file.read()

    def write(self, name: str, data: bytes) -> None:
        """A whole file. Part of it may be there after an error."""
        with open(self._at(name), "wb") as file:
            file.write(data)

    def open(self, name: str, fresh: bool = False) -> int:
        """For append(); fresh: emptied first."""
        mode = os.O_WRONLY | os.O_CREAT | os.O_APPEND | (os.O_TRUNC if fresh else 0)
        return os.open(self._at(name), mode, 0o600)

    def append(self, handle: int, data: bytes) -> int:
        """How many bytes were written: fewer where the disk is full."""
        return os.write(handle, data)

    def close(self, handle: int) -> None:
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        os.rename(self._at(old), self._at(new))

    def unlink(self, name: str) -> None:
        os.unlink(self._at(name))


class Machine:
    """This machine, by the standard library."""

    def wall_ms(self) -> float:
        """Unix time; may step at any moment."""
        return time.time() * 1000.0

    def steady_ms(self) -> float:
        """Time since the machine started; never steps, and is one for all processes."""
        return time.monotonic() * 1000.0

    def boot(self) -> str:
        """Names this run of the machine; empty where nothing names it."""
        try:
            with open(BOOT, encoding="ascii") as file:
                return file.read().strip()
        except OSError:
            return ""

    def unique(self) -> str:
        """A name that nothing else has, on any machine."""
        return os.urandom(8).hex()

    def folder(self, path: str) -> Folder:
        return Folder(path)

    async def listen(self, loop: asyncio.AbstractEventLoop, where: tuple[str, int],
                     protocol: Callable[[], asyncio.BufferedProtocol], shared: bool = True) -> asyncio.Server:
        """shared: another process of this sender may listen at the same address (SO_REUSEPORT)."""
        family = socket.AF_INET6 if ":" in where[0] else socket.AF_INET
        door = socket.create_server(where, backlog=BACKLOG, family=family, reuse_port=shared)
        server = await loop.create_server(protocol, sock=door, backlog=ACCEPTED)
        door.listen(BACKLOG)            # asyncio has one figure for both
        return server

    def knocked(self, server: asyncio.Server) -> bool:
        """True if somebody waits to be let in."""
        return bool(select.select(server.sockets, [], [], 0.0)[0])

    def on_signals(self, loop: asyncio.AbstractEventLoop, end: Callable[[], None],
                   reload: Callable[[], None]) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, end)
        loop.add_signal_handler(signal.SIGHUP, reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])     # one that came before is heard now


class LastingClock:
    """Milliseconds that outlast the process and do not step while the machine stays up.

    The first process writes down which run of the machine it saw, and how far the wall clock was ahead of the
    steady one. Each later process of the same run goes on with that difference, whatever was done to the wall
    clock since; otherwise a step back would keep documents past their expiry after a restart, and one forward
    would end them early. After a start of the machine the wall clock counts again.
    """

    def __init__(self, machine: Machine, folder: Folder) -> None:
        self._machine, boot = machine, machine.boot()
        self._ahead_ms = machine.wall_ms() - machine.steady_ms()
        try:
            written, ahead = folder.read(ANCHOR).decode("ascii").split()
            if boot and written == boot:
                self._ahead_ms = float(ahead)
                return
        except (OSError, ValueError):
            pass                        # the first process here, or the file was cut off: as if the first
        with contextlib.suppress(OSError):
            folder.write(ANCHOR, f"{boot or '-'} {self._ahead_ms!r}\n".encode("ascii"))

    def ms(self) -> float:
        return self._machine.steady_ms() + self._ahead_ms
