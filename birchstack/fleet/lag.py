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
HEALTHY = "well"
BEHIND = "behind"
ON_FORK = "on a fork"
FOREIGN_EPOCH = "foreign epoch"
AHEAD = "ahead"
SILENT = "silent"
FLAPPING = "flapping"

# Verdicts on the fleet
FLEET_HEALTHY = "well"
FLEET_STALE = "stale"
KEEPER_CUT_OFF = "keeper cut off"

FLAP_THRESHOLD = 3  # a sender that fell behind this often within LagThresholds.flap_ms is flapping


class LagThresholds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Thresholds of the verdicts.

    behind_ms: time that a new list may take to reach a sender. silent_ms: time that a response may take.
    flap_ms: time window in which transitions from up to date to behind are counted. max_share: share of the
    fleet above which the cause is not attributed to individual senders.
    """

    behind_ms: float = 10_000.0
    silent_ms: float = 10_000.0
    flap_ms: float = 300_000.0
    max_share: float = 0.5


class SenderSnapshot(msgspec.Struct, frozen=True):
    """One sender as of its last response. answered_ms: when, or None if never. held: the list it acts on."""

    sender: str
    answered_ms: float | None
    held: Version | None = None
    heard_ms: float = 0.0  # time since its list watch last received anything, when it responded


class PublishedLists(msgspec.Struct, frozen=True):
    """The list as published by its service.

    versions: newest last, each with the time at which it was published. service_heard_ms: when the collector
    last received anything from the service, including heartbeats.
    """

    versions: tuple[tuple[Version, float], ...] = ()
    service_heard_ms: float | None = None


class Verdict(msgspec.Struct, frozen=True):
    """The verdict on one sender. evidence: its reason, in words. since_ms: since when, if known."""

    sender: str
    what: str
    evidence: str
    since_ms: float = 0.0

    @property
    def straggler(self) -> bool:
        """Whether the sender acts on an old or foreign list."""
        return self.what in (BEHIND, ON_FORK, FOREIGN_EPOCH, AHEAD, FLAPPING)


class FleetVerdict(msgspec.Struct, frozen=True):
    """The verdicts on a fleet.

    fleet: FLEET_HEALTHY, or the reason why no sender is reported as a straggler, with its evidence.
    """

    fleet: str
    evidence: str
    verdicts: tuple[Verdict, ...]

    def stragglers(self) -> list[Verdict]:
        """Return the stragglers; none if the cause lies with the fleet or the collector."""
        return [each for each in self.verdicts if each.straggler] if self.fleet == FLEET_HEALTHY else []


def judge(
    snapshots: list[SenderSnapshot],
    published: PublishedLists,
    now_ms: float,
    thresholds: LagThresholds,
    flap_history: FlapHistory,
) -> FleetVerdict:
    """Return the verdicts at a time. flap_history: remembers between calls when senders fell behind."""
    verdicts = tuple(_judge_sender(each, published, now_ms, thresholds, flap_history) for each in snapshots)
    fleet, evidence = _judge_fleet(verdicts, published, now_ms, thresholds)
    return FleetVerdict(fleet, evidence, verdicts)


def _judge_fleet(
    verdicts: tuple[Verdict, ...], published: PublishedLists, now_ms: float, thresholds: LagThresholds
) -> tuple[str, str]:
    """Return the verdict on the fleet and its evidence."""
    silent = sum(each.what == SILENT for each in verdicts)
    stragglers = sum(each.straggler for each in verdicts)
    service_silent = (
        published.service_heard_ms is None or now_ms - published.service_heard_ms > thresholds.silent_ms
    )
    if service_silent and silent > thresholds.max_share * len(verdicts):
        return KEEPER_CUT_OFF, f"neither the list service nor {silent} of {len(verdicts)} senders are heard"
    if service_silent:
        return FLEET_STALE, "the list service is not heard: nobody can be behind it, everybody may be stale"
    if silent > thresholds.max_share * len(verdicts):
        return KEEPER_CUT_OFF, f"{silent} of {len(verdicts)} senders do not answer this keeper"
    if stragglers > thresholds.max_share * (len(verdicts) - silent):
        return (
            FLEET_STALE,
            f"{stragglers} of {len(verdicts) - silent} that answer look behind: not senders at fault",
        )
    return FLEET_HEALTHY, ""


def _judge_sender(
    snapshot: SenderSnapshot,
    published: PublishedLists,
    now_ms: float,
    thresholds: LagThresholds,
    flap_history: FlapHistory,
) -> Verdict:
    """Return the verdict on one sender."""
    name = snapshot.sender
    if snapshot.answered_ms is None:
        return Verdict(name, SILENT, "has never answered")
    if now_ms - snapshot.answered_ms > thresholds.silent_ms:
        silent_s = (now_ms - snapshot.answered_ms) / 1000.0
        return Verdict(name, SILENT, f"has not answered for {silent_s:.1f} s", snapshot.answered_ms)
    if not published.versions:
        return Verdict(name, HEALTHY, "no list is known to compare with")
    newest, since_ms = published.versions[-1]
    if snapshot.held is None:
        return _judge_lag(snapshot, "has no list", since_ms, now_ms, thresholds, flap_history)
    order = compare(snapshot.held, newest)
    if order == SAME:
        flap_history.record_up_to_date(name, now_ms)
        if flap_history.count_within(name, now_ms, thresholds.flap_ms) >= FLAP_THRESHOLD:
            return Verdict(
                name, FLAPPING, f"fell behind {FLAP_THRESHOLD} times in {thresholds.flap_ms / 1000.0:.0f} s"
            )
        return Verdict(name, HEALTHY, f"acts on {newest}")
    published_keys = {(each.epoch, each.number, each.digest) for each, _ in published.versions}
    known = (snapshot.held.epoch, snapshot.held.number, snapshot.held.digest) in published_keys
    if order == FOREIGN and not known:
        what, text = FOREIGN_EPOCH, f"acts on {snapshot.held}, of another epoch than {newest}"
    elif order == NEWER and not known:
        what, text = AHEAD, f"acts on {snapshot.held}, beyond {newest}, which was given out last"
    elif order == FORKED or order == OLDER and not known and _is_number_published(snapshot.held, published):
        what, text = ON_FORK, f"acts on {snapshot.held}, which was given out with another content"
    else:
        since_ms = _superseded_ms(snapshot.held, published)
        return _judge_lag(
            snapshot,
            f"acts on {snapshot.held}, {newest} came out",
            since_ms,
            now_ms,
            thresholds,
            flap_history,
        )
    if now_ms - since_ms <= thresholds.behind_ms:
        return Verdict(name, HEALTHY, f"{text}; within the time that news may take", since_ms)
    return Verdict(name, what, text, since_ms)


def _judge_lag(
    snapshot: SenderSnapshot,
    text: str,
    since_ms: float,
    now_ms: float,
    thresholds: LagThresholds,
    flap_history: FlapHistory,
) -> Verdict:
    """Return the verdict on a sender whose list was superseded, by the time that has passed since."""
    lag_ms = now_ms - since_ms
    if lag_ms <= thresholds.behind_ms:
        return Verdict(
            snapshot.sender, HEALTHY, f"{text} {lag_ms / 1000.0:.1f} s ago: news may take that", since_ms
        )
    flap_history.record_behind(snapshot.sender, now_ms)
    watch = "its watch beats" if snapshot.heard_ms < thresholds.behind_ms else "its watch hears nothing"
    what = (
        FLAPPING
        if flap_history.count_within(snapshot.sender, now_ms, thresholds.flap_ms) >= FLAP_THRESHOLD
        else BEHIND
    )
    return Verdict(snapshot.sender, what, f"{text} {lag_ms / 1000.0:.1f} s ago; {watch}", since_ms)


def _is_number_published(held: Version, published: PublishedLists) -> bool:
    return any((each.epoch, each.number) == (held.epoch, held.number) for each, _ in published.versions)


def _superseded_ms(held: Version, published: PublishedLists) -> float:
    """Return when the version after the held one was published; the first known if it is older than all."""
    for index in range(len(published.versions) - 1, -1, -1):
        each = published.versions[index][0]
        if (each.epoch, each.number, each.digest) == (held.epoch, held.number, held.digest):
            return published.versions[min(index + 1, len(published.versions) - 1)][1]
    return published.versions[0][1]


class FlapHistory:
    """Times at which senders fell behind: the last FLAP_THRESHOLD of each sender."""

    def __init__(self) -> None:
        self._behind: dict[str, None] = {}
        self._fell_behind_ms: dict[str, list[float]] = {}

    def record_up_to_date(self, sender: str, now_ms: float) -> None:
        """Note that the sender is up to date."""
        self._behind.pop(sender, None)

    def record_behind(self, sender: str, now_ms: float) -> None:
        """Note that the sender is behind; its time counts only if it was up to date before."""
        if sender not in self._behind:
            self._behind[sender] = None
            self._fell_behind_ms[sender] = [*self._fell_behind_ms.get(sender, ()), now_ms][-FLAP_THRESHOLD:]

    def count_within(self, sender: str, now_ms: float, within_ms: float) -> int:
        """Return how often the sender fell behind within a time before now."""
        return sum(now_ms - at_ms <= within_ms for at_ms in self._fell_behind_ms.get(sender, ()))

    def retain(self, senders: set[str]) -> None:
        """Forget all senders but these."""
        for removed in [each for each in self._fell_behind_ms if each not in senders]:
            del self._fell_behind_ms[removed]
            self._behind.pop(removed, None)
