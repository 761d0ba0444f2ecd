"""How many calls a destination that is back and cold gets from all senders, in virtual time (simulated).

    python -m benchmarks.cold_ramp [--first N] [--seeds N] [--senders 3,10,20,30] [--shape alone,ten,wide]
                                   [--ends drawn|accept] [--restarting third|together] [--account]

Each seed draws a day: documents a second of each sender, even or uneven senders, an outage (refusing, silent,
or refusing with a told wait, whose end all see at once) and whether some senders restart in the ramp. Each
size of the fleet plays each seed. After the return every window of the time in which a cold destination falls
is counted, ending with a call; trials before the return count in it. N is what it may get then: the multiple
of what it usually gets, times its share of warmth; the bound is N + 2 x root of N + 2. Nothing falls here, so
that each day is counted to its end. --ends accept: restarted senders are killed right behind a write of their
ledger, by which a document is taken on. --restarting together: all senders at one moment, not a third of
them at different ones. --account: the calls of the worst window of each day over the bound, by the kind of
call, which add up to that window. A window is "by the told" if over two thirds of its calls come from senders
that saw the outage: the rule on cold endpoints counts these alone.
"""

import argparse
import logging
import random
import time
from collections import Counter, defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from birchstack.emulator.destinations import most_calls
from birchstack.emulator.scenario import Clients, Cold, Group, Scenario, SenderSide, Trouble
from birchstack.emulator.virtual import VirtualDay

SHAPES = {"alone": (1, 1, 1), "ten": (10, 2, 2), "wide": (1, 10, 1)}  # destinations, endpoints each, struck
KINDS = ("refusing", "silent", "shut_told")
TRIAL, FOUND, FIRST, LATER, TOLD, UNTOLD = CALLS = (
    "before the return",
    "found by a restart",
    "first new after a restart",
    "later new after a restart",
    "of senders that go on and saw the outage",
    "of senders that go on and saw nothing of it",
)
AT, AFTER, FOR_MS, MULTIPLE = 10.0, 10.0, 2000.0, 1.5


@dataclass
class Day:
    seed: int
    senders: int
    kind: str
    uneven: float
    restarts: bool
    windows: int  # of all destinations that came back
    over: int
    by_told: int  # of those over, by the told
    worst: float  # calls over the bound, the worst window
    where: float  # milliseconds after the return
    served: float  # value delivered over value asked for
    drain_ms: list[float]  # of each document that waited at the return: until it was delivered
    left: int  # of those, never delivered
    bound: float  # of the worst window, in calls
    calls: Counter[str]  # of the worst window, by the kind of call


