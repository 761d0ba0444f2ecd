"""Two endpoints are taken out by hand during an upgrade, one at each process: do both stay out?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as st  # noqa: E402

GRACE_S = 1.0 + 2.0 + 0.05  # from the operator's yes: it counts 1 s later, and binds after drainGraceMs
EVERY_S = 0.05  # between two documents: 20 a second
AFTER_S = 8.0  # how long documents are handed in after the upgrade


async def hand_in(world: st.World, waiting: list[asyncio.Task]) -> None:
    """Hands documents in at a steady rate, until it is cancelled."""
    while True:
        waiting.append(asyncio.create_task(world.submit("recipe-sync", 1, 12000)))
        await asyncio.sleep(EVERY_S)


async def out_by_hand(world: st.World, process: st.Process, uid: str, outs: dict[str, float]) -> None:
    """Takes an endpoint out, as an operator does."""
    if await world.operate(process, "POST", f"/endpoints/disable?id={uid}") != 200:
        raise st.CannotRunError(f"{uid} was not taken out")
    outs[uid] = world.record.now()


async def case(world: st.World) -> list[str]:
    """Plays the case."""
    await world.open(1, 1, 1, 1)
    old = await world.start("old")
    waiting: list[asyncio.Task] = []
    handing = asyncio.create_task(hand_in(world, waiting))
    await asyncio.sleep(1.0)
    outs: dict[str, float] = {}
    if st.TROUBLE:
        new = await world.start("new")
        await out_by_hand(world, old, "s-1", outs)
        await out_by_hand(world, new, "s-2", outs)
        await world.replace(old, new)
    else:
        await out_by_hand(world, old, "s-1", outs)
        await out_by_hand(world, old, "s-2", outs)
    await asyncio.sleep(AFTER_S)
    handing.cancel()
    await asyncio.gather(*waiting)
    broken = []
    for endpoint in world.endpoints:
        late = [at for at, _ in endpoint.calls if at > outs.get(endpoint.uid, float("inf")) + GRACE_S]
        if late:
            broken.append(f"{endpoint.uid} out by hand at {outs[endpoint.uid]:.3f}: {len(late)} calls after")
    if len(world.taken) < 50:
        raise st.CannotRunError(f"only {len(world.taken)} documents were taken on")
    return broken


st.main(case, __file__)
