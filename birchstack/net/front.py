"""Clients: reads what they hand in and writes them the answers they are owed, in their order.

Owns the listening socket and every client connection, their number and the time they may lie half read. Must
never answer a document by itself: it hands it to the sender, which answers through the Handed it was given.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable

from birchstack.net import http1
from birchstack.net.driver import Link, listen
from birchstack.net.log import say

TAKEN, REJECTED, CLOSED, ABANDONED = "taken", "rejected", "closed", "abandoned"     # closed: to all, for now
STATUS = {TAKEN: 202, REJECTED: 429, CLOSED: 503, ABANDONED: 500}
CLIENT_MS = 400.0                       # a client waits so long for its answer
READY_PATHS = ("/up", "/alive")
HALF_READ_S = 5.0                       # a request must be whole after so long
log = logging.getLogger(__name__)


class Refused(Exception):
    """Cannot be a document; names the part that is at fault."""


class Handed:
    """One document as a client handed it in, and the way back to that client."""

    __slots__ = ("id", "type", "destination", "key", "left_ms", "body", "_client", "answer", "again",
                 "_began")

    def __init__(self, client: Client, head: http1.Request, body: bytes) -> None:
        fields = head.fields
        self._client, self.body, self.answer = client, body, None
        self.again: list[Handed] = []   # the same document, over another connection
        self._began = client.began
        self.type = head.path.lstrip("/").partition("/")[0]
        self.id = fields.get("request-id", "")
        if not 0 < len(self.id) <= 128 or not self.id.isascii() or not self.id.isprintable():
            raise Refused("Request-Id")
        left = fields.get("request-timeout-ms", "")
        if not left.isdecimal() or len(left) > 9:
            raise Refused("Request-Timeout-Ms")
        self.left_ms = float(left)
        consignee = fields.get("x-consignee", "").replace(";", ",")
        words = dict(word.strip().partition("=")[::2] for word in consignee.split(","))
        if not words.get("dest", "").isdecimal() or len(words["dest"]) > 9:
            raise Refused("X-Consignee")
        self.destination = int(words["dest"])
        cookies = dict(word.strip().partition("=")[::2] for word in fields.get("cookie", "").split(";"))
        self.key = cookies.get("thread") or None

    def told(self) -> tuple[float, bool]:
        """How long ago the client sent it, as far as can be seen, and whether the client has gone."""
        if self._client.gone:
            return 0.0, True
        lay_ms, gone = self._client.link.told()
        return lay_ms + self._client.since_ms(self._began), gone or lay_ms >= CLIENT_MS

    def reply(self, verdict: str, wait_ms: float = 0.0, close: bool = False) -> None:
        """What became of it, in the project's words; wait_ms is advice to the client."""
        fields = {"Retry-After": f"{wait_ms / 1000.0:g}"} if wait_ms > 0.0 else {}
        self.answer = http1.response(STATUS[verdict], fields, close)
        self._client.flush(close)
        for each in self.again:
            each.reply(verdict, wait_ms, close)


class Said:
    """An answer that asks nobody: to a bad request, or to a question for the sender's state."""

    __slots__ = ("answer",)

    def __init__(self, answer: bytes) -> None:
        self.answer = answer


