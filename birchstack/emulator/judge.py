"""Invariant checker of the emulator: checks the rules, and counts what was delivered and at what cost.

It relies only on what passed over the network, as the world reports it, and never reads the state of a sender
or of the model. It holds the events of each document and all violations. Times are milliseconds since the
start of the run.

docs/design.md lists the rules; each check says what violates it. The constants below include
tolerances for bytes in transit.
"""

from __future__ import annotations

import zlib
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from birchstack.emulator.scenario import DocumentType, Scenario

WIRE_TOLERANCE_MS = 50.0  # tolerance on every time limit, for bytes in transit
LATE_END_MS = 300.0  # the result of a document may come this long after its expiry
RESTART_GRACE_MS = 1500.0  # overdue results are due this long after a restarted sender is ready
IN_TRANSIT_MS = 100.0  # calls may arrive this long after a requested wait or a delivery
SHUTDOWN_MS = 3700.0  # a sender exits within this after SIGTERM
BAD_CLIENT_MS = 3000.0  # a malformed client gets an error or a closed connection within this
REPEAT_SHARE = 0.4  # allowed repeats per first transmission
REPEAT_SPARE = 15.0  # further repeats allowed to each process, at its start
PROVES_NOT_RUN = (429, 503, 504, 410)  # statuses that prove that the call had no effect


@dataclass(slots=True)
class CallSeen:
    """One call, as the endpoint observed it."""

    doc: Story
    sender: int
    endpoint: str
    destination: int
    at: float
    status: int | None = None  # status of the answer; None while there is none
    ended_at: float | None = None  # when it was answered, dropped by the sender, or its connection broke
    ran: bool = False
    spoilt: bool = False  # the answer was malformed
    broken: bool = False  # the answer may not have arrived


@dataclass(slots=True)
class Story:
    """Everything observed about one document id."""

    id: str
    type: DocumentType
    destination: int
    key: str | None
    sender: int
    submitted_at: float
    expiry: float
    body: int  # CRC-32 of the body
    size: int
    logical: int  # number of the client's document, which may be submitted several times
    order: int = 0  # position in the order of acceptance
    status: int | None = None  # status of the answer to the client
    answered_at: float | None = None
    notice: tuple[float, str] | None = None  # time and result
    calls: list[CallSeen] = field(default_factory=list)
    delivered_at: float | None = None
    effects: int = 0
    gave_up_at: float | None = None  # when the client closed the connection without an answer
    lines: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Breach:
    """One violation of a rule. doc is the document's id, or empty."""

    rule: str
    at: float
    doc: str
    text: str


@dataclass(slots=True)
class Life:
    """One process of a sender. how: the way it ended."""

    began: float
    ready: float | None = None
    term_at: float | None = None
    ended: float | None = None
    how: str = ""


