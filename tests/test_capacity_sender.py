"""The slopes of one sender in small: counts, bytes and doubling, no times.

The tables say how it is today. A walk that was repaired, and one that is new, both change them.
"""

import asyncio
import gc
import tracemalloc

import pytest

from benchmarks.capacity import fit, listed, owed, recoveries, spread, stand, turn, work
from birchstack.net import recoveries as kept
from birchstack.net.discovery import MAX_LIST_BYTES
from birchstack.net.reuse import SETTLE_MS

FILL, HOPELESS, SPARES = (
    "decide.py Sender._fill",
    "decide.py Sender._answer_unreachable",
    "decide.py Sender._degraded_slots_left",
)
LOOK, END = "decide.py Sender._find_best", "decide.py Sender._end"
ROOM, LATE, LIST = "decide.py Sender._make_room", "decide.py Sender._end_late", "decide.py Sender.endpoints"
# Functions that go through all there are of what varies, and by which power; {}: nothing does
WALKS = {
    "listed": {
        "decisions: a document": {FILL: 1, HOPELESS: 1, SPARES: 1},
        "decisions: an outcome": {FILL: 1, HOPELESS: 1, SPARES: 1},
        "decisions: an alarm": {FILL: 1, HOPELESS: 1, SPARES: 1},
        "decisions: a list change": {FILL: 1, HOPELESS: 1, SPARES: 1, LIST: 1},
        "decisions: no room": {FILL: 1, HOPELESS: 1, SPARES: 1, ROOM: 1},
        "node: a document": {FILL: 1, HOPELESS: 1, SPARES: 1},
        "node: a list change": {FILL: 1, HOPELESS: 1, SPARES: 1, LIST: 1},
        "node: a look for the overdue": {},
        "node: an end untried": {},
        "node: its figures": {"decide.py Sender.ejected_endpoints": 1},
    },
    "down": {
        "decisions: a document": {FILL: 1, HOPELESS: 1},
        "decisions: an outcome": {FILL: 1, HOPELESS: 1},
        "decisions: an alarm": {FILL: 1, HOPELESS: 1},
        "decisions: a list change": {FILL: 1, HOPELESS: 1},
        "decisions: an expiry": {FILL: 1, HOPELESS: 1},
        "decisions: no room": {FILL: 1, HOPELESS: 1, ROOM: 1},
        "node: a document": {FILL: 1, HOPELESS: 1},
    },
    "listed, 4.7% down": {
        "decisions: a document": {FILL: 1, HOPELESS: 1},
        "decisions: an alarm": {FILL: 1, HOPELESS: 1},
    },
    "owed": {
        "decisions: a document": {},
        "decisions: an outcome": {},
        "decisions: an alarm": {LOOK: 1},
        "decisions: a list change": {},
        "decisions: an expiry": {LOOK: 1, LATE: 1, END: 1},
        "decisions: no room": {ROOM: 1},
        "node: a document": {HOPELESS: 1},
        "node: a list change": {HOPELESS: 1},
        "node: a look for the overdue": {"net/sender.py Node._end_overdue": 1},
        "node: an end untried": {},
        "node: its figures": {"net/sender.py Node._figures": 1},
    },
    "handed together": {
        "node: documents": {
            "net/sender.py Node._accept": 2,
            "net/sender.py Node._turn": 1,
            "net/sender.py Node._commit": 1,
            HOPELESS: 1,
        }
    },
    "notices": {"node: notices answered": {"net/notices.py Notices._send": 1}},
    "idle": {"node: a connection": {"net/calls.py Calls._take_idle": 1}},
    "list": {
        "node: a list read": {
            "net/discovery.py Watch.received": 2,
            "net/discovery.py decode_targets": 1,
            "net/address_claims.py AddressClaims.resolve": 1,
            "net/listed.py EndpointList.apply": 1,
            "net/sender.py Node._on_list": 1,
        }
    },
}


@pytest.mark.parametrize("by", WALKS)
def test_what_walks_over_all_is_in_the_table_and_nothing_else_walks(by):
    assert set(WALKS) == set(turn.ACTIONS) and set(WALKS[by]) == set(turn.ACTIONS[by])
    for action, known in WALKS[by].items():
        counts = [turn.count(by, action, x) for x in turn.SMALL[by]]
        assert work.functions(work.walks(counts)) == known, action


