"""What a keeper knows of endpoints from the signals of all senders.

Pure. Merging is commutative and idempotent: for each endpoint and kind the newest observation of an observer
counts, of the newest MAX_OBSERVERS observers. What is kept is bounded by the endpoints that signals name,
not by senders times endpoints. Observations end by their age; those of a former life of their observer count
no more as soon as a later life is known. Times are this process's steady clock, in milliseconds.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from birchstack.interface import MAX_OBSERVERS, SignalKind
from birchstack.signals.model import LIFETIME_MS, Evidence, Sequences, Signal, SignalBatch, encode
from birchstack.signals.news import News

MOST_ENDPOINTS = 16_384
EXPIRED_AT_ONCE = 4  # entries looked at for their end with each signal
EVICTION_CHOICE = 8  # of so many of the oldest entries, the one with the fewest observers goes
SERVED_NEWS_MS, WAIT_NEWS_MS = 500.0, 250.0  # a change by less is no news
START: Sequences = (0, 0, 0)


@dataclass(frozen=True, slots=True)
class Life:
    """One process of an observer."""

    name: str
    began_ms: float


@dataclass(frozen=True, slots=True)
class Observed:
    """One observation as a keeper holds it; at_ms by the keeper's steady clock."""

    life: str
    sequence: int
    at_ms: float
    wait_ms: int

    def lasts_until(self) -> float:
        """When it counts no more: at the end of a wait, else by its age."""
        return self.at_ms + (self.wait_ms or LIFETIME_MS)


@dataclass(slots=True)
class Entry:
    """One endpoint: by kind and observer what was seen, and what of it was news already."""

    seen: dict[SignalKind, dict[str, Observed]] = field(
        default_factory=lambda: {kind: {} for kind in SignalKind}
    )
    merged_ms: float = 0.0
    counted: int = 0
    served_ms: float = float("-inf")
    wait_until: float = float("-inf")

    def observers(self) -> int:
        """How many senders it rests on, of whatever kind and life."""
        return len({observer for seen in self.seen.values() for observer in seen})

    def lasts_until(self) -> float:
        """When the last of its observations counts no more."""
        return max(each.lasts_until() for seen in self.seen.values() for each in seen.values())


