"""Randomized tests of the fleet's audit in virtual time.

Draws faults from a seed and compares the audit with what the endpoints saw. The comparison does not use the
trails: calls are those that endpoints saw, and the list that a sender acted on follows from the bytes that
reached it.

Tolerances: a call may have begun on any list that its sender held from BEGIN_TOLERANCE_MS (one dial and one
answer) before its first byte arrived until it arrived. A call that was recorded but never seen must lie
within ENDED_SOON_MS before its sender ended or paused.
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

RUN_S = 7.0
SETTLE_S = 3.0  # time without faults after the run
BEGIN_TOLERANCE_MS = 3.0 * DELAY_MS + 5.0  # a dial and an answer: three one-way delays, and 5 ms
ENDED_SOON_MS = 3000.0  # a recorded call that no endpoint saw was lost with its process within this
SMALL_TRAIL_BYTES = 16384  # a trail of this size is folded within a run
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
MAX_FAULTS = 4  # faults in a run


@dataclass
class Day:
    """One run with drawn faults, its violations and its figures."""

    seed: int
    senders: int
    kinds: list[str] = field(default_factory=list)
    breaches: list[str] = field(default_factory=list)
    figures: Counter = field(default_factory=Counter)


class HeldLists:
    """Tracks which list each sender held at which time, from the bytes that reached it."""

    def __init__(self, rig: VirtualRig) -> None:
        self._rig = rig
        self.held: dict[str, list[tuple[float, str]]] = defaultdict(list)  # time since when, digest
        self._contents: dict[str, ListContents] = {}
        self._unread: dict[str, list[dict]] = defaultdict(list)
        rig.on_sender_start = self._on_sender_start
        for name in rig.senders:
            rig.link(name, "list").tap = lambda data, name=name: self._on_bytes(name, data)
            rig[name].on_resume = lambda name=name: self._on_resume(name)

    def _on_sender_start(self, name: str, known: dict) -> None:
        """A sender starts with a saved list."""
        self._unread.pop(name, None)
        self._contents[name] = contents = ListContents()
        contents.apply(True, known["targets"])
        self.held[name].append((self._rig.clock.now_ms(), contents.digest()))

    def _on_resume(self, name: str) -> None:
        """A paused sender continues and reads what arrived meanwhile."""
        for update in self._unread.pop(name, ()):
            self._apply(name, update)

    def _on_bytes(self, name: str, data: bytes) -> None:
        """Bytes were sent to a sender; an update arrives after the network's delay."""
        body = data.partition(b"\r\n")[2].strip()
        if not body.startswith(b"{") or name not in self._contents:
            return
        self._rig.clock.after(DELAY_MS, self._apply, name, json.loads(body))

    def _apply(self, name: str, update: dict) -> None:
        """Applies an update that arrived at a sender."""
        process = self._rig[name]
        if not process.runs:
            return
        if process.loop.paused:  # the kernel buffers it until the process continues
            self._unread[name].append(update)
            return
        contents = self._contents[name].copy()
        contents.apply(update["all"], update["targets"])
        self._contents[name] = contents
        self.held[name].append((self._rig.clock.now_ms(), contents.digest()))

    def held_between(self, name: str, from_ms: float, to_ms: float) -> set[str]:
        """Returns the digests of the lists that a sender held at any time of a period."""
        rows = self.held[name]
        found = {digest for since, digest in rows if from_ms <= since <= to_ms}
        before = [digest for since, digest in rows if since < from_ms]
        return found | set(before[-1:])


def draw(
    seed: int, most_senders: int = 60, kinds: tuple[str, ...] = KINDS, hot: bool | None = None
) -> tuple[Day, VirtualRig]:
    """Draws a run from a seed and schedules its documents, publications and faults.

    kinds: the kinds of fault to draw from. hot: whether one sender gets most documents (None: drawn).
    """
    generator = random.Random(f"fleet day {seed}")
    senders = min(most_senders, round(5 * (60 / 5) ** generator.random()))
    rig = VirtualRig(
        seed,
        senders,
        generator.choice((1, 1, 2)),
        endpoints=generator.randint(3, 6),
        destinations=generator.randint(1, 3),
        trail_bytes=SMALL_TRAIL_BYTES if generator.random() < 0.3 or hot else 1_000_000,
    )
    day = Day(seed, senders)
    _schedule_documents(generator, rig, generator.random() < 0.2 if hot is None else hot)
    _schedule_publications(generator, rig)
    for _ in range(generator.randint(0, MAX_FAULTS)):
        kind = generator.choice(kinds)
        day.kinds.append(kind)
        _schedule_fault(generator, rig, kind)
    return day, rig


