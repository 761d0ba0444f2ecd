"""Soak runs: real senders under drawn faults on their links and processes, judged by the delivery rules.

A run is drawn from its seed: the faults, their times and the traffic. The rules are judged from what clients,
endpoints and the list service saw (rules.py).
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from birchstack.emulator.rig import shim
from birchstack.emulator.rig.clients import PersistentClients
from birchstack.emulator.rig.links import BACK, BOTH, Link
from birchstack.emulator.rig.parties import Clients
from birchstack.emulator.rig.processes import shell
from birchstack.emulator.rig.real import Rig
from birchstack.emulator.rig.rules import Violation, violations

ONCE = ("pay",)  # document types that must not be executed twice
SENDERS = 3
ENDPOINTS = 4
DESTINATIONS = 2
TRAFFIC_S = 6.0
EXPIRY_MS = 2500
SETTLE_S = EXPIRY_MS / 1000.0 + 1.0  # after the traffic, with all faults ended
MAX_FAULTS = 5  # faults in a run
RESTART_AFTER_S = 0.6
SIGKILL_AFTER_S = 3.7  # after SIGTERM
CALL_FAULTS = ("accept", "connect", "short", "broken", "folder", "clock")  # of shim.py
SHIMMED_SHARE = 0.6  # of the runs
PERSISTENT_SHARE = 0.7  # of the runs: clients keep their connections
BREAKING_FAULTS = ("SIGTERM", "SIGKILL", "broken")  # a client's connection may end with its process, or break


@dataclass
class SoakRun:
    """What a run drew, and what came of it."""

    seed: int
    faults: list[str] = field(default_factory=list)
    found: list[Violation] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)  # processes that ended by themselves, logged faults
    figures: Counter = field(default_factory=Counter)

    @property
    def connections_last(self) -> bool:
        """Whether no fault of the run may end a client's connection without an answer."""
        return not any(word in fault for fault in self.faults for word in BREAKING_FAULTS)

    @property
    def failed(self) -> bool:
        """Whether a rule was broken or a process failed."""
        return bool(self.found or self.problems)


