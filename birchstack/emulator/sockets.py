"""The same day on loopback sockets, against real processes started by the line `run`.

Owns the sockets of the model, the processes under test and their folders. Must never touch any process that
it did not start, nor any address outside 127.0.0.0/8. Delays of the network are added at the model's ends.
What loopback cannot do is said in the result: a vanished machine still accepts, writes cannot be struck
or torn (kill -9 comes in their place), the disk does not fill and the clock does not step.
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

ORDER_MS = 25.0  # events on two sockets are seen in no sure order within this
READY_S = 20.0
LINGER = struct.pack("ii", 1, 0)  # close with a reset
DEPLOY = Path("deploy/balancer.toml")


class SocketError(Exception):
    """What keeps the day from being played."""


class Host:
    """One listening address of the model."""

    def __init__(self, stage: Stage, where: tuple[str, int], name: str, accept: Callable[[], object]) -> None:
        self._stage, self.where, self.name, self._accept = stage, where, name, accept
        self.refusing = self.dark = False
        self.forgets_ms, self.forgets_silently = 0.0, False
        self.ends: dict[End, None] = {}
        self._server: asyncio.Server | None = None
        self.listen()

    def listen(self) -> None:
        try:
            door = socket.create_server(self.where, backlog=256)
        except OSError as problem:
            raise SocketError(f"{self.where[0]}:{self.where[1]}: {problem.strerror}") from problem
        self.where = door.getsockname()[:2]  # port 0: one that was free
        self._stage.start(self._serve(door))

    async def _serve(self, door: socket.socket) -> None:
        self._server = await self._stage.loop.create_server(
            lambda: End(self._stage, self._accept(), self), sock=door
        )
        if self.refusing:
            self._server.close()

    def refuse(self, refuses: bool) -> None:
        if refuses and not self.refusing:
            self.refusing = True
            if self._server:
                self._server.close()
            for end in [*self.ends]:
                end.abort()
        elif not refuses and self.refusing:
            self.refusing = False
            self.listen()

    def light(self) -> None:
        self.dark = False
        for end in [*self.ends]:
            end.abort()

    def close(self) -> None:
        if self._server:
            self._server.close()


class End(asyncio.Protocol):
    """One connection of the model; it is its peer's port. Bytes are under way for the scenario's delay."""

    def __init__(self, stage: Stage, peer: object, host: Host | None) -> None:
        self._stage, self._peer, self._host = stage, peer, host
        self._transport: asyncio.Transport | None = None
        self._over = False
        self._queue: deque[tuple[float, Callable, tuple]] = deque()
        self._heard_at = stage.now_ms()

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        if self._host:
            self._host.ends[self] = None
        self._peer.opened(self)

    def data_received(self, data: bytes) -> None:
        host, now = self._host, self._stage.now_ms()
        if host and host.forgets_ms and now - self._heard_at >= host.forgets_ms:
            self.abort()
            return
        self._heard_at = now
        if not (host and host.dark):
            self._under_way(self._peer.received, data)

    def eof_received(self) -> bool:
        self._under_way(self._end, False)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        if self._host:
            self._host.ends.pop(self, None)
        self._end(True)

    def _end(self, reset: bool) -> None:
        if not self._over:
            self._over = True
            self._peer.ended(reset)

    def _under_way(self, what: Callable, *words: object) -> None:
        delay = self._stage.delay_ms() if self._host else 0.0
        if delay <= 0.0:
            what(*words)
            return
        due = max(self._stage.now_ms() + delay, self._queue[-1][0] if self._queue else 0.0)
        self._queue.append((due, what, words))
        if len(self._queue) == 1:
            self._stage.after(delay, self._arrives)

    def _arrives(self) -> None:
        while self._queue and self._queue[0][0] <= self._stage.now_ms() + 0.01:
            _, what, words = self._queue.popleft()
            what(*words)
        if self._queue:
            self._stage.after(self._queue[0][0] - self._stage.now_ms(), self._arrives)

    # The port

    def watch(self, left: Callable[[], None]) -> None:
        """What the sender's end does is seen only when it arrives."""

    def write(self, data: bytes) -> None:
        if not (self._host and self._host.dark):
            self._heard_at = self._stage.now_ms()
            self._under_way(self._transport.write, data)

    def close(self) -> None:
        self._over = True
        self._transport.close()

    def abort(self) -> None:
        if self._transport:
            with contextlib.suppress(OSError, AttributeError):
                self._transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER
                )
            self._transport.abort()


class Stage:
    """Real time and loopback, as the model sees them."""

    def __init__(self, loop: asyncio.AbstractEventLoop, scenario: Scenario, seed: int) -> None:
        self.loop, self._began = loop, loop.time()
        self._delay, self._jitter = scenario.network.delay_ms, scenario.network.jitter
        self._draw = random.Random(f"network {seed}").random
        self.hosts: list[Host] = []
        self._tasks: set[asyncio.Task] = set()

    def now_ms(self) -> float:
        return (self.loop.time() - self._began) * 1000.0

    def after(self, ms: float, what: Callable, *words: object) -> asyncio.TimerHandle:
        return self.loop.call_later(max(0.0, ms) / 1000.0, what, *words)

    def delay_ms(self) -> float:
        return self._delay * (1.0 + self._jitter * self._draw())

    def start(self, work) -> None:
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def serve(self, where: tuple[str, int], name: str, accept: Callable[[], object]) -> Host:
        for host in self.hosts:
            if host.where == where:  # another takes the address over
                host.close()
        host = Host(self, where, name, accept)
        self.hosts.append(host)
        return host

    def reach(self, where: tuple[str, int], peer: object, refused: Callable[[], None]) -> None:
        async def connect() -> None:
            try:
                await self.loop.create_connection(lambda: End(self, peer, None), *where)
            except OSError:
                refused()

        self.start(connect())

    def refuse(self, host: Host, refuses: bool) -> None:
        host.refuse(refuses)

    def darken(self, host: Host, dark: bool) -> None:
        if dark:
            host.dark = True
        else:
            host.light()


