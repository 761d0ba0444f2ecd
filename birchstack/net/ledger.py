"""What is owed, on disk, so that it outlasts the process.

Owns the folder that lasts: one file with a line for each thing that happened, checked by its sum, and one
file for each body. Must never hold more than the limit (old and new file together, in whole blocks), never
decide what follows from the past, and never sync: what is written outlasts the process as it is.
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
WAITING, LOCKED = "ledger-next-", ".lock"  # the file of a process that waits while another holds the
APART = 1 << 32  # folder, and what tells that it lives; its bodies are numbered from here on
BLOCK = 512
LINE = 512  # room kept for what is still to be written of one document
GROWN = 131072  # the file is written anew when it is so long and mostly past
WAITS = 256  # told waits kept, the latest
log = logging.getLogger(__name__)


@dataclass(slots=True)
class Owed:
    """One document that was taken on; times are wall clock in milliseconds."""

    id: str
    type: str
    destination: int
    key: str | None
    expiry: float
    number: int  # of its body's file
    size: int
    repeat_key: str | None = None  # by which its endpoints know a repeat (Idempotency-Key)
    body: bytes = b""
    found: bool = False  # at the start, from a process before this one
    due: float = 0.0  # its expiry on the sender's own clock; not on disk
    sent: int = 0  # transmissions made
    failed: int = 0  # of those, failed otherwise than by a refusal
    out: tuple[str, float] | None = None  # zone and time of the one that is out
    doubt: list[tuple[str, float]] = field(default_factory=list)  # of those that may have run
    notice: tuple[str, float] | None = None  # result and wait to tell, owed until it is acknowledged

    def came_back(self, doubt: int, failed: int) -> None:
        if self.out is None:
            self.sent += 1  # it was not written, and counts all the same
        elif doubt:
            self.doubt.append(self.out)
        self.failed, self.out = self.failed + bool(failed), None


def blocks(size: int) -> int:
    return -(-size // BLOCK) * BLOCK


class Ledger:
    """owed is the truth of the moment, in the order taken; every change is on disk before it returns."""

    def __init__(self, folder: Folder, limit: int, waiting: str = "") -> None:
        """waiting: where another process holds the folder and sends, a name in hexadecimal digits that no
        other process ever had.

        A process that waits writes its own file and bodies, in a quarter of the room, and reads nothing of
        the other's. The process that holds the folder takes up the files of all that waited and have ended,
        as its own: at its start, and by adopt() while it runs. Guards against two processes that send the
        same documents, or write one file, and against documents left by one that ended before the holder. May
        hurt where the holder fills the folder: the quarter is not kept free for the one that waits."""
        self._folder, self._limit = folder, limit - 4 * 4096  # the folder itself may count
        self.owed: dict[str, Owed] = {}
        self.ended: dict[str, None] = {}  # ended before the start; the file still told of them
        self.waits: dict[str, float] = {}  # by endpoint, until when it told to wait, by the wall clock
        self.recoveries = Recoveries(self._limit)
        self._unsaved: dict[str, list] = {}  # lines of recoveries that a full disk did not take, by endpoint
        self.freed: Callable[[int], None] = lambda destination: None  # hears of each end, by destination
        self._theirs: dict[str, bool] = {}  # files that were taken up; whether this one's says so
        self._bodies = self._size = self._next = 0
        self._file, self._name = -1, FILE
        if waiting:
            self._name, self._limit = WAITING + waiting, self._limit // 4
            self._next = APART + int(waiting, 16)
            folder.lock(self._name + LOCKED)  # before there is a file that could be taken up
            self._file = folder.open(self._name, fresh=True)
        else:
            self._recover()

    # What happens

    def fits(self, sizes: list[int]) -> bool:
        """True if bodies of these sizes can be taken on."""
        lines = LINE * (len(self.owed) + len(sizes)) + recoveries.LINE * len(self.recoveries)
        bodies = self._bodies + sum(map(blocks, sizes))
        return bodies + blocks(2 * lines) + blocks(lines) + GROWN <= self._limit  # old file and new one

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
        """Raises OSError where it could not be kept; nothing is owed then."""
        owed = Owed(doc_id, kind, destination, key, expiry, self._next, len(body), repeat_key, body)
        self._next += 1
        try:
            if body:
                self._folder.write(self._body(owed), body)
            self._append(self._taken(owed))
        except OSError:
            self._drop(owed)
            raise
        self._bodies += blocks(owed.size)
        self.owed[doc_id] = owed
        return owed

    def call(self, owed: Owed, zone: str, when: float) -> None:
        """A transmission is about to be written. Raises OSError where it could not be noted: it must not."""
        self._append(["call", owed.id, zone, when])
        owed.sent, owed.out = owed.sent + 1, (zone, when)

    def back(self, owed: Owed, doubt: bool, failed: bool) -> None:
        """The transmission that was decided has its outcome, whether it was written or not.

        One that was not written has a record of its own: where a full disk lost the one of a call before it,
        that call stays in doubt, and its window and zone bind."""
        words = ["back", owed.id, int(doubt), int(failed)] if owed.out else ["kept", owed.id, int(failed)]
        owed.came_back(doubt, failed)
        self._note(words)
        self._tidy()

    def told(self, endpoint: str, until: float) -> None:
        """An endpoint told a wait; a process that follows this one keeps it too: an upgrade is one sender."""
        until = max(until, self.waits.pop(endpoint, until))
        self.waits[endpoint] = until
        if len(self.waits) > WAITS:
            del self.waits[next(iter(self.waits))]
        self._note(["wait", endpoint, until])

    def remember(self, now: float, recovery: Recovery) -> None:
        """An endpoint went away, came back or is warm: the process after this one goes on from there."""
        self._unsaved[recovery.endpoint] = self.recoveries.keep(now, recovery)
        if not self._save():
            say(
                log,
                "recovery not noted",
                logging.ERROR,
                endpoint=recovery.endpoint,
                waiting=len(self._unsaved),
            )

    def begin_recoveries_anew(self, now: float) -> None:
        """The clock of the process before cannot be trusted: what was warming up begins again, now."""
        if len(self.recoveries):
            self.recoveries.begin_anew(now)
            self.compact()
            say(log, "recoveries begin anew: no clock tells their age", endpoints=len(self.recoveries))

    def notice(self, owed: Owed, result: str, wait_ms: float) -> None:
        """The document is over and the platform is owed a notice."""
        owed.notice = result, wait_ms
        self._note(["notice", owed.id, result, wait_ms])
        self._forget_body(owed)
        self.freed(owed.destination)

    def done(self, owed: Owed) -> None:
        """Nothing more is owed."""
        if self.owed.pop(owed.id, None) is None:
            return
        self._note(["done", owed.id])
        self._forget_body(owed)
        self._tidy()

    def close(self) -> None:
        self._folder.close(self._file)
        if self._name != FILE:
            self._folder.unlock(self._name + LOCKED)

    def awaited(self) -> bool:
        """True if another process waits for this one to end."""
        return any(not ended for ended in self._waited().values())

    def adopt(self) -> list[Owed]:
        """Takes up what processes that waited left when they ended before this one. Returns the documents
        that are new here; a file that could not be taken up whole is tried again by the next call."""
        found = []
        for name in [name for name, ended in self._waited().items() if ended and name not in self._theirs]:
            try:
                left = Replayed(self._folder.read(name))
                fresh = [
                    owed
                    for each, owed in left.owed.items()
                    if each not in self.owed and each not in self.ended
                ]
                lines = [words for owed in fresh for words in self._lines_of(owed)]
                self._append(*lines, ["took", name])
            except OSError as problem:
                say(log, "not taken up", logging.ERROR, file=name, problem=problem)
                continue
            self._theirs[name] = True
            for owed in fresh:
                owed.found = True
                self._load(owed)
                self.owed[owed.id] = owed
            found += fresh
            say(log, "taken up", file=name, owed=len(fresh))
        self._remove()
        return found

    def _waited(self) -> dict[str, bool]:
        """The files of processes that wait or waited, and whether each has ended. One without its lock is of
        a version that had none: it counts as ended only once it does not hold the folder."""
        with contextlib.suppress(OSError):
            names = self._folder.names()
            return {
                name: self._folder.lock(name + LOCKED)
                for name in sorted(names)
                if name.startswith(WAITING) and "." not in name and (self._file < 0 or name + LOCKED in names)
            }
        return {}

    def _remove(self) -> None:
        """Removes the files that were taken up. One that cannot be removed is told of in this one, so that
        no later start takes its documents up again."""
        if not all(self._theirs.values()):
            self.compact()
        for name in [name for name, told in self._theirs.items() if told]:
            with contextlib.suppress(OSError):
                self._folder.unlink(name)
                del self._theirs[name]
                self._folder.unlock(name + LOCKED)

    def _tidy(self) -> None:
        wanted = LINE * len(self.owed) + recoveries.LINE * len(self.recoveries)
        if self._size > max(GROWN, 2 * wanted):
            self.compact()
        elif self._unsaved:
            self._save()

    def _save(self) -> bool:
        """Writes the lines of recoveries that are not on disk yet; True if all are there now."""
        try:
            self._append(*self._unsaved.values())
        except OSError:
            return False
        self._unsaved.clear()
        return True

    # On disk

    def _body(self, owed: Owed) -> str:
        return f"body-{owed.number}"

    def _drop(self, owed: Owed) -> None:
        with contextlib.suppress(OSError):
            self._folder.unlink(self._body(owed))

    def _forget_body(self, owed: Owed) -> None:
        if owed.size:
            self._drop(owed)
        self._bodies -= blocks(owed.size)
        owed.size, owed.body = 0, b""

    @staticmethod
    def _line(words: list) -> bytes:
        text = json.dumps(words, separators=(",", ":")).encode()
        return b"\n%08x %s" % (zlib.crc32(text), text)  # a torn line ends where the next one begins

    @staticmethod
    def _taken(owed: Owed) -> list:
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

    def _append(self, *lines: list) -> None:
        line = b"".join(map(self._line, lines))
        written = self._folder.append(self._file, line)
        self._size += written
        if written < len(line):
            raise OSError(f"{written} of {len(line)} bytes written")

    def _note(self, words: list) -> None:
        """Appends what has happened already, whatever the disk says."""
        try:
            self._append(words)
        except OSError as problem:
            say(log, "not noted", logging.ERROR, what=words[0], doc=words[1], problem=problem)

    def _lines_of(self, owed: Owed) -> list[list]:
        """The shortest past that leads to this document's present."""
        words = [self._taken(owed), ["past", owed.id, owed.sent, owed.failed, owed.out, owed.doubt]]
        return words + ([["notice", owed.id, *owed.notice]] if owed.notice else [])

    def compact(self) -> bool:
        """Writes the file anew with only what is owed; until the new one has its name the old one counts."""
        lines = [words for owed in self.owed.values() for words in self._lines_of(owed)]
        lines += [["wait", name, until] for name, until in self.waits.items()]
        lines += [["took", name] for name in self._theirs]
        lines += self.recoveries.lines()
        text = b"".join(map(self._line, lines))
        fresh = -1
        try:
            fresh = self._folder.open(self._name + ".new", fresh=True)
            if self._folder.append(fresh, text) < len(text):
                raise OSError("no room for the new ledger")
            self._folder.rename(self._name + ".new", self._name)
        except OSError as problem:
            if fresh >= 0:
                self._folder.close(fresh)
            self._size = 0  # tried again when as much has been written once more
            say(log, "not compacted", logging.ERROR, problem=problem)
            return False
        self._folder.close(self._file)
        self._file, self._size = fresh, len(text)
        self._theirs = dict.fromkeys(self._theirs, True)
        self._unsaved.clear()
        return True

    # At the start

    def _recover(self) -> None:
        """Those that waited first: where the folder's own file has their lines too, it was written later."""
        own, waited = b"", self._waited()
        with contextlib.suppress(FileNotFoundError):
            own = self._folder.read(FILE)
        taken = Replayed(own).took if waited else ()
        self._theirs = {name: name in taken for name, ended in waited.items() if ended}
        texts = [self._folder.read(name) for name, told in self._theirs.items() if not told]
        past = Replayed(b"\n".join([*texts, own]), self.recoveries)
        self.owed, self.ended, self.waits, self._next = past.owed, past.ended, past.waits, past.next
        for owed in self.owed.values():
            owed.found = True
            if owed.out:
                owed.doubt.append(owed.out)  # it may have run, and its outcome will not come
                owed.out = None
            self._load(owed)
        self._clear(not all(waited.values()))
        self._file = self._folder.open(FILE)
        self._remove()
        if own or texts:
            say(log, "recovered", owed=len(self.owed), torn=past.torn, recovering=len(self.recoveries))

    def _load(self, owed: Owed) -> None:
        if owed.notice:
            owed.size = 0
        if not owed.size:
            return
        with contextlib.suppress(OSError):
            owed.body = self._folder.read(self._body(owed))
        if len(owed.body) == owed.size:
            self._bodies += blocks(owed.size)
        else:  # cannot be sent any more: its end is still owed
            say(log, "body lost", logging.ERROR, doc=owed.id)
            owed.size, owed.body, owed.notice = 0, b"", ("dead", 0.0)

    def _clear(self, others: bool) -> None:
        """Removes what belongs to no document; where another process waits, nothing that may be its own."""
        wanted = {self._body(owed) for owed in self.owed.values() if owed.size}
        for name in self._folder.names():
            number = name[5:] if name.startswith("body-") else ""
            apart = others and number.isdecimal() and int(number) >= APART
            if number and name not in wanted and not apart or name.endswith(".new"):
                with contextlib.suppress(OSError):
                    self._folder.unlink(name)


