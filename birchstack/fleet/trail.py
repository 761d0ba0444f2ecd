"""The audit trail of one sender: what it adopted and what it did since, in a bounded number of bytes.

Owns the order of records, their numbers, the segments that hold them and the compaction into totals when
space runs out. Must never touch a file or a clock: the owner of an AuditTrail writes what encode_frame()
returns before anything is done that the record describes. Invariants: numbers increase by one, except where
corruption destroyed records; the oldest segments are compacted, never discarded.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections import deque
from collections.abc import Iterator

from birchstack.fleet.records import (
    FRAME_OVERHEAD,
    INITIAL_CHAIN,
    CompactedRecords,
    EndpointTally,
    Frame,
    Gap,
    Record,
    StretchTotal,
    TrailState,
    TurnActions,
    VersionAdopted,
    compacted_frame,
    decode,
    encode_frame,
    record_time_ms,
    state_after,
)

SEGMENTS = 8  # segments within the size limit, the space of one being reserved for the compacted records
MAX_TOTALS = 64  # totals of stretches in the compacted records; beyond, the oldest are combined
MAX_TALLIES = 256  # endpoints in the totals of one stretch; beyond, they are counted together
MAX_GAPS = 64  # gaps in the compacted records; beyond, the oldest are combined
OTHER_ENDPOINTS = ""  # stands for the endpoints beyond MAX_TALLIES


class StretchAccumulator:
    """Accumulates the totals of one stretch, or of its part within one segment."""

    __slots__ = ("number", "state", "tallies", "from_ms", "to_ms", "rejected", "abandoned", "mixed")

    def __init__(self, number: int, state: TrailState, from_ms: float) -> None:
        self.number = number
        self.state = state
        self.from_ms = from_ms
        self.to_ms = from_ms
        self.tallies: dict[str, list] = {}  # by endpoint: [calls, first_ms, last_ms]
        self.rejected = 0
        self.abandoned = 0
        self.mixed = False

    @staticmethod
    def from_total(total: StretchTotal) -> StretchAccumulator:
        """Continue from a stored total."""
        state = TrailState(
            total.incarnation, total.name, total.boot, total.versions, total.number, total.from_ms
        )
        accumulator = StretchAccumulator(total.number, state, total.from_ms)
        accumulator.to_ms = total.to_ms
        accumulator.rejected = total.rejected
        accumulator.abandoned = total.abandoned
        accumulator.tallies = {
            each.endpoint: [each.calls, each.first_ms, each.last_ms] for each in total.tallies
        }
        accumulator.mixed = total.mixed
        return accumulator

    def add_turn(self, record: TurnActions) -> None:
        """Add the actions of one turn."""
        now = self.to_ms = record.steady_ms
        for endpoint in record.calls[1::2]:
            tally = self.tallies.get(endpoint)
            if tally:
                tally[0], tally[2] = tally[0] + 1, now
            else:
                self.add_calls(endpoint, 1, now, now)
        self.rejected += record.rejected
        self.abandoned += len(record.abandoned)

    def add_calls(self, endpoint: str, calls: int, first_ms: float, last_ms: float) -> None:
        """Add calls to one endpoint, counted under OTHER_ENDPOINTS beyond MAX_TALLIES endpoints."""
        if endpoint not in self.tallies and len(self.tallies) >= MAX_TALLIES:
            endpoint = OTHER_ENDPOINTS
        tally = self.tallies.setdefault(endpoint, [0, first_ms, last_ms])
        tally[0], tally[2] = tally[0] + calls, last_ms

    def add_part(self, part: StretchAccumulator) -> None:
        """Add the next part of the same stretch."""
        for endpoint, (calls, first_ms, last_ms) in part.tallies.items():
            self.add_calls(endpoint, calls, first_ms, last_ms)
        self.to_ms = part.to_ms
        self.rejected += part.rejected
        self.abandoned += part.abandoned

    def combine(self, next_stretch: StretchAccumulator) -> None:
        """Combine with the next stretch; keeps of the state only what both share."""
        first, second = self.state, next_stretch.state
        self.mixed = True
        versions = {
            kind: version for kind, version in first.versions.items() if second.versions.get(kind) == version
        }
        self.state = TrailState(
            first.incarnation if first.incarnation == second.incarnation else "",
            first.name if first.name == second.name else "",
            first.boot if first.boot == second.boot else "",
            versions,
            first.stretch,
            first.from_ms,
        )
        self.add_part(next_stretch)

    def to_total(self) -> StretchTotal:
        """Return the total to be stored."""
        state = self.state
        tallies = tuple(EndpointTally(name, *values) for name, values in self.tallies.items())
        return StretchTotal(
            self.number,
            state.incarnation,
            state.name,
            state.boot,
            state.versions,
            self.from_ms,
            self.to_ms,
            tallies,
            self.rejected,
            self.abandoned,
            self.mixed,
        )


class Segment:
    """Consecutive frames as stored in one file.

    Totals are computed only when the segment is compacted, so that a sender does no summing while it acts.
    """

    __slots__ = ("first", "state_before", "state", "chain", "data", "numbers", "offsets", "gaps")

    def __init__(self, first: int, state: TrailState) -> None:
        self.first = first  # number of its first record
        self.state_before = state  # before its first record
        self.state = state  # after its last record
        self.chain = INITIAL_CHAIN  # of its last record
        self.data = bytearray()
        self.numbers = array("Q")
        self.offsets = array("L")
        self.gaps: list[Gap] = []

    def append(self, number: int, data: bytes, chain: bytes, record: Record) -> None:
        """Append a record that is stored."""
        self.numbers.append(number)
        self.offsets.append(len(self.data))
        self.data += data
        self.chain = chain
        if type(record) is not TurnActions:
            self.state = state_after(self.state, number, record)
            if isinstance(record, Gap):
                self.gaps.append(record)

    def stretch_totals(self) -> list[StretchAccumulator]:
        """Return the totals of its stretches, in order."""
        found: list[StretchAccumulator] = []
        state = self.state_before
        for number, payload in self._payloads():
            record = decode(payload)
            if type(record) is TurnActions:
                if not found:
                    found.append(StretchAccumulator(state.stretch, state, record.steady_ms))
                found[-1].add_turn(record)
                continue
            next_state = state_after(state, number, record)
            if next_state.stretch != state.stretch:
                if found and isinstance(record, VersionAdopted):
                    found[-1].to_ms = next_state.from_ms  # a stretch lasts until the next one begins
                found.append(StretchAccumulator(next_state.stretch, next_state, next_state.from_ms))
            state = next_state
        return found

    def _payloads(self) -> Iterator[tuple[int, memoryview]]:
        """Yield record numbers and payloads; the frames were verified when they were appended."""
        data, ends = memoryview(bytes(self.data)), [*self.offsets[1:], len(self.data)]
        for number, begin, end in zip(self.numbers, self.offsets, ends, strict=True):
            yield number, data[begin + FRAME_OVERHEAD : end]

    def frames_after(self, number: int, max_bytes: int) -> bytes:
        """Return whole frames after a record number; exceeds max_bytes only with a single frame."""
        index = bisect_right(self.numbers, number)
        if index == len(self.numbers):
            return b""
        begin = self.offsets[index]
        if len(self.data) - begin <= max_bytes:
            return bytes(self.data[begin:])
        end = max(bisect_right(self.offsets, begin + max_bytes) - 1, index + 1)
        return bytes(self.data[begin : self.offsets[end] if end < len(self.offsets) else len(self.data)])


def compact(compacted: CompactedRecords | None, segment: Segment) -> CompactedRecords:
    """Return the totals of a segment added to what was compacted before."""
    totals = [StretchAccumulator.from_total(each) for each in compacted.totals] if compacted else []
    gaps = [*(compacted.gaps if compacted else ()), *segment.gaps]
    for part in segment.stretch_totals():
        if totals and totals[-1].number == part.number:
            totals[-1].add_part(part)
        else:
            totals.append(part)
    while len(totals) > MAX_TOTALS:
        totals[0].combine(totals.pop(1))
    while len(gaps) > MAX_GAPS:
        calls = -1 if -1 in (gaps[0].calls, gaps[1].calls) else gaps[0].calls + gaps[1].calls
        gaps[:2] = [Gap(gaps[0].from_ms, gaps[1].to_ms, "several gaps", calls)]
    return CompactedRecords(
        compacted.first if compacted else segment.first,
        segment.numbers[-1],
        segment.chain,
        segment.state,
        tuple(each.to_total() for each in totals),
        tuple(gaps),
    )


class AuditTrail:
    """The audit trail of one folder, in memory.

    name: random identifier of the trail, not of its sender, drawn when the folder's first record was written.
    """

    def __init__(self, name: str, limit: int) -> None:
        """Create an empty trail; limit: size of all segments and the compacted records, in bytes."""
        self.name = name
        self._limit = limit
        self.last = 0
        self.chain = INITIAL_CHAIN
        self.state = TrailState()
        self.last_ms = 0.0  # time of the last record, by the steady clock of its boot
        self.compacted: CompactedRecords | None = None
        self._compacted_frame = b""
        self.segments: deque[Segment] = deque()

    # Restoring what was stored

    def restore_compacted(self, compacted: CompactedRecords) -> None:
        """Restore the compacted records, before any segment."""
        self.compacted, self._compacted_frame = compacted, compacted_frame(compacted)
        self.last, self.chain, self.state = compacted.last, compacted.chain, compacted.state

    def restore_frame(self, stored: Frame) -> bool:
        """Restore a stored frame.

        Returns False if it does not continue the chain: records before it are missing, or a record was
        changed.
        """
        intact = stored.follows(self.chain)
        if not self.segments:
            self.begin_segment(stored.number)
        record = stored.record()
        self.segments[-1].append(stored.number, stored.stored_bytes(), stored.chain, record)
        self.last, self.chain, self.state = stored.number, stored.chain, self.segments[-1].state
        self.last_ms = record_time_ms(record) or self.last_ms
        return intact

    # Appending

    def begin_segment(self, first: int = 0) -> Segment:
        """Begin a new segment with the record number `first`, or with the next record if it is 0."""
        self.segments.append(Segment(first or self.last + 1, self.state))
        return self.segments[-1]

    @property
    def segment_bytes(self) -> int:
        """Size at which a segment is full, in bytes."""
        return self._limit // SEGMENTS

    def encode_frame(self, record: Record) -> tuple[bytes, bytes]:
        """Encode the next record. Returns the frame to store and its chain hash.

        The trail changes only with append(), once the frame is stored.
        """
        return encode_frame(self.last + 1, self.chain, record)

    def append(self, record: Record, data: bytes, chain: bytes) -> None:
        """Append a record whose frame is stored."""
        self.last, self.chain = self.last + 1, chain
        segment = self.segments[-1]
        segment.append(self.last, data, chain, record)
        self.state = segment.state
        if type(record) is TurnActions:
            self.last_ms = record.steady_ms
        else:
            self.last_ms = record_time_ms(record) or self.last_ms

    def needs_compaction(self) -> bool:
        """Return whether the oldest segment must be compacted: too many bytes, or too many small segments."""
        size = sum(len(each.data) for each in self.segments) + len(self._compacted_frame)
        return len(self.segments) > 1 and (
            size > self._limit - self.segment_bytes or len(self.segments) > 2 * SEGMENTS
        )

    def compact_oldest(self) -> CompactedRecords:
        """Return the oldest segment added to the compacted records; takes effect with apply_compaction()."""
        return compact(self.compacted, self.segments[0])

    def apply_compaction(self, compacted: CompactedRecords) -> Segment:
        """Replace the oldest segment by compacted records that are stored. Returns the removed segment."""
        self.compacted, self._compacted_frame = compacted, compacted_frame(compacted)
        return self.segments.popleft()

    # Reading

    def recorded_gaps(self) -> set[tuple[float, str]]:
        """Return the start time and reason of each recorded gap."""
        compacted = self.compacted.gaps if self.compacted else ()
        return {
            (gap.from_ms, gap.why)
            for gaps in (compacted, *(each.gaps for each in self.segments))
            for gap in gaps
        }

    def read_after(self, number: int, max_bytes: int) -> bytes:
        """Return whole frames after a record number, about max_bytes of them.

        Compacted records come first, as a single frame.
        """
        parts, size = [], 0
        if self.compacted and number < self.compacted.last:
            parts = [self._compacted_frame]
            size = len(self._compacted_frame)
            number = self.compacted.last
        for segment in self.segments:
            if not segment.numbers or segment.numbers[-1] <= number:
                continue
            if size >= max_bytes:
                break
            part = segment.frames_after(number, max_bytes - size)
            parts.append(part)
            size += len(part)
            number = segment.numbers[-1]
            if len(part) < len(segment.data) and not segment.data.endswith(part):
                break
        return b"".join(parts)
