"""Discovery: follows the list of endpoints by a watch that is asked for again whenever it falls silent.

Owns the connection to discovery's agent, the version of the list and the wire's names for its entries. Must
never drop what was listed because discovery is away.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from birchstack import interface as our
from birchstack.net import http1
from birchstack.net.driver import Dial, Link, address
from birchstack.net.log import say

BEAT_S, BEATS = 2.0, 2.5                # a line comes so often; after so many without one it is silent
AGAIN_S = 0.5
MOST_LINE = 4 << 20
MOST_REV = (1 << 63) - 1                # what every keeper of versions can hold
STATES = {"active": our.READY, "leaving": our.DRAINING, "left": our.GONE}
log = logging.getLogger(__name__)


def entries(lines: list[dict], kinds: tuple[str, ...]) -> list[tuple[our.Endpoint, tuple[str, int]]]:
    """Reads a list's lines: each endpoint and its address."""
    return [(our.Endpoint(line["uid"], int(line["pod_group"]), line.get("az") or "",
                          kinds.index(line["model"]) if line.get("model") in kinds else 0,
                          STATES[line["state"]], float(line.get("capacity_hint") or 0.0)),
             address(line["endpoint"])) for line in lines]


class Watch:
    """listed(mode, entries) hears of every list and change. told(line, source) hears of each before, and may
    say no: the list stays as it was."""

    def __init__(self, loop: asyncio.AbstractEventLoop, where: tuple[str, int], kinds: tuple[str, ...],
                 listed: Callable, told: Callable[[dict, str], bool] = lambda told, source: True) -> None:
        self._loop, self._where, self._kinds, self._listed, self._told = loop, where, kinds, listed, told
        self._version, self._heard_at = 0, loop.time()
        self._link: Link | None = None
        self._dial: Dial | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._held = bytearray()
        self._reader = http1.Responses(max_body=None)
        self._stopped = False

    def start(self, known: dict) -> None:
        if known.get("targets") is not None:
            self._line(json.dumps({**known, "all": True}).encode(), "known")
        self._ask()

    def move(self, where: tuple[str, int], kinds: tuple[str, ...]) -> None:
        """Goes on at another address, from the version that it has; with other kinds, from the whole list."""
        if kinds != self._kinds:
            self._version = 0
        if where != self._where or kinds != self._kinds:
            self._where, self._kinds = where, kinds
            self._ask()

    def silent_ms(self) -> float:
        """Since the watch last said anything."""
        return (self._loop.time() - self._heard_at) * 1000.0

    def stop(self) -> None:
        self._stopped = True
        self._hang_up()

    def _ask(self) -> None:
        self._hang_up()
        if self._stopped:
            return
        self._reader, self._held = http1.Responses(max_body=None), bytearray()
        self._rearm()
        self._dial = Dial(self._loop, self._where, self, self._again)

    def _hang_up(self) -> None:
        if self._timer:
            self._timer.cancel()
        if self._dial:
            self._dial.stop()
        if self._link:
            self._link.abort()
        self._dial = self._link = None

    def _again(self) -> None:
        self._hang_up()
        self._timer = self._loop.call_later(AGAIN_S, self._ask)

    def _rearm(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer = self._loop.call_later(BEAT_S * BEATS, self._ask)

    def opened(self, link: Link) -> None:
        self._link, self._dial = link, None
        after = f"&after={self._version}" if self._version else ""
        link.write(http1.request("GET", f"/discovery/hosts?watch=1{after}", "{}:{}".format(*self._where)))

    def lost(self) -> None:
        self._link = None
        self._again()

    def received(self, data: memoryview) -> None:
        self._rearm()
        self._heard_at = self._loop.time()
        try:
            for event in self._reader.feed(data):
                if isinstance(event, http1.Response) and event.status != 200:
                    raise http1.Malformed(f"status {event.status}")
                if event is http1.END:
                    self._again()
                    return
                if isinstance(event, bytes):
                    self._held += event
            *lines, rest = self._held.split(b"\n")
            if len(rest) > MOST_LINE:
                raise http1.Malformed("line too long")
            self._held = rest
            for line in lines:
                if line.strip() and not self._line(line):
                    raise http1.Malformed("list")
        except http1.Malformed as problem:
            say(log, "the watch broke", logging.WARNING, problem=problem)
            self._again()

    def _line(self, line: bytes | bytearray, source: str = "") -> bool:
        """Reads a whole list or a change; what cannot be read leaves the list as it was."""
        try:
            told = json.loads(line)
            listed = entries(told["targets"], self._kinds)
            rev = told["rev"]
            if isinstance(rev, bool) or not isinstance(rev, int) or not 0 <= rev <= MOST_REV:
                raise ValueError(f"rev: {rev!r} is not a version")
        except (ValueError, KeyError, TypeError, AttributeError) as problem:
            say(log, "malformed list", logging.WARNING, problem=f"{type(problem).__name__}: {problem}")
            return False
        if not self._told(told, source or "{}:{}".format(*self._where)):
            return True
        self._version = rev
        self._listed(our.WHOLE if told.get("all") else our.CHANGES, listed)
        return True