class FaultInjector:
    """Draws the faults of a run and injects each at its time."""

    def __init__(self, rig: Rig, run: SoakRun) -> None:
        self._rig = rig
        self._run = run
        self._chance = random.Random(f"soak {run.seed}")
        self._signals = {name: asyncio.Lock() for name in rig.senders}  # one fault by signals at a time
        self._kinds = {
            "copied answers": self._copy_answers,
            "copied lists": self._copy_lists,
            "copied requests": self._copy_requests,
            "spoilt answers": self._spoil_answers,
            "answers cut short": self._cut_answers_short,
            "silent list": self._silence_list,
            "endpoint resets": self._reset_endpoints,
            "list resets": self._reset_lists,
            "delay": self._delay,
            "slow link": self._slow,
            "refused connections": self._refuse,
        }
        self._signal_kinds = {
            "paused process": self._pause,
            "SIGHUP": self._reload,
            "SIGTERM": self._terminate,
            "SIGKILL": self._kill,
            "SIGKILL after SIGTERM": self._terminate_then_kill,
        }

    async def inject(self) -> None:
        """Injects the faults of the run; returns when all have ended."""
        kinds = [*self._kinds, *self._signal_kinds]
        if isinstance(self._rig.clients, PersistentClients):  # they could not tell whose the second answer is
            kinds.remove("copied requests")
        chosen = self._chance.sample(kinds, self._chance.randint(1, MAX_FAULTS))
        victims = self._rig.senders[:]
        self._chance.shuffle(victims)
        await asyncio.gather(
            *(self._inject_one(kind, victims[index % len(victims)]) for index, kind in enumerate(chosen))
        )

    async def _inject_one(self, kind: str, sender: str) -> None:
        at_s = self._chance.uniform(0.2, TRAFFIC_S * 0.6)
        for_s = self._chance.uniform(0.3, 2.0)
        self._run.faults.append(f"{kind} at {sender}, {at_s:.1f} s")
        await asyncio.sleep(at_s)
        if kind in self._kinds:
            await self._kinds[kind](sender, for_s)
            return
        async with self._signals[sender]:
            await self._signal_kinds[kind](sender, for_s)

    def _endpoint_links(self, sender: str) -> list[Link]:
        return [self._rig.link(sender, uid) for uid in self._rig.uids]

    async def _open_after(self, links: list[Link], seconds: float) -> None:
        await asyncio.sleep(seconds)
        for link in links:
            link.open()

    async def _copy(self, links: list[Link], way: str, seconds: float) -> None:
        latest_ms = self._chance.choice((5.0, 50.0, 200.0))
        share = self._chance.uniform(0.1, 0.6)

        def draw() -> float | None:
            return self._chance.uniform(0.0, latest_ms) if self._chance.random() < share else None

        for link in links:
            link.copy(draw, way)
        await self._open_after(links, seconds)

    async def _copy_answers(self, sender: str, seconds: float) -> None:
        await self._copy(self._endpoint_links(sender), BACK, seconds)

    async def _copy_lists(self, sender: str, seconds: float) -> None:
        await self._copy([self._rig.link(sender, "list")], BACK, seconds)

    async def _copy_requests(self, sender: str, seconds: float) -> None:
        await self._copy([self._rig.link("clients", sender)], "there", seconds)

    async def _alter(
        self, sender: str, seconds: float, change: Callable[[bytes], tuple[bytes, bool]]
    ) -> None:
        share = self._chance.uniform(0.1, 0.5)

        def alter(data: bytes) -> tuple[bytes, bool]:
            return change(data) if self._chance.random() < share else (data, False)

        links = self._endpoint_links(sender)
        for link in links:
            link.alter(alter)
        await self._open_after(links, seconds)

    async def _spoil_answers(self, sender: str, seconds: float) -> None:
        await self._alter(sender, seconds, lambda data: (b"\x90" + data[1:], False))

    async def _cut_answers_short(self, sender: str, seconds: float) -> None:
        await self._alter(sender, seconds, lambda data: (data[: self._chance.randrange(len(data))], True))

    async def _silence_list(self, sender: str, seconds: float) -> None:
        link = self._rig.link(sender, "list")
        link.cut()
        await self._open_after([link], min(seconds, 1.0))

    async def _reset(self, links: list[Link], seconds: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            self._chance.choice(links).reset()
            await asyncio.sleep(self._chance.uniform(0.02, 0.3))

    async def _reset_endpoints(self, sender: str, seconds: float) -> None:
        await self._reset(self._endpoint_links(sender), seconds)

    async def _reset_lists(self, sender: str, seconds: float) -> None:
        await self._reset([self._rig.link(sender, "list")], seconds)

    async def _delay(self, sender: str, seconds: float) -> None:
        links = self._endpoint_links(sender)
        for link in links:
            link.delay(self._chance.uniform(5.0, 80.0), BOTH)
        await self._open_after(links, seconds)

    async def _slow(self, sender: str, seconds: float) -> None:
        links = [*self._endpoint_links(sender), self._rig.link(sender, "list")]
        for link in links:
            link.slow(self._chance.uniform(2000.0, 20000.0))
        await self._open_after(links, seconds)

    async def _refuse(self, sender: str, seconds: float) -> None:
        links = self._chance.sample(self._endpoint_links(sender), 2)
        for link in links:
            link.refuse()
        await self._open_after(links, seconds)

    async def _pause(self, sender: str, seconds: float) -> None:
        self._rig[sender].stop()
        await asyncio.sleep(min(seconds, 0.3))
        self._rig[sender].go()

    async def _reload(self, sender: str, seconds: float) -> None:
        for _ in range(3):
            self._rig[sender].signal(signal.SIGHUP)
            await asyncio.sleep(seconds / 3.0)

    async def _terminate(self, sender: str, seconds: float) -> None:
        status = await self._rig[sender].term()
        if status:
            self._run.problems.append(f"{sender} ended with {status} after SIGTERM")
        await self._restart(sender)

    async def _kill(self, sender: str, seconds: float) -> None:
        await self._rig[sender].kill()
        await self._restart(sender)

    async def _terminate_then_kill(self, sender: str, seconds: float) -> None:
        self._rig[sender].signal(signal.SIGTERM)
        await asyncio.sleep(SIGKILL_AFTER_S if self._chance.random() < 0.5 else seconds)
        await self._rig[sender].kill()
        await self._restart(sender)

    async def _restart(self, sender: str) -> None:
        await asyncio.sleep(RESTART_AFTER_S)
        await self._rig[sender].start()
        self._run.figures["restarts"] += 1


async def _submit(rig: Rig, chance: random.Random, per_second: float) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + TRAFFIC_S
    number = 0
    while loop.time() < end:
        number += 1
        kind = "pay" if chance.random() < 0.3 else "sync"
        destination = chance.randint(1, DESTINATIONS)
        rig.clients.hand_in(chance.choice(rig.senders), f"d{number:05d}", destination, kind, EXPIRY_MS)
        await asyncio.sleep(1.0 / per_second)


def _draw_command(chance: random.Random, run: SoakRun) -> str | None:
    """Returns the command of senders whose system calls fail, or None for the usual one."""
    if chance.random() >= SHIMMED_SHARE:
        return None
    names = chance.sample(CALL_FAULTS, chance.randint(1, 2))
    run.faults.append(f"failing calls: {', '.join(names)}")
    given = f"{shim.VARIABLE}={','.join([str(run.seed), *names])}"
    return shell("env", given, sys.executable, "-m", shim.__name__)


async def _play(folder: Path, run: SoakRun) -> None:
    chance = random.Random(f"soak traffic {run.seed}")
    command = _draw_command(random.Random(f"soak calls {run.seed}"), run)
    parties = {"senders": SENDERS, "keepers": 0, "endpoints": ENDPOINTS, "destinations": DESTINATIONS}
    clients = PersistentClients if chance.random() < PERSISTENT_SHARE else Clients
    async with Rig(folder, **parties, fleet=None, run=command, seed=run.seed, clients=clients) as rig:
        rig.endpoints.busy_share = chance.choice((0.0, 0.02))
        rig.endpoints.flaky = {uid: chance.choice((0.0, 0.04)) for uid in rig.uids}
        rig.endpoints.answer_ms = chance.uniform(5.0, 40.0)
        rig.endpoints.spread_ms = chance.uniform(0.0, 60.0)
        per_second = chance.choice((60.0, 120.0, 240.0))
        await asyncio.gather(_submit(rig, chance, per_second), FaultInjector(rig, run).inject())
        await asyncio.sleep(SETTLE_S)
        run.found = violations(rig.clients, rig.endpoints, rig.list, ONCE)
        if run.connections_last:
            silent = [each.doc for each in rig.clients.handed.values() if each.status <= 0]
            run.problems += [f"{doc} got no answer" for doc in silent]
        for name in rig.senders:
            if not rig[name].runs:
                run.problems.append(f"{name} does not run at the end")
            if "Traceback" in rig[name].text() or "does not hold" in rig[name].text():
                run.problems.append(f"{name} logged a fault, see {rig[name].log}")
        run.figures["documents"] = len(rig.clients.handed)
        if isinstance(rig.clients, PersistentClients):
            run.figures["documents on persistent connections"] = len(rig.clients.handed)
            run.figures["persistent connections"] = rig.clients.opened
        run.figures["accepted"] = len(rig.clients.taken())
        run.figures["calls"] = len(rig.endpoints.calls)
        run.figures["notices"] = len(rig.list.notices)
        run.figures["copies"] = sum(
            each.copies for link in rig.links_of() for each in (link.there, link.back)
        )


def soak(seed: int, folder: Path) -> SoakRun:
    """Plays the run of a seed in an empty folder."""
    run = SoakRun(seed)
    asyncio.run(_play(folder, run))
    return run
