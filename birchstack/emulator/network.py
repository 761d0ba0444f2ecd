"""The network between the emulated processes and the model, in memory: TCP as its two ends see it.

Owns addresses, connections, their delays and what faults do to them. Must never look into the bytes. An end
is either a process's (an asyncio transport over a kernel buffer) or the model's (a peer that is told opened,
received, ended).

What is modelled: order, delay, half-close, reset on writing to a closed end, refused and silent addresses,
machines that vanish with their connections open, bytes that wait in the kernel while a process stands still.
What is not: segment loss and retransmission, windows (every end reads at full speed), ports of the end that
dials.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from birchstack.emulator.clock import Clock, ProcessLoop

Address = tuple[str, int]


class Peer(Protocol):
    """The model's side of one connection; port has write(), close() and abort()."""

    def opened(self, port: object) -> None: ...

    def received(self, data: bytes) -> None: ...

    def ended(self, reset: bool) -> None: ...


class Host:
    """One listening address of the model or of a process, and the machine behind it."""

    __slots__ = (
        "accept",
        "refusing",
        "dark",
        "wires",
        "name",
        "forgets_ms",
        "forgets_silently",
        "process",
        "where",
    )

    def __init__(self, name: str, accept: Callable[[Wire], End], process: ProcessLoop | None = None) -> None:
        self.name, self.accept, self.process = name, accept, process
        self.refusing = self.dark = False  # its process is dead; the machine is cut off
        self.forgets_ms = 0.0  # something on the way forgets connections idle for so long
        self.forgets_silently = False
        self.wires: dict[Wire, None] = {}
        self.where: Address | None = None


class Wire:
    """One connection: a is the end that dialled."""

    __slots__ = ("net", "host", "a", "b", "delay", "jitter", "heard_at", "on_left", "forgotten", "opened_at")

    def __init__(self, net: Network, host: Host, delay: float, jitter: float) -> None:
        self.net, self.host, self.delay, self.jitter = net, host, delay, jitter
        self.a: End | None = None
        self.b: End | None = None
        self.heard_at = net.clock.now  # the last byte either way
        self.on_left: Callable[[], None] | None = None  # told at once when the end that dialled lets go
        self.forgotten = False

    def carry(self, sender: End, what: Callable, *words: object) -> None:
        """Brings something to the other end, in order; to or from a dark machine nothing comes."""
        if self.host.dark or self.forgotten:
            return
        clock = self.net.clock
        when = clock.now + self.delay * (1.0 + self.jitter * self.net.draw())
        sender.last_at = when = max(when, sender.last_at)
        clock.at(when, self._arrive, what, words)

    def _arrive(self, what: Callable, words: tuple) -> None:
        if not self.host.dark and not self.forgotten:
            what(*words)

    def forget_if_idle(self) -> None:
        """A table on the way loses what was idle for too long; the next byte finds that out."""
        host, clock = self.host, self.net.clock
        if host.forgets_ms and (clock.now - self.heard_at) * 1000.0 >= host.forgets_ms:
            if not host.forgets_silently:
                clock.after(self.delay * 1000.0, self.a.reset_came)
            self.b.reset_came()
            self.forgotten = True

    def over(self) -> None:
        if self.a.gone and self.b.gone:
            self.host.wires.pop(self, None)


class End:
    """What both kinds of end share."""

    def __init__(self, wire: Wire) -> None:
        self.wire = wire
        self.last_at = 0.0
        self.gone = False  # this end's socket is no more
        self.fin_sent = self.fin_came = False

    def other(self) -> End:
        return self.wire.b if self.wire.a is self else self.wire.a

    def _send(self, data: bytes) -> None:
        wire = self.wire
        if wire.a is self:
            wire.forget_if_idle()
        wire.heard_at = wire.net.clock.now
        wire.carry(self, self.other().came, data)

    def _send_fin(self) -> None:
        if not self.fin_sent:
            self.fin_sent = True
            self.wire.carry(self, self.other().fin_arrived)

    def let_go(self, reset: bool) -> None:
        """Closes this end's socket."""
        if self.gone:
            return
        self.gone = True
        if reset:
            self.wire.carry(self, self.other().reset_came)
        else:
            self._send_fin()
        if self.wire.on_left and self.wire.a is self:
            self.wire.on_left()
        self.wire.over()

    def came(self, data: bytes) -> None:
        if self.gone:  # nobody is there any more
            self.wire.carry(self, self.other().reset_came)
        else:
            self.wire.heard_at = self.wire.net.clock.now
            self.take(data)

    def fin_arrived(self) -> None:
        if not self.gone and not self.fin_came:
            self.fin_came = True
            self.take_end(False)

    def reset_came(self) -> None:
        if not self.gone:
            self.gone = True
            self.take_end(True)
            if self.wire.on_left and self.wire.a is self:
                self.wire.on_left()
            self.wire.over()

    def take(self, data: bytes) -> None:
        raise NotImplementedError

    def take_end(self, reset: bool) -> None:
        raise NotImplementedError


