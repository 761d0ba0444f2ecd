"""HTTP/1.1 as state machines: bytes in, small typed values out, and back.

Owns the syntax and its limits: heads, lengths, chunks, keep-alive. Must never know a socket or a clock, and
never what a message is for. What breaks the syntax or a limit raises Malformed; the reader is then spent.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_HEAD, MAX_BODY, MAX_LINE = 16384, 65536, 1024
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
END = None                              # the event that closes a message
REASONS = {200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
           405: "Method Not Allowed", 413: "Content Too Large", 429: "Too Many Requests",
           431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
           503: "Service Unavailable"}
TOKEN = frozenset("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")


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


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    fields: dict[str, str]
    keep: bool


def _number(text: str, base: int = 10) -> int:
    if not text or not text.isascii() or not all(letter in "0123456789abcdefABCDEF"[:10 if base == 10 else 22]
                                                 for letter in text) or len(text) > 15:
        raise Malformed("not a length")
    return int(text, base)


def _fields(lines: list[str]) -> dict[str, str]:
    fields: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or not name or not TOKEN.issuperset(name):
            raise Malformed("header line")
        name, value = name.lower(), value.strip(" \t")
        if "\0" in value or "\r" in value:
            raise Malformed("control character in a header")
        if name in fields:
            if name == "content-length" and fields[name] != value:
                raise Malformed("two lengths")
            value = value if name == "content-length" else f"{fields[name]}, {value}"
        fields[name] = value
    return fields


class Reader:
    """Cuts a stream into messages. feed() returns events: a head, pieces of its body, END; and so on."""

    def __init__(self, max_body: int | None = MAX_BODY) -> None:
        self._held, self._state, self._max = bytearray(), self._head, max_body
        self._left = self._seen = 0

    def feed(self, data: bytes | memoryview) -> list:
        self._held += data
        events: list = []
        while self._state(events):
            pass
        return events

    @property
    def between(self) -> bool:
        """True if no byte of a message unfinished is held."""
        return self._state == self._head and not self._held

    def ended(self) -> bool:
        """The stream is at its end: true if that completes a message whose length was not told."""
        return self._state == self._until_end

    def _line(self, most: int) -> str | None:
        at = self._held.find(b"\n", 0, most + 2)
        if at < 0:
            if len(self._held) > most:
                raise Malformed("line too long", 431)
            return None
        line = self._held[:at].decode("latin-1")
        del self._held[:at + 1]
        return line.removesuffix("\r")

    def _head(self, events: list) -> bool:
        while self._held[:2] == b"\r\n" or self._held[:1] == b"\n":     # empty lines before a first line
            del self._held[:1 + (self._held[:1] == b"\r")]
        ends = [(at, at + len(mark)) for mark in (b"\r\n\r\n", b"\n\n")
                if (at := self._held.find(mark, 0, MAX_HEAD + 4)) >= 0]
        if not ends:
            if len(self._held) > MAX_HEAD:
                raise Malformed("head too long", 431)
            return False
        at, after = min(ends)
        first, *lines = self._held[:at].decode("latin-1").replace("\r\n", "\n").split("\n")
        del self._held[:after]
        self._begin(first, _fields(lines), events)
        return True

    def _begin(self, first: str, fields: dict[str, str], events: list) -> None:
        raise NotImplementedError

    def _keeps(self, version: str, fields: dict[str, str]) -> bool:
        if version not in ("HTTP/1.1", "HTTP/1.0"):
            raise Malformed("version")
        words = {word.strip().lower() for word in fields.get("connection", "").split(",")}
        return "close" not in words and (version == "HTTP/1.1" or "keep-alive" in words)

    def _body(self, fields: dict[str, str], else_until_end: bool, events: list) -> None:
        coding, length = fields.get("transfer-encoding"), fields.get("content-length")
        self._seen = 0
        if coding is not None:
            if coding.lower() != "chunked":
                raise Malformed("transfer coding", 501)
            if length is not None:
                raise Malformed("length and transfer coding")
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
            events.append(bytes(self._held[:self._left]))
            del self._held[:self._left]
            self._left -= len(events[-1])

    def _whole(self, events: list) -> bool:
        self._take(events)
        if self._left:
            return False
        self._state = self._head
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
        if not line:
            self._state = self._head
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

    def _begin(self, first: str, fields: dict[str, str], events: list) -> None:
        words = first.split(" ")
        if len(words) != 3 or not words[0] or not TOKEN.issuperset(words[0]) or not words[1]:
            raise Malformed("request line")
        method, target, version = words
        if "host" not in fields and version == "HTTP/1.1":
            raise Malformed("no host")
        events.append(Request(method, target.partition("?")[0], fields, self._keeps(version, fields)))
        self._body(fields, False, events)


class Responses(Reader):
    """What a client reads."""

    def told(self) -> int:
        """The status of a first line that has come whole, though the head has not; else 0."""
        first, newline, _ = self._held.partition(b"\n")
        words = first.split(b" ", 2)
        whole = newline and self._state == self._head and words[0] in (b"HTTP/1.1", b"HTTP/1.0")
        return int(words[1]) if whole and len(words) > 1 and words[1].strip().isdigit() else 0

    def _begin(self, first: str, fields: dict[str, str], events: list) -> None:
        version, _, rest = first.partition(" ")
        status = _number(rest[:3])
        if len(rest) > 3 and rest[3] != " " or not 100 <= status <= 599:
            raise Malformed("status line")
        keep = self._keeps(version, fields)
        if status < 200:                # an answer to come is announced
            return
        until_end = fields.get("transfer-encoding") is None and fields.get("content-length") is None \
            and status not in (204, 304)
        events.append(Response(status, fields, keep and not until_end))
        self._body({} if status in (204, 304) else fields, until_end, events)


def _message(first: str, fields: dict[str, object], body: bytes) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def response(status: int, fields: dict[str, object] | None = None, close: bool = False) -> bytes:
    ends = {"Connection": "close"} if close else {}
    return _message(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
                    {**(fields or {}), "Content-Length": 0, **ends}, b"")


def request(method: str, path: str, host: str, fields: dict[str, object] | None = None,
            body: bytes = b"") -> bytes:
    length = {"Content-Length": len(body)} if method == "POST" else {}
    return _message(f"{method} {path} HTTP/1.1", {"Host": host, **(fields or {}), **length}, body)
