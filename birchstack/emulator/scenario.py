"""Scenarios of the emulator as typed values, read from TOML or generated from a seed.

This module defines the keys of a scenario, their defaults and checks, and the kinds of trouble (injected
faults and load changes). It runs nothing. Times are milliseconds where a key ends in _ms, else seconds.
"""

from __future__ import annotations

import random
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0)]
NonNegative = Annotated[float, Meta(ge=0.0)]
Count = Annotated[int, Meta(ge=1)]

# Kinds of trouble, by what they affect. Destinations are cold after an outage.
OUTAGES = ("silent", "refusing", "crash", "vanish", "shut", "shut_told")
DEGRADATIONS = ("erring", "slow", "stalling", "answer_lost", "spoilt", "idle_dropped", "limit_lowered")
LIST_CHANGES = ("drain", "replace", "readdress")
WRITE_KILLS = {"kill_at_write": "before", "torn_write": "torn", "kill_after_write": "after"}
SENDER_TROUBLES = ("sigterm", "kill", *WRITE_KILLS, "stand_still", "disk_full", "clock_step")
ENVIRONMENT_TROUBLES = ("discovery_silent", "jump", "bad_clients")
KINDS = OUTAGES + DEGRADATIONS + LIST_CHANGES + SENDER_TROUBLES + ENVIRONMENT_TROUBLES
Kind = Literal[KINDS]


class ScenarioError(Exception):
    """A scenario is invalid; the message names the file, the path of the key and the error."""


