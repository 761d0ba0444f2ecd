"""Documents that have ended, remembered until a repeated request can no longer arrive.

Owns how long they are remembered: by time, never by number, so that no other traffic can displace one. Keeps
digests of ids, as ids may be long, and digests of contents (content.py). Times are milliseconds of the clock
that continues across restarts (machine.PersistentClock).
"""

from __future__ import annotations

import binascii
import hashlib
import math

from birchstack.net import content

PERIOD_MS = 1000.0  # documents whose time ends within the same period are forgotten together
REPEAT_MARGIN_MS = 1000.0  # a repeat reaches the sender at most this long after the document's expiry
DIGEST_BYTES = 8
DIGEST_CHARACTERS = 11  # in base64, without padding
# A digest in a record, with its separator and quotation marks, and that of the content in another record
ITEM_BYTES = 14 + content.DIGEST_CHARACTERS
RECORD_BYTES = 128  # checksum, kind and time of both records
RECORD_KIND = "ended"
CONTENTS_RECORD_KIND = "contents"  # follows the record whose documents it is about, in their order
UNKNOWN_CONTENT = "-" * content.DIGEST_CHARACTERS  # in a record; no digest has this character


def _digest(doc_id: str) -> str:
    raw = hashlib.blake2b(doc_id.encode(), digest_size=DIGEST_BYTES).digest()
    return binascii.b2a_base64(raw, newline=False)[:DIGEST_CHARACTERS].decode("ascii")


class EndedDocuments:
    """The documents that have ended, each until some time after its expiry."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}  # by digest
        self._contents: dict[str, str] = {}  # by digest, where known
        self._periods: dict[float, list[str]] = {}  # digests by the time at which they are forgotten
        self._replayed: tuple[float, list[str]] = (0.0, [])  # by the last record
        self.record_bytes = 0  # bound on the size of records()

    def __contains__(self, doc_id: str) -> bool:
        return _digest(doc_id) in self._until

    def __len__(self) -> int:
        return len(self._until)

    def content_of(self, doc_id: str) -> str:
        """Returns the digest of a document's content, content.UNKNOWN if it is not known."""
        return self._contents.get(_digest(doc_id), content.UNKNOWN)

    def add(self, doc_id: str, expiry: float, content_digest: str = content.UNKNOWN) -> None:
        """Remembers a document with that expiry."""
        until = math.ceil((expiry + REPEAT_MARGIN_MS) / PERIOD_MS) * PERIOD_MS
        digest = _digest(doc_id)
        self._insert(digest, until)
        if content_digest:
            self._contents[digest] = content_digest

    def replay(self, until: float, digests: list[str]) -> None:
        """Applies a record made by records()."""
        self._replayed = until, digests
        for digest in digests:
            self._insert(digest, float(until))

    def replay_contents(self, until: float, contents: str) -> None:
        """Applies a record of contents; it says nothing without the one before it, as after damage."""
        replayed_until, digests = self._replayed
        size = content.DIGEST_CHARACTERS
        if until != replayed_until or len(contents) != size * len(digests):
            return
        for at, digest in enumerate(digests):
            found = contents[at * size : (at + 1) * size]
            if found != UNKNOWN_CONTENT:
                self._contents[digest] = found

    def merge(self, other: EndedDocuments) -> None:
        """Remembers what another one remembers."""
        for until, digests in other._periods.items():
            self.replay(until, digests)
        for digest, content_digest in other._contents.items():
            if digest in self._until:
                self._contents[digest] = content_digest

    def records_of(self, doc_id: str) -> list[list]:
        """Returns the fields of the records that restore one remembered document."""
        digest = _digest(doc_id)
        return self._records(self._until[digest], [digest])

    def forget(self, now: float) -> None:
        """Forgets the documents whose time has passed."""
        for until in [each for each in self._periods if each <= now]:
            digests = self._periods.pop(until)
            self.record_bytes -= RECORD_BYTES + ITEM_BYTES * len(digests)
            for digest in digests:
                if self._until.get(digest) == until:
                    del self._until[digest]
                    self._contents.pop(digest, None)

    def records(self) -> list[list]:
        """Returns the fields of the ledger's records that restore this state."""
        return [
            fields for until, digests in self._periods.items() for fields in self._records(until, digests)
        ]

    def _records(self, until: float, digests: list[str]) -> list[list]:
        ended = [RECORD_KIND, until, digests]
        if not any(each in self._contents for each in digests):
            return [ended]
        contents = "".join(self._contents.get(each, UNKNOWN_CONTENT) for each in digests)
        return [ended, [CONTENTS_RECORD_KIND, until, contents]]

    def _insert(self, digest: str, until: float) -> None:
        if self._until.get(digest, 0.0) >= until:
            return
        self._until[digest] = until
        if until not in self._periods:
            self._periods[until] = []
            self.record_bytes += RECORD_BYTES
        self._periods[until].append(digest)
        self.record_bytes += ITEM_BYTES