class Board:
    """Merges signals, and tells each reader what is new since it was last told."""

    def __init__(self) -> None:
        self._lives: dict[str, Life] = {}
        self._entries: OrderedDict[str, Entry] = OrderedDict()  # the one merged longest ago first
        self._news: dict[SignalKind, News] = {kind: News() for kind in SignalKind}
        self._number = 0

    def __len__(self) -> int:
        return len(self._entries)

    # Merging

    def merge(self, observer: str, batch: SignalBatch, now_ms: float) -> int:
        """What an observer told. Returns how many of the signals were new."""
        if not self._admits(observer, batch, now_ms):
            return 0
        return sum(self._merge_one(observer, batch.life, signal, now_ms) for signal in batch.signals)

    def _admits(self, observer: str, batch: SignalBatch, now_ms: float) -> bool:
        """Whether the batch is of the observer's latest life."""
        life, known = Life(batch.life, now_ms - batch.life_ms), self._lives.get(observer)
        if known is None or known.name != life.name and known.began_ms < life.began_ms:
            self._lives[observer] = known = life
        return known.name == life.name

    def _merge_one(self, observer: str, life: str, signal: Signal, now_ms: float) -> bool:
        made = Observed(life, signal.sequence, now_ms - signal.age_ms, signal.wait_ms)
        if made.lasts_until() <= now_ms:
            return False
        entry = self._entry(signal.endpoint, now_ms)
        seen = entry.seen[signal.kind]
        before = seen.get(observer)
        if before and before.life == life and before.sequence >= signal.sequence:
            return False
        seen[observer] = made
        if len(seen) > MAX_OBSERVERS:
            del seen[min(seen, key=lambda each: (self._current(each, seen[each]), seen[each].at_ms, each))]
        entry.merged_ms = now_ms
        self._note_news(signal.endpoint, entry, signal.kind, now_ms)
        return True

    def _entry(self, endpoint: str, now_ms: float) -> Entry:
        self._expire(now_ms)
        if endpoint not in self._entries:
            if len(self._entries) >= MOST_ENDPOINTS:
                self._evict()
            self._entries[endpoint] = Entry()
        self._entries.move_to_end(endpoint)
        return self._entries[endpoint]

    def _current(self, observer: str, seen: Observed) -> bool:
        return self._lives[observer].name == seen.life

    # The end of entries

    def _expire(self, now_ms: float) -> None:
        """Looks at a few of those merged longest ago; one whose wait still runs is looked at later again."""
        for _ in range(min(EXPIRED_AT_ONCE, len(self._entries))):
            endpoint, entry = next(iter(self._entries.items()))
            if now_ms - entry.merged_ms <= LIFETIME_MS:
                return
            if entry.lasts_until() <= now_ms:
                self._remove(endpoint)
            else:
                self._entries.move_to_end(endpoint)

    def _evict(self) -> None:
        """Guards against one observer that names ever more endpoints: what several saw goes last."""
        oldest = [endpoint for endpoint, _ in zip(self._entries, range(EVICTION_CHOICE), strict=False)]
        self._remove(min(oldest, key=lambda each: self._entries[each].observers()))

    def _remove(self, endpoint: str) -> None:
        del self._entries[endpoint]
        for news in self._news.values():
            news.forget(endpoint)

    # Reading

    def _valid(self, entry: Entry, kind: SignalKind, now_ms: float) -> Iterator[Observed]:
        for observer, seen in entry.seen[kind].items():
            if seen.lasts_until() > now_ms and self._current(observer, seen):
                yield seen

    def evidence(self, endpoint: str, now_ms: float) -> Evidence | None:
        """What is known of an endpoint; None where nothing is."""
        entry = self._entries.get(endpoint)
        if entry is None:
            return None
        never = float("-inf")
        served_at = max((each.at_ms for each in self._valid(entry, SignalKind.SERVED, now_ms)), default=never)
        failed = [each.at_ms for each in self._valid(entry, SignalKind.FAILED, now_ms)]
        failed = [at_ms for at_ms in failed if at_ms > served_at]
        wait = max(self._valid(entry, SignalKind.WAIT, now_ms), key=Observed.lasts_until, default=None)
        if not failed and wait is None and served_at == never:
            return None
        return Evidence(
            endpoint=endpoint,
            failed_by=len(failed),
            first_ms=int(now_ms - min(failed)) if failed else 0,
            last_ms=int(now_ms - max(failed)) if failed else 0,
            served_ms=int(now_ms - served_at) if served_at > never else -1,
            wait_ms=int(wait.lasts_until() - now_ms) if wait else 0,
            wait_age_ms=int(now_ms - wait.at_ms) if wait else 0,
        )

    def _note_news(self, endpoint: str, entry: Entry, kind: SignalKind, now_ms: float) -> None:
        """A longer wait, a later served call, more observers of a failure; not each observation."""
        known = self.evidence(endpoint, now_ms)
        if known is None:
            return
        if known.failed_by <= entry.counted // 2:  # these ended, or somebody was served
            entry.counted = known.failed_by
        served_ms, wait_until = now_ms - known.served_ms, now_ms + known.wait_ms
        if kind is SignalKind.WAIT and wait_until > entry.wait_until + WAIT_NEWS_MS:
            entry.wait_until = wait_until
        elif kind is SignalKind.SERVED and served_ms > entry.served_ms + SERVED_NEWS_MS:
            entry.served_ms = served_ms
        elif kind is SignalKind.FAILED and known.failed_by > entry.counted:
            entry.counted = known.failed_by
        else:
            return
        self._number += 1
        self._news[kind].changed(endpoint, self._number)

    def news(self, after: Sequences, now_ms: float, room: int) -> tuple[tuple[Evidence, ...], Sequences]:
        """What changed after those numbers, and the numbers to ask with the next time: waits first, then
        served, then failed calls, the oldest change first, as many as go into so many bytes, one at least."""
        told: dict[str, Evidence] = {}
        numbers = [*after]
        for place, kind in enumerate(SignalKind):
            for endpoint, number in self._news[kind].after(after[place]):
                known = None if endpoint in told else self.evidence(endpoint, now_ms)
                if known is not None:
                    room -= len(encode(known))
                    if room < 0 and told:
                        return tuple(told.values()), tuple(numbers)
                    told[endpoint] = known
                numbers[place] = number
        return tuple(told.values()), tuple(numbers)
