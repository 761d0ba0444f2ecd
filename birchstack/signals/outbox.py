"""A sender's own signals, until every keeper had time to ask for them.

Pure. Owns their numbers and their age. Holds the newest observation of each kind for each endpoint; what has
grown too old, or is more than MOST of one kind, is dropped, the oldest first.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from birchstack.interface import SignalKind
from birchstack.signals.model import (
    LIFETIME_MS,
    LONGEST_WAIT_MS,
    VERSION,
    Sequences,
    Signal,
    SignalBatch,
    encode,
)
from birchstack.signals.news import News

MOST = 1024  # signals of each kind
REPEAT_MS = 500.0  # the same is noted again no sooner


@dataclass(frozen=True, slots=True)
class Observation:
    """What this sender saw of one endpoint, and when, by its steady clock."""

    at_ms: float
    wait_ms: int = 0

    def lasts_until(self) -> float:
        """When it is told of no more: at the end of a wait, else by its age."""
        return self.at_ms + (self.wait_ms or LIFETIME_MS)


class Outbox:
    """life: the process's own name for itself; began_ms: when it began to act, by its steady clock."""

    def __init__(self, life: str, began_ms: float) -> None:
        self._life, self._began_ms = life, began_ms
        self._sequence = 0
        self._held: dict[SignalKind, dict[str, Observation]] = {kind: {} for kind in SignalKind}
        self._news: dict[SignalKind, News] = {kind: News() for kind in SignalKind}

    def note(self, now_ms: float, endpoint: str, kind: SignalKind, wait_ms: float) -> None:
        """An observation of this sender, made now."""
        held, news = self._held[kind], self._news[kind]
        seen = Observation(now_ms, min(int(wait_ms), LONGEST_WAIT_MS))
        before = held.get(endpoint)
        if before and seen.lasts_until() < before.lasts_until() + REPEAT_MS:
            return
        if before is None and len(held) >= MOST:
            self._drop(kind, news.oldest())
        self._sequence += 1
        held[endpoint] = seen
        news.changed(endpoint, self._sequence)

    def nothing(self, now_ms: float) -> SignalBatch:
        """For a keeper that has not met this process, or whose question was not believed."""
        return SignalBatch(VERSION, self._life, int(now_ms - self._began_ms), False)

    def batch(self, now_ms: float, taken: Sequences, room: int) -> SignalBatch:
        """What a keeper has not yet: waits first, then served, then failed calls, the oldest first, as many
        as go into so many bytes, one at least. The rest goes the next time, unless it has grown too old."""
        return msgspec.structs.replace(
            self.nothing(now_ms), heard=True, signals=tuple(self._fresh(now_ms, taken, room))
        )

    def _fresh(self, now_ms: float, taken: Sequences, room: int) -> Iterator[Signal]:
        first = True
        for kind, last in zip(SignalKind, taken, strict=True):
            for endpoint, sequence in self._news[kind].after(last):
                seen = self._held[kind][endpoint]
                if seen.lasts_until() <= now_ms:
                    self._drop(kind, endpoint)
                    continue
                signal = Signal(endpoint, kind, sequence, int(now_ms - seen.at_ms), seen.wait_ms)
                room -= len(encode(signal))
                if room < 0 and not first:
                    return
                first = False
                yield signal

    def _drop(self, kind: SignalKind, endpoint: str) -> None:
        del self._held[kind][endpoint]
        self._news[kind].forget(endpoint)
