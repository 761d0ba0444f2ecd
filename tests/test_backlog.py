"""The backlog on disk gives the same answers as the model in memory, also after restarts and kills."""

import random

import pytest
from fake import ROOM, kept, opened
from hypothesis import settings as profile
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from birchstack.backlog import contains_documents, model
from birchstack.backlog.plan import Sizes
from birchstack.backlog.store import Backlog
from birchstack.emulator.folder import Disk
from birchstack.net.machine import Folder


class BacklogComparison(RuleBasedStateMachine):
    """Applies the same calls to both. A kill abandons the store, and another one opens the folder."""

    def __init__(self):
        super().__init__()
        self.disk = Disk()
        self.now = 0.0
        self.number = 0
        self.store = opened(self.disk)
        self.model = model.Backlog()

    @rule(
        destination=strategies.integers(0, 3),
        remaining=strategies.sampled_from([1.0, 5.0, 50.0, 1e5]),
        size=strategies.sampled_from([0, 30, 900]),
        count=strategies.integers(1, 8),
    )
    def append(self, destination, remaining, size, count):
        for _ in range(count):
            self.number += 1
            key = "r" if size else None
            document = kept(self.number, destination, self.now + remaining, b"x" * size, repeat_key=key)
            self.store.append(document)
            self.model.append(document)

    @rule(
        destination=strategies.integers(0, 3),
        most=strategies.integers(1, 9),
        count=strategies.integers(0, 9),
        end=strategies.booleans(),
    )
    def drain(self, destination, most, count, end):
        for _ in range(200):  # one call passes over a limited number of ended records
            got = self.store.read(destination, most)
            if got or not self.store.waiting(destination)[0]:
                break
        want = self.model.read(destination, most)
        assert got == want[: len(got)] and (got or not want)
        if end and got:  # for example because its document type was removed
            self.store.ended([got[0].id])
            self.model.ended([got[0].id])
        count = min(count, len(got))
        self.store.moved(destination, count)
        self.model.moved(destination, count)

    @rule(
        later=strategies.sampled_from([0.5, 3.0, 60.0]),
        most=strategies.integers(1, 5),
        end=strategies.booleans(),
    )
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

    @rule(count=strategies.integers(1, 30))
    def step(self, count):
        for _ in range(count):
            self.store.step()

    @rule()
    def complete_housekeeping(self):
        assert any(not self.store.step() for _ in range(3000))

    @rule(clean=strategies.booleans())
    def restart(self, clean):
        if clean:
            self.store.close()
        self.store = opened(self.disk, now=self.now)

    @precondition(lambda self: len(self.model))
    @rule(data=strategies.data())
    def drop_after_a_restart(self, data):
        """The documents that the sender's ledger knows are dropped from the backlog."""
        ids = data.draw(strategies.lists(strategies.sampled_from([*self.model._documents]), max_size=3))
        self.store = opened(self.disk, now=self.now)
        self.store.drop([*ids, "never here"])
        self.model.drop(ids)

    @invariant()
    def same_answers(self):
        assert len(self.store) == len(self.model) and not self.store.lost
        for destination in range(4):
            for _ in range(300):
                got, want = self.store.waiting(destination), self.model.waiting(destination)
                if got == want:
                    break
                assert got[0] == want[0] and got[1] < want[1]  # each call passes over a few ended records
            assert got == want
        assert {*self.store.destinations()} == {*self.model.destinations()}
        assert self.store.next_due() <= self.model.next_due()
        for number in {self.number, self.number // 2, self.number // 3}:
            assert self.store.holds(f"d{number}") == self.model.holds(f"d{number}")


BacklogComparison.TestCase.settings = profile(
    max_examples=120, stateful_step_count=40, deadline=None, derandomize=True, database=None
)
TestBacklogComparison = BacklogComparison.TestCase


@pytest.mark.parametrize("seed", range(6))
def test_store_equals_model_over_many_documents_in_a_real_folder(tmp_path, seed):
    generator = random.Random(seed)
    reference = model.Backlog()
    sizes = Sizes(segment_bytes=20_000, flush_documents=100, unindexed_bytes=50_000, merge_fan_in=3)
    store = Backlog(Folder(str(tmp_path)), ROOM, 0.0, sizes)
    for number in range(1500):
        document = kept(
            number,
            generator.randrange(7) ** 2,
            10.0 + number + generator.choice([20.0, 900.0, 1e6]),
            bytes(generator.randrange(300)),
        )
        store.append(document)
        reference.append(document)
        if generator.random() < 0.1:
            destination = generator.randrange(7) ** 2
            got = store.read(destination, 20)
            assert got == reference.read(destination, len(got))
            store.moved(destination, len(got))
            reference.moved(destination, len(got))
        if generator.random() < 0.2:
            ids = [each.id for each in store.due(float(number), 50)]
            assert ids == [each.id for each in reference.due(float(number), 50)]
            store.ended(ids)
            reference.ended(ids)
        store.step()
        if generator.random() < 0.005:
            store = Backlog(Folder(str(tmp_path)), ROOM, float(number), sizes)
        assert len(store) == len(reference)
    for number in range(1500):
        assert store.holds(f"d{number}") == reference.holds(f"d{number}")
    for destination in [*store.destinations()]:
        while reference.waiting(destination)[0]:
            got = store.read(destination, 50)
            assert got == reference.read(destination, len(got))
            store.moved(destination, len(got))
            reference.moved(destination, len(got))
    assert not len(store) and store.next_due() == float("inf")
    store.close()
    assert not [*tmp_path.iterdir()]
    assert not contains_documents(each.name for each in tmp_path.iterdir())
