"""The backlog as a plain model in memory: the interface, and what the one on disk is tested against.

Owns nothing that lasts. Must never grow a feature that the one on disk has not.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from birchstack.backlog.settings import Settings
from birchstack.ledger.records import Kept

__all__ = ["Backlog", "Kept"]


class Backlog:
    """Times are on the lasting clock, in milliseconds."""

    def __init__(self, folder: object = None, settings: Settings | None = None, now: float = 0.0) -> None:
        self._room = settings.bytes if settings else 1 << 40
        self._owed: dict[str, Kept] = {}  # in order of arrival
        self._given: dict[int, list[str]] = {}

    def __len__(self) -> int:
        return len(self._owed)

    def _of(self, destination: int) -> list[Kept]:
        return [kept for kept in self._owed.values() if kept.destination == destination]

    def waiting(self, destination: int) -> tuple[int, float]:
        there = self._of(destination)
        return len(there), there[0].taken if there else 0.0

    def fits(self, sizes: list[int]) -> bool:
        all_of_them = [*sizes, *(len(kept.body) for kept in self._owed.values())]
        return sum(all_of_them) + 512 * len(all_of_them) <= self._room

    def append(self, kept: Kept) -> None:
        self._owed[kept.id] = kept

    def holds(self, doc_id: str) -> bool:
        return doc_id in self._owed

    def read(self, destination: int, most: int) -> list[Kept]:
        found = self._of(destination)[:most]
        self._given[destination] = [kept.id for kept in found]
        return found

    def moved(self, destination: int, count: int) -> None:
        """Those that ended since the read() count too."""
        for doc_id in self._given[destination][:count]:
            self._owed.pop(doc_id, None)
        del self._given[destination][:count]

    def due(self, now: float, most: int) -> list[Kept]:
        found = [kept for kept in self._owed.values() if kept.expiry <= now]
        return sorted(found, key=lambda kept: kept.expiry)[:most]

    def ended(self, ids: list[str]) -> None:
        for doc_id in ids:
            self._owed.pop(doc_id, None)

    def drop(self, ids: Iterable[str]) -> None:
        self.ended([*ids])

    def next_due(self) -> float:
        return min((kept.expiry for kept in self._owed.values()), default=inf)

    def destinations(self) -> Iterable[int]:
        return dict.fromkeys(kept.destination for kept in self._owed.values())

    def step(self) -> bool:
        return False

    def close(self) -> None:
        pass
