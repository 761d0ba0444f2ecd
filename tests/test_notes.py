"""What senders tell one another, and what they make of it; each a short story on the fake host."""

import pytest
from fake import Story

from birchstack import interface as our
from birchstack.state import mark

A = mark("a")


def hears(story, *notes, each_ms=10.0):
    for note in notes:
        story.at(story.now + each_ms)
        story.sender.note_received(story.now, note)
        story.sender.turn(story.now)


def fleet(**words):
    return Story(**{"notes": True, "senders": 200, **words})


def test_where_documents_are_few_one_time_out_is_told_and_not_yet_an_illness():
    story = fleet()  # 1% of calls time out; each took an endpoint away for a minute
    story.take("d")
    story.ends("d", our.TIMEOUT, 2000.0)
    assert story.told == [A + "f"] and not story.logs


def test_failures_that_three_senders_meet_make_ill_and_what_waits_tries_in_turn():
    story = fleet()
    hears(story, *[A + "f"] * 3)
    assert "ill" in story.logs[0]
    for number in range(5):
        story.take(f"d{number}")
    assert len(story.calls) <= 1
    story.at(60000.0)
    assert story.calls  # what another finds is heard, but notes may be lost


def test_failures_told_fade_and_are_answered_by_who_is_served():
    story = fleet()
    hears(story, *[A + "f"] * 5, each_ms=2000.0)
    story.at(story.now + 5000.0)
    hears(story, *[A + "f", A + "s"] * 6)
    assert not story.logs
    hears(story, A + "f", A + "f", A + "f")
    assert story.logs


def test_who_is_served_where_failures_are_told_says_so():
    story = fleet()
    story.take("d")
    hears(story, A + "f")
    story.ends("d", our.OK, 50.0)
    assert story.told == [A + "s"]


def test_binding_documents_wait_where_failures_are_told_until_these_fade():
    story = fleet()
    hears(story, A + "f", A + "f")
    story.take("pay", "pay")
    assert not story.calls
    story.at(3000.0)  # no event but its own alarm
    assert story.tries("pay") == 1
    other = fleet()
    hears(other, A + "f", A + "f")
    other.take("sync")
    assert other.tries("sync") == 1


def test_a_return_that_is_told_ends_the_illness_and_what_waits_goes_slowly():
    story = fleet()
    hears(story, *[A + "f"] * 3)
    for number in range(8):
        story.take(f"d{number}")
    out = len(story.calls)
    hears(story, A + "b")
    assert "back" in story.logs[-1]
    story.at(story.now + 1000.0)
    assert len(story.calls) <= out + 2


def test_a_call_sent_before_an_endpoint_fell_ill_is_no_sign_of_its_return():
    story = fleet()  # riga-market big-1: told as a return, and all sent at the opening
    story.take("d")
    hears(story, f"{A}w15000")
    story.ends("d", our.OK, 100.0)
    assert not [note for note in story.told if note.endswith("b")]
    story.take("e")
    story.at(15000.0)
    assert not story.tries("e")


def test_a_long_wait_told_by_another_holds_all_endpoints_of_the_route_and_is_bounded():
    story = fleet(endpoints=("a", "b"))
    hears(story, f"{A}w{10**9}")
    story.take("d", left=20000.0)
    story.at(19000.0)
    assert not story.calls
    later = fleet()
    hears(later, f"{A}w{10**9}")
    later.at(100000.0)
    later.take("d")
    assert later.calls


def test_a_short_wait_told_by_another_holds_back_for_a_part_of_it():
    story = fleet()
    hears(story, f"{A}w1000")
    story.take("d")
    assert not story.calls
    story.at(story.now + 1000.0)
    assert story.calls


@pytest.mark.parametrize(
    "note", ["", "f", "zzzzzzf", A, A + "?", A + "w", A + "w-5", A + "wx", A + "w1e9", "\0" * 256]
)
def test_a_note_that_cannot_be_read_is_skipped(note):
    story = fleet()
    hears(story, *[note] * 5)
    story.take("d")
    assert story.calls and not story.logs


def test_notes_that_lay_there_while_the_sender_stood_still_are_skipped():
    story = fleet(endpoints=())
    story.take("d", left=5000.0)  # an alarm is set
    story.listed(["a"], our.CHANGES)
    story.ends("d", our.FULL, 10.0, wait_ms=500.0)
    story.now += 3000.0  # no turn meanwhile
    for _ in range(20):
        story.sender.note_received(story.now, A + "f")
    story.sender.turn(story.now)
    assert not story.logs


def test_notes_are_metered():
    names = [f"e{number}" for number in range(30)]
    story = fleet(endpoints=(), slots=200)
    for number, name in enumerate(names):
        story.listed([name], our.CHANGES, destination=number + 2)
        story.take(f"d{number}", destination=number + 2)
    for number in range(30):
        story.ends(f"d{number}", our.ERROR)
    assert 1 <= len(story.told) <= 3


def test_without_leave_nothing_is_told():
    story = Story(senders=200)
    story.take("d")
    story.ends("d", our.TIMEOUT, 2000.0)
    assert not story.told and story.logs


