"""What a restart finds taken on and untried is still tried: real processes, ended with documents in line."""

import asyncio
import contextlib
import os
import signal

import pytest
from fake import RESET, SILENT, Shut, World, answer, post, read_message

MANY = 200
ROOM = {"settings__limits__maxOpen": 400, "settings__domain__callsOut": 8}
ALL = {"rev": 9, "all": True}


def play(folder, story, **words):
    async def whole():
        (folder / "state").mkdir()
        async with World(folder / "state", changes=dict(ROOM), **words) as world:
            await asyncio.wait_for(story(world), 30.0)

    asyncio.run(whole())


async def take_on(world, names, kind="sync"):
    """Hands documents in, one after another on one connection."""
    reader, writer = await world.client()
    for name in names:
        writer.write(post(name, kind, left=19000))
        assert (await read_message(reader))[0].startswith("HTTP/1.1 202")
    writer.close()


async def held_untried(world):
    """Many documents that no endpoint was listed for; some of them binding."""
    names = [f"d{number}" for number in range(MANY)]
    await take_on(world, names[:150])
    await take_on(world, names[150:], "pay")
    assert not world.calls
    return names


async def all_tried(world, names, ends=0):
    assert await world.until(lambda: len({doc for doc, *_ in world.calls}) == len(names), 12.0)
    assert sorted(doc for doc, *_ in world.calls) == sorted(names), "each once"
    assert await world.until(lambda: len(world.notices) == ends) and len(world.notices) == ends


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
@pytest.mark.parametrize("known", ["empty", "old", "draining"])
@pytest.mark.parametrize("silent", [False, True])
def test_all_that_was_untried_is_tried_whatever_list_was_known(tmp_path, number, known, silent):
    async def story(world):
        names = await held_untried(world)
        await world.kill(number)
        entries = {
            "empty": [],
            "old": [world.entry(uid="s-0", place="127.0.0.1:9")],
            "draining": [world.entry("leaving", "s-0"), world.entry("leaving", "s-1")],
        }[known]
        if silent and known == "old":
            entries = [world.entry("left", "s-0")]
        world.changes["known"] = {"rev": 8, "all": True, "targets": entries}
        whole = {**ALL, "targets": [world.entry()]}
        world.lines = [] if silent else [whole]
        await world.start()
        if silent:  # it serves all the same, and has given up nothing
            await take_on(world, ["new"])
            names.append("new")
            assert not world.notices and not world.calls
            world.say(whole)
        await all_tried(world, names)

    play(tmp_path, story, known=False)


def told_to_wait(world):
    world.answers = [answer(429, X_Come_Back_Ms="2000")]


def failed(world):
    world.answers = [RESET] * 3 + [SILENT] * 20


@pytest.mark.parametrize("before", [told_to_wait, failed])
def test_a_wait_or_failures_before_the_end_put_calls_off_and_give_up_nothing(tmp_path, before):
    async def story(world):
        before(world)
        world.say({**ALL, "targets": [world.entry()]})
        await take_on(world, ["first"])
        assert before is failed or await world.until(lambda: '["wait"' in world.on_disk())
        names = [f"d{number}" for number in range(MANY)]
        await take_on(world, names)
        assert before is told_to_wait or await world.until(lambda: world.on_disk().count('["back"') >= 3)
        await world.kill(signal.SIGKILL)
        untried = [name for name in names if name not in [doc for doc, *_ in world.calls]]
        assert len(untried) > MANY // 2
        world.answers, world.lines = [], [{**ALL, "targets": [world.entry()]}]
        await world.start()
        assert await world.until(lambda: {*untried} <= {doc for doc, *_ in world.calls}, 12.0)
        assert not world.notices

    play(tmp_path, story, known=False)


