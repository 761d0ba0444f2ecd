"""The audit of a fleet of real processes under faults, compared with the calls that endpoints received."""

import asyncio
import os
import random
import shlex
import sys

import pytest

from birchstack.emulator.rig.real import Rig
from birchstack.keeper.questions import Stores


def run_rig(folder, scenario, **options):
    async def run():
        async with Rig(folder, **{"senders": 5, "endpoints": 2, "destinations": 2, **options}) as rig:
            await asyncio.wait_for(scenario(rig), 25.0)

    asyncio.run(run())


async def open_stores(rig, keepers=("k1",), without=(), **options):
    """Opens the collectors' stores once they have the records of every sender up to now."""
    await rig.quiet()
    await asyncio.sleep(0.05)
    rig.audited_ms = now_ms = rig.now_ms()
    paths = [rig.store(keeper) for keeper in keepers]

    def complete():
        stores = Stores(paths, now_ms=rig.now_ms(), **options)
        complete_ms = {}
        for status in stores.status():
            known_ms = rig.now_ms() - status.age_ms if status.age_ms >= 0.0 else 0.0
            complete_ms[status.sender] = max(known_ms, complete_ms.get(status.sender, 0.0))
        return (
            all(known_ms > now_ms for sender, known_ms in complete_ms.items() if sender not in without)
            and complete_ms
        )

    await rig.until(complete, 8.0, "the records of every sender")
    return Stores(paths, now_ms=rig.now_ms(), **options)


def received(rig, since=0.0, until=None, sender=None, endpoint=None):
    """Returns the calls that endpoints received up to the last audit, as (sender, document, endpoint)."""
    return sorted(
        (call.sender, call.doc, call.endpoint)
        for call in rig.endpoints.calls
        if since < rig.wall(call.at_ms) < (until or rig.audited_ms)
        and sender in (None, call.sender)
        and endpoint in (None, call.endpoint)
    )


def call_keys(calls):
    """Returns calls as (sender, document, endpoint), without abandoned documents."""
    return sorted((call.sender, call.doc, call.endpoint) for call in calls if call.endpoint)


def audited(rig, stores, since=0.0):
    """Returns the calls in the stores for every document that any endpoint received."""
    docs = {doc for _, doc, _ in received(rig, since)}
    return call_keys(call for doc in docs for call in stores.document_calls(doc).calls)


async def publish(rig, lists="list", **states):
    """Publishes a version while no call is in flight. Returns its number and the time."""
    await rig.quiet()
    await asyncio.sleep(0.15)
    number, at_ms = rig.lists[lists].publish(**states), rig.now_ms()
    await asyncio.sleep(0.15)
    return number, at_ms


async def adopted(rig, sender, number):
    """Waits until a sender has logged that it adopted a version."""
    await rig.until(lambda: f"version={number}@" in rig[sender].text(), 8.0, f"{sender} on {number}")


def unknown_of(answer, sender, but=("not heard of since",)):
    """Returns a sender's unknown periods, except those for the reasons in `but`."""
    return [period for period in answer.unknown if period.sender == sender and period.why not in but]


