"""When a keeper asks which door for what: a pure core that is fed times and outcomes.

Owns the pace: the doors' turns are spread evenly over the interval, so that a keeper that starts does not ask
all of a fleet at once; a door that does not answer is asked again after a drawn pause with a growing ceiling
(full jitter), and asks out are bounded. Must never open a socket or read a clock. Times in seconds.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass


@dataclass(slots=True)
class Door:
    at: str
    due: float  # its next turn
    out: bool = False
    failed: int = 0  # in a row


class Rounds:
    """due() tells whom to ask now; answered() and failed() what came of it."""

    def __init__(
        self, doors: list[str], now: float, every_s: float, pause_s: float, most: int, chance: random.Random
    ) -> None:
        self._every, self._pause, self._most, self._chance = every_s, pause_s, most, chance
        self.doors: dict[str, Door] = {}
        self._heap: list[tuple[float, str]] = []
        self.out = 0
        self.set(doors, now)

    def set(self, doors: list[str], now: float) -> None:
        """The doors from now on; those that stay keep their turn."""
        fresh = [each for each in doors if each not in self.doors]
        for gone in [each for each in self.doors if each not in doors]:
            if self.doors.pop(gone).out:
                self.out -= 1
        for place, each in enumerate(fresh):
            self._turn(each, now + self._every * place / len(fresh))

    def _turn(self, at: str, when: float) -> None:
        door = self.doors.setdefault(at, Door(at, when))
        door.due = when
        heapq.heappush(self._heap, (when, at))

    def due(self, now: float) -> list[str]:
        """The doors to ask now; each counts as asked."""
        asked = []
        while self._heap and self._heap[0][0] <= now and self.out < self._most:
            when, at = heapq.heappop(self._heap)
            door = self.doors.get(at)
            if door is None or door.out or door.due != when:
                continue  # gone, or another turn was set
            door.out = True
            self.out += 1
            asked.append(at)
        return asked

    def next(self) -> float | None:
        """When due() may tell more; None where nothing is to wait for but answers."""
        return self._heap[0][0] if self._heap and self.out < self._most else None

    def _back(self, at: str) -> Door | None:
        door = self.doors.get(at)
        if door is None or not door.out:
            return None
        door.out = False
        self.out -= 1
        return door

    def answered(self, at: str, now: float, more: bool) -> None:
        """more: it has records that did not fit; asked again at once, behind those that are due."""
        door = self._back(at)
        if door:
            door.failed = 0
            behind = now - door.due > self._every  # turns that were missed are not made up for
            self._turn(at, now if more else (now if behind else door.due) + self._every)

    def failed(self, at: str, now: float) -> None:
        door = self._back(at)
        if door:
            door.failed += 1
            ceiling = min(self._pause, self._every * 2.0 ** min(door.failed, 30))
            self._turn(at, now + max(0.05, self._chance.random() * ceiling))
