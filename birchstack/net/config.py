"""The sender's configuration, read at the start and on SIGHUP: the only place of its validation and defaults.

Owns the names of configuration keys and environment variables. Must never decide anything about documents:
birchstack.settings decodes the settings of the decisions. A ConfigError names the faulty key.
"""

from __future__ import annotations

import dataclasses
import json
import os
from collections.abc import Mapping
from dataclasses import dataclass

from birchstack import settings
from birchstack.interface import Settings
from birchstack.net.driver import parse_address

DEFAULTS = {
    "limits.sockets": 1024,
    "limits.disk_mb": 3,
    "limits.memory_mb": 192,
    "settings.limits.connIdleMs": 10000.0,
    "settings.limits.dialTimeoutMs": 1000.0,
}
REQUIRED_NUMBERS = (  # keys of the settings without which nothing can be decided
    "nInstances",
    "domain.callsOut",
    "limits.maxOpen",
    "limits.sendCap",
    "rules.coldFrom",
    "rules.warmUpMs",
)
# Keys that the environment variable BALANCER_<KEY> overrides
ENVIRONMENT_KEYS = ("name", "listen", "discovery", "state", "ops")
# Fields that SIGHUP applies; the others need a restart
RELOADABLE_FIELDS = ("discovery", "known", "seed", "settings", "idle_ms", "dial_ms", "kinds", "version")
# Settings that must be off, since this sender's connections have no way to carry what they switch on
UNSUPPORTED = {
    "limits.mayTell": "notes between senders",
    "limits.probes": "probes",
    "limits.mayDuplicate": "second copies",
}
# Settings that must be 1
SINGLE_ONLY = {"limits.streamsPerConn": "calls on one connection", "domain.perCall": "documents in one call"}
ALLOWED_VALUES = {
    "registryMode": ("pushed", "on_request"),
    "weightSource": ("off", "nominal", "rough"),
    "domain.losesWorth": ("linear",),
}


class ConfigError(Exception):
    """The configuration is not usable; the message names the key that is missing or wrong."""


