"""The audit of a fleet of real processes with faults between them, held against what the endpoints saw."""

import asyncio
import os
import random
import shlex
import sys

import pytest

from birchstack.emulator.rig.real import Rig
from birchstack.keeper.questions import Stores


def play(folder, story, **words):
    async def whole():
        async with Rig(folder, **{"senders": 5, "endpoints": 2, "destinations": 2, **words}) as rig:
            await asyncio.wait_for(story(rig), 25.0)

    asyncio.run(whole())


async def audit(rig, keepers=("k1",), without=(), **words):
    """The stores, once every sender's picture is complete up to now."""
    await rig.quiet()
    await asyncio.sleep(0.05)
    rig.audited = now = rig.now_ms()
    here = [rig.store(each) for each in keepers]

    def complete():
        stores = Stores(here, now_ms=rig.now_ms(), **words)
        ages = {}
        for each in stores.status():
            age = rig.now_ms() - each.age_ms if each.age_ms >= 0.0 else 0.0
            ages[each.sender] = max(age, ages.get(each.sender, 0.0))
        return all(age > now for sender, age in ages.items() if sender not in without) and ages

    await rig.until(complete, 8.0, "a complete picture")
    return Stores(here, now_ms=rig.now_ms(), **words)


def truth(rig, since=0.0, until=None, sender=None, endpoint=None):
    """What the endpoints saw up to the last audit: calls as (sender, document, endpoint)."""
    return sorted(
        (each.sender, each.doc, each.endpoint)
        for each in rig.endpoints.calls
        if since < rig.wall(each.at_ms) < (until or rig.audited)
        and sender in (None, each.sender)
        and endpoint in (None, each.endpoint)
    )


def named(calls):
    return sorted((each.sender, each.doc, each.endpoint) for each in calls if each.endpoint)


def known(rig, told, since=0.0):
    """What the audit knows of every document that any endpoint saw."""
    docs = {doc for _, doc, _ in truth(rig, since)}
    return named(call for doc in docs for call in told.document(doc).calls)


async def publish(rig, lists="list", **states):
    """A version between two calms, so that no call is under way as it comes out. Returns number and time."""
    await rig.quiet()
    await asyncio.sleep(0.15)
    number, at = rig.lists[lists].publish(**states), rig.now_ms()
    await asyncio.sleep(0.15)
    return number, at


async def adopted(rig, sender, number):
    await rig.until(lambda: f"version={number}@" in rig[sender].text(), 8.0, f"{sender} on {number}")


def unknown_of(answer, sender, but=("not heard of since",)):
    return [each for each in answer.unknown if each.sender == sender and each.why not in but]


@pytest.mark.parametrize("way", ["both", "back"])
def test_a_sender_cut_off_from_the_list_service_while_an_endpoint_is_taken_out(way, tmp_path):
    async def story(rig):
        rig.load(120)
        await asyncio.sleep(0.4)
        rig.link("n1", "list").cut(way)
        number, at = await publish(rig, e1="leaving")
        rig.load(120)
        await asyncio.sleep(1.0)
        told = await audit(rig, behind_ms=500.0)
        late, after = told.late(1), told.after("e1", number)
        assert truth(rig, at, sender="n1", endpoint="e1"), "the sender that was cut off did call it"
        assert named(after.calls) == truth(rig, at, endpoint="e1")
        assert named(late.calls) == truth(rig, at, sender="n1")
        assert not any(unknown_of(late, f"n{each}") for each in range(1, 6))
        doc = after.calls[0].doc
        assert [(each.sender, each.number) for each in told.document(doc).calls] == [("n1", 1)]
        kinds = {(each.kind, each.sender) for each in told.findings(grace_ms=0.0)}
        assert kinds == {("behind", "n1"), ("called after out", "n1")}
        rig.link("n1", "list").open()
        await adopted(rig, "n1", number)
        back = rig.now_ms()
        rig.load(60)
        await asyncio.sleep(0.3)
        told = await audit(rig, behind_ms=500.0)
        assert [each.behind for each in told.status()] == [0] * 5
        assert not truth(rig, back, endpoint="e1") and named(told.late(1).calls) == truth(rig, at, back, "n1")
        acted = {each.sender: each for each in told.acted(1).stretches}
        assert not acted["n1"].open and acted["n1"].calls == len(truth(rig, 0.0, back, "n1"))

    play(tmp_path, story)


