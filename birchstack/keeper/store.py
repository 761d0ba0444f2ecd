"""The keeper's store: records of trails taken once, and what they come to, in SQLite.

Owns the file and its tables. Must never ask anybody. What is not committed was never had: commit() is called
before anything is said of it, and a door's place (what to ask for next) moves in the same transaction as the
records. Times as the trails say them (steady clock of a boot); table `clock` places a boot in the keeper's
time.
"""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass, field

import msgspec

from birchstack.fleet import wire
from birchstack.fleet.records import (
    START,
    Acted,
    Adopted,
    Ended,
    Folded,
    Frame,
    Gap,
    Life,
    Record,
    State,
    after,
    scan,
    time_of,
)
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
CREATE TABLE IF NOT EXISTS published(id INTEGER PRIMARY KEY, epoch TEXT, number INTEGER, digest TEXT, ord
TEXT,
    source TEXT, at_ms REAL);
CREATE TABLE IF NOT EXISTS change(published INTEGER, endpoint TEXT, state TEXT,
    PRIMARY KEY(published, endpoint)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS finding(id INTEGER PRIMARY KEY, kind TEXT, sender TEXT, detail TEXT, at_ms REAL,
    UNIQUE(kind, sender, detail));
"""


class StoreError(Exception):
    """The store cannot be used: says why."""


@dataclass(slots=True)
class Place:
    """What was taken from one door, and what comes next there."""

    trail: int = 0  # the branch
    name: str = ""  # of the trail
    next: int = 1
    chain: bytes = START
    state: State = field(default_factory=State)
    last_ms: float = 0.0
    looking: bool = False  # reading from the start, for where a trail forked
    lost: tuple[str, float] | None = None  # a sender, and since when nothing is known of a folder it lost

    def begin(self, looking: bool) -> None:
        self.next, self.chain, self.state, self.last_ms, self.looking = 1, START, State(), 0.0, looking


class Store:
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
        self._clear()

    def _clear(self) -> None:
        """What is remembered of the tables; read anew after a rollback."""
        self.places: dict[str, Place] = {}
        self._stretches: dict[tuple[int, int], int] = {}
        self._tallies: dict[tuple[int, str], list] = {}
        self._sums: dict[int, list] = {}  # by stretch: calls, rejected, abandoned, to_ms
        self._calls: list[tuple] = []
        self._records: list[tuple] = []
        self._clocks: dict[str, tuple[float, float]] = {}
        self._tips: dict[str, int] = {}
        self._changed = False

    # Transactions

    def _begin(self) -> None:
        if not self._changed:
            self.db.execute("BEGIN IMMEDIATE")
            self._changed = True

    def commit(self) -> bool:
        """All since the last one is kept, or none of it; False: the disk had no room, or failed."""
        if not self._changed:
            return True
        try:
            self._flush()
            for at, place in self.places.items():
                self.db.execute(
                    "UPDATE door SET trail=?, next=?, chain=?, state=?, last_ms=? WHERE at=?",
                    (
                        place.trail,
                        place.next,
                        place.chain,
                        msgspec.msgpack.encode(place.state),
                        place.last_ms,
                        at,
                    ),
                )
            self.db.execute("COMMIT")
        except sqlite3.Error:
            self.rollback()
            return False
        self._changed = False
        return True

    def rollback(self) -> None:
        if self.db.in_transaction:
            self.db.execute("ROLLBACK")
        self._clear()

    def _flush(self) -> None:
        run = self.db.executemany
        run("INSERT INTO record VALUES(?, ?, ?)", self._records)
        run("INSERT INTO call VALUES(?, ?, ?, ?)", self._calls)
        run(
            "INSERT INTO tally VALUES(?, ?, ?, ?, ?) ON CONFLICT DO UPDATE SET calls=calls+excluded.calls, "
            "last_ms=excluded.last_ms",
            [(*key, *words) for key, words in self._tallies.items()],
        )
        run(
            "UPDATE stretch SET calls=calls+?, rejected=rejected+?, abandoned=abandoned+?, "
            "to_ms=max(to_ms, ?) WHERE id=?",
            [(*words, key) for key, words in self._sums.items()],
        )
        for each in (self._records, self._calls, self._tallies, self._sums):
            each.clear()

    def close(self) -> None:
        self.commit()
        self.db.close()

    # Doors

    def place(self, at: str) -> Place:
        if at not in self.places:
            row = self.db.execute(
                "SELECT trail, next, chain, state, last_ms FROM door WHERE at=?", (at,)
            ).fetchone()
            if row and row[0]:
                name = self.db.execute("SELECT name FROM trail WHERE id=?", (row[0],)).fetchone()[0]
                self.places[at] = Place(
                    row[0], name, row[1], row[2], msgspec.msgpack.decode(row[3], type=State), row[4]
                )
            else:
                self._begin()
                self.db.execute("INSERT OR IGNORE INTO door(at, next) VALUES(?, 1)", (at,))
                self.places[at] = Place()
        return self.places[at]

    def wanted(self, at: str) -> int:
        """The number after which this door is asked."""
        return self.place(at).next - 1

    def take(self, at: str, piece: wire.Piece, now_ms: float, error_ms: float) -> bool:
        """What a door answered; now_ms: the keeper's time at which the sender spoke, good to error_ms.
        True: there is more to ask for at once."""
        place = self.place(at)
        self._begin()
        self._clock(piece, now_ms, error_ms)
        if not piece.holds:
            self._door(at, piece, now_ms, None)
            return False
        if piece.trail != place.name:
            asked = place.next
            self._other_trail(place, piece, now_ms)
            if asked > 1:  # what came is not the new trail's beginning
                return True
        if piece.last < place.next - 1 or (
            piece.last == place.next - 1 and piece.chain != place.chain and piece.last and not place.looking
        ):
            self._look(place, piece, now_ms)
            return True
        before: Frame | None = None
        for each in scan(piece.frames):
            if not isinstance(each, Frame):
                self.found("answer spoilt", piece.name, f"{at}: bytes that are no record", now_ms)
                break
            if not self._take(place, each, before, piece, now_ms):
                return True
            before = each
        done = place.next > piece.last
        if done:
            place.looking = False
        # a sender that loses records just now has said nothing of what it does meanwhile
        self._door(at, piece, now_ms, piece.steady_ms if done and not piece.failing else None)
        return not done

    def _clock(self, piece: wire.Piece, now_ms: float, error_ms: float) -> None:
        had = self._clocks.get(piece.boot)
        if had is None:
            row = self.db.execute(
                "SELECT offset_ms, error_ms FROM clock WHERE boot=?", (piece.boot,)
            ).fetchone()
            had = self._clocks[piece.boot] = row or (0.0, 1e12)
        if error_ms < had[1]:
            self._clocks[piece.boot] = now_ms - piece.steady_ms, error_ms
            self.db.execute(
                "INSERT OR REPLACE INTO clock VALUES(?, ?, ?)",
                (piece.boot, now_ms - piece.steady_ms, error_ms),
            )

    def _door(self, at: str, piece: wire.Piece, now_ms: float, complete_ms: float | None) -> None:
        kept = wire.encode(msgspec.structs.replace(piece, frames=b""))
        self.db.execute(
            "UPDATE door SET sender=?, process=?, boot=?, answered_ms=?, piece=?, "
            "complete_ms=coalesce(?, complete_ms) WHERE at=?",
            (piece.name, piece.process, piece.boot, now_ms, kept, complete_ms, at),
        )

    def _other_trail(self, place: Place, piece: wire.Piece, now_ms: float) -> None:
        """This door keeps another trail than before: a new folder, or another sender's."""
        mine = [
            name
            for (name,) in self.db.execute(
                "SELECT DISTINCT t.name FROM life l JOIN trail t ON t.id=l.trail WHERE l.sender=?",
                (piece.name,),
            )
        ]
        known = self.db.execute("SELECT min(id) FROM trail WHERE name=?", (piece.trail,)).fetchone()[0]
        if mine and piece.trail not in mine:
            row = self.db.execute(
                "SELECT max(complete_ms) FROM door WHERE sender=? AND boot=?", (piece.name, piece.boot)
            ).fetchone()
            place.lost = piece.name, row[0] or 0.0
            self.found(
                "folder lost",
                piece.name,
                f"goes on with trail {piece.trail}; what {mine[-1]} held and "
                "no keeper had taken is not known",
                now_ms,
            )
        if known is None:
            known = self.db.execute("INSERT INTO trail(name, first) VALUES(?, 1)", (piece.trail,)).lastrowid
        place.trail, place.name = known, piece.trail
        place.begin(looking=False)

    def _look(self, place: Place, piece: wire.Piece, now_ms: float) -> None:
        """The trail does not go on from what was taken: read from its start, to find where it forked."""
        if piece.last < place.next - 1:
            self.found(
                "trail went back",
                piece.name,
                f"trail {place.name} ended at {place.next - 1} and now "
                f"ends at {piece.last} in life {piece.life}",
                now_ms,
            )
        place.begin(looking=True)

    # Records

    def _take(
        self, place: Place, frame: Frame, before: Frame | None, piece: wire.Piece, now_ms: float
    ) -> bool:
        """One frame; False: read from the start instead."""
        number = frame.number
        if number < place.next:
            return True
        try:
            record = frame.record()
        except msgspec.DecodeError as problem:
            self.found(
                "record not readable", piece.name, f"trail {place.name} record {number}: {problem}", now_ms
            )
            record = Gap(place.last_ms, place.last_ms, "a record of a form this keeper does not read")
        if isinstance(record, Folded):
            self._folded(place, record)
            return True
        if number > place.next:
            self._gap(
                place,
                Gap(
                    place.last_ms,
                    time_of(record) or place.last_ms,
                    f"records {place.next} to {number - 1} are not there",
                ),
                now_ms,
            )
        elif not frame.follows(place.chain):
            if before is None and not place.looking and place.next > 1:
                self._look(place, piece, now_ms)
                return False
            self.found(
                "altered",
                piece.name,
                f"trail {place.name}: record {number} does not follow {number - 1}",
                now_ms,
            )
        if not self._have(place, frame, piece, now_ms):
            self._keep(place, frame, record, now_ms)
        place.state = after(place.state, number, record)
        place.next, place.chain = number + 1, frame.chain
        place.last_ms = time_of(record) or place.last_ms
        return True

    def _have(self, place: Place, frame: Frame, piece: wire.Piece, now_ms: float) -> bool:
        """True if this record was taken before, from whichever door. Another record under its number is a
        fork: what comes now is kept as a branch of its own."""
        if frame.number > self._tip(place.name):
            return False
        rows = self._rows(place.name, frame.number)
        for branch, chain in rows:
            if chain == frame.chain:
                place.trail = branch
                return True
        if place.trail in [branch for branch, _ in rows]:
            names = {
                row[0]
                for row in self.db.execute(
                    "SELECT DISTINCT l.sender FROM life l JOIN trail t ON t.id=l.trail WHERE t.name=?",
                    (place.name,),
                )
            } | {piece.name}
            kind = "cloned folder" if len(names) > 1 else "fork"
            self.found(
                kind,
                piece.name,
                f"trail {place.name} goes two ways from record {frame.number} ({', '.join(sorted(names))})",
                now_ms,
            )
            place.trail = self.db.execute(
                "INSERT INTO trail(name, parent, first) VALUES(?, ?, ?)",
                (place.name, place.trail, frame.number),
            ).lastrowid
        return False

    def _rows(self, name: str, number: int) -> list[tuple[int, bytes]]:
        """The records of that number: branch and chain."""
        if self._records:
            self._flush()
        return self.db.execute(
            "SELECT r.trail, r.chain FROM record r JOIN trail t ON t.id=r.trail "
            "WHERE t.name=? AND r.number=?",
            (name, number),
        ).fetchall()

    def _tip(self, name: str) -> int:
        """The highest number taken in any branch of a trail."""
        if name not in self._tips:
            self._tips[name] = self.db.execute(
                "SELECT coalesce(max(r.number), 0) FROM record r JOIN trail t ON t.id=r.trail WHERE t.name=?",
                (name,),
            ).fetchone()[0]
        return self._tips[name]

    def _keep(self, place: Place, frame: Frame, record: Record, now_ms: float) -> None:
        trail, number, state = place.trail, frame.number, place.state
        self._records.append((trail, number, frame.chain))
        self._tips[place.name] = max(self._tip(place.name), number)
        if isinstance(record, Acted):
            self._acted(self._stretch(trail, state), record)
        elif isinstance(record, Adopted):
            self._adopted(place, number, record, now_ms)
        elif isinstance(record, Life):
            self._lived(place, number, record, now_ms)
        elif isinstance(record, Ended):
            self._close(trail, state, record.steady_ms)
            self.db.execute(
                "UPDATE life SET ended_ms=? WHERE trail=? AND life=?", (record.steady_ms, trail, state.life)
            )
        elif isinstance(record, Gap):
            self._gap(place, record, now_ms)

    def _stretch(self, trail: int, state: State) -> int:
        key = trail, state.stretch
        if key not in self._stretches:
            row = self.db.execute("SELECT id FROM stretch WHERE trail=? AND number=?", key).fetchone()
            self._stretches[key] = row[0] if row else self._new_stretch(trail, state)
        return self._stretches[key]

    def _new_stretch(self, trail: int, state: State) -> int:
        held = state.versions.get(LIST)
        return self.db.execute(
            "INSERT INTO stretch(trail, number, sender, life, boot, epoch, list, digest, versions, from_ms, "
            "to_ms) VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                trail,
                state.stretch,
                state.name,
                state.life,
                state.boot,
                held.epoch if held else None,
                held.number if held else None,
                held.digest if held else None,
                msgspec.msgpack.encode(state.versions),
                state.from_ms,
                state.from_ms,
            ),
        ).lastrowid

    def _acted(self, stretch: int, record: Acted) -> None:
        now, calls = record.steady_ms, record.calls
        for doc, endpoint in zip(calls[::2], calls[1::2], strict=True):
            self._calls.append((doc, stretch, endpoint, now))
            had = self._tallies.get((stretch, endpoint))
            if had:
                had[0], had[2] = had[0] + 1, now
            else:
                self._tallies[stretch, endpoint] = [1, now, now]
        self._calls += [(doc, stretch, None, now) for doc in record.abandoned]
        sums = self._sums.setdefault(stretch, [0, 0, 0, now])
        sums[0] += len(calls) // 2
        sums[1] += record.rejected
        sums[2] += len(record.abandoned)
        sums[3] = max(sums[3], now)

    def _close(self, trail: int, state: State, now: float) -> None:
        """A stretch lasts until its process adopts something else, or ends."""
        if state.stretch:
            self._sums.setdefault(self._stretch(trail, state), [0, 0, 0, now])[3] = now

    def _lived(self, place: Place, number: int, record: Life, now_ms: float) -> None:
        self.db.execute(
            "INSERT OR IGNORE INTO life VALUES(?, ?, ?, ?, ?, ?, ?, NULL)",
            (place.trail, number, record.life, record.name, record.boot, record.wall_ms, record.steady_ms),
        )
        self._stretch(place.trail, after(place.state, number, record))
        if place.lost and place.lost[0] == record.name:
            (_, since), place.lost = place.lost, None
            held = Place(place.trail, place.name, state=after(place.state, number, record))
            self._gap(held, Gap(since, record.steady_ms, "the folder was lost"), now_ms)
        before = place.state.name
        if before and before != record.name:
            self.found(
                "another name",
                record.name,
                f"trail {place.name} was {before}'s up to record {number - 1}",
                now_ms,
            )
        self._wall(place, record.boot, record.wall_ms, record.steady_ms, record.name, now_ms)

    def _adopted(self, place: Place, number: int, record: Adopted, now_ms: float) -> None:
        state, told = place.state, record.version
        self.db.execute(
            "INSERT OR IGNORE INTO adoption VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                place.trail,
                number,
                state.name,
                state.life,
                state.boot,
                told.kind,
                told.origin,
                told.epoch,
                told.number,
                told.digest,
                record.order,
                record.source,
                record.wall_ms,
                record.steady_ms,
                record.taken,
            ),
        )
        if record.taken:
            self._close(place.trail, state, record.steady_ms)
            self._stretch(place.trail, after(state, number, record))
        if told.kind == LIST and record.order in (OLDER, FORKED):
            held = state.versions.get(LIST)
            self.found(
                f"list {record.order}",
                state.name,
                f"{held} then {told} from {record.source}" + ("" if record.taken else ", not taken"),
                now_ms,
            )
        self._wall(place, state.boot, record.wall_ms, record.steady_ms, state.name, now_ms)

    def _wall(
        self, place: Place, boot: str, wall_ms: float, steady_ms: float, sender: str, now_ms: float
    ) -> None:
        row = self.db.execute(
            "SELECT wall_ms - steady_ms FROM life WHERE boot=? ORDER BY steady_ms LIMIT 1", (boot,)
        ).fetchone()
        if row and abs(wall_ms - steady_ms - row[0]) > 1000.0:
            stepped = round((wall_ms - steady_ms - row[0]) / 1000.0)
            self.found("wall clock", sender, f"stepped by {stepped} s in boot {boot[:8]}", now_ms)

    def _gap(self, place: Place, gap: Gap, now_ms: float, totals: bool = False) -> None:
        self.db.execute(
            "INSERT OR IGNORE INTO gap(trail, sender, boot, from_ms, to_ms, why, calls, totals) "
            "VALUES(?, ?, ?, ?, ?, ?, ?, ?)",
            (
                place.trail,
                place.state.name,
                place.state.boot,
                gap.from_ms,
                gap.to_ms,
                gap.why,
                gap.calls,
                totals,
            ),
        )
        if not totals:
            self.found(
                "gap",
                place.state.name,
                f"{gap.why} ({gap.from_ms:.0f} to {gap.to_ms:.0f} ms of boot {place.state.boot[:8]})",
                now_ms,
            )

    def _folded(self, place: Place, record: Folded) -> None:
        """Records that were folded before they were taken: their totals, and no single calls."""
        self._flush()
        known = record.chain in [chain for _, chain in self._rows(place.name, record.last)]
        for total in () if known else record.totals:
            if total.to_ms <= place.last_ms and total.number < place.state.stretch:
                continue  # taken whole, record by record
            state = State(total.life, total.name, total.boot, total.versions, total.number, total.from_ms)
            stretch = self._stretch(place.trail, state)
            calls = sum(each.calls for each in total.tallies)
            self.db.execute(
                "UPDATE stretch SET calls=?, rejected=?, abandoned=?, to_ms=?, mixed=?, singles=0 WHERE id=?",
                (calls, total.rejected, total.abandoned, total.to_ms, total.mixed, stretch),
            )
            self.db.executemany(
                "INSERT OR REPLACE INTO tally VALUES(?, ?, ?, ?, ?)",
                [(stretch, *msgspec.structs.astuple(each)) for each in total.tallies],
            )
            since = max(total.from_ms, place.last_ms if place.state.stretch == total.number else 0.0)
            held = Place(place.trail, place.name, state=state)
            self._gap(held, Gap(since, total.to_ms, "folded before it was taken", calls), 0.0, True)
        for gap in () if known else record.gaps:
            self._gap(place, gap, 0.0)
        place.state, place.next, place.chain = record.state, record.last + 1, record.chain
        place.last_ms = max((total.to_ms for total in record.totals), default=place.last_ms)

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

    def found(self, kind: str, sender: str, detail: str, at_ms: float) -> None:
        self._begin()
        self.db.execute(
            "INSERT OR IGNORE INTO finding(kind, sender, detail, at_ms) VALUES(?, ?, ?, ?)",
            (kind, sender, detail, at_ms),
        )
