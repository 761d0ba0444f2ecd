"""The messages that carry signals between senders and collectors, encoded as versioned MessagePack.

Owns the encoding only. A sender answers a collector with a SignalBatch; the collector's next request carries
as Evidence what the collector knows from the other senders. Times are in milliseconds. Ages are counted by
steady clocks: each process adds the time for which it held a signal, and the transit time is bounded
(birchstack.signals.echo).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta, Struct

from birchstack.interface import MAX_OBSERVERS, Report, SignalKind

PROTOCOL_VERSION = 1
MAX_WAIT_MS = 600_000  # longer waits are passed on as this
SIGNAL_LIFETIME_MS = 10_000.0  # served and failed calls are passed on up to this age

Name = Annotated[str, Meta(min_length=1, max_length=256)]
Count = Annotated[int, Meta(ge=0, le=1 << 53)]
Cursor = tuple[Count, Count, Count]  # last sequence number received of each signal kind, in kind order


class SignalError(ValueError):
    """The bytes are not a message of the supported version."""


class Signal(Struct, frozen=True, array_like=True, omit_defaults=True):
    """One observation of an endpoint.

    sequence: its sequence number within the observer's incarnation. wait_ms: for a wait, the time that the
    endpoint asked for.
    """

    endpoint: Name
    kind: SignalKind
    sequence: Annotated[int, Meta(ge=1, le=1 << 53)]
    age_ms: Count
    wait_ms: Annotated[int, Meta(ge=0, le=MAX_WAIT_MS)] = 0


class SignalBatch(Struct, frozen=True, array_like=True):
    """Signals of one observer.

    incarnation: random identifier of its process. incarnation_age_ms: time since that process became active.
    request_accepted: whether the request's evidence was accepted, so that it need not be sent again.
    """

    version: int
    incarnation: Name
    incarnation_age_ms: Count
    request_accepted: bool
    signals: tuple[Signal, ...] = ()


class Evidence(Struct, frozen=True, array_like=True, omit_defaults=True):
    """What a collector knows of one endpoint, as in interface.Report. served_ms: -1 if no call was served."""

    endpoint: Name
    failed_by: Annotated[int, Meta(ge=0, le=MAX_OBSERVERS)] = 0
    first_ms: Count = 0
    last_ms: Count = 0
    served_ms: Annotated[int, Meta(ge=-1, le=1 << 53)] = -1
    wait_ms: Annotated[int, Meta(ge=0, le=MAX_WAIT_MS)] = 0
    wait_age_ms: Count = 0

    def report(self, delay_ms: float) -> Report:
        """Convert to a report for the decisions, ages increased by the transit delay.

        The remaining wait is not shortened by the delay.
        """
        return Report(
            endpoint=self.endpoint,
            failed_by=self.failed_by,
            first_ms=self.first_ms + delay_ms,
            last_ms=self.last_ms + delay_ms,
            served_ms=self.served_ms + delay_ms if self.served_ms >= 0 else None,
            wait_ms=self.wait_ms,
            wait_age_ms=self.wait_age_ms + delay_ms,
        )


class SignalRequest(Struct, frozen=True, array_like=True):
    """A collector's request to a participating sender.

    acknowledged: cursor of the signals that the collector has from that sender. incarnation,
    sender_clock_ms: the sender's process and its steady clock, as in its last response; clock_age_ms: time
    since that response arrived.
    """

    version: int
    acknowledged: Cursor
    incarnation: Name
    sender_clock_ms: float
    clock_age_ms: float
    evidence: tuple[Evidence, ...] = ()


Message = TypeVar("Message", SignalBatch, SignalRequest)
_decode_batch = msgspec.msgpack.Decoder(SignalBatch).decode
_decode_request = msgspec.msgpack.Decoder(SignalRequest).decode
encode = msgspec.msgpack.Encoder().encode


def _decode_versioned(decode: Callable[[bytes], Message], data: bytes) -> Message:
    """Decode a message and check its version. Raises SignalError."""
    try:
        message = decode(data)
    except msgspec.DecodeError as problem:
        raise SignalError(str(problem)) from problem
    if message.version != PROTOCOL_VERSION:
        raise SignalError(f"unsupported version {message.version}, expected {PROTOCOL_VERSION}")
    return message


def decode_batch(data: bytes) -> SignalBatch:
    """Decode a sender's response. Raises SignalError."""
    return _decode_versioned(_decode_batch, data)


def decode_request(data: bytes) -> SignalRequest:
    """Decode a collector's request. Raises SignalError."""
    return _decode_versioned(_decode_request, data)
