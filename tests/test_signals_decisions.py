"""Tests of reports received from other senders and observations shared with them, on a fake host."""

import pytest
from fake import Story

from birchstack import interface
from birchstack.interface import Report, SignalKind

WAIT, SERVED, FAILED = SignalKind


def with_signals(**settings):
    """Returns a story of a sender that receives signals in a fleet of 200."""
    story = Story(**{"senders": 200, **settings})
    story.at(10_000.0)
    story.sender.signals_available(story.now, True)
    return story


def report(story, **fields):
    story.sender.report_received(story.now, Report("a", **fields))
    story.sender.turn(story.now)


def report_failures(story, by=16, **fields):
    report(story, failed_by=by, first_ms=900.0, last_ms=100.0, **fields)


def ejected(story):
    return story.sender.ejected_endpoints() == ["a"]


def test_nothing_is_shared_before_signals_are_available():
    story = Story(senders=200)
    story.take("d")
    story.ends("d", interface.ERROR)
    story.take("e")
    story.ends("e", interface.FULL, wait_ms=9000.0)
    assert not story.observations


def test_failures_and_the_first_success_after_them_are_shared():
    story = with_signals()
    story.take("d")
    story.ends("d", interface.OK)
    assert not story.observations, "a success without failures before it is not shared"
    story.take("e")
    story.ends("e", interface.ERROR, after=100.0)
    assert story.observations == [("a", FAILED, 0.0)]
    story.at(200_000.0)
    story.take("g")
    story.ends("g", interface.OK)
    assert story.observations[1:] == [("a", SERVED, 0.0)]


@pytest.mark.parametrize("wait_ms, shared", [(1500.0, []), (9000.0, [("a", WAIT, 9000.0)])])
def test_a_long_requested_wait_is_shared_and_a_short_one_belongs_to_a_limit(wait_ms, shared):
    story = with_signals()
    story.take("d")
    story.ends("d", interface.FULL, wait_ms=wait_ms)
    assert story.observations == shared


def test_a_quorum_of_observers_ejects_an_endpoint_and_fewer_do_not():
    story = with_signals()
    report_failures(story, by=1)
    report_failures(story, by=2)
    assert not ejected(story)
    report_failures(story, by=3)
    assert ejected(story) and "told" in story.logs[0]
    story.take("d")
    assert not story.calls, "its first call would go to an endpoint that is known to be down"


@pytest.mark.parametrize("senders", [2, 3, 4])
def test_in_a_small_fleet_two_observers_are_a_quorum_and_one_never_is(senders):
    story = with_signals(senders=senders)
    report_failures(story, by=1)
    assert not ejected(story)
    report_failures(story, by=2)
    assert ejected(story)


def test_the_quorum_grows_with_the_traffic():
    story = with_signals(senders=100)
    for number in range(80):  # 10 per second here, and 1,000 over all senders
        story.take(f"d{number}")
        story.ends(f"d{number}", interface.OK, after=100.0)
    story.at(story.now + 2000.0)
    report_failures(story, by=15)
    assert not ejected(story)
    report_failures(story, by=16)
    assert ejected(story)


def test_an_own_success_outweighs_reported_failures_that_began_before_it():
    story = with_signals()
    story.at(15_000.0)
    story.take("d")
    story.ends("d", interface.OK)
    report(story, failed_by=16, first_ms=1.0, last_ms=0.0)
    assert not ejected(story)
    story.at(16_000.0)
    report(story, failed_by=16, first_ms=500.0, last_ms=0.0)
    assert ejected(story)


def test_reported_failures_that_began_before_a_reported_success_do_not_count():
    story = with_signals()
    story.at(15_000.0)
    report(story, served_ms=50.0)
    report_failures(story)
    assert not ejected(story), "the failures came from another keeper, which did not know of the success"


def test_a_success_after_reported_failures_is_shared():
    story = with_signals()
    report_failures(story, by=1)
    story.take("d")
    story.ends("d", interface.OK)
    assert story.observations == [("a", SERVED, 0.0)]
    report(story, served_ms=0.0)
    story.take("e")
    story.ends("e", interface.OK, after=500.0)
    assert len(story.observations) == 1, "the other senders know already"


def test_a_reported_wait_is_observed():
    story = with_signals()
    report(story, wait_ms=6000.0, wait_age_ms=500.0)
    story.take("d")
    story.at(15_999.0)
    assert not story.calls and ejected(story)
    story.at(120_000.0)
    story.take("e")
    story.at(240_000.0)
    assert story.calls


