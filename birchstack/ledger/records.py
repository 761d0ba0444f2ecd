"""Records of the segmented ledger and of the backlog: encoding, decoding, and recovery of damaged segments.

Owns the format: the header of a segment, the frame of a record, their checksums. Must never touch a file or
know what follows from a record. The scanner is fed pieces of a segment in order and holds at most one record.

Format, version 1, little-endian:

    segment  = header record*
    header   = "BSLG" version:u16 0:u16 number:u64 checksum:u32     checksum: CRC-32C of the bytes before it
    record   = B5 1C length:u32 checksum:u32 payload                checksum: CRC-32C of length and payload
    payload  = MessagePack array [kind, id, ...]                    kinds and their fields: the classes here

Bytes that are no valid record are damage. If a valid record follows, the damage is corruption in the middle
of the segment: something that was written is lost. If none follows, it is the torn tail that a killed process
leaves, which is normal. Every record begins with the marker B5 1C, by which the scanner finds the next one.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

import google_crc32c
import msgspec

MAGIC = b"BSLG"
VERSION = 1
HEAD = struct.Struct("<4sHHQI")  # the header of a segment: magic, version, 0, number, checksum
FRAME = struct.Struct("<2sII")  # the frame before a payload: marker, length, checksum
MARKER = b"\xb5\x1c"
MAX_PAYLOAD_SIZE = 16 << 20  # bytes; a greater length is taken as damage


class Take(msgspec.Struct, array_like=True, tag_field="kind", tag="t", frozen=True):
    """A document was accepted.

    expiry: in milliseconds of the lasting clock. body: None if it is stored in its own file.
    """

    id: str
    type: str
    destination: int
    key: str | None
    expiry: float
    size: int
    body: bytes | None


class Call(msgspec.Struct, array_like=True, tag_field="kind", tag="c", frozen=True):
    """A transmission is about to be written to its connection."""

    id: str
    zone: str
    when: float


class Back(msgspec.Struct, array_like=True, tag_field="kind", tag="b", frozen=True):
    """The outcome of a transmission arrived. doubt: whether the document may have run."""

    id: str
    doubt: bool
    failed: bool


class Past(msgspec.Struct, array_like=True, tag_field="kind", tag="p", frozen=True):
    """The history of a copied document, in place of its Call and Back records."""

    id: str
    sent: int
    failed: int
    out: tuple[str, float] | None
    doubt: tuple[tuple[str, float], ...]


class Notice(msgspec.Struct, array_like=True, tag_field="kind", tag="n", frozen=True):
    """A document ended undelivered; the platform is to be notified."""

    id: str
    result: str
    wait_ms: float


class Done(msgspec.Struct, array_like=True, tag_field="kind", tag="d", frozen=True):
    """A document is done: nothing more has to be sent for it."""

    id: str


class Kept(msgspec.Struct, array_like=True, tag_field="kind", tag="k", frozen=True):
    """A complete document of the backlog, not transmitted yet.

    expiry and taken (when it was accepted): in milliseconds of the lasting clock.
    """

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
    """Consecutive entries of a sorted run (birchstack.backlog.plan)."""

    entries: bytes


class Bits(msgspec.Struct, array_like=True, tag_field="kind", tag="f", frozen=True):
    """A piece of the Bloom filter of a run."""

    piece: bytes


class Marks(msgspec.Struct, array_like=True, tag_field="kind", tag="m", frozen=True):
    """Checkpoints of the index: all documents before them are in runs.

    marks: destination, segment, documents before the segment, offset, documents before the offset. added:
    runs (birchstack.backlog.plan.Run). removed: numbers of runs.
    """

    marks: list[tuple[int, int, int, int, int]]
    added: list[tuple[str, int, int, int, int]]
    removed: list[int]


class Moved(msgspec.Struct, array_like=True, tag_field="kind", tag="v", frozen=True):
    """The waiting documents of a destination begin at a new position.

    place: the position. ordinal: documents before it. ahead: ended documents from it on. With place 0 nothing
    is left in the segments up to number `ordinal`.
    """

    destination: int
    place: int
    ordinal: int
    ahead: int


class Ended(msgspec.Struct, array_like=True, tag_field="kind", tag="e", frozen=True):
    """Documents of the backlog ended.

    entries: their time entries (expiry, destination, position). mark: the watermark; the documents of all
    entries below it have ended.
    """

    entries: list[bytes]
    mark: bytes


class State(msgspec.Struct, array_like=True, tag_field="kind", tag="s", frozen=True):
    """Part of a snapshot: the states of some destinations.

    Each has destination, position, ordinal, ended documents from the position on, position of the checkpoint,
    documents before that, and the segments with number and documents before each.
    """

    destinations: list[tuple[int, int, int, int, int, int, list[tuple[int, int]]]]


class Whole(msgspec.Struct, array_like=True, tag_field="kind", tag="w", frozen=True):
    """The end of a snapshot.

    next: number of the next file. mark: the watermark. ended: time entries from the watermark on that ended.
    past: names of obsolete files that are still to be removed.
    """

    next: int
    mark: bytes
    ended: list[bytes]
    past: list[str]


Record = (
    Take | Call | Back | Past | Notice | Done | Kept | Page | Bits | Marks | Moved | Ended | State | Whole
)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Record).decode
_crc32c = google_crc32c.value
_extend_crc32c = google_crc32c.extend


class HeadError(Exception):
    """The data is no segment header of a known version; the message says why."""


def head(number: int) -> bytes:
    """Returns the header of a segment."""
    fields = HEAD.pack(MAGIC, VERSION, 0, number, 0)[:-4]
    return fields + struct.pack("<I", _crc32c(fields))


def read_head(data: bytes) -> int:
    """Returns the number of a segment from its first HEAD.size bytes."""
    if len(data) < HEAD.size:
        raise HeadError(f"segment header truncated: got {len(data)} bytes")
    magic, version, _, number, checksum = HEAD.unpack(data[: HEAD.size])
    if magic != MAGIC:
        raise HeadError(f"segment begins with {magic!r}, not {MAGIC!r}")
    if _crc32c(data[: HEAD.size - 4]) != checksum:
        raise HeadError("segment header has a wrong checksum")
    if version != VERSION:
        raise HeadError(f"segment has version {version}; only version {VERSION} is supported")
    return number


def frame(record: Record) -> bytes:
    """Returns a record as it is written."""
    payload = _encode(record)
    length = len(payload)
    return (
        FRAME.pack(MARKER, length, _extend_crc32c(_crc32c(length.to_bytes(4, "little")), payload)) + payload
    )


def unframe(data: bytes) -> Record | None:
    """Returns the record at the beginning of the data, or None if there is no complete, valid one."""
    if len(data) < FRAME.size:
        return None
    marker, length, checksum = FRAME.unpack_from(data)
    payload = data[FRAME.size : FRAME.size + length]
    if marker != MARKER or length > MAX_PAYLOAD_SIZE or len(payload) < length:
        return None
    if _extend_crc32c(_crc32c(length.to_bytes(4, "little")), payload) != checksum:
        return None
    try:
        return _decode(payload)
    except msgspec.DecodeError:
        return None


def frame_length(data: bytes) -> int:
    """Returns the length of the record whose frame begins the data, unchecked; 0 if none does."""
    if len(data) < FRAME.size:
        return 0
    marker, length, _ = FRAME.unpack_from(data)
    return FRAME.size + length if marker == MARKER and length <= MAX_PAYLOAD_SIZE else 0


class Damage(msgspec.Struct, frozen=True):
    """Bytes from start up to end that are no valid record. corruption: whether a valid record follows."""

    start: int
    end: int
    corruption: bool


class Scanner:
    """Finds the records of a segment that is fed in pieces, without its header.

    Yields (offset, record); damages is complete after end(). Holds at most one record and one piece. Offsets
    count from the start of the segment; a scan may begin at the offset of any record. end_offset is the
    offset after the last record that was yielded.
    """

    def __init__(self, number: int, offset: int = HEAD.size) -> None:
        self.number = number
        self.damages = []
        self.end_offset = offset
        self._buffer = bytearray()
        self._offset = offset  # of the buffer's first byte
        self._damage_start: int | None = None  # of the damage that has not ended yet

    def feed(self, data: bytes) -> Iterator[tuple[int, Record]]:
        """Yields the records that are complete with this piece."""
        self._buffer += data
        yield from self._records(last=False)

    def end(self) -> Iterator[tuple[int, Record]]:
        """Ends the segment: yields the last records and completes damages."""
        yield from self._records(last=True)
        if self._buffer and self._damage_start is None:
            self._damage_start = self._offset
        if self._damage_start is not None:
            self.damages.append(
                Damage(self._damage_start, self._offset + len(self._buffer), corruption=False)
            )
        self._buffer.clear()

    def _records(self, last: bool) -> Iterator[tuple[int, Record]]:
        position = 0
        while (found := self._record_at(position, last)) is not None:
            length, record = found
            if record is None:  # no valid record begins here
                self._damage_start = (
                    self._offset + position if self._damage_start is None else self._damage_start
                )
                next_marker = self._buffer.find(MARKER, position + 1)
                if next_marker < 0:  # the last byte may be the first half of a marker
                    half = self._buffer[-1:] == MARKER[:1] and position + 1 < len(self._buffer)
                    position = len(self._buffer) - half
                    break
                position = next_marker
                continue
            if self._damage_start is not None:
                self.damages.append(Damage(self._damage_start, self._offset + position, corruption=True))
                self._damage_start = None
            self.end_offset = self._offset + position + length
            yield self._offset + position, record
            position += length
        self._offset += position
        del self._buffer[:position]

    def _record_at(self, position: int, last: bool) -> tuple[int, Record | None] | None:
        """Returns the length and the record at a position in the buffer.

        Returns (0, None) if no valid record begins there, and None if more bytes are needed to tell.
        """
        available = len(self._buffer) - position
        if not available:
            return None
        if available < FRAME.size:
            plausible = self._buffer[position : position + 2] == MARKER[: min(2, available)]
            return None if plausible and not last else (0, None)
        marker, length, checksum = FRAME.unpack_from(self._buffer, position)
        if marker != MARKER or length > MAX_PAYLOAD_SIZE:
            return 0, None
        if available < FRAME.size + length:
            return (0, None) if last else None
        start = position + FRAME.size
        payload = bytes(self._buffer[start : start + length])
        if _extend_crc32c(_crc32c(length.to_bytes(4, "little")), payload) != checksum:
            return 0, None
        try:
            return FRAME.size + length, _decode(payload)
        except msgspec.DecodeError:  # the checksum is right, but the content is of no known kind
            return 0, None
