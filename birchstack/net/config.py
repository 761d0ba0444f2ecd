"""What a sender is told at its start and by SIGHUP: read, checked and given defaults here and nowhere else.

Owns the names of the configuration and of the environment. Must never decide anything about documents: the
decisions get their settings by birchstack.settings, and a faulty key is named in the ConfigError.
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
    "settings.limits.connIdleMs": 10000.0,
    "settings.limits.dialTimeoutMs": 1000.0,
}
NUMBERS = (
    "nInstances",
    "domain.callsOut",
    "limits.maxOpen",
    "limits.sendCap",
    "rules.coldFrom",
    "rules.warmUpMs",
)  # without these nothing can be decided

TOLD = ("name", "listen", "discovery", "state", "ops")  # keys that the environment may say instead
RELOADED = ("discovery", "known", "seed", "settings", "idle_ms", "dial_ms", "kinds", "version")  # at SIGHUP
NOT_CARRIED = {
    "limits.mayTell": "notes between senders",
    "limits.probes": "probes",
    "limits.mayDuplicate": "second copies",
}  # switches that sockets have no way for
ONE_ONLY = {"limits.streamsPerConn": "calls on one connection", "domain.perCall": "documents in one call"}
WORDS = {
    "registryMode": ("pushed", "on_request"),
    "weightSource": ("off", "nominal", "rough"),
    "domain.losesWorth": ("linear",),
}


class ConfigError(Exception):
    """Names the key that is missing or wrong."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    state: str
    seed: int
    sockets: int  # file descriptors that the process may hold
    disk_bytes: int
    idle_ms: float  # an endpoint closes a connection that lies idle for so long
    dial_ms: float  # a connection not ready by then has failed
    kinds: tuple[str, ...]
    known: dict  # the list as last had, in discovery's form
    settings: Settings
    ops: tuple[str, int] | None = None  # where operators call; none where neither file nor variable says
    version: int | None = None  # of the file, where whoever writes it numbers it


def _at(raw: object, path: str, kind: type | tuple[type, ...]) -> object:
    value = raw
    for name in path.split("."):
        value = value.get(name) if isinstance(value, dict) else None
    if value is None:
        if path not in DEFAULTS:
            raise ConfigError(f"{path}: missing")
        value = DEFAULTS[path]
    if not isinstance(value, kind) or isinstance(value, bool):
        raise ConfigError(f"{path}: {value!r} is of the wrong kind")
    if isinstance(value, int | float) and not value > 0:
        raise ConfigError(f"{path}: {value!r} is not above 0")
    return value


def _address(raw: dict, key: str) -> tuple[str, int]:
    try:
        return parse_address(_at(raw, key, str))
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
        raise ConfigError(f"version: {version!r} is not a whole number from 0 up")
    return version


def _found(words: dict, key: str) -> object:
    group, _, name = key.rpartition(".")
    within = words.get(group) if group else words
    return within.get(name) if isinstance(within, dict) else None


def _check(words: dict) -> None:
    """What the decisions read beside the plain numbers; what is left out has its default."""
    for key, what in NOT_CARRIED.items():
        value = _found(words, key)
        if value is not None and not isinstance(value, bool):
            raise ConfigError(f"settings.{key}: {value!r} is neither true nor false")
        if value:
            raise ConfigError(f"settings.{key}: true, but this sender has no way to carry {what}")
    for key, what in ONE_ONLY.items():
        value = _found(words, key)
        for each in value if isinstance(value, list) else [value]:
            if each is not None and (isinstance(each, bool) or each != 1):
                raise ConfigError(f"settings.{key}: {each!r}, but this sender carries 1 of {what}")
    for key, allowed in WORDS.items():
        value = _found(words, key)
        if value is not None and value not in allowed:
            raise ConfigError(f"settings.{key}: {value!r} is none of {', '.join(allowed)}")
    kinds = words.get("hostTypes") or []
    if not isinstance(kinds, list) or not all(isinstance(kind, str) for kind in kinds):
        raise ConfigError("settings.hostTypes: not a list of names")
    for key in ("domain.perCall", "domain.routesApart"):
        value = _found(words, key)
        if value is not None and (not isinstance(value, list) or len(value) != max(1, len(kinds))):
            raise ConfigError(f"settings.{key}: not a list with one entry for each of hostTypes")
    if not all(isinstance(each, bool) for each in _found(words, "domain.routesApart") or ()):
        raise ConfigError("settings.domain.routesApart: an entry is neither true nor false")
    rest = _found(words, "rules.settleAfterDoubtMs")
    if rest is not None and (isinstance(rest, bool) or not isinstance(rest, int | float) or rest < 0):
        raise ConfigError(f"settings.rules.settleAfterDoubtMs: {rest!r} is not a number from 0 up")
    for at, service in enumerate(words["services"]):
        in_order = service.get("oneAtATime")
        if in_order is not None and not isinstance(in_order, bool):
            raise ConfigError(f"settings.services[{at}].oneAtATime: {in_order!r} is neither true nor false")


