"""A few drawn days of a fleet in virtual time, without signals, with them, and with a sender that lies."""

import pytest

from benchmarks import signals_days as days
from birchstack.decide import Sender

MOST = 6  # senders: small, for a fast test; benchmarks.signals_days plays many


@pytest.mark.parametrize("seed", range(4))
def test_no_rule_is_broken_with_signals_that_the_day_keeps_without(seed):
    played = {play: days.play_day(seed, MOST, play) for play in days.PLAYS}
    assert not days.new_breaches(played)
    assert all(day.served > 0.5 * day.documents for day in played.values())


def test_the_judge_of_a_day_finds_what_is_broken(monkeypatch):
    """A told wait that is taken for over at once, and a document that is not given up in its time."""
    outcome = Sender.outcome

    def forgets(self, now, doc_id, endpoint, told):
        outcome(self, now, doc_id, endpoint, told)
        for dest in self._destinations.values():
            for route in dest.routes:
                route.wait_until = 0.0
                for ep in route.endpoints:
                    ep.ejected = False

    seed = next(
        seed
        for seed in range(100)
        if any(each.kind == "waiting" for each in days.draw(seed, MOST, days.WITHOUT)[0].outages)
    )
    monkeypatch.setattr(Sender, "outcome", forgets)
    assert "a told wait was not kept" in days.play_day(seed, MOST, days.WITHOUT).breaches


def test_a_lie_costs_much_where_one_observer_suffices(monkeypatch):
    """That the days show what a quorum is for."""
    honest = days.play_day(2, MOST, days.WITH).served
    cost = 1.0 - days.play_day(2, MOST, days.LIAR).served / honest
    monkeypatch.setattr(Sender, "_quorum", lambda self, now, route: 1)
    assert 1.0 - days.play_day(2, MOST, days.LIAR).served / honest > max(0.02, cost + 0.02)
