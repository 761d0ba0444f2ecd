"""What signals cost while many destinations are down: 550 senders, two keepers, an ask a second.

x: destinations down. Each is tried TRIALS times a second by all senders together, as the decisions share it
(slope `signals`), and a part of them changes every CHANGE_S: some come back, as many others go down. Senders'
outboxes, keepers' boards and the bytes between them are as they ship; sockets, processes and decisions are
not in it. Processor time is this process's own, of each part alone.
"""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from birchstack.fleet.settings import SignalSettings
from birchstack.fleet.signalling import SignalParticipant
from birchstack.fleet.wire import TrailResponse
from birchstack.interface import SignalKind
from birchstack.keeper.config import PollConfig
from birchstack.keeper.relay import Relay

NAME, SENDERS, KEEPERS = "signals-down", 550, 2
POINTS, SMALL = (200, 800, 1692), (20, 40, 80)
SECONDS, TRIALS, CHANGE_S, CHANGED = 40, 2.0, 5, 30  # 30 of all every 5 s: six a second
FIGURES = {
    "bytes": "bytes a second of a sender, both ways, all keepers",
    "longest exchange": "bytes",
    "sender: CPU": "cores",
    "keeper: CPU": "cores of each keeper",
    "reports": "a second to a sender",
}


@dataclass
class Spent:
    """What the exchanges took."""

    bytes: int = 0
    longest: int = 0
    sender_s: float = 0.0
    keeper_s: float = 0.0
    reports: int = 0


class Fleet:
    """Senders that only observe, and the keepers that ask them in turn."""

    def __init__(self, down: int) -> None:
        self.now_ms, self.spent, self._down = 0.0, Spent(), down
        self._chance = random.Random(f"signals down {down}")
        self._senders = [
            SignalParticipant(SignalSettings(), f"{number:016x}", lambda: self.now_ms, self._reported)
            for number in range(SENDERS)
        ]
        for each in self._senders:
            each.start()
        self._relays = [Relay(PollConfig().signal_bytes) for _ in range(KEEPERS)]

    def _reported(self, reports: list) -> None:
        self.spent.reports += len(reports)

    def play(self) -> Spent:
        for second in range(SECONDS):
            first = second // CHANGE_S * CHANGED
            for number in range(SENDERS):
                self.now_ms += 1000.0 / SENDERS
                self._trials(first)
                for relay in self._relays:
                    self._exchange(relay, number)
        return self.spent

    def _trials(self, first: int) -> None:
        """Calls to those that are down, each made by some sender, for one step of time."""
        wanted = TRIALS * self._down / SENDERS
        for _ in range(int(wanted) + (self._chance.random() < wanted % 1.0)):
            endpoint = f"s-5be2{first + self._chance.randrange(self._down):05d}"
            self._chance.choice(self._senders).record_observation(endpoint, SignalKind.FAILED, 0.0)

    def _exchange(self, relay: Relay, number: int) -> None:
        spent, name = self.spent, f"n{number}"
        began = time.process_time()
        question = relay.question(name, self.now_ms) or b""
        asked = time.process_time()
        signals = self._senders[number].respond(question)
        answered = time.process_time()
        piece = TrailResponse(
            name=name, process=f"{number:016x}", boot="", wall_ms=0.0, steady_ms=self.now_ms, signals=signals
        )
        relay.handle_answer(name, name, piece, self.now_ms, self.now_ms)
        ended = time.process_time()
        spent.keeper_s += asked - began + ended - answered
        spent.sender_s += answered - asked
        spent.bytes += len(question) + len(signals)
        spent.longest = max(spent.longest, len(question) + len(signals))


def point(down: int) -> dict[str, float]:
    spent = Fleet(down).play()
    return {
        "bytes": spent.bytes / SECONDS / SENDERS,
        "longest exchange": float(spent.longest),
        "sender: CPU": spent.sender_s / SECONDS / SENDERS,
        "keeper: CPU": spent.keeper_s / SECONDS / KEEPERS,
        "reports": spent.reports / SECONDS / SENDERS,
    }


def measure(points: tuple[int, ...]) -> list[tuple[float, dict[str, float]]]:
    return [(float(each), point(each)) for each in points]
