"""A destination that returns cold gets no more than it bears, from all senders together (virtual time)."""

import logging

import pytest

from benchmarks.cold_ramp import play


@pytest.fixture(autouse=True)
def other_tests_hear_the_log():
    """The benchmark silences the log of its whole process."""
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize(
    "seed, senders, shape",
    [
        (7, 3, "wide"),  # silent, ten endpoints: each sender met few failures at each of them
        (4, 20, "wide"),  # the same with uneven senders
        (2, 10, "wide"),  # a told wait: all see its end at once
        (12, 30, "wide"),  # refusing, a document in three seconds from each sender
        (12, 30, "ten"),  # two of ten destinations, two endpoints each
        (6, 20, "ten"),  # some senders restart in the ramp
        (50, 30, "alone"),  # one endpoint, a told wait
        (80, 20, "alone"),
    ],
)  # and restarts
def test_no_window_after_the_return_holds_more_than_all_may_send_together(seed, senders, shape):
    day = play((seed, senders, shape))
    assert day.windows >= 20 and day.worst <= 1.0, day
