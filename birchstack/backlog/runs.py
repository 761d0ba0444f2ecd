"""Sorted runs in a folder: written in bounded pieces, searched page by page, read in order by cursors.

Owns the files of runs. Must never know whether a document still waits: the caller of a merge says which
entries are needed.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Generator, Iterable, Iterator

from rbloom import Bloom

from birchstack.backlog.plan import ENTRIES_PER_PAGE, ENTRY_SIZE, IDS, PAGE_SIZE, Run, page_offset
from birchstack.ledger.records import HEAD, Bits, Page, Scanner, frame, head, unframe
from birchstack.net.machine import Folder

FALSE_POSITIVE_RATE = 0.01  # share of the ids not in a run that are still searched for in it
ENTRIES_PER_STEP = 512  # entries written or skipped in one piece of work
FILTER_PIECE_SIZE = 65536  # bytes


class CorruptionError(Exception):
    """A page or the Bloom filter of a run fails its checksum; the message names file and offset."""

    def __init__(self, run: Run, offset: int) -> None:
        super().__init__(f"{run.name} at {offset}")
        self.run = run


def _identity(number: int) -> int:
    """The filters' hash function: the keys are hashes already."""
    return number


def append_all(folder: Folder, handle: int, data: bytes) -> None:
    """Appends all the data; raises OSError if only part of it was written."""
    written = folder.append(handle, data)
    if written < len(data):
        raise OSError(f"{written} of {len(data)} bytes written")


def read_page(folder: Folder, run: Run, index: int) -> bytes:
    """Returns the entries of one page."""
    try:
        record = unframe(folder.read_at(run.name, page_offset(index), PAGE_SIZE))
    except FileNotFoundError:
        record = None
    if not isinstance(record, Page):
        raise CorruptionError(run, page_offset(index))
    return record.entries


def load_filter(folder: Folder, run: Run) -> Bloom:
    """Reads the Bloom filter of a run of ids."""
    scanner = Scanner(run.number, run.filter_offset)
    found = []
    for offset in range(run.filter_offset, run.size, FILTER_PIECE_SIZE):
        found += scanner.feed(folder.read_at(run.name, offset, min(FILTER_PIECE_SIZE, run.size - offset)))
    found += scanner.end()
    if not found or scanner.damages:
        raise CorruptionError(run, run.filter_offset)
    return Bloom.load_bytes(b"".join(record.piece for _, record in found), _identity)


def write_run(
    folder: Folder, kind: str, number: int, expected: int, entries: Iterable[bytes | None]
) -> Generator[None, None, tuple[Run, Bloom | None]]:
    """Writes a run of sorted entries, a piece at each step.

    None in place of an entry counts as work and is not written.
    """
    run = Run(kind, number, 0, 0, 0)
    bloom = Bloom(max(1, expected), FALSE_POSITIVE_RATE, _identity) if kind == IDS else None
    handle = folder.open(run.name, fresh=True)
    buffered = []
    count = 0
    size = HEAD.size
    work = 0
    try:
        append_all(folder, handle, head(number))
        for entry in entries:
            work += 1
            if entry is not None:
                buffered.append(entry)
                if bloom is not None:
                    bloom.add(int.from_bytes(entry[:8], "big"))
            if work >= ENTRIES_PER_STEP:
                work = 0
                full = len(buffered) - len(buffered) % ENTRIES_PER_PAGE
                data = _encode_pages(buffered[:full])
                if data:
                    append_all(folder, handle, data)
                count += full
                size += len(data)
                buffered = buffered[full:]
                yield
        data = _encode_pages(buffered)
        count += len(buffered)
        filter_offset = size + len(data)
        if data:
            append_all(folder, handle, data)
        size = filter_offset
        if bloom is not None:
            yield
            saved = bloom.save_bytes()
            for start in range(0, len(saved), FILTER_PIECE_SIZE):
                data = frame(Bits(saved[start : start + FILTER_PIECE_SIZE]))
                append_all(folder, handle, data)
                size += len(data)
                if start % (8 * FILTER_PIECE_SIZE) == 0:
                    yield
        return Run(kind, number, count, filter_offset, size), bloom
    finally:
        folder.close(handle)


