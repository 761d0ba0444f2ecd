"""Questions to keepers' stores, and their answers as values.

Owns what each question means. Reads only; several stores are asked one by one and their answers put together:
a call that any of them has is known, and a time is unknown only where none of them has it. An answer that
rests on a gap says from when to when nothing is known; it never says "no" for that time. Times: the keeper's,
in milliseconds of Unix time.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Callable

import msgspec

from birchstack.fleet import lag, wire
from birchstack.fleet.versions import LIST, Version

SLACK_MS = 50.0  # news that is on its way: the list service to the keeper or a sender


class AskError(Exception):
    """What cannot be answered, and why."""


class Unknown(msgspec.Struct, frozen=True, order=True):
    """Nothing, or less than was asked, is known of this sender in this time. calls: those known to have begun
    in it without being named; -1: not even how many."""

    sender: str
    from_ms: float
    to_ms: float
    why: str
    calls: int = -1


class Stretch(msgspec.Struct, frozen=True, order=True):
    """A sender acted on one list. open: it still does, as far as is known."""

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
    """One call that began, or (endpoint None) a document that was abandoned."""

    at_ms: float
    sender: str
    doc: str
    endpoint: str | None
    epoch: str
    number: int | None
    digest: str
    life: str
    past_ms: float = 0.0  # beyond what was asked about


class Acted(msgspec.Struct, frozen=True):
    stretches: list[Stretch]
    unknown: list[Unknown]


class Calls(msgspec.Struct, frozen=True):
    """out_ms, in_ms: between which the calls count (in_ms 0: until now)."""

    calls: list[Call]
    unknown: list[Unknown]
    out_ms: float = 0.0
    in_ms: float = 0.0


class Sender(msgspec.Struct, frozen=True, order=True):
    """age_ms: of the picture. behind: versions that its list is behind the newest; behind_ms: for how long
    there has been a newer one; -1 where there is no newest."""

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
    kind: str
    sender: str
    detail: str
    at_ms: float = 0.0


class Verdict(msgspec.Struct, frozen=True, order=True):
    """A keeper's verdict on a sender ("" on the fleet as a whole), and what it rests on."""

    sender: str
    what: str
    evidence: str
    since_ms: float
    at_ms: float


class TimelineEvent(msgspec.Struct, frozen=True, order=True):
    """One row of the timeline; at_ms: the keeper's time."""

    at_ms: float
    sender: str
    what: str
    detail: str


class Published(msgspec.Struct, frozen=True):
    id: int
    epoch: str
    number: int
    digest: str
    ord: str
    source: str
    at_ms: float

    def version(self) -> Version:
        return Version(LIST, self.source, self.epoch, self.number, self.digest)


