"""The backlog after a kill at each write of a scripted day, torn ends, rot, and a disk that is full."""

import random
from math import inf

import pytest
from fake import ROOM, SMALL, kept, opened, settle

from birchstack.backlog.plan import BALLAST, MANIFEST, Sizes
from birchstack.backlog.store import Backlog
from birchstack.emulator.folder import Disk, MemoryFolder
from birchstack.ledger.records import HEAD
from tests import backlog_kills

SIZES = SMALL._replace(sealed=1500, flushed=10, unmarked=6000)


class Day:
    """A sender's dealings with its backlog. own: what its own ledger knows of; owed: what it does not yet."""

    folder = staticmethod(MemoryFolder)

    def __init__(self, disk, seed=1, steps=260):
        self.disk, self.chance, self.steps = disk, random.Random(seed), steps
        self.owed, self.own, self.maybe = {}, {}, None
        self.now = 0.0

    def start(self):
        self.store = Backlog(self.folder(self.disk), ROOM, self.now, SIZES)
        self.store.drop([*self.own])

    def to_own(self, documents):
        for each in documents:
            self.own[each.id] = self.owed.pop(each.id)

    def play(self):
        for number in range(self.steps):
            self.now += 1.0
            for part in range(self.chance.randrange(4)):
                far = self.chance.choice([7.0, 60.0, 1e5])
                one = kept(
                    f"{number}-{part}",
                    self.chance.choice([1, 1, 1, 2, 3]),
                    self.now + far,
                    b"x" * self.chance.choice([0, 20, 400]),
                    self.now,
                )
                self.maybe = one
                self.store.append(one)
                self.owed[one.id], self.maybe = one, None
            if self.chance.random() < 0.25:
                destination = self.chance.randrange(1, 4)
                got = self.store.read(destination, 12)
                there = [each for each in self.owed.values() if each.destination == destination]
                assert got == there[: len(got)]
                self.to_own(got[:8])
                self.store.moved(destination, len(got[:8]))
            if self.chance.random() < 0.3:
                gone = self.store.due(self.now, 5)
                self.to_own(gone)
                self.store.ended([each.id for each in gone])
            for _ in range(self.chance.randrange(4)):
                self.store.step()
            if number % 90 == 80:
                self.start()

    def check(self, by_time):
        """All that is owed is found once, in order; what was being taken on at the kill may be there too."""
        store = self.store
        want = dict(self.owed)
        if self.maybe is not None and store.holds(self.maybe.id):
            want[self.maybe.id] = self.maybe
        assert not store.lost and len(store) == len(want) and all(map(store.holds, want))
        assert not any(map(store.holds, self.own))
        if by_time:
            found = []
            while store.next_due() < inf:
                some = store.due(1e9, 7)
                found += [each.id for each in some]
                store.ended([each.id for each in some])
            assert sorted(found) == sorted(want)
            assert found == [
                each.id for each in sorted(want.values(), key=lambda each: each.expiry)
            ] or sorted(want[each].expiry for each in found) == [want[each].expiry for each in found]
        else:
            for destination in [*store.destinations()]:
                found = []
                while store.waiting(destination)[0]:
                    some = store.read(destination, 7)
                    found += some
                    store.moved(destination, len(some))
                assert found == [each for each in want.values() if each.destination == destination]
        assert not len(store) and not [*store.destinations()]
        store.close()
        assert not self.disk.files


class Watched(MemoryFolder):
    """Tells of each change before it is made: the file, and what is appended, None where it goes."""

    def __init__(self, disk, told):
        super().__init__(disk)
        self._told, self._names = told, {}

    def open(self, name, fresh=False):
        if fresh or name not in self._disk.files:
            self._told(name, b"")
        handle = super().open(name, fresh)
        self._names[handle] = name
        return handle

    def append(self, handle, data):
        self._told(self._names[handle], data)
        return super().append(handle, data)

    def unlink(self, name):
        self._told(name, None)
        super().unlink(name)


