"""What a sender that has nothing to do costs, by the destinations listed, with one and three endpoints each.

One real sender for each point. A line of the list may have 4 MiB (MAX_LIST_BYTES): a longer list is told in
parts, as a whole list and changes to it, which is kinder than what becomes of one that is told whole; `notes`
says which list told in one line was refused.
"""

from __future__ import annotations

import asyncio

from benchmarks.capacity import stand
from birchstack.net.discovery import MAX_LIST_BYTES

NAME = "listed"
POINTS = (1_000, 4_000, 12_000, 36_000)
SMALL = (250, 500, 1_000, 2_000)
EACH = {1: "one endpoint", 3: "three endpoints"}
IDLE_S, SMALL_IDLE_S = 4.0, 0.5
FIGURES = {
    f"{figure}, {each}": unit
    for each in EACH.values()
    for figure, unit in {
        "memory": "bytes",
        "peak memory": "bytes",
        "list": "bytes",
        "CPU until ready": "s",
        "time until ready": "s",
        "idle CPU": "cores",
    }.items()
}


async def point(listed: int, each: int, idle_s: float) -> dict[str, float]:
    async with stand.Stand(listed, each) as world:
        wall_s = await world.start()
        cpu_s, more_s = await world.settled()  # what of the list came in parts behind the first
        idle = await world.idle_share(idle_s)
        memory = world.memory()
        known = (await world.figures())["balancer.pool_size"]
        if known != listed * each:
            raise RuntimeError(f"{known:g} of {listed * each} endpoints are known")
        measured = {
            "memory": memory["resident"],
            "peak memory": memory["peak"],
            "idle CPU": idle,
            "list": len(stand.text(1, True, world.targets)),
            "CPU until ready": cpu_s,
            "time until ready": wall_s + more_s,
        }
        return {f"{figure}, {EACH[each]}": value for figure, value in measured.items()}


async def accepts(listed: int, each: int) -> bool:
    """Whether a list told whole, in one line, is taken."""
    async with stand.Stand(listed, each, part=listed * each) as world:
        await world.start()
        await world.settled()
        known = (await world.figures())["balancer.pool_size"]
        if not known and not any("list too long" in line for line in world.log):
            raise RuntimeError(f"no list, and no reason: {world.log[-3:]}")
        return known == listed * each


def notes(points: tuple[int, ...]) -> dict:
    """Of lists told in one line: which were taken; most: by the bytes that a line may have."""

    async def tried() -> dict[str, bool]:
        return {
            f"{listed} destinations, {EACH[each]}": await accepts(listed, each)
            for listed in points[-2:]
            for each in EACH
        }

    entry = len(stand.text(1, True, stand.whole_list(1000, 1, ["127.0.7.1:23000"]))) / 1000.0
    return {
        "most bytes of a line": MAX_LIST_BYTES,
        "bytes an endpoint": entry,
        "most endpoints": MAX_LIST_BYTES // entry,
        "taken in one line": asyncio.run(tried()),
    }


def measure(points: tuple[int, ...]) -> list[tuple[float, dict[str, float]]]:
    idle_s = IDLE_S if points == POINTS else SMALL_IDLE_S

    async def both(listed: int) -> dict[str, float]:
        one, three = await asyncio.gather(*(point(listed, each, idle_s) for each in EACH))
        return {**one, **three}

    return [(listed, asyncio.run(both(listed))) for listed in points]
