"""What a backlog on disk costs in memory, disk and time, by documents owed and destinations down.

    python benchmarks/backlog.py [--owed N ...] [--down N ...] [--body BYTES] [--out FILE]

Each point has two processes of its own: one fills the backlog and ends without a word, one opens it again and
drains it, each destination in turn, as after all have returned. The store alone is measured, with a step of
housekeeping behind each document, without client, decisions or endpoints; nothing is synced. Bounded; 1
million documents of 1,000 bytes take 1.2 GB in a temporary folder.
"""

import gc
import json
import multiprocessing
import os
import platform
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from birchstack.backlog.settings import Settings
from birchstack.backlog.store import Backlog
from birchstack.ledger.records import Kept
from birchstack.net.machine import Folder

OWED, DOWN = (10_000, 100_000, 1_000_000), (1, 40, 400, 1_692)
ROOM = Settings(window=1, bytes=1 << 40)
FROM, SPREAD = 1.7e12, 2 * 86_400_000.0  # expiries lie over two days
RUN, IDLE = 64, 2000  # documents in one read; turns with nothing to do
UNITS = {
    "memory": "bytes",
    "memory a document": "bytes",
    "intake": "documents a CPU second",
    "longest append": "ms",
    "longest step": "ms",
    "longest step, CPU": "ms",
    "disk a document": "bytes",
    "files": "files",
    "runs": "files",
    "turn while owed": "us",
    "found by id": "us",
    "restart": "s",
    "restart CPU": "s",
    "restart read": "bytes",
    "memory after a restart": "bytes",
    "drain": "documents a CPU second",
    "longest step of the drain": "ms",
    "longest step of the drain, CPU": "ms",
}


class Counted(Folder):
    read = 0

    def read_at(self, name: str, offset: int, size: int) -> bytes:
        data = super().read_at(name, offset, size)
        self.read += len(data)
        return data


def private() -> int:
    """Bytes of memory that are this process's own."""
    with open("/proc/self/smaps_rollup", encoding="ascii") as file:
        return sum(int(line.split()[1]) * 1024 for line in file if line.startswith(("Private_", "Swap:")))


def fill(path: str, owed: int, down: int, body: int) -> dict[str, float]:
    store = Backlog(Folder(path), ROOM, FROM)
    gc.collect()
    gc.freeze()  # as the sender does behind its start
    before, begun, far = private(), time.process_time(), SPREAD / owed
    append = step = busy = 0.0
    for number in range(owed):
        kept = Kept(
            f"5f0c1b2e-{number:012}-9d3a",
            "order",
            number * 7919 % down,
            None,
            FROM + SPREAD + number * 7919 % owed * far,
            bytes(body),
            None,
            None,
            FROM + number,
        )
        at, on = time.perf_counter(), time.thread_time()
        store.append(kept)
        then = time.perf_counter()
        store.step()
        append, step = max(append, then - at), max(step, time.perf_counter() - then)
        busy = max(busy, time.thread_time() - on)
    cpu = time.process_time() - begun
    while store.step():
        pass
    gc.collect()
    memory, begun = private() - before, time.process_time()
    for number in range(IDLE):
        store.waiting(number % down)
        store.due(FROM, 16)
        store.next_due()
        store.step()
    idle, begun = time.process_time() - begun, time.process_time()
    for number in range(IDLE):
        assert store.holds(f"5f0c1b2e-{number * 7919 % owed:012}-9d3a")
    found = time.process_time() - begun
    sizes = [entry.stat().st_size for entry in os.scandir(path)]
    assert len(store) == owed
    return {
        "memory": memory,
        "memory a document": memory / owed,
        "intake": owed / cpu,
        "longest append": append * 1000,
        "longest step": step * 1000,
        "longest step, CPU": busy * 1000,
        "files": len(sizes),
        "disk a document": sum(sizes) / owed - body,
        "runs": len(store._index.runs),
        "turn while owed": idle / IDLE * 1e6,
        "found by id": found / IDLE * 1e6,
    }


def drain(path: str, owed: int) -> dict[str, float]:
    gc.collect()
    folder, before = Counted(path), private()
    cpu, begun = time.process_time(), time.perf_counter()
    store = Backlog(folder, ROOM, FROM)
    told = {
        "restart": time.perf_counter() - begun,
        "restart CPU": time.process_time() - cpu,
        "restart read": folder.read,
        "memory after a restart": private() - before,
    }
    assert len(store) == owed
    gc.collect()
    gc.freeze()
    cpu, longest, busy = time.process_time(), 0.0, 0.0
    while len(store):
        for destination in store.destinations():
            at, on = time.perf_counter(), time.thread_time()
            store.moved(destination, len(store.read(destination, RUN)))
            then, half = time.perf_counter(), time.thread_time()
            store.step()
            longest = max(longest, then - at, time.perf_counter() - then)
            busy = max(busy, half - on, time.thread_time() - half)
    cpu = time.process_time() - cpu
    while store.step():
        pass
    store.close()
    assert not os.listdir(path)
    return {
        **told,
        "drain": owed / cpu,
        "longest step of the drain": longest * 1000,
        "longest step of the drain, CPU": busy * 1000,
    }


def apart(function, *words):
    with ProcessPoolExecutor(1, multiprocessing.get_context("spawn")) as pool:
        return pool.submit(function, *words).result()


def point(owed: int, down: int, body: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as path:
        return {**apart(fill, path, owed, down, body), **apart(drain, path, owed)}


def machine() -> dict:
    with open("/proc/cpuinfo", encoding="utf-8") as file:
        models = [line.partition(":")[2].strip() for line in file if line.startswith("model name")]
    return {
        "cpu": models[0] if models else platform.machine(),
        "cores": os.cpu_count(),
        "memory_bytes": os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES"),
        "python": platform.python_version(),
        "kernel": platform.release(),
    }


@click.command()
@click.option("--owed", multiple=True, type=int, help="documents; may be repeated")
@click.option("--down", multiple=True, type=int, help="destinations; may be repeated")
@click.option("--body", default=1000, show_default=True, help="bytes of each")
@click.option("--out", type=click.Path(path_type=Path), help="the file that these points are put into")
def main(owed, down, body, out):
    for each in down or DOWN:
        points = []
        for count in owed or OWED:
            figures = point(count, each, body)
            points.append([count, figures])
            print(
                f"{count:>9,} owed, {each:>5,} down: "
                + "; ".join(f"{name} {value:,.4g}" for name, value in figures.items()),
                flush=True,
            )
        if out:
            _put(
                out,
                {
                    "slope": f"backlog, {each} destinations down",
                    "taken": time.strftime("%Y-%m-%d %H:%M", time.gmtime()),
                    "machine": machine(),
                    "command": f"python benchmarks/backlog.py --down {each} --body {body}",
                    "units": UNITS,
                    "points": points,
                },
            )


def _put(out: Path, told: dict) -> None:
    """Points of a slope that is there already are added to it, or take the place of those with their x."""
    slopes = {each["slope"]: each for each in json.loads(out.read_text())} if out.exists() else {}
    if told["slope"] in slopes:
        points = {x: figures for x, figures in slopes[told["slope"]]["points"] + told["points"]}
        told["points"] = [[x, points[x]] for x in sorted(points)]
    slopes[told["slope"]] = told
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps([*slopes.values()], indent=1) + "\n")


if __name__ == "__main__":
    main()
