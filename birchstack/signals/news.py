"""What is new to a reader that asks now and then: keys in the order of their last change, each numbered."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from itertools import takewhile


class News:
    """Holds one number for each key: that of its last change. Numbers only grow."""

    def __init__(self) -> None:
        self._numbers: OrderedDict[str, int] = OrderedDict()

    def changed(self, key: str, number: int) -> None:
        """number: above all given before."""
        self._numbers[key] = number
        self._numbers.move_to_end(key)

    def forget(self, key: str) -> None:
        """Does nothing where there is no such key."""
        self._numbers.pop(key, None)

    def oldest(self) -> str:
        """The key that changed longest ago. Raises StopIteration where there is none."""
        return next(iter(self._numbers))

    def after(self, number: int) -> Iterator[tuple[str, int]]:
        """Keys that changed after that number, the oldest change first. Walks these alone."""
        fresh = [*takewhile(lambda item: item[1] > number, reversed(self._numbers.items()))]
        return reversed(fresh)
