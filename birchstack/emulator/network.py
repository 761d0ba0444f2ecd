"""Simulated network between the emulated processes and the model, in memory: TCP as its two ends see it.

It holds the listening addresses, the connections, their latency and the effects of injected faults. It does
not interpret the bytes. A connection end belongs either to a process (an asyncio transport with a kernel
receive buffer) or to the model (a peer with the callbacks opened, received and ended).

Simulated are: order, latency, half-close, a reset after a write to a closed end, refused and unresponsive
addresses, machines that vanish with connections open, and bytes that wait in the kernel while a process is
paused. Not simulated are: segment loss and retransmission, flow-control windows (every end reads at full
speed), and the port numbers of the ends that connect.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from birchstack.emulator.clock import Clock, ProcessLoop

Address = tuple[str, int]


class Peer(Protocol):
    """The model's side of one connection; its port has write(), close() and abort()."""

    def opened(self, port: object) -> None:
        """The connection was established."""

    def received(self, data: bytes) -> None:
        """Data arrived."""

    def ended(self, reset: bool) -> None:
        """The other end closed or reset the connection."""


class Host:
    """One listening address of the model or of a process, and the machine that has it."""

    __slots__ = (
        "accept",
        "refusing",
        "dark",
        "connections",
        "name",
        "idle_drop_ms",
        "idle_drop_silent",
        "process",
        "where",
    )

    def __init__(
        self, name: str, accept: Callable[[Connection], End], process: ProcessLoop | None = None
    ) -> None:
        self.name = name
        self.accept = accept
        self.process = process
        self.refusing = False  # no process listens: connections are refused
        self.dark = False  # the machine is cut off: nothing reaches or leaves it
        self.idle_drop_ms = 0.0  # a device on the path drops connections that were idle for so long; 0: none
        self.idle_drop_silent = False  # without a reset to the end that connected
        self.connections: dict[Connection, None] = {}
        self.where: Address | None = None


class Connection:
    """One TCP connection. client is the end that connected, server the end that accepted."""

    __slots__ = (
        "network",
        "host",
        "client",
        "server",
        "latency_s",
        "jitter",
        "last_byte_at",
        "on_client_closed",
        "dropped",
        "opened_at",
    )

    def __init__(self, network: Network, host: Host, latency_s: float, jitter: float) -> None:
        self.network = network
        self.host = host
        self.latency_s = latency_s
        self.jitter = jitter
        self.client: End | None = None
        self.server: End | None = None
        self.last_byte_at = network.clock.now  # in either direction
        self.on_client_closed: Callable[[], None] | None = None  # called at once when the client end closes
        self.dropped = False

    def deliver(self, sender: End, callback: Callable, *args: object) -> None:
        """Calls a function of the other end after the latency, in order; nothing passes a dark host."""
        if self.host.dark or self.dropped:
            return
        clock = self.network.clock
        when = clock.now + self.latency_s * (1.0 + self.jitter * self.network.draw())
        sender.last_delivery_at = when = max(when, sender.last_delivery_at)
        clock.at(when, self._delivered, callback, args)

    def _delivered(self, callback: Callable, args: tuple) -> None:
        if not self.host.dark and not self.dropped:
            callback(*args)

    def drop_if_idle(self) -> None:
        """Applies the idle time-out of a device on the path, which takes effect at the next byte."""
        host = self.host
        clock = self.network.clock
        if host.idle_drop_ms and (clock.now - self.last_byte_at) * 1000.0 >= host.idle_drop_ms:
            if not host.idle_drop_silent:
                clock.after(self.latency_s * 1000.0, self.client.reset_received)
            self.server.reset_received()
            self.dropped = True

    def remove_if_closed(self) -> None:
        """Forgets the connection when both ends are closed."""
        if self.client.gone and self.server.gone:
            self.host.connections.pop(self, None)


