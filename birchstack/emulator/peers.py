"""The model's ends of connections: endpoints, the discovery agent, and well-behaved and misbehaving clients.

They speak HTTP with a parser other than the sender's own (httptools). They open no sockets and read no clock:
the stage, virtual or real, does, and calls a peer's opened, received and ended. The destination decides the
result of a call; the judge decides whether the sender behaved correctly.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Protocol

import httptools

from birchstack.emulator.destinations import (
    ERROR,
    NO_ANSWER,
    OK,
    SHED,
    SPOILT,
    WAIT,
    Destination,
    Endpoint,
    Verdict,
)
from birchstack.emulator.judge import CallSeen, Judge, Story
from birchstack.emulator.scenario import DocumentType, Scenario

STATUS = {OK: 200, ERROR: 500, SHED: 503, WAIT: 429}
REASON = {200: "OK", 500: "Error", 503: "Busy", 429: "Wait", 204: "No Content", 400: "Bad", 404: "Not Found"}
UNREADABLE = 599  # status passed to the judge for a malformed answer that proves nothing about the call


class Stage(Protocol):
    """Environment in which the model runs: time, addresses and connections, virtual or real."""

    def now_ms(self) -> float:
        """Returns the time in milliseconds."""

    def after(self, ms: float, callback: Callable, *args: object) -> object:
        """Schedules a callback after a delay."""

    def serve(self, where: tuple[str, int], name: str, accept: Callable) -> object:
        """Listens at an address."""

    def reach(self, where: tuple[str, int], peer: object, refused: Callable[[], None]) -> None:
        """Connects to an address."""


class PeerContext(Protocol):
    """What the peers use of the world that they belong to (world.World)."""

    stage: Stage
    judge: Judge
    scenario: Scenario
    agents: list
    open_connections: dict[str, int]  # by endpoint
    connections_opened: int

    def call_received(
        self, peer: EndpointPeer, doc_id: str, body: bytes, sender: int, setup_ms: float
    ) -> tuple[CallSeen | None, Verdict | None]:
        """Returns the judge's record and the result of a call, or None twice for an unknown document."""

    def call_ended(self, call: CallSeen, endpoint: Endpoint) -> None:
        """A call is no longer in flight."""

    def sender_saw_failure(self, dest: Destination, sender: int) -> None:
        """A sender learned that a call to a destination failed."""

    def unreachable(self, peer: EndpointPeer) -> bool:
        """Returns whether an answer can no longer be written."""

    def answer_delay_ms(self, dest: Destination, now: float) -> float | None:
        """Returns how long an answer that is due is delayed, or None if it is never sent."""

    def malformed_response(self) -> tuple[int, bytes]:
        """Returns the status to pass to the judge, and a malformed response."""

    def max_latency_ms(self) -> float:
        """Returns the upper bound of the latency between a sender and an endpoint."""

    def full_list(self, sender: int) -> bytes:
        """Returns the complete endpoint list for a sender."""

    def list_after(self, sender: int, after: int) -> tuple[bytes, int]:
        """Returns the changes of the endpoint list after a revision, and the revision they lead to."""

    def notice_received(self, sender: int, doc_id: str, result: str, wait_ms: float) -> None:
        """A sender sent a notice on a document."""

    def resubmit(
        self, submission: Submission, wait_ms: float, sender: int, other_sender: bool = False
    ) -> None:
        """Schedules another submission of a document."""