def _encode_pages(entries: list[bytes]) -> bytes:
    return b"".join(
        frame(Page(b"".join(entries[start : start + ENTRIES_PER_PAGE])))
        for start in range(0, len(entries), ENTRIES_PER_PAGE)
    )


def merge_entries(folder: Folder, runs: list[Run], needed: Callable[[bytes], bool]) -> Iterator[bytes | None]:
    """Yields the entries of runs in order, and None for each that is a duplicate or no longer needed.

    Raises CorruptionError.
    """

    def read_entries(run: Run) -> Iterator[bytes]:
        for index in range(run.pages):
            entries = read_page(folder, run, index)
            for offset in range(0, len(entries), ENTRY_SIZE):
                yield entries[offset : offset + ENTRY_SIZE]

    last = b""
    for entry in heapq.merge(*map(read_entries, runs)):
        yield entry if entry != last and needed(entry) else None
        last = entry


def seek(folder: Folder, run: Run, key: bytes) -> tuple[int, int]:
    """Returns page and offset in it of the first entry that is not below key.

    If there is none, returns the page after the last.
    """
    low, high = 0, run.pages  # searches for the last page that begins below key, else the first page
    while high - low > 1:
        middle = (low + high) // 2
        if read_page(folder, run, middle)[:ENTRY_SIZE] < key:
            low = middle
        else:
            high = middle
    if not run.pages:
        return 0, 0
    entries = read_page(folder, run, low)
    for offset in range(0, len(entries), ENTRY_SIZE):
        if entries[offset : offset + ENTRY_SIZE] >= key:
            return low, offset
    return low + 1, 0


def lookup(folder: Folder, run: Run, key: bytes) -> Iterator[bytes]:
    """Yields the entries that begin with key."""
    index, offset = seek(folder, run, key)
    while index < run.pages:
        entries = read_page(folder, run, index)
        while offset < len(entries):
            if not entries.startswith(key, offset):
                return
            yield entries[offset : offset + ENTRY_SIZE]
            offset += ENTRY_SIZE
        index, offset = index + 1, 0


class Cursor:
    """Reads a run entry by entry, with one page in memory.

    entry is the present one, None after the last. A corrupted page is reported to on_corruption and skipped.
    """

    __slots__ = ("run", "entry", "_folder", "_index", "_offset", "_page", "_on_corruption")

    def __init__(
        self, folder: Folder, run: Run, key: bytes, on_corruption: Callable[[CorruptionError], None]
    ) -> None:
        self.run = run
        self._folder = folder
        self._on_corruption = on_corruption
        try:
            self._index, self._offset = seek(folder, run, key)
        except CorruptionError as problem:
            on_corruption(problem)
            self._index = self._offset = 0  # from the beginning: the caller skips ended entries one by one
        self._page = b""
        self.entry = None
        self._load()

    def _load(self) -> None:
        """Reads the next page that is intact."""
        self._page = b""
        while not self._page and self._index < self.run.pages:
            try:
                self._page = read_page(self._folder, self.run, self._index)
            except CorruptionError as problem:
                self._on_corruption(problem)
                self._index, self._offset = self._index + 1, 0
        self.entry = self._page[self._offset : self._offset + ENTRY_SIZE] or None

    def next(self) -> None:
        """Moves to the next entry."""
        self._offset += ENTRY_SIZE
        if self._offset < len(self._page):
            self.entry = self._page[self._offset : self._offset + ENTRY_SIZE]
        else:
            self._index, self._offset = self._index + 1, 0
            self._load()

    def __lt__(self, other: Cursor) -> bool:
        return self.entry < other.entry