def test_a_list_service_restored_from_a_backup_is_known_as_such_and_its_calls_are_told_apart(tmp_path):
    async def story(rig):
        number, out = await publish(rig, e1="left")
        rig.load(100)
        await asyncio.sleep(0.4)
        await rig.quiet()
        await asyncio.sleep(0.15)
        restored = rig.now_ms()
        rig.list.restore(1)
        for name in rig.senders:
            await rig.until(lambda name=name: "order=older" in rig[name].text())
        rig.load(100)
        await asyncio.sleep(0.5)
        told = await audit(rig)
        kinds = [(each.kind, each.sender) for each in told.findings(0.0)]
        assert kinds.count(("list service older", "")) == 1
        assert {sender for kind, sender in kinds if kind == "list older"} == set(rig.senders)
        assert not truth(rig, out, restored, endpoint="e1") and truth(rig, restored, endpoint="e1")
        assert not told.after("e1", number).calls, "it was back in, by the list that came back"
        second = {each.sender: each.calls for each in told.acted(1).stretches if each.from_ms > out}
        assert second == {name: len(truth(rig, restored, sender=name)) for name in rig.senders}
        assert named(told.late(2).calls) == []

    play(tmp_path, story)


def test_two_list_services_with_one_number_and_two_contents_are_told_by_their_digests(tmp_path):
    async def story(rig):
        for name in ("n4", "n5"):
            await rig[name].kill()
            rig.add_sender(name, lists="list2")
            await rig[name].start()
        rig.lists["list2"].publish(e2="leaving")
        number, at = await publish(rig, e1="leaving")
        rig.load(100)
        await asyncio.sleep(0.6)
        told = await audit(rig)
        differs = [each.sender for each in told.findings() if each.kind == "contents differ"]
        assert differs == ["n4", "n5"]
        stretches = told.acted(number).stretches
        assert len({each.digest for each in stretches}) == 2
        assert {each.sender: each.calls for each in stretches} == {
            name: len(truth(rig, at, sender=name)) for name in rig.senders
        }
        assert named(told.after("e1", number).calls) == truth(rig, at, endpoint="e1")
        assert {sender for sender, _, _ in truth(rig, at, endpoint="e1")} == {"n4", "n5"}

    play(tmp_path, story, list_services=2)


def test_a_sender_that_is_stopped_and_let_go_is_unknown_meanwhile_and_exact_after(tmp_path):
    async def story(rig):
        rig.load(80)
        await asyncio.sleep(0.4)
        await rig.quiet()
        rig["n1"].stop()
        stopped = rig.now_ms()
        number, at = await publish(rig, e1="leaving")
        await asyncio.sleep(1.6)
        told = await audit(rig, without=("n1",), silent_ms=1000.0)
        missing = [each for each in told.after("e1", number).unknown if each.sender == "n1"]
        assert len(missing) == 1 and missing[0].from_ms <= stopped + 250.0 and missing[0].to_ms > at
        assert ("silent", "n1") in {(each.kind, each.sender) for each in told.findings()}
        for doc in range(8):
            rig.clients.hand_in("n1", f"late{doc}", 1 + doc % 2)
        await asyncio.sleep(0.05)
        rig["n1"].go()
        await adopted(rig, "n1", number)
        rig.load(80)
        await asyncio.sleep(0.3)
        told = await audit(rig, silent_ms=1000.0)
        assert named(told.after("e1", number).calls) == truth(rig, at, endpoint="e1")
        assert named(told.late(1).calls) == truth(rig, at, sender="n1")[: len(told.late(1).calls)]
        assert not unknown_of(told.late(1), "n1") and not told.findings(1e9)

    play(tmp_path, story)


def test_senders_killed_around_an_adoption_leave_a_record_of_every_call(tmp_path):
    async def story(rig):
        chance, states = random.Random(5), ["leaving", "active"]
        for round_ in range(4):
            rig.load(250)
            await asyncio.sleep(0.25)
            rig.list.publish(e1=states[round_ % 2])
            await asyncio.sleep(chance.random() * 0.012)
            await asyncio.gather(*(rig[name].kill() for name in ("n1", "n2", "n3")))
            await asyncio.gather(*(rig[name].start() for name in ("n1", "n2", "n3")))
        await asyncio.sleep(0.2)
        told = await audit(rig)
        acted = [each for number in range(1, 6) for each in told.acted(number).stretches]
        seen, everything = truth(rig), known(rig, told)
        extra = [each for each in everything if each not in seen]
        assert [each for each in seen if each not in everything] == [], "a call that nobody recorded"
        assert len(extra) <= 12, "begun, recorded, and killed before they left: at most a turn for each kill"
        assert sum(each.calls for each in acted) >= len(seen)
        assert not told.findings(1e9)

    play(tmp_path, story)


