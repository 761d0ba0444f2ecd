"""The collector's configuration file: reads and validates it, and reports an invalid key with its path.

Owns the keys and their defaults. Times are in seconds.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from birchstack.net.driver import parse_address

PositiveFloat = Annotated[float, Meta(gt=0.0)]
AddressText = Annotated[str, Meta(min_length=3)]


class ConfigError(Exception):
    """The configuration file is invalid; the message names the file, the key and the problem."""


class SenderConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """One sender to poll.

    at: its audit address, which is the address for operators' calls.
    also: audit addresses of processes that replace it during an upgrade.
    """

    name: str
    at: AddressText
    also: tuple[AddressText, ...] = ()

    def addresses(self) -> tuple[str, ...]:
        """Returns all audit addresses of this sender."""
        return (self.at, *self.also)


class ListServiceConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """The list service to watch; without it the collector does not know when a version came into force.

    at: address of the list service.
    behind_s: a sender that is behind the newest list for longer than this is a finding.
    """

    at: AddressText
    behind_s: PositiveFloat = 10.0


class PollConfig(Struct, frozen=True, forbid_unknown_fields=True):
    """How senders are polled.

    every_s: interval between polls of one address.
    timeout_s: timeout of one poll.
    most: maximum number of polls in flight.
    pause_s: longest delay before an address that failed to answer is polled again.
    silent_s: an address that has not answered for this long is a finding.
    signal_bytes: size limit for signals of other senders that are relayed in one poll.
    """

    every_s: PositiveFloat = 1.0
    timeout_s: PositiveFloat = 2.0
    most: Annotated[int, Meta(ge=1, le=4096)] = 32
    pause_s: PositiveFloat = 8.0
    silent_s: PositiveFloat = 10.0
    signal_bytes: Annotated[int, Meta(ge=64, le=3072)] = 250


class CollectorConfig(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Configuration of one collector.

    store: path of the SQLite store.
    store_mb: maximum size of the store; once it is reached, the store keeps what it has and takes no more.
    """

    name: str
    store: str
    senders: tuple[SenderConfig, ...]
    lists: ListServiceConfig | None = None
    asks: PollConfig = PollConfig()
    store_mb: Annotated[float, Meta(ge=0.2)] = 4096.0


def decode(text: bytes, path: str) -> CollectorConfig:
    """Parses and validates a configuration; path is used in error messages only."""
    try:
        config = msgspec.toml.decode(text, type=CollectorConfig)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise ConfigError(f"{path}: {problem}") from problem
    owners: dict[str, str] = {}
    for index, sender in enumerate(config.senders):
        for audit_address in sender.addresses():
            _check_address(audit_address, f"{path}: `$.senders[{index}].at`")
            if audit_address in owners:
                raise ConfigError(
                    f"{path}: `$.senders[{index}].at`: {audit_address} is an address of "
                    f"{owners[audit_address]} already"
                )
            owners[audit_address] = sender.name
    if config.lists:
        _check_address(config.lists.at, f"{path}: `$.lists.at`")
    return config


def _check_address(text: str, key: str) -> None:
    try:
        parse_address(text)
    except ValueError as problem:
        raise ConfigError(f"{key}: {problem}") from problem


def load(path: str) -> CollectorConfig:
    """Reads the configuration file at path."""
    try:
        with open(path, "rb") as file:
            return decode(file.read(), path)
    except OSError as problem:
        raise ConfigError(f"{path}: {problem.strerror}") from problem
