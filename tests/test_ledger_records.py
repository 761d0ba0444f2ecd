"""Records of the segmented ledger, whole, torn and rotten."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

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

names, times = some.text(max_size=40), some.floats(allow_nan=False)
RECORDS = some.one_of(
    some.builds(
        Take,
        names,
        names,
        some.integers(0, 2**40),
        some.none() | names,
        times,
        some.integers(0, 2**30),
        some.none() | some.binary(max_size=300),
    ),
    some.builds(Call, names, names, times),
    some.builds(Back, names, some.booleans(), some.booleans()),
    some.builds(
        Past,
        names,
        some.integers(0, 99),
        some.integers(0, 99),
        some.none() | some.tuples(names, times),
        some.lists(some.tuples(names, times), max_size=3).map(tuple),
    ),
    some.builds(Notice, names, names, times),
    some.builds(Done, names),
)
EXACT = settings(max_examples=150, deadline=None, derandomize=True, database=None)


def scan(data, step=7):
    scanner, told = Scanner(1), []
    for at in range(0, len(data), step):
        told += scanner.feed(data[at : at + step])
    told += scanner.end()
    return scanner, told


@EXACT
@given(some.lists(RECORDS, max_size=12), some.integers(1, 60))
def test_what_was_written_is_read_in_any_pieces_at_its_offset(written, step):
    frames = [frame(each) for each in written]
    scanner, told = scan(b"".join(frames), step)
    assert [record for _, record in told] == written and not scanner.damages
    assert [at for at, _ in told] == [HEAD.size + sum(map(len, frames[:n])) for n in range(len(frames))]


@EXACT
@given(some.lists(RECORDS, min_size=1, max_size=6), some.data(), some.integers(1, 60))
def test_a_torn_tail_is_told_and_costs_only_what_was_torn(written, data, step):
    frames = [frame(each) for each in written]
    cut = data.draw(some.integers(1, len(frames[-1]) - 1))
    scanner, told = scan(b"".join(frames)[:-cut], step)
    assert [record for _, record in told] == written[:-1]
    assert [(each.start, each.end, each.rot) for each in scanner.damages] == [
        (HEAD.size + sum(map(len, frames[:-1])), HEAD.size + sum(map(len, frames)) - cut, False)
    ]


@EXACT
@given(some.lists(RECORDS, min_size=3, max_size=6), some.data(), some.integers(1, 60))
def test_rot_in_the_middle_is_told_apart_and_the_rest_is_read(written, data, step):
    frames = [frame(each) for each in written]
    struck = data.draw(some.integers(0, len(frames) - 2))
    byte, bit = data.draw(some.integers(0, len(frames[struck]) - 1)), data.draw(some.integers(0, 7))
    rotten = bytearray(frames[struck])
    rotten[byte] ^= 1 << bit
    scanner, told = scan(b"".join([*frames[:struck], bytes(rotten), *frames[struck + 1 :]]), step)
    start = HEAD.size + sum(map(len, frames[:struck]))
    assert [record for _, record in told] == written[:struck] + written[struck + 1 :]
    assert [(each.start, each.end, each.rot) for each in scanner.damages] == [
        (start, start + len(rotten), True)
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
def test_a_head_that_is_none_is_named(data, problem):
    assert module.read_head(head(7)) == 7
    with pytest.raises(HeadError, match=problem):
        module.read_head(data)


def test_memory_is_bounded_by_a_record_and_a_piece():
    scanner, most = Scanner(1), 0
    data = b"".join(frame(Take(f"d{n}", "sync", 1, None, 1.0, 500, b"x" * 500)) for n in range(2000))
    for at in range(0, len(data), 4096):
        for _ in scanner.feed(data[at : at + 4096]):
            pass
        most = max(most, len(scanner._buffer))
    assert most < 4096 + 600
