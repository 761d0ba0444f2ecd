"""Comparison of versions, the digest of a list, and what each comparison means for the list that is held."""

import random

import pytest

from birchstack.fleet import versions as v


def version(number=5, digest="aa", epoch="", kind=v.LIST, origin="x"):
    return v.Version(kind, origin, epoch, number, digest)


@pytest.mark.parametrize(
    "received, order",
    [
        (version(6), v.NEWER),
        (version(4), v.OLDER),
        (version(), v.SAME),
        (version(digest="bb"), v.FORKED),
        (version(9, epoch="e2"), v.FOREIGN),
        (version(origin="y"), v.SAME),
    ],
)
def test_versions_compare_by_epoch_number_and_digest(received, order):
    assert v.compare(received, version()) == order


def test_unnumbered_versions_are_the_same_or_unordered_and_kinds_cannot_be_compared():
    assert v.compare(version(None), version(None)) == v.SAME
    assert v.compare(version(None, "bb"), version(None)) == v.APART
    assert v.compare(version(3, "bb"), version(None)) == v.APART
    with pytest.raises(ValueError, match="program"):
        v.compare(version(kind=v.PROGRAM), version())


@pytest.mark.parametrize(
    "received, accept, warn",
    [
        (version(6), True, False),
        (version(), True, False),
        (version(9, epoch="e2"), True, True),
        (version(4), None, True),
        (version(digest="bb"), None, True),
    ],
)
def test_an_older_or_forked_list_follows_the_policy_and_always_causes_a_warning(received, accept, warn):
    for policy in (v.TAKE, v.HOLD):
        decision = v.judge_list(received, version(), policy)
        assert decision.accept == (policy == v.TAKE if accept is None else accept) and decision.warn == warn
    assert v.judge_list(received, None, v.HOLD) == v.ListDecision(True, v.FIRST, False)


def entry(uid, state="active", endpoint="10.0.0.1:1", **more):
    return {"uid": uid, "endpoint": endpoint, "az": "a", "model": "m", "pod_group": 3, "state": state, **more}


def test_the_digest_covers_only_what_is_the_same_for_every_sender():
    one, other = v.ListContents(), v.ListContents()
    one.apply(True, [entry("a"), entry("b")])
    other.apply(True, [entry("b", endpoint="10.9.9.9:1", boot_ms=5), entry("a", capacity_hint=0.4)])
    assert one.digest() == other.digest()
    for change in (entry("a", state="leaving"), entry("a", az="b"), entry("a", pod_group=4), entry("c")):
        changed = one.copy()
        changed.apply(False, [change])
        assert changed.digest() != one.digest()


def test_changes_lead_to_the_same_digest_as_the_whole_list():
    chance = random.Random(7)
    state, incremental, rebuilt = {}, v.ListContents(), v.ListContents()
    for _ in range(300):
        uid, now = f"s-{chance.randrange(20)}", chance.choice(["active", "leaving", "left"])
        changed = incremental.apply(False, [entry(uid, now)])
        assert changed == ({} if state.get(uid, "left") == now else {uid: now})
        state[uid] = now
        state = {each: now for each, now in state.items() if now != "left"}
        rebuilt = v.ListContents()
        rebuilt.apply(True, [entry(each, now) for each, now in state.items()])
        assert rebuilt.digest() == incremental.digest() and rebuilt.states == incremental.states == state


def test_a_whole_list_reports_omitted_entries_as_left():
    held = v.ListContents()
    held.apply(True, [entry("a"), entry("b")])
    changed = held.apply(True, [entry("b", "leaving"), entry("c")])
    assert changed == {"a": "left", "b": "leaving", "c": "active"}
