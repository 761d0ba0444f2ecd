"""Relays signals between senders: merges those in each answer and sends them on in the next questions.

Owns what was delivered to each sender and what was received from it. Must not open a socket, read a clock or
make decisions about an endpoint. Only senders that offer signals are asked for them. Times are steady-clock
milliseconds.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

from birchstack.fleet import wire
from birchstack.net.log import log_event
from birchstack.signals import model
from birchstack.signals.board import START_CURSOR, SignalTable
from birchstack.signals.echo import MAX_TRANSIT_DELAY_MS
from birchstack.signals.model import Cursor, SignalBatch, SignalRequest

log = logging.getLogger(__name__)


@dataclass(slots=True)
class SenderState:
    """Relay state of one sender process.

    process: identifier of the process, new with each start.
    sender_clock_ms: the sender's steady clock in its last answer.
    answered_ms: when that answer arrived, by the steady clock of this process.
    received: the last sequences received from it.
    delivered: the sequences up to which evidence was delivered to it.
    pending: the same for the evidence of the question in flight.
    """

    process: str
    sender_clock_ms: float = 0.0
    answered_ms: float = 0.0
    received: Cursor = START_CURSOR
    delivered: Cursor = START_CURSOR
    pending: Cursor = START_CURSOR


class Relay:
    """Exchanges signals with all senders of one collector."""

    def __init__(self, max_evidence_bytes: int) -> None:
        """max_evidence_bytes: maximum size in bytes of the evidence in one question."""
        self._max_evidence_bytes = max_evidence_bytes
        self.board = SignalTable()
        self._senders: dict[str, SenderState] = {}
        self.counts = {"signals": 0, "signals_refused": 0}

    def question(self, address: str, now_ms: float) -> bytes | None:
        """Returns the encoded question for an address; None where the sender does not take part."""
        state = self._senders.get(address)
        if state is None:
            return None
        evidence, state.pending = self.board.changes_since(state.delivered, now_ms, self._max_evidence_bytes)
        return model.encode(
            SignalRequest(
                model.PROTOCOL_VERSION,
                state.received,
                state.process,
                state.sender_clock_ms,
                now_ms - state.answered_ms,
                evidence,
            )
        )

    def handle_answer(
        self, address: str, sender: str, answer: wire.TrailResponse, asked_ms: float, now_ms: float
    ) -> None:
        """Merges the signals of an answer.

        sender: the configured owner of the address; an answer under another name is ignored. Signals that
        were too long in transit or cannot be decoded are not acknowledged, so the sender repeats them.
        """
        if answer.name != sender or not answer.signals:
            self._senders.pop(address, None)
            return
        state = self._senders.get(address)
        if state is None or state.process != answer.process:
            state = self._senders[address] = SenderState(answer.process)
        state.sender_clock_ms = answer.steady_ms
        state.answered_ms = now_ms
        if now_ms - asked_ms > MAX_TRANSIT_DELAY_MS:
            return
        try:
            batch = model.decode_batch(answer.signals)
        except model.SignalError as problem:
            self.counts["signals_refused"] += 1
            if self.counts["signals_refused"] == 1:
                log_event(log, "signals not readable", logging.WARNING, sender=sender, problem=problem)
            return
        if batch.request_accepted:
            state.delivered = state.pending
        self.counts["signals"] += self.board.merge(sender, batch, now_ms)
        state.received = _latest(state.received, batch)


def _latest(before: Cursor, batch: SignalBatch) -> Cursor:
    """Returns the highest sequence received of each kind."""
    last = [*before]
    for signal in batch.signals:
        last[signal.kind - 1] = max(last[signal.kind - 1], signal.sequence)
    return tuple(last)