def test_a_denied_dial_ends_idle_connections_of_its_kind_here_and_elsewhere():
    story = fleet(endpoints=("a", "b"))
    for doc in ("d", "e"):
        story.take(doc)
        story.ends(doc, our.OK, 50.0)
    assert not story.closed
    hears(story, A + "k")
    assert story.closed


@pytest.mark.parametrize("apart", [True, False])
def test_a_troubled_route_does_not_hold_back_the_one_beside_it(apart):
    story = Story(endpoints=("a", "b"), routes_apart=(apart,), slots=4, notes=True)
    for doc in ("d0", "d1"):
        story.take(doc)
        story.ends(doc, our.OK, 50.0)
    hears(story, *[A + "f"] * 3)
    for number in range(3):
        story.take(f"e{number}")
    assert story.logs and len(story.calls) == 2 + (3 if apart else 1)


def test_a_document_in_a_pause_joins_a_call_that_leaves():
    story = Story(per_call=(5,))
    story.take("d")
    story.ends("d", our.ERROR)  # it pauses now, for up to 100 ms
    assert story.tries("d") == 1
    story.take("e")
    assert sorted(doc for doc, _ in story.calls[1:]) == ["d", "e"]


def test_the_list_is_asked_for_at_different_times_and_less_and_less_often_while_it_fails():
    story = Story(list_on_request=True)
    assert ("list", "asked") not in story.said
    story.at(500.0)
    asked = []
    for _ in range(6):
        assert story.said[-1] == ("list", "asked")
        asked.append(story.now)
        story.listed([], our.FAILED)
        while story.said[-1] == ("list", "asked") and len(story.said) == len(asked):
            story.at(story.now + 50.0)
    assert asked[-1] - asked[-2] > 2 * (asked[1] - asked[0])


def test_an_asked_list_that_fails_is_asked_for_again_within_twice_the_rules_interval():
    """Longer without asking after a failure, the sender would count as told of what it never heard."""
    story = Story(list_on_request=True, list_every_ms=1000.0)
    story.at(500.0)
    asked = []
    for _ in range(8):
        asked.append(story.now)
        story.listed([], our.FAILED)
        while len(story.said) == len(asked):
            story.at(story.now + 50.0)
    assert max(b - a for a, b in zip(asked, asked[1:], strict=False)) <= 2050.0


def test_other_settings_keep_told_waits_and_documents_held_both_ways():
    story = Story(endpoints=("a", "b"))
    story.take("d", "pay")
    story.ends("d", our.FULL, 10.0, wait_ms=3000.0)
    apart = our.Settings(
        **{
            name: getattr(story.sender._set, name)
            for name in our.Settings.__slots__
            if name not in ("routes_apart", "types")
        },
        routes_apart=(True,),
        types=(),
    )
    for settings in (apart, story.sender._set, apart):
        story.sender.reconfigure(story.now, settings)
        story.sender.turn(story.now)
    story.at(3000.0)
    assert story.tries("d") == 1
    story.at(9000.0)
    assert story.tries("d") == 2 and not story.said


def test_many_senders_begin_at_different_endpoints_and_go_where_a_connection_lies():
    firsts = set()
    for seed in range(12):
        story = Story(endpoints=("a", "b"))
        story.sender = type(story.sender)(story.sender._set, seed, story)
        story.listed(["a", "b"])
        for doc in ("d", "e", "f"):
            story.take(doc)
            story.ends(doc, our.OK, 50.0)
        assert len({where for _, where in story.calls}) == 1
        firsts.add(story.calls[0][1])
    assert firsts == {"a", "b"}


@pytest.mark.parametrize("notes", [True, False])
def test_time_outs_shorten_for_scarce_slots_only_where_nobody_tells_of_the_silent(notes):
    story = Story(notes=notes, slots=4)  # reli-main overload: a slow minute for all ended in time-outs
    for number in range(2, 7):
        story.listed([f"z{number}"], our.CHANGES, destination=number)
    story.take("before", destination=6)
    story.ends("before", our.OK, 100.0)
    for number in range(2, 6):
        story.take(f"d{number}", destination=number)
    story.at(3000.0)
    story.ends("d2", our.OK, 0.0)
    story.take("e", destination=6)
    assert (story.patience[-1] >= 2000.0) == notes


def test_a_route_apart_that_returns_is_warmed_up_by_its_own_part_while_its_sibling_serves_as_before():
    sent = {}
    for apart in (True, False):
        story = Story(endpoints=("a",) if not apart else ("a", "b"), routes_apart=(apart,), slots=40)
        for number in range(40):  # five documents a second, half of them for each route
            story.take(f"d{number}")
            story.ends(f"d{number}", our.OK, 100.0)
        usual = story.sender._destinations[1]
        sent[apart] = usual.usual(story.now) / usual.rate(story.now)
    assert sent == {True: 0.5, False: 1.0}
    story = Story(endpoints=("a", "b"), routes_apart=(True,), slots=40, notes=True)
    for number in range(8):
        story.take(f"d{number}")
        story.ends(f"d{number}", our.OK, 100.0)
    hears(story, *[A + "f"] * 9)
    assert "ill" in story.logs[0]
    hears(story, A + "b")
    before = len(story.calls)
    for number in range(12):
        story.take(f"e{number}")
    where = [name for _, name in story.calls[before:]]
    assert where.count("a") <= 1 and where.count("b") >= 3
