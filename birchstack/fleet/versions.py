"""Versions as values: of what a sender acts on, and how two of them stand to one another.

Owns the comparison, the digest of a list's contents and what each comparison means for the list that a sender
holds. Must never read a clock, a socket or a file. See docs/notes/fleet.md.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable
from typing import Literal

import msgspec

LIST, SETTINGS, PROGRAM, DECISIONS, FORM = "list", "settings", "program", "decisions", "form"
KINDS = (LIST, SETTINGS, PROGRAM, DECISIONS, FORM)
NEWER, OLDER, SAME, FORKED, FOREIGN, APART = "newer", "older", "same", "forked", "foreign", "apart"
FIRST = "first"  # nothing was held before
TAKE, HOLD = "take", "hold"  # what a list that goes back, or is forked, is met with
Back = Literal["take", "hold"]
WIDTH = 16  # bytes of every digest here
MOST_NUMBER = (1 << 63) - 1  # what fits wherever a number is kept


class Version(msgspec.Struct, frozen=True, array_like=True):
    """One version of one kind of thing.

    origin: who gave it out (an address, a path). epoch: the run of numbers it belongs to; "" where the
    origin tells none. number: its place in that run; None where it is not numbered. digest: of its
    content."""

    kind: str
    origin: str
    epoch: str
    number: int | None
    digest: str

    def __str__(self) -> str:
        number = "-" if self.number is None else self.number
        return f"{self.epoch + ':' if self.epoch else ''}{number}@{self.digest[:8]}"


def compare(told: Version, held: Version) -> str:
    """How told stands to held: NEWER, OLDER, SAME, FORKED (one number, two digests), FOREIGN (another epoch)
    or APART (not numbered, not the same). The origin does not count: two services may give one version."""
    if told.kind != held.kind:
        raise ValueError(f"a version of {told.kind} is not compared with one of {held.kind}")
    if told.epoch != held.epoch:
        return FOREIGN
    if told.number is None or held.number is None:
        return SAME if told.digest == held.digest else APART
    if told.number == held.number:
        return SAME if told.digest == held.digest else FORKED
    return NEWER if told.number > held.number else OLDER


class Verdict(msgspec.Struct, frozen=True):
    """What is done with a list that was told: take it or stay; order: as compare() says, or FIRST.
    loud: whoever looks after the sender hears of it."""

    take: bool
    order: str
    loud: bool


def judge_list(told: Version, held: Version | None, back: Back) -> Verdict:
    """The one place that says what each comparison means for the list held.

    NEWER and SAME are taken; so is FOREIGN, loudly: a new epoch begins. OLDER (the service was restored from
    a backup, or another one answers) and FORKED are loud: by `take` they are acted on, as the platform asks
    (what its agent says counts as told); by `hold` the sender stays on what it has until something newer
    comes. May hurt, `take`: endpoints that were taken out come back with the old list. `hold`: what the
    restored service takes out under a number already seen is not heard of."""
    if held is None:
        return Verdict(True, FIRST, False)
    order = compare(told, held)
    if order in (OLDER, FORKED):
        return Verdict(back == TAKE, order, True)
    return Verdict(True, order, order == FOREIGN)


def digest_of(content: bytes) -> str:
    return hashlib.blake2b(content, digest_size=WIDTH).hexdigest()


def digest_of_words(words: object) -> str:
    """Of a decoded JSON value: the order of keys and the spaces of the file do not count."""
    return digest_of(json.dumps(words, sort_keys=True, separators=(",", ":")).encode())


class Contents:
    """The content of a list as it goes through whole lists and changes, and its digest.

    The digest is a sum over the entries (each hashed by itself, added modulo 2^128), so that a change costs
    what it changes, not the whole list. That finds contents that differ by accident, which is what the audit
    asks; it withstands nobody who forges entries. An entry counts by what every sender is told alike (uid,
    destination, zone, kind, state); its address may differ from one sender to the next, and its hint and
    start time are no decision of who publishes the list."""

    __slots__ = ("states", "_parts", "_sum")

    def __init__(self) -> None:
        self.states: dict[str, str] = {}  # by uid: state, as told
        self._parts: dict[str, int] = {}
        self._sum = 0

    def copy(self) -> Contents:
        twin = Contents()
        twin.states, twin._parts, twin._sum = dict(self.states), dict(self._parts), self._sum
        return twin

    def apply(self, whole: bool, entries: Iterable[dict]) -> dict[str, str]:
        """Takes the lines of a list over; returns what changed: by uid the new state ("left" if gone)."""
        before = dict(self.states) if whole else {}
        changed: dict[str, str] = {}
        if whole:
            self.states, self._parts, self._sum = {}, {}, 0
        for each in entries:
            uid, state = each["uid"], each["state"]
            self._sum -= self._parts.pop(uid, 0)
            was = before.pop(uid, None) if whole else self.states.get(uid)
            self.states.pop(uid, None)
            if state != "left":
                line = f"{uid}\0{each.get('pod_group')}\0{each.get('az')}\0{each.get('model')}\0{state}"
                part = int.from_bytes(hashlib.blake2b(line.encode(), digest_size=WIDTH).digest(), "little")
                self._parts[uid], self.states[uid] = part, state
                self._sum += part
            if state != (was or "left"):
                changed[uid] = state
        changed.update(dict.fromkeys(before, "left"))
        return changed

    def digest(self) -> str:
        return digest_of(
            (self._sum % (1 << 8 * WIDTH)).to_bytes(WIDTH, "little") + len(self._parts).to_bytes(8, "little")
        )
