"""A rig of real processes on loopback: senders, keepers, one list service, endpoints, clients, and links.

Owns addresses, folders and the processes it starts. Every party reaches every other by a link of that pair,
so each pair can be cut apart alone. Must never touch an address outside 127.0.0.0/8, or a process that is not
its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import socket
import sys
import time
from collections.abc import Callable
from pathlib import Path

from birchstack.emulator import sockets
from birchstack.emulator.rig import site
from birchstack.emulator.rig.links import Link
from birchstack.emulator.rig.parties import Clients, Endpoints, Lists
from birchstack.emulator.rig.processes import Process, copy_folder, shell, until
from birchstack.emulator.scenario import Network, Scenario

ANY = ("127.0.0.1", 0)
CLIENT_PORT, OPS_PORT = 7400, 7401


class Rig:
    """async with Rig(folder, senders=6) as rig: everything stands and is ready; at its end nothing is
    left."""

    def __init__(
        self,
        folder: Path,
        senders: int = 6,
        keepers: int = 1,
        endpoints: int = 4,
        destinations: int = 2,
        fleet: str | None = site.FLEET,
        run: str | None = None,
        seed: int = 1,
        list_services: int = 1,
        keeper: dict | None = None,
        beat_ms: float = 500.0,
        also: dict[str, list[str]] | None = None,
        rules: dict | None = None,
    ) -> None:
        """rules: settings under `rules` in place of those of site.SETTINGS."""
        self.folder, self.seed, self._fleet = folder, seed, fleet
        self.chance = random.Random(f"rig {seed}")
        self._run = run or shell(sys.executable, "-m", "birchstack")
        self._root = Path.cwd()
        self.senders = [f"n{at + 1}" for at in range(senders)]
        self.keepers = [f"k{at + 1}" for at in range(keepers)]
        self.uids = {f"e{at + 1}": at % destinations + 1 for at in range(endpoints)}
        self._list_services, self._beat_ms = list_services, beat_ms
        self._keeper_words = keeper or {}
        self._rules = rules or {}
        self._also = also or {}  # by sender: processes to come beside it
        self.links: dict[tuple[str, str], Link] = {}
        self.processes: dict[str, Process] = {}
        self._places: dict[str, str] = {}
        self._load: asyncio.Task | None = None
        self._documents = 0

    async def __aenter__(self) -> Rig:
        loop = asyncio.get_running_loop()
        quiet = Scenario(network=Network(delay_ms=0.0, jitter=0.0))
        self.stage = sockets.Stage(loop, quiet, self.seed)
        self._wall_ms = time.time() * 1000.0 - self.stage.now_ms()
        self._lock = self._block()
        self.endpoints = Endpoints(self.stage)
        self.lists = {}
        for at in range(self._list_services):
            made = Lists(self.stage, self._address, self._beat_ms)
            made.begin([site.entry(uid, destination) for uid, destination in self.uids.items()])
            self.lists["list" if not at else f"list{at + 1}"] = made
        self.list = self.lists["list"]
        self.clients = Clients(self.stage, lambda sender: self.link("clients", sender).where)
        try:
            await asyncio.sleep(0)
            for name in self.senders:
                self.add_sender(name)
            await asyncio.gather(*(self.processes[name].start() for name in self.senders))
            for name in self.keepers:
                self.add_keeper(name)
            await asyncio.gather(*(self.processes[name].start("event=keeping") for name in self.keepers))
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *problem: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Every process is ended by its id, whatever it is doing."""
        await self.quiet()
        for each in self.processes.values():
            await each.end()
        for host in self.stage.hosts:
            host.close()
        self._lock.close()

    # Addresses

    def _block(self) -> socket.socket:
        """A part of 127.0.0.0/8 that no other rig has: whoever holds its guard port."""
        for _ in range(200):
            self._net = f"127.{40 + os.urandom(1)[0] % 200}"
            guard = socket.socket()
            try:
                guard.bind((f"{self._net}.255.254", 7399))
                return guard
            except OSError:
                guard.close()
        raise sockets.SocketError("no free part of 127.0.0.0/8")

    def place(self, name: str) -> str:
        high, low = divmod(len(self._places), 250)
        return self._places.setdefault(name, f"{self._net}.{high}.{low + 1}")

    def link(self, a: str, b: str) -> Link:
        """From a to b, made when it is first needed. b: a sender's clients' door by its name, its operators'
        door as NAME:ops, "list", or an endpoint."""
        if (a, b) not in self.links:
            if b in self.lists:
                to = self.lists[b].accept
            elif b in self.uids:
                to = self.endpoints.accept(b)
            else:
                name, _, ops = b.partition(":")
                to = (self.place(name), OPS_PORT if ops else CLIENT_PORT)
            self.links[a, b] = Link(self.stage, a, b, to, ANY)
        return self.links[a, b]

    def _address(self, caller: str, uid: str) -> str:
        return "{}:{}".format(*self.link(caller, uid).where)

    def links_of(self, a: str = "*", b: str = "*") -> list[Link]:
        return [link for (x, y), link in self.links.items() if a in ("*", x) and b in ("*", y)]

    # Processes

    def _sender_words(self, name: str, of: str, lists: str) -> dict:
        place = self.place(of if of != name else name)
        ops = self.place(name)
        known = self.lists[lists].whole(of)
        words = site.sender(
            of,
            f"{place}:{CLIENT_PORT}",
            f"{ops}:{OPS_PORT}",
            "{}:{}".format(*self.link(of, lists).where),
            str(self.folder / of / "state"),
            self.chance.getrandbits(48),
            known,
            len(self.senders),
        )
        settings = words["settings"]
        return {**words, "settings": {**settings, "rules": {**settings["rules"], **self._rules}}}

    def add_sender(self, name: str, of: str | None = None, lists: str = "list", **more: object) -> Process:
        """of: another process of that sender (an upgrade): the same folder and clients' door."""
        of = of or name
        (self.folder / of / "state").mkdir(parents=True, exist_ok=True)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps({**self._sender_words(name, of, lists), **more}))
        settings = {"BALANCER_CONFIG": str(path)}
        if self._fleet is not None:
            (self.folder / "fleet.toml").write_text(self._fleet)
            settings["BALANCER_FLEET"] = str(self.folder / "fleet.toml")
        made = self.processes[name] = Process(
            name, self._run, self.folder / "run" / name, self._root, settings
        )
        for keeper in self.keepers:
            self.link(keeper, f"{name}:ops")
        return made

    def add_keeper(self, name: str, doors: dict[str, list[str]] | None = None, **more: object) -> Process:
        doors = doors or {
            sender: [
                "{}:{}".format(*self.link(name, f"{each}:ops").where)
                for each in (sender, *self._also.get(sender, ()))
            ]
            for sender in self.senders
        }
        (self.folder / name).mkdir(parents=True, exist_ok=True)
        path = self.folder / f"{name}.toml"
        lists = "{}:{}".format(*self.link(name, "list").where)
        path.write_text(site.keeper(name, self.store(name), doors, lists, **{**self._keeper_words, **more}))
        line = shell(sys.executable, "-m", "birchstack.keeper", str(path))
        made = self.processes[name] = Process(name, line, self.folder / "run" / name, self._root, {})
        return made

    def __getitem__(self, name: str) -> Process:
        return self.processes[name]

    def state(self, name: str) -> Path:
        return self.folder / name / "state"

    def copy_folder(self, old: str, new: str) -> None:
        copy_folder(self.state(old), self.state(new))

    def lose_folder(self, name: str) -> None:
        shutil.rmtree(self.state(name))
        self.state(name).mkdir()

    def store(self, keeper: str) -> str:
        return str(self.folder / keeper / "store.sqlite")

    # Time, traffic

    def now_ms(self) -> float:
        """Unix time, by the steady clock since the rig began."""
        return self._wall_ms + self.stage.now_ms()

    def wall(self, stage_ms: float) -> float:
        return self._wall_ms + stage_ms

    async def until(self, condition: Callable[[], object], within_s: float = 8.0, what: str = "it") -> None:
        await until(condition, within_s, what)

    def load(
        self, per_second: float, senders: list[str] | None = None, destinations: list[int] | None = None
    ):
        """Documents at an even rate, to senders in turn, to drawn destinations, until quiet()."""
        if self._load:
            self._load.cancel()
        names = senders or self.senders
        all_of = destinations or sorted(set(self.uids.values()))

        async def go() -> None:
            while True:
                self._documents += 1
                doc = f"d{self._documents:05d}"
                self.clients.hand_in(names[self._documents % len(names)], doc, self.chance.choice(all_of))
                await asyncio.sleep(1.0 / per_second)

        self._load = asyncio.get_running_loop().create_task(go())

    async def quiet(self) -> None:
        """No new documents, and those handed in have their answers."""
        if self._load:
            self._load.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._load
            self._load = None
            with contextlib.suppress(Exception):
                await until(lambda: all(each.answered_ms for each in self.clients.handed.values()), 4.0)
