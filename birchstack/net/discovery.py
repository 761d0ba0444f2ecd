"""Client of the discovery service: watches the list of endpoints by long poll.

Owns the connection to the discovery agent, the version of the list and the wire names of its entries. Must
never drop listed endpoints because discovery is unavailable.
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
from birchstack.net.log import log_event

HEARTBEAT_S = 2.0  # interval of the agent's heartbeats
SILENT_HEARTBEATS = 2.5  # heartbeat intervals without data after which a watch counts as silent
RESPONSE_TIMEOUT_S = 2.0  # time-out for the dial and the response head
RETRY_DELAY_S = 0.5  # delay before a watch that ended is requested again
FIRST_LIST_TIMEOUT_S = 0.5  # wait for the first list at the start, before the configured list is used
# A change counts as known to the sender at the latest PROPAGATION_BOUND_S after discovery became reachable,
# whatever failed before. The next request that discovery can answer begins at most REQUEST_BOUND_S after
# that moment: a request that waits for its dial or response head is abandoned RESPONSE_TIMEOUT_S after it
# began; one that delivers nothing complete is abandoned HEARTBEAT_S * SILENT_HEARTBEATS after it began or
# last delivered; one that ends by itself just before is repeated RETRY_DELAY_S later: max(2, 5) + 0.5 = 5.5
# seconds. The other 0.5 s are for the dial, the head and the list. A longer delay between requests has to fit
# in here (tests/test_watch_bound.py).
PROPAGATION_BOUND_S = 6.0
REQUEST_BOUND_S = max(RESPONSE_TIMEOUT_S, HEARTBEAT_S * SILENT_HEARTBEATS) + RETRY_DELAY_S
MAX_LIST_BYTES = 4 << 20  # bytes of an incomplete list
MAX_VERSION = (1 << 63) - 1  # largest version that every component that stores versions can hold
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
STATES = {"active": our.READY, "leaving": our.DRAINING, "left": our.GONE}
MAX_STARTED_MS = 1e15  # of Unix time
log = logging.getLogger(__name__)


def decode_targets(lines: list[dict], kinds: tuple[str, ...]) -> list[tuple[our.Endpoint, tuple[str, int]]]:
    """Decodes the targets of a list into endpoints and their addresses."""
    return [
        (
            our.Endpoint(
                line["uid"],
                int(line["pod_group"]),
                line.get("az") or "",
                kinds.index(line["model"]) if line.get("model") in kinds else 0,
                STATES[line["state"]],
                float(line.get("capacity_hint") or 0.0),
                _started_ms(line.get("boot_ms")),
            ),
            parse_address(line["endpoint"]),
        )
        for line in lines
    ]


def _started_ms(listed: object) -> float:
    """Returns when an endpoint started; 0, long ago, where the list does not tell."""
    return float(listed) if type(listed) in (int, float) and 0 <= listed <= MAX_STARTED_MS else 0.0


class Watch:
    """Keeps a watch on the list of endpoints and requests it again whenever it ends or falls silent.

    on_list(mode, entries) is called with every list and delta. accepts(message, source) is called before
    each, and may return False to reject it.

    A single timer detects silence. It starts with the request, and only a complete list, delta or heartbeat
    restarts it. Single bytes do not, nor does the response head: otherwise a response that begins late and
    never completes would keep a broken watch open for longer than a change may take."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        agent: tuple[str, int],
        kinds: tuple[str, ...],
        on_list: Callable,
        accepts: Callable[[dict, str], bool] = lambda message, source: True,
        may_go_back: bool = False,
    ) -> None:
        """may_go_back: accepts() decides on whole lists that are older than one before in the same watch."""
        self._loop = loop
        self._address = agent
        self._kinds = kinds
        self._on_list = on_list
        self._accepts = accepts
        self._may_go_back = may_go_back
        self._version = 0
        self._version_of_watch = 0  # the last version that the current request delivered
        self._heard_at = loop.time()
        self._requested_at = 0.0
        self._known: tuple[dict, list, int] | None = None  # the configured list, until a watch delivers one
        self._link: Link | None = None
        self._dial: Dial | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._buffer = bytearray()  # an incomplete line
        self._lines = []  # the lines of an incomplete object
        self._depth = self._size = 0  # open brackets and bytes of the incomplete object
        self._reader = http1.ResponseReader(max_body=None)
        self._stopped = False
        self._first = loop.create_future()  # done with the first list of a watch

    def start(self, known: dict) -> None:
        """Starts the watch from the list in the configuration.

        The configured list may be outdated and name endpoints that were removed while no process ran. It is
        therefore held back until discovery delivers a list or a delta to it; see wait_for_first()."""
        if known.get("targets") is not None:
            self._known = self._read(json.dumps({**known, "all": True}))
            self._version = self._known[2] if self._known else 0
        self._request()

    async def wait_for_first(self) -> None:
        """Waits for the first list; without one in FIRST_LIST_TIMEOUT_S, uses the configured list."""
        await asyncio.wait([self._first], timeout=FIRST_LIST_TIMEOUT_S)
        self._apply_known()

    def reconfigure(self, agent: tuple[str, int], kinds: tuple[str, ...]) -> None:
        """Changes the address, continuing from the current version; new kinds need the full list again."""
        if kinds != self._kinds:
            self._version = 0
        if agent != self._address or kinds != self._kinds:
            self._address, self._kinds = agent, kinds
            self._request()

    def silent_ms(self) -> float:
        """Returns the time since the watch last delivered anything."""
        return (self._loop.time() - self._heard_at) * 1000.0

    def stop(self) -> None:
        """Ends the watch for good."""
        self._stopped = True
        self._disconnect()

    def _request(self) -> None:
        """Abandons the current request and starts a new one."""
        self._disconnect()
        if self._stopped:
            return
        self._reader = http1.ResponseReader(max_body=None)
        self._buffer = bytearray()
        self._lines = []
        self._depth = self._size = 0
        self._version_of_watch = 0
        self._requested_at = self._loop.time()
        self._timer = self._loop.call_at(self._requested_at + RESPONSE_TIMEOUT_S, self._request)
        self._dial = Dial(self._loop, self._address, self, self._retry)

    def _disconnect(self) -> None:
        if self._timer:
            self._timer.cancel()
        if self._dial:
            self._dial.stop()
        if self._link:
            self._link.abort()
        self._dial = self._link = None

    def _retry(self) -> None:
        self._disconnect()
        self._timer = self._loop.call_later(RETRY_DELAY_S, self._request)

    def _restart_timer(self, since: float | None = None) -> None:
        """Notes that the watch is alive; its silence counts from `since`, by default from now."""
        self._heard_at = self._loop.time()
        if self._timer:
            self._timer.cancel()
        self._timer = self._loop.call_at(
            (since or self._heard_at) + HEARTBEAT_S * SILENT_HEARTBEATS, self._request
        )

    def opened(self, link: Link) -> None:
        """Called when the connection is established: sends the request."""
        self._link, self._dial = link, None
        after = f"&after={self._version}" if self._version else ""
        link.write(http1.request("GET", f"/discovery/hosts?watch=1{after}", "{}:{}".format(*self._address)))

    def lost(self) -> None:
        """Called when the connection is lost."""
        self._link = None
        self._retry()

    def received(self, data: memoryview) -> None:
        """Called with data from the connection."""
        ended = False
        try:
            for event in self._reader.feed(data):
                if isinstance(event, http1.Response):
                    if event.status != 200:
                        raise http1.MalformedError(f"status {event.status}")
                    self._restart_timer(self._requested_at)
                elif event is http1.END:
                    ended = True  # complete lines received before it are still processed
                    break
                else:
                    self._buffer += event
            *lines, self._buffer = self._buffer.split(b"\n")
            for line in lines:
                self._line(line)
            if self._size + len(self._buffer) > MAX_LIST_BYTES:
                raise http1.MalformedError("list too long")
            if ended:
                self._retry()
        except http1.MalformedError as problem:
            log_event(log, "the watch broke", logging.WARNING, problem=problem)
            self._retry()

    def _line(self, line: bytes | bytearray) -> None:
        """Processes one line: a heartbeat (empty), a list or delta, or a part of an indented one.

        A JSON string cannot span lines, so the brackets of each line can be counted separately."""
        if not line.strip():
            if not self._lines:
                self._restart_timer()
            return
        bare = JSON_STRING.sub(b"", line)
        self._depth += sum(map(bare.count, (b"{", b"["))) - sum(map(bare.count, (b"}", b"]")))
        self._lines.append(line)
        self._size += len(line)
        if self._depth <= 0:
            text = b"\n".join(self._lines)
            self._lines = []
            self._depth = 0
            self._size = 0
            if not self._apply(text):
                raise http1.MalformedError("list")
            self._restart_timer()

    def _read(self, text: bytes | str) -> tuple[dict, list, int] | None:
        """Decodes a list or delta into message, entries and version; None if it is malformed."""
        try:
            message = json.loads(text)
            listed = decode_targets(message["targets"], self._kinds)
            rev = message["rev"]
            if isinstance(rev, bool) or not isinstance(rev, int) or not 0 <= rev <= MAX_VERSION:
                raise ValueError(f"rev: {rev!r} is not a version")
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as problem:
            log_event(log, "malformed list", logging.WARNING, problem=f"{type(problem).__name__}: {problem}")
            return None
        return message, listed, rev

    def _apply(self, text: bytes) -> bool:
        """Applies a list or delta; returns False and leaves the list as it was if it is malformed.

        The versions of one watch only grow: an older one is a copy of what was applied before, and would undo
        what came since. The next request asks for the whole list, in case the agent did go back.
        """
        read = self._read(text)
        if read is None:
            return False
        message, listed, rev = read
        if rev < self._version_of_watch and not (message.get("all") and self._may_go_back):
            log_event(log, "older list in a watch", logging.WARNING, rev=rev, held=self._version_of_watch)
            self._version = 0
            return False
        self._version_of_watch = rev
        if message.get("all"):
            self._known = None
        self._apply_known()  # a delta to the configured list needs that list first
        if self._accepts(message, "{}:{}".format(*self._address)):
            self._version = rev
            self._on_list(our.WHOLE if message.get("all") else our.CHANGES, listed)
        if not self._first.done():
            self._first.set_result(None)
        return True

    def _apply_known(self) -> None:
        """Applies the configured list, unless that was done or a full list has replaced it."""
        known, self._known = self._known, None
        if known and self._accepts(known[0], "known"):
            self._on_list(our.KNOWN, known[1])