class ModelEnd(End):
    """An end whose owner is a peer of the model; it is the peer's port."""

    def __init__(self, wire: Wire, peer: Peer) -> None:
        super().__init__(wire)
        self._peer = peer

    def watch(self, left: Callable[[], None]) -> None:
        """left() is told at once when the other end lets go, however long the news are under way."""
        self.wire.on_left = left

    def write(self, data: bytes) -> None:
        if not self.gone and not self.fin_sent:
            self._send(data)

    def close(self) -> None:
        self.let_go(reset=False)

    def abort(self) -> None:
        self.let_go(reset=True)

    def take(self, data: bytes) -> None:
        self._peer.received(data)

    def take_end(self, reset: bool) -> None:
        self._peer.ended(reset)


class Transport(End, asyncio.Transport):
    """An end that a process holds: an asyncio transport, and the kernel's buffer before it."""

    def __init__(self, wire: Wire, loop: ProcessLoop, protocol: asyncio.BufferedProtocol) -> None:
        End.__init__(self, wire)
        asyncio.Transport.__init__(self)
        self._loop, self._protocol = loop, protocol
        self._kernel = bytearray()
        self._heard_at = loop.time()
        self._paused = self._closing = self._due = self._reset = False

    # The kernel's side

    def take(self, data: bytes) -> None:
        self._kernel += data
        self._heard_at = self._loop.time()
        self._soon()

    def take_end(self, reset: bool) -> None:
        self._reset = self._reset or reset
        self._soon()

    def unread_bytes(self) -> int:
        return len(self._kernel)

    def receive_state(self) -> tuple[float, bool]:
        return (self._loop.time() - self._heard_at) * 1000.0, self.fin_came or self._reset

    def _soon(self) -> None:
        if not self._due and not self._paused and not self._closing:
            self._due = True
            self._loop.call_soon(self._read)

    # The process's side

    def begin(self) -> None:
        self._loop.call_soon(self._protocol.connection_made, self)
        self._soon()

    def _read(self) -> None:
        self._due = False
        if self._paused or self._closing:
            return
        if self._kernel:
            buffer = self._protocol.get_buffer(-1)
            count = min(len(buffer), len(self._kernel))
            buffer[:count] = self._kernel[:count]
            del self._kernel[:count]
            self._protocol.buffer_updated(count)
            if self._kernel or self.fin_came or self._reset:
                self._soon()
        elif self._reset:
            self._closing = True
            self._loop.call_soon(self._lost, ConnectionResetError(104, "Connection reset by peer"))
        elif self.fin_came and not self._protocol.eof_received():
            self.close()

    def _lost(self, problem: Exception | None) -> None:
        self._protocol.connection_lost(problem)

    def write(self, data: bytes) -> None:
        if not self._closing and not self.gone and not self.fin_sent:
            self._send(bytes(data))

    def write_eof(self) -> None:
        if not self._closing:
            self._send_fin()

    def can_write_eof(self) -> bool:
        return True

    def close(self) -> None:
        self._shut(reset=bool(self._kernel))  # unread bytes turn a close into a reset, as in the kernel

    def abort(self) -> None:
        self._shut(reset=True)

    def _shut(self, reset: bool) -> None:
        if self._closing:
            return
        self._closing = True
        self.let_go(reset)
        self._loop.call_soon(self._lost, None)

    def is_closing(self) -> bool:
        return self._closing

    def pause_reading(self) -> None:
        self._paused = True

    def resume_reading(self) -> None:
        self._paused = False
        if self._kernel or self.fin_came or self._reset:
            self._soon()

    def is_reading(self) -> bool:
        return not self._paused

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Everything is with the kernel at once."""

    def get_write_buffer_size(self) -> int:
        return 0

    def set_protocol(self, protocol) -> None:
        self._protocol = protocol

    def get_protocol(self):
        return self._protocol

    def get_extra_info(self, name, default=None):
        return self if name == "kernel" else default


class Server:
    """What create_server gives a process."""

    def __init__(self, net: Network, where: Address) -> None:
        self._net, self._where = net, where
        self.sockets = ()

    def close(self) -> None:
        self._net.hosts.pop(self._where, None)

    def is_serving(self) -> bool:
        return self._where in self._net.hosts

    async def wait_closed(self) -> None:
        return None


class Network:
    """All addresses and connections."""

    def __init__(
        self, clock: Clock, seed: int, delay_ms: float, client_delay_ms: float, jitter: float
    ) -> None:
        self.clock, self.draw = clock, random.Random(f"network {seed}").random
        self._delay, self._client_delay, self._jitter = delay_ms / 1000.0, client_delay_ms / 1000.0, jitter
        self.hosts: dict[Address, Host] = {}
        self.opened = 0
        self._held: dict[ProcessLoop, dict[Transport, None]] = {}
        self.most_held: dict[str, int] = {}  # by process: the most connections at once
        self.on_refused: Callable[[str, Host], None] = lambda name, host: None

    # The model

    def serve(self, where: Address, name: str, accept: Callable[[], Peer]) -> Host:
        def end(wire: Wire) -> End:
            peer = accept()
            made = ModelEnd(wire, peer)
            peer.opened(made)
            return made

        host = self.hosts[where] = Host(name, end)
        host.where = where
        return host

    def reach(self, where: Address, peer: Peer, refused: Callable[[], None]) -> None:
        """A client's connection; it sits beside its sender."""

        def connected(wire: Wire) -> End:
            end = ModelEnd(wire, peer)
            self.clock.after(wire.delay * 1000.0, peer.opened, end)
            return end

        self._connect(where, self._client_delay, connected, refused)

    # Processes

    def dial(self, loop: ProcessLoop, where: Address, factory: Callable, opened: asyncio.Future) -> None:
        def connected(wire: Wire) -> End:
            protocol = factory()
            end = Transport(wire, loop, protocol)
            self.clock.after(wire.delay * 1000.0, hear, end, protocol)
            return end

        def hear(end: Transport, protocol: object) -> None:
            if loop.dead:
                end.let_go(reset=True)
            elif opened.cancelled():  # given up while it was dialled
                end.abort()
            elif end.gone:
                opened.set_exception(ConnectionResetError(104, "Connection reset by peer"))
            else:
                self._hold(loop, end)
                end.begin()
                loop.call_soon(answer, end, protocol)

        def answer(end: Transport, protocol: object) -> None:
            if not opened.done():
                opened.set_result((end, protocol))

        def refused() -> None:
            if not loop.dead and not opened.done():
                opened.set_exception(ConnectionRefusedError(111, "Connection refused"))
                host = self.hosts.get(where)
                if host:
                    self.on_refused(loop.name, host)

        self._connect(where, self._delay, connected, refused)

    def listen(self, loop: ProcessLoop, where: Address, factory: Callable) -> Server:
        def end(wire: Wire) -> End:
            transport = Transport(wire, loop, factory())
            self._hold(loop, transport)
            transport.begin()
            return transport

        self.hosts[where] = Host(loop.name, end, loop)
        return Server(self, where)

    def _hold(self, loop: ProcessLoop, end: Transport) -> None:
        held = self._held.setdefault(loop, {})
        if len(held) >= 64 and len(held) % 64 == 0:
            for each in [each for each in held if each.gone]:
                del held[each]
        held[end] = None
        open_now = sum(not each.gone for each in held)
        self.most_held[loop.name] = max(self.most_held.get(loop.name, 0), open_now)

    def died(self, loop: ProcessLoop) -> None:
        """The kernel closes what a dead process held: its connections are reset, its addresses refuse."""
        for end in self._held.pop(loop, {}):
            end.let_go(reset=True)
        for where in [where for where, host in self.hosts.items() if host.process is loop]:
            del self.hosts[where]

    # Connecting

    def _connect(
        self, where: Address, delay: float, connected: Callable[[Wire], End], refused: Callable[[], None]
    ) -> None:
        self.clock.at(self.clock.now + delay, self._syn, where, delay, connected, refused)

    def _syn(
        self, where: Address, delay: float, connected: Callable[[Wire], End], refused: Callable[[], None]
    ) -> None:
        host = self.hosts.get(where)
        if host is not None and host.dark:
            return  # nothing ever comes back
        if host is None or host.refusing:
            self.clock.at(self.clock.now + delay, refused)
            return
        wire = Wire(self, host, delay, self._jitter)
        self.opened += 1
        host.wires[wire] = None
        wire.a = connected(wire)
        wire.b = host.accept(wire)

    # Faults

    def reset_all(self, host: Host) -> None:
        """The process behind an address died: all its connections are reset."""
        for wire in [*host.wires]:
            if wire.b:
                wire.b.let_go(reset=True)

    def light(self, host: Host) -> None:
        """A machine is back: what was open before it vanished is reset by the first byte, or at once."""
        host.dark = False
        for wire in [*host.wires]:
            wire.b.let_go(reset=True)
