"""Index of keys by their last change, for readers that fetch what changed since their last read."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from itertools import takewhile


class ChangeIndex:
    """Maps each key to the sequence number of its last change. Sequence numbers only increase."""

    def __init__(self) -> None:
        self._sequences: OrderedDict[str, int] = OrderedDict()

    def record_change(self, key: str, sequence: int) -> None:
        """Record a change of the key; sequence must be greater than any recorded before."""
        self._sequences[key] = sequence
        self._sequences.move_to_end(key)

    def remove(self, key: str) -> None:
        """Remove the key; does nothing if it is absent."""
        self._sequences.pop(key, None)

    def oldest_key(self) -> str:
        """Return the least recently changed key. Raises StopIteration if the index is empty."""
        return next(iter(self._sequences))

    def changes_after(self, sequence: int) -> Iterator[tuple[str, int]]:
        """Return the keys changed after a sequence number, oldest change first. Visits only those keys."""
        changed = [*takewhile(lambda item: item[1] > sequence, reversed(self._sequences.items()))]
        return reversed(changed)
