"""What one real sender needs around it: a discovery, endpoints and clients in this process, on loopback.

All endpoints of a list live at a few addresses; the sender tells them apart by their names alone. Traffic
goes only to 127.0.0.0/8, and the process started here ends with its surrounding.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

OK, REFUSES = 200, 503
PLACES = 16  # addresses of endpoints: no local port has to be used twice
PART = 20_000  # endpoints in a line of the list; a line may have 4 MiB
DAYS_MS = 2 * 86_400_000  # what is owed here does not end while it is measured
SENDERS = 550
BODY = b"x" * 200
PORTS = itertools.count(23000 + os.getpid() % 499 * 16)
HEAD = (
    b"POST /sync HTTP/1.1\r\nHost: api\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\n"
    b"X-Consignee: dest=%d\r\nContent-Length: %d\r\n\r\n"
)


def entry(destination: int, at: int, place: str) -> dict:
    """One line of the list, in discovery's form."""
    return {
        "uid": f"s-{destination:06x}{at:02x}",
        "endpoint": place,
        "az": f"z{destination % 11}",
        "model": "shop",
        "pod_group": destination,
        "state": "active",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


def text(rev: int, whole: bool, targets: list[dict]) -> bytes:
    return json.dumps({"rev": rev, "all": whole, "targets": targets}).encode() + b"\n"


def whole_list(listed: int, each: int, places: list[str]) -> list[dict]:
    return [
        entry(destination, at, places[(destination + at) % len(places)])
        for destination in range(1, listed + 1)
        for at in range(each)
    ]


def in_parts(targets: list[dict], part: int = PART) -> list[bytes]:
    """A list that is longer than one line may be comes as a whole list and changes to it."""
    return [
        text(at + 1, at == 0, targets[start : start + part])
        for at, start in enumerate(range(0, max(1, len(targets)), part))
    ]


def settings(**limits: float) -> dict:
    return {
        "domain": {"callsOut": 64},
        "nInstances": SENDERS,
        "registryMode": "pushed",
        "hostTypes": ["shop"],
        "limits": {
            "connIdleMs": 10000.0,
            "dialTimeoutMs": 1000.0,
            "maxOpen": 20_000_000,
            "maxRetryAfterMs": 3000.0,
            "retryAfter": True,
            "sendCap": 1_000_000,
            "streamsPerConn": 1,
            **limits,
        },
        "rules": {"answerSlackMs": 20.0, "coldFrom": 0.3, "warmUpMs": 1000.0},
        "services": [
            {
                "name": "sync",
                "effect": "safe",
                "objectiveMs": 2000.0,
                "deadlineMs": DAYS_MS,
                "importance": 1.0,
                "lateShare": 0.4,
            }
        ],
    }


def free_port() -> int:
    """One below those that outgoing connections are given."""
    while True:
        port = 21000 + next(PORTS) % 11000
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
            return port


class Requests(asyncio.Protocol):
    """Cuts what comes into requests, and answers each."""

    def __init__(self, stand: Stand) -> None:
        self.stand, self._held = stand, b""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._held += data
        while (end := self._held.find(b"\r\n\r\n")) >= 0:
            head = self._held[:end]
            at = head.lower().find(b"content-length:")
            size = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            if len(self._held) < end + 4 + size:
                return
            body, self._held = self._held[end + 4 : end + 4 + size], self._held[end + 4 + size :]
            self.asked(head, body)


class Platform(Requests):
    """The list and its watch, and notices."""

    def asked(self, head: bytes, body: bytes) -> None:
        if head.startswith(b"POST"):
            self.stand.notices += body.count(b"\n")
            self.transport.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return
        self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for line in self.stand.lines:
            self.transport.write(b"%x\r\n%s\r\n" % (len(line), line))
        self._beat()

    def _beat(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(b"1\r\n\n\r\n")
            asyncio.get_running_loop().call_later(2.0, self._beat)


class Endpoint(Requests):
    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        self.stand.opened += 1
        self.stand.open += 1

    def connection_lost(self, problem: Exception | None) -> None:
        self.stand.open -= 1

    def asked(self, head: bytes, body: bytes) -> None:
        self.stand.calls += 1
        self.transport.write(b"HTTP/1.1 %d Said\r\nContent-Length: 0\r\n\r\n" % self.stand.status)


class Client(asyncio.Protocol):
    """One connection: a document at a time, the next once the last is answered."""

    def __init__(self) -> None:
        self._held, self.waits, self.lost = b"", None, False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._held += data
        if b"\r\n\r\n" in self._held and self.waits:
            status, self._held = int(self._held[9:12]), b""
            waits, self.waits = self.waits, None
            if not waits.done():
                waits.set_result(status)

    def connection_lost(self, problem: Exception | None) -> None:
        self.lost = True
        if self.waits and not self.waits.done():
            self.waits.set_result(0)

    async def hand(self, doc: bytes, destination: int) -> int:
        self.waits = asyncio.get_running_loop().create_future()
        self.transport.write(HEAD % (doc, DAYS_MS, destination, len(BODY)) + BODY)
        return await self.waits


class Stand:
    """A sender's whole surrounding. `async with Stand(listed, each) as stand: await stand.start()`."""

    def __init__(
        self, listed: int, each: int = 1, status: int = OK, part: int = PART, **limits: float
    ) -> None:
        self._listed, self._each, self._part, self._limits = listed, each, part, limits
        self.status, self.lines = status, []
        self.opened = self.open = self.calls = self.notices = 0
        self.process: asyncio.subprocess.Process | None = None
        self.log: list[str] = []
        self.answered: collections.Counter[int] = collections.Counter()
        self._next, self._clients = 0, []

    async def __aenter__(self) -> Stand:
        loop = asyncio.get_running_loop()
        self._folder = tempfile.TemporaryDirectory(prefix="capacity-")
        self.state = Path(self._folder.name) / "state"
        self.state.mkdir()
        platform = await loop.create_server(lambda: Platform(self), "127.0.0.1", 0)
        self._servers, places = [platform], []
        for at in range(PLACES):
            self._servers.append(
                await loop.create_server(lambda: Endpoint(self), f"127.0.7.{at + 1}", 0, backlog=1024)
            )
            places.append("{}:{}".format(*self._servers[-1].sockets[0].getsockname()))
        self.targets = whole_list(self._listed, self._each, places)
        self.lines = in_parts(self.targets, self._part)
        self._agent = "{}:{}".format(*platform.sockets[0].getsockname())
        return self

    async def __aexit__(self, *problem: object) -> None:
        await self.kill()
        for each in self._clients:
            each.transport.abort()
        for each in self._servers:
            each.close()
        self._folder.cleanup()

    # The sender

    async def start(self, within_s: float = 120.0) -> float:
        """Returns the seconds until it said that it is ready."""
        self.port, self.ops = free_port(), free_port()
        path = Path(self._folder.name) / "config.json"
        path.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": f"127.0.0.1:{self.port}",
                    "discovery": self._agent,
                    "seed": "8c1f",
                    "ops": f"127.0.0.1:{self.ops}",
                    "state": str(self.state),
                    "limits": {"sockets": 1024, "disk_mb": 8000},
                    "known": {"rev": 0, "all": True, "targets": []},
                    "settings": settings(**self._limits),
                }
            )
        )
        began = time.monotonic()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-m",
            "birchstack",
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "BALANCER_CONFIG": str(path)},
        )
        said = asyncio.get_running_loop().create_future()
        self._hears = asyncio.create_task(self._hear(said))
        await asyncio.wait_for(said, within_s)
        return time.monotonic() - began

    async def _hear(self, said: asyncio.Future) -> None:
        async for raw in self.process.stderr:
            self.log.append(raw.decode(errors="replace").strip())
            if "event=ready" in self.log[-1] and not said.done():
                said.set_result(None)
        if not said.done():
            said.set_exception(RuntimeError("not ready: " + " | ".join(self.log[-3:])))

    async def kill(self) -> None:
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def cpu_s(self) -> float:
        """On a processor, as the scheduler counts it: nanoseconds, no ticks."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def memory(self) -> dict[str, int]:
        """Bytes: resident, whoever else maps the same libraries, and the most it ever held."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        found = {
            line.partition(":")[0]: int(line.split()[1]) * 1024 for line in lines if line.endswith(" kB")
        }
        return {"resident": found["VmRSS"], "peak": found["VmHWM"]}

    async def settled(self, share: float = 0.05, within_s: float = 60.0) -> tuple[float, float]:
        """Waits until it uses less than a share of a core for 0.2 s; the CPU that was used until then, and
        when that was, both in seconds from its start."""
        began, last, since = time.monotonic(), self.cpu_s(), time.monotonic()
        while time.monotonic() - since < 0.2 and time.monotonic() - began < within_s:
            await asyncio.sleep(0.02)
            spent = self.cpu_s()
            if spent - last > share * 0.02:
                since = time.monotonic()
            last = spent
        return last, since - began

    async def idle_share(self, seconds: float) -> float:
        """Of a core."""
        before, began = self.cpu_s(), time.monotonic()
        await asyncio.sleep(seconds)
        return (self.cpu_s() - before) / (time.monotonic() - began)

    async def figures(self) -> dict[str, float]:
        """What the operators' door tells."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ops)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: ops\r\n\r\n")
        said = (await reader.read()).decode().partition("\r\n\r\n")[2]
        writer.close()
        return {name: float(value) for name, _, value in (line.partition("=") for line in said.split())}

    # Its clients

    async def offer(
        self, destinations: list[int], connections: int = 64, rate: float = 0.0, under_way: int = 0
    ) -> float:
        """Hands in one document for each destination named, in their order, over so many connections, and
        again after a no, as clients do; rate: so many a second at most, else each once the last of its
        connection was answered; under_way: so many at most that no endpoint has answered yet (0: no bound).
        Returns the seconds that it took. `answered` counts what was said."""
        loop, numbers = asyncio.get_running_loop(), iter(enumerate(destinations))
        clients = [
            (await loop.create_connection(Client, "127.0.0.1", self.port))[1]
            for _ in range(min(connections, len(destinations)))
        ]
        self._clients, first = clients, self._next
        self._next += len(destinations)
        began = time.monotonic()

        async def work(client: Client) -> None:
            for at, destination in numbers:
                if rate and (wait := began + at / rate - time.monotonic()) > 0.0:
                    await asyncio.sleep(wait)
                while under_way and self.answered[202] - self.calls >= under_way:
                    await asyncio.sleep(0.002)
                doc, status = b"d%09d" % (first + at), 0
                while status != 202:
                    if client.lost:  # it lay idle for too long, or is told to come again
                        _, client = await loop.create_connection(Client, "127.0.0.1", self.port)
                        self._clients.append(client)
                    status = await client.hand(doc, destination)
                    self.answered[status] += 1
                    if status != 202:  # its id is answered the same again
                        doc += b"a"
                        await asyncio.sleep(0.05)

        await asyncio.gather(*map(work, [*clients]))
        took = time.monotonic() - began
        for client in clients:
            client.transport.close()
        return took

    async def done(self, held: int = 0, within_s: float = 30.0) -> None:
        """Waits until no more than so many documents are held."""
        until = time.monotonic() + within_s
        while (await self.figures())["balancer.active"] > held:
            if time.monotonic() > until:
                raise RuntimeError("documents are still held")
            await asyncio.sleep(0.1)

    def disk(self) -> tuple[int, int, int]:
        """Of its folder: bytes written, bytes that their blocks take, files."""
        stats = [each.stat() for each in os.scandir(self.state)]
        return sum(each.st_size for each in stats), sum(each.st_blocks * 512 for each in stats), len(stats)
