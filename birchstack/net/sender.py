"""One sender process: hosts the decision logic (decide.py) and carries out what it asks for.

Owns the clock, the turns (all events of one pass of the event loop form one turn), the wake-up timer and the
order of effects: first the ledger is written, then the client is answered, then the call is made. Never
decides which document goes to which endpoint, when it goes or how it ends: that is up to the decision logic.
"""

from __future__ import annotations

import asyncio
import functools
import logging
from collections.abc import Iterable
from dataclasses import dataclass

from birchstack import interface
from birchstack.decide import NEVER_RAN, Sender
from birchstack.net import content
from birchstack.net.address_claims import AddressClaims
from birchstack.net.audit import AuditLogFactory, SenderStatus
from birchstack.net.by_hand import AdministrativeStates
from birchstack.net.calls import Call, Calls
from birchstack.net.config import Config, ConfigError, apply_reload, check_applicable, load
from birchstack.net.discovery import Watch
from birchstack.net.front import ClientServer
from birchstack.net.handover import CLAIM_MARGIN_MS, EXCHANGE_S, LOCK_NAME, Handover
from birchstack.net.ledger import Ledger, LedgerEntry
from birchstack.net.listed import EndpointList
from birchstack.net.log import check_invariant, log_debug, log_event, violations
from birchstack.net.machine import Machine, PersistentClock
from birchstack.net.memory import divide_memory
from birchstack.net.notices import Notices
from birchstack.net.operators import Answer, Metrics, OperatorServer
from birchstack.net.operators import Handlers as OperatorHandlers
from birchstack.net.overflow import OpenedStore, Overflow, StoreFactory, keep_behind_others
from birchstack.net.periodic import PeriodicTask, run_isolated
from birchstack.net.recollection import StoredEndpointStates
from birchstack.net.room import divide_descriptors, limit_to_descriptors
from birchstack.net.submission import ABANDONED, ACCEPTED, REJECTED, UNAVAILABLE, ClientRequest
from birchstack.net.tally import Tally
from birchstack.net.vitals import Vitals

# Graceful shutdown, in seconds after SIGTERM
ACCEPT_CLIENTS_S = 0.8  # new client connections are accepted until then
START_CALLS_S = 2.9  # new calls are started until then
FINISH_CALLS_S = 3.5  # calls in flight are waited for until then
OVERDUE_MS = 100.0  # a document that has not ended this long after its expiry is overdue
EXPIRY_MARGIN_MS = 100.0  # an answer this close to the expiry may count as too late: clocks and sockets lag
OVERDUE_CHECK_S = OVERDUE_MS / 2000.0  # interval between looks for overdue documents
STATE_LOG_INTERVAL_S = 60.0
MAX_REMEMBERED_REFUSALS = 4096  # a refused document may safely be accepted when it is submitted again
SIGNAL_CHECK_S = 0.5  # interval between checks whether signals of other senders still arrive
LOCK_CHECK_S = EXCHANGE_S  # interval between attempts of a waiting process to take the lock
HOLDER_CHECK_FACTOR = 20  # the process that holds the lock looks for files to adopt this much less often
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Refusal:
    """How a document was refused; content: its digest."""

    content: str
    verdict: str
    wait_ms: float


def _content_of(request: ClientRequest) -> str:
    return content.digest(request.type, request.destination, request.key, request.body)


