"""The trail of one sender: what it adopted and what it did since, in a bounded number of bytes.

Owns the order of records, their numbers, the segments they lie in and what is folded into totals when there
is no room. Must never touch a file or a clock: whoever holds a Trail writes what frame() returns before
anything is done that the record speaks of. Invariants: numbers rise by one but where rot took records; the
oldest segments are folded, never left out.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections import deque
from collections.abc import Iterator

from birchstack.fleet.records import (
    OVER,
    START,
    Acted,
    Adopted,
    Folded,
    Frame,
    Gap,
    Record,
    State,
    Tally,
    Total,
    after,
    decode,
    frame,
    frame_of_folded,
    time_of,
)

SEGMENTS = 8  # the bound on bytes holds so many, one of them for what is folded
TOTALS, TALLIES, GAPS = 64, 256, 64  # kept when folded; beyond, the oldest are put together
REST = ""  # the endpoint under which those beyond TALLIES are counted


class Sums:
    """One stretch, or the part of it that lies in one segment, as totals."""

    __slots__ = ("number", "state", "tallies", "from_ms", "to_ms", "rejected", "abandoned", "mixed")

    def __init__(self, number: int, state: State, from_ms: float) -> None:
        self.number, self.state, self.from_ms, self.to_ms = number, state, from_ms, from_ms
        self.tallies: dict[str, list] = {}  # by endpoint: calls, first, last
        self.rejected, self.abandoned, self.mixed = 0, 0, False

    @staticmethod
    def of(total: Total) -> Sums:
        state = State(total.life, total.name, total.boot, total.versions, total.number, total.from_ms)
        sums = Sums(total.number, state, total.from_ms)
        sums.to_ms, sums.rejected, sums.abandoned = total.to_ms, total.rejected, total.abandoned
        sums.tallies = {each.endpoint: [each.calls, each.first_ms, each.last_ms] for each in total.tallies}
        sums.mixed = total.mixed
        return sums

    def acted(self, record: Acted) -> None:
        now = self.to_ms = record.steady_ms
        for endpoint in record.calls[1::2]:
            had = self.tallies.get(endpoint)
            if had:
                had[0], had[2] = had[0] + 1, now
            else:
                self.tally(endpoint, 1, now, now)
        self.rejected += record.rejected
        self.abandoned += len(record.abandoned)

    def tally(self, endpoint: str, calls: int, first_ms: float, last_ms: float) -> None:
        if endpoint not in self.tallies and len(self.tallies) >= TALLIES:
            endpoint = REST
        had = self.tallies.setdefault(endpoint, [0, first_ms, last_ms])
        had[0], had[2] = had[0] + calls, last_ms

    def add(self, more: Sums) -> None:
        """The next part of the same stretch."""
        for endpoint, (calls, first_ms, last_ms) in more.tallies.items():
            self.tally(endpoint, calls, first_ms, last_ms)
        self.to_ms = more.to_ms
        self.rejected += more.rejected
        self.abandoned += more.abandoned

    def mix(self, more: Sums) -> None:
        """Another stretch put together with this one; what they do not share is left open."""
        a, b, self.mixed = self.state, more.state, True
        versions = {kind: version for kind, version in a.versions.items() if b.versions.get(kind) == version}
        self.state = State(
            a.life if a.life == b.life else "",
            a.name if a.name == b.name else "",
            a.boot if a.boot == b.boot else "",
            versions,
            a.stretch,
            a.from_ms,
        )
        self.add(more)

    def total(self) -> Total:
        state = self.state
        tallies = tuple(Tally(name, *words) for name, words in self.tallies.items())
        return Total(
            self.number,
            state.life,
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
    """Frames one after another, as they lie in their file. What they come to is worked out when it is folded:
    nothing is summed while a sender acts."""

    __slots__ = ("first", "before", "state", "chain", "data", "numbers", "offsets", "gaps")

    def __init__(self, first: int, state: State) -> None:
        self.first, self.before = first, state  # before: what holds ahead of its first record
        self.state, self.chain = state, START  # after and of its last record
        self.data, self.numbers, self.offsets = bytearray(), array("Q"), array("L")
        self.gaps: list[Gap] = []

    def put(self, number: int, data: bytes, chain: bytes, record: Record) -> None:
        self.numbers.append(number)
        self.offsets.append(len(self.data))
        self.data += data
        self.chain = chain
        if type(record) is not Acted:
            self.state = after(self.state, number, record)
            if isinstance(record, Gap):
                self.gaps.append(record)

    def sums(self) -> list[Sums]:
        """Its stretches, in their order."""
        found: list[Sums] = []
        state = self.before
        for number, payload in self._payloads():
            record = decode(payload)
            if type(record) is Acted:
                if not found:
                    found.append(Sums(state.stretch, state, record.steady_ms))
                found[-1].acted(record)
                continue
            now = after(state, number, record)
            if now.stretch != state.stretch:
                if found and isinstance(record, Adopted):
                    found[-1].to_ms = now.from_ms  # a stretch lasts until the next one begins
                found.append(Sums(now.stretch, now, now.from_ms))
            state = now
        return found

    def _payloads(self) -> Iterator[tuple[int, memoryview]]:
        """They were checked when they were put here."""
        data, ends = memoryview(bytes(self.data)), [*self.offsets[1:], len(self.data)]
        for number, begin, end in zip(self.numbers, self.offsets, ends, strict=True):
            yield number, data[begin + OVER : end]

    def since(self, number: int, most: int) -> bytes:
        """Whole frames from the first that is beyond number; more than most bytes only for a single one."""
        at = bisect_right(self.numbers, number)
        if at == len(self.numbers):
            return b""
        begin = self.offsets[at]
        if len(self.data) - begin <= most:
            return bytes(self.data[begin:])
        end = max(bisect_right(self.offsets, begin + most) - 1, at + 1)
        return bytes(self.data[begin : self.offsets[end] if end < len(self.offsets) else len(self.data)])


def fold(before: Folded | None, segment: Segment) -> Folded:
    """The segment as totals, added to what is folded already."""
    kept = [Sums.of(each) for each in before.totals] if before else []
    gaps = [*(before.gaps if before else ()), *segment.gaps]
    for sums in segment.sums():
        if kept and kept[-1].number == sums.number:
            kept[-1].add(sums)
        else:
            kept.append(sums)
    while len(kept) > TOTALS:
        kept[0].mix(kept.pop(1))
    while len(gaps) > GAPS:
        known = -1 if -1 in (gaps[0].calls, gaps[1].calls) else gaps[0].calls + gaps[1].calls
        gaps[:2] = [Gap(gaps[0].from_ms, gaps[1].to_ms, "several gaps", known)]
    return Folded(
        before.first if before else segment.first,
        segment.numbers[-1],
        segment.chain,
        segment.state,
        tuple(each.total() for each in kept),
        tuple(gaps),
    )


class Trail:
    """name: of the trail, not of its sender: drawn when the folder's first record was written."""

    def __init__(self, name: str, limit: int) -> None:
        """limit: bytes of all segments and of what is folded."""
        self.name, self._limit = name, limit
        self.last, self.chain, self.state = 0, START, State()
        self.last_ms = 0.0  # the time of the last record, by the steady clock of its boot
        self.folded: Folded | None = None
        self._folded = b""
        self.segments: deque[Segment] = deque()

    # Taken up from where it was kept

    def take_folded(self, folded: Folded) -> None:
        self.folded, self._folded = folded, frame_of_folded(folded)
        self.last, self.chain, self.state = folded.last, folded.chain, folded.state

    def take(self, found: Frame) -> bool:
        """A frame that was kept; False where it does not follow what is here: records before it are missing,
        or something was changed."""
        sound = found.follows(self.chain)
        if not self.segments:
            self.begin(found.number)
        record = found.record()
        self.segments[-1].put(found.number, found.bytes(), found.chain, record)
        self.last, self.chain, self.state = found.number, found.chain, self.segments[-1].state
        self.last_ms = time_of(record) or self.last_ms
        return sound

    # What happens

    def begin(self, first: int = 0) -> Segment:
        """A new segment, from the next record on."""
        self.segments.append(Segment(first or self.last + 1, self.state))
        return self.segments[-1]

    @property
    def segment_bytes(self) -> int:
        return self._limit // SEGMENTS

    def frame(self, record: Record) -> tuple[bytes, bytes]:
        """The bytes to keep before the record holds, and its chain. Nothing changes here until put()."""
        return frame(self.last + 1, self.chain, record)

    def put(self, record: Record, data: bytes, chain: bytes) -> None:
        """The record is kept: it holds now."""
        self.last, self.chain = self.last + 1, chain
        segment = self.segments[-1]
        segment.put(self.last, data, chain, record)
        self.state = segment.state
        if type(record) is Acted:
            self.last_ms = record.steady_ms
        else:
            self.last_ms = time_of(record) or self.last_ms

    def too_much(self) -> bool:
        """The oldest segment has to be folded: there is no room, or too many small ones."""
        held = sum(len(each.data) for each in self.segments) + len(self._folded)
        return len(self.segments) > 1 and (
            held > self._limit - self.segment_bytes or len(self.segments) > 2 * SEGMENTS
        )

    def fold(self) -> Folded:
        """What the oldest segment and what is folded already come to; nothing changes until folds()."""
        return fold(self.folded, self.segments[0])

    def folds(self, folded: Folded) -> Segment:
        """That is kept: returns the segment that is no more."""
        self.folded, self._folded = folded, frame_of_folded(folded)
        return self.segments.popleft()

    # What is asked

    def gaps(self) -> set[tuple[float, str]]:
        """Those recorded: since when, and why."""
        folded = self.folded.gaps if self.folded else ()
        return {
            (gap.from_ms, gap.why)
            for gaps in (folded, *(each.gaps for each in self.segments))
            for gap in gaps
        }

    def piece(self, number: int, most: int) -> bytes:
        """Whole frames beyond number, some of most bytes; what is folded comes as one frame before them."""
        parts, size = [], 0
        if self.folded and number < self.folded.last:
            parts, size, number = [self._folded], len(self._folded), self.folded.last
        for segment in self.segments:
            if not segment.numbers or segment.numbers[-1] <= number:
                continue
            if size >= most:
                break
            part = segment.since(number, most - size)
            parts.append(part)
            size += len(part)
            number = segment.numbers[-1]
            if len(part) < len(segment.data) and not segment.data.endswith(part):
                break
        return b"".join(parts)
