"""Drawn runs of a real sender beside crowds of hostile clients, with signals in series and the least limits.

By hand: PYTHONPATH=. python tests/hostile_soak.py --seeds 1-50 --jobs 4. Status 1 if a run failed."""

import argparse
import asyncio
import contextlib
import itertools
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import fake
from fake import OK_200, World, answer, post, read_message
from hostile import SENDING, STOPPING, TRICKLING

MEMORY_MB = 32
FIRST_PORT = 12000
PORTS = 16  # of a run
TRAFFIC_S = 6.0
EXPIRY_MS = 3000
SETTLE_S = EXPIRY_MS / 1000.0 + 1.5
ANSWER_S = 2.0
KILL_AFTER_S = 3.7  # after SIGTERM
RESTART_AFTER_S = 0.6
HOSTILE = Path(__file__).parent / "hostile.py"


class DrawnAnswers:
    """What the endpoint says, drawn.

    ran: how often each document may have run; delivered: those that were answered 200."""

    def __init__(self, world, chance):
        self._world, self._chance = world, chance
        self.ran, self.delivered = Counter(), set()

    def pop(self, at):
        doc, drawn = self._world.calls[-1][0], self._chance.random()
        if drawn < 0.05:
            return answer(503)
        self.ran[doc] += 1
        if drawn < 0.1:
            return answer(500)
        self.delivered.add(doc)
        return [b""] * self._chance.randrange(4) + [OK_200]


