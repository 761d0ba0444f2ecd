"""The backlog on disk: documents beyond their destination's window, recorded when append() returns.

Owns the segments (one log for each destination) and the position where each destination's waiting documents
begin. Must never decide anything about a document, hold one in memory after its record is written, or read
all waiting documents at a start. Layout, crash points and bounds: docs/notes/backlog.md.

Two processes must not open the same folder: whoever opens a backlog holds the sender's lock.
"""

from __future__ import annotations

import contextlib
import heapq
import logging
from collections import OrderedDict, deque
from collections.abc import Generator, Iterable, Iterator
from dataclasses import dataclass
from math import inf, nextafter

import msgspec

from birchstack.backlog import PREFIX
from birchstack.backlog.index import Index
from birchstack.backlog.manifest import Manifest
from birchstack.backlog.plan import (
    ID_ENTRY,
    IDS,
    MANIFEST,
    MAX_ENTRY,
    OFFSET_MASK,
    TIME_ENTRY,
    TIMES,
    Run,
    Sizes,
    allocated_size,
    expiry_limit,
    hash_id,
    pack_position,
    parse_name,
    segment_name,
    time_entry,
)
from birchstack.backlog.replay import DestinationState, Replay
from birchstack.backlog.runs import CorruptionError
from birchstack.backlog.settings import Settings
from birchstack.ledger.records import (
    HEAD,
    Ended,
    Kept,
    Marks,
    Moved,
    Record,
    Scanner,
    State,
    Whole,
    frame,
    frame_length,
    head,
    unframe,
)
from birchstack.net.log import log_event
from birchstack.net.machine import Folder

READ_SIZE = 65536  # bytes of one read of a segment
FIRST_READ_SIZE = 16384  # bytes of the first read of a segment in a scan
MAX_OPEN_SEGMENTS = 64  # file descriptors open for appending
MAX_REMEMBERED_READS = 64  # destinations whose last read() is remembered for moved()
DOCUMENT_READ_SIZE = 4096  # bytes read for one document at first; a second read follows if it is longer
RUN_KINDS = (IDS, TIMES)
RECORD_OVERHEAD_BYTES = 256  # bytes of a document's record besides its body
DESTINATIONS_PER_STATE = 128  # destinations in one State record of a snapshot
REMOVALS_PER_STEP = 4  # files
MAX_REPORTED_DAMAGE = 4096  # damaged parts of segments that are logged, and remembered as logged
BALLAST_RESERVE_BYTES = 1 << 20  # room that documents never take, for the ballast
MIN_OBSOLETE_ENTRIES = 1024  # in the heap of ended entries, beside a half, before it is rebuilt
SIZES = Sizes()
log = logging.getLogger(__name__)


@dataclass(slots=True)
class ReadRecord:
    """A record that a read passed.

    end is the position after the record and ordinal the number of records up to there; ended tells whether
    the document had ended when it was read.
    """

    id: str
    entry: bytes
    position: int
    end: int
    ordinal: int
    ended: bool
    taken: float


