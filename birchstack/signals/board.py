"""A collector's merged view of the endpoint signals of all senders.

Pure. Merging is commutative and idempotent: for each endpoint and kind the newest observation of an observer
counts, up to the newest MAX_OBSERVERS observers. Memory is bounded by the number of endpoints named in
signals, not by senders times endpoints. Observations expire by age; those of an earlier incarnation of their
observer no longer count once a later incarnation is known. Times are in milliseconds, by the steady clock of
this process.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from birchstack.interface import MAX_OBSERVERS, SignalKind
from birchstack.signals.model import SIGNAL_LIFETIME_MS, Cursor, Evidence, Signal, SignalBatch, encode
from birchstack.signals.news import ChangeIndex

MAX_ENDPOINTS = 16_384
EXPIRY_CHECKS_PER_SIGNAL = 4  # entries checked for expiry whenever a signal is merged
EVICTION_CANDIDATES = 8  # among this many oldest entries, the one with the fewest observers is evicted
MIN_SERVED_CHANGE_MS = 500.0  # a served time that advances by less is not reported as a change
MIN_WAIT_CHANGE_MS = 250.0  # a wait that grows by less is not reported as a change
START_CURSOR: Cursor = (0, 0, 0)


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One process run of an observer."""

    id: str
    started_ms: float


@dataclass(frozen=True, slots=True)
class TimedObservation:
    """One observation as held by a collector; at_ms by the collector's steady clock."""

    incarnation: str
    sequence: int
    at_ms: float
    wait_ms: int

    def expires_at_ms(self) -> float:
        """Return the time from which it no longer counts: the end of a wait, else the maximum age."""
        return self.at_ms + (self.wait_ms or SIGNAL_LIFETIME_MS)


@dataclass(slots=True)
class EndpointEntry:
    """Observations of one endpoint by kind and observer, and the state last reported as a change."""

    observations: dict[SignalKind, dict[str, TimedObservation]] = field(
        default_factory=lambda: {kind: {} for kind in SignalKind}
    )
    last_merged_ms: float = 0.0
    reported_failures: int = 0
    reported_served_ms: float = float("-inf")
    reported_wait_until_ms: float = float("-inf")

    def observer_count(self) -> int:
        """Return the number of observers of any kind and incarnation."""
        return len({observer for by_observer in self.observations.values() for observer in by_observer})

    def expires_at_ms(self) -> float:
        """Return the time from which none of its observations counts."""
        return max(
            each.expires_at_ms()
            for by_observer in self.observations.values()
            for each in by_observer.values()
        )


