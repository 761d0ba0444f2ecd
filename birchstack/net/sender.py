"""The host of the decisions: one sender, from its start to its end.

Owns the clock, the turns (all events of one pass of the loop are one turn), the alarm and the order in which
things become true: the ledger, then the answer to the client, then the call. Must never decide which document
goes where, when, or how it ends: the decisions do, and what they say is carried out here.
"""

from __future__ import annotations

import asyncio
import functools
import logging
from collections.abc import Iterable

from birchstack import interface as our
from birchstack.decide import NEVER_RAN, Sender
from birchstack.net.audit import MakeAuditLog, SenderStatus
from birchstack.net.by_hand import ByHand
from birchstack.net.calls import Call, Calls
from birchstack.net.config import Config, ConfigError, fits, load, take_over
from birchstack.net.discovery import Watch
from birchstack.net.front import ABANDONED, CLOSED, REJECTED, TAKEN, Front, Handed
from birchstack.net.ledger import Ledger, Owed
from birchstack.net.listed import Listed
from birchstack.net.log import broken, holds, say
from birchstack.net.machine import LastingClock, Machine
from birchstack.net.notices import Notices
from birchstack.net.operators import Answer, Door, Figures
from birchstack.net.operators import Calls as Asked
from birchstack.net.overflow import Make as MakeStore
from birchstack.net.overflow import Overflow
from birchstack.net.recollection import Recollection
from birchstack.net.room import fitted, shares
from birchstack.net.tally import Tally

LISTEN_S, CALL_S, END_S = 0.8, 2.9, 3.5  # after SIGTERM: new clients, new calls, answers to calls
OVERDUE_MS = 100.0  # past its expiry, a document that has no end is overdue
NEAR_MS = 100.0  # an answer so shortly before it may count as too late: clocks and sockets lag
REPORT_S = 60.0
REMEMBERED = 4096  # answers kept for ids that come again
LINK_S = 0.5  # whether signals still come is looked at so often
LOCK, LOOK_S, LAX = "lock", 0.05, 20  # held by the process that sends from the folder; asked for so often
log = logging.getLogger(__name__)


