"""The trail of one sender, by documents a second: the audit log as it ships on a real folder, no sockets.

x: documents a second. A turn of a sender gathers what came in one pass of its loop, so both ends are
measured: every document in a turn of its own, and TOGETHER in one turn. SECONDS of such a second's
documents are recorded; the trail has its usual room, so the oldest is folded meanwhile. What a keeper that
asks once a second takes over the network counts with it (whole pieces, with their heads).
"""

from __future__ import annotations

import tempfile
import time

from birchstack.emulator.rig import site
from birchstack.fleet import settings as fleet_settings
from birchstack.fleet import wire
from birchstack.fleet.audit_log import FleetAuditLog
from birchstack.fleet.records import Damage, scan_frames
from birchstack.net import http1
from birchstack.net.audit import SenderStatus
from birchstack.net.config import decode
from birchstack.net.machine import Machine

NAME = "audit"
TOGETHER, SECONDS = 5, 20
POINTS, SMALL = (125, 250, 500, 1018, 2036), (50, 100, 200)
FIGURES = {
    f"{how}: {what}": unit
    for how in ("alone", f"{TOGETHER} together")
    for what, unit in {
        "trail": "bytes a second",
        "to a keeper": "bytes a second",
        "CPU": "cores",
        "room lasts": "s",
    }.items()
}


class Sender:
    """An audit log and its folder, as net.sender.Node holds them."""

    def __init__(self, folder: str) -> None:
        machine, fleet = Machine(), fleet_settings.FleetSettings()
        raw = site.sender("n1", "127.0.0.1:9", "127.0.0.1:9", "127.0.0.1:9", folder, 1, {}, 550)
        config = fleet_settings.reserve_trail_space(fleet, decode(raw, {}))
        self.room = fleet.trail.bytes
        self.audit = FleetAuditLog(
            fleet, config, machine, machine.folder(folder), lambda: SenderStatus(True, 100, 900.0), print
        )
        self.audit.start(True)
        self.audit.record_settings(config, "start")
        self.audit.record_list(
            {"rev": 1, "all": True, "targets": [site.entry("s-5be2a07c", 1)]}, "127.0.0.1:8500"
        )
        self.taken, self.wire_bytes, self.records = 0, 0, 0

    def asked(self) -> None:
        """A keeper asks until it has all."""
        request = http1.request("GET", wire.request_target(self.taken), "127.0.0.1:7401")
        answer = self.audit.answer_keeper({"after": [str(self.taken)]}, b"")
        piece = wire.decode(answer.content)
        frames = [each for each in scan_frames(piece.frames) if not isinstance(each, Damage)]
        self.wire_bytes += len(request) + len(answer.bytes())
        self.records += len(frames)
        if frames:
            self.taken = frames[-1].number
            if self.taken < piece.last:
                self.asked()


def play(per_second: int, together: int, seconds: int = SECONDS) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        sender, turns, spent_s = Sender(folder), 0, 0.0
        sender.asked()
        sender.wire_bytes = 0
        trail, before = 0, sender.audit._files.trail
        for second in range(seconds):
            for first in range(0, per_second, together):
                calls = [
                    (f"9b1f03aa{second * per_second + first + at:08x}", f"s-{first * 7919 & 0xFFFFFFFF:08x}")
                    for at in range(min(together, per_second - first))
                ]
                began = time.process_time()
                sender.audit.record_turn(calls, [], [])
                spent_s += time.process_time() - began
                turns += 1
                trail += len(before.segments[-1].data) - before.segments[-1].offsets[-1]
            sender.asked()
        sender.audit.stop()
        if sender.records < turns:
            raise ValueError(f"{sender.records} records came of {turns} turns")
        per_s = trail / seconds
        return {
            "trail": per_s,
            "to a keeper": sender.wire_bytes / seconds,
            "CPU": spent_s / seconds,
            "room lasts": sender.room / per_s,
        }


def measure(points: tuple[int, ...]) -> list[tuple[float, dict[str, float]]]:
    seconds = 2 if max(points) <= max(SMALL) else SECONDS
    ways = (("alone", 1), (f"{TOGETHER} together", TOGETHER))
    return [
        (
            float(each),
            {
                f"{how}: {what}": value
                for how, many in ways
                for what, value in play(each, many, seconds).items()
            },
        )
        for each in points
    ]
