"""All decisions of one sender.

Make a Sender(settings, seed, host), hand it what happens (the Events protocol of interface.py) and end each
group of events at one time with turn(now). It acts by the Host. Times are milliseconds. See docs/design.md.

Reading order: Sender._deliver is the ordinary path of a document. Sender._transmit and Sender._finish
are the only places that send and answer; every rule is guarded there. Sender._fill picks what goes where.
"""

from __future__ import annotations

import heapq
import random
from bisect import insort
from collections.abc import Generator

from birchstack import interface as our
from birchstack import state
from birchstack.interface import BINDING, CANCELLED, CONNECT_FAILED, FULL, NUMBERED, OK, READY, UNSENT
from birchstack.state import MARK, Average, Call, Classes, Document, Fading, Keys, Meter, Place, Ring, mark

TOKENS, TOKEN_PER_TRANSMISSION = 10.0, 0.1  # the bucket that pays for repeats
REPEAT_SHARE, SPARE_REPEATS = 0.25, 0.25  # most repeats for each first try, and a second besides
PAUSE_MS, LONGEST_PAUSE_MS = 100.0, 2000.0  # full jitter
NEVER_RAN = (FULL, CONNECT_FAILED, UNSENT)  # outcomes that prove that the document had no effect
LEAST_PATIENCE_MS = 2000.0  # no time-out below this: destinations pause and stall; but
LEAST_PART, BUSY_MS = 0.3, 1000.0  # only this part where slots were all taken for such a while
PATIENCE, HASTY = 8.0, 5.0  # a time-out is so many usual answer times; while slots are
SCARCE = 0.75  # scarce, that is such a share of them taken: the hasty one
STREAK, BRIEF, ILL_SHARE = 3, 2, 0.5  # failures in a row, more if brief, or share of calls: ill;
DOUBT_SHARE, FAILED_PART = 0.25, 0.03  # in doubt: binding ones wait; so many failed before a restart
SLOW, OVERDUE_MS, OVERDUE = 3.0, 500.0, 4.0  # slow: so many usual times; or a call out so long, and so many
TRIAL_MS, LONGEST_TRIAL_MS = 300.0, 2000.0  # pause between cautious calls to an ill endpoint, or the
TRIAL_EVERY, SICK_PART = 2000.0, 0.5  # usual time of 2 documents; of half the slots for the sick
CUT, CUT_ALONE, STEP, STEP_ALONE = 0.6, 0.2, 0.2, 0.1  # share of a limit: cut, and growth a second, of one
OWN_PART, FEARED_PART = 2.0, 0.4  # of many and more if alone; in parts: so many times its own
LITTLE_ROOM, ENOUGH_ROOM = 0.2, 0.4  # room under a limit: cut below; slow down below
ROOM_MS, CUT_EVERY_MS = 1000.0, 300.0  # a report of room is believed so long; cuts are no closer
LEAST_TOGETHER, LEAST_PACE = 4.0, 0.5  # calls a second to a destination, of all senders, of one
SHUT_MS, LONG_WAIT_MS = 3000.0, 2000.0  # refusing all for so long, or telling a longer wait: shut
GUESSED_TOP, BURST = 4.0, 0.25  # a limit not told over the first rate; seconds of the pace
OUTAGE_MS = 1000.0  # all failed so long: cold, if served again
ASK_MS, LONGEST_ASK_MS, EARLY_MS = 500.0, 8000.0, 1.0  # before asking for the list; an alarm may be early
CALL_MS, FORGET = 100.0, 64  # a call takes so long at least; so many empty ones are kept
IDLE_MS = (250.0, 500.0, 1000.0, 2000.0, 4000.0, 8000.0)  # classes of idle time of a connection
STALE_PART, STALE_SHARE, STALE_FOR_MS = 0.25, 0.4, 20000.0  # calls reset after it; how long that is believed
NORM_PART, TOLD, TOLD_AT_ONCE = 0.05, 20.0, 3.0  # notes a second of all senders; of one at once
BUCKET_MS, BUCKETS, RAMP = 1000.0, 8, 1.2  # served calls; a cold one gets
NOTE_MS, WORD_MS, CROWDED_MS = 500.0, 1000.0, 60000.0  # between notes; till half faded; none idle if denied
WORDS, WORD_LIMIT = 2.2, 1.5  # failures told: so many are ill, or hold binding documents
LEAST_TRIALS, TRIAL_PART, WORD_PART = 2.0, 0.1, 0.3  # trials a second, of all senders; of their usual
FAILED, WAIT, SERVES, BACK, CROWD = "f", "w", "s", "b", "k"  # what notes tell of an endpoint
LONGEST_TOLD_MS, STALL_MS = 30000.0, 300.0  # others' waits are held so long at most; late: stood still
QUORUM, QUORUM_MS = 3.0, 2000.0  # senders that report failures, and of its traffic in such a time: ill
TRUST_EVERY_MS = 30000.0  # a return that is only reported is believed so often
WARM_LEAST_MS, SURE = 4000.0, 1.5  # what waits goes over so long at least; warmth, where told of


def overdue(ep: Place, now: float) -> bool:  # nothing is served, and an answer is late; time-outs lag
    since = max(ep.ok_at, ep.calls[0]) if ep.calls else now
    return now - since > max(OVERDUE_MS, OVERDUE * (ep.usual_ms or ep.norm.value))


