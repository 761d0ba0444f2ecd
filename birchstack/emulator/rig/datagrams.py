"""A link for datagrams: a relay on loopback that loses, delays, doubles and reorders them.

Owns its two sockets and the datagrams under way. Must never look into them. All chance comes from a seeded
draw.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

Address = tuple[str, int]
BACKS = 256  # callers whose answers find their way back; the longest unheard of goes first


@dataclass(slots=True)
class Faults:
    """Of one direction. Shares from 0 to 1; jitter_ms: up to so much more delay for each, which reorders
    them."""

    lost: float = 0.0
    doubled: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    cut: bool = False
    held: bool = False


class Back(asyncio.DatagramProtocol):
    """The relay's own socket for one caller: what comes back on it is that caller's."""

    def __init__(self, told: Callable[[bytes], None]) -> None:
        self._told = told
        self._waiting: list[bytes] = []  # came before the socket stood
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport
        waiting, self._waiting = self._waiting, []
        for data in waiting:
            transport.sendto(data)

    def datagram_received(self, data: bytes, source: Address) -> None:
        self._told(data)

    def send(self, data: bytes) -> None:
        if self.transport is None:
            self._waiting.append(data)
        else:
            self.transport.sendto(data)

    def close(self) -> None:
        if self.transport:
            self.transport.close()


class Datagrams(asyncio.DatagramProtocol):
    """From whoever sends to `where` on to `to`, and back."""

    def __init__(self, loop: asyncio.AbstractEventLoop, to: Address, seed: int) -> None:
        self._loop, self._to = loop, to
        self._chance = random.Random(f"datagrams {seed}")
        self.there, self.back = Faults(), Faults()
        self._backs: dict[Address, Back] = {}
        self._held: list[tuple[Faults, Callable, tuple]] = []
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task] = set()
        self.where: Address | None = None
        self.passed = self.dropped = 0

    async def open(self) -> Datagrams:
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        return self

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport
        self.where = transport.get_extra_info("sockname")[:2]

    def datagram_received(self, data: bytes, source: Address) -> None:
        if source not in self._backs:
            made = Back(lambda answer: self._pass(self.back, self._transport.sendto, answer, source))
            self._backs[source] = made
            task = self._loop.create_task(
                self._loop.create_datagram_endpoint(lambda: made, remote_addr=self._to)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            while len(self._backs) > BACKS:
                self._backs.pop(next(iter(self._backs))).close()
        self._pass(self.there, self._backs[source].send, data)

    def _pass(self, faults: Faults, send: Callable, *words: object) -> None:
        if faults.cut or self._chance.random() < faults.lost:
            self.dropped += 1
            return
        for _ in range(2 if self._chance.random() < faults.doubled else 1):
            if faults.held:
                self._held.append((faults, send, words))
                continue
            delay = faults.delay_ms + self._chance.random() * faults.jitter_ms
            if delay:
                self._loop.call_later(delay / 1000.0, self._send, send, *words)
            else:
                self._send(send, *words)

    def _send(self, send: Callable, *words: object) -> None:
        self.passed += 1
        send(*words)

    def heal(self) -> None:
        """Everything is as it should be; what was held goes on in its order."""
        for faults in (self.there, self.back):
            faults.lost = faults.doubled = faults.delay_ms = faults.jitter_ms = 0.0
            faults.cut = faults.held = False
        held, self._held = self._held, []
        for _, send, words in held:
            self._send(send, *words)

    def close(self) -> None:
        for each in self._backs.values():
            each.close()
        self._transport.close()
