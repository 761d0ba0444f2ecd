"""Tasks that repeat for as long as the process runs.

Owns when they run. An exception in a task is logged and counted, and never ends the task: a timer that is
only set again at the end of its callback stops for good with the first exception.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from birchstack.net.log import check_invariant

log = logging.getLogger(__name__)


class PeriodicTask:
    """Calls a function at a steady interval, for the first time after one interval."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, interval_s: float, function: Callable[[], object]
    ) -> None:
        self._loop = loop
        self._interval_s = interval_s
        self._function = function
        self._timer = loop.call_later(interval_s, self._run)

    def _run(self) -> None:
        self._timer = self._loop.call_later(self._interval_s, self._run)
        run_isolated(self._function)

    def stop(self) -> None:
        """Ends the task."""
        self._timer.cancel()


def run_isolated(function: Callable[..., object], *arguments: object) -> bool:
    """Calls a function whose failure must not stop what comes after it; returns whether it succeeded."""
    try:
        function(*arguments)
    except Exception:
        log.exception("a task failed")
        return check_invariant(False, "no task raises an exception")
    return True