@pytest.mark.parametrize("way", ["both", "back"])
def test_calls_of_a_sender_cut_off_from_the_list_service_are_found_after_a_removal(way, tmp_path):
    async def scenario(rig):
        rig.load(120)
        await asyncio.sleep(0.4)
        rig.link("n1", "list").cut(way)
        number, at_ms = await publish(rig, e1="leaving")
        rig.load(120)
        await asyncio.sleep(1.0)
        stores = await open_stores(rig, behind_ms=500.0)
        late, after = stores.late_calls(1), stores.calls_after_removal("e1", number)
        assert received(rig, at_ms, sender="n1", endpoint="e1"), (
            "the sender that was cut off called the endpoint"
        )
        assert call_keys(after.calls) == received(rig, at_ms, endpoint="e1")
        assert call_keys(late.calls) == received(rig, at_ms, sender="n1")
        assert not any(unknown_of(late, f"n{index}") for index in range(1, 6))
        doc = after.calls[0].doc
        assert [(call.sender, call.number) for call in stores.document_calls(doc).calls] == [("n1", 1)]
        kinds = {(finding.kind, finding.sender) for finding in stores.findings(grace_ms=0.0)}
        assert kinds == {("behind", "n1"), ("called after out", "n1")}
        rig.link("n1", "list").open()
        await adopted(rig, "n1", number)
        reconnected_ms = rig.now_ms()
        rig.load(60)
        await asyncio.sleep(0.3)
        stores = await open_stores(rig, behind_ms=500.0)
        assert [status.behind for status in stores.status()] == [0] * 5
        assert not received(rig, reconnected_ms, endpoint="e1") and call_keys(
            stores.late_calls(1).calls
        ) == received(rig, at_ms, reconnected_ms, "n1")
        acted = {stretch.sender: stretch for stretch in stores.activity(1).stretches}
        assert not acted["n1"].open and acted["n1"].calls == len(received(rig, 0.0, reconnected_ms, "n1"))

    run_rig(tmp_path, scenario)


def test_a_list_service_restored_from_a_backup_is_a_finding_and_its_periods_stay_separate(tmp_path):
    async def scenario(rig):
        number, removed_ms = await publish(rig, e1="left")
        rig.load(100)
        await asyncio.sleep(0.4)
        await rig.quiet()
        await asyncio.sleep(0.15)
        restored_ms = rig.now_ms()
        rig.list.restore(1)
        for name in rig.senders:
            await rig.until(lambda name=name: "order=older" in rig[name].text())
        rig.load(100)
        await asyncio.sleep(0.5)
        stores = await open_stores(rig)
        kinds = [(finding.kind, finding.sender) for finding in stores.findings(0.0)]
        assert kinds.count(("list service older", "")) == 1
        assert {sender for kind, sender in kinds if kind == "list older"} == set(rig.senders)
        assert not received(rig, removed_ms, restored_ms, endpoint="e1") and received(
            rig, restored_ms, endpoint="e1"
        )
        assert not stores.calls_after_removal("e1", number).calls, (
            "the restored list contains the endpoint again"
        )
        calls_after_restore = {
            stretch.sender: stretch.calls
            for stretch in stores.activity(1).stretches
            if stretch.from_ms > removed_ms
        }
        assert calls_after_restore == {
            name: len(received(rig, restored_ms, sender=name)) for name in rig.senders
        }
        assert call_keys(stores.late_calls(2).calls) == []

    run_rig(tmp_path, scenario)


def test_two_list_versions_with_the_same_number_are_distinguished_by_digest(tmp_path):
    async def scenario(rig):
        for name in ("n4", "n5"):
            await rig[name].kill()
            rig.add_sender(name, lists="list2")
            await rig[name].start()
        rig.lists["list2"].publish(e2="leaving")
        number, at_ms = await publish(rig, e1="leaving")
        rig.load(100)
        await asyncio.sleep(0.6)
        stores = await open_stores(rig)
        differs = [finding.sender for finding in stores.findings() if finding.kind == "contents differ"]
        assert differs == ["n4", "n5"]
        stretches = stores.activity(number).stretches
        assert len({stretch.digest for stretch in stretches}) == 2
        assert {stretch.sender: stretch.calls for stretch in stretches} == {
            name: len(received(rig, at_ms, sender=name)) for name in rig.senders
        }
        assert call_keys(stores.calls_after_removal("e1", number).calls) == received(
            rig, at_ms, endpoint="e1"
        )
        assert {sender for sender, _, _ in received(rig, at_ms, endpoint="e1")} == {"n4", "n5"}

    run_rig(tmp_path, scenario, list_services=2)