class Process:
    """One real sender over its lives."""

    def __init__(self, day: SocketDay, number: int, folder: Path) -> None:
        self._day, self.number, self._folder = day, number, folder
        self.process: asyncio.subprocess.Process | None = None
        self.closing, self.peak_mb, self.down_ms = False, 0.0, 600.0
        (folder / "state").mkdir(parents=True)

    async def start(self) -> None:
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
        day.stage.start(self._listen(self.process))

    async def _listen(self, process: asyncio.subprocess.Process) -> None:
        """Its log until its end."""
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

    def memory(self) -> None:
        with contextlib.suppress(OSError, ValueError, AttributeError):
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                words = dict(line.split(":", 1) for line in file)
            self.peak_mb = max(self.peak_mb, int(words["VmHWM"].split()[0]) / 1024.0)

    def signal(self, number: int) -> None:
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)


class Senders:
    def __init__(self, day: SocketDay) -> None:
        self._day = day

    def term(self, number: int, down_ms: float) -> None:
        process = self._day.processes[number]
        if process.process.returncode is None and not process.closing:
            process.closing = True
            self._day.judge.terminating(self._day.stage.now_ms(), number)
            process.signal(signal.SIGTERM)

    def kill(self, number: int, down_ms: float) -> None:
        self._day.processes[number].signal(signal.SIGKILL)

    def kill_at_write(self, number: int, write: int, how: str, down_ms: float) -> None:
        self._day.left_out["a struck write became kill -9"] += 1
        self.kill(number, down_ms)

    def stand(self, number: int, still: bool) -> None:
        self._day.processes[number].signal(signal.SIGSTOP if still else signal.SIGCONT)

    def fill_disk(self, number: int, full: bool) -> None:
        self._day.left_out["a full disk"] += full

    def step_clock(self, seconds: float) -> None:
        self._day.left_out["a step of the clock"] += 1


class SocketDay:
    def __init__(self, scenario: Scenario, seed: int, port: int, root: Path, keep_log: bool) -> None:
        deploy = root / DEPLOY
        try:
            self.run = tomllib.loads(deploy.read_text())["run"]
        except (OSError, KeyError, tomllib.TOMLDecodeError) as problem:
            raise SocketError(f"{deploy}: {problem}") from problem
        self.scenario, self.seed, self.root = scenario, seed, root
        self.stage = Stage(asyncio.get_running_loop(), scenario, seed)
        self.judge = Judge(scenario, keep_log, order_ms=ORDER_MS)
        self.lines: deque[str] = deque(maxlen=2000)
        self.left_out: Counter[str] = Counter()
        self.over = False
        self._opened = asyncio.Event()
        self._ready: set[int] = set()
        self._scratch = Path(tempfile.mkdtemp(prefix="birchstack-"))
        self.world = World(scenario, seed, self.stage, self.judge, port)
        self.world.senders = Senders(self)
        self.processes = [
            Process(self, number, self._scratch / f"n{number}") for number in range(scenario.senders)
        ]

    def ready(self, number: int) -> None:
        self.judge.ready(self.stage.now_ms(), number)
        self._ready.add(number)
        if len(self._ready) == self.scenario.senders:
            self._opened.set()

    async def play(self, progress=None) -> Result:
        began, spent = time.monotonic(), time.process_time()
        try:
            self.world.begin()
            await asyncio.sleep(0.1)  # the listeners stand
            for process in self.processes:
                await process.start()
            try:
                await asyncio.wait_for(self._opened.wait(), READY_S)
            except TimeoutError:
                raise SocketError("the senders are not ready: " + " | ".join([*self.lines][-3:])) from None
            self.world.open()
            until = self.scenario.seconds + self.world.rest_ms() / 1000.0
            at = 0.0
            while at < until:
                await asyncio.sleep(min(0.5, until - at))
                at += 0.5
                for process in self.processes:
                    process.memory()
                if progress:
                    progress(min(1.0, at / until))
            self.judge.finish(self.stage.now_ms())
        finally:
            await self._end()
        figures = Counter(self.judge.counts)
        figures["connections opened by senders"] = self.world.connections
        figures["most memory of a sender, MB"] = round(max(process.peak_mb for process in self.processes))
        figures.update({f"not played: {what}": many for what, many in self.left_out.items()})
        memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
        return Result.of(
            self.scenario,
            self.seed,
            "sockets",
            self.judge,
            figures,
            time.monotonic() - began,
            time.process_time() - spent,
            memory,
        )

    async def _end(self) -> None:
        """Only processes that this day started are ended."""
        self.over = True
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes:
            if process.process:
                await process.process.wait()
        for host in self.stage.hosts:
            host.close()
        shutil.rmtree(self._scratch, ignore_errors=True)


def play(
    scenario: Scenario,
    seed: int,
    port: int = 7400,
    root: Path | None = None,
    keep_log: bool = False,
    progress=None,
) -> Result:
    async def day() -> Result:
        return await SocketDay(scenario, seed, port, root or Path.cwd(), keep_log).play(progress)

    if sys.platform != "linux":
        raise SocketError("127.0.0.0/8 as a whole is loopback only on Linux")
    with asyncio.Runner() as runner:
        return runner.run(day())
