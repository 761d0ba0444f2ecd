"""Configurations of a rig's processes: senders, keepers and the fleet's file, with the platform's keys."""

from __future__ import annotations

import json

SETTINGS = {
    "registryMode": "pushed",
    "hostTypes": ["partner"],
    "domain": {"callsOut": 16, "losesWorth": "linear", "perCall": [1], "routesApart": [False]},
    "limits": {
        "connIdleMs": 10000.0,
        "dialTimeoutMs": 500.0,
        "maxOpen": 400,
        "maxRetryAfterMs": 3000.0,
        "retryAfter": True,
        "sendCap": 6,
        "streamsPerConn": 1,
    },
    "rules": {"answerSlackMs": 20.0, "coldFrom": 0.3, "warmUpMs": 1000.0},
    "services": [
        {
            "name": name,
            "effect": effect,
            "objectiveMs": 2000.0,
            "deadlineMs": 20000.0,
            "importance": 1.0,
            "lateShare": 0.4,
        }
        for name, effect in (("sync", "safe"), ("order", "keyed"), ("pay", "unsafe"))
    ],
}
FLEET = "[trail]\nbytes = 400000\n"


def entry(uid: str, destination: int, state: str = "active") -> dict:
    """Returns an entry of the endpoint list without its address, which differs by sender."""
    return {
        "uid": uid,
        "az": "a",
        "model": "partner",
        "pod_group": destination,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


def sender(
    name: str,
    listen: str,
    ops: str,
    lists: str,
    state: str,
    seed: int,
    known: dict,
    senders: int,
    **more: object,
) -> dict:
    """Returns the configuration of a sender."""
    return {
        "name": name,
        "listen": listen,
        "ops": ops,
        "discovery": lists,
        "state": state,
        "seed": f"{seed:x}",
        "limits": {"sockets": 1024, "disk_mb": 3},
        "known": known,
        "settings": {**SETTINGS, "nInstances": senders},
        **more,
    }


def keeper(
    name: str,
    store: str,
    doors: dict[str, list[str]],
    lists: str | None,
    every_s: float = 0.2,
    behind_s: float = 10.0,
    silent_s: float = 10.0,
    **more: object,
) -> str:
    """Returns the configuration of a keeper, as TOML.

    doors: by sender, its own operators' address and those of its further processes.
    """
    text = [f"name = {json.dumps(name)}", f"store = {json.dumps(store)}"]
    text += [f"{key} = {json.dumps(value)}" for key, value in more.items()]
    if lists:
        text.append(f"[lists]\nat = {json.dumps(lists)}\nbehind_s = {behind_s}")
    text.append(f"[asks]\nevery_s = {every_s}\ntimeout_s = 1.0\npause_s = 1.0\nsilent_s = {silent_s}")
    for sender_name, (first_address, *others) in doors.items():
        text.append(f"[[senders]]\nname = {json.dumps(sender_name)}\nat = {json.dumps(first_address)}")
        text.append(f"also = {json.dumps(others)}")
    return "\n".join(text) + "\n"
