"""HTTP/1.1 without I/O: parsers from bytes to typed events, and encoders.

Owns the syntax and its limits: heads, lengths, chunks, keep-alive. Knows no socket, no clock and not what a
message is for. Input that breaks the syntax or a limit raises MalformedError; the reader is then unusable.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

MAX_HEAD = 16384  # bytes
MAX_BODY = 65536  # bytes
MAX_LINE = 256  # bytes, of a chunk's size line and of a trailer line
MAX_FIELDS = 128  # header fields of a message, and its trailer fields
MAX_CHUNKS = 4096  # of a body whose size is limited
MAX_INTERIM_RESPONSES = 32  # 1xx responses before the final one
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
END = None  # the event at the end of a message
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
REQUEST_LINE_START = re.compile(rf"{TOKEN}{{1,16}}( |\Z)".encode())
STATUS_LINE = re.compile(r"(HTTP/1\.[01]) ([1-5][0-9][0-9])(?: [^\r\n]*)?")
LENGTH = {10: re.compile("[0-9]{1,15}"), 16: re.compile("[0-9a-fA-F]{1,12}")}  # by base
SINGLE_FIELDS = ("content-length", "transfer-encoding", "host")  # may occur only once


class MalformedError(Exception):
    """Not HTTP/1.1, or beyond a limit; status is the one that a server would answer."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Request:
    """The head of a request; names of fields are in lower case."""

    method: str
    path: str
    fields: dict[str, str]
    keep_alive: bool  # whether the connection persists after the message
    query: str = ""  # what follows the path's "?", not decoded


@dataclass(frozen=True, slots=True)
class Response:
    """The head of a response; names of fields are in lower case."""

    status: int
    fields: dict[str, str]
    keep_alive: bool  # whether the connection persists after the message


def _parse_length(text: str, base: int = 10) -> int:
    if not LENGTH[base].fullmatch(text):
        raise MalformedError("invalid length")
    return int(text, base)


def _parse_fields(lines: list[str]) -> dict[str, str]:
    fields: dict[str, str] = {}
    for line in lines:
        field = FIELD.fullmatch(line)
        if not field:
            raise MalformedError("invalid header line")
        name, value = field[1].lower(), field[2].rstrip(" \t")
        if name in fields:
            if name in SINGLE_FIELDS:
                raise MalformedError("duplicate header")
            value = f"{fields[name]}, {value}"
        fields[name] = value
    return fields


