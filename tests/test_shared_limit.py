"""Many senders, restarted in steps, at one destination whose refused calls use up its limit; virtual time."""

import heapq
import itertools
import random
from collections import Counter, deque

import pytest

from birchstack import interface as our
from birchstack.decide import Sender

SENDERS, LIMIT = 60, 15.0  # calls a second
TYPE = our.DocumentType("sync", our.REPLAYABLE, 2000.0, 12000.0, 1.0, 0.3, False, 0.0, False)


class Fleet:
    """now: milliseconds. served and refused: calls by the second."""

    def __init__(self, seed):
        self.draw, self.now, self.due, self.order = random.Random(seed), 0.0, [], itertools.count()
        self.lately, self.served, self.refused = deque(), Counter(), Counter()
        self.members = [Member(self) for _ in range(SENDERS)]

    def later(self, ms, what, *words):
        heapq.heappush(self.due, (self.now + ms, next(self.order), what, words))

    def until(self, end):
        while self.due and self.due[0][0] <= end:
            self.now, _, what, words = heapq.heappop(self.due)
            what(*words)
        self.now = end

    def called(self):
        """One more call at the destination: whether it is served, and the room that it tells."""
        while self.lately and self.lately[0] < self.now - 1000.0:
            self.lately.popleft()
        good = len(self.lately) < LIMIT
        self.lately.append(self.now)  # a refused call counts, too
        (self.served if good else self.refused)[int(self.now // 1000)] += 1
        return good, max(0.0, 1.0 - len(self.lately) / LIMIT)

    def come(self, start, end, rate):
        """Documents for senders by chance, so many a second of all."""
        at = start
        while (at := at + self.draw.expovariate(rate) * 1000.0) < end:
            self.later(at - self.now, self.draw.choice(self.members).take, f"d{next(self.order)}")

    def restart(self, start, step):
        """All of them, a tenth at a time."""
        for number, member in enumerate(self.members):
            self.later(start + step * (number * 10 // SENDERS) - self.now, member.restart)


class Member:
    """One sender and its host. What it held outlasts a restart; what was out is called again."""

    def __init__(self, fleet):
        self.fleet, self.held, self.sent, self.life = fleet, {}, Counter(), 0
        self.start()

    def start(self):
        words = dict(
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
        self.life, self.turning, self.alarm = self.life + 1, False, None
        self.sender = Sender(our.Settings(**words), self.fleet.draw.getrandbits(32), self)
        self.sender.endpoints(self.fleet.now, our.WHOLE, [our.Endpoint("a", 1, "z", 0, our.READY, 0.0)])

    def restart(self):
        self.start()
        for doc_id, expiry in self.held.items():
            history = our.History(self.sent[doc_id], 0, ())
            remaining_ms = expiry - self.fleet.now
            given = our.Submission(doc_id, 1, "sync", remaining_ms, history=history)
            self.sender.document(self.fleet.now, given)
        self.soon()

    def take(self, doc_id):
        self.held[doc_id] = self.fleet.now + TYPE.expiry_ms
        self.sender.document(self.fleet.now, our.Submission(doc_id, 1, "sync", TYPE.expiry_ms))
        self.soon()

    def soon(self):
        if not self.turning:
            self.turning = True
            self.fleet.later(0.0, self.turn, self.life)

    def turn(self, life):
        if life == self.life:
            self.turning = False
            self.sender.turn(self.fleet.now)

    def wake(self, after_ms):
        self.alarm = self.fleet.now + max(after_ms, 0.5)
        self.fleet.later(max(after_ms, 0.5), self.rings, self.alarm)

    def rings(self, alarm):
        if alarm == self.alarm:
            self.turn(self.life)

    def transmit(self, doc_id, endpoint, timeout_ms):
        way_ms = self.fleet.draw.uniform(8.0, 16.0)
        self.fleet.later(way_ms, self.arrives, self.life, doc_id, self.sent[doc_id])
        self.sent[doc_id] += 1

    def arrives(self, life, doc_id, number):
        good, room = self.fleet.called()
        outcome = our.Outcome(our.OK if good else our.FULL, number, 60.0, good, 0.0, room, LIMIT)
        self.fleet.later(50.0 if good else 10.0, self.hears, life, doc_id, outcome)

    def hears(self, life, doc_id, outcome):
        if life == self.life:
            self.sender.outcome(self.fleet.now, doc_id, "a", outcome)
            if outcome.final:
                self.held.pop(doc_id, None)
            self.soon()

    def reject(self, doc_id, retry_after_ms):
        del self.held[doc_id]

    abandon = reject

    def subscribe(self): ...
    def close_idle(self, endpoint): ...
    def broadcast(self, note): ...
    def save_recovery(self, recovery): ...
    def log(self, text): ...


@pytest.mark.parametrize("seed", range(4))
def test_a_limit_that_a_burst_has_used_up_serves_again_while_all_senders_restart(seed):
    """Guards against a jam that feeds itself: every call refused, every refused call counted."""
    fleet = Fleet(seed)
    fleet.come(0.0, 3000.0, 10.0)
    fleet.come(3000.0, 6000.0, 60.0)
    fleet.come(6000.0, 22000.0, 10.0)
    fleet.restart(5000.0, 1200.0)
    fleet.until(22000.0)
    after = range(7, 22)
    served, refused = (sum(each[second] for second in after) for each in (fleet.served, fleet.refused))
    assert served > 0.4 * LIMIT * len(after) and refused < 1.2 * served, (served, refused)
