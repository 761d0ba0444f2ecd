"""The simulated system around the senders: destinations, discovery, clients and troubles of one scenario.

It holds the parts of the model and schedules their events. It does not know whether time is virtual or real:
the stage provides time and connections, and `senders` controls the processes under test. All random numbers
come from the seed.
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
    BAD_REQUESTS,
    UNREADABLE,
    AgentPeer,
    BadClientPeer,
    ClientPool,
    EndpointPeer,
    Stage,
    Submission,
    message,
)
from birchstack.emulator.scenario import (
    DEGRADATIONS,
    LIST_CHANGES,
    OUTAGES,
    SENDER_TROUBLES,
    WRITE_KILLS,
    DocumentType,
    Scenario,
    Trouble,
)

# Effects of document types, under the names that the sender's configuration has for them
EFFECTS = {"replayable": "safe", "numbered": "keyed", "binding": "unsafe"}
MIN_TIME_LEFT_MS = 100.0  # a client does not submit a document that expires sooner
UNANSWERED_RETRY_MS = 100.0  # wait before a client turns to another sender when it got no answer
RESTART_DELAY_MS = 600.0  # from the end of a sender's process to the start of the next one


class Senders(Protocol):
    """Control of the processes under test, which are numbered."""

    def term(self, number: int, down_ms: float) -> None:
        """Sends SIGTERM; the next process starts down_ms after the end of this one."""

    def kill(self, number: int, down_ms: float) -> None:
        """Kills a process; the next one starts down_ms later."""

    def kill_at_write(self, number: int, write: int, how: str, down_ms: float) -> None:
        """Kills a process at a write, counted from now: before, during or after it."""

    def set_paused(self, number: int, paused: bool) -> None:
        """Pauses or resumes a process."""

    def fill_disk(self, number: int, full: bool) -> None:
        """Makes a process's disk full, or no longer full."""

    def step_clock(self, seconds: float) -> None:
        """Steps the wall clock of all processes."""


@dataclass(slots=True)
class ClientDocument:
    """A document as its client sees it, over all its submissions."""

    number: int
    type: DocumentType
    destination: int
    key: str | None
    expires_at: float
    body: bytes
    resubmissions: int = 0


@dataclass(slots=True)
class Agent:
    """The discovery agent beside one sender."""

    revision: int = 1  # of the endpoint list that the agent knows
    silent: bool = False
    watchers: dict[AgentPeer, None] = field(default_factory=dict)


