"""What it costs to remember endpoints that are down over a restart, by their number, with 36,000 listed.

The ledger on a real folder and the decisions, without sockets. A change is one endpoint that goes down; a
start reads the ledger and hands all that it tells to new decisions that have the list already.
"""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable

from benchmarks.capacity.decisions import QuietHost, settings
from benchmarks.capacity.listing import entry
from birchstack import interface as our
from birchstack.decide import Sender
from birchstack.net.by_hand import AdministrativeStates
from birchstack.net.ledger import FILE, Ledger
from birchstack.net.machine import Folder
from birchstack.net.recollection import StoredEndpointStates

NAME = "recoveries"
LISTED = 36_000
POINTS = (100, 400, 800, 1_692)
SMALL = (5, 10, 20)
ROOM = 64_000_000
PLAYS = 5  # the least processor time of so many counts: what disturbs only adds to it
FIGURES = {
    "disk": "bytes",
    "CPU of a change": "s",
    "CPU of a start": "s",
    "CPU of a start's ledger": "s",
    "written anew": "bytes",
}


def _spent(action: Callable[[], object]) -> float:
    began = time.process_time()
    action()
    return time.process_time() - began


def _decisions(names: list[str]) -> Sender:
    """All listed, nothing known of any of them."""
    sender = Sender(settings(550), 7, QuietHost())
    listed = [our.Endpoint(name, 1 + at, "z", 0, our.READY, 0.0) for at, name in enumerate(names)]
    sender.endpoints(0.0, our.WHOLE, listed)
    sender.turn(0.0)
    return sender


def _start(folder: Folder, sender: Sender, listed: list[our.Endpoint]) -> float:
    """Hands over what a new process reads; returns the processor time of reading alone."""
    began = time.process_time()
    ledger = Ledger(folder, ROOM)
    read_s = time.process_time() - began
    for recalled in StoredEndpointStates(ledger, AdministrativeStates(folder, lambda: 0.0)).pop_listed(
        60_000.0, listed
    ):
        sender.restore_recovery(0.0, recalled.recovery)
    ledger.close()
    return read_s


def point(down: int) -> dict[str, float]:
    names = [entry(at)["uid"] for at in range(LISTED)]
    listed = [our.Endpoint(name, 1 + at, "z", 0, our.READY, 0.0) for at, name in enumerate(names)]
    changed = [our.Recovery(name, our.RecoveryStage.DOWN, 0.0, 12_345, 86_400_000.0) for name in names[:down]]
    with tempfile.TemporaryDirectory() as path:
        folder = Folder(path)
        ledger = Ledger(folder, ROOM)
        change_s = _spent(lambda: [ledger.record_recovery(1.0e12, each) for each in changed]) / down
        disk = folder.size(FILE)
        ledger.compact()
        anew = folder.size(FILE)
        ledger.close()
        starts = []
        for _ in range(PLAYS):
            sender = _decisions(names)
            began = time.process_time()
            read_s = _start(folder, sender, listed)
            starts.append((time.process_time() - began, read_s))
            if len(sender.ejected_endpoints()) != down:
                raise RuntimeError(f"{len(sender.ejected_endpoints())} of {down} are known to be down")
    return {
        "disk": disk,
        "CPU of a change": change_s,
        "CPU of a start": min(whole for whole, _ in starts),
        "CPU of a start's ledger": min(read for _, read in starts),
        "written anew": anew,
    }


def measure(points: tuple[int, ...]) -> list[tuple[float, dict[str, float]]]:
    return [(down, point(down)) for down in points]
