"""Audit queries over the stores of collectors; answers are plain values.

Owns the meaning of each query. Read-only. Several stores are queried one by one and their answers merged: a
call that is in any of them is known, and a period is unknown only where it is unknown in all of them. An
answer that depends on a gap reports the period for which nothing is known; it never answers "no" for that
period. Times are the collector's, in milliseconds of Unix time.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Callable

import msgspec

from birchstack.fleet import lag, wire
from birchstack.fleet.versions import LIST, Version

# Time for a new version to travel from the list service to the collector or to a sender.
PROPAGATION_ALLOWANCE_MS = 50.0


class QueryError(Exception):
    """A query cannot be answered; the message says why."""


class UnknownPeriod(msgspec.Struct, frozen=True, order=True):
    """A period for which nothing, or less than was queried, is known of a sender.

    calls: how many calls are known to have begun in it without being named; -1 if the number is unknown too.
    """

    sender: str
    from_ms: float
    to_ms: float
    why: str
    calls: int = -1


class Stretch(msgspec.Struct, frozen=True, order=True):
    """A period during which a sender acted on one version of the list.

    open: the sender still acts on it, as far as is known.
    """

    sender: str
    from_ms: float
    to_ms: float
    life: str
    epoch: str
    number: int | None
    digest: str
    calls: int
    rejected: int
    abandoned: int
    open: bool
    settings: str = ""
    decisions: str = ""


class Call(msgspec.Struct, frozen=True, order=True):
    """One call that began or, with endpoint None, a document that was abandoned.

    past_ms: how long after the time limit of the query it began.
    """

    at_ms: float
    sender: str
    doc: str
    endpoint: str | None
    epoch: str
    number: int | None
    digest: str
    life: str
    past_ms: float = 0.0


class ActivityAnswer(msgspec.Struct, frozen=True):
    """The senders that acted on a version, and the periods for which this is unknown."""

    stretches: list[Stretch]
    unknown: list[UnknownPeriod]


class CallsAnswer(msgspec.Struct, frozen=True):
    """The calls that match a query, and the periods for which they are unknown.

    out_ms, in_ms: start and end of the period queried; in_ms 0 means up to now.
    """

    calls: list[Call]
    unknown: list[UnknownPeriod]
    out_ms: float = 0.0
    in_ms: float = 0.0


class SenderStatus(msgspec.Struct, frozen=True, order=True):
    """Status of one sender process, from its last answer.

    at: its audit address.
    holds: it holds the sender's folder and acts; a process that does not is waiting to take over.
    behind: number of versions by which its list is behind the newest.
    behind_ms: for how long there has been a newer version.
    age_ms: age of the stored records, from when they were last complete.
    answered_ms: time since that answer.
    heard_ms: time since its watch of the list service received anything, as of that answer.
    failing: it was losing audit records.
    -1 stands for an unknown value: no list was published, or the process has not answered.
    """

    sender: str
    at: str
    life: str
    holds: bool
    ready: bool
    list: str
    behind: int
    behind_ms: float
    age_ms: float
    answered_ms: float
    heard_ms: float
    failing: bool
    settings: str
    decisions: str
    held: int


class Finding(msgspec.Struct, frozen=True, order=True):
    """An irregularity that an operator should look at."""

    kind: str
    sender: str
    detail: str
    at_ms: float = 0.0


class Verdict(msgspec.Struct, frozen=True, order=True):
    """A collector's verdict on a sender, or on the whole fleet if sender is empty, with its evidence."""

    sender: str
    what: str
    evidence: str
    since_ms: float
    at_ms: float


class TimelineEvent(msgspec.Struct, frozen=True, order=True):
    """One event of the timeline; at_ms is the collector's time."""

    at_ms: float
    sender: str
    what: str
    detail: str


class PublishedVersion(msgspec.Struct, frozen=True):
    """A list version that the list service published while the collector watched it."""

    id: int
    epoch: str
    number: int
    digest: str
    ord: str
    source: str
    at_ms: float

    def version(self) -> Version:
        """Returns the version in the form that senders report."""
        return Version(LIST, self.source, self.epoch, self.number, self.digest)


