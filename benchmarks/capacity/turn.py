"""The work in a turn, an alarm, a list change and the loops beside them, by what there is at that time.

Counted, not timed: the decisions and the sender's node as they ship, in this process, on a loop in virtual
time and a folder in memory; see work.py. Each action is done with x, 2x, 4x and 8x of one thing and all else
alike; `notes` names each line that walks, by file, function and line, with its exponent. Beside the count
stands the CPU that the same action takes uncounted, up to the sizes of the target.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Coroutine

from benchmarks.capacity import stand, work
from birchstack import interface as our
from birchstack.decide import Sender
from birchstack.emulator.clock import Clock, ProcessLoop
from birchstack.emulator.folder import Disk, MemoryFolder
from birchstack.net import http1
from birchstack.net.calls import Calls, EndpointConnection
from birchstack.net.config import decode
from birchstack.net.machine import Machine
from birchstack.net.sender import Node

NAME = "turn"
LISTED, DOWN = 36_000, 1_692  # of the target
TO_ALL = (4_500, 9_000, 18_000, 36_000)
POINTS = {
    "listed": TO_ALL,
    "listed, 4.7% down": TO_ALL,
    "down": (211, 423, 846, 1_692),
    "owed": TO_ALL,
    "handed together": (16, 32, 64, 128),
    "notices": TO_ALL,
    "idle": (60, 120, 240, 480),
    "list": (2_250, 4_500, 9_000, 18_000),
}
SMALL = {
    "listed": (64, 128, 256, 512),
    "listed, 4.7% down": (64, 128, 256, 512),
    "down": (8, 16, 32, 64),
    "owed": (64, 128, 256, 512),
    "handed together": (16, 32, 64, 128),
    "notices": (64, 128, 256, 512),
    "idle": (60, 120, 240, 480),
    "list": (128, 256, 512, 1_024),
}
BESIDE = 4  # destinations down where they don't vary, two documents owed to each
REPEATS, MOST_S = 5, 0.5  # of an action whose CPU is taken; no further one after so long
TOGETHER = 64  # documents taken on in a turn, while what is owed is made ready
DAY_MS = 86_400_000.0
TYPE = our.DocumentType("sync", our.REPLAYABLE, 2000.0, 2 * DAY_MS, 1.0, 0.4, False, 0.0, False)


class Host:
    """What the decisions ask for, kept until it is answered."""

    def __init__(self) -> None:
        self.calls, self.number, self.alarm = [], {}, float("inf")
        self.now, self.ended = 0.0, 0

    def transmit(self, doc_id: str, endpoint: str, timeout_ms: float) -> None:
        self.number[doc_id] = self.number.get(doc_id, -1) + 1
        self.calls.append((doc_id, endpoint))

    def reject(self, doc_id: str, retry_after_ms: float) -> None:
        self.ended += 1

    def abandon(self, doc_id: str) -> None:
        self.ended += 1

    def wake(self, after_ms: float) -> None:
        self.alarm = min(self.alarm, self.now + after_ms) if self.alarm > self.now else self.now + after_ms

    def close_idle(self, endpoint: str) -> None: ...

    def subscribe(self) -> None: ...

    def broadcast(self, note: str) -> None: ...

    def save_recovery(self, recovery: our.Recovery) -> None: ...

    def log(self, text: str) -> None: ...


def endpoint(destination: int, state: str = our.READY) -> our.Endpoint:
    return our.Endpoint(f"s-{destination}", destination, "z", 0, state, 1.0)


class Decisions:
    """A sender's decisions with so many destinations listed, so many of them down, so many documents owed to
    those; the others are well, and `spare` is one of them."""

    def __init__(self, listed: int = 0, down: int = BESIDE, owed: int = 0, full: bool = False) -> None:
        listed, owed = max(listed, down + 4), max(owed, 2 * down)
        settings = our.Settings(
            types=(TYPE,),
            slots=64,
            max_held=owed + (1 if full else 1_000_000),
            max_transmissions=10**6,
            senders=stand.SENDERS,
            calls_per_connection=1,
            per_call=(1,),
            routes_apart=(False,),
            rates_listed=False,
            list_on_request=False,
            retry_after_ms=3000.0,
            cold_share=0.3,
            warm_up_ms=1000.0,
            key_rest_ms=0.0,
            notes=False,
        )
        self.host, self.down, self.spare = Host(), down, listed
        self.sender = Sender(settings, 7, self.host)
        for name in ("_destinations", "_endpoints", "_held"):
            setattr(self.sender, name, work.dictionary())
        self.change(our.WHOLE, [endpoint(each) for each in range(1, listed + 1)])
        for dest in self.sender._destinations.values():
            dest.queue = work.line()
        for at in range(owed):
            left = 1_000.0 if at == owed - 1 else DAY_MS
            given = our.Submission(f"o{at}", 1 + at % down, "sync", left)
            self.sender.document(self.host.now, given)
        for ep in [self.sender._endpoints[f"s-{each}"] for each in range(1, down + 1)]:
            self.sender._eject(0.0, ep.route.destination, ep.route, ep, our.ERROR)
            ep.route.next_probe_at = 500.0 if ep.name == "s-1" else 60_000.0  # one is due at a time
        self.turn()
        self.answer()
        assert len(self.sender.ejected_endpoints()) == down, "every one is known to be down"
        assert len(self.sender._held) == owed

    def turn(self) -> None:
        self.sender.turn(self.host.now)

    def change(self, mode: str, entries: list[our.Endpoint]) -> None:
        self.sender.endpoints(self.host.now, mode, entries)
        self.turn()

    def answer(self) -> None:
        """Those that are down say 500, the others 200."""
        while self.host.calls:
            name, where = self.host.calls.pop(0)
            well = int(where[2:]) > self.down
            self.sender.outcome(
                self.host.now,
                name,
                where,
                our.Outcome(our.OK if well else our.ERROR, self.host.number[name], 10.0, well),
            )
            self.turn()

    # What is measured; each leaves all as it was, but for the document that it is about

    def taken(self) -> Callable[[], None]:
        name = f"new{len(self.host.number)}"

        def act() -> None:
            self.sender.document(self.host.now, our.Submission(name, self.spare, "sync", DAY_MS))
            self.turn()

        return act

    def outcome(self) -> Callable[[], None]:
        self.taken()()
        name, where = self.host.calls.pop()

        def act() -> None:
            self.sender.outcome(self.host.now, name, where, our.Outcome(our.OK, 0, 10.0, True))
            self.turn()

        return act

    def alarm(self) -> Callable[[], None]:
        """A trial is due."""
        self.answer()
        self.host.now = max(self.host.now, self.sender._alarm)
        return self.turn

    def changed(self) -> Callable[[], None]:
        return lambda: self.change(our.CHANGES, [endpoint(self.spare - 1, our.DRAINING)])

    def expires(self) -> Callable[[], None]:
        """The newest of those owed can wait no more."""
        ends = next(when for when, _, doc in self.sender._last_starts if doc.expiry < DAY_MS / 2.0)
        self.host.now = ends
        return self.turn


class Loop(ProcessLoop):
    """Whoever is dialled never answers."""

    def __init__(self) -> None:
        super().__init__(Clock(), None, "0")

    def create_task(self, coro: Coroutine, **words: object) -> asyncio.Future:
        coro.close()
        return self.create_future()


class NoDisk(MemoryFolder):
    """Takes everything and keeps nothing: what the sender itself holds is seen."""

    def write(self, name: str, data: bytes) -> None: ...

    def append(self, handle: int, data: bytes) -> int:
        return len(data)


class InMemory(Machine):
    def __init__(self) -> None:
        self._folder = NoDisk(Disk())

    def wall_ms(self) -> float:
        return 1.8e12

    def steady_ms(self) -> float:
        return 5e6

    def boot_id(self) -> str:
        return "boot"

    def folder(self, path: str) -> MemoryFolder:
        return self._folder


class Handed:
    """What a client handed in."""

    type, key, repeat_key, tenant, body = "sync", None, None, None, stand.BODY

    def __init__(self, doc_id: str, destination: int) -> None:
        self.id, self.destination, self.remaining_ms, self.duplicates = doc_id, destination, 1.5 * DAY_MS, []
        self.verdict: str | None = None

    def age_and_gone(self) -> tuple[float, bool]:
        return 0.0, False

    def reply(self, verdict: str, wait_ms: float = 0.0, close: bool = False) -> None:
        self.verdict = verdict


class Whole:
    """A sender's node: destinations listed, of those some that told to wait, documents owed to the latter."""

    def __init__(self, listed: int = 0, down: int = BESIDE, owed: int = 0) -> None:
        listed, owed = max(listed, down + 4), max(owed, 2 * down)
        self.loop = Loop()
        raw = {
            "name": "n1",
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:2",
            "seed": "8c1f",
            "state": "/",
            "limits": {"disk_mb": 100_000},
            "settings": stand.settings(),
        }
        self.node = Node(decode(raw, {}), self.loop, InMemory())
        self.node._list.entries, self.node._ledger.entries = work.dictionary(), work.dictionary()
        self.node._list._destinations, self.node._refusals = work.dictionary(), work.dictionary()
        self.spare = listed
        self.node._on_list(our.WHOLE, [(endpoint(each), ("127.0.0.1", 3)) for each in range(1, listed + 1)])
        self.node._turn()
        for destination in range(1, down + 1):
            self.node._core.restore_wait(0.0, f"s-{destination}", DAY_MS)
        for at in range(owed):
            self.hand(f"o{at}", 1 + at % down)
            if at % TOGETHER == 0:
                self.node._turn()
        self.node._turn()
        assert len(self.node._ledger.entries) == owed

    def hand(self, doc_id: str, destination: int) -> Handed:
        handed = Handed(doc_id, destination)
        self.node._enqueue(self.node._accept, handed)
        return handed

    def taken(self, many: int = 1) -> Callable[[], None]:
        for at in range(many):
            self.hand(f"new{len(self.node._ledger.entries)}-{at}", 1)
        return self.node._turn

    def changed(self) -> Callable[[], None]:
        def act() -> None:
            self.node._on_list(our.CHANGES, [(endpoint(self.spare - 1, our.DRAINING), ("127.0.0.1", 3))])
            self.node._turn()

        return act

    def look(self) -> Callable[[], None]:
        return self.node._end_overdue

    def figures(self) -> Callable[[], None]:
        return self.node._figures

    def end(self) -> Callable[[], None]:
        """A document that a restart found gets its end, and nothing tried it."""
        owed = next(each for each in self.node._ledger.entries.values() if each.notice is None)
        owed.recovered = True
        return lambda: self.node._end_with_notice(owed.id, "dead", 0.0)


