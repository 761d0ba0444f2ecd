"""The plan of the segmented ledger: room that is always enough to finish, and what copying costs."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from birchstack.ledger.plan import Plan
from birchstack.ledger.records import HEAD

EXACT = settings(max_examples=120, deadline=None, derandomize=True, database=None)


class Log:
    """A folder of numbers: documents by id, each one record somewhere."""

    def __init__(self, limit=64000, most=4000):
        self.plan, self.limit, self.where, self.most_used = Plan(limit, most), limit, {}, 0

    def write(self, size, needed, copied=False):
        if self.plan.rolls(size):
            self.plan.opened(self.plan.last + 1)
        at = self.plan.wrote(size, needed, copied)
        self.most_used = max(self.most_used, self.plan.used())
        return at

    def take(self, doc, size):
        if not self.plan.fits(size):
            return False
        self.where[doc] = self.write(size, True), size
        return True

    def done(self, doc):
        self.plan.past(*self.where.pop(doc))

    def compact(self, steps):
        """Copies one document a step; removes the segment when nothing in it is needed."""
        for _ in range(steps):
            number = self.plan.next()
            if number is None:
                return False
            doc = next((doc for doc, (at, _) in self.where.items() if at == number), None)
            if doc is None:
                self.plan.removed(number)
                continue
            at, size = self.where[doc]
            self.where[doc] = self.write(size, True, copied=True), size
            self.plan.past(at, size)
        return True


@EXACT
@given(
    some.lists(some.tuples(some.integers(1, 6000), some.booleans(), some.integers(0, 3)), max_size=120),
    some.randoms(use_true_random=False),
)
def test_the_limit_holds_while_segments_are_copied_and_copying_always_ends(story, chance):
    log = Log()
    for number, (size, done, steps) in enumerate(story):
        log.take(number, size)
        if done and log.where:
            log.done(chance.choice([*log.where]))
        log.compact(steps)
        assert log.plan.used() <= log.limit
        assert log.plan.needed() == sum(size for _, size in log.where.values())
    for _ in range(2000):
        if not log.compact(1):
            break
    assert log.most_used <= log.limit and not log.compact(1)


def test_a_folder_filled_to_its_limit_is_emptied_again():
    log, taken = Log(), 0
    while log.take(taken, 700):
        taken += 1
    assert taken > 60 and log.plan.used() <= log.limit
    for doc in list(log.where)[:-3]:
        log.done(doc)
        log.compact(2)
    while log.compact(1):
        pass
    assert log.plan.used() < 3 * 4000 and log.most_used <= log.limit and len(log.where) == 3
    assert log.take("again", 700)


def test_a_document_that_is_done_while_its_segment_is_copied_is_not_copied():
    log = Log()
    for doc in range(12):
        log.take(doc, 900)  # four to a segment
    for doc in range(3):
        log.done(doc)
    assert log.plan.next() == 1
    log.done(3)
    written = log.plan.amplification().writes
    assert log.compact(1) and 1 not in log.plan.segments and log.plan.amplification().writes == written


def test_what_copying_costs_under_steady_traffic():
    log, chance = Log(limit=400_000, most=16_000), random.Random(1)
    for number in range(20_000):
        log.take(number, 1000)
        while len(log.where) > 100:  # ends in no order
            log.done(chance.choice([*log.where]))
        log.compact(2)
    cost = log.plan.amplification()
    assert cost.writes < 2.5 and cost.space < 3.0


@pytest.mark.parametrize("limit, most", [(1000, 500), (4000, HEAD.size)])
def test_a_limit_that_holds_no_four_segments_is_refused(limit, most):
    with pytest.raises(ValueError, match="four segments"):
        Plan(limit, most)