class Backlog:
    """The backlog in a folder; birchstack.backlog.model has the same interface in its simplest form.

    append(), moved() and the reads raise OSError, and then nothing has changed. read() and due() may return
    fewer documents than there are, even none, where many ended documents come first: waiting() and next_due()
    show whether there are more, and the caller repeats the call in its next turn.
    """

    def __init__(self, folder: Folder, settings: Settings, now: float, sizes: Sizes = SIZES) -> None:
        self._folder = folder
        self._capacity_bytes = settings.bytes
        self._sizes = sizes
        self._last_number = 0  # the highest file number in use
        self._states: dict[int, DestinationState] = {}
        self._waiting_count = 0
        self._used_bytes = 0
        self._unindexed_bytes = 0  # bytes of the records written since the last checkpoint
        self._retained_count = 0  # records from the start positions on, whether waiting or ended
        self.lost = 0  # documents lost to corruption since the process started
        self._watermark = time_entry(0.0, 0, 0)  # the documents of all entries below it have ended
        self._now = now
        self._ended: dict[int, bytes] = {}  # by position: entries from the watermark on that have ended
        self._ended_heap: list[bytes] = []  # the same entries as a heap; may hold obsolete ones
        self._offered: dict[str, tuple[bytes, Kept]] = {}  # returned by due(), until they end or move
        self._last_reads: OrderedDict[int, list[ReadRecord]] = OrderedDict()
        self._handles: OrderedDict[int, int] = OrderedDict()  # by destination
        self._obsolete_files: deque[tuple[str, int]] = deque()  # names and sizes of files to remove
        self._unindexed_destinations: set[int] = set()  # those written to since the last checkpoint
        self._jobs: dict[str, Generator[None, None, None]] = {}
        # Checkpoints of the flush in progress: destination, its state, segment, size, total
        self._flush_checkpoints: list[tuple[int, DestinationState, int, int, int]] = []
        self._flush_count = 0
        self._step_failed = False  # whether the last step failed with an OSError
        self._corrupt_runs: dict[int, Run] = {}  # to be rebuilt from the segments
        self._possibly_empty: set[int] = set()  # destinations with losses whose records must be scanned
        self._reported_damage: set[tuple[int, int]] = set()
        self._index = Index(
            folder,
            self._next_number,
            {IDS: self._id_entry_needed, TIMES: self._time_entry_needed},
            self._report_corrupt_run,
            sizes,
        )
        self._manifest = Manifest(folder, self._next_number, sizes.log_bytes)
        self._recover()

    def __len__(self) -> int:
        return self._waiting_count

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    # Recovery at the start

    def _recover(self) -> None:
        """Reads the manifest and the records written since its last checkpoints; nothing else is read."""
        names = [name for name in self._folder.names() if name.startswith(PREFIX)]
        self._last_number = max((parsed[1] for parsed in map(parse_name, names) if parsed), default=0)
        records = self._manifest.read(names)
        replay = Replay(records)
        self._last_number = max(self._last_number, replay.last_number)
        self._watermark = replay.watermark
        self._ended = replay.ended
        self._ended_heap = sorted(self._ended.values())
        files: dict[int, list[int]] = {each: [] for each in replay.states}
        for name in names:
            kind, number = parse_name(name) or ("", 0)
            if (
                kind.isdecimal()
                and name not in replay.obsolete_files
                and number > replay.removed_up_to.get(int(kind), 0)
            ):
                files.setdefault(int(kind), []).append(number)
            elif (
                kind.isdecimal()
                or kind in RUN_KINDS
                and number not in replay.runs
                or name.startswith(MANIFEST)
            ) and name != self._manifest.name:
                size = self._folder.size(name) if kind.isdecimal() else 0
                self._used_bytes += allocated_size(size)
                self._schedule_removal(name, size)
        for run in replay.runs.values():
            try:
                self._index.restore(run, self._watermark)
            except (CorruptionError, OSError) as problem:
                log_event(
                    log,
                    "index run unreadable; it is rebuilt from the segments",
                    logging.ERROR,
                    file=run.name,
                    problem=problem,
                )
                self._corrupt_runs[run.number] = run
        with contextlib.suppress(OSError):  # step() tries again
            if not records:
                self._write_snapshot()
        for destination, numbers in files.items():
            self._recover_destination(
                destination, replay.states.get(destination) or DestinationState(), sorted(numbers)
            )
        self._manifest.reserve_ballast()
        if self._states:
            log_event(log, "backlog recovered", owed=self._waiting_count, destinations=len(self._states))

    def _recover_destination(self, destination: int, state: DestinationState, numbers: list[int]) -> None:
        """Restores the log of one destination; reads only its segments from the last checkpoint on."""
        known = state.segments
        state.segments = {}
        state.position = state.position or (pack_position(min(known), HEAD.size) if known else 0)
        indexed_to, state.total = max(state.checkpoint, (state.position, state.ordinal))
        first = state.position >> 32
        self._states[destination] = state
        for number in numbers:
            name = segment_name(destination, number)
            size = self._folder.size(name)
            self._used_bytes += allocated_size(size)
            start = known.get(number, (state.total, 0))[0]
            intact = False
            total_before = state.total
            if number >= max(first, indexed_to >> 32):
                state.segments[number] = [start, size]
                state.position = state.position or pack_position(number, HEAD.size)
                offset = indexed_to & OFFSET_MASK if number == indexed_to >> 32 else HEAD.size
                intact = self._index_tail(destination, state, number, offset)
            if number < first or number not in known and total_before == state.total:
                state.segments.pop(number, None)  # before the start position, or without any intact record
                self._schedule_removal(name, size)
                continue
            state.segments[number] = [start, size]
            state.position = state.position or pack_position(number, HEAD.size)
            state.appendable = intact and size < self._sizes.segment_bytes
            if self._index.wants_flush():  # bounds the memory where many records lie after the checkpoint
                with contextlib.suppress(OSError):
                    for _ in self._flush():
                        pass
        state.has_losses = any(number >= first and number not in state.segments for number in known)
        last = max([*numbers, *known], default=0)
        first_left = next(iter(state.segments), 0)
        if state.has_losses and state.position >> 32 != first_left:  # the first segment is missing
            ordinal = state.segments[first_left][0] if first_left else state.total
            self._count_lost(destination, state, ordinal - state.ordinal)
            state.position = pack_position(first_left, HEAD.size)
            state.ordinal = ordinal
        self._waiting_count += state.waiting()
        if state.segments and (state.waiting() or state.has_losses):
            self._retained_count += state.total - state.ordinal
            if not state.waiting():
                self._possibly_empty.add(destination)
            return
        self._manifest.append([Moved(destination, 0, last, 0)], required=False)
        for number, (_, size) in state.segments.items():
            self._schedule_removal(segment_name(destination, number), size)
        del self._states[destination]

    def _index_tail(self, destination: int, state: DestinationState, number: int, offset: int) -> bool:
        """Indexes a segment's records from an offset on; returns whether it ends with an intact record."""
        tail = DestinationState(
            position=pack_position(number, offset), segments={number: state.segments[number]}
        )
        begin = end = offset
        for position, end_position, _, kept in self._scan(destination, tail):
            state.total += 1
            end = end_position & OFFSET_MASK
            entry = time_entry(kept.expiry, destination, position)
            if position >= state.position and not self._has_ended(entry, position):
                self._index_document(kept.id, entry, destination, end - begin)
            begin = end
        return end == state.segments[number][1]

    # Queries

    def waiting(self, destination: int) -> tuple[int, float]:
        """Returns the number of documents that wait and when the first of them was taken.

        Where many ended records lie before the first one, that time may be too early, never too late.
        """
        state = self._states.get(destination)
        if state is None:
            return 0, 0.0
        count = state.waiting()
        if state.first_taken is None and (count or state.has_losses):
            with contextlib.suppress(OSError):
                self._read_waiting(destination, state, 1)
            if destination not in self._states:
                return 0, 0.0
        first_taken = state.first_taken_min if state.first_taken is None else state.first_taken
        return max(count, 1 if state.has_losses else 0), first_taken

    def destinations(self) -> Iterable[int]:
        """Returns the destinations that have documents waiting."""
        return [*self._states]

    def fits(self, sizes: list[int]) -> bool:
        """Returns whether documents with bodies of these sizes fit.

        Room is reserved for merging the runs, for a new manifest beside the old one, and 1 MiB for the
        ballast.
        """
        runs = sum(run.size for run in self._index.runs.values())
        reserved = runs + 2 * self._manifest.size + BALLAST_RESERVE_BYTES
        entries = (
            (sum(map(len, (self._index.memtable, self._index.frozen or ()))) + len(sizes))
            * 4
            * TIME_ENTRY.size
        )
        added = sum(size + RECORD_OVERHEAD_BYTES + 2 * HEAD.size for size in sizes) + entries
        return self._used_bytes + runs + reserved + added <= self._capacity_bytes

    def holds(self, doc_id: str) -> bool:
        """Returns whether the document with this id waits here."""
        return self.find(doc_id) is not None

    def find(self, doc_id: str) -> Kept | None:
        """Returns the document with this id, or None if it does not wait here."""
        found = self._find(doc_id)
        return found[1] if found else None

    def next_due(self) -> float:
        """Returns the earliest expiry; it may be too early, never too late."""
        if self._offered:
            return min(TIME_ENTRY.unpack(entry)[0] for entry, _ in self._offered.values())
        top = self._index.top()
        return TIME_ENTRY.unpack(top)[0] if top else inf

    # Changes

    def append(self, kept: Kept) -> None:
        """Records a document as the last of its destination."""
        state = self._states.get(kept.destination) or DestinationState()
        if len(self._index.memtable) >= 2 * self._sizes.flush_documents:
            self.step()  # bounds the memory even if the caller never calls step()
            if len(self._index.memtable) >= 4 * self._sizes.flush_documents:
                raise OSError("the index of the backlog cannot be written")
        try:
            data = frame(kept)
            header = b""
        except UnicodeError as problem:  # a text with a lone surrogate
            raise OSError(f"document cannot be encoded: {problem}") from problem
        number = next(reversed(state.segments), 0)
        size = state.segments[number][1] if state.appendable else 0
        if not state.appendable or size + len(data) > self._sizes.segment_bytes and size > HEAD.size:
            number = self._next_number()
            size = HEAD.size
            header = head(number)
        position = pack_position(number, size)
        # An entry below the watermark would count as ended: the expiry moves to just after the watermark's,
        # so the document is the next one due.
        if time_entry(kept.expiry, kept.destination, position) < self._watermark:
            kept = msgspec.structs.replace(kept, expiry=nextafter(TIME_ENTRY.unpack(self._watermark)[0], inf))
            data = frame(kept)
        try:
            handle = self._open_segment(kept.destination, number, fresh=bool(header))
            written = self._folder.append(handle, header + data)
            if written < len(header) + len(data):
                raise OSError(f"{written} of {len(data)} bytes written")
        except OSError:
            self._close_segment(kept.destination)
            state.appendable = False  # nothing is appended after a record that may be torn
            if header:
                self._obsolete_files.append((segment_name(kept.destination, number), 0))
            raise
        if header:
            state.position = state.position or pack_position(number, HEAD.size)
            state.segments[number] = [state.total, HEAD.size]
            self._used_bytes += allocated_size(HEAD.size)
        if not state.waiting():
            state.first_taken = kept.taken
        self._states[kept.destination] = state
        self._used_bytes += allocated_size(size + len(data)) - allocated_size(size)
        state.segments[number][1] = size + len(data)
        state.total += 1
        state.appendable = True
        self._waiting_count += 1
        self._retained_count += 1
        self._index_document(
            kept.id, time_entry(kept.expiry, kept.destination, position), kept.destination, len(data)
        )

    def _index_document(self, doc_id: str, entry: bytes, destination: int, size: int) -> None:
        self._index.memtable.add(hash_id(doc_id), entry)
        self._unindexed_destinations.add(destination)
        self._unindexed_bytes += size

    def _open_segment(self, destination: int, number: int, fresh: bool) -> int:
        """Returns the descriptor of a destination's last segment; may close that of another destination."""
        if fresh:
            self._close_segment(destination)
        handle = self._handles.get(destination)
        if handle is None:
            handle = self._folder.open(segment_name(destination, number), fresh=fresh)
            while len(self._handles) >= MAX_OPEN_SEGMENTS:
                self._folder.close(self._handles.popitem(last=False)[1])
            self._handles[destination] = handle
        self._handles.move_to_end(destination)
        return handle

    def _close_segment(self, destination: int) -> None:
        handle = self._handles.pop(destination, None)
        if handle is not None:
            self._folder.close(handle)

    def read(self, destination: int, limit: int) -> list[Kept]:
        """Returns up to `limit` waiting documents in order of arrival; they stay here."""
        state = self._states.get(destination)
        if state is None:
            return []
        records, found = self._read_waiting(destination, state, limit)
        self._last_reads[destination] = records
        self._last_reads.move_to_end(destination)
        if len(self._last_reads) > MAX_REMEMBERED_READS:
            self._last_reads.popitem(last=False)
        return found

    def _read_waiting(
        self, destination: int, state: DestinationState, limit: int
    ) -> tuple[list[ReadRecord], list[Kept]]:
        """Reads the first documents that wait; the start position moves past ended records before them."""
        records = []
        found = []
        exhausted = True
        begin = state.position
        for position, end, ordinal, kept in self._scan(destination, state):
            entry = time_entry(kept.expiry, destination, position)
            ended = self._has_ended(entry, position)
            records.append(ReadRecord(kept.id, entry, position, end, ordinal + 1, ended, kept.taken))
            if not ended:
                if len(found) == limit:
                    exhausted = False
                    break
                found.append(kept)
            limit_reached = end >> 32 != begin >> 32 or end - begin >= self._sizes.scan_bytes
            if limit_reached and len(records) > 1:
                exhausted = False
                break
        skipped = next((index for index, each in enumerate(records) if not each.ended), len(records))
        if skipped or exhausted and not found:
            state.first_taken_min = records[skipped - 1].taken if skipped else state.first_taken_min
            self._advance(destination, state, records[:skipped], exhausted and not found, required=False)
            records = records[skipped:]
        state.first_taken = records[0].taken if records else None
        return records, found

    def _scan(self, destination: int, state: DestinationState) -> Iterator[tuple[int, int, int, Kept]]:
        """Yields each record from the start position on: its position, its end, its ordinal, the document."""
        ordinal = state.ordinal
        offset = state.position & OFFSET_MASK
        first = state.position >> 32
        for number, (start, size) in state.segments.items():
            if number != first:
                offset, ordinal = HEAD.size, start
            scanner = Scanner(number, offset)
            name = segment_name(destination, number)
            read_size = FIRST_READ_SIZE
            while offset < size:
                try:
                    data = self._folder.read_at(name, offset, min(read_size, size - offset))
                except FileNotFoundError:
                    data = b""
                if not data:
                    self._report_damage(name, number, offset, size)
                    break
                offset += len(data)
                read_size = READ_SIZE
                for begin, record in scanner.feed(data):
                    if isinstance(record, Kept) and record.destination == destination:
                        yield (
                            pack_position(number, begin),
                            pack_position(number, scanner.end_offset),
                            ordinal,
                            record,
                        )
                        ordinal += 1
            for begin, record in scanner.end():
                if isinstance(record, Kept) and record.destination == destination:
                    yield (
                        pack_position(number, begin),
                        pack_position(number, scanner.end_offset),
                        ordinal,
                        record,
                    )
                    ordinal += 1
            for damage in scanner.damages:
                if damage.corruption:
                    self._report_damage(name, number, damage.start, damage.end)

    def _report_damage(self, name: str, number: int, start: int, end: int) -> None:
        """Logs a corrupted part of a segment once."""
        if (number, start) not in self._reported_damage and len(self._reported_damage) < MAX_REPORTED_DAMAGE:
            self._reported_damage.add((number, start))
            log_event(log, "rot in the backlog", logging.ERROR, file=name, start=start, end=end)

    def moved(self, destination: int, count: int) -> None:
        """Records that the first `count` documents of the last read() are in the ledger now."""
        state = self._states.get(destination)
        if state is None or count <= 0:
            return
        records = self._last_reads.get(destination)
        if records is None:
            records, _ = self._read_waiting(destination, state, count)
        passed = index = 0
        records = [each for each in records if each.end > state.position]
        for index, each in enumerate(records, 1):  # noqa: B007
            passed += not each.ended
            if passed == count:
                break
        while index < len(records) and records[index].ended:
            index += 1
        self._advance(destination, state, records[:index], False, required=True)
        if destination in self._states:
            self._last_reads[destination] = remaining = records[index:]
            taken = (each.taken for each in remaining if not self._has_ended(each.entry, each.position))
            state.first_taken = next(taken, None)

    def _advance(
        self,
        destination: int,
        state: DestinationState,
        records: list[ReadRecord],
        exhausted: bool,
        required: bool,
    ) -> None:
        """Moves the start position past these records; exhausted: no readable record follows them."""
        position, ordinal = (
            (records[-1].end, records[-1].ordinal) if records else (state.position, state.ordinal)
        )
        ended = state.ended - sum(self._has_ended(each.entry, each.position) for each in records)
        if exhausted or ordinal == state.total:
            ordinal = state.total
            exhausted = True
        unreadable = ordinal - state.ordinal - len(records)
        counted_lost = min(unreadable, state.lost)
        if not (state.has_losses or unreadable) and state.total - ordinal == ended:
            exhausted = True  # every record that follows has ended
        last = next(reversed(state.segments), 0)
        if required or exhausted or position >> 32 != state.position >> 32:
            fields = (0, last, 0) if exhausted else (position, ordinal, ended - counted_lost)
            self._manifest.append([Moved(destination, *fields)], required)
        if unreadable > counted_lost:
            self._count_lost(destination, state, unreadable - counted_lost)
        waiting_before = state.waiting()
        self._retained_count -= ordinal - state.ordinal
        state.position, state.ordinal, state.ended = position, ordinal, max(0, ended - counted_lost)
        state.lost -= counted_lost
        self._waiting_count -= waiting_before - (0 if exhausted else state.waiting())
        for each in records:
            self._ended.pop(each.position, None)
            self._offered.pop(each.id, None)
        if exhausted:
            self._remove_destination(destination, state)
            return
        while (number := next(iter(state.segments))) < position >> 32:
            self._schedule_removal(segment_name(destination, number), state.segments.pop(number)[1])

    def _count_lost(self, destination: int, state: DestinationState, count: int) -> None:
        """Counts documents whose records are no longer readable."""
        self.lost += count
        state.has_losses = True
        log_event(
            log,
            "documents lost",
            logging.ERROR,
            count=count,
            offset=state.position & OFFSET_MASK,
            after=segment_name(destination, state.position >> 32),
        )

    def _remove_destination(self, destination: int, state: DestinationState) -> None:
        """Removes a destination without waiting documents, after the manifest has recorded it."""
        self._retained_count -= state.total - state.ordinal
        self._close_segment(destination)
        for number, (_, size) in state.segments.items():
            self._schedule_removal(segment_name(destination, number), size)
        for position in [each for each in self._ended if each >> 32 in state.segments]:
            del self._ended[position]
        del self._states[destination]
        self._last_reads.pop(destination, None)
        if not self._states:
            self._clear()

    def _clear(self) -> None:
        """Drops the runs and all ended entries once no document waits."""
        self._waiting_count = self._retained_count = 0
        self._ended = {}
        self._ended_heap = []
        self._offered = {}
        for name in list(self._jobs):
            self._cancel_job(name)
        runs = [*self._index.clear(), *self._corrupt_runs.values()]
        self._corrupt_runs = {}
        self._unindexed_destinations = set()
        self._unindexed_bytes = 0
        if runs:
            self._manifest.append([Marks([], [], [run.number for run in runs])], required=False)
        for run in runs:
            self._obsolete_files.append((run.name, 0))

    def _schedule_removal(self, name: str, size: int) -> None:
        self._obsolete_files.append((name, allocated_size(size)))

    # Expiry

    def due(self, now: float, limit: int) -> list[Kept]:
        """Returns up to `limit` expired documents; each is returned again until it ends or moves."""
        self._now = max(self._now, now)
        found = [kept for _, kept in self._offered.values()][:limit]
        bound = expiry_limit(now)
        for _ in range(self._sizes.scan_entries):
            top = self._index.top()
            if len(found) >= limit or top is None or top >= bound:
                break
            if self._time_entry_needed(top):
                expiry, destination, position = TIME_ENTRY.unpack(top)
                kept = self._read_document(destination, position)  # on OSError the entry stays in the index
                if kept is None:
                    self._end_unreadable(top, destination, position)
                elif time_entry(kept.expiry, destination, position) == top and kept.id not in self._offered:
                    self._offered[kept.id] = top, kept
                    found.append(kept)
            self._index.pop()
        return found

    def _read_document(self, destination: int, position: int) -> Kept | None:
        """Returns the document at a position, or None if its record is not readable."""
        name = segment_name(destination, position >> 32)
        offset = position & OFFSET_MASK
        try:
            data = self._folder.read_at(name, offset, DOCUMENT_READ_SIZE)
            if frame_length(data) > len(data):
                data = self._folder.read_at(name, offset, frame_length(data))
        except FileNotFoundError:
            return None
        kept = unframe(data)
        return kept if isinstance(kept, Kept) else None

    def _end_unreadable(self, entry: bytes, destination: int, position: int) -> None:
        """Counts a document as lost and ends it: its record is corrupted, so no outcome can be reported."""
        log_event(
            log,
            "document lost",
            logging.ERROR,
            file=segment_name(destination, position >> 32),
            start=position & OFFSET_MASK,
        )
        state = self._states[destination]
        state.has_losses = True
        state.lost += 1
        self.lost += 1
        self._record_ended([entry])

    def ended(self, ids: Iterable[str]) -> None:
        """Records that these documents ended; ids that are unknown here are ignored."""
        entries = []
        for doc_id in dict.fromkeys(ids):
            entry, _ = self._offered.pop(doc_id, (None, None))
            entry = entry or self._find_entry(doc_id)
            if entry is not None:
                entries.append(entry)
        if entries:
            self._record_ended(entries)

    def drop(self, ids: Iterable[str]) -> None:
        """Ends, after a start, the documents that the sender's ledger knows, ended or not."""
        ids = [*ids]
        self.ended(ids)
        # Without the corrupted runs some documents may not be found, and would be transmitted twice, so the
        # index is rebuilt first, however long that takes.
        if self._corrupt_runs:
            while self._corrupt_runs and self.step():
                pass
            self.ended(ids)

    def _record_ended(self, entries: list[bytes]) -> None:
        """Records ends in the manifest, and raises the watermark as far as it goes."""
        touched = {}
        for entry in entries:
            _, destination, position = TIME_ENTRY.unpack(entry)
            state = touched[destination] = self._states[destination]
            self._ended[position] = entry
            heapq.heappush(self._ended_heap, entry)
            self._waiting_count -= state.waiting() > 0
            state.ended += 1
            state.first_taken = None
        limits = [
            self._index.top() or MAX_ENTRY,
            expiry_limit(self._now),
            *(entry for entry, _ in self._offered.values()),
        ]
        if not self._corrupt_runs:  # else some waiting documents may be in no run, and must stay above it
            self._watermark = max(self._watermark, min(limits))
        while self._ended_heap and self._ended_heap[0] < self._watermark:
            self._ended.pop(TIME_ENTRY.unpack(heapq.heappop(self._ended_heap))[2], None)
        if len(self._ended_heap) > 2 * len(self._ended) + MIN_OBSOLETE_ENTRIES:
            self._ended_heap = sorted(self._ended.values())
        emptied = [each for each, state in touched.items() if not state.waiting() and not state.has_losses]
        moves = [Moved(each, 0, next(reversed(touched[each].segments), 0), 0) for each in emptied]
        self._manifest.append([Ended(entries, self._watermark), *moves], required=False)
        for each in emptied:
            self._remove_destination(each, touched[each])
        for each, state in touched.items():
            if state.has_losses and not state.waiting() and each in self._states:
                self._possibly_empty.add(each)

    def _has_ended(self, entry: bytes, position: int) -> bool:
        return entry < self._watermark or position in self._ended

    def _time_entry_needed(self, entry: bytes) -> bool:
        _, destination, position = TIME_ENTRY.unpack(entry)
        state = self._states.get(destination)
        return (
            state is not None
            and position >= state.position
            and entry >= self._watermark
            and position not in self._ended
        )

    def _id_entry_needed(self, entry: bytes) -> bool:
        _, destination, position = ID_ENTRY.unpack(entry)
        state = self._states.get(destination)
        return state is not None and position >= state.position and position not in self._ended

    def _find_entry(self, doc_id: str) -> bytes | None:
        """Returns the time entry of the document with this id, or None if it does not wait here."""
        found = self._find(doc_id)
        return found[0] if found else None

    def _find(self, doc_id: str) -> tuple[bytes, Kept] | None:
        """Returns the time entry and the document with this id, or None if it does not wait here."""
        for destination, position in self._index.find(hash_id(doc_id)):
            state = self._states.get(destination)
            if state is None or position < state.position or position in self._ended:
                continue
            kept = self._read_document(destination, position)
            if kept is not None and kept.id == doc_id:
                entry = time_entry(kept.expiry, destination, position)
                if not self._has_ended(entry, position):
                    return entry, kept
        return None

    # Housekeeping: a bounded amount of work at each step

    def step(self) -> bool:
        """Does a bounded piece of housekeeping; returns whether more is due.

        A piece that fails with an OSError is tried again in a later step.
        """
        try:
            more = self._step()
            self._step_failed = False
        except OSError as problem:
            if not self._step_failed:
                log_event(log, "housekeeping put off", logging.ERROR, problem=problem)
            more = False
            self._step_failed = True
        return more

    def _step(self) -> bool:
        if self._manifest.pending_bytes:
            self._manifest.append([], required=True)
        if self._manifest.needs_snapshot():
            self._write_snapshot()
            return True
        if self._obsolete_files:
            for _ in range(min(REMOVALS_PER_STEP, len(self._obsolete_files))):
                name, size = self._obsolete_files[0]
                with contextlib.suppress(FileNotFoundError):
                    self._folder.unlink(name)
                self._obsolete_files.popleft()
                self._used_bytes -= size
            self._manifest.reserve_ballast()
            return True
        for destination in [*self._possibly_empty][:1]:
            if (state := self._states.get(destination)) and not state.waiting():
                self._read_waiting(destination, state, 1)
            if state is None or state.waiting() or destination not in self._states:
                self._possibly_empty.discard(destination)
            return True
        index = self._index
        flush_needed = (
            index.frozen or index.wants_flush() or self._unindexed_bytes > self._sizes.unindexed_bytes
        )
        if flush_needed and "flush" not in self._jobs:
            self._jobs["flush"] = self._flush()
        if self._corrupt_runs and "rebuild" not in self._jobs:
            if "merge" in self._jobs:
                self._cancel_job("merge")
            self._jobs["rebuild"] = self._rebuild_index()
        needed = {IDS: self._retained_count, TIMES: self._waiting_count}
        if not self._jobs.keys() & {"merge", "rebuild"} and (runs := index.runs_to_merge(needed)):
            self._jobs["merge"] = self._merge(runs)
        for name in ("flush", "rebuild", "merge"):
            if name in self._jobs:
                job = self._jobs[name]
                try:
                    next(job)
                except StopIteration:
                    self._jobs.pop(name, None)
                except CorruptionError as problem:
                    self._cancel_job(name)
                    self._report_corrupt_run(problem)
                except OSError:
                    self._cancel_job(name)
                    raise
                return True
        return bool(self._obsolete_files)

    def _cancel_job(self, name: str) -> None:
        self._jobs.pop(name).close()
        self._obsolete_files.extend((each, 0) for each in self._index.unfinished_files.pop(name, ()))

    def _flush(self) -> Generator[None, None, None]:
        """Writes the entries held in memory to runs, and records the checkpoints that these reach."""
        index = self._index
        if index.frozen is None:
            index.freeze()
            self._flush_checkpoints = []
            for destination in self._unindexed_destinations:
                if (state := self._states.get(destination)) is not None and state.segments:
                    number = next(reversed(state.segments))
                    self._flush_checkpoints.append(
                        (destination, state, number, state.segments[number][1], state.total)
                    )
            self._unindexed_destinations = set()
            self._unindexed_bytes = 0

        def record(added: list[Run], removed: list[Run]) -> None:
            marks = []
            for destination, state, number, size, total in self._flush_checkpoints:
                if self._states.get(destination) is state:
                    own_marks = []
                    for each in reversed(state.segments):
                        if each < state.checkpoint[0] >> 32:
                            break
                        if each <= number:
                            reached = (size, total) if each == number else (0, 0)
                            own_marks.append((destination, each, state.segments[each][0], *reached))
                    marks += reversed(own_marks)
            self._manifest.append([Marks(marks, added, [run.number for run in removed])], required=True)
            for _, state, number, size, total in self._flush_checkpoints:
                state.checkpoint = pack_position(number, size), total

        yield from index.flush(lambda: self._watermark, record)
        self._flush_count += 1

    def _merge(self, runs: list[Run]) -> Generator[None, None, None]:
        def record(added: list[Run], removed: list[Run]) -> None:
            self._manifest.append([Marks([], added, [run.number for run in removed])], required=True)

        for run in (yield from self._index.merge(runs, lambda: self._watermark, record)):
            self._obsolete_files.append((run.name, 0))

    def _report_corrupt_run(self, problem: CorruptionError) -> None:
        """Logs a corrupted run once, and has it rebuilt."""
        if problem.run.number not in self._corrupt_runs:
            log_event(log, "rot in an index; it is made anew", logging.ERROR, at=problem)
            self._corrupt_runs[problem.run.number] = problem.run

    def _rebuild_index(self) -> Generator[None, None, None]:
        """Indexes all retained records again, a few at a step, and then drops the old runs.

        A document that is indexed twice does no harm.
        """
        index = self._index
        old = {**self._index.runs, **self._corrupt_runs}
        for destination, state in list(self._states.items()):
            position = state.position
            more = True
            while more and self._states.get(destination) is state:
                scanned = 0
                more = False
                remaining = DestinationState(
                    position=max(position, state.position),
                    segments={
                        each: [*fields] for each, fields in state.segments.items() if each >= position >> 32
                    },
                )
                for begin, end, _, kept in self._scan(destination, remaining):
                    position, scanned = end, scanned + 1
                    entry = time_entry(kept.expiry, destination, begin)
                    if not self._has_ended(entry, begin):
                        index.memtable.add(hash_id(kept.id), entry)
                    if scanned >= self._sizes.scan_entries // 8:
                        more = True
                        break
                yield
                while index.wants_flush():
                    yield
        until = self._flush_count + 2  # the first flush may be of entries frozen before the rebuild
        while self._flush_count < until:
            self._unindexed_bytes = max(self._unindexed_bytes, self._sizes.unindexed_bytes + 1)
            yield
        index.drop([*old.values()], lambda: self._manifest.append([Marks([], [], [*old])], required=True))
        self._obsolete_files.extend((run.name, 0) for run in old.values())
        self._corrupt_runs = {number: run for number, run in self._corrupt_runs.items() if number not in old}

    def _write_snapshot(self) -> None:
        """Begins a new manifest file with the present state."""
        rows = [
            (
                destination,
                state.position,
                state.ordinal,
                state.ended,
                *state.checkpoint,
                [(number, start) for number, (start, _) in state.segments.items()],
            )
            for destination, state in self._states.items()
        ]
        records: list[Record] = [
            State(rows[first : first + DESTINATIONS_PER_STATE])
            for first in range(0, len(rows), DESTINATIONS_PER_STATE)
        ]
        records.append(Marks([], list({**self._corrupt_runs, **self._index.runs}.values()), []))
        ended = [entry for position, entry in self._ended.items()]
        old = self._manifest.name
        records.append(
            Whole(
                self._last_number + 1,
                self._watermark,
                ended,
                [name for name, _ in self._obsolete_files],
            )
        )
        old = self._manifest.write_snapshot(records)
        if old:
            self._obsolete_files.append((old, 0))

    def close(self) -> None:
        """Closes the files, and removes them all if no document waits."""
        for name in list(self._jobs):
            self._cancel_job(name)
        for destination in list(self._handles):
            self._close_segment(destination)
        if not self._states:
            self._clear()
            for name, _ in self._obsolete_files:
                with contextlib.suppress(OSError):
                    self._folder.unlink(name)
        self._manifest.close(remove=not self._states)