def test_an_upgrade_is_one_trail_of_two_lives_and_no_fork(tmp_path):
    async def story(rig):
        rig.load(150)
        await asyncio.sleep(0.4)
        rig.add_sender("n1b", of="n1")
        await rig["n1b"].start()
        await asyncio.sleep(0.3)
        assert await rig["n1"].term() == 0
        await rig.until(lambda: 'event="holds the folder"' in rig["n1b"].text())
        await asyncio.sleep(0.4)
        told = await audit(rig)
        mine = [each for each in told.acted(1).stretches if each.sender == "n1"]
        assert len(mine) == 2 and not mine[0].open and mine[1].open
        assert sum(each.calls for each in mine) == len(truth(rig, sender="n1"))
        assert not [each for each in told.findings() if each.kind != "silent"]

    play(tmp_path, story, also={"n1": ["n1b"]})


def test_a_folder_copied_to_another_sender_is_found_and_both_ways_are_kept(tmp_path):
    async def story(rig):
        rig.load(150)
        await asyncio.sleep(0.4)
        await rig.quiet()
        await rig["n5"].kill()
        rig["n1"].stop()
        rig.copy_folder("n1", "n5")
        rig["n1"].go()
        await rig["n5"].start()
        cloned = rig.now_ms()
        rig.load(150)
        await asyncio.sleep(0.4)
        told = await audit(rig)
        found = {each.kind for each in told.findings()}
        assert {"cloned folder", "another name"} <= found, told.findings()
        (lost,) = unknown_of(told.document("d00001"), "n5")  # its own folder, that the copy took the place of
        both = known(rig, told)  # a document that n1 owed may have gone out from both
        assert [each for each in both if each not in truth(rig)] == []
        gone = [each for each in truth(rig) if each not in both]
        assert gone == [each for each in truth(rig, lost.from_ms, lost.to_ms, "n5") if each in gone]
        assert {"n1", "n5"} <= {sender for sender, _, _ in truth(rig, cloned)}

    play(tmp_path, story)


def test_keepers_cut_from_half_the_fleet_or_killed_know_what_they_do_not_know(tmp_path):
    async def story(rig):
        rig.load(150)
        await asyncio.sleep(0.5)
        for name in ("n1", "n2"):
            rig.link("k1", f"{name}:ops").cut()
        cut = rig.now_ms()
        number, at = await publish(rig, e1="leaving")
        rig.load(150)
        await asyncio.sleep(0.5)
        told = await audit(rig, without=("n1", "n2"))
        gap = {
            each.sender: each for each in told.after("e1", number).unknown if each.to_ms - each.from_ms > 400
        }
        assert set(gap) == {"n1", "n2"} and all(each.from_ms < cut + 250.0 for each in gap.values())
        whole = await audit(rig, ("k1", "k2"))
        assert not [each for each in whole.after("e1", number).unknown if each.to_ms - each.from_ms > 400]
        assert known(rig, whole) == truth(rig)
        had = known(rig, told)
        assert {sender for sender, _, _ in had} == set(rig.senders) and len(had) < len(truth(rig))
        await rig["k1"].kill()
        assert known(rig, Stores([rig.store("k1")], rig.now_ms())) == had
        for name in ("n1", "n2"):
            rig.link("k1", f"{name}:ops").open()
        await rig["k1"].start("event=keeping")
        assert known(rig, await audit(rig)) == truth(rig), "from where it was, and each record once"

    play(tmp_path, story, keepers=2)


def test_a_keeper_without_room_keeps_what_it_has_and_knows_what_it_does_not(tmp_path):
    async def story(rig):
        rig.load(300)
        await rig.until(lambda: "the store cannot be written" in rig["k1"].text(), 15.0)
        await asyncio.sleep(0.3)
        await rig.quiet()
        await asyncio.sleep(0.2)
        rig.audited = rig.now_ms()
        assert rig["k1"].runs
        told = Stores([rig.store("k1")], rig.now_ms())
        had, seen = known(rig, told), truth(rig)
        assert had and not [each for each in had if each not in seen]
        gaps = {each.sender: each for each in told.document("d00001").unknown}
        for each in rig.endpoints.calls:
            if (each.sender, each.doc, each.endpoint) not in had:
                assert gaps[each.sender].from_ms - 20.0 <= rig.wall(each.at_ms)
        await rig["k1"].term()
        rig.add_keeper("k1", store_mb=64.0)
        await rig["k1"].start("event=keeping")
        assert known(rig, await audit(rig)) == truth(rig)

    play(tmp_path, story, keeper={"store_mb": 0.25})


