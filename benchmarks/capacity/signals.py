"""One destination that goes down and comes back, and what a whole fleet does to it, with signals and without.

x: senders that share the target's documents for that destination (15.6 a second). Each sender's decisions are
real, with a simulated clock; so are its outbox, the board of each keeper and the bytes between them. Keepers
ask every sender once a second in turn, a message is on its way for WAY_MS. Not real: sockets, processes, all
other destinations. A figure for each way of failing, without signals ("before") and with ("after").

Processor time is that of the exchanges alone, both ends, measured in this process.
"""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from benchmarks.capacity.alone import ANSWER_MS, DESTINATIONS, ERRING, EVENTS, REFUSED, SILENT
from benchmarks.capacity.decisions import COLD_SHARE, EXPIRY_MS, WARM_UP_MS, QuietHost, settings
from birchstack import interface as our
from birchstack.decide import Sender
from birchstack.emulator.destinations import most_calls
from birchstack.fleet.settings import SignalSettings
from birchstack.fleet.signalling import SignalParticipant
from birchstack.fleet.wire import TrailResponse
from birchstack.keeper.config import PollConfig
from birchstack.keeper.relay import Relay

NAME = "signals"
POINTS, SMALL = (30, 200, 550), (10, 20, 40)
WAYS = (REFUSED, ERRING, SILENT)
SEEDS = 2
KEEPERS, ASK_EVERY_MS, WAY_MS = 2, 1000.0, 2.0
ROOM = PollConfig().signal_bytes
LINK_EVERY_MS = 500.0
WELL_S, DOWN_S, BACK_S, STEADY_S = 60.0, 240.0, 60.0, 120.0  # the last of DOWN_S is the steady part
WINDOW_MS = 2000.0  # in which calls of a cold destination are counted
RATE = EVENTS / DESTINATIONS  # documents a second for the destination, of all senders
ENDPOINT = "s-5be2a07c"
FIGURES = {
    f"{when}, {way}: {what}": unit
    for when in ("before", "after")
    for way in WAYS
    for what, unit in {
        "calls while down": "calls a second of all senders",
        "nine in ten hold back": "s after the outage began",
        "all hold back": "s after the outage began",
        "first tries until all hold back": "calls of all senders",
        "nine in ten are back": "s after the return",
        "load after the return": "most calls in 2 s, as a share of the bound",
        "served": "of the documents handed in",
    }.items()
} | {
    "after: bytes": "bytes a second of a sender, both ways, all keepers",
    "after: CPU": "cores of a sender and its part of the keepers",
}


@dataclass
class Seen:
    """What came of one play; times in milliseconds."""

    calls: list[float] = field(default_factory=list)
    firsts: list[float] = field(default_factory=list)  # calls while their sender did not hold back
    held_back: dict[int, float] = field(default_factory=dict)
    returned: dict[int, float] = field(default_factory=dict)
    documents: int = 0
    served: int = 0
    exchanges: int = 0
    bytes: int = 0
    cpu_s: float = 0.0


