"""Notifies the platform of documents that ended undelivered, and repeats each notice until acknowledged.

Owns the connection to the platform, a new one for each request, and the pending notices. Must never drop a
notice before the platform has answered it with 204; across restarts the ledger stores them. On a connection
that had been used, a second copy of an earlier answer could acknowledge notices that never arrived.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from birchstack.net import http1
from birchstack.net.driver import Dial, Link
from birchstack.net.log import log_debug, log_event

PATH = "/v1/notices"
RESPONSE_TIMEOUT_S = 0.1  # first response time-out; doubled after each time-out in a row
MAX_RESPONSE_TIMEOUT_S = 2.0  # longest response time-out
RETRY_DELAY_S = 0.1  # delay before a failed request is repeated
MAX_BATCH = 64  # notices in one request
log = logging.getLogger(__name__)


def encode(doc_id: str, result: str, wait_ms: float) -> bytes:
    """Encodes one notice as a line of JSON."""
    fields = {"ref": doc_id, "result": result}
    if result == "bounced" and wait_ms > 0:
        fields["wait_ms"] = round(wait_ms)
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


class Notices:
    """Sends pending notices in batches; on_acknowledged(ids) is called with those acknowledged."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], on_acknowledged: Callable
    ) -> None:
        self._loop = loop
        self._address = address
        self._on_acknowledged = on_acknowledged
        self._waiting: dict[str, bytes] = {}
        self._in_flight: list[str] = []
        self._link: Link | None = None
        self._dial: Dial | None = None
        self._reader = http1.ResponseReader()
        self._batch_size = MAX_BATCH
        self._answer_timeout_s = RESPONSE_TIMEOUT_S
        self._answer: http1.Response | None = None
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def queue(self, doc_id: str, result: str, wait_ms: float) -> None:
        """Queues a notice, and sends it unless a request or a retry is pending."""
        self._waiting[doc_id] = encode(doc_id, result, wait_ms)
        if not self._in_flight and not self._timer:
            self._send()

    def set_address(self, address: tuple[str, int]) -> None:
        """Changes the platform's address; notices in flight are sent again there."""
        if address != self._address:
            self._address = address
            self._failed()

    def _send(self) -> None:
        """Sends the next batch, over a new connection."""
        self._timer = None
        if not self._waiting:
            return
        self._in_flight = list(self._waiting)[: self._batch_size]
        self._timer = self._loop.call_later(self._answer_timeout_s, self._timed_out)
        self._reader = http1.ResponseReader()
        self._answer = None
        self._dial = Dial(self._loop, self._address, self, self._failed)

    def opened(self, link: Link) -> None:
        """Called when the connection is established: sends the request."""
        self._link = link
        self._dial = None
        body = b"".join(self._waiting[each] for each in self._in_flight)
        fields = {"Content-Type": "application/json", "Connection": "close"}
        link.write(http1.request("POST", PATH, "{}:{}".format(*self._address), fields, body))

    def received(self, data: memoryview) -> None:
        """Called with data from the connection."""
        try:
            for event in self._reader.feed(data):
                if isinstance(event, http1.Response):
                    self._answer = event
                elif event is http1.END:
                    self._disconnect()
                    self._answered(self._answer.status)
                    return
        except http1.MalformedError:
            self._failed()

    def lost(self) -> None:
        """Called when the connection is lost."""
        self._failed()

    def _answered(self, status: int) -> None:
        """Processes the response to the batch in flight."""
        batch, self._in_flight = self._in_flight, []
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if status == 204:
            self._answer_timeout_s = max(RESPONSE_TIMEOUT_S, self._answer_timeout_s / 2.0)
            for each in batch:
                self._waiting.pop(each, None)
            self._batch_size = MAX_BATCH
            self._on_acknowledged(batch)
            if not self._in_flight:
                self._send()
        else:
            self._batch_size = 1  # one notice that the platform refuses must not block the others
            for each in batch[:1] if len(batch) == 1 else []:
                self._waiting[each] = self._waiting.pop(each)
            log_event(log, "notice not taken", logging.ERROR, status=status, count=len(batch))
            self._retry()

    def _disconnect(self) -> None:
        if self._dial:
            self._dial.stop()
        if self._link:
            log_debug(log, "notice connection closed", in_flight=len(self._in_flight))
            self._link.abort()
        self._dial = self._link = None

    def _timed_out(self) -> None:
        """Repeats the batch at once on a new connection.

        The connection may have broken without an error, and a document's time may be nearly up. Drawback: a
        slow platform receives some notices twice, which is harmless, and gets a longer time-out."""
        log_event(
            log,
            "notice unanswered",
            logging.WARNING,
            count=len(self._in_flight),
            waited=self._answer_timeout_s,
        )
        self._answer_timeout_s = min(MAX_RESPONSE_TIMEOUT_S, self._answer_timeout_s * 2.0)
        self._in_flight = []
        self._disconnect()
        self._send()

    def _failed(self) -> None:
        self._in_flight = []
        self._disconnect()
        self._retry()

    def _retry(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer = self._loop.call_later(RETRY_DELAY_S, self._send)
