"""What the process needs and how well it keeps up: memory, and delays of the event loop.

Owns these measurements and their metrics. Must never act on them.
"""

from __future__ import annotations

import asyncio
import logging

from birchstack.net.log import log_event
from birchstack.net.machine import Machine

HELD_UP_MS = 250.0  # a delay of the event loop from here on is logged
WARNING_INTERVAL_S = 1.0  # between such log lines
log = logging.getLogger(__name__)


class Vitals:
    """Measures the process. tick() is to be called at a steady interval, the shorter the more exact."""

    def __init__(self, loop: asyncio.AbstractEventLoop, machine: Machine, interval_s: float) -> None:
        self._loop = loop
        self._machine = machine
        self._interval_s = interval_s
        self._expected_at: float | None = None
        self._warned_at = -WARNING_INTERVAL_S
        self.max_delay_ms = 0.0
        self.delays = 0  # delays of at least HELD_UP_MS

    def tick(self) -> None:
        """Measures by how much later than expected this call comes."""
        now = self._loop.time()
        expected_at, self._expected_at = self._expected_at, now + self._interval_s
        if expected_at is None:
            return
        delay_ms = max(0.0, (now - expected_at) * 1000.0)
        self.max_delay_ms = max(self.max_delay_ms, delay_ms)
        if delay_ms < HELD_UP_MS:
            return
        self.delays += 1
        if now - self._warned_at >= WARNING_INTERVAL_S:
            self._warned_at = now
            log_event(log, "event loop held up", logging.WARNING, delay_ms=delay_ms, count=self.delays)

    def figures(self) -> list[tuple[str, object]]:
        """Returns the metrics, by name."""
        return [
            ("memory_bytes", self._machine.memory_bytes()),
            ("loop.max_delay_ms", round(self.max_delay_ms)),
            ("loop.delays", self.delays),
        ]
