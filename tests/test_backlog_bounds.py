"""What the backlog holds in memory and reads at a start, counted; its settings; what is merged when."""

import collections
import gc
import random
import tracemalloc
from pathlib import Path

import pytest
from fake import ROOM, kept, opened, settle

from birchstack.backlog import left
from birchstack.backlog.plan import IDS, PAGE_SIZE, Run, Sizes, parse_name, select_merge
from birchstack.backlog.settings import decode, load
from birchstack.backlog.store import Backlog
from birchstack.emulator.folder import Disk, MemoryFolder
from birchstack.net.config import ConfigError
from birchstack.net.machine import Folder

SIZES = Sizes(sealed=1 << 16, flushed=256, unmarked=1 << 20, fan=4)


def fill(store, numbers, destinations=20):
    for number in numbers:
        store.append(kept(number, number % destinations, 1e6 + number % 977, b"b" * 100))
        store.step()
    settle(store)


def test_a_document_on_disk_takes_less_than_eight_bytes_of_memory(tmp_path):
    store = Backlog(Folder(str(tmp_path)), ROOM, 0.0, SIZES)
    fill(store, range(4000))
    sizes = []
    tracemalloc.start()
    try:
        for first, last in ((4000, 8000), (8000, 28_000)):
            fill(store, range(first, last))
            gc.collect()
            sizes.append(tracemalloc.get_traced_memory()[0])
    finally:
        tracemalloc.stop()
    filters = sum(bloom.size_in_bits / 8 for bloom in store._index._filters.values())  # not Python's own
    assert len(store) == 28_000
    assert (sizes[1] - sizes[0]) / 20_000 + filters / 28_000 < 8


class Counted(MemoryFolder):
    def __init__(self, disk):
        super().__init__(disk)
        self.bytes, self.calls = collections.Counter(), 0

    def read_at(self, name, offset, size):
        data = super().read_at(name, offset, size)
        self.bytes["segments" if left([name]) else parse_name(name)[0]] += len(data)
        self.calls += 1
        return data

    def read(self, name):
        raise AssertionError("nothing is read whole")


def started(count, destinations, body=100):
    disk = Disk()
    store = opened(disk, SIZES)
    for number in range(count):
        store.append(kept(number, number % destinations, 1e6 + number, b"b" * body))
        store.step()
    settle(store)
    folder = Counted(disk)
    assert len(Backlog(folder, ROOM, 0.0, SIZES)) == count
    owed = sum(len(data) for name, data in disk.files.items() if left([name]))
    return folder, owed, store


def test_a_restart_reads_the_manifest_the_filters_and_the_tails_and_not_what_is_owed():
    read = []
    for count, body in ((4000, 100), (16_000, 100), (16_000, 1000)):
        folder, owed, store = started(count, 20, body)
        runs = store._index.runs.values()
        assert folder.bytes["segments"] < SIZES.flushed * (body + 100) < owed / 10  # what no mark covers
        assert folder.bytes["ids"] == sum(run.size - run.filter_offset for run in runs) < 3 * count
        assert folder.bytes["times"] <= sum((run.pages.bit_length() + 2) * PAGE_SIZE for run in runs)
        read.append(folder.bytes["manifest"])
    assert max(read) < 400_000  # its log, up to a snapshot, and the snapshot


def test_a_destination_more_costs_a_tail_and_not_a_file_that_is_read():
    one, ten = started(4000, 10)[0], started(4000, 400)[0]
    assert ten.calls < one.calls + 2 * 400
    assert ten.bytes["segments"] < SIZES.flushed * 200


def test_nine_tenths_at_one_destination_leave_the_others_as_they_are():
    disk = Disk()
    store, chance = opened(disk, SIZES), random.Random(2)
    for number in range(3000):
        store.append(kept(number, 0 if chance.random() < 0.9 else 1 + number % 9, body=b"b" * 100))
        store.step()
    assert store.waiting(0)[0] > 2600 and len([*store.destinations()]) == 10
    for destination in [*store.destinations()]:  # all return
        while store.waiting(destination)[0]:
            got = store.read(destination, 64)
            assert got and [each.taken for each in got] == sorted(each.taken for each in got)
            store.moved(destination, len(got))
            store.step()
    settle(store)
    assert not len(store) and not left(disk.files)


def test_what_one_step_writes_and_reads_is_bounded():
    """The sizes of a real one: no step handles more than some thousands of entries, whatever is owed."""
    most, folder = [0], MemoryFolder(Disk())
    plain = folder.append

    def append(handle, data):
        most[-1] += len(data)
        return plain(handle, data)

    folder.append = append
    store = Backlog(folder, ROOM, 0.0, SIZES._replace(fan=2))
    for number in range(20_000):
        store.append(kept(number, number % 5, 1e6, b""))
        most.append(0)
        store.step()
    assert max(most) < 160_000  # a piece of a run, or the filter of one


def run(number, count):
    return Run(IDS, number, count, 0, 0)


def test_runs_of_one_size_are_merged_and_all_once_most_is_past():
    sizes = Sizes(flushed=10, fan=3)
    assert not select_merge([run(1, 10), run(2, 10), run(3, 100)], 120, sizes)
    four = [run(1, 10), run(2, 100), run(3, 10), run(4, 10)]
    assert select_merge(four, 130, sizes) == [four[0], four[2], four[3]]
    assert len(select_merge([run(1, 100), run(2, 300)], 100, sizes)) == 2
    assert not select_merge([], 0, sizes) and not select_merge([run(1, 300)], 100, sizes, {1})


def test_housekeeping_ends_where_much_of_a_log_has_expired_behind_one_that_has_not():
    store = opened(Disk(), SIZES._replace(flushed=16))
    for number in range(600):
        store.append(kept(number, 1, 1e6 if number == 0 else 100.0 + number))
    gone = True
    while gone:
        gone = [each.id for each in store.due(1e5, 50)]
        store.ended(gone)
        assert any(not store.step() for _ in range(500)), "it goes on for ever"
    assert len(store) == 1 and store.read(1, 9)[0].id == "d0" and not store.holds("d7")


def test_names_of_files_tell_whether_documents_were_left():
    assert parse_name("backlog-ids-7") == ("ids", 7) and parse_name("backlog-12-7") == ("12", 7)
    assert parse_name("backlog-manifest-1") == ("manifest", 1)
    assert not parse_name("ledger") and not parse_name("backlog-ballast")
    assert left(["ledger", "backlog-3-9"]) and not left(["body-3", "backlog-ids-7", "backlog-manifest-1"])


def test_the_operators_file_names_what_is_wrong_in_it(tmp_path):
    example = load(str(Path(__file__).parent.parent / "deploy" / "backlog.toml"))
    assert example.window >= 1 and example.bytes >= 16 << 20
    room = "bytes = 99999999"
    for text, problem in [
        ("", "backlog"),
        (f"[backlog]\nwindow = 0\n{room}", "window"),
        ("[backlog]\nwindow = 9\nbytes = 1", "bytes"),
        ("[backlog]\nwindow = 9", "bytes"),
        (f"[backlog]\nwindow = 9\n{room}\nrooms = 1", "rooms"),
        ("[x", ""),
    ]:
        with pytest.raises(ConfigError, match=f"^BALANCER_BACKLOG: x.toml: .*{problem}"):
            decode(text.encode(), "x.toml")
    with pytest.raises(ConfigError, match="BALANCER_BACKLOG.*missing"):
        load(str(tmp_path / "missing"))
