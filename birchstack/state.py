"""What the decisions keep of documents and calls, and their counters. Nothing is decided or tuned here."""

from __future__ import annotations

import zlib
from collections import deque

from birchstack import interface as our
from birchstack.interface import BINDING, NUMBERED

SPARE = 64  # lines of keys kept beyond twice those in use
NEVER = float("-inf")  # before any time: what others saw may be older than this process
MARK = 6  # letters that stand for an endpoint in notes


def mark(name: str) -> str:
    return f"{zlib.crc32(name.encode()) & 0xFFFFFF:0{MARK}x}"


class Ring:
    """Counts per fixed bucket of time, used again in a ring."""

    def __init__(self, now: float, bucket_ms: float, buckets: int) -> None:
        self._counts, self._start, self._width = [0] * buckets, now, bucket_ms
        self._at = int(now // bucket_ms)

    def _turn(self, now: float) -> None:
        bucket = int(now // self._width)
        for step in range(max(self._at + 1, bucket - len(self._counts) + 1), bucket + 1):
            self._counts[step % len(self._counts)] = 0
        self._at = max(bucket, self._at)

    def add(self, now: float) -> None:
        self._turn(now)
        self._counts[self._at % len(self._counts)] += 1

    def rate(self, now: float, buckets: int | None = None) -> float:
        self._turn(now)
        buckets = buckets or len(self._counts)
        calls = sum(self._counts[(self._at - step) % len(self._counts)] for step in range(buckets))
        span = now - max(self._start, (self._at - buckets + 1) * self._width)
        return calls * 1000.0 / max(span, self._width)


class Meter:
    """Spaces calls out: credit grows with a rate and pays for calls."""

    def __init__(self, now: float, credit: float = 1.0) -> None:
        self.credit, self._at = credit, now

    def wait_ms(self, now: float, rate: float, most: float) -> float:
        self.credit = min(most, self.credit + (now - self._at) * rate / 1000.0)
        self._at = now
        return 0.0 if self.credit >= 0.999 else (1.0 - self.credit) * 1000.0 / rate


class Average:
    """A moving average; the first figure stands for all before it."""

    def __init__(self, part: float) -> None:
        self.value, self._part = 0.0, part

    def add(self, figure: float) -> None:
        self.value += (figure - self.value) * (self._part if self.value else 1.0)


class Fading:
    """A count of which half is forgotten with each half-life; never below zero."""

    def __init__(self, now: float, half_ms: float) -> None:
        self._count, self._at, self._half = 0.0, now, half_ms

    def at(self, now: float, more: float = 0.0) -> float:
        self._count = max(0.0, self._count * 0.5 ** ((now - self._at) / self._half) + more)
        self._at = now
        return self._count

    def clear(self) -> None:
        self._count = 0.0


class Classes:
    """Moving shares of bad cases, by class of a figure; a class with too many is marked for a while."""

    def __init__(self, bounds: tuple[float, ...], part: float, most: float, marked_ms: float) -> None:
        self._bounds, self._part, self._most, self._marked_ms = bounds, part, most, marked_ms
        self._shares, self._until = [0.0] * len(bounds), [0.0] * len(bounds)

    def learn(self, now: float, figure: float, bad: bool) -> None:
        at = sum(figure >= bound for bound in self._bounds) - 1
        if at >= 0:
            self._shares[at] += self._part * (bad - self._shares[at])
            if bad and self._shares[at] > self._most:
                self._until[at] = now + self._marked_ms

    def marked(self, now: float, figure: float) -> bool:
        return any(now < until and figure >= at for until, at in zip(self._until, self._bounds, strict=True))


class Call:
    """A call that is out, with one document or several that share its slot and its fate."""

    def __init__(self, ep, now: float, idle_ms: float) -> None:
        self.ep, self.sent_at, self.idle_ms, self.trial = ep, now, idle_ms, ep.ill
        self.left_at = now  # when it was written, where that comes later
        self.docs, self.heard = 0, False  # documents without an outcome; whether one had its outcome


class Document:
    """What is kept of one document from its submission to its end."""

    def __init__(
        self, given: our.Submission, kind: our.DocumentType, destination, now: float, order: int
    ) -> None:
        past = given.history
        self.id, self.kind, self.destination, self.order = given.id, kind, destination, order
        self.expiry = now + given.remaining_ms
        self.taken = self.expiry - kind.expiry_ms  # when the client first handed it in
        self.ready_at, self.out = now, None  # end of its pause; the call that it is out with
        self.found = past is not our.NO_HISTORY  # taken on before a restart
        self.sent, self.repeats = past.sent, 0  # transmissions, and those that the bucket paid for
        self.doubt = [*past.in_doubt]  # transmissions that may have run: time and zone
        self.over, self.keyline, self.path = False, None, None
        self.back_ms = float("inf")  # when it may come again, where it is rejected for want of a place
        self.worth = 1.0  # of its type's value: less where its tenant sends beyond its share

    def fresh(self) -> bool:  # taken on by this process, and surely not run
        return not self.found and not self.doubt

    def lost(self) -> bool:  # it must not be transmitted again, nor handed in again
        return bool(self.doubt) and self.kind.effect == BINDING

    def known_until(self) -> float:  # its endpoint drops repeats so long, where it may have run
        known = self.doubt and self.kind.effect == NUMBERED
        return self.doubt[0][0] + self.kind.window_ms if known else float("inf")


class Place:
    """What is kept of one endpoint."""

    def __init__(self, entry: our.Endpoint, number: int, now: float, norm: Average, word: Fading) -> None:
        self.name, self.zone, self.kind = entry.name, entry.zone, entry.kind
        self.number, self.state = number, our.READY
        self.norm, self.word = norm, word  # failures lately, here and as told
        self.note_at, self.trials = 0.0, 0  # when it may be told of again; trials out
        self.route = None  # that it belongs to
        self.calls: list[float] = []  # when each call that is out was sent
        self.idle: list[float] = []  # since when each idle connection lies idle
        self.streak, self.failed_at = 0, now  # failures in a row, and when they began
        self.ill, self.failing, self.doubtful = False, 0.0, 0.0  # moving shares: failed, left in doubt
        self.usual_ms = self.recent_ms = 0.0  # slow and fast moving averages of answer times
        self.ok_at, self.back_at = NEVER, None  # when it last served, and answered again after an outage
        self.call, self.blamed = None, 0.0  # made in this turn, others may join; idle time before a time-out
        self.last_failed_at = NEVER  # when its last call failed, here
        self.others_failed_at = self.others_served_at = NEVER  # when other senders saw that last, as reported
        self.others_trusted_at = NEVER  # when it was last taken for back by a report alone

    def hear(self, now: float, report: our.Report) -> int:
        """Keeps when other senders last saw it serve and fail. Returns how many saw failures that count:
        those that began after anybody was served, here or there."""
        if report.served_ms is not None:
            self.others_served_at = max(self.others_served_at, now - report.served_ms)
        if report.failed_by:
            self.others_failed_at = max(self.others_failed_at, now - report.last_ms)
        counts = now - report.first_ms > max(self.ok_at, self.others_served_at)
        return report.failed_by if counts else 0

    def recovery(self, now: float, stage: our.RecoveryStage, since: float) -> our.Recovery:
        """What the next process needs to know of it: its stage, since when, and the sender's usual rate."""
        dest = self.route.destination
        return our.Recovery(self.name, stage, now - since, dest.taken, now - dest.since)

    def joinable(self) -> bool:
        return self.call is not None and self.call.docs < self.route.per_call


def last_back(places: list[Place]) -> float | None:
    """When the last of these came back that are cold."""
    return max((place.back_at for place in places if place.back_at is not None), default=None)


class Keyline:
    """Documents of one key, in the order taken; one at a time, with a rest after doubt."""

    def __init__(self) -> None:
        self.docs: deque[Document] = deque()
        self.rest_until, self.rested_by = 0.0, None

    def rest(self, until: float, doc: Document) -> None:
        self.rest_until, self.rested_by = until, doc

    def used(self, now: float) -> bool:
        while self.docs and self.docs[0].over and self.docs[0].out is None:
            self.docs.popleft()
        return bool(self.docs) or now < self.rest_until

    def allows(self, doc: Document, now: float) -> bool:
        return self.used(now) and self.docs[0] is doc and (now >= self.rest_until or self.rested_by is doc)


class Keys:
    """The line of each key that is in use; those that are no more go when they are many."""

    def __init__(self) -> None:
        self._lines: dict[str, Keyline] = {}
        self._most = SPARE

    def __len__(self) -> int:
        return len(self._lines)

    def join(self, now: float, key: str, doc: Document) -> Keyline:
        if len(self._lines) >= self._most:
            self._lines = {each: line for each, line in self._lines.items() if line.used(now)}
            self._most = 2 * len(self._lines) + SPARE
        line = self._lines.setdefault(key, Keyline())
        line.docs.append(doc)
        return line
