"""Records of a sender's trail: values to bytes and back, numbered and chained.

Owns the format. Must never touch a file or a clock, or know what follows from a record.

Format, version 1, little-endian:

    trail   = frame*
    frame   = CE 5A length:u32 number:u64 chain:16 sum:u32 payload      sum: CRC-32 of all but itself
    payload = MessagePack array [tag, ...]                              the classes here
    chain   = BLAKE2b-128(chain of the frame before, number, payload); before the first: 16 zero bytes

The sum tells damage where the frame before is not at hand; the chain tells that nothing in between was
changed, left out or written twice. A frame that does not check is torn where no good one follows it (a
process ended while it wrote: normal, at the end of a life), and rot where one does.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from hashlib import blake2b
from zlib import crc32

import msgspec

from birchstack.fleet.versions import Version

FORMAT = 1
HEAD = struct.Struct("<2sIQ16s")
SUM = struct.Struct("<I")
MARK = b"\xce\x5a"
OVER = HEAD.size + SUM.size  # bytes of a frame besides its payload
WIDTH = 16
START = bytes(WIDTH)  # the chain before the first frame
MOST = 1 << 20  # a longer payload is no record
NUMBER = struct.Struct("<Q")


class Life(msgspec.Struct, array_like=True, tag="l", frozen=True):
    """A process begins to act from this folder. Times in milliseconds; steady: since the machine's start."""

    life: str
    name: str
    boot: str
    wall_ms: float
    steady_ms: float
    format: int = FORMAT


class Adopted(msgspec.Struct, array_like=True, tag="a", frozen=True):
    """From here on the sender acts on this version. order: how it stands to the one before. taken: False
    where it was told and the sender stays on what it has."""

    version: Version
    order: str
    source: str
    wall_ms: float
    steady_ms: float
    taken: bool = True


class Acted(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """One turn. calls: document and endpoint in turn, of each call that begins. rejected: how many documents;
    abandoned: which."""

    steady_ms: float
    calls: tuple[str, ...] = ()
    rejected: int = 0
    abandoned: tuple[str, ...] = ()


class Gap(msgspec.Struct, array_like=True, tag="g", frozen=True):
    """What was done in this time is not in the trail. calls: how many began, -1 where nobody knows."""

    from_ms: float
    to_ms: float
    why: str
    calls: int = -1


class Ended(msgspec.Struct, array_like=True, tag="e", frozen=True):
    """The process ended by itself: it acts no more."""

    steady_ms: float


class Tally(msgspec.Struct, array_like=True, frozen=True):
    """Calls begun to one endpoint: how many, the first and the last."""

    endpoint: str
    calls: int
    first_ms: float
    last_ms: float


class Total(msgspec.Struct, array_like=True, frozen=True):
    """A stretch without its single calls. number: the record that began it. versions: by kind, those acted
    on. mixed: several stretches put together; versions are then those that all of them had."""

    number: int
    life: str
    name: str
    boot: str
    versions: dict[str, Version]
    from_ms: float
    to_ms: float
    tallies: tuple[Tally, ...]
    rejected: int
    abandoned: int
    mixed: bool = False


class State(msgspec.Struct, array_like=True, frozen=True):
    """What holds at one place of a trail: whose it is, the versions acted on by kind, and the record that
    began the present stretch."""

    life: str = ""
    name: str = ""
    boot: str = ""
    versions: dict[str, Version] = {}
    stretch: int = 0
    from_ms: float = 0.0


class Folded(msgspec.Struct, array_like=True, tag="f", frozen=True):
    """Stands in place of the records first to last, which the bound on bytes no longer has room for."""

    first: int
    last: int
    chain: bytes  # of the record `last`
    state: State  # after it
    totals: tuple[Total, ...]
    gaps: tuple[Gap, ...] = ()


Record = Life | Adopted | Acted | Gap | Ended | Folded
_encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Record).decode


def after(state: State, number: int, record: Record) -> State:
    """What holds once the record of that number is read."""
    if isinstance(record, Life):  # a process knows nothing of what the one before it acted on
        return State(record.life, record.name, record.boot, {}, number, record.steady_ms)
    if isinstance(record, Adopted) and record.taken:
        versions = {**state.versions, record.version.kind: record.version}
        return State(state.life, state.name, state.boot, versions, number, record.steady_ms)
    return record.state if isinstance(record, Folded) else state


def time_of(record: Record) -> float | None:
    """When it was written, by the steady clock of its boot."""
    if isinstance(record, Gap):
        return record.to_ms
    return None if isinstance(record, Folded) else record.steady_ms


def chained(before: bytes, number: int, payload: bytes) -> bytes:
    return blake2b(before + NUMBER.pack(number) + payload, digest_size=WIDTH).digest()


def _framed(number: int, chain: bytes, payload: bytes) -> bytes:
    head = HEAD.pack(MARK, len(payload), number, chain)
    return head + SUM.pack(crc32(payload, crc32(head))) + payload


def frame(number: int, before: bytes, record: Record) -> tuple[bytes, bytes]:
    """The bytes of a record and its chain."""
    payload = _encode(record)
    chain = blake2b(before + NUMBER.pack(number) + payload, digest_size=WIDTH).digest()
    head = HEAD.pack(MARK, len(payload), number, chain)
    return head + SUM.pack(crc32(payload, crc32(head))) + payload, chain


def frame_of_folded(folded: Folded) -> bytes:
    """Stands where the record `last` stood, with its number and chain, so that what comes next follows it."""
    return _framed(folded.last, folded.chain, _encode(folded))


class Frame(msgspec.Struct, frozen=True):
    """One frame as read. at: where it begins among the bytes; size: of all of it."""

    number: int
    chain: bytes
    payload: bytes
    at: int
    size: int

    def follows(self, before: bytes) -> bool:
        return chained(before, self.number, self.payload) == self.chain

    def bytes(self) -> bytes:
        """As it lay."""
        return _framed(self.number, self.chain, self.payload)

    def record(self) -> Record:
        """Raises msgspec.DecodeError where a newer format wrote it."""
        return decode(self.payload)


class Damage(msgspec.Struct, frozen=True):
    """Bytes that are no frame. torn: nothing good follows them."""

    at: int
    size: int
    torn: bool


def _at(data: bytes, at: int) -> Frame | None:
    if data[at : at + 2] != MARK or len(data) - at < OVER:
        return None
    _, length, number, chain = HEAD.unpack_from(data, at)
    if length > MOST or len(data) - at < OVER + length:
        return None
    payload = data[at + OVER : at + OVER + length]
    head = data[at : at + HEAD.size]
    if SUM.unpack_from(data, at + HEAD.size)[0] != crc32(payload, crc32(head)):
        return None
    return Frame(number, chain, payload, at, OVER + length)


def scan(data: bytes) -> Iterator[Frame | Damage]:
    """Every frame and every damage among the bytes, in their order."""
    at = bad = 0
    while at < len(data):
        found = _at(data, at)
        if found is None:
            at = data.find(MARK, at + 1)
            at = len(data) if at < 0 else at
            continue
        if bad < at:
            yield Damage(bad, at - bad, False)
        yield found
        at = bad = at + found.size
    if bad < len(data):
        yield Damage(bad, len(data) - bad, True)