def drawn(seed, senders, shape, ends="drawn", restarting="third"):
    """The day of a seed: the same trouble and rates for each size of the fleet."""
    draw = random.Random(f"cold ramp {seed}")
    many, endpoints, struck = SHAPES[shape]
    each = 0.3 * 10.0 ** draw.uniform(0.0, 1.0)  # documents a second of one sender for one destination
    kind, uneven = KINDS[seed % len(KINDS)], (0.0, 1.0)[seed // len(KINDS) % 2]
    seconds, restarts = round(draw.uniform(4.0, 10.0), 1), draw.random() < 0.4
    troubles = [Trouble(kind=kind, at=AT, seconds=seconds, destinations=tuple(range(struck)))]
    if restarts:
        numbers = draw.sample(range(30), 30)
        numbers = [number for number in numbers if number < senders]
        numbers = numbers if restarting == "together" else numbers[: max(1, senders // 3)]
        together_at = AT + seconds + random.Random(f"together {seed}").uniform(-1.0, 4.0)
        for number in numbers:
            kind = draw.choice(("sigterm", "kill"))
            kind = kind if ends == "drawn" else "kill_after_write"
            at = AT + seconds + draw.uniform(-1.0, 4.0)
            at = together_at if restarting == "together" else at
            troubles.append(Trouble(kind=kind, at=at, senders=(number,)))
    return Scenario(
        name=f"cold-ramp-{seed}",
        seconds=AT + seconds + AFTER,
        senders=senders,
        troubles=tuple(troubles),
        types=Scenario().types[:3],
        cold=Cold(multiple=1e9),
        sender=SenderSide(disk_mb=64.0),
        destinations=(Group(count=many, endpoints=endpoints, places=64, queue=256),),
        clients=Clients(per_second=each * senders * many, uneven=uneven),
    )


def kinds_of_calls(judge, calls, back, saw):
    """The kind of each call to one destination, of CALLS; calls in the order of time. saw: the senders that
    saw its outage."""
    kinds, known = [], set()
    for call in calls:
        lives = [life for life in judge.lives[call.sender] if life.began <= call.at]
        if call.at < back:
            kinds.append(TRIAL)
        elif len(lives) < 2:
            kinds.append(TOLD if call.sender in saw else UNTOLD)
        elif call.doc.submitted_at < lives[-1].began:
            kinds.append(FOUND)
        else:
            kinds.append(LATER if (call.sender, len(lives)) in known else FIRST)
            known.add((call.sender, len(lives)))
    return kinds


def play(words):
    seed, senders, shape, *how = words
    logging.disable(logging.CRITICAL)
    scenario = drawn(seed, senders, shape, *how)
    played = VirtualDay(scenario, seed)
    result = played.play()
    trouble = scenario.troubles[0]
    back = played.world._load_started_ms + (trouble.at + trouble.seconds) * 1000.0
    usual = scenario.clients.per_second / len(played.world.destinations)
    windows, over, by_told, worst, where, drain, left = 0, 0, 0, 0.0, 0.0, [], 0
    bound, kinds = 0.0, Counter()
    for number in trouble.destinations:
        docs = [doc for doc in played.judge.docs.values() if doc.destination == number]
        seen = sorted((call for doc in docs for call in doc.calls), key=lambda call: call.at)
        saw = played.world.destinations[number].observers
        calls, kind_of = [call.at for call in seen], kinds_of_calls(played.judge, seen, back, saw)
        first = 0
        for last, at in enumerate(calls):
            while calls[first] <= at - FOR_MS:
                first += 1
            warm = (at - back) / scenario.cold.warm_up_ms
            if 0.0 <= warm < 1.0:
                share = scenario.cold.share + (1.0 - scenario.cold.share) * warm
                most = most_calls(MULTIPLE * usual * share * FOR_MS / 1000.0)
                part = (last - first + 1) / most
                windows, over = windows + 1, over + (part > 1.0)
                told = sum(call.sender in saw for call in seen[first : last + 1])
                by_told += part > 1.0 and 3 * told > 2 * (last - first + 1)
                if part > worst:
                    worst, where = part, at - back
                    bound, kinds = most, Counter(kind_of[first : last + 1])
        waited = {doc.logical for doc in docs if doc.submitted_at < back}
        waited -= {doc.logical for doc in docs if doc.delivered_at is not None and doc.delivered_at < back}
        at = {doc.logical: doc.delivered_at for doc in docs if doc.delivered_at is not None}
        drain += [at[each] - back for each in waited if each in at]
        left += sum(each not in at for each in waited)
    return Day(
        seed,
        senders,
        trouble.kind,
        scenario.clients.uneven,
        len(scenario.troubles) > 1,
        windows,
        over,
        by_told,
        worst,
        where,
        result.share,
        drain,
        left,
        bound,
        kinds,
    )


def account(days):
    """One line a kind of call: the worst windows of the days over the bound, added up."""
    over = [day for day in days if day.worst > 1.0]
    total = sum((day.calls for day in over), Counter())
    lines = [f"| {kind} | {total[kind]} |" for kind in CALLS]
    lines.append(f"| all calls of {len(over)} windows | {total.total()} |")
    lines.append(f"| their bound | {sum(day.bound for day in over):.1f} |")
    return ["", "| kind of call | calls |", "| --- | --- |", *lines]


def row(name, days):
    worst = max(days, key=lambda day: day.worst)
    waits = sorted(each for day in days for each in day.drain_ms) or [0.0]
    return (
        f"| {name} | {len(days)} | {sum(day.worst > 1.0 for day in days)} | "
        f"{sum(day.by_told > 0 for day in days)} | "
        f"{sum(day.over for day in days)} of {sum(day.windows for day in days):,} | "
        f"{worst.worst:.2f} (seed {worst.seed}, {worst.where / 1000.0:.1f} s) | "
        f"{sum(day.served for day in days) / len(days):.4f} | {waits[len(waits) // 2] / 1000.0:.2f} s, "
        f"{waits[len(waits) * 95 // 100] / 1000.0:.2f} s | {sum(day.left for day in days)} |"
    )


def main():
    told = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    told.add_argument("--first", type=int, default=0)
    told.add_argument("--seeds", type=int, default=30)
    told.add_argument("--senders", default="3,10,20,30")
    told.add_argument("--shape", default="alone", help="several by commas")
    told.add_argument("--cores", type=int, default=None)
    told.add_argument("--days", action="store_true", help="each day over the bound, too")
    told.add_argument("--ends", choices=("drawn", "accept"), default="drawn", help="of restarted senders")
    told.add_argument("--restarting", choices=("third", "together"), default="third")
    told.add_argument("--account", action="store_true", help="calls of the worst windows by kind")
    told = told.parse_args()
    began = time.monotonic()
    sizes = [int(each) for each in told.senders.split(",")]
    print(
        "| days | played | over the bound | by the told | windows over | worst window over the bound | "
        "value served | documents that waited: median, 95th of 100 | of those not delivered |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(told.cores) as pool:
        for shape in told.shape.split(","):
            groups, days = defaultdict(list), []
            for day in pool.map(
                play,
                [
                    (seed, size, shape, told.ends, told.restarting)
                    for size in reversed(sizes)
                    for seed in range(told.first, told.first + told.seeds)
                ],
            ):
                days.append(day)
            for day in sorted(days, key=lambda day: (day.senders, day.seed)):
                for name in (
                    f"{day.senders} senders",
                    day.kind,
                    "uneven" if day.uneven else "even",
                    "restarts" if day.restarts else "no restart",
                    "all",
                ):
                    groups[name].append(day)
            for name, each in groups.items():
                print(row(f"{shape}: {name}", each), flush=True)
            if told.account:
                restarted = [day for day in days if day.restarts]
                print("\n".join(account(restarted)), flush=True)
            for day in days if told.days else ():
                if day.worst > 1.0:
                    print(
                        f"seed {day.seed}: {day.senders} senders, {day.kind}, uneven {day.uneven}, "
                        f"restarts {day.restarts}: {day.worst:.2f} at {day.where:.0f} ms, {day.over} over, "
                        f"{day.by_told} of them by the told"
                    )
    print(f"\n{time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
