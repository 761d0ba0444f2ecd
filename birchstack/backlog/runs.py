"""Sorted runs on a folder: written in bounded pieces, looked into by pages, read on by cursors.

Owns the files of runs. Must never know whether a document is owed: whoever merges says which entries count.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Generator, Iterable, Iterator

from rbloom import Bloom

from birchstack.backlog.plan import IDS, PAGE, PER_PAGE, SIZE, Run, page_at
from birchstack.ledger.records import HEAD, Bits, Page, Scanner, frame, head, unframe
from birchstack.net.machine import Folder

FALSE = 0.01  # of the ids that are not in a run, so many are looked for in it
STRIDE = 512  # entries handled in one piece of work
PIECE = 65536  # of a filter


class Rot(Exception):
    """A page or a filter of a run does not check; names file and offset."""

    def __init__(self, run: Run, offset: int) -> None:
        super().__init__(f"{run.name} at {offset}")
        self.run = run


def _same(number: int) -> int:
    return number


def whole(folder: Folder, handle: int, data: bytes) -> None:
    written = folder.append(handle, data)
    if written < len(data):
        raise OSError(f"{written} of {len(data)} bytes written")


def page(folder: Folder, run: Run, index: int) -> bytes:
    """The entries of one page."""
    try:
        record = unframe(folder.read_at(run.name, page_at(index), PAGE))
    except FileNotFoundError:
        record = None
    if not isinstance(record, Page):
        raise Rot(run, page_at(index))
    return record.entries


def load(folder: Folder, run: Run) -> Bloom:
    """The filter of a run of ids, as it was written."""
    scanner, found = Scanner(run.number, run.bits), []
    for offset in range(run.bits, run.size, PIECE):
        found += scanner.feed(folder.read_at(run.name, offset, min(PIECE, run.size - offset)))
    found += scanner.end()
    if not found or scanner.damages:
        raise Rot(run, run.bits)
    return Bloom.load_bytes(b"".join(record.piece for _, record in found), _same)


def write(
    folder: Folder, kind: str, number: int, expected: int, entries: Iterable[bytes | None]
) -> Generator[None, None, tuple[Run, Bloom | None]]:
    """Writes a run of sorted entries, a piece at each step; None among them only counts as work."""
    run, bloom = Run(kind, number, 0, 0, 0), Bloom(max(1, expected), FALSE, _same) if kind == IDS else None
    handle, held, count, size, work = folder.open(run.name, fresh=True), [], 0, HEAD.size, 0
    try:
        whole(folder, handle, head(number))
        for entry in entries:
            work += 1
            if entry is not None:
                held.append(entry)
                if bloom is not None:
                    bloom.add(int.from_bytes(entry[:8], "big"))
            if work >= STRIDE:
                work, full = 0, len(held) - len(held) % PER_PAGE
                data = _paged(held[:full])
                if data:
                    whole(folder, handle, data)
                count, size, held = count + full, size + len(data), held[full:]
                yield
        data = _paged(held)
        count, bits = count + len(held), size + len(data)
        if data:
            whole(folder, handle, data)
        size = bits
        if bloom is not None:
            yield
            saved = bloom.save_bytes()
            for at in range(0, len(saved), PIECE):
                data = frame(Bits(saved[at : at + PIECE]))
                whole(folder, handle, data)
                size += len(data)
                if at % (8 * PIECE) == 0:
                    yield
        return Run(kind, number, count, bits, size), bloom
    finally:
        folder.close(handle)


def _paged(entries: list[bytes]) -> bytes:
    return b"".join(
        frame(Page(b"".join(entries[at : at + PER_PAGE]))) for at in range(0, len(entries), PER_PAGE)
    )


def merge(folder: Folder, runs: list[Run], counts: Callable[[bytes], bool]) -> Iterator[bytes | None]:
    """The entries of these runs in order; None in place of one that counts no more, or is there twice. Raises
    Rot."""

    def each(run: Run) -> Iterator[bytes]:
        for index in range(run.pages):
            entries = page(folder, run, index)
            for at in range(0, len(entries), SIZE):
                yield entries[at : at + SIZE]

    last = b""
    for entry in heapq.merge(*map(each, runs)):
        yield entry if entry != last and counts(entry) else None
        last = entry


def seek(folder: Folder, run: Run, key: bytes) -> tuple[int, int]:
    """Page and offset in it of the first entry from key on; the page behind the last where there is none."""
    low, high = 0, run.pages  # the page wanted: the last that begins before key, or the first
    while high - low > 1:
        middle = (low + high) // 2
        if page(folder, run, middle)[:SIZE] < key:
            low = middle
        else:
            high = middle
    if not run.pages:
        return 0, 0
    entries = page(folder, run, low)
    for at in range(0, len(entries), SIZE):
        if entries[at : at + SIZE] >= key:
            return low, at
    return low + 1, 0


def look(folder: Folder, run: Run, key: bytes) -> Iterator[bytes]:
    """The entries that begin with key."""
    index, at = seek(folder, run, key)
    while index < run.pages:
        entries = page(folder, run, index)
        while at < len(entries):
            if not entries.startswith(key, at):
                return
            yield entries[at : at + SIZE]
            at += SIZE
        index, at = index + 1, 0


class Cursor:
    """Reads a run on, entry by entry; one page is held. top: the entry it stands at, None behind the last.
    rotten: told of a page that does not check, which is passed over."""

    __slots__ = ("run", "top", "_folder", "_index", "_at", "_page", "_rotten")

    def __init__(self, folder: Folder, run: Run, key: bytes, rotten: Callable[[Rot], None]) -> None:
        self.run, self._folder, self._rotten = run, folder, rotten
        try:
            self._index, self._at = seek(folder, run, key)
        except Rot as problem:
            rotten(problem)
            self._index = self._at = 0  # from the beginning: what is past is passed over one by one
        self._page, self.top = b"", None
        self._load()

    def _load(self) -> None:
        self._page = b""
        while not self._page and self._index < self.run.pages:
            try:
                self._page = page(self._folder, self.run, self._index)
            except Rot as problem:
                self._rotten(problem)
                self._index, self._at = self._index + 1, 0
        self.top = self._page[self._at : self._at + SIZE] or None

    def next(self) -> None:
        self._at += SIZE
        if self._at < len(self._page):
            self.top = self._page[self._at : self._at + SIZE]
        else:
            self._index, self._at = self._index + 1, 0
            self._load()

    def __lt__(self, other: Cursor) -> bool:
        return self.top < other.top
