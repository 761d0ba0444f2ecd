"""A region cut off from the two others, by how long: net.sender.Node in virtual time, all surroundings
simulated.

x: seconds. Three regions, each with a third of the senders and an endpoint of every destination; the list
service is in the first. The third is cut off both ways (bytes vanish, nothing is told); meanwhile documents
come to all senders, and an endpoint in the first region is taken out. A dial into the cut shows as silence,
and as a reset when it is over; on real TCP the next dial comes up instead.
"""

from __future__ import annotations

import logging

from birchstack.emulator.rig.virtual import VirtualRig

NAME = "cuts"
REGIONS, LIST_AT, CUT = 3, 0, 2
PER_S = 0.5  # documents a second to each sender
POINTS, SMALL = (10, 30, 60, 120, 240), (4, 8, 16)
SENDERS, FEW = 30, 6
FIGURES = {
    "cut: dials to the list service": "a second a sender, watch and notices",
    "cut: a change acted on by the others": "s",
    "cut: delivered": "of the documents handed in there",
    "others: delivered": "of the documents handed in there",
    "cut: answered as usual": "of the documents handed in there",
    "cut: calls begun into the cut": "a document handed in there",
    "cut: a change acted on, after its publishing": "s, the last",
    "return: a change acted on, after the end": "s, the last",
    "return: most asks in 100 ms": "of the senders cut off",
    "return: bytes from the service": "bytes a sender cut off, in 3 s",
}


class Reached:
    """When a version reached each sender, and bytes of the list service: what the link's near end saw."""

    def __init__(self, rig: VirtualRig, number: int) -> None:
        self._rig, self._mark = rig, b'"rev": %d,' % number
        self.at: dict[str, float] = {}
        self.bytes = dict.fromkeys(rig.senders, 0)
        for name in rig.senders:
            rig.link(name, "list").tap = lambda data, name=name: self._tapped(name, data)

    def _tapped(self, name: str, data: bytes) -> None:
        self.bytes[name] += len(data)
        if self._mark in data:
            self.at.setdefault(name, self._rig.clock.now)

    def last(self, names: list[str]) -> float:
        """Raises KeyError for one that it never reached."""
        return max(self.at[name] for name in names)


def play(seconds: float, senders: int = SENDERS, seed: int = 1) -> dict[str, float]:
    rig = VirtualRig(seed, senders, 0, endpoints=2 * REGIONS, destinations=2)
    for link in [rig.link(name, uid) for name in rig.senders for uid in rig.uids]:
        link.delay(1.0)
    rig.list._beat_ms = 2000.0
    rig.start()
    region = {name: at % REGIONS for at, name in enumerate(rig.senders)}
    region.update((uid, at // 2 % REGIONS) for at, uid in enumerate(rig.uids))
    region["list"] = LIST_AT
    away, rest = ([name for name in rig.senders if (region[name] == CUT) is cut] for cut in (True, False))
    rig.run(5.0)
    handed: list[tuple[str, str]] = []

    def hand_in(until_ms: float) -> None:
        if rig.stage.now_ms() < until_ms:
            name = rig.senders[len(handed) % senders]
            doc = f"d{len(handed)}"
            handed.append((name, doc))
            rig.clients.hand_in(name, doc, 1 + len(handed) // senders % 2)
            rig.stage.after(1000.0 / PER_S / senders, hand_in, until_ms)

    began, reached = rig.clock.now, Reached(rig, rig.list.number + 1)
    links = [
        link
        for (a, b), link in rig.links.items()
        if (region.get(a) == CUT) != (region.get(b) == CUT) and a in region and b in region
    ]
    lists = [rig.link(name, "list") for name in away]
    for link in links:
        link.cut()
    dials, calls = sum(link.dials for link in lists), len(rig.endpoints.calls)
    into = sum(link.dials for link in links if link.target != "list")
    hand_in((began + seconds) * 1000.0)
    rig.run(seconds / 2.0)
    published, _ = rig.clock.now, rig.list.publish(e1="leaving")
    rig.run(seconds / 2.0)
    ended = rig.clock.now
    dials = sum(link.dials for link in lists) - dials
    into = sum(link.dials for link in links if link.target != "list") - into
    before = sum(reached.bytes[name] for name in away)
    for link in links:
        link.open()
    rig.run(3.0)
    size = sum(reached.bytes[name] for name in away) - before
    rig.run(27.0)  # the last documents' time is up
    if faults := [fault for name in rig.senders for fault in rig[name].faults]:
        raise ValueError(faults[0])
    seen = {each.doc for each in rig.endpoints.calls[calls:]}
    asks = sorted(at for at, who, _ in rig.list.asks if who in away and at >= ended * 1000.0)
    most = max(sum(at <= each < at + 100.0 for each in asks) for at in asks)
    parts = [
        sum(doc in seen for name, doc in handed if name in some) / sum(name in some for name, _ in handed)
        for some in (away, rest)
    ]
    answers = [rig.clients.handed[doc].status == 202 for name, doc in handed if name in away]
    last = reached.last(away)
    return {
        "cut: dials to the list service": dials / seconds / len(away),
        "cut: a change acted on by the others": reached.last(rest) - published,
        "cut: delivered": parts[0],
        "others: delivered": parts[1],
        "cut: answered as usual": sum(answers) / len(answers),
        "cut: calls begun into the cut": into / len(answers),
        "cut: a change acted on, after its publishing": last - published,
        "return: a change acted on, after the end": last - ended,
        "return: most asks in 100 ms": most / len(away),
        "return: bytes from the service": size / len(away),
    }


def measure(points: tuple[int, ...]) -> list[tuple[float, dict[str, float]]]:
    logging.disable(logging.CRITICAL)
    try:
        return [(float(each), play(each, FEW if max(points) <= max(SMALL) else SENDERS)) for each in points]
    finally:
        logging.disable(logging.NOTSET)
