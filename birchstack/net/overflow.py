"""Documents beyond a destination's window: kept in a store on disk until the decision logic wants them.

Owns the order of writes to the store and the ledger, and when the store is read. Each document is in one of
the two, except for a moment: one that leaves the store is written to the ledger first, then removed from the
store, and only then submitted to the decision logic; at a start, the store drops what the ledger has. Never
decides which document waits on disk, is read back or is refused: the decision logic is asked
(Sender.documents_wanted, Sender.overflow_retry_after_ms), and a document that expires on disk is submitted to
it, and ends like any other. The one implementation of a store is birchstack.backlog, enabled by
BALANCER_BACKLOG.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from birchstack.decide import CALL_MS, Sender
from birchstack.net import content
from birchstack.net.ledger import Ledger, LedgerEntry
from birchstack.net.log import log_event
from birchstack.net.machine import Folder
from birchstack.net.submission import ACCEPTED, REJECTED, UNAVAILABLE, ClientRequest

MAX_DESTINATIONS = 16  # read in one turn
MAX_READ = 32  # documents read of each of them
MAX_OVERDUE = 64  # overdue documents read in one turn
NO_CALL_MS = CALL_MS - 1.0  # this long before the expiry, the decision logic surely starts no transmission
RETRY_S = 0.5  # after a disk error
MAX_TIMER_S = 86400.0  # asyncio's timers accept no more than days
log = logging.getLogger(__name__)


class StoredDocument(Protocol):
    """One document on disk, not transmitted yet; times are milliseconds of the lasting clock."""

    id: str
    type: str
    destination: int
    key: str | None
    expiry: float
    body: bytes
    repeat_key: str | None
    tenant: str | None
    taken: float


class Store(Protocol):
    """Documents on disk, in order by destination.

    Disk errors are raised as OSError; every change is on disk when its method returns.
    """

    def __len__(self) -> int: ...

    def waiting(self, destination: int) -> tuple[int, float]:
        """Number of documents of a destination, and since when the first one waits (or an earlier time)."""

    def fits(self, sizes: list[int]) -> bool:
        """True if bodies of these sizes can be added."""

    def append(self, document: StoredDocument) -> None:
        """Adds a document behind the others of its destination."""

    def holds(self, doc_id: str) -> bool:
        """True if the document is here."""

    def find(self, doc_id: str) -> StoredDocument | None:
        """The document, if it is here."""

    def read(self, destination: int, limit: int) -> list[StoredDocument]:
        """Reads the first documents of a destination; they stay until moved()."""

    def moved(self, destination: int, count: int) -> None:
        """Removes the first documents of a destination: the ledger has them."""

    def due(self, now: float, limit: int) -> list[StoredDocument]:
        """Reads documents that expire by the given time; they stay until ended()."""

    def ended(self, ids: list[str]) -> None:
        """Removes documents that due() returned."""

    def next_due(self) -> float:
        """The earliest expiry of all documents, or an earlier time."""

    def destinations(self) -> Iterable[int]:
        """The destinations that have documents here."""

    def drop(self, ids: Iterable[str]) -> None:
        """Removes those of the documents that are here."""

    def step(self) -> bool:
        """Does a piece of housekeeping; True while more is due."""

    def close(self) -> None:
        """Closes the files."""


class OpenedStore(NamedTuple):
    """An opened store.

    window: documents of a destination that the decision logic gets at once; make_document: makes a document
    from its fields, in their order.
    """

    store: Store
    window: int
    make_document: Callable[..., StoredDocument]


# Opens the store of a folder, at a time of the lasting clock
StoreFactory = Callable[[Folder, float], OpenedStore]


def keep_behind_others(opened: OpenedStore, entry: LedgerEntry, accepted_at: float) -> bool:
    """Writes a document to a store that has others of its destination; returns whether the store has it.

    Raises OSError if it could not be written.
    """
    if opened.store.holds(entry.id):
        return True
    if not opened.store.waiting(entry.destination)[0]:
        return False
    opened.store.append(
        opened.make_document(
            entry.id,
            entry.type,
            entry.destination,
            entry.key,
            entry.expiry,
            entry.body,
            entry.repeat_key,
            None,
            accepted_at,
        )
    )
    return True


class Overflow:
    """Moves documents between the store and the ledger.

    turn() is called in each turn of the sender. submit(now, owed, tenant) submits a document that was read
    back to the decision logic; schedule_turn() schedules another turn.
    """

    def __init__(
        self,
        opened: OpenedStore,
        ledger: Ledger,
        core: Sender,
        wall: float,
        loop: asyncio.AbstractEventLoop,
        submit: Callable[[float, LedgerEntry, str | None], object],
        schedule_turn: Callable[[], None],
    ) -> None:
        self._opened = opened
        self._store, self._window, self._make_document = opened
        self._ledger = ledger
        self._core = core
        self._submit = submit
        self._schedule_turn = schedule_turn
        self._loop = loop
        self._started_at = wall
        self._store.drop([*ledger.ended, *ledger.entries])
        ledger.on_freed = self.freed
        self._pending: dict[str, ClientRequest] = {}  # accepted in this turn, not recorded yet
        self._pending_counts: dict[int, int] = {}  # of those, by destination
        self._stored = dict.fromkeys(self._store.destinations())  # destinations with documents on disk
        self._to_read = dict.fromkeys(self._stored)  # of those, the ones that may have room
        self._housekeeping_due = True
        self._first_turn = True
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._store)

    def __bool__(self) -> bool:  # an overflow without documents is true as well
        return True

    def content_of(self, doc_id: str) -> str | None:
        """Returns the digest of the content of a document in the store; None if it is not there."""
        found = self._store.find(doc_id)
        return content.digest(found.type, found.destination, found.key, found.body) if found else None

    def admit(
        self, now: float, request: ClientRequest, age_ms: float, advice_ms: float
    ) -> tuple[str, float] | None:
        """Decides where a new document goes: None if it is submitted to the decision logic at once.

        Otherwise a verdict and a wait in ms: ACCEPTED if it waits on disk, to be answered once it is
        recorded, or a refusal, after whose wait the client may submit it again.
        """
        destination = request.destination
        size = len(request.body)
        ahead = self._store.waiting(destination)[0] + self._pending_counts.get(destination, 0)
        room = self._core.documents_wanted(destination, self._window, len(self._stored), ahead)
        if not ahead and room > 0 and self._ledger.has_space([size]):
            return None
        if back_ms := self._core.overflow_retry_after_ms(
            now, destination, request.remaining_ms - age_ms, ahead
        ):
            return REJECTED, back_ms
        if not self._store.fits([size, *(len(each.body) for each in self._pending.values())]):
            return UNAVAILABLE, advice_ms
        request.remaining_ms -= age_ms
        self._pending[request.id] = request
        self._pending_counts[destination] = self._pending_counts.get(destination, 0) + 1
        return ACCEPTED, 0.0

    def record(self, request: ClientRequest, wall: float) -> bool:
        """Writes a document that admit() accepted to the store; False if it is not one of those.

        Raises OSError if it could not be written.
        """
        if self._pending.pop(request.id, None) is None:
            return False
        self._pending_counts[request.destination] -= 1
        if not self._pending_counts[request.destination]:
            del self._pending_counts[request.destination]
        self._store.append(
            self._make_document(
                request.id,
                request.type,
                request.destination,
                request.key,
                wall + request.remaining_ms,
                request.body,
                request.repeat_key,
                request.tenant,
                wall,
            )
        )
        self._stored[request.destination] = self._to_read[request.destination] = self._housekeeping_due = True
        return True

    def keep(self, entry: LedgerEntry, wall: float) -> bool:
        """Writes a document of a waiting process to the store, if others of its destination are there.

        Returns whether the store has it. Raises OSError if it could not be written.
        """
        kept = keep_behind_others(self._opened, entry, wall)
        if kept:
            self._stored[entry.destination] = self._to_read[entry.destination] = self._housekeeping_due = True
        return kept

    def freed(self, destination: int) -> None:
        """A document of the destination, or a call to it, has ended: there may be room for the next."""
        if destination in self._stored:
            self._to_read[destination] = True
            self._schedule_turn()

    def turn(self, now: float, wall: float, ending: bool = False) -> None:
        """Submits documents that expire on disk, and those that there is room for, to the decision logic.

        ending: the process ends; the documents that do not expire before that stay on disk."""
        if self._timer:
            self._timer.cancel()
        for destination in self._stored if self._first_turn else ():
            self._room(destination)  # tells the decision logic before its first call how many wait on disk
        self._first_turn = False
        try:
            more = self._end_overdue(now, wall)
            for destination in [] if ending else [*self._to_read][:MAX_DESTINATIONS]:
                if self._read(now, destination) < MAX_READ:  # no more room, or none left: until one ends
                    self._to_read.pop(destination, None)
            self._housekeeping_due = not ending and self._housekeeping_due and self._store.step()
        except OSError as problem:
            log_event(log, "backlog not read", logging.ERROR, problem=problem)
            self._timer = self._loop.call_later(RETRY_S, self._schedule_turn)
            return
        if more or not ending and (self._to_read or self._housekeeping_due):
            self._loop.call_soon(self._schedule_turn)  # a pass later, so that other work is not held up
        due_s = (self._store.next_due() - NO_CALL_MS - wall) / 1000.0
        if due_s < MAX_TIMER_S:
            self._timer = self._loop.call_later(max(0.0, due_s), self._schedule_turn)

    def close(self) -> None:
        """Closes the store."""
        if self._timer:
            self._timer.cancel()
        self._store.close()

    def _end_overdue(self, now: float, wall: float) -> bool:
        """Submits documents too close to their expiry for a transmission: they are ended in this turn.

        Returns whether there may be more of them.
        """
        overdue = self._store.due(wall + NO_CALL_MS, MAX_OVERDUE)
        for document in overdue:
            self._move(document)
        if overdue:
            self._store.ended([document.id for document in overdue])
            self._housekeeping_due = True
        for document in overdue:
            self._submit_moved(now, document)
            self._forget_if_empty(document.destination)
        return len(overdue) == MAX_OVERDUE

    def _forget_if_empty(self, destination: int) -> None:
        if not self._store.waiting(destination)[0]:
            self._stored.pop(destination, None)
            self._to_read.pop(destination, None)

    def _room(self, destination: int) -> int:
        waiting = self._store.waiting(destination)[0]
        return self._core.documents_wanted(destination, self._window, len(self._stored), waiting)

    def _read(self, now: float, destination: int) -> int:
        """Moves and submits as many documents of a destination as there is room for; returns how many."""
        limit = min(MAX_READ, self._room(destination))
        moved: list[StoredDocument] = []
        for document in self._store.read(destination, limit) if limit > 0 else ():
            if not self._ledger.has_space([len(document.body)]):
                break
            self._move(document)
            moved.append(document)
        if moved:
            self._store.moved(destination, len(moved))
            self._housekeeping_due = True
        for document in moved:
            self._submit_moved(now, document)
        self._forget_if_empty(destination)
        return len(moved)

    def _move(self, document: StoredDocument) -> None:
        """Writes a document of the store to the ledger."""
        owed = self._ledger.add(
            document.id,
            document.type,
            document.destination,
            document.key,
            document.expiry,
            document.body,
            document.repeat_key,
        )
        owed.recovered = document.taken < self._started_at

    def _submit_moved(self, now: float, document: StoredDocument) -> None:
        self._submit(now, self._ledger.entries[document.id], document.tenant)
