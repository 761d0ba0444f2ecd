"""Signals in a fleet of real processes with several senders and two keepers, and faults between them."""

import asyncio
import random
import urllib.request

import pytest

from birchstack.emulator.rig import site
from birchstack.emulator.rig.real import OPS_PORT, Rig
from birchstack.emulator.rig.virtual import VirtualRig
from birchstack.fleet import settings as fleet_settings

SIGNALS_ON = site.FLEET + "[signals]\nquiet_s = 1.5\n"
FAILED_BY_REPORT = "last told"  # logged for an endpoint ejected on other senders' reports alone
SIGNALS_ARRIVE = 'event="signals of other senders come"'
SIGNALS_CEASED = 'event="no signals of other senders come"'


def run_scenario(folder, scenario, **options):
    async def run():
        merged = {
            "senders": 4,
            "keepers": 2,
            "endpoints": 1,
            "destinations": 1,
            "fleet": SIGNALS_ON,
            **options,
        }
        async with Rig(folder, **merged) as rig:
            await asyncio.wait_for(scenario(rig), 30.0)

    asyncio.run(run())


async def logged(rig, names, text, times=1):
    """Wait until the log of each process contains the text so many times."""
    for name in names:
        await rig.until(
            lambda name=name: rig[name].text().count(text) >= times, 10.0, f"{name}: {text!r} {times} times"
        )


async def signals_arrive(rig):
    """Wait until every sender gets signals of the others."""
    await logged(rig, rig.senders, SIGNALS_ARRIVE)


def ejected_on_reports(rig):
    """The senders that ejected an endpoint on other senders' reports alone."""
    return {name for name in rig.senders if FAILED_BY_REPORT in rig[name].text()}


def calls_from(rig, name, since_ms):
    return [each for each in rig.endpoints.calls if each.sender == name and each.at_ms >= since_ms]


async def metric(rig, name, metric_name):
    """One metric of a sender, read on its operators' port."""

    def read():
        with urllib.request.urlopen(f"http://{rig.place(name)}:{OPS_PORT}/metrics", timeout=2.0) as answer:
            return answer.read().decode()

    text = await asyncio.to_thread(read)
    return next(
        int(line.split("=")[1]) for line in text.splitlines() if line.startswith(f"balancer.{metric_name}=")
    )


def test_a_sender_without_calls_learns_of_an_outage_and_its_end_from_the_others(tmp_path):
    async def scenario(rig):
        await signals_arrive(rig)
        rig.endpoints.status["e1"] = 500
        rig.load(40, senders=["n1", "n2", "n3"])
        await logged(rig, ["n4"], FAILED_BY_REPORT)
        informed_ms = rig.stage.now_ms()
        assert not calls_from(rig, "n4", 0.0)
        rig.endpoints.status.clear()
        await logged(rig, ["n4"], "endpoint back")
        assert not calls_from(rig, "n4", informed_ms), "it made no call to learn either"

    run_scenario(tmp_path, scenario)


def test_without_the_settings_table_no_signals_are_exchanged(tmp_path):
    async def scenario(rig):
        rig.endpoints.status["e1"] = 500
        rig.load(40, senders=["n1", "n2", "n3"])
        for name in ("n1", "n2", "n3"):
            await logged(rig, [name], "endpoint ill")
        await asyncio.sleep(1.0)
        assert not ejected_on_reports(rig) and not any(
            SIGNALS_ARRIVE in rig[name].text() for name in rig.senders
        )

    run_scenario(tmp_path, scenario, fleet=site.FLEET)


def test_a_wait_requested_of_one_sender_is_respected_by_all(tmp_path):
    async def scenario(rig):
        await signals_arrive(rig)
        rig.endpoints.status["e1"], rig.endpoints.waits["e1"] = 429, 5000
        rig.clients.hand_in("n1", "first")
        await rig.until(lambda: rig.endpoints.calls)
        refused_ms = rig.endpoints.calls[0].at_ms
        rig.endpoints.status.clear()
        await logged(rig, ["n2", "n3", "n4"], "endpoint ill, 0 failures, last full")
        for at, name in enumerate(rig.senders):
            rig.clients.hand_in(name, f"d{at}", left_ms=20_000)
        await rig.until(lambda: len({each.doc for each in rig.endpoints.calls}) == 5, 15.0, "all came")
        assert min(each.at_ms for each in rig.endpoints.calls[1:]) >= refused_ms + 5000.0

    run_scenario(tmp_path, scenario)


