"""Every destination lost one endpoint of three, as where a region is cut off: the decisions alone, simulated
clock.

x: senders that share the target's events. The endpoint that is lost is silent. It is tried with documents
that come, each of which then needs a repeat to an endpoint that serves; what the bucket of the pair and the
share of all do not pay for is given up, though two endpoints serve. PLAYED destinations, all of them
struck; counts over SEEDS draws.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from functools import partial

from benchmarks.capacity.alone import SILENT, Alone, Seen
from benchmarks.capacity.repeats import SEEDS, added

NAME = "repeats-partly"
PLAYED, ENDPOINTS = 20, 3
MINUTES = ((0, 5), (5, 15), (15, 30))  # since the loss
POINTS, SMALL = (20, 60, 120, 240, 550), (120, 240, 480)
FIGURES = {
    f"minutes {since} to {until}: {what}": unit
    for since, until in MINUTES
    for what, unit in {
        "given up": "of the documents",
        "repeats for each first try": "over all destinations",
        "bucket empty": "of the destinations",
        "share of all holds repeats back": "of the time",
        "calls to the lost endpoint": "a document",
    }.items()
}


def play(senders: int, seed: int) -> list[Seen]:
    """One for each stretch of MINUTES."""
    alone = Alone(senders, 1.0, SILENT, seed, PLAYED, ENDPOINTS)
    alone.run(max(30.0, 4.0 * alone.pair_ms / 1000.0))
    return [alone.run((until - since) * 60.0, True) for since, until in MINUTES]


def point(senders: int, seeds: int = SEEDS, pool: ProcessPoolExecutor | None = None) -> dict[str, float]:
    parts, got = [*(pool.map if pool else map)(partial(play, senders), range(seeds))], {}
    for at, (since, until) in enumerate(MINUTES):
        seen = added([part[at] for part in parts])
        got.update(
            (f"minutes {since} to {until}: {what}", value)
            for what, value in (
                ("given up", seen.given_up / seen.documents),
                ("repeats for each first try", seen.all_repeats / seen.all_firsts),
                ("bucket empty", seen.bucket / seen.looks / seen.down),
                ("share of all holds repeats back", seen.share / seen.looks),
                ("calls to the lost endpoint", seen.sent / seen.documents),
            )
        )
    return got


def measure(points: tuple[int, ...]) -> list[tuple[float, dict[str, float]]]:
    with ProcessPoolExecutor(SEEDS) as pool:
        return [(float(each), point(each, SEEDS, pool)) for each in points]