class DocumentType(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One document type; share is its relative share of all documents."""

    name: str
    effect: Literal["replayable", "numbered", "binding"]
    share: Positive = 1.0
    agreed_ms: Positive = 2500.0
    expiry_ms: Positive = 12000.0
    value: Positive = 1.0
    late_share: Share = 0.4
    window_ms: NonNegative = 6000.0
    in_order: bool = False
    keys: Count = 8


class Limit(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limit of a destination over all senders.

    Kinds: rate: evenly spaced calls; bucket: a token bucket with burst tokens; span: a sliding window of
    span_ms; flight: calls in flight, whose number is given as per_second.
    """

    kind: Literal["rate", "bucket", "span", "flight"] = "bucket"
    per_second: Positive = 20.0
    burst: Positive = 5.0
    span_ms: Positive = 1000.0
    tells_wait: bool = False
    reports: bool = False
    report_late_ms: NonNegative = 200.0


class Group(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Destinations with equal properties; weight is the relative share of the traffic of each of them."""

    count: Count = 1
    endpoints: Count = 2
    weight: Positive = 1.0
    answer_ms: Positive = 60.0
    spread: NonNegative = 0.4  # sigma of the lognormal answer time
    places: Count = 16  # calls that one endpoint serves at once
    queue: Annotated[int, Meta(ge=0)] = 32
    capacity: Positive = 2.5  # when warm, as a multiple of its usual traffic
    limit: Limit | None = None


class Connections(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Connections between senders and endpoints."""

    setup_ms: NonNegative = 20.0  # added to the first call on a new connection
    idle_ms: Positive = 10000.0  # idle connections are closed after exactly this time
    table: Count = 256  # most open connections of one endpoint


class Cold(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Behaviour after an outage: the capacity rises from share to 1, and more calls cause an overload."""

    share: Share = 0.3
    warm_up_ms: Positive = 8000.0
    multiple: Positive = 0.9  # of the current capacity, for the overload; see destinations.most_calls()
    for_ms: Positive = 2000.0  # window in which calls are counted
    fallen_ms: Positive = 10000.0  # duration of an overload


class Network(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Latency of the simulated network, each way; jitter is a share of it."""

    delay_ms: NonNegative = 5.0
    client_delay_ms: NonNegative = 0.05
    jitter: Share = 0.2


class Discovery(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Timing of discovery."""

    delay_ms: NonNegative = 800.0  # from a change to its announcement; at random, up to twice as long
    beat_ms: Positive = 2000.0  # interval of heartbeats
    grace_ms: Positive = 2000.0  # a draining endpoint must get no new calls after this time
    leaves_ms: Positive = 6000.0  # and it leaves after this time


class Clients(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Load generator: the clients that submit documents."""

    per_second: Positive = 35.0
    patience_ms: Positive = 400.0  # time-out of a client for the answer to a submission
    returns: Annotated[int, Meta(ge=0)] = 3  # most resubmissions of a document
    again_ms: Positive = 500.0  # wait before a resubmission, after a rejection without Retry-After
    sizes: tuple[Count, Count] = (100, 2000)
    uneven: NonNegative = 0.0  # sigma of the senders' lognormal shares of the documents; 0: equal shares


class SenderSide(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of the senders."""

    slots: Count = 40
    max_held: Count = 400
    max_transmissions: Count = 12
    retry_after_ms: NonNegative = 3000.0
    dial_ms: Positive = 1000.0
    sockets: Count = 512
    disk_mb: Positive = 3.0
    key_rest_ms: NonNegative = 1000.0


class Trouble(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One trouble: an injected fault or change of load.

    It affects the given destinations (by number) or else a share of all, and the given senders (by number) or
    else all. The meaning of size depends on the kind: erring, answer_lost, spoilt, drain, replace, readdress:
    share of calls or endpoints; slow, jump: factor; limit_lowered: remaining share of the limit;
    idle_dropped: idle time in milliseconds; kill_at_write, torn_write, kill_after_write: number of the write,
    from the start of the trouble; clock_step: seconds; bad_clients: connections per second.
    """

    kind: Kind
    at: NonNegative
    seconds: NonNegative = 5.0
    destinations: tuple[int, ...] | None = None
    share: Share = 0.2
    senders: tuple[int, ...] | None = None
    size: float | None = None


DEFAULT_SIZE = {
    "erring": 0.8,
    "answer_lost": 0.1,
    "spoilt": 0.1,
    "drain": 0.5,
    "replace": 0.5,
    "readdress": 0.5,
    "slow": 8.0,
    "jump": 2.0,
    "limit_lowered": 0.4,
    "idle_dropped": 300.0,
    "kill_at_write": 3.0,
    "torn_write": 3.0,
    "kill_after_write": 3.0,
    "clock_step": -30.0,
    "bad_clients": 10.0,
}


class Scenario(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One scenario: the simulated system, its load and its troubles."""

    name: str = "unnamed"
    seconds: Positive = 40.0
    senders: Count = 3
    types: tuple[DocumentType, ...] = (
        DocumentType(name="sync", effect="replayable", share=0.6),
        DocumentType(name="order", effect="binding", share=0.3, expiry_ms=16000.0),
        DocumentType(name="stock", effect="numbered", share=0.05),
        DocumentType(name="turn", effect="replayable", share=0.05, in_order=True),
    )
    destinations: tuple[Group, ...] = (
        Group(count=2, weight=3.0),
        Group(count=4, endpoints=2, answer_ms=120.0),
        Group(count=2, limit=Limit(per_second=12.0, reports=True)),
        Group(count=2, endpoints=1, limit=Limit(kind="span", per_second=10.0, tells_wait=True)),
    )
    clients: Clients = Clients()
    connections: Connections = Connections()
    cold: Cold = Cold()
    network: Network = Network()
    discovery: Discovery = Discovery()
    sender: SenderSide = SenderSide()
    troubles: tuple[Trouble, ...] = ()


def load(path: str | Path) -> Scenario:
    """Reads a scenario file; raises ScenarioError with the path of an invalid key."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from error
    try:
        scenario = msgspec.toml.decode(data, type=Scenario)
    except msgspec.DecodeError as error:  # a syntax error, or an invalid key (ValidationError)
        raise ScenarioError(f"{path}: {error}") from error
    check(scenario, str(path))
    return scenario


def dump(scenario: Scenario) -> bytes:
    """Returns the shortest TOML that load() reads as this scenario; needs tomli-w (extra: lab)."""
    import tomli_w

    return tomli_w.dumps(_without_defaults(scenario)).encode()


def _without_defaults(value: object) -> object:
    if isinstance(value, Struct):
        kept = {}
        for field in msgspec.structs.fields(value):
            field_value = getattr(value, field.name)
            if field_value is not None and (
                field.required or field.default is msgspec.NODEFAULT or field_value != field.default
            ):
                kept[field.name] = _without_defaults(field_value)
        return kept
    return [_without_defaults(each) for each in value] if isinstance(value, tuple) else value


def check(scenario: Scenario, where: str = "scenario") -> None:
    """Checks what the types do not express; raises ScenarioError."""
    destinations = sum(group.count for group in scenario.destinations)
    for index, trouble in enumerate(scenario.troubles):
        path = f"{where}: $.troubles[{index}]"
        for number in trouble.destinations or ():
            if not 0 <= number < destinations:
                raise ScenarioError(f"{path}.destinations: {number} is not within 0..{destinations - 1}")
        for number in trouble.senders or ():
            if not 0 <= number < scenario.senders:
                raise ScenarioError(f"{path}.senders: {number} is not within 0..{scenario.senders - 1}")
        size = trouble.size
        if (
            size is not None
            and trouble.kind in ("erring", "answer_lost", "spoilt", "drain", "replace", "readdress")
            and not 0.0 <= size <= 1.0
        ):
            raise ScenarioError(f"{path}.size: {size} is not within 0..1, as {trouble.kind} requires")
    names = [kind.name for kind in scenario.types]
    if len(set(names)) < len(names) or not names:
        raise ScenarioError(f"{where}: $.types: at least one document type is required, with distinct names")


def draw(
    seed: int, base: Scenario | None = None, max_troubles: int = 3, kinds: tuple[str, ...] = KINDS
) -> Scenario:
    """Returns a scenario with up to max_troubles random troubles, which may overlap, drawn from a seed."""
    base = base or Scenario(seconds=30.0)
    rng = random.Random(f"troubles {seed}")
    troubles = []
    for _ in range(rng.randint(1, max_troubles)):
        kind = rng.choice(kinds)
        at = round(rng.uniform(3.0, base.seconds * 0.6), 1)
        seconds = round(rng.uniform(1.0, base.seconds * 0.3), 1)
        size = DEFAULT_SIZE.get(kind)
        if kind in WRITE_KILLS:
            size = float(rng.randint(1, 12))
        elif kind == "clock_step":
            size = rng.choice((-60.0, -5.0, 5.0, 60.0))
        elif kind == "idle_dropped":
            size = rng.choice((100.0, 300.0, 1000.0))
        elif size is not None and size <= 1.0:
            size = round(rng.uniform(0.1, 1.0), 2)
        senders = (rng.randrange(base.senders),) if rng.random() < 0.7 else None
        troubles.append(
            Trouble(
                kind=kind,
                at=at,
                seconds=seconds,
                size=size,
                share=round(rng.uniform(0.1, 0.6), 2),
                senders=senders,
            )
        )
    troubles.sort(key=lambda each: each.at)
    return msgspec.structs.replace(base, name=f"drawn-{seed}", troubles=tuple(troubles))
