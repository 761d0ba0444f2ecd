"""What a document costs, by the destinations that documents are spread over: 1,018 a second are offered.

One real sender for each point, one endpoint a destination, answered at once; documents go to destinations
drawn evenly (seeded). Twice: with as many destinations listed as they are spread over, and with all that the
target names listed, so that the price of the list and that of the connections can be told apart. No more than
UNDER_WAY documents are unanswered at a time: where the sender does not bear what is offered, the loop is a
closed one, and `taken on a second` is below 1,018.
"""

from __future__ import annotations

import asyncio
import random

from benchmarks.capacity import stand

NAME = "spread"
POINTS = (20, 200, 2_000, 36_000)
SMALL = (20, 100, 400, 800)
OFFERED = 1018.0  # a second, of one sender at the target
UNDER_WAY = 256  # documents without an answer at most: the sender sets the pace then
SECONDS, FIRST = 4.0, 800  # measured so long, after so many documents: the pool is as it stays
LAST = 1_500  # documents, with all listed
SMALL_MANY = 300
FIGURES = {
    f"{figure}{listed}": unit
    for listed in ("", ", all listed")
    for figure, unit in {
        "documents a CPU second": "1/s",
        "CPU a document": "s",
        "taken on a second": "1/s",
        "connections opened a document": "1",
        "connections open": "connections",
        "connections of an endpoint, all senders": "connections",
        "connections opened at an endpoint a second, all senders": "1/s",
    }.items()
}


async def point(spread: int, listed: int, many: int, first: int, rate: float) -> dict[str, float]:
    """first: documents before those measured, so that the pool is as it stays."""
    draw = random.Random(7)
    async with stand.Stand(listed) as world:
        await world.start()
        await world.settled()
        await world.offer([draw.randrange(1, spread + 1) for _ in range(first)], 64, rate, UNDER_WAY)
        await world.done()
        cpu_s, opened = world.cpu_s(), world.opened
        took_s = await world.offer([draw.randrange(1, spread + 1) for _ in range(many)], 64, rate, UNDER_WAY)
        await world.done()
        spent = world.cpu_s() - cpu_s
        if world.answered[202] != first + many or world.calls < first + many:
            raise RuntimeError(f"{first + many} documents, {world.calls} calls: {dict(world.answered)}")
        dialled = (world.opened - opened) / many
        return {
            "documents a CPU second": many / spent,
            "CPU a document": spent / many,
            "taken on a second": many / took_s,
            "connections opened a document": dialled,
            "connections open": world.open,
            "connections of an endpoint, all senders": world.open * stand.SENDERS / spread,
            "connections opened at an endpoint a second, all senders": dialled
            * OFFERED
            * stand.SENDERS
            / spread,
        }


def measure(points: tuple[int, ...]) -> list[tuple[float, dict[str, float]]]:
    full = points == POINTS
    many, first, rate = (int(OFFERED * SECONDS), FIRST, OFFERED) if full else (SMALL_MANY, SMALL_MANY, 0.0)
    rows = []
    for spread in points:
        measured = asyncio.run(point(spread, spread, many, first, rate))
        every = (
            measured
            if spread == points[-1]
            else asyncio.run(point(spread, points[-1], LAST if full else many, first, rate))
        )
        rows.append((spread, {**measured, **{f"{name}, all listed": value for name, value in every.items()}}))
    return rows
