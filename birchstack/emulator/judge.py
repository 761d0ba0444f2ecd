"""The oracle: sees both sides of the senders, checks the rules, counts what was delivered and what it cost.

Owns the story of each document and every breach. Must never touch a sender or the model: it is told what
happened, by the world, and believes only what passed on the wires. Times are milliseconds of the day.

The rules are those that docs/design.md lists; what a breach means is said where it is found. Each has an
allowance for the time that bytes are under way, named here.
"""

from __future__ import annotations

import zlib
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from birchstack.emulator.scenario import DocumentType, Scenario

ALLOWED_MS = 50.0  # every limit in time is longer by this on a wire
LATE_MS = 300.0  # an end may be this much past the expiry
RESTART_MS = 1500.0  # after a restart ends may be overdue until so long after it is ready
CROSSING_MS = 100.0  # calls that cross a told wait
CLOSE_MS = 3700.0  # SIGTERM ends a sender within this
BAD_MS = 3000.0  # a bad client is told, or closed on, within this
REPEAT_SHARE, REPEAT_SPARE = 0.4, 15.0  # repeats for each first try; and to start with, for each life
PROVES_NOT_RUN = (429, 503, 504, 410)


@dataclass(slots=True)
class CallSeen:
    """One call as its endpoint saw it."""

    doc: Story
    sender: int
    endpoint: str
    destination: int
    at: float
    status: int | None = None  # answered; None as long as it was not
    over_at: float | None = None  # answered, or let go by the sender, or broken
    ran: bool = False
    spoilt: bool = False
    broken: bool = False  # its answer may not have arrived


@dataclass(slots=True)
class Story:
    """All that is known of one document, by its id."""

    id: str
    type: DocumentType
    destination: int
    key: str | None
    sender: int
    handed_at: float
    expiry: float
    body: int  # its checksum
    size: int
    logical: int
    order: int = 0
    status: int | None = None  # what the client heard
    heard_at: float | None = None
    notice: tuple[float, str] | None = None
    calls: list[CallSeen] = field(default_factory=list)
    delivered_at: float | None = None
    effects: int = 0
    gave_up_at: float | None = None  # its client closed without an answer
    lines: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Breach:
    rule: str
    at: float
    doc: str
    text: str


@dataclass(slots=True)
class Life:
    """One process of a sender."""

    began: float
    ready: float | None = None
    term_at: float | None = None
    ended: float | None = None
    how: str = ""


