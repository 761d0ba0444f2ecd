"""Layouts of a backlog on disk, measured: a log for each destination, or one that is sorted later.

    python benchmarks/backlog_options.py [--owed N] [--down N ...]

The least of each that can be compared, without indexes, manifest or recovery; records as they are written
(birchstack.ledger.records), bodies of 1,000 bytes, nothing synced:

    each     a log for each destination, segments of 1 MiB, 64 files open; a segment goes once it is past
    shared   one log; a segment of 4 MiB is read at its sealing and written again sorted by destination; where
             each destination lies in it is kept in memory; one goes once all in it is past

Then nine of ten destinations return and are drained in turn, 64 documents a read; then the last tenth.
Bounded; half a minute; writes only into a temporary folder.
"""

import itertools
import os
import tempfile
import time
from collections import OrderedDict, deque

import click
from rich.console import Console
from rich.table import Table

from birchstack.ledger.records import HEAD, Kept, Scanner, frame, head
from birchstack.net.machine import Folder

BODY, RUN, PIECE = bytes(1000), 64, 65536
SEALED, SORTED, HANDLES = 1 << 20, 4 << 20, 64


class Counted(Folder):
    written = reads = 0

    def append(self, handle, data):
        self.written += len(data)
        return super().append(handle, data)

    def read_at(self, name, offset, size):
        self.reads += 1
        return super().read_at(name, offset, size)


def scan(folder, name, offset, end):
    scanner = Scanner(0, offset)
    while offset < end:
        data = folder.read_at(name, offset, min(PIECE, end - offset))
        offset += len(data)
        for _, record in scanner.feed(data):
            yield record, scanner.end_offset


class Each:
    name = "a log for each"

    def __init__(self, folder):
        self._folder, self._open, self._segments, self._number = folder, OrderedDict(), {}, 0
        self._at, self.longest = {}, 0.0

    def append(self, kept):
        mine, data = self._segments.setdefault(kept.destination, deque()), frame(kept)
        if not mine or mine[-1][1] + len(data) > SEALED:
            self._number += 1
            mine.append([f"{kept.destination}-{self._number}", HEAD.size])
            self._close(kept.destination)
            data = head(self._number) + data
            mine[-1][1] -= HEAD.size
        handle = self._open.get(kept.destination)
        if handle is None:
            handle = self._open[kept.destination] = self._folder.open(mine[-1][0])
            if len(self._open) > HANDLES:
                self._folder.close(self._open.popitem(last=False)[1])
        else:
            self._open.move_to_end(kept.destination)
        self._folder.append(handle, data)
        mine[-1][1] += len(data)

    def _close(self, destination):
        handle = self._open.pop(destination, None)
        if handle is not None:
            self._folder.close(handle)

    def sealed(self):
        for destination in list(self._open):
            self._close(destination)

    def drain(self, destination):
        mine = self._segments.get(destination)
        while mine:
            (name, size), got = mine[0], []
            found = scan(self._folder, name, self._at.get(destination, HEAD.size), size)
            for record, past in itertools.islice(found, RUN):
                got.append(record)
                self._at[destination] = past
            if self._at[destination] == size:
                mine.popleft()
                self._folder.unlink(name)
                self._at[destination] = HEAD.size
            yield got


