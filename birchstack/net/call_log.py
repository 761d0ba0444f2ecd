"""Records of calls to endpoints: counters for the metrics, and a debug log line for each event.

Owns the counters and the names of the events. Must never change what happens to a call or a connection.
"""

from __future__ import annotations

import enum
import logging
from collections import Counter

from birchstack.net.log import log_debug, log_event

FIRST_LOGGED = 3  # warnings of a kind that are logged, before only each WARNING_INTERVAL-th is
WARNING_INTERVAL = 1000
log = logging.getLogger(__name__)


class CloseReason(enum.StrEnum):
    """Why a connection to an endpoint was closed."""

    CALL_FAILED = "call_failed"  # the call on it had no complete answer
    NOT_KEPT_ALIVE = "not_kept_alive"  # its answer was the last one, by the endpoint's word or its status
    UNREQUESTED_BYTES = "unrequested_bytes"  # bytes came that answer no call
    CLOSED_BY_ENDPOINT = "closed_by_endpoint"
    IDLE_TIMEOUT = "idle_timeout"
    POOL_FULL = "pool_full"
    NOT_SETTLED = "not_settled"  # needed again too soon after its last answer (reuse.py)
    NOT_TRUSTED = "not_trusted"  # its endpoint, or the way there, copies answers (reuse.py)
    ADDRESS_CHANGED = "address_changed"
    BY_DECISION = "by_decision"  # the decision logic wants no idle connections there
    SHUTDOWN = "shutdown"


class CallLog:
    """Counts and logs what happens to calls and to the connections that carry them."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()  # by kind of outcome
        self.closed: Counter[CloseReason] = Counter()
        self.opened = 0
        self.malformed = 0
        self.unrequested = 0  # times that bytes came which answer no call

    def figures(self) -> list[tuple[str, object]]:
        """Returns the metrics, by name."""
        return [
            ("connections.opened", self.opened),
            ("connections.unrequested_bytes", self.unrequested),
            *((f"connections.closed.{reason}", self.closed[reason]) for reason in CloseReason),
            *((f"calls.{kind}", count) for kind, count in sorted(self.outcomes.items())),
        ]

    def connection_opened(self, number: int, endpoint: str) -> None:
        """A dialled connection is established."""
        self.opened += 1
        log_debug(log, "connection opened", connection=number, endpoint=endpoint)

    def connection_closed(self, number: int, endpoint: str, reason: CloseReason, calls: int) -> None:
        """A connection is being closed; calls: the number of calls that it carried."""
        self.closed[reason] += 1
        log_debug(
            log,
            "connection closed",
            connection=number,
            endpoint=endpoint,
            reason=reason,
            calls=calls,
        )

    def call_written(self, number: int, endpoint: str, doc_id: str, attempt: int, new: bool) -> None:
        """A call was written; new: on a connection that was dialled for it."""
        log_debug(
            log,
            "call",
            doc=doc_id,
            attempt=attempt,
            endpoint=endpoint,
            connection=number,
            new=new,
        )

    def call_ended(
        self, number: int, endpoint: str, doc_id: str, kind: str, status: int, since_written_ms: float
    ) -> None:
        """A call ended; status: that of the answer, 0 without one."""
        self.outcomes[kind] += 1
        log_debug(
            log,
            "call ended",
            doc=doc_id,
            endpoint=endpoint,
            connection=number,
            outcome=kind,
            status=status,
            after_ms=since_written_ms,
        )

    def bytes_unrequested(self, number: int, endpoint: str, since_answer_ms: float) -> None:
        """Bytes came on a connection on which no call waits for an answer."""
        self.unrequested += 1
        if _is_logged(self.unrequested):
            log_event(
                log,
                "unrequested bytes",
                logging.WARNING,
                endpoint=endpoint,
                connection=number,
                since_answer_ms=since_answer_ms,
                count=self.unrequested,
            )

    def response_malformed(self, endpoint: str, problem: str) -> None:
        """A response was malformed, or not complete in time."""
        self.malformed += 1
        if _is_logged(self.malformed):
            log_event(
                log,
                "spoilt answer",
                logging.WARNING,
                endpoint=endpoint,
                problem=problem,
                count=self.malformed,
            )


def _is_logged(count: int) -> bool:
    return count <= FIRST_LOGGED or count % WARNING_INTERVAL == 0
