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

from birchstack.net.log import say
from birchstack.net.machine import Folder

FILE = "ledger"
WAITING = "ledger-next-"        # the file of a process that waits while another holds the folder
APART = 1 << 32                 # its bodies are numbered so far above all there are
BLOCK = 512
LINE = 512                      # room kept for what is still to be written of one document
GROWN = 131072                  # the file is written anew when it is so long and mostly past
WAITS = 256                     # told waits kept, the latest
log = logging.getLogger(__name__)


@dataclass(slots=True)
class Owed:
    """One document that was taken on; times are wall clock in milliseconds."""

    id: str
    type: str
    destination: int
    key: str | None
    expiry: float
    number: int                 # of its body's file
    size: int
    repeat_key: str | None = None   # by which its endpoints know a repeat (Idempotency-Key)
    body: bytes = b""
    found: bool = False         # at the start, from a process before this one
    due: float = 0.0            # its expiry on the sender's own clock; not on disk
    sent: int = 0               # transmissions made
    failed: int = 0             # of those, failed otherwise than by a refusal
    out: tuple[str, float] | None = None    # zone and time of the one that is out
    doubt: list[tuple[str, float]] = field(default_factory=list)    # of those that may have run
    notice: tuple[str, float] | None = None     # result and wait to tell, owed until it is acknowledged


