"""One run of a slope as a record: the machine, the command, what was measured, the lines through it."""

from __future__ import annotations

import dataclasses
import json
import os
import platform
import time
from pathlib import Path

from benchmarks.capacity import fit

Row = tuple[float, dict[str, float]]  # x, and each figure measured there


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


def columns(rows: list[Row]) -> dict[str, tuple[list[float], list[float]]]:
    """By figure: the xs at which it was measured, and its values there."""
    found: dict[str, tuple[list[float], list[float]]] = {}
    for x, figures in rows:
        for name, value in figures.items():
            xs, ys = found.setdefault(name, ([], []))
            xs.append(x)
            ys.append(value)
    return found


def lines(rows: list[Row]) -> dict[str, fit.Line]:
    """A line through each figure that was measured at three xs or more."""
    return {name: fit.line(xs, ys) for name, (xs, ys) in columns(rows).items() if len(set(xs)) >= 3}


def record(name: str, units: dict[str, str], rows: list[Row], command: str) -> dict:
    """units: of each figure. Every figure measured has one; raises KeyError else."""
    told = {
        figure: {**dataclasses.asdict(each), "unit": units[figure]} for figure, each in lines(rows).items()
    }
    return {
        "slope": name,
        "taken": time.strftime("%Y-%m-%d %H:%M", time.gmtime()),
        "machine": machine(),
        "command": command,
        "units": {figure: units[figure] for figure in columns(rows)},
        "points": [[x, figures] for x, figures in rows],
        "lines": told,
    }


def write(path: Path, told: dict | list[dict]) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(told, indent=1) + "\n", encoding="utf-8")


def table(told: dict) -> str:
    """The record for a reader."""
    text = [f"{told['slope']}  ({told['command']})"]
    for x, figures in told["points"]:
        text.append(f"  {x:>12,g}  " + "; ".join(f"{name} {value:,.4g}" for name, value in figures.items()))
    for name, each in told["lines"].items():
        growth = "" if each["growth"] is None else f", grows as x^{each['growth']:.2f}"
        text.append(
            f"  {name}: {each['intercept']:,.6g} + {each['slope']:,.6g} (error {each['error']:.2g})"
            f" x [{each['unit']}]{growth}{', BENDS' if each['bend'] else ''}"
        )
    return "\n".join(text)
