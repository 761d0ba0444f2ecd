"""The last resorts of the sender: faults that should not be, met by what is owed."""

import asyncio
import dataclasses
import time

import pytest
from fake import config

from birchstack import interface as our
from birchstack.net import sender as module
from birchstack.net.config import decode
from birchstack.net.front import CLOSED, TAKEN
from birchstack.net.ledger import Ledger


class Handed:
    """A document as a second front would hand it in."""

    type, destination, key, repeat_key, tenant, body = "sync", 1, None, None, None, b"x"

    def __init__(self, doc_id="d", left_ms=5000.0, gone=False):
        self.id, self.left_ms, self._gone, self.said, self.again = doc_id, left_ms, gone, [], []

    def told(self):
        return 40.0, self._gone

    def reply(self, verdict, wait_ms=0.0, close=False):
        self.said.append((verdict, wait_ms))


@pytest.fixture
def node(tmp_path, monkeypatch):
    """A sender whose door is not open yet; what does not hold is only written down, as in release."""
    broken = []
    monkeypatch.setattr(module, "holds", lambda what, text: bool(what) or broken.append(text) or False)

    async def make():
        node = module.Node(decode(config(tmp_path), {}), asyncio.get_running_loop())
        node.broken = broken
        return node

    with asyncio.Runner() as runner:
        node = runner.run(make())
        node.run = lambda story: runner.run(story())
        yield node


def fault(*words):
    raise ZeroDivisionError


def test_a_second_front_is_answered_in_the_projects_words(node):
    async def story():
        handed, gone = Handed(), Handed("e", gone=True)
        node._inbox += [(node._take_on, handed), (node._take_on, gone)]
        node._turn()
        node._report()
        assert handed.said == [(TAKEN, 0.0)] and gone.said == [(CLOSED, 0.0)]
        assert [*node._ledger.owed] == ["d"] and handed.left_ms == 4960.0

    node.run(story)


def test_a_fault_of_the_decisions_at_the_door_refuses_and_owes_nothing(node):
    async def story():
        node._core.document = fault
        handed = Handed()
        node._inbox.append((node._take_on, handed))
        node._turn()
        assert handed.said == [(CLOSED, 3000.0)] and not node._ledger.owed and node.broken

    node.run(story)


def test_a_document_that_the_decisions_let_pass_its_expiry_is_abandoned(node):
    async def story():
        node._inbox.append((node._take_on, Handed(left_ms=300.0)))
        node._turn()
        node._core.turn = fault
        time.sleep(0.5)  # the process stands still
        node._look_for_overdue()
        assert node._ledger.owed["d"].notice is None  # the decisions have had no turn since
        node._turn()
        node._look_for_overdue()
        assert node._ledger.owed["d"].notice == ("dead", 0.0) and node.broken

    node.run(story)


def test_a_ledger_that_cannot_be_written_takes_nothing_on_and_sends_nothing(node, monkeypatch):
    async def story():
        monkeypatch.setattr(node._ledger, "take", lambda *words: (_ for _ in ()).throw(OSError("full")))
        handed = Handed()
        node._inbox.append((node._take_on, handed))
        node._turn()
        node._turn()
        assert handed.said == [(CLOSED, 3000.0)] and not node._core._held and not len(node._calls)
        assert node._core._in_flight == 0

    node.run(story)


def listed(name, state, port, destination=1):
    return our.Endpoint(name, destination, "a", 0, state, 0.0), ("127.0.0.1", port)


@pytest.mark.parametrize("mode", [our.CHANGES, our.WHOLE])
def test_what_was_listed_and_went_leaves_nothing_behind(node, mode):
    async def story():
        for number in range(6000):
            if mode == our.CHANGES and number:
                node._listed(mode, [listed(f"e{number - 1}", our.GONE, 9, number - 1)])
            node._listed(mode, [listed(f"e{number}", our.READY, 9, number)])
            node._turn()
        assert [*node._calls.addresses] == [*node._list.entries] == [*node._core._endpoints] == ["e5999"]
        assert len(node._list._destinations) <= 4096 and len(node._core._destinations) < 100
        assert node._list.serves(5999) and not node._list.serves(70000)

    node.run(story)


def test_answers_remembered_are_bounded_and_nothing_else_is_kept_of_documents_that_ended(node):
    async def story():
        for number in range(5000):
            handed = Handed(f"d{number}", left_ms=40.0 if number % 2 else 20000.0)
            node._inbox.append((node._take_on, handed))
            node._turn()
            node._happened(node._core.withdrawn, handed.id)
            if handed.id in node._ledger.owed:
                node._ledger.done(node._ledger.owed[handed.id])
        node._turn()
        assert len(node._answers) <= 4096 and not node._ledger.owed and not node._core._held
        assert len(node._core._last_starts) < 5000 and not node._fresh and not node._starting

    node.run(story)


def test_an_alarm_that_is_asked_for_again_and_again_is_one_alarm(node):
    async def story():
        turns = []
        node._turn = lambda: turns.append(setattr(node, "_turn_due", False))
        for after_ms in (90.0, 60.0, 30.0, 60.0, 90.0):
            node.wake(after_ms)
        await asyncio.sleep(0.15)
        assert len(turns) == 1

    node.run(story)


@pytest.mark.parametrize("window, written", [(1000.0, False), (9000.0, True)])
def test_a_window_that_ends_during_a_long_turn_bars_the_call_that_the_turn_decided(node, window, written):
    async def story():
        kind = our.DocumentType("order", our.NUMBERED, 2000.0, 20000.0, 1.0, 0.4, False, window, False)
        node._core.reconfigure(0.0, dataclasses.replace(node._config.settings, types=(kind,)))
        node._front.types["order"], wall = 20000.0, node._lasting.ms()
        owed = node._ledger.take("d", "order", 1, None, wall + 9000.0, b"x")
        node._ledger.call(owed, "a", wall - 700.0)  # out when its process ended
        node._ledger.close()
        node._ledger = Ledger(node._folder, 3_000_000)
        node._listed(our.WHOLE, [listed("e1", our.READY, 9)])
        node._take_up(node._ledger.owed)
        turn, gone = node._core.turn, []
        node._core.turn = lambda now: (turn(now), time.sleep(0.4))  # many documents, little processor
        node._calls.begin = node._calls.waiting = lambda call: True
        node._calls.go = lambda call, may: gone.append(may)
        node._turn()
        assert gone == [written]

    node.run(story)


def test_an_expiry_on_disk_counts_from_the_beginning_of_a_long_turn(node, monkeypatch):
    steady = 5_000_000.0  # moved by hand: the sum of two real clocks is rounded, by the wall clock's size
    monkeypatch.setattr(node._machine, "steady_ms", lambda: steady)
    monkeypatch.setattr(node, "clock", lambda: steady - 4_000_000.0)

    async def story():
        nonlocal steady
        turn, began = node._core.turn, node._lasting.ms()

        def long_turn(now):
            nonlocal steady
            turn(now)
            steady += 400.0

        node._core.turn = long_turn
        node._inbox.append((node._take_on, Handed(left_ms=5040.0)))
        node._turn()
        assert steady == 5_000_400.0
        assert node._ledger.owed["d"].expiry == pytest.approx(began + 5000.0, rel=0.0, abs=0.001)

    node.run(story)