def blocks(size: int) -> int:
    return -(-size // BLOCK) * BLOCK


class Ledger:
    """owed is the truth of the moment, in the order taken; every change is on disk before it returns."""

    def __init__(self, folder: Folder, limit: int, waiting: str = "") -> None:
        """waiting: the name that sets this process apart, where another process holds the folder and sends.

        A process that waits writes its own file and bodies, in a quarter of the room, and reads nothing of
        the other's. The process that holds the folder takes up at its start the files of all that waited, as
        its own. Guards against two processes that send the same documents, or write one file. May hurt where
        the one that holds the folder fills it: the quarter is not kept free for the one that waits."""
        self._folder, self._limit = folder, limit - 4 * 4096    # the folder itself may count
        self.owed: dict[str, Owed] = {}
        self.ended: dict[str, None] = {}        # ended before the start; the file still told of them
        self.waits: dict[str, float] = {}       # by endpoint, until when it told to wait, by the wall clock
        self.freed: Callable[[int], None] = lambda destination: None    # hears of each end, by destination
        self._bodies = self._size = self._next = 0
        self._file, self._name = -1, FILE
        if waiting:
            self._name, self._limit = WAITING + waiting, self._limit // 4
            numbers = [each[5:] for each in folder.names() if each.startswith("body-")]
            self._next = max((int(each) for each in numbers if each.isdecimal()), default=0) + APART
            self._file = folder.open(self._name, fresh=True)
        else:
            self._recover()

    # What happens

    def fits(self, sizes: list[int]) -> bool:
        """True if bodies of these sizes can be taken on."""
        lines = LINE * (len(self.owed) + len(sizes))
        bodies = self._bodies + sum(map(blocks, sizes))
        return bodies + blocks(2 * lines) + blocks(lines) + GROWN <= self._limit    # old file and new one

    def take(self, doc_id: str, kind: str, destination: int, key: str | None, expiry: float,
             body: bytes, repeat_key: str | None = None) -> Owed:
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
        self._came_back(owed, doubt, failed)
        self._note(words)
        self._tidy()

    def told(self, endpoint: str, until: float) -> None:
        """An endpoint told a wait; a process that follows this one keeps it too: an upgrade is one sender."""
        until = max(until, self.waits.pop(endpoint, until))
        self.waits[endpoint] = until
        if len(self.waits) > WAITS:
            del self.waits[next(iter(self.waits))]
        self._note(["wait", endpoint, until])

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

    def _tidy(self) -> None:
        if self._size > max(GROWN, 2 * LINE * len(self.owed)):
            self.compact()

    @staticmethod
    def _came_back(owed: Owed, doubt: int, failed: int) -> None:
        if owed.out is None:
            owed.sent += 1              # it was not written, and counts all the same
        elif doubt:
            owed.doubt.append(owed.out)
        owed.failed, owed.out = owed.failed + bool(failed), None

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
        return b"\n%08x %s" % (zlib.crc32(text), text)    # a torn line ends where the next one begins

    @staticmethod
    def _taken(owed: Owed) -> list:
        return ["take", owed.id, owed.type, owed.destination, owed.key, owed.expiry, owed.number, owed.size,
                *([owed.repeat_key] if owed.repeat_key else [])]

    def _append(self, words: list) -> None:
        line = self._line(words)
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
            self._size = 0              # tried again when as much has been written once more
            say(log, "not compacted", logging.ERROR, problem=problem)
            return False
        self._folder.close(self._file)
        self._file, self._size = fresh, len(text)
        return True

    # At the start

    def _recover(self) -> None:
        """Those that waited first: where the folder's own file has their lines too, it was written later."""
        waited = sorted(name for name in self._folder.names() if name.startswith(WAITING) and "." not in name)
        lines = []
        for name in [*waited, FILE]:
            with contextlib.suppress(FileNotFoundError):
                lines += self._folder.read(name).split(b"\n")
        torn = 0
        for line in filter(None, lines):
            try:
                if int(line[:8], 16) != zlib.crc32(line[9:]):
                    raise ValueError("sum")
                self._replay(*json.loads(line[9:]))
            except (ValueError, TypeError, KeyError):
                torn += 1               # a record that was being written at the end, or a broken disk
        for owed in self.owed.values():
            owed.found = True
            if owed.out:
                owed.doubt.append(owed.out)     # it may have run, and its outcome will not come
                owed.out = None
        self._load_bodies()
        self._file = self._folder.open(FILE)
        for name in waited if self.compact() else []:     # theirs is in the folder's own file now
            with contextlib.suppress(OSError):
                self._folder.unlink(name)
        if lines:
            say(log, "recovered", owed=len(self.owed), torn=torn)

    def _replay(self, what: str, doc_id: str, *words) -> None:
        if what == "wait":              # of an endpoint, not a document
            self.waits[doc_id] = max(float(words[0]), self.waits.pop(doc_id, 0.0))
            return
        if what == "take":
            self.owed[doc_id] = Owed(doc_id, *words)
            self._next = max(self._next, self.owed[doc_id].number + 1)
            return
        owed = self.owed[doc_id]
        if what == "call":
            if owed.out:                # the record of how it ended is not there
                owed.doubt.append(owed.out)
            owed.sent, owed.out = owed.sent + 1, (words[0], words[1])
        elif what == "kept":
            owed.sent, owed.failed = owed.sent + 1, owed.failed + words[0]
        elif what == "back":
            self._came_back(owed, *words)
        elif what == "past":
            owed.sent, owed.failed, out, doubt = words
            owed.out, owed.doubt = tuple(out) if out else None, [(zone, when) for zone, when in doubt]
        elif what == "notice":
            owed.notice = words[0], words[1]
        elif what == "done":
            del self.owed[doc_id]
            self.ended[doc_id] = None

    def _load_bodies(self) -> None:
        wanted = set()
        for owed in self.owed.values():
            if owed.notice:
                owed.size = 0
            if not owed.size:
                continue
            try:
                owed.body = self._folder.read(self._body(owed))
            except OSError:
                owed.body = b""
            if len(owed.body) == owed.size:
                wanted.add(self._body(owed))
                self._bodies += blocks(owed.size)
            else:                       # cannot be sent any more: its end is still owed
                say(log, "body lost", logging.ERROR, doc=owed.id)
                owed.size, owed.body, owed.notice = 0, b"", ("dead", 0.0)
        for name in self._folder.names():
            if name.startswith("body-") and name not in wanted or name.endswith(".new"):
                with contextlib.suppress(OSError):
                    self._folder.unlink(name)