class Node:
    """Hosts the decision logic: reports events to it and carries out its requests (interface.Host)."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        machine: Machine | None = None,
        audit: AuditLogFactory | None = None,
        store: StoreFactory | None = None,
    ) -> None:
        self._machine = machine or Machine()
        self._config = config = limit_to_descriptors(config, self._machine.max_descriptors())
        self._loop = loop
        self._started_at = loop.time()
        folder = self._folder = self._machine.folder(config.state)
        self._lasting = PersistentClock(self._machine, folder)
        self._core = Sender(config.settings, config.seed, self)  # the decision logic
        self._holds_lock = folder.lock(LOCK_NAME)  # False: another process of this sender holds it and sends
        self._store = store
        self._opened_store: OpenedStore | None = None
        self._overflow: Overflow | None = (
            None  # backlog of documents beyond a destination's window, if configured
        )
        shares = divide_descriptors(config.sockets, config.settings.slots)
        self._memory = divide_memory(config.memory_bytes, self._machine.memory_bytes(), shares.clients)
        self._ledger = self._open_ledger("" if self._holds_lock else self._machine.unique_name())
        self._handover = Handover(
            folder,
            loop,
            self._lasting.ms,
            self._ledger,
            self._holds_lock,
            self._schedule_turn,
            lambda doc_id: self._enqueue(self._core.withdrawn, doc_id),
            self._end_with_notice,
        )
        self._calls = Calls(
            loop,
            self.clock,
            config.idle_ms,
            config.dial_ms,
            shares.idle,
            self._on_connected,
            self._on_delivered,
            self._on_call_end,
        )
        types = {kind.name: kind.expiry_ms for kind in config.settings.types}
        self._list = EndpointList(self._calls)
        self._address_claims = AddressClaims(self._list)
        self._client_server = ClientServer(
            loop, types, shares.clients, self._list.is_known, self._on_document, self._memory.requests
        )
        self._watch = Watch(
            loop,
            config.discovery,
            config.kinds,
            self._on_list,
            self._may_apply_list,
            may_go_back=audit is not None,
        )
        self._notices = Notices(loop, config.discovery, self._on_acknowledged)
        self._events: list[tuple] = []  # events of this pass, for the next turn
        self._pending: dict[str, ClientRequest] = {}  # documents submitted during this turn, not answered yet
        self._starting: dict[str, Call] = {}  # calls to start at the end of this turn
        self._connected: list[Call] = []  # calls whose connection is established, to write at the turn's end
        self._refusals: dict[str, Refusal] = {}  # by document id, for ids that are submitted again
        self._by_hand = AdministrativeStates(folder, self._lasting.ms)
        self._recollection = self._load_recollection() if self._holds_lock else None
        self._tally = Tally()
        self._vitals = Vitals(loop, self._machine, OVERDUE_CHECK_S)
        self._reloads = [0, 0]  # configurations applied and rejected
        self._turn_due = False
        self._last_turn_at = 0.0
        self._wake_timer: asyncio.TimerHandle | None = None
        self._closing_at: float | None = None
        self._ready = False
        self._handing_over = False  # another process waits to send what this one holds
        self._deferred_lists: list[tuple[str, list]] = []  # received while another process holds the folder
        self._signals_live = False  # what the decision logic was last told: signals of other senders arrive
        self._audit = audit(config, self._machine, folder, self._status, self._on_signals) if audit else None
        operator_handlers = OperatorHandlers(
            self._readiness,
            self._figures,
            lambda endpoint: self._set_by_hand(endpoint, True),
            lambda endpoint: self._set_by_hand(endpoint, False),
            lambda: self._drain(True),
            lambda: self._drain(False),
            self._audit.answer_keeper if self._audit else None,
        )
        self._door = OperatorServer(loop, operator_handlers, shares.operators) if config.ops else None
        self.ended = loop.create_future()

    def clock(self) -> float:
        """Milliseconds since the start."""
        return (self._loop.time() - self._started_at) * 1000.0

    async def start(self) -> None:
        """Recovers the documents of the ledger, then listens for clients."""
        self._machine.on_signals(self._loop, self.close, self.reload)
        if self._door:
            await self._door.open(self._machine, self._config.ops)
        if self._audit:
            self._audit.start(self._holds_lock)
            self._audit.record_settings(self._config, "start")
        self._watch.start(self._config.known)
        await self._watch.wait_for_first()
        if not self._holds_lock:
            self._handover.wait()
        self._recover(self._ledger.entries)
        self._turn()
        await self._client_server.open(self._machine, self._config.listen)
        PeriodicTask(self._loop, OVERDUE_CHECK_S, self._end_overdue)
        PeriodicTask(self._loop, STATE_LOG_INTERVAL_S, self._log_state)
        if self._audit and self._audit.signals_live() is not None:
            self._update_signals()
            PeriodicTask(self._loop, SIGNAL_CHECK_S, self._update_signals)
        self._ready = True
        self._loop.call_later(LOCK_CHECK_S, self._check_lock)
        log_event(
            log,
            "ready",
            name=self._config.name,
            owed=len(self._ledger.entries) + len(self._overflow or ()),
            endpoints=len(self._list.entries),
            holds=self._holds_lock,
        )

    def _recover(self, found: dict[str, LedgerEntry]) -> None:
        """Submits documents found in the folder, by id, to the decision logic; notices are sent again."""
        now = self.clock()
        wall = self._lasting.ms()
        for owed in [*found.values()]:
            owed.deadline = now + owed.expiry - wall
            if owed.notice:
                self._notices.queue(owed.id, *owed.notice)
                continue
            claimed = owed.id in self._ledger.claimed_at_start
            self._events.append((self._submit_claimed if claimed else self._resubmit, owed))
        if self._store and self._holds_lock and found is self._ledger.entries:
            self._overflow = Overflow(
                self._open_store(),
                self._ledger,
                self._core,
                wall,
                self._loop,
                functools.partial(self._guarded, self._resubmit),
                self._schedule_turn,
            )

    def _open_ledger(self, standby_name: str = "") -> Ledger:
        return Ledger(
            self._folder,
            self._config.disk_bytes,
            standby_name,
            self._divert_to_store,
            self._memory.documents,
        )

    def _open_store(self) -> OpenedStore:
        """Returns the backlog on disk, opened if it is not yet."""
        if self._opened_store is None:
            self._opened_store = self._store(self._folder, self._lasting.ms())
        return self._opened_store

    def _divert_to_store(self, entry: LedgerEntry) -> bool:
        """Keeps a document that a waiting process accepted in the backlog, if others are there before it.

        Returns whether it is there. Prevents it from passing others of its key, and from replacing one there
        that has the same id."""
        if not self._store:
            return False
        if self._overflow:
            return self._overflow.keep(entry, self._lasting.ms())
        return keep_behind_others(self._open_store(), entry, self._lasting.ms())

    def _load_recollection(self) -> StoredEndpointStates:
        """Reads what the folder, now held by this process, says about endpoints."""
        if not self._lasting.continued:
            self._ledger.restart_recoveries(self._lasting.ms())
        return StoredEndpointStates(self._ledger, self._by_hand)

    def _recall(self, listed: Iterable[interface.Endpoint]) -> None:
        """Reports known recoveries and waits of endpoints, after the list with them and before documents."""
        for recalled in self._recollection.pop_listed(self._lasting.ms(), listed):
            if recalled.recovery:
                self._events.append((self._core.restore_recovery, recalled.recovery))
            if recalled.wait_ms > 0.0:
                self._events.append((self._core.restore_wait, recalled.endpoint, recalled.wait_ms))

    def _resubmit(self, now: float, owed: LedgerEntry, tenant: str | None = None) -> None:
        """Submits a document accepted earlier to the decision logic, with its past transmissions."""
        wall = self._lasting.ms()
        owed.deadline = now + owed.expiry - wall
        if owed.type not in self._client_server.types:
            self._end_with_notice(owed.id, "dead", 0.0, "its type is in the settings no more")
            return
        doubt = tuple((now + when - wall, zone) for zone, when in owed.in_doubt)
        history = interface.History(owed.sent, owed.failed, doubt) if owed.recovered else interface.NO_HISTORY
        remaining_ms = owed.deadline - now
        submission = interface.Submission(
            owed.id, owed.destination, owed.type, remaining_ms, owed.key, history, tenant
        )
        self._core.document(now, submission)

    def _check_lock(self) -> None:
        """Takes the folder over once the process that holds it has ended; the holder adopts left files.

        While another process of this sender holds the folder, this one accepts documents and sends nothing:
        the holder takes over what it accepts, and sends it. Guards against two processes that send the same
        document, or track one endpoint's limits separately, while one replaces the other (an upgrade), and
        covers a start beside a process that hangs. Once the holder has ended, in whatever way, the lock is
        free: its file and this process's file are recovered as after a restart, by new decision logic that
        first gets the lists received meanwhile. If the waiting process ends first, the holder adopts its
        file. Cost: documents that a hanging holder does not take over wait until it has ended.
        """
        if self._closing_at is not None and self._holds_lock:
            return
        self._loop.call_later(
            LOCK_CHECK_S * (HOLDER_CHECK_FACTOR if self._holds_lock else 1), self._check_lock
        )
        self._ledger.save_lost_records()
        self._ledger.forget_ended(self._lasting.ms())
        if self._holds_lock:
            self._adopt_standby()
        elif self._closing_at is None and self._folder.lock(LOCK_NAME):
            self._take_folder_over()
        else:
            self._handover.wait()

    def _take_folder_over(self) -> None:
        self._turn()  # events so far belong in the ledger of the wait
        self._ledger.close()
        self._ledger = self._open_ledger()
        self._core = Sender(self._config.settings, self._config.seed, self)
        self._holds_lock = True
        self._handover.hold_folder(self._ledger)
        self._signals_live = False  # the new decision logic has not been told yet
        self._by_hand.load()  # operators may have called the other process meanwhile
        if self._audit:
            self._audit.start(True)
        for mode, listed in self._deferred_lists:
            entries = [self._by_hand.effective(entry) for entry in listed]
            self._events.append((self._core.endpoints, mode, entries))
        self._deferred_lists.clear()
        self._recollection = self._load_recollection()
        self._recall(self._list.entries.values())
        self._recover(self._ledger.entries)
        log_event(log, "holds the folder", owed=len(self._ledger.entries))
        self._schedule_turn()

    def _adopt_standby(self) -> None:
        """The holder looks for waiting processes, and adopts what those that have ended left."""
        if found := self._ledger.adopt_standby():
            later, self._events = self._events, []  # submissions that came after these documents
            self._recover({owed.id: owed for owed in found})
            self._events += later
            self._schedule_turn()
        self._handover.claim()

    def _submit_claimed(self, now: float, owed: LedgerEntry) -> None:
        """Submits a document that a waiting process accepted and this one has taken over."""
        owed.deadline = now + owed.expiry - self._lasting.ms()
        if owed.notice:  # its body is lost
            self._notices.queue(owed.id, *owed.notice)
        elif owed.deadline - now < CLAIM_MARGIN_MS:
            self._end_with_notice(owed.id, "bounced", 0.0)
        else:
            self._resubmit(now, owed)

    def _must_refuse(self, request: ClientRequest) -> bool:
        """Whether this process can accept nothing, or not this document: the other process of an upgrade may
        have its id, or an earlier document of its key, without this one knowing."""
        if self._closing_at is not None and not self._handing_over:
            return True
        if not self._holds_lock and not self._handover.knows_others:
            return True
        return request.key is not None and not self._handover.keeps_order and self._is_ordered(request.type)

    def _is_ordered(self, type_name: str) -> bool:
        return any(kind.in_order for kind in self._config.settings.types if kind.name == type_name)

    # Events: queued, and reported to the decision logic in one turn

    def _enqueue(self, *event: object) -> None:
        self._events.append(event)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if not self._turn_due:
            self._turn_due = True
            self._loop.call_soon(self._turn)

    def _on_document(self, request: ClientRequest) -> None:
        self._enqueue(self._accept, request)

    def _may_apply_list(self, listing: dict, source: str) -> bool:
        """Shows a list from discovery to the audit log; False if it must not be applied."""
        return self._audit is None or self._audit.record_list(listing, source)

    def _on_list(self, mode: str, listed: list) -> None:
        listed = self._address_claims.resolve(mode, listed)
        self._list.apply(mode, listed)
        if self._holds_lock:
            self._enqueue(self._core.endpoints, mode, [self._by_hand.effective(entry) for entry, _ in listed])
            self._recall(entry for entry, _ in listed)
            return
        if mode != interface.CHANGES:  # a whole list replaces what was deferred until this process sends
            self._deferred_lists.clear()
        self._deferred_lists.append((mode, [entry for entry, _ in listed]))

    def _on_connected(self, call: Call) -> None:
        self._connected.append(call)
        self._schedule_turn()

    def _on_delivered(self, call: Call) -> None:
        """Ends the document at the status line of a 200: the rest of the answer cannot change that."""
        owed = self._ledger.entries.get(call.doc_id)
        if owed and check_invariant(owed.notice is None, "a document ends exactly once"):
            self._tally.count_delivered(owed.type)
            log_debug(log, "delivered", doc=owed.id, endpoint=call.endpoint, attempt=call.attempt)
            if self.clock() < owed.deadline - EXPIRY_MARGIN_MS:
                self._ledger.finish(owed)
            else:  # the platform may count it as expired: it also gets a notice, harmless if it does not
                self._ledger.record_notice(owed, "dead", 0.0)
                self._notices.queue(owed.id, "dead", 0.0)

    def _on_call_end(self, call: Call, outcome: interface.Outcome) -> None:
        if outcome.wait_ms > 0.0:
            self._ledger.record_wait(call.endpoint, self._lasting.ms() + outcome.wait_ms)
        owed = self._ledger.entries.get(call.doc_id)
        if owed and owed.notice is None:  # with a notice it stays until the platform has acknowledged that
            if outcome.final:
                self._ledger.finish(owed)
            else:
                failed = outcome.kind not in (interface.FULL, interface.UNSENT)
                self._ledger.record_outcome(owed, outcome.kind not in NEVER_RAN, failed)
        self._ledger.on_freed(call.destination)
        self._enqueue(self._core.outcome, call.doc_id, call.endpoint, outcome)

    def _on_acknowledged(self, ids: list[str]) -> None:
        for doc_id in ids:
            log_debug(log, "notice acknowledged", doc=doc_id)
            owed = self._ledger.entries.get(doc_id)
            if owed:
                self._ledger.finish(owed)

    # The turn

    def _turn(self) -> None:
        self._turn_due = False
        if any(handler == self._accept for handler, *_ in self._events):
            self._handover.exchange()
        events, self._events = self._events, []
        now = self.clock()
        for owed in (
            self._handover.pop_claimed()
        ):  # before what this turn accepts, which may be later documents of their keys
            self._guarded(self._submit_claimed, now, owed)
        for handler, *arguments in events:
            if handler == self._accept:
                run_isolated(self._accept, now, *arguments)
            else:
                self._guarded(handler, now, *arguments)
        if self._overflow:
            self._overflow.turn(now, self._lasting.ms(), ending=self._closing_at is not None)
        self._guarded(self._core.turn if self._may_call() else self._core.turn_without_calls, now)
        self._last_turn_at = now
        self._commit(now)

    def _may_call(self) -> bool:
        """False once this process makes no more calls: late in its shutdown, or when it hands over."""
        return (
            self._closing_at is None
            or not self._handing_over
            and self._loop.time() < self._closing_at + START_CALLS_S
        )

    def _guarded(self, handler, *arguments: object) -> bool:
        """Calls the decision logic; an exception there must not stop other documents. False if it raised."""
        try:
            handler(*arguments)
        except Exception:
            log.exception("a fault of the decisions")
            return check_invariant(False, "the decision logic raises no exception")
        return True

    def _end_overdue(self) -> None:
        """Safety net: ends documents that the decision logic left unended past their expiry."""
        self._vitals.tick()
        late = self.clock() - OVERDUE_MS
        overdue = [each for each in self._ledger.entries.values() if each.deadline < late and not each.notice]
        if overdue:
            self._schedule_turn()  # after a stall of the process the decision logic gets its turn first
        for owed in [each for each in overdue if each.deadline < self._last_turn_at - OVERDUE_MS]:
            check_invariant(owed.in_flight is None, "no transmission lasts beyond the expiry")
            self._end_with_notice(owed.id, "dead", 0.0)
            self._enqueue(self._core.withdrawn, owed.id)
            check_invariant(False, "a document ends before its expiry")

    def _accept(self, now: float, request: ClientRequest) -> None:
        """Answers a submission that needs no decision, or submits the document to the decision logic."""
        age, gone = request.age_and_gone()
        advice_ms = self._config.settings.retry_after_ms
        if gone:
            log_debug(log, "client gone", doc=request.id, age_ms=age)
            request.reply(UNAVAILABLE)  # the client does not read it, and the document was not accepted
        elif (known := self._known_content(request.id)) is not None:
            self._answer_repeat(request, known)
        elif (refusal := self._refusals.get(request.id)) and refusal.content == _content_of(request):
            log_debug(log, "submitted again", doc=request.id, refused=True)
            request.reply(refusal.verdict, refusal.wait_ms)
        elif self._must_refuse(request):
            self._answer(request, UNAVAILABLE, advice_ms)
        elif self._overflow and (verdict := self._overflow.admit(now, request, age, advice_ms)):
            if verdict[0] != ACCEPTED:
                self._answer(request, *verdict)
            else:
                self._pending[request.id] = request
        elif not self._ledger.has_space(
            [len(request.body), *(len(each.body) for each in self._pending.values())]
        ):
            self._answer(request, UNAVAILABLE, advice_ms)
        else:
            request.remaining_ms -= age
            self._pending[request.id] = request
            submission = interface.Submission(
                request.id,
                request.destination,
                request.type,
                request.remaining_ms,
                request.key,
                tenant=request.tenant,
            )
            if not self._guarded(self._core.document, now, submission) and self._pending.pop(
                request.id, None
            ):
                self._guarded(self._core.withdrawn, now, request.id)
                self._answer(request, UNAVAILABLE, advice_ms)

    def _known_content(self, doc_id: str) -> str | None:
        """Returns the digest of the content of a document that was accepted, or is about to be."""
        if doc_id in self._pending:
            return _content_of(self._pending[doc_id])
        known = self._ledger.content_of(doc_id)
        return self._overflow.content_of(doc_id) if known is None and self._overflow else known

    def _answer_repeat(self, request: ClientRequest, known: str) -> None:
        """Answers a submission whose id was accepted before: a repeat as accepted, another document not.

        Guards against a client that uses the id of another client's request: whichever comes second would be
        answered as accepted, and never be sent."""
        if not content.may_be_same(known, _content_of(request)):
            self._client_server.count("id of another document")
            request.reply(UNAVAILABLE, self._config.settings.retry_after_ms, self._client_server.ending)
        elif request.id in self._pending:
            self._pending[request.id].duplicates.append(request)
        else:
            log_debug(log, "submitted again", doc=request.id)
            request.reply(ACCEPTED)

    def _answer(self, request: ClientRequest, verdict: str, wait_ms: float = 0.0) -> None:
        if verdict != ACCEPTED:
            self._tally.count_undelivered(request.id, request.type, verdict == ABANDONED)
            self._remember_refusal(request, verdict, wait_ms)
        log_debug(log, "answered", doc=request.id, verdict=verdict, wait_ms=wait_ms)
        request.reply(verdict, wait_ms, close=self._client_server.ending)

    def _remember_refusal(self, request: ClientRequest, verdict: str, wait_ms: float) -> None:
        self._refusals[request.id] = Refusal(_content_of(request), verdict, wait_ms)
        if len(self._refusals) > MAX_REMEMBERED_REFUSALS:
            del self._refusals[next(iter(self._refusals))]

    def _commit(self, now: float) -> None:
        """Carries out a turn's decisions: writes the ledger, then answers clients, then makes the calls."""
        pending, self._pending = self._pending, {}
        wall = self._lasting.ms() + now - self.clock()  # at the start of the turn, which may have been long
        for request in pending.values():
            try:
                if self._overflow and self._overflow.record(request, wall):
                    self._answer(request, ACCEPTED)
                    continue
                owed = self._ledger.add(
                    request.id,
                    request.type,
                    request.destination,
                    request.key,
                    wall + request.remaining_ms,
                    request.body,
                    request.repeat_key,
                    0.0 if self._holds_lock else wall,
                )
            except OSError as problem:
                log_event(log, "not taken on", logging.ERROR, problem=problem)
                self._enqueue(self._core.withdrawn, request.id)
                self._cancel_call(self._starting.pop(request.id, None))
                self._answer(request, UNAVAILABLE, self._config.settings.retry_after_ms)
            else:
                owed.deadline = now + request.remaining_ms
                self._answer(request, ACCEPTED)
        starting, self._starting = self._starting, {}
        approved = []
        for call in starting.values():
            owed = self._ledger.entries.get(call.doc_id)
            if not check_invariant(
                owed and owed.notice is None and call.endpoint in self._calls.addresses,
                "only documents that are held are sent, and only to listed endpoints",
            ):
                self._cancel_call(call)
                continue
            call.body = owed.body
            call.repeat_key = owed.repeat_key
            approved.append(call)
        refused, failed = self._tally.take_ended()
        if self._audit and (approved or refused or failed):
            self._audit.record_turn([(call.doc_id, call.endpoint) for call in approved], refused, failed)
        connected, self._connected = self._connected, []
        for call in [*connected, *(each for each in approved if self._calls.begin(each))]:
            self._calls.write_or_cancel(call, self._may_write(self.clock(), call))

    def _may_write(self, now: float, call: Call) -> bool:
        """Checks a call again just before it is written, and records it in the ledger first.

        A call takes effect when it is written, so the state at that moment counts. Guards against a
        connection that is established late: meanwhile the endpoint may have asked for a wait, been drained,
        removed or moved, the document may have ended, or this process may have been told to stop. Cost: the
        connection is closed, and the next call to the endpoint dials again.
        """
        owed = self._ledger.entries.get(call.doc_id)
        if not (
            owed
            and owed.notice is None
            and self._may_call()
            and self._calls.can_write(call)
            and self._core.confirm_transmission(now, call.doc_id)
        ):
            return False
        try:
            self._ledger.record_transmission(owed, self._list.entries[call.endpoint].zone, self._lasting.ms())
        except OSError as problem:
            log_event(log, "not sent", logging.ERROR, problem=problem)
            return False
        call.timeout_ms = min(call.timeout_ms, owed.deadline - now)
        return True

    def _cancel_call(self, call: Call | None) -> None:
        if call:
            self._on_call_end(call, interface.Outcome(interface.UNSENT, call.attempt, 0.0, False))

    def _log_state(self) -> None:
        """Logs the sender's state at regular intervals, for operators."""
        log_event(
            log,
            "state",
            owed=len(self._ledger.entries),
            out=len(self._calls),
            notices=len(self._notices),
            clients=len(self._client_server),
            memory=self._machine.memory_bytes(),
            delay_ms=self._vitals.max_delay_ms,
            broken=dict(violations),
            untried=dict(self._tally.untried),
        )

    # Requests of the decision logic (interface.Host)

    def transmit(self, doc_id: str, endpoint: str, timeout_ms: float) -> None:
        """Starts a call at the end of this turn."""
        owed = self._ledger.entries.get(doc_id)
        attempt, destination = (owed.sent, owed.destination) if owed else (0, -1)
        self._starting[doc_id] = Call(doc_id, attempt, endpoint, b"", timeout_ms, destination=destination)

    def reject(self, doc_id: str, retry_after_ms: float) -> None:
        """Rejects a document: in the answer to its client, or by a notice once that was accepted."""
        if doc_id in self._pending:
            self._answer(self._pending.pop(doc_id), REJECTED, retry_after_ms)
        else:
            self._end_accepted(doc_id, "bounced", retry_after_ms)

    def abandon(self, doc_id: str) -> None:
        """Abandons a document: in the answer to its client, or by a notice once that was accepted."""
        if doc_id in self._pending:
            self._answer(self._pending.pop(doc_id), ABANDONED)
        else:
            self._end_accepted(doc_id, "dead", 0.0)

    def _end_accepted(self, doc_id: str, result: str, wait_ms: float) -> None:
        """Ends an accepted document undelivered; a waiting process leaves that to the holder until late."""
        if self._holds_lock:
            self._end_with_notice(doc_id, result, wait_ms)
        else:
            self._handover.decide_end(doc_id, result, wait_ms)

    def _end_with_notice(self, doc_id: str, result: str, wait_ms: float, why: str = "") -> None:
        """Ends an accepted document undelivered; why: the reason to log if it was never transmitted."""
        owed = self._ledger.entries.get(doc_id)
        if check_invariant(owed and owed.notice is None, "a document ends exactly once"):
            if owed.recovered and not owed.sent:  # found at a restart and never transmitted
                why = why or (
                    "it expired, or its endpoints asked to wait"
                    if self._list.has_ready(owed.destination)
                    else "no endpoint is ready"
                )
                self._tally.untried[why] += 1
                log_event(log, "given up with no call", logging.WARNING, doc=doc_id, reason=why)
            self._tally.count_undelivered(owed.id, owed.type, result == "dead")
            log_debug(log, "notice", doc=doc_id, result=result, wait_ms=wait_ms, attempts=owed.sent)
            self._ledger.record_notice(owed, result, wait_ms)
            self._notices.queue(doc_id, result, wait_ms)

    def close_idle(self, endpoint: str) -> None:
        """Closes the idle connections to an endpoint."""
        self._calls.close_idle(endpoint)

    def wake(self, after_ms: float) -> None:
        """Schedules a turn; a turn scheduled for later is cancelled, as only the next one is asked for."""
        now = self._loop.time()
        when = now + after_ms / 1000.0
        if self._wake_timer and now < self._wake_timer.when() <= when:
            return
        if self._wake_timer:
            self._wake_timer.cancel()
        self._wake_timer = self._loop.call_at(when, self._schedule_turn)

    def subscribe(self) -> None:
        """Does nothing: the watch is always open, and reopens by itself."""

    def broadcast(self, note: str) -> None:
        """Does nothing: the configuration refuses notes, which this sender cannot pass to others."""

    def observed(self, endpoint: str, kind: interface.SignalKind, wait_ms: float) -> None:
        """Passes an observation of an endpoint on to the other senders."""
        self._audit.observed(endpoint, kind, wait_ms)

    def save_recovery(self, recovery: interface.Recovery) -> None:
        """Records an endpoint's recovery for the process after this one."""
        self._ledger.record_recovery(self._lasting.ms(), recovery)

    def log(self, text: str) -> None:
        """Logs a line of the decision logic."""
        log_event(log, text)

    # Signals of other senders

    def _on_signals(self, reports: list[interface.Report]) -> None:
        if not self._holds_lock:  # another process decides
            return
        self._update_signals()
        for report in reports:
            if report.wait_ms > 0.0:  # kept over a restart, like a wait asked of this sender
                self._ledger.record_wait(report.endpoint, self._lasting.ms() + report.wait_ms)
            self._enqueue(self._core.report_received, report)

    def _update_signals(self) -> None:
        """Tells the decision logic when signals of other senders begin or cease to arrive."""
        live = bool(self._audit.signals_live())
        if live != self._signals_live and self._holds_lock:
            self._signals_live = live
            log_event(log, "signals of other senders come" if live else "no signals of other senders come")
            self._enqueue(self._core.signals_available, live)

    # Calls of operators

    def _readiness(self) -> Answer:
        if self._closing_at is not None:
            return Answer(False, "closing", 503)
        return Answer(True, "ready") if self._ready else Answer(False, "starting", 503)

    def _status(self) -> SenderStatus:
        return SenderStatus(self._readiness().ok, len(self._ledger.entries), self._watch.silent_ms())

    def _figures(self) -> Metrics:
        out = self._by_hand.disabled
        avoided = sum(name in self._list.entries for name in out) + sum(
            name not in out for name in self._core.ejected_endpoints()
        )
        held = len(self._overflow or ()) + sum(owed.notice is None for owed in self._ledger.entries.values())
        return Metrics(
            self._tally.by_type(kind.name for kind in self._config.settings.types),
            self._calls.transmitted,
            held,
            len(self._list.entries),
            avoided,
            tuple(self._reloads),
            [
                *self._calls.log.figures(),
                *self._client_server.figures(),
                *self._vitals.figures(),
                *(self._audit.figures() if self._audit else ()),
            ],
        )

    def _set_by_hand(self, endpoint: str, out: bool) -> Answer:
        """Disables or enables an endpoint by hand."""
        entry = self._list.entries.get(endpoint)
        answer = self._by_hand.set_disabled(endpoint, out, entry is not None)
        if answer.ok and entry and self._holds_lock:
            self._enqueue(self._core.endpoints, interface.CHANGES, [self._by_hand.effective(entry)])
        return answer

    def _drain(self, drained: bool) -> Answer:
        """Sends clients away, or serves them again; held documents are still sent, and the process stays."""
        self._client_server.drain(drained)
        return Answer(True, "drained" if drained else "serving")

    # Reload and shutdown

    def reload(self) -> None:
        """Handles SIGHUP: applies the settings and discovery's address of the file, or nothing at all.

        Held documents, calls in flight, document ids, connections and what was learnt of endpoints stay;
        lower limits apply to what comes next.
        """
        try:
            reloaded = limit_to_descriptors(load(reloading=True), self._machine.max_descriptors())
            self._turn()  # submissions so far are accepted under the old settings
            held = {owed.type for owed in self._ledger.entries.values() if owed.notice is None}
            check_applicable(reloaded, self._config, held, self._list.highest_kind())
        except ConfigError as problem:
            log_event(log, "configuration not taken over", logging.ERROR, problem=problem)
            self._reloads[1] += 1
            return
        self._reloads[0] += 1
        self._config, changed, needs_restart = apply_reload(reloaded, self._config)
        self._client_server.types = {kind.name: kind.expiry_ms for kind in reloaded.settings.types}
        self._calls.idle_ms = reloaded.idle_ms
        self._calls.dial_ms = reloaded.dial_ms
        if self._audit:
            self._audit.record_settings(self._config, "reload")
        if changed:
            self._enqueue(self._core.reconfigure, reloaded.settings)
        self._watch.reconfigure(reloaded.discovery, reloaded.kinds)
        self._notices.set_address(reloaded.discovery)
        log_event(
            log,
            "configuration taken over",
            discovery="{}:{}".format(*reloaded.discovery),
            settings=",".join(changed) or "unchanged",
            needs_restart=",".join(needs_restart) or "nothing",
        )

    def close(self) -> None:
        """Handles SIGTERM: accepts no more, finishes what it can and leaves the rest in the ledger."""
        if self._closing_at is not None:
            return
        self._closing_at = self._loop.time()
        self._handover.closing = True
        self._handing_over = self._holds_lock and self._ledger.has_standby()
        accept_s = 0.0 if self._handing_over else ACCEPT_CLIENTS_S
        self._loop.call_later(accept_s, self._client_server.stop_listening)
        self._loop.call_later(accept_s, self._check_closed)
        log_event(
            log,
            "closing",
            owed=len(self._ledger.entries),
            out=len(self._calls),
            handing=self._handing_over,
        )
        self._client_server.close()

    def _check_closed(self) -> None:
        """Ends the process once nothing is in flight, or its time for shutdown is over.

        At a handover the other process gets the held documents at once: only calls in flight and clients are
        waited for.
        """
        elapsed_s = self._loop.time() - self._closing_at
        if self._handing_over or not self._holds_lock:
            busy = len(self._calls) or len(self._client_server)
        else:
            busy = self._client_server.busy() or (
                self._ledger.entries if elapsed_s < START_CALLS_S else len(self._calls) or len(self._notices)
            )
        if busy and elapsed_s < FINISH_CALLS_S:
            self._loop.call_later(0.05, self._check_closed)
            return
        run_isolated(self._ledger.save_lost_records)
        log_event(
            log,
            "closed",
            owed=len(self._ledger.entries),
            out=len(self._calls),
            broken=dict(violations),
            untried=dict(self._tally.untried),
        )
        run_isolated(self._watch.stop)
        run_isolated(self._calls.close)
        for each in filter(None, (self._overflow, self._door)):
            run_isolated(each.close)
        if self._audit:
            run_isolated(self._audit.stop)
        if not self.ended.done():
            self.ended.set_result(None)
