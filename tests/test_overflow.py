"""The backlog of documents on disk: random scenarios in virtual time, and real processes that are killed."""

import asyncio
import os
import signal
import subprocess
import sys

import pytest
from fake import SETTINGS, World, answer, post, read_message

from birchstack.backlog import settings
from birchstack.backlog.maker import store_factory
from birchstack.emulator.scenario import WRITE_KILLS, DocumentType, Scenario, Trouble, draw
from birchstack.emulator.virtual import VirtualDay

ROOM = 64 << 20
TWO_DOWN = (
    Trouble(kind="silent", at=3.0, seconds=6.0, destinations=(0, 1)),
    Trouble(kind="refusing", at=4.0, seconds=8.0, destinations=(2,)),
)


class CountingStores:
    """A store factory that counts the documents written to its stores."""

    def __init__(self, window=4):
        self._make, self.kept, self.stores = (
            store_factory(settings.Settings(window=window, bytes=ROOM)),
            0,
            [],
        )

    def __call__(self, folder, now):
        made = self._make(folder, now)
        append = made.store.append

        def counted(kept):
            append(kept)
            self.kept += 1

        made.store.append = counted
        self.stores.append(made.store)
        return made


def played(scenario, seed, window=4):
    stores = CountingStores(window)
    day = VirtualDay(scenario, seed, keep_log=True, store=stores)
    result = day.play()
    assert not result.breaches, result.text_of_breaches()
    return day, result, stores


def test_no_rule_breaks_in_random_scenarios_with_a_backlog_on_disk():
    kept = 0
    for seed in range(3000, 3014):
        _, result, stores = played(draw(seed, Scenario(seconds=20.0)), seed, window=1 + seed % 4)
        assert result.figures["delivered"] > 300
        kept += stores.kept
    assert kept > 500


@pytest.mark.parametrize("seed", range(4))
def test_a_restarted_sender_does_not_overload_endpoints_that_it_has_a_backlog_for(seed):
    """A destination with documents on disk counts as down after a restart.

    Its window holds few documents, so the ledger alone shows too few failures.
    """
    kills = (Trouble(kind="kill", at=6.0, senders=(0,)), Trouble(kind="sigterm", at=8.5, senders=(1,)))
    _, result, stores = played(Scenario(seconds=20.0, senders=2, troubles=TWO_DOWN + kills), 5 + seed)
    assert stores.kept > 50 and not any(map(len, stores.stores[-2:]))


@pytest.mark.parametrize("write", [1, 2, 3, 5, 8, 13, 21, 34])
@pytest.mark.parametrize("kind", WRITE_KILLS)
def test_a_kill_at_a_write_loses_nothing_that_waits_on_disk(kind, write):
    """Once while the backlog fills (5 s), once while it drains after the endpoint's return (10 s)."""
    kills = tuple(Trouble(kind=kind, at=at, senders=(0,), size=float(write)) for at in (5.0, 10.0))
    day, _, stores = played(Scenario(seconds=18.0, senders=1, troubles=TWO_DOWN + kills), 3)
    assert [life.how for life in day.judge.lives[0]] == ["killed at a write"] * 2 + [""] and stores.kept > 20


def test_a_full_disk_refuses_documents_and_those_waiting_are_still_delivered():
    full = (Trouble(kind="disk_full", at=6.0, seconds=3.0, senders=(0,)),)
    _, _, stores = played(Scenario(seconds=20.0, senders=1, troubles=TWO_DOWN + full), 4)
    assert stores.kept and not any(map(len, stores.stores))


def test_a_document_with_a_short_expiry_ends_in_time_among_ones_with_a_long_expiry():
    types = (
        DocumentType(name="long", effect="replayable", share=1.0, expiry_ms=60000.0),
        DocumentType(name="brief", effect="binding", share=1.0, agreed_ms=500.0, expiry_ms=1000.0),
    )
    _, result, stores = played(Scenario(seconds=16.0, senders=1, types=types, troubles=TWO_DOWN), 2)
    assert stores.kept and result.figures["notice bounced"] > 10  # the judge checks that they come in time


# Real processes

SERVICES = [*SETTINGS["services"], {**SETTINGS["services"][0], "name": "turn", "oneAtATime": True}]
CHANGES = {"settings__services": SERVICES, "settings__limits__maxOpen": 400}


def play(folder, story, **words):
    async def whole():
        (folder / "state").mkdir()
        path = folder / "backlog.toml"
        path.write_text(f"[backlog]\nwindow = 4\nbytes = {ROOM}\n")
        async with World(
            folder / "state", changes=dict(CHANGES), environment={"BALANCER_BACKLOG": str(path)}, **words
        ) as world:
            await asyncio.wait_for(story(world), 30.0)

    asyncio.run(whole())


async def hand_in(world, names, kind="turn", key="k"):
    reader, writer = await world.client()
    for name in names:
        writer.write(post(name, kind, left=19000, more=f"Cookie: thread={key}\r\n"))
        assert (await read_message(reader))[0].startswith("HTTP/1.1 202")
    writer.close()