class SignalTable:
    """Merges signals, and returns to each reader what changed since its last read."""

    def __init__(self) -> None:
        self._incarnations: dict[str, Incarnation] = {}
        self._entries: OrderedDict[str, EndpointEntry] = OrderedDict()  # least recently merged first
        self._changes: dict[SignalKind, ChangeIndex] = {kind: ChangeIndex() for kind in SignalKind}
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._entries)

    # Merging

    def merge(self, observer: str, batch: SignalBatch, now_ms: float) -> int:
        """Merge a batch of an observer. Returns how many of its signals were new."""
        if not self._is_latest_incarnation(observer, batch, now_ms):
            return 0
        return sum(
            self._merge_signal(observer, batch.incarnation, signal, now_ms) for signal in batch.signals
        )

    def _is_latest_incarnation(self, observer: str, batch: SignalBatch, now_ms: float) -> bool:
        """Return whether the batch is of the observer's latest incarnation, which it may introduce."""
        incarnation = Incarnation(batch.incarnation, now_ms - batch.incarnation_age_ms)
        known = self._incarnations.get(observer)
        if known is None or known.id != incarnation.id and known.started_ms < incarnation.started_ms:
            self._incarnations[observer] = known = incarnation
        return known.id == incarnation.id

    def _merge_signal(self, observer: str, incarnation: str, signal: Signal, now_ms: float) -> bool:
        """Merge one signal. Returns whether it was new."""
        observation = TimedObservation(incarnation, signal.sequence, now_ms - signal.age_ms, signal.wait_ms)
        if observation.expires_at_ms() <= now_ms:
            return False
        entry = self._get_or_create_entry(signal.endpoint, now_ms)
        by_observer = entry.observations[signal.kind]
        previous = by_observer.get(observer)
        if previous and previous.incarnation == incarnation and previous.sequence >= signal.sequence:
            return False
        by_observer[observer] = observation
        if len(by_observer) > MAX_OBSERVERS:
            del by_observer[
                min(
                    by_observer,
                    key=lambda each: (
                        self._is_current(each, by_observer[each]),
                        by_observer[each].at_ms,
                        each,
                    ),
                )
            ]
        entry.last_merged_ms = now_ms
        self._record_change(signal.endpoint, entry, signal.kind, now_ms)
        return True

    def _get_or_create_entry(self, endpoint: str, now_ms: float) -> EndpointEntry:
        self._remove_expired(now_ms)
        if endpoint not in self._entries:
            if len(self._entries) >= MAX_ENDPOINTS:
                self._evict()
            self._entries[endpoint] = EndpointEntry()
        self._entries.move_to_end(endpoint)
        return self._entries[endpoint]

    def _is_current(self, observer: str, observation: TimedObservation) -> bool:
        """Return whether the observation was made by the observer's latest known incarnation."""
        return self._incarnations[observer].id == observation.incarnation

    # Expiry and eviction

    def _remove_expired(self, now_ms: float) -> None:
        """Check a few of the least recently merged entries; one whose wait still runs is requeued."""
        for _ in range(min(EXPIRY_CHECKS_PER_SIGNAL, len(self._entries))):
            endpoint, entry = next(iter(self._entries.items()))
            if now_ms - entry.last_merged_ms <= SIGNAL_LIFETIME_MS:
                return
            if entry.expires_at_ms() <= now_ms:
                self._remove(endpoint)
            else:
                self._entries.move_to_end(endpoint)

    def _evict(self) -> None:
        """Evict an old entry, preferring few observers.

        Otherwise a single observer that names ever more endpoints could displace what several observed.
        """
        candidates = [
            endpoint for endpoint, _ in zip(self._entries, range(EVICTION_CANDIDATES), strict=False)
        ]
        self._remove(min(candidates, key=lambda each: self._entries[each].observer_count()))

    def _remove(self, endpoint: str) -> None:
        del self._entries[endpoint]
        for changes in self._changes.values():
            changes.remove(endpoint)

    # Reading

    def _valid_observations(
        self, entry: EndpointEntry, kind: SignalKind, now_ms: float
    ) -> Iterator[TimedObservation]:
        """Yield the observations of a kind that are neither expired nor of an earlier incarnation."""
        for observer, observation in entry.observations[kind].items():
            if observation.expires_at_ms() > now_ms and self._is_current(observer, observation):
                yield observation

    def evidence(self, endpoint: str, now_ms: float) -> Evidence | None:
        """Summarise what is known of an endpoint; None if nothing is."""
        entry = self._entries.get(endpoint)
        if entry is None:
            return None
        never = float("-inf")
        served_at = max(
            (each.at_ms for each in self._valid_observations(entry, SignalKind.SERVED, now_ms)), default=never
        )
        failed = [each.at_ms for each in self._valid_observations(entry, SignalKind.FAILED, now_ms)]
        failed = [at_ms for at_ms in failed if at_ms > served_at]
        wait = max(
            self._valid_observations(entry, SignalKind.WAIT, now_ms),
            key=TimedObservation.expires_at_ms,
            default=None,
        )
        if not failed and wait is None and served_at == never:
            return None
        return Evidence(
            endpoint=endpoint,
            failed_by=len(failed),
            first_ms=int(now_ms - min(failed)) if failed else 0,
            last_ms=int(now_ms - max(failed)) if failed else 0,
            served_ms=int(now_ms - served_at) if served_at > never else -1,
            wait_ms=int(wait.expires_at_ms() - now_ms) if wait else 0,
            wait_age_ms=int(now_ms - wait.at_ms) if wait else 0,
        )

    def _record_change(self, endpoint: str, entry: EndpointEntry, kind: SignalKind, now_ms: float) -> None:
        """Record a change if the merged signal matters to readers.

        That is a longer wait, a later served call or more observers of a failure, not each observation.
        """
        known = self.evidence(endpoint, now_ms)
        if known is None:
            return
        if known.failed_by <= entry.reported_failures // 2:  # failures expired, or a call was served since
            entry.reported_failures = known.failed_by
        served_ms, wait_until_ms = now_ms - known.served_ms, now_ms + known.wait_ms
        if kind is SignalKind.WAIT and wait_until_ms > entry.reported_wait_until_ms + MIN_WAIT_CHANGE_MS:
            entry.reported_wait_until_ms = wait_until_ms
        elif kind is SignalKind.SERVED and served_ms > entry.reported_served_ms + MIN_SERVED_CHANGE_MS:
            entry.reported_served_ms = served_ms
        elif kind is SignalKind.FAILED and known.failed_by > entry.reported_failures:
            entry.reported_failures = known.failed_by
        else:
            return
        self._last_sequence += 1
        self._changes[kind].record_change(endpoint, self._last_sequence)

    def changes_since(
        self, cursor: Cursor, now_ms: float, max_bytes: int
    ) -> tuple[tuple[Evidence, ...], Cursor]:
        """Return the evidence that changed after a cursor, and the cursor for the next read.

        Waits come first, then served, then failed calls, each oldest change first, up to max_bytes but at
        least one item.
        """
        changed: dict[str, Evidence] = {}
        next_cursor = [*cursor]
        for place, kind in enumerate(SignalKind):
            for endpoint, sequence in self._changes[kind].changes_after(cursor[place]):
                known = None if endpoint in changed else self.evidence(endpoint, now_ms)
                if known is not None:
                    max_bytes -= len(encode(known))
                    if max_bytes < 0 and changed:
                        return tuple(changed.values()), tuple(next_cursor)
                    changed[endpoint] = known
                next_cursor[place] = sequence
        return tuple(changed.values()), tuple(next_cursor)
