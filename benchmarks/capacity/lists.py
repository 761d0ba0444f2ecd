"""The list service and its network, by senders: hollow ones in some processes, one service in this one, on
loopback.

x: senders. In turn: all start at once without a list; nothing happens; one endpoint changes; 100 do; 50
senders start beside the rest; the service ends every watch. The list is short (LISTED endpoints), so that
550 senders fit; what its length costs is the slope `list-size`. Times hold for this machine, which plays
all senders on some cores. Processor time of a sender is a lower bound (see hollow.py); that of the service
is its own.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter

from benchmarks.capacity.hollow import Hosts
from benchmarks.capacity.listing import BEAT_S, ListService

NAME = "lists"
LISTED, PROCESSES, QUIET_S, BURST, ZONE, SETTLE_S = 500, 4, 8.0, 100, 50, 1.5
POINTS, SMALL = (100, 200, 350, 550), (8, 16, 32)
FIGURES = {
    "start: bytes": "bytes the service writes",
    "start: messages": "messages both ways",
    "start: until all act": "s",
    "start: most asks in 100 ms": "watches asked for",
    "start: CPU of the service": "s",
    "start: CPU of a sender": "s",
    "quiet: bytes": "bytes a second both ways",
    "quiet: messages": "messages a second both ways",
    "quiet: CPU of the service": "cores",
    "quiet: CPU of a sender": "cores",
    "change: bytes": "bytes both ways",
    "change: messages": "messages both ways",
    "change: until all act": "s",
    "burst of 100: bytes": "bytes both ways",
    "burst of 100: until all act": "s",
    "burst of 100: CPU of the service": "s",
    "burst of 100: CPU of a sender": "s",
    "zone starts: bytes": "bytes the service writes",
    "zone starts: until all act": "s",
    "watches end: most asks in 100 ms": "watches asked for",
    "watches end: until all act": "s",
    "watches end: bytes": "bytes both ways",
}


class Spent:
    """What a stretch of time took: counts at the service, its CPU and that of all hollow senders."""

    def __init__(self, service: ListService, hosts: Hosts) -> None:
        self._service, self._hosts = service, hosts

    async def begin(self) -> None:
        self.cpu_s = (await self._hosts.report())["cpu_s"]
        self._counts, self.since = Counter(self._service.counts), time.monotonic()
        self._own_s = time.process_time()

    async def end(self) -> None:
        self.own_s, self.seconds = time.process_time() - self._own_s, time.monotonic() - self.since
        self._counts = Counter(self._service.counts) - self._counts
        self.cpu_s = (await self._hosts.report())["cpu_s"] - self.cpu_s

    def many(self, *names: str) -> int:
        return sum(self._counts[name] for name in names)

    @property
    def bytes(self) -> int:
        return self.many("bytes in", "bytes out")

    @property
    def messages(self) -> int:
        return self.many("messages in", "messages out")


async def point(senders: int, quiet_s: float = QUIET_S, zone: int = ZONE) -> dict[str, float]:
    service = ListService(LISTED, beat_s=BEAT_S)
    await service.open()
    uids, got = [*service.entries], {}
    try:
        async with Hosts(service.at, min(PROCESSES, senders), senders) as hosts:
            spent = Spent(service, hosts)
            await spent.begin()
            await hosts.start(senders)
            _, last = await hosts.until(1, senders)
            await spent.end()
            got["start: bytes"], got["start: messages"] = spent.many("bytes out"), spent.messages
            got["start: until all act"] = last - spent.since
            got["start: most asks in 100 ms"] = service.most_asks(spent.since)
            got["start: CPU of the service"] = spent.own_s
            got["start: CPU of a sender"] = spent.cpu_s / senders

            await asyncio.sleep(SETTLE_S)
            await spent.begin()
            await asyncio.sleep(quiet_s)
            await spent.end()
            got["quiet: bytes"] = spent.bytes / spent.seconds
            got["quiet: messages"] = spent.messages / spent.seconds
            got["quiet: CPU of the service"] = spent.own_s / spent.seconds
            got["quiet: CPU of a sender"] = spent.cpu_s / spent.seconds / senders

            for what, many in (("change", 1), ("burst of 100", BURST)):
                await spent.begin()
                for uid in uids[:many]:
                    version = service.publish(uid, "leaving")
                _, last = await hosts.until(version, senders)
                await spent.end()
                got[f"{what}: bytes"] = spent.bytes
                got[f"{what}: until all act"] = last - spent.since
                if many == 1:
                    got["change: messages"] = spent.messages
                else:
                    got["burst of 100: CPU of the service"] = spent.own_s
                    got["burst of 100: CPU of a sender"] = spent.cpu_s / senders

            if zone <= senders:
                await hosts.stop(zone)
                await asyncio.sleep(SETTLE_S / 3.0)
                await spent.begin()
                await hosts.start(zone)
                _, last = await hosts.until(version, senders)
                await spent.end()
                got["zone starts: bytes"] = spent.many("bytes out")
                got["zone starts: until all act"] = last - spent.since

            await spent.begin()
            service.drop()
            version = service.publish(uids[0], "active")
            _, last = await hosts.until(version, senders)
            await spent.end()
            got["watches end: most asks in 100 ms"] = service.most_asks(spent.since)
            got["watches end: until all act"], got["watches end: bytes"] = last - spent.since, spent.bytes
            return got
    finally:
        service.close()


def measure(points: tuple[int, ...]) -> list[tuple[float, dict[str, float]]]:
    small = max(points) <= max(SMALL)
    return [
        (float(each), asyncio.run(point(each, 0.5 if small else QUIET_S, 4 if small else ZONE)))
        for each in points
    ]
