"""Destinations and their endpoints: what becomes of a call that reaches one. Pure: fed calls, told the time.

Owns answer times, places and queues, limits and told waits, reports of room, health, and cold return. Must
never know a connection. The trouble of the moment is always worked out from all that are active, so that one
that ends leaves the others in force.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass

from birchstack.emulator.scenario import DEFAULT_SIZE, OUTAGES, Cold, Group, Limit, Trouble

OK, ERROR, SHED, WAIT, NEVER = "ok", "error", "shed", "wait", "never"  # answers; never: none comes
SPOILT = "spoilt"
MAD = 0.5  # most calls fail from this share on: an outage


@dataclass(slots=True)
class Verdict:
    """What becomes of one call: when it is answered and how, and when its work runs (None: never)."""

    what: str
    at: float
    runs_at: float | None = None
    wait_ms: float = 0.0
    report: tuple[float, float] | None = None  # room left 0..1, limit in calls a second


class Meter:
    """One limit over all senders. take() tells whether one more call fits, and how long until one would."""

    def __init__(self, limit: Limit) -> None:
        self.limit, self.factor = limit, 1.0
        self._level, self._at = limit.burst, 0.0
        self._recent: deque[float] = deque()
        self.out = 0
        self._rooms: deque[tuple[float, float]] = deque(maxlen=64)

    @property
    def per_second(self) -> float:
        return self.limit.per_second * self.factor

    def _most(self) -> float:
        return 1.5 if self.limit.kind == "rate" else max(1.0, self.limit.burst)

    def _refill(self, now: float) -> None:
        self._level = min(self._most(), self._level + (now - self._at) * self.per_second / 1000.0)
        self._at = now
        while self._recent and self._recent[0] <= now - self.limit.span_ms:
            self._recent.popleft()

    def take(self, now: float) -> tuple[bool, float]:
        """Whether the call is taken; else in how many milliseconds there is room again."""
        self._refill(now)
        kind = self.limit.kind
        if kind == "flight":
            fits, wait = self.out < max(1, round(self.per_second)), 100.0
        elif kind == "span":
            most = max(1, round(self.per_second * self.limit.span_ms / 1000.0))
            fits = len(self._recent) < most
            wait = 0.0 if fits else self._recent[0] + self.limit.span_ms - now
        else:
            fits, wait = self._level >= 1.0, (1.0 - self._level) * 1000.0 / self.per_second
        if fits:
            self._level -= 1.0
            self._recent.append(now)
        self._rooms.append((now, self.room(now)))
        return fits, wait

    def room(self, now: float) -> float:
        kind = self.limit.kind
        if kind == "flight":
            return max(0.0, 1.0 - self.out / max(1.0, self.per_second))
        if kind == "span":
            return max(0.0, 1.0 - len(self._recent) / max(1.0, self.per_second * self.limit.span_ms / 1000.0))
        return max(0.0, min(1.0, self._level / self._most()))

    def report(self, now: float) -> tuple[float, float] | None:
        """What an answer tells: the room as it was some time ago."""
        if not self.limit.reports:
            return None
        told = 1.0
        for at, room in reversed(self._rooms):
            told = room
            if at <= now - self.limit.report_late_ms:
                break
        return told, self.per_second


class Endpoint:
    """One endpoint's places: when each is free again."""

    def __init__(self, uid: str, destination: Destination, number: int) -> None:
        self.uid, self.destination, self.number = uid, destination, number
        self.state = "active"  # as discovery names it
        self.epoch = 0  # counts its processes: an older one's calls are never answered
        self._free: list[float] = []

    def serve(self, now: float, took_ms: float) -> float | None:
        """When a call of this length begins; None where the queue is full."""
        group, free = self.destination.group, self._free
        while free and free[0] <= now:
            heapq.heappop(free)
        if len(free) >= group.places + group.queue:
            return None
        begins = now if len(free) < group.places else heapq.nsmallest(len(free) - group.places + 1, free)[-1]
        heapq.heappush(free, begins + took_ms)
        return begins

    def restart(self) -> None:
        self.epoch += 1
        self._free.clear()


def most_calls(allowed: float) -> float:
    """The most calls that a cold destination bears in its time, of which so many are allowed; chance brings
    two roots more, and two."""
    return allowed + 2.0 * allowed**0.5 + 2.0


@dataclass(slots=True)
class Push:
    """A destination fell over: who pushed, among the calls of the last span."""

    at: float
    by_those_who_saw: int
    calls: int