def test_a_wait_reported_by_several_keepers_is_applied_once_and_a_longer_one_again():
    story = with_signals()
    for wait_ms in (6000.0, 5990.0, 6050.0):
        report(story, wait_ms=wait_ms)
    assert len(story.logs) == 1
    report(story, wait_ms=9000.0)
    assert len(story.logs) == 2


def test_a_wait_that_was_requested_before_an_own_success_is_ignored():
    story = with_signals()
    story.at(15_000.0)
    story.take("d")
    story.ends("d", interface.OK)
    report(story, wait_ms=6000.0, wait_age_ms=500.0)
    story.take("e")
    assert story.tries("e") == 1


def test_a_reported_success_during_a_requested_wait_does_not_end_the_wait():
    story = with_signals()
    report(story, wait_ms=6000.0)
    story.at(11_000.0)
    report(story, served_ms=10.0, wait_ms=5000.0, wait_age_ms=1000.0)
    assert ejected(story)
    story.take("d")
    story.at(15_990.0)
    assert not story.calls


def test_a_reported_return_starts_the_warm_up():
    story = with_signals()
    story.at(11_000.0)
    report_failures(story)
    for number in range(8):
        story.take(f"d{number}")
    report(story, served_ms=5.0)
    assert not ejected(story) and "back" in story.logs[-1]
    story.at(story.now + 1000.0)
    assert len(story.calls) <= 1, "cold"


def test_a_reported_success_before_the_last_reported_failure_is_no_return():
    story = with_signals()
    story.at(15_000.0)
    report_failures(story)
    report(story, served_ms=1000.0)
    assert ejected(story), "another keeper reported failures after it"


def test_an_own_failure_outweighs_a_reported_success_before_it():
    story = with_signals(senders=2)
    story.at(15_000.0)
    for number in range(3):
        story.take(f"d{number}")
    for number in range(3):
        story.ends(f"d{number}", interface.TIMEOUT)
    assert ejected(story)
    story.at(15_140.0)
    report(story, served_ms=150.0)
    assert ejected(story)
    report(story, served_ms=5.0)
    assert not ejected(story)


def test_a_return_that_is_only_reported_is_trusted_once_in_an_interval():
    story = with_signals()
    for at in (11_000.0, 12_000.0):
        story.at(at)
        report_failures(story)
        report(story, served_ms=5.0)
        assert ejected(story) == (at == 12_000.0)
    story.at(43_000.0)
    report_failures(story)
    report(story, served_ms=5.0)
    assert not ejected(story)


def count_probes(stories, seconds):
    """Returns the calls of all senders, each of which receives a document every 10 s."""
    for story in stories:
        story.at(11_000.0)
        report_failures(story)
        for number in range(int(seconds / 10)):
            story.at(story.now + 10_000.0)
            story.take(f"d{number}")
            while pending := [doc for doc, _ in story.calls if story.tries(doc) > story.ends_of(doc)]:
                story.ends(pending[0], interface.ERROR, over=False)
    return sum(len(story.calls) for story in stories)


def test_all_senders_together_probe_an_endpoint_about_as_often_as_one_would():
    stories = [with_signals(senders=200, max_transmissions=99) for _ in range(40)]
    for seed, story in enumerate(stories):
        story.sender._draw = __import__("random").Random(seed).uniform
    calls = count_probes(stories, 400.0)
    assert 0.5 < calls / 400.0 * 200 / 40 < 4.0, "two per second over all 200 senders"


def test_a_sender_probes_by_itself_when_signals_become_unavailable():
    story = with_signals()
    story.at(11_000.0)
    report_failures(story)
    story.sender._destinations[1].routes[0].next_probe_at = 1e9
    story.take("d", left=900_000.0)
    story.at(70_000.0)
    assert not story.calls
    story.sender.signals_available(story.now, False)
    story.sender.turn(story.now)
    story.at(story.now + 3.5 * 2000.0 / (4.0 / 200.0))
    assert story.calls


def test_a_report_of_an_unknown_endpoint_is_ignored():
    story = with_signals()
    story.sender.report_received(0.0, Report("nowhere", failed_by=16, wait_ms=9000.0))
    story.take("d")
    assert story.calls


def test_a_reported_success_that_changes_nothing_causes_no_turn():
    story = with_signals()
    alarms = len(story.alarms)
    report(story, served_ms=5.0)
    report(story, served_ms=1.0)
    assert len(story.alarms) == alarms
