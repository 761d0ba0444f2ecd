"""The operators' door: HTTP/1.1 on a listener of its own, one call a connection, answered at once.

Owns the operators' listening socket, its connections and the paths of the calls. Must never decide: what an
operator asks is carried out by the sender through the Calls it was given, and the figures are what the sender
counts. A call is answered in the pass of the loop in which its last byte came.
"""

from __future__ import annotations

import asyncio
import logging
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass, field

from birchstack.net import http1
from birchstack.net.driver import Link
from birchstack.net.log import say
from birchstack.net.machine import Machine

WHOLE_S = 2.0  # a call not whole by then is cut; it holds nobody up meanwhile
MOST, AT_ONCE = 64, 2  # connections in all; the oldest is cut for a new one; let in at once
BODY = 4096  # an operator's call brings no more than this
PREFIX = "balancer"  # of the names of the figures
TRAIL = ("GET", "/fleet/trail"), ("POST", "/fleet/trail")  # by keepers, where BALANCER_FLEET is set
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Answer:
    """Yes or no, with a line for who asked."""

    yes: bool
    text: str = ""
    status: int = 0  # another than 200 or 400 where the form says more
    content: bytes | None = None  # for programs, in place of the line

    def bytes(self) -> bytes:
        status = self.status or (200 if self.yes else 400)
        if self.content is not None:
            return _answer(status, self.content, "application/octet-stream")
        return _answer(
            status, self.text.encode() + (b"" if self.text.endswith("\n") or not self.text else b"\n")
        )


def _answer(status: int, body: bytes, kind: str = "text/plain; charset=utf-8") -> bytes:
    head = f"HTTP/1.1 {status} {http1.REASONS.get(status, 'Status')}\r\n"
    fields = f"Content-Type: {kind}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    return (head + fields).encode("latin-1") + body


@dataclass(frozen=True, slots=True)
class Figures:
    """What a sender counts from its start, in the project's words; by_type: delivered, refused, failed."""

    by_type: dict[str, tuple[int, int, int]]
    transmitted: int  # written whole to endpoints
    held: int  # taken on, and not ended
    listed: int  # endpoints in the list
    avoided: int  # of those, out by hand or avoided by the decisions
    reloads: tuple[int, int]  # configurations taken over, and not taken over
    more: list[tuple[str, object]] = field(default_factory=list)  # of whoever keeps the record, if anybody

    def text(self) -> str:
        """In the operators' form: one name=value a line, with their names."""
        lines = [
            f"{PREFIX}.responses.{name}.{word}={count}"
            for name, counts in self.by_type.items()
            for word, count in zip(("ok", "shed", "errors"), counts, strict=True)
        ]
        lines += [
            f"{PREFIX}.{word}={count}"
            for word, count in (
                ("tries", self.transmitted),
                ("active", self.held),
                ("pool_size", self.listed),
                ("pool_ejected", self.avoided),
                ("config_applied", self.reloads[0]),
                ("config_rejected", self.reloads[1]),
                *self.more,
            )
        ]
        return "\n".join(lines) + "\n"


@dataclass(frozen=True, slots=True)
class Calls:
    """What the sender does for each call; ids are those of the list of endpoints."""

    ready: Callable[[], Answer]
    figures: Callable[[], Figures]
    disable: Callable[[str], Answer]
    enable: Callable[[str], Answer]
    drain: Callable[[], Answer]
    undrain: Callable[[], Answer]
    trail: Callable[[dict[str, list[str]], bytes], Answer] | None = None  # where a record is kept


class Caller:
    """One connection of an operator: one call, its answer, the end."""

    def __init__(self, door: Door) -> None:
        self._door, self._reader = door, http1.RequestReader(max_body=BODY)
        self._head: http1.Request | None = None
        self._body = bytearray()
        self.link: Link | None = None
        self.done = False

    def opened(self, link: Link) -> None:
        self.link = link
        self._door.joined(self)

    def received(self, data: memoryview) -> None:
        if self.done:
            return
        try:
            for event in self._reader.feed(data):
                if isinstance(event, http1.Request):
                    self._head = event
                elif event is http1.END:
                    self._say(self._door.answer(self._head, bytes(self._body)))
                    return
                elif isinstance(event, bytes):
                    self._body += event
        except http1.MalformedError as problem:
            self._say(Answer(False, f"malformed: {problem}", problem.status))

    def _say(self, answer: Answer) -> None:
        self.done = True
        self.link.write(answer.bytes())
        self.link.finish(lambda: self._door.left(self))  # until then it has its descriptor

    def lost(self) -> None:
        self.done = True
        self._door.left(self)

    def cut(self) -> None:
        self.done = True
        self._door.left(self)
        self.link.abort()


class Door:
    """The operators' listener."""

    def __init__(self, loop: asyncio.AbstractEventLoop, calls: Calls, most: int = MOST) -> None:
        self._loop, self._calls, self._most = loop, calls, most
        self._callers: dict[Caller, float] = {}  # by when each must be whole, oldest first
        self._server: asyncio.Server | None = None
        self._sweeping: asyncio.TimerHandle | None = None

    async def open(self, machine: Machine, where: tuple[str, int]) -> None:
        self._server = await machine.listen(self._loop, where, lambda: Link(Caller(self)), False, AT_ONCE)
        self._sweep()

    def joined(self, caller: Caller) -> None:
        if len(self._callers) >= self._most:  # a crowd of silent ones must not keep the next call out
            next(iter(self._callers)).cut()
        self._callers[caller] = self._loop.time() + WHOLE_S

    def left(self, caller: Caller) -> None:
        self._callers.pop(caller, None)

    def _sweep(self) -> None:
        now = self._loop.time()
        for caller in [each for each, due in self._callers.items() if due <= now]:
            caller.cut()
        self._sweeping = self._loop.call_later(0.25, self._sweep)

    def answer(self, head: http1.Request, body: bytes = b"") -> Answer:
        """What a whole call is owed; what is not one of the calls is a no, and changes nothing."""
        asked = urllib.parse.parse_qs(head.query, keep_blank_values=True)
        ids = asked.get("id", [])
        calls = self._calls
        figures = lambda: Answer(True, calls.figures().text())  # noqa: E731
        plain = {
            ("GET", "/ready"): calls.ready,
            ("GET", "/metrics"): figures,
            ("POST", "/drain"): calls.drain,
            ("POST", "/undrain"): calls.undrain,
        }
        by_id = {("POST", "/endpoints/disable"): calls.disable, ("POST", "/endpoints/enable"): calls.enable}
        key = head.method, head.path
        try:
            if key in TRAIL and calls.trail:
                answer = calls.trail(asked, body)
            elif key in plain:
                answer = plain[key]()
            elif key in by_id and len(ids) == 1 and ids[0]:
                answer = by_id[key](ids[0])
            elif key in by_id:
                answer = Answer(False, "id: one endpoint id is wanted")
            else:
                answer = Answer(False, f"no such call: {head.method} {head.path}", 404)
        except Exception:  # a fault of the sender's part must still be answered
            log.exception("an operator's call failed")
            answer = Answer(False, "the call failed", 500)
        if key not in (("GET", "/ready"), ("GET", "/metrics"), *TRAIL):
            say(
                log,
                "operator's call",
                call=f"{head.method} {head.path}",
                id=",".join(ids) or "-",
                yes=answer.yes,
                said=answer.text.splitlines()[0] if answer.text else "",
            )
        return answer

    def close(self) -> None:
        if self._server:
            self._server.close()
        if self._sweeping:
            self._sweeping.cancel()
        for caller in [*self._callers]:
            caller.cut()
