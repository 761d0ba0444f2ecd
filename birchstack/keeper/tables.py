"""The keeper's tables in SQLite: their form, transactions, lists, verdicts and findings.

Owns the file. Must never ask anybody, or know how a trail is read (store.Store does). What is not committed
was never had: commit() is called before anything is said of it. Times as the trails say them (steady clock of
a boot); table `clock` places a boot in the keeper's time; what the keeper itself finds is in its own time.
"""

from __future__ import annotations

import sqlite3

from birchstack.fleet.versions import FORKED, LIST, OLDER, Version

SCHEMA = 1
TABLES = """
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
    """The store cannot be used: says why."""


class Tables:
    """What a subclass holds back until the commit it writes in _flush(), and forgets in _clear()."""

    def __init__(self, path: str, most_mb: float = 4096.0) -> None:
        try:
            self.db = sqlite3.connect(path, isolation_level=None)
            self.db.executescript(
                "PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL; PRAGMA cache_size=-16000;"
            )
            size = self.db.execute("PRAGMA page_size").fetchone()[0]
            self.db.execute(f"PRAGMA max_page_count={int(most_mb * (1 << 20)) // size}")
            self.db.executescript(TABLES)
            found = self.db.execute("SELECT value FROM meta WHERE key='schema'").fetchone()
            if found is None:
                self.db.execute("INSERT INTO meta VALUES('schema', ?)", (SCHEMA,))
            elif found[0] != SCHEMA:
                raise StoreError(f"store: {path} is of form {found[0]}, this program reads {SCHEMA}")
        except sqlite3.Error as problem:
            raise StoreError(f"store: {path}: {problem}") from problem
        self._changed = False
        self._clear()

    def _begin(self) -> None:
        if not self._changed:
            self.db.execute("BEGIN IMMEDIATE")
            self._changed = True

    def _flush(self) -> None:
        """Writes what was held back."""

    def _keep_places(self) -> None:
        """Writes what comes next at each door, with the records that came before it."""

    def _clear(self) -> None:
        """Forgets what was held back or remembered of the tables; they were rolled back."""

    def commit(self) -> bool:
        """All since the last one is kept, or none of it; False: the disk had no room, or failed."""
        if not self._changed:
            return True
        try:
            self._flush()
            self._keep_places()
            self.db.execute("COMMIT")
        except sqlite3.Error:
            self.rollback()
            return False
        self._changed = False
        return True

    def rollback(self) -> None:
        if self.db.in_transaction:
            self.db.execute("ROLLBACK")
        self._changed = False
        self._clear()

    def close(self) -> None:
        self.commit()
        self.db.close()

    # Lists and findings

    def publish(self, version: Version, order: str, changes: dict[str, str], at_ms: float) -> None:
        """A version of the list that its service gave out, at the keeper's time."""
        self._begin()
        row = self.db.execute(
            "INSERT INTO published(epoch, number, digest, ord, source, at_ms) VALUES(?, ?, ?, ?, ?, ?)",
            (version.epoch, version.number, version.digest, order, version.origin, at_ms),
        ).lastrowid
        self.db.executemany(
            "INSERT INTO change VALUES(?, ?, ?)",
            [(row, endpoint, state) for endpoint, state in changes.items()],
        )
        if order in (OLDER, FORKED):
            self.found(f"list service {order}", "", f"{version} from {version.origin}", at_ms)

    def newest(self) -> tuple[Version | None, dict[str, str]]:
        """The list that was given out last, and its endpoints' states."""
        row = self.db.execute(
            "SELECT source, epoch, number, digest FROM published ORDER BY id DESC LIMIT 1"
        ).fetchone()
        states = dict(self.db.execute("SELECT endpoint, state FROM change ORDER BY published").fetchall())
        return Version(LIST, *row) if row else None, states

    def judged(self, sender: str, what: str, evidence: str, since_ms: float, at_ms: float) -> None:
        """A verdict on a sender, or ("") on the fleet as a whole, that is another than the one before."""
        self._begin()
        self.db.execute(
            "INSERT INTO verdict(sender, what, evidence, since_ms, at_ms) VALUES(?, ?, ?, ?, ?)",
            (sender, what, evidence, since_ms, at_ms),
        )

    def doors(self) -> list[tuple[str, str, float | None, bytes | None]]:
        """Each door: its address, sender, when it answered last, and its last piece."""
        return self.db.execute("SELECT at, sender, answered_ms, piece FROM door").fetchall()

    def given(self) -> list[tuple[str, str, int, str, float]]:
        """The versions given out last, oldest first: source, epoch, number, digest, since when."""
        return self.db.execute(
            "SELECT source, epoch, number, digest, at_ms FROM published ORDER BY id DESC LIMIT 256"
        ).fetchall()[::-1]

    def found(self, kind: str, sender: str, detail: str, at_ms: float) -> None:
        self._begin()
        self.db.execute(
            "INSERT OR IGNORE INTO finding(kind, sender, detail, at_ms) VALUES(?, ?, ?, ?)",
            (kind, sender, detail, at_ms),
        )
