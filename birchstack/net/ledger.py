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
from birchstack.net.log import say
from birchstack.net.machine import Folder
from birchstack.net.recoveries import Recoveries

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
class Owed:
    """An accepted document with its transmission history; times are wall-clock milliseconds."""

    id: str
    type: str
    destination: int
    key: str | None
    expiry: float
    number: int  # of its body file
    size: int
    repeat_key: str | None = None  # sent as Idempotency-Key, so that endpoints recognise a repeat
    body: bytes = b""
    found: bool = False  # recovered at start from an earlier process
    due: float = 0.0  # expiry on the sender's own clock; not stored
    sent: int = 0  # transmissions made
    failed: int = 0  # of those, failures other than refusals
    out: tuple[str, float] | None = None  # zone and time of the transmission in flight
    doubt: list[tuple[str, float]] = field(default_factory=list)  # transmissions that may have been executed
    notice: tuple[str, float] | None = None  # result and wait to report, until the platform acknowledges them

    def came_back(self, doubt: int, failed: int) -> None:
        """Applies the outcome of the latest transmission."""
        if self.out is None:
            self.sent += 1  # never written to the connection, but it counts as a transmission
        elif doubt:
            self.doubt.append(self.out)
        self.failed, self.out = self.failed + bool(failed), None


def blocks(size: int) -> int:
    """Rounds a size in bytes up to whole disk blocks."""
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


