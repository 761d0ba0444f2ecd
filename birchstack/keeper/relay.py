"""Relays signals between senders: merges those in each answer and sends them on in the next questions.

Owns what was delivered to each sender and what was received from it. Must not open a socket, read a clock or
make decisions about an endpoint. Only senders that offer signals are asked for them. Times are steady-clock
milliseconds.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

from birchstack.fleet import wire
from birchstack.net.log import say
from birchstack.signals import model
from birchstack.signals.board import START, Board
from birchstack.signals.echo import MOST_DELAY_MS
from birchstack.signals.model import Question, Sequences, SignalBatch

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Reader:
    """Relay state of one sender process.

    life: identifier of the process, new with each start.
    clock_ms, came_ms: the sender's steady clock in its last answer, and when that answer arrived here.
    taken: the last sequences received from it.
    told: the sequences up to which evidence was delivered to it.
    asked: the same for the evidence of the question in flight.
    """

    life: str
    clock_ms: float = 0.0
    came_ms: float = 0.0
    taken: Sequences = START
    told: Sequences = START
    asked: Sequences = START


class Relay:
    """Exchanges signals with all senders of one collector."""

    def __init__(self, room: int) -> None:
        """room: maximum size in bytes of the evidence in one question."""
        self._max_evidence_bytes = room
        self.board = Board()
        self._senders: dict[str, Reader] = {}
        self.counts = {"signals": 0, "signals_refused": 0}

    def question(self, door: str, now_ms: float) -> bytes | None:
        """Returns the encoded question for an address; None where the sender does not take part."""
        state = self._senders.get(door)
        if state is None:
            return None
        evidence, state.asked = self.board.news(state.told, now_ms, self._max_evidence_bytes)
        return model.encode(
            Question(model.VERSION, state.taken, state.life, state.clock_ms, now_ms - state.came_ms, evidence)
        )

    def answered(self, door: str, sender: str, piece: wire.Piece, asked_ms: float, now_ms: float) -> None:
        """Merges the signals of an answer.

        sender: the configured owner of the address; an answer under another name is ignored. Signals that
        were too long in transit or cannot be decoded are not acknowledged, so the sender repeats them.
        """
        if piece.name != sender or not piece.signals:
            self._senders.pop(door, None)
            return
        state = self._senders.get(door)
        if state is None or state.life != piece.process:
            state = self._senders[door] = Reader(piece.process)
        state.clock_ms = piece.steady_ms
        state.came_ms = now_ms
        if now_ms - asked_ms > MOST_DELAY_MS:
            return
        try:
            batch = model.decode_batch(piece.signals)
        except model.SignalError as problem:
            self.counts["signals_refused"] += 1
            if self.counts["signals_refused"] == 1:
                say(log, "signals not readable", logging.WARNING, sender=sender, problem=problem)
            return
        if batch.heard:
            state.told = state.asked
        self.counts["signals"] += self.board.merge(sender, batch, now_ms)
        state.taken = _latest(state.taken, batch)


def _latest(before: Sequences, batch: SignalBatch) -> Sequences:
    """Returns the highest sequence received of each kind."""
    last = [*before]
    for signal in batch.signals:
        last[signal.kind - 1] = max(last[signal.kind - 1], signal.sequence)
    return tuple(last)
