"""One call at a sender's door: asks for its trail and tells what came, once.

Owns the connection of that call and its time-out. Must never decide whom to ask, or look into the records.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from birchstack.fleet import wire
from birchstack.net import http1
from birchstack.net.driver import Dial, Link

BODY = 2 * wire.MAX_FRAMES_BYTES


class Ask:
    """after: records beyond that number; question: for signals, None where the door takes no part.
    told(piece, sent_at, problem): the piece, or None and why not; times of the loop in seconds."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        where: tuple[str, int],
        after: int,
        question: bytes | None,
        timeout_s: float,
        told: Callable[[wire.TrailResponse | None, float, str], None],
    ) -> None:
        self._loop, self._where, self._after, self._told = loop, where, after, told
        self._question = question
        self._reader, self._body = http1.Responses(max_body=BODY), bytearray()
        self._link: Link | None = None
        self._sent_at, self._status, self._over = 0.0, 0, False
        self._timer = loop.call_later(timeout_s, self._end, None, "no answer in time")
        self._dial = Dial(loop, where, self, lambda: self._end(None, "no connection"))

    def opened(self, link: Link) -> None:
        self._link, self._sent_at = link, self._loop.time()
        method = "GET" if self._question is None else "POST"
        host = "{}:{}".format(*self._where)
        link.write(http1.request(method, wire.request_target(self._after), host, body=self._question or b""))

    def received(self, data: memoryview) -> None:
        try:
            for event in self._reader.feed(data):
                if isinstance(event, http1.Response):
                    self._status = event.status
                elif isinstance(event, bytes):
                    self._body += event
                elif self._status != 200:
                    self._end(None, f"status {self._status}")
                    return
                else:
                    self._end(wire.decode(self._body), "")
                    return
        except (http1.Malformed, msgspec.DecodeError) as problem:
            self._end(None, f"malformed: {problem}")

    def lost(self) -> None:
        self._end(None, "the connection broke")

    def _end(self, piece: wire.TrailResponse | None, problem: str) -> None:
        if self._over:
            return
        self._over = True
        self._timer.cancel()
        self._dial.stop()
        if self._link:
            self._link.abort()
        self._told(piece, self._sent_at, problem)

    def stop(self) -> None:
        self._told = lambda piece, sent_at, problem: None
        self._end(None, "stopped")
