"""Endpoints that operators took out by hand: kept in the folder, over restarts and upgrades.

Owns the file `out-by-hand`. Must never tell anybody: the sender asks how an entry of the list counts now.
"""

from __future__ import annotations

import dataclasses
import json
import logging
from collections.abc import Callable

from birchstack import interface as our
from birchstack.net.log import say
from birchstack.net.machine import Folder
from birchstack.net.operators import Answer

FILE = "out-by-hand"  # written whole
MOST = 4096  # endpoints out at once, and returns remembered
log = logging.getLogger(__name__)


class ByHand:
    """out: those taken out; back: those put back, and when by the lasting clock."""

    def __init__(self, folder: Folder, clock: Callable[[], float]) -> None:
        self._folder, self._clock = folder, clock
        self.out: dict[str, None] = {}
        self.back: dict[str, float] = {}
        self.read()

    def read(self) -> None:
        """What the folder says; another process may have been told more meanwhile."""
        self.out, self.back = {}, {}
        try:
            told = json.loads(self._folder.read(FILE))
            self.out, self.back = (
                {str(name): None for name in told["out"][-MOST:]},
                {str(name): float(when) for name, when in [*told["back"].items()][-MOST:]},
            )
        except FileNotFoundError:
            pass
        except (OSError, ValueError, TypeError, KeyError, AttributeError) as problem:  # only a broken disk
            say(log, "endpoints out by hand not read", logging.ERROR, problem=problem)

    def as_told(self, entry: our.Endpoint) -> our.Endpoint:
        """Out by hand counts as draining, whatever discovery lists; what is gone is gone."""
        if entry.name in self.out and entry.state == our.READY:
            return dataclasses.replace(entry, state=our.DRAINING)
        return entry

    def set(self, endpoint: str, out: bool, listed: bool) -> Answer:
        """Takes an endpoint out, or lets it serve again: on disk before the yes, for the next process too."""
        if not listed and endpoint not in self.out:
            return Answer(False, f"id: {endpoint!r} is not listed", 404)
        if out == (endpoint in self.out):
            return Answer(True, f"{endpoint} {'out' if out else 'in'} already")
        if out and len(self.out) >= MOST:
            return Answer(False, f"{MOST} endpoints are out by hand already", 409)
        wanted = (
            {**self.out, endpoint: None} if out else {name: None for name in self.out if name != endpoint}
        )
        back = {name: when for name, when in self.back.items() if name != endpoint}
        if not out:
            back[endpoint] = self._clock()
        while len(back) > MOST:
            del back[next(iter(back))]
        try:
            self._folder.write(FILE + ".new", json.dumps({"out": [*wanted], "back": back}).encode())
            self._folder.rename(FILE + ".new", FILE)
        except OSError as problem:
            say(log, "endpoints out by hand not written", logging.ERROR, problem=problem)
            return Answer(False, "the folder cannot be written", 503)
        self.out, self.back = wanted, back
        return Answer(True, f"{endpoint} {'out' if out else 'in'}")
