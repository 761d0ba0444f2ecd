"""What a straggler is: pure, from what a keeper knows of each sender and of the list service.

Owns the verdicts and their evidence. Must never read a clock or a store, or do anything about a straggler.
Two things are not stragglers: a fleet that is late as a whole (its list service is silent, or gives out
nothing new), and senders of which a keeper knows nothing because it is itself cut off. Times in milliseconds,
the keeper's.
"""

from __future__ import annotations

import msgspec

from birchstack.fleet.versions import FOREIGN, FORKED, NEWER, OLDER, SAME, Version, compare

WELL, BEHIND, FORK, STRANGE, AHEAD, SILENT, FLAPPING = (
    "well",
    "behind",
    "on a fork",
    "foreign epoch",
    "ahead",
    "silent",
    "flapping",
)
FLEET_WELL, FLEET_STALE, KEEPER_CUT_OFF = "well", "stale", "keeper cut off"
FLAPS = 3  # times behind within the time of Bounds.flap_ms, and it is flapping


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """behind_ms: so long may news take. silent_ms: so long may an answer take. flap_ms: how far back turns
    from well to behind count. most: of the fleet, a share beyond which it is not senders that are at
    fault."""

    behind_ms: float = 10_000.0
    silent_ms: float = 10_000.0
    flap_ms: float = 300_000.0
    most: float = 0.5


class Sighting(msgspec.Struct, frozen=True):
    """One sender as last answered. answered_ms: when, or None for never. held: the list it acts on."""

    sender: str
    answered_ms: float | None
    held: Version | None = None
    heard_ms: float = 0.0  # since its watch of the list last said anything, as it answered


class Given(msgspec.Struct, frozen=True):
    """The list as its service gives it out. versions: newest last, each with when it came into force.
    beat_ms: when the keeper last heard the service, a beat too."""

    versions: tuple[tuple[Version, float], ...] = ()
    beat_ms: float | None = None


class Verdict(msgspec.Struct, frozen=True):
    """evidence: what it rests on, for people. since_ms: since when, where that is known."""

    sender: str
    what: str
    evidence: str
    since_ms: float = 0.0

    @property
    def straggler(self) -> bool:
        return self.what in (BEHIND, FORK, STRANGE, AHEAD, FLAPPING)


class View(msgspec.Struct, frozen=True):
    """fleet: FLEET_WELL, or why nobody is called a straggler; then evidence says so."""

    fleet: str
    evidence: str
    verdicts: tuple[Verdict, ...]

    def stragglers(self) -> list[Verdict]:
        return [each for each in self.verdicts if each.straggler] if self.fleet == FLEET_WELL else []


def judge(sightings: list[Sighting], given: Given, now_ms: float, bounds: Bounds, turns: Turns) -> View:
    """The view at a time. turns remembers who turned from well to behind, and when."""
    verdicts = tuple(_one(each, given, now_ms, bounds, turns) for each in sightings)
    fleet, evidence = _fleet(verdicts, given, now_ms, bounds)
    return View(fleet, evidence, verdicts)


def _fleet(verdicts: tuple[Verdict, ...], given: Given, now_ms: float, bounds: Bounds) -> tuple[str, str]:
    silent = sum(each.what == SILENT for each in verdicts)
    late = sum(each.straggler for each in verdicts)
    deaf = given.beat_ms is None or now_ms - given.beat_ms > bounds.silent_ms
    if deaf and silent > bounds.most * len(verdicts):
        return KEEPER_CUT_OFF, f"neither the list service nor {silent} of {len(verdicts)} senders are heard"
    if deaf:
        return FLEET_STALE, "the list service is not heard: nobody can be behind it, everybody may be stale"
    if silent > bounds.most * len(verdicts):
        return KEEPER_CUT_OFF, f"{silent} of {len(verdicts)} senders do not answer this keeper"
    if late > bounds.most * (len(verdicts) - silent):
        return (
            FLEET_STALE,
            f"{late} of {len(verdicts) - silent} that answer look behind: not senders at fault",
        )
    return FLEET_WELL, ""