class Shared:
    name = "one, sorted at sealing"

    def __init__(self, folder):
        self._folder, self._number, self._file, self._size = folder, 0, -1, 0
        self._runs, self._left, self.longest = {}, {}, 0.0  # by destination: where; by run: destinations

    def append(self, kept):
        data = frame(kept)
        if self._file < 0 or self._size + len(data) > SORTED:
            self.sealed()
            self._number += 1
            self._file, self._size = self._folder.open(f"log-{self._number}"), HEAD.size
            self._folder.append(self._file, head(self._number))
        self._folder.append(self._file, data)
        self._size += len(data)

    def sealed(self):
        if self._file < 0:
            return
        begun, log, run = time.perf_counter(), f"log-{self._number}", f"run-{self._number}"
        self._folder.close(self._file)
        self._file = -1
        found = [record for record, _ in scan(self._folder, log, HEAD.size, self._size)]
        found.sort(key=lambda kept: kept.destination)  # stable: the order of arrival stays
        out, at = self._folder.open(run), HEAD.size
        self._folder.append(out, head(self._number))
        for destination, records in itertools.groupby(found, key=lambda kept: kept.destination):
            data = b"".join(map(frame, records))
            self._folder.append(out, data)
            self._runs.setdefault(destination, deque()).append((run, at, at + len(data)))
            self._left.setdefault(run, set()).add(destination)
            at += len(data)
        self._folder.close(out)
        self._folder.unlink(log)
        self.longest = max(self.longest, time.perf_counter() - begun)

    def drain(self, destination):
        mine, got = self._runs.get(destination), []
        while mine:
            run, at, end = mine.popleft()
            for record, past in scan(self._folder, run, at, end):
                got.append(record)
                if len(got) == RUN:
                    if past < end:
                        mine.appendleft((run, past, end))
                    break
            if not mine or mine[0][0] != run:
                self._left[run].discard(destination)
                if not self._left[run]:
                    self._folder.unlink(run)
            if len(got) == RUN or not mine:
                yield got
                got = []


def size(path):
    return sum(entry.stat().st_size for entry in os.scandir(path))


def drained(option, destinations):
    """Documents; each destination in turn, a run at a time, in order."""
    count, last, all_of_them = 0, {}, [option.drain(each) for each in destinations]
    while all_of_them:
        going = []
        for each in all_of_them:
            got = next(each, None)
            if got is not None:
                assert all(a.taken < b.taken for a, b in itertools.pairwise(got))
                assert not got or last.get(got[0].destination, -1) < got[0].taken
                last.update({got[-1].destination: got[-1].taken} if got else {})
                count += len(got)
                going.append(each)
        all_of_them = going
    return count


def measure(kind, owed, down):
    with tempfile.TemporaryDirectory() as path:
        folder = Counted(path)
        option, begun = kind(folder), time.process_time()
        for number in range(owed):
            option.append(
                Kept(
                    f"5f0c1b2e-{number:012}-9d3a",
                    "order",
                    number * 7919 % down,
                    None,
                    1e12,
                    BODY,
                    None,
                    None,
                    float(number),
                )
            )
        option.sealed()
        intake, written, files = (time.process_time() - begun) / owed, folder.written, len(os.listdir(path))
        full, most, begun = size(path), max(1, down * 9 // 10), time.process_time()
        count = drained(option, range(most))
        kept = size(path) / full if down > 1 else 0.0
        count += drained(option, range(most, down))
        drain = (time.process_time() - begun) / owed
        assert count == owed and not os.listdir(path)
        return [
            f"{intake * 1e6:.1f}",
            f"{written / owed:,.0f}",
            f"{files:,}",
            f"{drain * 1e6:.1f}",
            f"{folder.reads / owed:.3f}",
            f"{kept:.2f}",
            f"{option.longest * 1000:.0f}",
        ]


@click.command()
@click.option("--owed", default=100_000, show_default=True)
@click.option("--down", multiple=True, default=(1, 40, 400, 1_692), show_default=True)
def main(owed, down):
    table = Table(title=f"{owed:,} owed, bodies of {len(BODY)} bytes")
    for name in (
        "layout",
        "down",
        "intake, us CPU",
        "written, bytes a document",
        "files",
        "drain, us CPU",
        "reads a document",
        "kept of the disk with a tenth owed",
        "longest sealing, ms",
    ):
        table.add_column(name)
    for each in down:
        for kind in (Each, Shared):
            table.add_row(kind.name, f"{each:,}", *measure(kind, owed, each))
    Console(width=180).print(table)


if __name__ == "__main__":
    main()
