"""The decision logic of one sender.

Create a Sender(settings, seed, host), report events to it (the Events protocol of interface.py) and end each
group of simultaneous events with turn(now). The sender acts through its Host. Times are in milliseconds. See
docs/design.md.

Reading order: Sender._deliver is the ordinary path of a document. Sender._transmit and Sender._finish are the
only places that transmit and answer; the rules are enforced there. Sender._fill chooses what is sent where.
"""

from __future__ import annotations

import heapq
import random
from bisect import insort
from collections.abc import Generator

from birchstack import interface, state
from birchstack.interface import BINDING, CANCELLED, CONNECT_FAILED, FULL, NUMBERED, OK, READY, UNSENT
from birchstack.state import (
    ENDPOINT_TAG_LENGTH,
    Call,
    ClassedFailureRates,
    DecayingCount,
    Document,
    EndpointState,
    KeyQueues,
    MovingAverage,
    RateWindow,
    TokenBucket,
    endpoint_tag,
)

# Retry budget and backoff
RETRY_TOKENS = 10.0  # capacity of each destination's retry budget
RETRY_TOKENS_PER_TRANSMISSION = 0.1  # refill of the budget
RETRY_RATIO = 0.25  # bound on retries per first try, over all destinations
SPARE_RETRIES_PER_S = 0.25  # retries allowed in addition to that ratio
BACKOFF_MS = 100.0  # first bound of the exponential backoff, with full jitter
MAX_BACKOFF_MS = 2000.0
NEVER_RAN = (FULL, CONNECT_FAILED, UNSENT)  # outcomes that prove that the document had no effect

# Time-outs of calls
MIN_TIMEOUT_MS = 2000.0  # destinations pause and stall for short times
MIN_TIMEOUT_PART_WHEN_BUSY = 0.3  # part of that minimum that remains while all slots stay taken
SLOT_LOAD_MS = 1000.0  # averaging time of the share of slots taken
TIMEOUT_FACTOR = 8.0  # a time-out is this many usual answer times
SCARCE_TIMEOUT_FACTOR = 5.0  # the same while slots are scarce
SCARCE_SLOTS_SHARE = 0.75  # slots are scarce from this share in flight

# Detection of failing, slow and silent endpoints
EJECT_STREAK = 3  # failures in a row that eject an endpoint
BRIEF_FAILURES = 2  # added to the streak if calls fail at once; also the shortest run that means an outage
EJECT_FAILURE_RATE = 0.5  # moving share of failed calls that ejects an endpoint
MAX_DOUBT_RATE = 0.25  # binding documents wait if a larger share of calls left documents in doubt
RESTART_FAILED_SHARE = 0.03  # share of documents failed before a restart from which only probes are sent
SLOW_FACTOR = 3.0  # an endpoint is slow if its recent answer time is this many usual ones
OVERDUE_MS = 500.0  # least time without an answer after which one is overdue
OVERDUE_FACTOR = 4.0  # and this many usual answer times

# Probes of ejected endpoints, and the slots that degraded destinations may use
PROBE_INTERVAL_MS = 300.0  # initial, doubles with each failed probe; a call that fails sooner failed at once
MAX_PROBE_INTERVAL_MS = 2000.0
# divided by documents per second: the usual time of 2 documents in ms, used if longer than the maximum
PROBE_SPACING = 2000.0
DEGRADED_SLOTS_PART = 0.5  # of half the slots, the part that all degraded destinations may use together

# Pacing under a destination's limit; the share of the limit changes in proportion to the sender's own part
CUT_FACTOR = 0.6  # a cut multiplies the share by this for one of many senders
CUT_FACTOR_ALONE = 0.2  # added in proportion to the own part: a lone sender cuts less
GROWTH_PER_S = 0.2  # growth of the share per second, in own parts, for one of many senders
GROWTH_PER_S_ALONE = 0.1  # added in proportion to the own part: a lone sender grows faster
OWN_PART_FACTOR = 2.0  # the own part is this many times the sender's part of the traffic
REFUSED_PART_FACTOR = 0.4  # the same if everything is refused and calls are too few to tell
CUT_HEADROOM = 0.2  # the share is cut if less headroom is reported
SLOW_HEADROOM = 0.4  # the pace slows down at once if less headroom is reported
HEADROOM_VALID_MS = 1000.0  # reported headroom is used this long
CUT_INTERVAL_MS = 300.0  # least time between two cuts
MIN_FLEET_RATE = 4.0  # least calls per second to a destination assumed for all senders together
MIN_PACE = 0.5  # least calls per second to a destination for one sender
SHUT_MS = 3000.0  # a destination that refuses everything for this long is shut
LONG_WAIT_MS = 2000.0  # a destination that asks for a longer wait is shut; a shorter one belongs to a limit
MAX_GUESSED_SHARE = 4.0  # growth bound where the limit is not reported but guessed from the first rate
PACE_BURST_S = 0.25  # burst: this many seconds of the pace
OUTAGE_MS = 1000.0  # an endpoint whose calls all failed for this long is cold when it serves again

# Requests for the endpoint list, and alarms
LIST_RETRY_MS = 500.0  # delay before the list is requested again; doubles with each failure
MAX_LIST_RETRY_MS = 8000.0
ALARM_TOLERANCE_MS = 1.0  # an alarm may come this early

# Calls, connections and bookkeeping
CALL_MS = 100.0  # least time that a call is assumed to take
UNUSED_DESTINATIONS = 64  # unused destinations kept before they are removed
IDLE_CLASSES_MS = (250.0, 500.0, 1000.0, 2000.0, 4000.0, 8000.0)  # classes of a connection's idle time
STALE_WEIGHT = 0.25  # weight of one call in the reset rate of its idle-time class
STALE_RESET_RATE = 0.4  # a class with a higher reset rate is stale
STALE_FOR_MS = 20000.0  # a class stays stale this long
ANSWER_TIME_WEIGHT = 0.05  # weight of one call in the answer time over all endpoints

# Bounds on notes between senders
FLEET_NOTES_PER_S = 20.0  # notes of all senders together
NOTE_BURST = 3.0  # notes of one sender at once

# Rates and warm-up
BUCKET_MS = 1000.0  # bucket width of rate windows
BUCKETS = 8
WARM_UP_RATE_FACTOR = 1.2  # a cold endpoint gets its warm-up share of the usual rate times this

# Content and effect of notes between senders
NOTE_INTERVAL_MS = 500.0  # least time between two notes about one endpoint
FAILURE_HALF_LIFE_MS = 1000.0  # half-life of the count of recent failures
NO_IDLE_MS = 60000.0  # no connections to a kind are kept idle for this long after one was denied
FAILURES_TO_EJECT = 2.2  # recent failures that eject an endpoint
FAILURES_TO_HOLD_BINDING = 1.5  # recent failures above which binding documents wait
MIN_FLEET_PROBES_PER_S = 2.0  # least probes per second of all senders together
PROBE_TRAFFIC_SHARE = 0.1  # probes as a share of the usual traffic, if that is more
FAILED_TRAFFIC_SHARE = 0.3  # failures count as an outage if they are this share of the usual traffic
NOTE_FAILED = "f"  # the codes of what a note says about an endpoint
NOTE_WAIT = "w"
NOTE_SERVES = "s"
NOTE_RETURNED = "b"
NOTE_NO_CONNECTIONS = "k"
MAX_PEER_WAIT_MS = 30000.0  # a wait received in a note is observed for at most this long
STALL_MS = 300.0  # an alarm later than this means that the process was stalled

# Reports of other senders
MIN_QUORUM = 3.0  # least senders whose reported failures eject an endpoint
QUORUM_TRAFFIC_MS = 2000.0  # the quorum grows with the traffic that would fail in this time
TRUST_INTERVAL_MS = 30000.0  # a return to service that is only reported is trusted once in this time