class StoreReader:
    """Read-only queries on the store of one collector."""

    def __init__(
        self, db: sqlite3.Connection, now_ms: float, silent_ms: float = 10_000.0, behind_ms: float = 10_000.0
    ) -> None:
        """Reads the clock offsets of all boots.

        silent_ms, behind_ms: how long an answer or a new version may take before it becomes a finding.
        """
        self.db = db
        self.now_ms = now_ms
        self.silent_ms = silent_ms
        self.behind_ms = behind_ms
        self._clocks = {
            boot: (offset_ms, error_ms)
            for boot, offset_ms, error_ms in self._rows("SELECT boot, offset_ms, error_ms FROM clock")
        }
        self._wall_offsets = dict(self._rows("SELECT boot, min(wall_ms - steady_ms) FROM life GROUP BY boot"))

    def _rows(self, sql: str, *parameters: object) -> list[tuple]:
        return self.db.execute(sql, parameters).fetchall()

    def to_collector_ms(self, boot: str, steady_ms: float) -> float:
        """Converts a sender's steady-clock time to the collector's time.

        For a boot that no answer came from, the offset is that of the sender's own wall clock.
        """
        offset_ms, _ = self._clocks.get(boot, (self._wall_offsets.get(boot, 0.0), 0.0))
        return steady_ms + offset_ms

    def to_steady_ms(self, boot: str, at_ms: float) -> float:
        """Converts the collector's time to the steady clock of a boot."""
        return at_ms - self.to_collector_ms(boot, 0.0)

    # Unknown periods

    def unknown_periods(
        self, from_ms: float = 0.0, to_ms: float | None = None, single_calls: bool = True
    ) -> list[UnknownPeriod]:
        """Returns the unknown periods that overlap from_ms to to_ms.

        single_calls: the query is about single calls, so periods of which only totals are known count too.
        """
        to_ms = self.now_ms if to_ms is None else to_ms
        found = []
        for sender, boot, begin, end, why, calls, totals in self._rows(
            "SELECT sender, boot, from_ms, to_ms, why, calls, totals FROM gap"
        ):
            if not totals or single_calls:
                found.append(
                    UnknownPeriod(
                        sender, self.to_collector_ms(boot, begin), self.to_collector_ms(boot, end), why, calls
                    )
                )
        for sender, boot, complete in self._rows(
            "SELECT sender, boot, max(complete_ms) FROM door WHERE sender IS NOT NULL "
            "AND complete_ms IS NOT NULL GROUP BY sender, boot"
        ):
            found.append(
                UnknownPeriod(sender, self.to_collector_ms(boot, complete), self.now_ms, "not heard of since")
            )
        known_senders = {
            row[0] for row in self._rows("SELECT DISTINCT sender FROM door WHERE complete_ms NOT NULL")
        }
        for address, sender in self._rows("SELECT at, sender FROM door"):
            if sender not in known_senders:
                found.append(UnknownPeriod(sender or address, 0.0, self.now_ms, "never heard of"))
        # Of each sender only the latest boot counts as not heard of since: after an earlier boot it went on.
        latest: dict[str, UnknownPeriod] = {}
        for period in sorted(found, key=lambda period: period.from_ms):
            if period.why == "not heard of since":
                latest[period.sender] = period
        return sorted(
            {
                period
                for period in found
                if period.from_ms < to_ms
                and period.to_ms > from_ms
                and (period.why != "not heard of since" or period is latest[period.sender])
            }
        )

    # Published versions

    def published_versions(self) -> list[PublishedVersion]:
        """Returns all published list versions, oldest first."""
        return [
            PublishedVersion(*row)
            for row in self._rows(
                "SELECT id, epoch, number, digest, ord, source, at_ms FROM published ORDER BY id"
            )
        ]

    def versions_numbered(self, number: int, epoch: str | None) -> list[PublishedVersion]:
        """Returns the published versions with this number, of one epoch or (None) of all."""
        return [
            version
            for version in self.published_versions()
            if version.number == number and (epoch is None or version.epoch == epoch)
        ]

    # Queries

    def activity(self, number: int, epoch: str | None = None) -> ActivityAnswer:
        """Returns which senders acted on a list version, from when to when, with their totals."""
        open_stretches = {
            (branch, msgspec.msgpack.decode(state)[4])
            for branch, state in self._rows(
                "SELECT trail, state FROM door WHERE state IS NOT NULL AND next > 1"
            )
        }
        ended_lives = {life for (life,) in self._rows("SELECT life FROM life WHERE ended_ms IS NOT NULL")}
        complete = dict(self._rows("SELECT boot || sender, max(complete_ms) FROM door GROUP BY boot, sender"))
        found = []
        for (
            branch,
            stretch_number,
            sender,
            life,
            boot,
            stretch_epoch,
            digest,
            encoded_versions,
            begin,
            end,
            calls,
            rejected,
            abandoned,
            mixed,
        ) in self._rows(
            "SELECT trail, number, sender, life, boot, epoch, digest, versions, from_ms, to_ms, calls, "
            "rejected, abandoned, mixed FROM stretch WHERE list=?",
            number,
        ):
            if mixed or epoch is not None and stretch_epoch != epoch:
                continue
            is_open = (branch, stretch_number) in open_stretches and life not in ended_lives
            if is_open:
                end = max(end, complete.get(boot + sender) or end)
            versions = msgspec.msgpack.decode(encoded_versions, type=dict[str, Version])
            found.append(
                Stretch(
                    sender,
                    self.to_collector_ms(boot, begin),
                    self.to_collector_ms(boot, end),
                    life,
                    stretch_epoch,
                    number,
                    digest,
                    calls,
                    rejected,
                    abandoned,
                    is_open,
                    *(
                        versions[kind].digest[:8] if kind in versions else ""
                        for kind in ("settings", "decisions")
                    ),
                )
            )
        mixed = [
            UnknownPeriod(
                sender or "?",
                self.to_collector_ms(boot, begin),
                self.to_collector_ms(boot, end),
                "stretches put together",
                calls,
            )
            for sender, boot, begin, end, calls in self._rows(
                "SELECT sender, boot, from_ms, to_ms, calls FROM stretch WHERE mixed AND list IS NULL"
            )
        ]
        begin = min((version.at_ms for version in self.versions_numbered(number, epoch)), default=0.0)
        return ActivityAnswer(
            sorted(found), sorted({*self.unknown_periods(begin, single_calls=False), *mixed})
        )

    def _calls(self, where: str, *parameters: object) -> list[Call]:
        """Returns the calls that match an SQL condition on call c and stretch s."""
        return [
            Call(self.to_collector_ms(boot, steady_ms), sender, doc, endpoint, epoch, number, digest, life)
            for steady_ms, sender, doc, endpoint, epoch, number, digest, life, boot in self._rows(
                "SELECT c.at_ms, s.sender, c.doc, c.endpoint, s.epoch, s.list, s.digest, s.life, s.boot "
                f"FROM call c JOIN stretch s ON s.id=c.stretch WHERE {where}",
                *parameters,
            )
        ]

    def calls_after_removal(
        self, endpoint: str, removed_by: int, epoch: str | None = None, grace_ms: float = 0.0
    ) -> CallsAnswer:
        """Returns calls to an endpoint that began after a list version had removed it.

        removed_by: the version that removed the endpoint.
        grace_ms: calls within this time after that version came into force do not count. The period queried
        ends when a later version adds the endpoint again.
        """
        changes = [
            (PublishedVersion(*row[:-1]), row[-1])
            for row in self._rows(
                "SELECT p.id, p.epoch, p.number, p.digest, p.ord, p.source, p.at_ms, c.state FROM change c "
                "JOIN published p ON p.id=c.published WHERE c.endpoint=? ORDER BY p.id",
                endpoint,
            )
        ]
        removals = [
            version
            for version, state in changes
            if version.number == removed_by
            and state in ("leaving", "left")
            and (epoch is None or version.epoch == epoch)
        ]
        if not removals:
            listed = ", ".join(f"{version.number}: {state}" for version, state in changes) or "none"
            raise QueryError(f"{endpoint} was not taken out by list {removed_by} (its changes: {listed})")
        removal = removals[0]
        restored_ms = next(
            (version.at_ms for version, state in changes if version.id > removal.id and state == "active"),
            0.0,
        )
        begin = removal.at_ms + grace_ms
        end = restored_ms or self.now_ms
        found = []
        for boot in {row[0] for row in self._rows("SELECT DISTINCT boot FROM stretch")}:
            found += self._calls(
                "c.endpoint=? AND s.boot=? AND c.at_ms > ? AND c.at_ms < ?",
                endpoint,
                boot,
                self.to_steady_ms(boot, begin),
                self.to_steady_ms(boot, end),
            )
        calls = [msgspec.structs.replace(call, past_ms=call.at_ms - begin) for call in found]
        return CallsAnswer(sorted(calls), self.unknown_periods(begin, end), begin, restored_ms)

    def document_calls(self, doc: str) -> CallsAnswer:
        """Returns every call for a document, and every sender that abandoned it."""
        return CallsAnswer(sorted(self._calls("c.doc=?", doc)), self.unknown_periods())

    def late_calls(
        self, number: int, epoch: str | None = None, allowance_ms: float = PROPAGATION_ALLOWANCE_MS
    ) -> CallsAnswer:
        """Returns calls that began on a version when a later one had been in force for allowance_ms."""
        published = self.published_versions()
        matching = [
            index
            for index, version in enumerate(published)
            if version.number == number and (epoch is None or version.epoch == epoch)
        ]
        if not matching:
            raise QueryError(f"list {number} was never given out while this keeper followed the list service")
        if matching[-1] + 1 == len(published):
            return CallsAnswer([], [])  # it is still in force
        begin = published[matching[-1] + 1].at_ms + allowance_ms
        found = []
        for boot in {row[0] for row in self._rows("SELECT DISTINCT boot FROM stretch")}:
            found += self._calls(
                "s.list=? AND s.boot=? AND c.at_ms > ? AND c.endpoint IS NOT NULL",
                number,
                boot,
                self.to_steady_ms(boot, begin),
            )
        calls = [
            msgspec.structs.replace(call, past_ms=call.at_ms - begin)
            for call in found
            if epoch is None or call.epoch == epoch
        ]
        return CallsAnswer(sorted(calls), self.unknown_periods(begin), begin)

    def status(self) -> list[SenderStatus]:
        """Returns the status of the process at each polled address, from its last answer."""
        published = self.published_versions()
        found = []
        newest = published[-1] if published else None
        for address, sender, boot, complete, answered_ms, encoded in self._rows(
            "SELECT at, sender, boot, complete_ms, answered_ms, piece FROM door"
        ):
            if encoded is None:
                found.append(
                    SenderStatus(
                        sender or "?",
                        address,
                        "",
                        False,
                        False,
                        "",
                        -1,
                        -1.0,
                        -1.0,
                        -1.0,
                        -1.0,
                        False,
                        "",
                        "",
                        0,
                    )
                )
                continue
            answer = wire.decode(encoded)
            list_version = answer.versions.get(LIST)
            behind, behind_ms = self._behind(published, newest, list_version)
            found.append(
                SenderStatus(
                    sender,
                    address,
                    answer.life,
                    answer.holds,
                    answer.ready,
                    str(list_version) if list_version else "none",
                    behind,
                    behind_ms,
                    self.now_ms - self.to_collector_ms(boot, complete) if complete else -1.0,
                    self.now_ms - answered_ms,
                    answer.heard_ms,
                    answer.failing,
                    *(
                        str(answer.versions[kind].digest[:8]) if kind in answer.versions else ""
                        for kind in ("settings", "decisions")
                    ),
                    answer.held,
                )
            )
        return sorted(found)

    def _behind(
        self, published: list[PublishedVersion], newest: PublishedVersion | None, held: Version | None
    ) -> tuple[int, float]:
        """Returns by how many versions and for how long (ms) a list is behind the newest."""
        if newest is None:
            return -1, -1.0
        if held and (held.epoch, held.number, held.digest) == (newest.epoch, newest.number, newest.digest):
            return 0, 0.0
        held_index = next(
            (
                index
                for index in range(len(published) - 1, -1, -1)
                if held
                and (published[index].epoch, published[index].number, published[index].digest)
                == (held.epoch, held.number, held.digest)
            ),
            None,
        )
        since_ms = published[held_index + 1 if held_index is not None else 0].at_ms
        return (
            len(published) - 1 - held_index if held_index is not None else len(published),
            self.now_ms - since_ms,
        )

    def verdicts(self) -> list[Verdict]:
        """Returns every change of a verdict, oldest first."""
        return [
            Verdict(*row)
            for row in self._rows("SELECT sender, what, evidence, since_ms, at_ms FROM verdict ORDER BY id")
        ]

    def stragglers(self) -> list[Verdict]:
        """Returns the current verdicts other than "well", with one on the whole fleet first."""
        latest = {verdict.sender: verdict for verdict in self.verdicts()}
        return sorted(verdict for verdict in latest.values() if verdict.what != lag.HEALTHY)

    def timeline(self, from_ms: float = 0.0, to_ms: float | None = None) -> list[TimelineEvent]:
        """Returns all events between two times, oldest first."""
        found = [
            TimelineEvent(version.at_ms, "list service", "published", f"{version.version()} {version.ord}")
            for version in self.published_versions()
        ]
        for sender, boot, steady_ms, life in self._rows("SELECT sender, boot, steady_ms, life FROM life"):
            found.append(
                TimelineEvent(self.to_collector_ms(boot, steady_ms), sender, "began", f"life {life}")
            )
        for sender, boot, steady_ms, life in self._rows(
            "SELECT sender, boot, ended_ms, life FROM life WHERE ended_ms IS NOT NULL"
        ):
            found.append(
                TimelineEvent(self.to_collector_ms(boot, steady_ms), sender, "ended", f"life {life}")
            )
        for sender, boot, steady_ms, kind, origin, epoch, number, digest, order, source, taken in self._rows(
            "SELECT sender, boot, steady_ms, kind, origin, epoch, version, digest, ord, source, taken "
            "FROM adoption"
        ):
            found.append(
                TimelineEvent(
                    self.to_collector_ms(boot, steady_ms),
                    sender,
                    "adopted" if taken else "did not take",
                    f"{kind} {Version(kind, origin, epoch, number, digest)} {order} from {source}",
                )
            )
        found += [
            TimelineEvent(
                verdict.at_ms, verdict.sender or "the fleet", "verdict", f"{verdict.what}: {verdict.evidence}"
            )
            for verdict in self.verdicts()
        ]
        for period in self.unknown_periods():
            found.append(
                TimelineEvent(
                    period.from_ms,
                    period.sender,
                    "unknown",
                    f"{period.why}, for {(period.to_ms - period.from_ms) / 1000.0:.1f} s",
                )
            )
        found += [
            TimelineEvent(finding.at_ms, finding.sender, "finding", f"{finding.kind}: {finding.detail}")
            for finding in self.findings()
        ]
        to_ms = self.now_ms if to_ms is None else to_ms
        return sorted(event for event in found if from_ms <= event.at_ms <= to_ms)

    def findings(self, grace_ms: float = 2000.0) -> list[Finding]:
        """Returns the stored findings and those that follow from the present state.

        grace_ms: how long after the removal of an endpoint calls to it are no finding.
        """
        found = [Finding(*row) for row in self._rows("SELECT kind, sender, detail, at_ms FROM finding")]
        published = self.published_versions()
        digests = {(version.epoch, version.number, version.digest) for version in published}
        numbers = {(version.epoch, version.number) for version in published}
        for sender, epoch, number, digest, boot, steady_ms in self._rows(
            "SELECT sender, epoch, version, digest, boot, min(steady_ms) FROM adoption WHERE kind='list' "
            "AND taken GROUP BY sender, epoch, version, digest"
        ):
            if (epoch, number) in numbers and (epoch, number, digest) not in digests:
                found.append(
                    Finding(
                        "contents differ",
                        sender,
                        f"list {number}@{digest[:8]} is not what the list service gave out under that number",
                        self.to_collector_ms(boot, steady_ms),
                    )
                )
        for status in self.status():
            if status.answered_ms < 0.0 or status.answered_ms > self.silent_ms:
                found.append(Finding("silent", status.sender, f"{status.at} has not answered", self.now_ms))
            elif status.holds and status.behind and status.behind_ms > self.behind_ms:
                watch = ", its watch beats" if status.heard_ms < self.behind_ms else ""
                found.append(
                    Finding(
                        "behind",
                        status.sender,
                        f"acts on {status.list}, {status.behind} behind for "
                        f"{status.behind_ms / 1000.0:.0f} s{watch}",
                        self.now_ms,
                    )
                )
        found += self._called_after_removal(grace_ms)
        return sorted(found)

    def _called_after_removal(self, grace_ms: float) -> list[Finding]:
        """Returns a finding for each sender that called an endpoint after the first removal of it."""
        found = []
        seen = set()
        for number, epoch, endpoint in self._rows(
            "SELECT p.number, p.epoch, c.endpoint FROM change c JOIN published p ON p.id=c.published "
            "WHERE c.state IN ('leaving', 'left') ORDER BY p.id"
        ):
            if endpoint in seen:
                continue
            seen.add(endpoint)
            answer = self.calls_after_removal(endpoint, number, epoch, grace_ms)
            for sender in sorted({call.sender for call in answer.calls}):
                calls = [call for call in answer.calls if call.sender == sender]
                found.append(
                    Finding(
                        "called after out",
                        sender,
                        f"{len(calls)} calls to {endpoint}, out at list "
                        f"{number}, up to {max(call.past_ms for call in calls) / 1000.0:.1f} s past "
                        "the grace",
                        calls[0].at_ms,
                    )
                )
        return found