def segments(world):
    return [each for each in os.listdir(world.folder) if each.startswith("backlog-") and each[8].isdecimal()]


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_a_backlog_survives_the_process_and_is_delivered_in_order(tmp_path, number):
    async def story(world):
        world.answers = [answer(429, X_Come_Back_Ms="2500")]
        first, second = ([f"{part}{at}" for at in range(40)] for part in "ab")
        await hand_in(world, first)
        assert segments(world)
        await world.kill(number)
        await world.start()
        await hand_in(world, second)
        await hand_in(world, first[20:30])  # submitted again while they wait on disk
        assert await world.until(lambda: len(world.calls) >= 81, 12.0)
        assert [doc for doc, *_ in world.calls] == ["a0", *first, *second] and not world.notices
        assert await world.until(lambda: not segments(world))

    play(tmp_path, story)


def test_binding_documents_that_wait_on_disk_are_called_once_over_kills(tmp_path):
    async def story(world):
        names = [f"p{at}" for at in range(60)]
        world.answers = [answer(429, X_Come_Back_Ms="600")]
        await hand_in(world, names, "pay", "x")
        for _ in range(4):
            await world.until(lambda: len(world.calls) > 5 and world.out == 0, 1.0)
            await world.kill(signal.SIGKILL)
            await world.start()
        ended = lambda: {doc for doc, *_ in world.calls} | {each["ref"] for each in world.notices}  # noqa: E731
        assert await world.until(lambda: ended() == {*names}, 12.0)
        called = [doc for doc, *_ in world.calls]
        assert sum(called.count(name) > 1 for name in names) <= 1  # the first one, which was told to wait

    play(tmp_path, story)


def test_a_sender_with_a_backlog_on_disk_refuses_to_start_with_the_backlog_disabled(tmp_path):
    async def story(world):
        world.answers = [answer(429, X_Come_Back_Ms="2500")]
        names = [f"d{at}" for at in range(20)]
        await hand_in(world, names)
        await world.kill(signal.SIGKILL)
        off = {**os.environ, "BALANCER_CONFIG": world.configured()}
        command = [sys.executable, "-m", "birchstack"]
        process = subprocess.run(command, env=off, stderr=subprocess.PIPE, timeout=10)
        assert process.returncode == 2
        assert process.stderr.startswith(b"birchstack: configuration: BALANCER_BACKLOG: not set, but")
        await world.start()
        assert await world.until(lambda: {doc for doc, *_ in world.calls} == {*names}, 12.0)

    play(tmp_path, story)


def test_one_of_three_senders_is_restarted_while_their_shared_endpoint_returns(tmp_path):
    """All three have a backlog for one shared endpoint.

    The documents are binding: calling one again that may have run would cause a second effect.
    """
    path = tmp_path / "backlog.toml"
    path.write_text(f"[backlog]\nwindow = 4\nbytes = {ROOM}\n")

    async def story():
        worlds = []
        for name in "abc":
            (tmp_path / name).mkdir()
            worlds.append(
                World(
                    tmp_path / name,
                    known=False,
                    environment={"BALANCER_BACKLOG": str(path)},
                    changes=dict(CHANGES),
                )
            )
        async with worlds[0] as first, worlds[1] as second, worlds[2] as third:
            whole = {"rev": 8, "all": True, "targets": [first.entry(place=first.place)]}
            for world in worlds:
                world.lines = [whole]
                assert await world.until(lambda world=world: world.watchers)
                world.say(whole)
                await hand_in(world, [f"{world.folder.name}-{at}" for at in range(20)], "pay", "x")
            assert await first.until(lambda: len(first.calls) == 60)  # so that its rate is known
            first.on_call = lambda: first.answers.append(answer(429, X_Come_Back_Ms="700"))
            names = {world: [f"{world.folder.name}{at}" for at in range(30)] for world in worlds}
            for world in worlds:
                await hand_in(world, names[world], "pay", "x")
            assert first.calls and all(map(segments, worlds))
            await second.kill(signal.SIGKILL)
            await second.start()
            # the endpoint is back: the backlogs drain
            refused, first.on_call = len(first.calls), lambda: None
            assert await first.until(lambda: len(first.calls) > refused + 20, 8.0)
            await second.kill(signal.SIGKILL)
            await second.start()
            owed = {doc for docs in names.values() for doc in docs}

            def ended():
                called = {doc for doc, *_ in first.calls[refused:]}
                return called | {each["ref"] for world in worlds for each in world.notices}

            assert await first.until(lambda: ended() == owed, 15.0)
            served = [doc for doc, *_ in first.calls[refused:]]
            assert len(served) == len({*served}), "none is called again once it may have run"
            assert await first.until(lambda: not any(map(segments, worlds)))
            assert not first.notices and not third.notices

    asyncio.run(asyncio.wait_for(story(), 40.0))
