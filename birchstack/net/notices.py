"""Notices: tells the platform of documents that ended undelivered, until it has said that it knows.

Owns one connection to the platform and the notices under way. Must never forget a notice before its 204; the
ledger keeps them meanwhile.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from birchstack.net import http1
from birchstack.net.driver import Dial, Link
from birchstack.net.log import say

PATH = "/v1/notices"
ANSWER_S, LONGEST_S = 0.1, 2.0  # an answer comes at once: waited for so long, twice as long each time
AGAIN_S = 0.1  # that none comes in a row; a failed one is sent again after this
MOST = 64  # in one request
log = logging.getLogger(__name__)


def line(doc_id: str, result: str, wait_ms: float) -> bytes:
    words = {"ref": doc_id, "result": result}
    if result == "bounced" and wait_ms > 0:
        words["wait_ms"] = round(wait_ms)
    return json.dumps(words, separators=(",", ":")).encode() + b"\n"


class Notices:
    """known(ids) hears of those that the platform has acknowledged."""

    def __init__(self, loop: asyncio.AbstractEventLoop, where: tuple[str, int], known: Callable) -> None:
        self._loop, self._where, self._known = loop, where, known
        self._waiting: dict[str, bytes] = {}
        self._under_way: list[str] = []
        self._link: Link | None = None
        self._dial: Dial | None = None
        self._reader = http1.ResponseReader()
        self._most, self._answer_s = MOST, ANSWER_S
        self._answer: http1.Response | None = None
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def tell(self, doc_id: str, result: str, wait_ms: float) -> None:
        self._waiting[doc_id] = line(doc_id, result, wait_ms)
        if not self._under_way and not self._timer:
            self._send()

    def move(self, where: tuple[str, int]) -> None:
        """Tells another address from now on; what is under way is told again there."""
        if where != self._where:
            self._where = where
            self._failed()

    def _send(self) -> None:
        self._timer = None
        if not self._waiting:
            return
        self._under_way = list(self._waiting)[: self._most]
        self._timer = self._loop.call_later(self._answer_s, self._silent)
        if self._link and not self._link.closed:
            self._write()
        else:
            self._reader, self._answer = http1.ResponseReader(), None
            self._dial = Dial(self._loop, self._where, self, self._failed)

    def _write(self) -> None:
        body = b"".join(self._waiting[each] for each in self._under_way)
        fields = {"Content-Type": "application/json"}
        self._link.write(http1.request("POST", PATH, "{}:{}".format(*self._where), fields, body))

    def opened(self, link: Link) -> None:
        self._link, self._dial = link, None
        self._write()

    def received(self, data: memoryview) -> None:
        try:
            for event in self._reader.feed(data):
                if isinstance(event, http1.Response):
                    self._answer = event
                elif event is http1.END:  # what comes behind it answers nothing that is under way later
                    if not (self._answer.keep_alive and self._reader.between_messages and self._under_way):
                        self._hang_up()
                    if self._under_way:
                        self._answered(self._answer.status)
                    return
        except http1.MalformedError:
            self._failed()

    def lost(self) -> None:
        self._link = None
        if self._under_way:
            self._failed()

    def _answered(self, status: int) -> None:
        told, self._under_way = self._under_way, []
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if status == 204:
            self._answer_s = max(ANSWER_S, self._answer_s / 2.0)
            for each in told:
                self._waiting.pop(each, None)
            self._most = MOST
            self._known(told)
            self._send()
        else:
            self._most = 1  # one that cannot be read must not hold up the others
            for each in told[:1] if len(told) == 1 else []:
                self._waiting[each] = self._waiting.pop(each)
            say(log, "notice not taken", logging.ERROR, status=status, count=len(told))
            self._again()

    def _hang_up(self) -> None:
        if self._dial:
            self._dial.stop()
        if self._link:
            self._link.abort()
        self._dial = self._link = None

    def _silent(self) -> None:
        """No answer: the connection may have died without a word, and a document's time is nearly up. Asked
        again at once on a new one. May hurt where the platform is slow: it hears some twice, which does no
        harm, and is given more time."""
        say(log, "notice unanswered", logging.WARNING, count=len(self._under_way), waited=self._answer_s)
        self._answer_s = min(LONGEST_S, self._answer_s * 2.0)
        self._under_way = []
        self._hang_up()
        self._send()

    def _failed(self) -> None:
        self._under_way = []
        self._hang_up()
        self._again()

    def _again(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer = self._loop.call_later(AGAIN_S, self._send)
