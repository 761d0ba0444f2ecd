"""Days of a fleet drawn from a seed, in virtual time, and the audit held against what the endpoints saw.

Owns the troubles that are drawn, the truth and the comparison. The truth knows nothing of trails: calls are
those that endpoints saw; the list that a sender acted on is worked out from the bytes that reached it.

Allowances, all stated: a call may have begun on any list that its sender held from one dial and one answer's
time before its first byte came (three ways of the network and 5 ms) up to its coming; a call that was begun
and recorded, and never seen, must lie within 3 s before its sender ended or within a trouble of its own.
"""

from __future__ import annotations

import json
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from birchstack.emulator.folder import AFTER, BEFORE, TORN
from birchstack.emulator.rig.parties import Seen
from birchstack.emulator.rig.virtual import DELAY_MS, VirtualRig
from birchstack.emulator.virtual import WALL_MS
from birchstack.fleet.versions import ListContents
from birchstack.keeper.questions import Call, QueryError, StoreReader, UnknownPeriod

DAY_S, REST_S = 7.0, 3.0
EARLIER_MS = 3.0 * DELAY_MS + 5.0
ENDED_MS = 3000.0
SMALL = 16384  # bytes of a trail that is folded within a day
KINDS = (
    "cut",
    "cut one way",
    "held",
    "still",
    "killed",
    "struck",
    "stopped",
    "termed",
    "wall",
    "keeper cut",
    "keeper killed",
    "restored",
    "epoch",
    "disk full",
    "folder lost",
    "reset",
    "rot",
)
MOST = 4  # troubles in a day


@dataclass
class Day:
    """One drawn day and what came of it."""

    seed: int
    senders: int
    kinds: list[str] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)
    figures: Counter = field(default_factory=Counter)


class Truth:
    """Which list each sender held when, by the bytes that reached it."""

    def __init__(self, rig: VirtualRig) -> None:
        self._rig = rig
        self.held: dict[str, list[tuple[float, str]]] = defaultdict(list)  # since when, digest
        self._contents: dict[str, ListContents] = {}
        self._lying: dict[str, list[dict]] = defaultdict(list)
        rig.on_known = self._known
        for name in rig.senders:
            rig.link(name, "list").tap = lambda data, name=name: self._came(name, data)
            rig[name].on_go = lambda name=name: self._goes_on(name)

    def _known(self, name: str, known: dict) -> None:
        self._lying.pop(name, None)
        self._contents[name] = contents = ListContents()
        contents.apply(True, known["targets"])
        self.held[name].append((self._rig.clock.now_ms(), contents.digest()))

    def _goes_on(self, name: str) -> None:
        for told in self._lying.pop(name, ()):
            self._arrived(name, told)

    def _came(self, name: str, data: bytes) -> None:
        line = data.partition(b"\r\n")[2].strip()
        if not line.startswith(b"{") or name not in self._contents:
            return
        self._rig.clock.after(DELAY_MS, self._arrived, name, json.loads(line))

    def _arrived(self, name: str, told: dict) -> None:
        process = self._rig[name]
        if not process.runs:
            return
        if process.loop.still:  # it lies in the kernel until the process goes on
            self._lying[name].append(told)
            return
        contents = self._contents[name].copy()
        contents.apply(told["all"], told["targets"])
        self._contents[name] = contents
        self.held[name].append((self._rig.clock.now_ms(), contents.digest()))

    def lists(self, name: str, from_ms: float, to_ms: float) -> set[str]:
        """The lists held at any moment of that time."""
        rows = self.held[name]
        found = {digest for since, digest in rows if from_ms <= since <= to_ms}
        before = [digest for since, digest in rows if since < from_ms]
        return found | set(before[-1:])


def draw(
    seed: int, most_senders: int = 60, kinds: tuple[str, ...] = KINDS, hot: bool | None = None
) -> tuple[Day, VirtualRig]:
    """kinds: troubles come of these; hot: one sender gets most documents (None: drawn)."""
    chance = random.Random(f"fleet day {seed}")
    senders = min(most_senders, round(5 * (60 / 5) ** chance.random()))
    rig = VirtualRig(
        seed,
        senders,
        chance.choice((1, 1, 2)),
        endpoints=chance.randint(3, 6),
        destinations=chance.randint(1, 3),
        trail_bytes=SMALL if chance.random() < 0.3 or hot else 1_000_000,
    )
    day = Day(seed, senders)
    _arrivals(chance, rig, chance.random() < 0.2 if hot is None else hot)
    _publications(chance, rig)
    for _ in range(chance.randint(0, MOST)):
        kind = chance.choice(kinds)
        day.kinds.append(kind)
        _trouble(chance, rig, kind)
    return day, rig