def message(status: int, fields: dict[str, object] | None = None, body: bytes = b"") -> bytes:
    """Returns an HTTP response."""
    lines = [f"HTTP/1.1 {status} {REASON[status]}", *(f"{k}: {v}" for k, v in (fields or {}).items())]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """Server side of an HTTP connection: parses one request at a time."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self.port = None
        self.gone = False
        self._clear()

    def _clear(self) -> None:
        self.target = ""
        self.fields = {}
        self._body = []

    def opened(self, port: object) -> None:
        """The connection was established."""
        self.port = port

    def received(self, data: bytes) -> None:
        """Parses received data."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.malformed("upgrade")
        except httptools.HttpParserError as error:
            self.malformed(f"{type(error).__name__}: {error}")

    def ended(self, reset: bool) -> None:
        """The other end closed or reset the connection."""
        self.gone = True
        if not reset:
            self.port.close()

    # Callbacks of httptools

    def on_url(self, url: bytes) -> None:
        """Receives a part of the request target."""
        self.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Receives a header field."""
        self.fields[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Receives a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Handles the complete request."""
        method = self._parser.get_method().decode()
        body = b"".join(self._body)
        target = self.target
        fields = self.fields
        self._clear()
        self.request_received(method, target, fields, body)

    def request_received(self, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        """Handles a request; names of fields are in lower case."""
        raise NotImplementedError

    def malformed(self, problem: str) -> None:
        """Handles data that is not a valid request."""
        raise NotImplementedError


class EndpointPeer(Server):
    """A connection at an endpoint. It is closed after exactly the scenario's idle time."""

    def __init__(self, world: PeerContext, endpoint: Endpoint, sender: int) -> None:
        super().__init__()
        self._world = world
        self.endpoint = endpoint
        self._sender = sender
        self._call: CallSeen | None = None  # in progress
        self._last_answer: tuple[CallSeen, float] | None = None  # call and time
        self._first_call = True
        self._idle_timer = None

    def opened(self, port: object) -> None:
        """Adds the connection to the endpoint's table, or resets it if the table is full."""
        self.port = port
        table = self._world.open_connections
        table[self.endpoint.uid] = table.get(self.endpoint.uid, 0) + 1
        if table[self.endpoint.uid] > self._world.scenario.connections.table:
            self.gone = True
            table[self.endpoint.uid] -= 1
            self._world.stage.after(0.0, port.abort)
            return
        self._world.connections_opened += 1
        port.on_client_closed(self._client_closed)
        self._start_idle_timer()

    def _start_idle_timer(self) -> None:
        if self._idle_timer:
            self._idle_timer.cancel()
        self._idle_timer = self._world.stage.after(self._world.scenario.connections.idle_ms, self._close_idle)

    def _close_idle(self) -> None:
        if not self.gone and self._call is None:
            self.release()
            self.port.close()

    def release(self) -> None:
        """Removes the connection from the endpoint's table."""
        if not self.gone:
            self.gone = True
            self._world.open_connections[self.endpoint.uid] -= 1
            if self._idle_timer:
                self._idle_timer.cancel()

    def ended(self, reset: bool) -> None:
        """The sender's close or reset arrived; after a reset the last answer may be lost."""
        now = self._world.stage.now_ms()
        if (
            self._last_answer
            and now - self._last_answer[1] < 4.0 * self._world.scenario.network.delay_ms + 5.0
            and reset
        ):
            self._last_answer[0].broken = True
        self.release()
        self.end_call()
        if not reset:
            self.port.close()

    def _client_closed(self) -> None:
        """The sender closed the connection. The endpoint does not know yet, and may still answer."""
        if self._call is not None:
            self._world.judge.let_go(self._world.stage.now_ms(), self._call)
        else:
            self.mark_last_answer_broken()

    def end_call(self) -> None:
        """Ends the call in progress without an answer: the connection is closed."""
        if self._call is not None:
            call, self._call = self._call, None
            self._world.call_ended(call, self.endpoint)
            self._world.judge.let_go(self._world.stage.now_ms(), call)
            self._world.sender_saw_failure(self.endpoint.destination, call.sender)

    def mark_last_answer_broken(self) -> None:
        """Records, as one end closes, that an answer still under way may not have arrived."""
        if (
            self._last_answer
            and self._world.stage.now_ms() - self._last_answer[1]
            < 4.0 * self._world.scenario.network.delay_ms
        ):
            self._last_answer[0].broken = True

    def request_received(self, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        """Starts a call: schedules its work and its answer."""
        if self.gone:
            return
        if method != "POST" or target != "/hook" or "request-id" not in fields:
            self.malformed(f"{method} {target}")
            return
        if self._idle_timer:
            self._idle_timer.cancel()
        setup_ms = self._world.scenario.connections.setup_ms if self._first_call else 0.0
        self._first_call = False
        self._call, verdict = self._world.call_received(
            self, fields["request-id"], body, self._sender, setup_ms
        )
        if self._call is None:
            self.port.write(message(400))
            return
        if verdict.runs_at is not None:
            self._world.stage.after(
                verdict.runs_at - self._world.stage.now_ms(), self._run, self._call, self.endpoint.epoch
            )
        if verdict.answer != NO_ANSWER:
            self._world.stage.after(
                verdict.answer_at - self._world.stage.now_ms(),
                self._answer,
                self._call,
                verdict,
                self.endpoint.epoch,
            )

    def _run(self, call: CallSeen, epoch: int) -> None:
        """Runs the work of a call, even if the sender has closed the connection."""
        if epoch == self.endpoint.epoch:
            self._world.judge.ran(self._world.stage.now_ms(), call)

    def _answer(self, call: CallSeen, verdict: Verdict, epoch: int) -> None:
        world = self._world
        now = self._world.stage.now_ms()
        if call is not self._call or epoch != self.endpoint.epoch or world.unreachable(self):
            return
        delay_ms = world.answer_delay_ms(self.endpoint.destination, now)
        if delay_ms is None:  # the destination fell silent since the call arrived
            return
        if delay_ms > 0.0:
            world.stage.after(delay_ms, self._answer, call, verdict, epoch)
            return
        if verdict.answer == SPOILT:
            status, response = world.malformed_response()
        else:
            status = STATUS[verdict.answer]
            fields: dict[str, object] = {}
            if verdict.wait_ms > 0:
                fields["X-Come-Back-Ms"] = f"{verdict.wait_ms:.1f}"
            if verdict.report:
                fields["Server-Load"] = "TEXT x0={:.3f}, x1={:.2f}".format(*verdict.report)
            response = message(status, fields)
        self._call = None
        self._last_answer = (call, now)
        world.call_ended(call, self.endpoint)
        world.judge.answer(
            now, call, status, verdict.wait_ms, world.max_latency_ms(), verdict.answer == SPOILT
        )
        if status != 200:
            world.sender_saw_failure(self.endpoint.destination, call.sender)
        self.port.write(response)
        if not self.gone:
            self._start_idle_timer()

    def malformed(self, problem: str) -> None:
        """Reports a breach and resets the connection."""
        if not self.gone:
            self._world.judge.breach(
                "foreign",
                self._world.stage.now_ms(),
                None,
                f"{self.endpoint.uid} cannot read what sender {self._sender} wrote: {problem}",
            )
            self.release()
            self.port.abort()


class AgentPeer(Server):
    """A connection at the discovery agent beside one sender: serves the endpoint list, accepts notices."""

    def __init__(self, world: PeerContext, sender: int) -> None:
        super().__init__()
        self._world = world
        self._sender = sender
        self.revision = -1  # last revision sent to a watch on this connection; -1: none yet
        self._head_pending = False  # the watch began while discovery was silent
        self._watch_after = 0  # revision from which the sender asked for changes

    def ended(self, reset: bool) -> None:
        """The sender closed or reset the connection; a watch on it ends."""
        super().ended(reset)
        self._world.agents[self._sender].watchers.pop(self, None)

    def request_received(self, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        """Handles notices, requests for the endpoint list, and watches of it."""
        if method == "POST" and target == "/v1/notices":
            self._notices_received(body)
        elif method == "GET" and target.startswith("/discovery/hosts"):
            parameters = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&"))
            self._watch_after = int(parameters.get("after", 0))
            agent = self._world.agents[self._sender]
            if parameters.get("watch"):
                self.port.write(
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                ) if not agent.silent else None
                self._head_pending = agent.silent
                agent.watchers[self] = None
                if not agent.silent:
                    self.send_changes()
            elif not agent.silent:
                self.port.write(message(200, None, self._world.full_list(self._sender)))
        else:
            self.port.write(message(404))

    def send_changes(self) -> None:
        """Sends the changes since the last line, or an empty line as a heartbeat."""
        if self.gone:
            return
        if self._head_pending:
            self._head_pending = False
            self.port.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        after = self.revision if self.revision >= 0 else self._watch_after
        line, self.revision = self._world.list_after(self._sender, after)
        self.port.write(b"%x\r\n%s\r\n" % (len(line), line))

    def _notices_received(self, body: bytes) -> None:
        try:
            notices = [json.loads(line) for line in body.split(b"\n") if line.strip()]
            for each in notices:
                self._world.notice_received(
                    self._sender, each["ref"], each["result"], float(each.get("wait_ms", 0.0))
                )
        except (ValueError, KeyError, TypeError) as error:
            self._world.judge.breach("foreign", self._world.stage.now_ms(), None, f"notices: {error}")
            self.port.write(message(400))
            return
        self.port.write(message(204))

    def malformed(self, problem: str) -> None:
        """Reports a breach and resets the connection."""
        self._world.judge.breach("foreign", self._world.stage.now_ms(), None, f"agent: {problem}")
        self.port.abort()


class Submission:
    """One submission of a document by a client: the request, and the state of waiting for its answer."""

    __slots__ = ("story", "type", "request", "document", "resubmissions", "timer", "resent")

    def __init__(
        self, story: Story, type: DocumentType, request: bytes, document: object, resubmissions: int
    ) -> None:
        self.story = story
        self.type = type
        self.request = request
        self.document = document
        self.resubmissions = resubmissions
        self.timer = None
        self.resent = False  # on a new connection, after the first one was closed


class ClientPeer:
    """A client's connection to a sender: one request at a time."""

    def __init__(self, pool: ClientPool) -> None:
        self._pool = pool
        self.port = None
        self.submission = None
        self._parser = httptools.HttpResponseParser(self)
        self._retry_after_ms = 0.0
        self._connection_close = False
        self.requests = 0
        self.gone = False

    def submit(self, submission: Submission) -> None:
        """Sends a submission, as soon as the connection is established."""
        self.submission = submission
        if self.port is not None:
            self._write()

    def _write(self) -> None:
        self.requests += 1
        self.port.write(self.submission.request)

    def opened(self, port: object) -> None:
        """The connection was established."""
        self.port = port
        if self.submission is not None:
            self._write()

    def received(self, data: bytes) -> None:
        """Parses received data; reports a breach if it is no valid response."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._pool.world.judge.breach(
                "foreign",
                self._pool.world.stage.now_ms(),
                None,
                f"an answer to a client cannot be read: {error}",
            )
            self.gone = True
            self.port.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Receives a header field from httptools."""
        name = name.lower()
        if name == b"retry-after":
            self._retry_after_ms = float(value) * 1000.0
        elif name == b"connection":
            self._connection_close = value.lower() == b"close"

    def on_message_complete(self) -> None:
        """Handles the complete response."""
        status = self._parser.get_status_code()
        wait_ms = self._retry_after_ms
        self._retry_after_ms = 0.0
        submission, self.submission = self.submission, None
        if submission is not None:
            self._pool.answered(
                self, submission, status, wait_ms, keep=not self._connection_close and not self.gone
            )

    def ended(self, reset: bool) -> None:
        """The sender closed or reset the connection."""
        self.gone = True
        if not reset and self.port is not None:
            self.port.close()
        submission, self.submission = self.submission, None
        self._pool.connection_lost(self, submission)


class ClientPool:
    """The clients beside one sender, with their idle connections."""

    def __init__(self, world: PeerContext, sender: int, address: tuple[str, int]) -> None:
        self.world = world
        self._sender = sender
        self._address = address
        self._idle: list[ClientPeer] = []

    def submit(self, submission: Submission) -> None:
        """Sends a submission on an idle connection or a new one."""
        if submission.timer is None:
            submission.timer = self.world.stage.after(
                self.world.scenario.clients.patience_ms, self._timed_out, submission
            )
        while self._idle:
            peer = self._idle.pop()
            if not peer.gone:
                peer.submit(submission)
                return
        peer = ClientPeer(self)
        peer.submit(submission)
        self.world.stage.reach(self._address, peer, lambda: self._refused(peer))

    def _refused(self, peer: ClientPeer) -> None:
        peer.gone = True
        submission, peer.submission = peer.submission, None
        self.connection_lost(peer, submission, "refused")

    def _timed_out(self, submission: Submission) -> None:
        if submission.story.answered_at is None and submission.story.gave_up_at is None:
            self.world.judge.unanswered(self.world.stage.now_ms(), submission.story, "patience")
            self.world.resubmit(submission, 0.0, self._sender, other_sender=True)

    def answered(
        self, peer: ClientPeer, submission: Submission, status: int, wait_ms: float, keep: bool
    ) -> None:
        """Handles the answer to a submission; resubmits the document after a rejection."""
        if keep:
            self._idle.append(peer)
        else:
            peer.gone = True
            peer.port.close()
        if submission.story.gave_up_at is not None:
            return
        submission.timer.cancel()
        self.world.judge.answered(self.world.stage.now_ms(), submission.story, status)
        if status in (429, 503):
            self.world.resubmit(submission, wait_ms, self._sender)

    def connection_lost(self, peer: ClientPeer, submission: Submission | None, why: str = "closed") -> None:
        """Handles the end of a connection, and the submission that was waiting on it, if any."""
        if peer in self._idle:
            self._idle.remove(peer)
        if submission is None or submission.story.gave_up_at is not None:
            return
        # A reused connection may have been closed before the request arrived: send it once more on a new one
        if peer.requests > 1 and not submission.resent:
            submission.resent = True
            self.submit(submission)
            return
        submission.timer.cancel()
        self.world.judge.unanswered(self.world.stage.now_ms(), submission.story, why)
        self.world.resubmit(submission, 0.0, self._sender, other_sender=True)


# Requests of misbehaving clients, by the name under which a breach is reported
BAD_REQUESTS = {
    "silence": b"",
    "noise": b"\x16\x03\x01\x00\xff\x00binary\r\n\r\n",
    "half a request": b"POST /sync HTTP/1.1\r\nHost: a\r\nRequest-Id: h1\r\nContent-Le",
    "endless head": b"POST /sync HTTP/1.1\r\nHost: a\r\n" + b"X-More: yes\r\n" * 2000,
    "negative length": b"POST /sync HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
    "two lengths": b"POST /sync HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "huge body": b"POST /sync HTTP/1.1\r\nHost: a\r\nRequest-Id: h2\r\nRequest-Timeout-Ms: 900\r\n"
    b"X-Consignee: dest=0\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 200000,
    "no type": b"POST /nothing HTTP/1.1\r\nHost: a\r\nRequest-Id: h3\r\nContent-Length: 0\r\n\r\n",
    "no id": b"POST /sync HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
    "no time": b"POST /sync HTTP/1.1\r\nHost: a\r\nRequest-Id: h4\r\nRequest-Timeout-Ms: soon\r\n"
    b"X-Consignee: dest=0\r\nContent-Length: 0\r\n\r\n",
    "no destination": b"POST /sync HTTP/1.1\r\nHost: a\r\nRequest-Id: h5\r\nRequest-Timeout-Ms: 900\r\n"
    b"X-Consignee: dest=99999999\r\nContent-Length: 0\r\n\r\n",
}


class BadClientPeer:
    """A client that sends a bad request. on_result is called with the status, or 0 for a close."""

    def __init__(self, name: str, on_result: Callable[[int], None]) -> None:
        self._name = name
        self._on_result = on_result
        self._received = b""
        self._port = None

    def opened(self, port: object) -> None:
        """Sends the request."""
        self._port = port
        if BAD_REQUESTS[self._name]:
            port.write(BAD_REQUESTS[self._name])

    def received(self, data: bytes) -> None:
        """Reports the status as soon as the status line has arrived."""
        self._received += data
        if self._received[:9] == b"HTTP/1.1 " and len(self._received) >= 12:
            self._on_result(int(self._received[9:12]))

    def ended(self, reset: bool) -> None:
        """The sender closed or reset the connection."""
        self._on_result(0)
        if not reset:
            self._port.close()

    def abort(self) -> None:
        """Resets the connection."""
        if self._port is not None:
            self._port.abort()
