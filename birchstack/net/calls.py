"""Calls to endpoints: their connections, the pool of idle ones, and the outcome of each call.

Owns every connection to an endpoint, the time-outs of calls and dials, and the mapping of responses to
outcomes. Never chooses an endpoint, never sends anything again by itself, and never keeps a connection that
the decision logic counts as closed.
"""

from __future__ import annotations

import asyncio
import itertools
import re
from collections.abc import Callable
from dataclasses import dataclass

from birchstack import interface
from birchstack.net import http1
from birchstack.net.call_log import CallLog, CloseReason
from birchstack.net.driver import Dial, Link
from birchstack.net.log import check_invariant
from birchstack.net.reuse import ReusePolicy, has_settled

PATH = "/hook"
# After these a connection may stay idle for the next call
REUSABLE_OUTCOMES = (interface.OK, interface.ERROR, interface.FULL)
DECIMAL = r"[0-9]{1,9}(?:\.[0-9]{0,18})?"
LOAD_REPORT = re.compile(rf"(?:TEXT )?x0=({DECIMAL}), ?x1=({DECIMAL})")
RESPONSE_REST_MS = 500.0  # a response must be complete this long after its status line, or it is malformed
MAX_READ_BYTES = 4096  # read at once of a response: more would hold up other work
IDLE_TIME_SHARE = 0.9  # of the endpoint's idle time-out: no call meets the endpoint's close


def classify_response(answer: http1.Response) -> tuple[str, bool, float]:
    """Maps a response to its outcome: kind, whether the document has ended, and the requested wait in ms."""
    if answer.status == 200:
        return interface.OK, True, 0.0
    if answer.status == 429:
        wait = answer.fields.get("x-come-back-ms", "")
        return interface.FULL, False, float(wait) if re.fullmatch(DECIMAL, wait) else 0.0
    if answer.status == 503:
        busy = answer.fields.get("x-line-busy", "").strip() == "1"
        return interface.UNSENT if busy else interface.FULL, False, 0.0
    if answer.status in (504, 410):
        return interface.UNSENT, answer.status == 410, 0.0
    return interface.ERROR, False, 0.0


def parse_load_report(answer: http1.Response) -> tuple[float | None, float | None]:
    """Reads the free capacity and the limit from a response; a report that is not fully valid is ignored."""
    report = LOAD_REPORT.fullmatch(answer.fields.get("server-load", ""))
    return (float(report[1]), float(report[2])) if report else (None, None)


@dataclass(slots=True)
class Call:
    """One transmission of a document to an endpoint."""

    doc_id: str
    attempt: int  # counts the transmissions of the document
    endpoint: str
    body: bytes
    timeout_ms: float  # time-out, counted from when the call is written
    repeat_key: str | None = None  # sent with every transmission if the client sent one (Idempotency-Key)
    started: float = 0.0  # when it was decided, on the clock of Calls
    written: float = 0.0  # when it was written
    destination: int = -1


