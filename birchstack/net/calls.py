"""Calls to endpoints: their connections, the pool of idle ones, and how each call ended.

Owns every connection to an endpoint, the time-outs of calls and dials, and the table of outcomes. Must never
choose an endpoint, send anything again by itself, or keep a connection that the decisions count as gone.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Callable
from dataclasses import dataclass

from birchstack import interface as our
from birchstack.net import http1
from birchstack.net.driver import Dial, Link
from birchstack.net.log import check_invariant, log_event

PATH = "/hook"
KEPT = (our.OK, our.ERROR, our.FULL)  # after these a connection may lie idle for the next call
DECIMAL = r"[0-9]{1,9}(?:\.[0-9]{0,18})?"
REPORT = re.compile(rf"(?:TEXT )?x0=({DECIMAL}), ?x1=({DECIMAL})")
REST_MS = 500.0  # an answer that has begun is whole after so long, or it is spoilt
EARLIER = 0.9  # an idle connection is closed at this part of the endpoint's own time
log = logging.getLogger(__name__)


def kind_of(answer: http1.Response) -> tuple[str, bool, float]:
    """Outcome of an answer: its kind, whether the document is over by it, and the wait told."""
    if answer.status == 200:
        return our.OK, True, 0.0
    if answer.status == 429:
        wait = answer.fields.get("x-come-back-ms", "")
        return our.FULL, False, float(wait) if re.fullmatch(DECIMAL, wait) else 0.0
    if answer.status == 503:
        busy = answer.fields.get("x-line-busy", "").strip() == "1"
        return our.UNSENT if busy else our.FULL, False, 0.0
    if answer.status in (504, 410):
        return our.UNSENT, answer.status == 410, 0.0
    return our.ERROR, False, 0.0


def report_of(answer: http1.Response) -> tuple[float | None, float | None]:
    """The room left and the limit that an answer tells; what is not wholly readable tells nothing."""
    report = REPORT.fullmatch(answer.fields.get("server-load", ""))
    return (float(report[1]), float(report[2])) if report else (None, None)


@dataclass(slots=True)
class Call:
    doc: str
    number: int
    endpoint: str
    body: bytes
    patience_ms: float  # from when it is written
    repeat_key: str | None = None  # passed on with every transmission, where its client sent one
    started: float = 0.0  # when it was decided
    written: float = 0.0
    destination: int = -1


class Line:
    """One connection to an endpoint, from its dialling to its end; carries one call at a time."""

    def __init__(self, calls: Calls, endpoint: str, where: tuple[str, int]) -> None:
        self._calls, self.endpoint, self.where = calls, endpoint, where
        self._link: Link | None = None
        self._dial: Dial | None = None
        self._call: Call | None = None
        self._answer: http1.Response | None = None
        self._reader = http1.Responses()
        self._late = False  # its time is over, and what has come is read
        self._new = True  # no call has begun on it while it lay idle
        self._sent = self._begun = False  # all was handed to the network; a first line has come
        self._timer: asyncio.TimerHandle | None = None  # of the dial, the answer or the rest: one at a time

    def begin(self, call: Call) -> None:
        self._call, self._answer, self._reader, self._begun = call, None, http1.Responses(), False
        self._sent = self._late = False
        self._rest()
        self._new = self._link is None
        if self._new:
            self._timer = self._calls.later(min(self._calls.dial_ms, call.patience_ms), self._not_connected)
            self._dial = Dial(self._calls.loop, self.where, self, self._not_connected)

    def waits(self, call: Call) -> bool:
        """True if this call has its connection, and was not written yet."""
        return self._call is call and self._link is not None and not self._sent

    def stale(self) -> bool:
        """True if the endpoint has closed an idle connection already, or said what nobody asked."""
        return self._link is None or self._link.closed or self._link.told()[1] or self._link.unread() > 0

    def rests(self) -> None:
        """Lies idle until the next call, or shortly before the endpoint would close it."""
        self._timer = self._calls.later(self._calls.idle_ms * EARLIER, self._expired)

    def close(self) -> None:
        self._rest()
        if self._dial:
            self._dial.stop()
        if self._link:
            self._link.abort()

    def _rest(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._timer = None

    def write(self) -> None:
        call = self._call
        self._rest()
        self._timer = self._calls.later(call.patience_ms, self._timed_out)
        fields = {
            "Request-Id": call.doc,
            "Request-Timeout-Ms": max(1, int(call.patience_ms)),
            **({"Idempotency-Key": call.repeat_key} if call.repeat_key else {}),
        }
        host = f"{self.where[0]}:{self.where[1]}"
        self._sent = self._link.write(http1.request("POST", PATH, host, fields, call.body))
        if self._sent:
            self._calls.transmitted += 1
        else:  # reset in this moment, and nothing of it left
            self._not_connected()

    # What the link tells

    def opened(self, link: Link) -> None:
        self._link, self._dial = link, None
        if self._call:
            self._calls.up(self._call)

    def received(self, data: memoryview) -> None:
        if self._call is None:  # nobody asked
            self._calls.drop(self)
            return
        if not self._sent:  # nor is this the answer to a call that was not written
            self._not_connected()
            return
        try:
            for event in self._reader.feed(data):
                if isinstance(event, http1.Response):
                    self._answer = event
                elif event is http1.END:  # what comes behind it belongs to nobody
                    keep = self._answer.keep and not self._link.unsent and self._reader.between
                    self._ends(keep, whole=True)
                    return
        except http1.Malformed as problem:
            self._spoilt(str(problem))
            return
        if self._reader.told and not self._begun:
            self._begun = True
            self._timer.cancel()
            left = self._call.patience_ms - self._calls.since(self._call.written)
            self._timer = self._calls.later(min(REST_MS, max(0.0, left)), self._spoilt, "not whole in time")
            if self._reader.told == 200:
                self._calls.delivered(self._call)
        if self._reader.told == 200 and self._reader.ended():
            self._ends(keep=False)  # its body means nothing: no need to wait for its end

    def lost(self) -> None:
        if self._call is None:
            self._calls.drop(self)
        else:
            self._ends(keep=False, whole=self._answer is not None and self._reader.ended())

    # Ends of a call

    def _not_connected(self) -> None:
        self._ends(keep=False)

    def stays(self) -> None:
        """The call must not be written any more, or cannot be: it never left."""
        self._ends(keep=False, stays=not self._new or not self.stale())

    def _timed_out(self) -> None:
        if self._link.unread() and not self._late:  # an answer that came in this pass: read first, once
            self._late = True
            self._timer = self._calls.later(0.0, self._timed_out)
            return
        self._ends(keep=False, patience_over=True)

    def _expired(self) -> None:
        self._calls.drop(self)

    def _spoilt(self, problem: str) -> None:
        self._calls.count_spoilt(self.endpoint, problem)
        self._ends(keep=False, spoilt=True)

    def _ends(
        self,
        keep: bool,
        whole: bool = False,
        patience_over: bool = False,
        spoilt: bool = False,
        stays: bool = False,
    ) -> None:
        call, answer = self._call, self._answer
        if not check_invariant(call, "a call ends once"):
            return
        self._call = None
        self._rest()
        over, wait_ms, room, limit = False, 0.0, None, None
        if answer:
            room, limit = report_of(answer)
        if self._reader.told == 200:  # its first line is enough, whatever follows
            kind, over = our.OK, True
            if not self._begun:
                self._calls.delivered(call)
        elif answer and whole:  # of any other, a part proves nothing
            kind, over, wait_ms = kind_of(answer)
        elif stays:
            kind = our.UNSENT
        elif not self._sent or self._link is None or self._link.unsent:
            kind = our.CONNECT_FAILED
        elif spoilt:
            kind = our.ERROR
        else:
            kind = our.TIMEOUT if patience_over else our.RESET
        self._calls.ended(self, call, keep and kind in KEPT, (kind, over, wait_ms, room, limit))


class Calls:
    """All connections to endpoints. up(call) hears of a dialled connection that has come up: its call waits
    for go(). told(call, outcome) hears of each call's end, once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        idle_ms: float,
        dial_ms: float,
        most_idle: int,
        up: Callable,
        delivered: Callable,
        told: Callable,
    ) -> None:
        self.loop, self._clock, self.idle_ms, self.dial_ms = loop, clock, idle_ms, dial_ms
        self._most_idle, self.up, self.delivered, self._told = most_idle, up, delivered, told
        self.addresses: dict[str, tuple[str, int]] = {}
        self._spoilt = self.transmitted = 0  # transmitted: written whole to endpoints, for the figures
        self._idle: dict[Line, None] = {}  # oldest first
        self._busy: dict[str, Line] = {}  # by document

    def later(self, ms: float, what: Callable, *words: object) -> asyncio.TimerHandle:
        return self.loop.call_later(ms / 1000.0, what, *words)

    def since(self, moment: float) -> float:
        return self._clock() - moment

    def count_spoilt(self, endpoint: str, problem: str) -> None:
        self._spoilt += 1
        if self._spoilt <= 3 or self._spoilt % 1000 == 0:
            log_event(
                log, "spoilt answer", logging.WARNING, endpoint=endpoint, problem=problem, count=self._spoilt
            )

    def __len__(self) -> int:
        return len(self._busy)

    def gone(self, endpoint: str) -> None:
        """Nothing is kept of an endpoint that left the list, but for the calls that are out."""
        self.addresses.pop(endpoint, None)
        self.close_idle(endpoint)

    def move(self, endpoint: str, where: tuple[str, int]) -> None:
        """The address of an endpoint, perhaps a new one."""
        if self.addresses.get(endpoint) != where:
            self.addresses[endpoint] = where
            self.close_idle(endpoint)

    def begin(self, call: Call) -> bool:
        """Finds it a connection: True if there is one that lies idle, else one is dialled."""
        check_invariant(call.doc not in self._busy, "one transmission of a document is out")
        call.started = self._clock()
        line = self._newest(call.endpoint) or Line(self, call.endpoint, self.addresses[call.endpoint])
        self._busy[call.doc] = line
        line.begin(call)
        return line.waits(call)

    def waiting(self, call: Call) -> bool:
        """True if it has its connection still, to where its endpoint is now, and was not written.

        Guards against what came since the connection was chosen or came up and was not read yet: an end or a
        reset under a call that would then be in doubt, bytes that would pass for its answer. May hurt: what
        comes after this look is met all the same."""
        line = self._busy.get(call.doc)
        return (
            line is not None
            and line.waits(call)
            and line.where == self.addresses.get(call.endpoint)
            and not line.stale()
        )

    def go(self, call: Call, may: bool) -> None:
        """Writes a call that has its connection, or ends it as one that never left."""
        line = self._busy.get(call.doc)
        if line is not None and line.waits(call):
            call.written = self._clock()
            (line.write if may else line.stays)()

    def _newest(self, endpoint: str) -> Line | None:
        while line := next((each for each in reversed(self._idle) if each.endpoint == endpoint), None):
            del self._idle[line]
            if not line.stale():
                return line
            line.close()
        return None

    def ended(self, line: Line, call: Call, keep: bool, how: tuple) -> None:
        self._busy.pop(call.doc, None)
        kept = keep and line.where == self.addresses.get(line.endpoint)
        if kept:
            self._idle[line] = None
            line.rests()
            if len(self._idle) > self._most_idle:
                self.drop(next(iter(self._idle)))
        else:
            line.close()  # before the outcome is told: no two of one document are ever out
        kind, *rest = how
        elapsed_ms = self.since(call.started)
        self._told(call, our.Outcome(kind, call.number, elapsed_ms, *rest, kept))

    def drop(self, line: Line) -> None:
        self._idle.pop(line, None)
        line.close()

    def close_idle(self, endpoint: str) -> None:
        for line in [each for each in self._idle if each.endpoint == endpoint]:
            self.drop(line)

    def close(self) -> None:
        for line in [*self._idle, *self._busy.values()]:
            line.close()
