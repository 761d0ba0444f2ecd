"""Writes one sender's audit log, the trail, and answers keepers from it: a net.audit.AuditLog.

Owns the order "recorded, then acted on". Must never raise into the sender, and never decide about a document;
whether a list is taken is versions.judge_list's word.
"""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Callable
from functools import cache, partial
from itertools import chain
from pathlib import Path

import msgspec

import birchstack
from birchstack.fleet import wire
from birchstack.fleet.audit_files import AuditFiles
from birchstack.fleet.records import FORMAT, Acted, Adopted, Ended, Life
from birchstack.fleet.settings import Fleet
from birchstack.fleet.signalling import Signalling
from birchstack.fleet.versions import (
    DECISIONS,
    FIRST,
    FORM,
    LIST,
    PROGRAM,
    SAME,
    SETTINGS,
    Contents,
    Version,
    compare,
    digest_of,
    digest_of_words,
    judge_list,
)
from birchstack.interface import SignalKind
from birchstack.net.audit import AuditLogFactory, ReportSignals, SenderStatus
from birchstack.net.config import Config
from birchstack.net.log import log_event
from birchstack.net.machine import Folder, Machine
from birchstack.net.operators import Answer

log = logging.getLogger(__name__)


@cache
def program() -> tuple[Version, Version]:
    """The program and its decisions, by the bytes of their files."""
    root = Path(birchstack.__file__).parent
    mine = [path for path in sorted(root.rglob("*.py")) if "emulator" not in path.parts]
    whole = b"".join(digest_of(path.read_bytes()).encode() for path in mine)
    return (
        Version(PROGRAM, "birchstack", "", None, digest_of(whole)),
        Version(DECISIONS, "birchstack", "", None, digest_of((root / "decide.py").read_bytes())),
    )


