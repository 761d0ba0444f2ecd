"""Hollow senders: net.sender.Node as it ships, many in one process, without a clients' door and without
documents.

What is real: the watch and its socket, the decisions, the ledger's code, the turns and their timers, the
fleet's audit log and its records. What is not: the listening sockets (none), the folder (in memory), signals.
A hollow one has no client, so it opens no connection to an endpoint either.

Traffic, list handling and memory for each endpoint listed are a real one's (tests/test_capacity_fleet.py).
Its processor time is not: what wakes a process is shared by all in it, so the more they are the less each
seems to take.

    python -m benchmarks.capacity.hollow LIST-SERVICE [--fleet] [--senders OF-THE-FLEET]

speaks JSON lines: {"start": N} starts N more, {"stop": N} ends the N oldest, {"report": 0} answers what
they are at (1: after a collection of garbage), {"end": 0} ends. Hosts starts several such processes and
asks them together.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import logging
import os
import sys
import time
from collections import Counter

from birchstack.emulator.folder import Disk, MemoryFolder
from birchstack.emulator.rig import site
from birchstack.fleet import audit_log
from birchstack.fleet import settings as fleet_settings
from birchstack.net.config import decode
from birchstack.net.machine import Machine
from birchstack.net.sender import Node


class NoDoor:
    """Nobody comes in."""

    sockets = ()

    def is_serving(self) -> bool:
        return False

    def close(self) -> None:
        pass


class HollowMachine(Machine):
    """This machine's clocks; a folder in memory, no listening socket, no signals."""

    def __init__(self) -> None:
        self.disk = Disk()

    def folder(self, path: str) -> MemoryFolder:
        return MemoryFolder(self.disk)

    async def listen(self, loop, where, protocol, *how) -> NoDoor:
        return NoDoor()

    def has_pending(self, server: NoDoor) -> bool:
        return False

    def on_signals(self, loop, end, reload) -> None:
        pass


class Hollow(Node):
    """acted: by version of the list, when the turn was over that acted on it (monotonic seconds)."""

    def __init__(self, *words: object) -> None:
        self.acted: dict[int, float] = {}
        self._heard: list[int] = []
        super().__init__(*words)

    def _on_list(self, mode: str, listed: list) -> None:
        super()._on_list(mode, listed)
        self._heard.append(self._watch._version)

    def _commit(self, now: float) -> None:
        super()._commit(now)
        for version in self._heard:
            self.acted.setdefault(version, time.monotonic())
        self._heard.clear()

    def listed(self) -> tuple[int, int, int, str]:
        """Endpoints listed, those that the decisions hold, the version; its digest where a trail is kept."""
        figures = dict(self._audit.figures()) if self._audit else {}
        digest = figures.get("list_digest", "-")
        return len(self._list.entries), len(self._core._endpoints), self._watch._version, digest

    def end(self) -> None:
        """At once: its watch ends, and nothing of it happens any more."""
        self._watch.stop()
        self._calls.close()
        for timer in self._loop._scheduled:
            if getattr(timer._callback, "__self__", None) is self:
                timer.cancel()


def made(
    name: str, lists: str, loop: asyncio.AbstractEventLoop, senders: int, fleet: bool, seed: int
) -> Hollow:
    raw = site.sender(name, "127.0.0.1:9", "127.0.0.1:9", lists, "/", seed, {}, senders)
    config, make = decode(raw, {}), None
    if fleet:
        told = fleet_settings.FleetSettings(fleet_settings.TrailSettings(400_000))
        config, make = fleet_settings.reserve_trail_space(told, config), audit_log.audit_log_factory(told)
    return Hollow(config, loop, HollowMachine(), make)


