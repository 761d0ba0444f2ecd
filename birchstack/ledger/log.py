"""The segmented log on a folder: records appended to segments in order, read back at a start, copied on.

Owns the names of segments, the order of writes in them and what each document has where. Must never choose
which segment is copied or when one is sealed (the Plan does), and never decide what follows from a document's
past. Every change goes through the folder's methods (net.machine.Folder, or the emulator's), so that a fault
can be drawn at each write. Not used by the sender yet: docs/notes/ledger.md.

Bodies lie in their Take. A Done is needed as long as a segment before it holds a record of its document;
otherwise a start would find the Take without its end, and send the document again.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from birchstack.ledger.plan import Plan
from birchstack.ledger.records import (
    HEAD,
    Back,
    Call,
    Damage,
    Done,
    HeadError,
    Notice,
    Past,
    Record,
    Scanner,
    Take,
    frame,
    head,
    read_head,
)

PREFIX = "seg-"
MOST = 1 << 20                          # a segment is sealed before it grows beyond this
READ = 65536                            # a segment is read in pieces of this
STEP = 16                               # documents copied in one step at most
TAIL = 256                              # kept for what each owed document may still append: calls, backs, end


class Folder(Protocol):
    """What the log needs of a folder; errors are OSError, as the system's."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def open(self, name: str, fresh: bool = False) -> int: ...

    def append(self, handle: int, data: bytes) -> int: ...

    def close(self, handle: int) -> None: ...

    def unlink(self, name: str) -> None: ...


@dataclass(slots=True)
class Held:
    """One document that is owed, as its records tell it."""

    take: Take
    sent: int = 0
    failed: int = 0
    out: tuple[str, float] | None = None
    doubt: list[tuple[str, float]] = field(default_factory=list)
    notice: tuple[str, float] | None = None
    places: list[tuple[int, int]] = field(default_factory=list)     # segment and size of each record


@dataclass(frozen=True, slots=True)
class Found:
    """Damage in a segment: where, whether in the middle (rot) or at the tail; for a head, what is wrong."""

    segment: str
    damage: Damage
    documents: tuple[str, ...]


def name(number: int) -> str:
    return f"{PREFIX}{number:012d}"


