"""Counts how documents ended in this process: by type for operators, and by turn for the audit log.

Owns these counts. Never decides how a document ends.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

DELIVERED, REFUSED, FAILED = range(3)


class Tally:
    """Counts of ended documents.

    untried: documents recovered at a restart that ended without a transmission, by reason.
    """

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, int]] = Counter()  # by type and end
        self._refused: list[str] = []
        self._failed: list[str] = []
        self.untried: Counter[str] = Counter()

    def count_delivered(self, kind: str) -> None:
        """Counts a delivered document of a type."""
        self._counts[kind, DELIVERED] += 1

    def count_undelivered(self, doc_id: str, kind: str, failed: bool) -> None:
        """Counts a document as failed (abandoned), or as refused: its client may submit it again."""
        self._counts[kind, FAILED if failed else REFUSED] += 1
        (self._failed if failed else self._refused).append(doc_id)

    def take_ended(self) -> tuple[list[str], list[str]]:
        """Returns the ids of documents refused and failed since the last call."""
        ended = self._refused, self._failed
        self._refused = []
        self._failed = []
        return ended

    def by_type(self, listed: Iterable[str]) -> dict[str, tuple[int, int, int]]:
        """Counts of delivered, refused and failed, for the types listed and others that were counted."""
        names = [*listed]
        names += sorted({name for name, _ in self._counts} - {*names})
        return {name: tuple(self._counts[name, end] for end in range(3)) for name in names}
