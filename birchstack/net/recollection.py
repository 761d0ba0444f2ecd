"""What the previous process knew of endpoints, kept until discovery lists each of them.

Owns which endpoints have not been listed yet. Must never decide what follows from their state. Times are
milliseconds of the clock that continues across restarts (machine.PersistentClock).
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from birchstack import interface as our
from birchstack.net.by_hand import AdministrativeStates
from birchstack.net.ledger import Ledger


@dataclass(frozen=True, slots=True)
class StoredEndpointState:
    """Stored state of one endpoint.

    recovery: its recovery state, if it was unavailable; wait_ms: what remains of a wait that it asked for,
    0 if none."""

    endpoint: str
    recovery: our.Recovery | None
    wait_ms: float


class StoredEndpointStates:
    """Returns the stored state of each endpoint once, when a list first names it.

    The first list may arrive only after the start, so the state cannot be applied at the start."""

    def __init__(self, ledger: Ledger, administrative: AdministrativeStates) -> None:
        self._ledger, self._administrative = ledger, administrative
        self._unlisted = {*ledger.waits, *ledger.recoveries, *administrative.enabled_at}

    def pop_listed(self, now: float, listed: Iterable[our.Endpoint]) -> Iterator[StoredEndpointState]:
        """Yields the stored state of those listed endpoints that no list has named before."""
        if not self._unlisted:  # spares the pass over every later list
            return
        for name in [entry.name for entry in listed if entry.name in self._unlisted]:
            self._unlisted.discard(name)
            wait_ms = self._ledger.waits.get(name, now) - now
            yield StoredEndpointState(name, self._recovery(now, name), max(0.0, wait_ms))

    def _recovery(self, now: float, name: str) -> our.Recovery | None:
        """Returns the stored recovery, or a warm-up since an operator enabled the endpoint: the colder."""
        known = self._ledger.recoveries.get(now, name)
        enabled_at = self._administrative.enabled_at.get(name)
        if enabled_at is None or enabled_at > now:
            return known
        if known and (known.stage == our.RecoveryStage.DOWN or known.age_ms <= now - enabled_at):
            return known
        return our.Recovery(name, our.RecoveryStage.WARMING, now - enabled_at)
