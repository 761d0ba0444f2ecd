"""What the decisions make of reports from other senders, and what they tell: stories on the fake host."""

import pytest
from fake import Story

from birchstack import interface as our
from birchstack.interface import Report, SignalKind

WAIT, SERVED, FAILED = SignalKind


def linked(**settings):
    story = Story(**{"senders": 200, **settings})
    story.at(10_000.0)
    story.sender.signals_available(story.now, True)
    return story


def reported(story, **words):
    story.sender.report_received(story.now, Report("a", **words))
    story.sender.turn(story.now)


def failing(story, by=16, **words):
    reported(story, failed_by=by, first_ms=900.0, last_ms=100.0, **words)


def ill(story):
    return story.sender.avoided() == ["a"]


def test_nothing_is_told_before_signals_come():
    story = Story(senders=200)
    story.take("d")
    story.ends("d", our.ERROR)
    story.take("e")
    story.ends("e", our.FULL, wait_ms=9000.0)
    assert not story.observations


def test_failures_and_what_is_served_after_them_are_told():
    story = linked()
    story.take("d")
    story.ends("d", our.OK)
    assert not story.observations, "all is well"
    story.take("e")
    story.ends("e", our.ERROR, after=100.0)
    assert story.observations == [("a", FAILED, 0.0)]
    story.at(200_000.0)
    story.take("g")
    story.ends("g", our.OK)
    assert story.observations[1:] == [("a", SERVED, 0.0)]


@pytest.mark.parametrize("wait_ms, told", [(1500.0, []), (9000.0, [("a", WAIT, 9000.0)])])
def test_a_long_wait_is_told_and_a_short_one_is_a_limits_span(wait_ms, told):
    story = linked()
    story.take("d")
    story.ends("d", our.FULL, wait_ms=wait_ms)
    assert story.observations == told


def test_no_single_observer_makes_an_endpoint_ill_and_a_quorum_does():
    story = linked()
    failing(story, by=1)
    failing(story, by=2)
    assert not ill(story)
    failing(story, by=3)
    assert ill(story) and "told" in story.logs[0]
    story.take("d")
    assert not story.calls, "its first call would go to one known to be down"


@pytest.mark.parametrize("senders", [2, 3, 4])
def test_in_a_small_fleet_two_others_suffice_and_one_never(senders):
    story = linked(senders=senders)
    failing(story, by=1)
    assert not ill(story)
    failing(story, by=2)
    assert ill(story)


def test_the_more_traffic_the_more_observers_it_takes():
    story = linked(senders=100)
    for number in range(80):  # 10 a second here, and 1,000 of all
        story.take(f"d{number}")
        story.ends(f"d{number}", our.OK, after=100.0)
    story.at(story.now + 2000.0)
    failing(story, by=15)
    assert not ill(story)
    failing(story, by=16)
    assert ill(story)


def test_an_own_success_counts_more_than_any_failures_told_that_began_before_it():
    story = linked()
    story.at(15_000.0)
    story.take("d")
    story.ends("d", our.OK)
    reported(story, failed_by=16, first_ms=1.0, last_ms=0.0)
    assert not ill(story)
    story.at(16_000.0)
    reported(story, failed_by=16, first_ms=500.0, last_ms=0.0)
    assert ill(story)


def test_failures_that_began_before_somebody_was_served_count_no_more_whoever_tells_them():
    story = linked()
    story.at(15_000.0)
    reported(story, served_ms=50.0)
    failing(story)
    assert not ill(story), "from another keeper, which had not heard of it"


def test_who_is_served_where_failures_are_told_says_so():
    story = linked()
    failing(story, by=1)
    story.take("d")
    story.ends("d", our.OK)
    assert story.observations == [("a", SERVED, 0.0)]
    reported(story, served_ms=0.0)
    story.take("e")
    story.ends("e", our.OK, after=500.0)
    assert len(story.observations) == 1, "the others know"


def test_a_told_wait_is_kept_by_all_who_know_of_it():
    story = linked()
    reported(story, wait_ms=6000.0, wait_age_ms=500.0)
    story.take("d")
    story.at(15_999.0)
    assert not story.calls and ill(story)
    story.at(120_000.0)
    story.take("e")
    story.at(240_000.0)
    assert story.calls