def test_the_cost_of_remembering_what_is_down_fits_the_room_kept_for_it():
    for down, measured in recoveries.measure(recoveries.SMALL):
        assert set(measured) == set(recoveries.FIGURES)
        assert 0 < measured["written anew"] <= measured["disk"] <= down * kept.RECORD_BYTES


def test_work_is_counted_the_same_each_time():
    first, second = (turn.count("listed", "decisions: a document", 64) for _ in range(2))
    assert first.by_line() == second.by_line() and first.total() > 1000


def bytes_of(make):
    """Of Python's own, what the whole thing made takes."""
    tracemalloc.start()
    try:
        made = make()
        gc.collect()  # what is garbage by then depends on how often the collector happened to run
        return tracemalloc.get_traced_memory()[0] if made else 0
    finally:
        tracemalloc.stop()


def bytes_each(make, points):
    bytes_of(lambda: make(points[0]))  # what is made once only is there
    line = fit.line(points, [bytes_of(lambda x=x: make(x)) for x in points])
    assert not line.bend and line.error < 0.05 * line.slope
    return line.slope


BYTES_AT = (200, 400, 800, 1600)


def test_a_destination_listed_takes_so_many_bytes():
    assert 1900.0 < bytes_each(lambda x: turn.Whole(listed=x), BYTES_AT) < 2250.0


def test_a_document_owed_takes_so_many_bytes_of_memory():
    assert 1150.0 < bytes_each(lambda x: turn.Whole(owed=x), BYTES_AT) < 1430.0


def test_a_line_of_the_list_has_no_room_for_what_the_target_lists_but_in_parts_it_goes():
    def heard(lines):
        node = turn.Whole().node
        node._watch._on_list = lambda mode, listed: got.extend(listed)
        got, broke = [], []
        node._watch._retry = lambda: broke.append(True)
        told = b"".join(b"%x\r\n%s\r\n" % (len(line), line) for line in lines)
        whole = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + told
        for at in range(0, len(whole), 65536):
            node._watch.received(memoryview(whole)[at : at + 65536])
            if broke:  # nothing more is read of it
                break
        return len(got)

    targets = stand.whole_list(36_000, 1, ["127.0.7.1:23000"])
    one = stand.in_parts(targets, len(targets))
    assert 150.0 < len(one[0]) / len(targets) < 165.0 and len(one[0]) > MAX_LIST_BYTES
    assert heard(one) == 0 and heard(stand.in_parts(targets)) == len(targets)


def test_a_sender_told_in_parts_knows_all():
    measured = asyncio.run(listed.point(400, 3, 0.0))
    assert set(measured) == {name for name in listed.FIGURES if name.endswith(", three endpoints")}
    assert 150.0 < measured["list, three endpoints"] / 1200 < 165.0
    fewer = asyncio.run(listed.point(100, 3, 0.0))
    memory = measured["memory, three endpoints"] - fewer["memory, three endpoints"]
    assert 1000.0 < memory / 900 < 6000.0


def test_connections_are_kept_for_some_destinations_and_not_for_many():
    """One client, one document at a time, round and round: the pool holds all, or never the next one."""

    async def opened(many):
        async with stand.Stand(many) as world:
            await world.start()
            for _ in range(2):
                await world.offer([*range(1, many + 1)], connections=1)
                await world.done()
                await asyncio.sleep(SETTLE_MS / 1000.0)
            assert world.calls == 2 * many == world.answered[202]
            return world.opened

    assert asyncio.run(opened(20)) == 20
    assert asyncio.run(opened(520)) == 2 * 520


def test_a_point_of_each_slope_has_every_figure():
    measured = asyncio.run(spread.point(10, 20, 40, 40, 0.0))
    assert set(measured) == {name for name in spread.FIGURES if not name.endswith(", all listed")}
    measured = asyncio.run(owed.point(60, 3, 0.1))
    assert {f"{name}, by documents owed" for name in measured} | {
        f"{name}, by destinations down" for name in measured
    } == set(owed.FIGURES)
    assert measured["files"] == 60 + 3  # a body each; the ledger, the clock and the lock
    assert 60 * 300 < measured["disk"] < 60 * 420
