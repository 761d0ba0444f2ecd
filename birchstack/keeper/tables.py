"""The collector's SQLite store: schema, transactions, published lists, verdicts and findings.

Owns the file. Must not poll senders, or know how an audit trail is processed (store.Store does). Nothing
counts as received before it is committed: commit() comes before anything is reported from it. Times in the
tables are those of the audit trails, by the steady clock of a boot; table `clock` holds the offset of each
boot's clock to the collector's. Times of the collector's own findings are by its own clock.
"""

from __future__ import annotations

import sqlite3

from birchstack.fleet.versions import FORKED, LIST, OLDER, Version

SCHEMA_VERSION = 1
SCHEMA_SQL = """
CREATE TABLE IF NOT EXISTS meta(key TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS trail(id INTEGER PRIMARY KEY, name TEXT, parent INTEGER, first INTEGER);
CREATE INDEX IF NOT EXISTS trail_name ON trail(name);
CREATE TABLE IF NOT EXISTS record(trail INTEGER, number INTEGER, chain BLOB,
    PRIMARY KEY(trail, number)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS stretch(id INTEGER PRIMARY KEY, trail INTEGER, number INTEGER, sender TEXT,
    life TEXT, boot TEXT, epoch TEXT, list INTEGER, digest TEXT, versions BLOB, from_ms REAL, to_ms REAL,
    calls INTEGER DEFAULT 0, rejected INTEGER DEFAULT 0, abandoned INTEGER DEFAULT 0, mixed INTEGER DEFAULT 0,
    singles INTEGER DEFAULT 1, UNIQUE(trail, number));
CREATE INDEX IF NOT EXISTS stretch_list ON stretch(list);
CREATE TABLE IF NOT EXISTS tally(stretch INTEGER, endpoint TEXT, calls INTEGER, first_ms REAL, last_ms REAL,
    PRIMARY KEY(stretch, endpoint)) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS tally_endpoint ON tally(endpoint);
CREATE TABLE IF NOT EXISTS call(doc TEXT, stretch INTEGER, endpoint TEXT, at_ms REAL);
CREATE INDEX IF NOT EXISTS call_doc ON call(doc);
CREATE INDEX IF NOT EXISTS call_endpoint ON call(endpoint, at_ms);
CREATE TABLE IF NOT EXISTS life(trail INTEGER, number INTEGER, life TEXT, sender TEXT, boot TEXT, wall_ms
REAL,
    steady_ms REAL, ended_ms REAL, PRIMARY KEY(trail, number)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS adoption(trail INTEGER, number INTEGER, sender TEXT, life TEXT, boot TEXT, kind
TEXT,
    origin TEXT, epoch TEXT, version INTEGER, digest TEXT, ord TEXT, source TEXT, wall_ms REAL, steady_ms
    REAL, taken INTEGER, PRIMARY KEY(trail, number)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS gap(id INTEGER PRIMARY KEY, trail INTEGER, sender TEXT, boot TEXT, from_ms REAL,
    to_ms REAL, why TEXT, calls INTEGER, totals INTEGER, UNIQUE(trail, boot, from_ms, to_ms, why));
CREATE TABLE IF NOT EXISTS door(at TEXT PRIMARY KEY, sender TEXT, process TEXT, trail INTEGER, next INTEGER,
    chain BLOB, state BLOB, last_ms REAL, boot TEXT, complete_ms REAL, answered_ms REAL,
    piece BLOB) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS clock(boot TEXT PRIMARY KEY, offset_ms REAL, error_ms REAL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS published(id INTEGER PRIMARY KEY, epoch TEXT, number INTEGER, digest TEXT,
    ord TEXT, source TEXT, at_ms REAL);
CREATE TABLE IF NOT EXISTS change(published INTEGER, endpoint TEXT, state TEXT,
    PRIMARY KEY(published, endpoint)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS verdict(id INTEGER PRIMARY KEY, sender TEXT, what TEXT, evidence TEXT,
    since_ms REAL, at_ms REAL);
CREATE INDEX IF NOT EXISTS verdict_sender ON verdict(sender, id);
CREATE TABLE IF NOT EXISTS finding(id INTEGER PRIMARY KEY, kind TEXT, sender TEXT, detail TEXT, at_ms REAL,
    UNIQUE(kind, sender, detail));
"""


class StoreError(Exception):
    """The store cannot be used; the message says why."""


