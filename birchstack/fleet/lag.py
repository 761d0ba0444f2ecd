"""Detects stragglers: senders that act on an old or foreign list.

Pure, from what a collector knows of each sender and of the list service. Owns the verdicts and their
evidence. Must never read a clock or a store, or act on a straggler. Two things are not stragglers: a fleet
that lags as a whole (its list service does not respond, or publishes nothing new), and senders of which a
collector knows nothing because it is itself cut off. Times are in milliseconds, by the collector's clock.
"""

from __future__ import annotations

import msgspec

from birchstack.fleet.versions import FOREIGN, FORKED, NEWER, OLDER, SAME, Version, compare

# Verdicts on a sender
WELL = "well"
BEHIND = "behind"
FORK = "on a fork"
STRANGE = "foreign epoch"
AHEAD = "ahead"
SILENT = "silent"
FLAPPING = "flapping"

# Verdicts on the fleet
FLEET_WELL = "well"
FLEET_STALE = "stale"
KEEPER_CUT_OFF = "keeper cut off"

FLAP_THRESHOLD = 3  # a sender that fell behind this often within Bounds.flap_ms is flapping


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Thresholds of the verdicts.

    behind_ms: time that a new list may take to a sender. silent_ms: time that a response may take. flap_ms:
    window in which falls from up to date to behind are counted. most: share of the fleet beyond which
    the cause is not sought in individual senders.
    """

    behind_ms: float = 10_000.0
    silent_ms: float = 10_000.0
    flap_ms: float = 300_000.0
    most: float = 0.5


class Sighting(msgspec.Struct, frozen=True):
    """One sender as of its last response. answered_ms: when, or None if never. held: the list it acts on."""

    sender: str
    answered_ms: float | None
    held: Version | None = None
    heard_ms: float = 0.0  # time since its list watch last received anything, when it responded


class Given(msgspec.Struct, frozen=True):
    """The list as published by its service.

    versions: newest last, each with the time at which it was published. beat_ms: when the collector last
    received anything from the service, including heartbeats.
    """

    versions: tuple[tuple[Version, float], ...] = ()
    beat_ms: float | None = None


class Verdict(msgspec.Struct, frozen=True):
    """The verdict on one sender. evidence: its reason, in words. since_ms: since when, if known."""

    sender: str
    what: str
    evidence: str
    since_ms: float = 0.0

    @property
    def straggler(self) -> bool:
        """Whether the sender acts on an old or foreign list."""
        return self.what in (BEHIND, FORK, STRANGE, AHEAD, FLAPPING)


class View(msgspec.Struct, frozen=True):
    """The verdicts on a fleet.

    fleet: FLEET_WELL, or the reason why no sender is reported as a straggler, with its evidence.
    """

    fleet: str
    evidence: str
    verdicts: tuple[Verdict, ...]

    def stragglers(self) -> list[Verdict]:
        """Return the stragglers; none if the cause lies with the fleet or the collector."""
        return [each for each in self.verdicts if each.straggler] if self.fleet == FLEET_WELL else []


def judge(sightings: list[Sighting], given: Given, now_ms: float, bounds: Bounds, turns: Turns) -> View:
    """Return the verdicts at a time. turns: remembers between calls when senders fell behind."""
    verdicts = tuple(_judge_sender(each, given, now_ms, bounds, turns) for each in sightings)
    fleet, evidence = _judge_fleet(verdicts, given, now_ms, bounds)
    return View(fleet, evidence, verdicts)


def _judge_fleet(
    verdicts: tuple[Verdict, ...], given: Given, now_ms: float, bounds: Bounds
) -> tuple[str, str]:
    """Return the verdict on the fleet and its evidence."""
    silent = sum(each.what == SILENT for each in verdicts)
    stragglers = sum(each.straggler for each in verdicts)
    service_silent = given.beat_ms is None or now_ms - given.beat_ms > bounds.silent_ms
    if service_silent and silent > bounds.most * len(verdicts):
        return KEEPER_CUT_OFF, f"neither the list service nor {silent} of {len(verdicts)} senders are heard"
    if service_silent:
        return FLEET_STALE, "the list service is not heard: nobody can be behind it, everybody may be stale"
    if silent > bounds.most * len(verdicts):
        return KEEPER_CUT_OFF, f"{silent} of {len(verdicts)} senders do not answer this keeper"
    if stragglers > bounds.most * (len(verdicts) - silent):
        return (
            FLEET_STALE,
            f"{stragglers} of {len(verdicts) - silent} that answer look behind: not senders at fault",
        )
    return FLEET_WELL, ""


def _judge_sender(sighting: Sighting, given: Given, now_ms: float, bounds: Bounds, turns: Turns) -> Verdict:
    """Return the verdict on one sender."""
    name = sighting.sender
    if sighting.answered_ms is None:
        return Verdict(name, SILENT, "has never answered")
    if now_ms - sighting.answered_ms > bounds.silent_ms:
        silent_s = (now_ms - sighting.answered_ms) / 1000.0
        return Verdict(name, SILENT, f"has not answered for {silent_s:.1f} s", sighting.answered_ms)
    if not given.versions:
        return Verdict(name, WELL, "no list is known to compare with")
    newest, since_ms = given.versions[-1]
    if sighting.held is None:
        return _judge_lag(sighting, "has no list", since_ms, now_ms, bounds, turns)
    order = compare(sighting.held, newest)
    if order == SAME:
        turns.well(name, now_ms)
        if turns.many(name, now_ms, bounds.flap_ms) >= FLAP_THRESHOLD:
            return Verdict(
                name, FLAPPING, f"fell behind {FLAP_THRESHOLD} times in {bounds.flap_ms / 1000.0:.0f} s"
            )
        return Verdict(name, WELL, f"acts on {newest}")
    published = {(each.epoch, each.number, each.digest) for each, _ in given.versions}
    known = (sighting.held.epoch, sighting.held.number, sighting.held.digest) in published
    if order == FOREIGN and not known:
        what, text = STRANGE, f"acts on {sighting.held}, of another epoch than {newest}"
    elif order == NEWER and not known:
        what, text = AHEAD, f"acts on {sighting.held}, beyond {newest}, which was given out last"
    elif order == FORKED or order == OLDER and not known and _is_number_published(sighting.held, given):
        what, text = FORK, f"acts on {sighting.held}, which was given out with another content"
    else:
        since_ms = _superseded_ms(sighting.held, given)
        return _judge_lag(
            sighting, f"acts on {sighting.held}, {newest} came out", since_ms, now_ms, bounds, turns
        )
    if now_ms - since_ms <= bounds.behind_ms:
        return Verdict(name, WELL, f"{text}; within the time that news may take", since_ms)
    return Verdict(name, what, text, since_ms)


def _judge_lag(
    sighting: Sighting, text: str, since_ms: float, now_ms: float, bounds: Bounds, turns: Turns
) -> Verdict:
    """Return the verdict on a sender whose list was superseded, by the time that has passed since."""
    lag_ms = now_ms - since_ms
    if lag_ms <= bounds.behind_ms:
        return Verdict(
            sighting.sender, WELL, f"{text} {lag_ms / 1000.0:.1f} s ago: news may take that", since_ms
        )
    turns.behind(sighting.sender, now_ms)
    watch = "its watch beats" if sighting.heard_ms < bounds.behind_ms else "its watch hears nothing"
    what = FLAPPING if turns.many(sighting.sender, now_ms, bounds.flap_ms) >= FLAP_THRESHOLD else BEHIND
    return Verdict(sighting.sender, what, f"{text} {lag_ms / 1000.0:.1f} s ago; {watch}", since_ms)


def _is_number_published(held: Version, given: Given) -> bool:
    return any((each.epoch, each.number) == (held.epoch, held.number) for each, _ in given.versions)


def _superseded_ms(held: Version, given: Given) -> float:
    """Return when the version after the held one was published; the first known if it is older than all."""
    for index in range(len(given.versions) - 1, -1, -1):
        each = given.versions[index][0]
        if (each.epoch, each.number, each.digest) == (held.epoch, held.number, held.digest):
            return given.versions[min(index + 1, len(given.versions) - 1)][1]
    return given.versions[0][1]


class Turns:
    """Times at which senders fell behind: the last FLAP_THRESHOLD of each sender."""

    def __init__(self) -> None:
        self._behind: dict[str, None] = {}
        self._fell_behind_ms: dict[str, list[float]] = {}

    def well(self, sender: str, now_ms: float) -> None:
        """Note that the sender is up to date."""
        self._behind.pop(sender, None)

    def behind(self, sender: str, now_ms: float) -> None:
        """Note that the sender is behind; its time counts only if it was up to date before."""
        if sender not in self._behind:
            self._behind[sender] = None
            self._fell_behind_ms[sender] = [*self._fell_behind_ms.get(sender, ()), now_ms][-FLAP_THRESHOLD:]

    def many(self, sender: str, now_ms: float, within_ms: float) -> int:
        """Return how often the sender fell behind within a time before now."""
        return sum(now_ms - at_ms <= within_ms for at_ms in self._fell_behind_ms.get(sender, ()))

    def keep(self, senders: set[str]) -> None:
        """Forget all senders but these."""
        for removed in [each for each in self._fell_behind_ms if each not in senders]:
            del self._fell_behind_ms[removed]
            self._behind.pop(removed, None)
