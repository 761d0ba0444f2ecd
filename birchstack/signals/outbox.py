"""Outbox of a sender's own signals, held until every collector had time to poll them.

Pure. Owns the sequence numbers and ages of the signals. Holds the newest observation of each kind for each
endpoint. Expired observations are dropped, and beyond MAX_SIGNALS_PER_KIND the oldest.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from birchstack.interface import SignalKind
from birchstack.signals.model import (
    MAX_WAIT_MS,
    PROTOCOL_VERSION,
    SIGNAL_LIFETIME_MS,
    Cursor,
    Signal,
    SignalBatch,
    encode,
)
from birchstack.signals.news import ChangeIndex

MAX_SIGNALS_PER_KIND = 1024
MIN_REPEAT_MS = 500.0  # a repeated observation is recorded only if it expires this much later than the last


@dataclass(frozen=True, slots=True)
class Observation:
    """What this sender observed of one endpoint, timestamped by its steady clock."""

    at_ms: float
    wait_ms: int = 0

    def expires_at_ms(self) -> float:
        """Return the time from which it is no longer sent: the end of a wait, else the maximum age."""
        return self.at_ms + (self.wait_ms or SIGNAL_LIFETIME_MS)


class Outbox:
    """Signals of one incarnation of a sender.

    incarnation: identifier of the process. started_ms: when it became active, by its steady clock.
    """

    def __init__(self, incarnation: str, started_ms: float) -> None:
        self._incarnation = incarnation
        self._started_ms = started_ms
        self._last_sequence = 0
        self._observations: dict[SignalKind, dict[str, Observation]] = {kind: {} for kind in SignalKind}
        self._changes: dict[SignalKind, ChangeIndex] = {kind: ChangeIndex() for kind in SignalKind}

    def record(self, now_ms: float, endpoint: str, kind: SignalKind, wait_ms: float) -> None:
        """Record an observation that this sender makes now."""
        observations, changes = self._observations[kind], self._changes[kind]
        observation = Observation(now_ms, min(int(wait_ms), MAX_WAIT_MS))
        previous = observations.get(endpoint)
        if previous and observation.expires_at_ms() < previous.expires_at_ms() + MIN_REPEAT_MS:
            return
        if previous is None and len(observations) >= MAX_SIGNALS_PER_KIND:
            self._drop(kind, changes.oldest_key())
        self._last_sequence += 1
        observations[endpoint] = observation
        changes.record_change(endpoint, self._last_sequence)

    def empty_batch(self, now_ms: float) -> SignalBatch:
        """Return a batch for a collector new to this process, or whose request was not accepted."""
        return SignalBatch(PROTOCOL_VERSION, self._incarnation, int(now_ms - self._started_ms), False)

    def batch(self, now_ms: float, acknowledged: Cursor, max_bytes: int) -> SignalBatch:
        """Return the signals that a collector has not acknowledged, up to max_bytes but at least one.

        Waits come first, then served, then failed calls, each oldest first. The remaining signals are sent
        with later batches unless they expire before.
        """
        return msgspec.structs.replace(
            self.empty_batch(now_ms),
            request_accepted=True,
            signals=tuple(self._unacknowledged(now_ms, acknowledged, max_bytes)),
        )

    def _unacknowledged(self, now_ms: float, acknowledged: Cursor, max_bytes: int) -> Iterator[Signal]:
        """Yield the signals of a batch, dropping those that have expired."""
        first = True
        for kind, last in zip(SignalKind, acknowledged, strict=True):
            for endpoint, sequence in self._changes[kind].changes_after(last):
                observation = self._observations[kind][endpoint]
                if observation.expires_at_ms() <= now_ms:
                    self._drop(kind, endpoint)
                    continue
                signal = Signal(
                    endpoint, kind, sequence, int(now_ms - observation.at_ms), observation.wait_ms
                )
                max_bytes -= len(encode(signal))
                if max_bytes < 0 and not first:
                    return
                first = False
                yield signal

    def _drop(self, kind: SignalKind, endpoint: str) -> None:
        del self._observations[kind][endpoint]
        self._changes[kind].remove(endpoint)
