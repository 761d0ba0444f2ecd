"""Stand-ins for the cases of the review: clients, endpoints and the platform, on loopback addresses.

They follow the users' pages and use the standard library alone. Each case starts the sender itself by the
command `run` of the deploy file, as a separate process, and writes what was seen to record.txt.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses
CLIENT_WAIT_S = 0.4  # a client waits this long for its answer
BEAT_S = 2.0  # an empty line of the watch


class NotRunError(Exception):
    """The case could not be run."""


class Record:
    """What was sent, answered and run, by the seconds of one steady clock; written to record.txt."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.began

    def note(self, what: str, /, **fields: object) -> float:
        """Writes one line and returns its time."""
        now = self.now()
        self._file.write(f"{now:8.3f} {what} {json.dumps(fields)}\n")
        return now

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def free_address() -> str:
    """Returns a loopback address with a port that is free at present."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Reads one message: first line, fields and body; None once the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").strip().split("\r\n")
        fields = {name.lower(): text for name, text in (line.split(": ", 1) for line in lines)}
        return first, fields, await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


@dataclass
class Call:
    """One call that an endpoint received; at: when its last byte had come."""

    at: float
    doc: str
    body: bytes
    endpoint: str
    delivered_at: float | None = None  # when the first line with 200 was written


class Endpoint:
    """One endpoint. answer(call) returns the bytes to answer, or None to answer never; by default 200."""

    def __init__(
        self,
        record: Record,
        name: str,
        destination: int,
        answer: Callable[[Call], Awaitable[bytes | None]],
        calls: list[Call],
    ) -> None:
        self.name = name
        self.destination = destination
        self._record = record
        self._answer = answer
        self._calls = calls
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listens at an address, by default at a free port."""
        host, port = address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Ends as a process that dies: its connections are reset, and new ones refused."""
        self._server.close()
        for writer in [*self._writers]:
            writer.transport.abort()
        await asyncio.sleep(0.0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                _, fields, body = message
                call = Call(self._record.now(), fields.get("request-id", ""), body, self.name)
                self._calls.append(call)
                self._record.note("call", endpoint=self.name, doc=call.doc, body=body.decode("latin-1"))
                answer = await self._answer(call)
                if answer is None:
                    await reader.read()  # until the sender gives the call up
                    break
                if answer.startswith(b"HTTP/1.1 200"):
                    call.delivered_at = self._record.now()
                self._record.note(
                    "answer", endpoint=self.name, doc=call.doc, first=answer.split(b"\r\n")[0].decode()
                )
                writer.write(answer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    def entry(self, state: str = "active") -> dict:
        """The endpoint's entry in discovery's list."""
        return {
            "uid": self.name,
            "endpoint": self.address,
            "az": "a",
            "model": "partner",
            "pod_group": self.destination,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }


def delivered(fields: str = "") -> bytes:
    """An answer with 200."""
    return f"HTTP/1.1 200 OK\r\n{fields}Content-Length: 0\r\n\r\n".encode()


def after(seconds: float) -> Callable[[Call], Awaitable[bytes]]:
    """An endpoint's behaviour: 200 after a time."""

    async def answer(call: Call) -> bytes:
        await asyncio.sleep(seconds)
        return delivered()

    return answer


