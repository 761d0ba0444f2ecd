"""Case: the process is replaced (an upgrade) while half of the endpoints hang."""

import asyncio
import signal
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
    configuration,
    delivered,
    free_address,
    run,
)

DESTINATIONS = 4  # one endpoint each; half of them hang
RECIPES_PER_S = 3.0  # for each destination
ORDERS_PER_S = 2.0
WORK_S = 0.25
ASKED_EVERY_S = 0.5  # how often the platform asks the new process whether it is ready
EXCUSED_S = 1.5  # after the signal no notice is overdue for this long: the sender is ready all the time
LATE_S = 0.55  # a message is lost this long after its time is up: half a second and the slack of 50 ms
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
            "objectiveMs": 1000,
            "deadlineMs": 2500,
            "importance": 2,
            "lateShare": 0.4,
        },
        {
            "name": "basket-order",
            "effect": "unsafe",
            "objectiveMs": 2500,
            "deadlineMs": 7000,
            "importance": 1,
            "lateShare": 0.3,
        },
    ],
}


class Hang:
    """Endpoints that take calls and answer none from a moment on, and answer those before."""

    def __init__(self) -> None:
        self.begun = False

    async def answer(self, call: Call) -> bytes | None:
        """The answer of an endpoint that may hang."""
        if self.begun:
            return None
        await asyncio.sleep(WORK_S)
        return delivered()


async def usual(call: Call) -> bytes:
    """An endpoint in its usual state."""
    await asyncio.sleep(WORK_S)
    return delivered()


async def traffic(clients: Clients, kind: str, destination: int, per_s: float, stop: asyncio.Event) -> None:
    """Hands documents in at a steady pace."""
    left_ms = next(each["deadlineMs"] for each in SETTINGS["services"] if each["name"] == kind)
    number = 0
    asked = []
    while not stop.is_set():
        number += 1
        asked.append(
            asyncio.create_task(clients.hand_in(f"{kind}-{destination}.{number}", kind, destination, left_ms))
        )
        await asyncio.sleep(1.0 / per_s)
    await asyncio.gather(*asked)


def judge(clients: Clients, calls: list[Call], notices: dict[str, float], told: float) -> list[str]:
    """The messages that were taken on and had no end in time; told: when the old process got SIGTERM."""
    ends: dict[str, float] = dict(notices)
    for call in calls:
        if call.delivered_at is not None:
            ends[call.doc] = min(call.delivered_at, ends.get(call.doc, call.delivered_at))
    broken = []
    for each in clients.handed.values():
        if each.taken_at is None:
            continue
        until = each.due + LATE_S
        if told <= until <= told + EXCUSED_S:
            until = told + EXCUSED_S
        end = ends.get(each.doc)
        if end is None or end > until:
            broken.append(
                f"{each.doc}: taken on at {each.taken_at:.3f}, time up at {each.due:.3f}, an end was owed "
                f"by {until:.3f}, came at {'never' if end is None else format(end, '.3f')}"
            )
    return broken


async def case(record: Record, work: Path, processes: list[SenderProcess]) -> list[str]:
    """Replaces the process while endpoints hang; returns the messages that had no end in time."""
    calls: list[Call] = []
    hang = Hang()
    endpoints = [
        Endpoint(record, f"s-{number}", number, hang.answer if number % 2 else usual, calls)
        for number in range(1, DESTINATIONS + 1)
    ]
    for each in endpoints:
        await each.start()
    platform = Platform(record)
    await platform.start(endpoints)
    listen = free_address()
    clients = Clients(record, listen)

    def process(name: str) -> SenderProcess:
        ops = free_address()
        made = SenderProcess(record, name, work, configuration(work, listen, platform, SETTINGS, ops), ops)
        processes.append(made)
        return made

    old = process("old")
    await old.start()
    await old.ready()
    stop = asyncio.Event()
    tasks = [
        asyncio.create_task(traffic(clients, kind, number, per_s, stop))
        for number in range(1, DESTINATIONS + 1)
        for kind, per_s in (("recipe-sync", RECIPES_PER_S), ("basket-order", ORDERS_PER_S))
    ]
    await asyncio.sleep(5.0)
    if TROUBLE:
        hang.begun = True
        record.note("half of the endpoints hang")
    new = process("new")
    await new.start()
    await new.ready(within_s=6.0, every_s=ASKED_EVERY_S)
    told = old.signal(signal.SIGTERM)
    await old.ended(3.7)
    await asyncio.sleep(5.0)
    stop.set()
    await asyncio.gather(*tasks)
    await asyncio.sleep(9.0)
    clients.close()
    taken = [each for each in clients.handed.values() if each.taken_at is not None]
    if len(taken) < 50 or new.process.returncode is not None:
        raise NotRunError(f"{len(taken)} messages taken on")
    return judge(clients, calls, platform.notices, told)


if __name__ == "__main__":
    run(case, FOLDER)
