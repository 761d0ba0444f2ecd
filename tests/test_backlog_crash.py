"""The backlog after kills at each write of a scripted run, torn ends, corruption, and on a full disk."""

import random
from math import inf

import pytest
from fake import ROOM, SMALL, kept, opened, settle

from birchstack.backlog.plan import BALLAST, MANIFEST, Sizes
from birchstack.backlog.store import Backlog
from birchstack.emulator.folder import Disk, MemoryFolder
from birchstack.ledger.records import HEAD
from tests import backlog_kills

SIZES = SMALL._replace(segment_bytes=1500, flush_documents=10, unindexed_bytes=6000)


class ScriptedRun:
    """A sender's calls of its backlog, and what must hold after them.

    in_ledger: documents that the sender's own ledger knows; waiting: those that only the backlog has;
    appending: the one whose append() has not returned.
    """

    folder = staticmethod(MemoryFolder)

    def __init__(self, disk, seed=1, steps=260):
        self.disk = disk
        self.generator = random.Random(seed)
        self.steps = steps
        self.waiting = {}
        self.in_ledger = {}
        self.appending = None
        self.now = 0.0

    def start(self):
        self.store = Backlog(self.folder(self.disk), ROOM, self.now, SIZES)
        self.store.drop([*self.in_ledger])

    def move_to_ledger(self, documents):
        for each in documents:
            self.in_ledger[each.id] = self.waiting.pop(each.id)

    def play(self):
        for number in range(self.steps):
            self.now += 1.0
            for part in range(self.generator.randrange(4)):
                remaining = self.generator.choice([7.0, 60.0, 1e5])
                document = kept(
                    f"{number}-{part}",
                    self.generator.choice([1, 1, 1, 2, 3]),
                    self.now + remaining,
                    b"x" * self.generator.choice([0, 20, 400]),
                    self.now,
                )
                self.appending = document
                self.store.append(document)
                self.waiting[document.id] = document
                self.appending = None
            if self.generator.random() < 0.25:
                destination = self.generator.randrange(1, 4)
                got = self.store.read(destination, 12)
                expected = [each for each in self.waiting.values() if each.destination == destination]
                assert got == expected[: len(got)]
                self.move_to_ledger(got[:8])
                self.store.moved(destination, len(got[:8]))
            if self.generator.random() < 0.3:
                expired = self.store.due(self.now, 5)
                self.move_to_ledger(expired)
                self.store.ended([each.id for each in expired])
            for _ in range(self.generator.randrange(4)):
                self.store.step()
            if number % 90 == 80:
                self.start()

    def check(self, by_time):
        """All waiting documents are found once and in order.

        The document that was being appended at the kill may be found, too.
        """
        store = self.store
        want = dict(self.waiting)
        if self.appending is not None and store.holds(self.appending.id):
            want[self.appending.id] = self.appending
        assert not store.lost and len(store) == len(want) and all(map(store.holds, want))
        assert not any(map(store.holds, self.in_ledger))
        if by_time:
            found = []
            while store.next_due() < inf:
                batch = store.due(1e9, 7)
                found += [each.id for each in batch]
                store.ended([each.id for each in batch])
            assert sorted(found) == sorted(want)
            assert found == [
                each.id for each in sorted(want.values(), key=lambda each: each.expiry)
            ] or sorted(want[each].expiry for each in found) == [want[each].expiry for each in found]
        else:
            for destination in [*store.destinations()]:
                found = []
                while store.waiting(destination)[0]:
                    batch = store.read(destination, 7)
                    found += batch
                    store.moved(destination, len(batch))
                assert found == [each for each in want.values() if each.destination == destination]
        assert not len(store) and not [*store.destinations()]
        store.close()
        assert not self.disk.files


class ObservedFolder(MemoryFolder):
    """Reports each change before it is made: the file, and the data appended, None for a removal."""

    def __init__(self, disk, before_change):
        super().__init__(disk)
        self._before_change = before_change
        self._names = {}

    def open(self, name, fresh=False):
        if fresh or name not in self._disk.files:
            self._before_change(name, b"")
        handle = super().open(name, fresh)
        self._names[handle] = name
        return handle

    def append(self, handle, data):
        self._before_change(self._names[handle], data)
        return super().append(handle, data)

    def unlink(self, name):
        self._before_change(name, None)
        super().unlink(name)


