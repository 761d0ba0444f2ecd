"""Judges a rig's run by the rules on lost requests and on duplicates.

It uses only what clients, endpoints and the list service saw. A call to an endpoint counts as executed from
its last byte on, unless its answer proves that it never ran.
"""

from __future__ import annotations

import enum
from collections import defaultdict
from dataclasses import dataclass

from birchstack.emulator.rig.parties import Clients, Endpoints, ListService, Seen, SubmittedDocument

NEVER_RAN_STATUSES = (429, 503, 504, 410)
DELIVERED_STATUS = 200


class Rule(enum.StrEnum):
    """The rules that are judged."""

    LOST = "accepted, and neither delivered nor ended by a notice"
    OVERLAP = "two calls in progress at once"
    REPEATED = "called again after a call that may have run"


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule by one document, with its calls."""

    rule: Rule
    doc: str
    calls: tuple[Seen, ...]

    def __str__(self) -> str:
        calls = "; ".join(
            f"{call.sender} called {call.endpoint} at {call.at_ms:.0f} ms,"
            f" {call.status if call.answered else 'no answer'} at {call.ended_ms or 0.0:.0f} ms"
            for call in self.calls
        )
        return f"{self.doc}: {self.rule}: {calls or 'never called'}"


def violations(
    clients: Clients, endpoints: Endpoints, lists: ListService, once: tuple[str, ...]
) -> list[Violation]:
    """Returns the violations of a run that has ended: each document had the time for its final answer.

    once: the document types that must not be executed twice.
    """
    calls: dict[str, list[Seen]] = defaultdict(list)
    for call in endpoints.calls:
        calls[call.doc].append(call)
    found = []
    for document in clients.handed.values():
        made = tuple(calls[document.doc])
        broken = _broken_rules(document, made, document.doc in lists.notices, document.kind in once)
        found += [Violation(rule, document.doc, made) for rule in broken]
    return found


def _broken_rules(
    document: SubmittedDocument, calls: tuple[Seen, ...], noticed: bool, once: bool
) -> list[Rule]:
    broken = []
    delivered = any(call.answered and call.status == DELIVERED_STATUS for call in calls)
    if document.status == 202 and not delivered and not noticed:
        broken.append(Rule.LOST)
    pairs = [*zip(calls, calls[1:], strict=False)]
    if any(_in_progress(earlier, later.at_ms) for earlier, later in pairs):
        broken.append(Rule.OVERLAP)
    if once and any(_may_have_run(call) for call in calls[:-1]):
        broken.append(Rule.REPEATED)
    return broken


def _in_progress(call: Seen, at_ms: float) -> bool:
    return call.ended_ms is None or call.ended_ms > at_ms


def _may_have_run(call: Seen) -> bool:
    return not (call.answered and call.status in NEVER_RAN_STATUSES)
