"""A rig in virtual time: the same parties and links, senders and keepers as emulated processes in one.

Owns the emulated processes, their machines and disks. The senders are net.sender.Node with the fleet's
audit log, the keepers keeper.process.Collector, as they ship; only the machine, the loop and the network
below them are others.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from birchstack.emulator.clock import Clock, ProcessLoop
from birchstack.emulator.folder import Disk, MemoryFolder
from birchstack.emulator.network import Network
from birchstack.emulator.rig import site
from birchstack.emulator.rig.links import Link
from birchstack.emulator.rig.parties import Clients, Endpoints, Lists
from birchstack.emulator.virtual import WALL_MS, Stage
from birchstack.fleet import audit_log
from birchstack.fleet import settings as fleet_settings
from birchstack.keeper import config as keeper_config
from birchstack.keeper.process import Collector
from birchstack.keeper.questions import StoreReader
from birchstack.keeper.store import Store
from birchstack.net.config import decode
from birchstack.net.machine import Machine, PersistentClock
from birchstack.net.sender import Node

DELAY_MS = 2.0
START_MS = 100.0


class FleetMachine(Machine):
    """One machine for all processes, but that the wall clock of each can be stepped alone."""

    def __init__(self, rig: VirtualRig, process: Process) -> None:
        self._rig, self._process = rig, process

    def wall_ms(self) -> float:
        return WALL_MS + self._rig.clock.now_ms() + self._process.stepped_ms

    def steady_ms(self) -> float:
        return 5_000_000.0 + self._rig.clock.now_ms()

    def boot_id(self) -> str:
        return "one-boot"

    def unique_name(self) -> str:
        return f"{self._rig.chance.getrandbits(64):016x}"

    def folder(self, path: str) -> MemoryFolder:
        return self._process.folder

    async def listen(self, loop: ProcessLoop, where, protocol, *how):
        return await loop.create_server(protocol, *where)

    def max_descriptors(self) -> int:
        return 1 << 20

    def on_signals(self, loop: ProcessLoop, end, reload) -> None:
        self._process.on_term = end


class Process:
    """One emulated process over its lives; its disk stays."""

    def __init__(self, rig: VirtualRig, name: str) -> None:
        self.rig, self.name = rig, name
        self.disk, self.stepped_ms = Disk(), 0.0
        self.loop: ProcessLoop | None = None
        self.folder: MemoryFolder | None = None
        self.on_term: Callable[[], None] | None = None
        self.faults: list[str] = []
        self.lives: list[tuple[str, float]] = []  # what happened to it, and when
        self.on_go: Callable[[], None] = lambda: None
        self.lost_disk = False  # its disk was full or lost at some time

    @property
    def runs(self) -> bool:
        return self.loop is not None and not self.loop.dead

    def start(self) -> None:
        if self.runs:
            return
        rig = self.rig
        self.folder, self.on_term = MemoryFolder(self.disk), None
        self.disk.strike = None
        self.loop = ProcessLoop(rig.clock, rig.network, self.name)
        self.loop.on_fault = self._fault
        self._note("started")
        self.loop.call_later(START_MS / 1000.0, self._main)

    def _main(self) -> None:
        raise NotImplementedError

    def _note(self, what: str) -> None:
        self.lives.append((what, self.rig.clock.now_ms()))

    def _fault(self, context: dict) -> None:
        problem = context.get("exception")
        self.faults.append(f"{context.get('message')}: {type(problem).__name__}: {problem}")

    def over(self, how: str) -> None:
        if self.runs:
            self._note(how)
            self.loop.end()
            self.folder.dead = True
            self.rig.network.died(self.loop)

    def kill(self) -> None:
        self.over("killed")

    def kill_at_write(self, write: int, how: str) -> None:
        self.disk.died = lambda: self.over("killed")
        self.disk.strike = (self.disk.writes + write, how)

    def term(self) -> None:
        if self.runs and self.on_term:
            self.loop.call_soon(self.on_term)

    def stand(self, still: bool) -> None:
        if self.runs and self.loop.still != still:
            self._note("stopped" if still else "let go")
            self.loop.stand(still)
            if not still:
                self.on_go()


class SenderProcess(Process):
    node: Node | None = None  # of its last life

    def _main(self) -> None:
        rig, name = self.rig, self.name
        raw = site.sender(
            name,
            "{}:{}".format(*rig.place(name)),
            "{}:{}".format(*rig.place(f"{name}:ops")),
            "{}:{}".format(*rig.link(name, "list").where),
            "/",
            rig.chance.getrandbits(48),
            rig.list.whole(name),
            len(rig.senders),
        )
        raw["settings"]["rules"] = {**raw["settings"]["rules"], **rig.rules}
        rig.on_known(name, raw["known"])
        told = rig.fleet_file
        config = fleet_settings.reserve_trail_space(told, decode(raw, {}))
        self.node = node = Node(config, self.loop, FleetMachine(rig, self), audit_log.audit_log_factory(told))
        node.ended.add_done_callback(lambda future: self.over("ended"))
        self.loop.create_task(node.start()).add_done_callback(self._started)

    def _started(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._fault({"message": "start", "exception": task.exception()})


class KeeperProcess(Process):
    def __init__(self, rig: VirtualRig, name: str) -> None:
        super().__init__(rig, name)
        self.store = Store(":memory:")

    def _main(self) -> None:
        rig = self.rig
        doors = {each: ["{}:{}".format(*rig.link(self.name, f"{each}:ops").where)] for each in rig.senders}
        lists = "{}:{}".format(*rig.link(self.name, "list").where)
        text = site.keeper(self.name, ":memory:", doors, lists, 0.25)
        machine = FleetMachine(rig, self)
        collector = Collector(
            keeper_config.decode(text.encode(), "virtual"),
            self.loop,
            self.store,
            machine,
            PersistentClock(machine, self.folder),
            random.Random(rig.chance.getrandbits(32)),
        )
        collector.start()

    def over(self, how: str) -> None:
        super().over(how)
        self.store.rollback()  # what was not committed was never had

    def reader(self) -> StoreReader:
        return StoreReader(self.store.db, WALL_MS + self.rig.clock.now_ms())


class VirtualRig:
    """senders, keepers: how many. Everything is started; run() lets time pass."""

    def __init__(
        self,
        seed: int,
        senders: int = 5,
        keepers: int = 1,
        endpoints: int = 4,
        destinations: int = 2,
        trail_bytes: int = 400_000,
        signals: fleet_settings.SignalSettings | None = None,
        rules: dict | None = None,
    ) -> None:
        """trail_bytes: may be less than a file could say, so that a short day folds some. signals: the table
        of the fleet's file. rules: of the senders' settings, in place of the usual ones."""
        self.chance = random.Random(f"virtual rig {seed}")
        self.clock = Clock()
        self.network = Network(self.clock, seed, DELAY_MS, DELAY_MS, 0.0)
        self.stage = Stage(self.clock, self.network)
        self.fleet_file = fleet_settings.FleetSettings(
            fleet_settings.TrailSettings(trail_bytes), signals=signals
        )
        self.rules = rules or {}
        self.uids = {f"e{at + 1}": at % destinations + 1 for at in range(endpoints)}
        self._places: dict[str, tuple[str, int]] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.endpoints = Endpoints(self.stage)
        self.list = Lists(self.stage, self._address)
        self.list.begin([site.entry(uid, destination) for uid, destination in self.uids.items()])
        self.clients = Clients(self.stage, self.place)
        self.senders = [f"n{at + 1}" for at in range(senders)]
        self.keepers = [f"k{at + 1}" for at in range(keepers)]
        self.on_known: Callable[[str, dict], None] = lambda name, known: None
        self.processes: dict[str, Process] = {
            **{name: SenderProcess(self, name) for name in self.senders},
            **{name: KeeperProcess(self, name) for name in self.keepers},
        }

    def __getitem__(self, name: str) -> Process:
        return self.processes[name]

    def start(self) -> None:
        for each in self.processes.values():
            each.start()

    def place(self, name: str) -> tuple[str, int]:
        if name not in self._places:
            high, low = divmod(len(self._places), 250)
            self._places[name] = f"127.9.{high}.{low + 1}", 7000
        return self._places[name]

    def link(self, a: str, b: str) -> Link:
        if (a, b) not in self.links:
            if b == "list":
                to = self.list.accept
            elif b in self.uids:
                to = self.endpoints.accept(b)
            else:
                to = self.place(b)
            self.links[a, b] = Link(self.stage, a, b, to, self.place(f"{a}>{b}"))
        return self.links[a, b]

    def _address(self, caller: str, uid: str) -> str:
        return "{}:{}".format(*self.link(caller, uid).where)

    def wall(self, stage_ms: float) -> float:
        return WALL_MS + stage_ms

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now + seconds)
