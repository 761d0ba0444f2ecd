"""Signals in a fleet of real processes, several senders and two keepers, with faults between them."""

import asyncio
import random
import urllib.request

import pytest

from birchstack.emulator.rig import site
from birchstack.emulator.rig.real import OPS_PORT, Rig
from birchstack.emulator.rig.virtual import VirtualRig
from birchstack.fleet import settings as fleet_settings

ON = site.FLEET + "[signals]\nquiet_s = 1.5\n"
TOLD = "last told"  # an endpoint held back for the word of others alone
COMES, ENDS = 'event="signals of other senders come"', 'event="no signals of other senders come"'


def play(folder, story, **words):
    async def whole():
        given = {"senders": 4, "keepers": 2, "endpoints": 1, "destinations": 1, "fleet": ON, **words}
        async with Rig(folder, **given) as rig:
            await asyncio.wait_for(story(rig), 30.0)

    asyncio.run(whole())


async def says(rig, names, what, times=1):
    for name in names:
        await rig.until(
            lambda name=name: rig[name].text().count(what) >= times, 10.0, f"{name}: {what!r} {times} times"
        )


async def linked(rig):
    await says(rig, rig.senders, COMES)


def told(rig):
    """The senders that held an endpoint back for the word of others."""
    return {name for name in rig.senders if TOLD in rig[name].text()}


def called(rig, name, since_ms):
    return [each for each in rig.endpoints.calls if each.sender == name and each.at_ms >= since_ms]


async def figure(rig, name, what):
    """One of its figures, from its operators' door."""

    def read():
        with urllib.request.urlopen(f"http://{rig.place(name)}:{OPS_PORT}/metrics", timeout=2.0) as answer:
            return answer.read().decode()

    text = await asyncio.to_thread(read)
    return next(int(line.split("=")[1]) for line in text.splitlines() if line.startswith(f"balancer.{what}="))


def test_an_outage_that_some_meet_is_known_to_who_met_none_and_so_is_its_end(tmp_path):
    async def story(rig):
        await linked(rig)
        rig.endpoints.status["e1"] = 500
        rig.load(40, senders=["n1", "n2", "n3"])
        await says(rig, ["n4"], TOLD)
        began = rig.stage.now_ms()
        assert not called(rig, "n4", 0.0)
        rig.endpoints.status.clear()
        await says(rig, ["n4"], "endpoint back")
        assert not called(rig, "n4", began), "it knows both without one call"

    play(tmp_path, story)


def test_without_the_table_nothing_is_told_or_heard(tmp_path):
    async def story(rig):
        rig.endpoints.status["e1"] = 500
        rig.load(40, senders=["n1", "n2", "n3"])
        for name in ("n1", "n2", "n3"):
            await says(rig, [name], "endpoint ill")
        await asyncio.sleep(1.0)
        assert not told(rig) and not any(COMES in rig[name].text() for name in rig.senders)

    play(tmp_path, story, fleet=site.FLEET)


def test_a_wait_told_to_one_sender_is_kept_by_all(tmp_path):
    async def story(rig):
        await linked(rig)
        rig.endpoints.status["e1"], rig.endpoints.waits["e1"] = 429, 5000
        rig.clients.hand_in("n1", "first")
        await rig.until(lambda: rig.endpoints.calls)
        shut_ms = rig.endpoints.calls[0].at_ms
        rig.endpoints.status.clear()
        await says(rig, ["n2", "n3", "n4"], "endpoint ill, 0 failures, last full")
        for at, name in enumerate(rig.senders):
            rig.clients.hand_in(name, f"d{at}", left_ms=20_000)
        await rig.until(lambda: len({each.doc for each in rig.endpoints.calls}) == 5, 15.0, "all came")
        assert min(each.at_ms for each in rig.endpoints.calls[1:]) >= shut_ms + 5000.0

    play(tmp_path, story)


def test_a_wait_known_by_the_word_of_others_outlives_a_kill(tmp_path):
    async def story(rig):
        await linked(rig)
        rig.endpoints.status["e1"], rig.endpoints.waits["e1"] = 429, 6000
        rig.clients.hand_in("n1", "first")
        await says(rig, ["n2", "n3", "n4"], "endpoint ill, 0 failures, last full")
        shut_ms = rig.endpoints.calls[0].at_ms
        rig.endpoints.status.clear()
        await asyncio.gather(*(rig[name].kill() for name in ("k1", "k2", "n2", "n3", "n4")))
        await asyncio.gather(*(rig[name].start() for name in ("n2", "n3", "n4")))
        for at, name in enumerate(("n2", "n3", "n4")):
            rig.clients.hand_in(name, f"d{at}", left_ms=20_000)
        await rig.until(lambda: len({each.doc for each in rig.endpoints.calls}) == 4, 15.0, "all came")
        assert min(each.at_ms for each in rig.endpoints.calls[1:]) >= shut_ms + 6000.0

    play(tmp_path, story)


