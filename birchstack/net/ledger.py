"""Write-ahead log of the documents that this sender has accepted and not yet finished.

Owns the ledger file in the state folder, with one checksummed line per record, and one file per document
body. Must never exceed the disk limit (old and compacted file together, in whole blocks), never decide what
follows from the recovered state, and never call fsync: records have to survive the process, not the operating
system.
"""

from __future__ import annotations

import contextlib
import json
import logging
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from birchstack.interface import Recovery
from birchstack.net import recoveries
from birchstack.net.ended import RECORD_KIND as ENDED
from birchstack.net.ended import EndedDocuments
from birchstack.net.log import log_event
from birchstack.net.machine import Folder
from birchstack.net.recoveries import RecoveryRecords

FILE = "ledger"
STANDBY_PREFIX = "ledger-next-"  # file of a process that waits while another one holds the state folder
LOCK_SUFFIX = ".lock"  # lock file that shows that the standby process is alive
STANDBY_FIRST_BODY = 1 << 32  # body numbers of standby processes start here, apart from the holder's
BLOCK_BYTES = 512
RECORD_RESERVE_BYTES = 512  # space reserved per document for records that are still to be written
COMPACT_MIN_BYTES = 131072  # smaller files are not compacted
MAX_WAITS = 256  # endpoint waits kept; the oldest are evicted
log = logging.getLogger(__name__)


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
    deadline: float = 0.0  # expiry on the sender's own clock; not stored
    sent: int = 0  # transmissions made
    failed: int = 0  # of those, failures other than refusals
    in_flight: tuple[str, float] | None = None  # zone and time of the transmission in flight
    in_doubt: list[tuple[str, float]] = field(default_factory=list)  # those that may have been executed
    notice: tuple[str, float] | None = None  # result and wait to report, until the platform acknowledges them

    def apply_outcome(self, doubt: int, failed: int) -> None:
        """Applies the outcome of the latest transmission."""
        if self.in_flight is None:
            self.sent += 1  # never written to the connection, but it counts as a transmission
        elif doubt:
            self.in_doubt.append(self.in_flight)
        self.failed, self.in_flight = self.failed + bool(failed), None


def round_up_to_blocks(size: int) -> int:
    """Rounds a size in bytes up to whole disk blocks."""
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


