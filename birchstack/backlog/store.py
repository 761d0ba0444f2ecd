"""The backlog on disk: documents that wait beyond their destination's window, recorded when append() returns.

Owns the segments, one log for each destination, and where each destination's backlog begins. Must never
decide anything about a document, hold one in memory after its record is written, or read what is owed at a
start. The layout, the crash points and the bounds: docs/notes/backlog.md.

Not for two processes at one folder: the sender's lock is held by whoever opens a backlog.
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
    ENTRY,
    ID,
    IDS,
    MANIFEST,
    NEVER,
    OFFSET,
    TIMES,
    Run,
    Sizes,
    after,
    at_time,
    blocks,
    hashed,
    parse,
    place,
    segment,
)
from birchstack.backlog.replay import Replay, There
from birchstack.backlog.runs import Rot
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
    framed,
    head,
    unframe,
)
from birchstack.net.log import log_event
from birchstack.net.machine import Folder

READ, FIRST = 65536, 16384  # a piece of a segment; the first one
HANDLES, RUNS_GIVEN = 64, 64  # segments open for writing; destinations whose read() is remembered
ONE = 4096  # read for one document at first
KINDS = (IDS, TIMES)
LINE = 256  # of a document's record beside body and words
STATES = 128  # destinations in one record of a snapshot
REMOVED = 4  # files removed in one step
SIZES = Sizes()
log = logging.getLogger(__name__)


@dataclass(slots=True)
class Given:
    """A record that a read passed: where it ends, the ordinal behind it, whether it was past then."""

    id: str
    entry: bytes
    where: int
    end: int
    ordinal: int
    past: bool
    taken: float


class Backlog:
    """See birchstack.backlog.model for the interface in its plainest form. OSError passes from append(),
    moved() and reads; then nothing has changed. read() and due() may give fewer than there are, even none,
    where much that is past lies before them: waiting() and next_due() tell; call again in the next turn."""

    def __init__(self, folder: Folder, settings: Settings, now: float, sizes: Sizes = SIZES) -> None:
        self._folder, self._room, self._sizes = folder, settings.bytes, sizes
        self._number = 0
        self._there: dict[int, There] = {}
        self._count = self._used = self._unmarked = 0
        self._behind = 0  # records from the beginnings on: owed, and ended
        self.lost = 0  # documents that rot took, since the start
        self._mark = at_time(0.0, 0, 0)  # all entries before it are past
        self._now = now
        self._ended: dict[int, bytes] = {}  # those behind the mark that are past, by place
        self._ends: list[bytes] = []  # a heap of them
        self._offered: dict[str, tuple[bytes, Kept]] = {}  # by due(), until ended or moved
        self._given: OrderedDict[int, list[Given]] = OrderedDict()
        self._handles: OrderedDict[int, int] = OrderedDict()  # by destination
        self._past: deque[tuple[str, int]] = deque()  # files that only wait for their removal, and bytes
        self._fresh: set[int] = set()  # destinations written to since the last mark
        self._jobs: dict[str, Generator[None, None, None]] = {}
        self._frozen: list[tuple[int, There, int, int, int]] = []  # marks of the flush that goes on
        self._flushed = 0
        self._ill = False  # the disk refused the last step
        self._rotten: dict[int, Run] = {}  # runs that lost something: made anew from the segments
        self._hollow: set[int] = set()  # with losses, and maybe nothing left: looked through
        self._damaged: set[tuple[int, int]] = set()
        self._index = Index(
            folder, self._next, {IDS: self._counts_id, TIMES: self._counts_time}, self._rot, sizes
        )
        self._manifest = Manifest(folder, self._next, sizes.logged)
        self._recover()

    def __len__(self) -> int:
        return self._count

    def _next(self) -> int:
        self._number += 1
        return self._number

    # At the start

    def _recover(self) -> None:
        """The manifest, and what was written since its last marks; nothing else is read."""
        names = [name for name in self._folder.names() if name.startswith(PREFIX)]
        self._number = max((parsed[1] for parsed in map(parse, names) if parsed), default=0)
        records = self._manifest.read(names)
        past = Replay(records)
        self._number = max(self._number, past.number)
        self._mark, self._ended = past.mark, past.ended
        self._ends = sorted(self._ended.values())
        files: dict[int, list[int]] = {each: [] for each in past.there}
        for name in names:
            what, number = parse(name) or ("", 0)
            if what.isdecimal() and name not in past.names and number > past.floors.get(int(what), 0):
                files.setdefault(int(what), []).append(number)
            elif (
                what.isdecimal() or what in KINDS and number not in past.runs or name.startswith(MANIFEST)
            ) and name != self._manifest.name:
                size = self._folder.size(name) if what.isdecimal() else 0
                self._used += blocks(size)
                self._remove(name, size)
        for run in past.runs.values():
            try:
                self._index.found(run, self._mark)
            except (Rot, OSError) as problem:
                log_event(
                    log, "an index is lost; it is made anew", logging.ERROR, file=run.name, problem=problem
                )
                self._rotten[run.number] = run
        with contextlib.suppress(OSError):  # tried again by step()
            if not records:
                self._snapshot()
        for destination, numbers in files.items():
            self._found(destination, past.there.get(destination) or There(), sorted(numbers))
        self._manifest.reserve()
        if self._there:
            log_event(log, "backlog recovered", owed=self._count, destinations=len(self._there))

    def _found(self, destination: int, there: There, numbers: list[int]) -> None:
        """One destination's segments; those of its tail are read."""
        known, there.segments = there.segments, {}
        there.place = there.place or (place(min(known), HEAD.size) if known else 0)
        (at, there.total), first = max(there.marked, (there.place, there.ordinal)), there.place >> 32
        self._there[destination] = there
        for number in numbers:
            name = segment(destination, number)
            size = self._folder.size(name)
            self._used += blocks(size)
            start, clean, before = known.get(number, (there.total, 0))[0], False, there.total
            if number >= max(first, at >> 32):
                there.segments[number] = [start, size]
                there.place = there.place or place(number, HEAD.size)
                offset = at & OFFSET if number == at >> 32 else HEAD.size
                clean = self._tail(destination, there, number, offset)
            if number < first or number not in known and before == there.total:
                there.segments.pop(number, None)  # left behind, or nothing was written whole
                self._remove(name, size)
                continue
            there.segments[number] = [start, size]
            there.place = there.place or place(number, HEAD.size)
            there.open = clean and size < self._sizes.sealed
            if self._index.wants_flush():  # where no mark tells of it: not to hold all of it
                with contextlib.suppress(OSError):
                    for _ in self._flush():
                        pass
        there.rotten = any(number >= first and number not in there.segments for number in known)
        last, begin = max([*numbers, *known], default=0), next(iter(there.segments), 0)
        if there.rotten and there.place >> 32 != begin:  # the first segment is gone
            behind = there.segments[begin][0] if begin else there.total
            self._gone(destination, there, behind - there.ordinal)
            there.place, there.ordinal = place(begin, HEAD.size), behind
        self._count += there.waiting()
        if there.segments and (there.waiting() or there.rotten):
            self._behind += there.total - there.ordinal
            if not there.waiting():
                self._hollow.add(destination)
            return
        self._manifest.note([Moved(destination, 0, last, 0)], must=False)
        for number, (_, size) in there.segments.items():
            self._remove(segment(destination, number), size)
        del self._there[destination]

    def _tail(self, destination: int, there: There, number: int, offset: int) -> bool:
        """Enters what a segment holds from an offset on; True if it ends with a whole record."""
        rest = There(place=place(number, offset), segments={number: there.segments[number]})
        begun = end = offset
        for where, behind, _, kept in self._scan(destination, rest):
            there.total, end = there.total + 1, behind & OFFSET
            entry = at_time(kept.expiry, destination, where)
            if where >= there.place and not self._is_past(entry, where):
                self._enter(kept.id, entry, destination, end - begun)
            begun = end
        return end == there.segments[number][1]

    # What is asked

    def waiting(self, destination: int) -> tuple[int, float]:
        """Since when: where much that is past lies before the first, or earlier, never later."""
        there = self._there.get(destination)
        if there is None:
            return 0, 0.0
        count = there.waiting()
        if there.since is None and (count or there.rotten):
            with contextlib.suppress(OSError):
                self._look(destination, there, 1)
            if destination not in self._there:
                return 0, 0.0
        since = there.passed if there.since is None else there.since
        return max(count, 1 if there.rotten else 0), since

    def destinations(self) -> Iterable[int]:
        return [*self._there]

    def fits(self, sizes: list[int]) -> bool:
        """Room is kept for merging the runs, for a new manifest beside the old one, and the ballast."""
        runs = sum(run.size for run in self._index.runs.values())
        kept = runs + 2 * self._manifest.size + (1 << 20)
        entries = (sum(map(len, (self._index.tail, self._index.frozen or ()))) + len(sizes)) * 4 * ENTRY.size
        new = sum(size + LINE + 2 * HEAD.size for size in sizes) + entries
        return self._used + runs + kept + new <= self._room

    def holds(self, doc_id: str) -> bool:
        return self._find(doc_id) is not None

    def next_due(self) -> float:
        """Or earlier, never later."""
        if self._offered:
            return min(ENTRY.unpack(entry)[0] for entry, _ in self._offered.values())
        top = self._index.top()
        return ENTRY.unpack(top)[0] if top else inf

    # What happens

    def append(self, kept: Kept) -> None:
        there = self._there.get(kept.destination) or There()
        if len(self._index.tail) >= 2 * self._sizes.flushed:
            self.step()  # whoever appends and never steps still stays bounded
            if len(self._index.tail) >= 4 * self._sizes.flushed:
                raise OSError("the index of the backlog cannot be written")
        try:
            data, first = frame(kept), b""
        except UnicodeError as problem:  # half a character in a name
            raise OSError(f"not to be recorded: {problem}") from problem
        number = next(reversed(there.segments), 0)
        size = there.segments[number][1] if there.open else 0
        if not there.open or size + len(data) > self._sizes.sealed and size > HEAD.size:
            number, size = self._next(), HEAD.size
            first = head(number)
        where = place(number, size)
        if at_time(kept.expiry, kept.destination, where) < self._mark:  # it is due, and comes next
            kept = msgspec.structs.replace(kept, expiry=nextafter(ENTRY.unpack(self._mark)[0], inf))
            data = frame(kept)
        try:
            handle = self._handle(kept.destination, number, fresh=bool(first))
            written = self._folder.append(handle, first + data)
            if written < len(first) + len(data):
                raise OSError(f"{written} of {len(data)} bytes written")
        except OSError:
            self._close(kept.destination)
            there.open = False  # what may be torn there is followed by nothing
            if first:
                self._past.append((segment(kept.destination, number), 0))
            raise
        if first:
            there.place = there.place or place(number, HEAD.size)
            there.segments[number] = [there.total, HEAD.size]
            self._used += blocks(HEAD.size)
        if not there.waiting():
            there.since = kept.taken
        self._there[kept.destination] = there
        self._used += blocks(size + len(data)) - blocks(size)
        there.segments[number][1] = size + len(data)
        there.total, there.open = there.total + 1, True
        self._count, self._behind = self._count + 1, self._behind + 1
        self._enter(kept.id, at_time(kept.expiry, kept.destination, where), kept.destination, len(data))

    def _enter(self, doc_id: str, entry: bytes, destination: int, size: int) -> None:
        self._index.tail.add(hashed(doc_id), entry)
        self._fresh.add(destination)
        self._unmarked += size

    def _handle(self, destination: int, number: int, fresh: bool) -> int:
        if fresh:
            self._close(destination)
        handle = self._handles.get(destination)
        if handle is None:
            handle = self._folder.open(segment(destination, number), fresh=fresh)
            while len(self._handles) >= HANDLES:
                self._folder.close(self._handles.popitem(last=False)[1])
            self._handles[destination] = handle
        self._handles.move_to_end(destination)
        return handle

    def _close(self, destination: int) -> None:
        handle = self._handles.pop(destination, None)
        if handle is not None:
            self._folder.close(handle)

    def read(self, destination: int, most: int) -> list[Kept]:
        there = self._there.get(destination)
        if there is None:
            return []
        given, found = self._look(destination, there, most)
        self._given[destination] = given
        self._given.move_to_end(destination)
        if len(self._given) > RUNS_GIVEN:
            self._given.popitem(last=False)
        return found

    def _look(self, destination: int, there: There, most: int) -> tuple[list[Given], list[Kept]]:
        """What waits first; what is past before that is left behind."""
        given, found, ends = [], [], True
        begun = there.place
        for where, end, ordinal, kept in self._scan(destination, there):
            entry = at_time(kept.expiry, destination, where)
            past = self._is_past(entry, where)
            given.append(Given(kept.id, entry, where, end, ordinal + 1, past, kept.taken))
            if not past:
                if len(found) == most:
                    ends = False
                    break
                found.append(kept)
            far = end >> 32 != begun >> 32 or end - begun >= self._sizes.passed
            if far and len(given) > 1:
                ends = False
                break
        skipped = next((at for at, each in enumerate(given) if not each.past), len(given))
        if skipped or ends and not found:
            there.passed = given[skipped - 1].taken if skipped else there.passed
            self._leave(destination, there, given[:skipped], ends and not found, must=False)
            given = given[skipped:]
        there.since = given[0].taken if given else None
        return given, found

    def _scan(self, destination: int, there: There) -> Iterator[tuple[int, int, int, Kept]]:
        """Each record from the beginning of what waits: its place, where it ends, how many are before it."""
        ordinal, offset, first = there.ordinal, there.place & OFFSET, there.place >> 32
        for number, (start, size) in there.segments.items():
            if number != first:
                offset, ordinal = HEAD.size, start
            scanner, name = Scanner(number, offset), segment(destination, number)
            piece = FIRST
            while offset < size:
                try:
                    data = self._folder.read_at(name, offset, min(piece, size - offset))
                except FileNotFoundError:
                    data = b""
                if not data:
                    self._damage(name, number, offset, size)
                    break
                offset, piece = offset + len(data), READ
                for at, record in scanner.feed(data):
                    if isinstance(record, Kept) and record.destination == destination:
                        yield place(number, at), place(number, scanner.past), ordinal, record
                        ordinal += 1
            for at, record in scanner.end():
                if isinstance(record, Kept) and record.destination == destination:
                    yield place(number, at), place(number, scanner.past), ordinal, record
                    ordinal += 1
            for damage in scanner.damages:
                if damage.rot:
                    self._damage(name, number, damage.start, damage.end)

    def _damage(self, name: str, number: int, start: int, end: int) -> None:
        if (number, start) not in self._damaged and len(self._damaged) < 4096:
            self._damaged.add((number, start))
            log_event(log, "rot in the backlog", logging.ERROR, file=name, start=start, end=end)

    def moved(self, destination: int, count: int) -> None:
        there = self._there.get(destination)
        if there is None or count <= 0:
            return
        given = self._given.get(destination)
        if given is None:
            given, _ = self._look(destination, there, count)
        passed = at = 0
        given = [each for each in given if each.end > there.place]
        for at, each in enumerate(given, 1):  # noqa: B007
            passed += not each.past
            if passed == count:
                break
        while at < len(given) and given[at].past:
            at += 1
        self._leave(destination, there, given[:at], False, must=True)
        if destination in self._there:
            self._given[destination] = rest = given[at:]
            left = (each.taken for each in rest if not self._is_past(each.entry, each.where))
            there.since = next(left, None)

    def _leave(self, destination: int, there: There, given: list[Given], ends: bool, must: bool) -> None:
        """What waits begins behind these; ends: nothing that can be read comes behind them."""
        to, ordinal = (given[-1].end, given[-1].ordinal) if given else (there.place, there.ordinal)
        ahead = there.ahead - sum(self._is_past(each.entry, each.where) for each in given)
        if ends or ordinal == there.total:
            ordinal, ends = there.total, True
        gap = ordinal - there.ordinal - len(given)  # records that could not be read
        known = min(gap, there.lost)
        if not (there.rotten or gap) and there.total - ordinal == ahead:
            ends = True  # all behind it have had their end
        last = next(reversed(there.segments), 0)
        if must or ends or to >> 32 != there.place >> 32:
            words = (0, last, 0) if ends else (to, ordinal, ahead - known)
            self._manifest.note([Moved(destination, *words)], must)
        if gap > known:
            self._gone(destination, there, gap - known)
        before = there.waiting()
        self._behind -= ordinal - there.ordinal
        there.place, there.ordinal, there.ahead = to, ordinal, max(0, ahead - known)
        there.lost -= known
        self._count -= before - (0 if ends else there.waiting())
        for each in given:
            self._ended.pop(each.where, None)
            self._offered.pop(each.id, None)
        if ends:
            self._emptied(destination, there)
            return
        while (number := next(iter(there.segments))) < to >> 32:
            self._remove(segment(destination, number), there.segments.pop(number)[1])

    def _gone(self, destination: int, there: There, count: int) -> None:
        """Their records cannot be read any more."""
        self.lost, there.rotten = self.lost + count, True
        log_event(
            log,
            "documents lost",
            logging.ERROR,
            count=count,
            offset=there.place & OFFSET,
            after=segment(destination, there.place >> 32),
        )

    def _emptied(self, destination: int, there: There) -> None:
        """Nothing waits there any more, and that is noted."""
        self._behind -= there.total - there.ordinal
        self._close(destination)
        for number, (_, size) in there.segments.items():
            self._remove(segment(destination, number), size)
        for where in [each for each in self._ended if each >> 32 in there.segments]:
            del self._ended[where]
        del self._there[destination]
        self._given.pop(destination, None)
        if not self._there:
            self._clear()

    def _clear(self) -> None:
        """Nothing is owed: the runs go, and what was done with them."""
        self._count = self._behind = 0
        self._ended, self._ends, self._offered = {}, [], {}
        for name in list(self._jobs):
            self._abandon(name)
        runs = [*self._index.clear(), *self._rotten.values()]
        self._rotten = {}
        self._fresh, self._unmarked = set(), 0
        if runs:
            self._manifest.note([Marks([], [], [run.number for run in runs])], must=False)
        for run in runs:
            self._past.append((run.name, 0))

    def _remove(self, name: str, size: int) -> None:
        self._past.append((name, blocks(size)))

    # Expiry

    def due(self, now: float, most: int) -> list[Kept]:
        self._now = max(self._now, now)
        found = [kept for _, kept in self._offered.values()][:most]
        limit = after(now)
        for _ in range(self._sizes.popped):
            top = self._index.top()
            if len(found) >= most or top is None or top >= limit:
                break
            if self._counts_time(top):
                expiry, destination, where = ENTRY.unpack(top)
                kept = self._at(destination, where)  # OSError: the entry stays
                if kept is None:
                    self._lose(top, destination, where)
                elif at_time(kept.expiry, destination, where) == top and kept.id not in self._offered:
                    self._offered[kept.id] = top, kept
                    found.append(kept)
            self._index.pop()
        return found

    def _at(self, destination: int, where: int) -> Kept | None:
        """The document at a place; None where it cannot be read any more."""
        name, offset = segment(destination, where >> 32), where & OFFSET
        try:
            data = self._folder.read_at(name, offset, ONE)
            if framed(data) > len(data):
                data = self._folder.read_at(name, offset, framed(data))
        except FileNotFoundError:
            return None
        kept = unframe(data)
        return kept if isinstance(kept, Kept) else None

    def _lose(self, entry: bytes, destination: int, where: int) -> None:
        """Its record does not check: nothing can be said for it any more."""
        log_event(
            log, "document lost", logging.ERROR, file=segment(destination, where >> 32), start=where & OFFSET
        )
        there = self._there[destination]
        there.rotten, there.lost, self.lost = True, there.lost + 1, self.lost + 1
        self._end([entry])

    def ended(self, ids: Iterable[str]) -> None:
        entries = []
        for doc_id in dict.fromkeys(ids):
            entry, _ = self._offered.pop(doc_id, (None, None))
            entry = entry or self._find(doc_id)
            if entry is not None:
                entries.append(entry)
        if entries:
            self._end(entries)

    def drop(self, ids: Iterable[str]) -> None:
        """After a start: what the sender's own ledger knows of, ended or not, is past here."""
        ids = [*ids]
        self.ended(ids)
        if self._rotten:  # some may have been missed, and would go twice: the index first, however long
            while self._rotten and self.step():
                pass
            self.ended(ids)

    def _end(self, entries: list[bytes]) -> None:
        touched = {}
        for entry in entries:
            _, destination, where = ENTRY.unpack(entry)
            there = touched[destination] = self._there[destination]
            self._ended[where] = entry
            heapq.heappush(self._ends, entry)
            self._count -= there.waiting() > 0
            there.ahead += 1
            there.since = None
        tops = [self._index.top() or NEVER, after(self._now), *(entry for entry, _ in self._offered.values())]
        if not self._rotten:  # else some are in no index, and must not be passed
            self._mark = max(self._mark, min(tops))
        while self._ends and self._ends[0] < self._mark:
            self._ended.pop(ENTRY.unpack(heapq.heappop(self._ends))[2], None)
        if len(self._ends) > 2 * len(self._ended) + 1024:  # of those that were left behind since
            self._ends = sorted(self._ended.values())
        emptied = [each for each, there in touched.items() if not there.waiting() and not there.rotten]
        over = [Moved(each, 0, next(reversed(touched[each].segments), 0), 0) for each in emptied]
        self._manifest.note([Ended(entries, self._mark), *over], must=False)
        for each in emptied:
            self._emptied(each, touched[each])
        for each, there in touched.items():
            if there.rotten and not there.waiting() and each in self._there:
                self._hollow.add(each)

    def _is_past(self, entry: bytes, where: int) -> bool:
        return entry < self._mark or where in self._ended

    def _counts_time(self, entry: bytes) -> bool:
        _, destination, where = ENTRY.unpack(entry)
        there = self._there.get(destination)
        return there is not None and where >= there.place and entry >= self._mark and where not in self._ended

    def _counts_id(self, entry: bytes) -> bool:
        _, destination, where = ID.unpack(entry)
        there = self._there.get(destination)
        return there is not None and where >= there.place and where not in self._ended

    def _find(self, doc_id: str) -> bytes | None:
        """The entry by time of the document with this id, if it waits here."""
        for destination, where in self._index.find(hashed(doc_id)):
            there = self._there.get(destination)
            if there is None or where < there.place or where in self._ended:
                continue
            kept = self._at(destination, where)
            if kept is not None and kept.id == doc_id:
                entry = at_time(kept.expiry, destination, where)
                if not self._is_past(entry, where):
                    return entry
        return None

    # Housekeeping, a bounded piece at a step

    def step(self) -> bool:
        """True while more is due. Where the disk refuses, the piece is tried again in a later step."""
        try:
            more, self._ill = self._step(), False
        except OSError as problem:
            if not self._ill:
                log_event(log, "housekeeping put off", logging.ERROR, problem=problem)
            more, self._ill = False, True
        return more

    def _step(self) -> bool:
        if self._manifest.late:
            self._manifest.note([], must=True)
        if self._manifest.grown():
            self._snapshot()
            return True
        if self._past:
            for _ in range(min(REMOVED, len(self._past))):
                name, size = self._past[0]
                with contextlib.suppress(FileNotFoundError):
                    self._folder.unlink(name)
                self._past.popleft()
                self._used -= size
            self._manifest.reserve()
            return True
        for destination in [*self._hollow][:1]:
            if (there := self._there.get(destination)) and not there.waiting():
                self._look(destination, there, 1)
            if there is None or there.waiting() or destination not in self._there:
                self._hollow.discard(destination)
            return True
        index = self._index
        full = index.frozen or index.wants_flush() or self._unmarked > self._sizes.unmarked
        if full and "flush" not in self._jobs:
            self._jobs["flush"] = self._flush()
        if self._rotten and "again" not in self._jobs:
            if "merge" in self._jobs:
                self._abandon("merge")
            self._jobs["again"] = self._reindex()
        needed = {IDS: self._behind, TIMES: self._count}
        if not self._jobs.keys() & {"merge", "again"} and (runs := index.merging(needed)):
            self._jobs["merge"] = self._merge(runs)
        for name in ("flush", "again", "merge"):
            if name in self._jobs:
                job = self._jobs[name]
                try:
                    next(job)
                except StopIteration:
                    self._jobs.pop(name, None)
                except Rot as problem:
                    self._abandon(name)
                    self._rot(problem)
                except OSError:
                    self._abandon(name)
                    raise
                return True
        return bool(self._past)

    def _abandon(self, name: str) -> None:
        self._jobs.pop(name).close()
        self._past.extend((each, 0) for each in self._index.making.pop(name, ()))

    def _flush(self) -> Generator[None, None, None]:
        index = self._index
        if index.frozen is None:
            index.freeze()
            self._frozen = []
            for destination in self._fresh:
                if (there := self._there.get(destination)) is not None and there.segments:
                    number = next(reversed(there.segments))
                    self._frozen.append((destination, there, number, there.segments[number][1], there.total))
            self._fresh, self._unmarked = set(), 0

        def record(added: list[Run], removed: list[Run]) -> None:
            marks = []
            for destination, there, number, size, total in self._frozen:
                if self._there.get(destination) is there:
                    mine = []
                    for each in reversed(there.segments):
                        if each < there.marked[0] >> 32:
                            break
                        if each <= number:
                            told = (size, total) if each == number else (0, 0)
                            mine.append((destination, each, there.segments[each][0], *told))
                    marks += reversed(mine)
            self._manifest.note([Marks(marks, added, [run.number for run in removed])], must=True)
            for _, there, number, size, total in self._frozen:
                there.marked = place(number, size), total

        yield from index.flush(lambda: self._mark, record)
        self._flushed += 1

    def _merge(self, runs: list[Run]) -> Generator[None, None, None]:
        def record(added: list[Run], removed: list[Run]) -> None:
            self._manifest.note([Marks([], added, [run.number for run in removed])], must=True)

        for run in (yield from self._index.merge(runs, lambda: self._mark, record)):
            self._past.append((run.name, 0))

    def _rot(self, problem: Rot) -> None:
        if problem.run.number not in self._rotten:
            log_event(log, "rot in an index; it is made anew", logging.ERROR, at=problem)
            self._rotten[problem.run.number] = problem.run

    def _reindex(self) -> Generator[None, None, None]:
        """Reads all that is owed once, a little at a step, enters it again, and drops the runs there were; a
        document that is entered twice does no harm."""
        index, old = self._index, {**self._index.runs, **self._rotten}
        for destination, there in list(self._there.items()):
            at, more = there.place, True
            while more and self._there.get(destination) is there:
                seen, more = 0, False
                rest = There(
                    place=max(at, there.place),
                    segments={each: [*words] for each, words in there.segments.items() if each >= at >> 32},
                )
                for where, end, _, kept in self._scan(destination, rest):
                    at, seen = end, seen + 1
                    entry = at_time(kept.expiry, destination, where)
                    if not self._is_past(entry, where):
                        index.tail.add(hashed(kept.id), entry)
                    if seen >= self._sizes.popped // 8:
                        more = True
                        break
                yield
                while index.wants_flush():
                    yield
        until = self._flushed + 2  # the first may have been frozen before
        while self._flushed < until:
            self._unmarked = max(self._unmarked, self._sizes.unmarked + 1)
            yield
        index.drop([*old.values()], lambda: self._manifest.note([Marks([], [], [*old])], must=True))
        self._past.extend((run.name, 0) for run in old.values())
        self._rotten = {number: run for number, run in self._rotten.items() if number not in old}

    def _snapshot(self) -> None:
        states = [
            (
                destination,
                there.place,
                there.ordinal,
                there.ahead,
                *there.marked,
                [(number, start) for number, (start, _) in there.segments.items()],
            )
            for destination, there in self._there.items()
        ]
        records: list[Record] = [State(states[at : at + STATES]) for at in range(0, len(states), STATES)]
        records.append(Marks([], list({**self._rotten, **self._index.runs}.values()), []))
        ended = [entry for where, entry in self._ended.items()]
        old = self._manifest.name
        records.append(Whole(self._number + 1, self._mark, ended, [name for name, _ in self._past]))
        old = self._manifest.snapshot(records)
        if old:
            self._past.append((old, 0))

    def close(self) -> None:
        """Where nothing is owed, nothing is left."""
        for name in list(self._jobs):
            self._abandon(name)
        for destination in list(self._handles):
            self._close(destination)
        if not self._there:
            self._clear()
            for name, _ in self._past:
                with contextlib.suppress(OSError):
                    self._folder.unlink(name)
        self._manifest.close(remove=not self._there)
