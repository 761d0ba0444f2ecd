"""A keeper's store, by senders: pieces as they come from so many doors, taken and committed, no sockets.

x: senders. In turn each hands over a piece of PIECE records of one call each, and what came is committed;
RECORDS in all, made before the clock is read. What a keeper takes a CPU second, and the disk that stays.
"""

from __future__ import annotations

import os
import tempfile
import time

from birchstack.fleet import wire
from birchstack.fleet.records import INITIAL_CHAIN, ProcessStart, TurnActions, VersionAdopted, encode_frame
from birchstack.fleet.versions import LIST, Version
from birchstack.keeper.store import Store

NAME = "keepers"
RECORDS = 120_000  # in all, whatever the senders
POINTS, SMALL = (10, 50, 150, 350, 550), (2, 4, 8)
PIECE = 200  # records in one answer
FIGURES = {
    "records": "a CPU second",
    "records by the clock": "a second",
    "store": "bytes a record",
    "sent to it": "bytes a record",
}


def pieces(sender: int, records: int) -> tuple[list[wire.TrailResponse], int]:
    """What one door answers in turn, and the bytes of all its frames."""
    chain, made, frames, size = INITIAL_CHAIN, [], [], 0
    held = Version(LIST, "x", "", 1, "0" * 32)
    calls = [
        TurnActions(1.0 + at, (f"9b1f{sender:04x}{at:08x}", f"s-{at % 40:08x}")) for at in range(records)
    ]
    first = [ProcessStart("l", f"n{sender}", "b", 0.0, 0.0), VersionAdopted(held, "first", "x", 0.0, 0.0)]
    for number, record in enumerate(first + calls, 1):
        data, chain = encode_frame(number, chain, record)
        frames.append(data)
        size += len(data)
        if len(frames) == PIECE or number == records + 2:
            made.append(
                wire.TrailResponse(
                    name=f"n{sender}",
                    process="p",
                    boot="b",
                    trail=f"t{sender}",
                    life="l",
                    wall_ms=1.0 + number,
                    steady_ms=1.0 + number,
                    last=number,
                    chain=chain,
                    versions={LIST: held},
                    frames=b"".join(frames),
                )
            )
            frames = []
    return made, size


def play(senders: int, records: int = RECORDS) -> dict[str, float]:
    each = records // senders
    made = [pieces(sender, each) for sender in range(senders)]
    size = sum(size for _, size in made)
    with tempfile.TemporaryDirectory() as folder:
        store = Store(f"{folder}/s.sqlite")
        cpu_s, began = time.process_time(), time.monotonic()
        for at in range(max(len(parts) for parts, _ in made)):
            for sender, (parts, _) in enumerate(made):
                if at < len(parts):
                    store.store_answer(f"d{sender}", parts[at], 1.0 + at, 1.0)
            if not store.commit():
                raise OSError("the store was not written")
        cpu_s, clock_s = time.process_time() - cpu_s, time.monotonic() - began
        taken = store.db.execute("SELECT count(*) FROM record").fetchone()[0]
        if taken != (each + 2) * senders:
            raise ValueError(f"{taken} records in the store of {(each + 2) * senders}")
        store.close()
        disk = sum(os.path.getsize(f"{folder}/{name}") for name in os.listdir(folder))
    return {
        "records": taken / cpu_s,
        "records by the clock": taken / clock_s,
        "store": disk / taken,
        "sent to it": size / taken,
    }


def measure(points: tuple[int, ...]) -> list[tuple[float, dict[str, float]]]:
    return [(float(each), play(each, 4_000 if max(points) <= max(SMALL) else RECORDS)) for each in points]
