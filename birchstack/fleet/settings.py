"""The operators' file of the fleet (deploy/fleet.toml, named by BALANCER_FLEET): read and checked here.

Owns its keys and their defaults. A wrong one is named with its path in a ConfigError, which ends the start
with status 2.
"""

from __future__ import annotations

import dataclasses
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from birchstack.fleet.versions import TAKE, Back
from birchstack.net.config import Config, ConfigError

LEAST_ROOM = 500_000  # bytes that stay for what is owed
BLOCKS = 32 * 512  # files count in whole blocks


class Trail(Struct, frozen=True, forbid_unknown_fields=True):
    """bytes: of the trail on disk, and in memory."""

    bytes: Annotated[int, Meta(ge=65536, le=1 << 30)] = 1_000_000


class List(Struct, frozen=True, forbid_unknown_fields=True):
    """back: what a list that goes back or is forked is met with (docs/notes/fleet.md)."""

    back: Back = TAKE


class Signals(Struct, frozen=True, forbid_unknown_fields=True):
    """bytes: of signals in one answer to a keeper. quiet_s: after so many seconds without a keeper's question
    the sender decides as if it were alone (docs/notes/signals.md)."""

    bytes: Annotated[int, Meta(ge=64, le=65536)] = 160
    quiet_s: Annotated[float, Meta(ge=0.1, le=60.0)] = 3.5


class Fleet(Struct, frozen=True, forbid_unknown_fields=True):
    """signals: None where the file has no such table, and the sender neither tells nor hears any."""

    trail: Trail = Trail()
    list: List = List()
    signals: Signals | None = None


def load(path: str) -> Fleet:
    try:
        with open(path, "rb") as file:
            return decode(file.read(), path)
    except OSError as problem:
        raise ConfigError(f"BALANCER_FLEET: {problem}") from problem


def decode(text: bytes, path: str) -> Fleet:
    try:
        return msgspec.toml.decode(text, type=Fleet)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise ConfigError(f"BALANCER_FLEET: {path}: {problem}") from problem


def room_for(told: Fleet, config: Config) -> Config:
    """The trail's room is taken from what the folder may hold."""
    if config.ops is None:
        raise ConfigError("ops: missing; BALANCER_FLEET is set, and keepers ask there for the trail")
    left = config.disk_bytes - told.trail.bytes - BLOCKS
    if left < LEAST_ROOM:
        raise ConfigError(
            f"BALANCER_FLEET: trail.bytes: {told.trail.bytes} leaves less than {LEAST_ROOM} of "
            f"limits.disk_mb ({config.disk_bytes}) for documents"
        )
    return dataclasses.replace(config, disk_bytes=left)