class Ledger:
    """Current state in memory, in order of acceptance; each change is on disk before its method returns."""

    def __init__(self, folder: Folder, limit: int, waiting: str = "") -> None:
        """Opens the ledger in `folder` with at most `limit` bytes.

        waiting: set on a standby process, while another process holds the state folder and sends. It is a
        name in hexadecimal digits that no other process has ever used.

        A standby process writes its own file and bodies, in a quarter of the space, and reads nothing that
        belongs to the holder. The holder adopts the files of standby processes that have ended: at its start,
        and by adopt() while it runs. This prevents two processes from sending the same documents or writing
        one file, and prevents the loss of documents of a standby process that ends before the holder does.
        Drawback: the quarter is not reserved, so a holder that fills the folder leaves no space for a
        standby process.
        """
        self._folder = folder
        self._limit = limit - 4 * 4096  # the folder's own directory blocks may count
        self.owed: dict[str, Owed] = {}
        self.ended: dict[str, None] = {}  # finished before the start, but still recorded in the file
        self.waits: dict[str, float] = {}  # by endpoint, wall-clock time until which it asked to wait
        self.recoveries = Recoveries(self._limit)
        self._unsaved_recoveries: dict[str, list] = {}  # by endpoint, records that did not fit on a full disk
        self.freed: Callable[[int], None] = lambda destination: None  # called when a document or call ends
        self._adopted: dict[str, bool] = {}  # adopted standby files, and whether the own file records it
        self._body_bytes = self._file_bytes = self._next_body = 0
        self._handle = -1
        self._name = FILE
        if waiting:
            self._name, self._limit = STANDBY_PREFIX + waiting, self._limit // 4
            self._next_body = STANDBY_FIRST_BODY + int(waiting, 16)
            folder.lock(self._name + LOCK_SUFFIX)  # before the file exists, which others could adopt
            self._handle = folder.open(self._name, fresh=True)
        else:
            self._recover()

    # Recording events

    def fits(self, sizes: list[int]) -> bool:
        """Returns whether there is space for documents with bodies of these sizes."""
        records = (
            RECORD_RESERVE_BYTES * (len(self.owed) + len(sizes))  # for documents
            + recoveries.LINE * len(self.recoveries)  # for endpoints that are recovering
        )
        bodies = self._body_bytes + sum(map(blocks, sizes))
        # The current file and the one that a compaction writes beside it
        return bodies + blocks(2 * records) + blocks(records) + COMPACT_MIN_BYTES <= self._limit

    def take(
        self,
        doc_id: str,
        kind: str,
        destination: int,
        key: str | None,
        expiry: float,
        body: bytes,
        repeat_key: str | None = None,
    ) -> Owed:
        """Stores a newly accepted document.

        Raises OSError if it could not be stored; it is not accepted then."""
        owed = Owed(doc_id, kind, destination, key, expiry, self._next_body, len(body), repeat_key, body)
        self._next_body += 1
        try:
            if body:
                self._folder.write(self._body_name(owed), body)
            self._append(self._take_record(owed))
        except OSError:
            self._remove_body_file(owed)
            raise
        self._body_bytes += blocks(owed.size)
        self.owed[doc_id] = owed
        return owed

    def call(self, owed: Owed, zone: str, when: float) -> None:
        """Records a transmission that is about to be written to its connection.

        Raises OSError if the record could not be written; the transmission must not be sent then."""
        self._append(["call", owed.id, zone, when])
        owed.sent, owed.out = owed.sent + 1, (zone, when)

    def back(self, owed: Owed, doubt: bool, failed: bool) -> None:
        """Records the outcome of the latest transmission, whether or not it was written to its connection.

        A transmission that was never written has its own kind of record. If a full disk lost the outcome of
        the call before it, that call therefore stays in doubt, and its window and zone keep binding the
        document."""
        words = ["back", owed.id, int(doubt), int(failed)] if owed.out else ["kept", owed.id, int(failed)]
        owed.came_back(doubt, failed)
        self._append_or_log(words)
        self._maintain()

    def told(self, endpoint: str, until: float) -> None:
        """Records that an endpoint asked to wait; a successor process, as in an upgrade, honours it too."""
        until = max(until, self.waits.pop(endpoint, until))
        self.waits[endpoint] = until
        if len(self.waits) > MAX_WAITS:
            del self.waits[next(iter(self.waits))]
        self._append_or_log(["wait", endpoint, until])

    def remember(self, now: float, recovery: Recovery) -> None:
        """Records that an endpoint went down, is warming up or is warm; the next process continues there."""
        self._unsaved_recoveries[recovery.endpoint] = self.recoveries.keep(now, recovery)
        if not self._flush_recoveries():
            say(
                log,
                "recovery not noted",
                logging.ERROR,
                endpoint=recovery.endpoint,
                waiting=len(self._unsaved_recoveries),
            )

    def begin_recoveries_anew(self, now: float) -> None:
        """Restarts every recovery stage at `now`, where the previous process's clock cannot be trusted."""
        if len(self.recoveries):
            self.recoveries.begin_anew(now)
            self.compact()
            say(log, "recoveries begin anew: no clock tells their age", endpoints=len(self.recoveries))

    def notice(self, owed: Owed, result: str, wait_ms: float) -> None:
        """Records that a document ended undelivered and that the platform has to be notified."""
        owed.notice = result, wait_ms
        self._append_or_log(["notice", owed.id, result, wait_ms])
        self._release_body(owed)
        self.freed(owed.destination)

    def done(self, owed: Owed) -> None:
        """Records that a document needs nothing more, and removes it."""
        if self.owed.pop(owed.id, None) is None:
            return
        self._append_or_log(["done", owed.id])
        self._release_body(owed)
        self._maintain()

    def close(self) -> None:
        """Closes the file, and releases the standby lock if there is one."""
        self._folder.close(self._handle)
        if self._name != FILE:
            self._folder.unlock(self._name + LOCK_SUFFIX)

    def awaited(self) -> bool:
        """Returns whether a standby process waits for this one to end."""
        return any(not ended for ended in self._standby_files().values())

    def adopt(self) -> list[Owed]:
        """Adopts the documents of standby processes that ended before this one.

        Returns the documents that are new here. A file that could not be adopted whole is retried by the next
        call."""
        found = []
        for name in [
            name for name, ended in self._standby_files().items() if ended and name not in self._adopted
        ]:
            try:
                left = Replayed(self._folder.read(name))
                fresh = [
                    owed
                    for each, owed in left.owed.items()
                    if each not in self.owed and each not in self.ended
                ]
                records = [words for owed in fresh for words in self._snapshot_records(owed)]
                self._append(*records, ["took", name])
            except OSError as problem:
                say(log, "not taken up", logging.ERROR, file=name, problem=problem)
                continue
            self._adopted[name] = True
            for owed in fresh:
                owed.found = True
                self._load_body(owed)
                self.owed[owed.id] = owed
            found += fresh
            say(log, "taken up", file=name, owed=len(fresh))
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
        live_bytes = RECORD_RESERVE_BYTES * len(self.owed) + recoveries.LINE * len(self.recoveries)
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

    def _body_name(self, owed: Owed) -> str:
        return f"body-{owed.number}"

    def _remove_body_file(self, owed: Owed) -> None:
        with contextlib.suppress(OSError):
            self._folder.unlink(self._body_name(owed))

    def _release_body(self, owed: Owed) -> None:
        """Frees the body in memory, on disk and in the space accounting."""
        if owed.size:
            self._remove_body_file(owed)
        self._body_bytes -= blocks(owed.size)
        owed.size = 0
        owed.body = b""

    @staticmethod
    def _encode(words: list) -> bytes:
        """Encodes one record as a line with its CRC-32."""
        text = json.dumps(words, separators=(",", ":")).encode()
        # The newline comes first, so that a torn line ends where the next record begins
        return b"\n%08x %s" % (zlib.crc32(text), text)

    @staticmethod
    def _take_record(owed: Owed) -> list:
        return [
            "take",
            owed.id,
            owed.type,
            owed.destination,
            owed.key,
            owed.expiry,
            owed.number,
            owed.size,
            *([owed.repeat_key] if owed.repeat_key else []),
        ]

    def _append(self, *records: list) -> None:
        """Appends records in one write; raises OSError unless it was written whole."""
        data = b"".join(map(self._encode, records))
        written = self._folder.append(self._handle, data)
        self._file_bytes += written
        if written < len(data):
            raise OSError(f"{written} of {len(data)} bytes written")

    def _append_or_log(self, words: list) -> None:
        """Appends a record of something that has already happened; a write error is only logged."""
        try:
            self._append(words)
        except OSError as problem:
            say(log, "not noted", logging.ERROR, what=words[0], doc=words[1], problem=problem)

    def _snapshot_records(self, owed: Owed) -> list[list]:
        """Returns the fewest records that reproduce this document's current state."""
        words = [self._take_record(owed), ["past", owed.id, owed.sent, owed.failed, owed.out, owed.doubt]]
        return words + ([["notice", owed.id, *owed.notice]] if owed.notice else [])

    def compact(self) -> bool:
        """Rewrites the file with only the current state; the old file is valid until the new one is renamed.

        Returns whether it succeeded."""
        records = [words for owed in self.owed.values() for words in self._snapshot_records(owed)]
        records += [["wait", name, until] for name, until in self.waits.items()]
        records += [["took", name] for name in self._adopted]
        records += self.recoveries.lines()
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
            say(log, "not compacted", logging.ERROR, problem=problem)
            return False
        self._folder.close(self._handle)
        self._handle, self._file_bytes = handle, len(data)
        self._adopted = dict.fromkeys(self._adopted, True)
        self._unsaved_recoveries.clear()
        return True

    # Recovery at the start

    def _recover(self) -> None:
        """Rebuilds the state from standby files and the own file.

        Standby files are replayed first: records about their documents in the own file were written later."""
        own = b""
        standby = self._standby_files()
        with contextlib.suppress(FileNotFoundError):
            own = self._folder.read(FILE)
        adopted = Replayed(own).took if standby else ()
        self._adopted = {name: name in adopted for name, ended in standby.items() if ended}
        texts = [self._folder.read(name) for name, recorded in self._adopted.items() if not recorded]
        past = Replayed(b"\n".join([*texts, own]), self.recoveries)
        self.owed, self.ended, self.waits, self._next_body = past.owed, past.ended, past.waits, past.next
        for owed in self.owed.values():
            owed.found = True
            if owed.out:
                owed.doubt.append(owed.out)  # it may have been executed, and its outcome will never arrive
                owed.out = None
            self._load_body(owed)
        self._remove_stray_files(not all(standby.values()))
        self._handle = self._folder.open(FILE)
        self._remove_adopted_files()
        if own or texts:
            say(log, "recovered", owed=len(self.owed), torn=past.torn, recovering=len(self.recoveries))

    def _load_body(self, owed: Owed) -> None:
        """Reads a document's body; one whose body is missing ends undelivered."""
        if owed.notice:
            owed.size = 0
        if not owed.size:
            return
        with contextlib.suppress(OSError):
            owed.body = self._folder.read(self._body_name(owed))
        if len(owed.body) == owed.size:
            self._body_bytes += blocks(owed.size)
        else:  # it cannot be sent any more, but the platform still has to be notified
            say(log, "body lost", logging.ERROR, doc=owed.id)
            owed.size = 0
            owed.body = b""
            owed.notice = ("dead", 0.0)

    def _remove_stray_files(self, standby_alive: bool) -> None:
        """Removes unfinished files and bodies of no document, except those of a live standby process."""
        wanted = {self._body_name(owed) for owed in self.owed.values() if owed.size}
        for name in self._folder.names():
            number = name[5:] if name.startswith("body-") else ""
            standby_body = standby_alive and number.isdecimal() and int(number) >= STANDBY_FIRST_BODY
            if number and name not in wanted and not standby_body or name.endswith(".new"):
                with contextlib.suppress(OSError):
                    self._folder.unlink(name)


