"""Writes one sender's audit log and serves it to collectors: a net.audit.AuditLog.

Owns the order "recorded, then acted on". Must never raise into the sender, and never decide about a document;
whether a list is accepted is decided by versions.judge_list.
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
from birchstack.fleet.records import FORMAT, ProcessEnd, ProcessStart, TurnActions, VersionAdopted
from birchstack.fleet.settings import FleetSettings
from birchstack.fleet.signalling import SignalParticipant
from birchstack.fleet.versions import (
    DECISIONS,
    FIRST,
    FORM,
    LIST,
    PROGRAM,
    SAME,
    SETTINGS,
    ListContents,
    Version,
    compare,
    digest_bytes,
    digest_json,
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
def program_versions() -> tuple[Version, Version]:
    """Return the versions of the program and of its decisions, by the digests of their source files."""
    root = Path(birchstack.__file__).parent
    sources = [path for path in sorted(root.rglob("*.py")) if "emulator" not in path.parts]
    digests = b"".join(digest_bytes(path.read_bytes()).encode() for path in sources)
    return (
        Version(PROGRAM, "birchstack", "", None, digest_bytes(digests)),
        Version(DECISIONS, "birchstack", "", None, digest_bytes((root / "decide.py").read_bytes())),
    )


class FleetAuditLog:
    """The audit log of one process.

    status: returns the sender's current status. reported: receives the signals of other senders.
    """

    def __init__(
        self,
        settings: FleetSettings,
        config: Config,
        machine: Machine,
        folder: Folder,
        status: Callable[[], SenderStatus],
        reported: ReportSignals,
    ) -> None:
        self._settings = settings
        self._config = config
        self._machine = machine
        self._folder = folder
        self._status = status
        self._process = machine.unique_name()
        self._boot = machine.boot_id()
        self._files: AuditFiles | None = None  # None while another process holds the folder
        self._versions: dict[str, Version] = {}
        self._contents = ListContents()
        self._list_ms = 0.0
        self._pending_adoptions: dict[str, VersionAdopted] = {}  # adopted before this process held the folder
        self._pending_rejections = 0
        self._signalling: SignalParticipant | None = None  # None if signals are not configured
        if settings.signals:
            self._signalling = SignalParticipant(settings.signals, self._process, machine.steady_ms, reported)

    # Called by the sender

    def start(self, holds_folder: bool) -> None:
        """Record the start of the process if it holds the folder, and adopt the program's versions.

        Called again when a process that waited for the folder gets it.
        """
        if holds_folder:
            self._files = AuditFiles(self._folder, self._settings.trail.bytes, self._machine.unique_name)
            now, wall = self._machine.steady_ms(), self._machine.wall_ms()
            self._files.write(ProcessStart(self._process, self._config.name, self._boot, wall, now), now)
            for adopted in self._pending_adoptions.values():  # acted on from now on
                self._files.write(msgspec.structs.replace(adopted, wall_ms=wall, steady_ms=now), now)
            if self._pending_rejections:
                self._files.write(TurnActions(now, (), self._pending_rejections), now)
            self._pending_adoptions.clear()
            if self._signalling:
                self._signalling.start()
        if not self._versions:
            for version in (
                *program_versions(),
                Version(FORM, "birchstack", "", FORMAT, digest_bytes(b"%d" % FORMAT)),
            ):
                self._adopt(version, FIRST, "start")

    def _adopt(self, version: Version, order: str, source: str, taken: bool = True) -> None:
        """Record a received version, and hold it if it is taken."""
        now = self._machine.steady_ms()
        record = VersionAdopted(version, order, source, self._machine.wall_ms(), now, taken)
        if taken:
            self._versions[version.kind] = version
        if self._files:
            self._files.write(record, now)
        elif taken:
            self._pending_adoptions[version.kind] = record

    def record_settings(self, config: Config, source: str) -> None:
        """Record the settings if they changed, before they are acted on."""
        audited = {
            name: value
            for name, value in dataclasses.asdict(config).items()
            if name in ("settings", "idle_ms", "dial_ms", "kinds")
        }
        version = Version(SETTINGS, "BALANCER_CONFIG", "", config.version, digest_json(audited))
        held = self._versions.get(SETTINGS)
        order = compare(version, held) if held else FIRST
        if order != SAME:
            self._adopt(version, order, source)

    def record_list(self, received: dict, source: str) -> bool:
        """Record a received list or change before it is acted on. Returns whether it is accepted."""
        contents = ListContents() if received.get("all") else self._contents.copy()
        contents.apply(bool(received.get("all")), received["targets"])
        version = Version(LIST, source, str(received.get("epoch") or ""), received["rev"], contents.digest())
        held = self._versions.get(LIST)
        decision = judge_list(version, held, self._settings.list.back)
        if decision.warn:
            log_event(
                log,
                "received list does not follow the one held",
                logging.WARNING,
                order=decision.order,
                told=version,
                held=held,
                source=source,
                taken=decision.accept,
            )
        if decision.order == SAME:
            self._contents = contents
            return True
        self._adopt(version, decision.order, source, decision.accept)
        if decision.accept:
            self._contents, self._list_ms = contents, self._machine.steady_ms()
            log_event(
                log,
                "list adopted",
                version=version,
                order=decision.order,
                source=source,
                endpoints=len(contents.states),
            )
        return decision.accept

    def record_turn(self, calls: list[tuple[str, str]], refused: list[str], failed: list[str]) -> None:
        """Record the actions of one turn, before its calls begin."""
        if self._files is None:  # a process without the folder begins no calls
            self._pending_rejections += len(refused) + len(failed)
            return
        now = self._machine.steady_ms()
        self._files.write(
            TurnActions(now, tuple(chain.from_iterable(calls)), len(refused), tuple(failed)), now
        )

    def observed(self, endpoint: str, kind: SignalKind, wait_ms: float) -> None:
        """Pass an observation of the decisions on to the other senders, if signals are enabled."""
        if self._signalling:
            self._signalling.record_observation(endpoint, kind, wait_ms)

    def signals_live(self) -> bool | None:
        """Return whether signals of other senders arrive; None if signals are disabled."""
        return self._signalling.is_live() if self._signalling else None

    def stop(self) -> None:
        """Record the orderly end of the process."""
        if self._files:
            now = self._machine.steady_ms()
            self._files.write(ProcessEnd(now), now)
            self._files.close()

    # Called on the operators' port

    def figures(self) -> list[tuple[str, object]]:
        """Return names and values for the metrics endpoint."""
        held = self._versions.get(LIST)
        now = self._machine.steady_ms()
        return [
            ("list_number", held.number if held else -1),
            ("list_digest", held.digest if held else "-"),
            ("list_age_ms", int(now - self._list_ms) if held else -1),
            ("list_heard_ms", int(self._status().heard_ms)),
            ("trail_failing", int(self._files.failing if self._files else 0)),
            *(self._signalling.metrics() if self._signalling else ()),
        ]

    def _signals(self, status: SenderStatus, body: bytes) -> bytes:
        """Answer a request for signals, with nothing before this process is ready.

        Until then its decisions do not know the list, and evidence on endpoints not listed would be lost.
        """
        return self._signalling.respond(body) if self._signalling and status.ready else b""

    def answer_keeper(self, query: dict[str, list[str]], body: bytes) -> Answer:
        """Answer a collector's request for audit records; body: its request for signals, may be empty."""
        try:
            after, most = (
                int(query[name][0]) if name in query else default
                for name, default in (("after", 0), ("most", wire.DEFAULT_FRAMES_BYTES))
            )
        except ValueError:
            return Answer(False, "after, most: must be integers")
        if after < 0 or not 0 <= most <= wire.MAX_FRAMES_BYTES:
            return Answer(False, f"after, most: must not be negative, most at most {wire.MAX_FRAMES_BYTES}")
        status, files = self._status(), self._files
        if files:
            files.retry(self._machine.steady_ms())
        response = wire.TrailResponse(
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
                    "life": files.trail.state.incarnation,
                    "last": files.trail.last,
                    "chain": files.trail.chain,
                    "failing": files.failing,
                    "frames": files.trail.read_after(after, most),
                }
                if files
                else {}
            ),
        )
        return Answer(True, content=wire.encode(response))


def audit_log_factory(settings: FleetSettings) -> AuditLogFactory:
    """Return a factory of audit logs for net.sender.Node."""
    return partial(FleetAuditLog, settings)
