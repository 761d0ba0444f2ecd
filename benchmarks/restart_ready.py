"""How long restarted senders take until they are ready, all at once, and on what they spend it.

    python -m benchmarks.restart_ready together [--senders N] [--documents N] [--large N] [--disk-mb MB]
    python -m benchmarks.restart_ready slope [--documents N ...]        CPU of one start by documents owed
    python -m benchmarks.restart_ready phases [--documents N] [--large N]       of one start, by its parts
    ... [--sent N]      each document was sent so often before

Real processes on loopback with discovery and endpoints in this one. Each begins with a folder as a kill
leaves it: small documents (of which one in four was sent once, one in sixteen was out), some large ones, as
many as fit. Ready is the first GET /up that is answered 200, counted from the start of the process. On a
share of a core c the CPU alone takes CPU / c. Ends all it started, and by itself: within 90 s.
"""

import argparse
import asyncio
import contextlib
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from birchstack.net.ledger import Ledger
from birchstack.net.machine import Folder, Machine, PersistentClock

WITHIN_S, MOST_IN_TEN_S = 30.0, 10.0  # all, and nine in ten
SMALL, LARGE, LEFT_MS = 300, 60_000, 120_000.0
PORT, DESTINATIONS, ENDPOINTS = 23000, 10, 20
LEFT = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)  # how a connection here ends
PLAIN = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
TYPES = [("copy", "safe"), ("order", "keyed"), ("charge", "unsafe")]


def fill(path, documents, large, disk_mb, sent=0):
    """A folder as a kill leaves it, with so many calls more noted for each document: the longest file that
    is not written anew holds about five. Returns how many documents fit."""
    folder = Folder(path)
    until = PersistentClock(Machine(), folder).ms() + LEFT_MS
    ledger, count = Ledger(folder, int(disk_mb * 1_000_000)), 0
    for number in range(documents + large):
        size = LARGE if number < large else SMALL
        if not ledger.has_space([size]):
            break
        kind = TYPES[number % 3][0]
        owed = ledger.add(f"{number:032x}", kind, number % DESTINATIONS, None, until, b"x" * size)
        for _ in range(sent):
            ledger.record_transmission(owed, "a", until - LEFT_MS)
            ledger.record_outcome(owed, False, False)
        if number % 4 == 0:
            ledger.record_transmission(owed, "a", until - LEFT_MS)
            if number % 16:
                ledger.record_outcome(owed, False, False)
        count += 1
    ledger.close()
    return count


def settings():
    return {
        "domain": {"callsOut": 40},
        "nInstances": 30,
        "registryMode": "pushed",
        "hostTypes": ["shop"],
        "limits": {
            "connIdleMs": 10000.0,
            "dialTimeoutMs": 1000.0,
            "maxOpen": 20000,
            "maxRetryAfterMs": 3000.0,
            "retryAfter": True,
            "sendCap": 6,
            "streamsPerConn": 1,
        },
        "rules": {"answerSlackMs": 20.0, "coldFrom": 0.3, "warmUpMs": 10000.0},
        "services": [
            {
                "name": name,
                "effect": effect,
                "objectiveMs": 2500.0,
                "deadlineMs": LEFT_MS,
                "importance": 1.0,
                "lateShare": 0.4,
                "windowMs": LEFT_MS,
            }
            for name, effect in TYPES
        ],
    }


