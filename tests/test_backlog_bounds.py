"""Bounds of the backlog's memory and of its reads at a start; its settings; which runs are merged."""

import collections
import gc
import random
import tracemalloc
from pathlib import Path

import pytest
from fake import ROOM, kept, opened, settle

from birchstack.backlog import contains_documents
from birchstack.backlog.plan import IDS, PAGE_SIZE, Run, Sizes, parse_name, select_merge
from birchstack.backlog.settings import decode, load
from birchstack.backlog.store import Backlog
from birchstack.emulator.folder import Disk, MemoryFolder
from birchstack.net.config import ConfigError
from birchstack.net.machine import Folder

SIZES = Sizes(segment_bytes=1 << 16, flush_documents=256, unindexed_bytes=1 << 20, merge_fan_in=4)


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
    filters = sum(bloom.size_in_bits / 8 for bloom in store._index._filters.values())  # not traced
    assert len(store) == 28_000
    assert (sizes[1] - sizes[0]) / 20_000 + filters / 28_000 < 8


class CountingFolder(MemoryFolder):
    """Counts the reads and the bytes read, by kind of file."""

    def __init__(self, disk):
        super().__init__(disk)
        self.bytes = collections.Counter()
        self.calls = 0

    def read_at(self, name, offset, size):
        data = super().read_at(name, offset, size)
        self.bytes["segments" if contains_documents([name]) else parse_name(name)[0]] += len(data)
        self.calls += 1
        return data

    def read(self, name):
        raise AssertionError("a file was read whole")


def restart_counting(count, destinations, body=100):
    """Returns the folder that counted the reads of a restart, the size of the segments, the store before."""
    disk = Disk()
    store = opened(disk, SIZES)
    for number in range(count):
        store.append(kept(number, number % destinations, 1e6 + number, b"b" * body))
        store.step()
    settle(store)
    folder = CountingFolder(disk)
    assert len(Backlog(folder, ROOM, 0.0, SIZES)) == count
    segment_bytes = sum(len(data) for name, data in disk.files.items() if contains_documents([name]))
    return folder, segment_bytes, store


def test_a_restart_reads_the_manifest_the_filters_and_the_segments_after_the_last_checkpoint():
    manifest_bytes = []
    for count, body in ((4000, 100), (16_000, 100), (16_000, 1000)):
        folder, segment_bytes, store = restart_counting(count, 20, body)
        runs = store._index.runs.values()
        # Only the records after the last checkpoint are read
        assert folder.bytes["segments"] < SIZES.flush_documents * (body + 100) < segment_bytes / 10
        assert folder.bytes["ids"] == sum(run.size - run.filter_offset for run in runs) < 3 * count
        assert folder.bytes["times"] <= sum((run.pages.bit_length() + 2) * PAGE_SIZE for run in runs)
        manifest_bytes.append(folder.bytes["manifest"])
    assert max(manifest_bytes) < 400_000  # a snapshot, and the log that may grow before the next one


def test_at_a_restart_more_destinations_cost_no_reads_of_whole_files():
    few, many = restart_counting(4000, 10)[0], restart_counting(4000, 400)[0]
    assert many.calls < few.calls + 2 * 400
    assert many.bytes["segments"] < SIZES.flush_documents * 200


def test_a_destination_with_nine_tenths_of_the_documents_does_not_hold_up_the_others():
    disk = Disk()
    store = opened(disk, SIZES)
    generator = random.Random(2)
    for number in range(3000):
        store.append(kept(number, 0 if generator.random() < 0.9 else 1 + number % 9, body=b"b" * 100))
        store.step()
    assert store.waiting(0)[0] > 2600 and len([*store.destinations()]) == 10
    for destination in [*store.destinations()]:  # all documents are moved back
        while store.waiting(destination)[0]:
            got = store.read(destination, 64)
            assert got and [each.taken for each in got] == sorted(each.taken for each in got)
            store.moved(destination, len(got))
            store.step()
    settle(store)
    assert not len(store) and not contains_documents(disk.files)


def test_the_bytes_that_one_step_writes_are_bounded():
    """No step writes more than a piece of a run, or a filter, however many documents wait."""
    written = [0]
    folder = MemoryFolder(Disk())
    original_append = folder.append

    def append(handle, data):
        written[-1] += len(data)
        return original_append(handle, data)

    folder.append = append
    store = Backlog(folder, ROOM, 0.0, SIZES._replace(merge_fan_in=2))
    for number in range(20_000):
        store.append(kept(number, number % 5, 1e6, b""))
        written.append(0)
        store.step()
    assert max(written) < 160_000  # a piece of a run, or its filter


def run(number, count):
    return Run(IDS, number, count, 0, 0)


def test_runs_of_one_size_are_merged_and_all_runs_once_most_entries_are_obsolete():
    sizes = Sizes(flush_documents=10, merge_fan_in=3)
    assert not select_merge([run(1, 10), run(2, 10), run(3, 100)], 120, sizes)
    four = [run(1, 10), run(2, 100), run(3, 10), run(4, 10)]
    assert select_merge(four, 130, sizes) == [four[0], four[2], four[3]]
    assert len(select_merge([run(1, 100), run(2, 300)], 100, sizes)) == 2
    assert not select_merge([], 0, sizes) and not select_merge([run(1, 300)], 100, sizes, {1})


def test_housekeeping_completes_where_many_documents_expired_after_one_that_has_not():
    """The first record stays, so the entries after it cannot be dropped; merging them must not repeat."""
    store = opened(Disk(), SIZES._replace(flush_documents=16))
    for number in range(600):
        store.append(kept(number, 1, 1e6 if number == 0 else 100.0 + number))
    expired = True
    while expired:
        expired = [each.id for each in store.due(1e5, 50)]
        store.ended(expired)
        assert any(not store.step() for _ in range(500)), "housekeeping does not complete"
    assert len(store) == 1 and store.read(1, 9)[0].id == "d0" and not store.holds("d7")


def test_file_names_show_whether_documents_were_left():
    assert parse_name("backlog-ids-7") == ("ids", 7) and parse_name("backlog-12-7") == ("12", 7)
    assert parse_name("backlog-manifest-1") == ("manifest", 1)
    assert not parse_name("ledger") and not parse_name("backlog-ballast")
    assert contains_documents(["ledger", "backlog-3-9"]) and not contains_documents(
        ["body-3", "backlog-ids-7", "backlog-manifest-1"]
    )


def test_an_error_in_the_operators_file_is_named(tmp_path):
    example = load(str(Path(__file__).parent.parent / "deploy" / "backlog.toml"))
    assert example.window >= 1 and example.bytes >= 16 << 20
    valid_bytes = "bytes = 99999999"
    for text, problem in [
        ("", "backlog"),
        (f"[backlog]\nwindow = 0\n{valid_bytes}", "window"),
        ("[backlog]\nwindow = 9\nbytes = 1", "bytes"),
        ("[backlog]\nwindow = 9", "bytes"),
        (f"[backlog]\nwindow = 9\n{valid_bytes}\nrooms = 1", "rooms"),
        ("[x", ""),
    ]:
        with pytest.raises(ConfigError, match=f"^BALANCER_BACKLOG: x.toml: .*{problem}"):
            decode(text.encode(), "x.toml")
    with pytest.raises(ConfigError, match="BALANCER_BACKLOG.*missing"):
        load(str(tmp_path / "missing"))