class Member(QuietHost):
    """One sender of the fleet: the host of its decisions, and its part in the signals."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.name = fleet, number, f"n{number}"
        self.linked = False
        self.signalling = SignalParticipant(
            SignalSettings(), f"{number:016x}", lambda: fleet.now, self._reported
        )
        self.signalling.start()
        self.core = Sender(settings(fleet.senders), fleet.chance.getrandbits(32), self)
        self.core.endpoints(0.0, our.WHOLE, [our.Endpoint(ENDPOINT, 1, "a", 0, our.READY, 0.0)])
        self.core.turn(0.0)

    def holds_back(self) -> bool:
        return self.core._endpoints[ENDPOINT].ejected

    def turn(self) -> None:
        self.core.turn(self.fleet.now)
        self.fleet.looked_at(self)

    def _reported(self, reports: list[our.Report]) -> None:
        self.link()
        for report in reports:
            self.core.report_received(self.fleet.now, report)
        self.turn()

    def link(self) -> None:
        if self.linked != self.signalling.is_live():
            self.linked = not self.linked
            self.core.signals_available(self.fleet.now, self.linked)

    # What the decisions ask for

    def transmit(self, doc_id: str, endpoint: str, timeout_ms: float) -> None:
        self.fleet.called(self, doc_id, self.core._held[doc_id], timeout_ms)

    def observed(self, endpoint: str, kind: our.SignalKind, wait_ms: float) -> None:
        self.signalling.record_observation(endpoint, kind, wait_ms)

    def wake(self, after_ms: float) -> None:
        self.fleet.later(max(after_ms, 0.02), self.turn)


class Fleet:
    """All senders, one destination, the keepers, and the time."""

    def __init__(self, senders: int, way: str, signals: bool, seed: int) -> None:
        self.senders, self.way, self.now, self.seen = senders, way, 0.0, Seen()
        self.chance = random.Random(f"signals {senders} {way} {seed}")
        self._queue: list[tuple[float, int, Callable, tuple]] = []
        self._order = 0
        self.down_ms, self.back_ms = WELL_S * 1000.0, (WELL_S + DOWN_S) * 1000.0
        self.end_ms = self.back_ms + BACK_S * 1000.0
        self.members = [Member(self, number) for number in range(senders)]
        for member in self.members:
            self._next_document(member)
        for relay in [Relay(ROOM) for _ in range(KEEPERS if signals else 0)]:
            first_ms = self.chance.uniform(0.0, ASK_EVERY_MS)
            for place, member in enumerate(self.members):
                self.later(first_ms + ASK_EVERY_MS * place / senders, self._ask, relay, member)
        for member in self.members if signals else ():
            self.later(self.chance.uniform(0.0, LINK_EVERY_MS), self._look_at_the_link, member)

    def later(self, ms: float, what: Callable, *words: object) -> None:
        self._order += 1
        heapq.heappush(self._queue, (self.now + ms, self._order, what, words))

    def play(self) -> Seen:
        while self._queue and self._queue[0][0] <= self.end_ms:
            self.now, _, what, words = heapq.heappop(self._queue)
            what(*words)
        return self.seen

    def is_down(self, at_ms: float) -> bool:
        return self.down_ms <= at_ms < self.back_ms

    # Documents and calls

    def _next_document(self, member: Member) -> None:
        self.later(self.chance.expovariate(RATE / self.senders) * 1000.0, self._document, member)

    def _document(self, member: Member) -> None:
        self._next_document(member)
        self.seen.documents += 1
        given = our.Submission(f"d{self.seen.documents}", 1, "sync", EXPIRY_MS)
        member.core.document(self.now, given)
        member.turn()

    def called(self, member: Member, doc_id: str, document: object, patience_ms: float) -> None:
        self.seen.calls.append(self.now)
        if self.is_down(self.now) and not document.call.probe:
            self.seen.firsts.append(self.now)
        kind, ms = our.OK, ANSWER_MS
        if self.is_down(self.now):
            kind, ms = {
                REFUSED: (our.CONNECT_FAILED, 1.0),
                ERRING: (our.ERROR, ANSWER_MS),
                SILENT: (our.TIMEOUT, patience_ms),
            }[self.way]
        outcome = our.Outcome(kind, document.sent - 1, ms, kind == our.OK)
        self.later(ms, self._outcome, member, doc_id, outcome)

    def _outcome(self, member: Member, doc_id: str, outcome: our.Outcome) -> None:
        self.seen.served += outcome.kind == our.OK
        member.core.outcome(self.now, doc_id, ENDPOINT, outcome)
        member.turn()

    def looked_at(self, member: Member) -> None:
        """Notes when a sender first held back, and when it was back."""
        if self.is_down(self.now) and member.holds_back():
            self.seen.held_back.setdefault(member.number, self.now - self.down_ms)
        elif self.now >= self.back_ms and not member.holds_back():
            self.seen.returned.setdefault(member.number, self.now - self.back_ms)

    # Signals

    def _look_at_the_link(self, member: Member) -> None:
        self.later(LINK_EVERY_MS, self._look_at_the_link, member)
        member.link()

    def _ask(self, relay: Relay, member: Member) -> None:
        self.later(ASK_EVERY_MS, self._ask, relay, member)
        began = time.process_time()
        question = relay.question(member.name, self.now)
        self.seen.cpu_s += time.process_time() - began
        self.seen.bytes += len(question or b"")
        self.later(WAY_MS, self._asked, relay, member, question, self.now)

    def _asked(self, relay: Relay, member: Member, question: bytes | None, asked_ms: float) -> None:
        began = time.process_time()
        signals = member.signalling.respond(question or b"")
        self.seen.cpu_s += time.process_time() - began
        self.seen.bytes += len(signals)
        self.seen.exchanges += 1
        piece = TrailResponse(
            name=member.name,
            process=f"{member.number:016x}",
            boot="",
            wall_ms=0.0,
            steady_ms=self.now,
            signals=signals,
        )
        self.later(WAY_MS, self._answered, relay, member, piece, asked_ms)

    def _answered(self, relay: Relay, member: Member, piece: TrailResponse, asked_ms: float) -> None:
        began = time.process_time()
        relay.handle_answer(member.name, member.name, piece, asked_ms, self.now)
        self.seen.cpu_s += time.process_time() - began


def share_of_bound(calls: list[float], back_ms: float) -> float:
    """The most calls in any two seconds after the return, by what a cold destination of just its usual rate
    bears in them (emulator.destinations.most_calls)."""
    after, first, worst = [at for at in calls if at >= back_ms], 0, 0.0
    for last, at in enumerate(after):
        while after[first] <= at - WINDOW_MS:
            first += 1
        warm = min(1.0, (at - back_ms) / WARM_UP_MS)
        if warm < 1.0:
            allowed = RATE * WINDOW_MS / 1000.0 * (COLD_SHARE + (1.0 - COLD_SHARE) * warm)
            worst = max(worst, (last - first + 1) / most_calls(allowed))
    return worst


def when(times: dict[int, float], senders: int, share: float, never_s: float) -> float:
    """Seconds until so many of the senders; never_s where it did not come to that."""
    needed = max(1, round(senders * share))
    return sorted(times.values())[needed - 1] / 1000.0 if len(times) >= needed else never_s


def figures(fleet: Fleet, seen: Seen) -> dict[str, float]:
    steady = fleet.back_ms - STEADY_S * 1000.0
    all_hold_s = when(seen.held_back, fleet.senders, 1.0, DOWN_S)
    until = fleet.down_ms + all_hold_s * 1000.0
    return {
        "calls while down": sum(steady <= at < fleet.back_ms for at in seen.calls) / STEADY_S,
        "nine in ten hold back": when(seen.held_back, fleet.senders, 0.9, DOWN_S),
        "all hold back": all_hold_s,
        "first tries until all hold back": float(sum(at <= until for at in seen.firsts)),
        "nine in ten are back": when(seen.returned, fleet.senders, 0.9, BACK_S),
        "load after the return": share_of_bound(seen.calls, fleet.back_ms),
        "served": seen.served / seen.documents,
    }


def play(senders: int, way: str, signals: bool, seed: int) -> tuple[dict[str, float], float, float]:
    """The figures; bytes a second and cores of a sender."""
    fleet = Fleet(senders, way, signals, seed)
    seen = fleet.play()
    seconds = fleet.end_ms / 1000.0
    return figures(fleet, seen), seen.bytes / seconds / senders, seen.cpu_s / seconds / senders


def point(senders: int, pool: ProcessPoolExecutor) -> dict[str, float]:
    """Means over SEEDS plays; of the load after the return the worst."""
    found: dict[str, float] = {}
    spent: list[tuple[float, float]] = []
    jobs = {
        (signals, way): [pool.submit(play, senders, way, signals, seed) for seed in range(SEEDS)]
        for signals in (False, True)
        for way in WAYS
    }
    for (signals, way), plays in jobs.items():
        parts = [each.result() for each in plays]
        spent += [part[1:] for part in parts if signals]
        for what in parts[0][0]:
            values = [part[0][what] for part in parts]
            value = max(values) if what.startswith("load") else sum(values) / SEEDS
            found[f"{'after' if signals else 'before'}, {way}: {what}"] = value
    found["after: bytes"] = sum(each for each, _ in spent) / len(spent)
    found["after: CPU"] = sum(each for _, each in spent) / len(spent)
    return found


def measure(points: tuple[int, ...]) -> list[tuple[float, dict[str, float]]]:
    with ProcessPoolExecutor() as pool:
        return [(float(each), point(each, pool)) for each in points]
