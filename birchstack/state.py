"""State of documents, calls and endpoints, and the counters that decide.py uses. No decision is made here."""

from __future__ import annotations

import zlib
from collections import deque

from birchstack import interface
from birchstack.interface import BINDING, NUMBERED

SPARE_KEYS = 64  # key queues kept beyond twice the number in use
NEVER = float("-inf")  # before any time: reported events may be older than this process
ENDPOINT_TAG_LENGTH = 6  # characters that stand for an endpoint in notes


def endpoint_tag(name: str) -> str:
    """Returns the short hash that stands for an endpoint in notes."""
    return f"{zlib.crc32(name.encode()) & 0xFFFFFF:0{ENDPOINT_TAG_LENGTH}x}"


class RateWindow:
    """Counts events over a sliding window, in a ring of buckets of fixed width."""

    def __init__(self, now: float, bucket_ms: float, buckets: int) -> None:
        self._counts = [0] * buckets
        self._start = now
        self._bucket_ms = bucket_ms
        self._newest = int(now // bucket_ms)

    def _advance(self, now: float) -> None:
        """Clears the buckets that began since the last call."""
        bucket = int(now // self._bucket_ms)
        for step in range(max(self._newest + 1, bucket - len(self._counts) + 1), bucket + 1):
            self._counts[step % len(self._counts)] = 0
        self._newest = max(bucket, self._newest)

    def add(self, now: float) -> None:
        """Counts one event."""
        self._advance(now)
        self._counts[self._newest % len(self._counts)] += 1

    def rate(self, now: float, buckets: int | None = None) -> float:
        """Returns events per second over the newest buckets, by default over all of them."""
        self._advance(now)
        buckets = buckets or len(self._counts)
        events = sum(self._counts[(self._newest - step) % len(self._counts)] for step in range(buckets))
        span_ms = now - max(self._start, (self._newest - buckets + 1) * self._bucket_ms)
        return events * 1000.0 / max(span_ms, self._bucket_ms)


class TokenBucket:
    """Paces calls: tokens accrue at a rate, and each call costs one."""

    def __init__(self, now: float, tokens: float = 1.0) -> None:
        self.tokens = tokens
        self._updated_at = now

    def wait_ms(self, now: float, rate: float, capacity: float) -> float:
        """Refills the bucket and returns the time until it holds a token; rate is in tokens per second."""
        self.tokens = min(capacity, self.tokens + (now - self._updated_at) * rate / 1000.0)
        self._updated_at = now
        return 0.0 if self.tokens >= 0.999 else (1.0 - self.tokens) * 1000.0 / rate


class MovingAverage:
    """An exponential moving average that starts at the first sample."""

    def __init__(self, weight: float) -> None:
        self.value = 0.0
        self._weight = weight

    def add(self, sample: float) -> None:
        """Adds one sample."""
        self.value += (sample - self.value) * (self._weight if self.value else 1.0)


class DecayingCount:
    """A count that decays by half with each half-life and never falls below zero."""

    def __init__(self, now: float, half_life_ms: float) -> None:
        self._count = 0.0
        self._updated_at = now
        self._half_life_ms = half_life_ms

    def value(self, now: float, increment: float = 0.0) -> float:
        """Adds an increment to the decayed count and returns the result."""
        self._count = max(
            0.0, self._count * 0.5 ** ((now - self._updated_at) / self._half_life_ms) + increment
        )
        self._updated_at = now
        return self._count

    def clear(self) -> None:
        """Sets the count to zero."""
        self._count = 0.0


class ClassedFailureRates:
    """Moving failure rates by class of a measured value; a class with a high rate is flagged for a while."""

    def __init__(self, bounds: tuple[float, ...], weight: float, threshold: float, flagged_ms: float) -> None:
        self._bounds = bounds
        self._weight = weight
        self._threshold = threshold
        self._flagged_ms = flagged_ms
        self._rates = [0.0] * len(bounds)
        self._flagged_until = [0.0] * len(bounds)

    def record(self, now: float, value: float, failed: bool) -> None:
        """Records a success or a failure in the class of the value; values below all classes are ignored."""
        at = sum(value >= bound for bound in self._bounds) - 1
        if at >= 0:
            self._rates[at] += self._weight * (failed - self._rates[at])
            if failed and self._rates[at] > self._threshold:
                self._flagged_until[at] = now + self._flagged_ms

    def flagged(self, now: float, value: float) -> bool:
        """Returns whether the class of the value, or a lower one, is flagged."""
        return any(
            now < until and value >= bound
            for until, bound in zip(self._flagged_until, self._bounds, strict=True)
        )


class Call:
    """A call in flight. It carries one document, or several that share its slot and its outcome."""

    def __init__(self, endpoint, now: float, idle_ms: float) -> None:
        self.endpoint = endpoint
        self.sent_at = now
        self.idle_ms = idle_ms  # how long its connection was idle before
        self.probe = endpoint.ejected
        self.written_at = now  # updated when it is written, if that is later
        self.pending = 0  # documents without an outcome
        self.answered = False  # whether one of its documents had its outcome


class Document:
    """State of one document from its submission to its end."""

    def __init__(
        self,
        given: interface.Submission,
        document_type: interface.DocumentType,
        destination,
        now: float,
        sequence: int,
    ) -> None:
        history = given.history
        self.id = given.id
        self.type = document_type
        self.destination = destination
        self.sequence = sequence
        self.expiry = now + given.remaining_ms
        self.submitted_at = self.expiry - document_type.expiry_ms  # first submission by the client
        self.ready_at = now  # end of its backoff
        self.call = None  # the call in flight that carries it
        self.restored = history is not interface.NO_HISTORY  # received before a restart
        self.sent = history.sent  # transmissions made
        self.retries = 0  # transmissions paid for by the retry budget
        self.in_doubt = [*history.in_doubt]  # time and zone of the transmissions that may have run
        self.finished = False
        self.key_queue = None
        self.delivery = None  # the generator that runs its delivery
        self.retry_after_ms = float("inf")  # bound on the retry time given to the client, if it is rejected
        self.value_factor = 1.0  # share of its type's value; less beyond its tenant's quota

    def evictable(self) -> bool:
        """Returns whether it was received by this process and certainly has not run."""
        return not self.restored and not self.in_doubt

    def unrepeatable(self) -> bool:
        """Returns whether it must be neither transmitted nor submitted again."""
        return bool(self.in_doubt) and self.type.effect == BINDING

    def window_end(self) -> float:
        """Returns until when its endpoint drops duplicates, if it may have run; else infinity."""
        windowed = self.in_doubt and self.type.effect == NUMBERED
        return self.in_doubt[0][0] + self.type.window_ms if windowed else float("inf")


class EndpointState:
    """State of one endpoint."""

    def __init__(
        self,
        entry: interface.Endpoint,
        number: int,
        now: float,
        overall_answer_ms: MovingAverage,
        recent_failures: DecayingCount,
    ) -> None:
        self.name = entry.name
        self.zone = entry.zone
        self.kind = entry.kind
        self.number = number
        self.state = interface.READY
        self.overall_answer_ms = overall_answer_ms  # over all endpoints of this sender
        self.recent_failures = recent_failures  # seen here or received in notes
        self.next_note_at = 0.0  # earliest time of the next note about it
        self.probes_in_flight = 0
        self.route = None
        self.in_flight: list[float] = []  # send time of each call in flight
        self.idle_since: list[float] = []  # for each idle connection, when it became idle
        self.failure_streak = 0
        self.streak_began_at = now
        self.ejected = False
        self.failure_rate = 0.0  # moving share of failed calls
        self.doubt_rate = 0.0  # moving share of calls that left a document in doubt
        self.usual_ms = 0.0  # slow moving average of answer times
        self.recent_ms = 0.0  # fast moving average of answer times
        self.served_at = NEVER  # when it last served a call
        self.returned_at = None  # when it returned from an outage; None once it is warm
        self.open_call = None  # a call made in this turn that other documents may join
        self.suspect_idle_ms = 0.0  # idle time of the connection before the last time-out
        self.last_failed_at = NEVER  # last failure of a call of this sender
        self.others_failed_at = NEVER  # last failure that other senders reported
        self.others_served_at = NEVER  # last success that other senders reported
        self.others_trusted_at = NEVER  # when it last returned to service because of a report alone

    def apply_report(self, now: float, report: interface.Report) -> int:
        """Records when other senders last saw it serve and fail, and returns how many saw relevant failures.

        Failures are relevant if they began after the last call that was served, here or to another sender.
        """
        if report.served_ms is not None:
            self.others_served_at = max(self.others_served_at, now - report.served_ms)
        if report.failed_by:
            self.others_failed_at = max(self.others_failed_at, now - report.last_ms)
        relevant = now - report.first_ms > max(self.served_at, self.others_served_at)
        return report.failed_by if relevant else 0

    def recovery(self, now: float, stage: interface.RecoveryStage, since: float) -> interface.Recovery:
        """Returns what the next process needs: the stage, its age and the usual rate of the destination."""
        destination = self.route.destination
        return interface.Recovery(
            self.name, stage, now - since, destination.received, now - destination.counted_since
        )

    def joinable(self) -> bool:
        """Returns whether a document may join a call made in this turn."""
        return self.open_call is not None and self.open_call.pending < self.route.per_call


def latest_return(endpoints: list[EndpointState]) -> float | None:
    """Returns when the last of the endpoints that are warming up returned, or None if none is."""
    return max(
        (endpoint.returned_at for endpoint in endpoints if endpoint.returned_at is not None), default=None
    )


class KeyQueue:
    """Documents of one ordering key, in order of submission.

    One is transmitted at a time, with a rest after a transmission that may have run.
    """

    def __init__(self) -> None:
        self.documents: deque[Document] = deque()
        self.rest_until = 0.0
        self.rest_exempt = None  # the document that caused the rest, which need not observe it

    def rest(self, until: float, document: Document) -> None:
        """Holds back all documents but this one until a time."""
        self.rest_until = until
        self.rest_exempt = document

    def in_use(self, now: float) -> bool:
        """Drops finished documents at the head and returns whether a document or a rest remains."""
        while self.documents and self.documents[0].finished and self.documents[0].call is None:
            self.documents.popleft()
        return bool(self.documents) or now < self.rest_until

    def allows(self, document: Document, now: float) -> bool:
        """Returns whether the document may be transmitted now."""
        return (
            self.in_use(now)
            and self.documents[0] is document
            and (now >= self.rest_until or self.rest_exempt is document)
        )


class KeyQueues:
    """The queue of each ordering key in use. Unused queues are removed when there are many."""

    def __init__(self) -> None:
        self._queues: dict[str, KeyQueue] = {}
        self._cleanup_size = SPARE_KEYS

    def __len__(self) -> int:
        return len(self._queues)

    def enqueue(self, now: float, key: str, document: Document) -> KeyQueue:
        """Appends a document to its key's queue and returns the queue."""
        if len(self._queues) >= self._cleanup_size:
            self._queues = {each: queue for each, queue in self._queues.items() if queue.in_use(now)}
            self._cleanup_size = 2 * len(self._queues) + SPARE_KEYS
        queue = self._queues.setdefault(key, KeyQueue())
        queue.documents.append(document)
        return queue
