"""Batches in, replies out. The wire's names end here; nothing is decided here."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import BinaryIO

from birchstack import interface as our
from birchstack.decide import Sender
from birchstack.settings import decode

OUTCOMES = {
    "delivered": our.OK,
    "app_error": our.ERROR,
    "shed": our.FULL,
    "expired": our.TIMEOUT,
    "dial_failed": our.CONNECT_FAILED,
    "dropped": our.RESET,
    "revoked": our.CANCELLED,
    "unused": our.UNSENT,
}
STATES = {0: our.GONE, 1: our.READY, 2: our.DRAINING}
MODES = {0: our.CHANGES, 1: our.WHOLE, 2: our.WHOLE, 3: our.FAILED}
IGNORED = {"boot", "wake", "streaming", "probed"}


class WireError(Exception):
    """The input is not the wire."""


class Instance:
    """One sender and the host it talks to; the actions of a turn go to the shared reply in their order."""

    def __init__(self, name: str, config: dict, seed: int, reply: list[str]) -> None:
        self._name, self._reply = name, reply
        self.kinds = config.get("hostTypes", [])
        report = config.get("report", {})
        names = report.get("names", []) if report.get("how") != "off" else []
        self._room = names.index("x0") if "x0" in names else None
        self._limit = names.index("x1") if "x1" in names else None
        self.sender = Sender(decode(config), seed, self)

    def _act(self, action: str, **fields: object) -> None:
        self._reply.append(json.dumps({action: {"sender": self._name, **fields}}, separators=(",", ":")))

    def transmit(self, doc_id: str, endpoint: str, patience_ms: float) -> None:
        self._act("issue", txn=doc_id, endpoint=endpoint, patienceMs=round(patience_ms, 3))

    def reject(self, doc_id: str, retry_after_ms: float) -> None:
        self._act("refuse", txn=doc_id, coolDownMs=round(retry_after_ms, 3))

    def abandon(self, doc_id: str) -> None:
        self._act("respondError", txn=doc_id)

    def close_idle(self, endpoint: str) -> None:
        self._act("dropConns", endpoint=endpoint)

    def wake(self, after_ms: float) -> None:
        self._act("sleep", offsetMs=round(after_ms, 3), keyBack="turn")

    def subscribe(self) -> None:
        self._act("listen", want=True)

    def tell(self, note: str) -> None:
        self._act("notify", dst=-1, bytes=note)

    def observed(self, endpoint: str, kind: our.SignalKind, wait_ms: float) -> None:
        """Never called: the simulator's senders talk by notes."""

    def remember(self, recovery: our.Recovery) -> None:
        """Nothing outlasts a process here."""

    def log(self, text: str) -> None:
        self._act("sayLog", reasonText=text)

    def fault(self, problem: Exception) -> None:
        self._act("internalError", reasonText=f"{type(problem).__name__}: {problem}")

    def outcome(self, fields: dict) -> our.Outcome:
        """Reads one settled line."""
        stats = fields.get("stats")
        room = stats[self._room] if stats and self._room is not None else None
        limit = stats[self._limit] if stats and self._limit is not None else None
        kind = OUTCOMES[fields["how"]]
        wait_ms = (fields.get("holdMs") or 0.0) if kind == our.FULL else 0.0
        over = bool(fields.get("last"))
        return our.Outcome(kind, fields["go"], fields["rttMs"], over, wait_ms, room, limit)

    def entries(self, records: list[dict]) -> list[our.Endpoint]:
        """Reads the entries of one list."""
        return [
            our.Endpoint(
                line["endpoint"],
                line["destination"],
                line.get("hall") or "",
                self.kinds.index(line["model"]) if line.get("model") in self.kinds else 0,
                STATES[line["lifecycle"]],
                line.get("share") or 0.0,
            )
            for line in records
        ]


class Desk:
    """Hands the events of a batch to the instances they are for."""

    def __init__(self) -> None:
        self.reply: list[str] = []
        self._instances: dict[str, Instance] = {}
        self._lists: dict[int, list[dict]] = {}

    def batch(self, now: float, events: list[tuple[str, dict]]) -> None:
        """Plays one batch; afterwards reply holds its actions."""
        self.reply.clear()
        called: dict[str, Instance] = {}
        for event, fields in events:
            if event == "defineList":
                self._lists[fields["buffer"]] = fields["records"]
                continue
            name = fields["sender"]
            if event == "boot":
                self._instances[name] = Instance(name, fields["config"], fields["prng"], self.reply)
            if event == "powerOff":
                self._instances.pop(name, None)
                called.pop(name, None)
                continue
            instance = self._instances.get(name)
            if instance is None:
                raise WireError(f"{event} for {name}, which has not started")
            called[name] = instance
            call = self._call(instance, now, event, fields)
            if call is not None:
                self._guarded(instance, *call)
        for instance in called.values():
            self._guarded(instance, instance.sender.turn, now)

    @staticmethod
    def _guarded(instance: Instance, call: Callable, *words: object) -> None:
        try:
            call(*words)
        except Exception as problem:  # a fault of the decisions is reported, never answered over
            instance.fault(problem)

    def _call(self, instance: Instance, now: float, event: str, fields: dict) -> tuple | None:
        """The sender's method for one event, with its words; None where the event asks for none."""
        sender = instance.sender
        if event == "inbound":
            given = our.Submission(
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
            records = [] if mode == our.FAILED else self._lists[fields["buffer"]]
            return sender.endpoints, now, mode, instance.entries(records)
        if event == "hangup":
            return sender.withdrawn, now, fields["txn"]
        if event == "datagram":
            return sender.heard, now, fields["bytes"]
        if event not in IGNORED:
            raise WireError(f"unknown message {event!r}")
        return None


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batch after batch until the input ends."""
    desk, now, events = Desk(), 0.0, []
    for line in source:
        if not line.strip():
            continue
        try:
            ((name, fields),) = json.loads(line).items()
            if name == "mark":
                now = fields["timeMs"]
            elif name == "eofBatch":
                desk.batch(now, events)
                events = []
                sink.write("".join(f"{text}\n" for text in [*desk.reply, '{"eor":{}}']).encode())
                sink.flush()
            else:
                events.append((name, fields))
        except (ValueError, KeyError, TypeError, AttributeError, IndexError) as problem:
            raise WireError(f"malformed input ({type(problem).__name__}: {problem})") from problem
