"""Trials and repeats over the fleet, by destinations down: 550 senders, each one's decisions alone, simulated
clock.

x: destinations down of 36,000 (1,692 is the target's usual). The words are those of `repeats`.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor

from benchmarks.capacity import repeats
from benchmarks.capacity.alone import DESTINATIONS

NAME, SENDERS = "repeats-down", 550
POINTS, SMALL = (540, 1692, 3600, 7200, 14400), (1800, 3600, 7200)
FIGURES = repeats.FIGURES


def measure(points: tuple[int, ...]) -> list[tuple[float, dict[str, float]]]:
    with ProcessPoolExecutor(repeats.SEEDS) as pool:
        return [
            (float(each), repeats.point(SENDERS, each / DESTINATIONS, repeats.SEEDS, pool)) for each in points
        ]
