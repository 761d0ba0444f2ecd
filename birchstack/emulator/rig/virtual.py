"""Rig in virtual time, with senders and keepers as emulated processes in one process.

Parties and links are those of the real rig. The senders are net.sender.Node with the fleet's audit log, the
keepers keeper.process.Collector, both unchanged; only the machine, the event loop and the network below them
are emulated.
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
from birchstack.emulator.rig.parties import Clients, Endpoints, ListService
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

DELAY_MS = 2.0  # latency of the network
START_MS = 100.0  # from the start of a process to its first instruction


class FleetMachine(Machine):
    """The machine of one process; all share the clock, but each wall clock can be stepped alone."""

    def __init__(self, rig: VirtualRig, process: Process) -> None:
        self._rig = rig
        self._process = process

    def wall_ms(self) -> float:
        """Returns the wall clock's time, with its steps."""
        return WALL_MS + self._rig.clock.now_ms() + self._process.stepped_ms

    def steady_ms(self) -> float:
        """Returns the steady clock's time."""
        return 5_000_000.0 + self._rig.clock.now_ms()

    def boot_id(self) -> str:
        """Returns the same boot id for all processes."""
        return "one-boot"

    def unique_name(self) -> str:
        """Returns a random name, drawn from the rig's generator."""
        return f"{self._rig.chance.getrandbits(64):016x}"

    def folder(self, path: str) -> MemoryFolder:
        """Returns the folder in memory, whatever the path."""
        return self._process.folder

    async def listen(self, loop: ProcessLoop, where, protocol, *how):
        """Listens on the emulated network."""
        return await loop.create_server(protocol, *where)

    def memory_bytes(self) -> int:
        """Returns 0: emulated processes share the memory of this one."""
        return 0

    def max_descriptors(self) -> int:
        """Returns a limit that is never reached."""
        return 1 << 20

    def on_signals(self, loop: ProcessLoop, end, reload) -> None:
        """Stores the handler of SIGTERM."""
        self._process.on_term = end


class Process:
    """One emulated process over its restarts; its disk persists."""

    def __init__(self, rig: VirtualRig, name: str) -> None:
        self.rig = rig
        self.name = name
        self.disk = Disk()
        self.stepped_ms = 0.0  # by how much the wall clock was stepped
        self.loop: ProcessLoop | None = None
        self.folder: MemoryFolder | None = None
        self.on_term: Callable[[], None] | None = None
        self.faults: list[str] = []
        self.lives: list[tuple[str, float]] = []  # event and time
        self.on_resume: Callable[[], None] = lambda: None
        self.lost_disk = False  # its disk was full, corrupt or lost at some time

    @property
    def runs(self) -> bool:
        """Whether the process is running."""
        return self.loop is not None and not self.loop.dead

    def start(self) -> None:
        """Starts the process, unless it is running."""
        if self.runs:
            return
        rig = self.rig
        self.folder = MemoryFolder(self.disk)
        self.on_term = None
        self.disk.strike = None
        self.loop = ProcessLoop(rig.clock, rig.network, self.name)
        self.loop.on_fault = self._fault
        self._note("started")
        self.loop.call_later(START_MS / 1000.0, self._main)

    def _main(self) -> None:
        raise NotImplementedError

    def _note(self, event: str) -> None:
        """Records an event of the process and its time."""
        self.lives.append((event, self.rig.clock.now_ms()))

    def _fault(self, context: dict) -> None:
        exception = context.get("exception")
        self.faults.append(f"{context.get('message')}: {type(exception).__name__}: {exception}")

    def finish(self, how: str) -> None:
        """Ends the process, if it is running."""
        if self.runs:
            self._note(how)
            self.loop.end()
            self.folder.dead = True
            self.rig.network.process_ended(self.loop)

    def kill(self) -> None:
        """Ends the process as SIGKILL does."""
        self.finish("killed")

    def kill_at_write(self, write: int, how: str) -> None:
        """Kills the process at the write with that number from now; how: before, torn or after."""
        self.disk.kill_process = lambda: self.finish("killed")
        self.disk.strike = (self.disk.writes + write, how)

    def term(self) -> None:
        """Calls the handler of SIGTERM."""
        if self.runs and self.on_term:
            self.loop.call_soon(self.on_term)

    def stand(self, still: bool) -> None:
        """Pauses the process as SIGSTOP does, or continues it."""
        if self.runs and self.loop.paused != still:
            self._note("stopped" if still else "let go")
            self.loop.set_paused(still)
            if not still:
                self.on_resume()


