"""Records of a sender's audit trail: encoded to bytes and back, numbered and hash-chained.

Owns the format. Must never touch a file or a clock, or know what follows from a record.

Format, version 1, little-endian:

    trail   = frame*
    frame   = CE 5A length:u32 number:u64 chain:16 sum:u32 payload      sum: CRC-32 of all but itself
    payload = MessagePack array [tag, ...]                              the classes of this module
    chain   = BLAKE2b-128(chain of the previous frame, number, payload); before the first: 16 zero bytes

The checksum detects damage where the previous frame is not available. The chain detects that records between
two frames were changed, left out or written twice. An invalid frame counts as torn if no valid frame follows
(the process ended during a write, which is normal at the end of a process run), and as corruption otherwise.

A stretch is the run of records during which the adopted versions and the process stay the same.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from hashlib import blake2b
from zlib import crc32

import msgspec

from birchstack.fleet.versions import Version

FORMAT = 1
HEADER = struct.Struct("<2sIQ16s")
CHECKSUM = struct.Struct("<I")
FRAME_MARKER = b"\xce\x5a"
FRAME_OVERHEAD = HEADER.size + CHECKSUM.size  # bytes of a frame besides its payload
CHAIN_BYTES = 16
INITIAL_CHAIN = bytes(CHAIN_BYTES)  # the chain before the first frame
MAX_PAYLOAD_BYTES = 1 << 20  # a frame with a longer payload is invalid
RECORD_NUMBER = struct.Struct("<Q")


class ProcessStart(msgspec.Struct, array_like=True, tag="l", frozen=True):
    """A process begins to act from this folder.

    incarnation: identifier of the process run. name: of the sender. boot: identifier of the machine's boot.
    Times are in milliseconds; steady_ms counts since that boot.
    """

    incarnation: str
    name: str
    boot: str
    wall_ms: float
    steady_ms: float
    format: int = FORMAT


class VersionAdopted(msgspec.Struct, array_like=True, tag="a", frozen=True):
    """From here on the sender acts on this version.

    order: how it compares to the previous one. taken: False if it was received and the sender keeps what it
    holds.
    """

    version: Version
    order: str
    source: str
    wall_ms: float
    steady_ms: float
    taken: bool = True


class TurnActions(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """The actions of one turn.

    calls: document and endpoint, alternating, of each call that begins. rejected: number of documents.
    abandoned: identifiers of documents.
    """

    steady_ms: float
    calls: tuple[str, ...] = ()
    rejected: int = 0
    abandoned: tuple[str, ...] = ()


class Gap(msgspec.Struct, array_like=True, tag="g", frozen=True):
    """Actions of this time are missing from the trail. calls: how many began, -1 if unknown."""

    from_ms: float
    to_ms: float
    why: str
    calls: int = -1


class ProcessEnd(msgspec.Struct, array_like=True, tag="e", frozen=True):
    """The process ended in an orderly way and acts no more."""

    steady_ms: float


class EndpointTally(msgspec.Struct, array_like=True, frozen=True):
    """Calls begun to one endpoint: their number, and the times of the first and the last."""

    endpoint: str
    calls: int
    first_ms: float
    last_ms: float


class StretchTotal(msgspec.Struct, array_like=True, frozen=True):
    """A stretch without its individual calls.

    number: of the record that began it. versions: those acted on, by kind. mixed: several stretches are
    combined; versions are then those that all of them share.
    """

    number: int
    incarnation: str
    name: str
    boot: str
    versions: dict[str, Version]
    from_ms: float
    to_ms: float
    tallies: tuple[EndpointTally, ...]
    rejected: int
    abandoned: int
    mixed: bool = False


class TrailState(msgspec.Struct, array_like=True, frozen=True):
    """What holds at one position of a trail.

    incarnation, name, boot: as in the last start of a process. versions: those acted on, by kind. stretch:
    number of the record that began the current stretch.
    """

    incarnation: str = ""
    name: str = ""
    boot: str = ""
    versions: dict[str, Version] = {}
    stretch: int = 0
    from_ms: float = 0.0


class CompactedRecords(msgspec.Struct, array_like=True, tag="f", frozen=True):
    """Totals in place of the records first to last, which were compacted to keep the size limit."""

    first: int
    last: int
    chain: bytes  # of the record `last`
    state: TrailState  # after the record `last`
    totals: tuple[StretchTotal, ...]
    gaps: tuple[Gap, ...] = ()


Record = ProcessStart | VersionAdopted | TurnActions | Gap | ProcessEnd | CompactedRecords
_encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Record).decode


def state_after(state: TrailState, number: int, record: Record) -> TrailState:
    """Return the state after the record of that number."""
    if isinstance(record, ProcessStart):  # a new process does not know what the previous one had adopted
        return TrailState(record.incarnation, record.name, record.boot, {}, number, record.steady_ms)
    if isinstance(record, VersionAdopted) and record.taken:
        versions = {**state.versions, record.version.kind: record.version}
        return TrailState(state.incarnation, state.name, state.boot, versions, number, record.steady_ms)
    return record.state if isinstance(record, CompactedRecords) else state


def record_time_ms(record: Record) -> float | None:
    """Return when the record was written, by the steady clock of its boot; None for compacted records."""
    if isinstance(record, Gap):
        return record.to_ms
    return None if isinstance(record, CompactedRecords) else record.steady_ms


def chain_hash(previous_chain: bytes, number: int, payload: bytes) -> bytes:
    """Return the chain hash of a record."""
    return blake2b(previous_chain + RECORD_NUMBER.pack(number) + payload, digest_size=CHAIN_BYTES).digest()


def _assemble_frame(number: int, chain: bytes, payload: bytes) -> bytes:
    """Return the bytes of a frame with a known chain hash."""
    header = HEADER.pack(FRAME_MARKER, len(payload), number, chain)
    return header + CHECKSUM.pack(crc32(payload, crc32(header))) + payload


def encode_frame(number: int, previous_chain: bytes, record: Record) -> tuple[bytes, bytes]:
    """Encode a record. Returns the bytes of its frame and its chain hash."""
    payload = _encode(record)
    chain = blake2b(previous_chain + RECORD_NUMBER.pack(number) + payload, digest_size=CHAIN_BYTES).digest()
    header = HEADER.pack(FRAME_MARKER, len(payload), number, chain)
    return header + CHECKSUM.pack(crc32(payload, crc32(header))) + payload, chain


def compacted_frame(compacted: CompactedRecords) -> bytes:
    """Encode compacted records, with the number and chain hash of the last one so that the next follows."""
    return _assemble_frame(compacted.last, compacted.chain, _encode(compacted))


class Frame(msgspec.Struct, frozen=True):
    """One decoded frame. offset: its position in the scanned bytes; size: of the whole frame in bytes."""

    number: int
    chain: bytes
    payload: bytes
    offset: int
    size: int

    def follows(self, previous_chain: bytes) -> bool:
        """Return whether the frame continues the chain."""
        return chain_hash(previous_chain, self.number, self.payload) == self.chain

    def stored_bytes(self) -> bytes:
        """Return the frame as it was stored."""
        return _assemble_frame(self.number, self.chain, self.payload)

    def record(self) -> Record:
        """Decode the record. Raises msgspec.DecodeError if it was written in a newer format."""
        return decode(self.payload)


class Damage(msgspec.Struct, frozen=True):
    """Bytes that are not a valid frame. torn: no valid frame follows them."""

    offset: int
    size: int
    torn: bool


def _frame_at(data: bytes, offset: int) -> Frame | None:
    """Return the frame at an offset, None if there is no valid one."""
    if data[offset : offset + 2] != FRAME_MARKER or len(data) - offset < FRAME_OVERHEAD:
        return None
    _, length, number, chain = HEADER.unpack_from(data, offset)
    if length > MAX_PAYLOAD_BYTES or len(data) - offset < FRAME_OVERHEAD + length:
        return None
    payload = data[offset + FRAME_OVERHEAD : offset + FRAME_OVERHEAD + length]
    header = data[offset : offset + HEADER.size]
    if CHECKSUM.unpack_from(data, offset + HEADER.size)[0] != crc32(payload, crc32(header)):
        return None
    return Frame(number, chain, payload, offset, FRAME_OVERHEAD + length)


def scan_frames(data: bytes) -> Iterator[Frame | Damage]:
    """Yield every frame and every damaged range of the bytes, in order."""
    offset = damage_start = 0
    while offset < len(data):
        found = _frame_at(data, offset)
        if found is None:
            offset = data.find(FRAME_MARKER, offset + 1)
            offset = len(data) if offset < 0 else offset
            continue
        if damage_start < offset:
            yield Damage(damage_start, offset - damage_start, False)
        yield found
        offset = damage_start = offset + found.size
    if damage_start < len(data):
        yield Damage(damage_start, len(data) - damage_start, True)
