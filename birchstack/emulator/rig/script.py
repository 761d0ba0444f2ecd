"""A rig's day as TOML: who is there, and what is done to whom at which second.

Owns the names of the steps and their checks. Must never play anything but through a rig's own calls.

    name = "cut off while an endpoint is taken out"
    seconds = 4.0
    senders = 5
    [[step]]
    at = 1.0
    do = "cut"
    link = ["n1", "list"]
    way = "both"
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct

from birchstack.emulator.rig.real import Rig

LINKS = ("cut", "hold", "delay", "slow", "refuse", "reset", "open")
PROCESSES = ("kill", "stop", "go", "term", "start", "beside", "clone", "lose_folder")
LISTS = ("publish", "restore", "stand_still", "move_on")
Do = Literal[LINKS + PROCESSES + LISTS]
Many = Annotated[int, Meta(ge=1, le=400)]


class ScriptError(Exception):
    """Names the file, the key's path and what is wrong."""


class Step(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """link: from and to, "*" for any that there is. name: a process; of: whose folder or which sender.
    states: by endpoint, for publish. number: of a version, for restore. ms, rate: for delay and slow."""

    at: Annotated[float, Meta(ge=0.0)]
    do: Do
    link: tuple[str, str] | None = None
    way: Literal["there", "back", "both"] = "both"
    name: str = ""
    of: str = ""
    states: dict[str, Literal["active", "leaving", "left"]] = {}
    number: int = 0
    epoch: str | None = None
    ms: Annotated[float, Meta(ge=0.0)] = 0.0
    rate: Annotated[float, Meta(ge=0.0)] = 0.0


class Script(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    name: str
    seconds: Annotated[float, Meta(gt=0.0, le=600.0)] = 5.0
    senders: Many = 5
    keepers: Annotated[int, Meta(ge=0, le=9)] = 1
    endpoints: Many = 4
    destinations: Many = 2
    per_second: Annotated[float, Meta(gt=0.0)] = 60.0
    step: tuple[Step, ...] = ()


def decode(text: bytes, path: str) -> Script:
    try:
        told = msgspec.toml.decode(text, type=Script)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise ScriptError(f"{path}: {problem}") from problem
    names = {f"n{at + 1}" for at in range(told.senders)} | {f"k{at + 1}" for at in range(told.keepers)}
    for at, step in enumerate(told.step):
        where = f"{path}: `$.step[{at}]`"
        if step.do in LINKS and step.link is None:
            raise ScriptError(f"{where}: {step.do!r} wants link")
        if step.do in PROCESSES:
            known = step.name in names
            if step.do in ("beside", "clone"):
                names.add(step.name)
                known = bool(step.name) and step.of in names
            if not known:
                raise ScriptError(f"{where}: name, of: {step.name!r}, {step.of!r} is no process of this day")
        if step.do == "publish" and not step.states:
            raise ScriptError(f"{where}: 'publish' wants states")
    return told


def load(path: str) -> Script:
    try:
        return decode(Path(path).read_bytes(), path)
    except OSError as problem:
        raise ScriptError(f"{path}: {problem.strerror}") from problem


async def carry_out(rig: Rig, step: Step) -> None:
    """One step, by the rig's own calls."""
    if step.do in LINKS:
        for link in _links(rig, *step.link):
            words = {"delay": (step.ms,), "slow": (step.rate,)}.get(step.do, ())
            ways = () if step.do in ("refuse", "reset") else (step.way,)
            getattr(link, step.do)(*words, *ways)
    elif step.do == "publish":
        rig.list.publish(**step.states)
    elif step.do == "restore":
        rig.list.restore(step.number, step.epoch)
    elif step.do == "stand_still":
        rig.list.still.add(step.name)
    elif step.do == "move_on":
        rig.list.still.discard(step.name)
    elif step.do == "beside":
        rig.add_sender(step.name, of=step.of)
        await rig[step.name].start()
    elif step.do == "clone":
        rig.copy_folder(step.of, step.name)
    elif step.do == "lose_folder":
        rig.lose_folder(step.name)
    elif step.do == "start":
        await rig[step.name].start("event=keeping" if step.name in rig.keepers else "event=ready")
    elif step.do == "kill":
        await rig[step.name].kill()
    elif step.do == "term":
        rig[step.name].signal(signal.SIGTERM)
    else:
        getattr(rig[step.name], step.do)()


def _links(rig: Rig, a: str, b: str) -> list:
    return [rig.link(a, b)] if "*" not in (a, b) else rig.links_of(a, b)


async def play(told: Script, rig: Rig) -> None:
    """The day on a rig that stands; at its end there is no new traffic."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    rig.load(told.per_second)
    for step in sorted(told.step, key=lambda each: each.at):
        await asyncio.sleep(max(0.0, began + step.at - loop.time()))
        await carry_out(rig, step)
    await asyncio.sleep(max(0.0, began + told.seconds - loop.time()))
    await rig.quiet()


def rig_of(told: Script, folder: Path, **words: object) -> Rig:
    return Rig(folder, told.senders, told.keepers, told.endpoints, told.destinations, **words)
