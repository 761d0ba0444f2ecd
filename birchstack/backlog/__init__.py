"""The backlog: documents beyond a destination's window lie on disk only. See docs/notes/backlog.md.

This file uses the standard library alone, so that a sender without a backlog can ask whether one was left."""

from collections.abc import Iterable

PREFIX = "backlog-"


def left(names: Iterable[str]) -> bool:
    """Whether these names of a folder show documents of a backlog: segments are named
    backlog-<destination>-<number>; indexes and the manifest hold none."""
    return any(name.startswith(PREFIX) and name[len(PREFIX) :].replace("-", "").isdecimal() for name in names)