class Destination:
    """What shares a limit and outages."""

    def __init__(self, number: int, group: Group, usual: float, cold: Cold, seed: int) -> None:
        self.number, self.group, self._cold = number, group, cold
        self.capacity = max(1.5, usual * group.capacity)  # calls a second, when warm
        if group.limit:
            self.capacity = max(self.capacity, group.limit.per_second)
        self._chance = random.Random(f"destination {seed} {number}")
        self.endpoints: list[Endpoint] = []
        self.meter = Meter(group.limit) if group.limit else None
        self.active: list[Trouble] = []
        self.back_at: float | None = None  # when the last outage ended
        self.fallen_until = 0.0
        self.saw: dict[
            int, None
        ] = {}  # senders that saw a call fail in the present outage, or the last, in any of their lives
        self._arrivals: deque[tuple[float, int]] = deque()
        self.pushes: list[Push] = []
        self._until = 0.0

    # Troubles

    def strike(self, trouble: Trouble) -> None:
        """A trouble begins. One more beside others adds to them."""
        if not self.down(trouble.at * 1000.0) and is_outage(trouble):
            self.saw.clear()
        self.active.append(trouble)
        self._settle_limit()

    def heal(self, now: float, trouble: Trouble) -> None:
        """A trouble ends; what else is active goes on."""
        was = self.down(now)
        self.active.remove(trouble)
        self._settle_limit()
        if was and not self.down(now):
            self.back_at = now

    def _settle_limit(self) -> None:
        if self.meter:
            self.meter.factor = min(
                [size_of(each) for each in self.active if each.kind == "limit_lowered"], default=1.0
            )

    def down(self, now: float) -> bool:
        return now < self.fallen_until or any(is_outage(each) for each in self.active)

    def has(self, kind: str) -> Trouble | None:
        return next((each for each in self.active if each.kind == kind), None)

    def share(self, now: float) -> float:
        """Of its capacity: all when warm."""
        if self.back_at is None:
            return 1.0
        warm = (now - self.back_at) / self._cold.warm_up_ms
        if warm >= 1.0:
            self.back_at = None
            return 1.0
        return self._cold.share + (1.0 - self._cold.share) * max(0.0, warm)

    # Calls

    def failed(self, now: float, sender: int) -> None:
        """A sender was told of a failed or refused call here."""
        if self.down(now):
            self.saw[sender] = None

    def arrive(self, now: float, endpoint: Endpoint, sender: int, setup_ms: float) -> Verdict:
        """What becomes of a call that came whole to this endpoint now."""
        if self._falls(now, sender):
            return Verdict(NEVER, now)
        draw = self._chance.random
        if self.has("shut_told") or self.has("shut"):
            told = self.has("shut_told")
            wait = max(50.0, (told.at + told.seconds) * 1000.0 - now) if told else 0.0
            return Verdict(WAIT if told else SHED, now + 1.0, None, wait)
        if now < self.fallen_until or self.has("silent") or self.has("refusing") or self.has("vanish"):
            self._hang(now, sender)
            return Verdict(NEVER, now, now + 1.0 if draw() < 0.5 else None)
        if endpoint.state == "left":
            return Verdict(SHED, now + 1.0)
        if self.meter:
            fits, wait = self.meter.take(now)
            report = self.meter.report(now)
            if not fits:
                return (
                    Verdict(WAIT, now + 1.0, None, max(50.0, wait), report)
                    if self.meter.limit.tells_wait
                    else Verdict(SHED, now + 1.0, None, 0.0, report)
                )
        else:
            report = None
        took = self.group.answer_ms * self._chance.lognormvariate(0.0, self.group.spread)
        took = (took * self._slower() + setup_ms) / self.share(now) ** 0.5
        begins = endpoint.serve(now, took)
        if begins is None:
            return Verdict(SHED, now + 1.0, None, 0.0, report)
        return self._troubled(Verdict(OK, begins + took, begins, 0.0, report))

    def _slower(self) -> float:
        slow = 1.0
        for each in self.active:
            if each.kind == "slow":
                slow *= max(1.0, size_of(each))
        return slow

    def _troubled(self, verdict: Verdict) -> Verdict:
        draw = self._chance.random
        for each in self.active:
            if each.kind == "erring" and draw() < size_of(each):
                verdict.what = ERROR
                verdict.runs_at = verdict.runs_at if draw() < 0.5 else None
                return verdict
            if each.kind == "answer_lost" and draw() < size_of(each):
                verdict.what = NEVER
                return verdict
            if each.kind == "spoilt" and draw() < size_of(each):
                verdict.what = SPOILT
                return verdict
            if each.kind == "stalling":  # stands still: all its answers come when it goes on
                verdict.at = max(verdict.at, (each.at + each.seconds) * 1000.0)
                verdict.runs_at = verdict.at
        return verdict

    def _falls(self, now: float, sender: int) -> bool:
        """Counts a call against what a cold destination can bear; those that hung before its return, too."""
        share = self.share(now)
        if self.back_at is None or self.down(now):  # warm, or down
            return False
        cold, arrivals = self._cold, self._arrivals
        arrivals.append((now, sender))
        while arrivals[0][0] <= now - cold.for_ms:
            arrivals.popleft()
        if len(arrivals) <= most_calls(cold.multiple * self.capacity * share * cold.for_ms / 1000.0):
            return False
        seen = sum(who in self.saw for _, who in arrivals)
        self.pushes.append(Push(now, seen, len(arrivals)))
        self.fallen_until, self.back_at = now + cold.fallen_ms, None
        arrivals.clear()
        return True

    def _hang(self, now: float, sender: int) -> None:
        """A call that is neither answered nor refused is there at the return."""
        self._arrivals.append((now, sender))
        while self._arrivals[0][0] <= now - self._cold.for_ms:
            self._arrivals.popleft()

    def rises(self, now: float) -> None:
        """The time of having fallen is over."""
        if not self.down(now):
            self.back_at = now


def size_of(trouble: Trouble) -> float:
    return trouble.size if trouble.size is not None else DEFAULT_SIZE.get(trouble.kind, 1.0)


def is_outage(trouble: Trouble) -> bool:
    return trouble.kind in OUTAGES or trouble.kind == "erring" and size_of(trouble) >= MAD
