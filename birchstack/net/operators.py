"""Operators' HTTP/1.1 server on a listener of its own: one request per connection, answered at once.

Owns the listening socket, its connections and the paths of the requests. Must never decide: the sender
carries requests out through the Handlers it passes in, and the metrics are what the sender counts. A request
is answered in the same iteration of the event loop in which its last byte arrived.
"""

from __future__ import annotations

import asyncio
import logging
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from birchstack.net import http1
from birchstack.net.driver import Link
from birchstack.net.log import log_event
from birchstack.net.machine import Machine
from birchstack.net.parsing import ParseScheduler
from birchstack.net.periodic import PeriodicTask

REQUEST_TIMEOUT_S = 2.0  # a request that is incomplete after this time is cut off
SWEEP_INTERVAL_S = 0.25
MAX_CONNECTIONS = 64  # connections at once; the oldest is closed for a new one
MAX_ACCEPTING = 2  # connections that are being accepted at once
MAX_READ_BYTES = 4096  # read at once from a connection
MAX_BODY_BYTES = 4096  # bytes in the body of a request at most
METRIC_PREFIX = "balancer"  # of the metrics' names
# Sent by keepers, if BALANCER_FLEET is set
TRAIL_REQUESTS = ("GET", "/fleet/trail"), ("POST", "/fleet/trail")
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Answer:
    """Whether a request succeeded, with a line of text for the operator."""

    ok: bool
    text: str = ""
    status: int = 0  # HTTP status, if other than 200 (ok) or 400
    content: bytes | None = None  # binary body for programs, in place of the text

    def bytes(self) -> bytes:
        """Encodes the HTTP response."""
        status = self.status or (200 if self.ok else 400)
        if self.content is not None:
            return _response(status, self.content, "application/octet-stream")
        return _response(
            status, self.text.encode() + (b"" if self.text.endswith("\n") or not self.text else b"\n")
        )


def _response(status: int, body: bytes, kind: str = "text/plain; charset=utf-8") -> bytes:
    head = f"HTTP/1.1 {status} {http1.REASONS.get(status, 'Status')}\r\n"
    fields = f"Content-Type: {kind}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    return (head + fields).encode("latin-1") + body


@dataclass(frozen=True, slots=True)
class Metrics:
    """The sender's metrics since its start; by_type: delivered, refused and failed documents of each type."""

    by_type: dict[str, tuple[int, int, int]]
    transmitted: int  # transmissions written completely to endpoints
    held: int  # documents accepted and not finished
    listed: int  # endpoints in the list
    avoided: int  # of those, disabled by operators or avoided by the decisions
    reloads: tuple[int, int]  # configurations applied and rejected
    extra: list[tuple[str, object]] = field(default_factory=list)  # of calls, connections and the audit trail

    def text(self) -> str:
        """Formats one name=value per line, with the names that operators know."""
        lines = [
            f"{METRIC_PREFIX}.responses.{name}.{word}={count}"
            for name, counts in self.by_type.items()
            for word, count in zip(("ok", "shed", "errors"), counts, strict=True)
        ]
        lines += [
            f"{METRIC_PREFIX}.{word}={count}"
            for word, count in (
                ("tries", self.transmitted),
                ("active", self.held),
                ("pool_size", self.listed),
                ("pool_ejected", self.avoided),
                ("config_applied", self.reloads[0]),
                ("config_rejected", self.reloads[1]),
                *self.extra,
            )
        ]
        return "\n".join(lines) + "\n"


@dataclass(frozen=True, slots=True)
class Handlers:
    """The sender's handler for each request; ids are those of the list of endpoints."""

    ready: Callable[[], Answer]
    metrics: Callable[[], Metrics]
    disable: Callable[[str], Answer]
    enable: Callable[[str], Answer]
    drain: Callable[[], Answer]
    undrain: Callable[[], Answer]
    trail: Callable[[dict[str, list[str]], bytes], Answer] | None = None  # if an audit trail is kept


