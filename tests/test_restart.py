"""Documents accepted but untried before a restart are still sent, by real processes that were ended."""

import asyncio
import contextlib
import os
import signal

import pytest
from fake import RESET, SILENT, Shut, World, answer, post, read_message

DOCUMENTS = 200
LIMITS = {"settings__limits__maxOpen": 400, "settings__domain__callsOut": 8}
FULL_LIST = {"rev": 9, "all": True}


def play(folder, story, **words):
    async def whole():
        (folder / "state").mkdir()
        async with World(folder / "state", changes=dict(LIMITS), **words) as world:
            await asyncio.wait_for(story(world), 30.0)

    asyncio.run(whole())


async def submit(world, names, kind="sync"):
    """Submits documents one after another on one connection."""
    reader, writer = await world.client()
    for name in names:
        writer.write(post(name, kind, left=19000))
        assert (await read_message(reader))[0].startswith("HTTP/1.1 202")
    writer.close()


async def submit_without_endpoints(world):
    """Submits documents, some of them binding, while no endpoint is listed."""
    names = [f"d{number}" for number in range(DOCUMENTS)]
    await submit(world, names[:150])
    await submit(world, names[150:], "pay")
    assert not world.calls
    return names


async def all_sent(world, names, ends=0):
    assert await world.until(lambda: len({doc for doc, *_ in world.calls}) == len(names), 12.0)
    assert sorted(doc for doc, *_ in world.calls) == sorted(names), "each once"
    assert await world.until(lambda: len(world.notices) == ends) and len(world.notices) == ends


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
@pytest.mark.parametrize("known", ["empty", "old", "draining"])
@pytest.mark.parametrize("silent", [False, True])
def test_untried_documents_are_sent_whatever_list_is_configured(tmp_path, number, known, silent):
    async def story(world):
        names = await submit_without_endpoints(world)
        await world.kill(number)
        entries = {
            "empty": [],
            "old": [world.entry(uid="s-0", place="127.0.0.1:9")],
            "draining": [world.entry("leaving", "s-0"), world.entry("leaving", "s-1")],
        }[known]
        if silent and known == "old":
            entries = [world.entry("left", "s-0")]
        world.changes["known"] = {"rev": 8, "all": True, "targets": entries}
        whole = {**FULL_LIST, "targets": [world.entry()]}
        world.lines = [] if silent else [whole]
        await world.start()
        if silent:  # it still accepts documents, and has ended none
            await submit(world, ["new"])
            names.append("new")
            assert not world.notices and not world.calls
            world.say(whole)
        await all_sent(world, names)

    play(tmp_path, story, known=False)


def asked_to_wait(world):
    world.answers = [answer(429, X_Come_Back_Ms="2000")]


def failed(world):
    world.answers = [RESET] * 3 + [SILENT] * 20


@pytest.mark.parametrize("before", [asked_to_wait, failed])
def test_a_wait_or_failures_before_the_restart_delay_calls_and_end_no_document(tmp_path, before):
    async def story(world):
        before(world)
        world.say({**FULL_LIST, "targets": [world.entry()]})
        await submit(world, ["first"])
        assert before is failed or await world.until(lambda: '["wait"' in world.on_disk())
        names = [f"d{number}" for number in range(DOCUMENTS)]
        await submit(world, names)
        assert before is asked_to_wait or await world.until(lambda: world.on_disk().count('["back"') >= 3)
        await world.kill(signal.SIGKILL)
        untried = [name for name in names if name not in [doc for doc, *_ in world.calls]]
        assert len(untried) > DOCUMENTS // 2
        world.answers, world.lines = [], [{**FULL_LIST, "targets": [world.entry()]}]
        await world.start()
        assert await world.until(lambda: {*untried} <= {doc for doc, *_ in world.calls}, 12.0)
        assert not world.notices

    play(tmp_path, story, known=False)


def test_after_lowered_limits_and_a_removed_type_the_other_documents_are_sent(tmp_path):
    async def story(world):
        names = await submit_without_endpoints(world)
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
        world.lines = [{**FULL_LIST, "targets": [world.entry()]}]
        await world.start()
        await all_sent(world, names[:150], ends=50)
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
def test_unusual_but_valid_settings_start_and_serve(tmp_path, settings):
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


def test_a_torn_last_record_and_kills_during_the_start_lose_nothing_else(tmp_path):
    async def story(world):
        names = await submit_without_endpoints(world)
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
        world.lines = [{**FULL_LIST, "targets": [world.entry()]}]
        await world.start()
        await all_sent(world, names[:-1])

    play(tmp_path, story, known=False)


def test_sigterm_before_the_first_list_ends_cleanly_and_loses_nothing(tmp_path):
    async def story(world):
        names = await submit_without_endpoints(world)
        await world.kill(signal.SIGKILL)
        asked = len(world.asked)
        task = asyncio.ensure_future(world.start())
        while len(world.asked) == asked:  # it waits for the first list
            await asyncio.sleep(0.001)
        assert await world.kill(signal.SIGTERM) == 0
        task.cancel()
        world.lines = [{**FULL_LIST, "targets": [world.entry()]}]
        await world.start()
        await all_sent(world, names)

    play(tmp_path, story, known=False)


def test_a_binding_document_whose_connection_was_not_established_is_untried(tmp_path):
    async def story(world):
        shut = Shut()
        world.say({**FULL_LIST, "targets": [world.entry(place=shut.place)]})
        await submit(world, ["p1"], "pay")
        await shut.dialled(world)
        await world.kill(signal.SIGKILL)
        world.lines = [{**FULL_LIST, "targets": [world.entry()]}]
        await world.start()
        await all_sent(world, ["p1"])

    play(tmp_path, story, known=False)
