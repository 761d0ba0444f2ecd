"""Records of the segmented ledger: values to bytes and back, and what a damaged segment still holds.

Owns the format: the head of a segment, the frame of a record, their sums. Must never touch a file or know
what follows from a record. The scanner is fed pieces of a segment in order and keeps one record at most.

Format, version 1, little-endian:

    segment  = head record*
    head     = "BSLG" version:u16 0:u16 number:u64 sum:u32          sum: CRC-32C of what is before it
    record   = B5 1C length:u32 sum:u32 payload                     sum: CRC-32C of length and payload
    payload  = MessagePack array [kind, id, ...]                    kinds and their words: the classes here

A record that does not check is damage. Where a record that checks comes behind it, the damage lies in the
middle of the segment (rot: something that was written is no more); where none comes, it is the tail that a
process left when it was ended (normal). The marks let the scanner find what comes behind.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

import google_crc32c
import msgspec

MAGIC, VERSION = b"BSLG", 1
HEAD = struct.Struct("<4sHHQI")
FRAME = struct.Struct("<2sII")
MARK = b"\xb5\x1c"
MOST = 16 << 20  # a longer record is no record


class Take(msgspec.Struct, array_like=True, tag_field="kind", tag="t", frozen=True):
    """A document is taken on. expiry: lasting clock, milliseconds. body: None where it lies aside."""

    id: str
    type: str
    destination: int
    key: str | None
    expiry: float
    size: int
    body: bytes | None


class Call(msgspec.Struct, array_like=True, tag_field="kind", tag="c", frozen=True):
    """A transmission is about to leave."""

    id: str
    zone: str
    when: float


class Back(msgspec.Struct, array_like=True, tag_field="kind", tag="b", frozen=True):
    """Its outcome came."""

    id: str
    doubt: bool
    failed: bool


class Past(msgspec.Struct, array_like=True, tag_field="kind", tag="p", frozen=True):
    """What led to the present of a document that was copied: in place of its calls and backs."""

    id: str
    sent: int
    failed: int
    out: tuple[str, float] | None
    doubt: tuple[tuple[str, float], ...]


class Notice(msgspec.Struct, array_like=True, tag_field="kind", tag="n", frozen=True):
    """It ended undelivered; the platform is to be told."""

    id: str
    result: str
    wait_ms: float


class Done(msgspec.Struct, array_like=True, tag_field="kind", tag="d", frozen=True):
    """Nothing more is owed."""

    id: str


class Kept(msgspec.Struct, array_like=True, tag_field="kind", tag="k", frozen=True):
    """A document of the backlog, whole and untried. expiry, taken: lasting clock, milliseconds."""

    id: str
    type: str
    destination: int
    key: str | None
    expiry: float
    body: bytes
    repeat_key: str | None = None
    tenant: str | None = None
    taken: float = 0.0


class Page(msgspec.Struct, array_like=True, tag_field="kind", tag="g", frozen=True):
    """Entries of a sorted run, one behind the other (birchstack.backlog.plan)."""

    entries: bytes


class Bits(msgspec.Struct, array_like=True, tag_field="kind", tag="f", frozen=True):
    """A piece of the filter of a run."""

    piece: bytes


class Marks(msgspec.Struct, array_like=True, tag_field="kind", tag="m", frozen=True):
    """All documents up to these marks are in runs: (destination, segment, documents before the segment,
    offset, documents before the offset). added, removed: runs (plan.Run)."""

    marks: list[tuple[int, int, int, int, int]]
    added: list[tuple[str, int, int, int, int]]
    removed: list[int]


class Moved(msgspec.Struct, array_like=True, tag_field="kind", tag="v", frozen=True):
    """A destination's backlog begins at a place now; ordinal: documents before it; ahead: of those behind it,
    ended. place 0: nothing is left up to segment `ordinal`."""

    destination: int
    place: int
    ordinal: int
    ahead: int


class Ended(msgspec.Struct, array_like=True, tag_field="kind", tag="e", frozen=True):
    """Documents in the backlog have had their end, by (expiry, destination, place); and all before `mark`."""

    entries: list[bytes]
    mark: bytes


class State(msgspec.Struct, array_like=True, tag_field="kind", tag="s", frozen=True):
    """Part of a snapshot: (destination, place, ordinal, ahead, marked place, documents before it, segments as
    number and documents before each)."""

    destinations: list[tuple[int, int, int, int, int, int, list[tuple[int, int]]]]


class Whole(msgspec.Struct, array_like=True, tag_field="kind", tag="w", frozen=True):
    """The snapshot is whole. next: number of the next file; past: names of files that only wait for their
    removal."""

    next: int
    mark: bytes
    ended: list[bytes]
    past: list[str]


Record = (
    Take | Call | Back | Past | Notice | Done | Kept | Page | Bits | Marks | Moved | Ended | State | Whole
)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Record).decode
_sum = google_crc32c.value
_extend = google_crc32c.extend


class HeadError(Exception):
    """The file is no segment of a version that is known here; says which."""


def head(number: int) -> bytes:
    """The first bytes of a segment."""
    plain = HEAD.pack(MAGIC, VERSION, 0, number, 0)[:-4]
    return plain + struct.pack("<I", _sum(plain))


def read_head(data: bytes) -> int:
    """The number of a segment, from its first HEAD.size bytes."""
    if len(data) < HEAD.size:
        raise HeadError(f"{len(data)} bytes are no head of a segment")
    magic, version, _, number, told = HEAD.unpack(data[: HEAD.size])
    if magic != MAGIC:
        raise HeadError(f"begins with {magic!r}, not {MAGIC!r}")
    if _sum(data[: HEAD.size - 4]) != told:
        raise HeadError("its head does not check")
    if version != VERSION:
        raise HeadError(f"version {version}; this program knows {VERSION}")
    return number


def frame(record: Record) -> bytes:
    """One record as it is written."""
    payload = _encode(record)
    length = len(payload)
    return FRAME.pack(MARK, length, _extend(_sum(length.to_bytes(4, "little")), payload)) + payload


def unframe(data: bytes) -> Record | None:
    """The record that these bytes begin with; None where none does, whole and checked."""
    if len(data) < FRAME.size:
        return None
    mark, length, told = FRAME.unpack_from(data)
    payload = data[FRAME.size : FRAME.size + length]
    if mark != MARK or length > MOST or len(payload) < length:
        return None
    if _extend(_sum(length.to_bytes(4, "little")), payload) != told:
        return None
    try:
        return _decode(payload)
    except msgspec.DecodeError:
        return None


def framed(data: bytes) -> int:
    """How long the record is that these bytes seem to begin with; 0 where none does."""
    if len(data) < FRAME.size:
        return 0
    mark, length, _ = FRAME.unpack_from(data)
    return FRAME.size + length if mark == MARK and length <= MOST else 0


class Damage(msgspec.Struct, frozen=True):
    """Bytes from start up to end that are no record. rot: a record that checks comes behind them."""

    start: int
    end: int
    rot: bool


class Scanner:
    """Fed a segment in pieces, its head left out; tells (offset, record) and, at the end, the damages.

    At most one record and one piece are held. Offsets count from the start of the segment; a scan may begin
    at any record's (at). past: the offset behind the record last told."""

    def __init__(self, number: int, at: int = HEAD.size) -> None:
        self.number, self.damages, self.past = number, [], at
        self._held, self._at = bytearray(), at  # _at: the offset of what is held
        self._bad: int | None = None  # where the present damage begins

    def feed(self, data: bytes) -> Iterator[tuple[int, Record]]:
        self._held += data
        yield from self._records(last=False)

    def end(self) -> Iterator[tuple[int, Record]]:
        """The segment is over; afterwards damages is complete."""
        yield from self._records(last=True)
        if self._held and self._bad is None:
            self._bad = self._at
        if self._bad is not None:
            self.damages.append(Damage(self._bad, self._at + len(self._held), rot=False))
        self._held.clear()

    def _records(self, last: bool) -> Iterator[tuple[int, Record]]:
        position = 0
        while (found := self._one(position, last)) is not None:
            length, record = found
            if record is None:  # no record begins here
                self._bad = self._at + position if self._bad is None else self._bad
                there = self._held.find(MARK, position + 1)
                if there < 0:  # the last byte may be half a mark
                    half = self._held[-1:] == MARK[:1] and position + 1 < len(self._held)
                    position = len(self._held) - half
                    break
                position = there
                continue
            if self._bad is not None:
                self.damages.append(Damage(self._bad, self._at + position, rot=True))
                self._bad = None
            self.past = self._at + position + length
            yield self._at + position, record
            position += length
        self._at += position
        del self._held[:position]

    def _one(self, position: int, last: bool) -> tuple[int, Record | None] | None:
        """The record at a position and its length; (0, None) for none; None where more bytes are needed."""
        left = len(self._held) - position
        if not left:
            return None
        if left < FRAME.size:
            whole = self._held[position : position + 2] == MARK[: min(2, left)]
            return None if whole and not last else (0, None)
        mark, length, told = FRAME.unpack_from(self._held, position)
        if mark != MARK or length > MOST:
            return 0, None
        if left < FRAME.size + length:
            return (0, None) if last else None
        start = position + FRAME.size
        payload = bytes(self._held[start : start + length])
        if _extend(_sum(length.to_bytes(4, "little")), payload) != told:
            return 0, None
        try:
            return FRAME.size + length, _decode(payload)
        except msgspec.DecodeError:  # it checks, and says what nobody knows here
            return 0, None
