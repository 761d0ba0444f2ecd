"""Time to readiness of real senders restarted at once with documents in their ledgers."""

import asyncio

import pytest

from benchmarks.restart_ready import restart, verdict


def test_eight_senders_restarted_at_once_are_ready_in_30_s_and_nine_in_ten_in_10_s():
    documents, measured = asyncio.run(restart(8, 400, large=4, sent=2))
    assert documents == [404] * 8 and verdict([seconds for seconds, _ in measured]), measured


@pytest.mark.parametrize(
    "times, holds",
    [
        ([9.9] * 9 + [29.0], True),
        ([9.9] * 8 + [11.0] * 2, False),
        ([9.9] * 9 + [31.0], False),
        ([1.0] * 7 + [11.0], False),
        ([1.0] * 7 + [float("inf")], False),
    ],
)
def test_the_verdict_on_times_to_readiness(times, holds):
    assert verdict(times) == holds
