"""Model of the destinations and their endpoints: decides the result of each call that reaches one.

It holds response times, concurrency and queues, rate limits and requested waits, load reports, health, and
the reduced capacity after an outage. It is pure: calls and times are passed in, and it knows no connections.
The effect of injected troubles is always computed from all active ones, so that the end of one leaves the
others in force.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass

from birchstack.emulator.scenario import DEFAULT_SIZE, OUTAGES, Cold, Group, Limit, Trouble

# Kinds of answer to a call
OK = "ok"
ERROR = "error"
SHED = "shed"  # refused for load, without a wait
WAIT = "wait"  # refused for load, with a wait
NO_ANSWER = "never"
SPOILT = "spoilt"  # malformed

OUTAGE_ERROR_SHARE = 0.5  # share of failing calls from which a trouble counts as an outage


@dataclass(slots=True)
class Verdict:
    """Result of one call: the answer and its time, and the time at which its work runs (None: never)."""

    answer: str
    answer_at: float
    runs_at: float | None = None
    wait_ms: float = 0.0
    report: tuple[float, float] | None = None  # headroom 0..1, limit in calls per second


class RateLimiter:
    """One limit of a destination over all senders."""

    def __init__(self, limit: Limit) -> None:
        self.limit = limit
        self.factor = 1.0  # lowered by the trouble limit_lowered
        self._tokens = limit.burst
        self._refilled_at = 0.0
        self._accepted_at: deque[float] = deque()  # calls within span_ms
        self.in_flight = 0
        self._headroom_history: deque[tuple[float, float]] = deque(maxlen=64)

    @property
    def per_second(self) -> float:
        """The limit in force, in calls per second."""
        return self.limit.per_second * self.factor

    def _max_tokens(self) -> float:
        return 1.5 if self.limit.kind == "rate" else max(1.0, self.limit.burst)

    def _refill(self, now: float) -> None:
        self._tokens = min(
            self._max_tokens(), self._tokens + (now - self._refilled_at) * self.per_second / 1000.0
        )
        self._refilled_at = now
        while self._accepted_at and self._accepted_at[0] <= now - self.limit.span_ms:
            self._accepted_at.popleft()

    def take(self, now: float) -> tuple[bool, float]:
        """Returns whether a call is accepted, and else the time in ms until one would be."""
        self._refill(now)
        kind = self.limit.kind
        if kind == "flight":
            accepted, wait = self.in_flight < max(1, round(self.per_second)), 100.0
        elif kind == "span":
            max_calls = max(1, round(self.per_second * self.limit.span_ms / 1000.0))
            accepted = len(self._accepted_at) < max_calls
            wait = 0.0 if accepted else self._accepted_at[0] + self.limit.span_ms - now
        else:
            accepted, wait = self._tokens >= 1.0, (1.0 - self._tokens) * 1000.0 / self.per_second
        if accepted:
            self._tokens -= 1.0
            self._accepted_at.append(now)
        self._headroom_history.append((now, self.headroom(now)))
        return accepted, wait

    def headroom(self, now: float) -> float:
        """Returns the unused share of the limit, 0..1."""
        kind = self.limit.kind
        if kind == "flight":
            return max(0.0, 1.0 - self.in_flight / max(1.0, self.per_second))
        if kind == "span":
            return max(
                0.0, 1.0 - len(self._accepted_at) / max(1.0, self.per_second * self.limit.span_ms / 1000.0)
            )
        return max(0.0, min(1.0, self._tokens / self._max_tokens()))

    def report(self, now: float) -> tuple[float, float] | None:
        """Returns the load report of an answer: the headroom report_late_ms ago, and the limit."""
        if not self.limit.reports:
            return None
        reported = 1.0
        for at, headroom in reversed(self._headroom_history):
            reported = headroom
            if at <= now - self.limit.report_late_ms:
                break
        return reported, self.per_second


class Endpoint:
    """One endpoint, with a fixed number of calls served at once and a bounded queue."""

    def __init__(self, uid: str, destination: Destination, number: int) -> None:
        self.uid = uid
        self.destination = destination
        self.number = number
        self.state = "active"  # in the terms of discovery
        self.epoch = 0  # counts its processes: calls of an earlier one are never answered
        self._ends: list[float] = []  # heap of the times at which the accepted calls end

    def schedule(self, now: float, duration_ms: float) -> float | None:
        """Accepts a call and returns the time at which it begins, or None if the queue is full."""
        group = self.destination.group
        ends = self._ends
        while ends and ends[0] <= now:
            heapq.heappop(ends)
        if len(ends) >= group.places + group.queue:
            return None
        begins = now if len(ends) < group.places else heapq.nsmallest(len(ends) - group.places + 1, ends)[-1]
        heapq.heappush(ends, begins + duration_ms)
        return begins

    def restart(self) -> None:
        """Replaces the endpoint's process by a new one without calls."""
        self.epoch += 1
        self._ends.clear()


