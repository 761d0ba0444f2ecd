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
import resource
import select
import signal
import socket
import sys
import time
from collections.abc import Callable

ACCEPTED, BACKLOG = 16, 1024  # so many are let in at once; so many wait for that in the kernel
SHORT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
PAUSE_S = 0.1  # nobody is let in for so long once descriptors ran out
BOOT = "/proc/sys/kernel/random/boot_id"
ANCHOR = "clock"  # the file that ties the lasting clock to the wall clock


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
        self._locks[name] = handle  # the lock ends with the process, however it ends
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

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """A part of a file; fewer bytes where it ends."""
        handle = os.open(self._at(name), os.O_RDONLY)
        try:
            return os.pread(handle, size, offset)
        finally:
            os.close(handle)

    def size(self, name: str) -> int:
        return os.stat(self._at(name)).st_size

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


class Listener:
    """A listening socket and the clients that it lets in.

    asyncio's own server takes descriptors by the pass, before anyone knows of the clients that they went to,
    and where none is left it logs each attempt and lets nobody in for a second. Here so many are on their way
    in at once and no more, the others wait in the kernel; where none is left, short() may close something and
    accepting rests for PAUSE_S. May hurt: a burst comes in over more passes."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        door: socket.socket,
        protocol: Callable[[], asyncio.BufferedProtocol],
        at_once: int,
        short: Callable[[], None],
    ) -> None:
        door.setblocking(False)
        self._loop, self._door, self._protocol, self._short = loop, door, protocol, short
        self._at_once = at_once
        self._coming: set[asyncio.Task] = set()  # let in; their owners do not know of them yet
        self.sockets: tuple[socket.socket, ...] = (door,)
        self._begin()

    def is_serving(self) -> bool:
        return bool(self.sockets)

    def close(self) -> None:
        """Listens no more; who was let in stays."""
        if self.sockets:
            self.sockets = ()
            self._loop.remove_reader(self._door)
            self._door.close()

    def _begin(self) -> None:
        if self.sockets:
            self._loop.add_reader(self._door, self._accept)

    def _accept(self) -> None:
        while len(self._coming) < self._at_once:
            try:
                client, _ = self._door.accept()
            except ConnectionAbortedError:
                continue
            except (BlockingIOError, InterruptedError):
                return
            except OSError as problem:
                if problem.errno not in SHORT:
                    raise
                self._loop.remove_reader(self._door)
                self._loop.call_later(PAUSE_S, self._begin)
                self._short()
                return
            task = self._loop.create_task(self._let_in(client))
            self._coming.add(task)
            task.add_done_callback(self._coming.discard)

    async def _let_in(self, client: socket.socket) -> None:
        with contextlib.suppress(OSError):  # gone again already
            await self._loop.connect_accepted_socket(self._protocol, client)


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

    def descriptors(self) -> int:
        """How many files and sockets the system lets the process have open."""
        most = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        return sys.maxsize if most == resource.RLIM_INFINITY else most

    async def listen(
        self,
        loop: asyncio.AbstractEventLoop,
        where: tuple[str, int],
        protocol: Callable[[], asyncio.BufferedProtocol],
        shared: bool = True,
        at_once: int = ACCEPTED,
        short: Callable[[], None] = lambda: None,
    ) -> Listener:
        """shared: another process of this sender may listen at the same address (SO_REUSEPORT); at_once: so
        many are on their way in at most; short() hears that no descriptor was left for the next."""
        family = socket.AF_INET6 if ":" in where[0] else socket.AF_INET
        door = socket.create_server(where, backlog=BACKLOG, family=family, reuse_port=shared)
        return Listener(loop, door, protocol, at_once, short)

    def knocked(self, server: Listener) -> bool:
        """True if somebody waits to be let in."""
        return bool(select.select(server.sockets, [], [], 0.0)[0])

    def on_signals(
        self, loop: asyncio.AbstractEventLoop, end: Callable[[], None], reload: Callable[[], None]
    ) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, end)
        loop.add_signal_handler(signal.SIGHUP, reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])  # one that came before is heard now


class LastingClock:
    """Milliseconds that outlast the process and do not step while the machine stays up.

    The first process writes down which run of the machine it saw, and how far the wall clock was ahead of the
    steady one. Each later process of the same run goes on with that difference, whatever was done to the wall
    clock since; otherwise a step back would keep documents past their expiry after a restart, and one forward
    would end them early. After a start of the machine the wall clock counts again.
    """

    def __init__(self, machine: Machine, folder: Folder) -> None:
        self._machine, boot = machine, machine.boot()
        self.kept = False  # whether times of the process before can be compared with this one's
        self._ahead_ms = machine.wall_ms() - machine.steady_ms()
        try:
            written, ahead = folder.read(ANCHOR).decode("ascii").split()
            if boot and written == boot:
                self._ahead_ms, self.kept = float(ahead), True
                return
        except (OSError, ValueError):
            pass  # the first process here, or the file was cut off: as if the first
        with contextlib.suppress(OSError):
            folder.write(ANCHOR, f"{boot or '-'} {self._ahead_ms!r}\n".encode("ascii"))

    def ms(self) -> float:
        return self._machine.steady_ms() + self._ahead_ms
