"""Stand-ins for the other parties of a fleet: a list service, endpoints and clients.

They record which call came from whom and when, and which version of the list was sent to whom and when,
without asking the senders. They run on a stage, in real or in virtual time. HTTP is parsed by httptools, not
by the sender's own parser.
"""

from __future__ import annotations

import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools

from birchstack.emulator.destinations import most_calls
from birchstack.emulator.peers import Server, message


@dataclass(slots=True)
class Seen:
    """A call as its endpoint received it: time of the last byte, sender, status of the answer (0: none).

    ended_ms: when its answer was written or its connection ended, None while it is in progress. answered:
    whether the answer was written.
    """

    at_ms: float
    sender: str
    doc: str
    endpoint: str
    status: int = 200
    ended_ms: float | None = None
    answered: bool = False

    def end(self, now_ms: float, answered: bool) -> None:
        """Records the end of the call, once."""
        if self.ended_ms is None:
            self.ended_ms = now_ms
            self.answered = answered


@dataclass(frozen=True, slots=True)
class SentVersion:
    """A version of the list that was written to a sender or keeper."""

    at_ms: float
    to: str
    number: int
    epoch: str


class ListService:
    """A discovery service: one list for all callers, watches, and notices.

    address(caller, uid) returns the address of an endpoint for a caller; beat_ms is the heartbeat interval.
    """

    def __init__(
        self, stage, address: Callable[[str, str], str], beat_ms: float = 500.0, epoch: str = ""
    ) -> None:
        self._stage = stage
        self._address = address
        self._beat_ms = beat_ms
        self.epoch = epoch
        self.number = 1
        self.entries: dict[str, dict] = {}
        self.removed: dict[str, dict] = {}  # entries of endpoints that left, in case they return
        self._log: list[tuple[int, str, dict]] = []  # changes: number of the version, uid, entry
        self.saved: dict[int, tuple[dict, list]] = {}
        self.watchers: dict[ListPeer, None] = {}
        self.frozen: set[str] = set()  # callers whose watch gets only heartbeats, no updates
        self.sent_versions: list[SentVersion] = []
        self.published: list[tuple[float, str, int]] = []
        self.notices: dict[str, str] = {}
        self.asks: list[tuple[float, str, int]] = []  # time, caller, version that the caller has
        self._send_heartbeats()

    def begin(self, entries: list[dict]) -> None:
        """Sets the first list."""
        self.entries = {entry["uid"]: entry for entry in entries}
        self._keep()

    def _keep(self) -> None:
        """Saves the current version for restore()."""
        self.saved[self.number] = dict(self.entries), [*self._log]
        self.published.append((self._stage.now_ms(), self.epoch, self.number))

    def publish(self, **states: str) -> int:
        """Publishes a new version and returns its number.

        states: by uid, the new state; "left" removes an endpoint.
        """
        self.number += 1
        for uid, state in states.items():
            entry = {**(self.entries.get(uid) or self.removed[uid]), "state": state}
            self._log.append((self.number, uid, entry))
            if state == "left":
                self.removed[uid] = self.entries.pop(uid, entry)
            else:
                self.entries[uid] = entry
        self._keep()
        self._update_watchers()
        return self.number

    def restore(self, number: int, epoch: str | None = None) -> None:
        """Returns to a saved version, as from a backup, and ends every watch.

        epoch: the epoch that begins, if any.
        """
        entries, log = self.saved[number]
        self.entries = dict(entries)
        self._log = [*log]
        self.number = number
        if epoch is not None:
            self.epoch = epoch
        self.published.append((self._stage.now_ms(), self.epoch, number))
        for watcher in [*self.watchers]:
            watcher.drop()

    def whole(self, caller: str) -> dict:
        """Returns the whole list for a caller."""
        return self._update(caller, True, self.entries.values())

    def _update(self, caller: str, whole: bool, entries) -> dict:
        targets = [{**entry, "endpoint": self._address(caller, entry["uid"])} for entry in entries]
        update = {"rev": self.number, "all": whole, "targets": targets}
        return {**update, "epoch": self.epoch} if self.epoch else update

    def after(self, caller: str, number: int) -> dict | None:
        """Returns what a caller with a version is sent, or None if nothing is new."""
        if number == self.number:
            return None
        if not number or number > self.number:
            return self.whole(caller)
        latest = {uid: entry for version, uid, entry in self._log if version > number}
        return self._update(caller, False, latest.values())

    def accept(self, caller: str) -> ListPeer:
        """Returns the peer of a new connection."""
        return ListPeer(self, caller)

    def now_ms(self) -> float:
        """Returns the time of the stage."""
        return self._stage.now_ms()

    def _update_watchers(self) -> None:
        for watcher in [*self.watchers]:
            watcher.send_update(False)

    def _send_heartbeats(self) -> None:
        for watcher in [*self.watchers]:
            watcher.send_update(True)
        self._stage.after(self._beat_ms, self._send_heartbeats)


