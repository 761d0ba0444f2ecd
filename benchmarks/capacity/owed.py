"""What documents cost that are owed to destinations that are down, by their number and by those down.

One real sender for each point; every destination answers 503, so nothing is delivered. Documents held
(limits.maxOpen), transmissions of one (limits.sendCap) and disk are set so high that they do not bind. Rows
with x = documents owed have one destination down; those with x = destinations down have OVER documents owed.
Intake is what the last LAST documents cost: what one more costs with so many owed already.
"""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

from benchmarks.capacity import stand

NAME = "owed"
POINTS = {"owed": (1_000, 3_000, 10_000, 20_000), "down": (1, 40, 400, 1_692)}
SMALL = {"owed": (100, 200, 400, 800), "down": (1, 10, 20, 40)}
OVER, SMALL_OVER = 4_000, 200  # documents owed where it is the destinations that differ
LAST, IDLE_S, SMALL_IDLE_S = 500, 3.0, 0.3
AT_ONCE = 4  # senders, each with a process of clients and endpoints beside it
BESIDE = {"owed": "documents owed", "down": "destinations down"}
FIGURES = {
    f"{figure}, by {by}": unit
    for by in BESIDE.values()
    for figure, unit in {
        "memory": "bytes",
        "memory after a restart": "bytes",
        "disk": "bytes",
        "disk in blocks": "bytes",
        "handed in again": "requests",
        "files": "files",
        "CPU while owed": "cores",
        "calls while owed": "1/s",
        "time of intake": "s",
        "CPU of intake": "s",
        "CPU of one more": "s",
        "CPU of a restart": "s",
        "time of a restart": "s",
    }.items()
}


async def point(owed: int, down: int, idle_s: float) -> dict[str, float]:
    async with stand.Stand(down, status=stand.REFUSES) as world:
        await world.start()
        await world.settled()
        before, cpu_s = world.memory()["resident"], world.cpu_s()
        last = min(LAST, owed // 4)
        each = [1 + at % down for at in range(owed)]
        took_s = await world.offer(each[:-last])
        one_s = world.cpu_s()
        took_s += await world.offer(each[-last:])
        one_s, cpu_s = (world.cpu_s() - one_s) / last, world.cpu_s() - cpu_s
        again = sum(many for status, many in world.answered.items() if status != 202)
        held = (await world.figures())["balancer.active"]
        if held != owed or world.answered[202] != owed:
            raise RuntimeError(f"{held:g} of {owed} held: {dict(world.answered)}")
        await asyncio.sleep(idle_s)  # the calls of the intake have their answers
        calls = world.calls
        idle = await world.idle_share(idle_s)
        calls, memory = (world.calls - calls) / idle_s, world.memory()["resident"]
        written, blocks, files = world.disk()
        await world.kill()
        ready_s = await world.start()
        again_s = world.cpu_s()
        if (await world.figures())["balancer.active"] != owed:
            raise RuntimeError("the restart lost some")
        await asyncio.sleep(idle_s)
        return {
            "memory": memory - before,
            "memory after a restart": world.memory()["resident"] - before,
            "disk": written,
            "disk in blocks": blocks,
            "files": files,
            "CPU while owed": idle,
            "calls while owed": calls,
            "time of intake": took_s,
            "CPU of intake": cpu_s,
            "handed in again": again,
            "CPU of one more": one_s,
            "CPU of a restart": again_s,
            "time of a restart": ready_s,
        }


def _point(words: tuple[int, int, float]) -> dict[str, float]:
    return asyncio.run(point(*words))


@contextlib.contextmanager
def _pool() -> Iterator[ProcessPoolExecutor]:
    with ProcessPoolExecutor(AT_ONCE, multiprocessing.get_context("spawn")) as pool:
        yield pool


def measure(points: dict[str, tuple[int, ...]]) -> list[tuple[float, dict[str, float]]]:
    full = points == POINTS
    over, idle_s = (OVER, IDLE_S) if full else (SMALL_OVER, SMALL_IDLE_S)
    asked = [("owed", owed, (owed, 1, idle_s)) for owed in points["owed"]]
    asked += [("down", down, (over, down, idle_s)) for down in points["down"]]
    with _pool() as pool:  # the longest first
        asked.sort(key=lambda each: -each[2][0])
        told = [*pool.map(_point, [words for _, _, words in asked])]
    rows = [
        (by, x, {f"{name}, by {BESIDE[by]}": value for name, value in measured.items()})
        for (by, x, _), measured in zip(asked, told, strict=True)
    ]
    return [(x, measured) for by, x, measured in sorted(rows, key=lambda row: (row[0] != "owed", row[1]))]
