"""Follows the ledger file of another process of this sender while that process writes it.

While one process replaces another (an upgrade) both accept documents. Each follows the other's file, so that
an id that one of them knows is known to both, and the process that sends can take over what the other has
accepted. Must never write a file.
"""

from __future__ import annotations

import contextlib

from birchstack.net.ledger_records import LedgerEntry, LedgerReplay
from birchstack.net.machine import Folder
from birchstack.net.recoveries import RecoveryRecords


class LedgerFollower:
    """The state of another process's ledger file, as of the last poll()."""

    def __init__(self, folder: Folder, name: str, recovery_room: int) -> None:
        """recovery_room: bytes that the state folder may hold, which bounds the recovery records."""
        self._recovery_room = recovery_room
        self._folder = folder
        self._name = name
        self._handle = -1
        self._offset = 0
        self.replay = self._empty_replay()
        self._fresh: dict[str, None] = {}  # ids accepted since pop_accepted()

    def poll(self) -> bool:
        """Applies what was written since the last poll, and returns whether there was anything.

        A file that was compacted, and so replaced, is read anew. Raises OSError if it cannot be read."""
        if self._handle >= 0 and self._folder.is_replaced(self._handle):
            self.close()
        if self._handle < 0:
            self._handle = self._folder.open_to_read(self._name)
            self._offset = 0
            self.replay = self._empty_replay()
        data = self._folder.read_from(self._handle, self._offset)
        self._apply(data)
        return bool(data)

    def _empty_replay(self) -> LedgerReplay:
        return LedgerReplay(b"", RecoveryRecords(self._recovery_room))

    def _apply(self, data: bytes) -> None:
        """Applies whole lines; the last one may still be in the middle of its write."""
        lines = data.split(b"\n")
        last = lines.pop()
        for line in filter(None, lines):
            self._apply_line(line)
        self._offset += len(data) - len(last)
        if last and self._apply_line(last):
            self._offset += len(last)

    def _apply_line(self, line: bytes) -> bool:
        known = len(self.replay.entries)
        if not self.replay.apply(line):
            return False
        if len(self.replay.entries) > known:
            self._fresh[next(reversed(self.replay.entries))] = None
        return True

    def pop_ids(self) -> dict[str, None]:
        """Returns the ids of the documents accepted since the last call."""
        fresh, self._fresh = self._fresh, {}
        return fresh

    def pop_accepted(self) -> list[LedgerEntry]:
        """Returns the documents accepted since the last call that the other process still holds."""
        return [self.replay.entries[each] for each in self.pop_ids() if each in self.replay.entries]

    def close(self) -> None:
        """Closes the file."""
        if self._handle >= 0:
            with contextlib.suppress(OSError):
                self._folder.close(self._handle)
            self._handle = -1
