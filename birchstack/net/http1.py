"""HTTP/1.1 as state machines: bytes in, small typed values out, and back.

Owns the syntax and its limits: heads, lengths, chunks, keep-alive. Must never know a socket or a clock, and
never what a message is for. What breaks the syntax or a limit raises Malformed; the reader is then spent.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

MAX_HEAD, MAX_BODY, MAX_LINE = 16384, 65536, 256
MAX_INFORMED = 32  # so many 1xx answers may come before the one that counts
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
END = None  # the event that closes a message
REASONS = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
}
TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]"
FIELD = re.compile(rf"({TOKEN}+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)")
REQUEST_LINE = re.compile(rf"({TOKEN}{{1,16}}) ([!-~\x80-\xff]+) (HTTP/1\.[01])")
REQUEST_BEGINS = re.compile(rf"{TOKEN}{{1,16}}( |\Z)".encode())
STATUS_LINE = re.compile(r"(HTTP/1\.[01]) ([1-5][0-9][0-9])(?: [^\r\n]*)?")
LENGTH = {10: re.compile("[0-9]{1,15}"), 16: re.compile("[0-9a-fA-F]{1,12}")}
ONCE = ("content-length", "transfer-encoding", "host")


class Malformed(Exception):
    """Not HTTP/1.1, or beyond a limit; status is what a server would answer."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Request:
    method: str
    path: str
    fields: dict[str, str]
    keep: bool
    query: str = ""  # what follows the path's "?", as it came


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    fields: dict[str, str]
    keep: bool


def _number(text: str, base: int = 10) -> int:
    if not LENGTH[base].fullmatch(text):
        raise Malformed("not a length")
    return int(text, base)


def _fields(lines: list[str]) -> dict[str, str]:
    fields: dict[str, str] = {}
    for line in lines:
        field = FIELD.fullmatch(line)
        if not field:
            raise Malformed("header line")
        name, value = field[1].lower(), field[2].rstrip(" \t")
        if name in fields:
            if name in ONCE:
                raise Malformed("a header that may come only once")
            value = f"{fields[name]}, {value}"
        fields[name] = value
    return fields


class Reader:
    """Cuts a stream into messages. feed() returns events: a head, pieces of its body, END; and so on."""

    def __init__(self, max_body: int | None = MAX_BODY) -> None:
        self._held, self._state, self._max = bytearray(), self._first, max_body
        self._left = self._seen = 0

    def feed(self, data: bytes | memoryview) -> Iterator:
        """Each event is told before what follows it is looked at."""
        self._held += data
        more = True
        while more:
            events: list = []
            more = self._state(events)
            yield from events

    @property
    def between(self) -> bool:
        """True if no byte of a message unfinished is held."""
        return self._state == self._first and not self._held

    def ended(self) -> bool:
        """The stream is at its end: true if that completes a message whose length was not told."""
        return self._state == self._until_end

    def _line(self, most: int) -> str | None:
        at = self._held.find(b"\r\n", 0, most + 2)
        if at < 0:
            if len(self._held) > most:
                raise Malformed("line too long", 431)
            return None
        line = self._held[:at].decode("latin-1")
        del self._held[: at + 2]
        return line

    def _first(self, events: list) -> bool:
        """A message's first bytes: what they cannot become is told before the head is whole."""
        raise NotImplementedError

    def _head(self, events: list) -> bool:
        at = self._held.find(b"\r\n\r\n", 0, MAX_HEAD + 4)
        if at < 0:
            if len(self._held) > MAX_HEAD:
                raise Malformed("head too long", 431)
            if self._held.count(b"\n") != self._held.count(b"\r\n"):
                raise Malformed("bare line feed")
            return False
        first, *lines = self._held[:at].decode("latin-1").split("\r\n")
        del self._held[: at + 4]
        self._state = self._first
        self._begin(first, _fields(lines), events)
        return True

    def _begin(self, first: str, fields: dict[str, str], events: list) -> None:
        raise NotImplementedError

    def _keeps(self, version: str, fields: dict[str, str]) -> bool:
        words = {word.strip().lower() for word in fields.get("connection", "").split(",")}
        return "close" not in words and (version == "HTTP/1.1" or "keep-alive" in words)

    def _body(self, fields: dict[str, str], else_until_end: bool, events: list) -> None:
        coding, length = fields.get("transfer-encoding"), fields.get("content-length")
        self._seen = 0
        if coding is not None:
            if length is not None:
                raise Malformed("length and transfer coding")
            if coding.lower() != "chunked":
                raise Malformed("transfer coding", 501)
            self._state = self._size
        elif length is not None or not else_until_end:
            self._left = _number(length) if length is not None else 0
            self._bound(self._left)
            self._state = self._whole
        else:
            self._state = self._until_end

    def _bound(self, more: int) -> None:
        self._seen += more
        if self._max is not None and self._seen > self._max:
            raise Malformed("body too long", 413)

    def _take(self, events: list) -> None:
        if self._left and self._held:
            events.append(bytes(self._held[: self._left]))
            del self._held[: self._left]
            self._left -= len(events[-1])

    def _whole(self, events: list) -> bool:
        self._take(events)
        if self._left:
            return False
        self._state = self._first
        events.append(END)
        return bool(self._held)

    def _size(self, events: list) -> bool:
        line = self._line(MAX_LINE)
        if line is None:
            return False
        self._left = _number(line.partition(";")[0].strip(), 16)
        self._bound(self._left)
        self._state = self._chunk if self._left else self._trailer
        return True

    def _chunk(self, events: list) -> bool:
        self._take(events)
        if self._left or len(self._held) < 2:
            return False
        if self._held[:2] != b"\r\n":
            raise Malformed("chunk without its end")
        del self._held[:2]
        self._state = self._size
        return True

    def _trailer(self, events: list) -> bool:
        line = self._line(MAX_LINE)
        if line is None:
            return False
        if line:
            _fields([line])
            self._bound(len(line))
        else:
            self._state = self._first
            events.append(END)
        return bool(self._held)

    def _until_end(self, events: list) -> bool:
        if self._held:
            events.append(bytes(self._held))
            self._bound(len(self._held))
            self._held.clear()
        return False