class MessageReader:
    """Parses a stream of messages: feed() returns a head, pieces of its body and END for each of them.

    _state is the function that parses the next bytes. It appends events to a list, and returns whether to go
    on with the bytes that are left. It is not a bound method, which would make the reader a reference cycle.
    """

    def __init__(self, max_body: int | None = MAX_BODY) -> None:
        self._buffer = bytearray()
        self._state = type(self)._start
        self.pending = False  # whether step() may find more without more bytes
        self._max_body = max_body
        self._remaining = 0  # bytes of the body or of the chunk
        self._body_size = 0  # announced so far, for the limit
        self._trailer_fields = self._chunks = 0

    def append(self, data: bytes | memoryview) -> None:
        """Adds bytes, for step()."""
        self._buffer += data
        self.pending = True

    def step(self) -> list:
        """Parses the next part of a message: a head, a piece of a body, or a line. Returns its events."""
        events: list = []
        self.pending = self._state(self, events)
        return events

    def feed(self, data: bytes | memoryview) -> Iterator:
        """Parses more bytes. Each event is returned before the bytes after it are looked at."""
        self.append(data)
        while self.pending:
            yield from self.step()

    @property
    def held_bytes(self) -> int:
        """Number of bytes that are held and not parsed yet."""
        return len(self._buffer)

    def discard(self) -> None:
        """Frees what is held; nothing more is read."""
        self._buffer = bytearray()
        self.pending = False

    @property
    def between_messages(self) -> bool:
        """True if no byte of an incomplete message is held."""
        return self._state is type(self)._start and not self._buffer

    @property
    def starting(self) -> bool:
        """True if the next step parses the first bytes of a message."""
        return self._state is type(self)._start and bool(self._buffer)

    def complete_at_end(self) -> bool:
        """True if the end of the stream would complete a message without a declared length."""
        return self._state is type(self)._read_until_end

    def _read_line(self, max_bytes: int) -> str | None:
        at = self._buffer.find(b"\r\n", 0, max_bytes + 2)
        if at < 0:
            if len(self._buffer) > max_bytes:
                raise MalformedError("line too long", 431)
            return None
        line = self._buffer[:at].decode("latin-1")
        del self._buffer[: at + 2]
        return line

    def _start(self, events: list) -> bool:
        """Validates the first bytes of a message, before its head is complete."""
        raise NotImplementedError

    def _read_head(self, events: list) -> bool:
        at = self._buffer.find(b"\r\n\r\n", 0, MAX_HEAD + 4)
        if at < 0:
            if len(self._buffer) > MAX_HEAD:
                raise MalformedError("head too long", 431)
            lines_so_far = self._buffer.count(b"\n")
            if lines_so_far != self._buffer.count(b"\r\n"):
                raise MalformedError("bare line feed")
            if lines_so_far > MAX_FIELDS + 1:
                raise MalformedError("too many header fields", 431)
            return False
        if self._buffer.count(b"\r\n", 0, at) > MAX_FIELDS:
            raise MalformedError("too many header fields", 431)
        first, *lines = self._buffer[:at].decode("latin-1").split("\r\n")
        del self._buffer[: at + 4]
        self._state = type(self)._start
        self._on_head(first, _parse_fields(lines), events)
        return True

    def _on_head(self, first: str, fields: dict[str, str], events: list) -> None:
        """Handles a complete head; first: the request line or the status line."""
        raise NotImplementedError

    def _keep_alive(self, version: str, fields: dict[str, str]) -> bool:
        options = {option.strip().lower() for option in fields.get("connection", "").split(",")}
        return "close" not in options and (version == "HTTP/1.1" or "keep-alive" in options)

    def _start_body(self, fields: dict[str, str], else_until_end: bool, events: list) -> None:
        """Chooses how the body is read; else_until_end: without a declared length it ends with the stream."""
        coding, length = fields.get("transfer-encoding"), fields.get("content-length")
        self._body_size = self._trailer_fields = self._chunks = 0
        if coding is not None:
            if length is not None:
                raise MalformedError("both Content-Length and Transfer-Encoding")
            if coding.lower() != "chunked":
                raise MalformedError("transfer coding not supported", 501)
            self._state = type(self)._read_chunk_size
        elif length is not None or not else_until_end:
            self._remaining = _parse_length(length) if length is not None else 0
            self._check_body_size(self._remaining)
            self._state = type(self)._read_fixed_length
        else:
            self._state = type(self)._read_until_end

    def _check_body_size(self, more: int) -> None:
        self._body_size += more
        if self._max_body is not None and self._body_size > self._max_body:
            raise MalformedError("body too long", 413)

    def _take_body(self, events: list) -> None:
        if self._remaining and self._buffer:
            events.append(bytes(self._buffer[: self._remaining]))
            del self._buffer[: self._remaining]
            self._remaining -= len(events[-1])

    def _read_fixed_length(self, events: list) -> bool:
        self._take_body(events)
        if self._remaining:
            return False
        self._state = type(self)._start
        events.append(END)
        return bool(self._buffer)

    def _read_chunk_size(self, events: list) -> bool:
        line = self._read_line(MAX_LINE)
        if line is None:
            return False
        self._remaining = _parse_length(line.partition(";")[0].strip(), 16)
        self._check_body_size(self._remaining)
        self._chunks += 1
        if self._max_body is not None and self._chunks > MAX_CHUNKS:
            raise MalformedError("too many chunks", 413)
        self._state = type(self)._read_chunk if self._remaining else type(self)._read_trailer
        return True

    def _read_chunk(self, events: list) -> bool:
        self._take_body(events)
        if self._remaining or len(self._buffer) < 2:
            return False
        if self._buffer[:2] != b"\r\n":
            raise MalformedError("chunk not terminated by CRLF")
        del self._buffer[:2]
        self._state = type(self)._read_chunk_size
        return True

    def _read_trailer(self, events: list) -> bool:
        line = self._read_line(MAX_LINE)
        if line is None:
            return False
        if line:
            self._trailer_fields += 1
            if self._trailer_fields > MAX_FIELDS:
                raise MalformedError("too many trailer fields", 413)
            _parse_fields([line])
            self._check_body_size(len(line))
        else:
            self._state = type(self)._start
            events.append(END)
        return bool(self._buffer)

    def _read_until_end(self, events: list) -> bool:
        if self._buffer:
            events.append(bytes(self._buffer))
            self._check_body_size(len(self._buffer))
            self._buffer.clear()
        return False


