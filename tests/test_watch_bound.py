"""The watch acts on a list at most 6 s after discovery became reachable, whatever failed before.

Checks the sum of the watch's time-outs, its states drawn at random in virtual time, and each state once on
real connections."""

import asyncio
import contextlib
import json
import random

from fake import Shut, free_port, read_message

from birchstack.emulator.clock import Clock, ProcessLoop
from birchstack.emulator.network import Network
from birchstack.net.discovery import (
    HEARTBEAT_S,
    PROPAGATION_BOUND_S,
    REQUEST_BOUND_S,
    RESPONSE_TIMEOUT_S,
    RETRY_DELAY_S,
    SILENT_HEARTBEATS,
    Watch,
)

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def listed(rev):
    entry = {
        "uid": "s-1",
        "endpoint": "127.0.0.1:9",
        "az": "a",
        "model": "shop",
        "pod_group": rev,
        "state": "active",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }
    return json.dumps({"rev": rev, "all": True, "targets": [entry]}).encode() + b"\n"


def test_the_sum_of_the_time_outs_stays_within_the_bound():
    longest = max(RESPONSE_TIMEOUT_S, HEARTBEAT_S * SILENT_HEARTBEATS) + RETRY_DELAY_S
    # what is left is for a dial, a head and a list
    assert longest == REQUEST_BOUND_S and longest + 0.4 < PROPAGATION_BOUND_S == 6.0


# Every state, drawn at random, in virtual time

WHOLE, HALF, INDENTED = chunk(listed(1)), chunk(listed(1)[:30]), chunk(b'{\n"rev": 1,\n')
HEARTBEAT = chunk(b"\n")
ANSWERS = [  # before they fall silent; a heartbeat in the middle of an object does not count as one
    b"",
    HEAD[:20],
    HEAD,
    HEAD + HEARTBEAT,
    HEAD + HALF,
    HEAD + INDENTED,
    HEAD + INDENTED + HEARTBEAT,
    HEAD + WHOLE,
    HEAD + WHOLE + HEARTBEAT + HALF,
    HEAD + WHOLE + INDENTED,
    HEAD + chunk(b"junk\n"),
    HEAD + WHOLE + b"zz\r\n",
    BUSY,
    b"HTTP/1.1 429 No\r\nRetry-After: 5\r\nContent-Length: 9\r\n\r\n",
    HEAD + WHOLE + b"0\r\n\r\n",
    b"HTTP/1.1 100 Go on\r\n\r\n" * 3 + HEAD,
    b"\0\0\0\r\n\r\n",
]


class Agent:
    """One response of discovery: a broken one, drawn at random, while discovery counts as unreachable, and a
    complete one after. A response that began broken stays so."""

    def __init__(self, run):
        self._run, self._began = run, False

    def opened(self, port):
        self._port = port

    def ended(self, reset):
        self._port.close()

    def received(self, data):
        if self._began:
            return
        self._began, run = True, self._run
        if run.clock.now >= run.reached:
            self._port.write(HEAD + chunk(listed(2)))
            self._later(HEARTBEAT_S, self._beat)
            return
        answer, chance = run.chance.choice(ANSWERS), run.chance
        cut = chance.randint(0, len(answer)) if chance.random() < 0.3 else len(answer)
        first, when = chance.choice([0.0, 0.0, chance.uniform(0.0, 2.1)]), 0.0
        for at, part in ((first, slice(cut)), (chance.uniform(0.0, 6.0), slice(cut, None))):
            when += at
            self._later(when, self._send, answer, part)
        if chance.random() < 0.4:  # bytes that keep coming and never complete a line
            for at in range(200):
                self._later(when + at / 10.0, self._port.write, chunk(b'"x": 0,'))
        if chance.random() < 0.5:
            self._later(chance.uniform(0.0, 8.0), chance.choice([self._port.close, self._port.abort]))

    def _send(self, answer, part):
        """Sends response heads at any time, but complete lists and heartbeats only while unreachable.

        Later ones would postpone the moment at which the watch counts as silent."""
        reachable = self._run.clock.now >= self._run.reached
        self._port.write((answer[: len(HEAD)] if reachable else answer)[part])

    def _beat(self):
        self._port.write(HEARTBEAT)
        self._later(HEARTBEAT_S, self._beat)

    def _later(self, after, what, *words):
        self._run.clock.after(after * 1000.0, lambda: self._port.gone or what(*words))


