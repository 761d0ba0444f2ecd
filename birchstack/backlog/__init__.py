"""The backlog: documents beyond a destination's window wait on disk only. See docs/notes/backlog.md.

This file imports only the standard library, so that a sender without a backlog can check whether an earlier
one left documents.
"""

from collections.abc import Iterable

PREFIX = "backlog-"  # of the names of all backlog files


def contains_documents(names: Iterable[str]) -> bool:
    """Returns whether any of these file names is that of a segment.

    Segments are named backlog-<destination>-<number>; only they contain documents.
    """
    return any(name.startswith(PREFIX) and name[len(PREFIX) :].replace("-", "").isdecimal() for name in names)