class OperatorConnection:
    """One connection: a request, its response, then the end."""

    def __init__(self, server: OperatorServer) -> None:
        self._server = server
        self._reader = http1.RequestReader(max_body=MAX_BODY_BYTES)
        self._head: http1.Request | None = None
        self._body = bytearray()
        self.link: Link | None = None
        self.done = False

    def opened(self, link: Link) -> None:
        """Called when the connection is accepted."""
        self.link = link
        link.max_read_bytes = MAX_READ_BYTES
        self._server.register(self)

    def received(self, data: memoryview) -> None:
        """Called with data from the connection."""
        if not self.done:
            self._reader.append(data)
            self._server.scheduler.parse(self)

    def parse(self, max_steps: int) -> None:
        """Parses a slice of what was received."""
        steps = 0
        try:
            while steps < max_steps and self._reader.pending:
                steps += 1
                for event in self._reader.step():
                    self._on_event(event)
        except http1.MalformedError as problem:
            self._respond(Answer(False, f"malformed: {problem}", problem.status))
        return steps

    def _on_event(self, event: http1.Request | bytes | None) -> None:
        if isinstance(event, http1.Request):
            self._head = replace(event, fields={})  # which no call of an operator needs
        elif event is http1.END:
            self._respond(self._server.answer(self._head, bytes(self._body)))
        else:
            self._body += event

    @property
    def unparsed(self) -> bool:
        """Whether there is more to parse."""
        return self._reader.pending and not self.done

    def set_reading_paused(self, paused: bool) -> None:
        """Pauses or resumes reading."""
        self.link.set_reading_paused(paused)

    def _respond(self, answer: Answer) -> None:
        self.done = True
        self._reader.discard()
        self.link.write(answer.bytes())
        self.link.finish(lambda: self._server.unregister(self))  # it holds its descriptor until then

    def lost(self) -> None:
        """Called when the connection is lost."""
        self.done = True
        self._reader.discard()
        self._server.unregister(self)

    def abort(self) -> None:
        """Aborts the connection."""
        self.done = True
        self._reader.discard()
        self._server.unregister(self)
        self.link.abort()


class OperatorServer:
    """The operators' server."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, handlers: Handlers, max_connections: int = MAX_CONNECTIONS
    ) -> None:
        self._loop = loop
        self.scheduler = ParseScheduler(loop)
        self._handlers = handlers
        self._max_connections = max_connections
        self._connections: dict[OperatorConnection, float] = {}  # deadline of each request, oldest first
        self._server: asyncio.Server | None = None
        self._sweeping: PeriodicTask | None = None

    async def open(self, machine: Machine, address: tuple[str, int]) -> None:
        """Starts listening."""
        self._server = await machine.listen(
            self._loop, address, lambda: Link(OperatorConnection(self)), False, MAX_ACCEPTING
        )
        self._sweeping = PeriodicTask(self._loop, SWEEP_INTERVAL_S, self._sweep)

    def register(self, connection: OperatorConnection) -> None:
        """Registers a connection; if there are too many, closes the oldest, as idle ones must not block."""
        if len(self._connections) >= self._max_connections:
            next(iter(self._connections)).abort()
        self._connections[connection] = self._loop.time() + REQUEST_TIMEOUT_S

    def unregister(self, connection: OperatorConnection) -> None:
        """Unregisters a connection."""
        self._connections.pop(connection, None)

    def _sweep(self) -> None:
        """Closes connections whose request is overdue."""
        now = self._loop.time()
        for connection in [each for each, due in self._connections.items() if due <= now]:
            connection.abort()

    def answer(self, head: http1.Request, body: bytes = b"") -> Answer:
        """Carries out a complete request; an unknown one is refused and changes nothing."""
        query = urllib.parse.parse_qs(head.query, keep_blank_values=True)
        ids = query.get("id", [])
        handlers = self._handlers
        metrics = lambda: Answer(True, handlers.metrics().text())  # noqa: E731
        plain = {
            ("GET", "/ready"): handlers.ready,
            ("GET", "/metrics"): metrics,
            ("POST", "/drain"): handlers.drain,
            ("POST", "/undrain"): handlers.undrain,
        }
        by_id = {
            ("POST", "/endpoints/disable"): handlers.disable,
            ("POST", "/endpoints/enable"): handlers.enable,
        }
        key = head.method, head.path
        try:
            if key in TRAIL_REQUESTS and handlers.trail:
                answer = handlers.trail(query, body)
            elif key in plain:
                answer = plain[key]()
            elif key in by_id and len(ids) == 1 and ids[0]:
                answer = by_id[key](ids[0])
            elif key in by_id:
                answer = Answer(False, "id: one endpoint id is wanted")
            else:
                answer = Answer(False, f"no such call: {head.method} {head.path}", 404)
        except Exception:  # a fault in the sender's handler must still be answered
            log.exception("an operator's call failed")
            answer = Answer(False, "the call failed", 500)
        if key not in (("GET", "/ready"), ("GET", "/metrics"), *TRAIL_REQUESTS):
            log_event(
                log,
                "operator's call",
                call=f"{head.method} {head.path}",
                id=",".join(ids) or "-",
                yes=answer.ok,
                said=answer.text.splitlines()[0] if answer.text else "",
            )
        return answer

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self._server:
            self._server.close()
        if self._sweeping:
            self._sweeping.stop()
        for connection in [*self._connections]:
            connection.abort()
