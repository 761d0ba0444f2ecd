"""Translates batches of wire messages into events of the decision logic, and its actions into replies.

No other module but birchstack.settings knows the wire's names. This module contains no decision logic.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import BinaryIO

from birchstack import interface
from birchstack.decide import Sender
from birchstack.settings import decode

OUTCOMES = {
    "delivered": interface.OK,
    "app_error": interface.ERROR,
    "shed": interface.FULL,
    "expired": interface.TIMEOUT,
    "dial_failed": interface.CONNECT_FAILED,
    "dropped": interface.RESET,
    "revoked": interface.CANCELLED,
    "unused": interface.UNSENT,
}
STATES = {0: interface.GONE, 1: interface.READY, 2: interface.DRAINING}
MODES = {0: interface.CHANGES, 1: interface.WHOLE, 2: interface.WHOLE, 3: interface.FAILED}
IGNORED_EVENTS = {"boot", "wake", "streaming", "probed"}


class WireError(Exception):
    """The input does not follow the wire format."""


class Instance:
    """One sender and its host. Actions are appended to the shared reply in the order they are requested."""

    def __init__(self, name: str, config: dict, seed: int, reply: list[str]) -> None:
        self._name = name
        self._reply = reply
        self.kinds = config.get("hostTypes", [])
        report = config.get("report", {})
        names = report.get("names", []) if report.get("how") != "off" else []
        self._headroom_at = names.index("x0") if "x0" in names else None
        self._limit_at = names.index("x1") if "x1" in names else None
        self.sender = Sender(decode(config), seed, self)

    def _act(self, action: str, **fields: object) -> None:
        self._reply.append(json.dumps({action: {"sender": self._name, **fields}}, separators=(",", ":")))

    def transmit(self, doc_id: str, endpoint: str, timeout_ms: float) -> None:
        """Requests a transmission."""
        self._act("issue", txn=doc_id, endpoint=endpoint, patienceMs=round(timeout_ms, 3))

    def reject(self, doc_id: str, retry_after_ms: float) -> None:
        """Rejects a document."""
        self._act("refuse", txn=doc_id, coolDownMs=round(retry_after_ms, 3))

    def abandon(self, doc_id: str) -> None:
        """Abandons a document."""
        self._act("respondError", txn=doc_id)

    def close_idle(self, endpoint: str) -> None:
        """Requests that the idle connections to an endpoint be closed."""
        self._act("dropConns", endpoint=endpoint)

    def wake(self, after_ms: float) -> None:
        """Requests an event after a delay."""
        self._act("sleep", offsetMs=round(after_ms, 3), keyBack="turn")

    def subscribe(self) -> None:
        """Requests the endpoint list."""
        self._act("listen", want=True)

    def broadcast(self, note: str) -> None:
        """Sends a note to all other senders."""
        self._act("notify", dst=-1, bytes=note)

    def observed(self, endpoint: str, kind: interface.SignalKind, wait_ms: float) -> None:
        """Never called: the simulator's senders exchange notes, not signals."""

    def save_recovery(self, recovery: interface.Recovery) -> None:
        """Does nothing: the simulator keeps no state across processes."""

    def log(self, text: str) -> None:
        """Writes a line to the simulator's log."""
        self._act("sayLog", reasonText=text)

    def report_exception(self, problem: Exception) -> None:
        """Reports an exception raised by the decision logic."""
        self._act("internalError", reasonText=f"{type(problem).__name__}: {problem}")

    def outcome(self, fields: dict) -> interface.Outcome:
        """Decodes one `settled` message."""
        stats = fields.get("stats")
        headroom = stats[self._headroom_at] if stats and self._headroom_at is not None else None
        limit = stats[self._limit_at] if stats and self._limit_at is not None else None
        kind = OUTCOMES[fields["how"]]
        wait_ms = (fields.get("holdMs") or 0.0) if kind == interface.FULL else 0.0
        final = bool(fields.get("last"))
        return interface.Outcome(kind, fields["go"], fields["rttMs"], final, wait_ms, headroom, limit)

    def entries(self, records: list[dict]) -> list[interface.Endpoint]:
        """Decodes the entries of one endpoint list."""
        return [
            interface.Endpoint(
                record["endpoint"],
                record["destination"],
                record.get("hall") or "",
                self.kinds.index(record["model"]) if record.get("model") in self.kinds else 0,
                STATES[record["lifecycle"]],
                record.get("share") or 0.0,
            )
            for record in records
        ]


