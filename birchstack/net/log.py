"""Logging as key=value lines on standard error, and checks of invariants.

Owns the log format and the counts of violated invariants. Must never block the event loop: lines that cannot
be written at once are dropped and counted.
"""

from __future__ import annotations

import logging
import os
import select
import sys
import traceback
from collections import Counter

MAX_TRACE_CHARACTERS = 2500  # escaped and with the other fields it fits into a line of PIPE_BUF bytes
FRAMES_SHOWN = 3  # innermost places of an exception that are named ahead of its trace
violations: Counter[str] = Counter()  # violated invariants since the start


def _place_of(problem: BaseException) -> str:
    """Returns the innermost places of an exception, outermost first."""
    frames = traceback.extract_tb(problem.__traceback__)[-FRAMES_SHOWN:]
    return ",".join(f"{os.path.basename(each.filename)}:{each.lineno}" for each in frames)


def _shorten(text: str, limit: int) -> str:
    """Cuts a long text in its middle: the end of a trace tells the most."""
    return text if len(text) <= limit else f"{text[: limit // 4]}...{text[-3 * limit // 4 :]}"


class KeyValueFormatter(logging.Formatter):
    """Formats a record as key=value pairs: the standard ones, then those of the call."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line without a newline."""
        fields = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "part": record.name.rpartition(".")[2],
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            problem = record.exc_info[1]
            fields["error"] = f"{type(problem).__name__}: {problem}"
            fields["at"] = _place_of(problem)
            fields["trace"] = _shorten(self.formatException(record.exc_info), MAX_TRACE_CHARACTERS)
        return " ".join(f"{key}={self._quoted(value)}" for key, value in fields.items())

    @staticmethod
    def _quoted(value: object) -> str:
        text = f"{value:.1f}" if isinstance(value, float) else str(value)
        if text and not any(letter in text for letter in ' ="\\\n\r\t'):
            return text
        escaped = text.replace("\\", "\\\\").replace('"', '\\"')
        return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t") + '"'


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for it.

    The descriptor may be shared with other processes, so it is not switched to non-blocking mode."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Writes the line, or counts it as dropped if the descriptor is not writable."""
        line = self.format(record).encode(errors="replace")[: select.PIPE_BUF - 1] + b"\n"
        try:
            if select.select([], [self._descriptor], [], 0.0)[1]:  # a pipe has room for PIPE_BUF bytes then
                os.write(self._descriptor, line)
                return
        except (OSError, ValueError):
            pass
        self.dropped += 1


def configure(level: int | str = logging.INFO) -> None:
    """Configures the root logger to write key=value lines to standard error.

    level: a number or a name of the logging module; raises ValueError if there is no such name.
    """
    handler = NonBlockingHandler(sys.stderr.fileno())
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("asyncio").setLevel(logging.WARNING)


def log_event(log: logging.Logger, event: str, level: int = logging.INFO, **fields: object) -> None:
    """Logs an event with fields."""
    log.log(level, event, extra={"fields": fields})


def log_debug(log: logging.Logger, event: str, **fields: object) -> None:
    """Logs an event with fields, if the level asks for debug lines."""
    if log.isEnabledFor(logging.DEBUG):
        log_event(log, event, logging.DEBUG, **fields)


def check_invariant(condition: object, what: str) -> bool:
    """Checks an invariant: asserted in debug builds, else counted and logged (the first three times)."""
    if condition:
        return True
    violations[what] += 1
    assert condition, what
    if violations[what] <= 3:
        log_event(
            logging.getLogger(__name__), "does not hold", logging.ERROR, what=what, count=violations[what]
        )
    return False
