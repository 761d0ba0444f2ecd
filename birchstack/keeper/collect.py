"""Poll schedule of the collector: pure logic that is given the times and outcomes of polls.

Owns the polling rate. First polls are spread evenly over the interval, so that a collector that starts does
not poll the whole fleet at once. An address that fails is polled again after a random delay below a growing
ceiling (exponential backoff with full jitter). The number of polls in flight is bounded. Must not open a
socket or read a clock. Times are in seconds.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass


@dataclass(slots=True)
class Door:
    """Poll state of one audit address."""

    at: str
    due: float  # time of the next poll
    out: bool = False  # a poll is in flight
    failed: int = 0  # consecutive failures


class Rounds:
    """Schedules polls: due() returns the addresses to poll now; answered() and failed() report outcomes."""

    def __init__(
        self, doors: list[str], now: float, every_s: float, pause_s: float, most: int, chance: random.Random
    ) -> None:
        """Schedules the first poll of each address.

        every_s: interval between polls of one address.
        pause_s: upper bound on the ceiling of the retry delay.
        most: maximum number of polls in flight.
        """
        self._interval_s = every_s
        self._max_retry_s = pause_s
        self._max_in_flight = most
        self._random = chance
        self.doors: dict[str, Door] = {}
        self._heap: list[tuple[float, str]] = []
        self.out = 0
        self.set(doors, now)

    def set(self, doors: list[str], now: float) -> None:
        """Replaces the set of addresses; those that remain keep their scheduled poll."""
        added = [address for address in doors if address not in self.doors]
        for removed in [address for address in self.doors if address not in doors]:
            if self.doors.pop(removed).out:
                self.out -= 1
        for index, address in enumerate(added):
            self._schedule(address, now + self._interval_s * index / len(added))

    def _schedule(self, address: str, due: float) -> None:
        target = self.doors.setdefault(address, Door(address, due))
        target.due = due
        heapq.heappush(self._heap, (due, address))

    def due(self, now: float) -> list[str]:
        """Returns the addresses to poll now and counts each as in flight."""
        polled = []
        while self._heap and self._heap[0][0] <= now and self.out < self._max_in_flight:
            due, address = heapq.heappop(self._heap)
            target = self.doors.get(address)
            if target is None or target.out or target.due != due:
                continue  # outdated heap entry: the address was removed or rescheduled
            target.out = True
            self.out += 1
            polled.append(address)
        return polled

    def next(self) -> float | None:
        """Returns when due() may return more; None while only the end of a poll in flight can change that."""
        return self._heap[0][0] if self._heap and self.out < self._max_in_flight else None

    def _finish(self, address: str) -> Door | None:
        """Ends the poll in flight; None for an address that was removed or is not being polled."""
        target = self.doors.get(address)
        if target is None or not target.out:
            return None
        target.out = False
        self.out -= 1
        return target

    def answered(self, at: str, now: float, more: bool) -> None:
        """Reports a successful poll.

        more: the sender has records that did not fit into the answer. It is polled again at once, after the
        addresses that are due already.
        """
        target = self._finish(at)
        if target:
            target.failed = 0
            overdue = now - target.due > self._interval_s  # missed polls are skipped, not caught up
            self._schedule(at, now if more else (now if overdue else target.due) + self._interval_s)

    def failed(self, at: str, now: float) -> None:
        """Reports a failed poll and schedules a retry with exponential backoff and full jitter."""
        target = self._finish(at)
        if target:
            target.failed += 1
            ceiling = min(self._max_retry_s, self._interval_s * 2.0 ** min(target.failed, 30))
            self._schedule(at, now + max(0.05, self._random.random() * ceiling))