class KillAtEachChange:
    """Starts and checks a copy of the run's folder as a kill leaves it at each change.

    The kill comes before the change, with half of it written, or with all but its last byte written.
    """

    def __init__(self):
        self.points = self.changes = self.snapshots = 0
        self.run = ScriptedRun(Disk())
        self.run.folder = lambda disk: ObservedFolder(disk, self.before_change)

    def before_change(self, name, data):
        self.changes += 1
        self.snapshots += data == b"" and name.startswith(MANIFEST)
        for how in (0, 1, 2) if data else (0,):  # a kill after this change is the one before the next
            if how == 2 and len(data) < 2:
                continue
            files = {each: bytearray(content) for each, content in self.run.disk.files.items()}
            if how:
                files[name].extend(data[: len(data) // 2 if how == 1 else len(data) - 1])
            self.restart_and_check(files, by_time=(self.changes + how) % 2 == 0)

    def restart_and_check(self, files, by_time):
        run = ScriptedRun(Disk())
        self.points += 1
        run.disk.files = files
        run.now = self.run.now
        run.waiting = dict(self.run.waiting)
        run.in_ledger = dict(self.run.in_ledger)
        run.appending = self.run.appending
        run.start()
        run.check(by_time)


def test_a_kill_at_any_write_loses_no_document_and_keeps_the_order():
    kills = KillAtEachChange()
    kills.run.start()
    kills.run.play()
    print(f"{kills.changes} writes, {kills.points} kills")
    assert kills.changes > 700 and kills.points > 1500 and kills.snapshots > 5


def filled(count=120, sizes=SIZES, settled=True, **fields):
    disk = Disk()
    store = opened(disk, sizes)
    for number in range(count):
        store.append(kept(number, number % 3, 1000.0 + number, b"b" * 50, **fields))
    if settled:
        settle(store)
    return disk, store


def drained(store):
    found = []
    for destination in [*store.destinations()]:
        while store.waiting(destination)[0]:
            batch = store.read(destination, 7)
            found += [each.id for each in batch]
            store.moved(destination, len(batch))
    return found


def segments(disk, destination):
    return sorted(
        (name for name in disk.files if name.startswith(f"backlog-{destination}-")),
        key=lambda name: int(name.split("-")[2]),
    )


@pytest.mark.parametrize("cut", [1, 9, 60])
def test_a_torn_end_costs_one_document_and_later_ones_are_kept_in_order(cut, caplog):
    disk, _ = filled()
    del disk.files[segments(disk, 0)[-1]][-cut:]
    store = opened(disk, SIZES)
    store.append(kept("new", 0))
    store = opened(disk, SIZES)  # nothing was appended to the torn segment
    found = [each for each in drained(store) if each == "dnew" or int(each[1:]) % 3 == 0]
    assert found == [*(f"d{number}" for number in range(0, 117, 3)), "dnew"]
    assert not [each for each in caplog.records if each.msg == "rot in the backlog"]


def test_corruption_in_the_middle_of_a_segment_is_counted_and_the_rest_is_read(caplog):
    disk, _ = filled()
    name = segments(disk, 1)[1]
    disk.files[name][HEAD.size + 200] ^= 4
    store = opened(disk, SIZES)
    assert len(store) == 120 and store.waiting(1) == (40, 1.0)
    found = drained(store)
    assert len(found) == 119 == len({*found}) and store.lost == 1 and not len(store)
    assert [each.fields["after"] for each in caplog.records if each.msg == "documents lost"] == [name]
    for destination in range(3):
        numbers = [int(each[1:]) for each in found if int(each[1:]) % 3 == destination]
        assert numbers == sorted(numbers)


def test_a_missing_segment_is_counted_and_the_other_documents_expire_in_order(caplog):
    disk, _ = filled()
    name = segments(disk, 2)[0]
    del disk.files[name]
    store = opened(disk, SIZES)
    found = []
    while store.next_due() < inf:
        batch = [each.id for each in store.due(1e9, 9)]
        found += batch
        store.ended(batch)
    settle(store)
    assert len(found) == 120 - store.lost and 0 < store.lost < 20 and not len(store)
    assert not [*store.destinations()] and found == sorted(found, key=lambda each: int(each[1:]))


@pytest.mark.parametrize("kind", ["ids", "times"])
@pytest.mark.parametrize("how", ["a page", "the file", "its filter"])
def test_a_damaged_index_run_is_rebuilt_from_the_segments(kind, how, caplog):
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
    store = opened(copy, SIZES)  # drop() finds every document of the ledger, whatever is damaged
    store.drop(f"d{number}" for number in range(0, 120, 4))
    assert len(store) == 90 and sorted(drained(store)) == sorted(f"d{n}" for n in range(120) if n % 4)
    store = opened(disk, SIZES)
    for number in range(120):
        store.holds(f"d{number}")
    for _ in range(3):
        store.step()
    store = opened(disk, SIZES)  # as after a kill during the rebuild
    ended = [each.id for each in store.due(1e9, 5)]  # some documents due earlier are not found yet
    store.ended(ended)
    for number in range(120):  # some may not be found until the rebuild is complete
        store.holds(f"d{number}")
    settle(store)
    assert all(store.holds(f"d{number}") for number in range(120) if f"d{number}" not in ended)
    found = [*ended]
    while store.next_due() < inf:
        batch = [each.id for each in store.due(1e9, 9)]
        found += batch
        store.ended(batch)
        settle(store)  # due() may have met a corrupted page
    assert sorted(found) == sorted(f"d{number}" for number in range(120)) and not store.lost


def test_a_lost_manifest_costs_a_read_of_all_segments_but_no_document(caplog):
    disk, _ = filled(200)
    for name in [name for name in disk.files if name.startswith(MANIFEST)]:
        del disk.files[name]
    store = opened(disk, SIZES)
    assert len(store) == 200 and len(store._index.memtable) < 60
    assert sorted(drained(store)) == sorted(f"d{number}" for number in range(200))


def test_with_a_full_disk_documents_are_refused_but_moves_and_ends_are_recorded():
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
    removed = []
    for _ in range(4):  # ends and moves use the room of the ballast
        ended = [each.id for each in store.due(1e9, 3)]
        store.ended(ended)
        moved = store.read(1, 3)
        store.moved(1, len(moved))
        removed += [*ended, *(each.id for each in moved)]
    store = opened(disk, SIZES)  # as after a kill
    assert len(store) == taken - len(removed) and not any(map(store.holds, removed)) and not store.lost
    assert {*drained(store)} | {*removed} == {f"d{number}" for number in range(taken)}
    settle(store)
    store.append(kept("room", 0))  # there is room again
    assert store.holds("droom")


def test_where_nothing_can_be_written_a_move_is_refused_and_an_end_is_recorded_later():
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


def test_fits_follows_the_free_room():
    room = ROOM.__class__(window=1, bytes=16 << 20)
    disk = Disk()
    store = opened(disk, Sizes(), room)
    number = 0
    while store.fits([60_000]):
        store.append(kept(number, number % 5, body=b"x" * 60_000))
        number += 1
        store.step()
    assert number > 200 and disk.used() < 16 << 20
    got = store.read(0, 30)
    store.moved(0, len(got))
    settle(store)
    assert store.fits([60_000])


def test_a_body_of_the_largest_size_an_expiry_in_the_past_and_a_lone_surrogate():
    disk, store = filled(5)
    store.append(kept("large", 7, body=bytes(range(256)) * 256))
    assert store.read(7, 1)[0].body == bytes(range(256)) * 256 and store.waiting(7)[0] == 1
    ended = [each.id for each in store.due(2000.0, 99)]
    store.ended(ended)
    store.append(kept("late", 8, 3.0))  # below the watermark: it is due next, and is not lost
    assert store.holds("dlate") and [each.id for each in store.read(8, 1)] == ["dlate"]
    assert [each.id for each in store.due(2000.1, 9)] == ["dlate"]
    with pytest.raises(OSError):
        store.append(kept("\ud800", 8))
    store.append(kept("large2", 7, 1e7, body=b"y" * 65536))
    assert [each.id for each in opened(disk, SIZES).read(7, 5)] == ["dlarge", "dlarge2"]


def test_killed_processes_lose_no_document_and_move_none_twice():
    counts = backlog_kills.run_kills(6, seed=1)  # for more kills: python -m tests.backlog_kills
    assert counts["taken"] > 20
    assert not any(counts[name] for name in ("lost", "corrupted", "twice", "out of order", "left"))