def most_calls(allowed: float) -> float:
    """Returns the number of calls within Cold.for_ms above which a cold destination is overloaded.

    allowed is the mean number that it can serve. The margin covers random variation: twice the square root,
    plus two.
    """
    return allowed + 2.0 * allowed**0.5 + 2.0


@dataclass(slots=True)
class Overload:
    """An overload of a cold destination, with the calls of the last Cold.for_ms."""

    at: float
    calls_of_observers: int  # from senders that saw a call fail in the outage before
    calls: int


class Destination:
    """A group of endpoints that share a limit and outages."""

    def __init__(self, number: int, group: Group, usual_rate: float, cold: Cold, seed: int) -> None:
        self.number = number
        self.group = group
        self._cold = cold
        self.capacity = max(1.5, usual_rate * group.capacity)  # calls per second, when warm
        if group.limit:
            self.capacity = max(self.capacity, group.limit.per_second)
        self._random = random.Random(f"destination {seed} {number}")
        self.endpoints: list[Endpoint] = []
        self.limiter = RateLimiter(group.limit) if group.limit else None
        self.active_troubles: list[Trouble] = []
        self.recovered_at: float | None = None  # end of the last outage; None when warm
        self.overloaded_until = 0.0
        # Senders of which any process saw a call fail in the present outage, or in the last one
        self.observers: dict[int, None] = {}
        self._recent_calls: deque[tuple[float, int]] = deque()  # time and sender
        self.overloads: list[Overload] = []
        self._until = 0.0

    # Troubles

    def start_trouble(self, trouble: Trouble) -> None:
        """Starts a trouble, in addition to the active ones."""
        if not self.down(trouble.at * 1000.0) and is_outage(trouble):
            self.observers.clear()
        self.active_troubles.append(trouble)
        self._update_limit()

    def end_trouble(self, now: float, trouble: Trouble) -> None:
        """Ends a trouble; the other active ones continue."""
        was_down = self.down(now)
        self.active_troubles.remove(trouble)
        self._update_limit()
        if was_down and not self.down(now):
            self.recovered_at = now

    def _update_limit(self) -> None:
        if self.limiter:
            self.limiter.factor = min(
                [size_of(each) for each in self.active_troubles if each.kind == "limit_lowered"], default=1.0
            )

    def down(self, now: float) -> bool:
        """Returns whether the destination is overloaded or in an outage."""
        return now < self.overloaded_until or any(is_outage(each) for each in self.active_troubles)

    def find_trouble(self, kind: str) -> Trouble | None:
        """Returns the first active trouble of a kind."""
        return next((each for each in self.active_troubles if each.kind == kind), None)

    def capacity_share(self, now: float) -> float:
        """Returns the available share of the capacity, which rises to 1 during the warm-up time."""
        if self.recovered_at is None:
            return 1.0
        warm = (now - self.recovered_at) / self._cold.warm_up_ms
        if warm >= 1.0:
            self.recovered_at = None
            return 1.0
        return self._cold.share + (1.0 - self._cold.share) * max(0.0, warm)

    # Calls

    def failed(self, now: float, sender: int) -> None:
        """Records that a sender learned of a failed or refused call to this destination."""
        if self.down(now):
            self.observers[sender] = None

    def arrive(self, now: float, endpoint: Endpoint, sender: int, setup_ms: float) -> Verdict:
        """Returns the result of a call that arrives completely at an endpoint now."""
        if self._overloaded_by(now, sender):
            return Verdict(NO_ANSWER, now)
        draw = self._random.random
        if self.find_trouble("shut_told") or self.find_trouble("shut"):
            shut_told = self.find_trouble("shut_told")
            wait = max(50.0, (shut_told.at + shut_told.seconds) * 1000.0 - now) if shut_told else 0.0
            return Verdict(WAIT if shut_told else SHED, now + 1.0, None, wait)
        if (
            now < self.overloaded_until
            or self.find_trouble("silent")
            or self.find_trouble("refusing")
            or self.find_trouble("vanish")
        ):
            self._add_hanging_call(now, sender)
            return Verdict(NO_ANSWER, now, now + 1.0 if draw() < 0.5 else None)
        if endpoint.state == "left":
            return Verdict(SHED, now + 1.0)
        if self.limiter:
            accepted, wait = self.limiter.take(now)
            report = self.limiter.report(now)
            if not accepted:
                return (
                    Verdict(WAIT, now + 1.0, None, max(50.0, wait), report)
                    if self.limiter.limit.tells_wait
                    else Verdict(SHED, now + 1.0, None, 0.0, report)
                )
        else:
            report = None
        duration = self.group.answer_ms * self._random.lognormvariate(0.0, self.group.spread)
        duration = (duration * self._slowdown() + setup_ms) / self.capacity_share(now) ** 0.5
        begins = endpoint.schedule(now, duration)
        if begins is None:
            return Verdict(SHED, now + 1.0, None, 0.0, report)
        return self._apply_troubles(Verdict(OK, begins + duration, begins, 0.0, report))

    def _slowdown(self) -> float:
        factor = 1.0
        for each in self.active_troubles:
            if each.kind == "slow":
                factor *= max(1.0, size_of(each))
        return factor

    def _apply_troubles(self, verdict: Verdict) -> Verdict:
        draw = self._random.random
        for each in self.active_troubles:
            if each.kind == "erring" and draw() < size_of(each):
                verdict.answer = ERROR
                verdict.runs_at = verdict.runs_at if draw() < 0.5 else None
                return verdict
            if each.kind == "answer_lost" and draw() < size_of(each):
                verdict.answer = NO_ANSWER
                return verdict
            if each.kind == "spoilt" and draw() < size_of(each):
                verdict.answer = SPOILT
                return verdict
            if each.kind == "stalling":  # paused: all answers come when the trouble ends
                verdict.answer_at = max(verdict.answer_at, (each.at + each.seconds) * 1000.0)
                verdict.runs_at = verdict.answer_at
        return verdict

    def _overloaded_by(self, now: float, sender: int) -> bool:
        """Counts a call to a cold destination and returns whether it causes an overload.

        Calls that hung before the recovery count as well.
        """
        share = self.capacity_share(now)
        if self.recovered_at is None or self.down(now):  # warm, or down
            return False
        cold = self._cold
        calls = self._recent_calls
        calls.append((now, sender))
        while calls[0][0] <= now - cold.for_ms:
            calls.popleft()
        if len(calls) <= most_calls(cold.multiple * self.capacity * share * cold.for_ms / 1000.0):
            return False
        from_observers = sum(caller in self.observers for _, caller in calls)
        self.overloads.append(Overload(now, from_observers, len(calls)))
        self.overloaded_until = now + cold.fallen_ms
        self.recovered_at = None
        calls.clear()
        return True

    def _add_hanging_call(self, now: float, sender: int) -> None:
        """Counts a call that is neither answered nor refused: it is still pending at the recovery."""
        self._recent_calls.append((now, sender))
        while self._recent_calls[0][0] <= now - self._cold.for_ms:
            self._recent_calls.popleft()

    def end_overload(self, now: float) -> None:
        """Ends the time of an overload: the destination recovers, unless an outage lasts."""
        if not self.down(now):
            self.recovered_at = now


def size_of(trouble: Trouble) -> float:
    """Returns the size of a trouble, or the default for its kind."""
    return trouble.size if trouble.size is not None else DEFAULT_SIZE.get(trouble.kind, 1.0)


def is_outage(trouble: Trouble) -> bool:
    """Returns whether a trouble makes its destinations cold."""
    return trouble.kind in OUTAGES or trouble.kind == "erring" and size_of(trouble) >= OUTAGE_ERROR_SHARE