class Run:
    """One drawn run. problems: what broke a rule."""

    def __init__(self, seed, folder):
        self.seed, self._folder = seed, folder
        self._chance = random.Random(f"hostile {seed}")  # of limits and crowds
        self._signal_chance = random.Random(f"hostile signals {seed}")
        self._answer_chance = random.Random(f"hostile answers {seed}")
        self.drawn, self.problems, self.peak_mb = [], [], 0.0
        self.statuses = {}  # by document, 0 without an answer
        self._ends_connections = False  # a signal of the run ends clients' connections

    async def play(self):
        (self._folder / "state").mkdir()
        limits = {"memory_mb": MEMORY_MB, "sockets": self._chance.choice((256, 1024))}
        async with World(self._folder / "state", **limits) as self._world:
            world = self._world
            world.answers = self._answers = DrawnAnswers(world, self._answer_chance)
            watching = asyncio.create_task(self._watch_memory())
            clients = [self._usual_client(number) for number in range(4)]
            crowds = [self._crowd() for _ in range(self._chance.randint(1, 3))]
            await asyncio.gather(*clients, *crowds, self._signals())
            await asyncio.sleep(SETTLE_S)
            watching.cancel()
            self._judge()

    async def _watch_memory(self):
        while True:
            with contextlib.suppress(OSError, StopIteration):
                lines = Path(f"/proc/{self._world.process.pid}/status").read_text().splitlines()
                peak = next(line for line in lines if line.startswith("VmHWM:"))
                self.peak_mb = max(self.peak_mb, int(peak.split()[1]) / 1024.0)
            await asyncio.sleep(0.05)

    async def _usual_client(self, number):
        """Hands documents in one after the other, over a connection that it keeps while that is open."""
        end, connection = time.monotonic() + TRAFFIC_S, None
        for count in itertools.count():
            if time.monotonic() >= end:
                break
            doc = f"u{number}-{count}"
            request = post(doc, ("sync", "pay")[count % 2], left=EXPIRY_MS, body=b"x" * 50 * (count % 40))
            used = connection is not None
            self.statuses[doc], connection = await self._hand_in(request, connection)
            if not self.statuses[doc] and used:  # the end of the connection crossed the request
                self.statuses[doc], connection = await self._hand_in(request, None)
            await asyncio.sleep(0.04)

    async def _hand_in(self, request, connection):
        """Returns the status, 0 without an answer, and the connection if it stays open."""
        with contextlib.suppress(OSError):
            reader, writer = connection or await self._world.client()
            writer.write(request)
            try:
                message = await asyncio.wait_for(read_message(reader), ANSWER_S)
            except TimeoutError:
                self.problems.append(f"no answer in {ANSWER_S} s to {request[:60]}")
                message = None
            if message and "close" not in message[1].get("connection", ""):
                return int(message[0].split()[1]), (reader, writer)
            writer.transport.abort()
            return int(message[0].split()[1]) if message else 0, None
        return 0, None

    async def _crowd(self):
        kind = self._chance.choice([*STOPPING, *TRICKLING, *SENDING])
        count = self._chance.randint(1, 8) if kind in SENDING else self._chance.randint(50, 450)
        begins, lasts = self._chance.uniform(0.0, 3.0), self._chance.uniform(1.0, 4.0)
        self.drawn.append(f"{count} {kind} from {begins:.1f} s for {lasts:.1f} s")
        await asyncio.sleep(begins)
        command = [sys.executable, HOSTILE, kind, str(self._world.port), str(count), str(lasts)]
        root = str(HOSTILE.parents[1])
        crowd = await asyncio.create_subprocess_exec(*command, env={"PYTHONPATH": root})
        await crowd.wait()

    async def _signals(self):
        ways = {"SIGHUP": self._reload, "SIGSTOP": self._pause, "SIGKILL": self._kill}
        ways |= {"SIGTERM": self._terminate, "upgrade": self._upgrade}
        for _ in range(self._signal_chance.randint(0, 3)):
            await asyncio.sleep(self._signal_chance.uniform(0.3, 2.0))
            way = self._signal_chance.choice([*ways])
            self.drawn.append(way)
            self._ends_connections |= way in ("SIGKILL", "SIGTERM", "upgrade")
            if self._world.process.returncode is not None:
                self.problems.append(f"ended by itself with {self._world.process.returncode}")
            await ways[way]()

    async def _reload(self):
        self._world.process.send_signal(signal.SIGHUP)

    async def _pause(self):
        self._world.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.3)
        self._world.process.send_signal(signal.SIGCONT)

    async def _kill(self):
        await self._world.kill(signal.SIGKILL)
        await asyncio.sleep(RESTART_AFTER_S)
        await self._world.start()

    async def _end(self, process):
        process.send_signal(signal.SIGTERM)
        try:
            if await asyncio.wait_for(process.wait(), KILL_AFTER_S):
                self.problems.append(f"ended with {process.returncode} after SIGTERM")
        except TimeoutError:
            self.problems.append(f"had not ended {KILL_AFTER_S} s after SIGTERM")
            process.kill()

    async def _terminate(self):
        await self._end(self._world.process)
        await asyncio.sleep(RESTART_AFTER_S)
        await self._world.start()

    async def _upgrade(self):
        new, _ = await self._world.beside()
        old, self._world.process = self._world.process, new
        await self._end(old)

    def _judge(self):
        accepted = {doc for doc, status in self.statuses.items() if status == 202}
        noticed = {notice["ref"] for notice in self._world.notices}
        if self._world.process.returncode is not None:
            self.problems.append(f"ended by itself with {self._world.process.returncode}")
        if self.peak_mb >= MEMORY_MB:
            self.problems.append(f"peak memory {self.peak_mb:.1f} MB")
        lost = accepted - self._answers.delivered - noticed
        self.problems += [f"{doc} was lost" for doc in sorted(lost)]
        twice = [doc for doc, _, fields in self._world.calls if self._answers.ran[doc] > 1]
        binding = {doc for doc in twice if doc in self.statuses and int(doc.split("-")[1]) % 2}
        self.problems += [f"{doc} may have run {self._answers.ran[doc]} times" for doc in sorted(binding)]
        if not self._ends_connections:
            unanswered = [doc for doc, status in self.statuses.items() if not status]
            self.problems += [f"{doc} got no answer" for doc in unanswered]
        for word in ("trace=", "does not hold"):
            if word in self._world.log():
                self.problems.append(f"{word} in {self._world.folder}.log")

    def __str__(self):
        statuses = dict(sorted(Counter(self.statuses.values()).items()))
        result = "FAILED" if self.problems else "passed"
        drawn = "; ".join(self.drawn)
        return f"seed {self.seed}: {result}; peak {self.peak_mb:.1f} MB; answers {statuses}; {drawn}"


def play(seed):
    run = Run(seed, Path(tempfile.mkdtemp(prefix=f"hostile-{seed}-")))
    asyncio.run(run.play())
    return seed, str(run), run.problems


def play_beside_others(seed):
    ports = itertools.count(FIRST_PORT + seed * PORTS)  # runs beside each other must not share any
    fake.free_port.__defaults__ = (ports,)
    return play(seed)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-50", help="first and last seed, as in 1-50")
    parser.add_argument("--jobs", type=int, default=4, help="runs at once")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = []
    with ProcessPoolExecutor(options.jobs) as pool:
        for seed, text, problems in pool.map(play_beside_others, range(int(first), int(last or first) + 1)):
            print("\n    ".join([text, *problems[:8]]), flush=True)
            failed += [seed] if problems else []
    print(f"failed seeds: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
