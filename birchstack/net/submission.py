"""A document as a client submits it: the fields of its request, and the way to answer it.

Owns which fields a request needs, their forms and their limits, and the verdicts. Must never read or write a
connection itself.
"""

from __future__ import annotations

import re
from typing import Protocol

from birchstack.net import http1
from birchstack.net.driver import Link

# Verdicts on a submitted document
ACCEPTED = "accepted"
REJECTED = "rejected"
UNAVAILABLE = "unavailable"  # no document is accepted at present
ABANDONED = "abandoned"
STATUS = {ACCEPTED: 202, REJECTED: 429, UNAVAILABLE: 503, ABANDONED: 500}
CLIENT_TIMEOUT_MS = 400.0  # a client waits this long for its answer
MAX_UNREAD_BYTES = 32768  # from here on the kernel may hold back what a client sends, and its end
EXCESS_TIMEOUT_MS = 1000.0  # a document's time-out may exceed the expiry of its type by this much
MAX_PAIRS = 64  # name=value pairs in a field
ID_PATTERN = re.compile("[0-9A-Za-z._~:+/=@-]{1,128}")
NUMBER_PATTERN = re.compile("[0-9]{1,9}")
TEXT_PATTERN = re.compile("[ -~]{1,128}")  # an ordering key, an idempotency key or a tenant's name


class Connection(Protocol):
    """What a request needs of the connection that it came over."""

    link: Link
    gone: bool
    request_began: float
    received_at: float

    def since_ms(self, moment: float) -> float:
        """Milliseconds since a time of the loop."""

    def flush(self, close: bool) -> None:
        """Writes the answers that are known; close: reads no further request."""


class Server(Protocol):
    """What a request needs to know of the server: the expiry in ms by document type, and destinations."""

    types: dict[str, float]

    def serves(self, destination: int) -> bool:
        """Returns whether a destination is known."""


class InvalidRequestError(Exception):
    """The request cannot be a document; names the part at fault, and carries the status of the answer."""

    def __init__(self, part: str, status: int = 400) -> None:
        super().__init__(part)
        self.status = status


def _parse_pairs(text: str, separator: str) -> dict[str, str]:
    """Parses name=value pairs; a name may occur only once."""
    if text.count(separator) >= MAX_PAIRS:
        raise InvalidRequestError("too many pairs in X-Consignee or Cookie")
    pairs = [pair.strip().partition("=")[::2] for pair in text.split(separator)]
    if len({name for name, _ in pairs}) < len(pairs):
        raise InvalidRequestError("duplicate name in X-Consignee or Cookie")
    return dict(pairs)


class ClientRequest:
    """One document as a client submitted it, validated before its body arrives, and the way to answer it.

    sent_at: time of the loop at which its first byte came.
    """

    __slots__ = (
        "id",
        "type",
        "destination",
        "key",
        "repeat_key",
        "tenant",
        "remaining_ms",
        "body",
        "keep_alive",
        "_client",
        "answer",
        "duplicates",
        "sent_at",
    )

    def __init__(self, client: Connection, head: http1.Request, server: Server) -> None:
        fields = head.fields
        self._client = client
        self.body = b""
        self.answer = None
        self.keep_alive = head.keep_alive
        self.duplicates: list[ClientRequest] = []  # the same document, submitted over other connections
        self.sent_at = client.request_began
        self.type = head.path[1:].partition("/")[0]
        if self.type not in server.types:
            raise InvalidRequestError("document type", 404)
        self.id = fields.get("request-id", "")
        if not ID_PATTERN.fullmatch(self.id):
            raise InvalidRequestError("Request-Id")
        timeout = fields.get("request-timeout-ms", "")
        if (
            not NUMBER_PATTERN.fullmatch(timeout)
            or int(timeout) > server.types[self.type] + EXCESS_TIMEOUT_MS
        ):
            raise InvalidRequestError("Request-Timeout-Ms")
        self.remaining_ms = float(timeout)
        destination = _parse_pairs(fields.get("x-consignee", "").replace(";", ","), ",").get("dest", "")
        if not NUMBER_PATTERN.fullmatch(destination):
            raise InvalidRequestError("X-Consignee")
        self.destination = int(destination)
        if not server.serves(self.destination):
            raise InvalidRequestError("destination", 404)
        self.key = _parse_pairs(fields["cookie"], ";").get("thread") or None if "cookie" in fields else None
        self.repeat_key = fields.get("idempotency-key") or None
        self.tenant = fields.get("tenant") or None
        if not all(TEXT_PATTERN.fullmatch(text) for text in (self.key, self.repeat_key, self.tenant) if text):
            raise InvalidRequestError("thread, Idempotency-Key or Tenant")

    def age_and_gone(self) -> tuple[float, bool]:
        """How long ago the client sent it, in ms as far as is known, and whether the client has gone.

        A client that has sent so much more that its end may still wait behind it, unseen, counts as gone."""
        if self._client.gone:
            return 0.0, True
        link = self._client.link
        quiet_ms, gone = link.receive_state()
        waited_ms = max(quiet_ms, self._client.since_ms(self._client.received_at))
        gone = gone or waited_ms >= CLIENT_TIMEOUT_MS or link.unread_bytes() >= MAX_UNREAD_BYTES
        return quiet_ms + self._client.since_ms(self.sent_at), gone

    def reply(self, verdict: str, wait_ms: float = 0.0, close: bool = False) -> None:
        """Answers the client by a verdict (a key of STATUS); wait_ms becomes its Retry-After."""
        fields = {"Retry-After": f"{wait_ms / 1000.0:g}"} if wait_ms > 0.0 else {}
        self.answer = http1.response(STATUS[verdict], fields, close)
        self._client.flush(close)
        for each in self.duplicates:
            each.reply(verdict, wait_ms, close)