def test_a_wait_that_several_keepers_tell_is_taken_once_and_a_longer_one_again():
    story = linked()
    for wait_ms in (6000.0, 5990.0, 6050.0):
        reported(story, wait_ms=wait_ms)
    assert len(story.logs) == 1
    reported(story, wait_ms=9000.0)
    assert len(story.logs) == 2


def test_a_wait_that_was_told_before_an_own_success_is_over():
    story = linked()
    story.at(15_000.0)
    story.take("d")
    story.ends("d", our.OK)
    reported(story, wait_ms=6000.0, wait_age_ms=500.0)
    story.take("e")
    assert story.tries("e") == 1


def test_a_served_call_during_a_told_wait_does_not_end_it():
    story = linked()
    reported(story, wait_ms=6000.0)
    story.at(11_000.0)
    reported(story, served_ms=10.0, wait_ms=5000.0, wait_age_ms=1000.0)
    assert ill(story)
    story.take("d")
    story.at(15_990.0)
    assert not story.calls


def test_a_return_that_is_reported_begins_the_ramp():
    story = linked()
    story.at(11_000.0)
    failing(story)
    for number in range(8):
        story.take(f"d{number}")
    reported(story, served_ms=5.0)
    assert not ill(story) and "back" in story.logs[-1]
    story.at(story.now + 1000.0)
    assert len(story.calls) <= 1, "cold"


def test_a_return_that_others_saw_before_it_failed_is_none():
    story = linked()
    story.at(15_000.0)
    failing(story)
    reported(story, served_ms=1000.0)
    assert ill(story), "failures were seen after it, as another keeper told"


def test_an_own_failure_after_what_others_were_served_counts_more():
    story = linked(senders=2)
    story.at(15_000.0)
    for number in range(3):
        story.take(f"d{number}")
    for number in range(3):
        story.ends(f"d{number}", our.TIMEOUT)
    assert ill(story)
    story.at(15_140.0)
    reported(story, served_ms=150.0)
    assert ill(story)
    reported(story, served_ms=5.0)
    assert not ill(story)


def test_returns_that_are_only_told_are_believed_now_and_then():
    story = linked()
    for at in (11_000.0, 12_000.0):
        story.at(at)
        failing(story)
        reported(story, served_ms=5.0)
        assert ill(story) == (at == 12_000.0)
    story.at(43_000.0)
    failing(story)
    reported(story, served_ms=5.0)
    assert not ill(story)


def trials_of(stories, seconds):
    """Calls of all, each handed a document every 10 s."""
    for story in stories:
        story.at(11_000.0)
        failing(story)
        for turn in range(int(seconds / 10)):
            story.at(story.now + 10_000.0)
            story.take(f"d{turn}")
            while pending := [doc for doc, _ in story.calls if story.tries(doc) > story.ends_of(doc)]:
                story.ends(pending[0], our.ERROR, over=False)
    return sum(len(story.calls) for story in stories)


def test_together_they_try_an_endpoint_that_is_down_about_as_often_as_one_would():
    stories = [linked(senders=200, max_transmissions=99) for _ in range(40)]
    for seed, story in enumerate(stories):
        story.sender._draw = __import__("random").Random(seed).uniform
    calls = trials_of(stories, 400.0)
    assert 0.5 < calls / 400.0 * 200 / 40 < 4.0, "two a second of all 200"


def test_where_signals_come_no_more_it_tries_by_itself_as_ever():
    story = linked()
    story.at(11_000.0)
    failing(story)
    story.sender._destinations[1].routes[0].trial_at = 1e9
    story.take("d", left=900_000.0)
    story.at(70_000.0)
    assert not story.calls
    story.sender.signals_available(story.now, False)
    story.sender.turn(story.now)
    story.at(story.now + 3.5 * 2000.0 / (4.0 / 200.0))
    assert story.calls


def test_a_report_of_what_is_not_listed_is_skipped():
    story = linked()
    story.sender.report_received(0.0, Report("nowhere", failed_by=16, wait_ms=9000.0))
    story.take("d")
    assert story.calls


def test_a_return_through_signals_does_not_stir_a_turn_where_nothing_changed():
    story = linked()
    alarms = len(story.alarms)
    reported(story, served_ms=5.0)
    reported(story, served_ms=1.0)
    assert len(story.alarms) == alarms