def _arrivals(chance: random.Random, rig: VirtualRig, hot: bool) -> None:
    """Documents to drawn senders; a hot one now and then, so that a small trail is folded."""
    weights = [1.0] * len(rig.senders)
    rate = 3.0 * len(rig.senders)
    if hot:
        weights[0], rate = 10.0 * len(rig.senders), rate + 200.0
    at, number = 0.5, 0
    while at < DAY_S:
        at += chance.expovariate(rate)
        number += 1
        sender = chance.choices(rig.senders, weights)[0]
        destination = chance.choice(sorted(set(rig.uids.values())))
        rig.stage.after(at * 1000.0, rig.clients.hand_in, sender, f"d{number}", destination, "sync", 3000)


def _publications(chance: random.Random, rig: VirtualRig) -> None:
    for _ in range(chance.randint(1, 5)):
        uid, state = chance.choice([*rig.uids]), chance.choice(("leaving", "left", "active"))
        rig.stage.after(chance.uniform(800.0, DAY_S * 900.0), _publish, rig, uid, state)


def _publish(rig: VirtualRig, uid: str, state: str) -> None:
    now = (rig.list.entries.get(uid) or {"state": "left"})["state"]
    if now != state and (uid in rig.list.entries or uid in rig.list.gone):
        rig.list.publish(**{uid: state})


