"""Versions of what a sender acts on, as values, and how two versions compare.

Owns the comparison, the digest of a list's contents and what each comparison means for the list that a sender
holds. Must never read a clock, a socket or a file. See docs/notes/fleet.md.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from typing import Literal

import msgspec

# Kinds of versions
LIST = "list"
SETTINGS = "settings"
PROGRAM = "program"
DECISIONS = "decisions"
FORM = "form"  # the format of the audit records
KINDS = (LIST, SETTINGS, PROGRAM, DECISIONS, FORM)

# Results of a comparison
NEWER = "newer"
OLDER = "older"
SAME = "same"
FORKED = "forked"  # one number with two digests
FOREIGN = "foreign"  # another epoch
APART = "apart"  # not numbered and not the same, so without an order
FIRST = "first"  # no version was held before

# Policies for an older or forked list
TAKE = "take"
HOLD = "hold"
RegressionPolicy = Literal["take", "hold"]

DIGEST_BYTES = 16  # size of every digest of this module
MAX_NUMBER = (1 << 63) - 1  # fits every place where a version number is stored


class Version(msgspec.Struct, frozen=True, array_like=True):
    """One version of one kind.

    origin: who published it (an address, a path). epoch: the run of numbers that it belongs to; "" if the
    origin names none. number: its place in that run; None if it is not numbered. digest: of its content.
    """

    kind: str
    origin: str
    epoch: str
    number: int | None
    digest: str

    def __str__(self) -> str:
        number = "-" if self.number is None else self.number
        return f"{self.epoch + ':' if self.epoch else ''}{number}@{self.digest[:8]}"


def compare(received: Version, held: Version) -> str:
    """Compare a received version with the one held.

    Returns NEWER, OLDER, SAME, FORKED, FOREIGN or APART. The origin does not count: two services may publish
    the same version. Raises ValueError if the versions are of different kinds.
    """
    if received.kind != held.kind:
        raise ValueError(f"cannot compare a {received.kind} version with a {held.kind} version")
    if received.epoch != held.epoch:
        return FOREIGN
    if received.number is None or held.number is None:
        return SAME if received.digest == held.digest else APART
    if received.number == held.number:
        return SAME if received.digest == held.digest else FORKED
    return NEWER if received.number > held.number else OLDER


class ListDecision(msgspec.Struct, frozen=True):
    """What a sender does with a list that it received.

    accept: act on it, or keep the list held. order: the result of compare(), or FIRST. warn: a warning is
    logged for the sender's operators.
    """

    accept: bool
    order: str
    warn: bool


def judge_list(received: Version, held: Version | None, policy: RegressionPolicy) -> ListDecision:
    """Decide what to do with a received list: the only place that gives each comparison a meaning.

    NEWER and SAME are accepted. FOREIGN is accepted with a warning: a new epoch begins. OLDER (the service
    was restored from a backup, or another service answers) and FORKED cause a warning. Policy `take` acts on
    them, as the platform requires: what its agent announces is authoritative. Policy `hold` keeps the list
    held until a newer one comes. The risk of `take`: endpoints that were removed come back with the old list.
    The risk of `hold`: removals that the restored service publishes under a number already seen are missed.
    """
    if held is None:
        return ListDecision(True, FIRST, False)
    order = compare(received, held)
    if order in (OLDER, FORKED):
        return ListDecision(policy == TAKE, order, True)
    return ListDecision(True, order, order == FOREIGN)


def digest_bytes(content: bytes) -> str:
    """Return the hexadecimal BLAKE2b digest of some bytes."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def digest_json(value: object) -> str:
    """Return the digest of a decoded JSON value, independent of key order and white space in its file."""
    return digest_bytes(json.dumps(value, sort_keys=True, separators=(",", ":")).encode())


class ListContents:
    """The contents of an endpoint list, updated by whole lists and by changes, and their digest.

    The digest is a sum over the entries (each hashed by itself, added modulo 2^128), so that the cost of an
    update depends on the change, not on the whole list. It detects contents that differ by accident, which
    the audit needs; it does not resist deliberately forged entries. An entry counts by the fields that are
    the same for every sender (uid, destination, zone, kind, state). Its address may differ between senders,
    and its capacity hint and start time are not decided by the publisher of the list.
    """

    __slots__ = ("states", "_entry_hashes", "_hash_sum")

    def __init__(self) -> None:
        self.states: dict[str, str] = {}  # state by uid, as received
        self._entry_hashes: dict[str, int] = {}
        self._hash_sum = 0

    def copy(self) -> ListContents:
        """Return an independent copy."""
        duplicate = ListContents()
        duplicate.states = dict(self.states)
        duplicate._entry_hashes = dict(self._entry_hashes)
        duplicate._hash_sum = self._hash_sum
        return duplicate

    def apply(self, whole: bool, entries: Iterable[dict]) -> dict[str, str]:
        """Apply a whole list or a change. Returns the new state of each changed uid ("left" if removed)."""
        before = dict(self.states) if whole else {}
        changed: dict[str, str] = {}
        if whole:
            self.states = {}
            self._entry_hashes = {}
            self._hash_sum = 0
        for each in entries:
            uid, state = each["uid"], each["state"]
            self._hash_sum -= self._entry_hashes.pop(uid, 0)
            previous = before.pop(uid, None) if whole else self.states.get(uid)
            self.states.pop(uid, None)
            if state != "left":
                line = f"{uid}\0{each.get('pod_group')}\0{each.get('az')}\0{each.get('model')}\0{state}"
                entry_hash = int.from_bytes(
                    hashlib.blake2b(line.encode(), digest_size=DIGEST_BYTES).digest(), "little"
                )
                self._entry_hashes[uid], self.states[uid] = entry_hash, state
                self._hash_sum += entry_hash
            if state != (previous or "left"):
                changed[uid] = state
        changed.update(dict.fromkeys(before, "left"))
        return changed

    def digest(self) -> str:
        """Return the digest of the entries and their count."""
        return digest_bytes(
            (self._hash_sum % (1 << 8 * DIGEST_BYTES)).to_bytes(DIGEST_BYTES, "little")
            + len(self._entry_hashes).to_bytes(8, "little")
        )
