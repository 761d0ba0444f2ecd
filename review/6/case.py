"""An upgrade while discovery is down: does the sender keep to the list that it was told?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as st  # noqa: E402

GRACE_S = 2.0 + 0.05  # drainGraceMs
DOWN_S = 8.0
EVERY_S = 0.05  # between two documents: 20 a second
DESTINATIONS = (1, 2, 3, 4)


async def hand_in(world: st.World, waiting: list[asyncio.Task], sent: dict[str, int]) -> None:
    """Hands documents in at a steady rate, until it is cancelled."""

    async def one(destination: int) -> None:
        doc_id, _ = await world.submit("recipe-sync", destination, 12000)
        sent[doc_id] = destination

    number = 0
    while True:
        waiting.append(asyncio.create_task(one(DESTINATIONS[number % 4])))
        number += 1
        await asyncio.sleep(EVERY_S)


async def replace_endpoints(world: st.World) -> dict[str, float]:
    """Replaces s-1 by a new endpoint elsewhere; another partner's starts at its address."""
    gone = world.endpoints[0]
    new = await world.add_endpoint(gone.destination)
    world.agent.change(new.entry())
    await asyncio.sleep(0.5)
    told = world.agent.change(gone.entry("leaving"))
    await asyncio.sleep(1.0)
    world.agent.change(gone.entry("left"))
    await asyncio.sleep(1.0)
    gone.close()
    await asyncio.sleep(0.5)
    other = await world.add_endpoint(2, gone.port)
    world.record.line(f"{other.uid} of destination 2 starts at the address that {gone.uid} had")
    world.agent.change(other.entry())
    return {gone.uid: told}


async def case(world: st.World) -> list[str]:
    """Plays the case."""
    await world.open(*DESTINATIONS)
    old = await world.start("old")
    waiting: list[asyncio.Task] = []
    sent: dict[str, int] = {}
    handing = asyncio.create_task(hand_in(world, waiting, sent))
    await asyncio.sleep(1.0)
    gone = await replace_endpoints(world)
    await asyncio.sleep(4.0)
    if st.TROUBLE:
        world.agent.down = True
        world.record.line("discovery is down")
    down_until = world.record.now() + DOWN_S
    await asyncio.sleep(0.5)
    new = await world.start("new")
    await world.replace(old, new)
    await asyncio.sleep(down_until - world.record.now())
    world.agent.down = False
    world.record.line("discovery is back")
    await asyncio.sleep(3.0)
    handing.cancel()
    await asyncio.gather(*waiting)
    if len(world.taken) < 100:
        raise st.CannotRunError(f"only {len(world.taken)} documents were taken on")
    broken = []
    for endpoint in world.endpoints:
        late = [at for at, _ in endpoint.calls if at > gone.get(endpoint.uid, float("inf")) + GRACE_S]
        if late:
            broken.append(f"{endpoint.uid} is gone, and got {len(late)} calls, the first at {late[0]:.3f}")
        foreign = [(at, each) for at, each in endpoint.calls if sent.get(each, 0) != endpoint.destination]
        if foreign:
            at, doc_id = foreign[0]
            broken.append(
                f"{endpoint.uid} of destination {endpoint.destination} got {len(foreign)} documents "
                f"of another destination, the first one {doc_id} at {at:.3f}"
            )
    return broken


st.main(case, __file__)