def notices(waiting: int) -> Callable[[], None]:
    """So many notices wait; the platform answers those under way."""
    node = Whole().node
    node._notices._waiting = work.dictionary()
    for at in range(waiting):
        node._notices.queue(f"d{at}", "dead", 0.0)
    return lambda: node._notices._answered(204)


def connection(idle: int) -> Callable[[], None]:
    """So many connections lie idle, and a call goes to an endpoint that has none."""
    loop = Loop()
    calls = Calls(loop, lambda: 0.0, 1e4, 1e3, 10 * idle, print, print, print)
    for at in range(idle):
        calls._idle[EndpointConnection(calls, f"s-{at}", ("127.0.0.1", 3))] = None
    return lambda: calls._take_idle("another")


class CountedBytes(bytearray):
    def split(self, ends: bytes) -> list:
        work.Counted.passed(len(self))
        return [CountedBytes(each) for each in super().split(ends)]


def read(listed: int, block: int = 4096) -> Callable[[], None]:
    """A list of so many is read from the watch, a block of bytes at a time: less than the 64 KiB that come at
    once, so that short lists show what long ones do. Its CPU is more than a sender's for that."""
    node = Whole().node
    text = stand.text(9, True, stand.whole_list(listed, 1, ["127.0.7.1:23000"]))
    told = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(text), text)
    watch = node._watch
    watch._reader = http1.ResponseReader(max_body=None)
    watch._buffer = CountedBytes() if work.Counted.on else bytearray()

    def act() -> None:
        for at in range(0, len(told), block):
            watch.received(memoryview(told)[at : at + block])

    return act