class Client:
    """One client connection."""

    def __init__(self, front: Front) -> None:
        self._front, self._reader = front, http1.Requests()
        self.link: Link | None = None
        self._head: http1.Request | None = None
        self._body: list[bytes] = []
        self._owed: deque[Handed | Said] = deque()      # answers, in the order of the requests
        self.gone, self._last, self.since, self.began = False, False, 0.0, 0.0

    @property
    def idle(self) -> bool:
        return not self._owed and self._head is None and self._reader.between

    def opened(self, link: Link) -> None:
        self.link = link
        self._front.joined(self)

    def lost(self) -> None:
        self.gone = True
        self._front.left(self)

    def since_ms(self, began: float) -> float:
        return (self._front.time() - began) * 1000.0

    def received(self, data: memoryview) -> None:
        self._front.stir(self)
        if self._last:
            return
        if self.idle:
            self.began = self._front.time()
        try:
            events = self._reader.feed(data)
        except http1.Malformed as problem:
            self._say(problem.status, str(problem), close=True)
            return
        for event in events:
            if self._last:
                break
            if isinstance(event, http1.Request):
                self._head, self._body = event, []
                if event.fields.get("expect", "").lower() == "100-continue" and not self._owed:
                    self.link.write(http1.CONTINUE)
            elif event is not http1.END:
                self._body.append(event)
            else:
                head, self._head = self._head, None
                self._asked(head, b"".join(self._body))
        self._body = self._body if self._head else []
        if self.link and self.link.unsent:  # it asks and does not read: no more until it does
            self._front.count("slow reader closed")
            self.drop()

    def _asked(self, head: http1.Request, body: bytes) -> None:
        close = not head.keep or self._front.closing
        if head.method == "GET":
            known = head.path in READY_PATHS
            status = (503 if self._front.closing else 200) if known else 404
            self._say(status, close=close)
            return
        if head.method != "POST":
            self._say(405, close=close)
            return
        try:
            handed = Handed(self, head, body)
            if handed.type not in self._front.types:
                raise Refused("document type")
        except Refused as problem:
            self._say(400, str(problem), close)
            return
        self._last = self._last or close
        self._owed.append(handed)
        self._front.handed(handed)

    def _say(self, status: int, problem: str = "", close: bool = False) -> None:
        if problem:
            self._front.count(f"bad request: {problem}")
        self._owed.append(Said(http1.response(status, None, close)))
        self.flush(close)

    def flush(self, close: bool = False) -> None:
        """Writes what is answered, up to the first that is not."""
        self._last = self._last or close
        while self._owed and self._owed[0].answer is not None:
            self.link.write(self._owed.popleft().answer)
        if self._last and not self._owed and not self.gone:
            self._front.left(self)
            self.gone = True
            self.link.finish()

    def refuse(self) -> None:
        """Says no to whatever it asks."""
        self._say(503, close=True)

    def drop(self) -> None:
        if self.link and not self.gone:
            self.gone = True
            self._front.left(self)
            self.link.abort()


class Front:
    """All clients. handed(document) hears of each document, once its last byte was read."""

    def __init__(self, loop: asyncio.AbstractEventLoop, types: set[str], most: int,
                 handed: Callable[[Handed], None]) -> None:
        self._loop, self.types, self._most, self.handed = loop, types, most, handed
        self._clients: dict[Client, None] = {}          # least recently heard of first
        self._server: asyncio.Server | None = None
        self.time, self.closing, self.counts = loop.time, False, {}

    async def open(self, where: tuple[str, int]) -> None:
        self._server = await listen(self._loop, where, lambda: Client(self))
        self._loop.call_later(1.0, self._sweep)

    def __len__(self) -> int:
        return len(self._clients)

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
        if self.counts[what] <= 3:
            say(log, what, logging.WARNING)

    def joined(self, client: Client) -> None:
        self._clients[client] = None
        client.since = self.time()
        if len(self._clients) > self._most:     # the longest silent one makes room, if it asks nothing
            idle = next((each for each in self._clients if each.idle and each is not client), None)
            self.count("too many clients")
            if idle:
                idle.flush(close=True)
            else:
                client.refuse()

    def left(self, client: Client) -> None:
        self._clients.pop(client, None)

    def stir(self, client: Client) -> None:
        if self._clients.pop(client, self) is None:
            self._clients[client] = None
            client.since = self.time()

    def _sweep(self) -> None:
        for client in [*self._clients]:
            if not client.idle and self.time() - client.since > HALF_READ_S:
                self.count("half read for too long")
                client.drop()
        self._loop.call_later(1.0, self._sweep)

    def close(self) -> None:
        """Takes no more: idle clients are let go, the others with their next answer."""
        self.closing = True
        for client in [each for each in self._clients if each.idle]:
            client.flush(close=True)

    def shut(self) -> None:
        """Listens no more."""
        if self._server:
            self._server.close()