class Ledger:
    """Current state in memory, in order of acceptance; each change is on disk before its method returns."""

    def __init__(self, folder: Folder, limit: int, standby_name: str = "") -> None:
        """Opens the ledger in `folder` with at most `limit` bytes.

        standby_name: set on a standby process, while another process holds the state folder and sends. It is
        a name in hexadecimal digits that no other process has ever used.

        A standby process writes its own file and bodies, in a quarter of the space, and reads nothing that
        belongs to the holder. The holder adopts the files of standby processes that have ended: at its start,
        and by adopt_standby() while it runs. This prevents two processes from sending the same documents or
        writing one file, and prevents the loss of documents of a standby process that ends before the holder.
        Drawback: the quarter is not reserved, so a holder that fills the folder leaves no space for a
        standby process.
        """
        self._folder = folder
        self._limit = limit - 4 * 4096  # the folder's own directory blocks may count
        self.entries: dict[str, LedgerEntry] = {}
        self.ended: dict[str, None] = {}  # finished before the start, but still recorded in the file
        self.remembered = EndedDocuments()  # by time, whether or not the file still has their records
        self.waits: dict[str, float] = {}  # by endpoint, wall-clock time until which it asked to wait
        self.recoveries = RecoveryRecords(self._limit)
        self._unsaved_recoveries: dict[str, list] = {}  # by endpoint, records that did not fit on a full disk
        self._records_lost = False  # a write failed: the file does not have the current state
        self.on_freed: Callable[[int], None] = lambda destination: None  # called when a document or call ends
        self._adopted: dict[str, bool] = {}  # adopted standby files, and whether the own file records it
        self._body_bytes = self._file_bytes = self._next_body = 0
        self._handle = -1
        self._name = FILE
        if standby_name:
            self._name, self._limit = STANDBY_PREFIX + standby_name, self._limit // 4
            self._next_body = STANDBY_FIRST_BODY + int(standby_name, 16)
            folder.lock(self._name + LOCK_SUFFIX)  # before the file exists, which others could adopt
            self._handle = folder.open(self._name, fresh=True)
        else:
            self._recover()

    # Recording events

    def has_space(self, sizes: list[int]) -> bool:
        """Returns whether there is space for documents with bodies of these sizes."""
        records = (
            RECORD_RESERVE_BYTES * (len(self.entries) + len(sizes))  # for documents
            + recoveries.RECORD_BYTES * len(self.recoveries)  # for endpoints that are recovering
            + self.remembered.record_bytes
        )
        bodies = self._body_bytes + sum(map(round_up_to_blocks, sizes))
        # The current file and the one that a compaction writes beside it
        return (
            bodies + round_up_to_blocks(2 * records) + round_up_to_blocks(records) + COMPACT_MIN_BYTES
            <= self._limit
        )

    def add(
        self,
        doc_id: str,
        kind: str,
        destination: int,
        key: str | None,
        expiry: float,
        body: bytes,
        repeat_key: str | None = None,
    ) -> LedgerEntry:
        """Stores a newly accepted document.

        Raises OSError if it could not be stored; it is not accepted then."""
        entry = LedgerEntry(
            doc_id, kind, destination, key, expiry, self._next_body, len(body), repeat_key, body
        )
        self._next_body += 1
        try:
            if body:
                self._folder.write(self._body_name(entry), body)
            self._append(self._take_record(entry))
        except OSError:
            self._remove_body_file(entry)
            raise
        self._body_bytes += round_up_to_blocks(entry.size)
        self.entries[doc_id] = entry
        return entry

    def record_transmission(self, entry: LedgerEntry, zone: str, when: float) -> None:
        """Records a transmission that is about to be written to its connection.

        Raises OSError if the record could not be written; the transmission must not be sent then."""
        self._append(["call", entry.id, zone, when])
        entry.sent, entry.in_flight = entry.sent + 1, (zone, when)

    def record_outcome(self, entry: LedgerEntry, doubt: bool, failed: bool) -> None:
        """Records the outcome of the latest transmission, whether or not it was written to its connection.

        A transmission that was never written has its own kind of record. If a full disk lost the outcome of
        the call before it, that call therefore stays in doubt, and its window and zone keep binding the
        document."""
        words = (
            ["back", entry.id, int(doubt), int(failed)]
            if entry.in_flight
            else ["kept", entry.id, int(failed)]
        )
        entry.apply_outcome(doubt, failed)
        self._append_or_log(words)
        self._maintain()

    def record_wait(self, endpoint: str, until: float) -> None:
        """Records that an endpoint asked to wait; a successor process, as in an upgrade, honours it too."""
        until = max(until, self.waits.pop(endpoint, until))
        self.waits[endpoint] = until
        if len(self.waits) > MAX_WAITS:
            del self.waits[next(iter(self.waits))]
        self._append_or_log(["wait", endpoint, until])

    def record_recovery(self, now: float, recovery: Recovery) -> None:
        """Records that an endpoint went down, is warming up or is warm; the next process continues there."""
        self._unsaved_recoveries[recovery.endpoint] = self.recoveries.update(now, recovery)
        if not self._flush_recoveries():
            log_event(
                log,
                "recovery not noted",
                logging.ERROR,
                endpoint=recovery.endpoint,
                waiting=len(self._unsaved_recoveries),
            )

    def restart_recoveries(self, now: float) -> None:
        """Restarts every recovery stage at `now`, where the previous process's clock cannot be trusted."""
        if len(self.recoveries):
            self.recoveries.restart(now)
            self.compact()
            log_event(log, "recoveries begin anew: no clock tells their age", endpoints=len(self.recoveries))

    def record_notice(self, entry: LedgerEntry, result: str, wait_ms: float) -> None:
        """Records that a document ended undelivered and that the platform has to be notified."""
        entry.notice = result, wait_ms
        self._append_or_log(["notice", entry.id, result, wait_ms])
        self._release_body(entry)
        self.on_freed(entry.destination)

    def finish(self, entry: LedgerEntry) -> None:
        """Records that a document needs nothing more, and removes it."""
        if self.entries.pop(entry.id, None) is None:
            return
        self.remembered.add(entry.id, entry.expiry)
        self._append_or_log(["done", entry.id])
        self._release_body(entry)
        self._maintain()

    def knows(self, doc_id: str) -> bool:
        """Returns whether a document with this id was accepted: it is held, or ended not long ago."""
        return doc_id in self.entries or doc_id in self.remembered

    def save_lost_records(self) -> None:
        """Writes the current state anew if an earlier write failed; to be called from time to time.

        Without it, a document that had its notice while the folder failed would be sent after a restart.
        """
        if self._records_lost:
            self.compact()

    def close(self) -> None:
        """Closes the file, and releases the standby lock if there is one."""
        self._folder.close(self._handle)
        if self._name != FILE:
            self._folder.unlock(self._name + LOCK_SUFFIX)

    def has_standby(self) -> bool:
        """Returns whether a standby process waits for this one to end."""
        return any(not ended for ended in self._standby_files().values())

    def adopt_standby(self) -> list[LedgerEntry]:
        """Adopts the documents of standby processes that ended before this one.

        Returns the documents that are new here. A file that could not be adopted whole is retried by the next
        call."""
        found = []
        for name in [
            name for name, ended in self._standby_files().items() if ended and name not in self._adopted
        ]:
            try:
                replay = LedgerReplay(self._folder.read(name))
                fresh = [entry for entry in replay.entries.values() if not self.knows(entry.id)]
                records = [words for entry in fresh for words in self._snapshot_records(entry)]
                self._append(*records, ["took", name])
            except OSError as problem:
                log_event(log, "not taken up", logging.ERROR, file=name, problem=problem)
                continue
            self._adopted[name] = True
            for entry in replay.entries.values():
                if self.knows(entry.id):
                    self._remove_body_file(entry)
            for entry in fresh:
                entry.recovered = True
                self._load_body(entry)
                self.entries[entry.id] = entry
            found += fresh
            log_event(log, "taken up", file=name, owed=len(fresh))
        self._remove_adopted_files()
        return found

    def _standby_files(self) -> dict[str, bool]:
        """Returns the files of standby processes, and whether the process of each has ended.

        A file without a lock file is from a version that had none; its process counts as ended only at this
        process's start, when the state folder is no longer held."""
        with contextlib.suppress(OSError):
            names = self._folder.names()
            return {
                name: self._folder.lock(name + LOCK_SUFFIX)
                for name in sorted(names)
                if name.startswith(STANDBY_PREFIX)
                and "." not in name
                and (self._handle < 0 or name + LOCK_SUFFIX in names)
            }
        return {}

    def _remove_adopted_files(self) -> None:
        """Removes standby files that were adopted.

        One that cannot be removed stays recorded in the own file, so that no later start adopts it again."""
        if not all(self._adopted.values()):
            self.compact()
        for name in [name for name, recorded in self._adopted.items() if recorded]:
            with contextlib.suppress(OSError):
                self._folder.unlink(name)
                del self._adopted[name]
                self._folder.unlock(name + LOCK_SUFFIX)

    def _maintain(self) -> None:
        """Compacts the file once it is large and mostly obsolete; otherwise retries unsaved recoveries."""
        live_bytes = (
            RECORD_RESERVE_BYTES * len(self.entries)
            + recoveries.RECORD_BYTES * len(self.recoveries)
            + self.remembered.record_bytes
        )
        if self._file_bytes > max(COMPACT_MIN_BYTES, 2 * live_bytes):
            self.compact()
        elif self._unsaved_recoveries:
            self._flush_recoveries()

    def _flush_recoveries(self) -> bool:
        """Writes the recovery records that are not on disk yet; returns whether all of them are now."""
        try:
            self._append(*self._unsaved_recoveries.values())
        except OSError:
            return False
        self._unsaved_recoveries.clear()
        return True

    # Files

    def _body_name(self, entry: LedgerEntry) -> str:
        return f"body-{entry.body_number}"

    def _remove_body_file(self, entry: LedgerEntry) -> None:
        with contextlib.suppress(OSError):
            self._folder.unlink(self._body_name(entry))

    def _release_body(self, entry: LedgerEntry) -> None:
        """Frees the body in memory, on disk and in the space accounting."""
        if entry.size:
            self._remove_body_file(entry)
        self._body_bytes -= round_up_to_blocks(entry.size)
        entry.size = 0
        entry.body = b""

    @staticmethod
    def _encode(words: list) -> bytes:
        """Encodes one record as a line with its CRC-32."""
        text = json.dumps(words, separators=(",", ":")).encode()
        # The newline comes first, so that a torn line ends where the next record begins
        return b"\n%08x %s" % (zlib.crc32(text), text)

    @staticmethod
    def _take_record(entry: LedgerEntry) -> list:
        return [
            "take",
            entry.id,
            entry.type,
            entry.destination,
            entry.key,
            entry.expiry,
            entry.body_number,
            entry.size,
            *([entry.repeat_key] if entry.repeat_key else []),
        ]

    def _append(self, *records: list) -> None:
        """Appends records in one write; raises OSError unless it was written whole."""
        data = b"".join(map(self._encode, records))
        written = self._folder.append(self._handle, data)
        self._file_bytes += written
        if written < len(data):
            raise OSError(f"{written} of {len(data)} bytes written")

    def _append_or_log(self, words: list) -> None:
        """Appends a record of something that has already happened; a write error is made up for later."""
        try:
            self._append(words)
        except OSError as problem:
            self._records_lost = True
            log_event(log, "not noted", logging.ERROR, what=words[0], doc=words[1], problem=problem)

    def _snapshot_records(self, entry: LedgerEntry) -> list[list]:
        """Returns the fewest records that reproduce this document's current state."""
        words = [
            self._take_record(entry),
            ["past", entry.id, entry.sent, entry.failed, entry.in_flight, entry.in_doubt],
        ]
        return words + ([["notice", entry.id, *entry.notice]] if entry.notice else [])

    def compact(self) -> bool:
        """Rewrites the file with only the current state; the old file is valid until the new one is renamed.

        Returns whether it succeeded."""
        records = self.remembered.records()
        records += [words for entry in self.entries.values() for words in self._snapshot_records(entry)]
        records += [["wait", name, until] for name, until in self.waits.items()]
        records += [["took", name] for name in self._adopted]
        records += self.recoveries.records()
        data = b"".join(map(self._encode, records))
        handle = -1
        try:
            handle = self._folder.open(self._name + ".new", fresh=True)
            if self._folder.append(handle, data) < len(data):
                raise OSError("disk full while writing the compacted ledger")
            self._folder.rename(self._name + ".new", self._name)
        except OSError as problem:
            if handle >= 0:
                self._folder.close(handle)
            self._file_bytes = 0  # retried once as many bytes have been appended again
            log_event(log, "not compacted", logging.ERROR, problem=problem)
            return False
        self._folder.close(self._handle)
        self._handle, self._file_bytes = handle, len(data)
        self._adopted = dict.fromkeys(self._adopted, True)
        self._unsaved_recoveries.clear()
        self._records_lost = False
        return True

    # Recovery at the start

    def _recover(self) -> None:
        """Rebuilds the state from standby files and the own file.

        Standby files are replayed first: records about their documents in the own file were written later."""
        own = b""
        standby = self._standby_files()
        with contextlib.suppress(FileNotFoundError):
            own = self._folder.read(FILE)
        adopted = LedgerReplay(own).adopted_files if standby else ()
        self._adopted = {name: name in adopted for name, ended in standby.items() if ended}
        texts = [self._folder.read(name) for name, recorded in self._adopted.items() if not recorded]
        past = LedgerReplay(b"\n".join([*texts, own]), self.recoveries)
        self.entries, self.ended, self.remembered = past.entries, past.ended, past.remembered
        self.waits, self._next_body = past.waits, past.next_body
        for entry in self.entries.values():
            entry.recovered = True
            if entry.in_flight:
                entry.in_doubt.append(entry.in_flight)  # its outcome will never arrive
                entry.in_flight = None
            self._load_body(entry)
        self._remove_stray_files(not all(standby.values()))
        self._handle = self._folder.open(FILE)
        self._remove_adopted_files()
        if own or texts:
            log_event(
                log,
                "recovered",
                owed=len(self.entries),
                torn=past.unreadable,
                recovering=len(self.recoveries),
            )

    def _load_body(self, entry: LedgerEntry) -> None:
        """Reads a document's body; one whose body is missing ends undelivered."""
        if entry.notice:
            entry.size = 0
        if not entry.size:
            return
        with contextlib.suppress(OSError):
            entry.body = self._folder.read(self._body_name(entry))
        if len(entry.body) == entry.size:
            self._body_bytes += round_up_to_blocks(entry.size)
        else:  # it cannot be sent any more, but the platform still has to be notified
            log_event(log, "body lost", logging.ERROR, doc=entry.id)
            entry.size = 0
            entry.body = b""
            entry.notice = ("dead", 0.0)

    def _remove_stray_files(self, standby_alive: bool) -> None:
        """Removes unfinished files and bodies of no document, except those of a live standby process."""
        wanted = {self._body_name(entry) for entry in self.entries.values() if entry.size}
        for name in self._folder.names():
            number = name[5:] if name.startswith("body-") else ""
            standby_body = standby_alive and number.isdecimal() and int(number) >= STANDBY_FIRST_BODY
            if number and name not in wanted and not standby_body or name.endswith(".new"):
                with contextlib.suppress(OSError):
                    self._folder.unlink(name)


