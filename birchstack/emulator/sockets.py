"""Runs a scenario on loopback sockets, against real processes started by the deploy file's `run`.

Only processes started here are ended, and only addresses in 127.0.0.0/8 are used. The delays of the network
are added at the model's ends of the connections. The result lists the faults that loopback cannot show: a
vanished machine still accepts connections, a kill at a write and a torn write become SIGKILL, the disk does
not fill and the clock does not step.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import resource
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections import Counter, deque
from collections.abc import Callable
from pathlib import Path

from birchstack.emulator.judge import Judge
from birchstack.emulator.result import Result
from birchstack.emulator.scenario import Scenario
from birchstack.emulator.world import World

ORDER_MS = 25.0  # events on two sockets closer than this have no certain order
READY_S = 20.0  # the senders must be ready within this
LINGER = struct.pack("ii", 1, 0)  # value of SO_LINGER that closes with a reset
DEPLOY = Path("deploy/balancer.toml")


class SocketError(Exception):
    """A scenario cannot be run on sockets."""


class Host:
    """One listening address of the model."""

    def __init__(self, stage: Stage, where: tuple[str, int], name: str, accept: Callable[[], object]) -> None:
        self._stage = stage
        self.where = where
        self.name = name
        self._accept = accept
        self.refusing = self.dark = False
        self.idle_drop_ms = 0.0
        self.idle_drop_silent = False
        self.connections: dict[ConnectionEnd, None] = {}
        self._server: asyncio.Server | None = None
        self.listen()

    def listen(self) -> None:
        """Opens the listening socket."""
        try:
            listener = socket.create_server(self.where, backlog=256)
        except OSError as problem:
            raise SocketError(f"{self.where[0]}:{self.where[1]}: {problem.strerror}") from problem
        self.where = listener.getsockname()[:2]  # the port chosen, if it was 0
        self._stage.start(self._serve(listener))

    async def _serve(self, listener: socket.socket) -> None:
        self._server = await self._stage.loop.create_server(
            lambda: ConnectionEnd(self._stage, self._accept(), self), sock=listener
        )
        if self.refusing:
            self._server.close()

    def refuse(self, refuses: bool) -> None:
        """Refuses connections and resets the existing ones, or accepts them again."""
        if refuses and not self.refusing:
            self.refusing = True
            if self._server:
                self._server.close()
            for connection in [*self.connections]:
                connection.abort()
        elif not refuses and self.refusing:
            self.refusing = False
            self.listen()

    def restore_traffic(self) -> None:
        """Ends the dropping of traffic; connections are reset."""
        self.dark = False
        for connection in [*self.connections]:
            connection.abort()

    def close(self) -> None:
        """Stops listening."""
        if self._server:
            self._server.close()


class ConnectionEnd(asyncio.Protocol):
    """The model's end of one connection, and its peer's port. Bytes are delayed as the scenario says."""

    def __init__(self, stage: Stage, peer: object, host: Host | None) -> None:
        self._stage = stage
        self._peer = peer
        self._host = host
        self._transport: asyncio.Transport | None = None
        self._closed = False
        self._queue: deque[tuple[float, Callable, tuple]] = deque()
        self._active_at = stage.now_ms()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """The connection was established."""
        self._transport = transport
        if self._host:
            self._host.connections[self] = None
        self._peer.opened(self)

    def data_received(self, data: bytes) -> None:
        """Passes bytes to the peer, unless the host drops traffic or forgot the idle connection."""
        host = self._host
        now = self._stage.now_ms()
        if host and host.idle_drop_ms and now - self._active_at >= host.idle_drop_ms:
            self.abort()
            return
        self._active_at = now
        if not (host and host.dark):
            self._schedule(self._peer.received, data)

    def eof_received(self) -> bool:
        """The sender closed its side."""
        self._schedule(self._end, False)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection was closed or reset."""
        if self._host:
            self._host.connections.pop(self, None)
        self._end(True)

    def _end(self, reset: bool) -> None:
        """Tells the peer once that the connection ended."""
        if not self._closed:
            self._closed = True
            self._peer.ended(reset)

    def _schedule(self, function: Callable, *arguments: object) -> None:
        """Calls a function after the delay of the network; calls keep their order."""
        delay = self._stage.delay_ms() if self._host else 0.0
        if delay <= 0.0:
            function(*arguments)
            return
        due_ms = max(self._stage.now_ms() + delay, self._queue[-1][0] if self._queue else 0.0)
        self._queue.append((due_ms, function, arguments))
        if len(self._queue) == 1:
            self._stage.after(delay, self._deliver_due)

    def _deliver_due(self) -> None:
        while self._queue and self._queue[0][0] <= self._stage.now_ms() + 0.01:
            _, function, arguments = self._queue.popleft()
            function(*arguments)
        if self._queue:
            self._stage.after(self._queue[0][0] - self._stage.now_ms(), self._deliver_due)

    # The port of the peer

    def on_client_closed(self, left: Callable[[], None]) -> None:
        """Does nothing: the end of the sender's side is seen only when it arrives."""

    def write(self, data: bytes) -> None:
        """Sends bytes, unless the host drops traffic."""
        if not (self._host and self._host.dark):
            self._active_at = self._stage.now_ms()
            self._schedule(self._transport.write, data)

    def close(self) -> None:
        """Closes the connection."""
        self._closed = True
        self._transport.close()

    def abort(self) -> None:
        """Resets the connection."""
        if self._transport:
            with contextlib.suppress(OSError, AttributeError):
                self._transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER
                )
            self._transport.abort()


