"""What a sender answers a keeper that asks for its trail: one typed value, there and back.

Owns the form of the answer. GET /fleet/trail?after=NUMBER&most=BYTES on the operators' door, MessagePack; a
POST brings a question for signals along (birchstack.signals.model).
"""

from __future__ import annotations

import msgspec

from birchstack.fleet.versions import Version

PATH = "/fleet/trail"
MOST = 256 << 10  # bytes of frames in one answer at most
USUAL = 64 << 10


class Piece(msgspec.Struct, frozen=True, kw_only=True):
    """Frames beyond the number asked for, and what the process is at as it answers. Times in milliseconds.

    process: drawn by each process at its start; life: the one under which it acts, "" while it waits for the
    folder. last, chain: of the newest record. failing: records are being lost just now (a full disk)."""

    name: str
    process: str
    boot: str
    trail: str = ""
    life: str = ""
    holds: bool = True
    wall_ms: float
    steady_ms: float
    last: int = 0
    chain: bytes = b""
    failing: bool = False
    versions: dict[str, Version] = {}
    list_ms: float = 0.0  # when the list acted on was adopted, by the steady clock
    heard_ms: float = 0.0  # since the watch of the list last said anything
    ready: bool = True
    held: int = 0
    frames: bytes = b""
    signals: bytes = b""  # a signals.model.SignalBatch; nothing where this sender takes no part


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(Piece).decode


def target(after: int, most: int = USUAL) -> str:
    return f"{PATH}?after={after}&most={most}"
