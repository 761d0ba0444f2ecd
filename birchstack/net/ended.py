"""Documents that have ended, remembered until a repeated request can no longer arrive.

Owns how long they are remembered: by time, never by number, so that no other traffic can displace one. Keeps
digests of ids, as ids may be long. Times are milliseconds of the clock that continues across restarts
(machine.PersistentClock).
"""

from __future__ import annotations

import binascii
import hashlib
import math

PERIOD_MS = 1000.0  # documents whose time ends within the same period are forgotten together
REPEAT_MARGIN_MS = 1000.0  # a repeat reaches the sender at most this long after the document's expiry
DIGEST_BYTES = 8
DIGEST_CHARACTERS = 11  # in base64, without padding
ITEM_BYTES = 14  # a digest in a record, with its separator and quotation marks
RECORD_BYTES = 64  # checksum, kind and time of a record
RECORD_KIND = "ended"


def _digest(doc_id: str) -> str:
    raw = hashlib.blake2b(doc_id.encode(), digest_size=DIGEST_BYTES).digest()
    return binascii.b2a_base64(raw, newline=False)[:DIGEST_CHARACTERS].decode("ascii")


class EndedDocuments:
    """The documents that have ended, each until some time after its expiry."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}  # by digest
        self._periods: dict[float, list[str]] = {}  # digests by the time at which they are forgotten
        self.record_bytes = 0  # bound on the size of records()

    def __contains__(self, doc_id: str) -> bool:
        return _digest(doc_id) in self._until

    def __len__(self) -> int:
        return len(self._until)

    def add(self, doc_id: str, expiry: float) -> None:
        """Remembers a document with that expiry."""
        until = math.ceil((expiry + REPEAT_MARGIN_MS) / PERIOD_MS) * PERIOD_MS
        self._insert(_digest(doc_id), until)

    def replay(self, until: float, digests: list[str]) -> None:
        """Applies a record made by records()."""
        for digest in digests:
            self._insert(digest, float(until))

    def merge(self, other: EndedDocuments) -> None:
        """Remembers what another one remembers."""
        for _, until, digests in other.records():
            self.replay(until, digests)

    def record_of(self, doc_id: str) -> list:
        """Returns the fields of a record that restores one remembered document."""
        digest = _digest(doc_id)
        return [RECORD_KIND, self._until[digest], [digest]]

    def forget(self, now: float) -> None:
        """Forgets the documents whose time has passed."""
        for until in [each for each in self._periods if each <= now]:
            digests = self._periods.pop(until)
            self.record_bytes -= RECORD_BYTES + ITEM_BYTES * len(digests)
            for digest in digests:
                if self._until.get(digest) == until:
                    del self._until[digest]

    def records(self) -> list[list]:
        """Returns the fields of the ledger's records that restore this state."""
        return [[RECORD_KIND, until, digests] for until, digests in self._periods.items()]

    def _insert(self, digest: str, until: float) -> None:
        if self._until.get(digest, 0.0) >= until:
            return
        self._until[digest] = until
        if until not in self._periods:
            self._periods[until] = []
            self.record_bytes += RECORD_BYTES
        self._periods[until].append(digest)
        self.record_bytes += ITEM_BYTES