class ListPeer(Server):
    """One connection at the list service."""

    def __init__(self, service: ListService, caller: str) -> None:
        super().__init__()
        self._service = service
        self.caller = caller
        self._known_version = -1
        self._new = True

    def ended(self, reset: bool) -> None:
        """Removes the watch of a connection that ended."""
        super().ended(reset)
        self._service.watchers.pop(self, None)

    def drop(self) -> None:
        """Resets the connection."""
        self._service.watchers.pop(self, None)
        self.gone = True
        self.port.abort()

    def request_received(self, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        """Answers a request: a notice, the whole list or a watch."""
        service = self._service
        if method == "POST" and target == "/v1/notices":
            for line in body.splitlines():
                notice = json.loads(line)
                service.notices[notice["ref"]] = notice["result"]
            self.port.write(message(204))
            return
        query = dict(parameter.partition("=")[::2] for parameter in target.partition("?")[2].split("&"))
        self._known_version = int(query.get("after", 0))
        service.asks.append((service.now_ms(), self.caller, self._known_version))
        if not query.get("watch"):
            self.port.write(message(200, None, json.dumps(service.whole(self.caller)).encode()))
            return
        self.port.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        service.watchers[self] = None
        self.send_update(False)

    def send_update(self, heartbeat: bool) -> None:
        """Writes new versions to a watch, or else a heartbeat if one is due."""
        service = self._service
        update = None if self.caller in service.frozen else service.after(self.caller, self._known_version)
        if update is not None:
            self._known_version = update["rev"]
            service.sent_versions.append(
                SentVersion(service.now_ms(), self.caller, update["rev"], service.epoch)
            )
            self._write(json.dumps(update).encode() + b"\n")
        elif heartbeat:
            self._write(b"\n")

    def _write(self, line: bytes) -> None:
        self.port.write(b"%x\r\n%s\r\n" % (len(line), line))

    def malformed(self, problem: str) -> None:
        """Resets the connection after a malformed request."""
        self.drop()


@dataclass(slots=True)
class ColdReturn:
    """Capacity of an endpoint that serves again since back_ms.

    The capacity is a share of its usual calls per second that rises to all of them during the warm-up time,
    counted over each span. An endpoint that gets more calls fails and answers no more.
    """

    back_ms: float
    usual: float
    warm_up_ms: float
    share: float = 0.3
    span_ms: float = 2000.0
    fallen_ms: float | None = None  # when it failed under overload
    peak_load: float = 0.0  # calls of the busiest span, as a share of the capacity
    arrivals: deque[float] = field(default_factory=deque)

    def accepts_call(self, now_ms: float) -> bool:
        """Counts a call and returns whether the endpoint still works."""
        warm_share = (now_ms - self.back_ms) / self.warm_up_ms
        if self.fallen_ms is not None or not 0.0 <= warm_share < 1.0:
            return self.fallen_ms is None
        self.arrivals.append(now_ms)
        while self.arrivals[0] <= now_ms - self.span_ms:
            self.arrivals.popleft()
        share = self.share + (1.0 - self.share) * warm_share
        load = len(self.arrivals) / most_calls(self.usual * share * self.span_ms / 1000.0)
        self.peak_load = max(self.peak_load, load)
        self.fallen_ms = now_ms if load > 1.0 else None
        return load <= 1.0


class Endpoints:
    """Stand-in endpoints that record each call and answer it.

    status, waits: by uid, the status of the answers and the wait requested; without an entry, 200 and none.
    Status 0 is no answer.
    """

    def __init__(self, stage, answer_ms: float = 5.0) -> None:
        self.stage = stage
        self.answer_ms = answer_ms
        self.calls: list[Seen] = []
        self.status: dict[str, int] = {}
        self.waits: dict[str, float] = {}
        # by uid; until then, each call is asked to wait for the rest of the time
        self.shut_until: dict[str, float] = {}
        self.cold: dict[str, ColdReturn] = {}  # by uid; these fail when they are overloaded
        self.flaky: dict[str, float] = {}  # by uid: share of the calls answered with an error
        self.busy_share = 0.0  # share of the calls that are refused with a 503
        self.spread_ms = 0.0  # an answer takes up to this much longer than answer_ms
        self.chance = random.Random("flaky endpoints")

    def accept(self, uid: str) -> Callable[[str], EndpointPeer]:
        """Returns the function that makes the peer of each connection to an endpoint."""
        return lambda caller: EndpointPeer(self, uid, caller)


class EndpointPeer(Server):
    """One connection at an endpoint."""

    def __init__(self, endpoints: Endpoints, uid: str, caller: str) -> None:
        super().__init__()
        self._endpoints = endpoints
        self._uid = uid
        self._caller = caller
        self._calls: list[Seen] = []  # in progress

    def ended(self, reset: bool) -> None:
        """Ends the calls in progress without an answer."""
        super().ended(reset)
        for call in self._calls:
            call.end(self._endpoints.stage.now_ms(), answered=False)

    def request_received(self, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        """Records a call and schedules its answer."""
        endpoints = self._endpoints
        status = endpoints.status.get(self._uid, 200)
        if self._uid in endpoints.flaky and endpoints.chance.random() < endpoints.flaky[self._uid]:
            status = 500
        if endpoints.busy_share and endpoints.chance.random() < endpoints.busy_share:
            status = 503
        now_ms = endpoints.stage.now_ms()
        if self._uid in endpoints.cold and not endpoints.cold[self._uid].accepts_call(now_ms):
            status = 0
        left_ms = int(endpoints.shut_until.get(self._uid, 0.0) - now_ms)
        if left_ms > 0:
            status = 429
        call = Seen(now_ms, self._caller, fields["request-id"], self._uid, status)
        endpoints.calls.append(call)
        self._calls.append(call)
        if not status:
            return
        wait_ms = left_ms if left_ms > 0 else endpoints.waits.get(self._uid)
        wait = {"X-Come-Back-Ms": wait_ms} if status == 429 and wait_ms is not None else None
        answer_ms = endpoints.answer_ms
        if endpoints.spread_ms:
            answer_ms += endpoints.spread_ms * endpoints.chance.random()
        endpoints.stage.after(answer_ms, self._answer, call, message(status, wait))

    def _answer(self, call: Seen, text: bytes) -> None:
        if not self.gone:
            self._calls.remove(call)
            call.end(self._endpoints.stage.now_ms(), answered=True)
            self.port.write(text)

    def malformed(self, problem: str) -> None:
        """Resets the connection after a malformed request."""
        self.gone = True
        self.port.abort()


@dataclass(slots=True)
class SubmittedDocument:
    """One document as its client sees it.

    status is 0 while there is no answer, and -1 if the connection broke.
    """

    doc: str
    sender: str
    destination: int
    at_ms: float
    kind: str = "sync"
    status: int = 0
    wait_s: float = 0.0
    answered_ms: float = 0.0
    fields: dict = field(default_factory=dict)


class Clients:
    """Submits documents, each on a connection of its own."""

    def __init__(self, stage, where: Callable[[str], tuple[str, int]]) -> None:
        self.stage = stage
        self._where = where
        self.handed: dict[str, SubmittedDocument] = {}

    def hand_in(
        self, sender: str, doc: str, destination: int = 1, kind: str = "sync", left_ms: int = 8000
    ) -> SubmittedDocument:
        """Submits a document to a sender."""
        document = self.handed[doc] = SubmittedDocument(doc, sender, destination, self.stage.now_ms(), kind)
        request = (
            f"POST /{kind} HTTP/1.1\r\nHost: api\r\nRequest-Id: {doc}\r\nRequest-Timeout-Ms: {left_ms}\r\n"
            f"X-Consignee: dest={destination}\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello"
        ).encode()
        self.stage.reach(
            self._where(sender),
            ClientConnection(self, document, request),
            lambda: self.record_answer(document, -1),
        )
        return document

    def record_answer(self, document: SubmittedDocument, status: int) -> None:
        """Records the answer to a document, or its absence."""
        if not document.answered_ms:
            document.status = status
            document.answered_ms = self.stage.now_ms()

    def taken(self) -> set[str]:
        """Returns the documents that senders accepted."""
        return {each.doc for each in self.handed.values() if each.status == 202}


class ClientConnection:
    """The client's end of one connection."""

    def __init__(self, clients: Clients, document: SubmittedDocument, request: bytes) -> None:
        self._clients = clients
        self._document = document
        self._request = request
        self._parser = httptools.HttpResponseParser(self)
        self.port = None

    def opened(self, port) -> None:
        """Sends the request."""
        self.port = port
        port.write(self._request)

    def received(self, data: bytes) -> None:
        """Parses the answer."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._clients.record_answer(self._document, -1)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field of the answer."""
        self._document.fields[name.decode().lower()] = value.decode()

    def on_message_complete(self) -> None:
        """Records the answer and closes the connection."""
        self._document.wait_s = float(self._document.fields.get("retry-after", 0.0))
        self._clients.record_answer(self._document, self._parser.get_status_code())
        self.port.close()

    def ended(self, reset: bool) -> None:
        """Records that the connection ended without an answer."""
        self._clients.record_answer(self._document, -1)
        if not reset:
            self.port.close()