def _schedule_documents(generator: random.Random, rig: VirtualRig, hot: bool) -> None:
    """Schedules documents to random senders.

    A hot sender gets most of them, so that a small trail is folded.
    """
    weights = [1.0] * len(rig.senders)
    rate = 3.0 * len(rig.senders)
    if hot:
        weights[0] = 10.0 * len(rig.senders)
        rate = rate + 200.0
    at = 0.5
    number = 0
    while at < RUN_S:
        at += generator.expovariate(rate)
        number += 1
        sender = generator.choices(rig.senders, weights)[0]
        destination = generator.choice(sorted(set(rig.uids.values())))
        rig.stage.after(at * 1000.0, rig.clients.hand_in, sender, f"d{number}", destination, "sync", 3000)


def _schedule_publications(generator: random.Random, rig: VirtualRig) -> None:
    """Schedules changes of the endpoint list."""
    for _ in range(generator.randint(1, 5)):
        uid = generator.choice([*rig.uids])
        state = generator.choice(("leaving", "left", "active"))
        rig.stage.after(generator.uniform(800.0, RUN_S * 900.0), _publish, rig, uid, state)


def _publish(rig: VirtualRig, uid: str, state: str) -> None:
    """Publishes an endpoint's state, unless it has that state or is unknown."""
    current = (rig.list.entries.get(uid) or {"state": "left"})["state"]
    if current != state and (uid in rig.list.entries or uid in rig.list.removed):
        rig.list.publish(**{uid: state})


