"""Estimates the transit delay of a collector's request without synchronised clocks.

Pure. A request repeats the steady clock reading from the sender's last response, together with the time for
which the collector held it. The remaining difference to the sender's clock was spent in transit of the
response and the request, or the request lay unread while the sender was suspended.
"""

from __future__ import annotations

from birchstack.signals.model import SignalRequest

MAX_TRANSIT_DELAY_MS = 1000.0  # a request with a longer transit is stale: its evidence is discarded


def transit_delay_ms(request: SignalRequest, incarnation: str, clock_ms: float) -> float | None:
    """Return the transit delay; None if the request is stale or was meant for another incarnation."""
    if request.incarnation != incarnation:
        return None
    delay = clock_ms - request.sender_clock_ms - request.clock_age_ms
    return max(0.0, delay) if delay <= MAX_TRANSIT_DELAY_MS else None
