"""Reads and checks the operators' file of the backlog (deploy/backlog.toml, named by BALANCER_BACKLOG).

Owns its keys. A wrong one is named with its path in a ConfigError, which ends the start with status 2.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from birchstack.net.config import ConfigError


class Settings(Struct, frozen=True, forbid_unknown_fields=True):
    """window: documents that a destination keeps in memory. bytes: disk space for the documents beyond it."""

    window: Annotated[int, Meta(ge=1)]
    bytes: Annotated[int, Meta(ge=16 << 20)]


class File(Struct, frozen=True, forbid_unknown_fields=True):
    """The top level of the file."""

    backlog: Settings


def load(path: str) -> Settings:
    """Returns the settings of a file."""
    try:
        with open(path, "rb") as file:
            return decode(file.read(), path)
    except OSError as problem:
        raise ConfigError(f"BALANCER_BACKLOG: {problem}") from problem


def decode(text: bytes, path: str) -> Settings:
    """Returns the settings of a file's text; the path is for error messages."""
    try:
        return msgspec.toml.decode(text, type=File).backlog
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise ConfigError(f"BALANCER_BACKLOG: {path}: {problem}") from problem
