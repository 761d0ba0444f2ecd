"""What is played: a scenario as typed values, read from TOML or drawn from a seed.

Owns the names of a scenario's keys, their defaults, their checks and the kinds of trouble. Must never play
anything. Times are milliseconds where a key ends in _ms, else seconds.
"""

from __future__ import annotations

import random
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Above = Annotated[float, Meta(gt=0.0)]
NotBelow = Annotated[float, Meta(ge=0.0)]
Count = Annotated[int, Meta(ge=1)]

# kinds of trouble by what they strike
OUTAGES = (
    "silent",
    "refusing",
    "crash",
    "vanish",
    "shut",
    "shut_told",
)  # the destination is cold after these
HARMS = ("erring", "slow", "stalling", "answer_lost", "spoilt", "idle_dropped", "limit_lowered")
LISTS = ("drain", "replace", "readdress")
WRITES = {"kill_at_write": "before", "torn_write": "torn", "kill_after_write": "after"}
SENDERS = ("sigterm", "kill", *WRITES, "stand_still", "disk_full", "clock_step")
AROUND = ("discovery_silent", "jump", "bad_clients")
KINDS = OUTAGES + HARMS + LISTS + SENDERS + AROUND
Kind = Literal[KINDS]


class ScenarioError(Exception):
    """Names the file, the key's path and what is wrong."""


