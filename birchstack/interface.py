"""Types shared by the decision logic of decide.py and its host. This module contains no logic."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

# Effects of a document type: what a repeated transmission does at the destination
REPLAYABLE = "replayable"  # may run any number of times
NUMBERED = "numbered"  # the endpoint drops repeats within the deduplication window
BINDING = "binding"  # must not be transmitted again once it may have run

# Kinds of outcome of a transmission
OK = "ok"
ERROR = "error"
FULL = "full"  # the destination refused the call because of load
TIMEOUT = "timeout"
CONNECT_FAILED = "connect_failed"
RESET = "reset"
CANCELLED = "cancelled"
UNSENT = "unsent"  # the call was never written to a connection
OUTCOMES = (OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, UNSENT)

# States of an endpoint in the list
GONE = "gone"
READY = "ready"
DRAINING = "draining"

# Modes of an update of the endpoint list
CHANGES = "changes"
WHOLE = "whole"
FAILED = "failed"
KNOWN = "known"  # a whole list saved before the process started; it may be out of date


@dataclass(frozen=True, slots=True)
class DocumentType:
    """Delivery requirements of one document type; times in milliseconds."""

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
    """Settings of one sender. Tuples with one item per endpoint kind follow the host's order of kinds."""

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
    notes: bool  # whether senders may exchange notes
    list_every_ms: float = 0.0  # longest interval between two requests for the list; 0: no bound
    tenants: tuple[tuple[str, float], ...] = ()  # name and quota: documents per second over all senders
    over_share: float = 1.0  # value of a document beyond its tenant's quota, as a share of its type's value


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list.

    started_ms: when its process started, in Unix time; 0 if that is long ago or not known.
    """

    name: str
    destination: int
    zone: str
    kind: int
    state: str
    rate: float
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class History:
    """Transmissions of a document by earlier processes of this sender.

    Times are on this process's clock, so they may be negative.
    """

    sent: int = 0  # transmissions made
    failed: int = 0  # transmissions that failed, refusals for load not counted
    in_doubt: tuple[tuple[float, str], ...] = ()  # time and zone of the transmissions that may have run


NO_HISTORY = History()


@dataclass(slots=True)
class Submission:
    """A document handed to the decision logic.

    remaining_ms is the time left until the document expires; key is its ordering key, if it has one.
    """

    id: str
    destination: int
    type_name: str
    remaining_ms: float
    key: str | None = None
    history: History = NO_HISTORY
    tenant: str | None = None


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one transmission. headroom and limit are None where the destination reported none."""

    kind: str
    attempt: int
    elapsed_ms: float
    final: bool
    wait_ms: float = 0.0
    headroom: float | None = None
    limit: float | None = None
    reusable: bool = True  # whether the connection is idle now, for outcomes that leave this open


class SignalKind(enum.IntEnum):
    """An observation of an endpoint that a sender shares with the others; lower numbers are sent first."""

    WAIT = 1  # the endpoint asked for a wait
    SERVED = 2  # a call was served after failures that this sender saw or that were reported to it
    FAILED = 3  # a call failed, other than by a refusal for load


MAX_OBSERVERS = 16  # upper bound of the senders counted as observers of one endpoint


@dataclass(frozen=True, slots=True)
class Report:
    """Summary of what the other senders observed at one endpoint recently.

    Times are in milliseconds; ages are measured by steady clocks, up to now. failed_by is the number of
    senders that saw the endpoint fail since any sender was last served there, at most MAX_OBSERVERS; first_ms
    and last_ms are the ages of the first and the last of those failures. served_ms is the age of the last
    served call, or None. wait_ms is what remains of a wait that the endpoint asked for; wait_age_ms is the
    time since it asked.
    """

    endpoint: str
    failed_by: int = 0
    first_ms: float = 0.0
    last_ms: float = 0.0
    served_ms: float | None = None
    wait_ms: float = 0.0
    wait_age_ms: float = 0.0


class RecoveryStage(enum.StrEnum):
    """How far an endpoint has recovered from an outage, as one sender knows it."""

    DOWN = "down"  # failing or shut: probed with one call at a time
    WARMING = "warming"  # serving again: its share of calls rises during the warm-up time
    WARM = "warm"  # the warm-up time is over


@dataclass(frozen=True, slots=True)
class Recovery:
    """What a sender knows of an endpoint after an outage, saved for the next process.

    age_ms is the time spent in this stage. documents and span_ms are the number of documents that the sender
    received for the endpoint's destination and the time it took, which give the usual rate; a span of 0 means
    that the rate is not known.
    """

    endpoint: str
    stage: RecoveryStage
    age_ms: float = 0.0
    documents: int = 0
    span_ms: float = 0.0


class Host(Protocol):
    """Actions that a sender may request. Each takes effect at the time of the turn being processed."""

    def transmit(self, doc_id: str, endpoint: str, timeout_ms: float) -> None:
        """Sends a document to an endpoint."""

    def reject(self, doc_id: str, retry_after_ms: float) -> None:
        """Answers that the document was not delivered and may be submitted again."""

    def abandon(self, doc_id: str) -> None:
        """Answers that delivery was given up and the document must not be submitted again."""

    def close_idle(self, endpoint: str) -> None:
        """Closes the idle connections to an endpoint."""

    def wake(self, after_ms: float) -> None:
        """Requests a turn after a delay."""

    def subscribe(self) -> None:
        """Requests the endpoint list."""

    def broadcast(self, note: str) -> None:
        """Sends a note to all other senders; only called where the settings permit notes."""

    def observed(self, endpoint: str, kind: SignalKind, wait_ms: float) -> None:
        """Shares an observation with the other senders; only called while signals are available."""

    def save_recovery(self, recovery: Recovery) -> None:
        """Saves a change of an endpoint's recovery stage for the next process."""

    def log(self, text: str) -> None:
        """Writes a log line."""


class Events(Protocol):
    """Events that a host reports to a sender. A turn is a group of events at one time, ended by turn()."""

    def endpoints(self, now: float, mode: str, entries: list[Endpoint]) -> None:
        """The endpoint list or changes to it arrived, or a request for it failed."""

    def document(self, now: float, given: Submission) -> None:
        """A document was submitted."""

    def outcome(self, now: float, doc_id: str, endpoint: str, outcome: Outcome) -> None:
        """A transmission ended."""

    def withdrawn(self, now: float, doc_id: str) -> None:
        """The client withdrew a document."""

    def confirm_transmission(self, now: float, doc_id: str) -> bool:
        """Returns whether a transmission requested earlier may still be written, just before it is."""

    def restore_wait(self, now: float, endpoint: str, wait_ms: float) -> None:
        """An endpoint asked the previous process for a wait, of which wait_ms remain."""

    def restore_recovery(self, now: float, known: Recovery) -> None:
        """The previous process saved a recovery; reported before any restored wait and any document."""

    def note_received(self, now: float, note: str) -> None:
        """A note from another sender arrived."""

    def signals_available(self, now: float, live: bool) -> None:
        """Signals of other senders became available or unavailable; initially they are unavailable."""

    def report_received(self, now: float, report: Report) -> None:
        """A report of the other senders' observations arrived."""

    def reconfigure(self, now: float, settings: Settings) -> None:
        """The settings changed."""

    def turn(self, now: float) -> None:
        """Ends a group of events: the sender acts on them."""

    def turn_without_calls(self, now: float) -> None:
        """Ends a group of events while the host makes no calls: documents still end in time."""