class Stores:
    """Queries on the stores of one or several collectors, merged into one answer."""

    def __init__(self, paths: list[str], now_ms: float | None = None, **options: float) -> None:
        """Opens the stores; options are passed on to each StoreReader."""
        self.readers = []
        for path in paths:
            try:
                db = sqlite3.connect(f"file:{path}?mode=ro", uri=True)
                db.execute("SELECT 1 FROM meta")
            except sqlite3.Error as problem:
                raise QueryError(f"{path}: {problem}") from problem
            self.readers.append(
                StoreReader(db, time.time() * 1000.0 if now_ms is None else now_ms, **options)
            )

    def _query_all(self, query: Callable[[StoreReader], object]) -> list:
        """Runs a query on every store and returns the answers; fails only where no store can answer."""
        found = []
        problem = None
        for reader in self.readers:
            try:
                found.append(query(reader))
            except QueryError as error:
                problem = error
        if not found:
            raise problem
        return found

    def activity(self, number: int, epoch: str | None = None) -> ActivityAnswer:
        """Merges StoreReader.activity(): of one stretch, the answer with the most calls counts."""
        answers = self._query_all(lambda reader: reader.activity(number, epoch))
        best: dict[tuple, Stretch] = {}
        for stretch in (stretch for answer in answers for stretch in answer.stretches):
            key = stretch.sender, stretch.life, stretch.digest, round(stretch.from_ms / 1000.0)
            known = best.get(key)
            if known is None or (stretch.calls, stretch.to_ms) > (known.calls, known.to_ms):
                best[key] = stretch
        return ActivityAnswer(sorted(best.values()), common_unknown([answer.unknown for answer in answers]))

    def _merge_calls(self, answers: list[CallsAnswer]) -> CallsAnswer:
        """Merges calls: each counts once, and is known if any store has it.

        A document may go to one endpoint more than once, so calls are answers apart by their ordinal too.
        """
        best: dict[tuple, Call] = {}
        counts: dict[tuple, int] = {}
        for answer in answers:
            answer_counts: dict[tuple, int] = {}
            for call in answer.calls:
                key = call.sender, call.life, call.doc, call.endpoint
                answer_counts[key] = answer_counts.get(key, 0) + 1
                if answer_counts[key] > counts.get(key, 0):
                    best[(*key, answer_counts[key])] = call
            for key, count in answer_counts.items():
                counts[key] = max(counts.get(key, 0), count)
        return CallsAnswer(
            sorted(best.values()),
            common_unknown([answer.unknown for answer in answers]),
            min(answer.out_ms for answer in answers),
            max(answer.in_ms for answer in answers),
        )

    def calls_after_removal(
        self, endpoint: str, removed_by: int, epoch: str | None = None, grace_ms: float = 0.0
    ) -> CallsAnswer:
        """Merges StoreReader.calls_after_removal()."""
        return self._merge_calls(
            self._query_all(lambda reader: reader.calls_after_removal(endpoint, removed_by, epoch, grace_ms))
        )

    def document_calls(self, doc: str) -> CallsAnswer:
        """Merges StoreReader.document_calls()."""
        return self._merge_calls(self._query_all(lambda reader: reader.document_calls(doc)))

    def late_calls(
        self, number: int, epoch: str | None = None, allowance_ms: float = PROPAGATION_ALLOWANCE_MS
    ) -> CallsAnswer:
        """Merges StoreReader.late_calls()."""
        return self._merge_calls(
            self._query_all(lambda reader: reader.late_calls(number, epoch, allowance_ms))
        )

    def status(self) -> list[SenderStatus]:
        """Merges StoreReader.status(): of each address, the most recent answer counts."""
        best: dict[tuple, SenderStatus] = {}
        for sender in (row for rows in self._query_all(lambda reader: reader.status()) for row in rows):
            known = best.get((sender.sender, sender.at))
            if known is None or known.answered_ms < 0.0 or 0.0 <= sender.answered_ms < known.answered_ms:
                best[sender.sender, sender.at] = sender
        return sorted(best.values())

    def stragglers(self) -> list[Verdict]:
        """Merges StoreReader.stragglers(): verdicts of collectors that are cut off do not count.

        If all collectors are cut off, all verdicts count.
        """
        answers = self._query_all(lambda reader: reader.stragglers())
        connected = [
            verdicts
            for verdicts in answers
            if not any(verdict.sender == "" and verdict.what == lag.KEEPER_CUT_OFF for verdict in verdicts)
        ] or answers
        return sorted(
            {
                (verdict.sender, verdict.what): verdict for verdicts in connected for verdict in verdicts
            }.values()
        )

    def timeline(self, from_ms: float = 0.0, to_ms: float | None = None) -> list[TimelineEvent]:
        """Merges StoreReader.timeline(): an event that several stores have is returned once."""
        seen: dict[tuple, TimelineEvent] = {}
        for event in (
            row for rows in self._query_all(lambda reader: reader.timeline(from_ms, to_ms)) for row in rows
        ):
            seen.setdefault((event.sender, event.what, event.detail), event)
        return sorted(seen.values())

    def findings(self, grace_ms: float = 2000.0) -> list[Finding]:
        """Merges StoreReader.findings(): a finding that several stores have is returned once."""
        seen: dict[tuple, Finding] = {}
        for finding in (
            row for rows in self._query_all(lambda reader: reader.findings(grace_ms)) for row in rows
        ):
            seen.setdefault((finding.kind, finding.sender, finding.detail), finding)
        return sorted(seen.values())


def common_unknown(answers: list[list[UnknownPeriod]]) -> list[UnknownPeriod]:
    """Returns for each sender the periods that are unknown in every one of the answers."""
    common = answers[0]
    for other in answers[1:]:
        common = [
            UnknownPeriod(
                first.sender,
                max(first.from_ms, second.from_ms),
                min(first.to_ms, second.to_ms),
                first.why,
                first.calls if first.calls == second.calls else -1,
            )
            for first in common
            for second in other
            if first.sender == second.sender
            and max(first.from_ms, second.from_ms) < min(first.to_ms, second.to_ms)
        ]
    return sorted(set(common))
