"""Options for the ledger at scale, measured: today's file, a segmented binary log, SQLite.

    python benchmarks/ledger_options.py [--documents N] [--owed N ...]

One document is take, call, done with a body of 1,000 bytes. All options outlast the process and do not sync
(durability `process`). The segmented log is the least that can be compared: the records of birchstack.ledger,
one segment, an index in memory, no compaction; SQLite keeps one row for a document in WAL mode, committing
each change, and each sixteen. Bounded; takes about half a minute; writes only into a temporary folder.
"""

import os
import resource
import sqlite3
import subprocess
import sys
import tempfile
import time

import click
from rich.console import Console
from rich.table import Table

from birchstack.ledger.records import HEAD, Call, Done, Scanner, Take, frame, head, read_head
from birchstack.net.ledger import Ledger
from birchstack.net.machine import Folder

BODY = b"x" * 1000


class Today:
    def __init__(self, folder):
        self._ledger = Ledger(Folder(folder), 10**12)

    def take(self, doc_id):
        self._ledger.add(doc_id, "sync", 7, None, 1e12, BODY)

    def call(self, doc_id):
        self._ledger.record_transmission(self._ledger.entries[doc_id], "a", 1e12)

    def done(self, doc_id):
        self._ledger.finish(self._ledger.entries[doc_id])

    def __len__(self):
        return len(self._ledger.entries)


class Segmented:
    def __init__(self, folder):
        self._path, self._owed = os.path.join(folder, "segment-1"), {}
        if os.path.exists(self._path):
            with open(self._path, "rb") as file:
                scanner = Scanner(read_head(file.read(HEAD.size)))
                while piece := file.read(65536):
                    for at, record in scanner.feed(piece):
                        self._replay(at, record)
                for at, record in scanner.end():
                    self._replay(at, record)
        self._file = os.open(self._path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        if not os.path.getsize(self._path):
            os.write(self._file, head(1))

    def _replay(self, at, record):
        if isinstance(record, Take):
            self._owed[record.id] = at
        elif isinstance(record, Done):
            del self._owed[record.id]

    def take(self, doc_id):
        os.write(self._file, frame(Take(doc_id, "sync", 7, None, 1e12, len(BODY), BODY)))
        self._owed[doc_id] = 0

    def call(self, doc_id):
        os.write(self._file, frame(Call(doc_id, "a", 1e12)))

    def done(self, doc_id):
        os.write(self._file, frame(Done(doc_id)))
        del self._owed[doc_id]

    def __len__(self):
        return len(self._owed)


class Sqlite:
    each = 1

    def __init__(self, folder):
        self._db = sqlite3.connect(os.path.join(folder, "ledger.db"), isolation_level=None)
        for line in (
            "PRAGMA journal_mode=WAL",
            "PRAGMA synchronous=OFF",
            "CREATE TABLE IF NOT EXISTS owed (id TEXT PRIMARY KEY, type TEXT, destination INT,"
            " key TEXT, expiry REAL, sent INT, zone TEXT, at REAL, body BLOB) WITHOUT ROWID",
        ):
            self._db.execute(line)
        self._changes = 0
        self._owed = {row[0]: None for row in self._db.execute("SELECT id, body FROM owed")}

    def _do(self, text, *words):
        if self._changes % self.each == 0 and self.each > 1:
            if self._changes:
                self._db.execute("COMMIT")
            self._db.execute("BEGIN")
        self._changes += 1
        self._db.execute(text, words)

    def take(self, doc_id):
        self._do("INSERT INTO owed VALUES (?,?,?,?,?,0,NULL,NULL,?)", doc_id, "sync", 7, None, 1e12, BODY)
        self._owed[doc_id] = None

    def call(self, doc_id):
        self._do("UPDATE owed SET sent=sent+1, zone=?, at=? WHERE id=?", "a", 1e12, doc_id)

    def done(self, doc_id):
        self._do("DELETE FROM owed WHERE id=?", doc_id)
        del self._owed[doc_id]

    def __len__(self):
        return len(self._owed)


class SqliteTurns(Sqlite):
    each = 16


OPTIONS = {
    "today's file": Today,
    "segmented log": Segmented,
    "SQLite, each change": Sqlite,
    "SQLite, sixteen a commit": SqliteTurns,
}


def resident():
    """Megabytes of this process now; its peak would be inherited from the one that started it."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize() / 1e6


def pace(option, documents, held=200):
    """CPU microseconds for one document with some held, and the longest single step in milliseconds."""
    with tempfile.TemporaryDirectory() as folder:
        ledger, longest, began = option(folder), 0.0, time.process_time()
        for number in range(documents + held):
            for step, at in ((ledger.take, number), (ledger.call, number), (ledger.done, number - held)):
                if at >= 0:
                    since = time.perf_counter()
                    step(f"document-{at:012d}")
                    longest = max(longest, time.perf_counter() - since)
        return (time.process_time() - began) * 1e6 / documents, longest * 1000.0


def start(name, owed):
    """Seconds and megabytes of a fresh process that opens a folder with so many owed."""
    with tempfile.TemporaryDirectory() as folder:
        ledger = OPTIONS[name](folder)
        for number in range(owed):
            ledger.take(f"document-{number:012d}")
        if isinstance(ledger, Sqlite) and ledger.each > 1:
            ledger._db.execute("COMMIT")
        del ledger
        told = subprocess.run(
            [sys.executable, "-O", __file__, "--open", name, folder],
            capture_output=True,
            text=True,
            check=True,
            timeout=120,
            env={**os.environ, "PYTHONPATH": os.getcwd()},
        )
        seconds, megabytes, found = told.stdout.split()
        assert int(found) == owed, (name, found)
        return float(seconds), float(megabytes)


@click.command()
@click.option("--documents", default=20000, show_default=True)
@click.option("--owed", default=(1000, 10000, 50000), multiple=True, show_default=True)
@click.option("--open", "opens", nargs=2, hidden=True)
def main(documents, owed, opens):
    if opens:
        before, began = resident(), time.perf_counter()
        ledger = OPTIONS[opens[0]](opens[1])
        print(time.perf_counter() - began, resident() - before, len(ledger))
        return
    table = Table("option", "CPU a document", "longest step", *(f"start, {many} owed" for many in owed))
    for name, option in OPTIONS.items():
        took, longest = pace(option, documents)
        starts = [start(name, many) for many in owed]
        opened = [f"{seconds:.2f} s, {megabytes:.0f} MB" for seconds, megabytes in starts]
        table.add_row(name, f"{took:.0f} us", f"{longest:.1f} ms", *opened)
    Console(width=130).print(table)


if __name__ == "__main__":
    main()
