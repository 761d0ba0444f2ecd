"""What the records of the backlog's manifest come to: where each destination's begins, and what is past.

Owns the fold of the records into a state. Must never touch a file: what segments hold beyond the last marks
is the store's to read.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from birchstack.backlog.plan import ENTRY, Run, at_time, place
from birchstack.ledger.records import Ended, Marks, Moved, Record, State, Whole


@dataclass(slots=True)
class There:
    """One destination's log. Ordinals count the records written since it began."""

    total: int = 0  # written
    place: int = 0  # where what waits begins; records before it are past
    ordinal: int = 0  # records before that
    ahead: int = 0  # behind it, ended
    marked: tuple[int, int] = (0, 0)  # up to this place and ordinal, documents are in runs
    since: float | None = None  # when the first that waits was taken; None: not known, it is on disk
    passed: float = 0.0  # not before this
    open: bool = False  # its last segment can be written on
    rotten: bool = False  # something is lost, so counts are not exact until it is empty
    lost: int = 0  # found lost by time, and counted in ahead
    segments: dict[int, list[int]] = field(default_factory=dict)  # by number: records before it, bytes

    def waiting(self) -> int:
        return max(0, self.total - self.ordinal - self.ahead)


class Replay:
    """What the records of a manifest come to. floors: by destination, the last segment that is past as a
    whole; names: of files that only wait for their removal."""

    def __init__(self, records: Iterable[Record]) -> None:
        self.there: dict[int, There] = {}
        self.runs: dict[int, Run] = {}
        self.floors: dict[int, int] = {}
        self.ended: dict[int, bytes] = {}
        self.names: set[str] = set()
        self.number, self.mark = 0, at_time(0.0, 0, 0)
        for record in records:
            if isinstance(record, State):
                for destination, where, ordinal, ahead, marked, total, segments in record.destinations:
                    self.there[destination] = There(
                        total,
                        where,
                        ordinal,
                        ahead,
                        (marked, total),
                        segments={each: [start, 0] for each, start in segments},
                    )
            elif isinstance(record, Whole):
                self.number, self.mark, self.names = record.next, record.mark, set(record.past)
                self.ended = {ENTRY.unpack(entry)[2]: entry for entry in record.ended}
            elif isinstance(record, Marks):
                self._marks(record)
            elif isinstance(record, Moved):
                self._moved(record)
            elif isinstance(record, Ended):
                for entry in record.entries:
                    self._one(entry)
                self.mark = max(self.mark, record.mark)
        self.ended = {
            where: entry
            for where, entry in self.ended.items()
            if entry >= self.mark
            and (there := self.there.get(ENTRY.unpack(entry)[1]))
            and where >= there.place
        }
        self.number = max(
            [
                self.number,
                *self.floors.values(),
                *self.runs,
                *(there.place >> 32 for there in self.there.values()),
            ]
        )

    def _of(self, destination: int) -> There:
        return self.there.setdefault(destination, There())

    def _marks(self, record: Marks) -> None:
        for destination, number, start, offset, total in record.marks:
            if number > self.floors.get(destination, 0):
                there = self._of(destination)
                there.segments[number] = [start, 0]
                if offset:
                    there.marked = place(number, offset), total
        self.runs.update((words[1], Run(*words)) for words in record.added)
        for number in record.removed:
            self.runs.pop(number, None)
        self.number = max([self.number, *record.removed])

    def _moved(self, record: Moved) -> None:
        if not record.place:
            self.there.pop(record.destination, None)
            self.floors[record.destination] = max(record.ordinal, self.floors.get(record.destination, 0))
            return
        there = self._of(record.destination)
        if record.place >= there.place and record.place >> 32 > self.floors.get(record.destination, 0):
            there.place, there.ordinal, there.ahead = record.place, record.ordinal, record.ahead

    def _one(self, entry: bytes) -> None:
        """Told twice it counts once."""
        _, destination, where = ENTRY.unpack(entry)
        if where in self.ended or entry < self.mark or where >> 32 <= self.floors.get(destination, 0):
            return
        there = self._of(destination)
        if where >= there.place:
            self.ended[where] = entry
            there.ahead += 1
