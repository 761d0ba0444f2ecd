"""A sender's response to a collector that polls its audit trail: one typed value, encoded and decoded.

Owns the encoding of the response. GET /fleet/trail?after=NUMBER&most=BYTES on the operators' port, answered
in MessagePack. A POST carries a request for signals in addition (birchstack.signals.model).
"""

from __future__ import annotations

import msgspec

from birchstack.fleet.versions import Version

PATH = "/fleet/trail"
MAX_FRAMES_BYTES = 256 << 10  # largest size of the frames in one response, in bytes
DEFAULT_FRAMES_BYTES = 64 << 10  # size of the frames in one response if the request names none, in bytes


class TrailResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Frames after the requested record number, and the state of the process as it responds.

    Times are in milliseconds. process: random identifier drawn by each process at its start. life: the
    identifier under which the process acts, "" while it waits for the folder. last, chain: number and chain
    hash of the newest record. failing: records are being lost at the moment (a full disk).
    """

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
    list_ms: float = 0.0  # when the current list was adopted, by the steady clock
    heard_ms: float = 0.0  # time since the list watch last received anything
    ready: bool = True
    held: int = 0
    frames: bytes = b""
    signals: bytes = b""  # an encoded signals.model.SignalBatch; empty if this sender exchanges no signals


encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(TrailResponse).decode


def request_target(after: int, most: int = DEFAULT_FRAMES_BYTES) -> str:
    """Return the request target for the frames after a record number."""
    return f"{PATH}?after={after}&most={most}"
