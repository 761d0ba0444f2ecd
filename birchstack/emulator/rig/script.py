"""Scripts of a rig: TOML files with the parties, and the faults injected at each time.

Steps act only through the public methods of the rig, its links and its processes.

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
    """A script is malformed. The text names the file, the path of the key and the problem."""


class Step(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One step of a script.

    link: caller and target, "*" for any existing one. name: a process. of: the process whose folder or sender
    is used. states: by endpoint, for publish. number: the version for restore. ms, rate: for delay and slow.
    """

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
    """A run: the parties of the rig, and the steps by their time."""

    name: str
    seconds: Annotated[float, Meta(gt=0.0, le=600.0)] = 5.0
    senders: Many = 5
    keepers: Annotated[int, Meta(ge=0, le=9)] = 1
    endpoints: Many = 4
    destinations: Many = 2
    per_second: Annotated[float, Meta(gt=0.0)] = 60.0
    step: tuple[Step, ...] = ()


def decode(text: bytes, path: str) -> Script:
    """Returns the script of a TOML text; path is used in error messages."""
    try:
        script = msgspec.toml.decode(text, type=Script)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise ScriptError(f"{path}: {problem}") from problem
    names = {f"n{index + 1}" for index in range(script.senders)} | {
        f"k{index + 1}" for index in range(script.keepers)
    }
    for index, step in enumerate(script.step):
        location = f"{path}: `$.step[{index}]`"
        if step.do in LINKS and step.link is None:
            raise ScriptError(f"{location}: {step.do!r} needs link")
        if step.do in PROCESSES:
            known = step.name in names
            if step.do in ("beside", "clone"):
                names.add(step.name)
                known = bool(step.name) and step.of in names
            if not known:
                raise ScriptError(
                    f"{location}: name, of: {step.name!r}, {step.of!r} is no process of this day"
                )
        if step.do == "publish" and not step.states:
            raise ScriptError(f"{location}: 'publish' needs states")
    return script


def load(path: str) -> Script:
    """Returns the script of a TOML file."""
    try:
        return decode(Path(path).read_bytes(), path)
    except OSError as problem:
        raise ScriptError(f"{path}: {problem.strerror}") from problem


async def carry_out(rig: Rig, step: Step) -> None:
    """Carries out one step on the rig."""
    if step.do in LINKS:
        for link in _links(rig, *step.link):
            values = {"delay": (step.ms,), "slow": (step.rate,)}.get(step.do, ())
            way_values = () if step.do in ("refuse", "reset") else (step.way,)
            getattr(link, step.do)(*values, *way_values)
    elif step.do == "publish":
        rig.list.publish(**step.states)
    elif step.do == "restore":
        rig.list.restore(step.number, step.epoch)
    elif step.do == "stand_still":
        rig.list.frozen.add(step.name)
    elif step.do == "move_on":
        rig.list.frozen.discard(step.name)
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


def _links(rig: Rig, caller: str, target: str) -> list:
    """Returns the link of two parties, or all existing ones that match "*"."""
    return [rig.link(caller, target)] if "*" not in (caller, target) else rig.links_of(caller, target)


async def play(script: Script, rig: Rig) -> None:
    """Runs a script on a rig that is ready; returns after the documents have their answers."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    rig.load(script.per_second)
    for step in sorted(script.step, key=lambda each: each.at):
        await asyncio.sleep(max(0.0, began + step.at - loop.time()))
        await carry_out(rig, step)
    await asyncio.sleep(max(0.0, began + script.seconds - loop.time()))
    await rig.quiet()


def rig_of(script: Script, folder: Path, **options: object) -> Rig:
    """Returns a rig with the parties of a script."""
    return Rig(folder, script.senders, script.keepers, script.endpoints, script.destinations, **options)