class Replayed:
    """What the lines of a file lead to."""

    def __init__(self, text: bytes, known: Recoveries | None = None) -> None:
        """known: where records of endpoints that were away go; none are wanted without it."""
        self._recoveries = Recoveries(0) if known is None else known
        self.owed: dict[str, Owed] = {}
        self.ended: dict[str, None] = {}
        self.waits: dict[str, float] = {}
        self.took: set[str] = set()  # files of processes that waited: their documents are here
        self.next = self.torn = 0  # after the last body's number; lines that cannot be read
        for line in filter(None, text.split(b"\n")):
            try:
                if int(line[:8], 16) != zlib.crc32(line[9:]):
                    raise ValueError("sum")
                self._replay(*json.loads(line[9:]))
            except (ValueError, TypeError, KeyError):
                self.torn += 1  # a record that was being written at the end, or a broken disk
                self._recoveries.replay_cut(line)

    def _replay(self, what: str, doc_id: str, *words) -> None:
        if what == "wait":  # of an endpoint, not a document
            self.waits[doc_id] = max(float(words[0]), self.waits.pop(doc_id, 0.0))
            return
        if what in recoveries.STAGES:
            self._recoveries.replay(what, doc_id, *words)
            return
        if what == "took":  # nor this
            self.took.add(doc_id)
            return
        if what == "take":
            self.owed[doc_id] = Owed(doc_id, *words)
            self.next = max(self.next, self.owed[doc_id].number + 1)
            return
        owed = self.owed[doc_id]
        if what == "call":
            if owed.out:  # the record of how it ended is not there
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