class Dispatcher:
    """Passes the events of a batch to the instances they are addressed to."""

    def __init__(self) -> None:
        self.reply: list[str] = []
        self._instances: dict[str, Instance] = {}
        self._lists: dict[int, list[dict]] = {}

    def batch(self, now: float, events: list[tuple[str, dict]]) -> None:
        """Processes one batch. Afterwards `reply` holds the actions it caused."""
        self.reply.clear()
        involved: dict[str, Instance] = {}
        for event, fields in events:
            if event == "defineList":
                self._lists[fields["buffer"]] = fields["records"]
                continue
            name = fields["sender"]
            if event == "boot":
                self._instances[name] = Instance(name, fields["config"], fields["prng"], self.reply)
            if event == "powerOff":
                self._instances.pop(name, None)
                involved.pop(name, None)
                continue
            instance = self._instances.get(name)
            if instance is None:
                raise WireError(f"{event} for {name}, which has not started")
            involved[name] = instance
            call = self._method_call(instance, now, event, fields)
            if call is not None:
                self._call_guarded(instance, *call)
        for instance in involved.values():
            self._call_guarded(instance, instance.sender.turn, now)

    @staticmethod
    def _call_guarded(instance: Instance, method: Callable, *arguments: object) -> None:
        try:
            method(*arguments)
        except Exception as problem:  # an error in the decision logic is reported, not hidden
            instance.report_exception(problem)

    def _method_call(self, instance: Instance, now: float, event: str, fields: dict) -> tuple | None:
        """Returns the sender's method for one event and its arguments, or None if no call is needed."""
        sender = instance.sender
        if event == "inbound":
            given = interface.Submission(
                fields["txn"],
                fields["boundFor"],
                fields["service"],
                fields["timeBudgetMs"],
                fields.get("subject") or None,
                tenant=fields.get("userGroup") or None,
            )
            return sender.document, now, given
        if event == "settled":
            if fields["how"] not in OUTCOMES:
                raise WireError(f"unknown outcome {fields['how']!r}")
            return sender.outcome, now, fields["txn"], fields["endpoint"], instance.outcome(fields)
        if event == "fleet":
            mode = MODES[fields["mode"]]
            records = [] if mode == interface.FAILED else self._lists[fields["buffer"]]
            return sender.endpoints, now, mode, instance.entries(records)
        if event == "hangup":
            return sender.withdrawn, now, fields["txn"]
        if event == "datagram":
            return sender.note_received, now, fields["bytes"]
        if event not in IGNORED_EVENTS:
            raise WireError(f"unknown message {event!r}")
        return None


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches from source until it ends."""
    dispatcher = Dispatcher()
    now = 0.0
    events = []
    for line in source:
        if not line.strip():
            continue
        try:
            ((name, fields),) = json.loads(line).items()
            if name == "mark":
                now = fields["timeMs"]
            elif name == "eofBatch":
                dispatcher.batch(now, events)
                events = []
                sink.write("".join(f"{text}\n" for text in [*dispatcher.reply, '{"eor":{}}']).encode())
                sink.flush()
            else:
                events.append((name, fields))
        except (ValueError, KeyError, TypeError, AttributeError, IndexError) as problem:
            raise WireError(f"malformed input ({type(problem).__name__}: {problem})") from problem
