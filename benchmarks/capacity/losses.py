"""What is lost and what is done again: net.sender.Node in virtual time, all surroundings simulated.

x: documents a second to each sender. 12 senders in 3 regions of 4 (a zone is one of them), 21 destinations
of which one is down (4.8%), documents with 8 s to live. Halfway one machine is lost with its folder; or a
process is killed and started again; or a zone goes, or a region, and their documents come to the others
(11/10 there would be 12/11 here, and 3/2). Lost: answered 202, and neither delivered nor ever told of. Done
again: called twice at an endpoint that serves. Unanswered: the client saw its connection break, and has to
hand in anew.
"""

from __future__ import annotations

import logging
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from statistics import mean

from birchstack.emulator.rig.virtual import VirtualRig

NAME = "losses"
SENDERS, DESTINATIONS, ANSWER_MS = 12, 21, 60.0
BEFORE_S, AFTER_S, LEFT_MS, DOWN_MS = 9.0, 9.0, 8000, 600.0
MACHINE, RESTART, ZONE, REGION = "machine with its folder", "restart", "zone", "region"
STRUCK = {MACHINE: 1, RESTART: 1, ZONE: 1, REGION: 4}
SEEDS = 4  # plays of which the mean is told
POINTS, SMALL = (5, 10, 20, 40, 80), (2, 4, 8)
FIGURES = {
    f"{what}: {figure}": unit
    for what in STRUCK
    for figure, unit in {
        "held when it went": "documents",
        "lost": "documents",
        "done again": "documents",
        "unanswered": "documents",
        "not served": "s",
        "usual wait": "ms until the first call",
        "wait afterwards": "ms until the first call",
    }.items()
}


def play(what: str, per_second: float, seed: int = 1) -> dict[str, float]:
    rig = VirtualRig(seed, SENDERS, 0, endpoints=DESTINATIONS, destinations=DESTINATIONS)
    rig.endpoints.answer_ms = ANSWER_MS
    rig.endpoints.status["e1"] = 503
    rig.start()
    rig.run(2.0)
    struck, named = rig.senders[: STRUCK[what]], [*rig.senders]
    end_ms = rig.stage.now_ms() + (BEFORE_S + AFTER_S) * 1000.0
    many = 0

    def hand_in() -> None:
        nonlocal many
        if rig.stage.now_ms() < end_ms:
            many += 1
            name = named[many % len(named)]
            rig.clients.hand_in(name, f"d{many}", 1 + rig.chance.randrange(DESTINATIONS), left_ms=LEFT_MS)
            rig.stage.after(1000.0 / per_second / SENDERS, hand_in)

    hand_in()
    rig.run(BEFORE_S)
    at_ms = rig.stage.now_ms()
    ends = {each.doc for each in rig.endpoints.calls if rig.endpoints.status.get(each.endpoint) is None} | {
        *rig.list.notices
    }
    held = sum(
        each.sender in struck and each.status == 202 and each.doc not in ends
        for each in rig.clients.handed.values()
    )
    for name in struck:
        rig[name].kill()
        if what == MACHINE:
            rig[name].disk.files.clear()
        if what == RESTART:
            rig.stage.after(DOWN_MS, rig[name].start)
        else:
            named.remove(name)
    rig.run(AFTER_S + LEFT_MS / 1000.0 + 3.0)
    if what in (ZONE, REGION):  # they come back with their folders
        for name in struck:
            rig[name].start()
        rig.run(5.0)
    handed = rig.clients.handed
    calls = Counter(each.doc for each in rig.endpoints.calls if each.endpoint not in rig.endpoints.status)
    first: dict[str, float] = {}
    for each in rig.endpoints.calls:
        if each.endpoint not in rig.endpoints.status:
            first.setdefault(each.doc, each.at_ms)
    lost = [
        each
        for each in handed.values()
        if each.status == 202 and each.doc not in calls and each.doc not in rig.list.notices
    ]
    answered = [
        each.answered_ms
        for each in handed.values()
        if each.sender in struck and each.status == 202 and each.answered_ms > at_ms
    ]
    waits = [
        [
            first[each.doc] - each.at_ms
            for each in handed.values()
            if each.doc in first and each.sender not in struck and (each.at_ms >= at_ms) is after
        ]
        for after in (False, True)
    ]
    return {
        "held when it went": held,
        "lost": len(lost),
        "done again": sum(n > 1 for n in calls.values()),
        "unanswered": sum(each.status < 200 for each in handed.values()),
        **({"not served": (min(answered) - at_ms) / 1000.0} if what == RESTART else {}),
        "usual wait": mean(waits[0]),
        "wait afterwards": mean(waits[1]),
    }


def _one(words: tuple[float, str, int]) -> dict[str, float]:
    logging.disable(logging.CRITICAL)
    per_second, what, seed = words
    return {f"{what}: {name}": value for name, value in play(what, per_second, seed).items()}


def measure(points: tuple[int, ...]) -> list[tuple[float, dict[str, float]]]:
    words = [(float(each), what, seed) for each in points for what in STRUCK for seed in range(SEEDS)]
    told: dict[float, dict[str, list[float]]] = {float(each): {} for each in points}
    with ProcessPoolExecutor(4) as pool:
        for (x, *_), figures in zip(words, pool.map(_one, words), strict=True):
            for name, value in figures.items():
                told[x].setdefault(name, []).append(value)
    return [(x, {name: mean(values) for name, values in figures.items()}) for x, figures in told.items()]
