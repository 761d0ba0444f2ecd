"""python -m benchmarks.capacity [NAME ...] [--small] [--out FILE]

Measures the slopes named, or all. At full size each record is written to docs/capacity/NAME.json; with
--small (few and small points, seconds) only to FILE, if one is named. A slope's module has NAME, FIGURES
{figure: unit}, POINTS and SMALL (what measure takes), and measure(points) -> list of (x, {figure: value}); it
may have notes(points), for what is no line.
"""

from __future__ import annotations

import argparse
import importlib
import os
import sys
from pathlib import Path
from types import ModuleType

from benchmarks.capacity import record

SLOPES = {  # by name: the module, imported when it is asked for
    "listed": "benchmarks.capacity.listed",
    "spread": "benchmarks.capacity.spread",
    "turn": "benchmarks.capacity.turn",
    "recoveries": "benchmarks.capacity.recoveries",
    "owed": "benchmarks.capacity.owed",
    "lists": "benchmarks.capacity.lists",
    "list-size": "benchmarks.capacity.list_size",
    "repeats-partly": "benchmarks.capacity.repeats_partly",
    "cuts": "benchmarks.capacity.cuts",
    "losses": "benchmarks.capacity.losses",
    "audit": "benchmarks.capacity.audit",
    "keepers": "benchmarks.capacity.keepers",
    "repeats": "benchmarks.capacity.repeats",
    "repeats-down": "benchmarks.capacity.repeats_down",
    "signals": "benchmarks.capacity.signals",
    "signals-down": "benchmarks.capacity.signals_down",
}
FOLDER = Path("docs/capacity")


def slope(name: str) -> ModuleType:
    """Raises ValueError for a name that is in no table, or a module that is not what the table says."""
    if name not in SLOPES:
        raise ValueError(f"no slope {name}; there are {', '.join(SLOPES)}")
    module = importlib.import_module(SLOPES[name])
    if name != module.NAME:
        raise ValueError(f"{SLOPES[name]} measures {module.NAME}, not {name}")
    return module


def run(name: str, small: bool) -> dict:
    module = slope(name)
    load = os.getloadavg()[0]
    rows = module.measure(module.SMALL if small else module.POINTS)
    command = f"python -m benchmarks.capacity {name}{' --small' if small else ''}"
    told = record.record(name, module.FIGURES, rows, command)
    # Processes that ran, before and after: what runs beside it stretches its times, and its CPU somewhat
    told["load"] = [round(load, 1), round(os.getloadavg()[0], 1)]
    if hasattr(module, "notes"):  # what is no figure of a line
        told["notes"] = module.notes(module.SMALL if small else module.POINTS)
    return told


def main(words: list[str]) -> int:
    told = argparse.ArgumentParser(prog="python -m benchmarks.capacity")
    told.add_argument("names", nargs="*", metavar="NAME", help=f"{', '.join(SLOPES)}; else all")
    told.add_argument("--small", action="store_true", help="few and small points")
    told.add_argument("--out", type=Path, metavar="FILE", help="the records, as one JSON list")
    asked = told.parse_args(words)
    for name in asked.names:
        if name not in SLOPES:
            told.error(f"no slope {name}; there are {', '.join(SLOPES)}")
    records = []
    for name in asked.names or SLOPES:
        records.append(run(name, asked.small))
        print(record.table(records[-1]), flush=True)
        if not asked.small:
            record.write(FOLDER / f"{name}.json", records[-1])
    if asked.out:
        record.write(asked.out, records)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
