"""The manifest of the backlog: a log of what the segments and runs do not say themselves, with snapshots.

Owns the manifest's files and the ballast, a file that is given up where a disk is full, so that ends and
moves are still recorded. Must never know what a record means beyond the one that ends a snapshot.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable, Iterable

from birchstack.backlog.plan import BALLAST, MANIFEST, parse
from birchstack.backlog.runs import whole
from birchstack.ledger.records import HEAD, Record, Scanner, Whole, frame, head
from birchstack.net.log import log_event
from birchstack.net.machine import Folder

READ = 65536
KEPT = 1 << 17  # the ballast
log = logging.getLogger(__name__)


class Manifest:
    def __init__(self, folder: Folder, number: Callable[[], int], logged: int) -> None:
        """number: a new file's; logged: see plan.Sizes."""
        self._folder, self._number, self._logged = folder, number, logged
        self._file, self.name, self.torn = -1, "", False
        self._snapshot = self._log = 0  # bytes of each
        self._late: list[bytes] = []  # recorded as soon as it can be
        self.late = 0  # bytes of them
        self._ballast = False

    @property
    def size(self) -> int:
        return self._snapshot + self._log

    def read(self, names: Iterable[str]) -> list[Record]:
        """The newest whole snapshot and what came after it; none in an empty folder. The names of others are
        rubbish. Where no snapshot is whole any more, what can be read of the newest, loudly."""
        mine = sorted((parse(name)[1], name) for name in names if name.startswith(MANIFEST) and parse(name))
        self._ballast, best = BALLAST in names, None
        for number, name in reversed(mine):
            scanner, found = Scanner(number), []
            size = self._folder.size(name)
            for at in range(HEAD.size, size, READ):
                found += [record for _, record in scanner.feed(self._folder.read_at(name, at, READ))]
            found += [record for _, record in scanner.end()]
            is_whole = any(isinstance(each, Whole) for each in found)
            if is_whole or best is None and found:
                best = name, size, found, scanner
            if is_whole:
                break
        if best is None:
            return []
        self.name, self._log, found, scanner = best
        self.torn = bool(scanner.damages)  # a snapshot soon, so that nothing follows a torn record
        for damage in scanner.damages:
            if damage.rot:
                log_event(
                    log,
                    "rot in the manifest",
                    logging.ERROR,
                    file=self.name,
                    start=damage.start,
                    end=damage.end,
                )
        if not any(isinstance(each, Whole) for each in found):
            log_event(log, "no snapshot is whole", logging.ERROR, file=self.name)
        with contextlib.suppress(OSError):
            self._file = self._folder.open(self.name)
        return found

    def grown(self) -> bool:
        return self._file < 0 or self.torn or self._log > max(self._logged, 2 * self._snapshot)

    def note(self, records: list[Record], must: bool) -> bool:
        """Appends in one write. must: OSError where it cannot be; else it goes before the next."""
        data = b"".join(map(frame, records))
        try:
            self._write(b"".join(self._late) + data)
        except OSError as problem:
            if must:
                raise
            log_event(log, "not noted yet", logging.ERROR, problem=problem)
            self._late.append(data)
            self.late += len(data)
            return False
        self._late, self.late = [], 0
        return True

    def _write(self, data: bytes) -> None:
        if self._file < 0:
            raise OSError("no manifest could be opened")
        written = self._append(data)
        if written < len(data):
            raise OSError(f"{written} of {len(data)} bytes written")

    def _append(self, data: bytes) -> int:
        """Bytes written, by giving up the ballast if need be."""
        try:
            written = self._folder.append(self._file, data)
            self._log += written
        except OSError:
            written = 0
        if written < len(data) and self._ballast:
            self._folder.unlink(BALLAST)
            self._ballast = False
            rest = self._folder.append(self._file, data[written:])
            self._log += rest
            written += rest
        if written < len(data):
            self.torn = self.torn or written > 0
            if not written:
                raise OSError("the manifest could not be written")
        return written

    def snapshot(self, records: list[Record]) -> str:
        """A new manifest; returns the name of the one before, which may go. OSError: that one counts."""
        number = self._number()
        name, data = f"{MANIFEST}-{number}", head(number) + b"".join(map(frame, records))
        file = -1
        try:
            file = self._folder.open(name, fresh=True)
            whole(self._folder, file, data)
        except OSError:
            if file >= 0:
                self._folder.close(file)
            with contextlib.suppress(OSError):
                self._folder.unlink(name)
            raise
        old, self.name = self.name, name
        if self._file >= 0:
            self._folder.close(self._file)
        self._file, self._snapshot, self._log, self.torn = file, len(data), 0, False
        self._late, self.late = [], 0
        return old

    def reserve(self) -> bool:
        """The ballast is there, again if need be."""
        if not self._ballast:
            try:
                self._folder.write(BALLAST, bytes(KEPT))
                self._ballast = True
            except OSError:  # half of one would only take the room that others need
                with contextlib.suppress(OSError):
                    self._folder.unlink(BALLAST)
        return self._ballast

    def close(self, remove: bool) -> None:
        if self._file >= 0:
            self._folder.close(self._file)
            self._file = -1
        if remove:
            for name in (self.name, BALLAST):
                with contextlib.suppress(OSError):
                    self._folder.unlink(name)
