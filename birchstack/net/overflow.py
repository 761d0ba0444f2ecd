"""Documents beyond a destination's window: on disk until the decisions want them.

Owns the order between the store and the ledger, and when the store is read. A document is in one of them, but
for a moment: what comes back is written to the ledger first, then the store is told, and only then the
decisions hear of it; a start tells the store what the ledger has. Must never decide which document waits on
disk, comes back or is refused: the decisions are asked (Sender.documents_wanted,
Sender.overflow_retry_after_ms), and a document whose
time runs out on disk is handed to them, to be ended as any other. The one store there is:
birchstack.backlog, switched on by BALANCER_BACKLOG.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from birchstack.decide import CALL_MS, Sender
from birchstack.net.front import CLOSED, REJECTED, TAKEN, Handed
from birchstack.net.ledger import Ledger, Owed
from birchstack.net.log import say
from birchstack.net.machine import Folder

LINES, RUN, DUE = 16, 32, 64  # in one turn: destinations read from, documents of each, and of those overdue
LAST_MS = CALL_MS - 1.0  # so long before their expiry the decisions surely send them no more
AGAIN_S, LONGEST_S = 0.5, 86400.0  # after an error of the disk; asyncio's timers hold no more than days
log = logging.getLogger(__name__)


class Kept(Protocol):
    """One document on disk, untried; times in milliseconds of the lasting clock."""

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
    """Errors of the disk are OSError; every change is recorded when its method returns."""

    def __len__(self) -> int: ...

    def waiting(self, destination: int) -> tuple[int, float]: ...

    def fits(self, sizes: list[int]) -> bool: ...

    def append(self, kept: Kept) -> None: ...

    def holds(self, doc_id: str) -> bool: ...

    def read(self, destination: int, most: int) -> list[Kept]: ...

    def moved(self, destination: int, count: int) -> None: ...

    def due(self, now: float, most: int) -> list[Kept]: ...

    def ended(self, ids: list[str]) -> None: ...

    def next_due(self) -> float: ...

    def destinations(self) -> Iterable[int]: ...

    def drop(self, ids: Iterable[str]) -> None: ...

    def step(self) -> bool: ...

    def close(self) -> None: ...


class Made(NamedTuple):
    """window: of documents before the decisions; kept: makes a Kept of its words, in their order."""

    store: Store
    window: int
    kept: Callable[..., Kept]


Make = Callable[[Folder, float], Made]  # of the folder, at a time of the lasting clock


class Overflow:
    """turn() has its part in each turn of the sender; adopt(now, owed, tenant) puts a document that came back
    to the decisions; soon() asks for another turn."""

    def __init__(
        self,
        made: Made,
        ledger: Ledger,
        core: Sender,
        wall: float,
        loop: asyncio.AbstractEventLoop,
        adopt: Callable[[float, Owed, str | None], object],
        soon: Callable[[], None],
    ) -> None:
        self._store, self._window, self._kept = made
        self._ledger, self._core, self._adopt, self._soon = ledger, core, adopt, soon
        self._loop, self._began = loop, wall
        self._store.drop([*ledger.ended, *ledger.owed])
        ledger.freed = self.freed
        self._fresh: dict[str, Handed] = {}  # of this turn, not recorded yet
        self._ahead: dict[int, int] = {}  # how many of those, by destination
        self._lines = dict.fromkeys(self._store.destinations())  # that have something on disk
        self._stirred = dict.fromkeys(self._lines)  # of those, where there may be room
        self._tidy = self._begins = True  # whether housekeeping is due; nothing was asked yet
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._store)

    def __bool__(self) -> bool:  # an empty one, too, is there
        return True

    def holds(self, doc_id: str) -> bool:
        return doc_id in self._ledger.owed or self._store.holds(doc_id)

    def takes(self, now: float, handed: Handed, age_ms: float, advice_ms: float) -> tuple[str, float] | None:
        """None: it goes before the decisions. Else it waits on disk (TAKEN, once recorded), or is refused, to
        come again after so many milliseconds."""
        where, size = handed.destination, len(handed.body)
        ahead = self._store.waiting(where)[0] + self._ahead.get(where, 0)
        room = self._core.documents_wanted(where, self._window, len(self._lines), ahead)
        if not ahead and room > 0 and self._ledger.fits([size]):
            return None
        if back_ms := self._core.overflow_retry_after_ms(now, where, handed.left_ms - age_ms, ahead):
            return REJECTED, back_ms
        if not self._store.fits([size, *(len(each.body) for each in self._fresh.values())]):
            return CLOSED, advice_ms
        handed.left_ms -= age_ms
        self._fresh[handed.id] = handed
        self._ahead[where] = self._ahead.get(where, 0) + 1
        return TAKEN, 0.0

    def record(self, handed: Handed, wall: float) -> bool:
        """False if it is not one for the disk; raises OSError where it could not be recorded."""
        if self._fresh.pop(handed.id, None) is None:
            return False
        self._ahead[handed.destination] -= 1
        if not self._ahead[handed.destination]:
            del self._ahead[handed.destination]
        self._store.append(
            self._kept(
                handed.id,
                handed.type,
                handed.destination,
                handed.key,
                wall + handed.left_ms,
                handed.body,
                handed.repeat_key,
                handed.tenant,
                wall,
            )
        )
        self._lines[handed.destination] = self._stirred[handed.destination] = self._tidy = True
        return True

    def freed(self, destination: int) -> None:
        """One of its documents ended, or a call there."""
        if destination in self._lines:
            self._stirred[destination] = True
            self._soon()

    def turn(self, now: float, wall: float) -> None:
        """What runs out of time on disk, and what there is room for, come before the decisions."""
        if self._timer:
            self._timer.cancel()
        for destination in self._lines if self._begins else ():
            self._room(destination)  # the decisions know, before the first call, what waits where
        self._begins = False
        try:
            more = self._end_overdue(now, wall)
            for destination in [*self._stirred][:LINES]:
                if self._read(now, destination) < RUN:  # no more room, or nothing left: until one ends
                    self._stirred.pop(destination, None)
            self._tidy = self._tidy and self._store.step()
        except OSError as problem:
            say(log, "backlog not read", logging.ERROR, problem=problem)
            self._timer = self._loop.call_later(AGAIN_S, self._soon)
            return
        if more or self._stirred or self._tidy:
            self._loop.call_soon(self._soon)  # others have their pass first
        due_s = (self._store.next_due() - LAST_MS - wall) / 1000.0
        if due_s < LONGEST_S:
            self._timer = self._loop.call_later(max(0.0, due_s), self._soon)

    def close(self) -> None:
        if self._timer:
            self._timer.cancel()
        self._store.close()

    def _end_overdue(self, now: float, wall: float) -> bool:
        """No transmission would help these any more: the decisions end each in this turn."""
        overdue = self._store.due(wall + LAST_MS, DUE)
        for kept in overdue:
            self._move(kept)
        if overdue:
            self._store.ended([kept.id for kept in overdue])
            self._tidy = True
        for kept in overdue:
            self._hand_over(now, kept)
            self._gone_by(kept.destination)
        return len(overdue) == DUE

    def _gone_by(self, destination: int) -> None:
        if not self._store.waiting(destination)[0]:
            self._lines.pop(destination, None)
            self._stirred.pop(destination, None)

    def _room(self, destination: int) -> int:
        kept = self._store.waiting(destination)[0]
        return self._core.documents_wanted(destination, self._window, len(self._lines), kept)

    def _read(self, now: float, destination: int) -> int:
        most = min(RUN, self._room(destination))
        run: list[Kept] = []
        for kept in self._store.read(destination, most) if most > 0 else ():
            if not self._ledger.fits([len(kept.body)]):
                break
            self._move(kept)
            run.append(kept)
        if run:
            self._store.moved(destination, len(run))
            self._tidy = True
        for kept in run:
            self._hand_over(now, kept)
        self._gone_by(destination)
        return len(run)

    def _move(self, kept: Kept) -> None:
        owed = self._ledger.take(
            kept.id, kept.type, kept.destination, kept.key, kept.expiry, kept.body, kept.repeat_key
        )
        owed.found = kept.taken < self._began

    def _hand_over(self, now: float, kept: Kept) -> None:
        self._adopt(now, self._ledger.owed[kept.id], kept.tenant)
