"""Runs a scenario in virtual time: many senders in one process, on emulated loops, clocks, sockets and disks.

The senders are net.sender.Node, unchanged; only the machine below them (net.machine.Machine) and the event
loop are emulated.
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

KILL_AFTER_MS = 3700.0  # from SIGTERM to SIGKILL
WALL_MS = 1_800_000_000_000.0  # time of the wall clock at the start of a run
START_MS = 200.0  # from the start of a process to its first instruction
FAULTS = ("a fault of the decisions", "does not hold")  # log events that report an internal error


class Stage:
    """Virtual time and the emulated network, as the model uses them."""

    def __init__(self, clock: Clock, network: Network) -> None:
        self._clock = clock
        self._network = network
        self.now_ms = clock.now_ms
        self.after = clock.after
        self.serve = network.serve
        self.reach = network.reach

    def refuse(self, host: Host, refuses: bool) -> None:
        """Makes a host refuse connections and resets its existing ones, or accept them again."""
        host.refusing = refuses
        if refuses:
            self._network.reset_all(host)

    def darken(self, host: Host, dark: bool) -> None:
        """Makes a host drop all traffic, or ends that."""
        if dark:
            host.dark = True
        else:
            self._network.restore(host)


class MemoryMachine(Machine):
    """The machine of one emulated process."""

    def __init__(self, day: VirtualDay, number: int, folder: MemoryFolder) -> None:
        self._day = day
        self._number = number
        self._folder = folder

    def wall_ms(self) -> float:
        """Returns the wall clock's time, with its steps."""
        return WALL_MS + self._day.clock.now_ms() + self._day.stepped_ms

    def steady_ms(self) -> float:
        """Returns the steady clock's time."""
        return 5_000_000.0 + self._day.clock.now_ms()

    def boot_id(self) -> str:
        """Returns the machine's boot id, which never changes."""
        return f"machine-{self._number}"

    def unique_name(self) -> str:
        """Returns a name that is unique in the run."""
        self._day.names += 1
        return f"{self._day.seed & 0xFFFFFFFF:08x}{self._day.names:08x}"

    def folder(self, path: str) -> MemoryFolder:
        """Returns the folder in memory, whatever the path."""
        return self._folder

    async def listen(self, loop: ProcessLoop, address: tuple[str, int], protocol, *how):
        """Listens on the emulated network."""
        return await loop.create_server(protocol, *address)

    def memory_bytes(self) -> int:
        """Returns 0: emulated processes share the memory of this one."""
        return 0

    def max_descriptors(self) -> int:
        """Returns a limit that is never reached."""
        return 1 << 20

    def on_signals(self, loop: ProcessLoop, end, reload) -> None:
        """Installs the signal handlers on the emulated loop."""
        for signal_number, handler in ((signal.SIGTERM, end), (signal.SIGINT, end), (signal.SIGHUP, reload)):
            loop.add_signal_handler(signal_number, handler)


class Process:
    """One emulated sender over its restarts; its disk persists."""

    def __init__(self, day: VirtualDay, number: int) -> None:
        self._day = day
        self.number = number
        self.disk = Disk()
        self.loop: ProcessLoop | None = None
        self.node: Node | None = None
        self._folder: MemoryFolder | None = None
        self._down_ms = 0.0
        self.closing = False

    def start(self) -> None:
        """Starts a new process."""
        day = self._day
        self._folder = MemoryFolder(self.disk)
        self.closing = False
        self.loop = ProcessLoop(day.clock, day.network, str(self.number))
        self.loop.on_fault = self._fault
        self.disk.strike = None
        day.judge.started(day.clock.now_ms(), self.number)
        self.loop.call_later(START_MS / 1000.0, self._main)

    def _main(self) -> None:
        # the configuration needs an existing folder; the machine replaces it by the one in memory
        config = decode(self._day.world.config(self.number, "/"), {})
        machine = MemoryMachine(self._day, self.number, self._folder)
        self.node = Node(config, self.loop, machine, store=self._day.store)
        self.node.ended.add_done_callback(self._ended)
        self.loop.create_task(self.node.start()).add_done_callback(self._ready)

    def _ready(self, task: asyncio.Task) -> None:
        """Reports a sender that started, or the exception that prevented it."""
        if not task.cancelled() and task.exception() is None:
            self._day.ready(self.number)
        elif not self.loop.dead:
            self._fault({"message": "start", "exception": task.exception()})
            self._end("crashed")

    def _fault(self, context: dict) -> None:
        """Reports an exception that reached the event loop."""
        exception = context.get("exception")
        self._day.judge.fault(
            self._day.clock.now_ms(),
            self.number,
            f"{context.get('message')}: {type(exception).__name__}: {exception}",
        )

    def _ended(self, future: asyncio.Future) -> None:
        if not self.loop.dead:
            self._end("by SIGTERM" if self.closing else "crashed")

    def _end(self, how: str) -> None:
        """Ends the process and schedules the restart; its disk stays."""
        day = self._day
        loop = self.loop
        if loop is None or loop.dead:
            return
        loop.end()
        self._folder.dead = True
        self.node = None
        day.network.process_ended(loop)
        day.judge.stopped(day.clock.now_ms(), self.number, how)
        day.clock.after(self._down_ms or 600.0, self._restart, loop)

    def _restart(self, loop: ProcessLoop) -> None:
        if self.loop is loop:
            self.start()

    def kill(self, down_ms: float) -> None:
        """Ends the process as SIGKILL does; it restarts after down_ms."""
        self._down_ms = down_ms
        self._end("killed")

    def term(self, down_ms: float) -> None:
        """Sends SIGTERM, and SIGKILL if the process does not exit in time."""
        loop = self.loop
        if loop.dead or self.closing:
            return
        self._down_ms = down_ms
        self.closing = True
        self._day.judge.terminating(self._day.clock.now_ms(), self.number)
        handler = loop.signals.get(signal.SIGTERM)
        if handler:
            loop.call_soon(handler[0], *handler[1])
            self._day.clock.after(KILL_AFTER_MS, self._kill_if_running, loop)
        else:  # the process has not set its handler yet
            self._end("killed")

    def _kill_if_running(self, loop: ProcessLoop) -> None:
        if self.loop is loop and not loop.dead:
            self._day.judge.breach(
                "close",
                self._day.clock.now_ms(),
                None,
                f"sender {self.number} had to be killed after SIGTERM",
            )
            self._end("killed")

    def kill_at_write(self, write: int, how: str, down_ms: float) -> None:
        """Kills the process at the write with that number from now; how: before, torn or after."""
        self._down_ms = down_ms
        self.disk.kill_process = lambda: self._end("killed at a write")
        self.disk.strike = (self.disk.writes + write, how)


