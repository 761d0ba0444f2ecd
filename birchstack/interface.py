"""The types through which the decisions of decide.py and their host talk. Nothing is decided here."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

REPLAYABLE, NUMBERED, BINDING = "replayable", "numbered", "binding"
OK, ERROR, FULL, TIMEOUT = "ok", "error", "full", "timeout"
CONNECT_FAILED, RESET, CANCELLED, UNSENT = "connect_failed", "reset", "cancelled", "unsent"
OUTCOMES = (OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, UNSENT)
GONE, READY, DRAINING = "gone", "ready", "draining"
CHANGES, WHOLE, FAILED = "changes", "whole", "failed"
KNOWN = "known"  # a whole list that was had before a start, and may be old


@dataclass(frozen=True, slots=True)
class DocumentType:
    """What one type of document asks for; times in milliseconds."""

    name: str
    effect: str
    agreed_ms: float
    expiry_ms: float
    value: float
    late_share: float
    one_zone: bool
    window_ms: float
    in_order: bool


@dataclass(frozen=True, slots=True)
class Settings:
    """What one sender is told when it starts; lists by kind are in the order of the host's kinds."""

    types: tuple[DocumentType, ...]
    slots: int
    max_held: int
    max_transmissions: int
    senders: int
    calls_per_connection: int
    per_call: tuple[int, ...]
    routes_apart: tuple[bool, ...]
    rates_listed: bool
    list_on_request: bool
    retry_after_ms: float
    cold_share: float
    warm_up_ms: float
    key_rest_ms: float
    notes: bool  # whether senders may pass notes to one another
    list_every_ms: float = 0.0  # an asked list: asked at least so often, or counted as told; 0: no bound
    tenants: tuple[tuple[str, float], ...] = ()  # name and documents a second of all senders in its share
    over_share: float = 1.0  # the value of a document beyond its tenant's share, of its type's


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One line of the list of endpoints."""

    name: str
    destination: int
    zone: str
    kind: int
    state: str
    rate: float


@dataclass(frozen=True, slots=True)
class Past:
    """What became of a document before its sender started again; times are the clock's, perhaps below 0."""

    sent: int = 0  # transmissions made
    failed: int = 0  # of those, failed otherwise than by a refusal
    doubt: tuple[tuple[float, str], ...] = ()  # time and zone of those that may have run


NO_PAST = Past()


@dataclass(slots=True)
class Submission:
    """A document as it is handed to the decisions. left_ms: until its expiry; key: of its order, if any;
    past: what became of it in a process before this one."""

    id: str
    destination: int
    type_name: str
    left_ms: float
    key: str | None = None
    past: Past = NO_PAST
    tenant: str | None = None


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one transmission ended. room and limit are None where the destination told nothing."""

    kind: str
    number: int
    elapsed_ms: float
    over: bool
    wait_ms: float = 0.0
    room: float | None = None
    limit: float | None = None
    kept: bool = True  # whether the connection lies idle now, where the outcome leaves that open


class SignalKind(enum.IntEnum):
    """What a sender saw of an endpoint and tells the other senders; the lower number goes first."""

    WAIT = 1  # the endpoint told a wait
    SERVED = 2  # a call was served, after failures that this sender saw or was told of
    FAILED = 3  # a call failed, otherwise than by a refusal


MOST_OBSERVERS = 16  # senders whose observations of one endpoint are counted at most


@dataclass(frozen=True, slots=True)
class Report:
    """What the other senders saw of one endpoint lately, summed up. Times in ms; ages are counted by steady
    clocks, up to now. failed_by: how many senders saw it fail since anybody was last served there, counted up
    to MOST_OBSERVERS; first_ms, last_ms: ages of the first and the last of those failures. served_ms: age of
    the last served call, or None. wait_ms: what is left of a wait that the endpoint told; wait_age_ms: since
    it was told."""

    endpoint: str
    failed_by: int = 0
    first_ms: float = 0.0
    last_ms: float = 0.0
    served_ms: float | None = None
    wait_ms: float = 0.0
    wait_age_ms: float = 0.0


class RecoveryStage(enum.StrEnum):
    """How far an endpoint that was away has come back, as one sender knows it."""

    DOWN = "down"  # it fails or is shut: one call at a time tries it
    WARMING = "warming"  # it serves again, and its share of calls rises in the warm-up time
    WARM = "warm"  # that time is over


@dataclass(frozen=True, slots=True)
class Recovery:
    """What a sender knows of an endpoint that was away, kept for the process that follows it.

    age_ms: since when it is in this stage. documents, span_ms: how many documents the sender took for the
    endpoint's destination and in what time, its usual rate there; a span of 0 where that is not known."""

    endpoint: str
    stage: RecoveryStage
    age_ms: float = 0.0
    documents: int = 0
    span_ms: float = 0.0


class Host(Protocol):
    """What a sender may ask for. Every call takes effect at the time of the turn that is being answered."""

    def transmit(self, doc_id: str, endpoint: str, patience_ms: float) -> None: ...

    def reject(self, doc_id: str, retry_after_ms: float) -> None: ...

    def abandon(self, doc_id: str) -> None: ...

    def close_idle(self, endpoint: str) -> None: ...

    def wake(self, after_ms: float) -> None: ...

    def subscribe(self) -> None: ...

    def tell(self, note: str) -> None: ...  # to all other senders, where settings permit it

    def observed(self, endpoint: str, kind: SignalKind, wait_ms: float) -> None:
        """For the other senders; only called while Events.linked said that signals reach this one."""

    def remember(self, recovery: Recovery) -> None:
        """An endpoint went away, came back or is warm again: kept for the process that follows this one."""

    def log(self, text: str) -> None: ...


class Events(Protocol):
    """What a host tells a sender. A turn is some events at one time, ended by one call of turn()."""

    def endpoints(self, now: float, mode: str, entries: list[Endpoint]) -> None: ...

    def document(self, now: float, given: Submission) -> None: ...

    def outcome(self, now: float, doc_id: str, endpoint: str, outcome: Outcome) -> None: ...

    def withdrawn(self, now: float, doc_id: str) -> None: ...

    def stands(self, now: float, doc_id: str) -> bool:
        """Asked just before a transmission is written that was decided earlier: whether it still may."""

    def recall(self, now: float, endpoint: str, wait_ms: float) -> None:
        """A wait that an endpoint told the process before this one, and that still has to run."""

    def recover(self, now: float, known: Recovery) -> None:
        """What the process before this one knew of an endpoint that was away; before waits and documents."""

    def heard(self, now: float, note: str) -> None: ...

    def linked(self, now: float, live: bool) -> None:
        """Whether signals of other senders reach this one; not until it is told so."""

    def reported(self, now: float, report: Report) -> None: ...

    def adopt(self, now: float, settings: Settings) -> None: ...

    def turn(self, now: float) -> None: ...