class SenderProcess(Process):
    """A process of a sender."""

    node: Node | None = None  # the latest one

    def _main(self) -> None:
        rig = self.rig
        name = self.name
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
        rig.on_sender_start(name, raw["known"])
        fleet_file = rig.fleet_file
        config = fleet_settings.reserve_trail_space(fleet_file, decode(raw, {}))
        self.node = node = Node(
            config, self.loop, FleetMachine(rig, self), audit_log.audit_log_factory(fleet_file)
        )
        node.ended.add_done_callback(lambda future: self.finish("ended"))
        self.loop.create_task(node.start()).add_done_callback(self._started)

    def _started(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._fault({"message": "start", "exception": task.exception()})


class KeeperProcess(Process):
    """A process of a keeper, with a store in memory."""

    def __init__(self, rig: VirtualRig, name: str) -> None:
        super().__init__(rig, name)
        self.store = Store(":memory:")

    def _main(self) -> None:
        rig = self.rig
        doors = {
            sender: ["{}:{}".format(*rig.link(self.name, f"{sender}:ops").where)] for sender in rig.senders
        }
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

    def finish(self, how: str) -> None:
        """Ends the process and rolls its store back."""
        super().finish(how)
        self.store.rollback()  # as a crash loses what was not committed

    def reader(self) -> StoreReader:
        """Returns a reader of the store, as of now."""
        return StoreReader(self.store.db, WALL_MS + self.rig.clock.now_ms())


class VirtualRig:
    """The rig in virtual time. senders, keepers: their numbers. After start(), run() advances the time."""

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
        """trail_bytes: may be below the minimum of a fleet's file, so that a short run folds a trail.

        signals: the table of the fleet's file. rules: settings of the senders that replace the usual ones.
        """
        self.chance = random.Random(f"virtual rig {seed}")
        self.clock = Clock()
        self.network = Network(self.clock, seed, DELAY_MS, DELAY_MS, 0.0)
        self.stage = Stage(self.clock, self.network)
        self.fleet_file = fleet_settings.FleetSettings(
            fleet_settings.TrailSettings(trail_bytes), signals=signals
        )
        self.rules = rules or {}
        self.uids = {f"e{index + 1}": index % destinations + 1 for index in range(endpoints)}
        self._addresses: dict[str, tuple[str, int]] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.endpoints = Endpoints(self.stage)
        self.list = ListService(self.stage, self._address)
        self.list.begin([site.entry(uid, destination) for uid, destination in self.uids.items()])
        self.clients = Clients(self.stage, self.place)
        self.senders = [f"n{index + 1}" for index in range(senders)]
        self.keepers = [f"k{index + 1}" for index in range(keepers)]
        self.on_sender_start: Callable[[str, dict], None] = lambda name, known: None
        self.processes: dict[str, Process] = {
            **{name: SenderProcess(self, name) for name in self.senders},
            **{name: KeeperProcess(self, name) for name in self.keepers},
        }

    def __getitem__(self, name: str) -> Process:
        return self.processes[name]

    def start(self) -> None:
        """Starts all processes."""
        for each in self.processes.values():
            each.start()

    def place(self, name: str) -> tuple[str, int]:
        """Returns the address of a party."""
        if name not in self._addresses:
            high, low = divmod(len(self._addresses), 250)
            self._addresses[name] = f"127.9.{high}.{low + 1}", 7000
        return self._addresses[name]

    def link(self, caller: str, target: str) -> Link:
        """Returns the link from a caller to a target, which is created at its first use."""
        if (caller, target) not in self.links:
            if target == "list":
                to = self.list.accept
            elif target in self.uids:
                to = self.endpoints.accept(target)
            else:
                to = self.place(target)
            self.links[caller, target] = Link(
                self.stage, caller, target, to, self.place(f"{caller}>{target}")
            )
        return self.links[caller, target]

    def _address(self, caller: str, uid: str) -> str:
        """Returns the address of an endpoint for a caller."""
        return "{}:{}".format(*self.link(caller, uid).where)

    def wall(self, stage_ms: float) -> float:
        """Returns the wall clock's time at a time of the stage."""
        return WALL_MS + stage_ms

    def run(self, seconds: float) -> None:
        """Advances the virtual time."""
        self.clock.run(self.clock.now + seconds)