class Run:
    """A watch from its start until it has acted on the list that discovery had when it became reachable."""

    def __init__(self, seed):
        self.chance = chance = random.Random(seed)
        self.clock, self.reached = Clock(), 20.0 + chance.random()
        network = Network(self.clock, seed, 0.2, 0.2, 0.5)
        loop, self.acted = ProcessLoop(self.clock, network, "n"), None
        hosts = [network.serve((name, 1), name, lambda: Agent(self)) for name in ("10.0.0.1", "10.0.0.2")]
        for host in hosts:  # until then up, refusing and unreachable in turn
            at = 0.0
            while at < self.reached:
                self.clock.at(at, self._state, network, host, chance.choice(["up", "up", "refuses", "dark"]))
                at += chance.choice([chance.uniform(0.05, 1.0), chance.uniform(0.5, 6.0)])
            self.clock.at(self.reached, self._state, network, host, "up")
        watch = Watch(loop, ("10.0.0.1", 1), ("shop",), self._listed)
        starts = self.reached + chance.choice([-20.0, -20.0, -chance.uniform(0.0, 6.0), 1.0])
        self.clock.at(starts, loop.call_soon, watch.start, {})
        self.counts_from = max(self.reached, starts)
        if chance.random() < 0.3:  # SIGHUP in the middle
            moves = max(starts, self.reached + chance.uniform(-6.0, 6.0))
            self.clock.at(moves, loop.call_soon, watch.reconfigure, ("10.0.0.2", 1), ("shop",))
        self.clock.run(self.reached + 12.0)
        self.faults = loop.faults

    @staticmethod
    def _state(network, host, state):
        if host.dark and state != "dark":
            network.restore(host)
        host.dark, host.refusing = state == "dark", state == "refuses"
        if state == "refuses":
            network.reset_all(host)

    def _listed(self, mode, entries):
        if entries[0][0].destination == 2 and self.acted is None:
            self.acted = self.clock.now

    def took(self):
        return (self.acted or 99.0) - self.counts_from


def test_from_every_state_a_list_is_acted_on_within_the_bound():
    runs = [Run(seed) for seed in range(400)]
    assert not [run.faults for run in runs if run.faults]
    worst, seed = max((run.took(), seed) for seed, run in enumerate(runs))
    assert worst < REQUEST_BOUND_S + 0.1 < PROPAGATION_BOUND_S, f"seed {seed}: {worst:.2f} s"
    assert worst > REQUEST_BOUND_S - 0.3  # otherwise the slowest states were not drawn


# Each state once, on real connections, all at the same time


class Platform:
    """Discovery on a real socket: broken(writer) answers the first connection, a complete list the others. It
    counts as reachable from the first request on, since another request would be answered."""

    def __init__(self, broken):
        self._broken, self.reached, self.connections = broken, None, 0

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(ConnectionError):
            if self.connections == 1 and self._broken:
                await read_message(reader)
                self.reached = asyncio.get_running_loop().time()
                await self._broken(writer)
                await reader.read()
            elif await read_message(reader):
                writer.write(HEAD + chunk(listed(2)))
                await reader.read()
        writer.close()

    async def open(self, **words):
        return await asyncio.start_server(self.serve, **(words or {"host": "127.0.0.1", "port": 0}))


def broken_answer(*pieces, trickle=b""):
    """pieces: bytes, seconds to wait, or None for a reset; trickle: bytes repeated after them without end."""

    async def broken(writer):
        for piece in pieces:
            if piece is None:
                writer.transport.abort()
            elif isinstance(piece, float):
                await asyncio.sleep(piece)
            else:
                writer.write(piece)
        while trickle:
            writer.write(trickle)
            await writer.drain()
            await asyncio.sleep(0.1)

    return broken


