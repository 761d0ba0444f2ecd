"""The folder that lasts, in memory: it outlasts its processes, and can lose, tear or refuse writes.

Owns the bytes of one sender's folder and the faults that strike its writes. Must never know what they mean.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

from birchstack.emulator.clock import Killed

BLOCK = 512
BEFORE, TORN, AFTER = "before", "torn", "after"  # a strike: none, half or all is written


def _no_space() -> OSError:
    return OSError(errno.ENOSPC, "No space left on device")


class Disk:
    """The names and bytes; sessions of processes are opened on it."""

    def __init__(self) -> None:
        self.files: dict[str, bytearray] = {}
        self.full = False
        self.limit: int | None = None  # bytes in blocks; room that is given back can be used again
        self.writes = self.most_bytes = 0
        self.strike: tuple[int, str] | None = None  # the write to strike at (counted), and how
        self.died: Callable[[], None] = lambda: None  # ends the process that writes

    def used(self) -> int:
        return sum(-(-len(data) // BLOCK) * BLOCK for data in self.files.values())

    def step(self, data: bytes = b"") -> tuple[bytes, bool]:
        """Before each change: what of it still happens, and whether the process ends with it."""
        self.writes += 1
        if not self.strike or self.writes < self.strike[0]:
            return data, False
        how, self.strike = self.strike[1], None
        if how == BEFORE or how == TORN and not data:
            self.end()
        return (data[: len(data) // 2], True) if how == TORN else (data, True)

    def end(self) -> None:
        self.died()
        raise Killed


class MemoryFolder:
    """What one process sees of a disk; the methods are those of net.machine.Folder."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._open: dict[int, bytearray] = {}
        self._next, self.dead = 3, False

    def _may(self) -> None:
        if self.dead:
            raise Killed

    def names(self) -> list[str]:
        return list(self._disk.files)

    def lock(self, name: str) -> bool:
        """One process at a time lives on a disk here."""
        return True

    def unlock(self, name: str) -> None:
        """Nothing was locked."""

    def read(self, name: str) -> bytes:
        try:
            return bytes(self._disk.files[name])
        except KeyError:
            raise FileNotFoundError(errno.ENOENT, "No such file", name) from None

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        self.size(name)
        return bytes(self._disk.files[name][offset : offset + size])

    def size(self, name: str) -> int:
        try:
            return len(self._disk.files[name])
        except KeyError:
            raise FileNotFoundError(errno.ENOENT, "No such file", name) from None

    def write(self, name: str, data: bytes) -> None:
        self.close(self._write(self.open(name, fresh=True), data))

    def _write(self, handle: int, data: bytes) -> int:
        if self.append(handle, data) < len(data):
            raise _no_space()
        return handle

    def open(self, name: str, fresh: bool = False) -> int:
        self._may()
        if fresh or name not in self._disk.files:
            self._disk.files[name] = bytearray()
        self._next += 1
        self._open[self._next] = self._disk.files[name]
        return self._next

    def append(self, handle: int, data: bytes) -> int:
        self._may()
        disk = self._disk
        part, dies = disk.step(data)
        if dies:
            self._open[handle].extend(part)
            disk.end()
        if disk.full or disk.limit is not None and disk.used() + len(data) > disk.limit:
            part = data[: max(0, -len(self._open[handle]) % BLOCK)]  # the last block has some room left
            if not part:
                raise _no_space()
        self._open[handle].extend(part)
        disk.most_bytes = max(disk.most_bytes, disk.used()) if disk.writes % 64 == 0 else disk.most_bytes
        return len(part)

    def close(self, handle: int) -> None:
        self._open.pop(handle, None)

    def rename(self, old: str, new: str) -> None:
        self._may()
        _, dies = self._disk.step()
        if old not in self._disk.files:
            raise FileNotFoundError(errno.ENOENT, "No such file", old)
        self._disk.files[new] = self._disk.files.pop(old)
        if dies:
            self._disk.end()

    def unlink(self, name: str) -> None:
        self._may()
        _, dies = self._disk.step()
        if self._disk.files.pop(name, None) is None:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        if dies:
            self._disk.end()
