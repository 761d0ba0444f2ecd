"""The list and a sender, by its length: one hollow sender, one service, on loopback.

x: endpoints listed. Bytes of the whole list, what adopting it takes, what one change takes (with a trail
and without), bytes of memory. A list longer than the bound of net.discovery is refused; what that costs
stands at those points alone.
"""

from __future__ import annotations

import asyncio

from benchmarks.capacity.hollow import Hosts
from benchmarks.capacity.listing import ListService
from benchmarks.capacity.lists import Spent
from birchstack.net.discovery import MAX_LIST_BYTES

NAME = "list-size"
CHANGES, SPACE_S, REFUSED_S = 50, 0.02, 4.0
POINTS, SMALL = (3000, 8000, 13000, 18000, 24000, 36000), (500, 1000, 2000, 4000)
FIGURES = {
    "whole list": "bytes",
    "a listed endpoint": "bytes",
    "adopting: CPU": "s",
    "adopting: memory": "bytes",
    "a change: bytes": "bytes",
    "a change: CPU": "s",
    "a change with a trail: CPU": "s",
    "refused: bytes": "bytes a second",
    "refused: asks": "a second",
    "refused: CPU of a sender": "cores",
}


async def _refused(service: ListService, hosts: Hosts) -> dict[str, float]:
    spent = Spent(service, hosts)
    await hosts.start(1)
    asks = len(service.asks)
    await spent.begin()
    await asyncio.sleep(REFUSED_S)
    await spent.end()
    told = await hosts.report()
    if [listed for listed, *_ in told["listed"]] != [0]:
        raise ValueError("a list beyond the bound was adopted")
    return {
        "refused: bytes": spent.many("bytes out") / spent.seconds,
        "refused: CPU of a sender": spent.cpu_s / spent.seconds,
        "refused: asks": (len(service.asks) - asks) / spent.seconds,
    }


async def point(listed: int, fleet: bool) -> dict[str, float]:
    service = ListService(listed)
    await service.open()
    uids, size = [*service.entries], len(service.whole())
    got = {"whole list": size, "a listed endpoint": size / listed}
    try:
        async with Hosts(service.at, 1, 550, fleet) as hosts:
            if size > MAX_LIST_BYTES:
                return {**got, **(await _refused(service, hosts) if not fleet else {})}
            spent, before = Spent(service, hosts), (await hosts.report(True))["bytes"]
            await spent.begin()
            await hosts.start(1)
            await hosts.until(1, 1)
            await spent.end()
            if not fleet:
                got["adopting: CPU"] = spent.cpu_s
                got["adopting: memory"] = (await hosts.report(True))["bytes"] - before
            await asyncio.sleep(CHANGES * SPACE_S)
            await spent.begin()
            await asyncio.sleep(CHANGES * SPACE_S)
            await spent.end()
            idle_s = spent.cpu_s
            await spent.begin()
            for uid in uids[:CHANGES]:
                version = service.publish(uid, "leaving")
                await asyncio.sleep(SPACE_S)
            await spent.end()
            await hosts.until(version, 1)
            what = "a change with a trail: CPU" if fleet else "a change: CPU"
            got[what] = max(0.0, spent.cpu_s - idle_s) / CHANGES
            got["a change: bytes"] = spent.many("bytes out") / CHANGES
            return got
    finally:
        service.close()


def measure(points: tuple[int, ...]) -> list[tuple[float, dict[str, float]]]:
    return [
        (float(each), {**asyncio.run(point(each, True)), **asyncio.run(point(each, False))})
        for each in points
    ]