def test_when_all_keepers_are_gone_each_decides_alone_and_when_one_is_back_they_are_told_again(tmp_path):
    async def story(rig):
        await linked(rig)
        for keeper in rig.keepers:
            await rig[keeper].kill()
        await says(rig, rig.senders, ENDS)
        rig.endpoints.status["e1"] = 500
        rig.load(40, senders=["n1", "n2", "n3"])
        await says(rig, ["n1", "n2", "n3"], "endpoint ill")
        await asyncio.sleep(0.5)
        assert not told(rig) and await figure(rig, "n4", "signals_live") == 0
        await rig["k2"].start("event=keeping")
        await says(rig, rig.senders, COMES, 2)
        await says(rig, ["n4"], TOLD)

    play(tmp_path, story)


def test_keepers_that_each_reach_one_half_serve_their_halves(tmp_path):
    async def story(rig):
        halves = {"k1": rig.senders[:4], "k2": rig.senders[4:]}
        await linked(rig)
        for keeper, own in halves.items():
            for name in set(rig.senders) - set(own):
                rig.link(keeper, f"{name}:ops").cut()
        await asyncio.sleep(1.5)  # the cuts are felt
        loaded = [name for own in halves.values() for name in own[:3]]
        rig.endpoints.status["e1"] = 500
        rig.load(80, senders=loaded)
        await says(rig, ["n4", "n8"], TOLD)
        assert not any(ENDS in rig[name].text() for name in rig.senders)

    play(tmp_path, story, senders=8)


@pytest.mark.parametrize("way", ["there", "back"])
def test_a_sender_cut_off_one_way_decides_alone_and_the_others_go_on(way, tmp_path):
    async def story(rig):
        await linked(rig)
        for keeper in rig.keepers:
            rig.link(keeper, "n4:ops").cut(way)  # no connection comes up, whichever way it is
        await says(rig, ["n4"], ENDS)
        rig.endpoints.status["e1"] = 500
        rig.load(40, senders=["n1", "n2"])
        await says(rig, ["n3"], TOLD)
        assert "n4" not in told(rig)
        for keeper in rig.keepers:
            rig.link(keeper, "n4:ops").open()
        await says(rig, ["n4"], TOLD)

    play(tmp_path, story)


def test_what_lay_there_while_a_sender_stood_still_is_not_believed(tmp_path):
    async def story(rig):
        await linked(rig)
        rig["n4"].stop()
        rig.endpoints.status["e1"] = 500
        rig.load(40, senders=["n1", "n2", "n3"])
        await says(rig, ["n1", "n2", "n3"], "endpoint ill")
        await asyncio.sleep(1.5)  # questions with that word lie there
        for keeper in rig.keepers:
            await rig[keeper].kill()
        await asyncio.sleep(1.2)  # each of them for more than a second
        rig["n4"].go()
        await says(rig, ["n4"], ENDS)
        assert "n4" not in told(rig) and await figure(rig, "n4", "signals_refused") > 0

    play(tmp_path, story)


def test_a_sender_whose_own_network_is_broken_shuts_out_nobody_else(tmp_path):
    async def story(rig):
        await linked(rig)
        for uid in rig.uids:
            rig.link("n1", uid).cut()
        rig.load(90, senders=["n1", "n2", "n3"])
        await rig.until(lambda: rig["n1"].text().count("endpoint ill") >= 2, 15.0, "n1 found all down")
        began = rig.stage.now_ms()
        await asyncio.sleep(2.0)
        assert await figure(rig, "n1", "signals_noted") > 0
        assert await figure(rig, "n4", "signals_reports") > 0 and not told(rig)
        for name in ("n2", "n3"):
            assert {each.endpoint for each in called(rig, name, began)} == {"e1", "e2"}

    play(tmp_path, story, endpoints=2, destinations=2)


def test_lives_of_one_sender_are_one_observer(tmp_path):
    async def story(rig):
        await linked(rig)
        rig.endpoints.status["e1"] = 500
        rig.load(30, senders=["n1"])
        for _ in range(3):
            while not await figure(rig, "n1", "signals_noted"):
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.5)  # a keeper asked for it
            await rig["n1"].kill()
            await rig["n1"].start()
        await asyncio.sleep(0.5)
        assert await figure(rig, "n4", "signals_reports") > 0 and not told(rig)

    play(tmp_path, story)