class Platform:
    """Discovery's agent, and the address of notices, on one port."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._entries: dict[str, dict] = {}
        self._changes: list[tuple[int, dict]] = []
        self.rev = 1
        self.address = ""
        self.notices: dict[str, float] = {}  # by document, when its first notice had come
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.head_delay_s = 0.0  # how late the answer to a question for the list begins

    async def start(self, endpoints: list[Endpoint]) -> None:
        """Listens at a free port, with these endpoints in the list."""
        self._entries = {each.name: each.entry() for each in endpoints}
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def whole(self) -> dict:
        """The whole list."""
        targets = [each for each in self._entries.values() if each["state"] != "left"]
        return {"rev": self.rev, "all": True, "targets": targets}

    def change(self, entry: dict) -> float:
        """Changes one entry, tells it on open watches, and returns when."""
        self.rev += 1
        self._entries[entry["uid"]] = entry
        self._changes.append((self.rev, entry))
        self._changed.set()
        self._changed = asyncio.Event()
        return self._record.note("list", rev=self.rev, uid=entry["uid"], state=entry["state"])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                first, _, body = message
                if first.startswith("POST /v1/notices"):
                    for line in body.splitlines():
                        notice = json.loads(line)
                        at = self._record.note("notice", **notice)
                        self.notices.setdefault(notice["ref"], at)
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                    continue
                self._record.note("asked", line=first)
                await asyncio.sleep(self.head_delay_s)
                if "watch=1" in first:
                    await self._watch(first, writer)
                    break
                text = json.dumps(self.whole()).encode() + b"\n"
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        writer.close()

    async def _watch(self, first: str, writer: asyncio.StreamWriter) -> None:
        after_rev = int(first.split("after=")[1].split()[0].split("&")[0]) if "after=" in first else 0
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        told = 0
        while not writer.is_closing():
            changed = self._changed
            if not told and after_rev != self.rev:
                self._chunk(writer, self.whole())
            elif told != self.rev and told:
                new = {entry["uid"]: entry for rev, entry in self._changes if rev > told}
                self._chunk(writer, {"rev": self.rev, "all": False, "targets": [*new.values()]})
            elif not told:
                self._chunk(writer, {"rev": self.rev, "all": False, "targets": []})
            else:
                self._chunk(writer, None)
            told = self.rev
            await writer.drain()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), BEAT_S)

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, message: dict | None) -> None:
        text = (json.dumps(message).encode() if message else b"") + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))


class SenderProcess:
    """One process of the sender, started by the command `run` of the deploy file."""

    def __init__(self, record: Record, name: str, folder: Path, config: dict, ops: str) -> None:
        self._record = record
        self.name = name
        self.ops = ops
        self._config_path = folder / f"{name}.json"
        self._config_path.write_text(json.dumps(config), encoding="utf-8")
        self._log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> float:
        """Starts the process and returns when."""
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            line = tomllib.load(file)["run"]
        at = self._record.note("start", process=self.name)
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                line,
                cwd=ROOT,
                env={**os.environ, "BALANCER_CONFIG": str(self._config_path), "BALANCER_OPS": self.ops},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        return at

    async def ready(self, within_s: float = 15.0, every_s: float = 0.1) -> float:
        """Asks the operators' address until it says yes, and returns when."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise NotRunError(f"{self.name} ended with {self.process.returncode}: {self.log()[-400:]}")
            if await ask(self.ops, "/ready") == 200:
                return self._record.note("ready", process=self.name)
            await asyncio.sleep(every_s)
        raise NotRunError(f"{self.name} is not ready")

    def signal(self, number: signal.Signals) -> float:
        """Sends a signal, if the process runs, and returns when."""
        if self.process.returncode is None:
            self.process.send_signal(number)
        return self._record.note("signal", process=self.name, signal=number.name)

    async def ended(self, within_s: float) -> float:
        """Waits for the end, kills the process if it does not come, and returns when."""
        try:
            await asyncio.wait_for(self.process.wait(), within_s)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        return self._record.note("ended", process=self.name, status=self.process.returncode)

    def log(self) -> str:
        """The process's log so far."""
        return self._log_path.read_text(encoding="utf-8", errors="replace")


async def ask(address: str, path: str, method: str = "GET") -> int:
    """Makes one call without a body and returns its status, 0 if there is none."""
    host, port = address.rsplit(":", 1)
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 1.0)
        writer.close()
        return int(line.split()[1])
    except (TimeoutError, OSError, IndexError, ValueError):
        return 0


@dataclass
class Handed:
    """One message of a client. taken_at: when its client had heard that it is taken on."""

    doc: str
    destination: int
    body: bytes
    sent_at: float
    left_ms: int
    key: str | None = None
    status: int = 0  # 0: no answer
    taken_at: float | None = None

    @property
    def due(self) -> float:
        """When its time is up."""
        return self.sent_at + self.left_ms / 1000.0


