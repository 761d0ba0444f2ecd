"""An upgrade while one endpoint of four hangs: does each message that was taken on get its end in time?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as st  # noqa: E402

EXCUSE_S = 1.5  # the longest excuse of the pages: nothing is overdue so long after the SIGTERM
EVERY_S = 0.025  # between two documents: under 40 a second, a quarter of them for each destination
SLOTS = 40  # some twice what the documents would keep busy at full load, of which this is half
ANSWER_S = 0.3  # an endpoint's usual time
DESTINATIONS = (1, 2, 3, 4)
ORDER_MS = 12000  # from the hand-in to the end of an order's time; each third document is one
TIMES_MS = (1800, 1900, 2000, 2100, 2200)  # the same of the others, in turn
OVERLAP_S = 1.0  # from the new process's yes, with which the hang begins, to the SIGTERM
HANG_S = 8.0


async def hand_in(world: st.World, waiting: list[asyncio.Task]) -> None:
    """Hands documents in at a steady rate, until it is cancelled."""
    number = 0
    while True:
        destination = DESTINATIONS[number % 4]
        turn = number // 4
        order = turn % 3 == 0
        kind, time_ms = ("basket-order", ORDER_MS) if order else ("recipe-sync", TIMES_MS[turn % 5])
        waiting.append(asyncio.create_task(world.submit(kind, destination, time_ms)))
        number += 1
        await asyncio.sleep(EVERY_S)


async def hang(world: st.World) -> None:
    """Lets the first endpoint take calls and answer none for a while."""
    endpoint = world.endpoints[0]
    usual, endpoint.answer = endpoint.answer, lambda doc_id: None
    world.record.line(f"{endpoint.uid} hangs from now on")
    await asyncio.sleep(HANG_S)
    endpoint.answer = usual
    world.record.line(f"{endpoint.uid} answers again")


async def case(world: st.World) -> list[str]:
    """Plays the case."""
    world.settings["domain"]["callsOut"] = SLOTS
    await world.open(*DESTINATIONS)
    for endpoint in world.endpoints:
        endpoint.answer = lambda doc_id: (ANSWER_S, 200, {})
    old = await world.start("old")
    waiting: list[asyncio.Task] = []
    handing = asyncio.create_task(hand_in(world, waiting))
    await asyncio.sleep(4.0)
    new = await world.start("new")
    hanging = asyncio.create_task(hang(world)) if st.TROUBLE else None
    await asyncio.sleep(OVERLAP_S)
    told = await world.replace(old, new)
    await asyncio.sleep(1.0)
    handing.cancel()
    await asyncio.gather(*waiting)
    if hanging:
        await hanging
    await asyncio.sleep(4.0)
    if len(world.taken) < 100:
        raise st.CannotRunError(f"only {len(world.taken)} documents were taken on")
    broken = []
    for doc_id, up in world.taken.items():
        due = up + st.GRACE_S
        if due >= told:
            due = max(due, told + EXCUSE_S)
        ended = world.ended_at(doc_id)
        if ended > due and due < world.record.now():
            broken.append(f"{doc_id}: time up at {up:.3f}, its end due by {due:.3f}, it came at {ended:.3f}")
    return broken


st.main(case, __file__)
