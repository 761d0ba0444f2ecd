"""A day in virtual time: many senders in one process, on loops, sockets, clocks and folders in memory.

Owns the emulated processes: their starts, ends and halts. The senders are net.sender.Node as it ships; only
the machine below it (net.machine.Machine) and the event loop are others.
"""

from __future__ import annotations

import asyncio
import logging
import resource
import signal
import time
from collections import Counter

from birchstack.emulator.clock import Clock, ProcessLoop
from birchstack.emulator.folder import Disk, MemoryFolder
from birchstack.emulator.judge import Judge
from birchstack.emulator.network import Host, Network
from birchstack.emulator.result import Result
from birchstack.emulator.scenario import Scenario
from birchstack.emulator.world import World
from birchstack.net import log as sender_log
from birchstack.net.config import decode
from birchstack.net.machine import Machine
from birchstack.net.overflow import StoreFactory
from birchstack.net.sender import Node

CLOSE_MS = 3700.0  # SIGKILL comes so long after SIGTERM
WALL_MS = 1_800_000_000_000.0  # what the wall clock says when a day begins
START_MS = 200.0  # from a process's start to its first instruction
FAULTS = ("a fault of the decisions", "does not hold")


class Stage:
    """Virtual time and the network in memory, as the model sees them."""

    def __init__(self, clock: Clock, network: Network) -> None:
        self._clock, self._network = clock, network
        self.now_ms, self.after = clock.now_ms, clock.after
        self.serve, self.reach = network.serve, network.reach

    def refuse(self, host: Host, refuses: bool) -> None:
        host.refusing = refuses
        if refuses:
            self._network.reset_all(host)

    def darken(self, host: Host, dark: bool) -> None:
        if dark:
            host.dark = True
        else:
            self._network.light(host)


class MemoryMachine(Machine):
    """What one process sees of its machine."""

    def __init__(self, day: VirtualDay, number: int, folder: MemoryFolder) -> None:
        self._day, self._number, self._folder = day, number, folder

    def wall_ms(self) -> float:
        return WALL_MS + self._day.clock.now_ms() + self._day.stepped_ms

    def steady_ms(self) -> float:
        return 5_000_000.0 + self._day.clock.now_ms()

    def boot_id(self) -> str:
        return f"machine-{self._number}"

    def unique_name(self) -> str:
        self._day.names += 1
        return f"{self._day.seed & 0xFFFFFFFF:08x}{self._day.names:08x}"

    def folder(self, path: str) -> MemoryFolder:
        return self._folder

    async def listen(self, loop: ProcessLoop, where: tuple[str, int], protocol, *how):
        return await loop.create_server(protocol, *where)

    def max_descriptors(self) -> int:
        return 1 << 20

    def on_signals(self, loop: ProcessLoop, end, reload) -> None:
        for number, what in ((signal.SIGTERM, end), (signal.SIGINT, end), (signal.SIGHUP, reload)):
            loop.add_signal_handler(number, what)