@dataclass
class Clients:
    """Clients of one sender: they keep their connections, and open one more when all are busy.

    The connection that has rested the longest is used first.
    """

    record: Record
    address: str
    handed: dict[str, Handed] = field(default_factory=dict)
    _idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(default_factory=list)

    async def hand_in(
        self,
        doc: str,
        kind: str,
        destination: int,
        left_ms: int,
        key: str | None = None,
        body: bytes = b"a document",
        quiet: bool = False,
    ) -> Handed:
        """Hands one message in and waits for its answer, for 400 ms.

        One whose kept connection ends without an answer is sent once more, on a new connection. quiet: the
        message is not written to the record.
        """
        handed = Handed(doc, destination, body, self.record.now(), left_ms, key)
        self.handed.setdefault(doc, handed)
        cookie = f"Cookie: thread={key}\r\n" if key else ""
        request = (
            f"POST /{kind} HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {doc}\r\n"
            f"Request-Timeout-Ms: {left_ms}\r\nX-Consignee: dest={destination}\r\n{cookie}"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        try:
            handed.status = await asyncio.wait_for(self._exchange(request), CLIENT_WAIT_S)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            handed.status = 0
        if handed.status in (200, 202):
            handed.taken_at = self.record.now()
        if not quiet:
            self.record.note(
                "handed in",
                doc=doc,
                dest=destination,
                key=key,
                sent=round(handed.sent_at, 3),
                left_ms=left_ms,
                status=handed.status,
            )
        return handed

    async def _exchange(self, request: bytes) -> int:
        while self._idle:
            reader, writer = self._idle.pop(0)
            if reader.at_eof() or writer.is_closing():
                writer.close()
                continue
            try:
                return await self._once(reader, writer, request)
            except (ConnectionError, asyncio.IncompleteReadError):
                break  # it crossed the end of the connection
        host, port = self.address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        return await self._once(reader, writer, request)

    async def _once(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: bytes) -> int:
        done = False
        try:
            writer.write(request)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            done = "connection: close" not in head.lower()
            return int(head.split()[1])
        finally:
            if done:
                self._idle.append((reader, writer))
            else:
                writer.close()

    def close(self) -> None:
        """Closes the connections that rest."""
        for _, writer in self._idle:
            writer.close()


def configuration(folder: Path, listen: str, platform: Platform, settings: dict, ops: str) -> dict:
    """What a sender is told."""
    state = folder / "state"
    state.mkdir(exist_ok=True)
    return {
        "name": "n1",
        "listen": listen,
        "discovery": platform.address,
        "state": str(state),
        "seed": os.urandom(8).hex(),
        "ops": ops,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": platform.whole(),
        "settings": settings,
    }


def run(case: Callable[[Record, Path, list[SenderProcess]], Awaitable[list[str]]], folder: Path) -> None:
    """Runs a case, which returns how the rule was broken, and exits with its status.

    All processes that the case put into the list are ended.
    """
    record = Record(folder)
    processes: list[SenderProcess] = []

    async def main(work: Path) -> list[str]:
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(record, work, processes), 112.0)
        finally:
            for each in processes:
                if each.process is not None and each.process.returncode is None:
                    each.process.kill()
                    await each.process.wait()

    status = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as work:
            broken = asyncio.run(main(Path(work)))
        status = BROKEN if broken else HELD
        for line in broken:
            record.note("RULE BROKEN", what=line)
            print(line)
        print(f"TROUBLE={int(TROUBLE)}: {'the rule was broken' if broken else 'the rule held'}")
    except (Exception, asyncio.CancelledError) as problem:  # whatever it was, the case has not run
        record.note("NOT RUN", problem=f"{type(problem).__name__}: {problem}")
        print(f"the case could not run: {type(problem).__name__}: {problem}")
    record.close()
    sys.exit(status)