class Judge:
    """Told what happens; breaches holds what should not have."""

    def __init__(self, scenario: Scenario, keep_log: bool = False, order_ms: float = 0.0) -> None:
        """order_ms: events within this are seen in no sure order (real sockets); 0 where order is exact."""
        self._set, self._order_ms = scenario, order_ms
        self._twice: list[tuple[float, Story, CallSeen]] = []
        self.docs: dict[str, Story] = {}
        self.breaches: list[Breach] = []
        self.counts: Counter[str] = Counter()
        self.log: list[str] | None = [] if keep_log else None
        self._listed: dict[tuple[int, str], tuple[str, float]] = {}
        self._waits: dict[tuple[int, int], tuple[float, float]] = {}
        self._out: Counter[tuple[int, int]] = Counter()
        self._out_all: Counter[int] = Counter()
        self._doubt: dict[tuple[int, str], tuple[float, str]] = {}  # by sender and key: since when, whose
        self._by_key: dict[tuple[int, str], list[Story]] = defaultdict(list)
        self.lives: dict[int, list[Life]] = defaultdict(list)
        self._still: dict[int, list[tuple[float, float]]] = defaultdict(list)
        self._rejected_kinds: Counter[str] = Counter()
        self._orders = 0
        self._out_of_turn: list[tuple[float, Story, Story]] = []
        self._owed: dict[str, Story] = {}  # taken on, no end yet, in the order taken
        self.value = self.value_asked = 0.0
        self.delivered: dict[int, float] = {}  # by logical document: when
        self.ms_to_deliver: list[float] = []
        self.wanted: dict[int, tuple[DocumentType, float]] = {}

    # Writing down

    def note(self, now: float, doc: Story | None, text: str) -> None:
        if doc is not None:
            doc.lines.append(f"{now:10.1f} {text}")
        if self.log is not None:
            self.log.append(f"{now:.3f} {doc.id if doc else '-'} {text}")

    def breach(self, rule: str, now: float, doc: Story | None, text: str) -> None:
        self.note(now, doc, f"BREACH {rule}: {text}")
        self.breaches.append(Breach(rule, now, doc.id if doc else "", text))

    # Senders

    def started(self, now: float, sender: int) -> None:
        self.lives[sender].append(Life(now))
        self.note(now, None, f"sender {sender} started")

    def ready(self, now: float, sender: int) -> None:
        self.lives[sender][-1].ready = now

    def told_to_end(self, now: float, sender: int) -> None:
        self.lives[sender][-1].term_at = now
        self.note(now, None, f"sender {sender} SIGTERM")

    def stopped(self, now: float, sender: int, how: str) -> None:
        life = self.lives[sender][-1]
        life.ended, life.how = now, how
        self.note(now, None, f"sender {sender} ended: {how}")
        if how == "crashed":
            self.breach("crash", now, None, f"sender {sender} ended by itself")
        if life.term_at is not None and now - life.term_at > CLOSE_MS + ALLOWED_MS:
            self.breach("close", now, None, f"sender {sender} took {now - life.term_at:.0f} ms to end")
        for key in [key for key in self._waits if key[0] == sender]:  # told waits end with the process
            del self._waits[key]
        for key in [key for key in self._doubt if key[0] == sender]:
            del self._doubt[key]
        self._by_key = defaultdict(
            list, {key: line for key, line in self._by_key.items() if key[0] != sender}
        )

    def stands_still(self, now: float, sender: int) -> None:
        self._still[sender].append((now, float("inf")))

    def goes_on(self, now: float, sender: int) -> None:
        since, _ = self._still[sender].pop()
        self._still[sender].append((since, now))

    def fault(self, now: float, sender: int, text: str) -> None:
        """Something that must hold did not, or an exception reached the loop."""
        self.breach("holds", now, None, f"sender {sender}: {text}")

    def listed(self, now: float, sender: int, endpoint: str, state: str) -> None:
        """Discovery's words reached a sender."""
        was = self._listed.get((sender, endpoint))
        if was is None or was[0] != state:
            self._listed[sender, endpoint] = state, now
            self.note(now, None, f"sender {sender} told: {endpoint} {state}")

    # Clients

    def asked(self, logical: int, kind: DocumentType, now: float) -> None:
        """A client has a document, to be handed in once or several times."""
        self.value_asked += kind.value
        self.wanted[logical] = kind, now
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
        doc.status, doc.heard_at = status, now
        self.counts[f"answered {status}"] += 1
        self.note(now, doc, f"client heard {status}")
        if status in (200, 202):
            self._orders += 1
            doc.order = self._orders
            if doc.key:
                self._by_key[doc.sender, doc.key].append(doc)
            if doc.delivered_at is not None:
                self._deliver(doc.delivered_at, doc)
            elif doc.notice is None:
                self._owed[doc.id] = doc
        elif (
            doc.calls
            and any(call.status not in PROVES_NOT_RUN for call in doc.calls)
            and doc.type.effect == "binding"
            and status in (429, 503)
        ):
            self.breach("2 effects", now, doc, "a binding document that may have run was rejected")

    def unanswered(self, now: float, doc: Story, why: str) -> None:
        doc.gave_up_at = now
        self.counts[f"unanswered, {why}"] += 1
        self.note(now, doc, f"client heard nothing: {why}")
        if why == "patience" and not self.excused(doc.sender, doc.handed_at, now):
            self.breach("answer", now, doc, "no answer in the client's time though the sender stood")

    def excused(self, sender: int, since: float, until: float) -> bool:
        life = self.lives[sender][-1]
        if life.ended is not None or life.began > since or life.term_at is not None:
            return True
        return any(a <= until and b >= since for a, b in self._still[sender])

    def bad_client(self, now: float, what: str, began: float, status: int | None) -> None:
        """A bad client was told an error, closed on (0), or neither (None)."""
        self.counts["bad clients"] += 1
        if status is None:
            self.breach(
                "bad client", now, None, f"{what}: neither told nor closed on in {now - began:.0f} ms"
            )
        elif 200 <= status < 300:
            self.breach("bad client", now, None, f"{what}: answered {status}")

    # Endpoints

    def call(
        self, now: float, sender: int, doc_id: str, endpoint: str, destination: int, body: bytes
    ) -> CallSeen | None:
        """A call came whole to an endpoint."""
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
        self._check_effect(now, doc)
        self._check_listed(now, doc, sender, endpoint)
        self._check_wait(now, doc, sender, destination)
        self._check_order(now, doc, sender)
        if not self._order_ms:
            self._settle_twice()
        doc.calls.append(seen)
        if len(doc.calls) > self._set.sender.max_transmissions:
            self.breach("most", now, doc, f"{len(doc.calls)} transmissions")
        self._out[sender, destination] += 1
        self._out_all[sender] += 1
        slots = self._set.sender.slots + (2 if self._order_ms else 0)
        if self._out[sender, destination] > max(1, slots * 3 // 4):
            self.breach("window", now, doc, f"{self._out[sender, destination]} calls out to {destination}")
        if self._out_all[sender] > slots:
            self.breach("slots", now, doc, f"{self._out_all[sender]} calls out of sender {sender}")
        return seen

    def _check_end(self, now: float, doc: Story) -> None:
        """Rule 1: nothing is sent for a document after its end."""
        if doc.notice:
            self.breach("1 end", now, doc, f"sent {now - doc.notice[0]:.0f} ms after its notice")
        if now > doc.expiry + ALLOWED_MS + 4.0 * self._set.network.delay_ms + self._set.sender.dial_ms:
            self.breach("1 expiry", now, doc, f"sent {now - doc.expiry:.0f} ms after its expiry")
        life = self.lives[doc.sender][-1]
        if (
            doc.delivered_at is not None
            and life.began < doc.delivered_at
            and now > doc.delivered_at + CROSSING_MS
            and any(call.status == 200 and not call.broken for call in doc.calls)
        ):
            self.breach("1 end", now, doc, f"sent {now - doc.delivered_at:.0f} ms after it was delivered")

    def _check_effect(self, now: float, doc: Story) -> None:
        """Rule 2: one transmission out; a repeat only where the effect allows it."""
        for call in doc.calls:
            if call.over_at is None:
                self._twice.append((now, doc, call))
            if call.status in PROVES_NOT_RUN:
                continue
            if doc.type.effect == "binding":
                self.breach(
                    "2 effects", now, doc, f"sent again though the call at {call.endpoint} may have run"
                )
            elif doc.type.effect == "numbered" and now > call.at + doc.type.window_ms + ALLOWED_MS:
                self.breach(
                    "2 window", now, doc, f"sent again {now - call.at:.0f} ms after one that may have run"
                )

    def _settle_twice(self) -> None:
        for at, doc, call in self._twice:
            if call.over_at is None or call.over_at > at + self._order_ms:
                self.breach("2 twice out", at, doc, f"the call at {call.endpoint} is still out")
        self._twice.clear()

    def _check_listed(self, now: float, doc: Story, sender: int, endpoint: str) -> None:
        """Rule 3: nothing new to an endpoint that drains or is gone, after the grace."""
        state, since = self._listed.get((sender, endpoint), ("active", now))
        if state != "active" and now > since + self._set.discovery.grace_ms + ALLOWED_MS:
            self.breach("3 drain", now, doc, f"{endpoint} is {state} since {now - since:.0f} ms")

    def _check_wait(self, now: float, doc: Story, sender: int, destination: int) -> None:
        """Rule 6: a told wait holds everything for that destination."""
        since, until = self._waits.get((sender, destination), (0.0, 0.0))
        if since + CROSSING_MS + 4.0 * self._set.network.delay_ms < now < until - 1.0:
            self.breach("6 wait", now, doc, f"told to wait for {until - now:.0f} ms more")

    def _check_order(self, now: float, doc: Story, sender: int) -> None:
        """Rule 5: documents of one key go one at a time, in the order taken."""
        if not doc.type.in_order or not doc.key:
            return
        line = self._by_key.get((sender, doc.key), [])
        for other in line:
            if other is doc or other.heard_at is None or other.heard_at > doc.handed_at:
                continue
            if other.delivered_at is None and other.notice is None and now < other.expiry:
                self._out_of_turn.append((now, doc, other))  # unless its notice is under way
        since, whose = self._doubt.get((sender, doc.key), (-1e9, ""))
        if whose != doc.id and now < since + self._set.sender.key_rest_ms - ALLOWED_MS:
            self.breach("5 rest", now, doc, f"the key is in doubt since {now - since:.0f} ms")

    def ran(self, now: float, call: CallSeen) -> None:
        """The work of a call ran."""
        call.ran, doc = True, call.doc
        doc.effects += 1
        self.counts["effects"] += 1
        if doc.type.effect == "binding" and doc.effects > 1:
            self.breach("2 effects", now, doc, f"took effect {doc.effects} times")

    def answer(
        self, now: float, call: CallSeen, status: int, wait_ms: float, heard_ms: float, spoilt: bool = False
    ) -> None:
        """An endpoint writes its answer; it is heard so much later."""
        doc = call.doc
        call.broken = call.broken or call.over_at is not None  # it crosses the sender's letting go
        self._over(now, call)
        call.status, call.spoilt = status, spoilt
        self.note(
            now,
            doc,
            f"{call.endpoint} answers {status}{' spoilt' if spoilt else ''}"
            + (f", wait {wait_ms:.0f} ms" if wait_ms else ""),
        )
        self.counts[f"calls answered {status}"] += 1
        if wait_ms > 0:
            since, until = self._waits.get((call.sender, call.destination), (0.0, 0.0))
            ends = now + heard_ms + wait_ms
            if ends > until:
                self._waits[call.sender, call.destination] = (now + heard_ms, ends)
        if status == 200 and doc.delivered_at is None:
            doc.delivered_at = now
            self._owed.pop(doc.id, None)
            if doc.status in (200, 202):
                self._deliver(now, doc)
        elif status != 200 and status not in PROVES_NOT_RUN:
            self._doubts(now, call)

    def let_go(self, now: float, call: CallSeen) -> None:
        """The sender let go of a call, or its connection broke, before an answer."""
        if call.over_at is None:
            self._over(now, call)
            self.note(now, call.doc, f"the call at {call.endpoint} ended without an answer")
            self.counts["calls without answer"] += 1
            self._doubts(now, call)

    def _doubts(self, now: float, call: CallSeen) -> None:
        if call.doc.key:
            self._doubt[call.sender, call.doc.key] = now, call.doc.id

    def _over(self, now: float, call: CallSeen) -> None:
        if call.over_at is None:
            call.over_at = now
            self._out[call.sender, call.destination] -= 1
            self._out_all[call.sender] -= 1

    def _deliver(self, now: float, doc: Story) -> None:
        if doc.gave_up_at is not None or doc.logical in self.delivered:
            return
        kind, born = self.wanted.get(doc.logical, (doc.type, doc.handed_at))
        took = now - born
        if took > kind.expiry_ms:
            return
        self.delivered[doc.logical] = now
        late = max(0.0, took - kind.agreed_ms) / max(1.0, kind.expiry_ms - kind.agreed_ms)
        self.value += kind.value * (1.0 - (1.0 - kind.late_share) * min(1.0, late))
        self.counts["delivered"] += 1
        self.counts["delivered in the agreed time"] += took <= kind.agreed_ms
        self.ms_to_deliver.append(took)

    def pushed(self, now: float, destination: int, seen: int, calls: int) -> None:
        """Rule 4: a cold destination fell over; breached if two thirds came from those that saw it fail."""
        self.note(
            now, None, f"destination {destination} fell over: {seen} of {calls} by those that saw it fail"
        )
        self.counts["fell over"] += 1
        if seen * 3 >= calls * 2:
            self.breach("4 pushed over", now, None, f"destination {destination}: {seen} of {calls} calls")

    # The platform

    def notice(self, now: float, sender: int, doc_id: str, result: str) -> Story | None:
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
        self._owed.pop(doc_id, None)
        self.counts[f"notice {result}"] += 1
        overdue = now - self._due(doc)
        if doc.delivered_at is None and overdue > LATE_MS:
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

    def _due(self, doc: Story) -> float:
        """By when its end is due: its expiry, or later where its sender restarted."""
        due = doc.expiry
        for life in self.lives[doc.sender]:
            down_at = life.term_at if life.term_at is not None else life.ended
            if down_at is not None and down_at <= due + LATE_MS:
                after = [each for each in self.lives[doc.sender] if each.began >= (life.ended or down_at)]
                due = max(due, (after[0].ready or 1e12) + RESTART_MS) if after else 1e12
        for since, until in self._still[doc.sender]:
            if since <= due + LATE_MS and until > due:
                due = until  # it stood still, by no fault of its own
        return due

    def look(self, now: float) -> None:
        """Now and then: what has no end though its time is up is lost."""
        for doc in [each for each in self._owed.values() if now > each.expiry + LATE_MS]:
            if now > self._due(doc) + LATE_MS + ALLOWED_MS:
                del self._owed[doc.id]
                if doc.gave_up_at is None:
                    self.breach("1 lost", now, doc, f"no end {now - doc.expiry:.0f} ms after its expiry")

        self._settle_twice()
        for at, doc, other in self._out_of_turn:
            if other.notice is None or other.notice[0] > at + ALLOWED_MS:
                self.breach("5 order", at, doc, f"{other.id} was taken before it and was not over")
        self._out_of_turn.clear()

    def finish(self, now: float) -> None:
        self.look(now)
        firsts = self.counts["calls"] - self.counts["repeats"]
        lives = sum(map(len, self.lives.values()))
        if self.counts["repeats"] > REPEAT_SHARE * firsts + REPEAT_SPARE * lives:
            self.breach("repeats", now, None, f"{self.counts['repeats']} repeats for {firsts} first tries")

    @property
    def share(self) -> float:
        """Value delivered over value asked for."""
        return self.value / self.value_asked if self.value_asked else 1.0
