"""The interface between a sender and its audit log, which records what the sender acts on and observes.

Owns the interface only; without an audit log, none of this is done. An audit log must never raise into the
sender, and never delay it by more than one write to its folder. The one implementation is
birchstack.fleet.audit_log, enabled by BALANCER_FLEET.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from birchstack.interface import Report, SignalKind
from birchstack.net.config import Config
from birchstack.net.machine import Folder, Machine
from birchstack.net.operators import Answer


@dataclass(frozen=True, slots=True)
class SenderStatus:
    """The state of a sender, for keepers. heard_ms: time since its watch received anything, beats too."""

    ready: bool
    held: int
    heard_ms: float


class AuditLog(Protocol):
    """Records what a sender acts on, before it does, and passes signals on where they are enabled."""

    def start(self, holds_folder: bool) -> None:
        """The process starts; called before it acts, and again when it takes the folder over.

        holds_folder: whether this process holds the folder.
        """

    def record_settings(self, config: Config, source: str) -> None:
        """The settings are about to be applied."""

    def record_list(self, listing: dict, source: str) -> bool:
        """A valid list of endpoints, or a change to it, is about to be applied. False: keep the old list."""

    def record_turn(self, calls: list[tuple[str, str]], refused: list[str], failed: list[str]) -> None:
        """Records a turn before its calls (document, endpoint) begin; refused and failed: documents."""

    def answer_keeper(self, query: dict[str, list[str]], body: bytes) -> Answer:
        """Answers a keeper's request for the trail; body: its request for signals, or empty."""

    def observed(self, endpoint: str, kind: SignalKind, wait_ms: float) -> None:
        """The decision logic observed this of an endpoint; for the other senders."""

    def signals_live(self) -> bool | None:
        """Whether signals of other senders reach this one at present; None if signals are not enabled."""

    def figures(self) -> list[tuple[str, object]]:
        """Further metrics for operators, as name and value."""

    def stop(self) -> None:
        """The process ends in order, and acts no more."""


ReportSignals = Callable[[list[Report]], None]  # takes what other senders observed, for the decision logic
AuditLogFactory = Callable[[Config, Machine, Folder, Callable[[], SenderStatus], ReportSignals], AuditLog]
