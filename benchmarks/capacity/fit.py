"""A line through what was measured, how far it may be off, and whether it is a line at all.

Pure: figures in, figures out. A line says nothing beyond what was measured where it bends.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

BEND = 0.05  # a point so far from the line, as a share of the range and of the largest: it bends
NO_SLOPE = 3.0  # a slope of fewer standard errors is none, where the figure does not vary by half


@dataclass(frozen=True, slots=True)
class Line:
    """slope: the figure for each one more of x; error: the slope's standard error; growth: the exponent of
    the figure over x (0 flat, 1 linear, 2 quadratic), None where one is not above 0; to: the largest x."""

    slope: float
    intercept: float
    error: float
    bend: bool
    growth: float | None
    to: float

    def at(self, x: float) -> float:
        return self.intercept + self.slope * x

    def reaches(self, bound: float) -> float:
        """The x at which the figure meets its bound; inf where it never does."""
        return (bound - self.intercept) / self.slope if self.slope > 0.0 else math.inf


def _least_squares(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float, float]:
    many = len(xs)
    mean_x, mean_y = math.fsum(xs) / many, math.fsum(ys) / many
    spread = math.fsum((x - mean_x) ** 2 for x in xs)
    slope = math.fsum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread
    intercept = mean_y - slope * mean_x
    left = math.fsum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    return slope, intercept, math.sqrt(left / max(1, many - 2) / spread)


def growth(xs: Sequence[float], ys: Sequence[float]) -> float | None:
    """The exponent, by a line through the logarithms."""
    if min(*xs, *ys) <= 0.0:
        return None
    return _least_squares([math.log(x) for x in xs], [math.log(y) for y in ys])[0]


def line(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Raises ValueError with fewer than three points, or where all stand at one x."""
    if len(xs) != len(ys) or len(xs) < 3 or len(set(xs)) < 2:
        raise ValueError(f"no line through {len(xs)} points")
    slope, intercept, error = _least_squares(xs, ys)
    off = max(abs(y - intercept - slope * x) for x, y in zip(xs, ys, strict=True))
    spread, most = max(ys) - min(ys), max(map(abs, ys))
    flat = abs(slope) < NO_SLOPE * error and spread < most / 2.0  # noise about a constant
    bend = off > BEND * spread and off > BEND * most and not flat
    return Line(slope, intercept, error, bend, growth(xs, ys), max(xs))