def test_a_wait_known_from_signals_survives_a_kill(tmp_path):
    async def scenario(rig):
        await signals_arrive(rig)
        rig.endpoints.status["e1"], rig.endpoints.waits["e1"] = 429, 6000
        rig.clients.hand_in("n1", "first")
        await logged(rig, ["n2", "n3", "n4"], "endpoint ill, 0 failures, last full")
        refused_ms = rig.endpoints.calls[0].at_ms
        rig.endpoints.status.clear()
        await asyncio.gather(*(rig[name].kill() for name in ("k1", "k2", "n2", "n3", "n4")))
        await asyncio.gather(*(rig[name].start() for name in ("n2", "n3", "n4")))
        for at, name in enumerate(("n2", "n3", "n4")):
            rig.clients.hand_in(name, f"d{at}", left_ms=20_000)
        await rig.until(lambda: len({each.doc for each in rig.endpoints.calls}) == 4, 15.0, "all came")
        assert min(each.at_ms for each in rig.endpoints.calls[1:]) >= refused_ms + 6000.0

    run_scenario(tmp_path, scenario)


def test_senders_decide_alone_without_keepers_and_exchange_signals_again_when_one_returns(tmp_path):
    async def scenario(rig):
        await signals_arrive(rig)
        for keeper in rig.keepers:
            await rig[keeper].kill()
        await logged(rig, rig.senders, SIGNALS_CEASED)
        rig.endpoints.status["e1"] = 500
        rig.load(40, senders=["n1", "n2", "n3"])
        await logged(rig, ["n1", "n2", "n3"], "endpoint ill")
        await asyncio.sleep(0.5)
        assert not ejected_on_reports(rig) and await metric(rig, "n4", "signals_live") == 0
        await rig["k2"].start("event=keeping")
        await logged(rig, rig.senders, SIGNALS_ARRIVE, 2)
        await logged(rig, ["n4"], FAILED_BY_REPORT)

    run_scenario(tmp_path, scenario)


def test_keepers_that_each_reach_half_of_the_fleet_serve_their_halves(tmp_path):
    async def scenario(rig):
        halves = {"k1": rig.senders[:4], "k2": rig.senders[4:]}
        await signals_arrive(rig)
        for keeper, own in halves.items():
            for name in set(rig.senders) - set(own):
                rig.link(keeper, f"{name}:ops").cut()
        await asyncio.sleep(1.5)  # until the cut links are noticed
        loaded = [name for own in halves.values() for name in own[:3]]
        rig.endpoints.status["e1"] = 500
        rig.load(80, senders=loaded)
        await logged(rig, ["n4", "n8"], FAILED_BY_REPORT)
        assert not any(SIGNALS_CEASED in rig[name].text() for name in rig.senders)

    run_scenario(tmp_path, scenario, senders=8)


@pytest.mark.parametrize("way", ["there", "back"])
def test_a_sender_cut_off_in_one_direction_decides_alone_and_the_others_go_on(way, tmp_path):
    async def scenario(rig):
        await signals_arrive(rig)
        for keeper in rig.keepers:
            rig.link(keeper, "n4:ops").cut(way)  # prevents connections in either direction
        await logged(rig, ["n4"], SIGNALS_CEASED)
        rig.endpoints.status["e1"] = 500
        rig.load(40, senders=["n1", "n2"])
        await logged(rig, ["n3"], FAILED_BY_REPORT)
        assert "n4" not in ejected_on_reports(rig)
        for keeper in rig.keepers:
            rig.link(keeper, "n4:ops").open()
        await logged(rig, ["n4"], FAILED_BY_REPORT)

    run_scenario(tmp_path, scenario)


def test_requests_left_unread_while_a_sender_was_suspended_are_rejected(tmp_path):
    async def scenario(rig):
        await signals_arrive(rig)
        rig["n4"].stop()
        rig.endpoints.status["e1"] = 500
        rig.load(40, senders=["n1", "n2", "n3"])
        await logged(rig, ["n1", "n2", "n3"], "endpoint ill")
        await asyncio.sleep(1.5)  # requests with that evidence wait unread
        for keeper in rig.keepers:
            await rig[keeper].kill()
        await asyncio.sleep(1.2)  # until each of them is older than a second
        rig["n4"].go()
        await logged(rig, ["n4"], SIGNALS_CEASED)
        assert "n4" not in ejected_on_reports(rig) and await metric(rig, "n4", "signals_refused") > 0

    run_scenario(tmp_path, scenario)


def test_a_sender_whose_own_network_is_broken_does_not_make_others_eject_endpoints(tmp_path):
    async def scenario(rig):
        await signals_arrive(rig)
        for uid in rig.uids:
            rig.link("n1", uid).cut()
        rig.load(90, senders=["n1", "n2", "n3"])
        await rig.until(
            lambda: rig["n1"].text().count("endpoint ill") >= 2, 15.0, "n1 found every endpoint down"
        )
        cut_ms = rig.stage.now_ms()
        await asyncio.sleep(2.0)
        assert await metric(rig, "n1", "signals_noted") > 0
        assert await metric(rig, "n4", "signals_reports") > 0 and not ejected_on_reports(rig)
        for name in ("n2", "n3"):
            assert {each.endpoint for each in calls_from(rig, name, cut_ms)} == {"e1", "e2"}

    run_scenario(tmp_path, scenario, endpoints=2, destinations=2)


