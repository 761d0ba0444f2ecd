"""The messages that carry signals between senders and keepers, and their form: MessagePack, with a version.

Owns the form only. A sender answers a keeper with a SignalBatch; the keeper's next Question takes along what
it knows from the others as Evidence. Times are milliseconds. Ages are counted by steady clocks: each process
adds the time that a signal lay with it, and the time on the way is bounded (birchstack.signals.echo).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta, Struct

from birchstack.interface import MAX_OBSERVERS, Report, SignalKind

VERSION = 1
LONGEST_WAIT_MS = 600_000  # a wait is passed on so long at most
LIFETIME_MS = 10_000.0  # a served or a failed call is told of so long

Name = Annotated[str, Meta(min_length=1, max_length=256)]
Count = Annotated[int, Meta(ge=0, le=1 << 53)]
Sequences = tuple[Count, Count, Count]  # one for each kind, in their order: the last one taken


class SignalError(ValueError):
    """Bytes that are no message of this version."""


class Signal(Struct, frozen=True, array_like=True, omit_defaults=True):
    """One observation. sequence: its number in its observer's life. wait_ms: of a wait, as it was told."""

    endpoint: Name
    kind: SignalKind
    sequence: Annotated[int, Meta(ge=1, le=1 << 53)]
    age_ms: Count
    wait_ms: Annotated[int, Meta(ge=0, le=LONGEST_WAIT_MS)] = 0


class SignalBatch(Struct, frozen=True, array_like=True):
    """Signals of one observer. life: drawn by its process; life_ms: how long ago that process began to act.
    heard: whether the question was believed, so that its evidence need not come again."""

    version: int
    life: Name
    life_ms: Count
    heard: bool
    signals: tuple[Signal, ...] = ()


class Evidence(Struct, frozen=True, array_like=True, omit_defaults=True):
    """What a keeper knows of one endpoint, as interface.Report. served_ms: -1 where nobody was served."""

    endpoint: Name
    failed_by: Annotated[int, Meta(ge=0, le=MAX_OBSERVERS)] = 0
    first_ms: Count = 0
    last_ms: Count = 0
    served_ms: Annotated[int, Meta(ge=-1, le=1 << 53)] = -1
    wait_ms: Annotated[int, Meta(ge=0, le=LONGEST_WAIT_MS)] = 0
    wait_age_ms: Count = 0

    def report(self, delay_ms: float) -> Report:
        """For the decisions. delay_ms: how long this was on its way. A wait is not shortened by that."""
        return Report(
            endpoint=self.endpoint,
            failed_by=self.failed_by,
            first_ms=self.first_ms + delay_ms,
            last_ms=self.last_ms + delay_ms,
            served_ms=self.served_ms + delay_ms if self.served_ms >= 0 else None,
            wait_ms=self.wait_ms,
            wait_age_ms=self.wait_age_ms + delay_ms,
        )


class Question(Struct, frozen=True, array_like=True):
    """What a keeper asks a sender that takes part. taken: what it has of that sender's signals. life,
    clock_ms: the sender's process and its steady clock, as in its last answer; held_ms: how long ago that
    came."""

    version: int
    taken: Sequences
    life: Name
    clock_ms: float
    held_ms: float
    evidence: tuple[Evidence, ...] = ()


Message = TypeVar("Message", SignalBatch, Question)
_decode_batch = msgspec.msgpack.Decoder(SignalBatch).decode
_decode_question = msgspec.msgpack.Decoder(Question).decode
encode = msgspec.msgpack.Encoder().encode


def _decoded(decode: Callable[[bytes], Message], data: bytes) -> Message:
    try:
        message = decode(data)
    except msgspec.DecodeError as problem:
        raise SignalError(str(problem)) from problem
    if message.version != VERSION:
        raise SignalError(f"version {message.version}; {VERSION} is known")
    return message


def decode_batch(data: bytes) -> SignalBatch:
    """Raises SignalError."""
    return _decoded(_decode_batch, data)


def decode_question(data: bytes) -> Question:
    """Raises SignalError."""
    return _decoded(_decode_question, data)
