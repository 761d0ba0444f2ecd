"""Records of the write-ahead log: their encoding, and the state that results from replaying them.

One checksummed line per record. Must never read or write a file, nor decide what follows from the state.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass, field

from birchstack.net import content, recoveries
from birchstack.net.disk_usage import Usage, round_up_to_blocks
from birchstack.net.ended import CONTENTS_RECORD_KIND as ENDED_CONTENTS
from birchstack.net.ended import RECORD_KIND as ENDED
from birchstack.net.ended import EndedDocuments
from birchstack.net.recoveries import RecoveryRecords

STANDBY_FIRST_BODY = 1 << 32  # body numbers of standby processes start here, apart from the holder's


@dataclass(slots=True)
class LedgerEntry:
    """An accepted document with its transmission history; times are wall-clock milliseconds."""

    id: str
    type: str
    destination: int
    key: str | None
    expiry: float
    body_number: int
    size: int
    repeat_key: str | None = None  # sent as Idempotency-Key, so that endpoints recognise a repeat
    body: bytes = b""
    recovered: bool = False  # recovered at start from an earlier process
    accepted_at: float = 0.0  # known only of a document that a standby process accepted
    deadline: float = 0.0  # expiry on the sender's own clock; not stored
    sent: int = 0  # transmissions made
    failed: int = 0  # of those, failures other than refusals
    in_flight: tuple[str, float] | None = None  # zone and time of the transmission in flight
    in_doubt: list[tuple[str, float]] = field(default_factory=list)  # those that may have been executed
    notice: tuple[str, float] | None = None  # result and wait to report, until the platform acknowledges them
    stored_content: str = content.UNKNOWN  # digest of the content, once the body is not needed any more

    @property
    def content(self) -> str:
        """The digest of the content, content.UNKNOWN if neither it nor the body is known."""
        if self.stored_content or self.notice or len(self.body) != self.size:
            return self.stored_content
        return content.digest(self.type, self.destination, self.key, self.body)

    def apply_outcome(self, doubt: int, failed: int) -> None:
        """Applies the outcome of the latest transmission."""
        if self.in_flight is None:
            self.sent += 1  # never written to the connection, but it counts as a transmission
        elif doubt:
            self.in_doubt.append(self.in_flight)
        self.failed, self.in_flight = self.failed + bool(failed), None


def encode(words: list) -> bytes:
    """Encodes one record as a line with its CRC-32."""
    text = json.dumps(words, separators=(",", ":")).encode()
    # The newline comes first, so that a torn line ends where the next record begins
    return b"\n%08x %s" % (zlib.crc32(text), text)


def accepted_records(entry: LedgerEntry) -> list[list]:
    """Returns the records of a newly accepted document."""
    fields = [entry.id, entry.type, entry.destination, entry.key, entry.expiry, entry.body_number, entry.size]
    take = ["take", *fields, *([entry.repeat_key] if entry.repeat_key else [])]
    # The time comes first, so that a torn write never leaves a whole "take" of a document that was refused
    return [["taken", entry.id, entry.accepted_at], take] if entry.accepted_at else [take]


def snapshot_records(entry: LedgerEntry) -> list[list]:
    """Returns the fewest records that reproduce a document's current state."""
    records = accepted_records(entry)
    records.append(["past", entry.id, entry.sent, entry.failed, entry.in_flight, entry.in_doubt])
    return records + ([notice_record(entry)] if entry.notice else [])


def notice_record(entry: LedgerEntry) -> list:
    """Returns the record of a document that ended undelivered."""
    return ["notice", entry.id, *entry.notice, *([entry.content] if entry.content else [])]


def done_record(entry: LedgerEntry) -> list:
    """Returns the record of a document that needs nothing more."""
    return ["done", entry.id, *([entry.content] if entry.content else [])]


