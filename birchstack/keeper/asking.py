"""One poll request: fetches audit records from a sender once and reports the outcome.

Owns the request's connection and timeout. Must not decide which sender to poll, or look into the records.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from birchstack.fleet import wire
from birchstack.net import http1
from birchstack.net.driver import Dial, Link

MAX_BODY_BYTES = 2 * wire.MAX_FRAMES_BYTES


class PollRequest:
    """One request to a sender's audit address.

    after: fetch the records beyond this number.
    question: the signals question to send along, or None where the sender does not take part in signals.
    on_result(answer, sent_at, problem): called once with the answer, or with None and the reason for the
    failure. sent_at is in seconds of the event loop's clock.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        after: int,
        question: bytes | None,
        timeout_s: float,
        on_result: Callable[[wire.TrailResponse | None, float, str], None],
    ) -> None:
        self._loop = loop
        self._address = address
        self._after = after
        self._on_result = on_result
        self._question = question
        self._parser = http1.ResponseReader(max_body=MAX_BODY_BYTES)
        self._body = bytearray()
        self._link: Link | None = None
        self._sent_at = 0.0
        self._status = 0
        self._finished = False
        self._timer = loop.call_later(timeout_s, self._finish, None, "no answer within the timeout")
        self._dial = Dial(loop, address, self, lambda: self._finish(None, "connection failed"))

    def opened(self, link: Link) -> None:
        """Sends the request once the connection is established."""
        self._link = link
        self._sent_at = self._loop.time()
        method = "GET" if self._question is None else "POST"
        host = "{}:{}".format(*self._address)
        link.write(http1.request(method, wire.request_target(self._after), host, body=self._question or b""))

    def received(self, data: memoryview) -> None:
        """Parses a part of the response; finishes when the response is complete or malformed."""
        try:
            for event in self._parser.feed(data):
                if isinstance(event, http1.Response):
                    self._status = event.status
                elif isinstance(event, bytes):
                    self._body += event
                elif self._status != 200:
                    self._finish(None, f"status {self._status}")
                    return
                else:
                    self._finish(wire.decode(self._body), "")
                    return
        except (http1.MalformedError, msgspec.DecodeError) as problem:
            self._finish(None, f"malformed: {problem}")

    def lost(self) -> None:
        """Finishes with a failure: the connection was closed before the response was complete."""
        self._finish(None, "connection lost")

    def _finish(self, answer: wire.TrailResponse | None, problem: str) -> None:
        if self._finished:
            return
        self._finished = True
        self._timer.cancel()
        self._dial.stop()
        if self._link:
            self._link.abort()
        self._on_result(answer, self._sent_at, problem)

    def stop(self) -> None:
        """Cancels the request; on_result is not called."""
        self._on_result = lambda answer, sent_at, problem: None
        self._finish(None, "stopped")