# By what varies: each action, made ready with x of it

ACTIONS: dict[str, dict[str, Callable[[int], Callable[[], None]]]] = {
    "listed": {
        "decisions: a document": lambda x: Decisions(listed=x).taken(),
        "decisions: an outcome": lambda x: Decisions(listed=x).outcome(),
        "decisions: an alarm": lambda x: Decisions(listed=x).alarm(),
        "decisions: a list change": lambda x: Decisions(listed=x).changed(),
        "decisions: no room": lambda x: Decisions(listed=x, full=True).taken(),
        "node: a document": lambda x: Whole(listed=x).taken(),
        "node: a list change": lambda x: Whole(listed=x).changed(),
        "node: a look for the overdue": lambda x: Whole(listed=x).look(),
        "node: an end untried": lambda x: Whole(listed=x).end(),
        "node: its figures": lambda x: Whole(listed=x).figures(),
    },
    "down": {
        "decisions: a document": lambda x, **also: Decisions(down=x, **also).taken(),
        "decisions: an outcome": lambda x, **also: Decisions(down=x, **also).outcome(),
        "decisions: an alarm": lambda x, **also: Decisions(down=x, **also).alarm(),
        "decisions: a list change": lambda x, **also: Decisions(down=x, **also).changed(),
        "decisions: an expiry": lambda x, **also: Decisions(down=x, **also).expires(),
        "decisions: no room": lambda x, **also: Decisions(down=x, full=True, **also).taken(),
        "node: a document": lambda x, **also: Whole(down=x, **also).taken(),
    },
    "listed, 4.7% down": {
        "decisions: a document": lambda x: Decisions(listed=x, down=x * 47 // 1000).taken(),
        "decisions: an alarm": lambda x: Decisions(listed=x, down=x * 47 // 1000).alarm(),
    },
    "owed": {
        "decisions: a document": lambda x: Decisions(owed=x).taken(),
        "decisions: an outcome": lambda x: Decisions(owed=x).outcome(),
        "decisions: an alarm": lambda x: Decisions(owed=x).alarm(),
        "decisions: a list change": lambda x: Decisions(owed=x).changed(),
        "decisions: an expiry": lambda x: Decisions(owed=x).expires(),
        "decisions: no room": lambda x: Decisions(owed=x, full=True).taken(),
        "node: a document": lambda x: Whole(owed=x).taken(),
        "node: a list change": lambda x: Whole(owed=x).changed(),
        "node: a look for the overdue": lambda x: Whole(owed=x).look(),
        "node: an end untried": lambda x: Whole(owed=x).end(),
        "node: its figures": lambda x: Whole(owed=x).figures(),
    },
    "handed together": {"node: documents": lambda x: Whole().taken(x)},
    "notices": {"node: notices answered": notices},
    "idle": {"node: a connection": connection},
    "list": {"node: a list read": read},
}
ALSO = {"down": {"listed": LISTED, "owed": 2 * DOWN}}  # what stays alike at full size,
ALSO_SMALL = {"down": {"listed": 68, "owed": 128}}  # and where work is counted
FIGURES = {
    f"{figure} of {action}, by {by}": unit
    for by, actions in ACTIONS.items()
    for action in actions
    for figure, unit in (("work", "instructions"), ("CPU", "s"))
}
logging.getLogger("birchstack").addHandler(logging.NullHandler())


def count(by: str, action: str, x: int) -> work.Work:
    work.Counted.on = True
    try:
        act = ACTIONS[by][action](x, **ALSO_SMALL.get(by, {}))
        with work.Work() as counted:
            act()
    finally:
        work.Counted.on = False
    return counted


def found() -> dict[tuple[str, str], dict[tuple[str, str, int], float]]:
    """By what varies and action: the lines that walk, with their exponents."""
    return {
        (by, action): work.walks([count(by, action, x) for x in SMALL[by]])
        for by, actions in ACTIONS.items()
        for action in actions
    }


def notes(points: dict[str, tuple[int, ...]]) -> dict:
    return {
        f"{action}, by {by}": [
            {
                "at": f"birchstack/{file}:{line}",
                "in": name,
                "exponent": round(power, 2),
                "line": work.source(file, line),
            }
            for (file, name, line), power in sorted(lines.items())
        ]
        for (by, action), lines in found().items()
    }


def _cpu_s(by: str, action: str, x: int) -> float:
    """The least of some: what else the machine did is not the action's."""
    times: list[float] = []
    began = time.monotonic()
    while not times or len(times) < REPEATS and time.monotonic() - began < MOST_S:
        act = ACTIONS[by][action](x, **ALSO.get(by, {}))
        since = time.thread_time()
        act()
        times.append(time.thread_time() - since)
    return min(times)


def measure(points: dict[str, tuple[int, ...]]) -> list[tuple[float, dict[str, float]]]:
    """Work is counted at the small points, where the lines are the same; CPU is taken at those asked."""
    rows = [
        (x, {f"work of {action}, by {by}": count(by, action, x).total() for action in actions})
        for by, actions in ACTIONS.items()
        for x in SMALL[by]
    ]
    if points == POINTS:
        rows += [
            (x, {f"CPU of {action}, by {by}": _cpu_s(by, action, x) for action in actions})
            for by, actions in ACTIONS.items()
            for x in points[by]
        ]
    return rows
