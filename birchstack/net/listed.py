"""The list of endpoints as it stands, and which destinations were ever in it.

Owns the entries by name. Must never forget an endpoint that discovery did not take away.
"""

from __future__ import annotations

from birchstack import interface as our
from birchstack.net.calls import Calls

LEAST = 4096  # destinations remembered, if fewer endpoints are listed


class Listed:
    def __init__(self, calls: Calls) -> None:
        self._calls = calls
        self.entries: dict[str, our.Endpoint] = {}  # as discovery lists them
        self._destinations: dict[int, None] = {}  # the longest unheard of first

    def serves(self, destination: int) -> bool:
        """False for a destination that is in no list; as long as there was no list, nobody knows."""
        return destination in self._destinations or not self._destinations

    def ready(self, destination: int) -> bool:
        return any(
            entry.state == our.READY and entry.destination == destination for entry in self.entries.values()
        )

    def last_kind(self) -> int:
        return max((entry.kind for entry in self.entries.values()), default=0)

    def apply(self, mode: str, listed: list[tuple[our.Endpoint, tuple[str, int]]]) -> None:
        """A list or a change to it; calls learn where each endpoint is."""
        if mode == our.WHOLE:  # what it leaves out is gone
            named = {entry.name for entry, _ in listed}
            for name in [each for each in self.entries if each not in named]:
                self._calls.remove_endpoint(name)
                del self.entries[name]
        for entry, where in listed:
            if entry.state != our.GONE:
                self._calls.set_address(entry.name, where)
                self.entries[entry.name] = entry
                self._destinations.pop(entry.destination, None)
                self._destinations[entry.destination] = None
            else:
                self._calls.remove_endpoint(entry.name)
                self.entries.pop(entry.name, None)
        while len(self._destinations) > max(LEAST, len(self.entries)):
            del self._destinations[next(iter(self._destinations))]