def test_a_suspended_sender_is_unknown_meanwhile_and_complete_after_it_resumes(tmp_path):
    async def scenario(rig):
        rig.load(80)
        await asyncio.sleep(0.4)
        await rig.quiet()
        rig["n1"].stop()
        suspended_ms = rig.now_ms()
        number, at_ms = await publish(rig, e1="leaving")
        await asyncio.sleep(1.6)
        stores = await open_stores(rig, without=("n1",), silent_ms=1000.0)
        missing = [
            period for period in stores.calls_after_removal("e1", number).unknown if period.sender == "n1"
        ]
        assert len(missing) == 1 and missing[0].from_ms <= suspended_ms + 250.0 and missing[0].to_ms > at_ms
        assert ("silent", "n1") in {(finding.kind, finding.sender) for finding in stores.findings()}
        for doc in range(8):
            rig.clients.hand_in("n1", f"late{doc}", 1 + doc % 2)
        await asyncio.sleep(0.05)
        rig["n1"].go()
        await adopted(rig, "n1", number)
        rig.load(80)
        await asyncio.sleep(0.3)
        stores = await open_stores(rig, silent_ms=1000.0)
        assert call_keys(stores.calls_after_removal("e1", number).calls) == received(
            rig, at_ms, endpoint="e1"
        )
        assert (
            call_keys(stores.late_calls(1).calls)
            == received(rig, at_ms, sender="n1")[: len(stores.late_calls(1).calls)]
        )
        assert not unknown_of(stores.late_calls(1), "n1") and not stores.findings(1e9)

    run_rig(tmp_path, scenario)


def test_senders_killed_around_an_adoption_have_a_record_of_every_call(tmp_path):
    async def scenario(rig):
        rng = random.Random(5)
        states = ["leaving", "active"]
        for iteration in range(4):
            rig.load(250)
            await asyncio.sleep(0.25)
            rig.list.publish(e1=states[iteration % 2])
            await asyncio.sleep(rng.random() * 0.012)
            await asyncio.gather(*(rig[name].kill() for name in ("n1", "n2", "n3")))
            await asyncio.gather(*(rig[name].start() for name in ("n1", "n2", "n3")))
        await asyncio.sleep(0.2)
        stores = await open_stores(rig)
        acted = [stretch for number in range(1, 6) for stretch in stores.activity(number).stretches]
        seen = received(rig)
        recorded = audited(rig, stores)
        extra = [key for key in recorded if key not in seen]
        assert [key for key in seen if key not in recorded] == [], "a call without a record"
        assert len(extra) <= 12, "calls recorded but not sent before the kill: at most one turn for each kill"
        assert sum(stretch.calls for stretch in acted) >= len(seen)
        assert not stores.findings(1e9)

    run_rig(tmp_path, scenario)


def test_an_upgrade_continues_the_trail_with_a_second_life_and_no_fork(tmp_path):
    async def scenario(rig):
        rig.load(150)
        await asyncio.sleep(0.4)
        rig.add_sender("n1b", of="n1")
        await rig["n1b"].start()
        await asyncio.sleep(0.3)
        assert await rig["n1"].term() == 0
        await rig.until(lambda: 'event="holds the folder"' in rig["n1b"].text())
        await asyncio.sleep(0.4)
        stores = await open_stores(rig)
        own_stretches = [stretch for stretch in stores.activity(1).stretches if stretch.sender == "n1"]
        assert len(own_stretches) == 2 and not own_stretches[0].open and own_stretches[1].open
        assert sum(stretch.calls for stretch in own_stretches) == len(received(rig, sender="n1"))
        assert not [finding for finding in stores.findings() if finding.kind != "silent"]

    run_rig(tmp_path, scenario, also={"n1": ["n1b"]})


