"""The keeper's store: records of trails taken once, and what they come to.

Owns what is taken from each door, and the way from records to tables (keeper.tables). Must never ask anybody.
A door's place (what to ask for next) moves in the same transaction as the records that came before it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from birchstack.fleet import wire
from birchstack.fleet.records import (
    INITIAL_CHAIN,
    CompactedRecords,
    Frame,
    Gap,
    ProcessEnd,
    ProcessStart,
    Record,
    TrailState,
    TurnActions,
    VersionAdopted,
    record_time_ms,
    scan_frames,
    state_after,
)
from birchstack.fleet.versions import FORKED, LIST, OLDER
from birchstack.keeper.tables import Tables


@dataclass(slots=True)
class Place:
    """What was taken from one door, and what comes next there."""

    trail: int = 0  # the branch
    name: str = ""  # of the trail
    next: int = 1
    chain: bytes = INITIAL_CHAIN
    state: TrailState = field(default_factory=TrailState)
    last_ms: float = 0.0
    looking: bool = False  # reading from the start, for where a trail forked
    lost: tuple[str, float] | None = None  # a sender, and since when nothing is known of a folder it lost

    def begin(self, looking: bool) -> None:
        self.next, self.chain, self.state, self.last_ms, self.looking = (
            1,
            INITIAL_CHAIN,
            TrailState(),
            0.0,
            looking,
        )


class Store(Tables):
    """What trails come to, in tables."""

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

    def _keep_places(self) -> None:
        self.db.executemany(
            "UPDATE door SET trail=?, next=?, chain=?, state=?, last_ms=? WHERE at=?",
            [
                (each.trail, each.next, each.chain, msgspec.msgpack.encode(each.state), each.last_ms, at)
                for at, each in self.places.items()
            ],
        )

    # Doors

    def place(self, at: str) -> Place:
        if at not in self.places:
            row = self.db.execute(
                "SELECT trail, next, chain, state, last_ms FROM door WHERE at=?", (at,)
            ).fetchone()
            if row and row[0]:
                name = self.db.execute("SELECT name FROM trail WHERE id=?", (row[0],)).fetchone()[0]
                self.places[at] = Place(
                    row[0], name, row[1], row[2], msgspec.msgpack.decode(row[3], type=TrailState), row[4]
                )
            else:
                self._begin()
                self.db.execute("INSERT OR IGNORE INTO door(at, next) VALUES(?, 1)", (at,))
                self.places[at] = Place()
        return self.places[at]

    def wanted(self, at: str) -> int:
        """The number after which this door is asked."""
        return self.place(at).next - 1

    def take(self, at: str, piece: wire.TrailResponse, now_ms: float, error_ms: float) -> bool:
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
        for each in scan_frames(piece.frames):
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

    def _clock(self, piece: wire.TrailResponse, now_ms: float, error_ms: float) -> None:
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

    def _door(self, at: str, piece: wire.TrailResponse, now_ms: float, complete_ms: float | None) -> None:
        kept = wire.encode(msgspec.structs.replace(piece, frames=b""))
        self.db.execute(
            "UPDATE door SET sender=?, process=?, boot=?, answered_ms=?, piece=?, "
            "complete_ms=coalesce(?, complete_ms) WHERE at=?",
            (piece.name, piece.process, piece.boot, now_ms, kept, complete_ms, at),
        )

    def _other_trail(self, place: Place, piece: wire.TrailResponse, now_ms: float) -> None:
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

    def _look(self, place: Place, piece: wire.TrailResponse, now_ms: float) -> None:
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
        self, place: Place, frame: Frame, before: Frame | None, piece: wire.TrailResponse, now_ms: float
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
        if isinstance(record, CompactedRecords):
            self._folded(place, record)
            return True
        if number > place.next:
            self._gap(
                place,
                Gap(
                    place.last_ms,
                    record_time_ms(record) or place.last_ms,
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
        place.state = state_after(place.state, number, record)
        place.next, place.chain = number + 1, frame.chain
        place.last_ms = record_time_ms(record) or place.last_ms
        return True

    def _have(self, place: Place, frame: Frame, piece: wire.TrailResponse, now_ms: float) -> bool:
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
        if isinstance(record, TurnActions):
            self._acted(self._stretch(trail, state), record)
        elif isinstance(record, VersionAdopted):
            self._adopted(place, number, record, now_ms)
        elif isinstance(record, ProcessStart):
            self._lived(place, number, record, now_ms)
        elif isinstance(record, ProcessEnd):
            self._close(trail, state, record.steady_ms)
            self.db.execute(
                "UPDATE life SET ended_ms=? WHERE trail=? AND life=?",
                (record.steady_ms, trail, state.incarnation),
            )
        elif isinstance(record, Gap):
            self._gap(place, record, now_ms)

    def _stretch(self, trail: int, state: TrailState) -> int:
        key = trail, state.stretch
        if key not in self._stretches:
            row = self.db.execute("SELECT id FROM stretch WHERE trail=? AND number=?", key).fetchone()
            self._stretches[key] = row[0] if row else self._new_stretch(trail, state)
        return self._stretches[key]

    def _new_stretch(self, trail: int, state: TrailState) -> int:
        held = state.versions.get(LIST)
        return self.db.execute(
            "INSERT INTO stretch(trail, number, sender, life, boot, epoch, list, digest, versions, from_ms, "
            "to_ms) VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                trail,
                state.stretch,
                state.name,
                state.incarnation,
                state.boot,
                held.epoch if held else None,
                held.number if held else None,
                held.digest if held else None,
                msgspec.msgpack.encode(state.versions),
                state.from_ms,
                state.from_ms,
            ),
        ).lastrowid

    def _acted(self, stretch: int, record: TurnActions) -> None:
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

    def _close(self, trail: int, state: TrailState, now: float) -> None:
        """A stretch lasts until its process adopts something else, or ends."""
        if state.stretch:
            self._sums.setdefault(self._stretch(trail, state), [0, 0, 0, now])[3] = now

    def _lived(self, place: Place, number: int, record: ProcessStart, now_ms: float) -> None:
        self.db.execute(
            "INSERT OR IGNORE INTO life VALUES(?, ?, ?, ?, ?, ?, ?, NULL)",
            (
                place.trail,
                number,
                record.incarnation,
                record.name,
                record.boot,
                record.wall_ms,
                record.steady_ms,
            ),
        )
        self._stretch(place.trail, state_after(place.state, number, record))
        if place.lost and place.lost[0] == record.name:
            (_, since), place.lost = place.lost, None
            held = Place(place.trail, place.name, state=state_after(place.state, number, record))
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

    def _adopted(self, place: Place, number: int, record: VersionAdopted, now_ms: float) -> None:
        state, told = place.state, record.version
        self.db.execute(
            "INSERT OR IGNORE INTO adoption VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                place.trail,
                number,
                state.name,
                state.incarnation,
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
            self._stretch(place.trail, state_after(state, number, record))
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

    def _folded(self, place: Place, record: CompactedRecords) -> None:
        """Records that were folded before they were taken: their totals, and no single calls."""
        self._flush()
        known = record.chain in [chain for _, chain in self._rows(place.name, record.last)]
        for total in () if known else record.totals:
            if total.to_ms <= place.last_ms and total.number < place.state.stretch:
                continue  # taken whole, record by record
            state = TrailState(
                total.incarnation, total.name, total.boot, total.versions, total.number, total.from_ms
            )
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
