"""What the process before this one knew of endpoints, until a list names each of them.

Owns which endpoints have not been named yet. Must never decide what follows; times are milliseconds of the
clock that outlasts the process (machine.LastingClock).
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from birchstack import interface as our
from birchstack.net.by_hand import ByHand
from birchstack.net.ledger import Ledger


@dataclass(frozen=True, slots=True)
class Recalled:
    """recovery: how far the endpoint had come back, if it was away; wait_ms: what is left of a wait that it
    told, 0 if none."""

    endpoint: str
    recovery: our.Recovery | None
    wait_ms: float


class Recollection:
    """Tells of each endpoint once. Guards against a list that comes only after the start."""

    def __init__(self, ledger: Ledger, by_hand: ByHand) -> None:
        self._ledger, self._by_hand = ledger, by_hand
        self._unnamed = {*ledger.waits, *ledger.recoveries, *by_hand.back}

    def of(self, now: float, listed: Iterable[our.Endpoint]) -> Iterator[Recalled]:
        if not self._unnamed:  # later lists are not gone through
            return
        for name in [entry.name for entry in listed if entry.name in self._unnamed]:
            self._unnamed.discard(name)
            wait_ms = self._ledger.waits.get(name, now) - now
            yield Recalled(name, self._recovery(now, name), max(0.0, wait_ms))

    def _recovery(self, now: float, name: str) -> our.Recovery | None:
        """As the decisions knew it, or since operators put it back by hand, whichever is the colder."""
        known, back_at = self._ledger.recoveries.of(now, name), self._by_hand.back.get(name)
        if back_at is None or back_at > now:
            return known
        if known and (known.stage == our.RecoveryStage.DOWN or known.age_ms <= now - back_at):
            return known
        return our.Recovery(name, our.RecoveryStage.WARMING, now - back_at)
