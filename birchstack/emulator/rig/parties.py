"""The parties that a fleet shares: a list service, endpoints, clients. They note what truly happened.

Owns the lists' versions and contents, and the truth: which call came from whom and when, which version was
told to whom and when. Must never ask a sender what it did. Written against the stage, for real and for
virtual time; HTTP is read by httptools, not by the sender's own parser.
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


@dataclass(frozen=True, slots=True)
class Seen:
    """A call as its endpoint saw it: when its last byte came, from whom, the answer's status (0: none)."""

    at_ms: float
    sender: str
    doc: str
    endpoint: str
    status: int = 200


@dataclass(frozen=True, slots=True)
class Told:
    """A version that was written to a sender (or keeper), and when."""

    at_ms: float
    to: str
    number: int
    epoch: str


class Lists:
    """A list service: one list for all, watches, notices. line(caller, uid) tells an endpoint's address."""

    def __init__(
        self, stage, address: Callable[[str, str], str], beat_ms: float = 500.0, epoch: str = ""
    ) -> None:
        self._stage, self._address, self._beat_ms = stage, address, beat_ms
        self.epoch, self.number = epoch, 1
        self.entries: dict[str, dict] = {}
        self.gone: dict[str, dict] = {}  # lines of endpoints that left, should they come back
        self._log: list[tuple[int, str, dict]] = []  # number, uid, line: what changed
        self.kept: dict[int, tuple[dict, list]] = {}
        self.watchers: dict[ListPeer, None] = {}
        self.still: set[str] = set()  # callers whose watch only beats: the list stands still for them
        self.told: list[Told] = []
        self.published: list[tuple[float, str, int]] = []
        self.notices: dict[str, str] = {}
        self.asks: list[tuple[float, str, int]] = []  # when, who, after which version
        self._beat()

    def begin(self, entries: list[dict]) -> None:
        """The first list."""
        self.entries = {each["uid"]: each for each in entries}
        self._keep()

    def _keep(self) -> None:
        self.kept[self.number] = dict(self.entries), [*self._log]
        self.published.append((self._stage.now_ms(), self.epoch, self.number))

    def publish(self, **states: str) -> int:
        """A new version: by uid the state from now on; "left" takes an endpoint off. Returns its number."""
        self.number += 1
        for uid, state in states.items():
            line = {**(self.entries.get(uid) or self.gone[uid]), "state": state}
            self._log.append((self.number, uid, line))
            if state == "left":
                self.gone[uid] = self.entries.pop(uid, line)
            else:
                self.entries[uid] = line
        self._keep()
        self._tell_all()
        return self.number

    def restore(self, number: int, epoch: str | None = None) -> None:
        """Back to a version that was kept, as from a backup; every watch ends. epoch: a new one begins."""
        entries, log = self.kept[number]
        self.entries, self._log, self.number = dict(entries), [*log], number
        if epoch is not None:
            self.epoch = epoch
        self.published.append((self._stage.now_ms(), self.epoch, number))
        for each in [*self.watchers]:
            each.drop()

    def whole(self, caller: str) -> dict:
        return self._line(caller, True, self.entries.values())

    def _line(self, caller: str, whole: bool, lines) -> dict:
        targets = [{**line, "endpoint": self._address(caller, line["uid"])} for line in lines]
        told = {"rev": self.number, "all": whole, "targets": targets}
        return {**told, "epoch": self.epoch} if self.epoch else told

    def after(self, caller: str, number: int) -> dict | None:
        """What a watch that has a version is told; None where there is nothing new."""
        if number == self.number:
            return None
        if not number or number > self.number:
            return self.whole(caller)
        last = {uid: line for at, uid, line in self._log if at > number}
        return self._line(caller, False, last.values())

    def accept(self, caller: str) -> ListPeer:
        return ListPeer(self, caller)

    def now_ms(self) -> float:
        return self._stage.now_ms()

    def _tell_all(self) -> None:
        for each in [*self.watchers]:
            each.tell(False)

    def _beat(self) -> None:
        for each in [*self.watchers]:
            each.tell(True)
        self._stage.after(self._beat_ms, self._beat)


