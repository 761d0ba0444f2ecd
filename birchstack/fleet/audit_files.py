"""The audit log on disk: its files in the folder that lasts, and what a full or broken disk does to them.

Owns the files `trail-*`. Must never raise into what it records: a disk that fails loses trail, never a
document, and the loss is itself recorded once there is room. Writes through net.machine.Folder, the
emulator's seam.

    trail-NAME-FIRST        one segment, by the number of its first record
    trail-NAME-LAST-folded  what the oldest segments came to, up to the record LAST. Never written over: a
                            rename onto a file that is there may wait for the disk
    trail-sound             there while every record was kept; taken away (which needs no room) at the first
                            that was not, so that a process killed before there is room again leaves a sign
"""

from __future__ import annotations

import contextlib
import logging
from collections.abc import Callable

from birchstack.fleet.records import (
    Acted,
    Adopted,
    Damage,
    Folded,
    Gap,
    Life,
    Record,
    frame_of_folded,
    scan,
    time_of,
)
from birchstack.fleet.trail import Trail
from birchstack.net.log import log_event
from birchstack.net.machine import Folder

PREFIX, FOLDED, SOUND = "trail-", "-folded", "trail-sound"
AGAIN_MS = 500.0  # a disk that failed is tried again so much later
log = logging.getLogger(__name__)


