"""Link for datagrams: a relay on loopback that drops, delays, duplicates and reorders them.

It does not read the datagrams. All random draws come from a seeded generator.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

Address = tuple[str, int]
MAX_CALLERS = 256  # callers with a return socket; the oldest one is closed first


@dataclass(slots=True)
class Faults:
    """Faults of one direction. Shares are from 0 to 1.

    jitter_ms is the bound of an additional random delay per datagram, which reorders them.
    """

    lost: float = 0.0
    doubled: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    cut: bool = False
    held: bool = False


class ReturnSocket(asyncio.DatagramProtocol):
    """The relay's socket for one caller: datagrams that arrive on it are answers for that caller."""

    def __init__(self, on_datagram: Callable[[bytes], None]) -> None:
        self._on_datagram = on_datagram
        self._pending: list[bytes] = []  # sent before the socket was open
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Sends the datagrams that waited for the socket."""
        self.transport = transport
        pending, self._pending = self._pending, []
        for data in pending:
            transport.sendto(data)

    def datagram_received(self, data: bytes, source: Address) -> None:
        """Hands an answer to the relay."""
        self._on_datagram(data)

    def send(self, data: bytes) -> None:
        """Sends a datagram to the target, once the socket is open."""
        if self.transport is None:
            self._pending.append(data)
        else:
            self.transport.sendto(data)

    def close(self) -> None:
        """Closes the socket."""
        if self.transport:
            self.transport.close()


class Datagrams(asyncio.DatagramProtocol):
    """Relays datagrams that any sender sends to `where` to the address `to`, and the answers back."""

    def __init__(self, loop: asyncio.AbstractEventLoop, to: Address, seed: int) -> None:
        self._loop = loop
        self._to = to
        self._random = random.Random(f"datagrams {seed}")
        self.there = Faults()
        self.back = Faults()
        self._return_sockets: dict[Address, ReturnSocket] = {}
        self._held: list[tuple[Faults, Callable, tuple]] = []
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task] = set()
        self.where: Address | None = None
        self.passed = self.dropped = 0

    async def open(self) -> Datagrams:
        """Opens the relay's socket."""
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        return self

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Stores the address of the relay."""
        self._transport = transport
        self.where = transport.get_extra_info("sockname")[:2]

    def datagram_received(self, data: bytes, source: Address) -> None:
        """Relays a datagram from a caller."""
        if source not in self._return_sockets:
            created = ReturnSocket(
                lambda answer: self._relay(self.back, self._transport.sendto, answer, source)
            )
            self._return_sockets[source] = created
            task = self._loop.create_task(
                self._loop.create_datagram_endpoint(lambda: created, remote_addr=self._to)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            while len(self._return_sockets) > MAX_CALLERS:
                self._return_sockets.pop(next(iter(self._return_sockets))).close()
        self._relay(self.there, self._return_sockets[source].send, data)

    def _relay(self, faults: Faults, send: Callable, *arguments: object) -> None:
        """Sends a datagram on, with the faults of its direction."""
        if faults.cut or self._random.random() < faults.lost:
            self.dropped += 1
            return
        for _ in range(2 if self._random.random() < faults.doubled else 1):
            if faults.held:
                self._held.append((faults, send, arguments))
                continue
            delay = faults.delay_ms + self._random.random() * faults.jitter_ms
            if delay:
                self._loop.call_later(delay / 1000.0, self._send, send, *arguments)
            else:
                self._send(send, *arguments)

    def _send(self, send: Callable, *arguments: object) -> None:
        self.passed += 1
        send(*arguments)

    def heal(self) -> None:
        """Ends all faults; held datagrams are sent in their order."""
        for faults in (self.there, self.back):
            faults.lost = faults.doubled = faults.delay_ms = faults.jitter_ms = 0.0
            faults.cut = faults.held = False
        held, self._held = self._held, []
        for _, send, arguments in held:
            self._send(send, *arguments)

    def close(self) -> None:
        """Closes all sockets."""
        for return_socket in self._return_sockets.values():
            return_socket.close()
        self._transport.close()
