"""How documents ended in this process: counted by type for operators, named by turn for the audit log.

Owns these counts. Must never decide how a document ends.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

DELIVERED, REFUSED, FAILED = range(3)


class Tally:
    """untried: documents that a restart found and that ended with no call, by the reason."""

    def __init__(self) -> None:
        self._ends: Counter[tuple[str, int]] = Counter()
        self._refused: list[str] = []
        self._failed: list[str] = []
        self.untried: Counter[str] = Counter()

    def delivered(self, kind: str) -> None:
        self._ends[kind, DELIVERED] += 1

    def undelivered(self, doc_id: str, kind: str, failed: bool) -> None:
        """failed: abandoned; else refused, and its client may come again."""
        self._ends[kind, FAILED if failed else REFUSED] += 1
        (self._failed if failed else self._refused).append(doc_id)

    def take_turn(self) -> tuple[list[str], list[str]]:
        """The documents refused and failed since this was asked last."""
        told = self._refused, self._failed
        self._refused, self._failed = [], []
        return told

    def by_type(self, listed: Iterable[str]) -> dict[str, tuple[int, int, int]]:
        """Delivered, refused and failed of each type: those listed, and others that were counted."""
        names = [*listed]
        names += sorted({name for name, _ in self._ends} - {*names})
        return {name: tuple(self._ends[name, end] for end in range(3)) for name in names}