SILENCE = HEARTBEAT_S * SILENT_HEARTBEATS
BROKEN = {  # what the first answer does, and the time-out that ends it
    "no head": (broken_answer(), RESPONSE_TIMEOUT_S),
    "half a head": (broken_answer(HEAD[:20]), RESPONSE_TIMEOUT_S),
    "a head and nothing": (broken_answer(HEAD), SILENCE),
    "a late head and nothing": (broken_answer(RESPONSE_TIMEOUT_S - 0.2, HEAD), SILENCE),
    "a line that never ends": (broken_answer(HEAD, trickle=chunk(b'{"x": 0, ')), SILENCE),
    "an indented object that never ends": (broken_answer(HEAD, INDENTED, trickle=HEARTBEAT), SILENCE),
    "heartbeats that stop": (broken_answer(HEAD, HEARTBEAT), SILENCE),
    "a list, then heartbeats that stop": (broken_answer(HEAD, WHOLE, 0.1, HEARTBEAT), SILENCE + 0.1),
    "a reset just before the time-out": (
        broken_answer(HEAD, SILENCE - 0.2, None),
        SILENCE - 0.2 + RETRY_DELAY_S,
    ),
    "a request to wait": (broken_answer(BUSY), RETRY_DELAY_S),
    "a malformed list": (broken_answer(HEAD, chunk(b"junk\n")), RETRY_DELAY_S),
    "a reset": (broken_answer(HEAD + WHOLE, 0.1, None), 0.1 + RETRY_DELAY_S),
    "a start without failure": (None, 0.0),
}


def start_watch(address, heard):
    loop = asyncio.get_running_loop()
    watch = Watch(
        loop, address, ("shop",), lambda mode, entries: heard.append((entries[0][0].destination, loop.time()))
    )
    watch.start({})
    return watch


async def acted_at(heard):
    """The time at which the watch acted on the list that discovery had from the beginning."""
    while not any(rev == 2 for rev, _ in heard):
        await asyncio.sleep(0.005)
    return next(when for rev, when in heard if rev == 2)


async def broken(what):
    platform, heard, began = Platform(BROKEN[what][0]), [], asyncio.get_running_loop().time()
    server = await platform.open()
    watch = start_watch(server.sockets[0].getsockname(), heard)
    took = await acted_at(heard) - (platform.reached or began)
    watch.stop()
    server.close()
    return what, took, BROKEN[what][1]


async def silent_dial():
    """The dial gets no answer until discovery becomes reachable."""
    shut, platform, heard = Shut(), Platform(None), []
    watch = start_watch(("127.0.0.1", shut.port), heard)
    await asyncio.sleep(0.2)
    shut._door.accept()[0].close()
    server = await platform.open(sock=shut._door)
    reached = asyncio.get_running_loop().time()
    took = await acted_at(heard) - reached
    watch.stop()
    server.close()
    return "a dial without answer", took, RESPONSE_TIMEOUT_S


async def refused_dial():
    port, heard = free_port(), []
    watch, again = start_watch(("127.0.0.1", port), heard), asyncio.Event()
    watch._retry, before = lambda: (before(), again.set()), watch._retry
    await again.wait()
    server, reached = await Platform(None).open(host="127.0.0.1", port=port), watch._loop.time()
    took = await acted_at(heard) - reached
    watch.stop()
    server.close()
    return "a refused dial", took, RETRY_DELAY_S


async def moved():
    """SIGHUP while the first address is silent."""
    old, new, heard = Platform(broken_answer(HEAD)), Platform(None), []
    servers = [await each.open() for each in (old, new)]
    watch = start_watch(servers[0].sockets[0].getsockname(), heard)
    while not old.reached:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.5)
    at = asyncio.get_running_loop().time()
    watch.reconfigure(servers[1].sockets[0].getsockname(), ("shop",))
    took = await acted_at(heard) - at
    watch.stop()
    for each in servers:
        each.close()
    return "SIGHUP in the middle", took, 0.0


def test_each_state_on_real_connections():
    async def whole():
        async with asyncio.timeout(12.0):
            return await asyncio.gather(*map(broken, BROKEN), silent_dial(), refused_dial(), moved())

    took = asyncio.run(whole())
    for what, seconds, bound in took:
        print(f"{what:40} {seconds:6.3f} s of {bound:.1f} s")
    late = [(what, seconds) for what, seconds, bound in took if seconds > bound + 0.4]
    assert not late and max(bound for _, _, bound in took) <= REQUEST_BOUND_S