class Replayed:
    """The state that results from replaying a ledger file's records."""

    def __init__(self, text: bytes, known: Recoveries | None = None) -> None:
        """Replays `text`; known: receives the recovery records, which are ignored without it."""
        self._recoveries = Recoveries(0) if known is None else known
        self.owed: dict[str, Owed] = {}
        self.ended: dict[str, None] = {}
        self.waits: dict[str, float] = {}
        self.took: set[str] = set()  # standby files whose documents have been adopted
        self.next = 0  # one above the highest body number
        self.torn = 0  # lines that cannot be read
        for line in filter(None, text.split(b"\n")):
            try:
                if int(line[:8], 16) != zlib.crc32(line[9:]):
                    raise ValueError("sum")
                self._replay(*json.loads(line[9:]))
            except (ValueError, TypeError, KeyError):
                self.torn += 1  # the last record was cut off by a crash, or the disk is damaged
                self._recoveries.replay_cut(line)

    def _replay(self, what: str, doc_id: str, *words) -> None:
        """Applies one record; for some kinds, doc_id is the name of an endpoint or a file."""
        if what == "wait":  # doc_id is an endpoint
            self.waits[doc_id] = max(float(words[0]), self.waits.pop(doc_id, 0.0))
            return
        if what in recoveries.STAGES:  # doc_id is an endpoint
            self._recoveries.replay(what, doc_id, *words)
            return
        if what == "took":  # doc_id is a standby file
            self.took.add(doc_id)
            return
        if what == "take":
            self.owed[doc_id] = Owed(doc_id, *words)
            self.next = max(self.next, self.owed[doc_id].number + 1)
            return
        owed = self.owed[doc_id]
        if what == "call":
            if owed.out:  # the outcome of the call before was not recorded
                owed.doubt.append(owed.out)
            owed.sent, owed.out = owed.sent + 1, (words[0], words[1])
        elif what == "kept":
            owed.sent, owed.failed = owed.sent + 1, owed.failed + words[0]
        elif what == "back":
            owed.came_back(*words)
        elif what == "past":
            owed.sent, owed.failed, out, doubt = words
            owed.out, owed.doubt = tuple(out) if out else None, [(zone, when) for zone, when in doubt]
        elif what == "notice":
            owed.notice = words[0], words[1]
        elif what == "done":
            del self.owed[doc_id]
            self.ended[doc_id] = None
