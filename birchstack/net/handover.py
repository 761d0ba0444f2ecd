"""What the two processes of an upgrade tell each other, by the files in their common folder.

One process holds the folder and sends; the other one accepts documents and waits. Owns when each reads the
other's ledger file, and which of them ends a document. Must never submit, send or answer a document.

A document that the waiting process has accepted belongs to the holder once that has recorded it. Close to its
expiry both may end it: the waiting process cannot see whether the holder will still be in time.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

from birchstack.net.ledger import Ledger
from birchstack.net.ledger_records import LedgerEntry
from birchstack.net.log import log_event
from birchstack.net.machine import Folder

LOCK_NAME = "lock"  # held by the process that sends from the folder; a byte in it for each that waited
EXCHANGE_S = 0.05  # interval between looks at the other process's file
END_UNCLAIMED_MS = 150.0  # this long before the expiry, the waiting process ends what is not claimed
CLAIM_MARGIN_MS = 300.0  # the holder ends what it claims later than this before the expiry
log = logging.getLogger(__name__)


class Handover:
    """The exchange with the other process of an upgrade, if there is one.

    on_claimed() is called when there are documents for pop_claimed(). In a waiting process on_dropped(doc_id)
    is called when the holder has taken a document over, and end(doc_id, result, wait_ms) to end one itself.
    """

    def __init__(
        self,
        folder: Folder,
        loop: asyncio.AbstractEventLoop,
        wall_ms: Callable[[], float],
        ledger: Ledger,
        holds_lock: bool,
        on_claimed: Callable[[], None],
        on_dropped: Callable[[str], None],
        end: Callable[[str, str, float], None],
    ) -> None:
        self._folder = folder
        self._loop = loop
        self._wall_ms = wall_ms
        self._ledger = ledger
        self._holds_lock = holds_lock
        self._on_claimed = on_claimed
        self._on_dropped = on_dropped
        self._end = end
        self._announced = holds_lock  # whether the holder has been told that this process waits
        self._waited_count = -1  # processes that had waited for the folder when the holder last looked
        self._claimed: list[LedgerEntry] = []
        self._timer: asyncio.TimerHandle | None = None
        self._unclaimed_ends: dict[str, tuple[str, float]] = {}  # ends that a waiting process decided on
        self.complete = True  # whether the last exchange succeeded
        self.closing = False

    @property
    def keeps_order(self) -> bool:
        """Whether this process surely knows of each earlier document of a key that it is given."""
        return self.knows_others and not (self.closing and self._holds_lock)

    @property
    def knows_others(self) -> bool:
        """Whether this process knows what the others have accepted, and they know that it is there."""
        return self.complete and self._announced

    def hold_folder(self, ledger: Ledger) -> None:
        """This process holds the folder from now on, with another ledger."""
        self._ledger = ledger
        self._holds_lock = self._announced = self.complete = True
        self._unclaimed_ends.clear()

    def exchange(self) -> None:
        """Before documents are accepted: learns what the other process has accepted so far."""
        if not self._holds_lock:
            self._drop_claimed()
            return
        try:
            self._find_standby()
            if self.closing:
                self._ledger.follow_standby()
        except OSError as problem:
            self._on_failed(problem)
            return
        self.complete = True
        self.claim()

    def claim(self) -> None:
        """The holder takes over what waiting processes have accepted; again soon while there are any."""
        if not self._ledger.follows_standby or self.closing:
            return
        try:
            self._claimed += self._ledger.claim_standby()
            self.complete = True
        except OSError as problem:
            self._on_failed(problem)
        if self._claimed:
            self._on_claimed()
        if self._timer is None or self._timer.when() <= self._loop.time():
            self._timer = self._loop.call_later(EXCHANGE_S, self.claim)

    def pop_claimed(self) -> list[LedgerEntry]:
        """Returns what was taken over since the last call, in the order of acceptance."""
        claimed, self._claimed = self._claimed, []
        return claimed

    def wait(self) -> None:
        """What a waiting process does at regular intervals, and before it accepts its first document."""
        self._announce()
        self._drop_claimed()
        if self.complete:
            self._end_unclaimed()

    def decide_end(self, doc_id: str, result: str, wait_ms: float) -> None:
        """The decisions of a waiting process give a document up: it ends so if the holder never has it."""
        self._unclaimed_ends[doc_id] = result, wait_ms

    def _find_standby(self) -> None:
        try:
            waited = self._folder.size(LOCK_NAME)
        except FileNotFoundError:  # a file system without locks
            waited = 0
        if waited != self._waited_count:
            self._ledger.find_standby()
            self._waited_count = waited

    def _announce(self) -> None:
        """Tells the holder that this process waits."""
        if self._announced:
            return
        with contextlib.suppress(OSError):
            handle = self._folder.open(LOCK_NAME)
            self._announced = self._folder.append(handle, b".") == 1
            self._folder.close(handle)

    def _drop_claimed(self) -> None:
        """A waiting process forgets what the holder has taken over."""
        try:
            self._find_standby()
            claimed = self._ledger.drop_claimed()
            self.complete = True
        except OSError as problem:
            self._on_failed(problem)
            return
        for entry in claimed:
            self._unclaimed_ends.pop(entry.id, None)
            self._on_dropped(entry.id)

    def _end_unclaimed(self) -> None:
        """Ends documents that the holder does not take over, as in a hang or a shutdown."""
        latest = self._wall_ms() + END_UNCLAIMED_MS
        for doc_id, (result, wait_ms) in [*self._unclaimed_ends.items()]:
            entry = self._ledger.entries.get(doc_id)
            if entry is None or entry.notice or entry.expiry <= latest:
                del self._unclaimed_ends[doc_id]
                if entry and not entry.notice:
                    self._end(doc_id, result, wait_ms)

    def _on_failed(self, problem: OSError) -> None:
        if self.complete:
            log_event(log, "other process not read", logging.ERROR, problem=problem)
        self.complete = False