# Warm-up with notes, where all senders learn of a return at one time
MIN_DRAIN_MS = 4000.0  # waiting documents are spread over at least this long
NOTIFIED_WARM_UP_FACTOR = 1.5  # factor of the warm-up rate


def overdue(endpoint: EndpointState, now: float) -> bool:
    """Returns whether an answer is late while nothing else is served; this shows earlier than a time-out."""
    since = max(endpoint.served_at, endpoint.in_flight[0]) if endpoint.in_flight else now
    return now - since > max(
        OVERDUE_MS, OVERDUE_FACTOR * (endpoint.usual_ms or endpoint.overall_answer_ms.value)
    )


class Route:
    """Endpoints that share a limit, requested waits and outages.

    These are all endpoints of a destination, or a single one where the settings keep routes apart.

    The pace keeps a sender under a limit that it shares with others: its share is cut when little headroom is
    reported or a call is refused, and grows back over time; little headroom slows the pace down at once.
    """

    def __init__(self, destination: Destination, per_call: int, limit: float, now: float) -> None:
        self.destination = destination
        self.endpoints: list[EndpointState] = []
        self.ejected_at = now  # when its first endpoint was ejected
        self.outage_ms = 0.0  # duration of the last outage
        self.failure_run = 0  # failures since it last served
        self.run_began_at = now
        self.refusals = 0  # calls refused since it last served
        self.wait_until = 0.0  # end of a wait that it requested
        self.peer_wait_until = (
            0.0  # end of a wait that it requested from another sender, as received in a note
        )
        self.equal_share = float("inf")  # the limit divided by the number of senders
        self.per_call = per_call
        self.next_probe_at = 0.0
        self.probe_interval_ms = PROBE_INTERVAL_MS
        self.warm_up = TokenBucket(now)
        self.shared_probing = False  # whether other senders reported its failures and probe it too
        self.limit = limit
        self.share = 1.0  # of the limit, used by this sender
        self.share_updated_at = now
        self.next_cut_at = 0.0
        self.headroom = 1.0  # as last reported
        self.headroom_at = now
        self.pacer = TokenBucket(now)
        self.served = RateWindow(now, BUCKET_MS, BUCKETS)

    def wait_ms(self, now: float, least: float) -> float:
        """Returns the time until requested waits have passed and the pace allows a call."""
        until = max(self.wait_until, self.peer_wait_until)
        if now < until or not self.limit:
            return max(0.0, until - now)
        headroom = self.headroom if now - self.headroom_at < HEADROOM_VALID_MS else 1.0
        shared = self.limit * self.share * min(1.0, max(CUT_HEADROOM, headroom / SLOW_HEADROOM))
        pace = max(shared, min(MIN_PACE, least))
        return self.pacer.wait_ms(now, pace, max(1.0, pace * PACE_BURST_S))

    def degraded(self, now: float) -> bool:
        """Returns whether a ready endpoint is ejected, slow or overdue."""
        ready = (endpoint for endpoint in self.endpoints if endpoint.state == READY)
        return any(
            endpoint.ejected or endpoint.recent_ms > SLOW_FACTOR * endpoint.usual_ms or overdue(endpoint, now)
            for endpoint in ready
        )

    def grow_share(self, now: float, own_part: float, most: float) -> None:
        """Grows the share of the limit with the time since the last change, up to a bound."""
        step = (
            own_part
            * (GROWTH_PER_S + GROWTH_PER_S_ALONE * own_part)
            * min(1.0, (now - self.share_updated_at) / 1000.0)
        )
        self.share = min(most, self.share + step)
        self.share_updated_at = now

    def cut_share(self, now: float, own_part: float, least: float) -> None:
        """Cuts the share of the limit, at most once in CUT_INTERVAL_MS."""
        self.share_updated_at = now
        if now >= self.next_cut_at:
            self.share = max(min(self.share, own_part) * (CUT_FACTOR + CUT_FACTOR_ALONE * own_part), least)
            self.next_cut_at = now + CUT_INTERVAL_MS  # calls refused together cause one cut