class FleetAuditLog:
    """The audit log of one process. status: what the sender is at; reported: where others' signals go."""

    def __init__(
        self,
        told: Fleet,
        config: Config,
        machine: Machine,
        folder: Folder,
        status: Callable[[], SenderStatus],
        reported: ReportSignals,
    ) -> None:
        self._told, self._config, self._machine = told, config, machine
        self._folder, self._status = folder, status
        self._process, self._boot = machine.unique_name(), machine.boot_id()
        self._files: AuditFiles | None = None  # none while another process holds the folder
        self._versions: dict[str, Version] = {}
        self._contents = Contents()
        self._list_ms = 0.0
        self._waiting: dict[str, Adopted] = {}  # adopted before the folder was this process's
        self._refused = 0
        self._signalling: Signalling | None = None  # none where the fleet's file does not ask for it
        if told.signals:
            self._signalling = Signalling(told.signals, self._process, machine.steady_ms, reported)

    # What the sender tells

    def start(self, holds: bool) -> None:
        if holds:
            self._files = AuditFiles(self._folder, self._told.trail.bytes, self._machine.unique_name)
            now, wall = self._machine.steady_ms(), self._machine.wall_ms()
            self._files.write(Life(self._process, self._config.name, self._boot, wall, now), now)
            for adopted in self._waiting.values():  # acted on from now on
                self._files.write(msgspec.structs.replace(adopted, wall_ms=wall, steady_ms=now), now)
            if self._refused:
                self._files.write(Acted(now, (), self._refused), now)
            self._waiting.clear()
            if self._signalling:
                self._signalling.begins()
        if not self._versions:
            for version in (*program(), Version(FORM, "birchstack", "", FORMAT, digest_of(b"%d" % FORMAT))):
                self._adopt(version, FIRST, "start")

    def _adopt(self, version: Version, order: str, source: str, taken: bool = True) -> None:
        now = self._machine.steady_ms()
        record = Adopted(version, order, source, self._machine.wall_ms(), now, taken)
        if taken:
            self._versions[version.kind] = version
        if self._files:
            self._files.write(record, now)
        elif taken:
            self._waiting[version.kind] = record

    def record_settings(self, config: Config, source: str) -> None:
        words = {
            name: value
            for name, value in dataclasses.asdict(config).items()
            if name in ("settings", "idle_ms", "dial_ms", "kinds")
        }
        version = Version(SETTINGS, "BALANCER_CONFIG", "", config.version, digest_of_words(words))
        held = self._versions.get(SETTINGS)
        order = compare(version, held) if held else FIRST
        if order != SAME:
            self._adopt(version, order, source)

    def record_list(self, told: dict, source: str) -> bool:
        contents = Contents() if told.get("all") else self._contents.copy()
        contents.apply(bool(told.get("all")), told["targets"])
        version = Version(LIST, source, str(told.get("epoch") or ""), told["rev"], contents.digest())
        held = self._versions.get(LIST)
        verdict = judge_list(version, held, self._told.list.back)
        if verdict.loud:
            log_event(
                log,
                "the list told does not follow the one held",
                logging.WARNING,
                order=verdict.order,
                told=version,
                held=held,
                source=source,
                taken=verdict.take,
            )
        if verdict.order == SAME:
            self._contents = contents
            return True
        self._adopt(version, verdict.order, source, verdict.take)
        if verdict.take:
            self._contents, self._list_ms = contents, self._machine.steady_ms()
            log_event(
                log,
                "list adopted",
                version=version,
                order=verdict.order,
                source=source,
                endpoints=len(contents.states),
            )
        return verdict.take

    def record_turn(self, calls: list[tuple[str, str]], refused: list[str], failed: list[str]) -> None:
        if self._files is None:  # a process that waits begins no call
            self._refused += len(refused) + len(failed)
            return
        now = self._machine.steady_ms()
        self._files.write(Acted(now, tuple(chain.from_iterable(calls)), len(refused), tuple(failed)), now)

    def observed(self, endpoint: str, kind: SignalKind, wait_ms: float) -> None:
        if self._signalling:
            self._signalling.observed(endpoint, kind, wait_ms)

    def signals_live(self) -> bool | None:
        return self._signalling.live() if self._signalling else None

    def stop(self) -> None:
        if self._files:
            now = self._machine.steady_ms()
            self._files.write(Ended(now), now)
            self._files.close()

    # What is asked

    def figures(self) -> list[tuple[str, object]]:
        held = self._versions.get(LIST)
        now = self._machine.steady_ms()
        return [
            ("list_number", held.number if held else -1),
            ("list_digest", held.digest if held else "-"),
            ("list_age_ms", int(now - self._list_ms) if held else -1),
            ("list_heard_ms", int(self._status().heard_ms)),
            ("trail_failing", int(self._files.failing if self._files else 0)),
            *(self._signalling.figures() if self._signalling else ()),
        ]

    def _signals(self, status: SenderStatus, body: bytes) -> bytes:
        """Nothing before this process is ready: its decisions do not know the list yet, and word of what is
        not listed would be lost."""
        return self._signalling.answer(body) if self._signalling and status.ready else b""

    def answer_keeper(self, query: dict[str, list[str]], body: bytes) -> Answer:
        try:
            after, most = (
                int(query[name][0]) if name in query else usual
                for name, usual in (("after", 0), ("most", wire.USUAL))
            )
        except ValueError:
            return Answer(False, "after, most: whole numbers are wanted")
        if after < 0 or not 0 <= most <= wire.MOST:
            return Answer(False, f"after, most: from 0 up, most at most {wire.MOST}")
        status, files = self._status(), self._files
        if files:
            files.retry(self._machine.steady_ms())
        piece = wire.Piece(
            name=self._config.name,
            process=self._process,
            boot=self._boot,
            holds=files is not None,
            wall_ms=self._machine.wall_ms(),
            steady_ms=self._machine.steady_ms(),
            versions=self._versions,
            list_ms=self._list_ms,
            heard_ms=status.heard_ms,
            ready=status.ready,
            held=status.held,
            signals=self._signals(status, body),
            **(
                {
                    "trail": files.trail.name,
                    "life": files.trail.state.life,
                    "last": files.trail.last,
                    "chain": files.trail.chain,
                    "failing": files.failing,
                    "frames": files.trail.piece(after, most),
                }
                if files
                else {}
            ),
        )
        return Answer(True, content=wire.encode(piece))


def maker(told: Fleet) -> AuditLogFactory:
    """For net.sender.Node."""
    return partial(FleetAuditLog, told)
