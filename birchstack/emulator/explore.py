"""Randomized search for rule violations: runs many seeds with drawn faults on all cores.

Each failing case is shrunk to the smallest scenario found that still fails. The same seeds give the same
violations whatever the number of cores.
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

RUN_TIMEOUT_S = 60  # real time of one run; a longer one counts as a hang and is reported as a violation
MAX_SHRINK_RUNS = 60  # runs to shrink one failing case


@dataclass(slots=True)
class Outcome:
    """The result of one run with drawn faults."""

    seed: int
    share: float
    rules: dict[str, int]
    kinds: tuple[str, ...]
    seconds: float
    failed: str = ""  # an exception of the emulator, or a hang
    scenario: Scenario | None = None  # the scenario that fails, shrunk if requested
    text: str = ""
    path: str = ""


@dataclass(slots=True)
class Found:
    """Totals of a search, and the runs that violated a rule."""

    played: int = 0
    seconds: float = 0.0  # virtual time
    elapsed_s: float = 0.0  # real time
    shares: list[float] = field(default_factory=list)
    rules: Counter = field(default_factory=Counter)  # runs that violated each rule
    kinds: Counter = field(default_factory=Counter)  # runs with each kind of fault
    breaches: list[Outcome] = field(default_factory=list)


def _count_violations(scenario: Scenario, seed: int) -> Counter:
    """Runs a scenario and returns the number of violations by rule."""
    return Counter(breach.rule for breach in play(scenario, seed).breaches)


def _smaller_scenarios(scenario: Scenario) -> list[Scenario]:
    """Returns reduced scenarios: with one fault less, shorter, or with one fault shorter."""
    replace = msgspec.structs.replace
    faults = scenario.troubles
    smaller = [
        replace(scenario, troubles=faults[:index] + faults[index + 1 :]) for index in range(len(faults))
    ]
    if scenario.seconds > 4.0:
        seconds = round(scenario.seconds * 0.7, 1)
        smaller.append(
            replace(scenario, seconds=seconds, troubles=tuple(each for each in faults if each.at < seconds))
        )
    for index, fault in enumerate(faults):
        if fault.seconds > 0.5:
            shorter = replace(fault, seconds=round(fault.seconds / 2.0, 2))
            smaller.append(replace(scenario, troubles=faults[:index] + (shorter,) + faults[index + 1 :]))
    return smaller


def shrink(
    scenario: Scenario,
    seed: int,
    rule: str,
    count_violations: Callable[[Scenario, int], Counter] = _count_violations,
) -> Scenario:
    """Returns the smallest scenario found that still violates the rule, within MAX_SHRINK_RUNS runs."""
    runs_left = MAX_SHRINK_RUNS
    reduced = True
    while reduced and runs_left > 0:
        reduced = False
        for smaller in _smaller_scenarios(scenario):
            runs_left -= 1
            if rule in count_violations(smaller, seed):
                scenario = smaller
                reduced = True
                break
            if runs_left <= 0:
                break
    return scenario


def run_one(
    seed: int, base: Scenario | None, max_faults: int, kinds: tuple[str, ...], shrinks: bool
) -> Outcome:
    """Runs one scenario with faults drawn from the seed, in a worker process; shrinks it if it fails."""
    import signal

    def raise_timeout(*arguments: object) -> None:
        raise TimeoutError(f"a day takes more than {RUN_TIMEOUT_S} s: time stands still")

    scenario = draw(seed, base, max_faults, kinds)
    drawn_kinds = tuple(each.kind for each in scenario.troubles)
    signal.signal(signal.SIGALRM, raise_timeout)
    signal.alarm(RUN_TIMEOUT_S)
    try:
        result = play(scenario, seed)
    except Exception as problem:
        return Outcome(
            seed, 0.0, {"emulator": 1}, drawn_kinds, 0.0, f"{type(problem).__name__}: {problem}", scenario
        )
    finally:
        signal.alarm(0)
    outcome = Outcome(
        seed,
        result.share,
        dict(Counter(breach.rule for breach in result.breaches)),
        drawn_kinds,
        result.seconds,
    )
    if result.breaches:
        smallest = shrink(scenario, seed, result.breaches[0].rule) if shrinks else scenario
        repeated = play(smallest, seed)
        repeated.repeat_command = f"birchstack emulate FOLDER/seed-{seed}.toml --seed {seed}"
        outcome.scenario = smallest
        outcome.text = repeated.text_of_breaches()
    return outcome


def explore(
    first: int,
    count: int,
    seconds: float,
    base: Scenario | None = None,
    max_faults: int = 3,
    kinds: tuple[str, ...] = KINDS,
    cores: int | None = None,
    folder: Path | None = None,
    shrinks: bool = True,
    progress: Callable[[Found, int], None] | None = None,
) -> Found:
    """Runs seeds first, first+1, ... until the count or the time is used up.

    Scenarios that violate a rule are shrunk and written to the folder; each Outcome has the command that
    repeats its run.
    """
    began = time.monotonic()
    found = Found()
    seed = first
    with ProcessPoolExecutor(cores or os.cpu_count()) as pool:
        running = set()
        while True:
            while (
                len(running) < 2 * (cores or os.cpu_count() or 1)
                and seed < first + count
                and time.monotonic() - began < seconds
            ):
                running.add(pool.submit(run_one, seed, base, max_faults, kinds, shrinks))
                seed += 1
            if not running:
                break
            done, running = wait(running, return_when=FIRST_COMPLETED)
            for each in done:
                _add_outcome(found, each.result(), folder)
                if progress:
                    progress(found, count)
    found.elapsed_s = time.monotonic() - began
    found.breaches.sort(key=lambda each: each.seed)
    return found


def _add_outcome(found: Found, outcome: Outcome, folder: Path | None) -> None:
    """Adds an outcome to the totals and writes its scenario if it violated a rule."""
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