class LedgerReplay:
    """The state that results from replaying a ledger file's records."""

    def __init__(self, text: bytes, recovery_records: RecoveryRecords | None = None) -> None:
        """Replays `text`; recovery_records receives the recovery records, which are ignored without it."""
        self._recoveries = RecoveryRecords(0) if recovery_records is None else recovery_records
        self.entries: dict[str, LedgerEntry] = {}
        self.ended: dict[str, None] = {}
        self.remembered = EndedDocuments()
        self.waits: dict[str, float] = {}
        self.adopted_files: set[str] = set()  # standby files whose documents have been adopted
        self.next_body = 0  # one above the highest body number
        self.unreadable = 0  # lines that cannot be read
        for line in filter(None, text.split(b"\n")):
            try:
                if int(line[:8], 16) != zlib.crc32(line[9:]):
                    raise ValueError("sum")
                self._replay(*json.loads(line[9:]))
            except (ValueError, TypeError, KeyError):
                self.unreadable += 1  # the last record was cut off by a crash, or the disk is damaged
                self._recoveries.replay_damaged(line)

    def _replay(self, what: str, doc_id: str, *words) -> None:
        """Applies one record; for some kinds, doc_id is an endpoint, a file or a time."""
        if what == "wait":  # doc_id is an endpoint
            self.waits[doc_id] = max(float(words[0]), self.waits.pop(doc_id, 0.0))
            return
        if what == ENDED:  # doc_id is the time until which documents are remembered
            self.remembered.replay(doc_id, *words)
            for each in [each for each in self.entries if each in self.remembered]:
                del self.entries[each]  # a standby process accepted a document that had ended
            return
        if what in recoveries.STAGES:  # doc_id is an endpoint
            self._recoveries.replay(what, doc_id, *words)
            return
        if what == "took":  # doc_id is a standby file
            self.adopted_files.add(doc_id)
            return
        if what == "take":
            self.entries[doc_id] = LedgerEntry(doc_id, *words)
            self.next_body = max(self.next_body, self.entries[doc_id].body_number + 1)
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
            entry.notice = words[0], words[1]
        elif what == "done":
            del self.entries[doc_id]
            self.ended[doc_id] = None
            self.remembered.add(doc_id, entry.expiry)
