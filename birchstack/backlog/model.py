"""The backlog as a simple model in memory: its interface, and the reference for tests of the one on disk.

Stores nothing on disk. Must never have a feature that the backlog on disk lacks.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from birchstack.backlog.settings import Settings
from birchstack.ledger.records import Kept

__all__ = ["Backlog", "Kept"]

RECORD_OVERHEAD_BYTES = 512  # of a document besides its body, an estimate


class Backlog:
    """The backlog in memory. Times are milliseconds of the lasting clock."""

    def __init__(self, folder: object = None, settings: Settings | None = None, now: float = 0.0) -> None:
        self._capacity_bytes = settings.bytes if settings else 1 << 40
        self._documents: dict[str, Kept] = {}  # in order of arrival
        self._last_reads: dict[int, list[str]] = {}

    def __len__(self) -> int:
        return len(self._documents)

    def _at_destination(self, destination: int) -> list[Kept]:
        return [kept for kept in self._documents.values() if kept.destination == destination]

    def waiting(self, destination: int) -> tuple[int, float]:
        """Returns the number of documents that wait and when the first of them was taken."""
        documents = self._at_destination(destination)
        return len(documents), documents[0].taken if documents else 0.0

    def fits(self, sizes: list[int]) -> bool:
        """Returns whether documents with bodies of these sizes fit."""
        all_sizes = [*sizes, *(len(kept.body) for kept in self._documents.values())]
        return sum(all_sizes) + RECORD_OVERHEAD_BYTES * len(all_sizes) <= self._capacity_bytes

    def append(self, kept: Kept) -> None:
        """Records a document as the last of its destination."""
        self._documents[kept.id] = kept

    def holds(self, doc_id: str) -> bool:
        """Returns whether the document with this id waits here."""
        return doc_id in self._documents

    def read(self, destination: int, limit: int) -> list[Kept]:
        """Returns up to `limit` waiting documents in order of arrival; they stay here."""
        found = self._at_destination(destination)[:limit]
        self._last_reads[destination] = [kept.id for kept in found]
        return found

    def moved(self, destination: int, count: int) -> None:
        """Removes the first `count` documents of the last read(), counting those that ended since then."""
        for doc_id in self._last_reads[destination][:count]:
            self._documents.pop(doc_id, None)
        del self._last_reads[destination][:count]

    def due(self, now: float, limit: int) -> list[Kept]:
        """Returns up to `limit` expired documents by expiry."""
        found = [kept for kept in self._documents.values() if kept.expiry <= now]
        return sorted(found, key=lambda kept: kept.expiry)[:limit]

    def ended(self, ids: list[str]) -> None:
        """Removes documents that ended; ids that are unknown here are ignored."""
        for doc_id in ids:
            self._documents.pop(doc_id, None)

    def drop(self, ids: Iterable[str]) -> None:
        """Removes, after a start, the documents that the sender's ledger knows."""
        self.ended([*ids])

    def next_due(self) -> float:
        """Returns the earliest expiry."""
        return min((kept.expiry for kept in self._documents.values()), default=inf)

    def destinations(self) -> Iterable[int]:
        """Returns the destinations that have documents waiting."""
        return dict.fromkeys(kept.destination for kept in self._documents.values())

    def step(self) -> bool:
        """Does nothing: the model needs no housekeeping. Returns False."""
        return False

    def close(self) -> None:
        """Does nothing."""
