"""Drawn days of a fleet in virtual time, each played without signals, with them, and with a sender that lies.

    python -m benchmarks.signals_days [--first N] [--seeds N] [--most SENDERS]

Senders, keepers and their messages are as they ship; destinations fail in drawn ways, and so do senders,
keepers and what lies between them. What came of a day is worked out from what endpoints and clients saw. Ends
with status 1 if a rule is broken with signals on a day that keeps it without. All of it simulated.
"""

from __future__ import annotations

import argparse
import functools
import logging
import random
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from birchstack.emulator.destinations import most_calls
from birchstack.emulator.rig.parties import Seen
from birchstack.emulator.rig.virtual import DELAY_MS, VirtualRig
from birchstack.emulator.scenario import Cold, Group
from birchstack.fleet.settings import SignalSettings
from birchstack.interface import SignalKind

DAY_S, REST_S = 20.0, 12.0
LEFT_MS = 8000  # a document's time
COLD, GROUP = Cold(), Group()
RULES = {"coldFrom": COLD.share, "warmUpMs": COLD.warm_up_ms}
OUTAGES = ("erring", "refusing", "silent", "waiting", "flapping", "flaky")
TROUBLES = (
    "sender killed",
    "all killed",
    "sender stopped",
    "sender termed",
    "wall clock",
    "keeper cut",
    "keeper cut one way",
    "keepers halved",
    "keeper killed",
    "all keepers killed",
    "sender's network",
)
FLAP_MS = 3000.0
SLACK_MS = 3.0 * DELAY_MS + 5.0  # ways of the network, and the rounding of a told wait
LIES_EVERY_MS = 200.0
WITHOUT, WITH, LIAR = "without", "with", "liar"
PLAYS = (WITHOUT, WITH, LIAR)
KINDS = ("sync", "order", "pay")


@dataclass(frozen=True, slots=True)
class Outage:
    kind: str
    destination: int
    from_ms: float
    to_ms: float


@dataclass
class Day:
    """One play of a drawn day."""

    seed: int
    senders: int
    outages: list[Outage] = field(default_factory=list)
    troubles: list[str] = field(default_factory=list)
    breaches: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    rates: dict[int, float] = field(default_factory=dict)  # documents a second, by destination
    documents: int = 0
    served: int = 0
    calls: int = 0
    wasted: int = 0  # calls that were not served
    load: float = 0.0  # the most calls in a cold destination's time, as a share of what it bears


def draw(seed: int, most_senders: int, play: str) -> tuple[Day, VirtualRig]:
    """The same day for each play, but for the signals."""
    chance = random.Random(f"signals day {seed}")
    senders = min(most_senders, round(4 * (60 / 4) ** chance.random()))
    destinations = chance.randint(1, 3)
    rig = VirtualRig(
        seed,
        senders,
        chance.choice((1, 2, 2)),
        endpoints=destinations * chance.choice((1, 1, 2)),
        destinations=destinations,
        signals=None if play == WITHOUT else SignalSettings(),
        rules=RULES,
    )
    rig.endpoints.chance.seed(seed)
    day = Day(seed, senders)
    _arrivals(chance, rig, day)
    for _ in range(chance.randint(1, 3)):
        _outage(chance, rig, day)
    for _ in range(chance.randint(0, 2)):
        _trouble(chance, rig, day)
    if play == LIAR:
        rig.stage.after(1000.0, _lie, rig)
    return day, rig


def _arrivals(chance: random.Random, rig: VirtualRig, day: Day) -> None:
    """Documents of all effects to drawn senders, unevenly."""
    weights = [chance.uniform(0.2, 2.0) for _ in rig.senders]
    rates = {dest: 4.0 * 10.0 ** chance.uniform(0.0, 1.0) for dest in sorted(set(rig.uids.values()))}
    day.rates = rates
    at_ms = 500.0
    while at_ms < DAY_S * 1000.0:
        at_ms += chance.expovariate(sum(rates.values())) * 1000.0
        day.documents += 1
        sender = chance.choices(rig.senders, weights)[0]
        dest = chance.choices([*rates], [*rates.values()])[0]
        rig.stage.after(
            at_ms, rig.clients.hand_in, sender, f"d{day.documents}", dest, chance.choice(KINDS), LEFT_MS
        )


def _outage(chance: random.Random, rig: VirtualRig, day: Day) -> None:
    kind = chance.choice(OUTAGES)
    dest = chance.choice(sorted(set(rig.uids.values())))
    from_ms = chance.uniform(4000.0, 9000.0)
    lasts_ms = chance.uniform(1500.0, 6000.0) * (2.0 if kind == "flapping" else 1.0)
    to_ms = from_ms + lasts_ms
    if any(each.destination == dest for each in day.outages):
        return  # one for a destination: what comes of two at once is nobody's fault
    day.outages.append(Outage(kind, dest, from_ms, to_ms))
    for uid in [uid for uid, of in rig.uids.items() if of == dest]:
        _strike(rig, kind, uid, from_ms, to_ms)


