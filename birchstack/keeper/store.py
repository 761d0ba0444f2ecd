"""The collector's store: stores each audit record exactly once and derives the tables from it.

Owns the cursor of each polled address and the mapping from records to tables (keeper.tables). Must not poll
senders. An address's cursor advances in the same transaction as the records that precede it.
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
class Cursor:
    """Cursor of one polled address: what was read from it, and the next record to read.

    branch: id of the branch in table `trail`.
    trail: name of the trail.
    next_number: number of the next record.
    chain: hash chain value of the last record read.
    state: sender's state after that record.
    last_ms: time of that record, by the steady clock of its boot.
    rescanning: the trail is being read again from its start, to find where it forked.
    lost_folder: the sender that lost its folder, and the time up to which its previous trail is known.
    """

    branch: int = 0
    trail: str = ""
    next_number: int = 1
    chain: bytes = INITIAL_CHAIN
    state: TrailState = field(default_factory=TrailState)
    last_ms: float = 0.0
    rescanning: bool = False
    lost_folder: tuple[str, float] | None = None

    def restart(self, rescanning: bool) -> None:
        """Moves the cursor back to the start of the trail."""
        self.next_number = 1
        self.chain = INITIAL_CHAIN
        self.state = TrailState()
        self.last_ms = 0.0
        self.rescanning = rescanning


class Store(Tables):
    """Stores the audit trails of all senders as tables."""

    def _clear(self) -> None:
        """Drops buffered rows and cached rows; the caches are filled again from the tables."""
        self.cursors: dict[str, Cursor] = {}
        self._stretch_ids: dict[tuple[int, int], int] = {}
        self._tallies: dict[tuple[int, str], list] = {}
        self._totals: dict[int, list] = {}  # by stretch: calls, rejected, abandoned, to_ms
        self._calls: list[tuple] = []
        self._records: list[tuple] = []
        self._clocks: dict[str, tuple[float, float]] = {}
        self._last_numbers: dict[str, int] = {}

    def _flush(self) -> None:
        """Writes the buffered records, calls and counters."""
        execute = self.db.executemany
        execute("INSERT INTO record VALUES(?, ?, ?)", self._records)
        execute("INSERT INTO call VALUES(?, ?, ?, ?)", self._calls)
        execute(
            "INSERT INTO tally VALUES(?, ?, ?, ?, ?) ON CONFLICT DO UPDATE SET calls=calls+excluded.calls, "
            "last_ms=excluded.last_ms",
            [(*key, *tally) for key, tally in self._tallies.items()],
        )
        execute(
            "UPDATE stretch SET calls=calls+?, rejected=rejected+?, abandoned=abandoned+?, "
            "to_ms=max(to_ms, ?) WHERE id=?",
            [(*totals, key) for key, totals in self._totals.items()],
        )
        for buffer in (self._records, self._calls, self._tallies, self._totals):
            buffer.clear()

    def _write_cursors(self) -> None:
        self.db.executemany(
            "UPDATE door SET trail=?, next=?, chain=?, state=?, last_ms=? WHERE at=?",
            [
                (
                    cursor.branch,
                    cursor.next_number,
                    cursor.chain,
                    msgspec.msgpack.encode(cursor.state),
                    cursor.last_ms,
                    address,
                )
                for address, cursor in self.cursors.items()
            ],
        )

    # Polled addresses

    def cursor(self, address: str) -> Cursor:
        """Returns the cursor of an address; one that is new starts at the first record."""
        if address not in self.cursors:
            row = self.db.execute(
                "SELECT trail, next, chain, state, last_ms FROM door WHERE at=?", (address,)
            ).fetchone()
            if row and row[0]:
                name = self.db.execute("SELECT name FROM trail WHERE id=?", (row[0],)).fetchone()[0]
                self.cursors[address] = Cursor(
                    row[0], name, row[1], row[2], msgspec.msgpack.decode(row[3], type=TrailState), row[4]
                )
            else:
                self._begin()
                self.db.execute("INSERT OR IGNORE INTO door(at, next) VALUES(?, 1)", (address,))
                self.cursors[address] = Cursor()
        return self.cursors[address]

    def resume_after(self, address: str) -> int:
        """Returns the record number after which the next poll of an address continues."""
        return self.cursor(address).next_number - 1

    def store_answer(self, address: str, answer: wire.TrailResponse, now_ms: float, error_ms: float) -> bool:
        """Stores the records of an answer; returns True where the address should be polled again at once.

        now_ms: the collector's time at which the sender answered, with an error of at most error_ms.
        """
        cursor = self.cursor(address)
        self._begin()
        self._update_clock(answer, now_ms, error_ms)
        if not answer.holds:
            self._update_door(address, answer, now_ms, None)
            return False
        if answer.trail != cursor.trail:
            requested = cursor.next_number
            self._switch_trail(cursor, answer, now_ms)
            if requested > 1:  # the answer does not begin at the first record of the new trail
                return True
        if answer.last < cursor.next_number - 1 or (
            answer.last == cursor.next_number - 1
            and answer.chain != cursor.chain
            and answer.last
            and not cursor.rescanning
        ):
            self._rescan(cursor, answer, now_ms)
            return True
        previous: Frame | None = None
        for frame in scan_frames(answer.frames):
            if not isinstance(frame, Frame):
                self.add_finding("answer spoilt", answer.name, f"{address}: bytes that are no record", now_ms)
                break
            if not self._ingest(cursor, frame, previous, answer, now_ms):
                return True
            previous = frame
        complete = cursor.next_number > answer.last
        if complete:
            cursor.rescanning = False
        # while a sender is losing records, an answer tells nothing about what it does meanwhile
        self._update_door(
            address, answer, now_ms, answer.steady_ms if complete and not answer.failing else None
        )
        return not complete

    def _update_clock(self, answer: wire.TrailResponse, now_ms: float, error_ms: float) -> None:
        """Stores the clock offset of the sender's boot if it is more accurate than the known one."""
        known = self._clocks.get(answer.boot)
        if known is None:
            row = self.db.execute(
                "SELECT offset_ms, error_ms FROM clock WHERE boot=?", (answer.boot,)
            ).fetchone()
            known = self._clocks[answer.boot] = row or (0.0, 1e12)
        if error_ms < known[1]:
            self._clocks[answer.boot] = now_ms - answer.steady_ms, error_ms
            self.db.execute(
                "INSERT OR REPLACE INTO clock VALUES(?, ?, ?)",
                (answer.boot, now_ms - answer.steady_ms, error_ms),
            )

    def _update_door(
        self, address: str, answer: wire.TrailResponse, now_ms: float, complete_ms: float | None
    ) -> None:
        """Stores the last answer of an address without its records.

        complete_ms: the sender's time up to which all its records are stored; None leaves the known one.
        """
        encoded = wire.encode(msgspec.structs.replace(answer, frames=b""))
        self.db.execute(
            "UPDATE door SET sender=?, process=?, boot=?, answered_ms=?, piece=?, "
            "complete_ms=coalesce(?, complete_ms) WHERE at=?",
            (answer.name, answer.process, answer.boot, now_ms, encoded, complete_ms, address),
        )

    def _switch_trail(self, cursor: Cursor, answer: wire.TrailResponse, now_ms: float) -> None:
        """Starts reading another trail: the sender has a new folder, or another sender answers."""
        previous_trails = [
            name
            for (name,) in self.db.execute(
                "SELECT DISTINCT t.name FROM life l JOIN trail t ON t.id=l.trail WHERE l.sender=?",
                (answer.name,),
            )
        ]
        branch = self.db.execute("SELECT min(id) FROM trail WHERE name=?", (answer.trail,)).fetchone()[0]
        if previous_trails and answer.trail not in previous_trails:
            row = self.db.execute(
                "SELECT max(complete_ms) FROM door WHERE sender=? AND boot=?", (answer.name, answer.boot)
            ).fetchone()
            cursor.lost_folder = answer.name, row[0] or 0.0
            self.add_finding(
                "folder lost",
                answer.name,
                f"goes on with trail {answer.trail}; what {previous_trails[-1]} held and "
                "no keeper had taken is not known",
                now_ms,
            )
        if branch is None:
            branch = self.db.execute("INSERT INTO trail(name, first) VALUES(?, 1)", (answer.trail,)).lastrowid
        cursor.branch = branch
        cursor.trail = answer.trail
        cursor.restart(rescanning=False)

    def _rescan(self, cursor: Cursor, answer: wire.TrailResponse, now_ms: float) -> None:
        """Reads the trail again from its start: it does not continue from the records already stored.

        The first record that differs shows where the trail forked.
        """
        if answer.last < cursor.next_number - 1:
            self.add_finding(
                "trail went back",
                answer.name,
                f"trail {cursor.trail} ended at {cursor.next_number - 1} and now "
                f"ends at {answer.last} in life {answer.life}",
                now_ms,
            )
        cursor.restart(rescanning=True)

    # Records

    def _ingest(
        self, cursor: Cursor, frame: Frame, previous: Frame | None, answer: wire.TrailResponse, now_ms: float
    ) -> bool:
        """Stores one frame and advances the cursor; returns False where the trail must be read again."""
        number = frame.number
        if number < cursor.next_number:
            return True
        try:
            record = frame.record()
        except msgspec.DecodeError as problem:
            self.add_finding(
                "record not readable", answer.name, f"trail {cursor.trail} record {number}: {problem}", now_ms
            )
            record = Gap(cursor.last_ms, cursor.last_ms, "a record of a form this keeper does not read")
        if isinstance(record, CompactedRecords):
            self._add_folded(cursor, record)
            return True
        if number > cursor.next_number:
            self._add_gap(
                cursor,
                Gap(
                    cursor.last_ms,
                    record_time_ms(record) or cursor.last_ms,
                    f"records {cursor.next_number} to {number - 1} are not there",
                ),
                now_ms,
            )
        elif not frame.follows(cursor.chain):
            if previous is None and not cursor.rescanning and cursor.next_number > 1:
                self._rescan(cursor, answer, now_ms)
                return False
            self.add_finding(
                "altered",
                answer.name,
                f"trail {cursor.trail}: record {number} does not follow {number - 1}",
                now_ms,
            )
        if not self._is_stored(cursor, frame, answer, now_ms):
            self._store_record(cursor, frame, record, now_ms)
        cursor.state = state_after(cursor.state, number, record)
        cursor.next_number = number + 1
        cursor.chain = frame.chain
        cursor.last_ms = record_time_ms(record) or cursor.last_ms
        return True

    def _is_stored(self, cursor: Cursor, frame: Frame, answer: wire.TrailResponse, now_ms: float) -> bool:
        """Tells whether the record is stored already, from whichever address it came.

        Another record under the same number is a fork: what follows is stored as a branch of its own.
        """
        if frame.number > self._last_number(cursor.trail):
            return False
        rows = self._records_numbered(cursor.trail, frame.number)
        for branch, chain in rows:
            if chain == frame.chain:
                cursor.branch = branch
                return True
        if cursor.branch in [branch for branch, _ in rows]:
            names = {
                row[0]
                for row in self.db.execute(
                    "SELECT DISTINCT l.sender FROM life l JOIN trail t ON t.id=l.trail WHERE t.name=?",
                    (cursor.trail,),
                )
            } | {answer.name}
            kind = "cloned folder" if len(names) > 1 else "fork"
            self.add_finding(
                kind,
                answer.name,
                f"trail {cursor.trail} goes two ways from record {frame.number} ({', '.join(sorted(names))})",
                now_ms,
            )
            cursor.branch = self.db.execute(
                "INSERT INTO trail(name, parent, first) VALUES(?, ?, ?)",
                (cursor.trail, cursor.branch, frame.number),
            ).lastrowid
        return False

    def _records_numbered(self, name: str, number: int) -> list[tuple[int, bytes]]:
        """Returns branch and chain of each stored record with this number in any branch of a trail."""
        if self._records:
            self._flush()
        return self.db.execute(
            "SELECT r.trail, r.chain FROM record r JOIN trail t ON t.id=r.trail "
            "WHERE t.name=? AND r.number=?",
            (name, number),
        ).fetchall()

    def _last_number(self, name: str) -> int:
        """Returns the highest record number stored in any branch of a trail."""
        if name not in self._last_numbers:
            self._last_numbers[name] = self.db.execute(
                "SELECT coalesce(max(r.number), 0) FROM record r JOIN trail t ON t.id=r.trail WHERE t.name=?",
                (name,),
            ).fetchone()[0]
        return self._last_numbers[name]

    def _store_record(self, cursor: Cursor, frame: Frame, record: Record, now_ms: float) -> None:
        """Buffers a new record and updates the tables that are derived from it."""
        branch = cursor.branch
        number = frame.number
        state = cursor.state
        self._records.append((branch, number, frame.chain))
        self._last_numbers[cursor.trail] = max(self._last_number(cursor.trail), number)
        if isinstance(record, TurnActions):
            self._add_calls(self._stretch_id(branch, state), record)
        elif isinstance(record, VersionAdopted):
            self._add_adoption(cursor, number, record, now_ms)
        elif isinstance(record, ProcessStart):
            self._add_life(cursor, number, record, now_ms)
        elif isinstance(record, ProcessEnd):
            self._end_stretch(branch, state, record.steady_ms)
            self.db.execute(
                "UPDATE life SET ended_ms=? WHERE trail=? AND life=?",
                (record.steady_ms, branch, state.incarnation),
            )
        elif isinstance(record, Gap):
            self._add_gap(cursor, record, now_ms)

    def _stretch_id(self, branch: int, state: TrailState) -> int:
        """Returns the row id of the stretch that the state is in, and creates the row if it is missing."""
        key = branch, state.stretch
        if key not in self._stretch_ids:
            row = self.db.execute("SELECT id FROM stretch WHERE trail=? AND number=?", key).fetchone()
            self._stretch_ids[key] = row[0] if row else self._insert_stretch(branch, state)
        return self._stretch_ids[key]

    def _insert_stretch(self, branch: int, state: TrailState) -> int:
        list_version = state.versions.get(LIST)
        return self.db.execute(
            "INSERT INTO stretch(trail, number, sender, life, boot, epoch, list, digest, versions, from_ms, "
            "to_ms) VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                branch,
                state.stretch,
                state.name,
                state.incarnation,
                state.boot,
                list_version.epoch if list_version else None,
                list_version.number if list_version else None,
                list_version.digest if list_version else None,
                msgspec.msgpack.encode(state.versions),
                state.from_ms,
                state.from_ms,
            ),
        ).lastrowid

    def _add_calls(self, stretch: int, record: TurnActions) -> None:
        """Buffers the calls of one record and adds them to the counters of their stretch."""
        at_ms = record.steady_ms
        calls = record.calls
        for doc, endpoint in zip(calls[::2], calls[1::2], strict=True):
            self._calls.append((doc, stretch, endpoint, at_ms))
            tally = self._tallies.get((stretch, endpoint))
            if tally:
                tally[0] += 1
                tally[2] = at_ms
            else:
                self._tallies[stretch, endpoint] = [1, at_ms, at_ms]
        self._calls += [(doc, stretch, None, at_ms) for doc in record.abandoned]
        totals = self._totals.setdefault(stretch, [0, 0, 0, at_ms])
        totals[0] += len(calls) // 2
        totals[1] += record.rejected
        totals[2] += len(record.abandoned)
        totals[3] = max(totals[3], at_ms)

    def _end_stretch(self, branch: int, state: TrailState, at_ms: float) -> None:
        """Ends the current stretch: the process adopted another version, or ended."""
        if state.stretch:
            self._totals.setdefault(self._stretch_id(branch, state), [0, 0, 0, at_ms])[3] = at_ms

    def _add_life(self, cursor: Cursor, number: int, record: ProcessStart, now_ms: float) -> None:
        """Stores the start of a process; reports a lost folder, a changed name and a stepped clock."""
        self.db.execute(
            "INSERT OR IGNORE INTO life VALUES(?, ?, ?, ?, ?, ?, ?, NULL)",
            (
                cursor.branch,
                number,
                record.incarnation,
                record.name,
                record.boot,
                record.wall_ms,
                record.steady_ms,
            ),
        )
        self._stretch_id(cursor.branch, state_after(cursor.state, number, record))
        if cursor.lost_folder and cursor.lost_folder[0] == record.name:
            _, since_ms = cursor.lost_folder
            cursor.lost_folder = None
            started = Cursor(cursor.branch, cursor.trail, state=state_after(cursor.state, number, record))
            self._add_gap(started, Gap(since_ms, record.steady_ms, "the folder was lost"), now_ms)
        previous_name = cursor.state.name
        if previous_name and previous_name != record.name:
            self.add_finding(
                "another name",
                record.name,
                f"trail {cursor.trail} was {previous_name}'s up to record {number - 1}",
                now_ms,
            )
        self._check_wall_clock(cursor, record.boot, record.wall_ms, record.steady_ms, record.name, now_ms)

    def _add_adoption(self, cursor: Cursor, number: int, record: VersionAdopted, now_ms: float) -> None:
        """Stores that a version was adopted or refused; one that was adopted begins a new stretch."""
        state = cursor.state
        version = record.version
        self.db.execute(
            "INSERT OR IGNORE INTO adoption VALUES(?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                cursor.branch,
                number,
                state.name,
                state.incarnation,
                state.boot,
                version.kind,
                version.origin,
                version.epoch,
                version.number,
                version.digest,
                record.order,
                record.source,
                record.wall_ms,
                record.steady_ms,
                record.taken,
            ),
        )
        if record.taken:
            self._end_stretch(cursor.branch, state, record.steady_ms)
            self._stretch_id(cursor.branch, state_after(state, number, record))
        if version.kind == LIST and record.order in (OLDER, FORKED):
            previous = state.versions.get(LIST)
            self.add_finding(
                f"list {record.order}",
                state.name,
                f"{previous} then {version} from {record.source}" + ("" if record.taken else ", not taken"),
                now_ms,
            )
        self._check_wall_clock(cursor, state.boot, record.wall_ms, record.steady_ms, state.name, now_ms)

    def _check_wall_clock(
        self, cursor: Cursor, boot: str, wall_ms: float, steady_ms: float, sender: str, now_ms: float
    ) -> None:
        """Reports a sender whose wall clock was stepped by more than a second since the start of its boot."""
        row = self.db.execute(
            "SELECT wall_ms - steady_ms FROM life WHERE boot=? ORDER BY steady_ms LIMIT 1", (boot,)
        ).fetchone()
        if row and abs(wall_ms - steady_ms - row[0]) > 1000.0:
            step_s = round((wall_ms - steady_ms - row[0]) / 1000.0)
            self.add_finding("wall clock", sender, f"stepped by {step_s} s in boot {boot[:8]}", now_ms)

    def _add_gap(self, cursor: Cursor, gap: Gap, now_ms: float, totals: bool = False) -> None:
        """Stores a period of which records are missing.

        totals: the counters of the period are known and only its single calls are missing, so the gap is not
        a finding.
        """
        self.db.execute(
            "INSERT OR IGNORE INTO gap(trail, sender, boot, from_ms, to_ms, why, calls, totals) "
            "VALUES(?, ?, ?, ?, ?, ?, ?, ?)",
            (
                cursor.branch,
                cursor.state.name,
                cursor.state.boot,
                gap.from_ms,
                gap.to_ms,
                gap.why,
                gap.calls,
                totals,
            ),
        )
        if not totals:
            self.add_finding(
                "gap",
                cursor.state.name,
                f"{gap.why} ({gap.from_ms:.0f} to {gap.to_ms:.0f} ms of boot {cursor.state.boot[:8]})",
                now_ms,
            )

    def _add_folded(self, cursor: Cursor, record: CompactedRecords) -> None:
        """Stores the totals of records that were folded before they were polled, without single calls."""
        self._flush()
        known = record.chain in [chain for _, chain in self._records_numbered(cursor.trail, record.last)]
        for total in () if known else record.totals:
            if total.to_ms <= cursor.last_ms and total.number < cursor.state.stretch:
                continue  # every record of this stretch is stored
            state = TrailState(
                total.incarnation, total.name, total.boot, total.versions, total.number, total.from_ms
            )
            stretch = self._stretch_id(cursor.branch, state)
            calls = sum(tally.calls for tally in total.tallies)
            self.db.execute(
                "UPDATE stretch SET calls=?, rejected=?, abandoned=?, to_ms=?, mixed=?, singles=0 WHERE id=?",
                (calls, total.rejected, total.abandoned, total.to_ms, total.mixed, stretch),
            )
            self.db.executemany(
                "INSERT OR REPLACE INTO tally VALUES(?, ?, ?, ?, ?)",
                [(stretch, *msgspec.structs.astuple(tally)) for tally in total.tallies],
            )
            since_ms = max(total.from_ms, cursor.last_ms if cursor.state.stretch == total.number else 0.0)
            folded = Cursor(cursor.branch, cursor.trail, state=state)
            self._add_gap(folded, Gap(since_ms, total.to_ms, "folded before it was taken", calls), 0.0, True)
        for gap in () if known else record.gaps:
            self._add_gap(cursor, gap, 0.0)
        cursor.state = record.state
        cursor.next_number = record.last + 1
        cursor.chain = record.chain
        cursor.last_ms = max((total.to_ms for total in record.totals), default=cursor.last_ms)
