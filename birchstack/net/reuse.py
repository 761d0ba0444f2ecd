"""Decides whether a connection to an endpoint may carry another call.

An HTTP/1.1 response does not say which request it answers: a second copy of a response that arrives after the
next request was written cannot be told from the answer to that request. A connection therefore settles for
SETTLE_MS after each response, in which bytes that nobody requested are noticed. An endpoint that sent such
bytes gets a new connection for each call for DISTRUST_MS; if several endpoints did, something on the way
copies responses, and every endpoint does. Drawback: a document that follows another one within SETTLE_MS
needs a new connection.
"""

from __future__ import annotations

SETTLE_MS = 250.0
DISTRUST_MS = 600_000.0
DISTRUSTED_BEFORE_ALL = 2  # endpoints that are distrusted at once before no connection is reused


class ReusePolicy:
    """Tracks which endpoints sent bytes that answer no call. Times are milliseconds of one clock."""

    def __init__(self) -> None:
        self._distrusted_until: dict[str, float] = {}  # by endpoint

    def distrust(self, now: float, endpoint: str) -> None:
        """An endpoint sent bytes that answer no call."""
        self._distrusted_until = {
            name: until for name, until in self._distrusted_until.items() if now < until
        }
        self._distrusted_until[endpoint] = now + DISTRUST_MS

    def distrusts_all(self, now: float) -> bool:
        """Returns whether no connection may be reused, whatever its endpoint."""
        return sum(now < until for until in self._distrusted_until.values()) >= DISTRUSTED_BEFORE_ALL

    def allows(self, now: float, endpoint: str) -> bool:
        """Returns whether connections to an endpoint may be kept for another call."""
        if not self._distrusted_until:
            return True
        return now >= self._distrusted_until.get(endpoint, 0.0) and not self.distrusts_all(now)


def has_settled(now: float, answered_at: float) -> bool:
    """Returns whether a connection whose last call ended at a time may carry another one."""
    return now - answered_at >= SETTLE_MS
