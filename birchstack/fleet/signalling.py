"""A sender's part in the signals of its fleet: tells keepers what it saw, and its decisions what others saw.

Owns the sender's outbox and when a keeper last asked. Must never decide about an endpoint, or raise into the
sender. Off unless the fleet's file has a table `signals`.
"""

from __future__ import annotations

from collections.abc import Callable

from birchstack.fleet.settings import Signals
from birchstack.interface import Report, SignalKind
from birchstack.signals import model
from birchstack.signals.echo import delay_ms
from birchstack.signals.outbox import Outbox


class Signalling:
    """life: the process's name for itself; steady_ms: its steady clock; reported: where reports go."""

    def __init__(
        self,
        settings: Signals,
        life: str,
        steady_ms: Callable[[], float],
        reported: Callable[[list[Report]], None],
    ) -> None:
        self._settings, self._life, self._steady_ms = settings, life, steady_ms
        self._reported = reported
        self._outbox: Outbox | None = None  # none before this process acts
        self._heard_ms = float("-inf")
        self._noted = self._evidence = self._refused = 0

    def begins(self) -> None:
        """This process acts from now on."""
        self._outbox = Outbox(self._life, self._steady_ms())

    def live(self) -> bool:
        """Whether a keeper passed signals on lately."""
        return self._steady_ms() - self._heard_ms <= self._settings.quiet_s * 1000.0

    def observed(self, endpoint: str, kind: SignalKind, wait_ms: float) -> None:
        """Told by the decisions."""
        if self._outbox:
            self._noted += 1
            self._outbox.note(self._steady_ms(), endpoint, kind, wait_ms)

    def answer(self, body: bytes) -> bytes:
        """body: a keeper's question, or nothing where it has not met this process. Returns this sender's
        signals; nothing while it does not act. A question that cannot be read is answered as none."""
        if self._outbox is None:
            return b""
        now_ms = self._steady_ms()
        taken = self._take(body, now_ms) if body else None
        if taken is None:
            return model.encode(self._outbox.nothing(now_ms))
        return model.encode(self._outbox.batch(now_ms, taken, self._settings.bytes))

    def _take(self, body: bytes, now_ms: float) -> model.Sequences | None:
        """Passes on what the question brings. Returns what the keeper has of this process, None for none."""
        try:
            question = model.decode_question(body)
        except model.SignalError:
            self._refused += 1
            return None
        delay = delay_ms(question, self._life, now_ms)
        if delay is None:
            self._refused += 1
            return None
        self._heard_ms = now_ms
        self._evidence += len(question.evidence)
        if question.evidence:
            self._reported([each.report(delay) for each in question.evidence])
        return question.taken

    def figures(self) -> list[tuple[str, object]]:
        """For the operators' door."""
        return [
            ("signals_live", int(self.live())),
            ("signals_noted", self._noted),
            ("signals_reports", self._evidence),
            ("signals_refused", self._refused),
        ]
