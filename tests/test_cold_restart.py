"""Senders that restart while a destination warms up continue its warm-up.

Real processes, and one endpoint that fails when its capacity is exceeded."""

import asyncio
import random

import pytest

from birchstack.emulator.rig.parties import ColdReturn
from birchstack.emulator.rig.real import Rig

WARM_UP_MS, SENDERS, PER_SECOND = 8000.0, 6, 24.0
BEFORE_S, OUTAGE_S, RESTART_WITHIN_S, AFTER_S = 4.0, 3.0, 1.0, 2.5
NO_LIST = {"rev": 0, "all": True, "targets": []}


def play(folder, story):
    async def whole():
        rules = {"warmUpMs": WARM_UP_MS}
        words = {"senders": SENDERS, "keepers": 0, "endpoints": 1, "destinations": 1, "fleet": None}
        async with Rig(folder, rules=rules, **words) as rig:
            await asyncio.wait_for(story(rig), 60.0)

    asyncio.run(whole())


async def outage(rig):
    """The endpoint asks all senders to wait until it is back, and comes back cold."""
    await asyncio.sleep(BEFORE_S)
    back_ms = rig.stage.now_ms() + OUTAGE_S * 1000.0
    rig.endpoints.shut_until["e1"] = back_ms
    rig.endpoints.cold["e1"] = ColdReturn(back_ms, PER_SECOND * 1.5, WARM_UP_MS)
    await asyncio.sleep(OUTAGE_S)
    return rig.endpoints.cold["e1"]


async def kill(rig, name):
    await rig[name].kill()
    await rig[name].start()


async def term(rig, name):
    await rig[name].term()
    await rig[name].start()


async def upgrade(rig, name):
    """Replaces the process by a second one that was started beside it."""
    beside = rig.add_sender(f"{name}-next", of=name)
    await beside.start()
    await rig[name].term()
    await rig.until(lambda: "holds the folder" in beside.text(), 8.0, "the state folder is handed over")


async def kill_without_a_list(rig, name):
    """Restarts it without a connection to the list service, so that it knows no endpoint for a while."""
    await rig[name].kill()
    rig.link(name, "list").cut()
    await rig.add_sender(name, known=NO_LIST).start()
    await asyncio.sleep(0.5)
    rig.link(name, "list").open()


@pytest.mark.parametrize("end", [kill, kill_without_a_list, term, upgrade])
def test_senders_that_restart_during_a_warm_up_do_not_overload_the_endpoint(tmp_path, end):
    async def story(rig):
        rig.load(PER_SECOND)
        cold = await outage(rig)
        chance = random.Random(end.__name__)

        async def restart(name):
            await asyncio.sleep(chance.uniform(0.0, RESTART_WITHIN_S))
            await end(rig, name)

        await asyncio.gather(*(restart(name) for name in rig.senders))
        await asyncio.sleep(AFTER_S)
        assert cold.fallen_ms is None, f"failed {cold.fallen_ms - cold.back_ms:.0f} ms after its return"
        assert cold.peak_load > 0.05, "the warm-up continues"
        await rig.quiet()

        def ended():
            delivered = {each.doc for each in rig.endpoints.calls if each.status == 200}
            return delivered | set(rig.list.notices) >= rig.clients.taken()

        await rig.until(ended, 20.0, "all accepted documents have ended")

    play(tmp_path, story)
