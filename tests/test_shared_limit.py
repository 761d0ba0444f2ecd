"""Many senders restart in steps at one destination, whose limit refused calls use up, in virtual time."""

import heapq
import itertools
import random
from collections import Counter, deque

import pytest

from birchstack import interface
from birchstack.decide import Sender

SENDERS, LIMIT = 60, 15.0  # calls a second
TYPE = interface.DocumentType("sync", interface.REPLAYABLE, 2000.0, 12000.0, 1.0, 0.3, False, 0.0, False)


class Fleet:
    """All senders, the destination and the time in milliseconds; served and refused: calls by second."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        self.due = []
        self.sequence = itertools.count()
        self.recent = deque()  # times of the calls of the last second
        self.served = Counter()
        self.refused = Counter()
        self.members = [Member(self) for _ in range(SENDERS)]

    def schedule(self, after_ms, function, *arguments):
        heapq.heappush(self.due, (self.now + after_ms, next(self.sequence), function, arguments))

    def run_until(self, end):
        while self.due and self.due[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.due)
            function(*arguments)
        self.now = end

    def call(self):
        """Makes a call at the destination. Returns whether it is served, and the headroom reported."""
        while self.recent and self.recent[0] < self.now - 1000.0:
            self.recent.popleft()
        served = len(self.recent) < LIMIT
        self.recent.append(self.now)  # refused calls count, too
        (self.served if served else self.refused)[int(self.now // 1000)] += 1
        return served, max(0.0, 1.0 - len(self.recent) / LIMIT)

    def submit_documents(self, start, end, rate):
        """Schedules documents for random senders, at a rate per second over all of them."""
        at = start
        while (at := at + self.random.expovariate(rate) * 1000.0) < end:
            self.schedule(at - self.now, self.random.choice(self.members).submit, f"d{next(self.sequence)}")

    def restart(self, start, step):
        """Schedules the restart of all senders, a tenth at a time."""
        for number, member in enumerate(self.members):
            self.schedule(start + step * (number * 10 // SENDERS) - self.now, member.restart)


class Member:
    """A sender and its host. Documents held survive a restart; those in flight are transmitted again."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.held = {}
        self.sent = Counter()
        self.life = 0
        self.start()

    def start(self):
        settings = dict(
            types=(TYPE,),
            slots=5,
            max_held=60,
            max_transmissions=12,
            senders=SENDERS,
            calls_per_connection=1,
            per_call=(1,),
            routes_apart=(False,),
            rates_listed=False,
            list_on_request=False,
            notes=False,
            retry_after_ms=3000.0,
            cold_share=0.3,
            warm_up_ms=10000.0,
            key_rest_ms=0.0,
        )
        self.life = self.life + 1
        self.turn_scheduled = False
        self.alarm = None
        self.sender = Sender(interface.Settings(**settings), self.fleet.random.getrandbits(32), self)
        self.sender.endpoints(
            self.fleet.now, interface.WHOLE, [interface.Endpoint("a", 1, "z", 0, interface.READY, 0.0)]
        )

    def restart(self):
        self.start()
        for doc_id, expiry in self.held.items():
            history = interface.History(self.sent[doc_id], 0, ())
            remaining_ms = expiry - self.fleet.now
            given = interface.Submission(doc_id, 1, "sync", remaining_ms, history=history)
            self.sender.document(self.fleet.now, given)
        self.schedule_turn()

    def submit(self, doc_id):
        self.held[doc_id] = self.fleet.now + TYPE.expiry_ms
        self.sender.document(self.fleet.now, interface.Submission(doc_id, 1, "sync", TYPE.expiry_ms))
        self.schedule_turn()

    def schedule_turn(self):
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.fleet.schedule(0.0, self.turn, self.life)

    def turn(self, life):
        if life == self.life:
            self.turn_scheduled = False
            self.sender.turn(self.fleet.now)

    def wake(self, after_ms):
        self.alarm = self.fleet.now + max(after_ms, 0.5)
        self.fleet.schedule(max(after_ms, 0.5), self.alarm_fires, self.alarm)

    def alarm_fires(self, alarm):
        if alarm == self.alarm:
            self.turn(self.life)

    def transmit(self, doc_id, endpoint, timeout_ms):
        network_ms = self.fleet.random.uniform(8.0, 16.0)
        self.fleet.schedule(network_ms, self.call_arrives, self.life, doc_id, self.sent[doc_id])
        self.sent[doc_id] += 1

    def call_arrives(self, life, doc_id, attempt):
        served, headroom = self.fleet.call()
        outcome = interface.Outcome(
            interface.OK if served else interface.FULL, attempt, 60.0, served, 0.0, headroom, LIMIT
        )
        self.fleet.schedule(50.0 if served else 10.0, self.outcome_arrives, life, doc_id, outcome)

    def outcome_arrives(self, life, doc_id, outcome):
        if life == self.life:
            self.sender.outcome(self.fleet.now, doc_id, "a", outcome)
            if outcome.final:
                self.held.pop(doc_id, None)
            self.schedule_turn()

    def reject(self, doc_id, retry_after_ms):
        del self.held[doc_id]

    abandon = reject

    def subscribe(self): ...
    def close_idle(self, endpoint): ...
    def broadcast(self, note): ...
    def save_recovery(self, recovery): ...
    def log(self, text): ...


@pytest.mark.parametrize("seed", range(4))
def test_a_limit_that_a_burst_used_up_recovers_while_all_senders_restart(seed):
    """Guards against a self-sustaining overload: every call is refused, and every refused call counts."""
    fleet = Fleet(seed)
    fleet.submit_documents(0.0, 3000.0, 10.0)
    fleet.submit_documents(3000.0, 6000.0, 60.0)
    fleet.submit_documents(6000.0, 22000.0, 10.0)
    fleet.restart(5000.0, 1200.0)
    fleet.run_until(22000.0)
    after = range(7, 22)
    served, refused = (sum(calls[second] for second in after) for calls in (fleet.served, fleet.refused))
    assert served > 0.4 * LIMIT * len(after) and refused < 1.2 * served, (served, refused)
