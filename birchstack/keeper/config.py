"""The keeper's file: read and checked here, wrong keys named with their path.

Owns its keys and defaults. Times in seconds.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from birchstack.net.driver import parse_address

Above = Annotated[float, Meta(gt=0.0)]
Place = Annotated[str, Meta(min_length=3)]


class KeeperError(Exception):
    """Names the file, the key and what is wrong."""


class Sender(Struct, frozen=True, forbid_unknown_fields=True):
    """at: its operators' door; also: doors of processes that follow it (upgrades)."""

    name: str
    at: Place
    also: tuple[Place, ...] = ()

    def doors(self) -> tuple[str, ...]:
        return (self.at, *self.also)


class Lists(Struct, frozen=True, forbid_unknown_fields=True):
    """at: the list service; without it the keeper does not know when a version came into force."""

    at: Place
    behind_s: Above = 10.0  # a sender this long behind the newest list is a finding


class Asks(Struct, frozen=True, forbid_unknown_fields=True):
    every_s: Above = 1.0  # each door is asked so often
    timeout_s: Above = 2.0
    most: Annotated[int, Meta(ge=1, le=4096)] = 32  # asks out at once
    pause_s: Above = 8.0  # the longest pause before a silent door is asked again
    silent_s: Above = 10.0  # a door that has not answered for so long is a finding
    signal_bytes: Annotated[int, Meta(ge=64, le=3072)] = 250  # of the others' signals in one question


class Keeper(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    name: str
    store: str
    senders: tuple[Sender, ...]
    lists: Lists | None = None
    asks: Asks = Asks()
    store_mb: Annotated[float, Meta(ge=0.2)] = 4096.0  # the store grows no larger; then it keeps what it has


def decode(text: bytes, path: str) -> Keeper:
    try:
        told = msgspec.toml.decode(text, type=Keeper)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise KeeperError(f"{path}: {problem}") from problem
    seen: dict[str, str] = {}
    for at, sender in enumerate(told.senders):
        for door in sender.doors():
            _address(door, f"{path}: `$.senders[{at}].at`")
            if door in seen:
                raise KeeperError(f"{path}: `$.senders[{at}].at`: {door} is a door of {seen[door]} already")
            seen[door] = sender.name
    if told.lists:
        _address(told.lists.at, f"{path}: `$.lists.at`")
    return told


def _address(text: str, where: str) -> None:
    try:
        parse_address(text)
    except ValueError as problem:
        raise KeeperError(f"{where}: {problem}") from problem


def load(path: str) -> Keeper:
    try:
        with open(path, "rb") as file:
            return decode(file.read(), path)
    except OSError as problem:
        raise KeeperError(f"{path}: {problem.strerror}") from problem
