"""Clients: reads what they hand in and writes them the answers they are owed, in their order.

Owns the listening socket and every client connection, their number and the time they may lie half read. Must
never answer a document by itself: it hands it to the sender, which answers through the Handed it was given.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections import deque
from collections.abc import Callable

from birchstack.net import http1
from birchstack.net.driver import Link
from birchstack.net.log import log_event
from birchstack.net.machine import Listener, Machine
from birchstack.net.room import coming

TAKEN, REJECTED, CLOSED, ABANDONED = "taken", "rejected", "closed", "abandoned"  # closed: to all, for now
STATUS = {TAKEN: 202, REJECTED: 429, CLOSED: 503, ABANDONED: 500}
CLIENT_MS = 400.0  # a client waits so long for its answer
READY_PATHS = ("/up", "/alive")
WHOLE_S, IDLE_S = 2.0, 3.0  # a request is whole so long after its connection or its first byte;
SWEEP_S = 0.25  # a connection without one is closed after so long
QUIET = 3  # passes of the loop in which nobody came, before the door is shut
MOST_ASKED = 8  # so many requests may wait for their answer on one connection
LATE_MS = 1000.0  # a document's time may be so much above what its type has
ID = re.compile("[0-9A-Za-z._~:+/=@-]{1,128}")
NUMBER = re.compile("[0-9]{1,9}")
TEXT = re.compile("[ -~]{1,128}")  # a key, a repeat's key or a tenant's name
log = logging.getLogger(__name__)


class Refused(Exception):
    """Cannot be a document; names the part that is at fault, and what a server answers."""

    def __init__(self, part: str, status: int = 400) -> None:
        super().__init__(part)
        self.status = status


def _words(text: str, ends: str) -> dict[str, str]:
    words = [word.strip().partition("=")[::2] for word in text.split(ends)]
    if len({name for name, _ in words}) < len(words):
        raise Refused("a word that may come only once")
    return dict(words)


class Handed:
    """One document as a client handed it in, checked before its body comes, and the way back to it."""

    __slots__ = (
        "id",
        "type",
        "destination",
        "key",
        "repeat_key",
        "tenant",
        "left_ms",
        "body",
        "keep",
        "_client",
        "answer",
        "again",
        "_began",
    )

    def __init__(self, client: Client, head: http1.Request, front: Front) -> None:
        fields = head.fields
        self._client, self.body, self.answer, self.keep = client, b"", None, head.keep
        self.again: list[Handed] = []  # the same document, over another connection
        self._began = client.began
        self.type = head.path[1:].partition("/")[0]
        if self.type not in front.types:
            raise Refused("document type", 404)
        self.id = fields.get("request-id", "")
        if not ID.fullmatch(self.id):
            raise Refused("Request-Id")
        left = fields.get("request-timeout-ms", "")
        if not NUMBER.fullmatch(left) or int(left) > front.types[self.type] + LATE_MS:
            raise Refused("Request-Timeout-Ms")
        self.left_ms = float(left)
        destination = _words(fields.get("x-consignee", "").replace(";", ","), ",").get("dest", "")
        if not NUMBER.fullmatch(destination):
            raise Refused("X-Consignee")
        self.destination = int(destination)
        if not front.serves(self.destination):
            raise Refused("destination", 404)
        self.key = _words(fields["cookie"], ";").get("thread") or None if "cookie" in fields else None
        self.repeat_key, self.tenant = fields.get("idempotency-key") or None, fields.get("tenant") or None
        if not all(TEXT.fullmatch(text) for text in (self.key, self.repeat_key, self.tenant) if text):
            raise Refused("a key or the tenant")

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
        self._head: http1.Request | Handed | None = None
        self._body: list[bytes] = []
        self._owed: deque[Handed | Said] = deque()  # answers, in the order of the requests
        self.gone, self._last, self.asked = False, False, False
        self.due = self.began = 0.0  # by when it must have asked, or ask again; the request's first byte

    @property
    def idle(self) -> bool:
        """No request of it is known, whole or in part."""
        return not self._owed and self._head is None and self._reader.between and not self.link.unread()

    def spent(self) -> bool:
        """Half a request lies there for longer than its client waits."""
        return not self._owed and self.since_ms(self.began) > CLIENT_MS and not self.link.unread()

    def opened(self, link: Link) -> None:
        self.link, self.began = link, self._front.time()
        self.due = self.began + WHOLE_S
        self._front.joined(self)

    def lost(self) -> None:
        self.gone = True
        self._front.left(self)

    def since_ms(self, began: float) -> float:
        return (self._front.time() - began) * 1000.0

    def received(self, data: memoryview) -> None:
        if self._last:
            return
        self._front.stir(self)
        if self._reader.between and self._head is None:
            self.began = self._front.time()
            self.due = min(self.due, self.began + WHOLE_S) if not self.asked else self.began + WHOLE_S
        try:
            for event in self._reader.feed(data):
                if isinstance(event, http1.Request):
                    self._heard(event)
                elif event is not http1.END:
                    self._body.append(event)
                else:
                    self._asked()
                if self._last:
                    break
        except http1.Malformed as problem:
            self._say(problem.status, str(problem), close=True)
        if not self.gone and self.link.unsent:  # it asks and does not read: no more until it does
            self._front.count("slow reader closed")
            self.drop()

    def _heard(self, head: http1.Request) -> None:
        """Looks at a head before its body comes: what can be no document is told at once."""
        self._head, self._body = head, []
        if len(self._owed) >= MOST_ASKED:
            self._say(503, "too many at once", close=True)
        elif head.method == "POST":
            try:
                self._head = Handed(self, head, self._front)
            except Refused as problem:
                self._say(problem.status, str(problem), close=True)
                return
            if head.fields.get("expect", "").lower() == "100-continue" and not self._owed:
                self.link.write(http1.CONTINUE)
        elif head.method != "GET":
            self._say(405, close=True)

    def _asked(self) -> None:
        handed, self._head, self.asked = self._head, None, True
        if isinstance(handed, Handed):
            handed.body, self._body = b"".join(self._body), []
            self._last = not handed.keep or self._front.ending
            self._owed.append(handed)
            self._front.handed(handed)
        elif handed.path not in READY_PATHS:
            self._say(404, close=True)
        else:
            self._say(503 if self._front.ending else 200, close=not handed.keep or self._front.ending)

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
        if not self._owed:
            self.due = self._front.time() + IDLE_S
            if self._last and not self.gone:
                self.gone = True
                self._front.leaves(self)

    def refuse(self) -> None:
        """Says no to whatever it asks."""
        self._say(503, close=True)

    def overdue(self) -> None:
        """It has not asked in its time: one that lies idle is let go, half a request is told."""
        if self._owed or self.link.unread():
            return
        if self._head is None and self._reader.between:
            self.flush(close=True)  # not reset: that would look the same as a request cut off
        else:
            self._say(408, "not whole in time", close=True)

    def drop(self) -> None:
        if self.link and not self.gone:
            self.gone = True
            self._front.left(self)
            self.link.abort()


class Front:
    """All clients. handed(document) hears of each document, once its last byte was read."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        types: dict[str, float],
        most: int,
        serves: Callable[[int], bool],
        handed: Callable[[Handed], None],
    ) -> None:
        self._loop, self.types, self._most, self.serves, self.handed = loop, types, most, serves, handed
        self._clients: dict[Client, None] = {}  # least recently heard of first
        self._leaving: dict[Link, None] = {}  # told their last, not closed yet
        self._server: Listener | None = None
        self._machine: Machine | None = None
        self.time, self.closing, self.drained, self.counts = loop.time, False, False, {}

    async def open(self, machine: Machine, where: tuple[str, int]) -> None:
        self._machine = machine
        self._server = await machine.listen(
            self._loop, where, lambda: Link(Client(self)), True, coming(self._most), self._short
        )
        self._loop.call_later(SWEEP_S, self._sweep)

    def __len__(self) -> int:
        return len(self._clients)

    def busy(self) -> bool:
        """True until nobody can come any more, and all that came have had their answer and know it."""
        listens = self._server is not None and self._server.is_serving()
        return bool(listens or self._clients or self._leaving)

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1
        if self.counts[what] <= 3:
            log_event(log, what, logging.WARNING)

    def joined(self, client: Client) -> None:
        self._clients[client] = None
        if len(self._clients) + len(self._leaving) > self._most:
            self._make_room(client)

    def _make_room(self, newest: Client) -> None:
        """The longest silent that never asked goes first, then one told its last, which may not have read it
        yet, then one that rests or is half read for too long; a live request never."""
        self.count("too many clients")
        while len(self._clients) + len(self._leaving) > self._most:
            others = [each for each in self._clients if each is not newest]
            silent = next((each for each in others if not each.asked and each.idle), None)
            if silent is None and self._leaving:
                link = next(iter(self._leaving))
                del self._leaving[link]
                link.abort()
            elif free := silent or next((each for each in others if each.idle or each.spent()), None):
                free.drop()
            else:
                newest.refuse()
                break

    def _short(self) -> None:
        """No descriptor is left to let anybody in: the longest silent give theirs."""
        self.count("no descriptor for a client")
        for client in [each for each in self._clients if each.idle][: coming(self._most)]:
            client.drop()

    def left(self, client: Client) -> None:
        self._clients.pop(client, None)

    def leaves(self, client: Client) -> None:
        self.left(client)
        self._leaving[client.link] = None
        client.link.finish(lambda: self._leaving.pop(client.link, None))

    def stir(self, client: Client) -> None:
        if self._clients.pop(client, self) is None:
            self._clients[client] = None

    def _sweep(self) -> None:
        now = self.time()
        for client in [each for each in self._clients if each.due <= now]:
            client.overdue()
        self._let_go()  # one that asked while the door said no
        self._loop.call_later(SWEEP_S, self._sweep)

    @property
    def ending(self) -> bool:
        """Clients are sent away: the door says no, and each connection ends with its next answer."""
        return self.closing or self.drained

    def close(self) -> None:
        """Takes no more: idle clients are let go, the others with their next answer."""
        self.closing = True
        self._let_go()

    def drain(self, drained: bool) -> None:
        """Sends clients away, or takes them again; what they hand in meanwhile is still taken."""
        self.drained = drained
        self._let_go()

    def _let_go(self) -> None:
        for client in [each for each in self._clients if each.asked and each.idle] if self.ending else []:
            client.flush(close=True)

    def shut(self, quiet: int = 0) -> None:
        """Listens no more, once all who came were let in: the kernel resets those who still wait at a door
        that closes, and they may have asked already; asyncio loses those it let in and has not given their
        transport, one pass later."""
        if not self._server:
            return
        quiet = 0 if self._machine.has_pending(self._server) else quiet + 1
        if quiet < QUIET:
            self._loop.call_later(0.0, self.shut, quiet)
        else:
            self._server.close()
