"""The plan of the segmented ledger: compaction always has the room to finish, and what it costs."""

import random

import pytest
from hypothesis import given, settings, strategies

from birchstack.ledger.plan import Plan
from birchstack.ledger.records import HEAD

DETERMINISTIC = settings(max_examples=120, deadline=None, derandomize=True, database=None)


class SimulatedLog:
    """A log of sizes without files: each document by id is one record in some segment."""

    def __init__(self, limit=64000, most=4000):
        self.plan = Plan(limit, most)
        self.limit = limit
        self.records = {}
        self.most_used = 0

    def write(self, size, needed, copied=False):
        if self.plan.rolls(size):
            self.plan.opened(self.plan.last + 1)
        number = self.plan.wrote(size, needed, copied)
        self.most_used = max(self.most_used, self.plan.used())
        return number

    def take(self, doc, size):
        if not self.plan.fits(size):
            return False
        self.records[doc] = self.write(size, True), size
        return True

    def done(self, doc):
        self.plan.past(*self.records.pop(doc))

    def compact(self, steps):
        """Copies one document at a step; removes the segment when nothing in it is needed."""
        for _ in range(steps):
            victim = self.plan.next()
            if victim is None:
                return False
            doc = next((doc for doc, (number, _) in self.records.items() if number == victim), None)
            if doc is None:
                self.plan.removed(victim)
                continue
            number, size = self.records[doc]
            self.records[doc] = self.write(size, True, copied=True), size
            self.plan.past(number, size)
        return True


@DETERMINISTIC
@given(
    strategies.lists(
        strategies.tuples(strategies.integers(1, 6000), strategies.booleans(), strategies.integers(0, 3)),
        max_size=120,
    ),
    strategies.randoms(use_true_random=False),
)
def test_the_limit_holds_during_compaction_and_compaction_always_ends(actions, generator):
    log = SimulatedLog()
    for number, (size, done, steps) in enumerate(actions):
        log.take(number, size)
        if done and log.records:
            log.done(generator.choice([*log.records]))
        log.compact(steps)
        assert log.plan.used() <= log.limit
        assert log.plan.needed() == sum(size for _, size in log.records.values())
    for _ in range(2000):
        if not log.compact(1):
            break
    assert log.most_used <= log.limit and not log.compact(1)


def test_a_folder_filled_to_its_limit_can_be_emptied():
    log = SimulatedLog()
    taken = 0
    while log.take(taken, 700):
        taken += 1
    assert taken > 60 and log.plan.used() <= log.limit
    for doc in list(log.records)[:-3]:
        log.done(doc)
        log.compact(2)
    while log.compact(1):
        pass
    assert log.plan.used() < 3 * 4000 and log.most_used <= log.limit and len(log.records) == 3
    assert log.take("again", 700)


def test_a_document_done_during_the_compaction_of_its_segment_is_not_copied():
    log = SimulatedLog()
    for doc in range(12):
        log.take(doc, 900)  # four to a segment
    for doc in range(3):
        log.done(doc)
    assert log.plan.next() == 1
    log.done(3)
    writes = log.plan.amplification().writes
    assert log.compact(1) and 1 not in log.plan.segments and log.plan.amplification().writes == writes


def test_amplification_under_steady_traffic():
    log = SimulatedLog(limit=400_000, most=16_000)
    generator = random.Random(1)
    for number in range(20_000):
        log.take(number, 1000)
        while len(log.records) > 100:  # documents are done in random order
            log.done(generator.choice([*log.records]))
        log.compact(2)
    amplification = log.plan.amplification()
    assert amplification.writes < 2.5 and amplification.space < 3.0


@pytest.mark.parametrize("limit, most", [(1000, 500), (4000, HEAD.size)])
def test_a_limit_of_less_than_four_segments_is_refused(limit, most):
    with pytest.raises(ValueError, match="four segments"):
        Plan(limit, most)
