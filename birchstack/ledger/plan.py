"""What the segmented ledger does next: when a segment is full, which one is copied, what room is kept for it.

Owns the account of bytes by segment and the choices that follow from it. Must never touch a file, a clock or
a record: the folder writes, and tells here what it wrote and what is past. Sizes are bytes; a segment counts
in whole blocks, as the folder's limit does.

Compaction copies what is still needed of a sealed segment to the end of the log, a few records a step, and
then removes the segment. It needs room for those bytes before it gives any back, so that room is never given
to documents: `fits` keeps free what the segment with most still needed in it would take, and one head more.
With that, compaction can always finish, however full the folder is.
"""

from __future__ import annotations

from dataclasses import dataclass

from birchstack.ledger.records import HEAD

BLOCK = 512
MOSTLY_PAST = 0.5  # a segment is copied once no more than this share of it is needed


@dataclass(slots=True)
class Segment:
    """written: its length; needed: the bytes of records that still count."""

    written: int = HEAD.size
    needed: int = 0

    @property
    def blocks(self) -> int:
        return -(-self.written // BLOCK) * BLOCK


@dataclass(slots=True)
class Amplification:
    """What compaction costs: bytes written for each byte appended, and bytes kept for each byte needed."""

    writes: float
    space: float


class Plan:
    """The account. Numbers of segments only grow; the last one is written to, the others are sealed."""

    def __init__(self, limit: int, most: int) -> None:
        """limit: of the folder; most: a segment is sealed once it would grow beyond this."""
        if most <= HEAD.size or limit < 4 * most:
            raise ValueError(f"a limit of {limit} bytes is less than four segments of {most}")
        self._limit, self._most = limit, most
        self.segments: dict[int, Segment] = {}
        self._appended = self._copied = 0
        self.victim: int | None = None  # the segment that is being copied

    @property
    def last(self) -> int:
        """The segment that is written to; 0 before the first."""
        return next(reversed(self.segments), 0)

    def used(self) -> int:
        return sum(each.blocks for each in self.segments.values())

    def needed(self) -> int:
        return sum(each.needed for each in self.segments.values())

    # What is told

    def opened(self, number: int, written: int = HEAD.size) -> None:
        """A segment was begun, or found at the start."""
        assert number > self.last, "numbers of segments grow"
        self.segments[number] = Segment(written)

    def wrote(self, size: int, needed: bool, copied: bool = False) -> int:
        """A record was appended to the last segment; returns its number, for past() later."""
        segment = self.segments[self.last]
        segment.written += size
        segment.needed += size if needed else 0
        if copied:
            self._copied += size
        else:
            self._appended += size
        return self.last

    def past(self, number: int, size: int) -> None:
        """A record there is needed no more: its document is done, or it was copied on."""
        segment = self.segments[number]
        assert segment.needed >= size, "no more is past than was needed"
        segment.needed -= size

    def removed(self, number: int) -> None:
        assert not self.segments[number].needed, "a segment that goes is needed by nothing"
        del self.segments[number]
        if number == self.victim:
            self.victim = None

    # What is asked

    def rolls(self, size: int) -> bool:
        """Whether a record needs a new segment. One longer than a segment gets one of its own."""
        if not self.segments:
            return True
        written = self.segments[self.last].written
        return written > HEAD.size and written + size > self._most

    def reserve(self) -> int:
        """Kept free for compaction: the most that one segment needs, in blocks, and a new head."""
        most = max((each.needed for each in self.segments.values()), default=0)
        return -(-(most + 2 * HEAD.size) // BLOCK) * BLOCK + BLOCK

    def fits(self, size: int) -> bool:
        """Whether records of so many bytes may be taken on, with all that their documents may still write."""
        head = HEAD.size + BLOCK if self.rolls(size) else BLOCK
        grown = max(0, size - max((each.needed for each in self.segments.values()), default=0))
        return self.used() + size + head + self.reserve() + grown <= self._limit

    def next(self) -> int | None:
        """The segment to copy from now, a step at a time; None while nothing is worth it.

        One that was begun is gone on with. Else the sealed segment with the least share needed, if it is
        mostly past; under pressure (less than a segment left beside what is kept free) even if it is not.
        """
        if self.victim is None:
            sealed = [number for number in self.segments if number != self.last]
            if not sealed:
                return None
            best = min(sealed, key=lambda number: (self._share(number), number))
            pressed = self.used() + self.reserve() + self._most > self._limit
            if self._share(best) <= MOSTLY_PAST or pressed and self._share(best) < 1.0 - BLOCK / self._most:
                self.victim = best
        return self.victim

    def _share(self, number: int) -> float:
        segment = self.segments[number]
        return segment.needed / max(1, segment.written - HEAD.size)

    def amplification(self) -> Amplification:
        """Since the plan was made."""
        return Amplification(
            (self._appended + self._copied) / max(1, self._appended), self.used() / max(1, self.needed())
        )
