"""The model's ends of the connections: endpoints, the platform's agent, clients good and bad.

Owns HTTP as these speak it, by a parser that is not the sender's own (httptools), and who is owed what on a
connection. Must never open a socket or read a clock: the stage does (virtual or real), and a peer is told
opened, received and ended. What becomes of a call is the destination's; what was right or wrong, the judge's.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Protocol

import httptools

from birchstack.emulator.destinations import (
    ERROR,
    NEVER,
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
UNREADABLE = 599  # what the judge gets for an answer that says nothing sure


class Stage(Protocol):
    """Where the model plays: time, addresses and connections."""

    def now_ms(self) -> float: ...

    def after(self, ms: float, what: Callable, *words: object) -> object: ...

    def serve(self, where: tuple[str, int], name: str, accept: Callable) -> object: ...

    def reach(self, where: tuple[str, int], peer: object, refused: Callable[[], None]) -> None: ...


class Ground(Protocol):
    """What the peers ask of the world that they belong to (world.World)."""

    stage: Stage
    judge: Judge
    scenario: Scenario
    agents: list
    tables: dict[str, int]  # by endpoint: connections open
    connections: int

    def call(
        self, peer: EndpointPeer, doc_id: str, body: bytes, sender: int, setup_ms: float
    ) -> tuple[CallSeen | None, Verdict | None]: ...

    def call_over(self, call: CallSeen, endpoint: Endpoint) -> None: ...

    def sender_failed(self, dest: Destination, sender: int) -> None: ...

    def unreachable(self, peer: EndpointPeer) -> bool: ...

    def answers_held(self, dest: Destination, now: float) -> float | None: ...

    def spoil(self) -> tuple[int, bytes]: ...

    def heard_ms(self) -> float: ...

    def whole_list(self, sender: int) -> bytes: ...

    def list_after(self, sender: int, rev: int) -> tuple[bytes, int]: ...

    def noticed(self, sender: int, doc_id: str, result: str, wait_ms: float) -> None: ...

    def client_again(self, hand: Hand, wait_ms: float, sender: int, elsewhere: bool = False) -> None: ...


def message(status: int, fields: dict[str, object] | None = None, body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} {REASON[status]}", *(f"{k}: {v}" for k, v in (fields or {}).items())]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Server:
    """What endpoint and agent share: requests in, one at a time."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self.port = None
        self.gone = False
        self._clear()

    def _clear(self) -> None:
        self.target, self.fields, self._body = "", {}, []

    def opened(self, port: object) -> None:
        self.port = port

    def received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.malformed("upgrade")
        except httptools.HttpParserError as problem:
            self.malformed(f"{type(problem).__name__}: {problem}")

    def ended(self, reset: bool) -> None:
        self.gone = True
        if not reset:
            self.port.close()

    # httptools

    def on_url(self, url: bytes) -> None:
        self.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        method, body = self._parser.get_method().decode(), b"".join(self._body)
        target, fields = self.target, self.fields
        self._clear()
        self.asked(method, target, fields, body)

    def asked(self, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        raise NotImplementedError

    def malformed(self, problem: str) -> None:
        raise NotImplementedError


class EndpointPeer(Server):
    """A connection at an endpoint. It is closed when it has stood idle for just so long."""

    def __init__(self, world: Ground, endpoint: Endpoint, sender: int) -> None:
        super().__init__()
        self._world, self.endpoint, self._sender = world, endpoint, sender
        self._call: CallSeen | None = None
        self._last: tuple[CallSeen, float] | None = None
        self._fresh, self._idle = True, None

    def opened(self, port: object) -> None:
        self.port = port
        table = self._world.tables
        table[self.endpoint.uid] = table.get(self.endpoint.uid, 0) + 1
        if table[self.endpoint.uid] > self._world.scenario.connections.table:
            self.gone = True
            table[self.endpoint.uid] -= 1
            self._world.stage.after(0.0, port.abort)
            return
        self._world.connections += 1
        port.watch(self._let_go)
        self._rest()

    def _rest(self) -> None:
        if self._idle:
            self._idle.cancel()
        self._idle = self._world.stage.after(self._world.scenario.connections.idle_ms, self._close)

    def _close(self) -> None:
        if not self.gone and self._call is None:
            self.leave()
            self.port.close()

    def leave(self) -> None:
        if not self.gone:
            self.gone = True
            self._world.tables[self.endpoint.uid] -= 1
            if self._idle:
                self._idle.cancel()

    def ended(self, reset: bool) -> None:
        now = self._world.stage.now_ms()
        if self._last and now - self._last[1] < 4.0 * self._world.scenario.network.delay_ms + 5.0 and reset:
            self._last[0].broken = True
        self.leave()
        self.left()
        if not reset:
            self.port.close()

    def _let_go(self) -> None:
        """The sender has let go; here that is not known yet, and an answer may cross it."""
        if self._call is not None:
            self._world.judge.let_go(self._world.stage.now_ms(), self._call)
        else:
            self.broke()

    def left(self) -> None:
        """The connection is over."""
        if self._call is not None:
            call, self._call = self._call, None
            self._world.call_over(call, self.endpoint)
            self._world.judge.let_go(self._world.stage.now_ms(), call)
            self._world.sender_failed(self.endpoint.destination, call.sender)

    def broke(self) -> None:
        """The connection ends at one side: what was answered last may not have come."""
        if (
            self._last
            and self._world.stage.now_ms() - self._last[1] < 4.0 * self._world.scenario.network.delay_ms
        ):
            self._last[0].broken = True

    def asked(self, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        if self.gone:
            return
        if method != "POST" or target != "/hook" or "request-id" not in fields:
            self.malformed(f"{method} {target}")
            return
        if self._idle:
            self._idle.cancel()
        setup = self._world.scenario.connections.setup_ms if self._fresh else 0.0
        self._fresh = False
        self._call, verdict = self._world.call(self, fields["request-id"], body, self._sender, setup)
        if self._call is None:
            self.port.write(message(400))
            return
        if verdict.runs_at is not None:
            self._world.stage.after(
                verdict.runs_at - self._world.stage.now_ms(), self._run, self._call, self.endpoint.epoch
            )
        if verdict.what != NEVER:
            self._world.stage.after(
                verdict.at - self._world.stage.now_ms(),
                self._answer,
                self._call,
                verdict,
                self.endpoint.epoch,
            )

    def _run(self, call: CallSeen, epoch: int) -> None:
        """The work: it runs although the sender may have let go."""
        if epoch == self.endpoint.epoch:
            self._world.judge.ran(self._world.stage.now_ms(), call)

    def _answer(self, call: CallSeen, verdict: Verdict, epoch: int) -> None:
        world, now = self._world, self._world.stage.now_ms()
        if call is not self._call or epoch != self.endpoint.epoch or world.unreachable(self):
            return
        held = world.answers_held(self.endpoint.destination, now)
        if held is None:  # it fell silent meanwhile
            return
        if held > 0.0:
            world.stage.after(held, self._answer, call, verdict, epoch)
            return
        if verdict.what == SPOILT:
            status, text = world.spoil()
        else:
            status = STATUS[verdict.what]
            fields: dict[str, object] = {}
            if verdict.wait_ms > 0:
                fields["X-Come-Back-Ms"] = f"{verdict.wait_ms:.1f}"
            if verdict.report:
                fields["Server-Load"] = "TEXT x0={:.3f}, x1={:.2f}".format(*verdict.report)
            text = message(status, fields)
        self._call, self._last = None, (call, now)
        world.call_over(call, self.endpoint)
        world.judge.answer(now, call, status, verdict.wait_ms, world.heard_ms(), verdict.what == SPOILT)
        if status != 200:
            world.sender_failed(self.endpoint.destination, call.sender)
        self.port.write(text)
        if not self.gone:
            self._rest()

    def malformed(self, problem: str) -> None:
        if not self.gone:
            self._world.judge.breach(
                "foreign",
                self._world.stage.now_ms(),
                None,
                f"{self.endpoint.uid} cannot read what sender {self._sender} wrote: {problem}",
            )
            self.leave()
            self.port.abort()


class AgentPeer(Server):
    """A connection at the platform's agent beside one sender: its partner list, and its notices."""

    def __init__(self, world: Ground, sender: int) -> None:
        super().__init__()
        self._world, self._sender = world, sender
        self.rev = -1  # the last version that a watch here was sent; -1: no watch
        self._quiet = False  # asked while discovery was silent
        self._after = 0

    def ended(self, reset: bool) -> None:
        super().ended(reset)
        self._world.agents[self._sender].watchers.pop(self, None)

    def asked(self, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        if method == "POST" and target == "/v1/notices":
            self._noticed(body)
        elif method == "GET" and target.startswith("/discovery/hosts"):
            words = dict(word.partition("=")[::2] for word in target.partition("?")[2].split("&"))
            self._after = int(words.get("after", 0))
            agent = self._world.agents[self._sender]
            if words.get("watch"):
                self.port.write(
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                ) if not agent.silent else None
                self._quiet = agent.silent
                agent.watchers[self] = None
                if not agent.silent:
                    self.tell()
            elif not agent.silent:
                self.port.write(message(200, None, self._world.whole_list(self._sender)))
        else:
            self.port.write(message(404))

    def tell(self) -> None:
        """What changed since the last line, or an empty line."""
        if self.gone:
            return
        if self._quiet:  # its watch begins only now
            self._quiet = False
            self.port.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        after = self.rev if self.rev >= 0 else self._after
        text, self.rev = self._world.list_after(self._sender, after)
        self.port.write(b"%x\r\n%s\r\n" % (len(text), text))

    def _noticed(self, body: bytes) -> None:
        try:
            told = [json.loads(line) for line in body.split(b"\n") if line.strip()]
            for each in told:
                self._world.noticed(
                    self._sender, each["ref"], each["result"], float(each.get("wait_ms", 0.0))
                )
        except (ValueError, KeyError, TypeError) as problem:
            self._world.judge.breach("foreign", self._world.stage.now_ms(), None, f"notices: {problem}")
            self.port.write(message(400))
            return
        self.port.write(message(204))

    def malformed(self, problem: str) -> None:
        self._world.judge.breach("foreign", self._world.stage.now_ms(), None, f"agent: {problem}")
        self.port.abort()


class Hand:
    """One handing in of a document: the request, and what its client waits for."""

    __slots__ = ("story", "kind", "text", "logical", "tries", "timer", "again")

    def __init__(self, story: Story, kind: DocumentType, text: bytes, logical: object, tries: int) -> None:
        self.story, self.kind, self.text = story, kind, text
        self.logical, self.tries = logical, tries
        self.timer, self.again = None, False


class ClientPeer:
    """A client's connection: one request at a time."""

    def __init__(self, pool: ClientPool) -> None:
        self._pool, self.port, self.hand = pool, None, None
        self._parser = httptools.HttpResponseParser(self)
        self._wait, self._close, self.used, self.gone = 0.0, False, 0, False

    def ask(self, hand: Hand) -> None:
        self.hand = hand
        if self.port is not None:
            self._write()

    def _write(self) -> None:
        self.used += 1
        self.port.write(self.hand.text)

    def opened(self, port: object) -> None:
        self.port = port
        if self.hand is not None:
            self._write()

    def received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as problem:
            self._pool.world.judge.breach(
                "foreign",
                self._pool.world.stage.now_ms(),
                None,
                f"an answer to a client cannot be read: {problem}",
            )
            self.gone = True
            self.port.abort()

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        if name == b"retry-after":
            self._wait = float(value) * 1000.0
        elif name == b"connection":
            self._close = value.lower() == b"close"

    def on_message_complete(self) -> None:
        status, wait, self._wait = self._parser.get_status_code(), self._wait, 0.0
        hand, self.hand = self.hand, None
        if hand is not None:
            self._pool.answered(self, hand, status, wait, keep=not self._close and not self.gone)

    def ended(self, reset: bool) -> None:
        self.gone = True
        if not reset and self.port is not None:
            self.port.close()
        hand, self.hand = self.hand, None
        self._pool.lost(self, hand)


class ClientPool:
    """The clients beside one sender."""

    def __init__(self, world: Ground, sender: int, where: tuple[str, int]) -> None:
        self.world, self._sender, self._where = world, sender, where
        self._idle: list[ClientPeer] = []

    def hand_in(self, hand: Hand) -> None:
        if hand.timer is None:
            hand.timer = self.world.stage.after(
                self.world.scenario.clients.patience_ms, self._impatient, hand
            )
        while self._idle:
            peer = self._idle.pop()
            if not peer.gone:
                peer.ask(hand)
                return
        peer = ClientPeer(self)
        peer.ask(hand)
        self.world.stage.reach(self._where, peer, lambda: self._refused(peer))

    def _refused(self, peer: ClientPeer) -> None:
        peer.gone = True
        hand, peer.hand = peer.hand, None
        self.lost(peer, hand, "refused")

    def _impatient(self, hand: Hand) -> None:
        if hand.story.answered_at is None and hand.story.gave_up_at is None:
            self.world.judge.unanswered(self.world.stage.now_ms(), hand.story, "patience")
            self.world.client_again(hand, 0.0, self._sender, elsewhere=True)

    def answered(self, peer: ClientPeer, hand: Hand, status: int, wait_ms: float, keep: bool) -> None:
        if keep:
            self._idle.append(peer)
        else:
            peer.gone = True
            peer.port.close()
        if hand.story.gave_up_at is not None:
            return
        hand.timer.cancel()
        self.world.judge.answered(self.world.stage.now_ms(), hand.story, status)
        if status in (429, 503):
            self.world.client_again(hand, wait_ms, self._sender)

    def lost(self, peer: ClientPeer, hand: Hand | None, why: str = "closed") -> None:
        if peer in self._idle:
            self._idle.remove(peer)
        if hand is None or hand.story.gave_up_at is not None:
            return
        if peer.used > 1 and not hand.again:  # closed between two requests: once more on a new connection
            hand.again = True
            self.hand_in(hand)
            return
        hand.timer.cancel()
        self.world.judge.unanswered(self.world.stage.now_ms(), hand.story, why)
        self.world.client_again(hand, 0.0, self._sender, elsewhere=True)


BAD = {
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


class BadPeer:
    """A client that asks what cannot be answered well; told() hears of a status, 0 for a close."""

    def __init__(self, what: str, told: Callable[[int], None]) -> None:
        self._what, self._told, self._held = what, told, b""
        self._port = None

    def opened(self, port: object) -> None:
        self._port = port
        if BAD[self._what]:
            port.write(BAD[self._what])

    def received(self, data: bytes) -> None:
        self._held += data
        if self._held[:9] == b"HTTP/1.1 " and len(self._held) >= 12:
            self._told(int(self._held[9:12]))

    def ended(self, reset: bool) -> None:
        self._told(0)
        if not reset:
            self._port.close()

    def hang_up(self) -> None:
        if self._port is not None:
            self._port.abort()
