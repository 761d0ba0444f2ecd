"""Arithmetic of the backlog on disk: positions, index entries, pages, file names, choice of runs to merge.

Owns no state and touches no file. A position identifies a document's record: segment number in the upper 32
bits, offset in the lower. File numbers only grow and are never used again, so neither is a position, and the
positions of one destination grow in order of arrival.

An entry of a sorted run has 20 bytes that sort like the values in them: by id (hash, destination, position)
or by time (expiry, destination, position). Eight runs of about one size are merged at a time, so there are
few.
"""

from __future__ import annotations

import struct
from collections.abc import Container, Iterable
from hashlib import blake2b
from math import inf, nextafter
from typing import NamedTuple

from birchstack.backlog import PREFIX
from birchstack.ledger.records import HEAD, Page, frame

# Kinds of runs
IDS = "ids"
TIMES = "times"

MANIFEST = PREFIX + "manifest"
BALLAST = PREFIX + "ballast"
BLOCK_SIZE = 512  # bytes
OFFSET_MASK = (1 << 32) - 1  # the offset in a position
TIME_ENTRY = struct.Struct(">dIQ")  # expiry, destination, position; expiries from 0 up sort like their bytes
ID_ENTRY = struct.Struct(">8sIQ")  # hash of the id, destination, position
ENTRY_SIZE = TIME_ENTRY.size  # bytes
ENTRIES_PER_PAGE = 128
PAGE_SIZE = len(frame(Page(bytes(ENTRIES_PER_PAGE * ENTRY_SIZE))))  # bytes, of all but a run's last page
MAX_ENTRY = TIME_ENTRY.pack(inf, (1 << 32) - 1, (1 << 64) - 1)


class Sizes(NamedTuple):
    """Limits of the backlog's files and of the work of one call."""

    segment_bytes: int = 1 << 20  # a segment is sealed before it grows beyond this
    flush_documents: int = 2048  # documents whose entries are held in memory before they are flushed to a run
    unindexed_bytes: int = 2 << 20  # limit of the bytes of their records, which a restart reads
    merge_fan_in: int = 8  # runs of one level that are merged into one
    scan_bytes: int = 1 << 20  # bytes of records that one call passes over
    scan_entries: int = 4096  # entries that one call passes over
    log_bytes: int = 1 << 18  # a new manifest begins once its log is longer than this and twice its snapshot


class Run(NamedTuple):
    """A sorted run on disk. filter_offset: where its Bloom filter begins; size: of the file, in bytes."""

    kind: str
    number: int
    count: int
    filter_offset: int
    size: int

    @property
    def name(self) -> str:
        """The name of the run's file."""
        return f"{PREFIX}{self.kind}-{self.number}"

    @property
    def pages(self) -> int:
        """The number of pages."""
        return -(-self.count // ENTRIES_PER_PAGE)


def pack_position(number: int, offset: int) -> int:
    """Returns the position of an offset in a segment."""
    return number << 32 | offset


def segment_name(destination: int, number: int) -> str:
    """Returns the name of a segment's file."""
    return f"{PREFIX}{destination}-{number}"


def parse_name(name: str) -> tuple[str, int] | None:
    """Returns the kind (a destination's number, a kind of run, manifest) and number of a backlog file."""
    kind, _, number = name.removeprefix(PREFIX).rpartition("-")
    return (kind, int(number)) if name.startswith(PREFIX) and kind and number.isdecimal() else None


def hash_id(doc_id: str) -> bytes:
    """Returns the hash by which a document is indexed."""
    return blake2b(doc_id.encode("utf-8", "surrogatepass"), digest_size=8).digest()


def time_entry(expiry: float, destination: int, position: int) -> bytes:
    """Returns the entry by time of a document."""
    return TIME_ENTRY.pack(max(0.0, expiry), destination, position)


def expiry_limit(now: float) -> bytes:
    """Returns the entry below which all entries with an expiry up to now sort."""
    return TIME_ENTRY.pack(max(0.0, nextafter(now, inf)), 0, 0)


def page_offset(index: int) -> int:
    """Returns where a page begins in a run's file."""
    return HEAD.size + index * PAGE_SIZE


def allocated_size(size: int) -> int:
    """Returns a file's size rounded up to whole blocks."""
    return -(-size // BLOCK_SIZE) * BLOCK_SIZE


def level(count: int, sizes: Sizes) -> int:
    """Returns the merge level of a run; runs of one level have about the same size."""
    found, size = 0, sizes.flush_documents * sizes.merge_fan_in
    while count >= size:
        found, size = found + 1, size * sizes.merge_fan_in
    return found


def select_merge(runs: Iterable[Run], needed: int, sizes: Sizes, dense: Container[int] = ()) -> list[Run]:
    """Returns the runs of one kind that are worth merging now, or an empty list.

    That is all of them once at most half of their entries can still be needed, else some of one level. dense
    has the numbers of runs that a merge left nearly as they were: none of them is merged again alone, since
    that would repeat without end.
    """
    runs = list(runs)
    if sum(run.count for run in runs) > 2 * needed + 4 * sizes.flush_documents and not (
        len(runs) == 1 and runs[0].number in dense
    ):
        return runs
    by_level: dict[int, list[Run]] = {}
    for run in runs:
        by_level.setdefault(level(run.count, sizes), []).append(run)
    for each in sorted(by_level):
        if len(by_level[each]) >= sizes.merge_fan_in:
            return by_level[each][: sizes.merge_fan_in]
    return []
