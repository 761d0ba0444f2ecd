"""Versions as values, the digest of a list, and what each comparison means for the list that is held."""

import random

import pytest

from birchstack.fleet import versions as v


def version(number=5, digest="aa", epoch="", kind=v.LIST, origin="x"):
    return v.Version(kind, origin, epoch, number, digest)


@pytest.mark.parametrize(
    "told, order",
    [
        (version(6), v.NEWER),
        (version(4), v.OLDER),
        (version(), v.SAME),
        (version(digest="bb"), v.FORKED),
        (version(9, epoch="e2"), v.FOREIGN),
        (version(origin="y"), v.SAME),
    ],
)
def test_a_version_stands_to_another_by_epoch_number_and_digest(told, order):
    assert v.compare(told, version()) == order


def test_what_is_not_numbered_is_the_same_or_apart_and_kinds_do_not_mix():
    assert v.compare(version(None), version(None)) == v.SAME
    assert v.compare(version(None, "bb"), version(None)) == v.APART
    assert v.compare(version(3, "bb"), version(None)) == v.APART
    with pytest.raises(ValueError, match="program"):
        v.compare(version(kind=v.PROGRAM), version())


@pytest.mark.parametrize(
    "told, take, loud",
    [
        (version(6), True, False),
        (version(), True, False),
        (version(9, epoch="e2"), True, True),
        (version(4), None, True),
        (version(digest="bb"), None, True),
    ],
)
def test_a_list_that_goes_back_or_is_forked_is_taken_or_not_but_never_silently(told, take, loud):
    for back in (v.TAKE, v.HOLD):
        verdict = v.judge_list(told, version(), back)
        assert verdict.take == (back == v.TAKE if take is None else take) and verdict.loud == loud
    assert v.judge_list(told, None, v.HOLD) == v.Verdict(True, v.FIRST, False)


def line(uid, state="active", endpoint="10.0.0.1:1", **more):
    return {"uid": uid, "endpoint": endpoint, "az": "a", "model": "m", "pod_group": 3, "state": state, **more}


def test_the_digest_is_of_what_every_sender_is_told_alike():
    one, other = v.Contents(), v.Contents()
    one.apply(True, [line("a"), line("b")])
    other.apply(True, [line("b", endpoint="10.9.9.9:1", boot_ms=5), line("a", capacity_hint=0.4)])
    assert one.digest() == other.digest()
    for change in (line("a", state="leaving"), line("a", az="b"), line("a", pod_group=4), line("c")):
        twin = one.copy()
        twin.apply(False, [change])
        assert twin.digest() != one.digest()


def test_changes_come_to_the_same_digest_as_the_whole_list():
    chance = random.Random(7)
    state, changed, step = {}, v.Contents(), v.Contents()
    for _ in range(300):
        uid, now = f"s-{chance.randrange(20)}", chance.choice(["active", "leaving", "left"])
        told = changed.apply(False, [line(uid, now)])
        assert told == ({} if state.get(uid, "left") == now else {uid: now})
        state[uid] = now
        state = {each: now for each, now in state.items() if now != "left"}
        step = v.Contents()
        step.apply(True, [line(each, now) for each, now in state.items()])
        assert step.digest() == changed.digest() and step.states == changed.states == state


def test_a_whole_list_tells_what_it_leaves_out_as_left():
    held = v.Contents()
    held.apply(True, [line("a"), line("b")])
    assert held.apply(True, [line("b", "leaving"), line("c")]) == {"a": "left", "b": "leaving", "c": "active"}