class EndpointConnection:
    """One connection to an endpoint, from its dial to its close; carries one call at a time."""

    def __init__(self, calls: Calls, endpoint: str, where: tuple[str, int]) -> None:
        self._calls = calls
        self._log = calls.log
        self.number = next(calls.connection_numbers)  # names the connection in the log
        self.endpoint = endpoint
        self.address = where
        self._calls_carried = 0
        self.answered_at = 0.0  # when the last call ended
        self._link: Link | None = None
        self._dial: Dial | None = None
        self._call: Call | None = None
        self._answer: http1.Response | None = None
        self._reader = http1.ResponseReader()
        self._deadline_passed = False  # the call's time is over; bytes that have arrived are still read
        self._new = True  # dialled for the current call, not taken from the idle pool
        self._written = False  # the request was handed to the network
        self._status_received = False  # a status line (not 1xx) has come
        self._timer: asyncio.TimerHandle | None = None  # of dial, answer, rest of it, or idle: one at a time

    def begin(self, call: Call) -> None:
        """Assigns a call to this connection, which is dialled if it is not established yet."""
        self._call = call
        self._answer = None
        self._reader = http1.ResponseReader()
        self._status_received = False
        self._written = self._deadline_passed = False
        self._stop_timer()
        self._new = self._link is None
        if self._new:
            self._timer = self._calls.call_later(
                min(self._calls.dial_ms, call.timeout_ms), self._connect_failed
            )
            self._dial = Dial(self._calls.loop, self.address, self, self._connect_failed)

    def ready_for(self, call: Call) -> bool:
        """True if the connection is established for this call, and the call is not written yet."""
        return self._call is call and self._link is not None and not self._written

    def stale(self) -> bool:
        """True if the endpoint has closed an idle connection already, or sent unsolicited bytes."""
        return (
            self._link is None
            or self._link.closed
            or self._link.receive_state()[1]
            or self._link.unread_bytes() > 0
        )

    def start_idle(self) -> None:
        """Stays idle until the next call, or until shortly before the endpoint would close it."""
        self._timer = self._calls.call_later(self._calls.idle_ms * IDLE_TIME_SHARE, self._idle_expired)

    def close(self, reason: CloseReason) -> None:
        """Closes the connection at once, or gives up its dial."""
        self._stop_timer()
        if self._dial:
            self._dial.stop()
        if self._link:
            self._log.connection_closed(self.number, self.endpoint, reason, self._calls_carried)
            self._link.abort()

    def close_stale(self) -> None:
        """Closes an idle connection that stale() found unfit for a call."""
        if self._link is not None and self._link.unread_bytes() > 0:
            self._note_unrequested()
            self.close(CloseReason.UNREQUESTED_BYTES)
        else:
            self.close(CloseReason.CLOSED_BY_ENDPOINT)

    def _note_unrequested(self) -> None:
        since_answer_ms = self._calls.elapsed_since(self.answered_at)
        self._log.bytes_unrequested(self.number, self.endpoint, since_answer_ms)
        self._calls.distrust(self.endpoint)

    def _stop_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer = None

    def write(self) -> None:
        """Writes the request of the call, and starts its time-out."""
        call = self._call
        self._stop_timer()
        self._timer = self._calls.call_later(call.timeout_ms, self._timed_out)
        fields = {
            "Request-Id": call.doc_id,
            "Request-Timeout-Ms": max(1, int(call.timeout_ms)),
            **({"Idempotency-Key": call.repeat_key} if call.repeat_key else {}),
        }
        host = f"{self.address[0]}:{self.address[1]}"
        self._written = self._link.write(http1.request("POST", PATH, host, fields, call.body))
        if self._written:
            self._calls.transmitted += 1
            self._calls_carried += 1
            self._log.call_written(self.number, self.endpoint, call.doc_id, call.attempt, self._new)
        else:  # the connection was reset just now, and none of it was sent
            self._connect_failed()

    # Events of the link (driver.Owner)

    def opened(self, link: Link) -> None:
        """Reports the call as connected."""
        self._link = link
        link.max_read_bytes = MAX_READ_BYTES
        self._dial = None
        self._log.connection_opened(self.number, self.endpoint)
        if self._call:
            self._calls.on_connected(self._call)

    def received(self, data: memoryview) -> None:
        """Parses the response, and ends the call once that is complete or malformed."""
        if self._call is None:
            self._calls.discard(self, CloseReason.UNREQUESTED_BYTES)
            self._note_unrequested()
            return
        if not self._written:  # cannot be the answer to a call that is not written yet
            self._note_unrequested()
            self._connect_failed()
            return
        try:
            for event in self._reader.feed(data):
                if isinstance(event, http1.Response):
                    self._answer = event
                elif event is http1.END:
                    self._on_response_complete()
                    return
        except http1.MalformedError as problem:
            self._malformed(str(problem))
            return
        if self._reader.status and not self._status_received:
            self._status_received = True
            self._timer.cancel()
            left = self._call.timeout_ms - self._calls.elapsed_since(self._call.written)
            self._timer = self._calls.call_later(
                min(RESPONSE_REST_MS, max(0.0, left)), self._malformed, "response not complete in time"
            )
            if self._reader.status == 200:
                self._calls.on_delivered(self._call)
        if self._reader.status == 200 and self._reader.complete_at_end():
            self._end_call(keep=False)  # the body has no meaning: no need to wait for its end

    def _on_response_complete(self) -> None:
        """Ends the call; further bytes that came with the response answer no call."""
        alone = self._reader.between_messages
        if not alone:
            self.answered_at = self._calls.now()
            self._note_unrequested()
        self._end_call(keep=self._answer.keep_alive and not self._link.unsent and alone, complete=True)

    def lost(self) -> None:
        """Ends the call, if there is one; an idle connection leaves the pool."""
        if self._call is None:
            self._calls.discard(self, CloseReason.CLOSED_BY_ENDPOINT)
        else:
            self._end_call(keep=False, complete=self._answer is not None and self._reader.complete_at_end())

    # Ends of a call

    def _connect_failed(self) -> None:
        self._end_call(keep=False)

    def cancel(self) -> None:
        """Ends the call without writing it: it may not or cannot be written any more."""
        self._end_call(keep=False, cancelled=not self._new or not self.stale())

    def _timed_out(self) -> None:
        if self._link.unread_bytes() and not self._deadline_passed:  # an answer came in this pass: read first
            self._deadline_passed = True
            self._timer = self._calls.call_later(0.0, self._timed_out)
            return
        self._end_call(keep=False, timed_out=True)

    def _idle_expired(self) -> None:
        self._calls.discard(self, CloseReason.IDLE_TIMEOUT)

    def _malformed(self, problem: str) -> None:
        self._log.response_malformed(self.endpoint, problem)
        self._end_call(keep=False, malformed=True)

    def _end_call(
        self,
        keep: bool,
        complete: bool = False,
        timed_out: bool = False,
        malformed: bool = False,
        cancelled: bool = False,
    ) -> None:
        """Determines the outcome of the call; keep: whether the connection can serve another call."""
        call, answer = self._call, self._answer
        if not check_invariant(call, "a call ends exactly once"):
            return
        self._call = None
        self._stop_timer()
        over, wait_ms, room, limit = False, 0.0, None, None
        if answer:
            room, limit = parse_load_report(answer)
        if self._reader.status == 200:  # the status line is enough, whatever follows it
            kind, over = interface.OK, True
            if not self._status_received:
                self._calls.on_delivered(call)
        elif answer and complete:  # any other response proves nothing unless it is complete
            kind, over, wait_ms = classify_response(answer)
        elif cancelled:
            kind = interface.UNSENT
        elif not self._written or self._link is None or self._link.unsent:
            kind = interface.CONNECT_FAILED
        elif malformed:
            kind = interface.ERROR
        else:
            kind = interface.TIMEOUT if timed_out else interface.RESET
        self.answered_at = self._calls.now()
        self._log.call_ended(
            self.number,
            self.endpoint,
            call.doc_id,
            kind,
            self._reader.status,
            self._calls.elapsed_since(call.written or call.started),
        )
        self._calls.call_ended(
            self, call, keep and kind in REUSABLE_OUTCOMES, (kind, over, wait_ms, room, limit)
        )