def test_a_sender_that_starts_is_told_what_is_known_already(tmp_path):
    async def story(rig):
        await linked(rig)
        rig.endpoints.status["e1"] = 500
        rig.load(60, senders=["n1", "n2", "n3"])
        await says(rig, ["n4"], TOLD)
        await asyncio.sleep(0.5)  # all three were told of; what comes now is no news
        await rig["n4"].kill()
        rig.lose_folder("n4")  # which would tell it, too
        await rig["n4"].start()
        await says(rig, ["n4"], TOLD, 2)

    play(tmp_path, story)


def test_all_restarted_at_once_know_soon_what_is_still_down(tmp_path):
    async def story(rig):
        await linked(rig)
        rig.endpoints.status["e1"] = 500
        rig.load(40, senders=["n1", "n2", "n3"])
        await says(rig, ["n4"], TOLD)
        await asyncio.gather(*(rig[name].kill() for name in rig.senders))
        rig.lose_folder("n4")  # which would tell it, too
        await asyncio.gather(*(rig[name].start() for name in rig.senders))
        await says(rig, rig.senders, COMES, 2)
        await says(rig, ["n4"], TOLD, 2)
        rig.endpoints.status.clear()
        await says(rig, ["n4"], "endpoint back")

    play(tmp_path, story)


def test_one_that_flaps_every_three_seconds_is_served_again_by_all_when_it_stays_up(tmp_path):
    async def story(rig):
        await linked(rig)
        rig.load(60)
        for status in (500, 200, 500, 200):
            rig.endpoints.status["e1"] = status
            await asyncio.sleep(3.0)
        up = rig.stage.now_ms()
        await rig.until(
            lambda: all(len(called(rig, name, up)) >= 10 for name in rig.senders), 10.0, "all call it again"
        )
        assert told(rig)

    play(tmp_path, story)


# In virtual time: what real processes cannot be given, or only in a minute


def virtual(seed, **words):
    signals = fleet_settings.Signals(quiet_s=1.5)
    words = {"senders": 4, "keepers": 2, "endpoints": 1, "destinations": 1, "signals": signals, **words}
    rig = VirtualRig(seed, **words)
    rig.start()
    rig.run(3.0)
    return rig


def ill(rig, name):
    return bool(rig[name].node._core.ejected_endpoints())


def hand_in(rig, names, many, every_ms=50.0):
    chance = random.Random("virtual documents")
    for number in range(many):
        name = chance.choice(names)
        rig.stage.after(number * every_ms, rig.clients.hand_in, name, f"d{rig.clock.now_ms()}-{number}")


def test_a_step_of_wall_clocks_changes_nothing():
    rig = virtual(1)
    rig["n4"].stepped_ms, rig["n1"].stepped_ms, rig["k1"].stepped_ms = 3.6e6, -3.6e6, 8.64e7
    rig["k2"].stepped_ms = -8.64e7
    rig.endpoints.status["e1"] = 500
    hand_in(rig, ["n1", "n2", "n3"], 60)
    rig.run(3.0)
    assert ill(rig, "n4") and not any(each.sender == "n4" for each in rig.endpoints.calls)
    rig["n4"].stepped_ms = -3.6e6
    rig.endpoints.status.clear()
    hand_in(rig, ["n1", "n2", "n3"], 60)
    rig.run(4.0)
    assert not ill(rig, "n4")


def test_senders_that_stood_still_for_a_minute_tell_nothing_old():
    rig = virtual(2)
    rig.endpoints.status["e1"] = 500
    for keeper in rig.keepers:  # so that nobody asked before
        for name in ("n1", "n2", "n3"):
            rig.link(keeper, f"{name}:ops").cut()
    hand_in(rig, ["n1", "n2", "n3"], 60)
    rig.run(3.4)
    assert all(ill(rig, name) for name in ("n1", "n2", "n3")) and not ill(rig, "n4")
    for name in ("n1", "n2", "n3"):
        rig[name].stand(True)
    rig.run(60.0)
    rig.endpoints.status.clear()
    for keeper in rig.keepers:
        for name in ("n1", "n2", "n3"):
            rig.link(keeper, f"{name}:ops").open()
    for name in ("n1", "n2", "n3"):
        rig[name].stand(False)
    rig.run(5.0)
    assert not ill(rig, "n4")
    assert rig["n4"].node._core._endpoints["e1"].others_failed_at < 0.0, "it heard of no failure at all"
