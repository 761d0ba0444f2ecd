"""Logging as key=value lines on standard error, and what must hold.

Owns the format and the counts of what did not hold. Must never block the loop: lines that nobody reads are
dropped and counted.
"""

from __future__ import annotations

import logging
import os
import select
import sys
from collections import Counter

broken: Counter[str] = Counter()  # what did not hold, in release


class KeyValue(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        words = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "part": record.name.rpartition(".")[2],
            "event": record.getMessage(),
            **getattr(record, "words", {}),
        }
        if record.exc_info:
            words["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={self._quoted(value)}" for key, value in words.items())

    @staticmethod
    def _quoted(value: object) -> str:
        text = f"{value:.1f}" if isinstance(value, float) else str(value)
        if text and not any(letter in text for letter in ' ="\\\n\r\t'):
            return text
        escaped = text.replace("\\", "\\\\").replace('"', '\\"')
        return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t") + '"'


class Unblocked(logging.Handler):
    """Writes lines to a descriptor that is never waited for; it may be shared, so its mode stays as it is."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor, self.dropped = descriptor, 0

    def emit(self, record: logging.LogRecord) -> None:
        line = self.format(record).encode(errors="replace")[: select.PIPE_BUF - 1] + b"\n"
        try:
            if select.select([], [self._descriptor], [], 0.0)[1]:  # room for a line of this length
                os.write(self._descriptor, line)
                return
        except (OSError, ValueError):
            pass
        self.dropped += 1


def start(level: int = logging.INFO) -> None:
    handler = Unblocked(sys.stderr.fileno())
    handler.setFormatter(KeyValue())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("asyncio").setLevel(logging.WARNING)


def say(log: logging.Logger, event: str, level: int = logging.INFO, **words: object) -> None:
    log.log(level, event, extra={"words": words})


def holds(condition: object, what: str) -> bool:
    """What must hold: asserted in debug builds, counted and logged (the first few) in release."""
    if condition:
        return True
    broken[what] += 1
    assert condition, what
    if broken[what] <= 3:
        say(logging.getLogger(__name__), "does not hold", logging.ERROR, what=what, count=broken[what])
    return False
