"""The current list of endpoints, and the destinations that it has ever named.

Owns the entries by name. Must never drop an endpoint that discovery did not remove.
"""

from __future__ import annotations

from collections.abc import Mapping

from birchstack import interface as our
from birchstack.net.calls import Calls

MIN_REMEMBERED = 4096  # destinations remembered at least, even if fewer endpoints are listed


class EndpointList:
    """Applies lists and deltas from discovery, and passes addresses on to the calls."""

    def __init__(self, calls: Calls) -> None:
        self._calls = calls
        self.entries: dict[str, our.Endpoint] = {}  # as discovery lists them
        self._destinations: dict[int, None] = {}  # least recently listed first

    @property
    def addresses(self) -> Mapping[str, tuple[str, int]]:
        """The addresses of the listed endpoints, by name."""
        return self._calls.addresses

    def is_known(self, destination: int) -> bool:
        """Returns False for a destination that no list has named; True for all before the first list."""
        return destination in self._destinations or not self._destinations

    def has_ready(self, destination: int) -> bool:
        """Returns whether the destination has a listed endpoint in the ready state."""
        return any(
            entry.state == our.READY and entry.destination == destination for entry in self.entries.values()
        )

    def highest_kind(self) -> int:
        """Returns the highest kind of any listed endpoint."""
        return max((entry.kind for entry in self.entries.values()), default=0)

    def apply(self, mode: str, listed: list[tuple[our.Endpoint, tuple[str, int]]]) -> None:
        """Applies a full list or a delta."""
        if mode == our.WHOLE:  # endpoints that a full list leaves out are gone
            named = {entry.name for entry, _ in listed}
            for name in [each for each in self.entries if each not in named]:
                self._calls.remove_endpoint(name)
                del self.entries[name]
        for entry, address in listed:
            if entry.state != our.GONE:
                self._calls.set_address(entry.name, address)
                self.entries[entry.name] = entry
                self._destinations.pop(entry.destination, None)
                self._destinations[entry.destination] = None
            else:
                self._calls.remove_endpoint(entry.name)
                self.entries.pop(entry.name, None)
        while len(self._destinations) > max(MIN_REMEMBERED, len(self.entries)):
            del self._destinations[next(iter(self._destinations))]
