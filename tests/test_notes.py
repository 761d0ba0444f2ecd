"""Tests of notes between senders, endpoint lists, settings and time-outs, on a fake host."""

import pytest
from fake import Story

from birchstack import interface
from birchstack.state import endpoint_tag

TAG = endpoint_tag("a")


def receive(story, *notes, each_ms=10.0):
    for note in notes:
        story.at(story.now + each_ms)
        story.sender.note_received(story.now, note)
        story.sender.turn(story.now)


def with_notes(**settings):
    """Returns a story of a sender that exchanges notes in a fleet of 200."""
    return Story(**{"notes": True, "senders": 200, **settings})


def test_with_few_documents_one_time_out_is_noted_and_does_not_eject_the_endpoint():
    story = with_notes()  # guards against 1% of calls timing out and each ejecting an endpoint for a minute
    story.take("d")
    story.ends("d", interface.TIMEOUT, 2000.0)
    assert story.told == [TAG + "f"] and not story.logs


def test_failures_noted_by_three_senders_eject_an_endpoint_and_it_is_probed_one_document_at_a_time():
    story = with_notes()
    receive(story, *[TAG + "f"] * 3)
    assert "ill" in story.logs[0]
    for number in range(5):
        story.take(f"d{number}")
    assert len(story.calls) <= 1
    story.at(60000.0)
    assert story.calls  # other senders note their results, but notes may be lost


def test_noted_failures_decay_and_are_offset_by_noted_successes():
    story = with_notes()
    receive(story, *[TAG + "f"] * 5, each_ms=2000.0)
    story.at(story.now + 5000.0)
    receive(story, *[TAG + "f", TAG + "s"] * 6)
    assert not story.logs
    receive(story, TAG + "f", TAG + "f", TAG + "f")
    assert story.logs


def test_a_served_call_after_noted_failures_is_noted():
    story = with_notes()
    story.take("d")
    receive(story, TAG + "f")
    story.ends("d", interface.OK, 50.0)
    assert story.told == [TAG + "s"]


def test_binding_documents_wait_until_noted_failures_decay():
    story = with_notes()
    receive(story, TAG + "f", TAG + "f")
    story.take("pay", "pay")
    assert not story.calls
    story.at(3000.0)  # without an event other than its own alarm
    assert story.tries("pay") == 1
    other = with_notes()
    receive(other, TAG + "f", TAG + "f")
    other.take("sync")
    assert other.tries("sync") == 1


def test_a_noted_return_ends_the_ejection_and_held_documents_are_sent_slowly():
    story = with_notes()
    receive(story, *[TAG + "f"] * 3)
    for number in range(8):
        story.take(f"d{number}")
    sent = len(story.calls)
    receive(story, TAG + "b")
    assert "back" in story.logs[-1]
    story.at(story.now + 1000.0)
    assert len(story.calls) <= sent + 2


def test_a_served_call_that_was_sent_before_the_ejection_is_no_return():
    story = with_notes()  # regression: it was noted as a return, and all senders sent at once
    story.take("d")
    receive(story, f"{TAG}w15000")
    story.ends("d", interface.OK, 100.0)
    assert not [note for note in story.told if note.endswith("b")]
    story.take("e")
    story.at(15000.0)
    assert not story.tries("e")


def test_a_long_wait_in_a_note_holds_all_endpoints_of_the_route_and_is_bounded():
    story = with_notes(endpoints=("a", "b"))
    receive(story, f"{TAG}w{10**9}")
    story.take("d", left=20000.0)
    story.at(19000.0)
    assert not story.calls
    later = with_notes()
    receive(later, f"{TAG}w{10**9}")
    later.at(100000.0)
    later.take("d")
    assert later.calls


def test_a_short_wait_in_a_note_holds_documents_for_a_part_of_it():
    story = with_notes()
    receive(story, f"{TAG}w1000")
    story.take("d")
    assert not story.calls
    story.at(story.now + 1000.0)
    assert story.calls


@pytest.mark.parametrize(
    "note", ["", "f", "zzzzzzf", TAG, TAG + "?", TAG + "w", TAG + "w-5", TAG + "wx", TAG + "w1e9", "\0" * 256]
)
def test_a_malformed_note_is_ignored(note):
    story = with_notes()
    receive(story, *[note] * 5)
    story.take("d")
    assert story.calls and not story.logs


def test_notes_that_waited_while_the_process_was_stalled_are_ignored():
    story = with_notes(endpoints=())
    story.take("d", left=5000.0)  # an alarm is set
    story.listed(["a"], interface.CHANGES)
    story.ends("d", interface.FULL, 10.0, wait_ms=500.0)
    story.now += 3000.0  # without a turn
    for _ in range(20):
        story.sender.note_received(story.now, TAG + "f")
    story.sender.turn(story.now)
    assert not story.logs


def test_the_rate_of_notes_is_limited():
    names = [f"e{number}" for number in range(30)]
    story = with_notes(endpoints=(), slots=200)
    for number, name in enumerate(names):
        story.listed([name], interface.CHANGES, destination=number + 2)
        story.take(f"d{number}", destination=number + 2)
    for number in range(30):
        story.ends(f"d{number}", interface.ERROR)
    assert 1 <= len(story.told) <= 3


def test_no_note_is_sent_if_the_settings_do_not_permit_notes():
    story = Story(senders=200)
    story.take("d")
    story.ends("d", interface.TIMEOUT, 2000.0)
    assert not story.told and story.logs