class Route:
    """What shares a limit, told waits and outages: a destination, or one endpoint where routes are apart.

    The pace keeps a sender under a limit shared with others: its share is cut when little room is told or a
    call is refused, and grows back with time; little room slows it at once."""

    def __init__(self, destination: Destination, per_call: int, limit: float, now: float) -> None:
        self.destination = destination
        self.endpoints: list[Place] = []
        self.ill_at, self.away_ms = now, 0.0  # since when it is ill, and how long it was the last time
        self.row, self.failed_at, self.refused = 0, now, 0  # failures since it served, since when; refusals
        self.wait_until, self.hold_until, self.equal = 0.0, 0.0, float("inf")  # told; others were; its part
        self.per_call, self.trial_at, self.trial_ms, self.ramp = per_call, 0.0, TRIAL_MS, Meter(now)
        self.shared = False  # whether others reported its failures, and try it in turn
        self.limit, self.share, self.steered_at, self.cut_at = limit, 1.0, now, 0.0
        self.room, self.room_at, self.meter, self.served = 1.0, now, Meter(now), Ring(now, BUCKET_MS, BUCKETS)

    def wait_ms(self, now: float, least: float) -> float:  # of a told wait, and until the pace allows a call
        until = max(self.wait_until, self.hold_until)
        if now < until or not self.limit:
            return max(0.0, until - now)
        room = self.room if now - self.room_at < ROOM_MS else 1.0
        shared = self.limit * self.share * min(1.0, max(LITTLE_ROOM, room / ENOUGH_ROOM))
        pace = max(shared, min(LEAST_PACE, least))
        return self.meter.wait_ms(now, pace, max(1.0, pace * BURST))

    def troubled(self, now: float) -> bool:
        ready = (ep for ep in self.endpoints if ep.state == READY)  # ill, slow or late
        return any(ep.ill or ep.recent_ms > SLOW * ep.usual_ms or overdue(ep, now) for ep in ready)

    def grow(self, now: float, own: float, top: float) -> None:
        step = own * (STEP + STEP_ALONE * own) * min(1.0, (now - self.steered_at) / 1000.0)
        self.share, self.steered_at = min(top, self.share + step), now

    def cut(self, now: float, own: float, least: float) -> None:
        self.steered_at = now
        if now >= self.cut_at:
            self.share = max(min(self.share, own) * (CUT + CUT_ALONE * own), least)
            self.cut_at = now + CUT_EVERY_MS  # signs of one moment are one sign