def test_with_less_room_and_fewer_slots_and_without_one_type_the_others_are_tried(tmp_path):
    async def story(world):
        names = await held_untried(world)
        await world.kill(signal.SIGKILL)
        services = [
            {
                "name": "sync",
                "effect": "safe",
                "objectiveMs": 2000.0,
                "deadlineMs": 20000.0,
                "importance": 0,
                "lateShare": 0.4,
            }
        ]
        world.changes.update(
            {"settings__limits__maxOpen": 20, "settings__domain__callsOut": 1, "settings__services": services}
        )
        world.lines = [{**ALL, "targets": [world.entry()]}]
        await world.start()
        await all_tried(world, names[:150], ends=50)
        assert {each["result"] for each in world.notices} == {"dead"}
        assert world.log().count('reason="its type is in the settings no more"') >= 1

    play(tmp_path, story, known=False)


def services(*types):
    return {
        "settings__services": [
            {"name": name, "effect": effect, "objectiveMs": expiry, "deadlineMs": expiry, "importance": value}
            for name, effect, expiry, value in types
        ]
    }


@pytest.mark.parametrize(
    "settings",
    [
        {"settings__domain__callsOut": 1},
        {"settings__limits__maxOpen": 1},
        {"settings__limits__sendCap": 1},
        {"settings__nInstances": 900},
        {"settings__limits__retryAfter": False},
        {"settings__limits__connIdleMs": 1},
        services(("sync", "safe", 900.0, 1.0)),
        services(("sync", "unsafe", 900.0, 0.01)),
        services(("sync", "keyed", 900.0, 3.0)),
        services(("sync", "safe", 900.0, 0), ("pay", "keyed", 0.5, 0)),
    ],
)
def test_settings_that_are_legal_and_unlike_any_start_and_serve(tmp_path, settings):
    async def story(world):
        for number in range(5):
            assert (await world.hand_in(f"d{number}", left=900))[0] == 202
            assert await world.until(lambda number=number: len(world.calls) == number + 1)
        assert await world.until(lambda: world.on_disk().count('["done"') == 5) and not world.notices

    (tmp_path / "state").mkdir()

    async def whole():
        async with World(tmp_path / "state", changes=settings) as world:
            await asyncio.wait_for(story(world), 20.0)

    asyncio.run(whole())


def test_a_torn_last_line_and_a_second_kill_during_the_start_lose_nothing_else(tmp_path):
    async def story(world):
        names = await held_untried(world)
        await world.kill(signal.SIGKILL)
        ledger = world.folder / "ledger"
        os.truncate(ledger, ledger.stat().st_size - 5)
        for _ in range(3):  # killed as soon as it has read the ledger
            recovered = world.log().count("event=recovered")
            with contextlib.suppress(AssertionError):
                task = asyncio.ensure_future(world.start())
                while world.log().count("event=recovered") == recovered:
                    await asyncio.sleep(0.001)
                task.cancel()
            await world.kill(signal.SIGKILL)
        world.lines = [{**ALL, "targets": [world.entry()]}]
        await world.start()
        await all_tried(world, names[:-1])

    play(tmp_path, story, known=False)


def test_sigterm_before_the_first_list_ends_cleanly_and_loses_nothing(tmp_path):
    async def story(world):
        names = await held_untried(world)
        await world.kill(signal.SIGKILL)
        asked = len(world.asked)
        task = asyncio.ensure_future(world.start())
        while len(world.asked) == asked:  # it waits for what discovery says
            await asyncio.sleep(0.001)
        assert await world.kill(signal.SIGTERM) == 0
        task.cancel()
        world.lines = [{**ALL, "targets": [world.entry()]}]
        await world.start()
        await all_tried(world, names)

    play(tmp_path, story, known=False)


def test_a_binding_document_whose_connection_was_still_coming_up_is_untried(tmp_path):
    async def story(world):
        shut = Shut()
        world.say({**ALL, "targets": [world.entry(place=shut.place)]})
        await take_on(world, ["p1"], "pay")
        await shut.dialled(world)
        await world.kill(signal.SIGKILL)
        world.lines = [{**ALL, "targets": [world.entry()]}]
        await world.start()
        await all_tried(world, ["p1"])

    play(tmp_path, story, known=False)