class Crashes:
    """Ends a copy of the day's process at each change: before it, after it, and with half of it written."""

    def __init__(self):
        self.points = self.changes = self.snapshots = 0
        self.day = Day(Disk())
        self.day.folder = lambda disk: Watched(disk, self.told)

    def told(self, name, data):
        self.changes += 1
        self.snapshots += data == b"" and name.startswith(MANIFEST)
        for how in (0, 1, 2) if data else (0,):  # the end after a change is the one before the next
            if how == 2 and len(data) < 2:
                continue
            files = {each: bytearray(text) for each, text in self.day.disk.files.items()}
            if how:
                files[name].extend(data[: len(data) // 2 if how == 1 else len(data) - 1])
            self.ended(files, by_time=(self.changes + how) % 2 == 0)

    def ended(self, files, by_time):
        day, self.points = Day(Disk()), self.points + 1
        day.disk.files, day.now = files, self.day.now
        day.owed, day.own, day.maybe = dict(self.day.owed), dict(self.day.own), self.day.maybe
        day.start()
        day.check(by_time)


def test_a_kill_at_each_write_of_a_day_loses_nothing_and_keeps_the_order():
    crashes = Crashes()
    crashes.day.start()
    crashes.day.play()
    print(f"{crashes.changes} writes, {crashes.points} ends")
    assert crashes.changes > 700 and crashes.points > 1500 and crashes.snapshots > 5


def filled(count=120, sizes=SIZES, whole=True, **words):
    disk = Disk()
    store = opened(disk, sizes)
    for number in range(count):
        store.append(kept(number, number % 3, 1000.0 + number, b"b" * 50, **words))
    if whole:
        settle(store)
    return disk, store


def drained(store):
    found = []
    for destination in [*store.destinations()]:
        while store.waiting(destination)[0]:
            some = store.read(destination, 7)
            found += [each.id for each in some]
            store.moved(destination, len(some))
    return found


def segments(disk, destination):
    return sorted(
        (name for name in disk.files if name.startswith(f"backlog-{destination}-")),
        key=lambda name: int(name.split("-")[2]),
    )


@pytest.mark.parametrize("cut", [1, 9, 60])
def test_a_torn_end_costs_what_was_torn_and_what_comes_after_is_kept_in_order(cut, caplog):
    disk, _ = filled()
    del disk.files[segments(disk, 0)[-1]][-cut:]
    store = opened(disk, SIZES)
    store.append(kept("new", 0))
    store = opened(disk, SIZES)  # the segment that is torn was not written on
    found = [each for each in drained(store) if each == "dnew" or int(each[1:]) % 3 == 0]
    assert found == [*(f"d{number}" for number in range(0, 117, 3)), "dnew"]
    assert not [each for each in caplog.records if each.msg == "rot in the backlog"]


def test_rot_in_the_middle_of_a_segment_is_counted_and_the_rest_is_read(caplog):
    disk, _ = filled()
    name = segments(disk, 1)[1]
    disk.files[name][HEAD.size + 200] ^= 4
    store = opened(disk, SIZES)
    assert len(store) == 120 and store.waiting(1) == (40, 1.0)
    found = drained(store)
    assert len(found) == 119 == len({*found}) and store.lost == 1 and not len(store)
    assert [each.words["after"] for each in caplog.records if each.msg == "documents lost"] == [name]
    for destination in range(3):
        mine = [int(each[1:]) for each in found if int(each[1:]) % 3 == destination]
        assert mine == sorted(mine)


def test_a_segment_that_is_gone_is_counted_and_by_time_the_rest_is_found(caplog):
    disk, _ = filled()
    name = segments(disk, 2)[0]
    del disk.files[name]
    store, found = opened(disk, SIZES), []
    while store.next_due() < inf:
        some = [each.id for each in store.due(1e9, 9)]
        found += some
        store.ended(some)
    settle(store)
    assert len(found) == 120 - store.lost and 0 < store.lost < 20 and not len(store)
    assert not [*store.destinations()] and found == sorted(found, key=lambda each: int(each[1:]))


@pytest.mark.parametrize("kind", ["ids", "times"])
@pytest.mark.parametrize("how", ["a page", "the file", "its filter"])
def test_an_index_that_is_lost_is_made_anew_from_the_segments(kind, how, caplog):
    disk, _ = filled()
    name = max(
        (name for name in disk.files if name.startswith(f"backlog-{kind}")),
        key=lambda name: len(disk.files[name]),
    )
    if how == "the file":
        del disk.files[name]
    else:
        disk.files[name][-5 if how == "its filter" else HEAD.size + 25] ^= 1
    copy = Disk()
    copy.files = {each: bytearray(data) for each, data in disk.files.items()}
    store = opened(copy, SIZES)  # what the sender's own ledger has goes, whatever is lost
    store.drop(f"d{number}" for number in range(0, 120, 4))
    assert len(store) == 90 and sorted(drained(store)) == sorted(f"d{n}" for n in range(120) if n % 4)
    store = opened(disk, SIZES)
    for number in range(120):
        store.holds(f"d{number}")
    for _ in range(3):
        store.step()
    store = opened(disk, SIZES)  # a kill while it is made anew
    gone = [each.id for each in store.due(1e9, 5)]  # not all that are due before them, for now
    store.ended(gone)
    for number in range(120):  # may be missed until it is there again
        store.holds(f"d{number}")
    settle(store)
    assert all(store.holds(f"d{number}") for number in range(120) if f"d{number}" not in gone)
    found = [*gone]
    while store.next_due() < inf:
        some = [each.id for each in store.due(1e9, 9)]
        found += some
        store.ended(some)
        settle(store)  # where a page is met that does not check
    assert sorted(found) == sorted(f"d{number}" for number in range(120)) and not store.lost


def test_a_manifest_that_is_lost_costs_a_reading_of_all_but_no_document(caplog):
    disk, _ = filled(200)
    for name in [name for name in disk.files if name.startswith(MANIFEST)]:
        del disk.files[name]
    store = opened(disk, SIZES)
    assert len(store) == 200 and len(store._index.memtable) < 60
    assert sorted(drained(store)) == sorted(f"d{number}" for number in range(200))


def test_a_full_disk_refuses_documents_and_still_records_moves_and_ends():
    disk, store = filled(60)
    disk.limit = disk.used() + 700
    taken = 60
    with pytest.raises(OSError):
        while True:
            store.append(kept(taken, 0, 1000.0 + taken, b"b" * 200))
            taken += 1
    assert len(store) == taken
    for _ in range(40):
        store.step()
    gone = []
    for _ in range(4):  # ends and moves, in the room that was kept for them
        some = [each.id for each in store.due(1e9, 3)]
        store.ended(some)
        moved = store.read(1, 3)
        store.moved(1, len(moved))
        gone += [*some, *(each.id for each in moved)]
    store = opened(disk, SIZES)  # as after a kill
    assert len(store) == taken - len(gone) and not any(map(store.holds, gone)) and not store.lost
    assert {*drained(store)} | {*gone} == {f"d{number}" for number in range(taken)}
    settle(store)
    store.append(kept("room", 0))  # there is room again
    assert store.holds("droom")


def test_where_nothing_more_can_be_written_a_move_is_refused_and_an_end_is_told_later():
    disk, store = filled(30)
    disk.full = True
    for name in disk.files:
        disk.files[name].extend(bytes(-len(disk.files[name]) % 512) if name.startswith(MANIFEST) else b"")
    del disk.files[BALLAST]
    store._manifest._ballast = False
    got = store.read(0, 5)
    with pytest.raises(OSError):
        store.moved(0, 5)
    assert store.read(0, 5) == got and len(store) == 30
    store.ended([got[0].id])
    assert len(store) == 29 and not store.holds(got[0].id) and not store.step()
    disk.full = False
    settle(store)
    store = opened(disk, SIZES)
    assert len(store) == 29 and not store.holds(got[0].id)


def test_what_fits_follows_the_room():
    room = ROOM.__class__(window=1, bytes=16 << 20)
    disk = Disk()
    store, number = opened(disk, Sizes(), room), 0
    while store.fits([60_000]):
        store.append(kept(number, number % 5, body=b"x" * 60_000))
        number += 1
        store.step()
    assert number > 200 and disk.used() < 16 << 20
    got = store.read(0, 30)
    store.moved(0, len(got))
    settle(store)
    assert store.fits([60_000])


def test_a_body_of_the_largest_size_an_expiry_that_is_past_and_half_a_character():
    disk, store = filled(5)
    store.append(kept("large", 7, body=bytes(range(256)) * 256))
    assert store.read(7, 1)[0].body == bytes(range(256)) * 256 and store.waiting(7)[0] == 1
    gone = [each.id for each in store.due(2000.0, 99)]
    store.ended(gone)
    store.append(kept("late", 8, 3.0))  # before what is known to be past: comes next, and is not lost
    assert store.holds("dlate") and [each.id for each in store.read(8, 1)] == ["dlate"]
    assert [each.id for each in store.due(2000.1, 9)] == ["dlate"]
    with pytest.raises(OSError):
        store.append(kept("\ud800", 8))
    store.append(kept("large2", 7, 1e7, body=b"y" * 65536))
    assert [each.id for each in opened(disk, SIZES).read(7, 5)] == ["dlarge", "dlarge2"]


def test_real_processes_that_are_killed_lose_nothing_and_move_nothing_twice():
    told = backlog_kills.play(6, seed=1)  # more of them: python -m tests.backlog_kills
    assert told["taken"] > 20
    assert not any(told[name] for name in ("lost", "rot", "twice", "out of order", "left"))