def test_a_folder_copied_to_another_sender_is_a_finding_and_both_branches_are_stored(tmp_path):
    async def scenario(rig):
        rig.load(150)
        await asyncio.sleep(0.4)
        await rig.quiet()
        await rig["n5"].kill()
        rig["n1"].stop()
        rig.copy_folder("n1", "n5")
        rig["n1"].go()
        await rig["n5"].start()
        cloned_ms = rig.now_ms()
        rig.load(150)
        await asyncio.sleep(0.4)
        stores = await open_stores(rig)
        found = {finding.kind for finding in stores.findings()}
        assert {"cloned folder", "another name"} <= found, stores.findings()
        (lost,) = unknown_of(stores.document_calls("d00001"), "n5")  # the copy replaced its own folder
        recorded = audited(rig, stores)  # both may have sent a document that was pending at n1
        assert [key for key in recorded if key not in received(rig)] == []
        missing = [key for key in received(rig) if key not in recorded]
        assert missing == [key for key in received(rig, lost.from_ms, lost.to_ms, "n5") if key in missing]
        assert {"n1", "n5"} <= {sender for sender, _, _ in received(rig, cloned_ms)}

    run_rig(tmp_path, scenario)


def test_collectors_cut_off_from_half_the_fleet_or_killed_report_unknown_periods(tmp_path):
    async def scenario(rig):
        rig.load(150)
        await asyncio.sleep(0.5)
        for name in ("n1", "n2"):
            rig.link("k1", f"{name}:ops").cut()
        cut_ms = rig.now_ms()
        number, at_ms = await publish(rig, e1="leaving")
        rig.load(150)
        await asyncio.sleep(0.5)
        stores = await open_stores(rig, without=("n1", "n2"))
        gap = {
            period.sender: period
            for period in stores.calls_after_removal("e1", number).unknown
            if period.to_ms - period.from_ms > 400
        }
        assert set(gap) == {"n1", "n2"} and all(period.from_ms < cut_ms + 250.0 for period in gap.values())
        merged = await open_stores(rig, ("k1", "k2"))
        assert not [
            period
            for period in merged.calls_after_removal("e1", number).unknown
            if period.to_ms - period.from_ms > 400
        ]
        assert audited(rig, merged) == received(rig)
        stored = audited(rig, stores)
        assert {sender for sender, _, _ in stored} == set(rig.senders) and len(stored) < len(received(rig))
        await rig["k1"].kill()
        assert audited(rig, Stores([rig.store("k1")], rig.now_ms())) == stored
        for name in ("n1", "n2"):
            rig.link("k1", f"{name}:ops").open()
        await rig["k1"].start("event=keeping")
        assert audited(rig, await open_stores(rig)) == received(rig), (
            "polling continues at the cursor and stores each record once"
        )

    run_rig(tmp_path, scenario, keepers=2)


def test_a_collector_with_a_full_store_keeps_its_records_and_reports_unknown_periods(tmp_path):
    async def scenario(rig):
        rig.load(300)
        await rig.until(lambda: "the store cannot be written" in rig["k1"].text(), 15.0)
        await asyncio.sleep(0.3)
        await rig.quiet()
        await asyncio.sleep(0.2)
        rig.audited_ms = rig.now_ms()
        assert rig["k1"].runs
        stores = Stores([rig.store("k1")], rig.now_ms())
        stored = audited(rig, stores)
        seen = received(rig)
        assert stored and not [key for key in stored if key not in seen]
        gaps = {period.sender: period for period in stores.document_calls("d00001").unknown}
        for call in rig.endpoints.calls:
            if (call.sender, call.doc, call.endpoint) not in stored:
                assert gaps[call.sender].from_ms - 20.0 <= rig.wall(call.at_ms)
        await rig["k1"].term()
        rig.add_keeper("k1", store_mb=64.0)
        await rig["k1"].start("event=keeping")
        assert audited(rig, await open_stores(rig)) == received(rig)

    run_rig(tmp_path, scenario, keeper={"store_mb": 0.25})