class DocumentType(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One document type; share is its part of all documents."""

    name: str
    effect: Literal["replayable", "numbered", "binding"]
    share: Above = 1.0
    agreed_ms: Above = 2500.0
    expiry_ms: Above = 12000.0
    value: Above = 1.0
    late_share: Share = 0.4
    window_ms: NotBelow = 6000.0
    in_order: bool = False
    keys: Count = 8


class Limit(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What a destination takes from all senders together.

    rate: calls spaced evenly; bucket: burst tokens besides; span: so many in each span_ms; flight: so many at
    once (per_second is then that number)."""

    kind: Literal["rate", "bucket", "span", "flight"] = "bucket"
    per_second: Above = 20.0
    burst: Above = 5.0
    span_ms: Above = 1000.0
    tells_wait: bool = False
    reports: bool = False
    report_late_ms: NotBelow = 200.0


class Group(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Destinations that are alike; weight is the part of the traffic of each of them."""

    count: Count = 1
    endpoints: Count = 2
    weight: Above = 1.0
    answer_ms: Above = 60.0
    spread: NotBelow = 0.4  # sigma of the lognormal answer time
    places: Count = 16  # calls served at once by one endpoint
    queue: Annotated[int, Meta(ge=0)] = 32
    capacity: Above = 2.5  # times its usual traffic: what it can do when warm
    limit: Limit | None = None


class Connections(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    setup_ms: NotBelow = 20.0  # added to the first call on a new connection
    idle_ms: Above = 10000.0  # closed exactly then
    table: Count = 256  # connections that one endpoint holds


class Cold(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """After an outage: capacity from a share up to all of it, and when it falls over again."""

    share: Share = 0.3
    warm_up_ms: Above = 8000.0
    multiple: Above = 0.9  # of what it can do then; chance brings more, see most_calls()
    for_ms: Above = 2000.0
    fallen_ms: Above = 10000.0


class Network(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    delay_ms: NotBelow = 5.0
    client_delay_ms: NotBelow = 0.05
    jitter: Share = 0.2


class Discovery(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    delay_ms: NotBelow = 800.0  # from a change to its being told, and by this much again by chance
    beat_ms: Above = 2000.0
    grace_ms: Above = 2000.0  # a drained endpoint gets nothing new after this
    leaves_ms: Above = 6000.0  # and is gone after this


class Clients(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    per_second: Above = 35.0
    patience_ms: Above = 400.0
    returns: Annotated[int, Meta(ge=0)] = 3  # times that a document is handed in again
    again_ms: Above = 500.0  # after a rejection that told no time
    sizes: tuple[Count, Count] = (100, 2000)
    uneven: NotBelow = 0.0  # sigma of the lognormal parts of the senders in the documents; 0: equal parts


class SenderSide(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What the senders are told."""

    slots: Count = 40
    max_held: Count = 400
    max_transmissions: Count = 12
    retry_after_ms: NotBelow = 3000.0
    dial_ms: Above = 1000.0
    sockets: Count = 512
    disk_mb: Above = 3.0
    key_rest_ms: NotBelow = 1000.0


class Trouble(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One trouble. destinations (by number) or a share of them; senders by number; size by kind:

    erring, answer_lost, spoilt, drain, replace, readdress: share of calls or endpoints; slow, jump: a factor;
    limit_lowered: what is left; idle_dropped: milliseconds of idle time; kill_at_write, torn_write,
    kill_after_write: which write after the start of the trouble; clock_step: seconds; bad_clients: such
    connections a second."""

    kind: Kind
    at: NotBelow
    seconds: NotBelow = 5.0
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
    name: str = "unnamed"
    seconds: Above = 40.0
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
    """Reads a scenario file; ScenarioError names the path of a key that is wrong."""
    try:
        data = Path(path).read_bytes()
    except OSError as problem:
        raise ScenarioError(f"{path}: {problem.strerror}") from problem
    try:
        scenario = msgspec.toml.decode(data, type=Scenario)
    except msgspec.DecodeError as problem:  # of the syntax, or of a key (ValidationError)
        raise ScenarioError(f"{path}: {problem}") from problem
    check(scenario, str(path))
    return scenario


def dump(scenario: Scenario) -> bytes:
    """The shortest TOML that load() reads back as this scenario; needs tomli-w (extra: lab)."""
    import tomli_w

    return tomli_w.dumps(_shortened(scenario)).encode()


def _shortened(value: object) -> object:
    if isinstance(value, Struct):
        plain = {}
        for field in msgspec.structs.fields(value):
            at = getattr(value, field.name)
            if at is not None and (
                field.required or field.default is msgspec.NODEFAULT or at != field.default
            ):
                plain[field.name] = _shortened(at)
        return plain
    return [_shortened(each) for each in value] if isinstance(value, tuple) else value


def check(scenario: Scenario, where: str = "scenario") -> None:
    """What the types alone cannot say."""
    many = sum(group.count for group in scenario.destinations)
    for at, trouble in enumerate(scenario.troubles):
        path = f"{where}: $.troubles[{at}]"
        for number in trouble.destinations or ():
            if not 0 <= number < many:
                raise ScenarioError(f"{path}.destinations: {number} is not within 0..{many - 1}")
        for number in trouble.senders or ():
            if not 0 <= number < scenario.senders:
                raise ScenarioError(f"{path}.senders: {number} is not within 0..{scenario.senders - 1}")
        size = trouble.size
        if (
            size is not None
            and trouble.kind in ("erring", "answer_lost", "spoilt", "drain", "replace", "readdress")
            and not 0.0 <= size <= 1.0
        ):
            raise ScenarioError(f"{path}.size: {size} is not a share (0..1) as {trouble.kind} wants it")
    names = [kind.name for kind in scenario.types]
    if len(set(names)) < len(names) or not names:
        raise ScenarioError(f"{where}: $.types: names must differ, and there must be one")


def draw(seed: int, base: Scenario | None = None, most: int = 3, kinds: tuple[str, ...] = KINDS) -> Scenario:
    """A day with up to `most` troubles that may overlap, drawn from a seed."""
    base, chance = base or Scenario(seconds=30.0), random.Random(f"troubles {seed}")
    troubles = []
    for _ in range(chance.randint(1, most)):
        kind = chance.choice(kinds)
        at = round(chance.uniform(3.0, base.seconds * 0.6), 1)
        seconds = round(chance.uniform(1.0, base.seconds * 0.3), 1)
        size = DEFAULT_SIZE.get(kind)
        if kind in WRITES:
            size = float(chance.randint(1, 12))
        elif kind == "clock_step":
            size = chance.choice((-60.0, -5.0, 5.0, 60.0))
        elif kind == "idle_dropped":
            size = chance.choice((100.0, 300.0, 1000.0))
        elif size is not None and size <= 1.0:
            size = round(chance.uniform(0.1, 1.0), 2)
        senders = (chance.randrange(base.senders),) if chance.random() < 0.7 else None
        troubles.append(
            Trouble(
                kind=kind,
                at=at,
                seconds=seconds,
                size=size,
                share=round(chance.uniform(0.1, 0.6), 2),
                senders=senders,
            )
        )
    troubles.sort(key=lambda each: each.at)
    return msgspec.structs.replace(base, name=f"drawn-{seed}", troubles=tuple(troubles))