def _trouble(chance: random.Random, rig: VirtualRig, kind: str) -> None:
    at, lasts = chance.uniform(700.0, DAY_S * 800.0), chance.uniform(100.0, 2500.0)
    many = chance.choice((1, 1, 2, max(1, len(rig.senders) // 3)))
    names = chance.sample(rig.senders, many)
    if kind in ("restored", "epoch"):
        rig.stage.after(at, _restore, rig, chance, kind == "epoch")
    elif kind == "keeper cut":
        keeper = chance.choice(rig.keepers)
        for name in names:
            link = rig.link(keeper, f"{name}:ops")
            rig.stage.after(at, link.cut, chance.choice(("both", "there", "back")))
            rig.stage.after(at + lasts, link.open)
    elif kind == "keeper killed":
        keeper = rig[chance.choice(rig.keepers)]
        rig.stage.after(at, keeper.kill)
        rig.stage.after(at + lasts, keeper.start)
    else:
        for name in names:
            _strike(chance, rig, kind, name, at + chance.uniform(0.0, 300.0), lasts)


def _restore(rig: VirtualRig, chance: random.Random, epoch: bool) -> None:
    number = chance.choice([*rig.list.kept])
    if epoch or number != rig.list.number:
        rig.list.restore(number, f"epoch{chance.randrange(100)}" if epoch else None)


def _strike(chance: random.Random, rig: VirtualRig, kind: str, name: str, at: float, lasts: float) -> None:
    process, link, after = rig[name], rig.link(name, "list"), rig.stage.after
    if kind in ("cut", "cut one way"):
        after(at, link.cut, "both" if kind == "cut" else chance.choice(("there", "back")))
        after(at + lasts, link.open)
    elif kind == "held":
        after(at, link.hold)
        after(at + lasts, link.open)
    elif kind == "reset":
        after(at, link.reset)
    elif kind == "still":
        after(at, rig.list.still.add, name)
        after(at + lasts, rig.list.still.discard, name)
    elif kind in ("killed", "folder lost", "rot"):
        after(at, process.kill)
        if kind == "folder lost":
            after(at + 1.0, _lose, process)
        elif kind == "rot":
            after(at + 1.0, _rot, process, chance.randint(100, 3000))
        after(at + 1.0 + min(lasts, 1500.0), process.start)
    elif kind == "struck":
        after(at, process.kill_at_write, chance.randint(1, 30), chance.choice((BEFORE, TORN, AFTER)))
        after(at + 1500.0, process.kill)  # if too little was written
        after(at + 1600.0, process.start)
    elif kind == "stopped":
        after(at, process.stand, True)
        after(at + lasts, process.stand, False)
    elif kind == "termed":
        after(at, process.term)
        after(at + 3800.0, process.start)
    elif kind == "wall":
        after(at, _step, process, chance.choice((-3600e3, 3600e3, 5e3)))
    elif kind == "disk full":
        after(at, _full, process, True)
        after(at + lasts, _full, process, False)


def _step(process, ms: float) -> None:
    process.stepped_ms += ms


def _full(process, full: bool) -> None:
    process.disk.full = full
    process.lost_disk = True


def _rot(process, back: int) -> None:
    """A byte of the trail turns over, so far before the end of its newest segment."""
    names = sorted(name for name in process.disk.files if name.startswith("trail-") and name[-1].isdigit())
    if names and len(process.disk.files[names[-1]]) > back:
        process.disk.files[names[-1]][-back] ^= 0x55
        process.lost_disk = True


def _lose(process) -> None:
    process.disk.files.clear()
    process.lost_disk = True


def play(seed: int, most_senders: int = 60, kinds: tuple[str, ...] = KINDS, hot: bool | None = None) -> Day:
    day, rig = draw(seed, most_senders, kinds, hot)
    truth = Truth(rig)
    rig.start()
    rig.run(DAY_S)
    for link in [*rig.links.values()]:
        link.open()
    rig.list.still.clear()
    for process in rig.processes.values():
        process.disk.full = False
        process.disk.strike = None
        process.stand(False)
        process.start()
    rig.run(REST_S)
    check(day, rig, truth)
    return day


def check(day: Day, rig: VirtualRig, truth: Truth) -> None:
    for name, process in rig.processes.items():
        day.breaches += [f"{name} failed: {each}" for each in process.faults[:1]]
    seen: dict[tuple, list[Seen]] = defaultdict(list)
    for each in rig.endpoints.calls:
        seen[each.sender, each.doc, each.endpoint].append(each)
    day.figures["calls seen"] = len(rig.endpoints.calls)
    for keeper in rig.keepers:
        rig[keeper].store.commit()
        _check_keeper(day, rig, truth, seen, rig[keeper].reader(), keeper)


def _check_keeper(
    day: Day, rig: VirtualRig, truth: Truth, seen: dict, reader: StoreReader, keeper: str
) -> None:
    known: dict[tuple, list[Call]] = defaultdict(list)
    for each in reader._calls("c.endpoint IS NOT NULL"):
        known[each.sender, each.doc, each.endpoint].append(each)
    gaps = defaultdict(list)
    for each in reader.unknown_periods():
        gaps[each.sender].append(each)
    day.figures["gaps"] += sum(each.why != "not heard of since" for rows in gaps.values() for each in rows)
    may_lose = {name for name in rig.senders if _lost(rig, name)}
    folds = rig.fleet_file.trail.bytes == SMALL
    for name in rig.senders:
        for each in gaps[name]:
            if each.why == "not heard of since" and each.to_ms - each.from_ms < 1500.0:
                continue
            if name not in may_lose and not (folds and each.why.startswith("folded")):
                day.breaches.append(f"{keeper}: {name} unknown without a cause: {each}")
    for key, rows in seen.items():
        mine = sorted(known.get(key, ()))
        missing = len(rows) - len(mine)
        if missing > 0:
            covered = sum(_covered(gaps[key[0]], WALL_MS + each.at_ms) for each in rows)
            day.figures["seen, unknown"] += missing
            if covered < missing:
                day.breaches.append(
                    f"{keeper}: {key} was seen {len(rows)} times and is known {len(mine)} times"
                )
            continue
        if missing == 0:  # each in turn: the list that it began on
            for call, row in zip(mine, sorted(rows, key=lambda each: each.at_ms), strict=True):
                day.figures["versions compared"] += 1
                held = truth.lists(key[0], row.at_ms - EARLIER_MS - _stood(rig, key[0], row.at_ms), row.at_ms)
                if call.digest not in held:
                    day.breaches.append(
                        f"{keeper}: {key} at {row.at_ms:.1f} on {call.digest[:8]}, held "
                        f"{sorted(each[:8] for each in held)}"
                    )
    for key, rows in known.items():
        extra = len(rows) - len(seen.get(key, ()))
        if extra > 0:
            day.figures["begun, never seen"] += extra
            if not any(_ended_after(rig, key[0], each.at_ms - WALL_MS) for each in rows):
                day.breaches.append(f"{keeper}: {key} is known {len(rows)} times, seen {len(rows) - extra}")
    _check_totals(day, rig, reader, seen, gaps, keeper)
    _check_after(day, rig, reader, seen, gaps, keeper)


def _lost(rig: VirtualRig, name: str) -> bool:
    return rig[name].lost_disk


def _covered(gaps: list[UnknownPeriod], at_ms: float) -> bool:
    return any(each.from_ms - 20.0 <= at_ms <= each.to_ms + 50.0 for each in gaps)


def _stood(rig: VirtualRig, name: str, at_ms: float) -> float:
    """How long the sender stood still shortly before: a call may have begun before that."""
    stops = [when for what, when in rig[name].lives if what == "stopped" and when <= at_ms]
    goes = [when for what, when in rig[name].lives if what == "let go" and when <= at_ms]
    if stops and goes and at_ms - goes[-1] < 100.0:
        return goes[-1] - stops[-1] + 100.0
    return 0.0


def _ended_after(rig: VirtualRig, name: str, at_ms: float) -> bool:
    """The sender was killed, ended or stopped soon after."""
    return any(
        what in ("killed", "ended", "stopped") and at_ms - 1.0 <= when <= at_ms + ENDED_MS
        for what, when in rig[name].lives
    )


def _check_totals(
    day: Day, rig: VirtualRig, reader: StoreReader, seen: dict, gaps: dict, keeper: str
) -> None:
    """All stretches together, folded ones too, come to what the endpoints saw."""
    sums = dict(reader.db.execute("SELECT sender, sum(calls) FROM stretch GROUP BY sender").fetchall())
    for name in rig.senders:
        many = sum(len(rows) for key, rows in seen.items() if key[0] == name)
        extra = sums.get(name, 0) - many
        ends = sum(what in ("killed", "ended", "stopped") for what, _ in rig[name].lives)
        if extra < 0 and not _lost(rig, name) or extra > 40 * ends:
            day.breaches.append(
                f"{keeper}: {name} made {many} calls, its stretches come to {sums.get(name, 0)}"
            )


def _check_after(day: Day, rig: VirtualRig, reader: StoreReader, seen: dict, gaps: dict, keeper: str) -> None:
    """For each endpoint taken out: exactly the calls that came to it while it was out."""
    for published in reader.published_versions():
        rows = reader.db.execute(
            "SELECT endpoint FROM change WHERE published=? AND state!='active'", (published.id,)
        ).fetchall()
        for (endpoint,) in rows:
            try:
                told = reader.calls_after_removal(endpoint, published.number, published.epoch)
            except QueryError:
                continue
            begin, end = told.out_ms - WALL_MS, (told.in_ms or reader.now_ms) - WALL_MS
            named = Counter((each.sender, each.doc) for each in told.calls)
            sure, may = Counter(), Counter()  # calls under way as the news came may count or not
            for (sender, doc, uid), calls in seen.items():
                if uid == endpoint:
                    for each in calls:
                        slack = EARLIER_MS + _stood(rig, sender, each.at_ms)
                        may[sender, doc] += begin < each.at_ms < end + slack
                        sure[sender, doc] += begin + slack < each.at_ms < end
            day.figures["out questions"] += 1
            for key, count in sure.items():
                if (
                    named[key] < count
                    and not _covered(gaps[key[0]], told.out_ms)
                    and not any(_covered(gaps[key[0]], WALL_MS + each.at_ms) for each in seen[*key, endpoint])
                ):
                    day.breaches.append(
                        f"{keeper}: {key} called {endpoint} while it was out, and is not named"
                    )
            for key, count in named.items():
                if count > may[key] and not _ended_after(
                    rig,
                    key[0],
                    min(each.at_ms for each in told.calls if (each.sender, each.doc) == key) - WALL_MS,
                ):
                    day.breaches.append(
                        f"{keeper}: {key} is named for {endpoint}, and did not call it while out"
                    )
