"""The world of one day: destinations, discovery, clients and troubles, on whatever stage it plays.

Owns the model's parts and their schedule. Must never know whether its time is virtual or its sockets real:
the stage brings both, and `senders` starts, ends and halts the processes. All chance comes from the seed.
"""

from __future__ import annotations

import json
import random
from bisect import bisect
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Protocol

from birchstack.emulator.destinations import Destination, Endpoint, Verdict, size_of
from birchstack.emulator.judge import CallSeen, Judge, Story
from birchstack.emulator.peers import (
    BAD,
    UNREADABLE,
    AgentPeer,
    BadPeer,
    ClientPool,
    EndpointPeer,
    Hand,
    Stage,
    message,
)
from birchstack.emulator.scenario import (
    HARMS,
    LISTS,
    OUTAGES,
    SENDERS,
    WRITES,
    DocumentType,
    Scenario,
    Trouble,
)

EFFECTS = {"replayable": "safe", "numbered": "keyed", "binding": "unsafe"}
NEVER_AGAIN_MS = 100.0  # less time left than this: a client hands nothing in
LOST_AGAIN_MS = 100.0  # after no answer a client turns elsewhere so much later
DOWN_MS = 600.0  # a sender that ended starts again so much later


class Senders(Protocol):
    """The processes under test, by number."""

    def term(self, number: int, down_ms: float) -> None: ...

    def kill(self, number: int, down_ms: float) -> None: ...

    def kill_at_write(self, number: int, write: int, how: str, down_ms: float) -> None: ...

    def stand(self, number: int, still: bool) -> None: ...

    def fill_disk(self, number: int, full: bool) -> None: ...

    def step_clock(self, seconds: float) -> None: ...


@dataclass(slots=True)
class Logical:
    """A document as its client sees it, over all its handings in."""

    number: int
    kind: DocumentType
    destination: int
    key: str | None
    expiry: float
    body: bytes
    tries: int = 0


@dataclass(slots=True)
class Agent:
    """Discovery's agent beside one sender."""

    rev: int = 1  # all changes up to this one were told to it
    silent: bool = False
    watchers: dict[AgentPeer, None] = field(default_factory=dict)


