"""Rig of real processes on loopback: senders, keepers, a list service, endpoints, clients and links.

Every pair of parties is connected by a link of its own, so that each pair can be partitioned alone. A rig
uses only addresses in 127.0.0.0/8 and ends only processes that it started.
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
from birchstack.emulator.rig.parties import Clients, Endpoints, ListService
from birchstack.emulator.rig.processes import Process, copy_folder, shell, until
from birchstack.emulator.scenario import Network, Scenario

ANY = ("127.0.0.1", 0)  # a free port
CLIENT_PORT = 7400
OPS_PORT = 7401


class Rig:
    """A running rig: `async with Rig(folder, senders=6) as rig`.

    Inside the block, all processes are ready; at its end, none is left running.
    """

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
        clients: type[Clients] = Clients,
    ) -> None:
        """rules: settings under `rules` that replace those of site.SETTINGS. clients: how documents come."""
        self.folder = folder
        self.seed = seed
        self._fleet = fleet
        self.chance = random.Random(f"rig {seed}")
        self._run = run or shell(sys.executable, "-m", "birchstack")
        self._root = Path.cwd()
        self.senders = [f"n{index + 1}" for index in range(senders)]
        self.keepers = [f"k{index + 1}" for index in range(keepers)]
        self.uids = {f"e{index + 1}": index % destinations + 1 for index in range(endpoints)}
        self._list_services = list_services
        self._beat_ms = beat_ms
        self._keeper_options = keeper or {}
        self._rules = rules or {}
        self._clients = clients
        self._further_processes = also or {}  # by sender: further processes of it that will be added
        self.links: dict[tuple[str, str], Link] = {}
        self.processes: dict[str, Process] = {}
        self._addresses: dict[str, str] = {}
        self._load_task: asyncio.Task | None = None
        self._documents = 0

    async def __aenter__(self) -> Rig:
        loop = asyncio.get_running_loop()
        no_delay = Scenario(network=Network(delay_ms=0.0, jitter=0.0))
        self.stage = sockets.Stage(loop, no_delay, self.seed)
        self._wall_ms = time.time() * 1000.0 - self.stage.now_ms()
        self._network_guard = self._reserve_network()
        self.endpoints = Endpoints(self.stage)
        self.lists = {}
        for index in range(self._list_services):
            service = ListService(self.stage, self._address, self._beat_ms)
            service.begin([site.entry(uid, destination) for uid, destination in self.uids.items()])
            self.lists["list" if not index else f"list{index + 1}"] = service
        self.list = self.lists["list"]
        self.clients = self._clients(self.stage, lambda sender: self.link("clients", sender).where)
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

    async def __aexit__(self, *exception: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Ends all processes by their ids, whatever their state."""
        await self.quiet()
        for process in self.processes.values():
            await process.end()
        for host in self.stage.hosts:
            host.close()
        self._network_guard.close()

    # Addresses

    def _reserve_network(self) -> socket.socket:
        """Reserves a part of 127.0.0.0/8 for this rig by binding its guard port; returns the socket."""
        for _ in range(200):
            self._network_prefix = f"127.{40 + os.urandom(1)[0] % 200}"
            guard = socket.socket()
            try:
                guard.bind((f"{self._network_prefix}.255.254", 7399))
                return guard
            except OSError:
                guard.close()
        raise sockets.SocketError("no free part of 127.0.0.0/8")

    def place(self, name: str) -> str:
        """Returns the address of a party."""
        high, low = divmod(len(self._addresses), 250)
        return self._addresses.setdefault(name, f"{self._network_prefix}.{high}.{low + 1}")

    def link(self, caller: str, target: str) -> Link:
        """Returns the link from a caller to a target, which is created at its first use.

        target: a sender's name for its address for clients, NAME:ops for its operators' address, "list", or
        an endpoint.
        """
        if (caller, target) not in self.links:
            if target in self.lists:
                to = self.lists[target].accept
            elif target in self.uids:
                to = self.endpoints.accept(target)
            else:
                name, _, ops = target.partition(":")
                to = (self.place(name), OPS_PORT if ops else CLIENT_PORT)
            self.links[caller, target] = Link(self.stage, caller, target, to, ANY)
        return self.links[caller, target]

    def _address(self, caller: str, uid: str) -> str:
        """Returns the address of an endpoint for a caller."""
        return "{}:{}".format(*self.link(caller, uid).where)

    def links_of(self, caller: str = "*", target: str = "*") -> list[Link]:
        """Returns the existing links of a caller and a target; "*" matches any."""
        return [
            link
            for (link_caller, link_target), link in self.links.items()
            if caller in ("*", link_caller) and target in ("*", link_target)
        ]

    # Processes

    def _sender_config(self, name: str, sender: str, lists: str) -> dict:
        """Returns the configuration of a process of a sender."""
        client_address = self.place(sender if sender != name else name)
        ops_address = self.place(name)
        known = self.lists[lists].whole(sender)
        config = site.sender(
            sender,
            f"{client_address}:{CLIENT_PORT}",
            f"{ops_address}:{OPS_PORT}",
            "{}:{}".format(*self.link(sender, lists).where),
            str(self.folder / sender / "state"),
            self.chance.getrandbits(48),
            known,
            len(self.senders),
        )
        settings = config["settings"]
        return {**config, "settings": {**settings, "rules": {**settings["rules"], **self._rules}}}

    def add_sender(self, name: str, of: str | None = None, lists: str = "list", **more: object) -> Process:
        """Adds a process of a sender, not started yet.

        of: the sender, if the process is a further one of it (an upgrade) with the same folder and client
        address.
        """
        of = of or name
        (self.folder / of / "state").mkdir(parents=True, exist_ok=True)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps({**self._sender_config(name, of, lists), **more}))
        settings = {"BALANCER_CONFIG": str(path)}
        if self._fleet is not None:
            (self.folder / "fleet.toml").write_text(self._fleet)
            settings["BALANCER_FLEET"] = str(self.folder / "fleet.toml")
        process = self.processes[name] = Process(
            name, self._run, self.folder / "run" / name, self._root, settings
        )
        for keeper in self.keepers:
            self.link(keeper, f"{name}:ops")
        return process

    def add_keeper(self, name: str, doors: dict[str, list[str]] | None = None, **more: object) -> Process:
        """Adds a keeper, not started yet."""
        doors = doors or {
            sender: [
                "{}:{}".format(*self.link(name, f"{each}:ops").where)
                for each in (sender, *self._further_processes.get(sender, ()))
            ]
            for sender in self.senders
        }
        (self.folder / name).mkdir(parents=True, exist_ok=True)
        path = self.folder / f"{name}.toml"
        lists = "{}:{}".format(*self.link(name, "list").where)
        path.write_text(site.keeper(name, self.store(name), doors, lists, **{**self._keeper_options, **more}))
        line = shell(sys.executable, "-m", "birchstack.keeper", str(path))
        process = self.processes[name] = Process(name, line, self.folder / "run" / name, self._root, {})
        return process

    def __getitem__(self, name: str) -> Process:
        return self.processes[name]

    def state(self, name: str) -> Path:
        """Returns the folder of a sender's stored state."""
        return self.folder / name / "state"

    def copy_folder(self, old: str, new: str) -> None:
        """Copies the stored state of a sender, as a cloned disk would."""
        copy_folder(self.state(old), self.state(new))

    def lose_folder(self, name: str) -> None:
        """Deletes the stored state of a sender."""
        shutil.rmtree(self.state(name))
        self.state(name).mkdir()

    def store(self, keeper: str) -> str:
        """Returns the path of a keeper's store."""
        return str(self.folder / keeper / "store.sqlite")

    # Time and traffic

    def now_ms(self) -> float:
        """Returns the Unix time, by the steady clock since the start."""
        return self._wall_ms + self.stage.now_ms()

    def wall(self, stage_ms: float) -> float:
        """Returns the Unix time of a time of the stage."""
        return self._wall_ms + stage_ms

    async def until(self, condition: Callable[[], object], within_s: float = 8.0, what: str = "it") -> None:
        """Waits for a condition."""
        await until(condition, within_s, what)

    def load(
        self, per_second: float, senders: list[str] | None = None, destinations: list[int] | None = None
    ):
        """Submits documents at an even rate until quiet(), to senders in turn and to random destinations."""
        if self._load_task:
            self._load_task.cancel()
        names = senders or self.senders
        numbers = destinations or sorted(set(self.uids.values()))

        async def submit_all() -> None:
            while True:
                self._documents += 1
                doc = f"d{self._documents:05d}"
                self.clients.hand_in(names[self._documents % len(names)], doc, self.chance.choice(numbers))
                await asyncio.sleep(1.0 / per_second)

        self._load_task = asyncio.get_running_loop().create_task(submit_all())

    async def quiet(self) -> None:
        """Stops submitting documents and waits until those submitted have their answers."""
        if self._load_task:
            self._load_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._load_task
            self._load_task = None
            with contextlib.suppress(Exception):
                await until(lambda: all(each.answered_ms for each in self.clients.handed.values()), 4.0)
