"""Detection of stragglers: the pure verdicts, and keepers in a rig of real processes with faults."""

import asyncio

import pytest

from birchstack.emulator.rig.real import Rig
from birchstack.fleet import lag
from birchstack.fleet.versions import LIST, Version
from birchstack.keeper.questions import Stores

THRESHOLDS = lag.LagThresholds(1000.0, 1000.0, 60_000.0)


def version(number, digest="", epoch=""):
    return Version(LIST, "x", epoch, number, digest or f"{number:032x}")


PUBLISHED = lag.PublishedLists(((version(1), 0.0), (version(2), 5000.0), (version(3), 10_000.0)), 19_900.0)


def judge(*held, now=20_000.0, published=PUBLISHED, flap_history=None, answered=19_900.0, heard=0.0):
    """The verdicts on senders n0, n1 ... that hold these lists; None for a sender that never answered."""
    snapshots = [
        lag.SenderSnapshot(f"n{at}", answered if each is not None else None, each, heard)
        for at, each in enumerate(held)
    ]
    return lag.judge(snapshots, published, now, THRESHOLDS, flap_history or lag.FlapHistory())


@pytest.mark.parametrize(
    "held, what, evidence",
    [
        (version(3), lag.HEALTHY, "acts on 3@"),
        (version(2), lag.BEHIND, "10.0 s ago"),
        (version(1), lag.BEHIND, "15.0 s ago"),
        (version(3, "f" * 32), lag.ON_FORK, "another content"),
        (version(2, "f" * 32), lag.ON_FORK, "another content"),
        (version(7), lag.AHEAD, "beyond 3@"),
        (version(9, epoch="e"), lag.FOREIGN_EPOCH, "another epoch"),
        (None, lag.SILENT, "never"),
    ],
)
def test_each_verdict_states_its_evidence(held, what, evidence):
    verdict = judge(held, *[version(3)] * 4).verdicts[0]
    assert verdict.what == what and evidence in verdict.evidence
    assert verdict.straggler == (what not in (lag.HEALTHY, lag.SILENT))


def test_a_recent_list_may_be_late_and_a_frozen_list_is_distinguished_from_a_cut_link():
    assert judge(version(2), version(3), now=10_900.0, answered=10_800.0).verdicts[0].what == lag.HEALTHY
    assert "its watch beats" in judge(version(2), version(3)).verdicts[0].evidence
    assert "hears nothing" in judge(version(2), version(3), heard=9000.0).verdicts[0].evidence


def test_a_fleet_that_lags_as_a_whole_or_a_keeper_that_is_cut_off_yields_no_stragglers():
    for published, held, fleet in [
        (lag.PublishedLists(PUBLISHED.versions, 1000.0), [version(2)] * 3, lag.FLEET_STALE),
        (PUBLISHED, [version(2), version(2), version(3)], lag.FLEET_STALE),
        (PUBLISHED, [None, None, version(2)], lag.KEEPER_CUT_OFF),
        (lag.PublishedLists(PUBLISHED.versions, 1000.0), [None, None, version(3)], lag.KEEPER_CUT_OFF),
    ]:
        assessment = judge(*held, published=published)
        assert assessment.fleet == fleet and assessment.evidence and not assessment.stragglers()
    assert [each.sender for each in judge(version(2), version(3), version(3)).stragglers()] == ["n0"]


def test_a_sender_that_falls_behind_repeatedly_is_flapping():
    flap_history = lag.FlapHistory()
    for round_ in range(3):
        begin = 20_000.0 + 10_000.0 * round_
        published = lag.PublishedLists((*PUBLISHED.versions, (version(4 + round_), begin)), begin + 5000.0)
        assessment = judge(
            version(3 + round_),
            *[version(4 + round_)] * 3,
            now=begin + 5000.0,
            published=published,
            flap_history=flap_history,
            answered=begin + 4900.0,
        )
        assert assessment.verdicts[0].what == (lag.FLAPPING if round_ == 2 else lag.BEHIND)
        judge(
            version(4 + round_),
            *[version(4 + round_)] * 3,
            now=begin + 6000.0,
            published=published,
            flap_history=flap_history,
            answered=begin + 5900.0,
        )
    flap_history.retain({"n1"})
    assert flap_history.count_within("n0", 50_000.0, 60_000.0) == 0


SHORT_LIMITS = {"senders": 5, "endpoints": 2, "destinations": 2, "keeper": {"behind_s": 1.0, "silent_s": 1.0}}


def run_scenario(folder, scenario, **options):
    async def run():
        async with Rig(folder, **{**SHORT_LIMITS, **options}) as rig:
            await asyncio.sleep(1.6)  # a keeper gives verdicts only once every sender had time to answer
            await asyncio.wait_for(scenario(rig), 20.0)

    asyncio.run(run())


def verdicts(rig, keeper="k1"):
    return {(each.sender, each.what) for each in Stores([rig.store(keeper)], rig.now_ms()).stragglers()}


def test_a_sender_cut_off_from_the_list_is_behind_until_its_link_is_restored(tmp_path):
    async def scenario(rig):
        assert verdicts(rig) == set()
        rig.link("n1", "list").cut()
        rig.list.publish(e1="leaving")
        await rig.until(lambda: verdicts(rig) == {("n1", "behind")})
        rig.list.frozen.add("n2")  # it gets heartbeats, but no new versions
        rig.list.publish(e1="active")
        await rig.until(lambda: verdicts(rig) == {("n1", "behind"), ("n2", "behind")})
        rows = {each.sender: each.evidence for each in Stores([rig.store("k1")], rig.now_ms()).stragglers()}
        assert "hears nothing" in rows["n1"] and "its watch beats" in rows["n2"]
        rig.list.frozen.clear()
        rig.link("n1", "list").open()
        await rig.until(lambda: verdicts(rig) == set())

    run_scenario(tmp_path, scenario)


def test_without_a_list_service_there_are_no_stragglers_and_a_keeper_cut_off_reports_itself(tmp_path):
    async def scenario(rig):
        rig.link("n1", "list").cut()
        rig.list.publish(e1="leaving")
        for name in (*rig.senders, *rig.keepers):  # nobody reaches the list service any more
            rig.link(name, "list").cut()
        await rig.until(lambda: ("", "stale") in verdicts(rig) and ("", "stale") in verdicts(rig, "k2"))
        for name in rig.senders:
            rig.link("k2", f"{name}:ops").cut()
        await rig.until(lambda: ("", "keeper cut off") in verdicts(rig, "k2"))
        both = Stores([rig.store(each) for each in rig.keepers], rig.now_ms()).stragglers()
        assert not [each for each in both if each.what == lag.SILENT], "the other keeper reaches all of them"
        assert ("", "stale") in {(each.sender, each.what) for each in both}
        for link in rig.links.values():
            link.open()
        await rig.until(lambda: verdicts(rig) == verdicts(rig, "k2") == set(), 15.0)

    run_scenario(tmp_path, scenario, keepers=2)


def test_a_suspended_sender_is_silent_and_one_with_another_services_list_is_on_a_fork(tmp_path):
    async def scenario(rig):
        rig["n1"].stop()
        await rig["n5"].kill()
        rig.add_sender("n5", lists="list2")
        await rig["n5"].start()
        rig.lists["list2"].publish(e2="leaving")
        rig.list.publish(e1="leaving")
        await rig.until(lambda: verdicts(rig) == {("n1", "silent"), ("n5", "on a fork")})
        rig["n1"].go()
        await rig.until(lambda: verdicts(rig) == {("n5", "on a fork")})

    run_scenario(tmp_path, scenario, list_services=2)