def memory() -> int:
    """Bytes of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def report(nodes: list[Hollow], collected: bool) -> dict:
    acted: dict[int, list] = {}
    for node in nodes:
        for version, at in node.acted.items():
            had = acted.setdefault(version, [0, 0.0])
            had[0], had[1] = had[0] + 1, max(had[1], at)
    spent_s = time.process_time()
    if collected:
        gc.collect()
    listed = Counter(node.listed() for node in nodes)
    return {
        "cpu_s": spent_s,
        "bytes": memory(),
        "acted": acted,
        "listed": [[*each, many] for each, many in listed.items()],
        "trail": sum(
            len(data)
            for node in nodes
            for name, data in node._machine.disk.files.items()
            if name.startswith("trail-")
        ),
    }


async def serve(told: argparse.Namespace) -> None:
    loop, nodes, many = asyncio.get_running_loop(), [], 0
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while asked := await reader.readline():
        ((word, number),) = json.loads(asked).items()
        if word == "start":
            fresh = [
                made(f"h{os.getpid()}-{at}", told.lists, loop, told.senders, told.fleet, at)
                for at in range(many, many + number)
            ]
            many += number
            nodes += fresh
            await asyncio.gather(*(node.start() for node in fresh))
        elif word == "stop":
            for node in nodes[:number]:
                node.end()
            del nodes[:number]
        elif word == "end":
            break
        print(json.dumps(report(nodes, number) if word == "report" else {}), flush=True)


class Hosts:
    """async with Hosts(service.at, 4) as hosts: several processes of hollow senders, by number of them."""

    def __init__(self, lists: str, processes: int, senders: int = 550, fleet: bool = False) -> None:
        self._words = [sys.executable, "-m", "benchmarks.capacity.hollow", lists, "--senders", str(senders)]
        self._words += ["--fleet"] * fleet
        self._many, self._processes = processes, []

    async def __aenter__(self) -> Hosts:
        for _ in range(self._many):
            self._processes.append(
                await asyncio.create_subprocess_exec(
                    *self._words, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=1 << 24
                )
            )
        await self.report()  # all are up
        return self

    async def __aexit__(self, *problem: object) -> None:
        for each in self._processes:
            if each.returncode is None:
                each.kill()
            await each.wait()

    async def _ask(self, words: list[dict]) -> list[dict]:
        async def one(process, word: dict) -> dict:
            process.stdin.write(json.dumps(word).encode() + b"\n")
            return json.loads(await asyncio.wait_for(process.stdout.readline(), 120.0))

        return await asyncio.gather(*map(one, self._processes, words))

    def _shares(self, word: str, number: int) -> list[dict]:
        whole, rest = divmod(number, self._many)
        return [{word: whole + (at < rest)} for at in range(self._many)]

    async def start(self, number: int) -> None:
        """Returns when all of them have opened their doors, or would have."""
        await self._ask(self._shares("start", number))

    async def stop(self, number: int) -> None:
        await self._ask(self._shares("stop", number))

    async def report(self, collected: bool = False) -> dict:
        """Over all: cpu_s, bytes, trail (bytes), acted {version: (how many, when the last)},
        listed {(endpoints, held by the decisions, version, digest): how many}."""
        told = await self._ask([{"report": int(collected)}] * self._many)
        acted: dict[int, tuple[int, float]] = {}
        listed: Counter[tuple] = Counter()
        for each in told:
            for version, (many, last) in each["acted"].items():
                had = acted.get(int(version), (0, 0.0))
                acted[int(version)] = had[0] + many, max(had[1], last)
            for *what, many in each["listed"]:
                listed[tuple(what)] += many
        return {
            "cpu_s": sum(each["cpu_s"] for each in told),
            "bytes": sum(each["bytes"] for each in told),
            "trail": sum(each["trail"] for each in told),
            "acted": acted,
            "listed": listed,
        }

    async def until(self, version: int, many: int, within_s: float = 60.0) -> tuple[dict, float]:
        """Waits until so many acted on a version; the report, and when the last one did (monotonic)."""
        end = time.monotonic() + within_s
        while True:
            told = await self.report()
            had = told["acted"].get(version, (0, 0.0))
            if had[0] >= many:
                return told, had[1]
            if time.monotonic() > end:
                raise TimeoutError(f"{had[0]} of {many} act on version {version} after {within_s} s")
            await asyncio.sleep(0.2)


def main() -> None:
    told = argparse.ArgumentParser()
    told.add_argument("lists")
    told.add_argument("--senders", type=int, default=550)
    told.add_argument("--fleet", action="store_true")
    logging.disable(logging.CRITICAL)
    asyncio.run(serve(told.parse_args()))


if __name__ == "__main__":
    main()
