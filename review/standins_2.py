"""Stand-ins of the second review: endpoints, an agent with platform, clients, and the sender's processes.

Only the standard library is used. Every address is a loopback address, every port is a free one, and
everything is written into one temporary folder. Times are seconds since the start of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 11, 2  # run.sh makes 1 of 11: Python ends with 1 after an error, too
HEARTBEAT_S = 2.0
ANSWER_S = 0.4  # a client waits this long for its answer
GRACE_S = 0.5 + 0.05  # a message is lost if it has no end so long after its time is up
KILL_AFTER_S = 3.7  # from SIGTERM to SIGKILL
HOST = "127.0.0.1"


class CannotRunError(Exception):
    """The case could not be played."""


def free_port() -> int:
    """Returns a port that nothing uses."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Record:
    """What was sent, answered and run, as lines of a file."""

    def __init__(self, path: Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._began

    def line(self, text: str) -> float:
        """Writes a line with its time, and returns the time."""
        now = self.now()
        self._file.write(f"{now:8.3f} {text}\n")
        self._file.flush()
        return now

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Returns the first line, the fields and the body of a message, or None at the end."""
    try:
        first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").strip().split("\r\n")
        fields = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
        return first, fields, await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


class Server:
    """A listener whose connections are cut at the end."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def open(self, port: int = 0) -> None:
        """Listens at a port, by default a free one."""
        self._server = await asyncio.start_server(self._accept, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        raise NotImplementedError

    def close(self) -> None:
        """Stops listening and cuts the connections."""
        if self._server:
            self._server.close()
        for task in self._tasks:
            task.cancel()


Answer = tuple[float, int, dict[str, str]]  # seconds until the answer, its status, its fields


class Endpoint(Server):
    """An endpoint. answer(id) tells what a call gets, or None for no answer at all."""

    def __init__(self, record: Record, uid: str, destination: int) -> None:
        super().__init__()
        self.record = record
        self.uid = uid
        self.destination = destination
        self.boot_ms = 0  # when its process started, in Unix time; 0 means long ago
        self.answer: Callable[[str], Answer | None] = lambda doc_id: (0.1, 200, {})
        self.calls: list[tuple[float, str]] = []  # time and document, as the last byte of a call came
        self.bodies: dict[str, bytes] = {}  # by document, as it came last
        self.delivered: dict[str, float] = {}  # by document, when a 200 was written first

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves calls, one at a time."""
        while (message := await read_message(reader)) is not None:
            doc_id = message[1].get("request-id", "")
            self.calls.append((self.record.line(f"call {doc_id} at {self.uid}"), doc_id))
            self.bodies[doc_id] = message[2]
            answer = self.answer(doc_id)
            if answer is None:
                await reader.read()  # until the sender gives the call up
                self.record.line(f"given up {doc_id} at {self.uid}")
                return
            delay_s, status, fields = answer
            await asyncio.sleep(delay_s)
            lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"HTTP/1.1 {status} Answer\r\n{lines}Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            self.record.line(f"answer {doc_id} at {self.uid} {status}")
            if status == 200:
                self.delivered.setdefault(doc_id, self.record.now())

    def entry(self, state: str = "active", destination: int | None = None) -> dict:
        """Returns the endpoint's entry in the list."""
        return {
            "uid": self.uid,
            "endpoint": f"{HOST}:{self.port}",
            "az": "a",
            "model": "shop",
            "pod_group": self.destination if destination is None else destination,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }


class Agent(Server):
    """The agent of discovery, and the platform that takes notices.

    slow_s: the time until a watch is answered. No change is told while discovery is down.
    """

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.rev = 1
        self.entries: dict[str, dict] = {}
        self.notices: dict[str, tuple[float, dict]] = {}  # by document: time of the first one, and itself
        self.slow_s = 0.0
        self.down = False  # silent on watches, while discovery is down; notices are taken
        self._watches: set[asyncio.StreamWriter] = set()

    def list(self) -> dict:
        """Returns the whole list."""
        return {"rev": self.rev, "all": True, "targets": [*self.entries.values()]}

    def change(self, *entries: dict) -> float:
        """Changes entries, and writes the change to all watches; returns the time."""
        self.rev += 1
        for entry in entries:
            self.entries[entry["uid"]] = entry
            if entry["state"] == "left":
                del self.entries[entry["uid"]]
        told = ", ".join(f"{each['uid']} {each['state']} dest={each['pod_group']}" for each in entries)
        line = json.dumps({"rev": self.rev, "all": False, "targets": [*entries]}).encode() + b"\n"
        for writer in self._watches:
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        return self.record.line(f"list rev={self.rev}: {told}, to {len(self._watches)} watches")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves notices and watches."""
        while (message := await read_message(reader)) is not None:
            if message[0].startswith("POST /v1/notices"):
                for line in message[2].splitlines():
                    notice = json.loads(line)
                    now = self.record.line(f"notice {notice}")
                    self.notices.setdefault(notice["ref"], (now, notice))
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                await writer.drain()
            else:
                await self._watch(writer)
                return

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        self.record.line("watch asked for")
        await asyncio.sleep(self.slow_s)
        while self.down:
            await asyncio.sleep(0.05)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        line = json.dumps(self.list()).encode() + b"\n"
        writer.write(head + b"%x\r\n%s\r\n" % (len(line), line))
        await writer.drain()
        self._watches.add(writer)
        try:
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT_S)
                if not self.down:
                    writer.write(b"1\r\n\n\r\n")
                    await writer.drain()
        finally:
            self._watches.discard(writer)


async def http(port: int, request: bytes, within_s: float) -> int | None:
    """Sends a request on a new connection; returns the status, or None if there was no answer."""
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(request)
            first = await reader.readline()
            return int(first.split()[1]) if first else None
    except (TimeoutError, OSError, ValueError, IndexError):
        return None
    finally:
        if writer:
            writer.close()


class Process:
    """One process of the sender, started by the deploy file's `run`."""

    def __init__(self, process: asyncio.subprocess.Process, ops: int, name: str) -> None:
        self.process = process
        self.ops = ops
        self.name = name

    @property
    def runs(self) -> bool:
        """Whether it has not ended."""
        return self.process.returncode is None

    def signal(self, number: int) -> None:
        """Sends a signal."""
        with contextlib.suppress(ProcessLookupError):
            if self.runs:
                self.process.send_signal(number)

    async def ended(self, within_s: float) -> bool:
        """Waits for the end; returns whether it came in time."""
        try:
            await asyncio.wait_for(self.process.wait(), within_s)
        except TimeoutError:
            return False
        return True


SETTINGS = {
    "nInstances": 1,
    "registryMode": "pushed",
    "hostTypes": ["shop"],
    "domain": {"callsOut": 16, "losesWorth": "linear", "perCall": [1], "routesApart": [False]},
    "limits": {
        "connIdleMs": 10000.0,
        "dialTimeoutMs": 1000.0,
        "maxOpen": 170,
        "maxRetryAfterMs": 3000.0,
        "retryAfter": True,
        "sendCap": 12,
        "streamsPerConn": 1,
        "probes": False,
        "mayTell": False,
        "mayDuplicate": False,
    },
    "rules": {
        "answerSlackMs": 20.0,
        "coldFrom": 0.29,
        "drainGraceMs": 2000.0,
        "fallMultiple": 1.5,
        "overloadForMs": 2000.0,
        "warmUpMs": 12000.0,
    },
    "services": [
        {
            "name": "recipe-sync",
            "effect": "safe",
            "objectiveMs": 3000.0,
            "deadlineMs": 12000.0,
            "importance": 2.0,
            "lateShare": 0.4,
        },
        {
            "name": "basket-order",
            "effect": "unsafe",
            "objectiveMs": 2500.0,
            "deadlineMs": 12000.0,
            "importance": 1.0,
            "lateShare": 0.3,
        },
    ],
}


class World:
    """One sender in its surroundings."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.state = self.folder / "state"
        self.state.mkdir()
        self.agent = Agent(record)
        self.endpoints: list[Endpoint] = []
        self.processes: list[Process] = []
        self.listen = free_port()
        self.taken: dict[str, float] = {}  # by document taken on, when its time is up
        self.answers: dict[str, int | None] = {}
        self.sent: dict[str, int] = {}  # by document that was handed in, its destination
        self.settings = json.loads(json.dumps(SETTINGS))
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
        self._numbers = itertools.count(1)
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self._run = tomllib.load(file)["run"]

    async def open(self, *destinations: int) -> None:
        """Opens the agent and an endpoint for each destination, in the list from the start."""
        await self.agent.open()
        for destination in destinations:
            await self.add_endpoint(destination)
        for endpoint in self.endpoints:
            self.agent.entries[endpoint.uid] = endpoint.entry()

    async def add_endpoint(self, destination: int, port: int = 0) -> Endpoint:
        """Opens an endpoint, which is not listed yet."""
        endpoint = Endpoint(self.record, f"s-{len(self.endpoints) + 1}", destination)
        await endpoint.open(port)
        self.endpoints.append(endpoint)
        return endpoint

    async def start(self, name: str) -> Process:
        """Starts a process of the sender, with an operators' address of its own, and waits for its yes."""
        ops = free_port()
        config = {
            "name": "n1",
            "listen": f"{HOST}:{self.listen}",
            "discovery": f"{HOST}:{self.agent.port}",
            "state": str(self.state),
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": {"rev": 1, "all": True, "targets": [*self.agent.entries.values()]},
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        if not any(each.runs for each in self.processes):  # a further process gets the same file
            path.write_text(json.dumps(config), encoding="utf-8")
        environment = {key: text for key, text in os.environ.items() if not key.startswith("BALANCER_")}
        environment |= {
            "BALANCER_NAME": "n1",
            "BALANCER_LISTEN": config["listen"],
            "BALANCER_DISCOVERY": config["discovery"],
            "BALANCER_STATE": config["state"],
            "BALANCER_CONFIG": str(path),
            "BALANCER_OPS": f"{HOST}:{ops}",
            "TMPDIR": str(self.folder),
        }
        with (self.folder / f"{name}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self._run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        started = Process(process, ops, name)
        self.processes.append(started)
        self.record.line(f"start of the {name} process")
        for _ in range(600):
            if await self.operate(started, "GET", "/ready") == 200:
                self.record.line(f"the {name} process says yes")
                return started
            if not started.runs:
                break
            await asyncio.sleep(0.05)
        raise CannotRunError(f"the {name} process is not ready: {self.log(name)[-500:]}")

    def log(self, name: str) -> str:
        """Returns the log of a process."""
        path = self.folder / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def operate(self, process: Process, method: str, path: str) -> int | None:
        """Makes an operator's call; returns the status."""
        request = f"{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n".encode()
        status = await http(process.ops, request, 1.0)
        if path not in ("/ready", "/metrics"):
            self.record.line(f"operator at the {process.name} process: {method} {path} -> {status}")
        return status

    async def submit(
        self, kind: str, destination: int, timeout_ms: int, body: bytes = b"a document"
    ) -> tuple[str, int | None]:
        """Hands a document in; returns its id, and the status of the answer within 400 ms."""
        doc_id = f"d{next(self._numbers):04d}"
        self.sent[doc_id] = destination
        head = (
            f"POST /{kind} HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {doc_id}\r\n"
            f"Request-Timeout-Ms: {timeout_ms}\r\nContent-Length: {len(body)}\r\n"
            f"X-Consignee: dest={destination}\r\n\r\n"
        )
        sent = self.record.line(f"document {doc_id} {kind} dest={destination} for {timeout_ms} ms")
        status = await http(self.listen, head.encode() + body, ANSWER_S)
        self.record.line(f"document {doc_id} answered {status}")
        self.answers[doc_id] = status
        if status in (200, 202):
            self.taken[doc_id] = sent + timeout_ms / 1000.0
        return doc_id, status

    def ended_at(self, doc_id: str) -> float:
        """Returns when a document was delivered or ended by a notice; infinity if neither."""
        times = [each.delivered[doc_id] for each in self.endpoints if doc_id in each.delivered]
        if doc_id in self.agent.notices:
            times.append(self.agent.notices[doc_id][0])
        return min(times, default=float("inf"))

    async def replace(self, old: Process, new: Process) -> float:
        """Ends the old process of an upgrade as the platform does; returns the time of its SIGTERM."""
        told = self.record.line(f"SIGTERM to the {old.name} process")
        old.signal(signal.SIGTERM)
        if not await old.ended(KILL_AFTER_S):
            self.record.line(f"SIGKILL to the {old.name} process")
            old.signal(signal.SIGKILL)
            await old.ended(5.0)
        self.record.line(f"the {old.name} process has ended; {new.name} runs: {new.runs}")
        return told

    async def close(self) -> None:
        """Ends everything that was started."""
        for process in self.processes:
            process.signal(signal.SIGKILL)
            await process.ended(5.0)
            text = self.log(process.name)
            if "event=violation" in text or "Traceback" in text:
                self.record.line(f"the log of the {process.name} process has a fault:\n{text[-3000:]}")
        for server in (self.agent, *self.endpoints):
            server.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


Case = Callable[[World], Awaitable[list[str]]]


async def _play(case: Case, record: Record) -> int:
    world = World(record)
    try:
        async with asyncio.timeout(110.0):
            broken = await case(world)
    except Exception as problem:  # whatever it is, it is no verdict
        record.line(f"cannot run: {problem!r}")
        return CANNOT_RUN
    finally:
        await world.close()
    for text in broken:
        record.line(f"BROKEN: {text}")
    record.line(f"{len(broken)} breaches" if broken else "the rule held")
    return BROKEN if broken else HELD


def main(case: Case, file: str) -> None:
    """Plays a case, which returns the breaches, and exits with its status."""
    record = Record(Path(file).resolve().parent / "record.txt")
    record.line(f"TROUBLE={int(TROUBLE)}")
    status = asyncio.run(_play(case, record))
    record.close()
    sys.exit(status)
