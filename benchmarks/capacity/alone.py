"""One sender's decisions alone, with a simulated clock, at the traffic that it has in a fleet of so many.

Senders pass no notes in `run`, so each decides from what it sees itself: what the fleet does to a
destination is what one sender does, times the senders. Documents come at random (seeded) over the
destinations, evenly. All are well for a while, then a share of them is down for good, by one way of
failing. Simulated: no socket, no disk, no client that comes again.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

from benchmarks.capacity.decisions import EXPIRY_MS, QuietHost, settings
from birchstack import interface as our
from birchstack.decide import Sender

EVENTS, DESTINATIONS, DOWN = 560_000.0, 36_000, 1_692  # a second, of all senders; the target's
PLAYED = 200  # destinations in the play: a pair's rate is the target's
ANSWER_MS = 60.0
REFUSED, ERRING, SILENT = "refused", "erring", "silent"  # at once; after the usual time; never
WAYS = (REFUSED, ERRING, SILENT)


@dataclass(slots=True)
class Seen:
    """What one sender sent in a time, seconds long, to `down` destinations and to the others."""

    seconds: float = 0.0
    down: int = 0
    documents: int = 0  # handed in for those down
    firsts: int = 0  # to those down: first tries while not known as ill
    trials: int = 0  # calls to one known as ill, whether first tries or paid from the bucket
    repeats: int = 0  # repeats while not known as ill
    all_firsts: int = 0  # first tries and repeats, wherever to
    all_repeats: int = 0
    looks: int = 0  # moments looked at, one each second; of these:
    share: int = 0  # repeats were held back by the share over all
    bucket: int = 0  # destinations down with less than a token in their bucket, added up
    ill: int = 0  # likewise: an endpoint known as ill
    given_up: int = 0  # documents for those down that had their end undelivered

    def each_down(self, many: int, senders: int) -> float:
        """A second, of all senders, to one destination that is down."""
        return many * senders / self.seconds / self.down

    @property
    def sent(self) -> int:
        return self.firsts + self.trials + self.repeats


class Alone(QuietHost):
    """The host of one sender: time, destinations, documents."""

    def __init__(
        self, senders: int, share_down: float, way: str, seed: int, played: int = PLAYED, endpoints: int = 1
    ) -> None:
        """endpoints: of each destination; of one that is down the first endpoint alone is."""
        self._senders, self._way, self.now = senders, way, 0.0
        self._chance = random.Random(f"alone {seed} {senders} {share_down} {way}")
        self._sender = Sender(settings(senders), seed, self)
        self._played, self._down = played, max(1, round(played * share_down))
        self.pair_ms = 1000.0 / (EVENTS / DESTINATIONS / senders)  # from one document to the next
        self._heap: list[tuple[float, int, tuple]] = []
        self._order, self._alarm, self._documents, self._is_down = 0, float("inf"), 0, False
        self._seen = Seen()
        listed = [
            our.Endpoint(f"e{at}-{number}", at, "a", 0, our.READY, 0.0)
            for at in range(played)
            for number in range(endpoints)
        ]
        self._sender.endpoints(0.0, our.WHOLE, listed)
        self._sender.turn(0.0)
        self._later(0.0, ("document",))
        self._later(500.0, ("look",))

    def run(self, seconds: float, down: bool = False) -> Seen:
        """Lets time pass; what was sent in it."""
        self._is_down, self._seen, end = down, Seen(seconds, self._down), self.now + seconds * 1000.0
        while (due := max(self.now, min(self._heap[0][0], self._alarm))) <= end:
            self.now = due
            if self._alarm <= due:
                self._alarm = float("inf")
            while self._heap[0][0] <= due:
                self._happens(*heapq.heappop(self._heap)[2])
            self._sender.turn(self.now)
        self.now = end
        return self._seen

    def _later(self, ms: float, what: tuple) -> None:
        self._order += 1
        heapq.heappush(self._heap, (self.now + ms, self._order, what))

    def _happens(self, what: str, *words: object) -> None:
        if what == "document":
            self._later(self._chance.expovariate(1.0) * self.pair_ms / self._played, ("document",))
            self._documents += 1
            at = self._chance.randrange(self._played)
            self._seen.documents += at < self._down
            self._sender.document(self.now, our.Submission(f"d{self._documents}", at, "sync", EXPIRY_MS))
        elif what == "look":
            self._look()
        else:
            self._sender.outcome(self.now, *words)

    def _look(self) -> None:
        self._later(1000.0, ("look",))
        seen, dests = self._seen, [self._sender._destinations[at] for at in range(self._down)]
        seen.looks += 1
        seen.share += self._sender._retries_capped
        seen.bucket += sum(dest.retry_tokens < 1.0 for dest in dests)
        seen.ill += sum(any(ep.ejected for ep in dest.routes[0].endpoints) for dest in dests)

    # What the decisions ask for

    def transmit(self, doc_id: str, endpoint: str, timeout_ms: float) -> None:
        doc, seen = self._sender._held[doc_id], self._seen
        at, which = map(int, endpoint[1:].split("-"))
        seen.all_repeats += doc.retries > 0
        seen.all_firsts += doc.retries == 0
        kind, ms = our.OK, ANSWER_MS
        if at < self._down and not which and self._is_down:
            ill = doc.call.probe
            seen.trials += ill
            seen.repeats += not ill and doc.retries > 0
            seen.firsts += not ill and doc.retries == 0
            kind, ms = {
                REFUSED: (our.CONNECT_FAILED, 1.0),
                ERRING: (our.ERROR, ANSWER_MS),
                SILENT: (our.TIMEOUT, timeout_ms),
            }[self._way]
        self._later(ms, ("outcome", doc_id, endpoint, our.Outcome(kind, doc.sent - 1, ms, kind == our.OK)))

    def _ended(self, doc_id: str) -> None:
        doc = self._sender._held[doc_id]
        self._seen.given_up += doc.destination.number < self._down and self._is_down

    def reject(self, doc_id: str, retry_after_ms: float) -> None:
        self._ended(doc_id)

    def abandon(self, doc_id: str) -> None:
        self._ended(doc_id)

    def wake(self, after_ms: float) -> None:
        self._alarm = min(self._alarm, self.now + max(after_ms, 0.02))
