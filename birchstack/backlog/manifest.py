"""The manifest of the backlog: a log, with snapshots, of what the segments and runs do not record themselves.

Owns the manifest's files and the ballast: a file that is removed when the disk is full, so that ends and
moves can still be recorded. Must never know what a record means, except the one that ends a snapshot.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable, Iterable

from birchstack.backlog.plan import BALLAST, MANIFEST, parse_name
from birchstack.backlog.runs import append_all
from birchstack.ledger.records import HEAD, Record, Scanner, Whole, frame, head
from birchstack.net.log import log_event
from birchstack.net.machine import Folder

READ_SIZE = 65536  # bytes
BALLAST_SIZE = 1 << 17  # bytes
log = logging.getLogger(__name__)


class Manifest:
    """The manifest's current file: a snapshot, and the records appended to it."""

    def __init__(self, folder: Folder, next_number: Callable[[], int], log_limit: int) -> None:
        """next_number: of a new file. log_limit: see plan.Sizes."""
        self._folder = folder
        self._next_number = next_number
        self._log_limit = log_limit
        self._file = -1  # the descriptor, or -1
        self.name = ""
        self.torn = False  # whether the file may end with a torn record
        self._snapshot_bytes = self._log_bytes = 0
        self._pending: list[bytes] = []  # written before the next records
        self.pending_bytes = 0
        self._ballast = False  # whether the ballast exists

    @property
    def size(self) -> int:
        """The size of the file in bytes."""
        return self._snapshot_bytes + self._log_bytes

    def read(self, names: Iterable[str]) -> list[Record]:
        """Reads the newest complete snapshot and the records after it; none in an empty folder.

        The other manifest files are obsolete. If no snapshot is complete, returns what can be read of the
        newest, and logs an error.
        """
        files = sorted(
            (parse_name(name)[1], name) for name in names if name.startswith(MANIFEST) and parse_name(name)
        )
        self._ballast = BALLAST in names
        best = None
        for number, name in reversed(files):
            scanner = Scanner(number)
            found = []
            size = self._folder.size(name)
            for offset in range(HEAD.size, size, READ_SIZE):
                found += [record for _, record in scanner.feed(self._folder.read_at(name, offset, READ_SIZE))]
            found += [record for _, record in scanner.end()]
            complete = any(isinstance(each, Whole) for each in found)
            if complete or best is None and found:
                best = name, size, found, scanner
            if complete:
                break
        if best is None:
            return []
        self.name, self._log_bytes, found, scanner = best
        self.torn = bool(scanner.damages)  # a snapshot follows soon, so that nothing follows a torn record
        for damage in scanner.damages:
            if damage.corruption:
                log_event(
                    log,
                    "rot in the manifest",
                    logging.ERROR,
                    file=self.name,
                    start=damage.start,
                    end=damage.end,
                )
        if not any(isinstance(each, Whole) for each in found):
            log_event(log, "no complete snapshot in the manifest", logging.ERROR, file=self.name)
        with contextlib.suppress(OSError):
            self._file = self._folder.open(self.name)
        return found

    def needs_snapshot(self) -> bool:
        """Returns whether a new snapshot is due: no file, a torn one, or a long log."""
        return self._file < 0 or self.torn or self._log_bytes > max(self._log_limit, 2 * self._snapshot_bytes)

    def append(self, records: list[Record], required: bool) -> bool:
        """Appends records in one write.

        If that fails, raises OSError if required, else keeps them to be written before the next ones.
        """
        data = b"".join(map(frame, records))
        try:
            self._write(b"".join(self._pending) + data)
        except OSError as problem:
            if required:
                raise
            log_event(log, "not noted yet", logging.ERROR, problem=problem)
            self._pending.append(data)
            self.pending_bytes += len(data)
            return False
        self._pending = []
        self.pending_bytes = 0
        return True

    def _write(self, data: bytes) -> None:
        if self._file < 0:
            raise OSError("no manifest could be opened")
        written = self._append_data(data)
        if written < len(data):
            raise OSError(f"{written} of {len(data)} bytes written")

    def _append_data(self, data: bytes) -> int:
        """Returns the bytes written; removes the ballast if the data does not fit otherwise."""
        try:
            written = self._folder.append(self._file, data)
            self._log_bytes += written
        except OSError:
            written = 0
        if written < len(data) and self._ballast:
            self._folder.unlink(BALLAST)
            self._ballast = False
            rest = self._folder.append(self._file, data[written:])
            self._log_bytes += rest
            written += rest
        if written < len(data):
            self.torn = self.torn or written > 0
            if not written:
                raise OSError("the manifest could not be written")
        return written

    def write_snapshot(self, records: list[Record]) -> str:
        """Begins a new file with a snapshot; returns the name of the old one, which can be removed.

        Raises OSError, and then the old file stays in use.
        """
        number = self._next_number()
        name = f"{MANIFEST}-{number}"
        data = head(number) + b"".join(map(frame, records))
        file = -1
        try:
            file = self._folder.open(name, fresh=True)
            append_all(self._folder, file, data)
        except OSError:
            if file >= 0:
                self._folder.close(file)
            with contextlib.suppress(OSError):
                self._folder.unlink(name)
            raise
        old = self.name
        self.name = name
        if self._file >= 0:
            self._folder.close(self._file)
        self._file = file
        self._snapshot_bytes = len(data)
        self._log_bytes = 0
        self.torn = False
        self._pending = []
        self.pending_bytes = 0
        return old

    def reserve_ballast(self) -> bool:
        """Writes the ballast if it does not exist; returns whether it does now."""
        if not self._ballast:
            try:
                self._folder.write(BALLAST, bytes(BALLAST_SIZE))
                self._ballast = True
            except OSError:  # a partial ballast would only take up room
                with contextlib.suppress(OSError):
                    self._folder.unlink(BALLAST)
        return self._ballast

    def close(self, remove: bool) -> None:
        """Closes the file, and removes it with the ballast if asked to."""
        if self._file >= 0:
            self._folder.close(self._file)
            self._file = -1
        if remove:
            for name in (self.name, BALLAST):
                with contextlib.suppress(OSError):
                    self._folder.unlink(name)
