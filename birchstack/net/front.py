"""Clients: reads the documents that they submit, and writes their answers, in the order of the requests.

Owns the listening socket, every client connection, their number and the time that a request may stay
incomplete. Never answers a document by itself: it passes the document to the sender, which answers it
through the ClientRequest it was given.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections import deque
from collections.abc import Callable

from birchstack.net import http1
from birchstack.net.driver import Link
from birchstack.net.log import log_debug, log_event
from birchstack.net.machine import Listener, Machine
from birchstack.net.parsing import ParseScheduler
from birchstack.net.periodic import PeriodicTask, run_isolated
from birchstack.net.room import max_accepting
from birchstack.net.submission import CLIENT_TIMEOUT_MS, UNAVAILABLE, ClientRequest, InvalidRequestError

READY_PATHS = ("/up", "/alive")
MAX_READ_BYTES = 8192  # read at once from a client; what it sends beyond waits in the kernel
UNLIMITED_BYTES = 1 << 62
REQUEST_TIMEOUT_S = 2.0  # a request must be complete this long after its connection or its first byte
OVERDUE_S = 0.5  # a request that this process has not parsed yet gets so much longer
IDLE_TIMEOUT_S = 3.0  # a connection without a request is closed after this long
SWEEP_INTERVAL_S = 0.25
QUIET_PASSES = 3  # passes of the event loop without a new connection, before the listener is closed
MAX_UNANSWERED = 8  # requests that may wait for their answer on one connection
FIRST_LOGGED = 3  # incidents of a kind that are logged, before only each WARNING_INTERVAL-th is
WARNING_INTERVAL = 1000
METRIC_GAP = re.compile("[^a-z]+")  # replaced in the name of a metric
log = logging.getLogger(__name__)


class ReadinessCheck:
    """A request other than a document whose body has still to come."""

    __slots__ = ("path", "keep_alive")

    def __init__(self, head: http1.Request) -> None:
        self.path = head.path
        self.keep_alive = head.keep_alive


class ImmediateAnswer:
    """An answer that is known at once: to a bad request, or to a readiness check."""

    __slots__ = ("answer",)

    def __init__(self, answer: bytes) -> None:
        self.answer = answer


class ClientConnection:
    """One client connection.

    due: by when a request must be complete, or the next one must come; request_began: when the current
    request's first byte came; received_at: when the bytes came that are being parsed, at the earliest;
    has_requested: whether any request has been complete; gone: closed, or being closed.
    """

    def __init__(self, server: ClientServer) -> None:
        self._server = server
        self._reader = http1.RequestReader()
        self.link: Link | None = None
        self._head: ReadinessCheck | ClientRequest | None = None  # of the request that is being read
        self._body = bytearray()
        self.held_bytes = 0  # of requests that are not complete, as counted by the server
        self._responses: deque[ClientRequest | ImmediateAnswer] = deque()  # in the order of the requests
        self.gone = False
        self._last_request = False  # no further request is read
        self.has_requested = False
        self.due = self.request_began = self.received_at = 0.0
        self._paused_at: float | None = None  # since when nothing is read
        self._documents_unwaited = 0  # documents sent without waiting for the answers to those before

    @property
    def idle(self) -> bool:
        """True if no request, complete or not, is being read or answered."""
        return (
            not self._responses
            and self._head is None
            and self._reader.between_messages
            and not self.link.unread_bytes()
        )

    def stalled(self) -> bool:
        """True if a request has stayed incomplete for longer than its client waits."""
        return (
            not self._responses
            and self.since_ms(self.request_began) > CLIENT_TIMEOUT_MS
            and not self._reader.pending
            and not self.link.unread_bytes()
        )

    def opened(self, link: Link) -> None:
        """Registers the connection, and starts the time-out of its first request."""
        self.link = link
        link.max_read_bytes = MAX_READ_BYTES
        self.request_began = self._server.time()
        self.due = self.request_began + REQUEST_TIMEOUT_S
        self._server.register(self)

    def lost(self) -> None:
        """Unregisters the connection."""
        self.gone = True
        self._stop_reading()
        self._server.unregister(self)

    def _stop_reading(self) -> None:
        """Reads no further request, and frees what is held of an incomplete one."""
        self._last_request = True
        self._reader.discard()
        self._server.forget_incomplete(self._head)
        self._head = None
        self._body = bytearray()
        self._server.hold(self, 0)

    def since_ms(self, moment: float) -> float:
        """Milliseconds since a time of the loop."""
        return (self._server.time() - moment) * 1000.0

    def received(self, data: memoryview) -> None:
        """Parses requests; a malformed one is answered, and ends the connection."""
        if self._last_request:
            return
        self._server.touch(self)
        waited = self._paused_at is None and not self._responses and not self._reader.held_bytes
        if waited:  # for the answers so far
            self._documents_unwaited = 0
        # What waited in the kernel while reading was paused may have come at any time since
        self.received_at = self._server.time() if self._paused_at is None else self._paused_at
        self._paused_at = None
        self._reader.append(data)
        self._server.scheduler.parse(self)

    def parse(self, max_steps: int) -> None:
        """Parses a slice of what was received."""
        if self._paused_at is not None and self.link.receive_state()[1]:
            self.drop("client left")
        steps = 0
        try:
            while steps < max_steps and self.unparsed:
                steps += 1
                if self._reader.starting:
                    self._begin_request()
                for event in self._reader.step():
                    self._on_event(event)
        except http1.MalformedError as problem:
            self._respond(problem.status, str(problem), close=True)
        if not self._last_request:
            self._server.hold(self, self._reader.held_bytes + len(self._body))
            self._server.bound_requests()
        if not self.gone and self.link.unsent:  # it sends requests and does not read the answers
            self._server.count("slow reader closed")
            self.drop("slow reader")

    @property
    def unparsed(self) -> bool:
        """Whether there is more to parse."""
        return self._reader.pending and not self._last_request and not self.gone

    def set_reading_paused(self, paused: bool) -> None:
        """Pauses or resumes reading."""
        if paused:
            self._paused_at = self._server.time()
        elif not self.link.unread_bytes():  # nothing came meanwhile
            self._paused_at = None
        self.link.set_reading_paused(paused)

    def _begin_request(self) -> None:
        """Starts the time-out of a request."""
        self.request_began = self.received_at
        due = self.request_began + REQUEST_TIMEOUT_S
        self.due = due if self.has_requested else min(self.due, due)

    def _on_event(self, event: http1.Request | bytes | None) -> None:
        if isinstance(event, http1.Request):
            self._on_head(event)
        elif event is not http1.END:
            self._body += event
        else:
            self._on_request()

    def _on_head(self, head: http1.Request) -> None:
        """Validates a request before its body arrives: one that is not valid is answered at once."""
        if self._documents_unwaited >= MAX_UNANSWERED:
            self._respond(503, "too many unanswered requests", close=True)
        elif head.method == "POST":
            self._on_document_head(head)
        elif head.method == "GET":
            self._head = ReadinessCheck(head)
        else:
            self._respond(405, close=True)

    def _on_document_head(self, head: http1.Request) -> None:
        try:
            self._head = ClientRequest(self, head, self._server)
        except InvalidRequestError as problem:
            self._respond(problem.status, str(problem), close=True)
            return
        self._server.add_incomplete(self._head)
        self._documents_unwaited += 1
        if head.fields.get("expect", "").lower() == "100-continue" and not self._responses:
            self.link.write(http1.CONTINUE)

    def _on_request(self) -> None:
        """Passes a complete document on, or answers a readiness check."""
        request, body = self._head, self._body
        self._server.forget_incomplete(request)
        self._head = None
        self._body = bytearray()
        self.has_requested = True
        if isinstance(request, ClientRequest):
            request.body = bytes(body)
            if not request.keep_alive or self._server.ending:
                self._stop_reading()
            self._responses.append(request)
            if self._server.is_preceded(request):
                self._server.count("id of another open request")
                request.reply(UNAVAILABLE, close=self._server.ending)
            else:
                self._server.on_document(request)
        elif request.path not in READY_PATHS:
            self._respond(404, close=True)
        else:
            self._respond(
                503 if self._server.ending else 200, close=not request.keep_alive or self._server.ending
            )

    def _respond(self, status: int, problem: str = "", close: bool = False) -> None:
        if problem:
            self._server.count(f"bad request: {problem}")
        self._responses.append(ImmediateAnswer(http1.response(status, None, close)))
        self.flush(close)

    def flush(self, close: bool = False) -> None:
        """Writes the answers that are known, up to the first that is not; close: reads no further request."""
        if close:
            self._stop_reading()
        while self._responses and self._responses[0].answer is not None:
            self.link.write(self._responses.popleft().answer)
        if not self._responses:
            self.due = self._server.time() + IDLE_TIMEOUT_S
            if self._last_request and not self.gone:
                self.gone = True
                self._server.close_gracefully(self)

    def refuse(self) -> None:
        """Answers 503 and closes the connection, whatever it requests."""
        self._respond(503, close=True)

    def on_deadline(self) -> None:
        """Its time is over: an idle connection is closed, and an incomplete request is answered first."""
        if self._responses:
            return
        if self._reader.pending or self.link.unread_bytes():  # its bytes wait for this process
            if self._server.time() >= self.due + OVERDUE_S:
                self._respond(503, "not parsed in time", close=True)
            return
        if self._head is None and self._reader.between_messages:
            self.flush(close=True)  # not by a reset, which the client could not tell from a request cut off
        else:
            self._respond(408, "not complete in time", close=True)

    def drop(self, reason: str) -> None:
        """Resets the connection; reason: for the log."""
        if self.link and not self.gone:
            log_debug(log, "client connection reset", reason=reason)
            self.gone = True
            self._stop_reading()
            self._server.unregister(self)
            self.link.abort()


class ClientServer:
    """The listener for clients, and their connections.

    on_document(request) is called for each document once its last byte was read; serves(destination) tells
    whether a destination is known; types: the expiry in ms by document type; max_request_bytes: what
    incomplete requests may hold together.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        types: dict[str, float],
        max_clients: int,
        serves: Callable[[int], bool],
        on_document: Callable[[ClientRequest], None],
        max_request_bytes: int = UNLIMITED_BYTES,
    ) -> None:
        self._loop = loop
        self.scheduler = ParseScheduler(loop)
        self.types = types
        self._max_clients = max_clients
        self.serves = serves
        self.on_document = on_document
        self._max_request_bytes = max_request_bytes
        self._request_bytes = 0  # held of incomplete requests
        self._incomplete: dict[str, list[ClientRequest]] = {}  # documents whose body has not come, by id
        self._clients: dict[ClientConnection, None] = {}  # least recently active first
        self._leaving: dict[Link, None] = {}  # sent their last answer, not closed yet
        self._listener: Listener | None = None
        self._machine: Machine | None = None
        self.time = loop.time
        self.closing = False
        self.drained = False
        self.counts: dict[str, int] = {}  # incidents, by what happened

    async def open(self, machine: Machine, where: tuple[str, int]) -> None:
        """Starts listening."""
        self._machine = machine
        self._listener = await machine.listen(
            self._loop,
            where,
            lambda: Link(ClientConnection(self)),
            True,
            max_accepting(self._max_clients),
            self._on_no_descriptor,
        )
        PeriodicTask(self._loop, SWEEP_INTERVAL_S, self._sweep)

    def __len__(self) -> int:
        return len(self._clients)

    def busy(self) -> bool:
        """True until no client can come any more, and all that came have received their answers."""
        listens = self._listener is not None and self._listener.is_serving()
        return bool(listens or self._clients or self._leaving)

    def count(self, what: str) -> None:
        """Counts an incident; the first three of a kind are logged, and each 1,000th."""
        self.counts[what] = self.counts.get(what, 0) + 1
        if self.counts[what] <= FIRST_LOGGED or self.counts[what] % WARNING_INTERVAL == 0:
            log_event(log, what, logging.WARNING, count=self.counts[what], clients=len(self._clients))

    def figures(self) -> list[tuple[str, object]]:
        """Returns the metrics, by name."""
        return [
            ("clients", len(self._clients)),
            ("clients.closing", len(self._leaving)),
            ("clients.incomplete_bytes", self._request_bytes),
            *(
                (f"clients.{METRIC_GAP.sub('_', what.lower())}", count)
                for what, count in sorted(self.counts.items())
            ),
        ]

    def register(self, client: ClientConnection) -> None:
        """Registers a connection; beyond the limit, another one is closed or this one is refused."""
        self._clients[client] = None
        if len(self._clients) + len(self._leaving) > self._max_clients:
            self._make_room(client)

    def _make_room(self, newest: ClientConnection) -> None:
        """Closes connections until the limit is kept; one with a live request is never closed.

        First goes the connection that has been silent the longest and never made a request, then one that is
        closing, though its peer may not have read its last answer yet, then one that is idle or has been
        incomplete for too long. If there is none, the newest one is refused.
        """
        self.count("too many clients")
        while len(self._clients) + len(self._leaving) > self._max_clients:
            others = [each for each in self._clients if each is not newest]
            silent = next((each for each in others if not each.has_requested and each.idle), None)
            if silent is None and self._leaving:
                link = next(iter(self._leaving))
                del self._leaving[link]
                link.abort()
            elif free := silent or next((each for each in others if each.idle or each.stalled()), None):
                free.drop("too many clients")
            else:
                newest.refuse()
                break

    def _on_no_descriptor(self) -> None:
        """No descriptor is left to accept a connection: closes those that have been idle the longest."""
        self.count("no descriptor for a client")
        for client in [each for each in self._clients if each.idle][: max_accepting(self._max_clients)]:
            client.drop("no descriptor")

    def unregister(self, client: ClientConnection) -> None:
        """Unregisters a connection."""
        self._clients.pop(client, None)

    def close_gracefully(self, client: ClientConnection) -> None:
        """Closes a connection gracefully, once its last answer is written."""
        log_debug(log, "client connection closed", ending=self.ending, requested=client.has_requested)
        self.unregister(client)
        self._leaving[client.link] = None
        client.link.finish(lambda: self._leaving.pop(client.link, None))

    def hold(self, client: ClientConnection, count: int) -> None:
        """Counts what a connection holds of incomplete requests."""
        self._request_bytes += count - client.held_bytes
        client.held_bytes = count

    def add_incomplete(self, request: ClientRequest) -> None:
        """Registers a document whose head has been read."""
        self._incomplete.setdefault(request.id, []).append(request)

    def forget_incomplete(self, request: ReadinessCheck | ClientRequest | None) -> None:
        """Forgets a document that is complete, or never will be."""
        if not isinstance(request, ClientRequest):
            return
        others = self._incomplete[request.id]
        others.remove(request)
        if not others:
            del self._incomplete[request.id]

    def is_preceded(self, request: ClientRequest) -> bool:
        """Whether another client began a request with the same id earlier, which is not complete yet.

        That one has the id: if this one were accepted first, the other one could not be."""
        return any(each.sent_at <= request.sent_at for each in self._incomplete.get(request.id, ()))

    def bound_requests(self) -> None:
        """Refuses incomplete requests while all of them hold too much.

        Those go first that have been silent the longest: a client that sends on is done soon."""
        while self._request_bytes > self._max_request_bytes:
            self.count("too much of incomplete requests")
            next(each for each in self._clients if each.held_bytes).refuse()

    def touch(self, client: ClientConnection) -> None:
        """Marks a registered connection as the most recently active."""
        if self._clients.pop(client, self) is None:
            self._clients[client] = None

    def _sweep(self) -> None:
        now = self.time()
        for client in [each for each in self._clients if each.due <= now]:
            run_isolated(client.on_deadline)
        self._close_idle()  # those whose request ended while clients are sent away

    @property
    def ending(self) -> bool:
        """True while clients are sent away: not ready, and each connection ends with its next answer."""
        return self.closing or self.drained

    def close(self) -> None:
        """Begins the shutdown: idle connections are closed, the others with their next answer."""
        self.closing = True
        self._close_idle()

    def drain(self, drained: bool) -> None:
        """Sends clients away, or serves them again; documents submitted meanwhile are still accepted."""
        self.drained = drained
        self._close_idle()

    def _close_idle(self) -> None:
        for client in (
            [each for each in self._clients if each.has_requested and each.idle] if self.ending else []
        ):
            run_isolated(client.flush, True)

    def stop_listening(self, quiet: int = 0) -> None:
        """Closes the listener once all connections that wait were accepted; quiet: passes without one.

        Guards against lost requests: the kernel resets connections that still wait when the listener is
        closed, and they may have sent a request already; asyncio loses those that it has accepted and not
        given a transport yet, one pass later.
        """
        if not self._listener:
            return
        quiet = 0 if self._machine.has_pending(self._listener) else quiet + 1
        if quiet < QUIET_PASSES:
            self._loop.call_later(0.0, self.stop_listening, quiet)
        else:
            self._listener.close()