class End:
    """One end of a connection: what the ends of the model and of processes have in common."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection
        self.last_delivery_at = 0.0
        self.gone = False  # this end's socket is closed
        self.fin_sent = False
        self.fin_received = False

    def other(self) -> End:
        """Returns the other end of the connection."""
        return self.connection.server if self.connection.client is self else self.connection.client

    def _send(self, data: bytes) -> None:
        connection = self.connection
        if connection.client is self:
            connection.drop_if_idle()
        connection.last_byte_at = connection.network.clock.now
        connection.deliver(self, self.other().data_arrived, data)

    def _send_fin(self) -> None:
        if not self.fin_sent:
            self.fin_sent = True
            self.connection.deliver(self, self.other().fin_arrived)

    def close_socket(self, reset: bool) -> None:
        """Closes this end's socket, with a reset or a FIN."""
        if self.gone:
            return
        self.gone = True
        if reset:
            self.connection.deliver(self, self.other().reset_received)
        else:
            self._send_fin()
        if self.connection.on_client_closed and self.connection.client is self:
            self.connection.on_client_closed()
        self.connection.remove_if_closed()

    def data_arrived(self, data: bytes) -> None:
        """Accepts data, or answers with a reset when the socket is closed."""
        if self.gone:
            self.connection.deliver(self, self.other().reset_received)
        else:
            self.connection.last_byte_at = self.connection.network.clock.now
            self.receive(data)

    def fin_arrived(self) -> None:
        """The other end will send no more data."""
        if not self.gone and not self.fin_received:
            self.fin_received = True
            self.receive_end(False)

    def reset_received(self) -> None:
        """The other end, or a device on the path, reset the connection."""
        if not self.gone:
            self.gone = True
            self.receive_end(True)
            if self.connection.on_client_closed and self.connection.client is self:
                self.connection.on_client_closed()
            self.connection.remove_if_closed()

    def receive(self, data: bytes) -> None:
        """Passes received data to the owner of this end."""
        raise NotImplementedError

    def receive_end(self, reset: bool) -> None:
        """Tells the owner of this end that the other end closed or reset the connection."""
        raise NotImplementedError


class ModelEnd(End):
    """A connection end owned by a peer of the model; it is the peer's port."""

    def __init__(self, connection: Connection, peer: Peer) -> None:
        super().__init__(connection)
        self._peer = peer

    def on_client_closed(self, callback: Callable[[], None]) -> None:
        """Registers a callback for the moment the client end closes, without the network's latency."""
        self.connection.on_client_closed = callback

    def write(self, data: bytes) -> None:
        """Sends data."""
        if not self.gone and not self.fin_sent:
            self._send(data)

    def close(self) -> None:
        """Closes the connection with a FIN."""
        self.close_socket(reset=False)

    def abort(self) -> None:
        """Closes the connection with a reset."""
        self.close_socket(reset=True)

    def receive(self, data: bytes) -> None:
        """Passes received data to the peer."""
        self._peer.received(data)

    def receive_end(self, reset: bool) -> None:
        """Tells the peer that the other end closed or reset the connection."""
        self._peer.ended(reset)


