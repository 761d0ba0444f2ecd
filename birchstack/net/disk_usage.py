"""What the documents of a process take of the limits that all processes of one sender keep together.

While one process replaces another (an upgrade) both accept documents into one folder. Owns what documents
count for and how the limits are divided; must never read or write a file.

A process accepts a document only if two things hold: it stays within its own share, and it stays within the
limit if each other process takes the larger of its share and what it has. So no two processes can pass the
limit together, however late one learns what the other has accepted.
"""

from __future__ import annotations

from dataclasses import dataclass

BLOCK_BYTES = 512
RECORD_RESERVE_BYTES = 512  # space reserved per document for records that are still to be written
COMPACT_MIN_BYTES = 131072  # smaller ledger files are not compacted
DOCUMENT_MEMORY_BYTES = 2600  # of a document without its body, and of its records
STANDBY_DIVISOR = 4  # all standby processes together have this part of a limit, the holder has the rest


def round_up_to_blocks(size: int) -> int:
    """Rounds a size in bytes up to whole disk blocks."""
    return -(-size // BLOCK_BYTES) * BLOCK_BYTES


@dataclass(frozen=True, slots=True)
class Usage:
    """Documents of a process, their bodies in whole blocks, and the bytes of its other records."""

    documents: int = 0
    body_bytes: int = 0
    other_record_bytes: int = 0

    def with_bodies(self, sizes: list[int]) -> Usage:
        """Returns the usage with further documents, whose bodies have these sizes."""
        bodies = sum(map(round_up_to_blocks, sizes))
        return Usage(self.documents + len(sizes), self.body_bytes + bodies, self.other_record_bytes)

    @property
    def memory_bytes(self) -> int:
        """Memory that the documents take; their files may count as memory too."""
        return DOCUMENT_MEMORY_BYTES * self.documents + 2 * self.body_bytes

    @property
    def disk_bytes(self) -> int:
        """Space of the bodies, the ledger file, and the one that a compaction writes beside it."""
        records = RECORD_RESERVE_BYTES * self.documents + self.other_record_bytes
        ledger = round_up_to_blocks(2 * records) + COMPACT_MIN_BYTES
        return self.body_bytes + ledger + round_up_to_blocks(records)


@dataclass(frozen=True, slots=True)
class Peer:
    """Another process of the sender: how much it has, and whether it is a standby process."""

    usage: Usage
    standby: bool


def fits(limit: int, own: int, standby: bool, others: list[tuple[int, bool]]) -> bool:
    """Returns whether a process may take `own` bytes of a limit.

    standby: whether it is a standby process; others: what each other process takes, and the same of it.
    """
    if not others:
        return own <= limit
    standby_count = standby + sum(is_standby for _, is_standby in others)
    standby_share = limit // STANDBY_DIVISOR // max(1, standby_count)
    holder_share = limit - limit // STANDBY_DIVISOR

    def share(is_standby: bool) -> int:
        return standby_share if is_standby else holder_share

    reserved = sum(max(share(is_standby), taken) for taken, is_standby in others)
    return own <= share(standby) and own + reserved <= limit


def has_space(own: Usage, standby: bool, others: list[Peer], disk_limit: int, memory_limit: int) -> bool:
    """Returns whether a process may have `own`, beside other processes, on disk and in memory."""
    return fits(
        disk_limit, own.disk_bytes, standby, [(each.usage.disk_bytes, each.standby) for each in others]
    ) and fits(
        memory_limit, own.memory_bytes, standby, [(each.usage.memory_bytes, each.standby) for each in others]
    )