def _strike(rig: VirtualRig, kind: str, uid: str, from_ms: float, to_ms: float) -> None:
    after, told = rig.stage.after, rig.endpoints
    if kind == "refusing":
        for name in rig.senders:
            after(from_ms, rig.link(name, uid).refuse)
            after(to_ms, rig.link(name, uid).open)
    elif kind == "flaky":
        after(from_ms, told.flaky.__setitem__, uid, 0.4)
        after(to_ms, told.flaky.pop, uid, None)
    elif kind == "waiting":
        after(from_ms, told.shut_until.__setitem__, uid, to_ms)
    else:
        status, step_ms = (0 if kind == "silent" else 500), (FLAP_MS if kind == "flapping" else 1e9)
        at_ms = from_ms
        while at_ms < to_ms:
            after(at_ms, told.status.__setitem__, uid, status)
            after(min(to_ms, at_ms + step_ms), told.status.pop, uid, None)
            at_ms += 2.0 * step_ms


def _trouble(chance: random.Random, rig: VirtualRig, day: Day) -> None:
    kind, at_ms = chance.choice(TROUBLES), chance.uniform(2500.0, 14_000.0)
    lasts_ms = chance.uniform(300.0, 4000.0)
    name, keeper, after = chance.choice(rig.senders), chance.choice(rig.keepers), rig.stage.after
    day.troubles.append(kind)

    def restarted(each: str, rest_ms: float) -> None:
        after(at_ms, rig[each].kill)
        after(at_ms + rest_ms, rig[each].start)

    def cut(each: str, of: str, way: str) -> None:
        after(at_ms, rig.link(of, f"{each}:ops").cut, way)
        after(at_ms + lasts_ms, rig.link(of, f"{each}:ops").open)

    troubles: dict[str, Callable[[], object]] = {
        "sender killed": lambda: restarted(name, 300.0),
        "all killed": lambda: [restarted(each, 300.0) for each in rig.senders],
        "sender stopped": lambda: (
            after(at_ms, rig[name].stand, True),
            after(at_ms + lasts_ms, rig[name].stand, False),
        ),
        "sender termed": lambda: (after(at_ms, rig[name].term), after(at_ms + 3800.0, rig[name].start)),
        "wall clock": lambda: after(at_ms, setattr, rig[name], "stepped_ms", chance.choice((-3.6e6, 3.6e6))),
        "keeper cut": lambda: [cut(each, keeper, "both") for each in rig.senders],
        "keeper cut one way": lambda: [
            cut(name, each, chance.choice(("there", "back"))) for each in rig.keepers
        ],
        "keepers halved": lambda: [
            cut(each, of, "both")
            for place, each in enumerate(rig.senders)
            for number, of in enumerate(rig.keepers)
            if place % 2 != number % 2
        ],
        "keeper killed": lambda: restarted(keeper, lasts_ms),
        "all keepers killed": lambda: [restarted(each, lasts_ms) for each in rig.keepers],
        "sender's network": lambda: [
            (after(at_ms, rig.link(name, uid).cut), after(at_ms + lasts_ms, rig.link(name, uid).open))
            for uid in rig.uids
        ],
    }
    troubles[kind]()


def _lie(rig: VirtualRig) -> None:
    """The first sender says of every endpoint that its calls fail, for as long as the day lasts."""
    rig.stage.after(LIES_EVERY_MS, _lie, rig)
    node = rig[rig.senders[0]].node
    if node is not None and rig[rig.senders[0]].runs:
        for uid in rig.uids:
            node._audit.observed(uid, SignalKind.FAILED, 0.0)


# What came of it


def play_day(seed: int, most_senders: int, play: str) -> Day:
    day, rig = draw(seed, most_senders, play)
    rig.start()
    rig.run(DAY_S)
    for process in rig.processes.values():
        process.stand(False)
        process.start()
    rig.run(REST_S)
    judge(day, rig)
    return day


def judge(day: Day, rig: VirtualRig) -> None:
    by_doc: dict[str, list[Seen]] = defaultdict(list)
    for each in rig.endpoints.calls:
        by_doc[each.doc].append(each)
    day.calls = len(rig.endpoints.calls)
    day.wasted = sum(each.status != 200 for each in rig.endpoints.calls)
    _judge_ends(day, rig, by_doc)
    _judge_waits(day, rig)
    _judge_returns(day, rig)
    for name, process in rig.processes.items():
        if process.faults:
            day.breaches["a fault of the program"].append(f"{name}: {process.faults[0]}")


def _judge_ends(day: Day, rig: VirtualRig, by_doc: dict[str, list[Seen]]) -> None:
    """One end for each document, in its time; what may not run twice is not tried after it may have run."""
    for doc, handed in rig.clients.handed.items():
        calls = by_doc.get(doc, [])
        served = [each for each in calls if each.status == 200]
        in_time = any(each.at_ms <= handed.at_ms + LEFT_MS for each in served)
        day.served += in_time
        if calls and max(each.at_ms for each in calls) > handed.at_ms + LEFT_MS + SLACK_MS:
            day.breaches["called after its time"].append(doc)
        if handed.kind == "pay" and sum(each.status != 429 for each in calls) > 1:
            day.breaches["a binding document may have run twice"].append(doc)
        if handed.status == 202 and not served and doc not in rig.list.notices:
            day.breaches["no end"].append(doc)