class Node:
    """Carries out what the decisions say, and tells them what happens."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        machine: Machine | None = None,
        audit: MakeAuditLog | None = None,
        store: MakeStore | None = None,
    ) -> None:
        self._machine = machine or Machine()
        self._config = config = fitted(config, self._machine.descriptors())
        self._loop, self._began = loop, loop.time()
        folder = self._folder = self._machine.folder(config.state)
        self._lasting = LastingClock(self._machine, folder)
        self._core = Sender(config.settings, config.seed, self)
        self._holds = folder.lock(LOCK)  # else another process of this sender holds it, and sends
        self._ledger = Ledger(folder, config.disk_bytes, "" if self._holds else self._machine.unique())
        room = shares(config.sockets, config.settings.slots)
        self._calls = Calls(
            loop,
            self.clock,
            config.idle_ms,
            config.dial_ms,
            room.idle,
            self._up,
            self._delivered,
            self._ended,
        )
        types = {kind.name: kind.expiry_ms for kind in config.settings.types}
        self._list = Listed(self._calls)
        self._front = Front(loop, types, room.clients, self._list.serves, self._handed)
        self._watch = Watch(loop, config.discovery, config.kinds, self._listed, self._told)
        self._notices = Notices(loop, config.discovery, self._acknowledged)
        self._inbox: list[tuple] = []  # the events of this pass
        self._fresh: dict[str, Handed] = {}  # handed in during this turn, not yet answered
        self._starting: dict[str, Call] = {}  # calls that begin at the end of this turn
        self._connected: list[Call] = []  # calls with their connection: they leave at its end
        self._answers: dict[str, tuple[str, float]] = {}  # by id, for those that come again
        self._by_hand = ByHand(folder, self._lasting.ms)
        self._recalled = self._recollection() if self._holds else None
        self._tally = Tally()
        self._reloads = [0, 0]  # configurations taken over, and not taken over
        self._turn_due, self._turned_at = False, 0.0
        self._alarm: asyncio.TimerHandle | None = None
        self._closing_at: float | None = None
        self._ready = self._handing = False  # handing: another process waits to send what this one holds
        self._unheard: list[tuple[str, list]] = []  # lists, while another process holds the folder
        self._linked = False  # whether the decisions were told that signals of other senders come
        self._audit = audit(config, self._machine, folder, self._status, self._reported) if audit else None
        asked = Asked(
            self._ready_now,
            self._figures,
            lambda endpoint: self._by_hand_now(endpoint, True),
            lambda endpoint: self._by_hand_now(endpoint, False),
            lambda: self._drain(True),
            lambda: self._drain(False),
            self._audit.asked if self._audit else None,
        )
        self._door = Door(loop, asked, room.callers) if config.ops else None
        self._store, self._overflow = store, None  # documents beyond a window, where operators keep them
        self.ended = loop.create_future()

    def clock(self) -> float:
        """Milliseconds since the start."""
        return (self._loop.time() - self._began) * 1000.0

    async def start(self) -> None:
        """Takes up what is owed, then opens the door."""
        self._machine.on_signals(self._loop, self.close, self.reload)
        if self._door:
            await self._door.open(self._machine, self._config.ops)
        if self._audit:
            self._audit.begins(self._holds)
            self._audit.settings(self._config, "start")
        self._watch.start(self._config.known)
        await self._watch.first()
        self._take_up(self._ledger.owed)
        self._turn()
        await self._front.open(self._machine, self._config.listen)
        self._look_for_overdue()
        self._loop.call_later(REPORT_S, self._report)
        if self._audit and self._audit.linked() is not None:
            self._look_at_the_link()
        self._ready = True
        self._loop.call_later(LOOK_S, self._look_at_the_folder)
        say(
            log,
            "ready",
            name=self._config.name,
            owed=len(self._ledger.owed) + len(self._overflow or ()),
            endpoints=len(self._list.entries),
            holds=self._holds,
        )

    def _take_up(self, found: dict[str, Owed]) -> None:
        """What the folder owes, found by id, goes to the decisions."""
        now, wall = self.clock(), self._lasting.ms()
        self._remember({doc_id: (TAKEN, 0.0) for doc_id in (*self._ledger.ended, *found)})
        for owed in [*found.values()]:
            owed.due = now + owed.expiry - wall
            if owed.notice:
                self._notices.tell(owed.id, *owed.notice)
                continue
            self._inbox.append((self._adopt, owed))
        if self._store and self._holds and found is self._ledger.owed:
            self._overflow = Overflow(
                self._store(self._folder, wall),
                self._ledger,
                self._core,
                wall,
                self._loop,
                functools.partial(self._guarded, self._adopt),
                self._soon,
            )

    def _recollection(self) -> Recollection:
        """The folder is this process's now: what it tells of endpoints."""
        if not self._lasting.kept:
            self._ledger.begin_recoveries_anew(self._lasting.ms())
        return Recollection(self._ledger, self._by_hand)

    def _recall(self, listed: Iterable[our.Endpoint]) -> None:
        """Goes to the decisions behind the list that names the endpoints, and before any document."""
        for recalled in self._recalled.of(self._lasting.ms(), listed):
            if recalled.recovery:
                self._inbox.append((self._core.restore_recovery, recalled.recovery))
            if recalled.wait_ms > 0.0:
                self._inbox.append((self._core.restore_wait, recalled.endpoint, recalled.wait_ms))

    def _adopt(self, now: float, owed: Owed, tenant: str | None = None) -> None:
        """What was taken on before goes to the decisions, with its past."""
        wall = self._lasting.ms()
        owed.due = now + owed.expiry - wall
        self._remember({owed.id: (TAKEN, 0.0)})
        if owed.type not in self._front.types:
            self._owe_notice(owed.id, "dead", 0.0, "its type is in the settings no more")
            return
        doubt = tuple((now + when - wall, zone) for zone, when in owed.doubt)
        history = our.History(owed.sent, owed.failed, doubt) if owed.found else our.NO_HISTORY
        remaining_ms = owed.due - now
        given = our.Submission(owed.id, owed.destination, owed.type, remaining_ms, owed.key, history, tenant)
        self._core.document(now, given)

    def _look_at_the_folder(self) -> None:
        """Another process of this sender holds the folder: this one takes documents on and sends nothing.

        Guards against two processes that send one document, or keep two views of one endpoint's limits, while
        one replaces the other (an upgrade), and covers a start beside a process that hangs. When the other
        has ended, however it ended, the lock is free: its file and this one's are taken up as after a
        restart, by decisions that start anew with the lists seen meanwhile. Where the one that waits ends
        first, the one that holds takes its file up. May hurt: what comes meanwhile waits until then."""
        if self._closing_at is not None:
            return
        self._loop.call_later(LOOK_S * (LAX if self._holds else 1), self._look_at_the_folder)
        if self._holds and (found := self._ledger.adopt()):
            self._take_up({owed.id: owed for owed in found})
            self._soon()
        if self._holds or not self._folder.lock(LOCK):
            return
        self._turn()  # what came so far, under the file of the wait
        self._ledger.close()
        self._ledger = Ledger(self._folder, self._config.disk_bytes)
        self._core, self._holds = Sender(self._config.settings, self._config.seed, self), True
        self._linked = False  # the decisions begin anew
        self._by_hand.read()  # the other may have been told more meanwhile
        if self._audit:
            self._audit.begins(True)
        for mode, listed in self._unheard:
            told = [self._by_hand.as_told(entry) for entry in listed]
            self._inbox.append((self._core.endpoints, mode, told))
        self._unheard.clear()
        self._recalled = self._recollection()
        self._recall(self._list.entries.values())
        self._take_up(self._ledger.owed)
        say(log, "holds the folder", owed=len(self._ledger.owed))
        self._soon()

    # Events: gathered, and told in one turn

    def _happened(self, *event: object) -> None:
        self._inbox.append(event)
        self._soon()

    def _soon(self) -> None:
        if not self._turn_due:
            self._turn_due = True
            self._loop.call_soon(self._turn)

    def _handed(self, handed: Handed) -> None:
        self._happened(self._take_on, handed)

    def _told(self, told: dict, source: str) -> bool:
        return self._audit is None or self._audit.told(told, source)

    def _listed(self, mode: str, listed: list) -> None:
        self._list.apply(mode, listed)
        if self._holds:
            self._happened(self._core.endpoints, mode, [self._by_hand.as_told(entry) for entry, _ in listed])
            self._recall(entry for entry, _ in listed)
            return
        if mode != our.CHANGES:  # the decisions will hear of them when this process sends
            self._unheard.clear()
        self._unheard.append((mode, [entry for entry, _ in listed]))

    def _up(self, call: Call) -> None:
        self._connected.append(call)
        self._soon()

    def _delivered(self, call: Call) -> None:
        """The first line of an answer says so; the rest of it cannot change that."""
        owed = self._ledger.owed.get(call.doc)
        if owed and holds(owed.notice is None, "a document has one end"):
            self._tally.delivered(owed.type)
            if self.clock() < owed.due - NEAR_MS:
                self._ledger.done(owed)
            else:  # where it counts, its time may be up: it ends by a notice
                self._ledger.notice(owed, "dead", 0.0)  # too, which does no harm if it is over
                self._notices.tell(owed.id, "dead", 0.0)

    def _ended(self, call: Call, outcome: our.Outcome) -> None:
        if outcome.wait_ms > 0.0:
            self._ledger.told(call.endpoint, self._lasting.ms() + outcome.wait_ms)
        owed = self._ledger.owed.get(call.doc)
        if owed and owed.notice is None:  # else it is kept until the platform knows
            if outcome.final:
                self._ledger.done(owed)
            else:
                failed = outcome.kind not in (our.FULL, our.UNSENT)
                self._ledger.back(owed, outcome.kind not in NEVER_RAN, failed)
        self._ledger.freed(call.destination)
        self._happened(self._core.outcome, call.doc, call.endpoint, outcome)

    def _acknowledged(self, ids: list[str]) -> None:
        for doc_id in ids:
            owed = self._ledger.owed.get(doc_id)
            if owed:
                self._ledger.done(owed)

    # The turn

    def _turn(self) -> None:
        self._turn_due = False
        events, self._inbox = self._inbox, []
        now = self.clock()
        for tell, *words in events:
            if tell == self._take_on:
                self._take_on(now, *words)
            else:
                self._guarded(tell, now, *words)
        if self._overflow and self._closing_at is None:
            self._overflow.turn(now, self._lasting.ms())
        if self._calling():
            self._guarded(self._core.turn, now)
            self._turned_at = now
        self._settle(now)

    def _calling(self) -> bool:
        """False once this process makes no more calls: towards its end, or when it hands over."""
        return self._closing_at is None or not self._handing and self._loop.time() < self._closing_at + CALL_S

    def _guarded(self, tell, *words: object) -> bool:
        try:
            tell(*words)
        except Exception:  # a fault of the decisions must not end what else is owed
            log.exception("a fault of the decisions")
            return holds(False, "the decisions do not fail")
        return True

    def _look_for_overdue(self) -> None:
        """The last resort: a document that the decisions let pass its expiry is ended all the same."""
        late = self.clock() - OVERDUE_MS
        overdue = [each for each in self._ledger.owed.values() if each.due < late and not each.notice]
        if overdue:
            self._soon()  # after a stall the decisions have their turn first
        for owed in [each for each in overdue if each.due < self._turned_at - OVERDUE_MS]:
            holds(owed.out is None, "no transmission lasts beyond the expiry")
            self._owe_notice(owed.id, "dead", 0.0)
            self._happened(self._core.withdrawn, owed.id)
            holds(False, "a document ends before its expiry")
        self._loop.call_later(OVERDUE_MS / 2000.0, self._look_for_overdue)

    def _take_on(self, now: float, handed: Handed) -> None:
        """Before the turn: what needs no decision is answered, the rest is put to the decisions."""
        age, gone = handed.told()
        advice_ms = self._config.settings.retry_after_ms
        if gone:
            handed.reply(CLOSED)  # nobody hears it, and nothing was taken on
        elif handed.id in self._fresh:
            self._fresh[handed.id].again.append(handed)
        elif handed.id in self._answers or self._overflow and self._overflow.holds(handed.id):
            handed.reply(*self._answers.get(handed.id, (TAKEN, 0.0)))
        elif self._closing_at is not None and not self._handing:
            self._answer(handed, CLOSED, advice_ms)
        elif self._overflow and (verdict := self._overflow.takes(now, handed, age, advice_ms)):
            if verdict[0] != TAKEN:
                self._answer(handed, *verdict)
            else:
                self._fresh[handed.id] = handed
        elif not self._ledger.fits([len(handed.body), *(len(each.body) for each in self._fresh.values())]):
            self._answer(handed, CLOSED, advice_ms)
        else:
            handed.left_ms -= age
            self._fresh[handed.id] = handed
            given = our.Submission(
                handed.id,
                handed.destination,
                handed.type,
                handed.left_ms,
                handed.key,
                tenant=handed.tenant,
            )
            if not self._guarded(self._core.document, now, given) and self._fresh.pop(handed.id, None):
                self._guarded(self._core.withdrawn, now, handed.id)
                self._answer(handed, CLOSED, advice_ms)

    def _answer(self, handed: Handed, verdict: str, wait_ms: float = 0.0) -> None:
        if verdict != TAKEN:
            self._tally.undelivered(handed.id, handed.type, verdict == ABANDONED)
        self._remember({handed.id: (verdict, wait_ms)})
        handed.reply(verdict, wait_ms, close=self._front.ending)

    def _remember(self, answers: dict[str, tuple[str, float]]) -> None:
        self._answers.update(answers)
        while len(self._answers) > REMEMBERED:
            del self._answers[next(iter(self._answers))]

    def _settle(self, now: float) -> None:
        """After the turn: the ledger, then the answers, then the calls."""
        fresh, self._fresh = self._fresh, {}
        wall = self._lasting.ms() + now - self.clock()  # when the turn began: it may have been long
        for handed in fresh.values():
            try:
                if self._overflow and self._overflow.record(handed, wall):
                    self._answer(handed, TAKEN)
                    continue
                owed = self._ledger.take(
                    handed.id,
                    handed.type,
                    handed.destination,
                    handed.key,
                    wall + handed.left_ms,
                    handed.body,
                    handed.repeat_key,
                )
            except OSError as problem:
                say(log, "not taken on", logging.ERROR, problem=problem)
                self._happened(self._core.withdrawn, handed.id)
                self._unsent(self._starting.pop(handed.id, None))
                self._answer(handed, CLOSED, self._config.settings.retry_after_ms)
            else:
                owed.due = now + handed.left_ms
                self._answer(handed, TAKEN)
        starting, self._starting = self._starting, {}
        leaving = []
        for call in starting.values():
            owed = self._ledger.owed.get(call.doc)
            if not holds(
                owed and owed.notice is None and call.endpoint in self._calls.addresses,
                "only what is owed is sent, and only to what is listed",
            ):
                self._unsent(call)
                continue
            call.body, call.repeat_key = owed.body, owed.repeat_key
            leaving.append(call)
        refused, failed = self._tally.take_turn()
        if self._audit and (leaving or refused or failed):
            self._audit.turn([(call.doc, call.endpoint) for call in leaving], refused, failed)
        connected, self._connected = self._connected, []
        for call in [*connected, *(each for each in leaving if self._calls.begin(each))]:
            self._calls.go(call, self._leaves(self.clock(), call))

    def _leaves(self, now: float, call: Call) -> bool:
        """The moment a call takes effect is its writing: what holds then counts, and is in the ledger first.

        Guards against a connection that comes up late: meanwhile a wait may have been told, the endpoint been
        drained, gone or moved, the document ended, or this process told to end. May hurt: the connection is
        closed, and the next call there dials again."""
        owed = self._ledger.owed.get(call.doc)
        if not (
            owed
            and owed.notice is None
            and self._calling()
            and self._calls.waiting(call)
            and self._core.confirm_transmission(now, call.doc)
        ):
            return False
        try:
            self._ledger.call(owed, self._list.entries[call.endpoint].zone, self._lasting.ms())
        except OSError as problem:
            say(log, "not sent", logging.ERROR, problem=problem)
            return False
        call.patience_ms = min(call.patience_ms, owed.due - now)
        return True

    def _unsent(self, call: Call | None) -> None:
        if call:
            self._ended(call, our.Outcome(our.UNSENT, call.number, 0.0, False))

    def _report(self) -> None:
        """A line now and then for who looks after it."""
        say(
            log,
            "state",
            owed=len(self._ledger.owed),
            out=len(self._calls),
            notices=len(self._notices),
            clients=len(self._front),
            broken=dict(broken),
            untried=dict(self._tally.untried),
        )
        self._loop.call_later(REPORT_S, self._report)

    # What the decisions ask for

    def transmit(self, doc_id: str, endpoint: str, timeout_ms: float) -> None:
        owed = self._ledger.owed.get(doc_id)
        number, where = (owed.sent, owed.destination) if owed else (0, -1)
        self._starting[doc_id] = Call(doc_id, number, endpoint, b"", timeout_ms, destination=where)

    def reject(self, doc_id: str, retry_after_ms: float) -> None:
        if doc_id in self._fresh:
            self._answer(self._fresh.pop(doc_id), REJECTED, retry_after_ms)
        else:
            self._owe_notice(doc_id, "bounced", retry_after_ms)

    def abandon(self, doc_id: str) -> None:
        if doc_id in self._fresh:
            self._answer(self._fresh.pop(doc_id), ABANDONED)
        else:
            self._owe_notice(doc_id, "dead", 0.0)

    def _owe_notice(self, doc_id: str, result: str, wait_ms: float, why: str = "") -> None:
        owed = self._ledger.owed.get(doc_id)
        if holds(owed and owed.notice is None, "a document has one end"):
            if owed.found and not owed.sent:  # a restart found it, and nothing tried it
                why = why or (
                    "its time, or a told wait"
                    if self._list.ready(owed.destination)
                    else "no endpoint is ready"
                )
                self._tally.untried[why] += 1
                say(log, "given up with no call", logging.WARNING, doc=doc_id, reason=why)
            self._tally.undelivered(owed.id, owed.type, result == "dead")
            self._ledger.notice(owed, result, wait_ms)
            self._notices.tell(doc_id, result, wait_ms)

    def close_idle(self, endpoint: str) -> None:
        self._calls.close_idle(endpoint)

    def wake(self, after_ms: float) -> None:
        """The decisions ask for their next alarm only; one that was set for later is no longer wanted."""
        now = self._loop.time()
        when = now + after_ms / 1000.0
        if self._alarm and now < self._alarm.when() <= when:
            return
        if self._alarm:
            self._alarm.cancel()
        self._alarm = self._loop.call_at(when, self._soon)

    def subscribe(self) -> None:
        """The watch is always kept, and asked for again by itself."""

    def broadcast(self, note: str) -> None:
        """Never asked for: the configuration refuses notes, which have no way to other senders here."""

    def observed(self, endpoint: str, kind: our.SignalKind, wait_ms: float) -> None:
        self._audit.observed(endpoint, kind, wait_ms)

    def save_recovery(self, recovery: our.Recovery) -> None:
        self._ledger.remember(self._lasting.ms(), recovery)

    def log(self, text: str) -> None:
        say(log, text)

    # Signals of other senders

    def _reported(self, reports: list[our.Report]) -> None:
        if not self._holds:  # another process decides
            return
        self._link()
        for report in reports:
            if report.wait_ms > 0.0:  # kept over a restart, as one that was told here
                self._ledger.told(report.endpoint, self._lasting.ms() + report.wait_ms)
            self._happened(self._core.report_received, report)

    def _look_at_the_link(self) -> None:
        self._link()
        self._loop.call_later(LINK_S, self._look_at_the_link)

    def _link(self) -> None:
        """Tells the decisions when signals begin to come, and when they come no more."""
        live = bool(self._audit.linked())
        if live != self._linked and self._holds:
            self._linked = live
            say(log, "signals of other senders come" if live else "no signals of other senders come")
            self._happened(self._core.signals_available, live)

    # What operators ask: carried out here, and only reported

    def _ready_now(self) -> Answer:
        if self._closing_at is not None:
            return Answer(False, "closing", 503)
        return Answer(True, "ready") if self._ready else Answer(False, "starting", 503)

    def _status(self) -> SenderStatus:
        return SenderStatus(self._ready_now().yes, len(self._ledger.owed), self._watch.silent_ms())

    def _figures(self) -> Figures:
        out = self._by_hand.out
        avoided = sum(name in self._list.entries for name in out) + sum(
            name not in out for name in self._core.ejected_endpoints()
        )
        held = len(self._overflow or ()) + sum(owed.notice is None for owed in self._ledger.owed.values())
        return Figures(
            self._tally.by_type(kind.name for kind in self._config.settings.types),
            self._calls.transmitted,
            held,
            len(self._list.entries),
            avoided,
            tuple(self._reloads),
            self._audit.figures() if self._audit else [],
        )

    def _by_hand_now(self, endpoint: str, out: bool) -> Answer:
        entry = self._list.entries.get(endpoint)
        answer = self._by_hand.set(endpoint, out, entry is not None)
        if answer.yes and entry and self._holds:
            self._happened(self._core.endpoints, our.CHANGES, [self._by_hand.as_told(entry)])
        return answer

    def _drain(self, drained: bool) -> Answer:
        """Clients are sent away, and what is held is still sent; the sender stays."""
        self._front.drain(drained)
        return Answer(True, "drained" if drained else "serving")

    # A new configuration, and the end

    def reload(self) -> None:
        """SIGHUP: takes over the settings and where discovery is now, or nothing. Documents held, calls out,
        ids, connections and what was told and learnt stay; what shrinks holds for what comes next."""
        try:
            fresh = fitted(load(again=True), self._machine.descriptors())
            self._turn()  # what came before is taken on under the old settings
            held = {owed.type for owed in self._ledger.owed.values() if owed.notice is None}
            fits(fresh, self._config, held, self._list.last_kind())
        except ConfigError as problem:
            say(log, "configuration not taken over", logging.ERROR, problem=problem)
            self._reloads[1] += 1
            return
        self._reloads[0] += 1
        self._config, changed, waits = take_over(fresh, self._config)
        self._front.types = {kind.name: kind.expiry_ms for kind in fresh.settings.types}
        self._calls.idle_ms, self._calls.dial_ms = fresh.idle_ms, fresh.dial_ms
        if self._audit:
            self._audit.settings(self._config, "reload")
        if changed:
            self._happened(self._core.reconfigure, fresh.settings)
        self._watch.move(fresh.discovery, fresh.kinds)
        self._notices.move(fresh.discovery)
        say(
            log,
            "configuration taken over",
            discovery="{}:{}".format(*fresh.discovery),
            settings=",".join(changed) or "unchanged",
            needs_restart=",".join(waits) or "nothing",
        )

    def close(self) -> None:
        """SIGTERM: takes no more, answers what comes, finishes what it can, leaves the rest in the ledger."""
        if self._closing_at is not None:
            return
        self._closing_at = self._loop.time()
        self._handing = self._holds and self._ledger.awaited()
        say(log, "closing", owed=len(self._ledger.owed), out=len(self._calls), handing=self._handing)
        self._front.close()
        self._loop.call_later(0.0 if self._handing else LISTEN_S, self._front.shut)
        self._loop.call_later(0.0 if self._handing else LISTEN_S, self._maybe_over)

    def _maybe_over(self) -> None:
        """Another process gets what is held at once: only calls out and clients are waited for."""
        past = self._loop.time() - self._closing_at
        if self._handing or not self._holds:
            busy = len(self._calls) or len(self._front)
        else:
            busy = self._front.busy() or (
                self._ledger.owed if past < CALL_S else len(self._calls) or len(self._notices)
            )
        if busy and past < END_S:
            self._loop.call_later(0.05, self._maybe_over)
            return
        say(
            log,
            "closed",
            owed=len(self._ledger.owed),
            out=len(self._calls),
            broken=dict(broken),
            untried=dict(self._tally.untried),
        )
        self._watch.stop()
        self._calls.close()
        for each in filter(None, (self._overflow, self._door)):
            each.close()
        if self._audit:
            self._audit.ended()
        if not self.ended.done():
            self.ended.set_result(None)