class Calls:
    """All connections to endpoints, and the calls in flight.

    on_connected(call): a dialled connection is established, and its call waits for write_or_cancel().
    on_delivered(call): the status line of a 200 has come. on_end(call, outcome): the call has ended, reported
    once for each.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        idle_ms: float,
        dial_ms: float,
        max_idle: int,
        on_connected: Callable,
        on_delivered: Callable,
        on_end: Callable,
    ) -> None:
        self.loop = loop
        self._clock = clock
        self.idle_ms = idle_ms
        self.dial_ms = dial_ms
        self._max_idle = max_idle
        self.on_connected = on_connected
        self.on_delivered = on_delivered
        self._on_end = on_end
        self.addresses: dict[str, tuple[str, int]] = {}  # by endpoint
        self.log = CallLog()
        self._reuse = ReusePolicy()
        self.connection_numbers = itertools.count(1)
        self.transmitted = 0  # requests written completely to endpoints, for the metrics
        self._idle: dict[EndpointConnection, None] = {}  # oldest first
        self._busy: dict[str, EndpointConnection] = {}  # by document id

    def call_later(self, ms: float, function: Callable, *arguments: object) -> asyncio.TimerHandle:
        """Calls a function after a time in milliseconds."""
        return self.loop.call_later(ms / 1000.0, function, *arguments)

    def now(self) -> float:
        """The time of the clock, in milliseconds."""
        return self._clock()

    def elapsed_since(self, moment: float) -> float:
        """Milliseconds since a moment of the clock."""
        return self._clock() - moment

    def __len__(self) -> int:
        return len(self._busy)

    def remove_endpoint(self, endpoint: str) -> None:
        """Forgets an endpoint that left the list, except for its calls in flight."""
        self.addresses.pop(endpoint, None)
        self.close_idle(endpoint, CloseReason.ADDRESS_CHANGED)

    def set_address(self, endpoint: str, where: tuple[str, int]) -> None:
        """Sets the address of an endpoint; idle connections to another address are closed."""
        if self.addresses.get(endpoint) != where:
            self.addresses[endpoint] = where
            self.close_idle(endpoint, CloseReason.ADDRESS_CHANGED)

    def begin(self, call: Call) -> bool:
        """Assigns a connection to a call: True if an idle one is ready, False if one is dialled."""
        check_invariant(call.doc_id not in self._busy, "a document has at most one transmission in flight")
        call.started = self._clock()
        connection = self._take_idle(call.endpoint) or EndpointConnection(
            self, call.endpoint, self.addresses[call.endpoint]
        )
        self._busy[call.doc_id] = connection
        connection.begin(call)
        return connection.ready_for(call)

    def can_write(self, call: Call) -> bool:
        """True if the call still has a connection, to its endpoint's current address, and is not written.

        Guards against what arrived since the connection was chosen or established and has not been read yet:
        an end or a reset, which would leave the call in doubt, and bytes that would be taken for its answer.
        Limit: what arrives after this check is not noticed.
        """
        connection = self._busy.get(call.doc_id)
        return (
            connection is not None
            and connection.ready_for(call)
            and connection.address == self.addresses.get(call.endpoint)
            and not connection.stale()
        )

    def write_or_cancel(self, call: Call, may_write: bool) -> None:
        """Writes a call whose connection is established, or ends it as one that was never sent."""
        connection = self._busy.get(call.doc_id)
        if connection is not None and connection.ready_for(call):
            call.written = self._clock()
            (connection.write if may_write else connection.cancel)()

    def _take_idle(self, endpoint: str) -> EndpointConnection | None:
        """Takes the most recently used settled connection to an endpoint, and closes stale ones on the way.

        Where only connections are left that have not settled, the oldest is closed: the call gets a new one,
        and the endpoint holds no more of them than before.
        """
        now = self._clock()
        unsettled = None
        for connection in [each for each in reversed(self._idle) if each.endpoint == endpoint]:
            if connection not in self._idle:  # closed with one before it, whose endpoint is not trusted now
                continue
            if not has_settled(now, connection.answered_at):
                unsettled = connection
                continue
            del self._idle[connection]
            if not connection.stale():
                return connection
            connection.close_stale()
        if unsettled in self._idle:
            self.discard(unsettled, CloseReason.NOT_SETTLED)
        return None

    def call_ended(self, connection: EndpointConnection, call: Call, keep: bool, result: tuple) -> None:
        """Pools or closes the connection of a call that ended, and reports the outcome.

        result: the fields of the outcome, without those that are known here.
        """
        self._busy.pop(call.doc_id, None)
        reason = self._reason_to_close(connection, keep, result[0])
        if reason is None:
            self._idle[connection] = None
            connection.start_idle()
            if len(self._idle) > self._max_idle:
                self.discard(next(iter(self._idle)), CloseReason.POOL_FULL)
        else:  # before the outcome is reported: one transmission of a document at a time
            connection.close(reason)
        kind, *rest = result
        elapsed_ms = self.elapsed_since(call.started)
        self._on_end(call, interface.Outcome(kind, call.attempt, elapsed_ms, *rest, reason is None))

    def _reason_to_close(self, connection: EndpointConnection, keep: bool, kind: str) -> CloseReason | None:
        """Returns why a connection cannot stay open after its call, or None if it can."""
        if not keep:
            answered = kind in REUSABLE_OUTCOMES or kind == interface.UNSENT
            return CloseReason.NOT_KEPT_ALIVE if answered else CloseReason.CALL_FAILED
        if connection.address != self.addresses.get(connection.endpoint):
            return CloseReason.ADDRESS_CHANGED
        if not self._reuse.allows(self._clock(), connection.endpoint):
            return CloseReason.NOT_TRUSTED
        return None

    def discard(self, connection: EndpointConnection, reason: CloseReason) -> None:
        """Removes an idle connection from the pool, and closes it."""
        self._idle.pop(connection, None)
        connection.close(reason)

    def distrust(self, endpoint: str) -> None:
        """An endpoint sent bytes that answer no call: its connections are not used for further calls."""
        now = self._clock()
        self._reuse.distrust(now, endpoint)
        distrusts_all = self._reuse.distrusts_all(now)
        for connection in [each for each in self._idle if distrusts_all or each.endpoint == endpoint]:
            self.discard(connection, CloseReason.NOT_TRUSTED)

    def close_idle(self, endpoint: str, reason: CloseReason = CloseReason.BY_DECISION) -> None:
        """Closes the idle connections to an endpoint."""
        for connection in [each for each in self._idle if each.endpoint == endpoint]:
            self.discard(connection, reason)

    def close(self) -> None:
        """Closes all connections, those of calls in flight too."""
        for connection in [*self._idle, *self._busy.values()]:
            connection.close(CloseReason.SHUTDOWN)
