"""The arithmetic of the backlog on disk: places, entries of sorted runs, pages, names, what is merged when.

Owns no state and touches no file. A place names a document's record: segment number in the upper half, offset
in the lower. Numbers of files only grow and are never used again, so a place is never used again either, and
places of one destination grow in order of arrival.

An entry of a run has 20 bytes that sort as what they mean: by id (hash, destination, place) or by time
(expiry, destination, place). Runs are sorted, and merged eight of a size at a time, so there are few.
"""

from __future__ import annotations

import struct
from collections.abc import Container, Iterable
from hashlib import blake2b
from math import inf, nextafter
from typing import NamedTuple

from birchstack.backlog import PREFIX
from birchstack.ledger.records import HEAD, Page, frame

IDS, TIMES = "ids", "times"  # kinds of runs
MANIFEST, BALLAST = PREFIX + "manifest", PREFIX + "ballast"
BLOCK = 512
OFFSET = (1 << 32) - 1
ENTRY = struct.Struct(">dIQ")  # expiry, destination, place: sorts as its bytes, from 0 up
ID = struct.Struct(">8sIQ")
SIZE = ENTRY.size
PER_PAGE = 128
PAGE = len(frame(Page(bytes(PER_PAGE * SIZE))))  # all but the last page of a run have this length
NEVER = ENTRY.pack(inf, (1 << 32) - 1, (1 << 64) - 1)


class Sizes(NamedTuple):
    """sealed: a segment ends before it grows beyond this; flushed: documents whose entries are held in
    memory, until they make a run; unmarked: their bytes, at most, which a restart reads; fan: runs of one
    size that are merged into one; passed: bytes, and popped: entries, that one call passes over; logged: the
    manifest is written anew once its log is so long, and twice its snapshot."""

    sealed: int = 1 << 20
    flushed: int = 2048
    unmarked: int = 2 << 20
    fan: int = 8
    passed: int = 1 << 20
    popped: int = 4096
    logged: int = 1 << 18


class Run(NamedTuple):
    """A sorted run on disk: its kind and number, entries, and where its filter begins and the file ends."""

    kind: str
    number: int
    count: int
    bits: int
    size: int

    @property
    def name(self) -> str:
        return f"{PREFIX}{self.kind}-{self.number}"

    @property
    def pages(self) -> int:
        return -(-self.count // PER_PAGE)


def place(number: int, offset: int) -> int:
    return number << 32 | offset


def segment(destination: int, number: int) -> str:
    """The name of a segment's file."""
    return f"{PREFIX}{destination}-{number}"


def parse(name: str) -> tuple[str, int] | None:
    """What a file of the backlog is (a destination's number, a kind of run, manifest) and its number."""
    what, _, number = name.removeprefix(PREFIX).rpartition("-")
    return (what, int(number)) if name.startswith(PREFIX) and what and number.isdecimal() else None


def hashed(doc_id: str) -> bytes:
    return blake2b(doc_id.encode("utf-8", "surrogatepass"), digest_size=8).digest()


def at_time(expiry: float, destination: int, where: int) -> bytes:
    return ENTRY.pack(max(0.0, expiry), destination, where)


def after(now: float) -> bytes:
    """Before this are the entries with an expiry up to now."""
    return ENTRY.pack(max(0.0, nextafter(now, inf)), 0, 0)


def page_at(index: int) -> int:
    return HEAD.size + index * PAGE


def blocks(size: int) -> int:
    return -(-size // BLOCK) * BLOCK


def level(count: int, sizes: Sizes) -> int:
    """Runs of one level are of one size, about."""
    at, size = 0, sizes.flushed * sizes.fan
    while count >= size:
        at, size = at + 1, size * sizes.fan
    return at


def merged(runs: Iterable[Run], needed: int, sizes: Sizes, full: Container[int] = ()) -> list[Run]:
    """The runs of one kind that are worth merging now; none where none are.

    All of them once no more than half of their entries can be needed; else some of one size. full: numbers of
    runs that a merge left nearly as they were: none of them is merged again alone, lest it never ends."""
    runs = list(runs)
    if sum(run.count for run in runs) > 2 * needed + 4 * sizes.flushed and not (
        len(runs) == 1 and runs[0].number in full
    ):
        return runs
    by_level: dict[int, list[Run]] = {}
    for run in runs:
        by_level.setdefault(level(run.count, sizes), []).append(run)
    for at in sorted(by_level):
        if len(by_level[at]) >= sizes.fan:
            return by_level[at][: sizes.fan]
    return []