class Process:
    """One sender over all its lives; its disk stays."""

    def __init__(self, day: VirtualDay, number: int) -> None:
        self._day, self.number = day, number
        self.disk = Disk()
        self.loop: ProcessLoop | None = None
        self.node: Node | None = None
        self._folder: MemoryFolder | None = None
        self._down_ms = 0.0
        self.closing = False

    def start(self) -> None:
        day = self._day
        self._folder, self.closing = MemoryFolder(self.disk), False
        self.loop = ProcessLoop(day.clock, day.network, str(self.number))
        self.loop.on_fault = self._fault
        self.disk.strike = None
        day.judge.started(day.clock.now_ms(), self.number)
        self.loop.call_later(START_MS / 1000.0, self._main)

    def _main(self) -> None:
        # "/" is a folder everywhere; the machine gives the one in memory in its place
        config = decode(self._day.world.config(self.number, "/"), {})
        machine = MemoryMachine(self._day, self.number, self._folder)
        self.node = Node(config, self.loop, machine, store=self._day.store)
        self.node.ended.add_done_callback(self._ended)
        self.loop.create_task(self.node.start()).add_done_callback(self._ready)

    def _ready(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is None:
            self._day.ready(self.number)
        elif not self.loop.dead:
            self._fault({"message": "start", "exception": task.exception()})
            self._over("crashed")

    def _fault(self, context: dict) -> None:
        problem = context.get("exception")
        self._day.judge.fault(
            self._day.clock.now_ms(),
            self.number,
            f"{context.get('message')}: {type(problem).__name__}: {problem}",
        )

    def _ended(self, future: asyncio.Future) -> None:
        if not self.loop.dead:
            self._over("by SIGTERM" if self.closing else "crashed")

    def _over(self, how: str) -> None:
        """The process is no more; what it wrote and its name stay."""
        day, loop = self._day, self.loop
        if loop is None or loop.dead:
            return
        loop.end()
        self._folder.dead = True
        self.node = None
        day.network.died(loop)
        day.judge.stopped(day.clock.now_ms(), self.number, how)
        day.clock.after(self._down_ms or 600.0, self._restart, loop)

    def _restart(self, loop: ProcessLoop) -> None:
        if self.loop is loop:
            self.start()

    def kill(self, down_ms: float) -> None:
        self._down_ms = down_ms
        self._over("killed")

    def term(self, down_ms: float) -> None:
        loop = self.loop
        if loop.dead or self.closing:
            return
        self._down_ms, self.closing = down_ms, True
        self._day.judge.told_to_end(self._day.clock.now_ms(), self.number)
        handler = loop.signals.get(signal.SIGTERM)
        if handler:
            loop.call_soon(handler[0], *handler[1])
            self._day.clock.after(CLOSE_MS, self._kill_if, loop)
        else:  # before it had a handler
            self._over("killed")

    def _kill_if(self, loop: ProcessLoop) -> None:
        if self.loop is loop and not loop.dead:
            self._day.judge.breach(
                "close",
                self._day.clock.now_ms(),
                None,
                f"sender {self.number} had to be killed after SIGTERM",
            )
            self._over("killed")

    def strike_write(self, write: int, how: str, down_ms: float) -> None:
        self._down_ms = down_ms
        self.disk.died = lambda: self._over("killed at a write")
        self.disk.strike = (self.disk.writes + write, how)


class Senders:
    """What troubles do to the processes."""

    def __init__(self, day: VirtualDay) -> None:
        self._day = day

    def _process(self, number: int) -> Process:
        return self._day.processes[number]

    def term(self, number: int, down_ms: float) -> None:
        self._process(number).term(down_ms)

    def kill(self, number: int, down_ms: float) -> None:
        self._process(number).kill(down_ms)

    def kill_at_write(self, number: int, write: int, how: str, down_ms: float) -> None:
        self._process(number).strike_write(write, how, down_ms)

    def stand(self, number: int, still: bool) -> None:
        if not self._process(number).loop.dead:
            self._process(number).loop.stand(still)

    def fill_disk(self, number: int, full: bool) -> None:
        self._process(number).disk.full = full

    def step_clock(self, seconds: float) -> None:
        self._day.stepped_ms += seconds * 1000.0


class Hearing(logging.Handler):
    """Faults that a sender only logged; the loop that runs tells which sender."""

    def __init__(self, day: VirtualDay) -> None:
        super().__init__(logging.ERROR)
        self._day = day

    def emit(self, record: logging.LogRecord) -> None:
        text = record.getMessage()
        loop = asyncio._get_running_loop()
        number = int(loop.name) if isinstance(loop, ProcessLoop) else -1
        if text in FAULTS:
            problem = record.exc_info[1] if record.exc_info else getattr(record, "fields", {}).get("what")
            self._day.judge.fault(self._day.clock.now_ms(), number, f"{text}: {problem!r}")
        else:
            self._day.judge.note(
                self._day.clock.now_ms(),
                None,
                f"sender {number} logs: {text} {getattr(record, 'fields', {})}",
            )


class VirtualDay:
    """One scenario with one seed, from its start to its result. store: makes what keeps long lines of
    documents on each sender's disk, if anything does."""

    def __init__(
        self, scenario: Scenario, seed: int, keep_log: bool = False, store: StoreFactory | None = None
    ) -> None:
        self.scenario, self.seed, self.store = scenario, seed, store
        self.clock = Clock()
        told = scenario.network
        self.network = Network(self.clock, seed, told.delay_ms, told.client_delay_ms, told.jitter)
        self.judge = Judge(scenario, keep_log)
        self.world = World(scenario, seed, Stage(self.clock, self.network), self.judge)
        self.world.senders = Senders(self)
        self.network.on_refused = lambda name, host: self.world.refused(int(name), host.name)
        self.processes = [Process(self, number) for number in range(scenario.senders)]
        self.stepped_ms, self.names = 0.0, 0
        self._ready: set[int] = set()

    def ready(self, number: int) -> None:
        self.judge.ready(self.clock.now_ms(), number)
        if len(self._ready) < self.scenario.senders:
            self._ready.add(number)
            if len(self._ready) == self.scenario.senders:
                self.world.open()

    def play(self, progress=None) -> Result:
        """progress(part) is told how much of the day is over, now and then."""
        began = time.process_time()
        logger = logging.getLogger("birchstack")
        handler, level, spreads = Hearing(self), logger.level, logger.propagate
        logger.addHandler(handler)
        logger.setLevel(logging.ERROR)
        logger.propagate = False
        sender_log.violations.clear()
        try:
            self.world.begin()
            for process in self.processes:
                process.start()
            until = self.scenario.seconds + 1.0 + self.world.rest_ms() / 1000.0
            at = 0.0
            while at < until:
                at = min(until, at + max(1.0, until / 50.0))
                self.clock.run(at)
                if progress:
                    progress(at / until)
        finally:
            logger.removeHandler(handler)
            logger.setLevel(level)
            logger.propagate = spreads
        self.judge.finish(self.clock.now_ms())
        spent = time.process_time() - began
        figures = Counter(self.judge.counts)
        figures["connections opened by senders"] = self.world.connections
        figures["events"] = self.clock.events
        figures["most descriptors"] = max(self.network.most_held.values(), default=0)
        figures["most bytes on disk"] = max(process.disk.most_bytes for process in self.processes)
        memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
        return Result.of(self.scenario, self.seed, "virtual", self.judge, figures, until, spent, memory)


def play(scenario: Scenario, seed: int, keep_log: bool = False, progress=None) -> Result:
    return VirtualDay(scenario, seed, keep_log).play(progress)