def test_a_trail_folded_before_it_was_polled_keeps_its_totals_and_reports_the_lost_calls(tmp_path):
    async def scenario(rig):
        rig.load(100)
        await asyncio.sleep(0.3)
        rig.link("k1", "n1:ops").cut()
        cut_ms = rig.now_ms()
        await rig.quiet()
        rig.load(450, ["n1"])
        await rig.until(lambda: sum(call.sender == "n1" for call in rig.endpoints.calls) > 1300, 15.0)
        await rig.quiet()
        rig.link("k1", "n1:ops").open()
        stores = await open_stores(rig)
        own_stretch = next(stretch for stretch in stores.activity(1).stretches if stretch.sender == "n1")
        assert own_stretch.calls == len(received(rig, sender="n1")) > 900
        gap = [
            period for period in stores.document_calls("d00001").unknown if period.why.startswith("folded")
        ]
        assert [period.sender for period in gap] == ["n1"] and cut_ms - 300.0 < gap[0].from_ms < gap[0].to_ms
        lost = [doc for _, doc, _ in received(rig, sender="n1") if not stores.document_calls(doc).calls]
        assert lost, "some single calls are lost"
        for call in rig.endpoints.calls:
            if call.doc in lost:
                assert gap[0].from_ms - 50.0 <= rig.wall(call.at_ms) <= gap[0].to_ms + 50.0
        assert not unknown_of(stores.activity(1), "n1"), "the totals are still exact"

    run_rig(tmp_path, scenario, senders=2, fleet="[trail]\nbytes = 65536\n")


def test_a_lost_folder_and_a_folder_restored_from_an_older_copy_are_findings(tmp_path):
    async def scenario(rig):
        rig.load(100)
        await asyncio.sleep(0.3)
        await rig.quiet()
        for name in ("n1", "n2"):
            await rig[name].kill()
        rig.copy_folder("n2", "backup")
        rig.lose_folder("n1")
        await asyncio.gather(rig["n1"].start(), rig["n2"].start())
        rig.load(100)
        await asyncio.sleep(0.4)
        await open_stores(rig)
        await rig["n2"].kill()
        rig.copy_folder("backup", "n2")
        await rig["n2"].start()
        rig.load(100)
        await asyncio.sleep(0.4)
        stores = await open_stores(rig)
        found = {(finding.kind, finding.sender) for finding in stores.findings()}
        assert {("folder lost", "n1"), ("fork", "n2")} <= found
        (lost,) = unknown_of(stores.document_calls("d00001"), "n1")
        assert lost.why == "the folder was lost" and lost.to_ms - lost.from_ms < 1000.0
        missing = [key for key in received(rig) if key not in audited(rig, stores)]
        assert missing == [key for key in received(rig, lost.from_ms, lost.to_ms, "n1") if key in missing]
        assert not [key for key in audited(rig, stores) if key not in received(rig)]

    run_rig(tmp_path, scenario, senders=3)


STEPPED_CLOCK_SENDER = """
import os, sys, time
import birchstack.__main__ as program
flag_path, real_time = os.environ["BALANCER_CONFIG"] + ".step", time.time
time.time = lambda: real_time() + (3600.0 if os.path.exists(flag_path) else 0.0)
sys.exit(program.main())
"""


def test_a_wall_clock_stepped_by_an_hour_is_a_finding_and_changes_no_answer(tmp_path):
    async def scenario(rig):
        rig.load(120)
        await asyncio.sleep(0.4)
        (tmp_path / "n1.json.step").touch()  # the wall clock of n1 is an hour ahead from here on
        number, at_ms = await publish(rig, e1="leaving")
        rig.load(120)
        await asyncio.sleep(0.4)
        stores = await open_stores(rig)
        assert [(finding.kind, finding.sender) for finding in stores.findings(1e9)] == [("wall clock", "n1")]
        assert audited(rig, stores) == received(rig) and not stores.late_calls(1).calls
        received_ms = {(call.sender, call.doc): rig.wall(call.at_ms) for call in rig.endpoints.calls}
        for doc in {doc for _, doc, _ in received(rig, sender="n1")}:
            for call in stores.document_calls(doc).calls:
                assert abs(received_ms[call.sender, doc] - call.at_ms) < 200.0

    (tmp_path / "stepped.py").write_text(STEPPED_CLOCK_SENDER)
    path = f"PYTHONPATH={shlex.quote(os.getcwd())}"
    run_rig(tmp_path, scenario, run=f"exec env {path} {sys.executable} {tmp_path / 'stepped.py'}")
