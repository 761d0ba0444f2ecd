"""Endpoints that were away and how far they have come back, as lines of the ledger that outlast the process.

Owns the newest record of each such endpoint and the form of its line. Must never decide what follows from a
record. Bounded: where there are too many, the one that changed longest ago goes. Times are milliseconds of
the clock that outlasts the process (machine.LastingClock).
"""

from __future__ import annotations

import contextlib
import json
import re
from collections.abc import Iterator
from dataclasses import dataclass, replace

from birchstack.interface import Recovery, RecoveryStage

MOST = 16384  # endpoints
LINE = 128  # room kept on disk for one of them
PART = 8  # all of them may take such a part of the folder's room
STAGES = frozenset(RecoveryStage)
CUT_LINE = re.compile(rb'\["(down|warming)",("(?:[^"\\]|\\.)+")')  # stage and endpoint; the rest is spoilt


@dataclass(frozen=True, slots=True)
class Record:
    """since: when the stage began, None where that could not be read; documents, span_ms: as in Recovery."""

    stage: RecoveryStage
    since: float | None
    documents: int = 0
    span_ms: float = 0.0


class Recoveries:
    """The newest record of each endpoint that is down or warming up; one that is warm has none."""

    def __init__(self, room: int) -> None:
        """room: bytes that the folder may hold."""
        self._most = max(1, min(MOST, room // PART // LINE))
        self._records: dict[str, Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[str]:
        """The names of the endpoints, the one that changed longest ago first."""
        return iter(self._records)

    def keep(self, now: float, recovery: Recovery) -> list:
        """Takes over what the decisions know now. Returns the words of its line."""
        record = Record(recovery.stage, now - recovery.age_ms, recovery.documents, recovery.span_ms)
        self._set(recovery.endpoint, record)
        return self._words(recovery.endpoint, record)

    def replay(self, stage: str, endpoint: str, since: float | None, documents: int, span_ms: float) -> None:
        """A line as it was read."""
        since = None if since is None else float(since)
        self._set(endpoint, Record(RecoveryStage(stage), since, int(documents), float(span_ms)))

    def replay_cut(self, line: bytes) -> None:
        """A line that is torn or spoilt: where its stage and endpoint can still be read, they count, and the
        time does not. Guards against a cold endpoint taken for warm; the worst is a ramp too many."""
        if (found := CUT_LINE.search(line)) is None:
            return
        with contextlib.suppress(ValueError):  # not even its name is whole
            endpoint = json.loads(found[2])
            self._set(endpoint, Record(RecoveryStage(found[1].decode()), None))

    def of(self, now: float, endpoint: str) -> Recovery | None:
        """What is known of an endpoint. A time that cannot be is as good as none: just now."""
        if (record := self._records.get(endpoint)) is None:
            return None
        age_ms = 0.0 if record.since is None else max(0.0, now - record.since)
        return Recovery(endpoint, record.stage, age_ms, record.documents, record.span_ms)

    def begin_anew(self, now: float) -> None:
        """Times of before cannot be trusted: every stage counts as begun now."""
        self._records = {name: replace(record, since=now) for name, record in self._records.items()}

    def lines(self) -> list[list]:
        """The words of all lines."""
        return [self._words(name, record) for name, record in self._records.items()]

    def _set(self, endpoint: str, record: Record) -> None:
        self._records.pop(endpoint, None)
        if record.stage == RecoveryStage.WARM:
            return
        self._records[endpoint] = record
        if len(self._records) > self._most:
            del self._records[next(iter(self._records))]

    @staticmethod
    def _words(endpoint: str, record: Record) -> list:
        since = None if record.since is None else round(record.since, 1)
        return [record.stage.value, endpoint, since, record.documents, round(record.span_ms, 1)]