def test_all_incarnations_of_one_sender_count_as_one_observer(tmp_path):
    async def scenario(rig):
        await signals_arrive(rig)
        rig.endpoints.status["e1"] = 500
        rig.load(30, senders=["n1"])
        for _ in range(3):
            while not await metric(rig, "n1", "signals_noted"):
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.5)  # until a keeper has polled it
            await rig["n1"].kill()
            await rig["n1"].start()
        await asyncio.sleep(0.5)
        assert await metric(rig, "n4", "signals_reports") > 0 and not ejected_on_reports(rig)

    run_scenario(tmp_path, scenario)


def test_a_starting_sender_receives_what_is_known_already(tmp_path):
    async def scenario(rig):
        await signals_arrive(rig)
        rig.endpoints.status["e1"] = 500
        rig.load(60, senders=["n1", "n2", "n3"])
        await logged(rig, ["n4"], FAILED_BY_REPORT)
        await asyncio.sleep(0.5)  # until all three failures were passed on; later ones change nothing
        await rig["n4"].kill()
        rig.lose_folder("n4")  # its stored state would tell it, too
        await rig["n4"].start()
        await logged(rig, ["n4"], FAILED_BY_REPORT, 2)

    run_scenario(tmp_path, scenario)


def test_senders_all_restarted_at_once_soon_know_what_is_still_down(tmp_path):
    async def scenario(rig):
        await signals_arrive(rig)
        rig.endpoints.status["e1"] = 500
        rig.load(40, senders=["n1", "n2", "n3"])
        await logged(rig, ["n4"], FAILED_BY_REPORT)
        await asyncio.gather(*(rig[name].kill() for name in rig.senders))
        rig.lose_folder("n4")  # its stored state would tell it, too
        await asyncio.gather(*(rig[name].start() for name in rig.senders))
        await logged(rig, rig.senders, SIGNALS_ARRIVE, 2)
        await logged(rig, ["n4"], FAILED_BY_REPORT, 2)
        rig.endpoints.status.clear()
        await logged(rig, ["n4"], "endpoint back")

    run_scenario(tmp_path, scenario)


def test_an_endpoint_that_flapped_every_three_seconds_is_called_by_all_once_it_stays_up(tmp_path):
    async def scenario(rig):
        await signals_arrive(rig)
        rig.load(60)
        for status in (500, 200, 500, 200):
            rig.endpoints.status["e1"] = status
            await asyncio.sleep(3.0)
        up_ms = rig.stage.now_ms()
        await rig.until(
            lambda: all(len(calls_from(rig, name, up_ms)) >= 10 for name in rig.senders),
            10.0,
            "all call it again",
        )
        assert ejected_on_reports(rig)

    run_scenario(tmp_path, scenario)


# In virtual time: faults that real processes cannot be given, or that would take a minute


def started_virtual_rig(seed, **options):
    signals = fleet_settings.SignalSettings(quiet_s=1.5)
    merged = {"senders": 4, "keepers": 2, "endpoints": 1, "destinations": 1, "signals": signals, **options}
    rig = VirtualRig(seed, **merged)
    rig.start()
    rig.run(3.0)
    return rig


def has_ejected_endpoint(rig, name):
    return bool(rig[name].node._core.ejected_endpoints())


def hand_in(rig, names, count, every_ms=50.0):
    chance = random.Random("virtual documents")
    for number in range(count):
        name = chance.choice(names)
        rig.stage.after(number * every_ms, rig.clients.hand_in, name, f"d{rig.clock.now_ms()}-{number}")


def test_steps_of_the_wall_clocks_do_not_affect_signals():
    rig = started_virtual_rig(1)
    rig["n4"].stepped_ms, rig["n1"].stepped_ms, rig["k1"].stepped_ms = 3.6e6, -3.6e6, 8.64e7
    rig["k2"].stepped_ms = -8.64e7
    rig.endpoints.status["e1"] = 500
    hand_in(rig, ["n1", "n2", "n3"], 60)
    rig.run(3.0)
    assert has_ejected_endpoint(rig, "n4") and not any(each.sender == "n4" for each in rig.endpoints.calls)
    rig["n4"].stepped_ms = -3.6e6
    rig.endpoints.status.clear()
    hand_in(rig, ["n1", "n2", "n3"], 60)
    rig.run(4.0)
    assert not has_ejected_endpoint(rig, "n4")


def test_senders_suspended_for_a_minute_send_no_expired_signals():
    rig = started_virtual_rig(2)
    rig.endpoints.status["e1"] = 500
    for keeper in rig.keepers:  # so that no signal was polled before
        for name in ("n1", "n2", "n3"):
            rig.link(keeper, f"{name}:ops").cut()
    hand_in(rig, ["n1", "n2", "n3"], 60)
    rig.run(3.4)
    assert all(has_ejected_endpoint(rig, name) for name in ("n1", "n2", "n3")) and not has_ejected_endpoint(
        rig, "n4"
    )
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
    assert not has_ejected_endpoint(rig, "n4")
    assert rig["n4"].node._core._endpoints["e1"].others_failed_at < 0.0, "no report of a failure arrived"
