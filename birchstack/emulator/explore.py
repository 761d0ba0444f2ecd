"""Search: many seeds with drawn troubles across cores, and each breach shrunk to the least that still breaks.

Owns the pool of workers, the count and time used up, and the files of what was found. Must never judge. The
same seeds bring the same breaches whatever the number of cores.
"""

from __future__ import annotations

import os
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, ProcessPoolExecutor, wait
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from birchstack.emulator.scenario import KINDS, Scenario, draw, dump
from birchstack.emulator.virtual import play

DAY_S = 60  # of real time for one day; more is a standstill, and a breach
SHRINKS = 60  # days played to shrink one breach, at most


@dataclass(slots=True)
class Outcome:
    seed: int
    share: float
    rules: dict[str, int]
    kinds: tuple[str, ...]
    seconds: float
    failed: str = ""  # an exception of the emulator or a standstill
    scenario: Scenario | None = None  # the shrunk one
    text: str = ""
    path: str = ""


@dataclass(slots=True)
class Found:
    played: int = 0
    seconds: float = 0.0  # of virtual time
    spent: float = 0.0  # of real time
    shares: list[float] = field(default_factory=list)
    rules: Counter = field(default_factory=Counter)  # days on which each rule was broken
    kinds: Counter = field(default_factory=Counter)  # days with each kind of trouble
    breaches: list[Outcome] = field(default_factory=list)


def _days(scenario: Scenario, seed: int) -> Counter:
    return Counter(breach.rule for breach in play(scenario, seed).breaches)


def _cut(scenario: Scenario) -> list[Scenario]:
    """Scenarios that are a little less: without a trouble, shorter, with shorter troubles."""
    replace, troubles = msgspec.structs.replace, scenario.troubles
    less = [replace(scenario, troubles=troubles[:at] + troubles[at + 1 :]) for at in range(len(troubles))]
    if scenario.seconds > 4.0:
        seconds = round(scenario.seconds * 0.7, 1)
        less.append(
            replace(scenario, seconds=seconds, troubles=tuple(each for each in troubles if each.at < seconds))
        )
    for at, trouble in enumerate(troubles):
        if trouble.seconds > 0.5:
            shorter = replace(trouble, seconds=round(trouble.seconds / 2.0, 2))
            less.append(replace(scenario, troubles=troubles[:at] + (shorter,) + troubles[at + 1 :]))
    return less


def shrink(
    scenario: Scenario, seed: int, rule: str, days: Callable[[Scenario, int], Counter] = _days
) -> Scenario:
    """The least scenario found that still breaks the same rule with the same seed, within SHRINKS days."""
    left, tried = SHRINKS, True
    while tried and left > 0:
        tried = False
        for less in _cut(scenario):
            left -= 1
            if rule in days(less, seed):
                scenario, tried = less, True
                break
            if left <= 0:
                break
    return scenario


def one(seed: int, base: Scenario | None, most: int, kinds: tuple[str, ...], shrinks: bool) -> Outcome:
    """Plays one drawn day; in a worker."""
    import signal

    def standstill(*words: object) -> None:
        raise TimeoutError(f"a day takes more than {DAY_S} s: time stands still")

    scenario = draw(seed, base, most, kinds)
    named = tuple(each.kind for each in scenario.troubles)
    signal.signal(signal.SIGALRM, standstill)
    signal.alarm(DAY_S)
    try:
        result = play(scenario, seed)
    except Exception as problem:
        return Outcome(
            seed, 0.0, {"emulator": 1}, named, 0.0, f"{type(problem).__name__}: {problem}", scenario
        )
    finally:
        signal.alarm(0)
    outcome = Outcome(
        seed, result.share, dict(Counter(breach.rule for breach in result.breaches)), named, result.seconds
    )
    if result.breaches:
        small = shrink(scenario, seed, result.breaches[0].rule) if shrinks else scenario
        again = play(small, seed)
        again.repeat = f"birchstack emulate FOLDER/seed-{seed}.toml --seed {seed}"
        outcome.scenario, outcome.text = small, again.text_of_breaches()
    return outcome


def explore(
    first: int,
    count: int,
    seconds: float,
    base: Scenario | None = None,
    most: int = 3,
    kinds: tuple[str, ...] = KINDS,
    cores: int | None = None,
    folder: Path | None = None,
    shrinks: bool = True,
    progress: Callable[[Found, int], None] | None = None,
) -> Found:
    """Plays seeds first, first+1, ... until the count or the time is used up.

    Breaches are shrunk and written into the folder as scenario files; each Outcome has the command that plays
    it again."""
    began, found, seed = time.monotonic(), Found(), first
    with ProcessPoolExecutor(cores or os.cpu_count()) as pool:
        running = set()
        while True:
            while (
                len(running) < 2 * (cores or os.cpu_count() or 1)
                and seed < first + count
                and time.monotonic() - began < seconds
            ):
                running.add(pool.submit(one, seed, base, most, kinds, shrinks))
                seed += 1
            if not running:
                break
            done, running = wait(running, return_when=FIRST_COMPLETED)
            for each in done:
                _count(found, each.result(), folder)
                if progress:
                    progress(found, count)
    found.spent = time.monotonic() - began
    found.breaches.sort(key=lambda each: each.seed)
    return found


def _count(found: Found, outcome: Outcome, folder: Path | None) -> None:
    found.played += 1
    found.seconds += outcome.seconds
    found.shares.append(outcome.share)
    found.rules.update(outcome.rules.keys())
    found.kinds.update(set(outcome.kinds))
    if outcome.rules:
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
            path = folder / f"seed-{outcome.seed}.toml"
            path.write_bytes(dump(outcome.scenario))
            outcome.path = f"birchstack emulate {path} --seed {outcome.seed}"
            outcome.text = outcome.text.replace(f"FOLDER/seed-{outcome.seed}.toml", str(path))
        found.breaches.append(outcome)
