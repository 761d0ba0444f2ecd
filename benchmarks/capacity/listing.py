"""A stand-in list service that counts: one list for all, watches, whole lists and changes, over loopback.

Owns the list, its versions and the counts of bytes and messages at its sockets. It writes each line once
for all (a whole list is encoded once a version), so its processor time is the least that any service
spends.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter

BEAT_S = 2.0  # as the platform's agent: an empty line so often
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ZONES = tuple(f"region-{1 + at % 3}{'abcd'[at // 3]}" for at in range(11))


def entry(at: int, per_destination: int = 1, state: str = "active") -> dict:
    """One line of a list, with names as long as real ones."""
    where = f"127.{100 + at // 62500}.{at // 250 % 250}.{1 + at % 250}:7400"
    return {
        "uid": f"s-{0x5BE2A07C ^ at * 2654435761 & 0xFFFFFFFF:08x}",
        "endpoint": where,
        "az": ZONES[at % 11],
        "model": "partner",
        "pod_group": 1 + at // per_destination,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


def line(told: dict) -> bytes:
    return json.dumps(told).encode() + b"\n"


def chunk(text: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text), text)


class Watcher(asyncio.Protocol):
    """One connection: a request, then lines for as long as it stands."""

    def __init__(self, service: ListService) -> None:
        self._service, self._held, self.transport = service, b"", None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self._service.counts["connections"] += 1

    def data_received(self, data: bytes) -> None:
        service = self._service
        service.counts["bytes in"] += len(data)
        self._held += data
        while b"\r\n\r\n" in self._held:
            head, _, self._held = self._held.partition(b"\r\n\r\n")
            service.counts["messages in"] += 1
            service.asked(self, head.split(b" ", 2)[1].decode())

    def connection_lost(self, problem: Exception | None) -> None:
        self._service.watchers.pop(self, None)

    def write(self, data: bytes) -> None:
        counts = self._service.counts
        counts["bytes out"] += len(data)
        counts["messages out"] += 1
        self.transport.write(data)


class ListService:
    """counts: connections; bytes and messages in and out. asks: when each watch was asked for (monotonic),
    and after which version."""

    def __init__(self, endpoints: int, per_destination: int = 1, beat_s: float = BEAT_S) -> None:
        made = [entry(at, per_destination) for at in range(endpoints)]
        self.entries = {each["uid"]: each for each in made}
        self.rev, self._log, self._whole = 1, [], b""
        self.watchers: dict[Watcher, None] = {}
        self.counts: Counter[str] = Counter()
        self.asks: list[tuple[float, int]] = []
        self._beat_s, self._server, self.at = beat_s, None, ""

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        where = ("127.0.0.1", int(self.at.partition(":")[2] or 0))
        self._server = await loop.create_server(lambda: Watcher(self), *where, backlog=1024)
        self.at = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        self._beat(loop)

    def close(self) -> None:
        self._server.close()
        self._timer.cancel()
        self.drop()

    def drop(self) -> None:
        """Every watch ends."""
        for each in [*self.watchers]:
            each.transport.abort()

    def whole(self) -> bytes:
        if not self._whole:
            self._whole = chunk(line({"rev": self.rev, "all": True, "targets": [*self.entries.values()]}))
        return self._whole

    def publish(self, uid: str, state: str) -> int:
        """One endpoint changes its state: a new version, told to all. Returns its number."""
        self.rev, self._whole = self.rev + 1, b""
        told = {**self.entries[uid], "state": state}
        self.entries[uid] = told
        self._log.append(told)
        text = chunk(line({"rev": self.rev, "all": False, "targets": [told]}))
        for each in [*self.watchers]:
            each.write(text)
        return self.rev

    def asked(self, watcher: Watcher, target: str) -> None:
        words = dict(word.partition("=")[::2] for word in target.partition("?")[2].split("&"))
        after = int(words.get("after", 0))
        self.asks.append((time.monotonic(), after))
        self.watchers[watcher] = None
        if not 0 < after <= self.rev:
            watcher.write(HEAD + self.whole())
        elif after < self.rev:
            last = {each["uid"]: each for each in self._log[after - self.rev :]}
            watcher.write(HEAD + chunk(line({"rev": self.rev, "all": False, "targets": [*last.values()]})))
        else:
            watcher.write(HEAD)

    def most_asks(self, since: float, within_s: float = 0.1) -> int:
        """The most watches asked for within such a time."""
        times = sorted(at for at, _ in self.asks if at >= since)
        return max(
            (
                sum(at <= each < at + within_s for each in times[place : place + 1000])
                for place, at in enumerate(times)
            ),
            default=0,
        )

    def _beat(self, loop: asyncio.AbstractEventLoop) -> None:
        for each in [*self.watchers]:
            each.write(chunk(b"\n"))
        self._timer = loop.call_later(self._beat_s, self._beat, loop)