class Destination:
    """A destination: its queue of documents, its retry budget and its concurrency window."""

    def __init__(self, number: int, settings: interface.Settings, next_endpoint: int, now: float) -> None:
        self.number = number
        self.counted_since = now  # start of the time in which received is counted
        self.restored_documents = False  # whether documents of an earlier process were handed over
        self.restored_rate = False  # whether an earlier process saved the usual rate
        self.received = 0  # documents
        self.failed_before_restart = 0  # transmissions
        self.on_disk = 0  # documents that the host keeps on disk
        self.routes: list[Route] = []
        self.queue: list[Document] = []
        self.window = float("inf")
        self.retry_tokens = RETRY_TOKENS
        self.in_flight = 0  # calls
        self.next_endpoint = next_endpoint  # where the round-robin goes on
        self.resize(settings)

    def resize(self, settings: interface.Settings) -> None:
        """Applies the settings to the bounds of the concurrency window and of the rate."""
        slots = settings.slots
        self.min_rate = MIN_FLEET_RATE / settings.senders
        self.half_slots = max(1, slots // 2)
        self.max_window = max(1, slots * 3 // 4)
        self.window = (
            float(self.half_slots) if self.window > 1e9 else min(self.window, float(self.max_window))
        )

    def rate(self, now: float) -> float:
        """Returns its usual rate in documents per second, at least an equal part of MIN_FLEET_RATE."""
        return max(self.min_rate, self.received * 1000.0 / max(now - self.counted_since, BUCKETS * BUCKET_MS))

    def route_rate(self, now: float) -> float:
        """Returns the usual rate of one of its routes."""
        return self.rate(now) / max(1, len(self.routes))

    def in_use(self, now: float) -> bool:
        """Returns whether it has documents, calls, endpoints or a requested wait."""
        return bool(
            self.queue
            or self.in_flight
            or any(route.endpoints or now < route.wait_until for route in self.routes)
        )

    def degraded(self, now: float) -> bool:
        """Returns whether one of its routes is degraded."""
        return any(route.degraded(now) for route in self.routes)


class Sender:
    """Makes all decisions of one sender. It implements the Events protocol; see the head of this module."""

    def __init__(self, settings: interface.Settings, seed: int, host: interface.Host) -> None:
        self._settings = settings
        self._host = host
        self._types = {each.name: each for each in settings.types}
        self._draw = random.Random(seed).uniform
        self._destinations: dict[int, Destination] = {}
        self._first_endpoint = int(self._draw(0.0, 64.0))  # so that senders start at different endpoints
        self._endpoints = {}  # by name
        self._endpoints_by_tag = {}
        self._overall_answer_ms = MovingAverage(ANSWER_TIME_WEIGHT)
        self._note_bucket = TokenBucket(0.0)
        self._held = {}  # documents not yet answered
        self._answered_in_flight = {}  # documents answered while a transmission is in flight
        self._key_queues = KeyQueues()
        self._last_starts: list[tuple[float, int, Document]] = []  # heap of the latest useful call times
        self._sequence = 0
        self._in_flight = 0  # calls
        self._alarm = float("inf")
        self._changed = True  # whether something happened that the next turn must act on
        self._idle_resets = ClassedFailureRates(IDLE_CLASSES_MS, STALE_WEIGHT, STALE_RESET_RATE, STALE_FOR_MS)
        self._no_idle_until: dict[int, float] = {}  # by kind: no connection is kept idle until then
        self._first_tries = RateWindow(0.0, BUCKET_MS, BUCKETS)
        self._retries = RateWindow(0.0, BUCKET_MS, BUCKETS)
        self._called = []  # endpoints called in this turn
        self._idle_changed = {}  # endpoints whose idle connections may have to be closed
        self._retries_capped = False
        self._failed_before_restart: dict[int, Destination] = {}
        self._listed_since_start = False  # a list from before the start may be out of date
        self._slot_load = 0.0  # moving average of the share of slots taken
        self._last_slot_load = 0.0  # share of slots taken after the last turn
        self._last_turn_at = 0.0
        self._list_retry_ms = LIST_RETRY_MS
        self._list_request_at = self._draw(0.0, LIST_RETRY_MS) if settings.list_on_request else float("inf")
        self._quotas = dict(settings.tenants)
        self._tenant_rates = {}  # documents received, by tenant
        self._signals_available = False

    def endpoints(self, now: float, mode: str, entries: list[interface.Endpoint]) -> None:
        """Applies the endpoint list or changes to it.

        An endpoint that is ready again after a drain, or after an operator disabled it, is cold.
        """
        self._changed = True
        self._listed_since_start = self._listed_since_start or mode in (interface.CHANGES, interface.WHOLE)
        if mode == interface.FAILED:
            deemed_told = 2.0 * (self._settings.list_every_ms or MAX_LIST_RETRY_MS)
            self._list_retry_ms = min(MAX_LIST_RETRY_MS, deemed_told, self._list_retry_ms * 2.0)
            self._list_request_at = now + self._draw(0.5, 1.0) * self._list_retry_ms
            return
        if mode != interface.CHANGES:  # an endpoint missing from a whole list is gone
            for endpoint in self._endpoints.values():
                endpoint.state = interface.GONE
        for entry in entries:
            if entry.name not in self._endpoints:
                self._add_endpoint(now, entry)
            endpoint = self._endpoints[entry.name]
            if endpoint.kind != entry.kind:  # the kind became known only with other settings
                endpoint.kind = entry.kind
                self._regroup(now, endpoint.route.destination)
            if endpoint.state == interface.DRAINING and entry.state == READY:  # never so with a whole list
                endpoint.returned_at = now
                self._host.save_recovery(endpoint.recovery(now, interface.RecoveryStage.WARMING, now))
            endpoint.state = entry.state
        for endpoint in [each for each in self._endpoints.values() if each.state == interface.GONE]:
            del self._endpoints[endpoint.name]
            self._endpoints_by_tag.pop(endpoint_tag(endpoint.name), None)
            self._idle_changed[endpoint.name] = endpoint
            endpoint.route.endpoints.remove(endpoint)
            if not endpoint.route.endpoints and len(endpoint.route.destination.routes) > 1:
                endpoint.route.destination.routes.remove(endpoint.route)
        if len(self._destinations) > len(self._endpoints) + UNUSED_DESTINATIONS:
            self._destinations = {
                number: destination
                for number, destination in self._destinations.items()
                if destination.in_use(now)
            }

    def document(self, now: float, given: interface.Submission) -> None:
        """Accepts a document and starts its delivery."""
        self._sequence += 1
        self._changed = True
        destination = self._destination(given.destination, now)
        history = given.history
        tenant = given.tenant
        # restored documents are part of a restored rate
        destination.received += not (destination.restored_rate and history is not interface.NO_HISTORY)
        destination.failed_before_restart += history.failed
        destination.restored_documents = destination.restored_documents or history is not interface.NO_HISTORY
        if history.failed:
            self._failed_before_restart[destination.number] = destination
        document = Document(given, self._types[given.type_name], destination, now, self._sequence)
        if tenant in self._quotas:  # all senders are assumed to receive as much of the tenant as this one
            received = self._tenant_rates.setdefault(
                tenant, RateWindow(-BUCKETS * BUCKET_MS, BUCKET_MS, BUCKETS)
            )
            received.add(now)
            beyond = max(0.0, 1.0 - self._quotas[tenant] / (received.rate(now) * self._settings.senders))
            document.value_factor = 1.0 - beyond * (1.0 - self._settings.over_share)
        if given.key is not None and document.type.in_order:
            document.key_queue = self._key_queues.enqueue(now, given.key, document)
            if document.in_doubt:  # a call in flight when the earlier process ended may still run
                document.key_queue.rest(now + self._settings.key_rest_ms, document)
        self._held[document.id] = document
        document.delivery = self._deliver(document)
        self._resume(now, document, None)

    def outcome(self, now: float, doc_id: str, endpoint: str, outcome: interface.Outcome) -> None:
        """Handles the end of a transmission."""
        self._changed = True
        document = self._held.get(doc_id) or self._answered_in_flight.get(doc_id)
        if document is None or document.call is None or outcome.attempt != document.sent - 1:
            return
        call = document.call
        document.call = None
        self._answered_in_flight.pop(doc_id, None)
        call.pending -= 1
        if outcome.wait_ms > 0:
            call.endpoint.route.wait_until = max(call.endpoint.route.wait_until, now + outcome.wait_ms)
            if self._signals_available and outcome.wait_ms > LONG_WAIT_MS:  # a shorter one belongs to a limit
                self._host.observed(call.endpoint.name, interface.SignalKind.WAIT, outcome.wait_ms)
        if call.pending == 0:
            self._end_call(now, document.destination, call, outcome.kind, outcome.reusable)
        if not call.answered and outcome.kind not in (UNSENT, CANCELLED):
            self._learn(now, document.destination, call, outcome)  # once per call, however many share it
        call.answered = True
        if outcome.kind not in NEVER_RAN and outcome.kind != OK:
            document.in_doubt.append((call.written_at, call.endpoint.zone))
            if document.key_queue:
                document.key_queue.rest(now + self._settings.key_rest_ms, document)
        if not document.finished:
            self._end(document) if outcome.final else self._resume(now, document, outcome)

    def _destination(self, number: int, now: float) -> Destination:
        """Returns a destination, created if it is new."""
        if number not in self._destinations:
            self._destinations[number] = Destination(
                number, self._settings, self._first_endpoint + number, now
            )
        return self._destinations[number]

    def restore_wait(self, now: float, endpoint: str, wait_ms: float) -> None:
        """Observes a wait that an endpoint requested from the previous process."""
        if found := self._endpoints.get(endpoint):
            found.route.wait_until = max(found.route.wait_until, now + wait_ms)
            if wait_ms > LONG_WAIT_MS:
                self._eject(now, found.route.destination, found.route, found, FULL)

    def restore_recovery(self, now: float, known: interface.Recovery) -> None:
        """Continues a recovery that the previous process saved.

        Prevents the new process from overloading an endpoint that the previous one found down or cold.
        Drawback: an endpoint that returned or warmed up while no process ran gets one call first, then the
        warm-up.
        """
        if (endpoint := self._endpoints.get(known.endpoint)) is None:
            return
        route = endpoint.route
        destination = endpoint.route.destination
        if known.span_ms > 0.0:  # restored documents were counted by the process that received them
            destination.received = known.documents
            destination.counted_since = now - known.span_ms
            destination.restored_rate = True
        if known.stage == interface.RecoveryStage.DOWN:
            endpoint.ejected = True
            endpoint.returned_at = None
            route.ejected_at = now - known.age_ms
            # many senders may restart together
            self._schedule_probe(now, destination, route, PROBE_INTERVAL_MS, spread=True)
        else:
            endpoint.returned_at = now - known.age_ms
            route.warm_up = TokenBucket(now, self._draw(0.0, 1.0))

    def ejected_endpoints(self) -> list[str]:
        """Returns the endpoints that are listed as ready but get only probes, for the metrics."""
        return [
            endpoint.name
            for endpoint in self._endpoints.values()
            if endpoint.ejected and endpoint.state == READY
        ]

    def confirm_transmission(self, now: float, doc_id: str) -> bool:
        """Checks the rules again before a call is written, as its connection may have taken long to open."""
        document = self._held.get(doc_id)
        if (
            document is None
            or document.call is None
            or self._forbidden(now, document, document.call.endpoint)
        ):
            return False
        document.call.written_at = now  # from now on it may run; its deduplication window starts
        return True

    def withdrawn(self, now: float, doc_id: str) -> None:
        """Ends a document that its client withdrew."""
        self._changed = True
        if doc_id in self._held:
            self._end(self._held[doc_id])

    def turn(self, now: float) -> None:
        """Ends a group of events: answers what cannot be delivered in time, then fills free slots."""
        if not self._changed and now < self._alarm - ALARM_TOLERANCE_MS:  # only notes came: nothing is free
            return
        self._changed = False
        for destination in [
            self._failed_before_restart.pop(number) for number in [*self._failed_before_restart]
        ]:
            for endpoint in [each for route in destination.routes for each in route.endpoints]:
                # an ejected endpoint gets one call first
                endpoint.ejected |= destination.on_disk > 0 or destination.failed_before_restart >= max(
                    EJECT_STREAK, RESTART_FAILED_SHARE * destination.received
                )
            destination.failed_before_restart = 0
        self._slot_load += (self._last_slot_load - self._slot_load) * min(
            1.0, (now - self._last_turn_at) / SLOT_LOAD_MS
        )
        self._alarm = self._alarm if now < self._alarm - ALARM_TOLERANCE_MS else float("inf")
        self._end_late(now)
        if now >= self._list_request_at:
            self._list_request_at = float("inf")
            self._host.subscribe()
        self._wake(now, self._list_request_at)
        self._answer_unreachable(now)
        self._make_room(now)
        self._fill(now)
        for endpoint in self._idle_changed.values():  # idle connections of many senders shut others out
            if endpoint.idle_since and (
                now < self._no_idle_until.get(endpoint.kind, 0.0) or endpoint.state == interface.GONE
            ):
                self._host.close_idle(endpoint.name)
                endpoint.idle_since.clear()
        self._idle_changed.clear()
        self._wake(now, self._last_starts[0][0] if self._last_starts else float("inf"))
        self._last_slot_load = self._in_flight / self._settings.slots
        self._last_turn_at = now

    def turn_without_calls(self, now: float) -> None:
        """Ends a group of events while the host makes no calls: documents still end in time."""
        self._changed = True  # for the next turn with calls
        self._alarm = float("inf")
        self._end_late(now)
        self._wake(now, self._last_starts[0][0] if self._last_starts else float("inf"))

    def _end_late(self, now: float) -> None:
        """Ends the documents whose time no longer covers a call."""
        while self._last_starts and (self._last_starts[0][2].finished or self._last_starts[0][0] <= now):
            document = heapq.heappop(self._last_starts)[2]
            if not document.finished and document.call is None:
                document.destination.queue.remove(document)
                self._resume(now, document, None)

    # The ordinary path of a document

    def _deliver(self, document: Document) -> Generator:
        """Delivers one document, from its submission to its answer.

        Yields a backoff time and receives an endpoint, or None if too little time is left for a call; yields
        that endpoint and receives the outcome of the transmission.
        """
        pause = 0.0
        while document.sent < self._settings.max_transmissions and not document.unrepeatable():
            endpoint = yield pause  # queued until an endpoint can take it
            if endpoint is None:  # the time left no longer covers a call
                break
            outcome = yield endpoint
            if outcome.kind == CANCELLED or document.unrepeatable():
                break
            if outcome.kind == UNSENT:  # it was never written: not evidence, and not a retry
                pause = BACKOFF_MS
                continue
            longest = 0.0 if outcome.wait_ms > 0 else MAX_BACKOFF_MS  # a requested wait replaces the backoff
            pause = self._draw(0.0, min(longest, BACKOFF_MS * 2.0**document.retries))
            document.retries += 1
        yield self._finish(document)

    def _resume(self, now: float, document: Document, value: object) -> None:
        """Continues a delivery with a value until it waits again, and carries out what it yields."""
        request = document.delivery.send(value)
        if isinstance(request, float):
            document.ready_at = now + request
            insort(document.destination.queue, document, key=lambda each: each.sequence)
            heapq.heappush(self._last_starts, (self._last_start(document), document.sequence, document))
        elif request:
            self._transmit(now, document, request)

    # Transmissions and answers: the rules are enforced here

    def _forbidden(self, now: float, document: Document, endpoint: EndpointState) -> bool:
        """Returns whether a rule forbids to transmit a document to an endpoint now."""
        if (
            document.finished
            or document.unrepeatable()
            or now >= min(document.expiry, document.window_end() - CALL_MS)
        ):
            return True
        if endpoint.state != READY or now < endpoint.route.wait_until:
            return True
        if document.key_queue and not document.key_queue.allows(document, now):
            return True
        return (
            document.window_end() < float("inf")
            and document.type.one_zone
            and endpoint.zone != document.in_doubt[0][1]
        )

    def _transmit(self, now: float, document: Document, endpoint: EndpointState) -> None:
        """Transmits a document, in a call of this turn that it may join or in a new one."""
        destination = document.destination
        destination.next_endpoint = endpoint.number + 1
        (self._retries if document.retries else self._first_tries).add(now)
        destination.retry_tokens = min(
            RETRY_TOKENS,
            destination.retry_tokens - (document.retries > 0) + RETRY_TOKENS_PER_TRANSMISSION,
        )
        if not endpoint.joinable():
            endpoint.open_call = self._start_call(now, destination, endpoint)
            self._called.append(endpoint)
        endpoint.open_call.pending += 1
        document.call = endpoint.open_call
        document.sent += 1
        self._host.transmit(
            document.id, endpoint.name, min(self._timeout_ms(endpoint, document), document.expiry - now)
        )

    def _start_call(self, now: float, destination: Destination, endpoint: EndpointState) -> Call:
        """Takes a slot, a connection and the tokens for a call; closes idle connections that may be stale."""
        idle_ms = 0.0
        if len(endpoint.in_flight) % self._settings.calls_per_connection == 0:
            if endpoint.idle_since and self._idle_resets.flagged(now, now - endpoint.idle_since[0]):
                self._host.close_idle(endpoint.name)
                endpoint.idle_since.clear()
            idle_ms = now - endpoint.idle_since.pop() if endpoint.idle_since else 0.0
        self._in_flight += 1
        destination.in_flight += 1
        endpoint.in_flight.append(now)
        endpoint.probes_in_flight += endpoint.ejected
        for bucket in (endpoint.route.pacer, endpoint.route.warm_up)[
            : 1 + (endpoint.ejected or endpoint.returned_at is not None)
        ]:
            bucket.tokens = max(0.0, bucket.tokens - 1.0)
        return Call(endpoint, now, idle_ms)

    def _end_call(self, now: float, destination: Destination, call: Call, kind: str, reusable: bool) -> None:
        """Returns a call's slot and connection, and records whether the idle time before it was too long."""
        self._in_flight -= 1
        destination.in_flight -= 1
        call.endpoint.in_flight.remove(call.sent_at)
        call.endpoint.probes_in_flight -= call.probe
        if kind == interface.TIMEOUT:  # endpoint or idle connection: the next new connection shows which
            call.endpoint.suspect_idle_ms = 0.0 if call.probe else call.idle_ms
        elif kind != CONNECT_FAILED:
            self._idle_resets.record(now, call.idle_ms, kind == interface.RESET)
            if kind == OK and not call.idle_ms:
                self._idle_resets.record(now, call.endpoint.suspect_idle_ms, True)
                call.endpoint.suspect_idle_ms = 0.0
        if (
            reusable
            and kind in (OK, interface.ERROR, FULL)
            and not len(call.endpoint.in_flight) % self._settings.calls_per_connection
        ):
            call.endpoint.idle_since.append(now)
            self._idle_changed[call.endpoint.name] = call.endpoint

    def _finish(self, document: Document) -> None:
        """Gives the final answer: rejected if the client may safely submit it again, else abandoned."""
        if (
            document.unrepeatable()
            or document.in_doubt
            and document.type.effect == NUMBERED
            and document.type.one_zone
        ):
            self._host.abandon(document.id)
        else:
            self._host.reject(document.id, min(self._settings.retry_after_ms, document.retry_after_ms))
        self._end(document)

    def _end(self, document: Document) -> None:
        """Removes a document that is answered or withdrawn."""
        document.finished = True
        document.delivery = None
        del self._held[document.id]
        if document.call:
            self._answered_in_flight[document.id] = document
        elif document in document.destination.queue:
            document.destination.queue.remove(document)

    # Filling free slots

    def _fill(self, now: float) -> None:
        """Transmits the most valuable document that an endpoint can take, as long as slots are free."""
        if self._in_flight >= self._settings.slots:  # the next outcome brings a turn
            return
        best = {}
        # calls in flight at the last count, and how many of them were to degraded routes
        self._degraded_calls = (-1, 0)
        self._retries_capped = (
            self._retries.rate(now) > self._first_tries.rate(now) * RETRY_RATIO + SPARE_RETRIES_PER_S
        )
        if self._retries_capped:  # bounds the retries that many full retry budgets would allow together
            self._wake(now, now + BUCKET_MS)
        for destination in self._destinations.values():
            if destination.queue:
                self._find_best(now, destination, best)
        while best:
            number = max(best, key=lambda key: best[key][0] / (best[key][2].recent_ms + CALL_MS) ** 0.5)
            _, document, endpoint = best.pop(number)
            destination = document.destination
            if self._in_flight < self._settings.slots or endpoint.joinable():
                destination.queue.remove(document)
                self._resume(now, document, endpoint)
                self._find_best(now, destination, best)
        for endpoint in self._called:
            endpoint.open_call = None
        self._called.clear()

    def _find_best(self, now: float, destination: Destination, best: dict[int, tuple]) -> None:
        """Adds the most valuable document of a destination that may be transmitted now, with its endpoint."""
        if not (candidates := self._candidates(now, destination)):
            return
        found = None
        joining = candidates[0].joinable()  # a call of this turn carries all it can, also those in backoff
        for document in destination.queue:
            if document.key_queue and document.key_queue.rest_until > now:
                self._wake(now, document.key_queue.rest_until)
            if document.ready_at > now and not joining:
                self._wake(now, document.ready_at)
                continue
            rank = self._value(now, document)
            if (
                found
                and rank <= found[0]
                or document.retries
                and (destination.retry_tokens < 1.0 or self._retries_capped)
            ):
                continue
            for endpoint in candidates:
                doubtful = (
                    endpoint.doubt_rate > MAX_DOUBT_RATE
                    or overdue(endpoint, now)
                    or endpoint.recent_failures.value(now) > FAILURES_TO_HOLD_BINDING
                )
                if doubtful and document.type.effect == BINDING:
                    # the count of failures decays without an event
                    self._wake(now, now + FAILURE_HALF_LIFE_MS)
                elif not self._forbidden(now, document, endpoint):
                    found = rank, document, endpoint
                    break
        if found:
            best[destination.number] = found

    def _candidates(self, now: float, destination: Destination) -> list[EndpointState]:
        """Returns the endpoints of a destination that may be called now: probes first, then by preference."""
        joinable = [
            endpoint for route in destination.routes for endpoint in route.endpoints if endpoint.joinable()
        ]
        if joinable and not joinable[0].ejected:
            return joinable
        if self._in_flight >= self._settings.slots or destination.in_flight >= int(destination.window):
            return []
        candidates = []
        probes = []
        for route in destination.routes:
            if route.degraded(now) and not self._degraded_slots_left(now, destination):
                continue
            if route.shared_probing and not self._signals_available:  # no return would be reported any more
                route.shared_probing = False
                self._schedule_probe(now, destination, route, route.probe_interval_ms)
            wait_ms = route.wait_ms(now, min(destination.route_rate(now), route.equal_share) / 2.0)
            if wait_ms > 0.0:
                self._wake(now, now + wait_ms)
                continue
            for endpoint in [each for each in route.endpoints if each.state == READY]:
                probed = endpoint.ejected and any(each.probes_in_flight for each in route.endpoints)
                if endpoint.ejected and now < route.next_probe_at:
                    self._wake(now, route.next_probe_at)
                elif not probed and self._warm_up_allows(now, destination, route, endpoint):
                    (probes if endpoint.ejected else candidates).append(endpoint)
        count = sum(len(route.endpoints) for route in destination.routes)
        candidates.sort(  # fewest calls in flight, then with an idle connection, then round-robin
            key=lambda endpoint: (
                len(endpoint.in_flight),
                not endpoint.idle_since,
                (endpoint.number - destination.next_endpoint) % count,
            )
        )
        return probes + candidates

    def _degraded_slots_left(self, now: float, destination: Destination) -> bool:
        """Returns whether a degraded destination may start a call: together they must not fill the slots."""
        if self._degraded_calls[0] != self._in_flight:  # counted again in a turn only after a call
            called = [
                route for each in self._destinations.values() if each.in_flight for route in each.routes
            ]
            degraded = [endpoint for route in called if route.degraded(now) for endpoint in route.endpoints]
            self._degraded_calls = (
                self._in_flight,
                sum(len(endpoint.in_flight) for endpoint in degraded),
            )
        return destination.in_flight < min(
            destination.window, destination.half_slots
        ) and self._degraded_calls[1] < max(1, int(destination.half_slots * DEGRADED_SLOTS_PART))

    def _warm_up_allows(
        self, now: float, destination: Destination, route: Route, endpoint: EndpointState
    ) -> bool:
        """Returns whether the warm-up allows a call to an endpoint.

        Cold endpoints of a route, and ejected ones beside them, together get the usual rate, or this sender's
        part of the limit if that is more, times the share that grows during the warm-up time.
        """
        returned_at = state.latest_return(route.endpoints if endpoint.ejected else [endpoint])
        progress = 1.0 if returned_at is None else (now - returned_at) / self._settings.warm_up_ms
        if progress >= 1.0:
            if not endpoint.ejected and endpoint.returned_at is not None:
                self._host.save_recovery(endpoint.recovery(now, interface.RecoveryStage.WARM, now))
            endpoint.returned_at = None
            return True
        share = self._settings.cold_share + (1.0 - self._settings.cold_share) * progress
        cold = [
            each.ejected or each.returned_at is not None for each in route.endpoints if each.state == READY
        ]
        rate = max(destination.route_rate(now), route.limit / self._settings.senders) * WARM_UP_RATE_FACTOR
        if self._settings.notes:
            # all senders learn of it at one time: waiting documents are spread over the outage's duration
            rate = (
                max(
                    rate,
                    (len(destination.queue) + destination.on_disk)
                    * 1000.0
                    / max(route.outage_ms, MIN_DRAIN_MS),
                )
                * NOTIFIED_WARM_UP_FACTOR
            )
        wait_ms = route.warm_up.wait_ms(now, rate * share * sum(cold) / len(cold), 1.0)
        self._wake(now, now + wait_ms if wait_ms > 0.0 else float("inf"))
        return wait_ms <= 0.0

    def _answer_unreachable(self, now: float) -> None:
        """Answers documents that no endpoint can take before their last useful call time, with a retry time.

        The client could not ask again while they are held. Covers destinations whose endpoints are all
        drained, gone, disabled by an operator or not listed, and requested waits longer than the time left; a
        destination that was not listed since the start waits for the list. Drawback: a destination may be
        listed again soon.
        """
        for destination in [each for each in self._destinations.values() if each.queue]:
            reachable_at = self._reachable_at(now, destination)
            for document in (
                [each for each in destination.queue if reachable_at > self._last_start(each)]
                if reachable_at > now
                else ()
            ):
                destination.queue.remove(document)
                document.retry_after_ms = reachable_at - now
                self._resume(now, document, None)

    def _reachable_at(self, now: float, destination: Destination) -> float:
        """Returns when a destination may be called; infinity if it has no ready endpoint."""
        routes = [
            route
            for route in destination.routes
            if any(endpoint.state == READY for endpoint in route.endpoints)
        ]
        unlisted = float("inf") if self._listed_since_start and destination.routes else now
        return min((max(route.wait_until, route.peer_wait_until) for route in routes), default=unlisted)

    def documents_wanted(self, destination: int, window: int, queues: int, on_disk: int) -> int:
        """Returns how many more documents of a destination are wanted from a host that keeps queues on disk.

        At most a window of documents, and half of the documents that may be held for all such queues, so that
        others find room. queues is the number of queues on disk; on_disk is the length of this one.
        """
        if known := self._destinations.get(destination):
            known.on_disk = on_disk
            if on_disk and not self._last_turn_at:  # on disk since before a restart: it was down
                self._failed_before_restart[destination] = known
        most = self._settings.max_held // (2 if on_disk else 1)
        held = len(known.queue) + known.in_flight if known else 0
        return min(max(1, min(window, most // max(1, queues))) - held, most - len(self._held))

    def overflow_retry_after_ms(self, now: float, destination: int, remaining_ms: float, ahead: int) -> float:
        """Returns 0 if a document may wait on disk behind `ahead` others, else its retry time.

        The latter applies if no endpoint can take it in its remaining time. How long a queue takes at an
        ejected endpoint is not known.
        """
        known = self._destination(destination, now)
        span_ms = BUCKETS * BUCKET_MS
        steady = (
            now
            - max(
                [
                    known.counted_since,
                    *(max(route.wait_until, route.peer_wait_until) for route in known.routes),
                ]
            )
            > span_ms
        )
        served = (
            sum(route.served.rate(now) for route in known.routes)
            if steady and not known.degraded(now)
            else 0.0
        )
        wait_ms = max(self._reachable_at(now, known) - now, ahead * 1000.0 / served if served else 0.0)
        return min(self._settings.retry_after_ms, wait_ms) if wait_ms > remaining_ms - CALL_MS else 0.0

    def _make_room(self, now: float) -> None:
        """Rejects documents while as many as may be held are held.

        Chooses the least valuable one of the longest queue, of a degraded destination first.
        """
        while len(self._held) >= max(2, self._settings.max_held):
            destinations = [
                each for each in self._destinations.values() if any(map(Document.evictable, each.queue))
            ]
            if not destinations:  # restored documents are tried even beyond the bound
                return
            queue = max(
                destinations, key=lambda each: (each.degraded(now), len(each.queue), -each.number)
            ).queue
            self._finish(
                min(
                    (self._value(now, document), document.sequence, document)
                    for document in queue
                    if document.evictable()
                )[2]
            )

    # Learning from outcomes

    def _learn(self, now: float, destination: Destination, call: Call, outcome: interface.Outcome) -> None:
        """Updates limits, windows and the state of the endpoint from the outcome of a call."""
        kind = outcome.kind
        endpoint = call.endpoint
        route = call.endpoint.route
        usual = destination.route_rate(now)
        if outcome.limit:
            route.limit = outcome.limit
            route.headroom = outcome.headroom or 0.0
            route.headroom_at = now
            if destination.restored_documents and route.equal_share > 1e9:
                # senders that restart together with queues must not cause a burst
                route.share = min(1.0, max(1.0 / self._settings.senders, usual / outcome.limit) / 2.0)
            route.equal_share = outcome.limit / self._settings.senders
        low_headroom = kind == FULL or outcome.limit and route.headroom < CUT_HEADROOM
        if kind == FULL and not route.limit:
            route.limit = max(route.served.rate(now), route.served.rate(now, 2), MIN_PACE)
        own_part = max(1.0 / self._settings.senders, usual / max(route.limit, MIN_PACE))
        route.refusals = 0 if kind == OK else route.refusals + (kind == FULL)
        # nothing is served, and calls are too few to tell
        inconclusive = route.refusals > 1 and usual * EJECT_STREAK < 2.0
        own_part = min(1.0, own_part * (REFUSED_PART_FACTOR if inconclusive else OWN_PART_FACTOR))
        if low_headroom:
            route.cut_share(now, own_part, 0.5 / self._settings.senders)
        elif kind == OK:
            route.grow_share(now, own_part, 1.0 if outcome.limit else MAX_GUESSED_SHARE)
        denied_at_once = kind == CONNECT_FAILED and outcome.elapsed_ms < PROBE_INTERVAL_MS
        if kind == OK:
            self._record_success(now, destination, call, outcome.elapsed_ms)
            return
        destination.window = max(1.0, destination.window / 2.0)
        if kind in (interface.RESET, interface.TIMEOUT) and self._idle_resets.flagged(now, call.idle_ms):
            return  # lost with a stale connection: no evidence about the endpoint
        if kind == CONNECT_FAILED:  # a full connection table denies at once, a silent machine times out
            if denied_at_once and not call.idle_ms:
                self._send_note(now, endpoint, NOTE_NO_CONNECTIONS)
                self._keep_none_idle(now, endpoint)
            if endpoint.in_flight and endpoint.served_at >= call.sent_at:
                # other calls are served: its connection table is full
                return
        if kind == FULL:
            # the next call waits a full interval
            route.pacer.tokens = self._draw(-0.5, 0.5) if inconclusive else 0.0
        endpoint.streak_began_at = endpoint.streak_began_at if endpoint.failure_streak else now
        endpoint.failure_streak += 1
        endpoint.last_failed_at = now
        last_served_at = max((each.served_at for each in route.endpoints), default=endpoint.served_at)
        if not call.probe and call.sent_at >= last_served_at:
            route.run_began_at = route.run_began_at if route.failure_run else call.sent_at
            route.failure_run += 1
        extra_failures = BRIEF_FAILURES * (
            outcome.elapsed_ms < PROBE_INTERVAL_MS
            and kind in (interface.ERROR, interface.RESET, CONNECT_FAILED)
        )
        endpoint.failure_rate += (0.1 if extra_failures else 0.2) * (1.0 - endpoint.failure_rate)
        endpoint.doubt_rate += 0.2 * ((kind not in NEVER_RAN) - endpoint.doubt_rate)
        streak_needed = (
            EJECT_STREAK
            if denied_at_once or self._settings.notes
            else max(1, min(EJECT_STREAK, int(usual * EJECT_STREAK)))
        )
        streak_needed = extra_failures + (
            1 if any(each.ejected for each in route.endpoints) else streak_needed
        )
        if kind != FULL:
            if self._signals_available:
                self._host.observed(endpoint.name, interface.SignalKind.FAILED, 0.0)
            self._send_note(now, endpoint, NOTE_FAILED)
            if self._count_failure(now, endpoint, kind):
                return
        elif outcome.wait_ms > 0.0 and (outcome.wait_ms > LONG_WAIT_MS or now >= route.peer_wait_until):
            self._send_note(now, endpoint, f"{NOTE_WAIT}{int(outcome.wait_ms)}")
        if endpoint.ejected:
            self._schedule_probe(now, destination, route, route.probe_interval_ms * 2.0)
            return
        failing = (
            endpoint.failure_streak >= streak_needed
            or endpoint.failure_rate > EJECT_FAILURE_RATE
            or route.failure_run - route.refusals >= EJECT_STREAK + extra_failures
        )
        shut = (
            endpoint.failure_streak >= max(EJECT_STREAK, 2 * streak_needed)
            and now - endpoint.streak_began_at >= SHUT_MS
        )
        # refusals eject only if they last, as short ones belong to a limit
        if kind != FULL and failing or outcome.wait_ms > LONG_WAIT_MS or shut:
            self._eject(now, destination, route, endpoint, kind)

    def _eject(
        self, now: float, destination: Destination, route: Route, endpoint: EndpointState, reason: str
    ) -> None:
        """Ejects an endpoint and those of its route that failed with it: they get only probes from now on."""
        route.ejected_at = route.ejected_at if any(each.ejected for each in route.endpoints) else now
        for each in route.endpoints:  # a destination that is shut is shut at all its endpoints
            if (
                each is endpoint
                or route.failure_run - route.refusals >= EJECT_STREAK
                or reason == FULL
                and each.served_at < endpoint.streak_began_at
            ):
                if not each.ejected:
                    self._host.save_recovery(
                        each.recovery(now, interface.RecoveryStage.DOWN, route.ejected_at)
                    )
                each.ejected = True
                each.returned_at = None
        self._schedule_probe(now, destination, route, PROBE_INTERVAL_MS)
        self._host.log(
            f"destination {destination.number}: endpoint ill, "
            f"{endpoint.failure_streak} failures, last {reason}"
        )

    def _schedule_probe(
        self, now: float, destination: Destination, route: Route, interval_ms: float, spread=False
    ) -> None:
        """Sets the time of a route's next probe, with jitter.

        spread: many senders may schedule it at one time, as after a common restart.
        """
        route.probe_interval_ms = min(MAX_PROBE_INTERVAL_MS, interval_ms)
        usual = destination.route_rate(now)
        start = max(now, route.wait_until, route.peer_wait_until)
        spacing_ms = PROBE_SPACING / usual
        jitter_low = 0.3
        if self._settings.notes:  # all hear the result: senders that hold documents take turns
            holders = (
                min(1.0, usual * (start - route.ejected_at + NOTE_INTERVAL_MS) / 1000.0)
                * self._settings.senders
            )
            spacing_ms = (
                holders
                * 1000.0
                / max(MIN_FLEET_PROBES_PER_S, PROBE_TRAFFIC_SHARE * usual * self._settings.senders)
            )
            jitter_low = 0.0
        # no more often than the sender usually calls it
        pause_ms = spacing_ms if spacing_ms > MAX_PROBE_INTERVAL_MS else route.probe_interval_ms
        if (spread or start > now) and not self._settings.notes:
            # many senders probe at one time: paced like the first calls of a warm-up
            # without signals only few senders know of the outage, so a minimum rate applies
            min_rate = 0.0 if self._signals_available else 1000.0 / self._settings.warm_up_ms
            pause_ms = 500.0 / max(usual * self._settings.cold_share, min_rate)
            jitter_low = 0.0
        elif route.shared_probing:  # all senders together probe as often as one would, also as documents come
            pause_ms = route.probe_interval_ms
            probe_rate = max(MIN_FLEET_PROBES_PER_S / self._settings.senders, PROBE_TRAFFIC_SHARE * usual)
            start += max(0.0, self._draw(0.0, 1.0) - probe_rate / usual) * 2000.0 / probe_rate
        route.next_probe_at = start + pause_ms * self._draw(jitter_low, 2.0 - jitter_low)

    # Notes and reports of other senders: weaker evidence than an outcome, and it ages

    def _send_note(self, now: float, endpoint: EndpointState, note: str) -> None:
        """Broadcasts a note about an endpoint, unless it is known already or notes are too frequent."""
        known = (
            now < self._no_idle_until.get(endpoint.kind, 0.0)
            if note == NOTE_NO_CONNECTIONS
            else endpoint.ejected and note != NOTE_RETURNED
        )
        if not self._settings.notes or known or now < endpoint.next_note_at:
            return
        if not self._note_bucket.wait_ms(now, FLEET_NOTES_PER_S / self._settings.senders, NOTE_BURST):
            endpoint.next_note_at = now + NOTE_INTERVAL_MS
            self._note_bucket.tokens -= 1.0
            self._host.broadcast(f"{endpoint_tag(endpoint.name)}{note}")

    def note_received(self, now: float, note: str) -> None:
        """Handles a note from another sender; malformed notes and those of unknown endpoints are ignored."""
        endpoint = self._endpoints_by_tag.get(note[:ENDPOINT_TAG_LENGTH])
        code = note[ENDPOINT_TAG_LENGTH : ENDPOINT_TAG_LENGTH + 1]
        wait_text = note[ENDPOINT_TAG_LENGTH + 1 :]
        # a note may have waited while this process was stalled
        if endpoint is None or now > self._alarm + STALL_MS:
            return
        route = endpoint.route
        destination = endpoint.route.destination
        if code == NOTE_SERVES:
            endpoint.recent_failures.value(now, -1.0)
        elif code == NOTE_FAILED:
            self._count_failure(now, endpoint, "told")
        elif code == NOTE_WAIT and wait_text.isdecimal() and not endpoint.ejected:
            shut = float(wait_text) > LONG_WAIT_MS
            part = 1.0 if shut else self._draw(0.0, 1.0)  # a limit: all at once would meet it again
            route.peer_wait_until = max(
                route.peer_wait_until, now + min(float(wait_text), MAX_PEER_WAIT_MS) * part
            )
            if shut:
                endpoint.streak_began_at = now
                self._eject(now, destination, route, endpoint, FULL)
        elif code == NOTE_NO_CONNECTIONS:
            self._keep_none_idle(now, endpoint)
        elif code == NOTE_RETURNED and endpoint.ejected:
            self._changed = True
            self._return_to_service(now, destination, route, endpoint)

    def signals_available(self, now: float, live: bool) -> None:
        """Records whether signals of other senders are available."""
        self._signals_available = live
        self._changed = True

    def report_received(self, now: float, report: interface.Report) -> None:
        """Applies a report of the other senders' observations.

        Spares each sender from discovering an outage, a requested wait or a return by itself. Failures count
        only from a quorum of senders, and only if they are newer than the last served call. Drawback: an
        endpoint that still serves a few senders may be ejected.
        """
        if (endpoint := self._endpoints.get(report.endpoint)) is None:
            return
        route = endpoint.route
        before = (endpoint.ejected, endpoint.route.shared_probing)
        destination = route.destination
        until = now + report.wait_ms
        failed_by = endpoint.apply_report(now, report)
        if failed_by >= self._quorum(now, route):
            route.shared_probing = True
            if not endpoint.ejected:
                self._eject(now, destination, route, endpoint, "told")
        failed_at = max(endpoint.last_failed_at, endpoint.others_failed_at, route.wait_until)
        if not failed_by and endpoint.ejected and endpoint.others_served_at > failed_at:
            if now > endpoint.others_trusted_at + TRUST_INTERVAL_MS:
                endpoint.others_trusted_at = now
                self._return_to_service(now, destination, route, endpoint)
            elif route.shared_probing:  # trusted recently: each sender probes for itself
                route.shared_probing = False
                self._schedule_probe(now, destination, route, route.probe_interval_ms)
        if (
            report.wait_ms
            and until > route.wait_until + CALL_MS
            and now - report.wait_age_ms > endpoint.served_at
        ):
            route.wait_until = until
            endpoint.streak_began_at = now
            self._eject(now, destination, route, endpoint, FULL)
        # a report that changes nothing frees nothing
        self._changed = self._changed or before != (endpoint.ejected, route.shared_probing)

    def _quorum(self, now: float, route: Route) -> float:
        """Returns how many senders must report failures to eject an endpoint; never one alone."""
        usual = route.destination.route_rate(now) * self._settings.senders / len(route.endpoints)
        most = min(interface.MAX_OBSERVERS, max(2, self._settings.senders // 2))
        return min(most, max(MIN_QUORUM, usual * FAILED_TRAFFIC_SHARE * QUORUM_TRAFFIC_MS / 1000.0))

    def _keep_none_idle(self, now: float, endpoint: EndpointState) -> None:
        """Closes idle connections to endpoints of a kind whose connection tables are full, and keeps none."""
        if now >= self._no_idle_until.get(endpoint.kind, 0.0):
            self._changed = True
            self._idle_changed.update(
                {each.name: each for each in self._endpoints.values() if each.kind == endpoint.kind}
            )
        self._no_idle_until[endpoint.kind] = now + NO_IDLE_MS

    def _count_failure(self, now: float, endpoint: EndpointState, reason: str) -> bool:
        """Counts a failure seen here or received in a note, and ejects the endpoint if there are many.

        Returns whether the endpoint was ejected. Many is relative to the traffic.
        """
        destination = endpoint.route.destination
        route = endpoint.route
        count = endpoint.recent_failures.value(now, 1.0)
        usual = destination.route_rate(now) * self._settings.senders / max(1, len(route.endpoints))
        if (
            not self._settings.notes
            or endpoint.ejected
            or count < max(FAILURES_TO_EJECT, usual * FAILED_TRAFFIC_SHARE * FAILURE_HALF_LIFE_MS / 1000.0)
        ):
            return False
        self._eject(now, destination, route, endpoint, reason)
        return True

    def _record_success(self, now: float, destination: Destination, call: Call, elapsed_ms: float) -> None:
        """Updates the state of an endpoint that served a call, and returns it to service after an outage."""
        endpoint = call.endpoint
        route = call.endpoint.route
        destination.window = min(
            float(destination.half_slots if destination.degraded(now) else destination.max_window),
            destination.window + 1.0,
        )
        route.served.add(now)
        self._overall_answer_ms.add(elapsed_ms)
        returned = endpoint.ejected and call.sent_at >= route.ejected_at
        if not endpoint.ejected and route.failure_run >= BRIEF_FAILURES:  # an outage that few calls met
            returned = call.sent_at >= route.run_began_at < now - OUTAGE_MS
        if self._signals_available and max(endpoint.last_failed_at, endpoint.others_failed_at) > max(
            endpoint.served_at, endpoint.others_served_at
        ):
            self._host.observed(endpoint.name, interface.SignalKind.SERVED, 0.0)
        endpoint.failure_streak = 0
        endpoint.served_at = now
        endpoint.failure_rate *= 0.8
        endpoint.doubt_rate *= 0.8
        endpoint.recent_ms += (elapsed_ms - endpoint.recent_ms) * (0.3 if endpoint.recent_ms else 1.0)
        endpoint.usual_ms += (elapsed_ms - endpoint.usual_ms) * (0.02 if endpoint.usual_ms > 0 else 1.0)
        if endpoint.recent_failures.value(now) > 0.5 and not returned:
            self._send_note(now, endpoint, NOTE_SERVES)
        endpoint.recent_failures.value(now, -1.0)
        if returned:
            route.next_probe_at = now
            route.probe_interval_ms = PROBE_INTERVAL_MS
            if not endpoint.ejected or endpoint.failure_rate <= EJECT_FAILURE_RATE:
                self._send_note(now, endpoint, NOTE_RETURNED)
                self._return_to_service(now, destination, route, endpoint)
        route.failure_run = 0

    def _return_to_service(
        self, now: float, destination: Destination, route: Route, endpoint: EndpointState
    ) -> None:
        """Ends an outage: the endpoint is no longer ejected and warms up."""
        route.outage_ms = now - route.ejected_at
        returned_at = state.latest_return(route.endpoints)
        route.shared_probing = False
        if returned_at is None or returned_at < max(route.ejected_at, route.run_began_at):
            route.warm_up = TokenBucket(now, self._draw(0.0, 1.0))
            returned_at = now
        for each in route.endpoints:  # another one that failed and served nothing since is as cold
            if (
                each is endpoint
                or (each.failure_streak or route.failure_run >= BRIEF_FAILURES)
                and not each.ejected
            ):
                each.ejected = False
                each.returned_at = returned_at
                each.recent_failures.clear()
                self._host.save_recovery(each.recovery(now, interface.RecoveryStage.WARMING, returned_at))
        self._host.log(
            f"destination {destination.number}: endpoint back, {destination.rate(now):.2f} documents/s"
        )

    def _timeout_ms(self, endpoint: EndpointState, document: Document) -> float:
        """Returns a call's time-out: a multiple of the usual answer time, longer for binding documents.

        The agreed time of the document type applies until an answer was answer_ms.
        """
        answer_ms = max(endpoint.usual_ms, endpoint.recent_ms)
        # with notes, senders tell each other of silent endpoints, so that time-outs need not be short
        scarce = self._in_flight >= self._settings.slots * SCARCE_SLOTS_SHARE and not self._settings.notes
        timeout_ms = (
            (SCARCE_TIMEOUT_FACTOR if scarce else TIMEOUT_FACTOR) * answer_ms
            if answer_ms
            else document.type.agreed_ms
        )
        least = MIN_TIMEOUT_MS * (
            1.0 if self._settings.notes else max(MIN_TIMEOUT_PART_WHEN_BUSY, 1.0 - self._slot_load)
        )
        timeout_ms = max(
            least, timeout_ms, endpoint.route.probe_interval_ms / 2.0 if endpoint.ejected else 0.0
        )
        return timeout_ms * (1.5 if scarce else 2.0) if document.type.effect == BINDING else timeout_ms

    def _value(self, now: float, document: Document) -> float:
        """Returns a document's value, which falls from the agreed time until the expiry."""
        kind = document.type
        late = max(0.0, now - document.submitted_at - document.type.agreed_ms)
        span = max(kind.expiry_ms - kind.agreed_ms, 1.0)
        return document.value_factor * kind.value * (1.0 - (1.0 - kind.late_share) * min(1.0, late / span))

    def _last_start(self, document: Document) -> float:
        """Returns the latest time at which a call can still help and arrive within its window."""
        return min(document.expiry, document.window_end()) - CALL_MS

    # Endpoints, routes and settings

    def _add_endpoint(self, now: float, entry: interface.Endpoint) -> None:
        """Adds an endpoint that is new in the list. Beside ejected or cold ones it is treated like them."""
        destination = self._destination(entry.destination, now)
        number = sum(len(route.endpoints) for route in destination.routes) + 1
        endpoint = self._endpoints[entry.name] = EndpointState(
            entry, number, now, self._overall_answer_ms, DecayingCount(now, FAILURE_HALF_LIFE_MS)
        )
        self._endpoints_by_tag[endpoint_tag(entry.name)] = endpoint
        self._assign_route(now, destination, endpoint, entry.rate if self._settings.rates_listed else 0.0)
        endpoint.ejected = any(each.ejected for each in endpoint.route.endpoints)
        endpoint.returned_at = state.latest_return(endpoint.route.endpoints)

    def _assign_route(
        self, now: float, destination: Destination, endpoint: EndpointState, rate: float
    ) -> None:
        """Adds an endpoint to the route of its destination, or to one of its own if routes are kept apart."""
        if not destination.routes or self._settings.routes_apart[endpoint.kind]:
            destination.routes.append(Route(destination, self._settings.per_call[endpoint.kind], rate, now))
        endpoint.route = destination.routes[-1]
        endpoint.route.endpoints.append(endpoint)

    def reconfigure(self, now: float, settings: interface.Settings) -> None:
        """Applies other settings to what comes next.

        Documents held, calls in flight, requested waits, spent budgets, rests and learnt values stay.
        """
        apart = self._settings.routes_apart
        self._settings = settings
        self._changed = True
        self._types = {each.name: each for each in settings.types}
        self._quotas = dict(settings.tenants)
        self._tenant_rates = {
            name: window for name, window in self._tenant_rates.items() if name in self._quotas
        }
        for destination in self._destinations.values():
            destination.resize(settings)
            if apart != settings.routes_apart:
                self._regroup(now, destination)

    def _regroup(self, now: float, destination: Destination) -> None:
        """Assigns a destination's endpoints to routes anew; limits, waits, probe times and shares stay."""
        endpoints = [endpoint for route in destination.routes for endpoint in route.endpoints]
        destination.routes = [] if endpoints else destination.routes  # a wait outlasts the last endpoint
        for endpoint in endpoints:
            previous = endpoint.route
            self._assign_route(now, destination, endpoint, previous.limit)
            endpoint.route.wait_until = max(endpoint.route.wait_until, previous.wait_until)
            endpoint.route.next_probe_at = previous.next_probe_at
            endpoint.route.ejected_at = previous.ejected_at
            endpoint.route.share = previous.share

    def _wake(self, now: float, when: float) -> None:
        """Requests a turn at a time, unless an earlier one is requested."""
        if when < self._alarm:
            self._alarm = when
            self._host.wake(max(0.0, when - now))