class Requests(Reader):
    """What a server reads."""

    _blank = False

    def _first(self, events: list) -> bool:
        if self._held[:2] == b"\r\n" and not self._blank:  # one empty line before a first line may pass
            del self._held[:2]
            self._blank = True
        if not self._held or self._held == b"\r":
            return False
        if not REQUEST_BEGINS.match(self._held):
            raise Malformed("request line")
        self._state = self._head
        return True

    def _begin(self, first: str, fields: dict[str, str], events: list) -> None:
        line = REQUEST_LINE.fullmatch(first)
        if not line:
            raise Malformed("request line")
        method, target, version = line.groups()
        self._blank = False
        if "host" not in fields and version == "HTTP/1.1":
            raise Malformed("no host")
        path, _, query = target.partition("?")
        events.append(Request(method, path, fields, self._keeps(version, fields), query))
        self._body(fields, False, events)


class Responses(Reader):
    """What a client reads."""

    told, _informed = 0, 0  # the status of the last first line that came whole; 1xx so far

    def _first(self, events: list) -> bool:
        if self._held[:7] != b"HTTP/1."[: len(self._held)]:
            raise Malformed("status line")
        at = self._held.find(b"\n", 0, MAX_HEAD)
        if at < 0:
            if len(self._held) > MAX_HEAD:
                raise Malformed("status line", 431)
            return False
        line = STATUS_LINE.fullmatch(self._held[:at].decode("latin-1").removesuffix("\r"))
        if not line:
            raise Malformed("status line")
        status = int(line[2])
        if status >= 200:
            self.told = status
        self._state = self._head
        return True

    def _begin(self, first: str, fields: dict[str, str], events: list) -> None:
        line = STATUS_LINE.fullmatch(first)
        if not line:
            raise Malformed("status line")
        status, keep = int(line[2]), self._keeps(line[1], fields)
        if status < 200:  # an answer to come is announced
            self._informed += 1
            if self._informed > MAX_INFORMED or status == 101:
                raise Malformed("only announcements")
            return
        until_end = (
            fields.get("transfer-encoding") is None
            and fields.get("content-length") is None
            and status not in (204, 304)
        )
        events.append(Response(status, fields, keep and not until_end))
        self._body({} if status in (204, 304) else fields, until_end, events)


def _message(first: str, fields: dict[str, object], body: bytes) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def response(status: int, fields: dict[str, object] | None = None, close: bool = False) -> bytes:
    ends = {"Connection": "close"} if close else {}
    return _message(
        f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
        {**(fields or {}), "Content-Length": 0, **ends},
        b"",
    )


def request(
    method: str, path: str, host: str, fields: dict[str, object] | None = None, body: bytes = b""
) -> bytes:
    length = {"Content-Length": len(body)} if method == "POST" else {}
    return _message(f"{method} {path} HTTP/1.1", {"Host": host, **(fields or {}), **length}, body)
