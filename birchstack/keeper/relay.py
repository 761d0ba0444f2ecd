"""Passes the senders' signals on: what each answer brings is merged, the next question takes the rest along.

Owns what each door was told and what was taken there. Must never open a socket, read a clock or decide about
an endpoint. Only doors that offer signals are asked for them. Times are steady, in milliseconds.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass

from birchstack.fleet import wire
from birchstack.net.log import say
from birchstack.signals import model
from birchstack.signals.board import START_CURSOR, SignalTable
from birchstack.signals.echo import MAX_TRANSIT_DELAY_MS
from birchstack.signals.model import Cursor, SignalBatch, SignalRequest

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Reader:
    """One process behind a door. told: the news that it was told of; asked: those under way to it."""

    life: str
    clock_ms: float = 0.0
    came_ms: float = 0.0
    taken: Cursor = START_CURSOR
    told: Cursor = START_CURSOR
    asked: Cursor = START_CURSOR


class Relay:
    """room: bytes of evidence in one question."""

    def __init__(self, room: int) -> None:
        self._room = room
        self.board = SignalTable()
        self._readers: dict[str, Reader] = {}
        self.counts = {"signals": 0, "signals_refused": 0}

    def question(self, door: str, now_ms: float) -> bytes | None:
        """What to ask a door with; None where it takes no part."""
        reader = self._readers.get(door)
        if reader is None:
            return None
        evidence, reader.asked = self.board.changes_since(reader.told, now_ms, self._room)
        return model.encode(
            SignalRequest(
                model.PROTOCOL_VERSION,
                reader.taken,
                reader.life,
                reader.clock_ms,
                now_ms - reader.came_ms,
                evidence,
            )
        )

    def answered(
        self, door: str, sender: str, piece: wire.TrailResponse, asked_ms: float, now_ms: float
    ) -> None:
        """sender: whom the door belongs to. What was long on its way, or not readable, is asked for again."""
        if piece.name != sender or not piece.signals:
            self._readers.pop(door, None)
            return
        reader = self._readers.get(door)
        if reader is None or reader.life != piece.process:
            reader = self._readers[door] = Reader(piece.process)
        reader.clock_ms, reader.came_ms = piece.steady_ms, now_ms
        if now_ms - asked_ms > MAX_TRANSIT_DELAY_MS:
            return
        try:
            batch = model.decode_batch(piece.signals)
        except model.SignalError as problem:
            self.counts["signals_refused"] += 1
            if self.counts["signals_refused"] == 1:
                say(log, "signals not readable", logging.WARNING, sender=sender, problem=problem)
            return
        if batch.request_accepted:
            reader.told = reader.asked
        self.counts["signals"] += self.board.merge(sender, batch, now_ms)
        reader.taken = _taken(reader.taken, batch)


def _taken(before: Cursor, batch: SignalBatch) -> Cursor:
    """The last sequence of each kind that was had."""
    last = [*before]
    for signal in batch.signals:
        last[signal.kind - 1] = max(last[signal.kind - 1], signal.sequence)
    return tuple(last)
