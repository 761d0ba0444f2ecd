"""A restart while the list names two endpoints at one address: whose documents come to the new one?"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as st  # noqa: E402

EVERY_S = 0.05  # between two documents: 20 a second
LATE_S = 10.0  # from the end of an endpoint's process until discovery tells that it is gone
ADDED_S = 1.0  # from the start of an endpoint until discovery lists it
ORDERS = 4  # each fourth document is a basket-order
DOWN_S = 0.6  # from the end of the sender's process to its next start


async def hand_in(world: st.World, waiting: list[asyncio.Task]) -> None:
    """Hands documents in at a steady rate, until it is cancelled."""
    number = 0
    while True:
        kind = "recipe-sync" if number // 2 % ORDERS else "basket-order"
        waiting.append(asyncio.create_task(world.submit(kind, 1 + number % 2, 12000)))
        number += 1
        await asyncio.sleep(EVERY_S)


async def case(world: st.World) -> list[str]:
    """Plays the case."""
    await world.open(1, 1, 2)
    process = await world.start("first")
    waiting: list[asyncio.Task] = []
    handing = asyncio.create_task(hand_in(world, waiting))
    await asyncio.sleep(2.0)
    gone = world.endpoints[0]
    gone.close()
    ended = world.record.line(f"the process of {gone.uid} of destination 1 ends")
    await asyncio.sleep(0.5)
    other = await world.add_endpoint(2, gone.port)
    other.boot_ms = int(time.time() * 1000.0)
    other.answer = lambda doc_id: (0.1, 200 if world.sent[doc_id] == 2 else 400, {})
    world.record.line(f"{other.uid} of destination 2 starts at its address")
    await asyncio.sleep(ADDED_S)
    listed = world.agent.change(other.entry())
    await asyncio.sleep(1.0)
    if st.TROUBLE:
        world.record.line("SIGTERM to the first process")
        process.signal(signal.SIGTERM)
        if not await process.ended(st.KILL_AFTER_S):
            process.signal(signal.SIGKILL)
            await process.ended(5.0)
        await asyncio.sleep(DOWN_S)
        await world.start("second")
    await asyncio.sleep(ended + LATE_S - world.record.now())
    world.agent.change(gone.entry("left"))
    await asyncio.sleep(4.0)
    handing.cancel()
    await asyncio.gather(*waiting)
    if len(world.taken) < 100:
        raise st.CannotRunError(f"only {len(world.taken)} documents were taken on")
    foreign = [(at, each) for at, each in other.calls if world.sent[each] == 1 and at > listed + 0.5]
    for at, doc_id in foreign:
        world.record.line(f"foreign: {doc_id} of destination 1 at {at:.3f}")
    if not foreign:
        return []
    first = foreign[0][0]
    return [
        f"{other.uid} of destination 2 got {len(foreign)} documents of destination 1, from {first:.3f} on"
    ]


st.main(case, __file__)
