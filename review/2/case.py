"""Case: discovery answers slowly while endpoints are replaced."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    TROUBLE,
    Call,
    Clients,
    Endpoint,
    NotRunError,
    Platform,
    Record,
    SenderProcess,
    after,
    configuration,
    free_address,
    run,
)

SLOW_S = 2.5  # discovery begins its answer to each question for the list this late
WORK_S = 0.2  # of one call
PER_S = 4.0  # documents for each destination
LEAVES_AT_S, GOES_AT_S, TAKEN_AT_S, ENDS_AT_S = 6.0, 10.0, 12.0, 36.0
TOLD_AFTER_S = 6.0  # a change counts as told this long after discovery had it, at the latest
GRACE_S = 2.0  # after that nothing new goes to an endpoint that is gone
SLACK_S = 0.1  # both limits are longer by 50 ms
OTHER = 9  # the destination of the endpoint that takes over the address
SETTINGS = {
    "nInstances": 3,
    "registryMode": "pushed",
    "hostTypes": ["partner"],
    "domain": {"callsOut": 8, "losesWorth": "linear", "perCall": [1], "routesApart": [False]},
    "limits": {
        "connIdleMs": 10000,
        "dialTimeoutMs": 1000,
        "maxOpen": 100,
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
            "deadlineMs": 28000,
            "importance": 1,
            "lateShare": 0.3,
        },
    ],
}


async def foreign(call: Call) -> bytes:
    """Another partner's endpoint: it rejects what is not for it. No client hands in anything for it here."""
    return b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"


async def traffic(clients: Clients, destination: int, stop: asyncio.Event) -> None:
    """Hands documents in at a steady pace, three in ten of them basket orders."""
    number = 0
    while not stop.is_set():
        number += 1
        kind, left_ms = ("basket-order", 28000) if number % 10 in (3, 6, 9) else ("recipe-sync", 16000)
        await clients.hand_in(f"{kind}-{destination}.{number}", kind, destination, left_ms)
        await asyncio.sleep(1.0 / PER_S)


async def case(record: Record, work: Path, processes: list[SenderProcess]) -> list[str]:
    """Replaces an endpoint, gives its address to another partner; returns the calls that came there."""
    calls: list[Call] = []
    endpoints = [Endpoint(record, f"s-{number}", number, after(WORK_S), calls) for number in (1, 2, 3)]
    for each in endpoints:
        await each.start()
    old = endpoints[0]
    platform = Platform(record)
    await platform.start(endpoints)
    platform.head_delay_s = SLOW_S if TROUBLE else 0.0
    listen, ops = free_address(), free_address()
    sender = SenderProcess(record, "p0", work, configuration(work, listen, platform, SETTINGS, ops), ops)
    processes.append(sender)
    await sender.start()
    await sender.ready()
    clients = Clients(record, listen)
    stop = asyncio.Event()
    tasks = [asyncio.create_task(traffic(clients, number, stop)) for number in (1, 2, 3)]

    await asyncio.sleep(LEAVES_AT_S - record.now())
    new = Endpoint(record, "s-7", old.destination, after(WORK_S), calls)
    await new.start()
    platform.change(new.entry())
    platform.change(old.entry("leaving"))
    await asyncio.sleep(GOES_AT_S - record.now())
    gone_at = platform.change(old.entry("left"))
    await old.stop()
    await asyncio.sleep(TAKEN_AT_S - record.now())
    other = Endpoint(record, "s-9", OTHER, foreign, calls)
    await other.start(old.address)
    platform.change(other.entry())
    await asyncio.sleep(ENDS_AT_S - record.now())
    stop.set()
    await asyncio.gather(*tasks)
    await asyncio.sleep(1.0)
    clients.close()
    if sum(call.endpoint == "s-2" for call in calls) < 0.5 * PER_S * ENDS_AT_S:
        raise NotRunError("the other destinations were not served")
    told = gone_at + TOLD_AFTER_S + GRACE_S + SLACK_S
    wrong = [call for call in calls if call.endpoint == other.name and call.at > told]
    record.note("calls at the other partner", in_all=sum(call.endpoint == other.name for call in calls))
    return [
        f"{call.doc}, for destination {old.destination}, came to destination {OTHER} at {call.at:.3f}, "
        f"owed until {told:.3f} (s-1 was gone at {gone_at:.3f})"
        for call in wrong
    ]


if __name__ == "__main__":
    run(case, FOLDER)