class Transport(End, asyncio.Transport):
    """A connection end of a process: an asyncio transport with the kernel's receive buffer."""

    def __init__(self, connection: Connection, loop: ProcessLoop, protocol: asyncio.BufferedProtocol) -> None:
        End.__init__(self, connection)
        asyncio.Transport.__init__(self)
        self._loop = loop
        self._protocol = protocol
        self._receive_buffer = bytearray()
        self._last_received_at = loop.time()
        self._paused = False
        self._closing = False
        self._read_scheduled = False
        self._reset = False

    # The kernel's side

    def receive(self, data: bytes) -> None:
        """Adds received data to the kernel's buffer."""
        self._receive_buffer += data
        self._last_received_at = self._loop.time()
        self._schedule_read()

    def receive_end(self, reset: bool) -> None:
        """Records that the other end closed or reset the connection."""
        self._reset = self._reset or reset
        self._schedule_read()

    def unread_bytes(self) -> int:
        """Returns the number of received bytes that the process has not read."""
        return len(self._receive_buffer)

    def receive_state(self) -> tuple[float, bool]:
        """Returns the time in ms since data was last received, and whether the other end has closed."""
        return (self._loop.time() - self._last_received_at) * 1000.0, self.fin_received or self._reset

    def _schedule_read(self) -> None:
        if not self._read_scheduled and not self._paused and not self._closing:
            self._read_scheduled = True
            self._loop.call_soon(self._read)

    # The process's side

    def start(self) -> None:
        """Connects the protocol and starts to read."""
        self._loop.call_soon(self._protocol.connection_made, self)
        self._schedule_read()

    def _read(self) -> None:
        self._read_scheduled = False
        if self._paused or self._closing:
            return
        if self._receive_buffer:
            buffer = self._protocol.get_buffer(-1)
            count = min(len(buffer), len(self._receive_buffer))
            buffer[:count] = self._receive_buffer[:count]
            del self._receive_buffer[:count]
            self._protocol.buffer_updated(count)
            if self._receive_buffer or self.fin_received or self._reset:
                self._schedule_read()
        elif self._reset:
            self._closing = True
            self._loop.call_soon(self._connection_lost, ConnectionResetError(104, "Connection reset by peer"))
        elif self.fin_received and not self._protocol.eof_received():
            self.close()

    def _connection_lost(self, error: Exception | None) -> None:
        self._protocol.connection_lost(error)

    def write(self, data: bytes) -> None:
        """Sends data."""
        if not self._closing and not self.gone and not self.fin_sent:
            self._send(bytes(data))

    def write_eof(self) -> None:
        """Closes the sending direction."""
        if not self._closing:
            self._send_fin()

    def can_write_eof(self) -> bool:
        """Returns True: half-close is supported."""
        return True

    def close(self) -> None:
        """Closes the connection, with a reset if data is unread, as the kernel does."""
        self._close(reset=bool(self._receive_buffer))

    def abort(self) -> None:
        """Closes the connection with a reset."""
        self._close(reset=True)

    def _close(self, reset: bool) -> None:
        if self._closing:
            return
        self._closing = True
        self.close_socket(reset)
        self._loop.call_soon(self._connection_lost, None)

    def is_closing(self) -> bool:
        """Returns whether the transport is closing or closed."""
        return self._closing

    def pause_reading(self) -> None:
        """Leaves received data in the kernel's buffer until reading is resumed."""
        self._paused = True

    def resume_reading(self) -> None:
        """Resumes reading."""
        self._paused = False
        if self._receive_buffer or self.fin_received or self._reset:
            self._schedule_read()

    def is_reading(self) -> bool:
        """Returns whether reading is not paused."""
        return not self._paused

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Does nothing: written data passes to the kernel at once."""

    def get_write_buffer_size(self) -> int:
        """Returns 0: written data passes to the kernel at once."""
        return 0

    def set_protocol(self, protocol) -> None:
        """Replaces the protocol."""
        self._protocol = protocol

    def get_protocol(self):
        """Returns the protocol."""
        return self._protocol

    def get_extra_info(self, name, default=None):
        """Returns this transport as "kernel", by which net.driver reads the state of the receive buffer."""
        return self if name == "kernel" else default


class Server:
    """The server object that create_server returns to a process."""

    def __init__(self, network: Network, address: Address) -> None:
        self._network = network
        self._address = address
        self.sockets = ()

    def close(self) -> None:
        """Stops listening."""
        self._network.hosts.pop(self._address, None)

    def is_serving(self) -> bool:
        """Returns whether the address is being listened at."""
        return self._address in self._network.hosts

    async def wait_closed(self) -> None:
        """Returns at once: there is nothing to wait for."""
        return None


class Network:
    """All addresses and connections of the simulation."""

    def __init__(
        self, clock: Clock, seed: int, delay_ms: float, client_delay_ms: float, jitter: float
    ) -> None:
        self.clock = clock
        self.draw = random.Random(f"network {seed}").random
        self._latency_s = delay_ms / 1000.0
        self._client_latency_s = client_delay_ms / 1000.0
        self._jitter = jitter
        self.hosts: dict[Address, Host] = {}
        self.opened = 0
        self._transports: dict[ProcessLoop, dict[Transport, None]] = {}
        self.peak_connections: dict[str, int] = {}  # by process: the most connections open at once
        self.on_refused: Callable[[str, Host], None] = lambda name, host: None

    # The model

    def serve(self, where: Address, name: str, accept: Callable[[], Peer]) -> Host:
        """Listens at an address for the model. accept returns the peer of a new connection."""

        def accept_connection(connection: Connection) -> End:
            peer = accept()
            end = ModelEnd(connection, peer)
            peer.opened(end)
            return end

        host = self.hosts[where] = Host(name, accept_connection)
        host.where = where
        return host

    def reach(self, where: Address, peer: Peer, refused: Callable[[], None]) -> None:
        """Connects a client of the model to the sender beside it."""

        def connected(connection: Connection) -> End:
            end = ModelEnd(connection, peer)
            self.clock.after(connection.latency_s * 1000.0, peer.opened, end)
            return end

        self._connect(where, self._client_latency_s, connected, refused)

    # Processes

    def dial(self, loop: ProcessLoop, where: Address, factory: Callable, opened: asyncio.Future) -> None:
        """Connects a process to an address; opened receives the transport and protocol, or an error."""

        def connected(connection: Connection) -> End:
            protocol = factory()
            end = Transport(connection, loop, protocol)
            self.clock.after(connection.latency_s * 1000.0, syn_ack_received, end, protocol)
            return end

        def syn_ack_received(end: Transport, protocol: object) -> None:
            if loop.dead:
                end.close_socket(reset=True)
            elif opened.cancelled():  # the process gave up while connecting
                end.abort()
            elif end.gone:
                opened.set_exception(ConnectionResetError(104, "Connection reset by peer"))
            else:
                self._register(loop, end)
                end.start()
                loop.call_soon(set_result, end, protocol)

        def set_result(end: Transport, protocol: object) -> None:
            if not opened.done():
                opened.set_result((end, protocol))

        def refused() -> None:
            if not loop.dead and not opened.done():
                opened.set_exception(ConnectionRefusedError(111, "Connection refused"))
                host = self.hosts.get(where)
                if host:
                    self.on_refused(loop.name, host)

        self._connect(where, self._latency_s, connected, refused)

    def listen(self, loop: ProcessLoop, where: Address, factory: Callable) -> Server:
        """Listens at an address for a process. factory returns the protocol of a new connection."""

        def accept_connection(connection: Connection) -> End:
            transport = Transport(connection, loop, factory())
            self._register(loop, transport)
            transport.start()
            return transport

        self.hosts[where] = Host(loop.name, accept_connection, loop)
        return Server(self, where)

    def _register(self, loop: ProcessLoop, end: Transport) -> None:
        transports = self._transports.setdefault(loop, {})
        if len(transports) >= 64 and len(transports) % 64 == 0:  # removes the closed ones now and then
            for each in [each for each in transports if each.gone]:
                del transports[each]
        transports[end] = None
        open_now = sum(not each.gone for each in transports)
        self.peak_connections[loop.name] = max(self.peak_connections.get(loop.name, 0), open_now)

    def process_ended(self, loop: ProcessLoop) -> None:
        """Releases a process's sockets as the kernel does: resets connections and stops listening."""
        for end in self._transports.pop(loop, {}):
            end.close_socket(reset=True)
        for where in [where for where, host in self.hosts.items() if host.process is loop]:
            del self.hosts[where]

    # Connection establishment

    def _connect(
        self,
        where: Address,
        latency_s: float,
        connected: Callable[[Connection], End],
        refused: Callable[[], None],
    ) -> None:
        self.clock.at(self.clock.now + latency_s, self._syn_received, where, latency_s, connected, refused)

    def _syn_received(
        self,
        where: Address,
        latency_s: float,
        connected: Callable[[Connection], End],
        refused: Callable[[], None],
    ) -> None:
        host = self.hosts.get(where)
        if host is not None and host.dark:
            return  # neither an acknowledgement nor a reset
        if host is None or host.refusing:
            self.clock.at(self.clock.now + latency_s, refused)
            return
        connection = Connection(self, host, latency_s, self._jitter)
        self.opened += 1
        host.connections[connection] = None
        connection.client = connected(connection)
        connection.server = host.accept(connection)

    # Fault injection

    def reset_all(self, host: Host) -> None:
        """Resets all connections of an address whose process ended."""
        for connection in [*host.connections]:
            if connection.server:
                connection.server.close_socket(reset=True)

    def restore(self, host: Host) -> None:
        """Makes a dark host reachable again; connections from before are reset."""
        host.dark = False
        for connection in [*host.connections]:
            connection.server.close_socket(reset=True)
