"""Records of the segmented ledger: intact, torn and corrupted."""

import pytest
from hypothesis import given, settings, strategies

from birchstack.ledger import records as module
from birchstack.ledger.records import (
    HEAD,
    Back,
    Call,
    Done,
    HeadError,
    Notice,
    Past,
    Scanner,
    Take,
    frame,
    head,
)

names = strategies.text(max_size=40)
times = strategies.floats(allow_nan=False)
RECORDS = strategies.one_of(
    strategies.builds(
        Take,
        names,
        names,
        strategies.integers(0, 2**40),
        strategies.none() | names,
        times,
        strategies.integers(0, 2**30),
        strategies.none() | strategies.binary(max_size=300),
    ),
    strategies.builds(Call, names, names, times),
    strategies.builds(Back, names, strategies.booleans(), strategies.booleans()),
    strategies.builds(
        Past,
        names,
        strategies.integers(0, 99),
        strategies.integers(0, 99),
        strategies.none() | strategies.tuples(names, times),
        strategies.lists(strategies.tuples(names, times), max_size=3).map(tuple),
    ),
    strategies.builds(Notice, names, names, times),
    strategies.builds(Done, names),
)
DETERMINISTIC = settings(max_examples=150, deadline=None, derandomize=True, database=None)


def scan(data, step=7):
    scanner = Scanner(1)
    found = []
    for start in range(0, len(data), step):
        found += scanner.feed(data[start : start + step])
    found += scanner.end()
    return scanner, found


@DETERMINISTIC
@given(strategies.lists(RECORDS, max_size=12), strategies.integers(1, 60))
def test_records_are_found_at_their_offsets_whatever_the_pieces(written, step):
    frames = [frame(each) for each in written]
    scanner, found = scan(b"".join(frames), step)
    assert [record for _, record in found] == written and not scanner.damages
    assert [offset for offset, _ in found] == [
        HEAD.size + sum(map(len, frames[:n])) for n in range(len(frames))
    ]


@DETERMINISTIC
@given(strategies.lists(RECORDS, min_size=1, max_size=6), strategies.data(), strategies.integers(1, 60))
def test_a_torn_tail_is_reported_and_costs_only_the_torn_record(written, data, step):
    frames = [frame(each) for each in written]
    cut = data.draw(strategies.integers(1, len(frames[-1]) - 1))
    scanner, found = scan(b"".join(frames)[:-cut], step)
    assert [record for _, record in found] == written[:-1]
    assert [(each.start, each.end, each.corruption) for each in scanner.damages] == [
        (HEAD.size + sum(map(len, frames[:-1])), HEAD.size + sum(map(len, frames)) - cut, False)
    ]


@DETERMINISTIC
@given(strategies.lists(RECORDS, min_size=3, max_size=6), strategies.data(), strategies.integers(1, 60))
def test_corruption_in_the_middle_is_reported_as_such_and_the_rest_is_read(written, data, step):
    frames = [frame(each) for each in written]
    damaged = data.draw(strategies.integers(0, len(frames) - 2))
    byte = data.draw(strategies.integers(0, len(frames[damaged]) - 1))
    bit = data.draw(strategies.integers(0, 7))
    corrupted = bytearray(frames[damaged])
    corrupted[byte] ^= 1 << bit
    scanner, found = scan(b"".join([*frames[:damaged], bytes(corrupted), *frames[damaged + 1 :]]), step)
    start = HEAD.size + sum(map(len, frames[:damaged]))
    assert [record for _, record in found] == written[:damaged] + written[damaged + 1 :]
    assert [(each.start, each.end, each.corruption) for each in scanner.damages] == [
        (start, start + len(corrupted), True)
    ]


@pytest.mark.parametrize(
    "data, problem",
    [
        (b"", "0 bytes"),
        (b"ELF" + bytes(30), "begins with"),
        (head(7)[:-1] + b"x", "wrong checksum"),
        (module.MAGIC + b"\x02" + head(7)[5:], "wrong checksum"),
    ],
)
def test_an_invalid_segment_header_is_refused_with_the_reason(data, problem):
    assert module.read_head(head(7)) == 7
    with pytest.raises(HeadError, match=problem):
        module.read_head(data)


def test_a_scanner_holds_at_most_a_record_and_a_piece():
    scanner = Scanner(1)
    most = 0
    data = b"".join(frame(Take(f"d{n}", "sync", 1, None, 1.0, 500, b"x" * 500)) for n in range(2000))
    for start in range(0, len(data), 4096):
        for _ in scanner.feed(data[start : start + 4096]):
            pass
        most = max(most, len(scanner._buffer))
    assert most < 4096 + 600