class ListPeer(Server):
    """One connection at the list service."""

    def __init__(self, lists: Lists, caller: str) -> None:
        super().__init__()
        self._lists, self.caller = lists, caller
        self._has, self._new = -1, True

    def ended(self, reset: bool) -> None:
        super().ended(reset)
        self._lists.watchers.pop(self, None)

    def drop(self) -> None:
        self._lists.watchers.pop(self, None)
        self.gone = True
        self.port.abort()

    def request_received(self, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        lists = self._lists
        if method == "POST" and target == "/v1/notices":
            for line in body.splitlines():
                told = json.loads(line)
                lists.notices[told["ref"]] = told["result"]
            self.port.write(message(204))
            return
        words = dict(word.partition("=")[::2] for word in target.partition("?")[2].split("&"))
        self._has = int(words.get("after", 0))
        lists.asks.append((lists.now_ms(), self.caller, self._has))
        if not words.get("watch"):
            self.port.write(message(200, None, json.dumps(lists.whole(self.caller)).encode()))
            return
        self.port.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        lists.watchers[self] = None
        self.tell(False)

    def tell(self, beat: bool) -> None:
        lists = self._lists
        told = None if self.caller in lists.still else lists.after(self.caller, self._has)
        if told is not None:
            self._has = told["rev"]
            lists.told.append(Told(lists.now_ms(), self.caller, told["rev"], lists.epoch))
            self._write(json.dumps(told).encode() + b"\n")
        elif beat:
            self._write(b"\n")

    def _write(self, line: bytes) -> None:
        self.port.write(b"%x\r\n%s\r\n" % (len(line), line))

    def malformed(self, problem: str) -> None:
        self.drop()


@dataclass(slots=True)
class ColdReturn:
    """What an endpoint bears that is back since back_ms: a share of its usual calls a second that rises to
    all of them in the warm-up time, counted over each span. Above it, it falls over and answers nobody."""

    back_ms: float
    usual: float
    warm_up_ms: float
    share: float = 0.3
    span_ms: float = 2000.0
    fallen_ms: float | None = None
    fullest: float = 0.0  # calls of the fullest span, as a part of what it bears
    arrivals: deque[float] = field(default_factory=deque)

    def stands(self, now_ms: float) -> bool:
        """Counts a call; False once it has fallen over."""
        warm = (now_ms - self.back_ms) / self.warm_up_ms
        if self.fallen_ms is not None or not 0.0 <= warm < 1.0:
            return self.fallen_ms is None
        self.arrivals.append(now_ms)
        while self.arrivals[0] <= now_ms - self.span_ms:
            self.arrivals.popleft()
        share = self.share + (1.0 - self.share) * warm
        part = len(self.arrivals) / most_calls(self.usual * share * self.span_ms / 1000.0)
        self.fullest = max(self.fullest, part)
        self.fallen_ms = now_ms if part > 1.0 else None
        return part <= 1.0


class Endpoints:
    """Partners' endpoints: each call is noted, then answered. status, waits: by uid, else all is well; a
    status of 0 is no answer."""

    def __init__(self, stage, answer_ms: float = 5.0) -> None:
        self.stage, self.answer_ms = stage, answer_ms
        self.calls: list[Seen] = []
        self.status: dict[str, int] = {}
        self.waits: dict[str, float] = {}
        self.shut_until: dict[str, float] = {}  # by uid; until then each call is told what is left as a wait
        self.cold: dict[str, ColdReturn] = {}  # by uid, those that fall over when they are overrun
        self.flaky: dict[str, float] = {}  # by uid the share of calls that it answers with an error
        self.chance = random.Random("flaky endpoints")

    def accept(self, uid: str) -> Callable[[str], EndpointPeer]:
        return lambda caller: EndpointPeer(self, uid, caller)


class EndpointPeer(Server):
    def __init__(self, endpoints: Endpoints, uid: str, caller: str) -> None:
        super().__init__()
        self._endpoints, self._uid, self._caller = endpoints, uid, caller

    def request_received(self, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        told = self._endpoints
        status = told.status.get(self._uid, 200)
        if self._uid in told.flaky and told.chance.random() < told.flaky[self._uid]:
            status = 500
        now_ms = told.stage.now_ms()
        if self._uid in told.cold and not told.cold[self._uid].stands(now_ms):
            status = 0
        left_ms = int(told.shut_until.get(self._uid, 0.0) - now_ms)
        if left_ms > 0:
            status = 429
        told.calls.append(Seen(now_ms, self._caller, fields["request-id"], self._uid, status))
        if not status:
            return
        wait_ms = left_ms if left_ms > 0 else told.waits.get(self._uid)
        wait = {"X-Come-Back-Ms": wait_ms} if status == 429 and wait_ms is not None else None
        told.stage.after(told.answer_ms, self._answer, message(status, wait))

    def _answer(self, text: bytes) -> None:
        if not self.gone:
            self.port.write(text)

    def malformed(self, problem: str) -> None:
        self.gone = True
        self.port.abort()


@dataclass(slots=True)
class Handed:
    """One document as its client saw it. status: 0 while there was no answer, -1 where the connection
    broke."""

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
    """Hands documents in, each on a connection of its own."""

    def __init__(self, stage, where: Callable[[str], tuple[str, int]]) -> None:
        self.stage, self._where = stage, where
        self.handed: dict[str, Handed] = {}

    def hand_in(
        self, sender: str, doc: str, destination: int = 1, kind: str = "sync", left_ms: int = 8000
    ) -> Handed:
        made = self.handed[doc] = Handed(doc, sender, destination, self.stage.now_ms(), kind)
        text = (
            f"POST /{kind} HTTP/1.1\r\nHost: api\r\nRequest-Id: {doc}\r\nRequest-Timeout-Ms: {left_ms}\r\n"
            f"X-Consignee: dest={destination}\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello"
        ).encode()
        self.stage.reach(self._where(sender), Hand(self, made, text), lambda: self.over(made, -1))
        return made

    def over(self, handed: Handed, status: int) -> None:
        if not handed.answered_ms:
            handed.status, handed.answered_ms = status, self.stage.now_ms()

    def taken(self) -> set[str]:
        return {each.doc for each in self.handed.values() if each.status == 202}


class Hand:
    """The client's end of one connection."""

    def __init__(self, clients: Clients, handed: Handed, text: bytes) -> None:
        self._clients, self._handed, self._text = clients, handed, text
        self._parser = httptools.HttpResponseParser(self)
        self.port = None

    def opened(self, port) -> None:
        self.port = port
        port.write(self._text)

    def received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._clients.over(self._handed, -1)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._handed.fields[name.decode().lower()] = value.decode()

    def on_message_complete(self) -> None:
        self._handed.wait_s = float(self._handed.fields.get("retry-after", 0.0))
        self._clients.over(self._handed, self._parser.get_status_code())
        self.port.close()

    def ended(self, reset: bool) -> None:
        self._clients.over(self._handed, -1)
        if not reset:
            self.port.close()
