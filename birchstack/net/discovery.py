"""Discovery: follows the list of endpoints by a watch that is asked for again whenever it falls silent.

Owns the connection to discovery's agent, the version of the list and the wire's names for its entries. Must
never drop what was listed because discovery is away.
"""

from __future__ import annotations

import asyncio
import json
import logging
import re
from collections.abc import Callable

from birchstack import interface as our
from birchstack.net import http1
from birchstack.net.driver import Dial, Link, parse_address
from birchstack.net.log import say

BEAT_S, BEATS = 2.0, 2.5  # a line comes so often; after so many without one it is silent
ANSWER_S, AGAIN_S = 2.0, 0.5  # an answer begins at once; a watch that ended is asked for again
FIRST_S = 0.5  # the first list of a start comes at once, or the one known counts
# What discovery has counts as told TOLD_S after it could be reached, whatever failed before. The next ask
# that it can answer begins ASKED_S after that moment at the latest: one that waits for its dial or its head
# is given up ANSWER_S after it began; one that says nothing whole BEAT_S * BEATS after it began, or last
# did; what ends by itself just before is asked for again AGAIN_S later: max(2, 5) + 0.5 = 5.5 s. The other
# 0.5 s are for the dial, the head and the list. A longer pause between asks has to fit in here
# (tests/test_watch_bound.py).
TOLD_S, ASKED_S = 6.0, max(ANSWER_S, BEAT_S * BEATS) + AGAIN_S
MOST_LIST = 4 << 20
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
MOST_REV = (1 << 63) - 1  # what every keeper of versions can hold
STATES = {"active": our.READY, "leaving": our.DRAINING, "left": our.GONE}
log = logging.getLogger(__name__)


def entries(lines: list[dict], kinds: tuple[str, ...]) -> list[tuple[our.Endpoint, tuple[str, int]]]:
    """Reads a list's lines: each endpoint and its address."""
    return [
        (
            our.Endpoint(
                line["uid"],
                int(line["pod_group"]),
                line.get("az") or "",
                kinds.index(line["model"]) if line.get("model") in kinds else 0,
                STATES[line["state"]],
                float(line.get("capacity_hint") or 0.0),
            ),
            parse_address(line["endpoint"]),
        )
        for line in lines
    ]


class Watch:
    """listed(mode, entries) hears of every list and change. told(line, source) hears of each before, and may
    say no: the list stays as it was.

    One clock tells its silence: it runs from the ask, and only a whole list, a change or a beat sets it back.
    Bytes alone do not, nor does the head: an answer that begins late and never ends would keep a broken watch
    open for longer than a change may take."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        where: tuple[str, int],
        kinds: tuple[str, ...],
        listed: Callable,
        told: Callable[[dict, str], bool] = lambda told, source: True,
    ) -> None:
        self._loop, self._where, self._kinds, self._listed, self._told = loop, where, kinds, listed, told
        self._version, self._heard_at, self._asked_at = 0, loop.time(), 0.0
        self._known: tuple[dict, list, int] | None = None  # a start's list, until a watch says more
        self._link: Link | None = None
        self._dial: Dial | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._held, self._lines = bytearray(), []  # half a line; the lines of half an object,
        self._depth = self._size = 0  # its open brackets, and its size
        self._reader = http1.ResponseReader(max_body=None)
        self._stopped = False
        self._first = loop.create_future()  # done with the first list of a watch

    def start(self, known: dict) -> None:
        """known, had before, may be old: it names endpoints that went while no process ran. It waits for what
        discovery says of it; see first()."""
        if known.get("targets") is not None:
            self._known = self._read(json.dumps({**known, "all": True}))
            self._version = self._known[2] if self._known else 0
        self._ask()

    async def first(self) -> None:
        """Returns with the first list. It comes at once; only where discovery is silent, known counts as it
        is."""
        await asyncio.wait([self._first], timeout=FIRST_S)
        self._from_known()

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
        self._reader, self._held, self._lines = http1.ResponseReader(max_body=None), bytearray(), []
        self._depth = self._size = 0
        self._asked_at = self._loop.time()
        self._timer = self._loop.call_at(self._asked_at + ANSWER_S, self._ask)
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

    def _heard(self, since: float | None = None) -> None:
        self._heard_at = self._loop.time()
        if self._timer:
            self._timer.cancel()
        self._timer = self._loop.call_at((since or self._heard_at) + BEAT_S * BEATS, self._ask)

    def opened(self, link: Link) -> None:
        self._link, self._dial = link, None
        after = f"&after={self._version}" if self._version else ""
        link.write(http1.request("GET", f"/discovery/hosts?watch=1{after}", "{}:{}".format(*self._where)))

    def lost(self) -> None:
        self._link = None
        self._again()

    def received(self, data: memoryview) -> None:
        ended = False
        try:
            for event in self._reader.feed(data):
                if isinstance(event, http1.Response):
                    if event.status != 200:
                        raise http1.MalformedError(f"status {event.status}")
                    self._heard(self._asked_at)
                elif event is http1.END:
                    ended = True  # what came whole before it counts
                    break
                else:
                    self._held += event
            *lines, self._held = self._held.split(b"\n")
            for line in lines:
                self._line(line)
            if self._size + len(self._held) > MOST_LIST:
                raise http1.MalformedError("list too long")
            if ended:
                self._again()
        except http1.MalformedError as problem:
            say(log, "the watch broke", logging.WARNING, problem=problem)
            self._again()

    def _line(self, line: bytes | bytearray) -> None:
        """One line: a beat, a list or a change, or a part of one that comes indented. No text of JSON goes
        over the end of a line, so each line's brackets can be counted by themselves."""
        if not line.strip():
            if not self._lines:
                self._heard()
            return
        bare = STRING.sub(b"", line)
        self._depth += sum(map(bare.count, (b"{", b"["))) - sum(map(bare.count, (b"}", b"]")))
        self._lines.append(line)
        self._size += len(line)
        if self._depth <= 0:
            whole, self._lines, self._depth, self._size = b"\n".join(self._lines), [], 0, 0
            if not self._list(whole):
                raise http1.MalformedError("list")
            self._heard()

    def _read(self, text: bytes | str) -> tuple[dict, list, int] | None:
        """A whole list or a change: as told, its entries, its version; None where it cannot be read."""
        try:
            told = json.loads(text)
            listed = entries(told["targets"], self._kinds)
            rev = told["rev"]
            if isinstance(rev, bool) or not isinstance(rev, int) or not 0 <= rev <= MOST_REV:
                raise ValueError(f"rev: {rev!r} is not a version")
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as problem:
            say(log, "malformed list", logging.WARNING, problem=f"{type(problem).__name__}: {problem}")
            return None
        return told, listed, rev

    def _list(self, text: bytes) -> bool:
        """What cannot be read leaves the list as it was."""
        read = self._read(text)
        if read is None:
            return False
        told, listed, rev = read
        if told.get("all"):
            self._known = None
        self._from_known()  # what changed since the list that was known, on top of it
        if self._told(told, "{}:{}".format(*self._where)):
            self._version = rev
            self._listed(our.WHOLE if told.get("all") else our.CHANGES, listed)
        if not self._first.done():
            self._first.set_result(None)
        return True

    def _from_known(self) -> None:
        known, self._known = self._known, None
        if known and self._told(known[0], "known"):
            self._listed(our.KNOWN, known[1])