class World:
    """The simulated system: all that the senders connect to, and the troubles that happen to it."""

    def __init__(self, scenario: Scenario, seed: int, stage: Stage, judge: Judge, port: int = 7400) -> None:
        self.scenario = scenario
        self.stage = stage
        self.judge = judge
        self._port = port
        self._seed = seed
        self._rng = random.Random(f"world {seed}")
        self._max_latency_ms = scenario.network.delay_ms * (1.0 + scenario.network.jitter)
        self.senders: Senders | None = None
        self.destinations: list[Destination] = []
        self.endpoints: dict[str, Endpoint] = {}
        self.hosts: dict[str, list] = {}  # by endpoint: its listening address for each sender
        self.open_connections: dict[str, int] = {}  # by endpoint
        self.connections_opened = 0
        self.peers: dict[str, dict[EndpointPeer, None]] = {}
        self._endpoints_created = 0
        self._entries: dict[str, dict] = {}  # of the endpoint list, by endpoint, without state and address
        self._list_changes: list[tuple[int, str, str]] = []  # revision, endpoint, state
        self._initial_uids: list[str] = []  # endpoints of revision 1
        self._revision = 1
        self._address_numbers: dict[str, tuple[int, int]] = {}  # by endpoint: last two bytes of its address
        self._addresses_assigned = 0
        self.agents = [Agent() for _ in range(scenario.senders)]
        self._load_factors: list[float] = []
        self._documents_created = 0
        self._load_ended = False
        usual_rates = self._usual_rates()
        for number, group in enumerate(self._groups):
            dest = Destination(number, group, usual_rates[number], scenario.cold, seed)
            self.destinations.append(dest)
            for _ in range(group.endpoints):
                self._initial_uids.append(self._add_endpoint(dest).uid)
        self.pools = [ClientPool(self, each, self.sender_address(each)) for each in range(scenario.senders)]

    def _usual_rates(self) -> list[float]:
        """Sets the cumulative weights of random choices; returns each destination's documents per second."""
        self._groups = [group for group in self.scenario.destinations for _ in range(group.count)]
        total = sum(group.weight for group in self._groups)
        self._destination_weights = list(accumulate(group.weight for group in self._groups))
        self._type_weights = list(accumulate(each.share for each in self.scenario.types))
        rng = random.Random(f"parts {self._seed}")
        uneven = self.scenario.clients.uneven
        self._sender_weights = (
            []
            if not uneven
            else list(accumulate(rng.lognormvariate(0.0, uneven) for _ in range(self.scenario.senders)))
        )
        return [self.scenario.clients.per_second * group.weight / total for group in self._groups]

    # Addresses: each sender has its own address for every other party

    def sender_address(self, sender: int) -> tuple[str, int]:
        """Returns the address at which a sender listens for its clients."""
        return f"127.0.1.{sender + 1}", self._port

    def agent_address(self, sender: int) -> tuple[str, int]:
        """Returns the address of the discovery agent beside a sender."""
        return f"127.0.2.{sender + 1}", self._port

    def _endpoint_address(self, uid: str, sender: int) -> tuple[str, int]:
        high, low = self._address_numbers[uid]
        return f"127.{10 + sender}.{high}.{low}", self._port

    def config(self, sender: int, state: str) -> dict:
        """Returns the configuration of a sender."""
        scenario = self.scenario
        settings = self.scenario.sender
        services = []
        for each in scenario.types:
            services.append(
                {
                    "name": each.name,
                    "effect": EFFECTS[each.effect],
                    "objectiveMs": each.agreed_ms,
                    "deadlineMs": each.expiry_ms,
                    "importance": each.value,
                    "lateShare": each.late_share,
                    "windowMs": each.window_ms,
                    "oneAtATime": each.in_order,
                }
            )
        return {
            "name": f"n{sender}",
            "listen": "{}:{}".format(*self.sender_address(sender)),
            "state": state,
            "discovery": "{}:{}".format(*self.agent_address(sender)),
            "seed": f"{self._rng.getrandbits(48):x}",
            "limits": {"sockets": settings.sockets, "disk_mb": settings.disk_mb},
            "known": json.loads(self.full_list(sender)),
            "settings": {
                "nInstances": scenario.senders,
                "registryMode": "pushed",
                "hostTypes": ["partner"],
                "domain": {
                    "callsOut": settings.slots,
                    "losesWorth": "linear",
                    "perCall": [1],
                    "routesApart": [False],
                },
                "limits": {
                    "connIdleMs": scenario.connections.idle_ms,
                    "dialTimeoutMs": settings.dial_ms,
                    "maxOpen": settings.max_held,
                    "maxRetryAfterMs": settings.retry_after_ms,
                    "retryAfter": settings.retry_after_ms > 0,
                    "sendCap": settings.max_transmissions,
                    "streamsPerConn": 1,
                },
                "rules": {
                    "answerSlackMs": 20.0,
                    "coldFrom": scenario.cold.share,
                    "warmUpMs": scenario.cold.warm_up_ms,
                    "settleAfterDoubtMs": settings.key_rest_ms,
                },
                "services": services,
            },
        }

    # Execution

    def start(self) -> None:
        """Starts discovery, which must be done before the senders start, and the periodic checks."""
        for number in range(self.scenario.senders):
            self.stage.serve(
                self.agent_address(number), f"agent {number}", lambda at=number: AgentPeer(self, at)
            )
        self._send_heartbeats()
        self._check_periodically()

    def start_load(self) -> None:
        """Starts the clients and schedules the troubles."""
        self._load_started_ms = self.stage.now_ms()
        self._submit_next(first=True)
        for index, trouble in enumerate(self.scenario.troubles):
            self.stage.after(trouble.at * 1000.0, self._start_trouble, index, trouble)
        self.stage.after(self.scenario.seconds * 1000.0, self._end_load)

    def _end_load(self) -> None:
        """Ends the creation of documents; those submitted continue."""
        self._load_ended = True

    def settle_ms(self) -> float:
        """Returns the time after the last document within which every document must be resolved."""
        return max(each.expiry_ms for each in self.scenario.types) + 4000.0

    def _check_periodically(self) -> None:
        self.judge.check_overdue(self.stage.now_ms())
        self.stage.after(1000.0, self._check_periodically)

    # Clients

    def _submit_next(self, first: bool = False) -> None:
        if self._load_ended:
            return
        if not first:
            self._new_document()
        rate = self.scenario.clients.per_second
        for factor in self._load_factors:
            rate *= factor
        self.stage.after(self._rng.expovariate(rate) * 1000.0, self._submit_next)

    def _new_document(self) -> None:
        rng = self._rng
        now = self.stage.now_ms()
        types = self._type_weights
        weights = self._destination_weights
        doc_type = self.scenario.types[min(bisect(types, rng.random() * types[-1]), len(types) - 1)]
        destination = min(bisect(weights, rng.random() * weights[-1]), len(weights) - 1)
        key = None
        sender = self._pick_sender()
        if doc_type.in_order:
            number = rng.randrange(doc_type.keys)
            key = f"k{number}"
            sender = number % self.scenario.senders
            destination = number % len(self.destinations)
        body = rng.randbytes(rng.randint(*self.scenario.clients.sizes))
        self._documents_created += 1
        document = ClientDocument(
            self._documents_created, doc_type, destination, key, now + doc_type.expiry_ms, body
        )
        self.judge.document_created(document.number, doc_type, now)
        self._submit(document, sender)

    def _pick_sender(self) -> int:
        if not self._sender_weights:
            return self._rng.randrange(self.scenario.senders)
        weights = self._sender_weights
        return min(bisect(weights, self._rng.random() * weights[-1]), len(weights) - 1)

    def _submit(self, document: ClientDocument, sender: int) -> None:
        now = self.stage.now_ms()
        left_ms = document.expires_at - now
        if left_ms < MIN_TIME_LEFT_MS:
            return
        doc_id = f"{self._seed & 0xFFFF:04x}-{document.number:06x}-{document.resubmissions}"
        cookie = f"Cookie: thread={document.key}\r\n" if document.key else ""
        request = (
            f"POST /{document.type.name} HTTP/1.1\r\nHost: api\r\nRequest-Id: {doc_id}\r\n"
            f"Request-Timeout-Ms: {int(left_ms)}\r\nContent-Length: {len(document.body)}\r\n"
            f"X-Consignee: dest={document.destination}\r\n{cookie}\r\n"
        ).encode() + document.body
        story = self.judge.handed(
            now,
            sender,
            doc_id,
            document.type,
            document.destination,
            document.key,
            int(left_ms),
            document.body,
            document.number,
        )
        self.pools[sender].submit(Submission(story, document.type, request, document, document.resubmissions))

    def resubmit(
        self, submission: Submission, wait_ms: float, sender: int, other_sender: bool = False
    ) -> None:
        """Schedules another submission of a document under a new id, after a rejection or no answer.

        Nothing is scheduled when the client has made all its resubmissions.
        """
        document = submission.document
        clients = self.scenario.clients
        if document.resubmissions >= clients.returns:
            return
        document.resubmissions += 1
        wait = wait_ms or (UNANSWERED_RETRY_MS if other_sender else clients.again_ms)
        if other_sender and document.key is None:
            sender = (sender + 1) % self.scenario.senders
        self.stage.after(wait * self._rng.uniform(1.0, 1.3), self._submit, document, sender)

    def _start_bad_client(self, trouble: Trouble) -> None:
        if self.stage.now_ms() > self._load_started_ms + (trouble.at + trouble.seconds) * 1000.0:
            return
        name = self._rng.choice([*BAD_REQUESTS])
        sender = self._rng.choice(self._affected_senders(trouble))
        started_at = self.stage.now_ms()
        results = []

        def on_result(status: int) -> None:
            if not results:
                results.append(status)
                self.judge.bad_client(self.stage.now_ms(), name, started_at, status)

        def timed_out() -> None:
            if not results:
                results.append(None)
                if not self.judge.was_unavailable(sender, started_at, self.stage.now_ms()):
                    self.judge.bad_client(self.stage.now_ms(), name, started_at, None)
            peer.abort()

        peer = BadClientPeer(name, on_result)
        self.stage.reach(self.sender_address(sender), peer, lambda: on_result(0))
        self.stage.after(3000.0, timed_out)
        self.stage.after(self._rng.expovariate(size_of(trouble)) * 1000.0, self._start_bad_client, trouble)

    # Endpoints

    def _add_endpoint(self, dest: Destination, address: tuple[int, int] | None = None) -> Endpoint:
        """Adds an endpoint, without announcing it to discovery, and returns it."""
        self._endpoints_created += 1
        endpoint = Endpoint(f"e{self._endpoints_created}", dest, len(dest.endpoints))
        dest.endpoints.append(endpoint)
        uid = endpoint.uid
        if address is None:
            self._addresses_assigned += 1
            address = divmod(self._addresses_assigned, 250)
            address = address[0], address[1] + 1  # the last byte is 1 to 250
        self._address_numbers[uid] = address
        self.endpoints[uid] = endpoint
        self.peers[uid] = {}
        self._entries[uid] = {
            "uid": uid,
            "az": "a",
            "model": "partner",
            "pod_group": dest.number,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        self.hosts[uid] = [
            self.stage.serve(
                self._endpoint_address(uid, sender), uid, lambda at=sender: self._accept(endpoint, at)
            )
            for sender in range(self.scenario.senders)
        ]
        return endpoint

    def _accept(self, endpoint: Endpoint, sender: int) -> EndpointPeer:
        peer = EndpointPeer(self, endpoint, sender)
        peers = self.peers[endpoint.uid]
        if len(peers) >= 512:  # removes the closed ones now and then
            for each in [each for each in peers if each.gone]:
                del peers[each]
        peers[peer] = None
        return peer

    def call_received(
        self, peer: EndpointPeer, doc_id: str, body: bytes, sender: int, setup_ms: float
    ) -> tuple[CallSeen | None, Verdict | None]:
        """Reports a call to the judge and its destination; returns None twice for an unknown document."""
        now = self.stage.now_ms()
        endpoint = peer.endpoint
        dest = endpoint.destination
        call = self.judge.call(now, sender, doc_id, endpoint.uid, dest.number, body)
        if call is None:
            return None, None
        if dest.limiter:
            dest.limiter.in_flight += 1
        overloads = len(dest.overloads)
        verdict = dest.arrive(now, endpoint, sender, setup_ms)
        if len(dest.overloads) > overloads:
            overload = dest.overloads[-1]
            self.judge.cold_overload(now, dest.number, overload.calls_of_observers, overload.calls)
            self.stage.after(
                dest.overloaded_until - now + 1.0, lambda: dest.end_overload(self.stage.now_ms())
            )
        return call, verdict

    def call_ended(self, call: CallSeen, endpoint: Endpoint) -> None:
        """Removes a call from those in flight at its destination."""
        if endpoint.destination.limiter:
            endpoint.destination.limiter.in_flight -= 1

    def sender_saw_failure(self, dest: Destination, sender: int) -> None:
        """Records that a sender learned of a failed call to a destination."""
        dest.failed(self.stage.now_ms(), sender)

    def connection_refused(self, sender: int, uid: str) -> None:
        """Records that a sender's connection to an endpoint was refused."""
        if uid in self.endpoints:
            self.sender_saw_failure(self.endpoints[uid].destination, sender)

    def unreachable(self, peer: EndpointPeer) -> bool:
        """Returns whether an endpoint's connection is closed."""
        return peer.gone

    def answer_delay_ms(self, dest: Destination, now: float) -> float | None:
        """Returns how long an answer that is due is delayed, or None if it is never sent."""
        if now < dest.overloaded_until or dest.find_trouble("silent") or dest.find_trouble("vanish"):
            return None
        stalling = dest.find_trouble("stalling")
        return max(0.0, (stalling.at + stalling.seconds) * 1000.0 - now) if stalling else 0.0

    def max_latency_ms(self) -> float:
        """Returns the upper bound of the latency between a sender and an endpoint."""
        return self._max_latency_ms

    def malformed_response(self) -> tuple[int, bytes]:
        """Returns a random malformed response, after the status that it proves."""
        return self._rng.choice(
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

    def _publish(self, uid: str, state: str) -> None:
        """Changes the state of an endpoint in the list; each agent learns of it after a random delay."""
        self._revision += 1
        self._list_changes.append((self._revision, uid, state))
        delay = self.scenario.discovery.delay_ms
        for number in range(self.scenario.senders):
            self.stage.after(delay * self._rng.uniform(1.0, 2.0), self._update_agent, number, self._revision)

    def _update_agent(self, number: int, revision: int) -> None:
        agent = self.agents[number]
        agent.revision = max(agent.revision, revision)
        if not agent.silent:
            for watcher in [*agent.watchers]:
                watcher.send_changes()

    def _send_heartbeats(self) -> None:
        for agent in self.agents:
            if not agent.silent:
                for watcher in [*agent.watchers]:
                    watcher.send_changes()
        self.stage.after(self.scenario.discovery.beat_ms, self._send_heartbeats)

    def _list_entry(self, uid: str, state: str, sender: int) -> dict:
        return {
            **self._entries[uid],
            "state": state,
            "endpoint": "{}:{}".format(*self._endpoint_address(uid, sender)),
        }

    def _states_at(self, revision: int) -> dict[str, str]:
        states = dict.fromkeys(self._initial_uids, "active")
        for changed_in, uid, state in self._list_changes:
            if changed_in <= revision:
                states[uid] = state
        return states

    def full_list(self, sender: int) -> bytes:
        """Returns the complete endpoint list that a sender's agent knows."""
        revision = self.agents[sender].revision
        states = self._states_at(revision)
        now = self.stage.now_ms()
        for uid, state in states.items():
            self.judge.listed(now, sender, uid, state)
        entries = [self._list_entry(uid, state, sender) for uid, state in states.items() if state != "left"]
        return json.dumps({"rev": revision, "all": True, "targets": entries}).encode()

    def list_after(self, sender: int, after: int) -> tuple[bytes, int]:
        """Returns the next line of a watch that has a revision, and the revision that it leads to.

        The line is empty if nothing changed, and the complete list if the watch has none of this list.
        """
        revision = self.agents[sender].revision
        if after <= 0 or after > revision:
            return self.full_list(sender) + b"\n", revision
        changed = {
            uid: state for changed_in, uid, state in self._list_changes if after < changed_in <= revision
        }
        if not changed:
            return b"\n", revision
        received_at = self.stage.now_ms() + self._max_latency_ms
        for uid, state in changed.items():
            self.judge.listed(received_at, sender, uid, state)
        entries = [self._list_entry(uid, state, sender) for uid, state in changed.items()]
        return json.dumps({"rev": revision, "all": False, "targets": entries}).encode() + b"\n", revision

    def notice_received(self, sender: int, doc_id: str, result: str, wait_ms: float) -> None:
        """Passes a sender's notice to the judge; the client resubmits the document if it is to."""
        doc: Story | None = self.judge.notice(self.stage.now_ms(), sender, doc_id, result)
        if doc is not None and doc.gave_up_at is None:
            document = ClientDocument(
                doc.logical,
                doc.type,
                doc.destination,
                doc.key,
                self.judge.created[doc.logical][1] + doc.type.expiry_ms,
                self._rng.randbytes(doc.size),
                int(doc.id.rsplit("-", 1)[1]),
            )
            self.resubmit(Submission(doc, doc.type, b"", document, document.resubmissions), wait_ms, sender)

    # Troubles

    def _affected_destinations(self, index: int, trouble: Trouble) -> list[Destination]:
        if trouble.destinations is not None:
            return [self.destinations[number] for number in trouble.destinations]
        rng = random.Random(f"trouble {self._seed} {index}")
        count = max(1, round(trouble.share * len(self.destinations)))
        return [
            self.destinations[number] for number in sorted(rng.sample(range(len(self.destinations)), count))
        ]

    def _affected_senders(self, trouble: Trouble) -> list[int]:
        return list(trouble.senders) if trouble.senders is not None else list(range(self.scenario.senders))

    def _start_trouble(self, index: int, trouble: Trouble) -> None:
        kind = trouble.kind
        duration_ms = trouble.seconds * 1000.0
        self.judge.note(self.stage.now_ms(), None, f"trouble {index} begins: {kind}")
        started_at = self.stage.now_ms() / 1000.0  # on the stage's clock; the scenario's starts with the load
        import msgspec

        started = msgspec.structs.replace(trouble, at=started_at)
        if kind in OUTAGES or kind in DEGRADATIONS:
            for dest in self._affected_destinations(index, trouble):
                dest.start_trouble(started)
                self._apply_host_troubles(dest)
                self.stage.after(duration_ms, self._end_trouble, index, dest, started)
        elif kind in LIST_CHANGES:
            for dest in self._affected_destinations(index, trouble):
                self._drain_endpoints(dest, started)
        elif kind in SENDER_TROUBLES:
            self._start_sender_trouble(started)
        elif kind == "discovery_silent":
            for number in self._affected_senders(trouble):
                self.agents[number].silent = True
                self.stage.after(duration_ms, self._resume_agent, number)
        elif kind == "jump":
            self._load_factors.append(size_of(trouble))
            self.stage.after(duration_ms, self._load_factors.remove, size_of(trouble))
        elif kind == "bad_clients":
            self._start_bad_client(trouble)

    def _resume_agent(self, number: int) -> None:
        self.agents[number].silent = False
        for watcher in [*self.agents[number].watchers]:
            watcher.send_changes()

    def _end_trouble(self, index: int, dest: Destination, trouble: Trouble) -> None:
        self.judge.note(self.stage.now_ms(), None, f"trouble {index} ends at destination {dest.number}")
        dest.end_trouble(self.stage.now_ms(), trouble)
        self._apply_host_troubles(dest)

    def _apply_host_troubles(self, dest: Destination) -> None:
        """Brings the endpoints' addresses into the state that results from all active troubles."""
        crashed = bool(dest.find_trouble("crash") or dest.find_trouble("refusing"))
        dark = bool(dest.find_trouble("vanish"))
        idle = dest.find_trouble("idle_dropped")
        for endpoint in dest.endpoints:
            for host in self.hosts[endpoint.uid]:
                refuses = crashed or endpoint.state == "left"
                if refuses and not host.refusing:
                    self._end_endpoint_process(endpoint)
                    self.stage.refuse(host, True)
                elif not refuses and host.refusing:
                    self.stage.refuse(host, False)
                if dark and not host.dark:
                    for peer in self.peers[endpoint.uid]:
                        peer.mark_last_answer_broken()
                if dark != host.dark:
                    self.stage.darken(host, dark)
                host.idle_drop_ms = size_of(idle) if idle else 0.0
                host.idle_drop_silent = bool(idle and idle.share > 0.5)

    def _end_endpoint_process(self, endpoint: Endpoint) -> None:
        endpoint.restart()
        for peer in [*self.peers[endpoint.uid]]:
            peer.mark_last_answer_broken()
            peer.end_call()
            peer.release()
        self.peers[endpoint.uid].clear()

    def _drain_endpoints(self, dest: Destination, trouble: Trouble) -> None:
        """Drains a share of a destination's endpoints, at least one.

        Unless the kind is drain, a new endpoint is added for each.
        """
        ready = [each for each in dest.endpoints if each.state == "active"]
        count = min(len(ready), max(1, round(size_of(trouble) * len(ready))))
        if trouble.kind == "drain":
            count = min(count, len(ready) - 1)  # none are added: one must remain
        leaves_ms = self.scenario.discovery.leaves_ms
        for endpoint in ready[: max(0, count)]:
            endpoint.state = "leaving"
            self._publish(endpoint.uid, "leaving")
            address = self._address_numbers[endpoint.uid] if trouble.kind == "readdress" else None
            if trouble.kind == "replace":
                self._publish(self._add_endpoint(dest).uid, "active")
            self.stage.after(leaves_ms, self._remove_endpoint, endpoint, address)

    def _remove_endpoint(self, endpoint: Endpoint, address: tuple[int, int] | None) -> None:
        dest = endpoint.destination
        endpoint.state = "left"
        self._publish(endpoint.uid, "left")
        self._apply_host_troubles(dest)
        dest.endpoints.remove(endpoint)
        if address is not None:  # a new endpoint takes over the address at once
            for host in self.hosts[endpoint.uid]:
                self.stage.refuse(host, True)
            self._publish(self._add_endpoint(dest, address).uid, "active")
            self._apply_host_troubles(dest)

    def _start_sender_trouble(self, trouble: Trouble) -> None:
        kind = trouble.kind
        duration_ms = trouble.seconds * 1000.0
        if kind == "clock_step":
            self.senders.step_clock(size_of(trouble))
            return
        for number in self._affected_senders(trouble):
            if kind == "sigterm":
                self.senders.term(number, RESTART_DELAY_MS)
            elif kind == "kill":
                self.senders.kill(number, RESTART_DELAY_MS)
            elif kind in WRITE_KILLS:
                self.senders.kill_at_write(number, int(size_of(trouble)), WRITE_KILLS[kind], RESTART_DELAY_MS)
            elif kind == "stand_still":
                self.judge.paused(self.stage.now_ms(), number)
                self.senders.set_paused(number, True)
                self.stage.after(min(duration_ms, 3000.0), self._resume_sender, number)
            elif kind == "disk_full":
                self.senders.fill_disk(number, True)
                self.stage.after(duration_ms, self.senders.fill_disk, number, False)

    def _resume_sender(self, number: int) -> None:
        self.senders.set_paused(number, False)
        self.judge.resumed(self.stage.now_ms() + 100.0, number)
