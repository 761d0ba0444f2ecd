"""Replay of the manifest's records: where each destination's waiting documents begin, and which have ended.

Owns the step from the records to a state. Must never touch a file: the store reads what the segments hold
after the last checkpoints.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from birchstack.backlog.plan import TIME_ENTRY, Run, pack_position, time_entry
from birchstack.ledger.records import Ended, Marks, Moved, Record, State, Whole


@dataclass(slots=True)
class DestinationState:
    """The log of one destination. Ordinals count the records written since the log began."""

    total: int = 0  # records written
    position: int = 0  # start of the waiting documents; those before it have ended or moved
    ordinal: int = 0  # records before position
    ended: int = 0  # records from position on whose documents have ended
    checkpoint: tuple[int, int] = (0, 0)  # position and ordinal up to which documents are in runs
    first_taken: float | None = None  # when the first waiting document was taken; None: known on disk only
    first_taken_min: float = 0.0  # a lower bound of first_taken, for when that is not known
    appendable: bool = False  # whether its last segment can be extended
    has_losses: bool = False  # records were lost, so counts are not exact until the log is empty
    lost: int = 0  # lost records that were met by expiry, and are counted in ended
    segments: dict[int, list[int]] = field(default_factory=dict)  # by number: records before it, bytes

    def waiting(self) -> int:
        """Returns the number of documents that wait."""
        return max(0, self.total - self.ordinal - self.ended)


class Replay:
    """The state after the records of a manifest.

    removed_up_to: by destination, the last segment that is no longer needed. obsolete_files: names of files
    that only have to be removed.
    """

    def __init__(self, records: Iterable[Record]) -> None:
        self.states: dict[int, DestinationState] = {}
        self.runs: dict[int, Run] = {}
        self.removed_up_to: dict[int, int] = {}
        self.ended: dict[int, bytes] = {}
        self.obsolete_files: set[str] = set()
        self.last_number = 0
        self.watermark = time_entry(0.0, 0, 0)
        for record in records:
            if isinstance(record, State):
                for (
                    destination,
                    position,
                    ordinal,
                    ended,
                    checkpoint,
                    total,
                    segments,
                ) in record.destinations:
                    self.states[destination] = DestinationState(
                        total,
                        position,
                        ordinal,
                        ended,
                        (checkpoint, total),
                        segments={each: [start, 0] for each, start in segments},
                    )
            elif isinstance(record, Whole):
                self.last_number = record.next
                self.watermark = record.mark
                self.obsolete_files = set(record.past)
                self.ended = {TIME_ENTRY.unpack(entry)[2]: entry for entry in record.ended}
            elif isinstance(record, Marks):
                self._apply_marks(record)
            elif isinstance(record, Moved):
                self._apply_moved(record)
            elif isinstance(record, Ended):
                for entry in record.entries:
                    self._apply_ended(entry)
                self.watermark = max(self.watermark, record.mark)
        self.ended = {
            position: entry
            for position, entry in self.ended.items()
            if entry >= self.watermark
            and (state := self.states.get(TIME_ENTRY.unpack(entry)[1]))
            and position >= state.position
        }
        self.last_number = max(
            [
                self.last_number,
                *self.removed_up_to.values(),
                *self.runs,
                *(state.position >> 32 for state in self.states.values()),
            ]
        )

    def _state(self, destination: int) -> DestinationState:
        return self.states.setdefault(destination, DestinationState())

    def _apply_marks(self, record: Marks) -> None:
        for destination, number, start, offset, total in record.marks:
            if number > self.removed_up_to.get(destination, 0):
                state = self._state(destination)
                state.segments[number] = [start, 0]
                if offset:
                    state.checkpoint = pack_position(number, offset), total
        self.runs.update((fields[1], Run(*fields)) for fields in record.added)
        for number in record.removed:
            self.runs.pop(number, None)
        self.last_number = max([self.last_number, *record.removed])

    def _apply_moved(self, record: Moved) -> None:
        if not record.place:
            self.states.pop(record.destination, None)
            self.removed_up_to[record.destination] = max(
                record.ordinal, self.removed_up_to.get(record.destination, 0)
            )
            return
        state = self._state(record.destination)
        if record.place >= state.position and record.place >> 32 > self.removed_up_to.get(
            record.destination, 0
        ):
            state.position, state.ordinal, state.ended = record.place, record.ordinal, record.ahead

    def _apply_ended(self, entry: bytes) -> None:
        """Counts an end once, even if it was recorded twice."""
        _, destination, position = TIME_ENTRY.unpack(entry)
        if (
            position in self.ended
            or entry < self.watermark
            or position >> 32 <= self.removed_up_to.get(destination, 0)
        ):
            return
        state = self._state(destination)
        if position >= state.position:
            self.ended[position] = entry
            state.ended += 1
