"""Counts work: bytecode instructions by line, and elements that walks in C pass. The same figures every time.

What grows is found by doubling: the work of each line at x, 2x, 4x, 8x. The differences of a line that does
a + b * x**p grow by 2**p each time, whatever a is, so that even a short walk beside much else is seen. A line
is a walk where its work for each call of its function grows: one that is only called more often is not. What
C does in containers that are not counted ones (sorted(), heapq, json) is not seen.
"""

from __future__ import annotations

import collections
import gc
import linecache
import math
import sys
from collections.abc import Iterator
from pathlib import Path
from types import CodeType, FrameType

import birchstack

ROOT = str(Path(birchstack.__file__).parent)
LEAST, GROWS = 16, 0.4  # instructions more at the last doubling, and the exponent: a walk, no noise
Place = tuple[CodeType, int]  # code, and the offset of an instruction


class Work:
    """Counts while it is entered. Garbage is collected before and not meanwhile: generators of what was
    counted earlier would end in it, and their instructions count here."""

    def __init__(self) -> None:
        self._counts: collections.Counter[Place] = collections.Counter()
        self._calls: collections.Counter[tuple[str, str]] = collections.Counter()

    def __enter__(self) -> Work:
        gc.collect()
        self._before, self._collects = sys.gettrace(), gc.isenabled()
        gc.disable()
        Counted.work = self
        sys.settrace(self._called)
        return self

    def __exit__(self, *problem: object) -> None:
        sys.settrace(self._before)
        Counted.work = None
        if self._collects:
            gc.enable()

    def _called(self, frame: FrameType, event: str, arg: object) -> object:
        if not frame.f_code.co_filename.startswith(ROOT):
            return None
        if "<locals>" not in frame.f_code.co_qualname:
            self._calls[frame.f_code.co_filename[len(ROOT) + 1 :], frame.f_code.co_qualname] += 1
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        return self._step

    def _step(self, frame: FrameType, event: str, arg: object) -> object:
        if event == "opcode":
            self._counts[frame.f_code, frame.f_lasti] += 1
        return self._step

    def walked(self, many: int) -> None:
        """A container was gone through in C, at what the project's innermost frame does now."""
        frame = sys._getframe(2)
        while frame and not frame.f_code.co_filename.startswith(ROOT):
            frame = frame.f_back
        if frame:
            self._counts[frame.f_code, frame.f_lasti] += many

    def total(self) -> int:
        return sum(self._counts.values())

    def calls(self) -> dict[tuple[str, str], int]:
        """By file and function."""
        return dict(self._calls)

    def by_line(self) -> dict[tuple[str, str, int], int]:
        """By file under the package, function and line. A comprehension counts for its function."""
        found: collections.Counter[tuple[str, str, int]] = collections.Counter()
        lines: dict[CodeType, list[tuple[int, int, int]]] = {}
        for (code, at), many in self._counts.items():
            if code not in lines:
                lines[code] = [each for each in code.co_lines() if each[2] is not None]
            line = next((line for start, end, line in lines[code] if start <= at < end), code.co_firstlineno)
            name = code.co_qualname.partition(".<locals>")[0]
            found[code.co_filename[len(ROOT) + 1 :], name, line] += many
        return dict(found)


class Counted:
    """Containers tell of what passes in C; on: whether dictionary() and line() make such ones."""

    work: Work | None = None
    on = False

    @staticmethod
    def passed(many: int) -> None:
        if Counted.work:
            Counted.work.walked(many)


class CountedList(list):
    """Tells of what remove() and `in` pass."""

    def remove(self, what: object) -> None:
        Counted.passed(self.index(what) + 1)
        super().remove(what)

    def __contains__(self, what: object) -> bool:
        found = super().__contains__(what)
        Counted.passed(self.index(what) + 1 if found else len(self))
        return found


class CountedDict(dict):
    """Tells of what goes through its keys, values or items."""

    def _each(self, what: object) -> Iterator:
        for each in what:
            Counted.passed(1)
            yield each

    def __iter__(self) -> Iterator:
        return self._each(super().__iter__())

    def values(self) -> Iterator:
        return self._each(super().values())

    def items(self) -> Iterator:
        return self._each(super().items())


def dictionary() -> dict:
    return CountedDict() if Counted.on else {}


def line() -> list:
    return CountedList() if Counted.on else []


def _exponent(figures: list[float], least: float) -> float:
    """0 where the last doubling brought less than so much more."""
    last, before = figures[-1] - figures[-2], figures[-2] - figures[-3]
    if last < least:
        return 0.0
    return math.log2(last / before) if before > 0 else math.inf


def walks(counts: list[Work]) -> dict[tuple[str, str, int], float]:
    """The lines that walk, with the exponent of all that they do; by the work at x, 2x, 4x, and so on (three
    at least). The emulator's are left out: it stands for the machine."""
    found, lines, calls = {}, [each.by_line() for each in counts], [each.calls() for each in counts]
    for line in {each for by_line in lines for each in by_line if not each[0].startswith("emulator")}:
        work = [by_line.get(line, 0) for by_line in lines]
        each = [many / max(1, of.get(line[:2], 1)) for many, of in zip(work, calls, strict=True)]
        power = _exponent(work, LEAST)
        if power >= GROWS and _exponent(each, LEAST / max(1, calls[-1].get(line[:2], 1))) >= GROWS:
            found[line] = power
    return found


def functions(lines: dict[tuple[str, str, int], float]) -> dict[str, int]:
    """By file and function: the exponent of its steepest walk, rounded; 9 where it began with the last x."""
    found: dict[str, int] = {}
    for (file, name, _), power in lines.items():
        found[f"{file} {name}"] = max(found.get(f"{file} {name}", 0), round(min(power, 9.0)))
    return found


def source(file: str, line: int) -> str:
    return linecache.getline(str(Path(ROOT) / file), line).strip()
