"""A sender's side of the signal exchange.

Reports this sender's observations to collectors, and passes other senders' observations to its decisions.
Owns the sender's outbox and the time of the last accepted collector request. Must never decide about an
endpoint, or raise into the sender. Disabled unless the fleet's file has a table `signals`.
"""

from __future__ import annotations

from collections.abc import Callable

from birchstack.fleet.settings import SignalSettings
from birchstack.interface import Report, SignalKind
from birchstack.signals import model
from birchstack.signals.echo import transit_delay_ms
from birchstack.signals.outbox import Outbox


class SignalParticipant:
    """Signal exchange of one process.

    incarnation: identifier of the process. steady_ms: its steady clock. reported: receives the reports of
    other senders.
    """

    def __init__(
        self,
        settings: SignalSettings,
        incarnation: str,
        steady_ms: Callable[[], float],
        reported: Callable[[list[Report]], None],
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._steady_ms = steady_ms
        self._reported = reported
        self._outbox: Outbox | None = None  # None until this process is active
        self._last_request_ms = float("-inf")
        self._observation_count = 0
        self._report_count = 0
        self._rejected_count = 0

    def start(self) -> None:
        """Start recording observations: this process is active from now on."""
        self._outbox = Outbox(self._incarnation, self._steady_ms())

    def is_live(self) -> bool:
        """Return whether a collector's request was accepted within the configured time."""
        return self._steady_ms() - self._last_request_ms <= self._settings.quiet_s * 1000.0

    def record_observation(self, endpoint: str, kind: SignalKind, wait_ms: float) -> None:
        """Record an observation made by the decisions."""
        if self._outbox:
            self._observation_count += 1
            self._outbox.record(self._steady_ms(), endpoint, kind, wait_ms)

    def respond(self, body: bytes) -> bytes:
        """Answer a collector with this sender's signals; empty while this process is not active.

        body: the collector's request, empty if it has not met this process. A request that cannot be decoded
        is answered like an empty one.
        """
        if self._outbox is None:
            return b""
        now_ms = self._steady_ms()
        acknowledged = self._accept(body, now_ms) if body else None
        if acknowledged is None:
            return model.encode(self._outbox.empty_batch(now_ms))
        return model.encode(self._outbox.batch(now_ms, acknowledged, self._settings.bytes))

    def _accept(self, body: bytes, now_ms: float) -> model.Cursor | None:
        """Pass on the evidence of a request.

        Returns the cursor of what the collector has from this process; None if the request is rejected.
        """
        try:
            request = model.decode_request(body)
        except model.SignalError:
            self._rejected_count += 1
            return None
        delay = transit_delay_ms(request, self._incarnation, now_ms)
        if delay is None:
            self._rejected_count += 1
            return None
        self._last_request_ms = now_ms
        self._report_count += len(request.evidence)
        if request.evidence:
            self._reported([each.report(delay) for each in request.evidence])
        return request.acknowledged

    def metrics(self) -> list[tuple[str, object]]:
        """Return names and values for the metrics endpoint."""
        return [
            ("signals_live", int(self.is_live())),
            ("signals_noted", self._observation_count),
            ("signals_reports", self._report_count),
            ("signals_refused", self._rejected_count),
        ]