@dataclass(frozen=True, slots=True)
class Config:
    """A validated configuration."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state: str
    seed: int
    sockets: int  # file descriptors that the process may hold
    disk_bytes: int
    memory_bytes: int  # that the process may use
    idle_ms: float  # time after which endpoints close an idle connection
    dial_ms: float  # time-out for establishing a connection
    kinds: tuple[str, ...]
    known: dict  # the last known list of endpoints, in discovery's format
    settings: Settings
    ops: tuple[str, int] | None = None  # address of the operators' server; None if there is none
    version: int | None = None  # version number of the file, if its author assigns one


def _lookup(raw: object, path: str, kind: type | tuple[type, ...]) -> object:
    """Returns the value at a dotted path or its default; numbers must be positive."""
    value = raw
    for name in path.split("."):
        value = value.get(name) if isinstance(value, dict) else None
    if value is None:
        if path not in DEFAULTS:
            raise ConfigError(f"{path}: missing")
        value = DEFAULTS[path]
    if not isinstance(value, kind) or isinstance(value, bool):
        raise ConfigError(f"{path}: {value!r} has the wrong type")
    if isinstance(value, int | float) and not value > 0:
        raise ConfigError(f"{path}: {value!r} is not above 0")
    return value


def _address(raw: dict, key: str) -> tuple[str, int]:
    try:
        return parse_address(_lookup(raw, key, str))
    except ValueError as problem:
        raise ConfigError(f"{key}: {problem}") from problem


def _seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError as problem:
        raise ConfigError(f"seed: {text!r} is not a hexadecimal number") from problem


def _version(raw: dict) -> int | None:
    version = raw.get("version")
    if version is not None and (
        isinstance(version, bool) or not isinstance(version, int) or not 0 <= version < 1 << 63
    ):
        raise ConfigError(f"version: {version!r} is not an integer of at least 0")
    return version


def _optional(raw: dict, key: str) -> object:
    """Returns the value of a setting, with at most one group in its key; None if it is left out."""
    group, _, name = key.rpartition(".")
    parent = raw.get(group) if group else raw
    return parent.get(name) if isinstance(parent, dict) else None


def _check(raw_settings: dict) -> None:
    """Validates the optional settings; those left out have their defaults."""
    for key, what in UNSUPPORTED.items():
        value = _optional(raw_settings, key)
        if value is not None and not isinstance(value, bool):
            raise ConfigError(f"settings.{key}: {value!r} is neither true nor false")
        if value:
            raise ConfigError(f"settings.{key}: true, but this sender has no way to carry {what}")
    for key, what in SINGLE_ONLY.items():
        value = _optional(raw_settings, key)
        for each in value if isinstance(value, list) else [value]:
            if each is not None and (isinstance(each, bool) or each != 1):
                raise ConfigError(f"settings.{key}: {each!r}, but this sender carries 1 of {what}")
    for key, allowed in ALLOWED_VALUES.items():
        value = _optional(raw_settings, key)
        if value is not None and value not in allowed:
            raise ConfigError(f"settings.{key}: {value!r} is not one of {', '.join(allowed)}")
    kinds = raw_settings.get("hostTypes") or []
    if not isinstance(kinds, list) or not all(isinstance(kind, str) for kind in kinds):
        raise ConfigError("settings.hostTypes: not a list of names")
    for key in ("domain.perCall", "domain.routesApart"):
        value = _optional(raw_settings, key)
        if value is not None and (not isinstance(value, list) or len(value) != max(1, len(kinds))):
            raise ConfigError(f"settings.{key}: not a list with one entry for each of hostTypes")
    if not all(isinstance(each, bool) for each in _optional(raw_settings, "domain.routesApart") or ()):
        raise ConfigError("settings.domain.routesApart: an entry is neither true nor false")
    key_rest = _optional(raw_settings, "rules.settleAfterDoubtMs")
    if key_rest is not None and (
        isinstance(key_rest, bool) or not isinstance(key_rest, int | float) or key_rest < 0
    ):
        raise ConfigError(f"settings.rules.settleAfterDoubtMs: {key_rest!r} is not a number of at least 0")
    for index, service in enumerate(raw_settings["services"]):
        in_order = service.get("oneAtATime")
        if in_order is not None and not isinstance(in_order, bool):
            raise ConfigError(
                f"settings.services[{index}].oneAtATime: {in_order!r} is neither true nor false"
            )


def decode(raw: object, environment: Mapping[str, str]) -> Config:
    """Validates a configuration; environment variables override some of its keys."""
    if not isinstance(raw, dict):
        raise ConfigError("the configuration is not an object")
    overrides = {
        key: environment[f"BALANCER_{key.upper()}"]
        for key in ENVIRONMENT_KEYS
        if environment.get(f"BALANCER_{key.upper()}")
    }
    raw = {**raw, **overrides}
    raw_settings = _lookup(raw, "settings", dict)
    number = (int, float)
    for key in REQUIRED_NUMBERS:
        _lookup(raw, f"settings.{key}", number)
    for index, service in enumerate(_lookup(raw, "settings.services", list)):
        for key in ("objectiveMs", "deadlineMs", "importance"):
            if not isinstance(service, dict) or not isinstance(service.get(key), number):
                raise ConfigError(f"settings.services[{index}].{key}: missing or not a number")
    _check(raw_settings)
    try:
        decision_settings = settings.decode(raw_settings)
    except KeyError as problem:
        raise ConfigError(f"settings: key {problem.args[0]!r} is missing or its value unknown") from problem
    except (TypeError, AttributeError, ValueError) as problem:
        raise ConfigError(f"settings: {problem}") from problem
    state = _lookup(raw, "state", str)
    if not os.path.isdir(state):
        raise ConfigError(f"state: {state!r} is not a folder")
    known = raw.get("known") or {}
    if not isinstance(known, dict):
        raise ConfigError("known: not an object")
    return Config(
        name=_lookup(raw, "name", str),
        listen=_address(raw, "listen"),
        discovery=_address(raw, "discovery"),
        state=state,
        seed=_seed(str(raw.get("seed") or "0")),
        sockets=int(_lookup(raw, "limits.sockets", number)),
        disk_bytes=int(_lookup(raw, "limits.disk_mb", number) * 1_000_000),
        memory_bytes=int(_lookup(raw, "limits.memory_mb", number) * 1_000_000),
        idle_ms=float(_lookup(raw, "settings.limits.connIdleMs", number)),
        dial_ms=float(_lookup(raw, "settings.limits.dialTimeoutMs", number)),
        kinds=tuple(raw_settings.get("hostTypes") or ()),
        known=known,
        settings=decision_settings,
        ops=_address(raw, "ops") if raw.get("ops") is not None else None,
        version=_version(raw),
    )


def load(environment: Mapping[str, str] = os.environ, reloading: bool = False) -> Config:
    """Reads the configuration file that BALANCER_CONFIG names.

    reloading: the sender is running; the file's address of discovery then overrides the environment's, which
    cannot change."""
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: not set; it names the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as problem:
        raise ConfigError(f"BALANCER_CONFIG: {problem}") from problem
    if reloading and isinstance(raw, dict) and raw.get("discovery"):
        environment = {key: text for key, text in environment.items() if key != "BALANCER_DISCOVERY"}
    return decode(raw, environment)


def check_applicable(fresh: Config, old: Config, held: set[str], listed: int) -> None:
    """Raises ConfigError if a running sender cannot apply `fresh` to its current documents and endpoints.

    held: types of the documents held; listed: the highest kind of any listed endpoint."""
    effects = {kind.name: kind.effect for kind in fresh.settings.types}
    before = {kind.name: kind.effect for kind in old.settings.types}
    for name in sorted(held):
        prefix = f"settings.services: documents of {name!r} are held, and it"
        if name not in effects:
            raise ConfigError(f"{prefix} is missing")
        if effects[name] != before.get(name, effects[name]):
            raise ConfigError(f"{prefix} changes its effect")
    common = min(len(fresh.kinds), len(old.kinds))  # kinds that both have
    if fresh.kinds[:common] != old.kinds[:common] or listed >= max(1, common):
        raise ConfigError(
            "settings.hostTypes: while the sender runs, kinds can be added and removed only at the end, "
            "and not removed while an endpoint of the kind is listed"
        )


def apply_reload(fresh: Config, old: Config) -> tuple[Config, list[str], list[str]]:
    """Returns the new configuration, the names of changed settings, and of changes that need a restart."""
    changed = [
        each.name
        for each in dataclasses.fields(Settings)
        if getattr(fresh.settings, each.name) != getattr(old.settings, each.name)
    ]
    needs_restart = [
        each.name
        for each in dataclasses.fields(Config)
        if each.name not in RELOADABLE_FIELDS and getattr(fresh, each.name) != getattr(old, each.name)
    ]
    return (
        dataclasses.replace(old, **{name: getattr(fresh, name) for name in RELOADABLE_FIELDS}),
        changed,
        needs_restart,
    )