class Stage:
    """Real time and loopback sockets, as the model uses them."""

    def __init__(self, loop: asyncio.AbstractEventLoop, scenario: Scenario, seed: int) -> None:
        self.loop = loop
        self._began = loop.time()
        self._delay = scenario.network.delay_ms
        self._jitter = scenario.network.jitter
        self._draw = random.Random(f"network {seed}").random
        self.hosts: list[Host] = []
        self._tasks: set[asyncio.Task] = set()

    def now_ms(self) -> float:
        """Returns the time since the start."""
        return (self.loop.time() - self._began) * 1000.0

    def after(self, ms: float, function: Callable, *arguments: object) -> asyncio.TimerHandle:
        """Calls a function after a delay."""
        return self.loop.call_later(max(0.0, ms) / 1000.0, function, *arguments)

    def delay_ms(self) -> float:
        """Draws the delay of one transfer."""
        return self._delay * (1.0 + self._jitter * self._draw())

    def start(self, coroutine) -> None:
        """Runs a coroutine as a task."""
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def serve(self, where: tuple[str, int], name: str, accept: Callable[[], object]) -> Host:
        """Listens at an address."""
        for host in self.hosts:
            if host.where == where:  # the new host takes the address over
                host.close()
        host = Host(self, where, name, accept)
        self.hosts.append(host)
        return host

    def reach(self, where: tuple[str, int], peer: object, refused: Callable[[], None]) -> None:
        """Connects a peer to an address."""

        async def connect() -> None:
            try:
                await self.loop.create_connection(lambda: ConnectionEnd(self, peer, None), *where)
            except OSError:
                refused()

        self.start(connect())

    def refuse(self, host: Host, refuses: bool) -> None:
        """Makes a host refuse connections, or accept them again."""
        host.refuse(refuses)

    def darken(self, host: Host, dark: bool) -> None:
        """Makes a host drop all traffic, or ends that."""
        if dark:
            host.dark = True
        else:
            host.restore_traffic()


class Process:
    """One real sender over its restarts."""

    def __init__(self, day: SocketDay, number: int, folder: Path) -> None:
        self._day = day
        self.number = number
        self._folder = folder
        self.process: asyncio.subprocess.Process | None = None
        self.closing = False
        self.peak_mb = 0.0
        self.down_ms = 600.0  # from the exit to the restart
        (folder / "state").mkdir(parents=True)

    async def start(self) -> None:
        """Writes the configuration and starts the process."""
        day = self._day
        path = self._folder / "config.json"
        path.write_text(json.dumps(day.world.config(self.number, str(self._folder / "state"))))
        self.closing = False
        day.judge.started(day.stage.now_ms(), self.number)
        environment = {**os.environ, "BALANCER_CONFIG": str(path)}
        self.process = await asyncio.create_subprocess_shell(
            day.run,
            cwd=day.root,
            env=environment,
            stderr=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.DEVNULL,
        )
        day.stage.start(self._read_log(self.process))

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        """Reads the log of a process until it exits, then restarts the sender."""
        day = self._day
        async for raw in process.stderr:
            line = raw.decode(errors="replace").strip()
            day.lines.append(f"{self.number}: {line}")
            if "event=ready" in line:
                day.ready(self.number)
            elif "does not hold" in line or "a fault of the decisions" in line:
                day.judge.fault(day.stage.now_ms(), self.number, line)
        await process.wait()
        if day.over:
            return
        how = (
            "by SIGTERM" if self.closing else "killed" if process.returncode == -signal.SIGKILL else "crashed"
        )
        day.judge.stopped(day.stage.now_ms(), self.number, how)
        await asyncio.sleep(self.down_ms / 1000.0)
        if not day.over:
            await self.start()

    def update_peak_memory(self) -> None:
        """Updates the peak memory from /proc."""
        with contextlib.suppress(OSError, ValueError, AttributeError):
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                fields = dict(line.split(":", 1) for line in file)
            self.peak_mb = max(self.peak_mb, int(fields["VmHWM"].split()[0]) / 1024.0)

    def signal(self, number: int) -> None:
        """Sends a signal, if the process is running."""
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


