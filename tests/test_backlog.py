"""The backlog on disk against a plain model: any story, with restarts and kills between."""

import random

import pytest
from fake import ROOM, kept, opened
from hypothesis import settings as profile
from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from birchstack.backlog import left, model
from birchstack.backlog.plan import Sizes
from birchstack.backlog.store import Backlog
from birchstack.emulator.folder import Disk
from birchstack.net.machine import Folder


class Story(RuleBasedStateMachine):
    """The same is done to both; a kill leaves the store as it is, and another one opens the folder."""

    def __init__(self):
        super().__init__()
        self.disk, self.now, self.number = Disk(), 0.0, 0
        self.store, self.model = opened(self.disk), model.Backlog()

    @rule(
        destination=some.integers(0, 3),
        far=some.sampled_from([1.0, 5.0, 50.0, 1e5]),
        size=some.sampled_from([0, 30, 900]),
        many=some.integers(1, 8),
    )
    def append(self, destination, far, size, many):
        for _ in range(many):
            self.number += 1
            key = "r" if size else None
            one = kept(self.number, destination, self.now + far, b"x" * size, repeat_key=key)
            self.store.append(one)
            self.model.append(one)

    @rule(
        destination=some.integers(0, 3),
        most=some.integers(1, 9),
        count=some.integers(0, 9),
        end=some.booleans(),
    )
    def drain(self, destination, most, count, end):
        for _ in range(200):  # what is past is passed over a little at a time
            got = self.store.read(destination, most)
            if got or not self.store.waiting(destination)[0]:
                break
        want = self.model.read(destination, most)
        assert got == want[: len(got)] and (got or not want)
        if end and got:  # its type is gone, say
            self.store.ended([got[0].id])
            self.model.ended([got[0].id])
        count = min(count, len(got))
        self.store.moved(destination, count)
        self.model.moved(destination, count)

    @rule(later=some.sampled_from([0.5, 3.0, 60.0]), most=some.integers(1, 5), end=some.booleans())
    def expire(self, later, most, end):
        self.now += later
        for _ in range(200):
            got = self.store.due(self.now, most)
            if got or self.store.next_due() > self.now:
                break
        want = self.model.due(self.now, 10**6)
        assert len(got) == min(most, len(want)) or self.store.next_due() <= self.now
        assert {each.id for each in got} <= {each.id for each in want} and (got or not want)
        if end:
            self.store.ended([each.id for each in got])
            self.model.ended([each.id for each in got])

    @rule(many=some.integers(1, 30))
    def step(self, many):
        for _ in range(many):
            self.store.step()

    @rule()
    def settle(self):
        assert any(not self.store.step() for _ in range(3000))

    @rule(clean=some.booleans())
    def restart(self, clean):
        if clean:
            self.store.close()
        self.store = opened(self.disk, now=self.now)

    @precondition(lambda self: len(self.model))
    @rule(data=some.data())
    def again_after_a_restart(self, data):
        """What the sender's own ledger knows of, the backlog drops."""
        ids = data.draw(some.lists(some.sampled_from([*self.model._documents]), max_size=3))
        self.store = opened(self.disk, now=self.now)
        self.store.drop([*ids, "never here"])
        self.model.drop(ids)

    @invariant()
    def same(self):
        assert len(self.store) == len(self.model) and not self.store.lost
        for destination in range(4):
            for _ in range(300):
                got, want = self.store.waiting(destination), self.model.waiting(destination)
                if got == want:
                    break
                assert got[0] == want[0] and got[1] < want[1]  # a little is passed over each time
            assert got == want
        assert {*self.store.destinations()} == {*self.model.destinations()}
        assert self.store.next_due() <= self.model.next_due()
        for number in {self.number, self.number // 2, self.number // 3}:
            assert self.store.holds(f"d{number}") == self.model.holds(f"d{number}")


Story.TestCase.settings = profile(
    max_examples=120, stateful_step_count=40, deadline=None, derandomize=True, database=None
)
TestStory = Story.TestCase


@pytest.mark.parametrize("seed", range(6))
def test_a_long_story_with_sizes_of_a_real_one(tmp_path, seed):
    chance, plain = random.Random(seed), model.Backlog()
    sizes = Sizes(sealed=20_000, flushed=100, unmarked=50_000, fan=3)
    store = Backlog(Folder(str(tmp_path)), ROOM, 0.0, sizes)
    for number in range(1500):
        one = kept(
            number,
            chance.randrange(7) ** 2,
            10.0 + number + chance.choice([20.0, 900.0, 1e6]),
            bytes(chance.randrange(300)),
        )
        store.append(one)
        plain.append(one)
        if chance.random() < 0.1:
            where = chance.randrange(7) ** 2
            got = store.read(where, 20)
            assert got == plain.read(where, len(got))
            store.moved(where, len(got))
            plain.moved(where, len(got))
        if chance.random() < 0.2:
            ids = [each.id for each in store.due(float(number), 50)]
            assert ids == [each.id for each in plain.due(float(number), 50)]
            store.ended(ids)
            plain.ended(ids)
        store.step()
        if chance.random() < 0.005:
            store = Backlog(Folder(str(tmp_path)), ROOM, float(number), sizes)
        assert len(store) == len(plain)
    for number in range(1500):
        assert store.holds(f"d{number}") == plain.holds(f"d{number}")
    for where in [*store.destinations()]:
        while plain.waiting(where)[0]:
            got = store.read(where, 50)
            assert got == plain.read(where, len(got))
            store.moved(where, len(got))
            plain.moved(where, len(got))
    assert not len(store) and store.next_due() == float("inf")
    store.close()
    assert not [*tmp_path.iterdir()]
    assert not left(each.name for each in tmp_path.iterdir())