class World:
    def __init__(self, scenario: Scenario, seed: int, stage: Stage, judge: Judge, port: int = 7400) -> None:
        self.scenario, self.stage, self.judge, self._port = scenario, stage, judge, port
        self._seed = seed
        self._chance = random.Random(f"world {seed}")
        self._heard = scenario.network.delay_ms * (1.0 + scenario.network.jitter)
        self.senders: Senders | None = None
        self.destinations: list[Destination] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.hosts: dict[str, list] = {}  # by endpoint: its host for each sender
        self.tables: dict[str, int] = {}  # by endpoint: connections open
        self.connections = 0
        self.peers: dict[str, dict[EndpointPeer, None]] = {}
        self._uids = 0
        self._lines: dict[str, dict] = {}  # the list's lines, by endpoint
        self._changes: list[tuple[int, str, str]] = []  # version, endpoint, state
        self._first: list[str] = []  # endpoints of version 1
        self._rev = 1
        self._places: dict[str, tuple[int, int]] = {}  # by endpoint: its address, as numbers
        self._next_place = 0
        self.agents = [Agent() for _ in range(scenario.senders)]
        self._jumps: list[float] = []
        self._documents = 0
        self._ended = False
        usual = self._weights()
        for number, group in enumerate(self._groups):
            dest = Destination(number, group, usual[number], scenario.cold, seed)
            self.destinations.append(dest)
            for _ in range(group.endpoints):
                self._first.append(self._join(dest).uid)
        self.pools = [ClientPool(self, each, self.front(each)) for each in range(scenario.senders)]

    def _weights(self) -> list[float]:
        self._groups = [group for group in self.scenario.destinations for _ in range(group.count)]
        total = sum(group.weight for group in self._groups)
        self._up_to = list(accumulate(group.weight for group in self._groups))
        self._kinds_up_to = list(accumulate(kind.share for kind in self.scenario.types))
        parts, uneven = random.Random(f"parts {self._seed}"), self.scenario.clients.uneven
        self._senders_up_to = (
            []
            if not uneven
            else list(accumulate(parts.lognormvariate(0.0, uneven) for _ in range(self.scenario.senders)))
        )
        return [self.scenario.clients.per_second * group.weight / total for group in self._groups]

    # Addresses: each sender reaches every other party at addresses of its own

    def front(self, sender: int) -> tuple[str, int]:
        return f"127.0.1.{sender + 1}", self._port

    def agent_at(self, sender: int) -> tuple[str, int]:
        return f"127.0.2.{sender + 1}", self._port

    def _where(self, uid: str, sender: int) -> tuple[str, int]:
        high, low = self._places[uid]
        return f"127.{10 + sender}.{high}.{low}", self._port

    def config(self, sender: int, state: str) -> dict:
        """What the platform tells a sender at its start."""
        told, words = self.scenario, self.scenario.sender
        services = []
        for kind in told.types:
            services.append(
                {
                    "name": kind.name,
                    "effect": EFFECTS[kind.effect],
                    "objectiveMs": kind.agreed_ms,
                    "deadlineMs": kind.expiry_ms,
                    "importance": kind.value,
                    "lateShare": kind.late_share,
                    "windowMs": kind.window_ms,
                    "oneAtATime": kind.in_order,
                }
            )
        return {
            "name": f"n{sender}",
            "listen": "{}:{}".format(*self.front(sender)),
            "state": state,
            "discovery": "{}:{}".format(*self.agent_at(sender)),
            "seed": f"{self._chance.getrandbits(48):x}",
            "limits": {"sockets": words.sockets, "disk_mb": words.disk_mb},
            "known": json.loads(self.whole_list(sender)),
            "settings": {
                "nInstances": told.senders,
                "registryMode": "pushed",
                "hostTypes": ["partner"],
                "domain": {
                    "callsOut": words.slots,
                    "losesWorth": "linear",
                    "perCall": [1],
                    "routesApart": [False],
                },
                "limits": {
                    "connIdleMs": told.connections.idle_ms,
                    "dialTimeoutMs": words.dial_ms,
                    "maxOpen": words.max_held,
                    "maxRetryAfterMs": words.retry_after_ms,
                    "retryAfter": words.retry_after_ms > 0,
                    "sendCap": words.max_transmissions,
                    "streamsPerConn": 1,
                },
                "rules": {
                    "answerSlackMs": 20.0,
                    "coldFrom": told.cold.share,
                    "warmUpMs": told.cold.warm_up_ms,
                    "settleAfterDoubtMs": words.key_rest_ms,
                },
                "services": services,
            },
        }

    # The day

    def begin(self) -> None:
        """Opens the agents; the senders may start."""
        for number in range(self.scenario.senders):
            self.stage.serve(self.agent_at(number), f"agent {number}", lambda at=number: AgentPeer(self, at))
        self._beat()
        self._look()

    def open(self) -> None:
        """Clients come, and the troubles."""
        self._began = self.stage.now_ms()
        self._arrive(first=True)
        for at, trouble in enumerate(self.scenario.troubles):
            self.stage.after(trouble.at * 1000.0, self._strike, at, trouble)
        self.stage.after(self.scenario.seconds * 1000.0, self._close)

    def _close(self) -> None:
        """No new documents; those handed in have time to end."""
        self._ended = True

    def rest_ms(self) -> float:
        """So long after the last document everything must have its end."""
        return max(kind.expiry_ms for kind in self.scenario.types) + 4000.0

    def _look(self) -> None:
        self.judge.check_overdue(self.stage.now_ms())
        self.stage.after(1000.0, self._look)

    # Clients

    def _arrive(self, first: bool = False) -> None:
        if self._ended:
            return
        if not first:
            self._new_document()
        rate = self.scenario.clients.per_second
        for factor in self._jumps:
            rate *= factor
        self.stage.after(self._chance.expovariate(rate) * 1000.0, self._arrive)

    def _new_document(self) -> None:
        chance, now = self._chance, self.stage.now_ms()
        kinds, up_to = self._kinds_up_to, self._up_to
        kind = self.scenario.types[min(bisect(kinds, chance.random() * kinds[-1]), len(kinds) - 1)]
        destination = min(bisect(up_to, chance.random() * up_to[-1]), len(up_to) - 1)
        key, sender = None, self._a_sender()
        if kind.in_order:
            number = chance.randrange(kind.keys)
            key, sender = f"k{number}", number % self.scenario.senders
            destination = number % len(self.destinations)
        body = chance.randbytes(chance.randint(*self.scenario.clients.sizes))
        self._documents += 1
        logical = Logical(self._documents, kind, destination, key, now + kind.expiry_ms, body)
        self.judge.document_created(logical.number, kind, now)
        self._hand_in(logical, sender)

    def _a_sender(self) -> int:
        if not self._senders_up_to:
            return self._chance.randrange(self.scenario.senders)
        up_to = self._senders_up_to
        return min(bisect(up_to, self._chance.random() * up_to[-1]), len(up_to) - 1)

    def _hand_in(self, logical: Logical, sender: int) -> None:
        now = self.stage.now_ms()
        left = logical.expiry - now
        if left < NEVER_AGAIN_MS:
            return
        doc_id = f"{self._seed & 0xFFFF:04x}-{logical.number:06x}-{logical.tries}"
        cookie = f"Cookie: thread={logical.key}\r\n" if logical.key else ""
        text = (
            f"POST /{logical.kind.name} HTTP/1.1\r\nHost: api\r\nRequest-Id: {doc_id}\r\n"
            f"Request-Timeout-Ms: {int(left)}\r\nContent-Length: {len(logical.body)}\r\n"
            f"X-Consignee: dest={logical.destination}\r\n{cookie}\r\n"
        ).encode() + logical.body
        story = self.judge.handed(
            now,
            sender,
            doc_id,
            logical.kind,
            logical.destination,
            logical.key,
            int(left),
            logical.body,
            logical.number,
        )
        self.pools[sender].hand_in(Hand(story, logical.kind, text, logical, logical.tries))

    def client_again(self, hand: Hand, wait_ms: float, sender: int, elsewhere: bool = False) -> None:
        """After a rejection or no answer: the same document under a new id, if its client still cares."""
        logical, told = hand.logical, self.scenario.clients
        if logical.tries >= told.returns:
            return
        logical.tries += 1
        wait = wait_ms or (LOST_AGAIN_MS if elsewhere else told.again_ms)
        if elsewhere and logical.key is None:
            sender = (sender + 1) % self.scenario.senders
        self.stage.after(wait * self._chance.uniform(1.0, 1.3), self._hand_in, logical, sender)

    def _bad_client(self, trouble: Trouble) -> None:
        if self.stage.now_ms() > self._began + (trouble.at + trouble.seconds) * 1000.0:
            return
        what = self._chance.choice([*BAD])
        sender = self._chance.choice(self._senders_of(trouble))
        began, heard = self.stage.now_ms(), []

        def told(status: int) -> None:
            if not heard:
                heard.append(status)
                self.judge.bad_client(self.stage.now_ms(), what, began, status)

        def late() -> None:
            if not heard:
                heard.append(None)
                if not self.judge.was_unavailable(sender, began, self.stage.now_ms()):
                    self.judge.bad_client(self.stage.now_ms(), what, began, None)
            peer.hang_up()

        peer = BadPeer(what, told)
        self.stage.reach(self.front(sender), peer, lambda: told(0))
        self.stage.after(3000.0, late)
        self.stage.after(self._chance.expovariate(size_of(trouble)) * 1000.0, self._bad_client, trouble)

    # Endpoints

    def _join(self, dest: Destination, place: tuple[int, int] | None = None) -> Endpoint:
        """A new endpoint; discovery is not told yet."""
        self._uids += 1
        endpoint = Endpoint(f"e{self._uids}", dest, len(dest.endpoints))
        dest.endpoints.append(endpoint)
        uid = endpoint.uid
        if place is None:
            self._next_place += 1
            place = divmod(self._next_place, 250)
            place = place[0], place[1] + 1
        self._places[uid] = place
        self.endpoints[uid], self.peers[uid] = endpoint, {}
        self._lines[uid] = {
            "uid": uid,
            "az": "a",
            "model": "partner",
            "pod_group": dest.number,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        self.hosts[uid] = [
            self.stage.serve(self._where(uid, sender), uid, lambda at=sender: self._accept(endpoint, at))
            for sender in range(self.scenario.senders)
        ]
        return endpoint

    def _accept(self, endpoint: Endpoint, sender: int) -> EndpointPeer:
        peer = EndpointPeer(self, endpoint, sender)
        peers = self.peers[endpoint.uid]
        if len(peers) >= 512:
            for each in [each for each in peers if each.gone]:
                del peers[each]
        peers[peer] = None
        return peer

    def call(
        self, peer: EndpointPeer, doc_id: str, body: bytes, sender: int, setup_ms: float
    ) -> tuple[CallSeen | None, Verdict | None]:
        now, endpoint = self.stage.now_ms(), peer.endpoint
        dest = endpoint.destination
        seen = self.judge.call(now, sender, doc_id, endpoint.uid, dest.number, body)
        if seen is None:
            return None, None
        if dest.meter:
            dest.meter.out += 1
        fell = len(dest.pushes)
        verdict = dest.arrive(now, endpoint, sender, setup_ms)
        if len(dest.pushes) > fell:
            push = dest.pushes[-1]
            self.judge.cold_overload(now, dest.number, push.by_those_who_saw, push.calls)
            self.stage.after(dest.fallen_until - now + 1.0, lambda: dest.rises(self.stage.now_ms()))
        return seen, verdict

    def call_over(self, call: CallSeen, endpoint: Endpoint) -> None:
        if endpoint.destination.meter:
            endpoint.destination.meter.out -= 1

    def sender_failed(self, dest: Destination, sender: int) -> None:
        dest.failed(self.stage.now_ms(), sender)

    def refused(self, sender: int, uid: str) -> None:
        """A sender's dial was refused."""
        if uid in self.endpoints:
            self.sender_failed(self.endpoints[uid].destination, sender)

    def unreachable(self, peer: EndpointPeer) -> bool:
        return peer.gone

    def answers_held(self, dest: Destination, now: float) -> float | None:
        """How long an answer that is due is held back; None: it never comes."""
        if now < dest.fallen_until or dest.has("silent") or dest.has("vanish"):
            return None
        stalls = dest.has("stalling")
        return max(0.0, (stalls.at + stalls.seconds) * 1000.0 - now) if stalls else 0.0

    def heard_ms(self) -> float:
        return self._heard

    def spoil(self) -> tuple[int, bytes]:
        """A spoilt answer, and what its first line tells all the same."""
        return self._chance.choice(
            (
                (UNREADABLE, b"\x90\x14\x00noise\r\n\r\n"),
                (UNREADABLE, b"HTTP/1.1 503 Busy\r\nno colon\r\n\r\n"),
                (UNREADABLE, b"HTTP/1.1 429 Wait\r\nContent-Length: -4\r\n\r\n"),
                (UNREADABLE, b"HTTP/1.1 500 Error\r\nX: " + b"y" * 30000),
                (200, b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n"),
                (200, b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx"),
                (200, message(200) + message(200)),
                (200, b"HTTP/1.1 103 Early\r\n\r\n" + message(200)),
            )
        )

    # Discovery

    def _change(self, uid: str, state: str) -> None:
        """The list changes; each agent hears of it later."""
        self._rev += 1
        self._changes.append((self._rev, uid, state))
        delay = self.scenario.discovery.delay_ms
        for number in range(self.scenario.senders):
            self.stage.after(delay * self._chance.uniform(1.0, 2.0), self._tell_agent, number, self._rev)

    def _tell_agent(self, number: int, rev: int) -> None:
        agent = self.agents[number]
        agent.rev = max(agent.rev, rev)
        if not agent.silent:
            for watcher in [*agent.watchers]:
                watcher.tell()

    def _beat(self) -> None:
        for agent in self.agents:
            if not agent.silent:
                for watcher in [*agent.watchers]:
                    watcher.tell()
        self.stage.after(self.scenario.discovery.beat_ms, self._beat)

    def _line(self, uid: str, state: str, sender: int) -> dict:
        return {**self._lines[uid], "state": state, "endpoint": "{}:{}".format(*self._where(uid, sender))}

    def _states(self, rev: int) -> dict[str, str]:
        states = dict.fromkeys(self._first, "active")
        for at, uid, state in self._changes:
            if at <= rev:
                states[uid] = state
        return states

    def whole_list(self, sender: int) -> bytes:
        rev = self.agents[sender].rev
        states = self._states(rev)
        now = self.stage.now_ms()
        for uid, state in states.items():
            self.judge.listed(now, sender, uid, state)
        lines = [self._line(uid, state, sender) for uid, state in states.items() if state != "left"]
        return json.dumps({"rev": rev, "all": True, "targets": lines}).encode()

    def list_after(self, sender: int, after: int) -> tuple[bytes, int]:
        """A watch's next line, and the version it brings."""
        rev = self.agents[sender].rev
        if after <= 0 or after > rev:
            return self.whole_list(sender) + b"\n", rev
        changed = {uid: state for at, uid, state in self._changes if after < at <= rev}
        if not changed:
            return b"\n", rev
        heard = self.stage.now_ms() + self._heard
        for uid, state in changed.items():
            self.judge.listed(heard, sender, uid, state)
        lines = [self._line(uid, state, sender) for uid, state in changed.items()]
        return json.dumps({"rev": rev, "all": False, "targets": lines}).encode() + b"\n", rev

    def noticed(self, sender: int, doc_id: str, result: str, wait_ms: float) -> None:
        doc: Story | None = self.judge.notice(self.stage.now_ms(), sender, doc_id, result)
        if doc is not None and doc.gave_up_at is None:  # its client may come again
            logical = Logical(
                doc.logical,
                doc.type,
                doc.destination,
                doc.key,
                self.judge.created[doc.logical][1] + doc.type.expiry_ms,
                self._chance.randbytes(doc.size),
                int(doc.id.rsplit("-", 1)[1]),
            )
            self.client_again(Hand(doc, doc.type, b"", logical, logical.tries), wait_ms, sender)

    # Troubles

    def _struck(self, at: int, trouble: Trouble) -> list[Destination]:
        if trouble.destinations is not None:
            return [self.destinations[number] for number in trouble.destinations]
        chance = random.Random(f"trouble {self._seed} {at}")
        many = max(1, round(trouble.share * len(self.destinations)))
        return [
            self.destinations[number] for number in sorted(chance.sample(range(len(self.destinations)), many))
        ]

    def _senders_of(self, trouble: Trouble) -> list[int]:
        return list(trouble.senders) if trouble.senders is not None else list(range(self.scenario.senders))

    def _strike(self, at: int, trouble: Trouble) -> None:
        kind, over_ms = trouble.kind, trouble.seconds * 1000.0
        self.judge.note(self.stage.now_ms(), None, f"trouble {at} begins: {kind}")
        moved = self.stage.now_ms() / 1000.0  # the day's time, not the scenario's
        import msgspec

        here = msgspec.structs.replace(trouble, at=moved)
        if kind in OUTAGES or kind in HARMS:
            for dest in self._struck(at, trouble):
                dest.strike(here)
                self._hosts_follow(dest)
                self.stage.after(over_ms, self._heal, at, dest, here)
        elif kind in LISTS:
            for dest in self._struck(at, trouble):
                self._relist(dest, here)
        elif kind in SENDERS:
            self._strike_senders(here)
        elif kind == "discovery_silent":
            for number in self._senders_of(trouble):
                self.agents[number].silent = True
                self.stage.after(over_ms, self._unsilence, number)
        elif kind == "jump":
            self._jumps.append(size_of(trouble))
            self.stage.after(over_ms, self._jumps.remove, size_of(trouble))
        elif kind == "bad_clients":
            self._bad_client(trouble)

    def _unsilence(self, number: int) -> None:
        self.agents[number].silent = False
        for watcher in [*self.agents[number].watchers]:
            watcher.tell()

    def _heal(self, at: int, dest: Destination, trouble: Trouble) -> None:
        self.judge.note(self.stage.now_ms(), None, f"trouble {at} ends at destination {dest.number}")
        dest.heal(self.stage.now_ms(), trouble)
        self._hosts_follow(dest)

    def _hosts_follow(self, dest: Destination) -> None:
        """Brings the addresses into the state that the active troubles together ask for."""
        crashed = bool(dest.has("crash") or dest.has("refusing"))
        dark = bool(dest.has("vanish"))
        idle = dest.has("idle_dropped")
        for endpoint in dest.endpoints:
            for host in self.hosts[endpoint.uid]:
                gone = crashed or endpoint.state == "left"
                if gone and not host.refusing:
                    self._process_dies(endpoint)
                    self.stage.refuse(host, True)
                elif not gone and host.refusing:
                    self.stage.refuse(host, False)
                if dark and not host.dark:
                    for peer in self.peers[endpoint.uid]:
                        peer.broke()
                if dark != host.dark:
                    self.stage.darken(host, dark)
                host.forgets_ms = size_of(idle) if idle else 0.0
                host.forgets_silently = bool(idle and idle.share > 0.5)

    def _process_dies(self, endpoint: Endpoint) -> None:
        endpoint.restart()
        for peer in [*self.peers[endpoint.uid]]:
            peer.broke()
            peer.left()
            peer.leave()
        self.peers[endpoint.uid].clear()

    def _relist(self, dest: Destination, trouble: Trouble) -> None:
        """Drains a share of a destination's endpoints, one at least, and puts others in their place."""
        ready = [each for each in dest.endpoints if each.state == "active"]
        many = min(len(ready), max(1, round(size_of(trouble) * len(ready))))
        if trouble.kind == "drain":
            many = min(many, len(ready) - 1)  # without another in its place one has to stay
        leaves_ms = self.scenario.discovery.leaves_ms
        for endpoint in ready[: max(0, many)]:
            endpoint.state = "leaving"
            self._change(endpoint.uid, "leaving")
            place = self._places[endpoint.uid] if trouble.kind == "readdress" else None
            if trouble.kind == "replace":
                self._change(self._join(dest).uid, "active")
            self.stage.after(leaves_ms, self._gone, endpoint, place)

    def _gone(self, endpoint: Endpoint, place: tuple[int, int] | None) -> None:
        dest = endpoint.destination
        endpoint.state = "left"
        self._change(endpoint.uid, "left")
        self._hosts_follow(dest)
        dest.endpoints.remove(endpoint)
        if place is not None:  # another takes its address at once
            for host in self.hosts[endpoint.uid]:
                self.stage.refuse(host, True)
            self._change(self._join(dest, place).uid, "active")
            self._hosts_follow(dest)

    def _strike_senders(self, trouble: Trouble) -> None:
        kind, over_ms = trouble.kind, trouble.seconds * 1000.0
        if kind == "clock_step":
            self.senders.step_clock(size_of(trouble))
            return
        for number in self._senders_of(trouble):
            if kind == "sigterm":
                self.senders.term(number, DOWN_MS)
            elif kind == "kill":
                self.senders.kill(number, DOWN_MS)
            elif kind in WRITES:
                self.senders.kill_at_write(number, int(size_of(trouble)), WRITES[kind], DOWN_MS)
            elif kind == "stand_still":
                self.judge.paused(self.stage.now_ms(), number)
                self.senders.stand(number, True)
                self.stage.after(min(over_ms, 3000.0), self._goes_on, number)
            elif kind == "disk_full":
                self.senders.fill_disk(number, True)
                self.stage.after(over_ms, self.senders.fill_disk, number, False)

    def _goes_on(self, number: int) -> None:
        self.senders.stand(number, False)
        self.judge.resumed(self.stage.now_ms() + 100.0, number)