def _one(seen: Sighting, given: Given, now_ms: float, bounds: Bounds, turns: Turns) -> Verdict:
    name = seen.sender
    if seen.answered_ms is None:
        return Verdict(name, SILENT, "has never answered")
    if now_ms - seen.answered_ms > bounds.silent_ms:
        spent = (now_ms - seen.answered_ms) / 1000.0
        return Verdict(name, SILENT, f"has not answered for {spent:.1f} s", seen.answered_ms)
    if not given.versions:
        return Verdict(name, WELL, "no list is known to compare with")
    newest, since = given.versions[-1]
    if seen.held is None:
        return _late(seen, "has no list", since, now_ms, bounds, turns)
    order = compare(seen.held, newest)
    if order == SAME:
        turns.well(name, now_ms)
        if turns.many(name, now_ms, bounds.flap_ms) >= FLAPS:
            return Verdict(name, FLAPPING, f"fell behind {FLAPS} times in {bounds.flap_ms / 1000.0:.0f} s")
        return Verdict(name, WELL, f"acts on {newest}")
    given_out = {(each.epoch, each.number, each.digest) for each, _ in given.versions}
    known = (seen.held.epoch, seen.held.number, seen.held.digest) in given_out
    if order == FOREIGN and not known:
        what, text = STRANGE, f"acts on {seen.held}, of another epoch than {newest}"
    elif order == NEWER and not known:
        what, text = AHEAD, f"acts on {seen.held}, beyond {newest}, which was given out last"
    elif order == FORKED or order == OLDER and not known and _numbered(seen.held, given):
        what, text = FORK, f"acts on {seen.held}, which was given out with another content"
    else:
        since = _superseded(seen.held, given)
        return _late(seen, f"acts on {seen.held}, {newest} came out", since, now_ms, bounds, turns)
    if now_ms - since <= bounds.behind_ms:
        return Verdict(name, WELL, f"{text}; within the time that news may take", since)
    return Verdict(name, what, text, since)


def _late(seen: Sighting, text: str, since: float, now_ms: float, bounds: Bounds, turns: Turns) -> Verdict:
    spent = now_ms - since
    if spent <= bounds.behind_ms:
        return Verdict(seen.sender, WELL, f"{text} {spent / 1000.0:.1f} s ago: news may take that", since)
    turns.behind(seen.sender, now_ms)
    watch = "its watch beats" if seen.heard_ms < bounds.behind_ms else "its watch hears nothing"
    what = FLAPPING if turns.many(seen.sender, now_ms, bounds.flap_ms) >= FLAPS else BEHIND
    return Verdict(seen.sender, what, f"{text} {spent / 1000.0:.1f} s ago; {watch}", since)


def _numbered(held: Version, given: Given) -> bool:
    return any((each.epoch, each.number) == (held.epoch, held.number) for each, _ in given.versions)


def _superseded(held: Version, given: Given) -> float:
    """When the version after the one held came into force; the first known where it is older than all."""
    for at in range(len(given.versions) - 1, -1, -1):
        each = given.versions[at][0]
        if (each.epoch, each.number, each.digest) == (held.epoch, held.number, held.digest):
            return given.versions[min(at + 1, len(given.versions) - 1)][1]
    return given.versions[0][1]


class Turns:
    """Who turned from well to behind, and when: at most FLAPS a sender are remembered."""

    def __init__(self) -> None:
        self._behind: dict[str, None] = {}
        self._at: dict[str, list[float]] = {}

    def well(self, sender: str, now_ms: float) -> None:
        self._behind.pop(sender, None)

    def behind(self, sender: str, now_ms: float) -> None:
        if sender not in self._behind:
            self._behind[sender] = None
            self._at[sender] = [*self._at.get(sender, ()), now_ms][-FLAPS:]

    def many(self, sender: str, now_ms: float, within_ms: float) -> int:
        return sum(now_ms - at <= within_ms for at in self._at.get(sender, ()))

    def keep(self, senders: set[str]) -> None:
        """Forgets those that are no more."""
        for gone in [each for each in self._at if each not in senders]:
            del self._at[gone]
            self._behind.pop(gone, None)
