"""Trials and repeats over the fleet, by senders: each one's decisions alone, with a simulated clock.

x: senders that share the target's events (15.6 a second to each destination; a sender of 550 meets one
destination once in 35 s), 4.7% of the destinations down. "At the onset" is the time of two documents a pair
after a destination went down (4 s at least), "then" the time after it. A figure for each way of failing;
all of it simulated, counts over SEEDS draws.
"""

from __future__ import annotations

import dataclasses
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from benchmarks.capacity.alone import DESTINATIONS, DOWN, PLAYED, WAYS, Alone, Seen

NAME = "repeats"
SEEDS, FEW, FEW_SENDERS = 4, 43, 8  # so few destinations where a sender has much to do for each
POINTS, SMALL = (2, 6, 20, 60, 180, 550), (50, 100, 200)
FIGURES = {
    f"{way}, {what}": unit
    for way in WAYS
    for what, unit in {
        "onset: to one destination down": "calls a second of all senders",
        "onset: repeats for each first try": "over all destinations",
        "onset: share of all holds repeats back": "of the time",
        "then: to one destination down": "calls a second of all senders",
        "then: of these paid repeats and trials": "calls a second of all senders",
        "then: repeats for each first try": "over all destinations",
        "then: bucket empty": "of the destinations down",
        "then: known as ill": "of the destinations down",
    }.items()
}


def play(senders: int, way: str, share: float, played: int, seed: int) -> tuple[Seen, Seen]:
    """The onset, and the time after it."""
    alone = Alone(senders, share, way, seed, played)
    pair_s = alone.pair_ms / 1000.0
    alone.run(max(10.0, 3.0 * pair_s))
    return alone.run(max(4.0, 2.0 * pair_s), True), alone.run(max(30.0, 30.0 * pair_s), True)


def added(parts: list[Seen]) -> Seen:
    """Several senders' counts as one sender's over a longer time."""
    whole = Seen(
        **{each.name: sum(getattr(part, each.name) for part in parts) for each in dataclasses.fields(Seen)}
    )
    whole.down = parts[0].down
    return whole


def figures(onset: Seen, then: Seen, senders: int) -> dict[str, float]:
    return {
        "onset: to one destination down": onset.each_down(onset.sent, senders),
        "onset: repeats for each first try": onset.all_repeats / onset.all_firsts,
        "onset: share of all holds repeats back": onset.share / onset.looks,
        "then: to one destination down": then.each_down(then.sent, senders),
        "then: of these paid repeats and trials": then.each_down(then.trials + then.repeats, senders),
        "then: repeats for each first try": then.all_repeats / then.all_firsts,
        "then: bucket empty": then.bucket / then.looks / then.down,
        "then: known as ill": then.ill / then.looks / then.down,
    }


def point(
    senders: int, share: float, seeds: int = SEEDS, pool: ProcessPoolExecutor | None = None
) -> dict[str, float]:
    played, got = FEW if senders < FEW_SENDERS else PLAYED, {}
    for way in WAYS:
        run = partial(play, senders, way, share, played)
        parts = [*(pool.map if pool else map)(run, range(seeds))]
        onset, then = (added([part[at] for part in parts]) for at in range(2))
        got.update((f"{way}, {what}", value) for what, value in figures(onset, then, senders).items())
    return got


def measure(points: tuple[int, ...]) -> list[tuple[float, dict[str, float]]]:
    with ProcessPoolExecutor(SEEDS) as pool:
        return [(float(each), point(each, DOWN / DESTINATIONS, SEEDS, pool)) for each in points]