class Destination:  # its line of documents, the bucket for repeats and the window
    def __init__(self, number: int, settings: our.Settings, turn: int, now: float) -> None:
        self.number, self.since, self.found, self.recovered = number, now, False, False
        self.taken = self.failed = self.kept = 0  # kept: on disk
        self.routes: list[Route] = []
        self.line: list[Document] = []
        self.window, self.tokens, self.out, self.turn = float("inf"), TOKENS, 0, turn  # calls out; turns
        self.resize(settings)

    def resize(self, settings: our.Settings) -> None:
        slots, self.least = settings.slots, LEAST_TOGETHER / settings.senders
        self.half, self.top = max(1, slots // 2), max(1, slots * 3 // 4)
        self.window = float(self.half) if self.window > 1e9 else min(self.window, float(self.top))

    def rate(self, now: float) -> float:  # documents a second; of all senders, what it usually gets
        return max(self.least, self.taken * 1000.0 / max(now - self.since, BUCKETS * BUCKET_MS))

    def usual(self, now: float) -> float:  # for one of its routes
        return self.rate(now) / max(1, len(self.routes))

    def used(self, now: float) -> bool:
        return bool(self.line or self.out or any(it.endpoints or now < it.wait_until for it in self.routes))

    def troubled(self, now: float) -> bool:
        return any(route.troubled(now) for route in self.routes)


class Sender:
    """Decides for one sender. See the head of this file."""

    def __init__(self, settings: our.Settings, seed: int, host: our.Host) -> None:
        self._set, self._host = settings, host
        self._types, self._draw = {kind.name: kind for kind in settings.types}, random.Random(seed).uniform
        self._destinations: dict[int, Destination] = {}
        self._begin = int(self._draw(0.0, 64.0))  # many senders begin at different endpoints
        self._endpoints, self._marks = {}, {}  # by name, and by what notes call them
        self._norm, self._notes = Average(NORM_PART), Meter(0.0)  # of answer times; of notes told
        self._held, self._flying, self._keys = {}, {}, Keys()  # and ended while a transmission is out
        self._ends: list[tuple[float, int, Document]] = []
        self._order, self._out, self._alarm, self._stirred = 0, 0, float("inf"), True
        self._idle = Classes(IDLE_MS, STALE_PART, STALE_SHARE, STALE_FOR_MS)  # resets, by idle time before
        self._crowded_until: dict[int, float] = {}  # by kind: none is kept idle until then
        self._firsts, self._repeats = (Ring(0.0, BUCKET_MS, BUCKETS) for _ in range(2))
        self._dialled, self._lying, self._repeats_held = [], {}, False  # called, and idle, since a turn
        self._failed: dict[int, Destination] = {}  # with documents that failed before a restart
        self._sure = False  # whether a list was told since the start: one from before may be old
        self._busy, self._level, self._turned, self._ask_ms = 0.0, 0.0, 0.0, ASK_MS  # parts of slots
        self._ask_at = self._draw(0.0, ASK_MS) if settings.list_on_request else float("inf")  # spread
        self._quotas, self._traffic = dict(settings.tenants), {}  # and documents taken, by tenant
        self._linked = False  # whether signals of other senders reach this one

    def endpoints(self, now: float, mode: str, entries: list[our.Endpoint]) -> None:
        """The list, or changes to it; one that is ready again after a drain, or out by hand, is cold."""
        self._stirred, self._sure = True, self._sure or mode in (our.CHANGES, our.WHOLE)
        if mode == our.FAILED:
            deemed_told = 2.0 * (self._set.list_every_ms or LONGEST_ASK_MS)
            self._ask_ms = min(LONGEST_ASK_MS, deemed_told, self._ask_ms * 2.0)
            self._ask_at = now + self._draw(0.5, 1.0) * self._ask_ms
            return
        if mode != our.CHANGES:  # what a whole list leaves out is gone
            for ep in self._endpoints.values():
                ep.state = our.GONE
        for entry in entries:
            if entry.name not in self._endpoints:
                self._join(now, entry)
            ep = self._endpoints[entry.name]
            if ep.kind != entry.kind:  # known of late: other settings
                ep.kind = entry.kind
                self._regroup(now, ep.route.destination)
            if ep.state == our.DRAINING and entry.state == READY:  # a whole list tells no return
                ep.back_at = now
                self._host.save_recovery(ep.recovery(now, our.RecoveryStage.WARMING, now))
            ep.state = entry.state
        for ep in [ep for ep in self._endpoints.values() if ep.state == our.GONE]:
            del self._endpoints[ep.name]
            self._marks.pop(mark(ep.name), None)
            self._lying[ep.name] = ep
            ep.route.endpoints.remove(ep)
            if not ep.route.endpoints and len(ep.route.destination.routes) > 1:
                ep.route.destination.routes.remove(ep.route)
        if len(self._destinations) > len(self._endpoints) + FORGET:
            self._destinations = {each: dest for each, dest in self._destinations.items() if dest.used(now)}

    def document(self, now: float, given: our.Submission) -> None:
        self._order, self._stirred = self._order + 1, True
        dest, past, tenant = self._destination(given.destination, now), given.history, given.tenant
        dest.taken += not (dest.recovered and past is not our.NO_HISTORY)
        dest.failed += past.failed
        dest.found = dest.found or past is not our.NO_HISTORY
        if past.failed:
            self._failed[dest.number] = dest
        doc = Document(given, self._types[given.type_name], dest, now, self._order)
        if tenant in self._quotas:  # beyond its share by its own documents times the senders: worth less
            taken = self._traffic.setdefault(tenant, Ring(-BUCKETS * BUCKET_MS, BUCKET_MS, BUCKETS))
            taken.add(now)
            beyond = max(0.0, 1.0 - self._quotas[tenant] / (taken.rate(now) * self._set.senders))
            doc.worth = 1.0 - beyond * (1.0 - self._set.over_share)
        if given.key is not None and doc.kind.in_order:
            doc.keyline = self._keys.join(now, given.key, doc)
            if doc.doubt:  # what was out when its sender ended may still run
                doc.keyline.rest(now + self._set.key_rest_ms, doc)
        self._held[doc.id], doc.path = doc, self._deliver(doc)
        self._resume(now, doc, None)

    def outcome(self, now: float, doc_id: str, endpoint: str, outcome: our.Outcome) -> None:
        """How a transmission ended."""
        self._stirred, doc = True, self._held.get(doc_id) or self._flying.get(doc_id)
        if doc is None or doc.out is None or outcome.attempt != doc.sent - 1:
            return
        call, doc.out = doc.out, None
        self._flying.pop(doc_id, None)
        call.docs -= 1
        if outcome.wait_ms > 0:
            call.ep.route.wait_until = max(call.ep.route.wait_until, now + outcome.wait_ms)
            if self._linked and outcome.wait_ms > LONG_WAIT_MS:  # a shorter one is a limit's span
                self._host.observed(call.ep.name, our.SignalKind.WAIT, outcome.wait_ms)
        if call.docs == 0:
            self._hang_up(now, doc.destination, call, outcome.kind, outcome.reusable)
        if not call.heard and outcome.kind not in (UNSENT, CANCELLED):
            self._learn(now, doc.destination, call, outcome)  # once, however many share the call
        call.heard = True
        if outcome.kind not in NEVER_RAN and outcome.kind != OK:
            doc.doubt.append((call.left_at, call.ep.zone))
            if doc.keyline:
                doc.keyline.rest(now + self._set.key_rest_ms, doc)
        if not doc.over:
            self._end(doc) if outcome.final else self._resume(now, doc, outcome)

    def _destination(self, number: int, now: float) -> Destination:
        if number not in self._destinations:
            self._destinations[number] = Destination(number, self._set, self._begin + number, now)
        return self._destinations[number]

    def restore_wait(self, now: float, endpoint: str, wait_ms: float) -> None:  # told to the process before
        if ep := self._endpoints.get(endpoint):
            ep.route.wait_until = max(ep.route.wait_until, now + wait_ms)
            if wait_ms > LONG_WAIT_MS:
                self._falls_ill(now, ep.route.destination, ep.route, ep, FULL)

    def restore_recovery(self, now: float, known: our.Recovery) -> None:
        """Guards against a process that pushes over what the one before it found down or cold. May hurt an
        endpoint that came back or warmed up while no process ran: one call first, then the ramp."""
        if (ep := self._endpoints.get(known.endpoint)) is None:
            return
        route, dest = ep.route, ep.route.destination
        if known.span_ms > 0.0:  # what a restart found was counted by the process that took it on
            dest.taken, dest.since, dest.recovered = known.documents, now - known.span_ms, True
        if known.stage == our.RecoveryStage.DOWN:
            ep.ill, ep.back_at, route.ill_at = True, None, now - known.age_ms
            self._await_trial(now, dest, route, TRIAL_MS, spread=True)  # many may restart together
        else:
            ep.back_at, route.ramp = now - known.age_ms, Meter(now, self._draw(0.0, 1.0))

    def avoided(self) -> list[str]:  # for the figures: listed as ready, yet only trials go there
        return [ep.name for ep in self._endpoints.values() if ep.ill and ep.state == READY]

    def confirm_transmission(self, now: float, doc_id: str) -> bool:  # its connection may have come up late
        doc = self._held.get(doc_id)
        if doc is None or doc.out is None or self._barred(now, doc, doc.out.ep):
            return False
        doc.out.left_at = now  # from here on it may run, and its window counts
        return True

    def withdrawn(self, now: float, doc_id: str) -> None:
        self._stirred = True
        if doc_id in self._held:
            self._end(self._held[doc_id])

    def turn(self, now: float) -> None:
        """Ends the events of one time: gives up what is out of reach, then fills the places that are free."""
        if not self._stirred and now < self._alarm - EARLY_MS:  # only notes came, and they free nothing
            return
        self._stirred = False
        for dest in [self._failed.pop(each) for each in [*self._failed]]:  # before a restart
            for ep in [each for route in dest.routes for each in route.endpoints]:
                ep.ill |= dest.kept > 0 or dest.failed >= max(STREAK, FAILED_PART * dest.taken)  # one call
            dest.failed = 0
        self._busy += (self._level - self._busy) * min(1.0, (now - self._turned) / BUSY_MS)
        self._alarm = self._alarm if now < self._alarm - EARLY_MS else float("inf")
        while self._ends and (self._ends[0][2].over or self._ends[0][0] <= now):
            doc = heapq.heappop(self._ends)[2]
            if not doc.over and doc.out is None:
                doc.destination.line.remove(doc)
                self._resume(now, doc, None)
        if now >= self._ask_at:
            self._ask_at = float("inf")
            self._host.subscribe()
        self._wake(now, self._ask_at)
        self._hopeless(now)
        self._make_room(now)
        self._fill(now)
        for ep in self._lying.values():  # kept by many, they shut others out
            if ep.idle and (now < self._crowded_until.get(ep.kind, 0.0) or ep.state == our.GONE):
                self._host.close_idle(ep.name)
                ep.idle.clear()
        self._lying.clear()
        self._wake(now, self._ends[0][0] if self._ends else float("inf"))
        self._level, self._turned = self._out / self._set.slots, now

    # The ordinary path

    def _deliver(self, doc: Document) -> Generator:
        """One document from its taking to its answer. Yields a pause, then where to send it."""
        pause = 0.0
        while doc.sent < self._set.max_transmissions and not doc.lost():
            place = yield pause  # in line, until a place comes free
            if place is None:  # the time left no longer covers a call
                break
            outcome = yield place
            if outcome.kind == CANCELLED or doc.lost():
                break
            if outcome.kind == UNSENT:  # it never left: no evidence, no repeat
                pause = PAUSE_MS
                continue
            longest = 0.0 if outcome.wait_ms > 0 else LONGEST_PAUSE_MS  # a told wait replaces the draw
            pause = self._draw(0.0, min(longest, PAUSE_MS * 2.0**doc.repeats))
            doc.repeats += 1
        yield self._finish(doc)

    def _resume(self, now: float, doc: Document, word: object) -> None:  # goes on until it waits again
        wish = doc.path.send(word)
        if isinstance(wish, float):
            doc.ready_at = now + wish
            insort(doc.destination.line, doc, key=lambda each: each.order)
            heapq.heappush(self._ends, (self._last_call(doc), doc.order, doc))
        elif wish:
            self._transmit(now, doc, wish)

    # The two doors: everything sent and everything answered passes here, with the rules on guard

    def _barred(self, now: float, doc: Document, ep: Place) -> bool:  # a rule forbids this transmission
        if doc.over or doc.lost() or now >= min(doc.expiry, doc.known_until() - CALL_MS):
            return True
        if ep.state != READY or now < ep.route.wait_until:
            return True
        if doc.keyline and not doc.keyline.allows(doc, now):
            return True
        return doc.known_until() < float("inf") and doc.kind.one_zone and ep.zone != doc.doubt[0][1]

    def _transmit(self, now: float, doc: Document, ep: Place) -> None:
        dest, dest.turn = doc.destination, ep.number + 1
        (self._repeats if doc.repeats else self._firsts).add(now)
        dest.tokens = min(TOKENS, dest.tokens - (doc.repeats > 0) + TOKEN_PER_TRANSMISSION)
        if not ep.joinable():
            ep.call = self._dial(now, dest, ep)
            self._dialled.append(ep)
        ep.call.docs += 1
        doc.out, doc.sent = ep.call, doc.sent + 1
        self._host.transmit(doc.id, ep.name, min(self._patience(ep, doc), doc.expiry - now))

    def _dial(self, now: float, dest: Destination, ep: Place) -> Call:
        idle_ms = 0.0
        if len(ep.calls) % self._set.calls_per_connection == 0:
            if ep.idle and self._idle.marked(now, now - ep.idle[0]):
                self._host.close_idle(ep.name)
                ep.idle.clear()
            idle_ms = now - ep.idle.pop() if ep.idle else 0.0
        self._out, dest.out = self._out + 1, dest.out + 1
        ep.calls.append(now)
        ep.trials += ep.ill
        for meter in (ep.route.meter, ep.route.ramp)[: 1 + (ep.ill or ep.back_at is not None)]:
            meter.credit = max(0.0, meter.credit - 1.0)
        return Call(ep, now, idle_ms)

    def _hang_up(self, now: float, dest: Destination, call: Call, kind: str, kept: bool) -> None:
        self._out, dest.out = self._out - 1, dest.out - 1
        call.ep.calls.remove(call.sent_at)
        call.ep.trials -= call.trial
        if kind == our.TIMEOUT:  # the endpoint or the connection? the next new connection tells
            call.ep.blamed = 0.0 if call.trial else call.idle_ms
        elif kind != CONNECT_FAILED:
            self._idle.learn(now, call.idle_ms, kind == our.RESET)
            if kind == OK and not call.idle_ms:
                self._idle.learn(now, call.ep.blamed, True)
                call.ep.blamed = 0.0
        if kept and kind in (OK, our.ERROR, FULL) and not len(call.ep.calls) % self._set.calls_per_connection:
            call.ep.idle.append(now)
            self._lying[call.ep.name] = call.ep

    def _finish(self, doc: Document) -> None:
        """The final answer: rejected if the client may safely come again, else abandoned."""
        if doc.lost() or doc.doubt and doc.kind.effect == NUMBERED and doc.kind.one_zone:
            self._host.abandon(doc.id)
        else:
            self._host.reject(doc.id, min(self._set.retry_after_ms, doc.back_ms))
        self._end(doc)

    def _end(self, doc: Document) -> None:
        doc.over, doc.path = True, None
        del self._held[doc.id]
        if doc.out:
            self._flying[doc.id] = doc
        elif doc in doc.destination.line:
            doc.destination.line.remove(doc)

    # Filling free places

    def _fill(self, now: float) -> None:  # while slots are free the best document that has a place goes
        if self._out >= self._set.slots:  # an outcome brings the next turn
            return
        best, self._sick = {}, (-1, 0)  # calls out to the troubled, when so many were out
        self._repeats_held = self._repeats.rate(now) > self._firsts.rate(now) * REPEAT_SHARE + SPARE_REPEATS
        if self._repeats_held:  # the design's bound, for many full buckets
            self._wake(now, now + BUCKET_MS)
        for dest in self._destinations.values():
            if dest.line:
                self._look(now, dest, best)
        while best:
            number = max(best, key=lambda key: best[key][0] / (best[key][2].recent_ms + CALL_MS) ** 0.5)
            _, doc, ep = best.pop(number)
            dest = doc.destination
            if self._out < self._set.slots or ep.joinable():
                dest.line.remove(doc)
                self._resume(now, doc, ep)
                self._look(now, dest, best)
        for ep in self._dialled:
            ep.call = None
        self._dialled.clear()

    def _look(self, now: float, dest: Destination, best: dict[int, tuple]) -> None:
        if not (places := self._places(now, dest)):
            return
        found, joining = None, places[0].joinable()  # a call that leaves takes all it can
        for doc in dest.line:
            if doc.keyline and doc.keyline.rest_until > now:
                self._wake(now, doc.keyline.rest_until)
            if doc.ready_at > now and not joining:
                self._wake(now, doc.ready_at)
                continue
            rank = self._value(now, doc)
            if found and rank <= found[0] or doc.repeats and (dest.tokens < 1.0 or self._repeats_held):
                continue
            for ep in places:
                doubtful = ep.doubtful > DOUBT_SHARE or overdue(ep, now) or ep.word.at(now) > WORD_LIMIT
                if doubtful and doc.kind.effect == BINDING:
                    self._wake(now, now + WORD_MS)  # what was told fades, and no event says so
                elif not self._barred(now, doc, ep):
                    found = rank, doc, ep
                    break
        if found:
            best[dest.number] = found

    def _places(self, now: float, dest: Destination) -> list[Place]:
        joinable = [ep for route in dest.routes for ep in route.endpoints if ep.joinable()]
        if joinable and not joinable[0].ill:
            return joinable
        if self._out >= self._set.slots or dest.out >= int(dest.window):
            return []
        places, trials = [], []
        for route in dest.routes:
            if route.troubled(now) and not self._spares(now, dest):
                continue
            if route.shared and not self._linked:  # nobody tells of a return any more
                route.shared = False
                self._await_trial(now, dest, route, route.trial_ms)
            wait_ms = route.wait_ms(now, min(dest.usual(now), route.equal) / 2.0)
            if wait_ms > 0.0:
                self._wake(now, now + wait_ms)
                continue
            for ep in [each for each in route.endpoints if each.state == READY]:
                tried = ep.ill and any(each.trials for each in route.endpoints)
                if ep.ill and now < route.trial_at:
                    self._wake(now, route.trial_at)
                elif not tried and self._ramped(now, dest, route, ep):
                    (trials if ep.ill else places).append(ep)
        count = sum(len(route.endpoints) for route in dest.routes)  # where a connection lies idle first
        places.sort(key=lambda ep: (len(ep.calls), not ep.idle, (ep.number - dest.turn) % count))
        return trials + places

    def _spares(self, now: float, dest: Destination) -> bool:  # the sick must not fill the slots together
        if self._sick[0] != self._out:  # counted again in a turn only after a call
            called = [it for each in self._destinations.values() if each.out for it in each.routes]
            sick = [ep for it in called if it.troubled(now) for ep in it.endpoints]
            self._sick = self._out, sum(len(ep.calls) for ep in sick)
        return dest.out < min(dest.window, dest.half) and self._sick[1] < max(1, int(dest.half * SICK_PART))

    def _ramped(self, now: float, dest: Destination, route: Route, ep: Place) -> bool:
        """The cold, and the ill beside them: together the usual, or the part of the limit, times warmth."""
        back_at = state.last_back(route.endpoints if ep.ill else [ep])
        warm = 1.0 if back_at is None else (now - back_at) / self._set.warm_up_ms
        if warm >= 1.0:
            if not ep.ill and ep.back_at is not None:
                self._host.save_recovery(ep.recovery(now, our.RecoveryStage.WARM, now))
            ep.back_at = None
            return True
        share = self._set.cold_share + (1.0 - self._set.cold_share) * warm
        cold = [each.ill or each.back_at is not None for each in route.endpoints if each.state == READY]
        rate = max(dest.usual(now), route.limit / self._set.senders) * RAMP
        if self._set.notes:  # all were told at one time: what waits goes over as long as it was away
            rate = max(rate, (len(dest.line) + dest.kept) * 1000.0 / max(route.away_ms, WARM_LEAST_MS)) * SURE
        wait_ms = route.ramp.wait_ms(now, rate * share * sum(cold) / len(cold), 1.0)
        self._wake(now, now + wait_ms if wait_ms > 0.0 else float("inf"))
        return wait_ms <= 0.0

    def _hopeless(self, now: float) -> None:
        """What no place can take before its last call is answered now, with when to come back; held, the
        client could not ask again. Meets destinations drained, gone, out by hand or unlisted, and told waits
        past the time left; one not listed since the start waits for it. May hurt where listed again soon."""
        for dest in [dest for dest in self._destinations.values() if dest.line]:
            opens = self._opens(now, dest)
            for doc in [doc for doc in dest.line if opens > self._last_call(doc)] if opens > now else ():
                dest.line.remove(doc)
                doc.back_ms = opens - now
                self._resume(now, doc, None)

    def _opens(self, now: float, dest: Destination) -> float:  # to calls; inf: no place is ready there
        routes = [route for route in dest.routes if any(ep.state == READY for ep in route.endpoints)]
        unlisted = float("inf") if self._sure and dest.routes else now
        return min((max(route.wait_until, route.hold_until) for route in routes), default=unlisted)

    def room(self, destination: int, window: int, lines: int, kept: int) -> int:
        """How many more of a destination's documents are wanted of a host that keeps long lines on disk: a
        window at most, and half of what may be held for all such lines, so that others find room. lines:
        how many there are; kept: how many documents wait in this one."""
        if dest := self._destinations.get(destination):
            dest.kept = kept
            if kept and not self._turned:  # there since before a restart: it was down
                self._failed[destination] = dest
        most, held = self._set.max_held // (2 if kept else 1), len(dest.line) + dest.out if dest else 0
        return min(max(1, min(window, most // max(1, lines))) - held, most - len(self._held))

    def back_ms(self, now: float, destination: int, left_ms: float, ahead: int) -> float:
        """For a document that would wait on disk behind so many: 0 to take it on, else when it may come
        again, as no place can take it in its time. How long a line at an ill one will take is not known."""
        dest, span_ms = self._destination(destination, now), BUCKETS * BUCKET_MS
        steady = now - max([dest.since, *(max(it.wait_until, it.hold_until) for it in dest.routes)]) > span_ms
        served = sum(it.served.rate(now) for it in dest.routes) if steady and not dest.troubled(now) else 0.0
        wait_ms = max(self._opens(now, dest) - now, ahead * 1000.0 / served if served else 0.0)
        return min(self._set.retry_after_ms, wait_ms) if wait_ms > left_ms - CALL_MS else 0.0

    def _make_room(self, now: float) -> None:
        while len(self._held) >= max(2, self._set.max_held):
            dests = [each for each in self._destinations.values() if any(map(Document.fresh, each.line))]
            if not dests:  # what a restart found is tried, in less room too
                return
            line = max(dests, key=lambda each: (each.troubled(now), len(each.line), -each.number)).line
            self._finish(min((self._value(now, doc), doc.order, doc) for doc in line if doc.fresh())[2])

    # What outcomes teach

    def _learn(self, now: float, dest: Destination, call: Call, outcome: our.Outcome) -> None:
        kind, ep, route, usual = outcome.kind, call.ep, call.ep.route, dest.usual(now)
        if outcome.limit:
            route.limit, route.room, route.room_at = outcome.limit, outcome.headroom or 0.0, now
            if dest.found and route.equal > 1e9:  # restarted together, with lines: no burst
                route.share = min(1.0, max(1.0 / self._set.senders, usual / outcome.limit) / 2.0)
            route.equal = outcome.limit / self._set.senders
        little = kind == FULL or outcome.limit and route.room < LITTLE_ROOM
        if kind == FULL and not route.limit:
            route.limit = max(route.served.rate(now), route.served.rate(now, 2), LEAST_PACE)
        own = max(1.0 / self._set.senders, usual / max(route.limit, LEAST_PACE))
        route.refused = 0 if kind == OK else route.refused + (kind == FULL)
        rare = route.refused > 1 and usual * STREAK < 2.0  # nothing served, and few calls to tell
        own = min(1.0, own * (FEARED_PART if rare else OWN_PART))
        if little:
            route.cut(now, own, 0.5 / self._set.senders)
        elif kind == OK:
            route.grow(now, own, 1.0 if outcome.limit else GUESSED_TOP)
        quick = kind == CONNECT_FAILED and outcome.elapsed_ms < TRIAL_MS
        if kind == OK:
            self._served(now, dest, call, outcome.elapsed_ms)
            return
        dest.window = max(1.0, dest.window / 2.0)
        if kind in (our.RESET, our.TIMEOUT) and self._idle.marked(now, call.idle_ms):
            return  # lost with the connection: tells nothing of the endpoint
        if kind == CONNECT_FAILED:  # a full table denies at once, a silent machine late
            if quick and not call.idle_ms:
                self._tell(now, ep, CROWD)
                self._crowded(now, ep)
            if ep.calls and ep.ok_at >= call.sent_at:  # others were served: its connections are taken
                return
        if kind == FULL:
            route.meter.credit = self._draw(-0.5, 0.5) if rare else 0.0  # the next call a full step later
        ep.failed_at, ep.streak = ep.failed_at if ep.streak else now, ep.streak + 1
        ep.last_failed_at = now
        if not call.trial and call.sent_at >= max(each.ok_at for each in route.endpoints):
            route.failed_at, route.row = route.failed_at if route.row else call.sent_at, route.row + 1
        brief = BRIEF * (outcome.elapsed_ms < TRIAL_MS and kind in (our.ERROR, our.RESET, CONNECT_FAILED))
        ep.failing += (0.1 if brief else 0.2) * (1.0 - ep.failing)
        ep.doubtful += 0.2 * ((kind not in NEVER_RAN) - ep.doubtful)
        enough = STREAK if quick or self._set.notes else max(1, min(STREAK, int(usual * STREAK)))
        enough = brief + (1 if any(other.ill for other in route.endpoints) else enough)
        if kind != FULL:
            if self._linked:
                self._host.observed(ep.name, our.SignalKind.FAILED, 0.0)
            self._tell(now, ep, FAILED)
            if self._rumoured(now, ep, kind):
                return
        elif outcome.wait_ms > 0.0 and (outcome.wait_ms > LONG_WAIT_MS or now >= route.hold_until):
            self._tell(now, ep, f"{WAIT}{int(outcome.wait_ms)}")
        if ep.ill:
            self._await_trial(now, dest, route, route.trial_ms * 2.0)
            return
        failing = ep.streak >= enough or ep.failing > ILL_SHARE or route.row - route.refused >= STREAK + brief
        shut = ep.streak >= max(STREAK, 2 * enough) and now - ep.failed_at >= SHUT_MS
        if kind != FULL and failing or outcome.wait_ms > LONG_WAIT_MS or shut:
            self._falls_ill(now, dest, route, ep, kind)  # refusals: only if long, not of a limit's span

    def _falls_ill(self, now: float, dest: Destination, route: Route, ep: Place, why: str) -> None:
        route.ill_at = route.ill_at if any(each.ill for each in route.endpoints) else now
        for each in route.endpoints:  # a shut destination is shut at all its endpoints
            if each is ep or route.row - route.refused >= STREAK or why == FULL and each.ok_at < ep.failed_at:
                if not each.ill:
                    self._host.save_recovery(each.recovery(now, our.RecoveryStage.DOWN, route.ill_at))
                each.ill, each.back_at = True, None
        self._await_trial(now, dest, route, TRIAL_MS)
        self._host.log(f"destination {dest.number}: endpoint ill, {ep.streak} failures, last {why}")

    def _await_trial(self, now: float, dest: Destination, route: Route, ms: float, spread=False) -> None:
        route.trial_ms, usual = min(LONGEST_TRIAL_MS, ms), dest.usual(now)
        start, rare_ms, least = max(now, route.wait_until, route.hold_until), TRIAL_EVERY / usual, 0.3
        if self._set.notes:  # what one finds all hear: those that hold something try in turn
            held = min(1.0, usual * (start - route.ill_at + NOTE_MS) / 1000.0) * self._set.senders
            rare_ms, least = held * 1000.0 / max(LEAST_TRIALS, TRIAL_PART * usual * self._set.senders), 0.0
        pause_ms = rare_ms if rare_ms > LONGEST_TRIAL_MS else route.trial_ms  # no more often than they send
        if (spread or start > now) and not self._set.notes:  # met by many at once: as a ramp's first calls
            alone = 0.0 if self._linked else 1000.0 / self._set.warm_up_ms  # few know of it, unless told
            pause_ms, least = 500.0 / max(usual * self._set.cold_share, alone), 0.0
        elif route.shared:  # others try it too: as often together as one would, also as documents come
            pause_ms, each = route.trial_ms, max(LEAST_TRIALS / self._set.senders, TRIAL_PART * usual)
            start += max(0.0, self._draw(0.0, 1.0) - each / usual) * 2000.0 / each
        route.trial_at = start + pause_ms * self._draw(least, 2.0 - least)

    # What other senders tell: evidence that is weaker than an outcome, and ages

    def _tell(self, now: float, ep: Place, what: str) -> None:
        known = now < self._crowded_until.get(ep.kind, 0.0) if what == CROWD else ep.ill and what != BACK
        if not self._set.notes or known or now < ep.note_at:
            return
        if not self._notes.wait_ms(now, TOLD / self._set.senders, TOLD_AT_ONCE):
            ep.note_at, self._notes.credit = now + NOTE_MS, self._notes.credit - 1.0
            self._host.broadcast(f"{mark(ep.name)}{what}")

    def note_received(self, now: float, note: str) -> None:
        """A note from another sender; what cannot be read, or names what is not listed, is skipped."""
        ep, what, ms = self._marks.get(note[:MARK]), note[MARK : MARK + 1], note[MARK + 1 :]
        if ep is None or now > self._alarm + STALL_MS:  # or it lay there while this sender stood still
            return
        route, dest = ep.route, ep.route.destination
        if what == SERVES:
            ep.word.at(now, -1.0)
        elif what == FAILED:
            self._rumoured(now, ep, "told")
        elif what == WAIT and ms.isdecimal() and not ep.ill:
            shut = float(ms) > LONG_WAIT_MS  # else a limit, which all at once would meet again
            part = 1.0 if shut else self._draw(0.0, 1.0)
            route.hold_until = max(route.hold_until, now + min(float(ms), LONGEST_TOLD_MS) * part)
            if shut:
                ep.failed_at = now
                self._falls_ill(now, dest, route, ep, FULL)
        elif what == CROWD:
            self._crowded(now, ep)
        elif what == BACK and ep.ill:
            self._stirred = True
            self._back(now, dest, route, ep)

    def signals_available(self, now: float, live: bool) -> None:
        self._linked, self._stirred = live, True

    def report_received(self, now: float, report: our.Report) -> None:
        """Guards against every sender finding an outage, a told wait and a return by itself. Failures count
        from many senders only, and none older than what was served. May hurt where few senders are served."""
        if (ep := self._endpoints.get(report.endpoint)) is None:
            return
        route, before = ep.route, (ep.ill, ep.route.shared)
        dest, until = route.destination, now + report.wait_ms
        failed_by = ep.hear(now, report)
        if failed_by >= self._quorum(now, route):
            route.shared = True
            if not ep.ill:
                self._falls_ill(now, dest, route, ep, "told")
        failed_at = max(ep.last_failed_at, ep.others_failed_at, route.wait_until)
        if not failed_by and ep.ill and ep.others_served_at > failed_at:
            if now > ep.others_trusted_at + TRUST_EVERY_MS:
                ep.others_trusted_at = now
                self._back(now, dest, route, ep)
            elif route.shared:  # not again so soon: each finds out by itself
                route.shared = False
                self._await_trial(now, dest, route, route.trial_ms)
        if report.wait_ms and until > route.wait_until + CALL_MS and now - report.wait_age_ms > ep.ok_at:
            route.wait_until, ep.failed_at = until, now
            self._falls_ill(now, dest, route, ep, FULL)
        self._stirred = self._stirred or before != (ep.ill, route.shared)  # else it frees nothing

    def _quorum(self, now: float, route: Route) -> float:  # of senders that saw failures; never one alone
        usual = route.destination.usual(now) * self._set.senders / len(route.endpoints)
        most = min(our.MAX_OBSERVERS, max(2, self._set.senders // 2))
        return min(most, max(QUORUM, usual * WORD_PART * QUORUM_MS / 1000.0))

    def _crowded(self, now: float, ep: Place) -> None:  # full tables of its kind: none is kept idle there
        if now >= self._crowded_until.get(ep.kind, 0.0):
            self._stirred = True
            self._lying.update({each.name: each for each in self._endpoints.values() if each.kind == ep.kind})
        self._crowded_until[ep.kind] = now + CROWDED_MS

    def _rumoured(self, now: float, ep: Place, why: str) -> bool:
        """Counts a failure, here or as told; many for its traffic make an endpoint ill."""
        dest, route, count = ep.route.destination, ep.route, ep.word.at(now, 1.0)
        usual = dest.usual(now) * self._set.senders / max(1, len(route.endpoints))
        if not self._set.notes or ep.ill or count < max(WORDS, usual * WORD_PART * WORD_MS / 1000.0):
            return False
        self._falls_ill(now, dest, route, ep, why)
        return True

    def _served(self, now: float, dest: Destination, call: Call, ms: float) -> None:
        ep, route = call.ep, call.ep.route
        dest.window = min(float(dest.half if dest.troubled(now) else dest.top), dest.window + 1.0)
        route.served.add(now)
        self._norm.add(ms)
        back = ep.ill and call.sent_at >= route.ill_at
        if not ep.ill and route.row >= BRIEF:  # few calls met it
            back = call.sent_at >= route.failed_at < now - OUTAGE_MS
        if self._linked and max(ep.last_failed_at, ep.others_failed_at) > max(ep.ok_at, ep.others_served_at):
            self._host.observed(ep.name, our.SignalKind.SERVED, 0.0)
        ep.streak, ep.ok_at, ep.failing, ep.doubtful = 0, now, ep.failing * 0.8, ep.doubtful * 0.8
        ep.recent_ms += (ms - ep.recent_ms) * (0.3 if ep.recent_ms else 1.0)
        ep.usual_ms += (ms - ep.usual_ms) * (0.02 if ep.usual_ms > 0 else 1.0)
        if ep.word.at(now) > 0.5 and not back:
            self._tell(now, ep, SERVES)
        ep.word.at(now, -1.0)
        if back:
            route.trial_at, route.trial_ms = now, TRIAL_MS
            if not ep.ill or ep.failing <= ILL_SHARE:
                self._tell(now, ep, BACK)
                self._back(now, dest, route, ep)
        route.row = 0

    def _back(self, now: float, dest: Destination, route: Route, ep: Place) -> None:
        route.away_ms, back_at, route.shared = now - route.ill_at, state.last_back(route.endpoints), False
        if back_at is None or back_at < max(route.ill_at, route.failed_at):
            route.ramp, back_at = Meter(now, self._draw(0.0, 1.0)), now
        for each in route.endpoints:  # a sibling that failed and served nothing since is as cold
            if each is ep or (each.streak or route.row >= BRIEF) and not each.ill:
                each.ill, each.back_at = False, back_at
                each.word.clear()
                self._host.save_recovery(each.recovery(now, our.RecoveryStage.WARMING, back_at))
        self._host.log(f"destination {dest.number}: endpoint back, {dest.rate(now):.2f} documents/s")

    def _patience(self, ep: Place, doc: Document) -> float:
        seen = max(ep.usual_ms, ep.recent_ms)
        scarce = self._out >= self._set.slots * SCARCE and not self._set.notes  # these tell of the silent
        patience = (HASTY if scarce else PATIENCE) * seen if seen else doc.kind.agreed_ms  # none seen yet
        least = LEAST_PATIENCE_MS * (1.0 if self._set.notes else max(LEAST_PART, 1.0 - self._busy))
        patience = max(least, patience, ep.route.trial_ms / 2.0 if ep.ill else 0.0)
        return patience * (1.5 if scarce else 2.0) if doc.kind.effect == BINDING else patience

    def _value(self, now: float, doc: Document) -> float:
        kind, late = doc.kind, max(0.0, now - doc.taken - doc.kind.agreed_ms)
        span = max(kind.expiry_ms - kind.agreed_ms, 1.0)
        return doc.worth * kind.value * (1.0 - (1.0 - kind.late_share) * min(1.0, late / span))

    def _last_call(self, doc: Document) -> float:  # that may still help, and comes inside its window
        return min(doc.expiry, doc.known_until()) - CALL_MS

    def _join(self, now: float, entry: our.Endpoint) -> None:
        dest = self._destination(entry.destination, now)
        number = sum(len(each.endpoints) for each in dest.routes) + 1
        ep = self._endpoints[entry.name] = Place(entry, number, now, self._norm, Fading(now, WORD_MS))
        self._marks[mark(entry.name)] = ep
        self._seat(now, dest, ep, entry.rate if self._set.rates_listed else 0.0)  # beside the cold: as cold
        ep.ill, ep.back_at = any(each.ill for each in ep.route.endpoints), state.last_back(ep.route.endpoints)

    def _seat(self, now: float, dest: Destination, ep: Place, rate: float) -> None:
        if not dest.routes or self._set.routes_apart[ep.kind]:
            dest.routes.append(Route(dest, self._set.per_call[ep.kind], rate, now))
        ep.route = dest.routes[-1]
        ep.route.endpoints.append(ep)

    def reconfigure(self, now: float, settings: our.Settings) -> None:
        """Other settings, for what comes next; what is held, out, told, paid, resting or learnt stays."""
        apart, self._set, self._stirred = self._set.routes_apart, settings, True
        self._types = {kind.name: kind for kind in settings.types}
        self._quotas = dict(settings.tenants)
        self._traffic = {name: ring for name, ring in self._traffic.items() if name in self._quotas}
        for dest in self._destinations.values():
            dest.resize(settings)
            if apart != settings.routes_apart:
                self._regroup(now, dest)

    def _regroup(self, now: float, dest: Destination) -> None:
        eps = [ep for route in dest.routes for ep in route.endpoints]
        dest.routes = [] if eps else dest.routes  # what was told outlasts the last endpoint
        for ep in eps:
            was = ep.route
            self._seat(now, dest, ep, was.limit)
            ep.route.wait_until = max(ep.route.wait_until, was.wait_until)
            ep.route.trial_at, ep.route.ill_at, ep.route.share = was.trial_at, was.ill_at, was.share

    def _wake(self, now: float, when: float) -> None:
        if when < self._alarm:
            self._alarm = when
            self._host.wake(max(0.0, when - now))