def test_a_trail_that_was_folded_before_it_was_fetched_keeps_its_totals_and_says_what_is_gone(tmp_path):
    async def story(rig):
        rig.load(100)
        await asyncio.sleep(0.3)
        rig.link("k1", "n1:ops").cut()
        cut = rig.now_ms()
        await rig.quiet()
        rig.load(450, ["n1"])
        await rig.until(lambda: sum(each.sender == "n1" for each in rig.endpoints.calls) > 1300, 15.0)
        await rig.quiet()
        rig.link("k1", "n1:ops").open()
        told = await audit(rig)
        mine = next(each for each in told.acted(1).stretches if each.sender == "n1")
        assert mine.calls == len(truth(rig, sender="n1")) > 900
        gap = [each for each in told.document("d00001").unknown if each.why.startswith("folded")]
        assert [each.sender for each in gap] == ["n1"] and cut - 300.0 < gap[0].from_ms < gap[0].to_ms
        lost = [doc for _, doc, _ in truth(rig, sender="n1") if not told.document(doc).calls]
        assert lost, "some single calls are gone"
        for each in rig.endpoints.calls:
            if each.doc in lost:
                assert gap[0].from_ms - 50.0 <= rig.wall(each.at_ms) <= gap[0].to_ms + 50.0
        assert not unknown_of(told.acted(1), "n1"), "the totals are exact all the same"

    play(tmp_path, story, senders=2, fleet="[trail]\nbytes = 65536\n")


def test_a_lost_folder_and_an_older_copy_of_it_are_findings(tmp_path):
    async def story(rig):
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
        await audit(rig)
        await rig["n2"].kill()
        rig.copy_folder("backup", "n2")
        await rig["n2"].start()
        rig.load(100)
        await asyncio.sleep(0.4)
        told = await audit(rig)
        found = {(each.kind, each.sender) for each in told.findings()}
        assert {("folder lost", "n1"), ("fork", "n2")} <= found
        (lost,) = unknown_of(told.document("d00001"), "n1")
        assert lost.why == "the folder was lost" and lost.to_ms - lost.from_ms < 1000.0
        gone = [each for each in truth(rig) if each not in known(rig, told)]
        assert gone == [each for each in truth(rig, lost.from_ms, lost.to_ms, "n1") if each in gone]
        assert not [each for each in known(rig, told) if each not in truth(rig)]

    play(tmp_path, story, senders=3)


STEPPED = """
import os, sys, time
import birchstack.__main__ as program
told, real = os.environ["BALANCER_CONFIG"] + ".step", time.time
time.time = lambda: real() + (3600.0 if os.path.exists(told) else 0.0)
sys.exit(program.main())
"""


def test_a_wall_clock_that_steps_an_hour_is_a_finding_and_moves_no_answer(tmp_path):
    async def story(rig):
        rig.load(120)
        await asyncio.sleep(0.4)
        (tmp_path / "n1.json.step").touch()  # from here on its wall clock is an hour ahead
        number, at = await publish(rig, e1="leaving")
        rig.load(120)
        await asyncio.sleep(0.4)
        told = await audit(rig)
        assert [(each.kind, each.sender) for each in told.findings(1e9)] == [("wall clock", "n1")]
        assert known(rig, told) == truth(rig) and not told.late(1).calls
        seen = {(each.sender, each.doc): rig.wall(each.at_ms) for each in rig.endpoints.calls}
        for doc in {doc for _, doc, _ in truth(rig, sender="n1")}:
            for call in told.document(doc).calls:
                assert abs(seen[call.sender, doc] - call.at_ms) < 200.0

    (tmp_path / "stepped.py").write_text(STEPPED)
    path = f"PYTHONPATH={shlex.quote(os.getcwd())}"
    play(tmp_path, story, run=f"exec env {path} {sys.executable} {tmp_path / 'stepped.py'}")
