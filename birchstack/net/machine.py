"""Interface to the operating system: clocks, files, signals and listening sockets.

Owns every system call that asyncio does not make itself. Must never decide, hold documents or interpret data.
The emulator substitutes its own implementation, which behaves alike for the code above this module.
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

DEFAULT_MAX_ACCEPTING = 16  # connections being accepted at once, by default
BACKLOG = 1024  # connections that wait in the kernel to be accepted
EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # no descriptor or memory left
ACCEPT_PAUSE_S = 0.1  # no connection is accepted for this time after descriptors ran out
READ_BYTES = 1 << 20  # read at once from a file of any size
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"
MEMORY_PATH = "/proc/self/statm"  # sizes in pages; the second one is what is resident
CLOCK_FILE = "clock"  # file that stores the persistent clock's offset


class Folder:
    """The state folder, whose files are addressed by name. Methods raise OSError as the system does."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._locks: dict[str, int] = {}

    def lock(self, name: str) -> bool:
        """Takes a lock that lasts until the process ends; returns False while another process holds it.

        On a file system without locks, every process gets the lock, as if it were alone."""
        if name in self._locks:
            return True
        handle = os.open(self._path_of(name), os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as problem:
            if problem.errno in (errno.EWOULDBLOCK, errno.EAGAIN):
                os.close(handle)
                return False
        self._locks[name] = handle  # the system releases the lock when the process ends, however it ends
        return True

    def unlock(self, name: str) -> None:
        """Releases a lock held by this process and removes its file, which no other process may need."""
        os.close(self._locks.pop(name))
        self.unlink(name)

    def _path_of(self, name: str) -> str:
        return os.path.join(self._path, name)

    def names(self) -> list[str]:
        """Returns the names of all files."""
        return os.listdir(self._path)

    def read(self, name: str) -> bytes:
        """Returns a file's content."""
        with open(self._path_of(name), "rb") as file:
            return file.read()

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Returns a part of a file; fewer bytes if the file ends before."""
        handle = os.open(self._path_of(name), os.O_RDONLY)
        try:
            return os.pread(handle, size, offset)
        finally:
            os.close(handle)

    def open_to_read(self, name: str) -> int:
        """Opens a file that another process appends to, for read_from(), and returns its handle."""
        return os.open(self._path_of(name), os.O_RDONLY)

    def read_from(self, handle: int, offset: int) -> bytes:
        """Returns what an opened file holds from an offset to its end."""
        parts = []
        while part := os.pread(handle, READ_BYTES, offset):
            parts.append(part)
            offset += len(part)
        return b"".join(parts)

    def is_replaced(self, handle: int) -> bool:
        """Returns whether an opened file was removed, or replaced by another of its name."""
        return os.fstat(handle).st_nlink == 0

    def size(self, name: str) -> int:
        """Returns a file's size in bytes."""
        return os.stat(self._path_of(name)).st_size

    def write(self, name: str, data: bytes) -> None:
        """Writes a whole file, which may be left incomplete by an error."""
        with open(self._path_of(name), "wb") as file:
            file.write(data)

    def open(self, name: str, fresh: bool = False) -> int:
        """Opens a file for append() and returns its handle; fresh: truncates it first."""
        mode = os.O_WRONLY | os.O_CREAT | os.O_APPEND | (os.O_TRUNC if fresh else 0)
        return os.open(self._path_of(name), mode, 0o600)

    def append(self, handle: int, data: bytes) -> int:
        """Appends data and returns the number of bytes written, fewer than all if the disk is full."""
        return os.write(handle, data)

    def close(self, handle: int) -> None:
        """Closes a handle from open()."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Renames a file atomically, replacing any other of the new name."""
        os.rename(self._path_of(old), self._path_of(new))

    def unlink(self, name: str) -> None:
        """Removes a file."""
        os.unlink(self._path_of(name))


class Listener:
    """A listening socket that bounds how many connections are being accepted at once.

    asyncio's own server accepts a whole backlog in one pass, before the protocols of those connections know
    of them; when descriptors run out it logs each attempt and accepts nothing for a second. Here at most
    `max_accepting` connections are being accepted and the others wait in the kernel; when accepting fails, it
    pauses for ACCEPT_PAUSE_S, and when descriptors ran out, on_exhausted() may close something. Drawback: a
    burst takes more passes of the event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listening: socket.socket,
        protocol: Callable[[], asyncio.BufferedProtocol],
        max_accepting: int,
        on_exhausted: Callable[[], None],
    ) -> None:
        listening.setblocking(False)
        self._loop = loop
        self._socket = listening
        self._protocol = protocol
        self._on_exhausted = on_exhausted
        self._max_accepting = max_accepting
        self._accepting: set[asyncio.Task] = set()  # accepted, but not yet passed to their protocols
        self.sockets: tuple[socket.socket, ...] = (listening,)
        self._resume()

    def is_serving(self) -> bool:
        """Returns whether the socket is open, as asyncio.Server does."""
        return bool(self.sockets)

    def close(self) -> None:
        """Stops listening; accepted connections stay open."""
        if self.sockets:
            self.sockets = ()
            self._loop.remove_reader(self._socket)
            self._socket.close()

    def _resume(self) -> None:
        if self.sockets:
            self._loop.add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        while len(self._accepting) < self._max_accepting:
            try:
                client, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return  # the event loop calls again in its next pass if a connection still waits
            except OSError as problem:
                self._pause(problem)
                return
            task = self._loop.create_task(self._connect(client))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)

    def _pause(self, problem: OSError) -> None:
        """Accepts nothing for ACCEPT_PAUSE_S: any other error would come back in each pass."""
        self._loop.remove_reader(self._socket)
        self._loop.call_later(ACCEPT_PAUSE_S, self._resume)
        if problem.errno in EXHAUSTED:
            self._on_exhausted()

    async def _connect(self, client: socket.socket) -> None:
        with contextlib.suppress(OSError):  # the client has already gone
            await self._loop.connect_accepted_socket(self._protocol, client)


class Machine:
    """The operating system, through the standard library."""

    def wall_ms(self) -> float:
        """Returns Unix time, which may be stepped at any moment."""
        return time.time() * 1000.0

    def steady_ms(self) -> float:
        """Returns the time since the machine started: monotonic, and the same for all processes."""
        return time.monotonic() * 1000.0

    def boot_id(self) -> str:
        """Returns an identifier of the machine's current boot; empty if there is none."""
        try:
            with open(BOOT_ID_PATH, encoding="ascii") as file:
                return file.read().strip()
        except OSError:
            return ""

    def unique_name(self) -> str:
        """Returns a globally unique name of hexadecimal digits."""
        return os.urandom(8).hex()

    def memory_bytes(self) -> int:
        """Returns the memory that the process has resident; 0 if the system does not tell."""
        try:
            with open(MEMORY_PATH, encoding="ascii") as file:
                return int(file.read().split()[1]) * resource.getpagesize()
        except (OSError, ValueError, IndexError):
            return 0

    def folder(self, path: str) -> Folder:
        """Returns the state folder at a path."""
        return Folder(path)

    def max_descriptors(self) -> int:
        """Returns the number of file descriptors that the process may have open."""
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        return sys.maxsize if limit == resource.RLIM_INFINITY else limit

    async def listen(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        protocol: Callable[[], asyncio.BufferedProtocol],
        shared: bool = True,
        max_accepting: int = DEFAULT_MAX_ACCEPTING,
        on_exhausted: Callable[[], None] = lambda: None,
    ) -> Listener:
        """Listens at an address.

        shared: another process of this sender may listen at the same address (SO_REUSEPORT). max_accepting:
        the number of connections being accepted at once. on_exhausted() is called when no descriptor is left
        for the next connection."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listening = socket.create_server(address, backlog=BACKLOG, family=family, reuse_port=shared)
        return Listener(loop, listening, protocol, max_accepting, on_exhausted)

    def has_pending(self, server: Listener) -> bool:
        """Returns whether a connection waits to be accepted."""
        return bool(select.select(server.sockets, [], [], 0.0)[0])

    def on_signals(
        self, loop: asyncio.AbstractEventLoop, end: Callable[[], None], reload: Callable[[], None]
    ) -> None:
        """Calls end() on SIGTERM and SIGINT, and reload() on SIGHUP."""
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, end)
        loop.add_signal_handler(signal.SIGHUP, reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])  # delivers one that is already pending


class PersistentClock:
    """Clock in milliseconds that continues across restarts and is never stepped while the machine is up.

    The first process stores the boot identifier and the offset of the wall clock to the monotonic clock.
    Later processes of the same boot continue with that offset, whatever happened to the wall clock since;
    otherwise a step back would keep documents past their expiry after a restart, and a step forward would end
    them early. After a reboot the offset is taken from the wall clock again.
    """

    def __init__(self, machine: Machine, folder: Folder) -> None:
        self._machine = machine
        boot = machine.boot_id()
        self.continued = False  # whether times of the previous process can be compared with this one's
        self._offset_ms = machine.wall_ms() - machine.steady_ms()
        try:
            written, offset = folder.read(CLOCK_FILE).decode("ascii").split()
            if boot and written == boot:
                self._offset_ms, self.continued = float(offset), True
                return
        except (OSError, ValueError):
            pass  # the first process in this folder, or the file is damaged
        with contextlib.suppress(OSError):
            folder.write(CLOCK_FILE, f"{boot or '-'} {self._offset_ms!r}\n".encode("ascii"))

    def ms(self) -> float:
        """Returns the time in milliseconds."""
        return self._machine.steady_ms() + self._offset_ms
