"""Case: documents of one key over the replacement of the process (an upgrade)."""

import asyncio
import random
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
    after,
    configuration,
    free_address,
    run,
)

UPGRADES = 6
KEYS = 20  # employees whose shifts change often around each upgrade; then they change no more
AHEAD_S = 2.0  # the changes begin this long before the upgrade
BEHIND_S = 0.8  # and end this long after SIGTERM
KEY_GAP_S = (0.44, 1.0)  # between two documents of one key: the site's 0.44 to 1.7
CLUMP = 40  # documents of other keys, for one destination: about what it takes in 3 s
ASKED_EVERY_S = 0.5  # how often the platform asks the new process whether it is ready
WORK_S = 0.35  # of one call: the site's 210 to 370 ms
SLACK_S = 0.05  # every time limit is longer by this on sockets
EXPIRY_MS = 20000
SETTINGS = {
    "nInstances": 30,
    "registryMode": "pushed",
    "hostTypes": ["partner"],
    "domain": {"callsOut": 16, "losesWorth": "linear", "perCall": [1], "routesApart": [False]},
    "limits": {
        "connIdleMs": 15000,
        "dialTimeoutMs": 1500,
        "maxOpen": 200,
        "maxRetryAfterMs": 3000,
        "retryAfter": True,
        "sendCap": 12,
        "streamsPerConn": 1,
        "cancel": True,
    },
    "rules": {
        "answerSlackMs": 20,
        "coldFrom": 0.31,
        "warmUpMs": 10000,
        "drainGraceMs": 500,
        "settleAfterDoubtMs": 300,
    },
    "services": [
        {
            "name": "shift-change",
            "effect": "keyed",
            "group": "all",
            "windowMs": 20000,
            "oneAtATime": True,
            "objectiveMs": 3000,
            "deadlineMs": EXPIRY_MS,
            "importance": 1,
            "lateShare": 0.3,
        }
    ],
}


def stale(clients: Clients, calls: list[Call], notices: dict[str, float]) -> list[str]:
    """Keys that end at the partner with another change than the last one that was taken on."""
    last: dict[str, tuple[float, str]] = {}
    for call in calls:
        key = clients.handed[call.doc].key
        if call.delivered_at is not None:
            last[key] = max(last.get(key, (0.0, "")), (call.delivered_at, call.doc))
    found = []
    for key, (at, doc) in last.items():
        mine = [each for each in clients.handed.values() if each.key == key and each.taken_at is not None]
        newest = max(mine, key=lambda each: each.sent_at)
        if newest.doc != doc and newest.doc not in notices:
            found.append(f"{key} ends with {doc}, applied at {at:.3f}, not with {newest.doc}")
    return found


async def key_client(clients: Clients, key: str, destination: int, stop: asyncio.Event) -> None:
    """One employee's changes: the next is handed in only after the answer to the one before."""
    number = 0
    while not stop.is_set():
        number += 1
        await clients.hand_in(f"{key}.{number}", "shift-change", destination, EXPIRY_MS, key)
        await asyncio.sleep(random.uniform(*KEY_GAP_S))


def inversions(clients: Clients, calls: list[Call], notices: dict[str, float], starts: list[float]) -> list:
    """Pairs of one key of which the one taken later was sent while the earlier one was not over.

    Only those count whose earlier one was taken after the newer of the two processes had been started, whose
    order their client knows by the answers, and of which the earlier one was sent for the first time after
    the later one.
    """
    first: dict[str, float] = {}
    for call in calls:
        first[call.doc] = min(call.at, first.get(call.doc, call.at))
    by_key: dict[str, list] = {}
    for each in clients.handed.values():
        if each.taken_at is not None and each.doc in first:
            by_key.setdefault(each.key, []).append(each)
    found = []
    for taken in by_key.values():
        taken.sort(key=lambda each: each.taken_at)
        for at, later in enumerate(taken):
            for earlier in taken[:at]:
                start = max((each for each in starts if each < later.taken_at), default=0.0)
                over_by_notice = notices.get(earlier.doc, float("inf")) <= first[later.doc]
                if (
                    earlier.taken_at > start
                    and earlier.taken_at < later.sent_at
                    and first[later.doc] + SLACK_S < first[earlier.doc]
                    and not over_by_notice
                ):
                    found.append((earlier, later, first[earlier.doc], first[later.doc]))
    return found


async def case(record: Record, work: Path, processes: list[SenderProcess]) -> list[str]:
    """Replaces the process several times under traffic; returns how the order was broken."""
    calls: list[Call] = []
    endpoints = [Endpoint(record, f"s-{number}", number, after(WORK_S), calls) for number in (1, 2, 3)]
    for each in endpoints:
        await each.start()
    platform = Platform(record)
    await platform.start(endpoints)
    listen = free_address()
    clients = Clients(record, listen)

    def process(number: int) -> SenderProcess:
        ops = free_address()
        made = SenderProcess(
            record, f"p{number}", work, configuration(work, listen, platform, SETTINGS, ops), ops
        )
        processes.append(made)
        return made

    old = process(0)
    starts = [await old.start()]
    await old.ready()
    for upgrade in range(1, UPGRADES + 1):
        stop = asyncio.Event()
        tasks = [
            asyncio.create_task(key_client(clients, f"employee-{upgrade}.{number}", 1 + number % 3, stop))
            for number in range(KEYS)
        ]
        await asyncio.sleep(AHEAD_S)
        clump = [
            asyncio.create_task(
                clients.hand_in(f"c{upgrade}.{number}", "shift-change", 1, EXPIRY_MS, f"k{upgrade}.{number}")
            )
            for number in range(CLUMP)
        ]
        if TROUBLE:
            new = process(upgrade)
            starts.append(await new.start())
            await new.ready(within_s=6.0, every_s=ASKED_EVERY_S)
            old.signal(signal.SIGTERM)
            ended = asyncio.create_task(old.ended(3.7))
            await asyncio.sleep(BEHIND_S)
            stop.set()
            await ended
            old = new
        else:
            await asyncio.sleep(ASKED_EVERY_S + BEHIND_S)
            stop.set()
        await asyncio.gather(*clump, *tasks)
        await asyncio.sleep(6.0)
    await asyncio.sleep(6.0)
    clients.close()
    taken = [each for each in clients.handed.values() if each.taken_at is not None]
    if len(taken) < 100 or len({call.doc for call in calls}) < 0.8 * len(taken):
        raise NotRunError(f"{len(taken)} documents taken on, {len(calls)} calls")
    for each in stale(clients, calls, platform.notices):
        record.note("stale at the end", what=each)
        print(each)
    found = inversions(clients, calls, platform.notices, starts)
    return [
        f"key {later.key}: {earlier.doc} taken at {earlier.taken_at:.3f}, first sent at {earlier_at:.3f}; "
        f"{later.doc} taken at {later.taken_at:.3f}, sent at {later_at:.3f}"
        for earlier, later, earlier_at, later_at in found
    ]


if __name__ == "__main__":
    run(case, FOLDER)