class LedgerReplay:
    """The state that results from replaying a ledger file's records."""

    def __init__(self, text: bytes = b"", recovery_records: RecoveryRecords | None = None) -> None:
        """Replays `text`; recovery_records receives the recovery records, which are ignored without it."""
        self._recoveries = RecoveryRecords(0) if recovery_records is None else recovery_records
        self.entries: dict[str, LedgerEntry] = {}
        self._body_bytes = 0  # of documents without a notice
        self.ended: dict[str, None] = {}
        self.remembered = EndedDocuments()
        self.waits: dict[str, float] = {}
        self._accepted_at: dict[str, float] = {}  # of documents whose other record follows
        self.adopted_files: set[str] = set()  # standby files whose documents have been adopted
        self.next_body = 0  # one above the highest body number of a holder
        self.unreadable = 0  # lines that cannot be read
        self.ended_records = 0  # records that name only digests of documents
        for line in filter(None, text.split(b"\n")):
            if not self.apply(line):
                self.unreadable += 1  # the last record was cut off by a crash, or the disk is damaged
                self._recoveries.replay_damaged(line)

    def apply(self, line: bytes) -> bool:
        """Applies a line; returns False if it cannot be read."""
        try:
            if int(line[:8], 16) != zlib.crc32(line[9:]):
                return False
            self._replay(*json.loads(line[9:]))
        except (ValueError, TypeError, KeyError):
            return False
        return True

    def knows(self, doc_id: str) -> bool:
        """Returns whether a document with this id was accepted: it is held, or ended not long ago."""
        return doc_id in self.entries or doc_id in self.remembered

    def usage(self) -> Usage:
        """Returns what the documents and records take."""
        recovering = recoveries.RECORD_BYTES * len(self._recoveries)
        return Usage(len(self.entries), self._body_bytes, recovering + self.remembered.record_bytes)

    def _release_body(self, entry: LedgerEntry | None) -> None:
        if entry and entry.notice is None:
            self._body_bytes -= round_up_to_blocks(entry.size)

    def _replay(self, what: str, doc_id: str, *words) -> None:
        """Applies one record; for some kinds, doc_id is an endpoint, a file or a time."""
        if what == "wait":  # doc_id is an endpoint
            self.waits[doc_id] = max(float(words[0]), self.waits.pop(doc_id, 0.0))
            return
        if what == ENDED:  # doc_id is the time until which documents are remembered
            self.remembered.replay(doc_id, *words)
            self.ended_records += 1
            return
        if what == ENDED_CONTENTS:  # the same
            self.remembered.replay_contents(doc_id, *words)
            return
        if what in recoveries.STAGES:  # doc_id is an endpoint
            self._recoveries.replay(what, doc_id, *words)
            return
        if what == "took":  # doc_id is a standby file
            self.adopted_files.add(doc_id)
            return
        if what == "taken":
            self._accepted_at[doc_id] = float(words[0])
            return
        if what == "take":
            entry = LedgerEntry(doc_id, *words)
            self._release_body(self.entries.get(doc_id))
            self.entries[doc_id] = entry
            self._body_bytes += round_up_to_blocks(entry.size)
            entry.accepted_at = self._accepted_at.pop(doc_id, 0.0)
            if entry.body_number < STANDBY_FIRST_BODY:
                self.next_body = max(self.next_body, entry.body_number + 1)
            return
        entry = self.entries[doc_id]
        if what == "call":
            if entry.in_flight:  # the outcome of the call before was not recorded
                entry.in_doubt.append(entry.in_flight)
            entry.sent, entry.in_flight = entry.sent + 1, (words[0], words[1])
        elif what == "kept":
            entry.sent, entry.failed = entry.sent + 1, entry.failed + words[0]
        elif what == "back":
            entry.apply_outcome(*words)
        elif what == "past":
            entry.sent, entry.failed, out, doubt = words
            entry.in_flight, entry.in_doubt = (
                tuple(out) if out else None,
                [(zone, when) for zone, when in doubt],
            )
        elif what == "notice":
            self._release_body(entry)
            entry.notice, entry.stored_content = (words[0], words[1]), words[2] if words[2:] else ""
        elif what == "done":
            self._release_body(entry)
            del self.entries[doc_id]
            self.ended[doc_id] = None
            self.remembered.add(doc_id, entry.expiry, words[0] if words else content.UNKNOWN)