def _judge_waits(day: Day, rig: VirtualRig) -> None:
    """No sender calls an endpoint again before the wait is over that it told that sender. What was on its way
    when the sender was told does not count."""
    told: dict[tuple[str, str], float] = {}  # when the sender was first told
    shut = {each.destination: each for each in day.outages if each.kind == "waiting"}
    for each in rig.endpoints.calls:
        key, outage = (each.sender, each.endpoint), shut.get(rig.uids[each.endpoint])
        if outage is None or each.at_ms >= outage.to_ms:
            continue
        if key in told and each.at_ms > told[key]:
            day.breaches["a told wait was not kept"].append(f"{each.doc} at {each.at_ms:.0f}")
        if each.status == 429:
            told.setdefault(key, each.at_ms + rig.endpoints.answer_ms + 2.0 * DELAY_MS + 1.0)


def _judge_returns(day: Day, rig: VirtualRig) -> None:
    """A destination that is back gets no more calls in its time than a cold one bears."""
    for outage in day.outages:
        if outage.kind in ("flaky", "flapping"):
            continue
        back_ms, usual = outage.to_ms, day.rates[outage.destination]
        calls = [
            each.at_ms
            for each in rig.endpoints.calls
            if rig.uids[each.endpoint] == outage.destination
            and back_ms <= each.at_ms < back_ms + COLD.warm_up_ms
        ]
        worst = max((_load(calls, at_ms, back_ms, usual) for at_ms in calls), default=0.0)
        day.load = max(day.load, worst)
        if worst > 1.0:
            day.breaches["a cold destination was pushed over"].append(f"{outage.kind} {worst:.2f}")


def _load(calls: list[float], at_ms: float, back_ms: float, usual: float) -> float:
    """Calls in a cold destination's time up to then, as a share of what it bears."""
    share = COLD.share + (1.0 - COLD.share) * (at_ms - back_ms) / COLD.warm_up_ms
    allowed = usual * GROUP.capacity * COLD.multiple * share * COLD.for_ms / 1000.0
    return sum(at_ms - COLD.for_ms < each <= at_ms for each in calls) / most_calls(allowed)


# Many days


def plays_of(most: int, seed: int) -> dict[str, Day]:
    logging.disable(logging.CRITICAL)
    try:
        return {play: play_day(seed, most, play) for play in PLAYS}
    except Exception as problem:  # a day that cannot be played is told with its seed
        problem.add_note(f"seed {seed}")
        raise


def new_breaches(days: dict[str, Day]) -> list[str]:
    """Rules broken with signals, or with a liar, that the same day without signals keeps."""
    return [
        f"seed {day.seed}, {play}: {rule}: {found[0]} ({len(found)}); {day.senders} senders, "
        f"{[each.kind for each in day.outages]}, {day.troubles}"
        for play, day in days.items()
        for rule, found in day.breaches.items()
        if rule not in days[WITHOUT].breaches
    ]


@dataclass
class Totals:
    """Over all days of one play."""

    documents: int = 0
    served: int = 0
    calls: int = 0
    wasted: int = 0
    worst_load: float = 0.0
    broken: Counter = field(default_factory=Counter)

    def add(self, day: Day) -> None:
        self.documents += day.documents
        self.served += day.served
        self.calls += day.calls
        self.wasted += day.wasted
        self.worst_load = max(self.worst_load, day.load)
        self.broken.update(day.breaches.keys())

    def text(self) -> str:
        broken = ", ".join(f"{rule}: {many} days" for rule, many in sorted(self.broken.items()))
        return (
            f"served {self.served / self.documents:.4f} of {self.documents:,}; calls {self.calls:,}, "
            f"not served {self.wasted:,}; load after a return at worst {self.worst_load:.2f}; "
            f"broken: {broken or 'none'}"
        )


def main() -> int:
    told = argparse.ArgumentParser(description=__doc__)
    told.add_argument("--first", type=int, default=0)
    told.add_argument("--seeds", type=int, default=300)
    told.add_argument("--most", type=int, default=30)
    told = told.parse_args()
    began, totals, fresh = time.monotonic(), {play: Totals() for play in PLAYS}, []
    costs = []  # of a liar, as a share of what is served with signals
    with ProcessPoolExecutor() as pool:
        seeds = range(told.first, told.first + told.seeds)
        for days in pool.map(functools.partial(plays_of, told.most), seeds, chunksize=2):
            for play, day in days.items():
                totals[play].add(day)
            fresh += new_breaches(days)
            costs.append(1.0 - days[LIAR].served / days[WITH].served)
    for each in fresh:
        print(each)
    for play, total in totals.items():
        print(f"{play}: {total.text()}")
    worst = max(range(len(costs)), key=costs.__getitem__)
    print(
        f"a liar costs {sum(costs) / len(costs):.4f} of what is served, {costs[worst]:.4f} on the worst day "
        f"(seed {told.first + worst}); {told.seeds} days, {time.monotonic() - began:.0f} s"
    )
    return 1 if fresh else 0


if __name__ == "__main__":
    sys.exit(main())
