"""Write-ahead log of the documents that this sender has accepted and not yet finished.

Owns the ledger file in the state folder, with one checksummed line per record, and one file per document
body. Must never exceed the disk limit (old and compacted file together, in whole blocks), which the ledgers
of all processes of the sender keep together (disk_usage.py). Must never decide what follows from the
recovered state, and never call fsync: records have to survive the process, not the operating system.
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable, Iterable
from dataclasses import replace

from birchstack.interface import Recovery
from birchstack.net import content, disk_usage, recoveries
from birchstack.net.disk_usage import (
    COMPACT_MIN_BYTES,
    RECORD_RESERVE_BYTES,
    Peer,
    Usage,
    round_up_to_blocks,
)
from birchstack.net.ended import EndedDocuments
from birchstack.net.ledger_records import (
    STANDBY_FIRST_BODY,
    LedgerEntry,
    LedgerReplay,
    accepted_records,
    done_record,
    encode,
    notice_record,
    snapshot_records,
)
from birchstack.net.log import log_event
from birchstack.net.machine import Folder
from birchstack.net.recoveries import RecoveryRecords
from birchstack.net.standby import LedgerFollower

FILE = "ledger"
STANDBY_PREFIX = "ledger-next-"  # file of a process that waits while another one holds the state folder
LOCK_SUFFIX = ".lock"  # lock file that shows that the standby process is alive
UNLIMITED_BYTES = 1 << 62
MAX_WAITS = 256  # endpoint waits kept; the oldest are evicted
log = logging.getLogger(__name__)


def is_standby_file(name: str) -> bool:
    """Returns whether a file in the state folder is the ledger of a standby process."""
    return name.startswith(STANDBY_PREFIX) and "." not in name


class Ledger:
    """Current state in memory, in order of acceptance; each change is on disk before its method returns."""

    def __init__(
        self,
        folder: Folder,
        limit: int,
        standby_name: str = "",
        divert: Callable[[LedgerEntry], bool] = lambda entry: False,
        max_memory_bytes: int = UNLIMITED_BYTES,
    ) -> None:
        """Opens the ledger in `folder`, which has at most `limit` bytes with the ledgers of all processes.

        max_memory_bytes: of the documents of all processes; beyond it there is no space for another one.

        standby_name: set on a standby process, while another process holds the state folder and sends. It is
        a name in hexadecimal digits that no other process has ever used. divert(entry): returns True if a
        document of a standby process is held elsewhere, or was put there now; raises OSError if it could not.

        A standby process writes its own file and bodies, in its share of the space. The holder takes its
        documents over: those of a live standby process by claim_standby(), those of one that has ended by
        adopt_standby() or at its own start. From then on they are the holder's, in their order of acceptance,
        and the standby process drops them (drop_claimed()). This prevents two processes from sending the same
        documents or writing one file, and the loss of documents of a standby process that ends before the
        holder. Drawback: a holder that had filled the folder before leaves no space for a standby process.
        """
        self._folder = folder
        self._divert = divert
        self._followers: dict[str, LedgerFollower] = {}  # by file, of live standby processes
        self._unclaimed: dict[str, LedgerEntry] = {}  # accepted by them, not taken over yet
        self._holder: LedgerFollower | None = None  # on a standby process
        self.claimed_at_start: set[str] = set()  # documents of standby processes that are alive
        self._max_memory_bytes = max_memory_bytes
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
            self._name = STANDBY_PREFIX + standby_name
            self._next_body = STANDBY_FIRST_BODY + int(standby_name, 16)
            folder.lock(self._name + LOCK_SUFFIX)  # before the file exists, which others could adopt
            self._handle = folder.open(self._name, fresh=True)
            self._holder = LedgerFollower(folder, FILE, self._limit)
        else:
            self._recover()

    # Recording events

    def has_space(self, sizes: list[int]) -> bool:
        """Returns whether there is space for documents with bodies of these sizes."""
        own = self._usage().with_bodies(sizes)
        return disk_usage.has_space(
            own, self._holder is not None, self._peers(), self._limit, self._max_memory_bytes
        )

    def _usage(self) -> Usage:
        recovering = recoveries.RECORD_BYTES * len(self.recoveries)
        return Usage(len(self.entries), self._body_bytes, recovering + self.remembered.record_bytes)

    def _peers(self) -> list[Peer]:
        """Returns what the other processes have, each document counted for one process only."""
        standby = [Peer(self._unclaimed_usage(each), True) for each in self._followers.values()]
        return [Peer(self._holder.replay.usage(), False), *standby] if self._holder else standby

    def _unclaimed_usage(self, standby: LedgerFollower) -> Usage:
        """Returns what a standby process has that the holder has not taken over."""
        entries = standby.replay.entries
        if self._holder:
            unclaimed = [each for each in entries.values() if not self._holder.replay.knows(each.id)]
        else:
            unclaimed = [each for each in self._unclaimed.values() if entries.get(each.id) is each]
        return Usage().with_bodies([0 if each.notice else each.size for each in unclaimed])

    def add(
        self,
        doc_id: str,
        kind: str,
        destination: int,
        key: str | None,
        expiry: float,
        body: bytes,
        repeat_key: str | None = None,
        accepted_at: float = 0.0,
    ) -> LedgerEntry:
        """Stores a newly accepted document; accepted_at: the time, on a standby process.

        Raises OSError if it could not be stored; it is not accepted then."""
        entry = LedgerEntry(
            doc_id, kind, destination, key, expiry, self._next_body, len(body), repeat_key, body
        )
        entry.accepted_at = accepted_at
        self._next_body += 1
        try:
            if body:
                self._folder.write(self._body_name(entry), body)
            self._append(*accepted_records(entry))
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
        entry.stored_content = entry.content
        entry.notice = result, wait_ms
        self._append_or_log(notice_record(entry))
        self._release_body(entry)
        self.on_freed(entry.destination)

    def finish(self, entry: LedgerEntry) -> None:
        """Records that a document needs nothing more, and removes it."""
        if self.entries.pop(entry.id, None) is None:
            return
        self.remembered.add(entry.id, entry.expiry, entry.content)
        self._append_or_log(done_record(entry))
        self._release_body(entry)
        self._maintain()

    def knows(self, doc_id: str) -> bool:
        """Returns whether this sender accepted a document with this id, in this process or another.

        It is held, or ended not long ago."""
        return self._knows_itself(doc_id) or any(each.replay.knows(doc_id) for each in self._others())

    def content_of(self, doc_id: str) -> str | None:
        """Returns the digest of the content of a document that this sender accepted; None if it is unknown.

        It is content.UNKNOWN if the document is known and its content is not."""
        if entry := self.entries.get(doc_id):
            return entry.content
        if doc_id in self.remembered:
            return self.remembered.content_of(doc_id)
        for replay in (each.replay for each in self._others()):
            if entry := replay.entries.get(doc_id):
                with contextlib.suppress(OSError):
                    return self._with_body(replace(entry)).content
                return content.UNKNOWN
            if doc_id in replay.remembered:
                return replay.remembered.content_of(doc_id)
        return None

    def forget_ended(self, now: float) -> None:
        """Forgets documents that ended so long ago that no repeat of them can arrive."""
        for remembered in (self.remembered, *(each.replay.remembered for each in self._others())):
            remembered.forget(now)

    def _others(self) -> list[LedgerFollower]:
        return [*self._followers.values(), *([self._holder] if self._holder else [])]

    def _knows_itself(self, doc_id: str) -> bool:
        return doc_id in self.entries or doc_id in self.remembered

    def save_lost_records(self) -> None:
        """Writes the current state anew if an earlier write failed; to be called from time to time.

        Without it, a document that had its notice while the folder failed would be sent after a restart.
        """
        if self._records_lost:
            self.compact()

    def close(self) -> None:
        """Closes the files, and releases the standby lock if there is one."""
        for follower in self._others():
            follower.close()
        self._folder.close(self._handle)
        if self._name != FILE:
            self._folder.unlock(self._name + LOCK_SUFFIX)

    def has_standby(self) -> bool:
        """Returns whether a standby process waits for this one to end; False if the folder cannot be read."""
        try:
            return any(not ended for ended in self._standby_files().values())
        except OSError as problem:
            log_event(log, "standby processes not looked for", logging.ERROR, problem=problem)
            return False

    def find_standby(self) -> None:
        """Looks for other standby processes, to be followed from now on; raises OSError if that failed."""
        if self._holder is None:
            self._follow(self._list_standby_files())
            return
        names = [each for each in self._folder.names() if is_standby_file(each) and each != self._name]
        self._follow(names)

    def _follow(self, names: Iterable[str]) -> None:
        wanted = [name for name in names if name not in self._adopted]
        for name in wanted:
            if name not in self._followers:
                self._followers[name] = LedgerFollower(self._folder, name, self._limit)
        for name in [each for each in self._followers if each not in wanted]:
            self._followers.pop(name).close()

    @property
    def follows_standby(self) -> bool:
        """Whether there are standby processes, as far as find_standby() has found."""
        return bool(self._followers)

    def follow_standby(self) -> None:
        """Reads what standby processes have written; raises OSError if that failed."""
        for follower in self._followers.values():
            follower.poll()
            self._unclaimed.update((entry.id, entry) for entry in follower.pop_accepted())

    def claim_standby(self) -> list[LedgerEntry]:
        """Takes over what standby processes have accepted, and returns the documents in that order.

        Raises OSError if some could not be read or recorded; they are claimed by a later call."""
        self.follow_standby()
        if not self._unclaimed:
            return []
        claimed = self._take_over(
            [replace(entry) for entry in self._unclaimed.values() if entry.notice is None]
        )
        self._unclaimed.clear()
        return claimed

    def drop_claimed(self) -> list[LedgerEntry]:
        """On a standby process: drops the documents that the holder has taken over, and returns them.

        Raises OSError if the holder's file or another standby process's cannot be read."""
        self._poll_other_standby()
        before = self._holder.replay, self._holder.replay.ended_records
        if not self._holder.poll():
            return []
        replay = self._holder.replay
        fresh = self._holder.pop_ids()
        if (replay, replay.ended_records) == before:
            claimed = [self.entries[each] for each in fresh if each in self.entries]
        else:  # a compacted file has only digests of documents that have ended
            claimed = [entry for entry in self.entries.values() if replay.knows(entry.id)]
        for entry in claimed:
            del self.entries[entry.id]
            self._body_bytes -= round_up_to_blocks(entry.size)
            held = replay.entries.get(entry.id)
            if held is None or held.body_number != entry.body_number:  # it needs no body, or has its own
                self._remove_body_file(entry)
        self._maintain()
        return claimed

    def _poll_other_standby(self) -> None:
        """On a standby process: reads what other standby processes have written; some have ended."""
        for name, follower in [*self._followers.items()]:
            try:
                follower.poll()
            except FileNotFoundError:
                self._followers.pop(name).close()

    def adopt_standby(self) -> list[LedgerEntry]:
        """Adopts the documents of standby processes that ended before this one.

        Returns the documents that are new here. A file that could not be adopted whole is retried by the next
        call."""
        try:
            files = self._list_standby_files()
        except OSError:
            return []
        self._follow(files)
        replays = {}
        for name in [name for name, ended in files.items() if ended and name not in self._adopted]:
            try:
                replays[name] = LedgerReplay(self._folder.read(name))
            except OSError as problem:
                log_event(log, "not taken up", logging.ERROR, file=name, problem=problem)
        fresh = self._adopt(replays) if replays else []
        self._remove_adopted_files()
        return fresh

    def _adopt(self, replays: dict[str, LedgerReplay]) -> list[LedgerEntry]:
        entries = [entry for replay in replays.values() for entry in replay.entries.values()]
        try:
            fresh = self._take_over(entries, *(["took", name] for name in replays))
        except OSError as problem:
            log_event(log, "not taken up", logging.ERROR, file=",".join(replays), problem=problem)
            return []
        for name, replay in replays.items():
            self._adopted[name] = True
            if follower := self._followers.pop(name, None):
                follower.close()
            self.remembered.merge(replay.remembered)
        for entry in entries:
            self._unclaimed.pop(entry.id, None)
        for entry in fresh:
            entry.recovered = True
        log_event(log, "taken up", file=",".join(replays), owed=len(fresh))
        return fresh

    def _take_over(self, entries: list[LedgerEntry], *records: list) -> list[LedgerEntry]:
        """Records documents of standby processes as this process's own, then some other records.

        Returns those that are new here, in the order of their acceptance. Raises OSError if that failed."""
        fresh, diverted = self._select_fresh(entries)
        written = [words for entry in fresh for words in snapshot_records(entry)]
        for entry in diverted:
            self.remembered.add(entry.id, entry.expiry, entry.content)
            written += self.remembered.records_of(entry.id)
        if written or records:
            self._append(*written, *records)
        for entry in fresh:
            self._load_body(entry)
            self.entries[entry.id] = entry
        for entry in entries:  # held here with another body, or elsewhere
            held = self.entries.get(entry.id)
            if held is None or held.body_number != entry.body_number:
                self._remove_body_file(entry)
        return fresh

    def _select_fresh(self, entries: list[LedgerEntry]) -> tuple[list[LedgerEntry], list[LedgerEntry]]:
        """Returns the documents that are new here, in the order of acceptance, and those held elsewhere."""
        fresh: list[LedgerEntry] = []
        diverted: list[LedgerEntry] = []
        for entry in sorted(entries, key=lambda entry: entry.accepted_at):
            if self._knows_itself(entry.id):
                continue
            try:
                elsewhere = entry.notice is None and self._divert(self._with_body(entry))
            except OSError:
                if self._handle >= 0:
                    raise
                elsewhere = False  # at the start there is no later try
            (diverted if elsewhere else fresh).append(entry)
        return fresh, diverted

    def _with_body(self, entry: LedgerEntry) -> LedgerEntry:
        """Returns the document with its body; raises OSError if that exists and cannot be read."""
        if entry.size:
            with contextlib.suppress(FileNotFoundError):
                entry.body = self._folder.read(self._body_name(entry))
        return entry

    def _standby_files(self) -> dict[str, bool]:
        """Returns the files of standby processes, and whether the process of each has ended.

        A file without a lock file is from a version that had none; its process counts as ended only at this
        process's start, when the state folder is no longer held."""
        with contextlib.suppress(OSError):
            return self._list_standby_files()
        return {}

    def _list_standby_files(self) -> dict[str, bool]:
        names = self._folder.names()
        return {
            name: self._folder.lock(name + LOCK_SUFFIX)
            for name in sorted(names)
            if is_standby_file(name) and (self._handle < 0 or name + LOCK_SUFFIX in names)
        }

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

    def _append(self, *records: list) -> None:
        """Appends records in one write; raises OSError unless it was written whole."""
        data = b"".join(map(encode, records))
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

    def compact(self) -> bool:
        """Rewrites the file with only the current state; the old file is valid until the new one is renamed.

        Returns whether it succeeded."""
        records = self.remembered.records()
        records += [words for entry in self.entries.values() for words in snapshot_records(entry)]
        records += [["wait", name, until] for name, until in self.waits.items()]
        records += [["took", name] for name in self._adopted]
        records += self.recoveries.records()
        data = b"".join(map(encode, records))
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

        What standby processes accepted comes after what the own file has, in the order of acceptance: before
        the holder accepts a document of an ordered type it takes over what they have accepted so far."""
        own = b""
        standby = self._standby_files()
        with contextlib.suppress(FileNotFoundError):
            own = self._folder.read(FILE)
        adopted = LedgerReplay(own).adopted_files if standby else ()
        self._adopted = {name: name in adopted for name, ended in standby.items() if ended}
        texts = [self._folder.read(name) for name, recorded in self._adopted.items() if not recorded]
        others = [LedgerReplay(text, self.recoveries) for text in texts]
        past = LedgerReplay(own, self.recoveries)
        self.entries, self.ended, self.remembered = past.entries, past.ended, past.remembered
        self.waits, self._next_body = past.waits, past.next_body
        for other in others:
            self.remembered.merge(other.remembered)
        self._follow(name for name, ended in standby.items() if not ended)
        live = self._poll_at_start()
        accepted = [entry for other in others for entry in other.entries.values()]
        fresh, diverted = self._select_fresh(accepted + live)
        self.entries.update((entry.id, entry) for entry in fresh)
        for entry in diverted:
            self.remembered.add(entry.id, entry.expiry, entry.content)
        for entry in self.entries.values():
            entry.recovered = True
            if entry.in_flight:
                entry.in_doubt.append(entry.in_flight)  # its outcome will never arrive
                entry.in_flight = None
            self._load_body(entry)
        self._remove_stray_files(not all(standby.values()))
        self._handle = self._folder.open(FILE)
        self._record_claimed_at_start(live)
        self._remove_adopted_files()
        if own or texts:
            log_event(
                log,
                "recovered",
                owed=len(self.entries),
                torn=past.unreadable + sum(other.unreadable for other in others),
                recovering=len(self.recoveries),
            )

    def _poll_at_start(self) -> list[LedgerEntry]:
        """Returns what live standby processes have accepted so far."""
        try:
            self.follow_standby()
        except OSError as problem:
            log_event(log, "not taken up", logging.ERROR, problem=problem)
            return []
        return [replace(entry) for entry in self._unclaimed.values() if entry.notice is None]

    def _record_claimed_at_start(self, live: list[LedgerEntry]) -> None:
        """Records the documents of live standby processes; where that fails they stay with their process."""
        claimed = [entry for entry in live if self.entries.get(entry.id) is entry]
        if not live or self.compact():
            self._unclaimed.clear()
            self.claimed_at_start.update(entry.id for entry in claimed)
            return
        for entry in claimed:
            del self.entries[entry.id]
            self._body_bytes -= round_up_to_blocks(entry.size)

    def _load_body(self, entry: LedgerEntry) -> None:
        """Reads a document's body; one whose body is missing ends undelivered."""
        if entry.notice:
            entry.size = 0
        if not entry.size:
            return
        if len(entry.body) != entry.size:
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
