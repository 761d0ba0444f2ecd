"""Divides the memory that the process may use among what grows with its clients and their documents.

Owns the division alone: whoever holds something counts it and keeps to its share.
"""

from __future__ import annotations

import dataclasses

TYPICAL_USED_BYTES = 24_000_000  # of a process without clients, where the system does not tell
CLIENT_BYTES = 4_000  # of a connection without a request
REQUESTS_PERCENT = 25  # of what is left, for requests that are not complete
DOCUMENTS_PERCENT = 60  # for documents that are held; the rest is for what comes and goes
MIN_REQUEST_BYTES = 262_144  # shares at least, also where the limit leaves nothing
MIN_DOCUMENT_BYTES = 524_288


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryShares:
    """How many bytes each kind of content may take: incomplete requests of all clients, held documents."""

    requests: int
    documents: int


def divide_memory(limit: int, used: int, clients: int) -> MemoryShares:
    """Divides what a limit leaves; used: by the process at its start; clients: connections at most."""
    left = limit - (used or TYPICAL_USED_BYTES) - CLIENT_BYTES * clients
    return MemoryShares(
        max(MIN_REQUEST_BYTES, left * REQUESTS_PERCENT // 100),
        max(MIN_DOCUMENT_BYTES, left * DOCUMENTS_PERCENT // 100),
    )