def _schedule_fault(generator: random.Random, rig: VirtualRig, kind: str) -> None:
    """Schedules one fault."""
    at = generator.uniform(700.0, RUN_S * 800.0)
    duration_ms = generator.uniform(100.0, 2500.0)
    count = generator.choice((1, 1, 2, max(1, len(rig.senders) // 3)))
    names = generator.sample(rig.senders, count)
    if kind in ("restored", "epoch"):
        rig.stage.after(at, _restore, rig, generator, kind == "epoch")
    elif kind == "keeper cut":
        keeper = generator.choice(rig.keepers)
        for name in names:
            link = rig.link(keeper, f"{name}:ops")
            rig.stage.after(at, link.cut, generator.choice(("both", "there", "back")))
            rig.stage.after(at + duration_ms, link.open)
    elif kind == "keeper killed":
        keeper = rig[generator.choice(rig.keepers)]
        rig.stage.after(at, keeper.kill)
        rig.stage.after(at + duration_ms, keeper.start)
    else:
        for name in names:
            _schedule_sender_fault(
                generator, rig, kind, name, at + generator.uniform(0.0, 300.0), duration_ms
            )


def _restore(rig: VirtualRig, generator: random.Random, epoch: bool) -> None:
    """Restores a saved version of the list."""
    number = generator.choice([*rig.list.saved])
    if epoch or number != rig.list.number:
        rig.list.restore(number, f"epoch{generator.randrange(100)}" if epoch else None)


def _schedule_sender_fault(
    generator: random.Random, rig: VirtualRig, kind: str, name: str, at: float, duration_ms: float
) -> None:
    """Schedules a fault of one sender's process, disk or link to the list."""
    process = rig[name]
    link = rig.link(name, "list")
    after = rig.stage.after
    if kind in ("cut", "cut one way"):
        after(at, link.cut, "both" if kind == "cut" else generator.choice(("there", "back")))
        after(at + duration_ms, link.open)
    elif kind == "held":
        after(at, link.hold)
        after(at + duration_ms, link.open)
    elif kind == "reset":
        after(at, link.reset)
    elif kind == "still":
        after(at, rig.list.frozen.add, name)
        after(at + duration_ms, rig.list.frozen.discard, name)
    elif kind in ("killed", "folder lost", "rot"):
        after(at, process.kill)
        if kind == "folder lost":
            after(at + 1.0, _lose_folder, process)
        elif kind == "rot":
            after(at + 1.0, _corrupt_trail, process, generator.randint(100, 3000))
        after(at + 1.0 + min(duration_ms, 1500.0), process.start)
    elif kind == "struck":
        after(at, process.kill_at_write, generator.randint(1, 30), generator.choice((BEFORE, TORN, AFTER)))
        after(at + 1500.0, process.kill)  # in case it wrote too little
        after(at + 1600.0, process.start)
    elif kind == "stopped":
        after(at, process.stand, True)
        after(at + duration_ms, process.stand, False)
    elif kind == "termed":
        after(at, process.term)
        after(at + 3800.0, process.start)
    elif kind == "wall":
        after(at, _step_clock, process, generator.choice((-3600e3, 3600e3, 5e3)))
    elif kind == "disk full":
        after(at, _set_disk_full, process, True)
        after(at + duration_ms, _set_disk_full, process, False)


def _step_clock(process, ms: float) -> None:
    """Steps the wall clock of a process."""
    process.stepped_ms += ms


def _set_disk_full(process, full: bool) -> None:
    process.disk.full = full
    process.lost_disk = True


def _corrupt_trail(process, offset: int) -> None:
    """Inverts bits of one byte in the newest segment of the trail, at an offset from its end."""
    names = sorted(name for name in process.disk.files if name.startswith("trail-") and name[-1].isdigit())
    if names and len(process.disk.files[names[-1]]) > offset:
        process.disk.files[names[-1]][-offset] ^= 0x55
        process.lost_disk = True


def _lose_folder(process) -> None:
    process.disk.files.clear()
    process.lost_disk = True


def play(seed: int, most_senders: int = 60, kinds: tuple[str, ...] = KINDS, hot: bool | None = None) -> Day:
    """Draws a run, runs it, ends all faults, lets the keepers catch up, and checks the result."""
    day, rig = draw(seed, most_senders, kinds, hot)
    held_lists = HeldLists(rig)
    rig.start()
    rig.run(RUN_S)
    for link in [*rig.links.values()]:
        link.open()
    rig.list.frozen.clear()
    for process in rig.processes.values():
        process.disk.full = False
        process.disk.strike = None
        process.stand(False)
        process.start()
    rig.run(SETTLE_S)
    check(day, rig, held_lists)
    return day


def check(day: Day, rig: VirtualRig, held_lists: HeldLists) -> None:
    """Compares what the keepers know with what the endpoints saw.

    Adds violations and figures to the day.
    """
    for name, process in rig.processes.items():
        day.breaches += [f"{name} failed: {each}" for each in process.faults[:1]]
    seen: dict[tuple, list[Seen]] = defaultdict(list)
    for each in rig.endpoints.calls:
        seen[each.sender, each.doc, each.endpoint].append(each)
    day.figures["calls seen"] = len(rig.endpoints.calls)
    for keeper in rig.keepers:
        rig[keeper].store.commit()
        _check_keeper(day, rig, held_lists, seen, rig[keeper].reader(), keeper)


def _check_keeper(
    day: Day, rig: VirtualRig, held_lists: HeldLists, seen: dict, reader: StoreReader, keeper: str
) -> None:
    """Compares one keeper's answers with the calls that the endpoints saw."""
    known: dict[tuple, list[Call]] = defaultdict(list)
    for each in reader._calls("c.endpoint IS NOT NULL"):
        known[each.sender, each.doc, each.endpoint].append(each)
    gaps = defaultdict(list)
    for each in reader.unknown_periods():
        gaps[each.sender].append(each)
    day.figures["gaps"] += sum(each.why != "not heard of since" for rows in gaps.values() for each in rows)
    disk_losers = {name for name in rig.senders if _lost_disk(rig, name)}
    folds = rig.fleet_file.trail.bytes == SMALL_TRAIL_BYTES
    for name in rig.senders:
        for each in gaps[name]:
            if each.why == "not heard of since" and each.to_ms - each.from_ms < 1500.0:
                continue
            if name not in disk_losers and not (folds and each.why.startswith("folded")):
                day.breaches.append(f"{keeper}: {name} unknown without a cause: {each}")
    for key, rows in seen.items():
        mine = sorted(known.get(key, ()))
        missing = len(rows) - len(mine)
        if missing > 0:
            covered = sum(_in_gap(gaps[key[0]], WALL_MS + each.at_ms) for each in rows)
            day.figures["seen, unknown"] += missing
            if covered < missing:
                day.breaches.append(
                    f"{keeper}: {key} was seen {len(rows)} times and is known {len(mine)} times"
                )
            continue
        if missing == 0:  # compares the list on which each call began
            for call, row in zip(mine, sorted(rows, key=lambda each: each.at_ms), strict=True):
                day.figures["versions compared"] += 1
                held = held_lists.held_between(
                    key[0],
                    row.at_ms - BEGIN_TOLERANCE_MS - _pause_before_ms(rig, key[0], row.at_ms),
                    row.at_ms,
                )
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
    _check_removed_endpoints(day, rig, reader, seen, gaps, keeper)


def _lost_disk(rig: VirtualRig, name: str) -> bool:
    return rig[name].lost_disk


def _in_gap(gaps: list[UnknownPeriod], at_ms: float) -> bool:
    """Returns whether a time lies in a period reported as unknown, with a tolerance."""
    return any(each.from_ms - 20.0 <= at_ms <= each.to_ms + 50.0 for each in gaps)


def _pause_before_ms(rig: VirtualRig, name: str, at_ms: float) -> float:
    """Returns how long a sender was paused shortly before; a call may have begun before the pause."""
    stops = [time for event, time in rig[name].lives if event == "stopped" and time <= at_ms]
    resumes = [time for event, time in rig[name].lives if event == "let go" and time <= at_ms]
    if stops and resumes and at_ms - resumes[-1] < 100.0:
        return resumes[-1] - stops[-1] + 100.0
    return 0.0


def _ended_after(rig: VirtualRig, name: str, at_ms: float) -> bool:
    """Returns whether a sender was killed, ended or paused soon after a time."""
    return any(
        event in ("killed", "ended", "stopped") and at_ms - 1.0 <= time <= at_ms + ENDED_SOON_MS
        for event, time in rig[name].lives
    )


def _check_totals(
    day: Day, rig: VirtualRig, reader: StoreReader, seen: dict, gaps: dict, keeper: str
) -> None:
    """Compares the calls in all stretches, folded ones included, with the calls that the endpoints saw."""
    sums = dict(reader.db.execute("SELECT sender, sum(calls) FROM stretch GROUP BY sender").fetchall())
    for name in rig.senders:
        call_count = sum(len(rows) for key, rows in seen.items() if key[0] == name)
        extra = sums.get(name, 0) - call_count
        ends = sum(event in ("killed", "ended", "stopped") for event, _ in rig[name].lives)
        if extra < 0 and not _lost_disk(rig, name) or extra > 40 * ends:
            day.breaches.append(
                f"{keeper}: {name} made {call_count} calls, its stretches come to {sums.get(name, 0)}"
            )


def _check_removed_endpoints(
    day: Day, rig: VirtualRig, reader: StoreReader, seen: dict, gaps: dict, keeper: str
) -> None:
    """Checks the calls reported for each removed endpoint: those that reached it while it was removed."""
    for published in reader.published_versions():
        rows = reader.db.execute(
            "SELECT endpoint FROM change WHERE published=? AND state!='active'", (published.id,)
        ).fetchall()
        for (endpoint,) in rows:
            try:
                answer = reader.calls_after_removal(endpoint, published.number, published.epoch)
            except QueryError:
                continue
            begin = answer.out_ms - WALL_MS
            end = (answer.in_ms or reader.now_ms) - WALL_MS
            reported = Counter((each.sender, each.doc) for each in answer.calls)
            # calls in transit when the list arrived may be counted or not
            certain = Counter()
            possible = Counter()
            for (sender, doc, uid), calls in seen.items():
                if uid == endpoint:
                    for each in calls:
                        tolerance_ms = BEGIN_TOLERANCE_MS + _pause_before_ms(rig, sender, each.at_ms)
                        possible[sender, doc] += begin < each.at_ms < end + tolerance_ms
                        certain[sender, doc] += begin + tolerance_ms < each.at_ms < end
            day.figures["out questions"] += 1
            for key, count in certain.items():
                if (
                    reported[key] < count
                    and not _in_gap(gaps[key[0]], answer.out_ms)
                    and not any(_in_gap(gaps[key[0]], WALL_MS + each.at_ms) for each in seen[*key, endpoint])
                ):
                    day.breaches.append(
                        f"{keeper}: {key} called {endpoint} while it was out, and is not named"
                    )
            for key, count in reported.items():
                if count > possible[key] and not _ended_after(
                    rig,
                    key[0],
                    min(each.at_ms for each in answer.calls if (each.sender, each.doc) == key) - WALL_MS,
                ):
                    day.breaches.append(
                        f"{keeper}: {key} is named for {endpoint}, and did not call it while out"
                    )