class Surroundings:
    """Discovery's agent and the endpoints, all in this process."""

    async def __aenter__(self):
        self._servers = [
            await asyncio.start_server(each, "127.0.0.1", 0) for each in (self._agent, self._endpoint)
        ]
        self.agent, self._place = (f"127.0.0.1:{each.sockets[0].getsockname()[1]}" for each in self._servers)
        return self

    async def __aexit__(self, *problem):
        for each in self._servers:
            each.close()

    async def _head(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        at = head.find(b"content-length:")
        if at >= 0:
            await reader.readexactly(int(head[at + 15 :].split(b"\r\n")[0]))
        return head

    async def _agent(self, reader, writer):
        with contextlib.suppress(*LEFT):
            while head := await self._head(reader):
                if head.startswith(b"post"):
                    writer.write(b"HTTP/1.1 204 Said\r\nContent-Length: 0\r\n\r\n")
                    continue
                line = json.dumps({"rev": 1, "all": True, "targets": self.entries()}).encode() + b"\n"
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                while True:
                    writer.write(b"%x\r\n%s\r\n" % (len(line), line))
                    line = b"\n"
                    await writer.drain()
                    await asyncio.sleep(2.0)
        writer.close()

    def entries(self):
        return [
            {
                "uid": f"s-{number}",
                "endpoint": self._place,
                "az": "a",
                "model": "shop",
                "pod_group": number % DESTINATIONS,
                "state": "active",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for number in range(ENDPOINTS)
        ]

    async def _endpoint(self, reader, writer):
        with contextlib.suppress(*LEFT):
            while await self._head(reader):
                writer.write(PLAIN)
        writer.close()


def told(folder, state, agent, port, disk_mb):
    """Writes a sender's configuration file. Returns what its environment says."""
    path = Path(folder) / f"{state.name}.json"
    path.write_text(
        json.dumps(
            {
                "name": state.name,
                "listen": f"127.0.0.1:{port}",
                "discovery": agent,
                "seed": f"{port:x}",
                "state": str(state),
                "limits": {"disk_mb": disk_mb},
                "settings": settings(),
            }
        )
    )
    return {**os.environ, "BALANCER_CONFIG": str(path)}


def cpu_s(pid):
    """Time on a processor, in seconds, as the scheduler counts it."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


async def ready(process, port, began):
    """Seconds until /up says 200, and the CPU seconds of the process by then."""
    while time.monotonic() < began + WITHIN_S + 5.0 and process.returncode is None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n\r\n")
            first = await reader.readline()
            writer.close()
            if first.startswith(b"HTTP/1.1 200"):
                return time.monotonic() - began, cpu_s(process.pid)
        await asyncio.sleep(0.02)
    return float("inf"), float("nan")


async def restart(senders, documents, large=0, disk_mb=3.0, sent=0):
    """All at once. Returns documents owed by each, and seconds and CPU seconds of each until it was ready."""
    with tempfile.TemporaryDirectory() as folder:
        states = [Path(folder) / f"n{number}" for number in range(senders)]
        for state in states:
            state.mkdir()
        owed = [fill(str(state), documents, large, disk_mb, sent) for state in states]
        async with Surroundings() as around:
            processes = []

            async def one(number):
                port, began = PORT + os.getpid() % 500 * 8 + number, time.monotonic()
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "birchstack",
                    stderr=subprocess.DEVNULL,
                    env=told(folder, states[number], around.agent, port, disk_mb),
                )
                processes.append(process)
                return await ready(process, port, began)

            try:
                return owed, await asyncio.gather(*map(one, range(senders)))
            finally:
                for process in processes:
                    with contextlib.suppress(ProcessLookupError):
                        process.kill()
                    await process.wait()


def verdict(times):
    """Whether nine in ten were ready within 10 s, and all within 30."""
    return sum(each <= MOST_IN_TEN_S for each in times) * 10 >= len(times) * 9 and max(times) <= WITHIN_S


def together(words):
    owed, measured = asyncio.run(
        restart(words.senders, words.documents[0], words.large, words.disk_mb, words.sent)
    )
    times, cpus = sorted(each for each, _ in measured), [each for _, each in measured]
    print(
        f"{words.senders} senders, {min(owed)} to {max(owed)} documents owed each ({words.large} of "
        f"{LARGE} bytes): ready after {times[0]:.2f} s at best, {statistics.median(times):.2f} s median, "
        f"{times[-(-len(times) * 9 // 10) - 1]:.2f} s nine in ten, {times[-1]:.2f} s the last; CPU "
        f"{statistics.median(cpus):.2f} s median, {max(cpus):.2f} s most; "
        f"{'holds' if verdict(times) else 'does not hold'}"
    )


def slope(words):
    for documents in words.documents:
        runs = [asyncio.run(restart(1, documents, 0, words.disk_mb, words.sent)) for _ in range(5)]
        times, cpus = zip(*(measured[0] for _, measured in runs), strict=True)
        cpu = statistics.median(cpus)
        print(
            f"{runs[0][0][0]} owed: CPU {cpu:.3f} s ({min(cpus):.3f} to {max(cpus):.3f}), ready after "
            f"{statistics.median(times):.2f} s; on a tenth of a core {cpu * 10:.1f} s of CPU alone"
        )


def phases(words):
    with tempfile.TemporaryDirectory() as folder:
        state = Path(folder) / "n0"
        state.mkdir()
        owed = fill(str(state), words.documents[0], words.large, words.disk_mb, words.sent)

        async def play():
            async with Surroundings() as around:
                env = told(folder, state, around.agent, PORT + os.getpid() % 500 * 8, words.disk_mb)
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    __file__,
                    "inside",
                    env={**env, "PYTHONPATH": os.getcwd()},
                    stderr=subprocess.DEVNULL,
                )
                if await asyncio.wait_for(process.wait(), WITHIN_S):
                    raise SystemExit("the start failed")

        print(f"{owed} owed")
        asyncio.run(play())


def inside(words):
    """One start with a watch on each part: CPU seconds, and seconds that it waited."""
    spent, order = {}, []

    def clock(name, call, waits=False):
        async def later(*given):
            began, cpu = time.monotonic(), time.process_time()
            await call(*given)
            note(name, time.process_time() - cpu, time.monotonic() - began)

        def now(*given, **named):
            began, cpu = time.monotonic(), time.process_time()
            try:
                return call(*given, **named)
            finally:
                note(name, time.process_time() - cpu, time.monotonic() - began)

        return later if waits else now

    def note(name, cpu, wall):
        before = spent.get(name, (0.0, 0.0))
        spent[name] = before[0] + cpu, before[1] + wall
        if name not in order:
            order.append(name)

    from birchstack.net import config, discovery, front, ledger, machine, sender

    imported = time.process_time()
    ledger.Ledger._load_body = clock("bodies read", ledger.Ledger._load_body)
    ledger.Ledger._remove_stray_files = clock("other files looked for", ledger.Ledger._remove_stray_files)
    ledger.LedgerReplay.__init__ = clock("lines replayed", ledger.LedgerReplay.__init__)
    ledger.Ledger.__init__ = clock("ledger in all", ledger.Ledger.__init__)
    discovery.Watch.wait_for_first = clock("first list", discovery.Watch.wait_for_first, waits=True)
    sender.Node._recover = clock("take up", sender.Node._recover)
    sender.Node._turn = clock("first turns", sender.Node._turn)
    front.ClientServer.open = clock("door", front.ClientServer.open, waits=True)

    async def start():
        node = sender.Node(config.load(), asyncio.get_running_loop(), machine.Machine())
        await node.start()
        print(
            f"CPU until ready {time.process_time():.3f} s: interpreter and imports (this file's too) "
            f"{imported:.3f}"
        )
        for name in order:
            print(f"  {name}: CPU {spent[name][0]:.3f} s, took {spent[name][1]:.3f} s")
        sys.stdout.flush()
        os._exit(0)

    asyncio.run(start())


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("what", choices=["together", "slope", "phases", "inside"])
    parser.add_argument("--senders", type=int, default=30)
    parser.add_argument("--documents", type=int, nargs="+", default=[100_000])
    parser.add_argument("--large", type=int, default=0)
    parser.add_argument("--disk-mb", type=float, default=3.0)
    parser.add_argument("--sent", type=int, default=0)
    given = parser.parse_args()
    globals()[given.what](given)
