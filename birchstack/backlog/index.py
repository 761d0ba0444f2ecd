"""Where a document of the backlog lies, by its id, and which expires next: a bounded tail, and runs on disk.

Owns the entries. Must never know whether a document is owed (the store says which entries count) or write the
manifest: it hands over what is to be recorded, and removes no run before that is.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Generator, Iterable, Iterator

from rbloom import Bloom

from birchstack.backlog.plan import (
    ENTRY,
    ID,
    IDS,
    TIMES,
    Run,
    Sizes,
    merged,
)
from birchstack.backlog.runs import Cursor, Rot, load, look, merge, write
from birchstack.net.machine import Folder


class Tail:
    """Entries that are in no run yet. Bounded by the store, which has them flushed."""

    __slots__ = ("ids", "times", "_all")

    def __init__(self) -> None:
        self.ids: dict[bytes, list[bytes]] = {}  # entries by hash
        self.times: list[bytes] = []  # a heap
        self._all: list[bytes] = []

    def __len__(self) -> int:
        return len(self._all)

    def add(self, key: bytes, entry: bytes) -> None:
        _, destination, where = ENTRY.unpack(entry)
        self.ids.setdefault(key, []).append(ID.pack(key, destination, where))
        heapq.heappush(self.times, entry)
        self._all.append(entry)

    def sorted(self, kind: str) -> list[bytes]:
        if kind == TIMES:
            return sorted(self._all)
        return sorted(entry for entries in self.ids.values() for entry in entries)


Record = Callable[[list[Run], list[Run]], None]  # runs added and removed are recorded, or OSError


class Index:
    def __init__(
        self,
        folder: Folder,
        number: Callable[[], int],
        counts: dict[str, Callable[[bytes], bool]],
        rotten: Callable[[Rot], None],
        sizes: Sizes,
    ) -> None:
        """number: a new file's; counts: by kind, whether an entry still does."""
        self._folder, self._number, self._counts, self._rotten = folder, number, counts, rotten
        self._sizes = sizes
        self.tail, self.frozen = Tail(), None
        self.runs: dict[int, Run] = {}
        self._filters: dict[int, Bloom] = {}
        self._cursors: list[Cursor] = []  # a heap
        self._full: set[int] = set()  # see plan.merged
        self.making: dict[str, list[str]] = {}  # by job, files that are of no use if it does not end

    # At the start

    def found(self, run: Run, mark: bytes) -> None:
        """A run of the manifest; raises Rot or OSError where it cannot be used."""
        if run.kind == IDS:
            self._filters[run.number] = load(self._folder, run)
        else:
            self._cursor(run, mark)
        self.runs[run.number] = run

    # By id

    def find(self, key: bytes) -> Iterator[tuple[int, int]]:
        """Destination and place of each document whose id has this hash; some may be past."""
        for tail in (self.tail, self.frozen):
            if tail is not None and key in tail.ids:
                yield from (ID.unpack(entry)[1:] for entry in tail.ids[key])
        number = int.from_bytes(key, "big")
        for each, bloom in list(self._filters.items()):
            if number in bloom:
                try:
                    yield from (ID.unpack(entry)[1:] for entry in look(self._folder, self.runs[each], key))
                except Rot as problem:
                    self._rotten(problem)

    # By time

    def _heap(self) -> list[bytes] | None:
        """The tail's heap that has the earlier entry."""
        heaps = [each.times for each in (self.tail, self.frozen) if each is not None and each.times]
        return min(heaps, key=lambda heap: heap[0], default=None)

    def top(self) -> bytes | None:
        """The entry that expires first; it may be past."""
        heap = self._heap()
        if self._cursors and (heap is None or self._cursors[0].top < heap[0]):
            return self._cursors[0].top
        return heap[0] if heap else None

    def pop(self) -> None:
        heap = self._heap()
        if self._cursors and (heap is None or self._cursors[0].top < heap[0]):
            self._cursors[0].next()
            if self._cursors[0].top is None:
                heapq.heappop(self._cursors)
            else:
                heapq.heapreplace(self._cursors, self._cursors[0])
        elif heap:
            heapq.heappop(heap)

    def _cursor(self, run: Run, mark: bytes) -> None:
        cursor = Cursor(self._folder, run, mark, self._rotten)
        if cursor.top is not None:
            heapq.heappush(self._cursors, cursor)

    # Runs are made and merged, a piece at a step

    def flush(self, mark: Callable[[], bytes], record: Record) -> Generator[None, None, None]:
        """The frozen tail becomes two runs."""
        runs = []
        self.making["flush"] = []
        for kind in (IDS, TIMES):
            entries = self.frozen.sorted(kind)
            yield
            runs.append((yield from self._write("flush", kind, len(entries), entries)))
            yield
        self._install(runs, [], mark, record)
        self.frozen = None
        del self.making["flush"]

    def _write(
        self, job: str, kind: str, expected: int, entries: Iterable[bytes | None]
    ) -> Generator[None, None, tuple[Run, Bloom | None]]:
        number = self._number()
        self.making[job].append(Run(kind, number, 0, 0, 0).name)
        return write(self._folder, kind, number, expected, entries)

    def merging(self, needed: dict[str, int]) -> list[Run]:
        """needed: by kind, how many entries at most still count."""
        for kind, most in needed.items():
            mine = (run for run in self.runs.values() if run.kind == kind)
            runs = merged(mine, most, self._sizes, self._full)
            if runs:
                return runs
        return []

    def merge(
        self, old: list[Run], mark: Callable[[], bytes], record: Record
    ) -> Generator[None, None, list[Run]]:
        """These runs become one, of the entries that still count; returns those whose files may go. Raises
        Rot, and then all stays as it is."""
        kind = old[0].kind
        entries = merge(self._folder, old, self._counts[kind])
        expected = sum(run.count for run in old)
        self.making["merge"] = []
        run, bloom = yield from self._write("merge", kind, expected, entries)
        yield
        self._full &= self.runs.keys()
        if run.count > 0.9 * expected:
            self._full.add(run.number)
        self._install([(run, bloom)] if run.count else [], old, mark, record)
        del self.making["merge"]
        return old if run.count else [run, *old]

    def drop(self, old: list[Run], record: Callable[[], object]) -> None:
        """These runs are needed no more."""
        self._install([], old, bytes, lambda *_: record())

    def _install(
        self, new: list[tuple[Run, Bloom | None]], old: list[Run], mark: Callable[[], bytes], record: Record
    ) -> None:
        record([run for run, _ in new], old)
        gone = {run.number for run in old}
        for number in gone:
            self.runs.pop(number, None)
            self._filters.pop(number, None)
        self._cursors = [each for each in self._cursors if each.run.number not in gone]
        heapq.heapify(self._cursors)
        for run, bloom in new:
            self.runs[run.number] = run
            if bloom is not None:
                self._filters[run.number] = bloom
            else:
                self._cursor(run, mark())

    def clear(self) -> list[Run]:
        """Nothing is owed any more; returns the runs, whose files may go once that is recorded."""
        runs = list(self.runs.values())
        self.tail, self.frozen, self.runs, self._filters, self._cursors = Tail(), None, {}, {}, []
        return runs

    def freeze(self) -> None:
        self.frozen, self.tail = self.tail, Tail()

    def wants_flush(self) -> bool:
        return len(self.tail) >= self._sizes.flushed
