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
class PollTarget:
    """Poll state of one audit address."""

    address: str
    due: float  # time of the next poll
    in_flight: bool = False
    failures: int = 0  # consecutive failures


class PollSchedule:
    """Schedules polls.

    take_due() returns the addresses to poll now; answered() and failed() report the outcomes.
    """

    def __init__(
        self,
        addresses: list[str],
        now: float,
        interval_s: float,
        max_retry_s: float,
        max_in_flight: int,
        rng: random.Random,
    ) -> None:
        """Schedules the first poll of each address.

        interval_s: interval between polls of one address.
        max_retry_s: upper bound on the ceiling of the retry delay.
        max_in_flight: maximum number of polls in flight.
        """
        self._interval_s = interval_s
        self._max_retry_s = max_retry_s
        self._max_in_flight = max_in_flight
        self._rng = rng
        self.targets: dict[str, PollTarget] = {}
        self._heap: list[tuple[float, str]] = []
        self.in_flight = 0
        self.set_addresses(addresses, now)

    def set_addresses(self, addresses: list[str], now: float) -> None:
        """Replaces the set of addresses; those that remain keep their scheduled poll."""
        added = [address for address in addresses if address not in self.targets]
        for removed in [address for address in self.targets if address not in addresses]:
            if self.targets.pop(removed).in_flight:
                self.in_flight -= 1
        for index, address in enumerate(added):
            self._schedule(address, now + self._interval_s * index / len(added))

    def _schedule(self, address: str, due: float) -> None:
        target = self.targets.setdefault(address, PollTarget(address, due))
        target.due = due
        heapq.heappush(self._heap, (due, address))

    def take_due(self, now: float) -> list[str]:
        """Returns the addresses to poll now and counts each as in flight."""
        polled = []
        while self._heap and self._heap[0][0] <= now and self.in_flight < self._max_in_flight:
            due, address = heapq.heappop(self._heap)
            target = self.targets.get(address)
            if target is None or target.in_flight or target.due != due:
                continue  # outdated heap entry: the address was removed or rescheduled
            target.in_flight = True
            self.in_flight += 1
            polled.append(address)
        return polled

    def next_due(self) -> float | None:
        """Returns when take_due() may return more; None until a poll in flight ends."""
        return self._heap[0][0] if self._heap and self.in_flight < self._max_in_flight else None

    def _finish(self, address: str) -> PollTarget | None:
        """Ends the poll in flight; None for an address that was removed or is not being polled."""
        target = self.targets.get(address)
        if target is None or not target.in_flight:
            return None
        target.in_flight = False
        self.in_flight -= 1
        return target

    def answered(self, address: str, now: float, more: bool) -> None:
        """Reports a successful poll.

        more: the sender has records that did not fit into the answer. It is polled again at once, after the
        addresses that are due already.
        """
        target = self._finish(address)
        if target:
            target.failures = 0
            overdue = now - target.due > self._interval_s  # missed polls are skipped, not caught up
            self._schedule(address, now if more else (now if overdue else target.due) + self._interval_s)

    def failed(self, address: str, now: float) -> None:
        """Reports a failed poll and schedules a retry with exponential backoff and full jitter."""
        target = self._finish(address)
        if target:
            target.failures += 1
            ceiling = min(self._max_retry_s, self._interval_s * 2.0 ** min(target.failures, 30))
            self._schedule(address, now + max(0.05, self._rng.random() * ceiling))
