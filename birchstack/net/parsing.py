"""Shares the event loop among connections whose peers send faster than their requests are handled.

Each connection parses a slice at a time. One that has more waits for its turn, and nothing is read from it
meanwhile: what its peer goes on sending waits in the kernel. Owns the order of the slices and how much is
parsed in one pass of the event loop. Never looks into what is parsed.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from birchstack.net.periodic import run_isolated

SLICE_STEPS = 4  # steps of a parser for one connection at a time: a request without much of a body
PASS_STEPS = 64  # steps in one pass of the event loop, for all connections that wait


class ParsingConnection(Protocol):
    """A connection with a parser."""

    def parse(self, max_steps: int) -> None:
        """Parses what is held, up to a number of steps."""

    @property
    def unparsed(self) -> bool:
        """Whether there is more to parse."""

    def set_reading_paused(self, paused: bool) -> None:
        """Pauses or resumes reading."""


class ParseScheduler:
    """Parses what connections of one server have received."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: deque[ParsingConnection] = deque()
        self._scheduled = False

    def parse(self, connection: ParsingConnection) -> None:
        """Parses the first slice of what was received at once, and the others in later passes."""
        connection.parse(SLICE_STEPS)
        if connection.unparsed:
            connection.set_reading_paused(True)
            self._waiting.append(connection)
            self._schedule()

    def _schedule(self) -> None:
        if self._waiting and not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._continue)

    def _continue(self) -> None:
        self._scheduled = False
        try:
            for _ in range(PASS_STEPS // SLICE_STEPS):
                if self._waiting:
                    run_isolated(self._parse_slice, self._waiting.popleft())
        finally:
            self._schedule()

    def _parse_slice(self, connection: ParsingConnection) -> None:
        connection.parse(SLICE_STEPS)
        if connection.unparsed:
            self._waiting.append(connection)
        else:
            connection.set_reading_paused(False)