class Log:
    """owed is the truth of the moment. Each change is appended before its method returns; OSError passes."""

    def __init__(self, folder: Folder, limit: int, most: int = MOST) -> None:
        self._folder, self.plan = folder, Plan(limit, most)
        self.owed: dict[str, Held] = {}
        self.found: list[Found] = []
        self._dones: dict[str, tuple[int, int]] = {}        # of documents that ended, kept while needed
        self._takes: dict[str, set[int]] = {}               # the segments that hold a Take of a document
        self._file = -1
        self._recover()

    # What happens

    def take(self, take: Take) -> None:
        held = Held(take)
        self._write(take, held)
        self.owed[take.id] = held
        self._takes.setdefault(take.id, set()).add(held.places[0][0])

    def call(self, doc_id: str, zone: str, when: float) -> None:
        held = self.owed[doc_id]
        self._write(Call(doc_id, zone, when), held)
        held.sent, held.out = held.sent + 1, (zone, when)

    def back(self, doc_id: str, doubt: bool, failed: bool) -> None:
        held = self.owed[doc_id]
        self._write(Back(doc_id, doubt, failed), held)
        self._came_back(held, doubt, failed)

    def notice(self, doc_id: str, result: str, wait_ms: float) -> None:
        held = self.owed[doc_id]
        self._write(Notice(doc_id, result, wait_ms), held)
        held.notice = result, wait_ms

    def done(self, doc_id: str) -> None:
        held = self.owed.pop(doc_id, None)
        if held is None:
            return
        record = frame(Done(doc_id))
        self._roll(len(record))
        self._append(record)
        number = self.plan.wrote(len(record), needed=True)
        for segment, size in held.places:
            self.plan.past(segment, size)
        self._ended(doc_id, number, len(record))

    def _ended(self, doc_id: str, number: int, size: int) -> None:
        """An end is needed while a segment before it holds a Take of its document, the first or a copy."""
        if self._takes.get(doc_id, set()) <= {number}:
            self.plan.past(number, size)
            self._takes.pop(doc_id, None)
        else:
            self._dones[doc_id] = number, size

    def fits(self, size: int) -> bool:
        """Whether a document with a body of this many bytes may be taken on, with what all owed may still append."""
        return self.plan.fits(size + TAIL * (len(self.owed) + 1))

    def close(self) -> None:
        if self._file >= 0:
            self._folder.close(self._file)
            self._file = -1

    # Compaction, a step at a time

    def step(self) -> bool:
        """Copies a few documents of the segment that the plan names; True while there is more to do."""
        victim = self.plan.next()
        if victim is None:
            return False
        moving = [held for held in self.owed.values() if any(place[0] == victim for place in held.places)]
        for held in moving[:STEP]:
            self._copy(held)
        ends = [doc_id for doc_id, (segment, _) in self._dones.items() if segment == victim]
        for doc_id in ends[:STEP]:          # of documents that began before it: carried on
            self._end_again(doc_id)
        if len(moving) > STEP or len(ends) > STEP:
            return True
        assert not self.plan.segments[victim].needed, "all that was needed there was carried on"
        self._folder.unlink(name(victim))
        self.plan.removed(victim)
        for doc_id in [each for each, segments in self._takes.items() if victim in segments]:
            self._takes[doc_id].discard(victim)
            if doc_id in self._dones:       # its end may be needed no more
                self._ended(doc_id, *self._dones.pop(doc_id))
        return self.plan.next() is not None

    def _end_again(self, doc_id: str) -> None:
        record = frame(Done(doc_id))
        self._roll(len(record))
        self._append(record)
        self.plan.past(*self._dones[doc_id])
        self._dones[doc_id] = self.plan.wrote(len(record), needed=True, copied=True), len(record)

    def _copy(self, held: Held) -> None:
        """Its present, written at the end: the Take, what it has been through, its notice."""
        old, held.places = held.places, []
        records: list[Record] = [held.take, Past(held.take.id, held.sent, held.failed, held.out,
                                                 tuple(held.doubt))]
        if held.notice:
            records.append(Notice(held.take.id, *held.notice))
        for record in records:
            self._write(record, held, copied=True)
        self._takes.setdefault(held.take.id, set()).add(held.places[0][0])
        for segment, size in old:
            self.plan.past(segment, size)

    # Writing

    def _write(self, record: Record, held: Held, copied: bool = False) -> None:
        data = frame(record)
        self._roll(len(data))
        self._append(data)
        held.places.append((self.plan.wrote(len(data), needed=True, copied=copied), len(data)))

    def _roll(self, size: int) -> None:
        """A new segment where the plan says, and first of all after a start: the last one may end torn."""
        if self._file >= 0 and not self.plan.rolls(size):
            return
        number = self.plan.last + 1
        handle = self._folder.open(name(number), fresh=True)
        try:
            self._write_all(handle, head(number))
        except OSError:
            self._folder.close(handle)
            raise
        self.close()
        self._file = handle
        self.plan.opened(number)

    def _append(self, data: bytes) -> None:
        self._write_all(self._file, data)

    def _write_all(self, handle: int, data: bytes) -> None:
        written = self._folder.append(handle, data)
        if written < len(data):
            raise OSError(f"{written} of {len(data)} bytes written")

    # At the start

    def _recover(self) -> None:
        numbers = sorted(int(each[len(PREFIX):]) for each in self._folder.names()
                         if each.startswith(PREFIX) and each[len(PREFIX):].isdecimal())
        for number in numbers:
            data = self._folder.read(name(number))
            try:
                if read_head(data) != number:
                    raise HeadError("its head names another segment")
            except HeadError as problem:
                self.found.append(Found(name(number), Damage(0, len(data), rot=True), (str(problem),)))
                continue
            self.plan.opened(number, len(data))
            scanner = Scanner(number)
            for offset, record in self._scan(scanner, data):
                self._replay(number, offset, record)
            for damage in scanner.damages:      # a torn tail is where a process ended: normal
                if damage.rot:
                    self.found.append(Found(name(number), damage, ()))
        for held in self.owed.values():
            if held.out:
                held.doubt.append(held.out)     # it may have run, and its outcome will not come
                held.out = None

    @staticmethod
    def _scan(scanner: Scanner, data: bytes) -> Iterator[tuple[int, Record]]:
        for at in range(HEAD.size, len(data), READ):
            yield from scanner.feed(data[at:at + READ])
        yield from scanner.end()

    def _replay(self, number: int, offset: int, record: Record) -> None:
        size = len(frame(record))
        self.plan.wrote(size, needed=True)
        if isinstance(record, Take):        # or a copy of it: what came before counts no more
            if was := self.owed.get(record.id):
                for segment, each in was.places:
                    self.plan.past(segment, each)
            self.owed[record.id] = Held(record, places=[(number, size)])
            self._takes.setdefault(record.id, set()).add(number)
            return
        if isinstance(record, Done):
            held = self.owed.pop(record.id, None)
            if held is None:                # a copy of an end, or the end of one whose beginning went
                if record.id in self._dones:
                    self.plan.past(*self._dones[record.id])
                    self._dones[record.id] = number, size
                else:
                    self.plan.past(number, size)
                return
            for segment, was in held.places:
                self.plan.past(segment, was)
            self._ended(record.id, number, size)
            return
        held = self.owed.get(record.id)
        if held is None:                    # of a document whose Take lies in a segment that went
            self.plan.past(number, size)
            return
        held.places.append((number, size))
        if isinstance(record, Call):
            held.sent, held.out = held.sent + 1, (record.zone, record.when)
        elif isinstance(record, Back):
            self._came_back(held, record.doubt, record.failed)
        elif isinstance(record, Past):
            held.sent, held.failed = record.sent, record.failed
            held.out, held.doubt = record.out and tuple(record.out), [tuple(each) for each in record.doubt]
        elif isinstance(record, Notice):
            held.notice = record.result, record.wait_ms

    @staticmethod
    def _came_back(held: Held, doubt: bool, failed: bool) -> None:
        if held.out and doubt:
            held.doubt.append(held.out)
        held.failed, held.out = held.failed + bool(failed), None