class Tables:
    """Base class of the store: the tables and their transactions.

    A subclass writes rows that it buffers until the commit in _flush(), and drops its buffers and caches in
    _clear().
    """

    def __init__(self, path: str, max_mb: float = 4096.0) -> None:
        """Opens the store at path, or creates it, with an upper bound on its size."""
        try:
            self.db = sqlite3.connect(path, isolation_level=None)
            self.db.executescript(
                "PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL; PRAGMA cache_size=-16000;"
            )
            page_bytes = self.db.execute("PRAGMA page_size").fetchone()[0]
            self.db.execute(f"PRAGMA max_page_count={int(max_mb * (1 << 20)) // page_bytes}")
            self.db.executescript(SCHEMA_SQL)
            schema = self.db.execute("SELECT value FROM meta WHERE key='schema'").fetchone()
            if schema is None:
                self.db.execute("INSERT INTO meta VALUES('schema', ?)", (SCHEMA_VERSION,))
            elif schema[0] != SCHEMA_VERSION:
                raise StoreError(
                    f"store: {path} has schema version {schema[0]}, "
                    f"this program supports version {SCHEMA_VERSION}"
                )
        except sqlite3.Error as problem:
            raise StoreError(f"store: {path}: {problem}") from problem
        self._in_transaction = False
        self._clear()

    def _begin(self) -> None:
        """Opens a write transaction unless one is open already."""
        if not self._in_transaction:
            self.db.execute("BEGIN IMMEDIATE")
            self._in_transaction = True

    def _flush(self) -> None:
        """Writes the buffered rows."""

    def _write_cursors(self) -> None:
        """Writes the cursor of each address, in the transaction of the records that precede it."""

    def _clear(self) -> None:
        """Drops buffered rows and caches of the tables, at the start and after a rollback."""

    def commit(self) -> bool:
        """Commits everything since the last commit, or nothing of it; False if the disk is full or failed."""
        if not self._in_transaction:
            return True
        try:
            self._flush()
            self._write_cursors()
            self.db.execute("COMMIT")
        except sqlite3.Error:
            self.rollback()
            return False
        self._in_transaction = False
        return True

    def rollback(self) -> None:
        """Discards everything since the last commit, including buffers and caches."""
        if self.db.in_transaction:
            self.db.execute("ROLLBACK")
        self._in_transaction = False
        self._clear()

    def close(self) -> None:
        """Commits and closes the database."""
        self.commit()
        self.db.close()

    # Lists and findings

    def add_published(self, version: Version, order: str, changes: dict[str, str], at_ms: float) -> None:
        """Records a version that the list service published; at_ms is the collector's time."""
        self._begin()
        published = self.db.execute(
            "INSERT INTO published(epoch, number, digest, ord, source, at_ms) VALUES(?, ?, ?, ?, ?, ?)",
            (version.epoch, version.number, version.digest, order, version.origin, at_ms),
        ).lastrowid
        self.db.executemany(
            "INSERT INTO change VALUES(?, ?, ?)",
            [(published, endpoint, state) for endpoint, state in changes.items()],
        )
        if order in (OLDER, FORKED):
            self.add_finding(f"list service {order}", "", f"{version} from {version.origin}", at_ms)

    def latest_list(self) -> tuple[Version | None, dict[str, str]]:
        """Returns the list version published last, and the states of its endpoints."""
        row = self.db.execute(
            "SELECT source, epoch, number, digest FROM published ORDER BY id DESC LIMIT 1"
        ).fetchone()
        states = dict(self.db.execute("SELECT endpoint, state FROM change ORDER BY published").fetchall())
        return Version(LIST, *row) if row else None, states

    def add_verdict(self, sender: str, what: str, evidence: str, since_ms: float, at_ms: float) -> None:
        """Records a changed verdict on a sender, or on the fleet as a whole where sender is empty."""
        self._begin()
        self.db.execute(
            "INSERT INTO verdict(sender, what, evidence, since_ms, at_ms) VALUES(?, ?, ?, ?, ?)",
            (sender, what, evidence, since_ms, at_ms),
        )

    def last_answers(self) -> list[tuple[str, str, float | None, bytes | None]]:
        """Returns for each polled address: address, sender, time of its last answer, and that answer."""
        return self.db.execute("SELECT at, sender, answered_ms, piece FROM door").fetchall()

    def recent_versions(self) -> list[tuple[str, str, int, str, float]]:
        """Returns the last published versions, oldest first: source, epoch, number, digest, time."""
        return self.db.execute(
            "SELECT source, epoch, number, digest, at_ms FROM published ORDER BY id DESC LIMIT 256"
        ).fetchall()[::-1]

    def add_finding(self, kind: str, sender: str, detail: str, at_ms: float) -> None:
        """Records a finding; one that is stored already is left as it is."""
        self._begin()
        self.db.execute(
            "INSERT OR IGNORE INTO finding(kind, sender, detail, at_ms) VALUES(?, ?, ?, ?)",
            (kind, sender, detail, at_ms),
        )
