"""Index of the backlog by id and by expiry: a bounded memtable, and sorted runs on disk.

Owns the entries. Must never know whether a document still waits (the store says which entries are needed) or
write the manifest: it passes on what is to be recorded, and drops no run before that is done.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Generator, Iterable, Iterator

from rbloom import Bloom

from birchstack.backlog.plan import (
    ID_ENTRY,
    IDS,
    TIME_ENTRY,
    TIMES,
    Run,
    Sizes,
    select_merge,
)
from birchstack.backlog.runs import (
    CorruptionError,
    Cursor,
    load_filter,
    lookup,
    merge_entries,
    write_run,
)
from birchstack.net.machine import Folder

DENSE_SHARE = 0.9  # a merge that keeps a larger share of the entries left the runs nearly as they were


class Memtable:
    """Entries that are in no run yet. The store bounds it by flushing."""

    __slots__ = ("ids", "times", "_all")

    def __init__(self) -> None:
        self.ids: dict[bytes, list[bytes]] = {}  # entries by hash
        self.times: list[bytes] = []  # a heap
        self._all: list[bytes] = []

    def __len__(self) -> int:
        return len(self._all)

    def add(self, key: bytes, entry: bytes) -> None:
        """Adds a document by the hash of its id and its time entry."""
        _, destination, position = TIME_ENTRY.unpack(entry)
        self.ids.setdefault(key, []).append(ID_ENTRY.pack(key, destination, position))
        heapq.heappush(self.times, entry)
        self._all.append(entry)

    def sorted(self, kind: str) -> list[bytes]:
        """Returns the entries of one kind in order."""
        if kind == TIMES:
            return sorted(self._all)
        return sorted(entry for entries in self.ids.values() for entry in entries)


Record = Callable[[list[Run], list[Run]], None]  # records added and removed runs, or raises OSError


class Index:
    """The memtable, the frozen memtable that is being flushed, and the runs."""

    def __init__(
        self,
        folder: Folder,
        next_number: Callable[[], int],
        entry_needed: dict[str, Callable[[bytes], bool]],
        on_corruption: Callable[[CorruptionError], None],
        sizes: Sizes,
    ) -> None:
        """next_number: of a new file. entry_needed: by kind, whether an entry is still needed."""
        self._folder = folder
        self._next_number = next_number
        self._entry_needed = entry_needed
        self._on_corruption = on_corruption
        self._sizes = sizes
        self.memtable = Memtable()
        self.frozen = None
        self.runs: dict[int, Run] = {}
        self._filters: dict[int, Bloom] = {}
        self._cursors: list[Cursor] = []  # a heap
        self._dense: set[int] = set()  # see plan.select_merge
        self.unfinished_files: dict[str, list[str]] = {}  # by job: files to remove if it does not complete

    def restore(self, run: Run, watermark: bytes) -> None:
        """Adds a run of the manifest; raises CorruptionError or OSError where it cannot be used."""
        if run.kind == IDS:
            self._filters[run.number] = load_filter(self._folder, run)
        else:
            self._add_cursor(run, watermark)
        self.runs[run.number] = run

    # By id

    def find(self, key: bytes) -> Iterator[tuple[int, int]]:
        """Yields destination and position of each document whose id has this hash; some may have ended."""
        for memtable in (self.memtable, self.frozen):
            if memtable is not None and key in memtable.ids:
                yield from (ID_ENTRY.unpack(entry)[1:] for entry in memtable.ids[key])
        number = int.from_bytes(key, "big")
        for each, bloom in list(self._filters.items()):
            if number in bloom:
                try:
                    yield from (
                        ID_ENTRY.unpack(entry)[1:] for entry in lookup(self._folder, self.runs[each], key)
                    )
                except CorruptionError as problem:
                    self._on_corruption(problem)

    # By time

    def _first_heap(self) -> list[bytes] | None:
        """Returns the heap, of the two memtables', that has the earlier entry."""
        heaps = [each.times for each in (self.memtable, self.frozen) if each is not None and each.times]
        return min(heaps, key=lambda heap: heap[0], default=None)

    def top(self) -> bytes | None:
        """Returns the entry with the earliest expiry; its document may have ended."""
        heap = self._first_heap()
        if self._cursors and (heap is None or self._cursors[0].entry < heap[0]):
            return self._cursors[0].entry
        return heap[0] if heap else None

    def pop(self) -> None:
        """Passes over the entry that top() returns."""
        heap = self._first_heap()
        if self._cursors and (heap is None or self._cursors[0].entry < heap[0]):
            self._cursors[0].next()
            if self._cursors[0].entry is None:
                heapq.heappop(self._cursors)
            else:
                heapq.heapreplace(self._cursors, self._cursors[0])
        elif heap:
            heapq.heappop(heap)

    def _add_cursor(self, run: Run, watermark: bytes) -> None:
        cursor = Cursor(self._folder, run, watermark, self._on_corruption)
        if cursor.entry is not None:
            heapq.heappush(self._cursors, cursor)

    # Writing and merging runs, a bounded piece at each step

    def flush(self, watermark: Callable[[], bytes], record: Record) -> Generator[None, None, None]:
        """Writes the frozen memtable to two runs."""
        runs = []
        self.unfinished_files["flush"] = []
        for kind in (IDS, TIMES):
            entries = self.frozen.sorted(kind)
            yield
            runs.append((yield from self._write("flush", kind, len(entries), entries)))
            yield
        self._install(runs, [], watermark, record)
        self.frozen = None
        del self.unfinished_files["flush"]

    def _write(
        self, job: str, kind: str, expected: int, entries: Iterable[bytes | None]
    ) -> Generator[None, None, tuple[Run, Bloom | None]]:
        number = self._next_number()
        self.unfinished_files[job].append(Run(kind, number, 0, 0, 0).name)
        return write_run(self._folder, kind, number, expected, entries)

    def runs_to_merge(self, needed: dict[str, int]) -> list[Run]:
        """Returns runs worth merging; needed: by kind, the number of entries still needed, at most."""
        for kind, most in needed.items():
            of_kind = (run for run in self.runs.values() if run.kind == kind)
            runs = select_merge(of_kind, most, self._sizes, self._dense)
            if runs:
                return runs
        return []

    def merge(
        self, old: list[Run], watermark: Callable[[], bytes], record: Record
    ) -> Generator[None, None, list[Run]]:
        """Merges runs into one of the entries still needed; returns the runs whose files can be removed.

        Raises CorruptionError, and then nothing has changed.
        """
        kind = old[0].kind
        entries = merge_entries(self._folder, old, self._entry_needed[kind])
        expected = sum(run.count for run in old)
        self.unfinished_files["merge"] = []
        run, bloom = yield from self._write("merge", kind, expected, entries)
        yield
        self._dense &= self.runs.keys()
        if run.count > DENSE_SHARE * expected:
            self._dense.add(run.number)
        self._install([(run, bloom)] if run.count else [], old, watermark, record)
        del self.unfinished_files["merge"]
        return old if run.count else [run, *old]

    def drop(self, old: list[Run], record: Callable[[], object]) -> None:
        """Drops runs that are no longer needed."""
        self._install([], old, bytes, lambda *_: record())

    def _install(
        self,
        new: list[tuple[Run, Bloom | None]],
        old: list[Run],
        watermark: Callable[[], bytes],
        record: Record,
    ) -> None:
        """Replaces old runs by new ones, once that is recorded."""
        record([run for run, _ in new], old)
        removed = {run.number for run in old}
        for number in removed:
            self.runs.pop(number, None)
            self._filters.pop(number, None)
        self._cursors = [each for each in self._cursors if each.run.number not in removed]
        heapq.heapify(self._cursors)
        for run, bloom in new:
            self.runs[run.number] = run
            if bloom is not None:
                self._filters[run.number] = bloom
            else:
                self._add_cursor(run, watermark())

    def clear(self) -> list[Run]:
        """Drops all entries; returns the runs, whose files can be removed once that is recorded."""
        runs = list(self.runs.values())
        self.memtable = Memtable()
        self.frozen = None
        self.runs = {}
        self._filters = {}
        self._cursors = []
        return runs

    def freeze(self) -> None:
        """Starts a new memtable; the present one is kept for flush()."""
        self.frozen = self.memtable
        self.memtable = Memtable()

    def wants_flush(self) -> bool:
        """Returns whether the memtable is full."""
        return len(self.memtable) >= self._sizes.flush_documents