class Judge:
    """Checks the rules on the events reported to it; breaches holds the violations."""

    def __init__(self, scenario: Scenario, keep_log: bool = False, order_ms: float = 0.0) -> None:
        """order_ms: events closer than this have no certain order (real sockets); 0 if the order is exact."""
        self._scenario = scenario
        self._order_ms = order_ms
        self._overlaps: list[tuple[float, Story, CallSeen]] = []
        self.docs: dict[str, Story] = {}
        self.breaches: list[Breach] = []
        self.counts: Counter[str] = Counter()
        self.log: list[str] | None = [] if keep_log else None
        self._listed: dict[tuple[int, str], tuple[str, float]] = {}
        self._waits: dict[tuple[int, int], tuple[float, float]] = {}
        self._in_flight: Counter[tuple[int, int]] = Counter()
        self._in_flight_total: Counter[int] = Counter()
        # by sender and key: time and document of the last call that may have run
        self._key_doubts: dict[tuple[int, str], tuple[float, str]] = {}
        self._by_key: dict[tuple[int, str], list[Story]] = defaultdict(list)
        self.lives: dict[int, list[Life]] = defaultdict(list)
        self._pauses: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self._rejected_kinds: Counter[str] = Counter()
        self._accepted = 0
        self._order_suspects: list[tuple[float, Story, Story]] = []
        self._unfinished: dict[str, Story] = {}  # accepted and without a result, in the order of acceptance
        self.value = self.value_asked = 0.0
        self.delivered: dict[int, float] = {}  # by logical document: time
        self.delivery_ms: list[float] = []
        self.created: dict[int, tuple[DocumentType, float]] = {}

    # Events and violations

    def note(self, now: float, doc: Story | None, text: str) -> None:
        """Appends an event to the document's events and to the log."""
        if doc is not None:
            doc.lines.append(f"{now:10.1f} {text}")
        if self.log is not None:
            self.log.append(f"{now:.3f} {doc.id if doc else '-'} {text}")

    def breach(self, rule: str, now: float, doc: Story | None, text: str) -> None:
        """Records a violation of a rule."""
        self.note(now, doc, f"BREACH {rule}: {text}")
        self.breaches.append(Breach(rule, now, doc.id if doc else "", text))

    # Senders

    def started(self, now: float, sender: int) -> None:
        """A process of a sender was started."""
        self.lives[sender].append(Life(now))
        self.note(now, None, f"sender {sender} started")

    def ready(self, now: float, sender: int) -> None:
        """The sender's process is ready."""
        self.lives[sender][-1].ready = now

    def terminating(self, now: float, sender: int) -> None:
        """SIGTERM was sent to a sender."""
        self.lives[sender][-1].term_at = now
        self.note(now, None, f"sender {sender} SIGTERM")

    def stopped(self, now: float, sender: int, how: str) -> None:
        """A sender's process ended; what it knew only in memory no longer counts."""
        life = self.lives[sender][-1]
        life.ended = now
        life.how = how
        self.note(now, None, f"sender {sender} ended: {how}")
        if how == "crashed":
            self.breach("crash", now, None, f"sender {sender} ended by itself")
        if life.term_at is not None and now - life.term_at > SHUTDOWN_MS + WIRE_TOLERANCE_MS:
            self.breach("close", now, None, f"sender {sender} took {now - life.term_at:.0f} ms to end")
        for key in [key for key in self._waits if key[0] == sender]:  # requested waits end with the process
            del self._waits[key]
        for key in [key for key in self._key_doubts if key[0] == sender]:
            del self._key_doubts[key]
        self._by_key = defaultdict(
            list, {key: queue for key, queue in self._by_key.items() if key[0] != sender}
        )

    def paused(self, now: float, sender: int) -> None:
        """A sender's process was paused."""
        self._pauses[sender].append((now, float("inf")))

    def resumed(self, now: float, sender: int) -> None:
        """A paused process continues."""
        since, _ = self._pauses[sender].pop()
        self._pauses[sender].append((since, now))

    def fault(self, now: float, sender: int, text: str) -> None:
        """A sender reported an internal error, or an exception reached its event loop."""
        self.breach("holds", now, None, f"sender {sender}: {text}")

    def listed(self, now: float, sender: int, endpoint: str, state: str) -> None:
        """A sender received an endpoint's state from discovery."""
        was = self._listed.get((sender, endpoint))
        if was is None or was[0] != state:
            self._listed[sender, endpoint] = state, now
            self.note(now, None, f"sender {sender} told: {endpoint} {state}")

    # Clients

    def document_created(self, logical: int, kind: DocumentType, now: float) -> None:
        """A client has a document, which it submits once or several times."""
        self.value_asked += kind.value
        self.created[logical] = kind, now
        self.counts["documents"] += 1

    def handed(
        self,
        now: float,
        sender: int,
        doc_id: str,
        kind: DocumentType,
        destination: int,
        key: str | None,
        left_ms: float,
        body: bytes,
        logical: int,
    ) -> Story:
        """A client submits a document to a sender. Returns the record of its events."""
        doc = Story(
            doc_id, kind, destination, key, sender, now, now + left_ms, zlib.crc32(body), len(body), logical
        )
        self.docs[doc_id] = doc
        self.counts["handed in"] += 1
        self.note(
            now, doc, f"handed in at sender {sender}: {kind.name} for {destination}, {left_ms:.0f} ms left"
        )
        return doc

    def answered(self, now: float, doc: Story, status: int) -> None:
        """The client received the sender's answer."""
        doc.status = status
        doc.answered_at = now
        self.counts[f"answered {status}"] += 1
        self.note(now, doc, f"client heard {status}")
        if status in (200, 202):
            self._accepted += 1
            doc.order = self._accepted
            if doc.key:
                self._by_key[doc.sender, doc.key].append(doc)
            if doc.delivered_at is not None:
                self._deliver(doc.delivered_at, doc)
            elif doc.notice is None:
                self._unfinished[doc.id] = doc
        elif (
            doc.calls
            and any(call.status not in PROVES_NOT_RUN for call in doc.calls)
            and doc.type.effect == "binding"
            and status in (429, 503)
        ):
            self.breach("2 effects", now, doc, "a binding document that may have run was rejected")

    def unanswered(self, now: float, doc: Story, reason: str) -> None:
        """The client got no answer."""
        doc.gave_up_at = now
        self.counts[f"unanswered, {reason}"] += 1
        self.note(now, doc, f"client heard nothing: {reason}")
        if reason == "patience" and not self.was_unavailable(doc.sender, doc.submitted_at, now):
            self.breach("answer", now, doc, "no answer in the client's time though the sender stood")

    def was_unavailable(self, sender: int, since: float, until: float) -> bool:
        """Returns whether a sender was down, terminating or paused at some time of a period."""
        life = self.lives[sender][-1]
        if life.ended is not None or life.began > since or life.term_at is not None:
            return True
        return any(begin <= until and end >= since for begin, end in self._pauses[sender])

    def bad_client(self, now: float, description: str, began: float, status: int | None) -> None:
        """A malformed client got a status, had its connection closed (0), or neither (None)."""
        self.counts["bad clients"] += 1
        if status is None:
            self.breach(
                "bad client", now, None, f"{description}: neither told nor closed on in {now - began:.0f} ms"
            )
        elif 200 <= status < 300:
            self.breach("bad client", now, None, f"{description}: answered {status}")

    # Endpoints

    def call(
        self, now: float, sender: int, doc_id: str, endpoint: str, destination: int, body: bytes
    ) -> CallSeen | None:
        """An endpoint received a complete call. Returns its record, or None if the document is unknown."""
        doc = self.docs.get(doc_id)
        if doc is None:
            self.breach("foreign", now, None, f"a call with the id {doc_id!r}, which nobody handed in")
            return None
        seen = CallSeen(doc, sender, endpoint, destination, now)
        self.note(now, doc, f"call at {endpoint} (try {len(doc.calls) + 1})")
        self.counts["calls"] += 1
        self.counts["repeats"] += bool(doc.calls)
        if destination != doc.destination:
            self.breach("foreign", now, doc, f"for destination {doc.destination}, sent to {destination}")
        if zlib.crc32(body) != doc.body or len(body) != doc.size:
            self.breach("body", now, doc, f"a body of {len(body)} bytes in place of {doc.size}")
        self._check_end(now, doc)
        self._check_repeats(now, doc)
        self._check_listed(now, doc, sender, endpoint)
        self._check_wait(now, doc, sender, destination)
        self._check_order(now, doc, sender)
        if not self._order_ms:
            self._report_overlaps()
        doc.calls.append(seen)
        if len(doc.calls) > self._scenario.sender.max_transmissions:
            self.breach("most", now, doc, f"{len(doc.calls)} transmissions")
        self._in_flight[sender, destination] += 1
        self._in_flight_total[sender] += 1
        slots = self._scenario.sender.slots + (2 if self._order_ms else 0)
        if self._in_flight[sender, destination] > max(1, slots * 3 // 4):
            self.breach(
                "window", now, doc, f"{self._in_flight[sender, destination]} calls out to {destination}"
            )
        if self._in_flight_total[sender] > slots:
            self.breach("slots", now, doc, f"{self._in_flight_total[sender]} calls out of sender {sender}")
        return seen

    def _check_end(self, now: float, doc: Story) -> None:
        """Rule 1: nothing is transmitted for a document after its result or its expiry."""
        if doc.notice:
            self.breach("1 end", now, doc, f"sent {now - doc.notice[0]:.0f} ms after its notice")
        if (
            now
            > doc.expiry
            + WIRE_TOLERANCE_MS
            + 4.0 * self._scenario.network.delay_ms
            + self._scenario.sender.dial_ms
        ):
            self.breach("1 expiry", now, doc, f"sent {now - doc.expiry:.0f} ms after its expiry")
        life = self.lives[doc.sender][-1]
        if (
            doc.delivered_at is not None
            and life.began < doc.delivered_at
            and now > doc.delivered_at + IN_TRANSIT_MS
            and any(call.status == 200 and not call.broken for call in doc.calls)
        ):
            self.breach("1 end", now, doc, f"sent {now - doc.delivered_at:.0f} ms after it was delivered")

    def _check_repeats(self, now: float, doc: Story) -> None:
        """Rule 2: one transmission at a time, and a repeat only where the effect allows it."""
        for call in doc.calls:
            if call.ended_at is None:
                self._overlaps.append((now, doc, call))
            if call.status in PROVES_NOT_RUN:
                continue
            if doc.type.effect == "binding":
                self.breach(
                    "2 effects", now, doc, f"sent again though the call at {call.endpoint} may have run"
                )
            elif doc.type.effect == "numbered" and now > call.at + doc.type.window_ms + WIRE_TOLERANCE_MS:
                self.breach(
                    "2 window", now, doc, f"sent again {now - call.at:.0f} ms after one that may have run"
                )

    def _report_overlaps(self) -> None:
        """Reports the calls that were still in flight when their document was transmitted again."""
        for at, doc, call in self._overlaps:
            if call.ended_at is None or call.ended_at > at + self._order_ms:
                self.breach("2 twice out", at, doc, f"the call at {call.endpoint} is still out")
        self._overlaps.clear()

    def _check_listed(self, now: float, doc: Story, sender: int, endpoint: str) -> None:
        """Rule 3: after the grace time, no new calls to an endpoint that drains or is gone."""
        state, since = self._listed.get((sender, endpoint), ("active", now))
        if state != "active" and now > since + self._scenario.discovery.grace_ms + WIRE_TOLERANCE_MS:
            self.breach("3 drain", now, doc, f"{endpoint} is {state} since {now - since:.0f} ms")

    def _check_wait(self, now: float, doc: Story, sender: int, destination: int) -> None:
        """Rule 6: a requested wait applies to all calls to that destination."""
        since, until = self._waits.get((sender, destination), (0.0, 0.0))
        if since + IN_TRANSIT_MS + 4.0 * self._scenario.network.delay_ms < now < until - 1.0:
            self.breach("6 wait", now, doc, f"told to wait for {until - now:.0f} ms more")

    def _check_order(self, now: float, doc: Story, sender: int) -> None:
        """Rule 5: documents of one key are sent one at a time, in the order of acceptance."""
        if not doc.type.in_order or not doc.key:
            return
        queue = self._by_key.get((sender, doc.key), [])
        for other in queue:
            if other is doc or other.answered_at is None or other.answered_at > doc.submitted_at:
                continue
            if other.delivered_at is None and other.notice is None and now < other.expiry:
                # checked again later: its notice may be in transit
                self._order_suspects.append((now, doc, other))
        since, doubted_id = self._key_doubts.get((sender, doc.key), (-1e9, ""))
        if doubted_id != doc.id and now < since + self._scenario.sender.key_rest_ms - WIRE_TOLERANCE_MS:
            self.breach("5 rest", now, doc, f"the key is in doubt since {now - since:.0f} ms")

    def ran(self, now: float, call: CallSeen) -> None:
        """A call took effect at its endpoint."""
        call.ran = True
        doc = call.doc
        doc.effects += 1
        self.counts["effects"] += 1
        if doc.type.effect == "binding" and doc.effects > 1:
            self.breach("2 effects", now, doc, f"took effect {doc.effects} times")

    def answer(
        self, now: float, call: CallSeen, status: int, wait_ms: float, transit_ms: float, spoilt: bool = False
    ) -> None:
        """An endpoint writes its answer, which arrives transit_ms later."""
        doc = call.doc
        call.broken = call.broken or call.ended_at is not None  # the sender dropped the call meanwhile
        self._end_call(now, call)
        call.status = status
        call.spoilt = spoilt
        self.note(
            now,
            doc,
            f"{call.endpoint} answers {status}{' spoilt' if spoilt else ''}"
            + (f", wait {wait_ms:.0f} ms" if wait_ms else ""),
        )
        self.counts[f"calls answered {status}"] += 1
        if wait_ms > 0:
            since, until = self._waits.get((call.sender, call.destination), (0.0, 0.0))
            ends = now + transit_ms + wait_ms
            if ends > until:
                self._waits[call.sender, call.destination] = (now + transit_ms, ends)
        if status == 200 and doc.delivered_at is None:
            doc.delivered_at = now
            self._unfinished.pop(doc.id, None)
            if doc.status in (200, 202):
                self._deliver(now, doc)
        elif status != 200 and status not in PROVES_NOT_RUN:
            self._mark_key_doubt(now, call)

    def let_go(self, now: float, call: CallSeen) -> None:
        """The sender dropped a call, or its connection broke, before an answer."""
        if call.ended_at is None:
            self._end_call(now, call)
            self.note(now, call.doc, f"the call at {call.endpoint} ended without an answer")
            self.counts["calls without answer"] += 1
            self._mark_key_doubt(now, call)

    def _mark_key_doubt(self, now: float, call: CallSeen) -> None:
        """Records that a call of the document's key may have run."""
        if call.doc.key:
            self._key_doubts[call.sender, call.doc.key] = now, call.doc.id

    def _end_call(self, now: float, call: CallSeen) -> None:
        """Ends a call, unless it has ended: it is no longer in flight."""
        if call.ended_at is None:
            call.ended_at = now
            self._in_flight[call.sender, call.destination] -= 1
            self._in_flight_total[call.sender] -= 1

    def _deliver(self, now: float, doc: Story) -> None:
        """Counts a delivery and its value, once for each logical document."""
        if doc.gave_up_at is not None or doc.logical in self.delivered:
            return
        kind, created_at = self.created.get(doc.logical, (doc.type, doc.submitted_at))
        took = now - created_at
        if took > kind.expiry_ms:
            return
        self.delivered[doc.logical] = now
        late = max(0.0, took - kind.agreed_ms) / max(1.0, kind.expiry_ms - kind.agreed_ms)
        self.value += kind.value * (1.0 - (1.0 - kind.late_share) * min(1.0, late))
        self.counts["delivered"] += 1
        self.counts["delivered in the agreed time"] += took <= kind.agreed_ms
        self.delivery_ms.append(took)

    def cold_overload(self, now: float, destination: int, informed_calls: int, calls: int) -> None:
        """Rule 4: a cold destination was overloaded.

        It is a violation if two thirds of the calls came from senders that saw the destination fail.
        """
        self.note(
            now,
            None,
            f"destination {destination} fell over: {informed_calls} of {calls} by those that saw it fail",
        )
        self.counts["fell over"] += 1
        if informed_calls * 3 >= calls * 2:
            self.breach(
                "4 pushed over", now, None, f"destination {destination}: {informed_calls} of {calls} calls"
            )

    # Notices of results

    def notice(self, now: float, sender: int, doc_id: str, result: str) -> Story | None:
        """A sender reports a result. Returns the document if its client may submit it again."""
        doc = self.docs.get(doc_id)
        if doc is None:
            self.breach("foreign", now, None, f"a notice for {doc_id!r}, which nobody handed in")
            return None
        self.note(now, doc, f"notice: {result}")
        if doc.notice:
            if doc.notice[1] != result:
                self.breach("1 end", now, doc, f"two ends: {doc.notice[1]} and {result}")
            return None
        doc.notice = now, result
        self._unfinished.pop(doc_id, None)
        self.counts[f"notice {result}"] += 1
        overdue = now - self._due_at(doc)
        if doc.delivered_at is None and overdue > LATE_END_MS:
            self.breach("1 lost", now, doc, f"its notice came {overdue:.0f} ms late")
        if (
            result == "bounced"
            and doc.type.effect == "binding"
            and any(call.status not in PROVES_NOT_RUN for call in doc.calls)
        ):
            self.breach(
                "2 effects", now, doc, "a binding document that may have run was rejected by a notice"
            )
        if result == "bounced" and doc.delivered_at is None:
            return doc
        return None

    def _due_at(self, doc: Story) -> float:
        """Returns when a document's result is due: its expiry, or later after a restart or a pause."""
        due = doc.expiry
        for life in self.lives[doc.sender]:
            down_at = life.term_at if life.term_at is not None else life.ended
            if down_at is not None and down_at <= due + LATE_END_MS:
                successors = [
                    each for each in self.lives[doc.sender] if each.began >= (life.ended or down_at)
                ]
                due = max(due, (successors[0].ready or 1e12) + RESTART_GRACE_MS) if successors else 1e12
        for since, until in self._pauses[doc.sender]:
            if since <= due + LATE_END_MS and until > due:
                due = until  # the process was paused from outside
        return due

    def check_overdue(self, now: float) -> None:
        """Called periodically: reports documents without a result after their time, and deferred checks."""
        for doc in [each for each in self._unfinished.values() if now > each.expiry + LATE_END_MS]:
            if now > self._due_at(doc) + LATE_END_MS + WIRE_TOLERANCE_MS:
                del self._unfinished[doc.id]
                if doc.gave_up_at is None:
                    self.breach("1 lost", now, doc, f"no end {now - doc.expiry:.0f} ms after its expiry")

        self._report_overlaps()
        for at, doc, other in self._order_suspects:
            if other.notice is None or other.notice[0] > at + WIRE_TOLERANCE_MS:
                self.breach("5 order", at, doc, f"{other.id} was taken before it and was not over")
        self._order_suspects.clear()

    def finish(self, now: float) -> None:
        """Runs the checks at the end of a run."""
        self.check_overdue(now)
        first_tries = self.counts["calls"] - self.counts["repeats"]
        process_count = sum(map(len, self.lives.values()))
        if self.counts["repeats"] > REPEAT_SHARE * first_tries + REPEAT_SPARE * process_count:
            self.breach(
                "repeats", now, None, f"{self.counts['repeats']} repeats for {first_tries} first tries"
            )

    @property
    def share(self) -> float:
        """Value delivered over value submitted."""
        return self.value / self.value_asked if self.value_asked else 1.0