def test_idle_connections_to_a_kind_are_closed_after_a_note_of_a_denied_connection():
    story = with_notes(endpoints=("a", "b"))
    for doc in ("d", "e"):
        story.take(doc)
        story.ends(doc, interface.OK, 50.0)
    assert not story.closed
    receive(story, TAG + "k")
    assert story.closed


@pytest.mark.parametrize("apart", [True, False])
def test_an_ejected_route_does_not_hold_back_a_separate_route(apart):
    story = Story(endpoints=("a", "b"), routes_apart=(apart,), slots=4, notes=True)
    for doc in ("d0", "d1"):
        story.take(doc)
        story.ends(doc, interface.OK, 50.0)
    receive(story, *[TAG + "f"] * 3)
    for number in range(3):
        story.take(f"e{number}")
    assert story.logs and len(story.calls) == 2 + (3 if apart else 1)


def test_a_document_in_backoff_joins_a_call_of_another_document():
    story = Story(per_call=(5,))
    story.take("d")
    story.ends("d", interface.ERROR)  # its backoff is up to 100 ms
    assert story.tries("d") == 1
    story.take("e")
    assert sorted(doc for doc, _ in story.calls[1:]) == ["d", "e"]


def test_the_list_is_requested_at_a_random_time_and_with_backoff_while_requests_fail():
    story = Story(list_on_request=True)
    assert ("list", "asked") not in story.said
    story.at(500.0)
    requested_at = []
    for _ in range(6):
        assert story.said[-1] == ("list", "asked")
        requested_at.append(story.now)
        story.listed([], interface.FAILED)
        while story.said[-1] == ("list", "asked") and len(story.said) == len(requested_at):
            story.at(story.now + 50.0)
    assert requested_at[-1] - requested_at[-2] > 2 * (requested_at[1] - requested_at[0])


def test_after_failures_the_list_is_requested_again_within_twice_the_configured_interval():
    """After a longer time the sender would be deemed to know list changes that it never received."""
    story = Story(list_on_request=True, list_every_ms=1000.0)
    story.at(500.0)
    requested_at = []
    for _ in range(8):
        requested_at.append(story.now)
        story.listed([], interface.FAILED)
        while len(story.said) == len(requested_at):
            story.at(story.now + 50.0)
    assert max(b - a for a, b in zip(requested_at, requested_at[1:], strict=False)) <= 2050.0


def test_requested_waits_and_held_documents_survive_a_change_of_settings_and_back():
    story = Story(endpoints=("a", "b"))
    story.take("d", "pay")
    story.ends("d", interface.FULL, 10.0, wait_ms=3000.0)
    apart = interface.Settings(
        **{
            name: getattr(story.sender._settings, name)
            for name in interface.Settings.__slots__
            if name not in ("routes_apart", "types")
        },
        routes_apart=(True,),
        types=(),
    )
    for settings in (apart, story.sender._settings, apart):
        story.sender.reconfigure(story.now, settings)
        story.sender.turn(story.now)
    story.at(3000.0)
    assert story.tries("d") == 1
    story.at(9000.0)
    assert story.tries("d") == 2 and not story.said


def test_senders_start_at_different_endpoints_and_prefer_one_with_an_idle_connection():
    first_endpoints = set()
    for seed in range(12):
        story = Story(endpoints=("a", "b"))
        story.sender = type(story.sender)(story.sender._settings, seed, story)
        story.listed(["a", "b"])
        for doc in ("d", "e", "f"):
            story.take(doc)
            story.ends(doc, interface.OK, 50.0)
        assert len({endpoint for _, endpoint in story.calls}) == 1
        first_endpoints.add(story.calls[0][1])
    assert first_endpoints == {"a", "b"}


@pytest.mark.parametrize("notes", [True, False])
def test_time_outs_are_shorter_with_scarce_slots_only_without_notes(notes):
    story = Story(notes=notes, slots=4)  # regression: with notes, a minute of slow answers ended in time-outs
    for number in range(2, 7):
        story.listed([f"z{number}"], interface.CHANGES, destination=number)
    story.take("before", destination=6)
    story.ends("before", interface.OK, 100.0)
    for number in range(2, 6):
        story.take(f"d{number}", destination=number)
    story.at(3000.0)
    story.ends("d2", interface.OK, 0.0)
    story.take("e", destination=6)
    assert (story.patience[-1] >= 2000.0) == notes


def test_a_separate_route_that_returns_warms_up_at_its_own_rate_while_the_other_serves_as_before():
    rate_share = {}
    for apart in (True, False):
        story = Story(endpoints=("a",) if not apart else ("a", "b"), routes_apart=(apart,), slots=40)
        for number in range(40):  # five documents a second, half of them for each route
            story.take(f"d{number}")
            story.ends(f"d{number}", interface.OK, 100.0)
        destination = story.sender._destinations[1]
        rate_share[apart] = destination.route_rate(story.now) / destination.rate(story.now)
    assert rate_share == {True: 0.5, False: 1.0}
    story = Story(endpoints=("a", "b"), routes_apart=(True,), slots=40, notes=True)
    for number in range(8):
        story.take(f"d{number}")
        story.ends(f"d{number}", interface.OK, 100.0)
    receive(story, *[TAG + "f"] * 9)
    assert "ill" in story.logs[0]
    receive(story, TAG + "b")
    before = len(story.calls)
    for number in range(12):
        story.take(f"e{number}")
    endpoints = [endpoint for _, endpoint in story.calls[before:]]
    assert endpoints.count("a") <= 1 and endpoints.count("b") >= 3