class Senders:
    """Process faults, as the model injects them."""

    def __init__(self, day: VirtualDay) -> None:
        self._day = day

    def _process(self, number: int) -> Process:
        return self._day.processes[number]

    def term(self, number: int, down_ms: float) -> None:
        """Sends SIGTERM to a sender."""
        self._process(number).term(down_ms)

    def kill(self, number: int, down_ms: float) -> None:
        """Sends SIGKILL to a sender."""
        self._process(number).kill(down_ms)

    def kill_at_write(self, number: int, write: int, how: str, down_ms: float) -> None:
        """Kills a sender at one of its next writes."""
        self._process(number).kill_at_write(write, how, down_ms)

    def set_paused(self, number: int, still: bool) -> None:
        """Pauses a sender, or continues it."""
        if not self._process(number).loop.dead:
            self._process(number).loop.set_paused(still)

    def fill_disk(self, number: int, full: bool) -> None:
        """Makes a sender's disk full, or ends that."""
        self._process(number).disk.full = full

    def step_clock(self, seconds: float) -> None:
        """Steps the wall clock of all senders."""
        self._day.stepped_ms += seconds * 1000.0


class FaultLogHandler(logging.Handler):
    """Log handler that reports internal errors that a sender only logged.

    The running event loop identifies the sender.
    """

    def __init__(self, day: VirtualDay) -> None:
        super().__init__(logging.ERROR)
        self._day = day

    def emit(self, record: logging.LogRecord) -> None:
        """Reports a log record of level ERROR."""
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
    """One run of a scenario with a seed.

    store: makes the store for queues of documents on each sender's disk, if there is one.
    """

    def __init__(
        self, scenario: Scenario, seed: int, keep_log: bool = False, store: StoreFactory | None = None
    ) -> None:
        self.scenario = scenario
        self.seed = seed
        self.store = store
        self.clock = Clock()
        network = scenario.network
        self.network = Network(self.clock, seed, network.delay_ms, network.client_delay_ms, network.jitter)
        self.judge = Judge(scenario, keep_log)
        self.world = World(scenario, seed, Stage(self.clock, self.network), self.judge)
        self.world.senders = Senders(self)
        self.network.on_refused = lambda name, host: self.world.connection_refused(int(name), host.name)
        self.processes = [Process(self, number) for number in range(scenario.senders)]
        self.stepped_ms = 0.0  # by how much the wall clocks were stepped
        self.names = 0  # unique names given out
        self._ready: set[int] = set()

    def ready(self, number: int) -> None:
        """A sender is ready; once all are, the clients start."""
        self.judge.ready(self.clock.now_ms(), number)
        if len(self._ready) < self.scenario.senders:
            self._ready.add(number)
            if len(self._ready) == self.scenario.senders:
                self.world.start_load()

    def play(self, progress=None) -> Result:
        """Runs the scenario and returns its result.

        progress(part) is called periodically with the share of the run that is over.
        """
        began = time.process_time()
        logger = logging.getLogger("birchstack")
        handler = FaultLogHandler(self)
        level = logger.level
        propagates = logger.propagate
        logger.addHandler(handler)
        logger.setLevel(logging.ERROR)
        logger.propagate = False
        sender_log.violations.clear()
        try:
            self.world.start()
            for process in self.processes:
                process.start()
            end_s = self.scenario.seconds + 1.0 + self.world.settle_ms() / 1000.0
            now_s = 0.0
            while now_s < end_s:
                now_s = min(end_s, now_s + max(1.0, end_s / 50.0))
                self.clock.run(now_s)
                if progress:
                    progress(now_s / end_s)
        finally:
            logger.removeHandler(handler)
            logger.setLevel(level)
            logger.propagate = propagates
        self.judge.finish(self.clock.now_ms())
        cpu_s = time.process_time() - began
        figures = Counter(self.judge.counts)
        figures["connections opened by senders"] = self.world.connections_opened
        figures["events"] = self.clock.events_scheduled
        figures["most descriptors"] = max(self.network.peak_connections.values(), default=0)
        figures["most bytes on disk"] = max(process.disk.peak_bytes for process in self.processes)
        memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
        return Result.of(self.scenario, self.seed, "virtual", self.judge, figures, end_s, cpu_s, memory_mb)


def play(scenario: Scenario, seed: int, keep_log: bool = False, progress=None) -> Result:
    """Runs a scenario in virtual time."""
    return VirtualDay(scenario, seed, keep_log).play(progress)
