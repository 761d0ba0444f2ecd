"""Recovery state of endpoints that were unavailable, stored as records of the ledger across restarts.

Owns the latest record of each such endpoint and its stored form. Must never decide what follows from a
record. Bounded: beyond the limit, the endpoint whose record changed longest ago is evicted. Times are
milliseconds of the clock that continues across restarts (machine.PersistentClock).
"""

from __future__ import annotations

import contextlib
import json
import re
from collections.abc import Iterator
from dataclasses import dataclass, replace

from birchstack.interface import Recovery, RecoveryStage

MAX_ENDPOINTS = 16384  # endpoints kept at most
RECORD_BYTES = 128  # bytes reserved on disk for one endpoint's record
SPACE_DIVISOR = 8  # all records together may take 1/8 of the state folder's space
STAGES = frozenset(RecoveryStage)
# Stage and endpoint of a damaged record; what follows them cannot be trusted
DAMAGED_RECORD = re.compile(rb'\["(down|warming)",("(?:[^"\\]|\\.)+")')


@dataclass(frozen=True, slots=True)
class RecoveryRecord:
    """since: when the stage began, None if that is not known; documents, span_ms: as in Recovery."""

    stage: RecoveryStage
    since: float | None
    documents: int = 0
    span_ms: float = 0.0


class RecoveryRecords:
    """The latest record of each endpoint that is down or warming up; a warm endpoint has none."""

    def __init__(self, room: int) -> None:
        """room: bytes that the state folder may hold."""
        self._max_endpoints = max(1, min(MAX_ENDPOINTS, room // SPACE_DIVISOR // RECORD_BYTES))
        self._records: dict[str, RecoveryRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[str]:
        """Iterates over endpoint names, least recently changed first."""
        return iter(self._records)

    def update(self, now: float, recovery: Recovery) -> list:
        """Stores the current state of an endpoint and returns the fields of its record."""
        record = RecoveryRecord(recovery.stage, now - recovery.age_ms, recovery.documents, recovery.span_ms)
        self._set(recovery.endpoint, record)
        return self._fields(recovery.endpoint, record)

    def replay(self, stage: str, endpoint: str, since: float | None, documents: int, span_ms: float) -> None:
        """Applies a record that was read from the ledger."""
        since = None if since is None else float(since)
        self._set(endpoint, RecoveryRecord(RecoveryStage(stage), since, int(documents), float(span_ms)))

    def replay_damaged(self, line: bytes) -> None:
        """Applies what can still be read of a damaged line: its stage and endpoint, but not its time.

        This prevents a cold endpoint from being taken for a warm one; at worst an endpoint is warmed up once
        more than needed."""
        if (found := DAMAGED_RECORD.search(line)) is None:
            return
        with contextlib.suppress(ValueError):  # the endpoint's name is damaged too
            endpoint = json.loads(found[2])
            self._set(endpoint, RecoveryRecord(RecoveryStage(found[1].decode()), None))

    def get(self, now: float, endpoint: str) -> Recovery | None:
        """Returns the state of an endpoint; an unknown time, or one in the future, counts as now."""
        if (record := self._records.get(endpoint)) is None:
            return None
        age_ms = 0.0 if record.since is None else max(0.0, now - record.since)
        return Recovery(endpoint, record.stage, age_ms, record.documents, record.span_ms)

    def restart(self, now: float) -> None:
        """Restarts every stage at `now`, where earlier times cannot be trusted."""
        self._records = {name: replace(record, since=now) for name, record in self._records.items()}

    def records(self) -> list[list]:
        """Returns the fields of all records."""
        return [self._fields(name, record) for name, record in self._records.items()]

    def _set(self, endpoint: str, record: RecoveryRecord) -> None:
        """Makes the record the most recent one; a warm endpoint's record is only removed."""
        self._records.pop(endpoint, None)
        if record.stage == RecoveryStage.WARM:
            return
        self._records[endpoint] = record
        if len(self._records) > self._max_endpoints:
            del self._records[next(iter(self._records))]

    @staticmethod
    def _fields(endpoint: str, record: RecoveryRecord) -> list:
        since = None if record.since is None else round(record.since, 1)
        return [record.stage.value, endpoint, since, record.documents, round(record.span_ms, 1)]
