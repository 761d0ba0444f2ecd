"""Two events that cross, in the order that goes wrong, every time: see docs/notes/crossings.md.

A peer waits for a condition before it goes on; nothing here rests on how fast anything is."""

import asyncio

import pytest
from fake import OK_200, Shut, World, answer


def play(folder, story, **words):
    async def whole():
        (folder / "state").mkdir()
        async with World(folder / "state", **words) as world:
            await asyncio.wait_for(story(world), 20.0)
    asyncio.run(whole())


# A connection that comes up late: what was decided before may not be written after

@pytest.mark.parametrize("meanwhile", ["wait", "leaving", "left", "moved"])
def test_what_happens_while_a_connection_comes_up_keeps_its_call_from_being_written(tmp_path, meanwhile):
    async def story(world):
        shut, said = Shut(), asyncio.get_running_loop().create_future()
        world.answers = [said]
        both = [world.entry(), world.entry(uid="s-2", place=shut.place)]
        world.say({"rev": 8, "all": True, "targets": both})
        await listed(world, 2)
        for doc in ("d1", "d2"):                # one to each endpoint
            assert (await world.hand_in(doc))[0] == 202
        assert await world.until(lambda: world.calls)
        await shut.dialled(world)
        if meanwhile == "wait":
            said.set_result(answer(429, X_Come_Back_Ms="2500"))
            assert await world.until(lambda: '["wait","s-1"' in world.on_disk())
        else:
            place = shut.place if meanwhile != "moved" else "127.0.0.1:9"
            state = meanwhile if meanwhile != "moved" else "active"
            world.say({"rev": 9, "all": False, "targets": [
                world.entry(state, "s-2", place), *(world.entry("leaving", uid) for uid in ("s-3", "s-4"))]})
            await listed(world, 3 if meanwhile == "left" else 4)
        await shut.open()
        assert await world.until(lambda: shut.heard) and shut.heard[0] == b""
        if meanwhile != "wait":
            said.set_result(OK_200)
        assert await world.until(lambda: world.on_disk().count('["done"') == 2, 8.0)
    play(tmp_path, story, changes={"settings__limits__dialTimeoutMs": 5000.0})


async def listed(world, count):
    """Waits until the sender knows so many endpoints."""
    while f"pool_size={count}\n" not in (await world.operator("GET", "/metrics"))[1]:
        await asyncio.sleep(0.01)
