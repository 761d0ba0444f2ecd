"""Planning of the segmented ledger: when a segment is full, which one is compacted, what room that needs.

Owns the account of bytes by segment and the choices that follow from it. Must never touch a file, a clock or
a record: the caller writes, and reports here what it wrote and what is no longer needed. Sizes are in bytes;
a segment counts in whole blocks, like the folder's limit.

Compaction copies the records of a sealed segment that are still needed to the end of the log, a few at a
step, and then removes the segment. It needs room for those bytes before it frees any, so that room is never
given to documents: `fits` keeps free what the segment with the most needed bytes would take, and one more
segment header. Hence compaction can always finish, however full the folder is.
"""

from __future__ import annotations

from dataclasses import dataclass

from birchstack.ledger.records import HEAD

BLOCK_SIZE = 512  # bytes
MAX_COMPACTION_SHARE = 0.5  # a segment is compacted once at most this share of its bytes is needed


@dataclass(slots=True)
class Segment:
    """Byte counts of a segment. written: its length; needed: the length of the records still needed."""

    written: int = HEAD.size
    needed: int = 0

    @property
    def blocks(self) -> int:
        """The length rounded up to whole blocks, in bytes."""
        return -(-self.written // BLOCK_SIZE) * BLOCK_SIZE


@dataclass(slots=True)
class Amplification:
    """Write and space amplification: bytes written per byte appended, and bytes stored per byte needed."""

    writes: float
    space: float


class Plan:
    """The account of segments.

    Segment numbers only grow; the last segment is appended to, the others are sealed.
    """

    def __init__(self, limit: int, segment_limit: int) -> None:
        """limit: of the folder. segment_limit: a segment is sealed before it grows beyond this."""
        if segment_limit <= HEAD.size or limit < 4 * segment_limit:
            raise ValueError(f"a limit of {limit} bytes is less than four segments of {segment_limit}")
        self._limit = limit
        self._segment_limit = segment_limit
        self.segments: dict[int, Segment] = {}
        self._appended = self._copied = 0
        self.victim: int | None = None  # the segment being compacted

    @property
    def last(self) -> int:
        """The number of the segment that is appended to; 0 if there is none."""
        return next(reversed(self.segments), 0)

    def used(self) -> int:
        """Returns the bytes of all segments, in whole blocks."""
        return sum(each.blocks for each in self.segments.values())

    def needed(self) -> int:
        """Returns the bytes of all records still needed."""
        return sum(each.needed for each in self.segments.values())

    # Reports of the caller

    def opened(self, number: int, written: int = HEAD.size) -> None:
        """A segment was created, or found at a start."""
        assert number > self.last, "segment numbers must grow"
        self.segments[number] = Segment(written)

    def wrote(self, size: int, needed: bool, copied: bool = False) -> int:
        """A record was appended to the last segment; returns its number, for a later call of past()."""
        segment = self.segments[self.last]
        segment.written += size
        segment.needed += size if needed else 0
        if copied:
            self._copied += size
        else:
            self._appended += size
        return self.last

    def past(self, number: int, size: int) -> None:
        """A record of a segment is no longer needed: its document is done, or the record was copied."""
        segment = self.segments[number]
        assert segment.needed >= size, "more bytes reported as past than were needed"
        segment.needed -= size

    def removed(self, number: int) -> None:
        """A segment was removed."""
        assert not self.segments[number].needed, "a removed segment must have no needed records"
        del self.segments[number]
        if number == self.victim:
            self.victim = None

    # Queries

    def rolls(self, size: int) -> bool:
        """Returns whether a record needs a new segment. One longer than a segment gets its own."""
        if not self.segments:
            return True
        written = self.segments[self.last].written
        return written > HEAD.size and written + size > self._segment_limit

    def reserve(self) -> int:
        """Returns the room reserved for compaction: the most needed bytes of a segment, and a new header."""
        most = max((each.needed for each in self.segments.values()), default=0)
        return -(-(most + 2 * HEAD.size) // BLOCK_SIZE) * BLOCK_SIZE + BLOCK_SIZE

    def fits(self, size: int) -> bool:
        """Returns whether there is room for records of this size.

        The size must include every record that their documents may still need.
        """
        header = HEAD.size + BLOCK_SIZE if self.rolls(size) else BLOCK_SIZE
        reserve_growth = max(0, size - max((each.needed for each in self.segments.values()), default=0))
        return self.used() + size + header + self.reserve() + reserve_growth <= self._limit

    def next(self) -> int | None:
        """Returns the segment to compact now, a step at a time, or None if none is worth it.

        A segment whose compaction has begun comes first. Otherwise it is the sealed segment with the smallest
        needed share, if that is small; with less than a segment free beside the reserve, even if it is not.
        """
        if self.victim is None:
            sealed = [number for number in self.segments if number != self.last]
            if not sealed:
                return None
            best = min(sealed, key=lambda number: (self._needed_share(number), number))
            nearly_full = self.used() + self.reserve() + self._segment_limit > self._limit
            if (
                self._needed_share(best) <= MAX_COMPACTION_SHARE
                or nearly_full
                and self._needed_share(best) < 1.0 - BLOCK_SIZE / self._segment_limit
            ):
                self.victim = best
        return self.victim

    def _needed_share(self, number: int) -> float:
        segment = self.segments[number]
        return segment.needed / max(1, segment.written - HEAD.size)

    def amplification(self) -> Amplification:
        """Returns the amplification since the plan was created."""
        return Amplification(
            (self._appended + self._copied) / max(1, self._appended), self.used() / max(1, self.needed())
        )
