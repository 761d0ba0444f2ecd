"""What a sender tells its audit log: what it acts on, and what it sees. Without one, nothing of this is done.

Owns the form only. An audit log must never raise into the sender, and never hold it up longer than one write
to its folder takes. The one there is: birchstack.fleet.audit_log, switched on by BALANCER_FLEET.
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
    """What a sender is at, for who asks from outside. heard_ms: since its watch of the list last said
    anything, a beat too."""

    ready: bool
    held: int
    heard_ms: float


class AuditLog(Protocol):
    """Records what a sender acts on before it does, and passes signals on where they are switched on."""

    def begins(self, holds: bool) -> None:
        """A process begins, before it acts; holds: the folder is its own. Called again when that becomes
        so."""

    def settings(self, config: Config, source: str) -> None:
        """Before the settings are acted on."""

    def told(self, told: dict, source: str) -> bool:
        """A list or a change that could be read, before it is acted on. False: stay on what is held."""

    def turn(self, calls: list[tuple[str, str]], refused: list[str], failed: list[str]) -> None:
        """One turn: before the calls (document, endpoint) begin; documents refused and failed in it."""

    def asked(self, query: dict[str, list[str]], body: bytes) -> Answer:
        """A keeper's call for the trail; body: its question for signals, or nothing."""

    def observed(self, endpoint: str, kind: SignalKind, wait_ms: float) -> None:
        """What the decisions saw and tell the other senders."""

    def linked(self) -> bool | None:
        """Whether signals of other senders reach this one now; None where they never do."""

    def figures(self) -> list[tuple[str, object]]:
        """More figures for the operators' door: name and value."""

    def ended(self) -> None:
        """The process ends by itself, and acts no more."""


Reported = Callable[[list[Report]], None]  # what other senders saw, for the decisions
MakeAuditLog = Callable[[Config, Machine, Folder, Callable[[], SenderStatus], Reported], AuditLog]