class RequestReader(MessageReader):
    """Parses requests, for a server."""

    _skipped_blank = False  # an empty line before the request line, as RFC 9112 permits

    def _start(self, events: list) -> bool:
        if self._buffer[:2] == b"\r\n" and not self._skipped_blank:
            del self._buffer[:2]
            self._skipped_blank = True
        if not self._buffer or self._buffer == b"\r":
            return False
        if not REQUEST_LINE_START.match(self._buffer):
            raise MalformedError("invalid request line")
        self._state = type(self)._read_head
        return True

    def _on_head(self, first: str, fields: dict[str, str], events: list) -> None:
        line = REQUEST_LINE.fullmatch(first)
        if not line:
            raise MalformedError("invalid request line")
        method, target, version = line.groups()
        self._skipped_blank = False
        if "host" not in fields and version == "HTTP/1.1":
            raise MalformedError("no Host header")
        path, _, query = target.partition("?")
        events.append(Request(method, path, fields, self._keep_alive(version, fields), query))
        self._start_body(fields, False, events)


class ResponseReader(MessageReader):
    """Parses responses, for a client."""

    status = 0  # status of the last complete status line that is not a 1xx; its head may be incomplete
    _interim = 0  # 1xx responses so far

    def _start(self, events: list) -> bool:
        if self._buffer[:7] != b"HTTP/1."[: len(self._buffer)]:
            raise MalformedError("invalid status line")
        at = self._buffer.find(b"\n", 0, MAX_HEAD)
        if at < 0:
            if len(self._buffer) > MAX_HEAD:
                raise MalformedError("status line too long", 431)
            return False
        line = STATUS_LINE.fullmatch(self._buffer[:at].decode("latin-1").removesuffix("\r"))
        if not line:
            raise MalformedError("invalid status line")
        status = int(line[2])
        if status >= 200:
            self.status = status
        self._state = type(self)._read_head
        return True

    def _on_head(self, first: str, fields: dict[str, str], events: list) -> None:
        line = STATUS_LINE.fullmatch(first)
        if not line:
            raise MalformedError("invalid status line")
        status, keep = int(line[2]), self._keep_alive(line[1], fields)
        if status < 200:  # an interim response: the final one is still to come
            self._interim += 1
            if self._interim > MAX_INTERIM_RESPONSES or status == 101:
                raise MalformedError("too many interim responses, or 101")
            return
        until_end = (
            fields.get("transfer-encoding") is None
            and fields.get("content-length") is None
            and status not in (204, 304)
        )
        events.append(Response(status, fields, keep and not until_end))
        self._start_body({} if status in (204, 304) else fields, until_end, events)


def _encode(first: str, fields: dict[str, object], body: bytes) -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def response(status: int, fields: dict[str, object] | None = None, close: bool = False) -> bytes:
    """Encodes a response without a body; close: with Connection: close."""
    connection = {"Connection": "close"} if close else {}
    return _encode(
        f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}",
        {**(fields or {}), "Content-Length": 0, **connection},
        b"",
    )


def request(
    method: str, path: str, host: str, fields: dict[str, object] | None = None, body: bytes = b""
) -> bytes:
    """Encodes a request; only a POST declares the length of its body."""
    length = {"Content-Length": len(body)} if method == "POST" else {}
    return _encode(f"{method} {path} HTTP/1.1", {"Host": host, **(fields or {}), **length}, body)
