"""The audit trail on disk: its files in the persistent folder, and the handling of a full or failing disk.

Owns the files `trail-*`. Must never raise into the sender whose actions it records: a failing disk loses
audit records, never a document, and the loss is itself recorded once writing works again. Writes through
net.machine.Folder, which the emulator replaces.

    trail-NAME-FIRST        one segment, by the number of its first record
    trail-NAME-LAST-folded  totals of the compacted segments up to the record LAST. Never overwritten: a
                            rename onto an existing file may wait for the disk
    trail-sound             exists while every record was stored; removed (which needs no space) at the first
                            that was not, so that a process killed before space is free again leaves a marker
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable

from birchstack.fleet.records import (
    CompactedRecords,
    Damage,
    Gap,
    ProcessStart,
    Record,
    TurnActions,
    VersionAdopted,
    compacted_frame,
    record_time_ms,
    scan_frames,
)
from birchstack.fleet.trail import AuditTrail
from birchstack.net.log import log_event
from birchstack.net.machine import Folder

PREFIX = "trail-"
COMPACTED_SUFFIX = "-folded"
COMPLETE_MARKER = "trail-sound"
RETRY_DELAY_MS = 500.0  # time after which a failed disk is tried again
log = logging.getLogger(__name__)


class AuditFiles:
    """Stores records on disk; trail: the stored records, also in memory."""

    def __init__(self, folder: Folder, limit: int, unique: Callable[[], str]) -> None:
        self._folder = folder
        self._limit = limit
        self._handle = -1
        self._unwritten: list[Record] = []  # records not stored: no turns, and the last adoption of each kind
        self._unwritten_calls = 0
        self._failing_since_ms = 0.0
        self._retry_at_ms = 0.0
        self._recovered_gaps: list[Gap] = []  # found at the start, recorded after the start of the process
        self.trail = self._recover(unique)

    # Recovery at the start

    def _recover(self, unique: Callable[[], str]) -> AuditTrail:
        """Restore the trail from the files; a new one is named by unique()."""
        try:
            names = sorted(
                name
                for name in self._folder.names()
                if name.startswith(PREFIX) and not name.endswith(".new") and name != COMPLETE_MARKER
            )
        except OSError:
            names = []
        trail_names = sorted({name[len(PREFIX) :].partition("-")[0] for name in names})
        if not trail_names:
            self._mark_complete()
            return AuditTrail(unique(), self._limit)
        if len(trail_names) > 1:
            log_event(
                log,
                "several audit trails in one folder",
                logging.ERROR,
                names=",".join(trail_names),
                goes_on=trail_names[-1],
            )
        trail = AuditTrail(trail_names[-1], self._limit)
        own_files = [name for name in names if name.startswith(f"{PREFIX}{trail.name}-")]
        for name in reversed([name for name in own_files if name.endswith(COMPACTED_SUFFIX)]):
            if trail.compacted:  # older totals, left by a process that ended before it removed them
                self._unlink(name)
            else:
                self._restore_compacted(trail, name)
        for name in own_files:
            if not name.endswith(COMPACTED_SUFFIX):
                self._restore_segment(trail, name)
        if not self._exists(COMPLETE_MARKER):
            self._recovered_gaps.append(Gap(trail.last_ms, 0.0, "the disk was full when a process ended"))
        return trail

    def _exists(self, name: str) -> bool:
        try:
            return name in self._folder.names()
        except OSError:
            return False

    def _unlink(self, name: str) -> None:
        with contextlib.suppress(OSError):
            self._folder.unlink(name)

    def _restore_compacted(self, trail: AuditTrail, name: str) -> None:
        with contextlib.suppress(OSError):
            for each in scan_frames(self._folder.read(name)):
                if not isinstance(each, Damage) and isinstance(record := each.record(), CompactedRecords):
                    trail.restore_compacted(record)
                    return
        log_event(log, "compacted audit records unreadable", logging.ERROR, file=name)

    def _restore_segment(self, trail: AuditTrail, name: str) -> None:
        """Restore the valid frames of a segment.

        Corrupted ranges are cut out and reported once; they leave a jump in the record numbers.
        """
        try:
            data = self._folder.read(name)
        except OSError as problem:
            log_event(log, "audit segment unreadable", logging.ERROR, file=name, problem=problem)
            return
        first = int(name.rpartition("-")[2])
        if trail.compacted and first <= trail.compacted.last:
            self._unlink(name)  # left by a process that ended before it removed the compacted segment
            return
        trail.begin_segment(first)
        corrupted = torn = False
        for each in scan_frames(data):
            if isinstance(each, Damage):
                corrupted, torn = corrupted or not each.torn, torn or each.torn
                continue
            last_ms, expected = trail.last_ms, trail.last + 1
            if each.number < expected:
                self._recovered_gaps.append(Gap(last_ms, last_ms, f"record {each.number} is there twice"))
                corrupted = True
                continue
            if not trail.restore_frame(each):
                until_ms = record_time_ms(each.record()) or last_ms
                missing = each.number - expected
                self._recovered_gaps.append(
                    Gap(
                        last_ms,
                        until_ms,
                        f"rot: {missing} records from {expected}"
                        if missing
                        else f"altered at record {each.number}",
                    )
                )
                corrupted = True
        if torn:
            log_event(log, "last audit record incomplete", file=name)
        if corrupted:
            log_event(log, "audit segment corrupted", logging.ERROR, file=name)
        if corrupted or torn:
            with contextlib.suppress(OSError):
                self._folder.write(name + ".new", bytes(trail.segments[-1].data))
                self._folder.rename(name + ".new", name)
        if not trail.segments[-1].numbers:
            trail.segments.pop()

    # Writing

    def write(self, record: Record, now_ms: float) -> bool:
        """Store a record, before the caller does what it describes. Returns whether it was stored."""
        if self._failing_since_ms and not self._try_recovery(now_ms) or not self._store(record):
            self._remember_unwritten(record, now_ms)
            return False
        if type(record) is ProcessStart:
            known = self.trail.recorded_gaps()  # corruption that was cut out still shows as a jump of numbers
            for gap in self._recovered_gaps:
                if (gap.from_ms, gap.why) not in known:
                    self._store(Gap(gap.from_ms, gap.to_ms or now_ms, gap.why, gap.calls))
            self._recovered_gaps.clear()
            self._mark_complete()
        return True

    def _store(self, record: Record) -> bool:
        """Append a record to the current file. Returns whether it was stored."""
        trail = self.trail
        full = not trail.segments or len(trail.segments[-1].data) >= trail.segment_bytes
        if (full or self._handle < 0) and not self._rotate():
            return False
        data, chain = trail.encode_frame(record)
        try:
            if self._folder.append(self._handle, data) < len(data):
                raise OSError("incomplete write, no space left")
        except OSError as problem:
            log_event(log, "a record of the trail was not kept", logging.ERROR, problem=problem)
            self._close()  # the incomplete frame is then at the end of a file, where it counts as torn
            return False
        trail.append(record, data, chain)
        return True

    def _rotate(self) -> bool:
        """Begin a new file, compacting the oldest segments if necessary. Returns whether it was opened."""
        trail = self.trail
        self._close()
        try:
            self._handle = self._folder.open(f"{PREFIX}{trail.name}-{trail.last + 1:012d}", fresh=True)
        except OSError as problem:
            log_event(log, "audit segment not created", logging.ERROR, problem=problem)
            return False
        if not trail.segments or trail.segments[-1].numbers:
            trail.begin_segment()
        while trail.needs_compaction() and self._compact():
            pass
        return True

    def _compact(self) -> bool:
        """Compact the oldest segment. Returns whether the totals were stored.

        Stores the totals before it removes the segment: a restart in between finds both or one of them.
        """
        trail = self.trail
        compacted = trail.compact_oldest()
        name = f"{PREFIX}{trail.name}-{compacted.last:012d}{COMPACTED_SUFFIX}"
        try:
            self._folder.write(name + ".new", compacted_frame(compacted))
            self._folder.rename(name + ".new", name)
        except OSError as problem:  # exceeds the size limit for now; retried with the next segment
            log_event(log, "audit segment not compacted", logging.ERROR, problem=problem)
            return False
        if trail.compacted:
            self._unlink(f"{PREFIX}{trail.name}-{trail.compacted.last:012d}{COMPACTED_SUFFIX}")
        removed = trail.apply_compaction(compacted)
        self._unlink(f"{PREFIX}{trail.name}-{removed.first:012d}")
        return True

    def _close(self) -> None:
        if self._handle >= 0:
            with contextlib.suppress(OSError):
                self._folder.close(self._handle)
            self._handle = -1

    def _mark_complete(self) -> None:
        with contextlib.suppress(OSError):
            self._folder.write(COMPLETE_MARKER, b"")

    # Failing disk

    def _remember_unwritten(self, record: Record, now_ms: float) -> None:
        """Remember a record that could not be stored; of turns only the number of calls."""
        if not self._failing_since_ms:
            self._failing_since_ms = now_ms
            with contextlib.suppress(OSError):
                self._folder.unlink(COMPLETE_MARKER)
        self._retry_at_ms = self._retry_at_ms or now_ms + RETRY_DELAY_MS
        if isinstance(record, TurnActions):
            self._unwritten_calls += len(record.calls) // 2
            return
        if isinstance(record, VersionAdopted):
            self._unwritten = [
                each
                for each in self._unwritten
                if not (isinstance(each, VersionAdopted) and each.version.kind == record.version.kind)
            ]
        self._unwritten.append(record)

    def _try_recovery(self, now_ms: float) -> bool:
        """Try the disk again: record the gap first, then what was adopted during it. Returns the success."""
        if now_ms < self._retry_at_ms:
            return False
        self._retry_at_ms = now_ms + RETRY_DELAY_MS
        starts = [each for each in self._unwritten if isinstance(each, ProcessStart)]
        gap = Gap(self._failing_since_ms, now_ms, "the disk failed", self._unwritten_calls)
        for each in [*starts, gap, *(each for each in self._unwritten if not isinstance(each, ProcessStart))]:
            if not self._store(each):
                return False
        self._unwritten.clear()
        self._unwritten_calls = 0
        self._failing_since_ms = 0.0
        self._retry_at_ms = 0.0
        self._mark_complete()
        return True

    def retry(self, now_ms: float) -> None:
        """Try a failing disk again, so that a sender without further actions still records its gap."""
        if self._failing_since_ms:
            self._try_recovery(now_ms)

    @property
    def failing(self) -> bool:
        """Whether records are being lost at the moment."""
        return bool(self._failing_since_ms)

    def close(self) -> None:
        """Close the current file."""
        self._close()
