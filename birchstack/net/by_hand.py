"""Administrative state of endpoints: those that operators disabled, kept across restarts and upgrades.

Owns the file `out-by-hand`. Must never notify anybody: the sender asks for the effective state of an entry.
"""

from __future__ import annotations

import dataclasses
import json
import logging
from collections.abc import Callable

from birchstack import interface as our
from birchstack.net.log import log_event
from birchstack.net.machine import Folder
from birchstack.net.operators import Answer

FILE = "out-by-hand"  # always replaced as a whole
MAX_DISABLED = 4096  # endpoints disabled at once, and times of re-enabling kept
log = logging.getLogger(__name__)


class AdministrativeStates:
    """disabled: the disabled endpoints; enabled_at: those enabled again, and when by the persistent clock."""

    def __init__(self, folder: Folder, clock: Callable[[], float]) -> None:
        self._folder, self._clock = folder, clock
        self.disabled: dict[str, None] = {}
        self.enabled_at: dict[str, float] = {}
        self.load()

    def load(self) -> None:
        """Loads the file, which another process may have changed since it was last read."""
        self.disabled, self.enabled_at = {}, {}
        try:
            stored = json.loads(self._folder.read(FILE))
            self.disabled, self.enabled_at = (
                {str(name): None for name in stored["out"][-MAX_DISABLED:]},
                {str(name): float(when) for name, when in [*stored["back"].items()][-MAX_DISABLED:]},
            )
        except FileNotFoundError:
            pass
        except (OSError, ValueError, TypeError, KeyError, AttributeError) as problem:  # the disk is damaged
            log_event(log, "endpoints out by hand not read", logging.ERROR, problem=problem)

    def effective(self, entry: our.Endpoint) -> our.Endpoint:
        """Returns the entry with its effective state: a disabled endpoint that is listed as ready drains."""
        if entry.name in self.disabled and entry.state == our.READY:
            return dataclasses.replace(entry, state=our.DRAINING)
        return entry

    def set_disabled(self, endpoint: str, disable: bool, listed: bool) -> Answer:
        """Disables or enables an endpoint; the change is on disk before it takes effect."""
        if not listed and endpoint not in self.disabled:
            return Answer(False, f"id: {endpoint!r} is not listed", 404)
        if disable == (endpoint in self.disabled):
            return Answer(True, f"{endpoint} {'out' if disable else 'in'} already")
        if disable and len(self.disabled) >= MAX_DISABLED:
            return Answer(False, f"{MAX_DISABLED} endpoints are out by hand already", 409)
        disabled = (
            {**self.disabled, endpoint: None}
            if disable
            else {name: None for name in self.disabled if name != endpoint}
        )
        enabled_at = {name: when for name, when in self.enabled_at.items() if name != endpoint}
        if not disable:
            enabled_at[endpoint] = self._clock()
        while len(enabled_at) > MAX_DISABLED:
            del enabled_at[next(iter(enabled_at))]
        try:
            self._folder.write(FILE + ".new", json.dumps({"out": [*disabled], "back": enabled_at}).encode())
            self._folder.rename(FILE + ".new", FILE)
        except OSError as problem:
            log_event(log, "endpoints out by hand not written", logging.ERROR, problem=problem)
            return Answer(False, "the folder cannot be written", 503)
        self.disabled, self.enabled_at = disabled, enabled_at
        return Answer(True, f"{endpoint} {'out' if disable else 'in'}")