class Reader:
    """One keeper's store, read only."""

    def __init__(
        self, db: sqlite3.Connection, now_ms: float, silent_ms: float = 10_000.0, behind_ms: float = 10_000.0
    ) -> None:
        self.db, self.now, self.silent, self.behind = db, now_ms, silent_ms, behind_ms
        self._clocks = {
            boot: (offset, error)
            for boot, offset, error in self._rows("SELECT boot, offset_ms, error_ms FROM clock")
        }
        self._walls = dict(self._rows("SELECT boot, min(wall_ms - steady_ms) FROM life GROUP BY boot"))

    def _rows(self, text: str, *words: object) -> list[tuple]:
        return self.db.execute(text, words).fetchall()

    def at(self, boot: str, steady_ms: float) -> float:
        """The keeper's time; by the sender's own wall clock for a boot that no keeper ever met."""
        offset, _ = self._clocks.get(boot, (self._walls.get(boot, 0.0), 0.0))
        return steady_ms + offset

    def steady(self, boot: str, at_ms: float) -> float:
        return at_ms - self.at(boot, 0.0)

    # What is not known

    def unknown(
        self, from_ms: float = 0.0, to_ms: float | None = None, singles: bool = True
    ) -> list[Unknown]:
        """singles: single calls are asked for, so what is folded counts too."""
        to_ms, found = self.now if to_ms is None else to_ms, []
        for sender, boot, begin, end, why, calls, totals in self._rows(
            "SELECT sender, boot, from_ms, to_ms, why, calls, totals FROM gap"
        ):
            if not totals or singles:
                found.append(Unknown(sender, self.at(boot, begin), self.at(boot, end), why, calls))
        for sender, boot, complete in self._rows(
            "SELECT sender, boot, max(complete_ms) FROM door WHERE sender IS NOT NULL "
            "AND complete_ms IS NOT NULL GROUP BY sender, boot"
        ):
            found.append(Unknown(sender, self.at(boot, complete), self.now, "not heard of since"))
        known = {
            each[0] for each in self._rows("SELECT DISTINCT sender FROM door WHERE complete_ms NOT NULL")
        }
        for at, sender in self._rows("SELECT at, sender FROM door"):
            if sender not in known:
                found.append(Unknown(sender or at, 0.0, self.now, "never heard of"))
        last: dict[str, Unknown] = {}
        for each in sorted(found, key=lambda each: each.from_ms):  # an older boot's end is no gap: it went on
            if each.why == "not heard of since":
                last[each.sender] = each
        return sorted(
            {
                each
                for each in found
                if each.from_ms < to_ms
                and each.to_ms > from_ms
                and (each.why != "not heard of since" or each is last[each.sender])
            }
        )

    # Lists

    def published(self) -> list[Published]:
        return [
            Published(*row)
            for row in self._rows(
                "SELECT id, epoch, number, digest, ord, source, at_ms FROM published ORDER BY id"
            )
        ]

    def of_number(self, number: int, epoch: str | None) -> list[Published]:
        return [
            each
            for each in self.published()
            if each.number == number and (epoch is None or each.epoch == epoch)
        ]

    # Questions

    def acted(self, number: int, epoch: str | None = None) -> Acted:
        open_now = {
            (trail, msgspec.msgpack.decode(state)[4])
            for trail, state in self._rows(
                "SELECT trail, state FROM door WHERE state IS NOT NULL AND next > 1"
            )
        }
        ended = {life for (life,) in self._rows("SELECT life FROM life WHERE ended_ms IS NOT NULL")}
        complete = dict(self._rows("SELECT boot || sender, max(complete_ms) FROM door GROUP BY boot, sender"))
        found = []
        for (
            trail,
            at,
            sender,
            life,
            boot,
            has,
            digest,
            versions,
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
            if mixed or epoch is not None and has != epoch:
                continue
            is_open = (trail, at) in open_now and life not in ended
            if is_open:
                end = max(end, complete.get(boot + sender) or end)
            words = msgspec.msgpack.decode(versions, type=dict[str, Version])
            found.append(
                Stretch(
                    sender,
                    self.at(boot, begin),
                    self.at(boot, end),
                    life,
                    has,
                    number,
                    digest,
                    calls,
                    rejected,
                    abandoned,
                    is_open,
                    *(words[kind].digest[:8] if kind in words else "" for kind in ("settings", "decisions")),
                )
            )
        mixed = [
            Unknown(sender or "?", self.at(boot, begin), self.at(boot, end), "stretches put together", calls)
            for sender, boot, begin, end, calls in self._rows(
                "SELECT sender, boot, from_ms, to_ms, calls FROM stretch WHERE mixed AND list IS NULL"
            )
        ]
        begin = min((each.at_ms for each in self.of_number(number, epoch)), default=0.0)
        return Acted(sorted(found), sorted({*self.unknown(begin, singles=False), *mixed}))

    def _calls(self, where: str, *words: object) -> list[Call]:
        return [
            Call(self.at(boot, at), sender, doc, endpoint, epoch, number, digest, life)
            for at, sender, doc, endpoint, epoch, number, digest, life, boot in self._rows(
                "SELECT c.at_ms, s.sender, c.doc, c.endpoint, s.epoch, s.list, s.digest, s.life, s.boot "
                f"FROM call c JOIN stretch s ON s.id=c.stretch WHERE {where}",
                *words,
            )
        ]

    def after(self, endpoint: str, out_at: int, epoch: str | None = None, grace_ms: float = 0.0) -> Calls:
        """Calls to an endpoint begun later than grace_ms after the version came into force that took it out,
        up to when a later version puts it back."""
        changes = [
            (Published(*row[:-1]), row[-1])
            for row in self._rows(
                "SELECT p.id, p.epoch, p.number, p.digest, p.ord, p.source, p.at_ms, c.state FROM change c "
                "JOIN published p ON p.id=c.published WHERE c.endpoint=? ORDER BY p.id",
                endpoint,
            )
        ]
        outs = [
            each
            for each, state in changes
            if each.number == out_at
            and state in ("leaving", "left")
            and (epoch is None or each.epoch == epoch)
        ]
        if not outs:
            told = ", ".join(f"{each.number}: {state}" for each, state in changes) or "none"
            raise AskError(f"{endpoint} was not taken out by list {out_at} (its changes: {told})")
        out = outs[0]
        back = next((each.at_ms for each, state in changes if each.id > out.id and state == "active"), 0.0)
        begin, end = out.at_ms + grace_ms, back or self.now
        found = []
        for boot in {row[0] for row in self._rows("SELECT DISTINCT boot FROM stretch")}:
            found += self._calls(
                "c.endpoint=? AND s.boot=? AND c.at_ms > ? AND c.at_ms < ?",
                endpoint,
                boot,
                self.steady(boot, begin),
                self.steady(boot, end),
            )
        calls = [msgspec.structs.replace(each, past_ms=each.at_ms - begin) for each in found]
        return Calls(sorted(calls), self.unknown(begin, end), begin, back)

    def document(self, doc: str) -> Calls:
        return Calls(sorted(self._calls("c.doc=?", doc)), self.unknown())

    def late(self, number: int, epoch: str | None = None, slack_ms: float = SLACK_MS) -> Calls:
        """Calls begun on a list when a later one had been in force for slack_ms."""
        published = self.published()
        mine = [
            at
            for at, each in enumerate(published)
            if each.number == number and (epoch is None or each.epoch == epoch)
        ]
        if not mine:
            raise AskError(f"list {number} was never given out while this keeper followed the list service")
        if mine[-1] + 1 == len(published):
            return Calls([], [])  # it is still in force
        begin = published[mine[-1] + 1].at_ms + slack_ms
        found = []
        for boot in {row[0] for row in self._rows("SELECT DISTINCT boot FROM stretch")}:
            found += self._calls(
                "s.list=? AND s.boot=? AND c.at_ms > ? AND c.endpoint IS NOT NULL",
                number,
                boot,
                self.steady(boot, begin),
            )
        calls = [
            msgspec.structs.replace(each, past_ms=each.at_ms - begin)
            for each in found
            if epoch is None or each.epoch == epoch
        ]
        return Calls(sorted(calls), self.unknown(begin), begin)

    def status(self) -> list[Sender]:
        published, found = self.published(), []
        newest = published[-1] if published else None
        for at, sender, boot, complete, answered, kept in self._rows(
            "SELECT at, sender, boot, complete_ms, answered_ms, piece FROM door"
        ):
            if kept is None:
                found.append(
                    Sender(
                        sender or "?", at, "", False, False, "", -1, -1.0, -1.0, -1.0, -1.0, False, "", "", 0
                    )
                )
                continue
            piece = wire.decode(kept)
            held = piece.versions.get(LIST)
            behind, behind_ms = self._behind(published, newest, held)
            found.append(
                Sender(
                    sender,
                    at,
                    piece.life,
                    piece.holds,
                    piece.ready,
                    str(held) if held else "none",
                    behind,
                    behind_ms,
                    self.now - self.at(boot, complete) if complete else -1.0,
                    self.now - answered,
                    piece.heard_ms,
                    piece.failing,
                    *(
                        str(piece.versions[kind].digest[:8]) if kind in piece.versions else ""
                        for kind in ("settings", "decisions")
                    ),
                    piece.held,
                )
            )
        return sorted(found)

    def _behind(
        self, published: list[Published], newest: Published | None, held: Version | None
    ) -> tuple[int, float]:
        if newest is None:
            return -1, -1.0
        if held and (held.epoch, held.number, held.digest) == (newest.epoch, newest.number, newest.digest):
            return 0, 0.0
        at = next(
            (
                at
                for at in range(len(published) - 1, -1, -1)
                if held
                and (published[at].epoch, published[at].number, published[at].digest)
                == (held.epoch, held.number, held.digest)
            ),
            None,
        )
        since = published[at + 1 if at is not None else 0].at_ms
        return len(published) - 1 - at if at is not None else len(published), self.now - since

    def verdicts(self) -> list[Verdict]:
        """Every change of a verdict, oldest first."""
        return [
            Verdict(*row)
            for row in self._rows("SELECT sender, what, evidence, since_ms, at_ms FROM verdict ORDER BY id")
        ]

    def stragglers(self) -> list[Verdict]:
        """Those that do not stand well now; the fleet as a whole first, if it does not."""
        last = {each.sender: each for each in self.verdicts()}
        return sorted(each for each in last.values() if each.what != lag.HEALTHY)

    def timeline(self, from_ms: float = 0.0, to_ms: float | None = None) -> list[TimelineEvent]:
        found = [
            TimelineEvent(each.at_ms, "list service", "published", f"{each.version()} {each.ord}")
            for each in self.published()
        ]
        for sender, boot, at, life in self._rows("SELECT sender, boot, steady_ms, life FROM life"):
            found.append(TimelineEvent(self.at(boot, at), sender, "began", f"life {life}"))
        for sender, boot, at, life in self._rows(
            "SELECT sender, boot, ended_ms, life FROM life WHERE ended_ms IS NOT NULL"
        ):
            found.append(TimelineEvent(self.at(boot, at), sender, "ended", f"life {life}"))
        for sender, boot, at, kind, origin, epoch, number, digest, order, source, taken in self._rows(
            "SELECT sender, boot, steady_ms, kind, origin, epoch, version, digest, ord, source, taken "
            "FROM adoption"
        ):
            found.append(
                TimelineEvent(
                    self.at(boot, at),
                    sender,
                    "adopted" if taken else "did not take",
                    f"{kind} {Version(kind, origin, epoch, number, digest)} {order} from {source}",
                )
            )
        found += [
            TimelineEvent(each.at_ms, each.sender or "the fleet", "verdict", f"{each.what}: {each.evidence}")
            for each in self.verdicts()
        ]
        for each in self.unknown():
            found.append(
                TimelineEvent(
                    each.from_ms,
                    each.sender,
                    "unknown",
                    f"{each.why}, for {(each.to_ms - each.from_ms) / 1000.0:.1f} s",
                )
            )
        found += [
            TimelineEvent(each.at_ms, each.sender, "finding", f"{each.kind}: {each.detail}")
            for each in self.findings()
        ]
        to_ms = self.now if to_ms is None else to_ms
        return sorted(each for each in found if from_ms <= each.at_ms <= to_ms)

    def findings(self, grace_ms: float = 2000.0) -> list[Finding]:
        found = [Finding(*row) for row in self._rows("SELECT kind, sender, detail, at_ms FROM finding")]
        published = self.published()
        digests = {(each.epoch, each.number, each.digest) for each in published}
        numbers = {(each.epoch, each.number) for each in published}
        for sender, epoch, number, digest, boot, at in self._rows(
            "SELECT sender, epoch, version, digest, boot, min(steady_ms) FROM adoption WHERE kind='list' "
            "AND taken GROUP BY sender, epoch, version, digest"
        ):
            if (epoch, number) in numbers and (epoch, number, digest) not in digests:
                found.append(
                    Finding(
                        "contents differ",
                        sender,
                        f"list {number}@{digest[:8]} is not what the list service gave out under that number",
                        self.at(boot, at),
                    )
                )
        for each in self.status():
            if each.answered_ms < 0.0 or each.answered_ms > self.silent:
                found.append(Finding("silent", each.sender, f"{each.at} has not answered", self.now))
            elif each.holds and each.behind and each.behind_ms > self.behind:
                beats = ", its watch beats" if each.heard_ms < self.behind else ""
                found.append(
                    Finding(
                        "behind",
                        each.sender,
                        f"acts on {each.list}, {each.behind} behind for "
                        f"{each.behind_ms / 1000.0:.0f} s{beats}",
                        self.now,
                    )
                )
        found += self._called_after_out(grace_ms)
        return sorted(found)

    def _called_after_out(self, grace_ms: float) -> list[Finding]:
        found, seen = [], set()
        for number, epoch, endpoint in self._rows(
            "SELECT p.number, p.epoch, c.endpoint FROM change c JOIN published p ON p.id=c.published "
            "WHERE c.state IN ('leaving', 'left') ORDER BY p.id"
        ):
            if endpoint in seen:
                continue
            seen.add(endpoint)
            told = self.after(endpoint, number, epoch, grace_ms)
            for sender in sorted({each.sender for each in told.calls}):
                mine = [each for each in told.calls if each.sender == sender]
                found.append(
                    Finding(
                        "called after out",
                        sender,
                        f"{len(mine)} calls to {endpoint}, out at list "
                        f"{number}, up to {max(each.past_ms for each in mine) / 1000.0:.1f} s past "
                        "the grace",
                        mine[0].at_ms,
                    )
                )
        return found


class Stores:
    """One or several keepers' stores as one."""

    def __init__(self, paths: list[str], now_ms: float | None = None, **words: float) -> None:
        self.readers = []
        for path in paths:
            try:
                db = sqlite3.connect(f"file:{path}?mode=ro", uri=True)
                db.execute("SELECT 1 FROM meta")
            except sqlite3.Error as problem:
                raise AskError(f"{path}: {problem}") from problem
            self.readers.append(Reader(db, time.time() * 1000.0 if now_ms is None else now_ms, **words))

    def _each(self, ask: Callable[[Reader], object]) -> list:
        found, problem = [], None
        for reader in self.readers:
            try:
                found.append(ask(reader))
            except AskError as said:
                problem = said
        if not found:
            raise problem
        return found

    def acted(self, number: int, epoch: str | None = None) -> Acted:
        told = self._each(lambda reader: reader.acted(number, epoch))
        best: dict[tuple, Stretch] = {}
        for each in (stretch for answer in told for stretch in answer.stretches):
            key = each.sender, each.life, each.digest, round(each.from_ms / 1000.0)
            had = best.get(key)
            if had is None or (each.calls, each.to_ms) > (had.calls, had.to_ms):
                best[key] = each
        return Acted(sorted(best.values()), both([answer.unknown for answer in told]))

    def _together(self, told: list[Calls]) -> Calls:
        best: dict[tuple, Call] = {}
        many: dict[tuple, int] = {}
        for answer in told:
            here: dict[tuple, int] = {}
            for each in answer.calls:  # a document may go to one endpoint twice: the how-manieth counts
                key = each.sender, each.life, each.doc, each.endpoint
                here[key] = here.get(key, 0) + 1
                if here[key] > many.get(key, 0):
                    best[(*key, here[key])] = each
            for key, count in here.items():
                many[key] = max(many.get(key, 0), count)
        return Calls(
            sorted(best.values()),
            both([answer.unknown for answer in told]),
            min(answer.out_ms for answer in told),
            max(answer.in_ms for answer in told),
        )

    def after(self, endpoint: str, out_at: int, epoch: str | None = None, grace_ms: float = 0.0) -> Calls:
        return self._together(self._each(lambda reader: reader.after(endpoint, out_at, epoch, grace_ms)))

    def document(self, doc: str) -> Calls:
        return self._together(self._each(lambda reader: reader.document(doc)))

    def late(self, number: int, epoch: str | None = None, slack_ms: float = SLACK_MS) -> Calls:
        return self._together(self._each(lambda reader: reader.late(number, epoch, slack_ms)))

    def status(self) -> list[Sender]:
        best: dict[tuple, Sender] = {}
        for each in (row for rows in self._each(lambda reader: reader.status()) for row in rows):
            had = best.get((each.sender, each.at))
            if had is None or had.answered_ms < 0.0 or 0.0 <= each.answered_ms < had.answered_ms:
                best[each.sender, each.at] = each
        return sorted(best.values())

    def stragglers(self) -> list[Verdict]:
        """A sender is one where any keeper that is not itself cut off says so."""
        told = self._each(lambda reader: reader.stragglers())
        sound = [
            rows
            for rows in told
            if not any(each.sender == "" and each.what == lag.KEEPER_CUT_OFF for each in rows)
        ] or told
        return sorted({(each.sender, each.what): each for rows in sound for each in rows}.values())

    def timeline(self, from_ms: float = 0.0, to_ms: float | None = None) -> list[TimelineEvent]:
        seen: dict[tuple, TimelineEvent] = {}
        for each in (
            row for rows in self._each(lambda reader: reader.timeline(from_ms, to_ms)) for row in rows
        ):
            seen.setdefault((each.sender, each.what, each.detail), each)
        return sorted(seen.values())

    def findings(self, grace_ms: float = 2000.0) -> list[Finding]:
        seen: dict[tuple, Finding] = {}
        for each in (row for rows in self._each(lambda reader: reader.findings(grace_ms)) for row in rows):
            seen.setdefault((each.kind, each.sender, each.detail), each)
        return sorted(seen.values())


def both(told: list[list[Unknown]]) -> list[Unknown]:
    """What every one of them does not know: for each sender, the times that are unknown in all."""
    left = told[0]
    for more in told[1:]:
        left = [
            Unknown(
                a.sender,
                max(a.from_ms, b.from_ms),
                min(a.to_ms, b.to_ms),
                a.why,
                a.calls if a.calls == b.calls else -1,
            )
            for a in left
            for b in more
            if a.sender == b.sender and max(a.from_ms, b.from_ms) < min(a.to_ms, b.to_ms)
        ]
    return sorted(set(left))
