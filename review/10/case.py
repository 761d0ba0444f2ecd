"""An upgrade while much is held: does the folder that lasts stay within its limit?"""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as st  # noqa: E402

BLOCK = 512  # each file counts in whole blocks of this size
BODY = bytes(range(256)) * 240  # 61,440 bytes; a body holds at most 65,536
EVERY_S = 0.01  # between two documents: 100 a second at most, of 120 that a sender may receive
DESTINATIONS = (1, 2, 3, 4)  # a quarter of the documents for each; those for the first have long bodies
BEFORE, DURING = 300, 200  # documents handed in before the upgrade, and from the new process's yes on
ORDERS = 4  # each fourth document is a basket-order


def folder_bytes(folder: Path) -> int:
    """Returns what the files in a folder count together."""
    total = 0
    for entry in os.scandir(folder):
        try:
            total += -(-entry.stat().st_size // BLOCK) * BLOCK
        except FileNotFoundError:  # removed meanwhile
            continue
    return total


async def watch(world: st.World, sizes: list[tuple[float, int]]) -> None:
    """Measures the folder twenty times a second."""
    while True:
        sizes.append((world.record.now(), folder_bytes(world.state)))
        await asyncio.sleep(0.05)


async def hand_in(world: st.World, count: int) -> None:
    """Hands documents in at a steady rate."""
    waiting = []
    for number in range(count):
        kind = "recipe-sync" if number // 4 % ORDERS else "basket-order"
        destination = DESTINATIONS[number % 4]
        body = BODY if destination == DESTINATIONS[0] else b"a document"
        waiting.append(asyncio.create_task(world.submit(kind, destination, 12000, body)))
        await asyncio.sleep(EVERY_S)
    await asyncio.gather(*waiting)


async def case(world: st.World) -> list[str]:
    """Plays the case."""
    limit = world.limits["disk_mb"] * 1_000_000
    await world.open(*DESTINATIONS)
    old = await world.start("old")
    world.endpoints[0].answer = lambda doc_id: None  # it hangs until the end, for some 9 s
    sizes: list[tuple[float, int]] = []
    watching = asyncio.create_task(watch(world, sizes))
    await hand_in(world, BEFORE)
    before = folder_bytes(world.state)
    world.record.line(f"{len(world.taken)} documents taken on, the folder has {before} bytes")
    if before < limit // 2:
        raise st.CannotRunError("too little is held")
    if st.TROUBLE:
        new = await world.start("new")
        await asyncio.gather(world.replace(old, new), hand_in(world, DURING))
    else:
        await hand_in(world, DURING)
    world.record.line(f"{len(world.taken)} documents taken on, now {folder_bytes(world.state)} bytes")
    await asyncio.sleep(1.0)
    watching.cancel()
    when, most = max(sizes, key=lambda each: each[1])
    world.record.line(f"the folder had at most {most} bytes, of {limit}, at {when:.3f}")
    over = [at for at, size in sizes if size > limit]
    if not over:
        return []
    return [f"{most} bytes in the folder, {most - limit} above disk_mb, from {over[0]:.3f} to {over[-1]:.3f}"]


st.main(case, __file__)
