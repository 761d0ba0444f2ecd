"""In-memory file system of a sender, with fault injection: writes can be lost, torn or refused.

It outlives the processes that use it. It holds the files of one sender's folder and the faults injected into
its writes, and does not interpret the contents.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

from birchstack.emulator.clock import Killed

BLOCK = 512  # bytes; disk space is allocated in whole blocks

# Positions of a kill relative to a write: none, half or all of the data is written
BEFORE = "before"
TORN = "torn"
AFTER = "after"


def _no_space() -> OSError:
    return OSError(errno.ENOSPC, "No space left on device")


class Disk:
    """File names and contents of one disk. Each process opens a MemoryFolder on it."""

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.full = False
        self.limit: int | None = None  # size in bytes, allocated in blocks; freed blocks can be used again
        self.writes = 0
        self.peak_bytes = 0
        self.strike: tuple[int, str] | None = None  # write to kill the process at: its number, and where
        self.kill_process: Callable[[], None] = lambda: None  # ends the process that writes

    def used(self) -> int:
        """Returns the bytes in allocated blocks."""
        return sum(-(-len(data) // BLOCK) * BLOCK for data in self.files.values())

    def count_change(self, data: bytes = b"") -> tuple[bytes, bool]:
        """Counts a change that is about to be made.

        Returns the part of the data to be written, and whether the process is killed after it.
        """
        self.writes += 1
        if not self.strike or self.writes < self.strike[0]:
            return data, False
        position, self.strike = self.strike[1], None
        if position == BEFORE or position == TORN and not data:
            self.kill()
        return (data[: len(data) // 2], True) if position == TORN else (data, True)

    def kill(self) -> None:
        """Kills the process that is writing; raises Killed."""
        self.kill_process()
        raise Killed


class MemoryFolder:
    """One process's access to a disk; the methods are those of net.machine.Folder."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._open: dict[int, bytearray] = {}
        self._last_descriptor = 3
        self.dead = False

    def _check_alive(self) -> None:
        if self.dead:
            raise Killed

    def names(self) -> list[str]:
        """Returns the names of all files."""
        return list(self._disk.files)

    def lock(self, name: str) -> bool:
        """Returns True: only one process at a time uses a disk here."""
        return True

    def unlock(self, name: str) -> None:
        """Does nothing, since lock() locks nothing."""

    def read(self, name: str) -> bytes:
        """Returns the contents of a file."""
        try:
            return bytes(self._disk.files[name])
        except KeyError:
            raise FileNotFoundError(errno.ENOENT, "No such file", name) from None

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        """Returns at most size bytes of a file, from an offset."""
        self.size(name)
        return bytes(self._disk.files[name][offset : offset + size])

    def size(self, name: str) -> int:
        """Returns the size of a file in bytes."""
        try:
            return len(self._disk.files[name])
        except KeyError:
            raise FileNotFoundError(errno.ENOENT, "No such file", name) from None

    def write(self, name: str, data: bytes) -> None:
        """Replaces the contents of a file."""
        self.close(self._write(self.open(name, fresh=True), data))

    def _write(self, handle: int, data: bytes) -> int:
        if self.append(handle, data) < len(data):
            raise _no_space()
        return handle

    def open(self, name: str, fresh: bool = False) -> int:
        """Opens a file for appending, empty if it is fresh, and returns its descriptor."""
        self._check_alive()
        if fresh or name not in self._disk.files:
            self._disk.files[name] = bytearray()
        self._last_descriptor += 1
        self._open[self._last_descriptor] = self._disk.files[name]
        return self._last_descriptor

    def append(self, handle: int, data: bytes) -> int:
        """Appends data and returns the number of bytes written, which is lower on a full disk."""
        self._check_alive()
        disk = self._disk
        part, killed = disk.count_change(data)
        if killed:
            self._open[handle].extend(part)
            disk.kill()
        if disk.full or disk.limit is not None and disk.used() + len(data) > disk.limit:
            part = data[: max(0, -len(self._open[handle]) % BLOCK)]  # fits into the file's last block
            if not part:
                raise _no_space()
        self._open[handle].extend(part)
        # The usage is sampled, since used() visits every file
        disk.peak_bytes = max(disk.peak_bytes, disk.used()) if disk.writes % 64 == 0 else disk.peak_bytes
        return len(part)

    def close(self, handle: int) -> None:
        """Closes a descriptor."""
        self._open.pop(handle, None)

    def rename(self, old: str, new: str) -> None:
        """Renames a file, replacing the target."""
        self._check_alive()
        _, killed = self._disk.count_change()
        if old not in self._disk.files:
            raise FileNotFoundError(errno.ENOENT, "No such file", old)
        self._disk.files[new] = self._disk.files.pop(old)
        if killed:
            self._disk.kill()

    def unlink(self, name: str) -> None:
        """Deletes a file."""
        self._check_alive()
        _, killed = self._disk.count_change()
        if self._disk.files.pop(name, None) is None:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        if killed:
            self._disk.kill()