class AuditFiles:
    """trail: as it is on disk, kept in memory too."""

    def __init__(self, folder: Folder, limit: int, unique: Callable[[], str]) -> None:
        self._folder, self._limit = folder, limit
        self._handle = -1
        self._lost: list[Record] = []  # not kept: no acts among them, the last of each kind
        self._lost_calls, self._lost_from = 0, 0.0
        self._again_at = 0.0
        self._doubtful: list[Gap] = []  # found at the start, recorded after the Life
        self.trail = self._recover(unique)

    # At the start

    def _recover(self, unique: Callable[[], str]) -> Trail:
        try:
            names = sorted(
                name
                for name in self._folder.names()
                if name.startswith(PREFIX) and not name.endswith(".new") and name != SOUND
            )
        except OSError:
            names = []
        owners = sorted({name[len(PREFIX) :].partition("-")[0] for name in names})
        if not owners:
            self._mark_sound()
            return Trail(unique(), self._limit)
        if len(owners) > 1:
            log_event(
                log, "several trails in one folder", logging.ERROR, names=",".join(owners), goes_on=owners[-1]
            )
        trail = Trail(owners[-1], self._limit)
        mine = [name for name in names if name.startswith(f"{PREFIX}{trail.name}-")]
        for name in reversed([name for name in mine if name.endswith(FOLDED)]):
            if trail.folded:  # older totals: a process ended before they went
                self._unlink(name)
            else:
                self._take_folded(trail, name)
        for name in mine:
            if not name.endswith(FOLDED):
                self._take(trail, name)
        if not self._exists(SOUND):
            self._doubtful.append(Gap(trail.last_ms, 0.0, "the disk was full when a process ended"))
        return trail

    def _exists(self, name: str) -> bool:
        try:
            return name in self._folder.names()
        except OSError:
            return False

    def _unlink(self, name: str) -> None:
        with contextlib.suppress(OSError):
            self._folder.unlink(name)

    def _take_folded(self, trail: Trail, name: str) -> None:
        with contextlib.suppress(OSError):
            for each in scan(self._folder.read(name)):
                if not isinstance(each, Damage) and isinstance(record := each.record(), Folded):
                    trail.take_folded(record)
                    return
        log_event(log, "the trail's totals cannot be read", logging.ERROR, file=name)

    def _take(self, trail: Trail, name: str) -> None:
        """A segment's good frames. Rot is cut out, told once, and leaves a jump of numbers."""
        try:
            data = self._folder.read(name)
        except OSError as problem:
            log_event(log, "a segment of the trail cannot be read", logging.ERROR, file=name, problem=problem)
            return
        first = int(name.rpartition("-")[2])
        if trail.folded and first <= trail.folded.last:  # folded, and a process ended before it went
            self._unlink(name)
            return
        trail.begin(first)
        rotten = torn = False
        for each in scan(data):
            if isinstance(each, Damage):
                rotten, torn = rotten or not each.torn, torn or each.torn
                continue
            before, expected = trail.last_ms, trail.last + 1
            if each.number < expected:
                self._doubtful.append(Gap(before, before, f"record {each.number} is there twice"))
                rotten = True
                continue
            if not trail.take(each):
                until = time_of(each.record()) or before
                lost = each.number - expected
                self._doubtful.append(
                    Gap(
                        before,
                        until,
                        f"rot: {lost} records from {expected}"
                        if lost
                        else f"altered at record {each.number}",
                    )
                )
                rotten = True
        if torn:
            log_event(log, "the trail's last record was not whole", file=name)
        if rotten:
            log_event(log, "rot in the trail", logging.ERROR, file=name)
        if rotten or torn:
            with contextlib.suppress(OSError):
                self._folder.write(name + ".new", bytes(trail.segments[-1].data))
                self._folder.rename(name + ".new", name)
        if not trail.segments[-1].numbers:
            trail.segments.pop()

    # Writing

    def write(self, record: Record, now_ms: float) -> bool:
        """Keeps the record: True once it is in its file, before the caller does what it speaks of."""
        if self._lost_from and not self._recovered(now_ms) or not self._keep(record):
            self._lose(record, now_ms)
            return False
        if type(record) is Life:
            known = self.trail.gaps()  # rot that was cut out still shows as a jump of numbers
            for gap in self._doubtful:
                if (gap.from_ms, gap.why) not in known:
                    self._keep(Gap(gap.from_ms, gap.to_ms or now_ms, gap.why, gap.calls))
            self._doubtful.clear()
            self._mark_sound()
        return True

    def _keep(self, record: Record) -> bool:
        trail = self.trail
        full = not trail.segments or len(trail.segments[-1].data) >= trail.segment_bytes
        if (full or self._handle < 0) and not self._rotate():
            return False
        data, chain = trail.frame(record)
        try:
            if self._folder.append(self._handle, data) < len(data):
                raise OSError("no room")
        except OSError as problem:
            log_event(log, "a record of the trail was not kept", logging.ERROR, problem=problem)
            self._close()  # what was half written lies at a file's end, where it counts as torn
            return False
        trail.put(record, data, chain)
        return True

    def _rotate(self) -> bool:
        """A new file for what comes next; the oldest is folded where there would be too much."""
        trail = self.trail
        self._close()
        try:
            self._handle = self._folder.open(f"{PREFIX}{trail.name}-{trail.last + 1:012d}", fresh=True)
        except OSError as problem:
            log_event(log, "no file for the trail", logging.ERROR, problem=problem)
            return False
        if not trail.segments or trail.segments[-1].numbers:
            trail.begin()
        while trail.too_much() and self._fold():
            pass
        return True

    def _fold(self) -> bool:
        """The totals first, then the segment goes: at any moment between, the start finds both or one."""
        trail = self.trail
        folded = trail.fold()
        name = f"{PREFIX}{trail.name}-{folded.last:012d}{FOLDED}"
        try:
            self._folder.write(name + ".new", frame_of_folded(folded))
            self._folder.rename(name + ".new", name)
        except OSError as problem:  # over the bound for now; tried again with the next segment
            log_event(log, "the trail was not folded", logging.ERROR, problem=problem)
            return False
        if trail.folded:
            self._unlink(f"{PREFIX}{trail.name}-{trail.folded.last:012d}{FOLDED}")
        gone = trail.folds(folded)
        self._unlink(f"{PREFIX}{trail.name}-{gone.first:012d}")
        return True

    def _close(self) -> None:
        if self._handle >= 0:
            with contextlib.suppress(OSError):
                self._folder.close(self._handle)
            self._handle = -1

    def _mark_sound(self) -> None:
        with contextlib.suppress(OSError):
            self._folder.write(SOUND, b"")

    # A disk that fails

    def _lose(self, record: Record, now_ms: float) -> None:
        if not self._lost_from:
            self._lost_from = now_ms
            with contextlib.suppress(OSError):
                self._folder.unlink(SOUND)
        self._again_at = self._again_at or now_ms + AGAIN_MS
        if isinstance(record, Acted):
            self._lost_calls += len(record.calls) // 2
            return
        if isinstance(record, Adopted):
            self._lost = [
                each
                for each in self._lost
                if not (isinstance(each, Adopted) and each.version.kind == record.version.kind)
            ]
        self._lost.append(record)

    def _recovered(self, now_ms: float) -> bool:
        """Tries the disk again: the gap first, then what was adopted in it."""
        if now_ms < self._again_at:
            return False
        self._again_at = now_ms + AGAIN_MS
        lives = [each for each in self._lost if isinstance(each, Life)]
        gap = Gap(self._lost_from, now_ms, "the disk failed", self._lost_calls)
        for each in [*lives, gap, *(each for each in self._lost if not isinstance(each, Life))]:
            if not self._keep(each):
                return False
        self._lost.clear()
        self._lost_calls, self._lost_from, self._again_at = 0, 0.0, 0.0
        self._mark_sound()
        return True

    def retry(self, now_ms: float) -> None:
        """A sender that does nothing more must not leave its loss untold."""
        if self._lost_from:
            self._recovered(now_ms)

    @property
    def failing(self) -> bool:
        return bool(self._lost_from)

    def close(self) -> None:
        self._close()