def decode(raw: object, environment: Mapping[str, str]) -> Config:
    """The configuration; the environment names what the file leaves out."""
    if not isinstance(raw, dict):
        raise ConfigError("the configuration is not an object")
    told = {
        key: environment[f"BALANCER_{key.upper()}"]
        for key in TOLD
        if environment.get(f"BALANCER_{key.upper()}")
    }
    raw = {**raw, **told}
    words, number = _at(raw, "settings", dict), (int, float)
    for key in NUMBERS:
        _at(raw, f"settings.{key}", number)
    for at, service in enumerate(_at(raw, "settings.services", list)):
        for key in ("objectiveMs", "deadlineMs", "importance"):
            if not isinstance(service, dict) or not isinstance(service.get(key), number):
                raise ConfigError(f"settings.services[{at}].{key}: missing or not a number")
    _check(words)
    try:
        decided = settings.decode(words)
    except KeyError as problem:
        raise ConfigError(f"settings: key {problem.args[0]!r} is missing or its value unknown") from problem
    except (TypeError, AttributeError, ValueError) as problem:
        raise ConfigError(f"settings: {problem}") from problem
    state = _at(raw, "state", str)
    if not os.path.isdir(state):
        raise ConfigError(f"state: {state!r} is not a folder")
    known = raw.get("known") or {}
    if not isinstance(known, dict):
        raise ConfigError("known: not an object")
    return Config(
        name=_at(raw, "name", str),
        listen=_address(raw, "listen"),
        discovery=_address(raw, "discovery"),
        state=state,
        seed=_seed(str(raw.get("seed") or "0")),
        sockets=int(_at(raw, "limits.sockets", number)),
        disk_bytes=int(_at(raw, "limits.disk_mb", number) * 1_000_000),
        idle_ms=float(_at(raw, "settings.limits.connIdleMs", number)),
        dial_ms=float(_at(raw, "settings.limits.dialTimeoutMs", number)),
        kinds=tuple(words.get("hostTypes") or ()),
        known=known,
        settings=decided,
        ops=_address(raw, "ops") if raw.get("ops") is not None else None,
        version=_version(raw),
    )


def load(environment: Mapping[str, str] = os.environ, again: bool = False) -> Config:
    """Reads the file; again: while the sender runs, when the file says where discovery is now."""
    path = environment.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: not set; it names the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as problem:
        raise ConfigError(f"BALANCER_CONFIG: {problem}") from problem
    if again and isinstance(raw, dict) and raw.get("discovery"):
        environment = {key: text for key, text in environment.items() if key != "BALANCER_DISCOVERY"}
    return decode(raw, environment)


def fits(fresh: Config, old: Config, held: set[str], listed: int) -> None:
    """While it runs: refuses what the documents and endpoints at hand do not allow. held: types of documents;
    listed: the last kind of which an endpoint is listed."""
    effects = {kind.name: kind.effect for kind in fresh.settings.types}
    before = {kind.name: kind.effect for kind in old.settings.types}
    for name in sorted(held):
        at = f"settings.services: documents of {name!r} are held, and it"
        if name not in effects:
            raise ConfigError(f"{at} is missing")
        if effects[name] != before.get(name, effects[name]):
            raise ConfigError(f"{at} changes its effect")
    both = min(len(fresh.kinds), len(old.kinds))
    if fresh.kinds[:both] != old.kinds[:both] or listed >= max(1, both):
        raise ConfigError(
            "settings.hostTypes: while it runs, kinds come and go only at the end, and "
            "none that is listed may go"
        )


def take_over(fresh: Config, old: Config) -> tuple[Config, list[str], list[str]]:
    """At SIGHUP: the configuration from now on, the settings that change, and what waits for a restart."""
    changed = [
        each.name
        for each in dataclasses.fields(Settings)
        if getattr(fresh.settings, each.name) != getattr(old.settings, each.name)
    ]
    waits = [
        each.name
        for each in dataclasses.fields(Config)
        if each.name not in RELOADED and getattr(fresh, each.name) != getattr(old, each.name)
    ]
    return dataclasses.replace(old, **{name: getattr(fresh, name) for name in RELOADED}), changed, waits
