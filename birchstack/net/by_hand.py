"""Administrative state of endpoints: those that operators disabled, kept across restarts and upgrades.

Owns the file `out-by-hand`. Must never notify anybody: the sender asks for the effective state of an entry.
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

FILE = "out-by-hand"  # always replaced as a whole
MOST = 4096  # endpoints disabled at once, and times of re-enabling kept
log = logging.getLogger(__name__)


class ByHand:
    """out: the disabled endpoints; back: those enabled again, and when by the persistent clock."""

    def __init__(self, folder: Folder, clock: Callable[[], float]) -> None:
        self._folder, self._clock = folder, clock
        self.out: dict[str, None] = {}
        self.back: dict[str, float] = {}
        self.read()

    def read(self) -> None:
        """Loads the file, which another process may have changed since it was last read."""
        self.out, self.back = {}, {}
        try:
            stored = json.loads(self._folder.read(FILE))
            self.out, self.back = (
                {str(name): None for name in stored["out"][-MOST:]},
                {str(name): float(when) for name, when in [*stored["back"].items()][-MOST:]},
            )
        except FileNotFoundError:
            pass
        except (OSError, ValueError, TypeError, KeyError, AttributeError) as problem:  # the disk is damaged
            say(log, "endpoints out by hand not read", logging.ERROR, problem=problem)

    def as_told(self, entry: our.Endpoint) -> our.Endpoint:
        """Returns the entry with its effective state: a disabled endpoint that is listed as ready drains."""
        if entry.name in self.out and entry.state == our.READY:
            return dataclasses.replace(entry, state=our.DRAINING)
        return entry

    def set(self, endpoint: str, out: bool, listed: bool) -> Answer:
        """Disables or enables an endpoint; the change is on disk before it takes effect."""
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
