"""The fleet's settings file (deploy/fleet.toml, named by BALANCER_FLEET): decoded and validated here.

Owns its keys and their defaults. An invalid key is reported with its path in a ConfigError, which ends the
start with status 2.
"""

from __future__ import annotations

import dataclasses
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from birchstack.fleet.versions import TAKE, RegressionPolicy
from birchstack.net.config import Config, ConfigError

MIN_DOCUMENT_BYTES = 500_000  # least space that must remain for pending documents
BLOCK_OVERHEAD_BYTES = 32 * 512  # allowance for files that occupy whole blocks


class TrailSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Table `trail`. bytes: size limit of the audit trail on disk, and also in memory."""

    bytes: Annotated[int, Meta(ge=65536, le=1 << 30)] = 1_000_000


class ListSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Table `list`. back: the policy for an older or forked list (docs/notes/fleet.md)."""

    back: RegressionPolicy = TAKE


class SignalSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Table `signals`.

    bytes: size limit of the signals in one response to a collector. quiet_s: after this many seconds without
    a collector's request the sender decides without other senders' signals (docs/notes/signals.md).
    """

    bytes: Annotated[int, Meta(ge=64, le=65536)] = 160
    quiet_s: Annotated[float, Meta(ge=0.1, le=60.0)] = 3.5


class FleetSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file. signals: None if the file has no such table; the sender then exchanges no signals."""

    trail: TrailSettings = TrailSettings()
    list: ListSettings = ListSettings()
    signals: SignalSettings | None = None


def load(path: str) -> FleetSettings:
    """Read the settings file. Raises ConfigError."""
    try:
        with open(path, "rb") as file:
            return decode(file.read(), path)
    except OSError as problem:
        raise ConfigError(f"BALANCER_FLEET: {problem}") from problem


def decode(text: bytes, path: str) -> FleetSettings:
    """Decode the contents of a settings file; path is for the error message. Raises ConfigError."""
    try:
        return msgspec.toml.decode(text, type=FleetSettings)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise ConfigError(f"BALANCER_FLEET: {path}: {problem}") from problem


def reserve_trail_space(settings: FleetSettings, config: Config) -> Config:
    """Return the configuration with the audit trail's space taken from the folder's disk limit.

    Raises ConfigError if too little space remains for documents, or if no operators' port is configured.
    """
    if config.ops is None:
        raise ConfigError(
            "ops: missing; BALANCER_FLEET requires it, since keepers poll the trail on that port"
        )
    remaining = config.disk_bytes - settings.trail.bytes - BLOCK_OVERHEAD_BYTES
    if remaining < MIN_DOCUMENT_BYTES:
        raise ConfigError(
            f"BALANCER_FLEET: trail.bytes: {settings.trail.bytes} leaves less than {MIN_DOCUMENT_BYTES} of "
            f"limits.disk_mb ({config.disk_bytes}) for documents"
        )
    return dataclasses.replace(config, disk_bytes=remaining)