class Senders:
    """Process faults, as the model injects them. Those that loopback cannot show are counted."""

    def __init__(self, day: SocketDay) -> None:
        self._day = day

    def term(self, number: int, down_ms: float) -> None:
        """Sends SIGTERM to a sender."""
        process = self._day.processes[number]
        if process.process.returncode is None and not process.closing:
            process.closing = True
            self._day.judge.terminating(self._day.stage.now_ms(), number)
            process.signal(signal.SIGTERM)

    def kill(self, number: int, down_ms: float) -> None:
        """Sends SIGKILL to a sender."""
        self._day.processes[number].signal(signal.SIGKILL)

    def kill_at_write(self, number: int, write: int, how: str, down_ms: float) -> None:
        """Sends SIGKILL in place of a kill at a write."""
        self._day.not_simulated["a struck write became kill -9"] += 1
        self.kill(number, down_ms)

    def set_paused(self, number: int, still: bool) -> None:
        """Pauses a sender, or continues it."""
        self._day.processes[number].signal(signal.SIGSTOP if still else signal.SIGCONT)

    def fill_disk(self, number: int, full: bool) -> None:
        """Counts a full disk, which is not simulated."""
        self._day.not_simulated["a full disk"] += full

    def step_clock(self, seconds: float) -> None:
        """Counts a step of the clock, which is not simulated."""
        self._day.not_simulated["a step of the clock"] += 1


class SocketDay:
    """One run of a scenario with a seed against real processes."""

    def __init__(self, scenario: Scenario, seed: int, port: int, root: Path, keep_log: bool) -> None:
        deploy_file = root / DEPLOY
        try:
            self.run = tomllib.loads(deploy_file.read_text())["run"]
        except (OSError, KeyError, tomllib.TOMLDecodeError) as problem:
            raise SocketError(f"{deploy_file}: {problem}") from problem
        self.scenario = scenario
        self.seed = seed
        self.root = root
        self.stage = Stage(asyncio.get_running_loop(), scenario, seed)
        self.judge = Judge(scenario, keep_log, order_ms=ORDER_MS)
        self.lines: deque[str] = deque(maxlen=2000)
        self.not_simulated: Counter[str] = Counter()
        self.over = False
        self._all_ready = asyncio.Event()
        self._ready: set[int] = set()
        self._temporary_folder = Path(tempfile.mkdtemp(prefix="birchstack-"))
        self.world = World(scenario, seed, self.stage, self.judge, port)
        self.world.senders = Senders(self)
        self.processes = [
            Process(self, number, self._temporary_folder / f"n{number}") for number in range(scenario.senders)
        ]

    def ready(self, number: int) -> None:
        """A sender is ready."""
        self.judge.ready(self.stage.now_ms(), number)
        self._ready.add(number)
        if len(self._ready) == self.scenario.senders:
            self._all_ready.set()

    async def play(self, progress=None) -> Result:
        """Runs the scenario and returns its result."""
        began = time.monotonic()
        cpu_began_s = time.process_time()
        try:
            self.world.start()
            await asyncio.sleep(0.1)  # until the listeners are open
            for process in self.processes:
                await process.start()
            try:
                await asyncio.wait_for(self._all_ready.wait(), READY_S)
            except TimeoutError:
                raise SocketError("the senders are not ready: " + " | ".join([*self.lines][-3:])) from None
            self.world.start_load()
            end_s = self.scenario.seconds + self.world.settle_ms() / 1000.0
            elapsed_s = 0.0
            while elapsed_s < end_s:
                await asyncio.sleep(min(0.5, end_s - elapsed_s))
                elapsed_s += 0.5
                for process in self.processes:
                    process.update_peak_memory()
                if progress:
                    progress(min(1.0, elapsed_s / end_s))
            self.judge.finish(self.stage.now_ms())
        finally:
            await self._end()
        figures = Counter(self.judge.counts)
        figures["connections opened by senders"] = self.world.connections_opened
        figures["most memory of a sender, MB"] = round(max(process.peak_mb for process in self.processes))
        figures.update({f"not played: {fault}": count for fault, count in self.not_simulated.items()})
        memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
        return Result.of(
            self.scenario,
            self.seed,
            "sockets",
            self.judge,
            figures,
            time.monotonic() - began,
            time.process_time() - cpu_began_s,
            memory_mb,
        )

    async def _end(self) -> None:
        """Ends the processes that this run started, and removes their folders."""
        self.over = True
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes:
            if process.process:
                await process.process.wait()
        for host in self.stage.hosts:
            host.close()
        shutil.rmtree(self._temporary_folder, ignore_errors=True)


def play(
    scenario: Scenario,
    seed: int,
    port: int = 7400,
    root: Path | None = None,
    keep_log: bool = False,
    progress=None,
) -> Result:
    """Runs a scenario on loopback sockets. root: the folder that holds the deploy file."""

    async def run_scenario() -> Result:
        return await SocketDay(scenario, seed, port, root or Path.cwd(), keep_log).play(progress)

    if sys.platform != "linux":
        raise SocketError("127.0.0.0/8 as a whole is loopback only on Linux")
    with asyncio.Runner() as runner:
        return runner.run(run_scenario())
