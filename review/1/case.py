"""Case: bad clients repeat what was turned away, then use the ids of open requests of other clients."""

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    TROUBLE,
    Call,
    Clients,
    Endpoint,
    Handed,
    NotRunError,
    Platform,
    Record,
    SenderProcess,
    configuration,
    delivered,
    free_address,
    run,
)

ORDERS = 90  # basket orders of the usual clients in line for one partner: what it takes in 4 to 5 s
MARKED = 4  # the last of them, whose ids the bad clients use
EXPIRY_MS = 12000
WORK_S = (0.19, 0.33)  # of one call: the site's figures for a partner of usual pace
BAD_CLIENTS = 20  # each sends again as soon as it is turned away
BAD_REPEATS = 235  # of each: hundreds
BAD_LEFT_MS = 50  # too little time left for a call, so that each is turned away
LOST_AFTER_S = 0.55  # a message is lost this long after its time is up: half a second and the slack of 50 ms
SETTINGS = {
    "nInstances": 3,
    "registryMode": "pushed",
    "hostTypes": ["partner"],
    "domain": {"callsOut": 8, "losesWorth": "linear", "perCall": [1], "routesApart": [False]},
    "limits": {
        "connIdleMs": 10000,
        "dialTimeoutMs": 1000,
        "maxOpen": 130,
        "maxRetryAfterMs": 3000,
        "retryAfter": True,
        "sendCap": 12,
        "streamsPerConn": 1,
    },
    "rules": {"answerSlackMs": 20, "coldFrom": 0.29, "warmUpMs": 12000, "drainGraceMs": 2000},
    "services": [
        {
            "name": "recipe-sync",
            "effect": "safe",
            "objectiveMs": 3000,
            "deadlineMs": 16000,
            "importance": 2,
            "lateShare": 0.4,
        },
        {
            "name": "basket-order",
            "effect": "unsafe",
            "objectiveMs": 2500,
            "deadlineMs": EXPIRY_MS,
            "importance": 1,
            "lateShare": 0.3,
        },
    ],
}


async def usual(call: Call) -> bytes:
    """A partner in its usual state."""
    await asyncio.sleep(random.uniform(*WORK_S))
    return delivered()


async def bad_client(clients: Clients, name: str, statuses: dict[int, int]) -> None:
    """Hands a document in, and again (under a new id, as each time) as soon as it is turned away."""
    for number in range(BAD_REPEATS):
        handed = await clients.hand_in(f"{name}.{number}", "recipe-sync", 2, BAD_LEFT_MS)
        statuses[handed.status] = statuses.get(handed.status, 0) + 1


def judge(orders: list[Handed], calls: list[Call], notices: dict[str, float]) -> list[str]:
    """What the rule says of each order that was taken on."""
    broken = []
    for order in orders:
        mine = [call for call in calls if call.doc == order.doc]
        foreign = [call for call in mine if call.body != order.body]
        ends = [call.delivered_at for call in mine if call.body == order.body and call.delivered_at]
        ends += [notices[order.doc]] if order.doc in notices else []
        run = [call for call in mine if call.delivered_at]
        if len(run) > 1:
            broken.append(f"{order.doc}: run {len(run)} times, at {', '.join(f'{c.at:.3f}' for c in run)}")
        if foreign:
            broken.append(
                f"{order.doc}: at {foreign[0].at:.3f} the partner got {foreign[0].body!r} under its id, "
                f"not {order.body!r}"
            )
        if not ends or min(ends) > order.due + LOST_AFTER_S:
            broken.append(
                f"{order.doc}: taken on at {order.taken_at:.3f}, time up at {order.due:.3f}, "
                "neither it was delivered nor did a notice end it"
            )
    return broken


async def case(record: Record, work: Path, processes: list[SenderProcess]) -> list[str]:
    """Orders wait in line for their partner while bad clients come; returns how the rule was broken."""
    calls: list[Call] = []
    endpoints = [Endpoint(record, f"s-{number}", number, usual, calls) for number in (1, 2)]
    for each in endpoints:
        await each.start()
    platform = Platform(record)
    await platform.start(endpoints)
    listen, ops = free_address(), free_address()
    sender = SenderProcess(record, "p0", work, configuration(work, listen, platform, SETTINGS, ops), ops)
    processes.append(sender)
    await sender.start()
    await sender.ready()
    clients, bad = Clients(record, listen), Clients(record, listen)
    orders = [
        await clients.hand_in(f"order-{number}", "basket-order", 1, EXPIRY_MS, body=b"basket %d" % number)
        for number in range(ORDERS)
    ]
    if not all(each.taken_at for each in orders):
        raise NotRunError("an order was not taken on")
    if TROUBLE:
        statuses: dict[int, int] = {}
        await asyncio.gather(*(bad_client(bad, f"bad-{number}", statuses) for number in range(BAD_CLIENTS)))
        record.note("bad clients were answered", **{str(key): count for key, count in statuses.items()})
        if {call.doc for call in calls} & {each.doc for each in orders[-MARKED:]}:
            raise NotRunError("the bad clients were too slow: the last orders had been sent")
        for order in orders[-MARKED:]:
            await bad.hand_in(order.doc, "basket-order", 1, EXPIRY_MS, body=b"rubbish")
    await asyncio.sleep(max(each.due for each in orders) + 2.0 - record.now())
    clients.close()
    bad.close()
    return judge(orders, calls, platform.notices)


if __name__ == "__main__":
    run(case, FOLDER)
