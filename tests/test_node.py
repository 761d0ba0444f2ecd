"""Safety nets of sender.Node: exceptions in the decision logic, disk errors, stalls, bounds of memory."""

import asyncio
import dataclasses
import time

import pytest
from fake import config

from birchstack import interface
from birchstack.net import sender as module
from birchstack.net.config import decode
from birchstack.net.ledger import Ledger
from birchstack.net.submission import ACCEPTED, UNAVAILABLE


class FakeRequest:
    """A document that is submitted without a client connection."""

    type, destination, key, repeat_key, tenant, body = "sync", 1, None, None, None, b"x"

    def __init__(self, doc_id="d", remaining_ms=5000.0, gone=False):
        self.id = doc_id
        self.remaining_ms = remaining_ms
        self._gone = gone
        self.replies = []
        self.duplicates = []

    def age_and_gone(self):
        return 40.0, self._gone

    def reply(self, verdict, wait_ms=0.0, close=False):
        self.replies.append((verdict, wait_ms))


@pytest.fixture
def node(tmp_path, monkeypatch):
    """A sender that does not listen yet; violated invariants are only collected, as in release builds."""
    broken = []
    monkeypatch.setattr(
        module, "check_invariant", lambda what, text: bool(what) or broken.append(text) or False
    )

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


def test_a_submission_from_elsewhere_is_answered_by_its_verdict(node):
    async def story():
        request, gone = FakeRequest(), FakeRequest("e", gone=True)
        node._events += [(node._accept, request), (node._accept, gone)]
        node._turn()
        node._log_state()
        assert request.replies == [(ACCEPTED, 0.0)] and gone.replies == [(UNAVAILABLE, 0.0)]
        assert [*node._ledger.entries] == ["d"] and request.remaining_ms == 4960.0

    node.run(story)


def test_an_exception_while_a_document_is_submitted_refuses_it_and_holds_nothing(node):
    async def story():
        node._core.document = fault
        request = FakeRequest()
        node._events.append((node._accept, request))
        node._turn()
        assert request.replies == [(UNAVAILABLE, 3000.0)] and not node._ledger.entries and node.broken

    node.run(story)


def test_a_document_left_unended_past_its_expiry_is_abandoned(node):
    async def story():
        node._events.append((node._accept, FakeRequest(remaining_ms=300.0)))
        node._turn()
        node._core.turn = fault
        time.sleep(0.5)  # the process stalls
        node._end_overdue()
        assert node._ledger.entries["d"].notice is None  # the decision logic has had no turn since then
        node._turn()
        node._end_overdue()
        assert node._ledger.entries["d"].notice == ("dead", 0.0) and node.broken

    node.run(story)


def test_a_ledger_that_cannot_be_written_accepts_and_sends_nothing(node, monkeypatch):
    async def story():
        monkeypatch.setattr(node._ledger, "add", lambda *words: (_ for _ in ()).throw(OSError("full")))
        request = FakeRequest()
        node._events.append((node._accept, request))
        node._turn()
        node._turn()
        assert request.replies == [(UNAVAILABLE, 3000.0)] and not node._core._held and not len(node._calls)
        assert node._core._in_flight == 0

    node.run(story)


def listed(name, state, port, destination=1):
    return interface.Endpoint(name, destination, "a", 0, state, 0.0), ("127.0.0.1", port)


@pytest.mark.parametrize("mode", [interface.CHANGES, interface.WHOLE])
def test_endpoints_that_left_the_list_leave_nothing_in_memory(node, mode):
    async def story():
        for number in range(6000):
            if mode == interface.CHANGES and number:
                node._on_list(mode, [listed(f"e{number - 1}", interface.GONE, 9, number - 1)])
            node._on_list(mode, [listed(f"e{number}", interface.READY, 9, number)])
            node._turn()
        assert [*node._calls.addresses] == [*node._list.entries] == [*node._core._endpoints] == ["e5999"]
        assert len(node._list._destinations) <= 4096 and len(node._core._destinations) < 100
        assert node._list.is_known(5999) and not node._list.is_known(70000)

    node.run(story)


def test_remembered_answers_are_bounded_and_ended_documents_leave_nothing_else(node):
    async def story():
        for number in range(5000):
            request = FakeRequest(f"d{number}", remaining_ms=40.0 if number % 2 else 20000.0)
            node._events.append((node._accept, request))
            node._turn()
            node._enqueue(node._core.withdrawn, request.id)
            if request.id in node._ledger.entries:
                node._ledger.finish(node._ledger.entries[request.id])
        node._turn()
        assert len(node._refusals) <= 4096 and not node._ledger.entries and not node._core._held
        assert len(node._core._last_starts) < 5000 and not node._pending and not node._starting

    node.run(story)


def test_repeated_requests_to_wake_set_one_timer(node):
    async def story():
        turns = []
        node._turn = lambda: turns.append(setattr(node, "_turn_due", False))
        for after_ms in (90.0, 60.0, 30.0, 60.0, 90.0):
            node.wake(after_ms)
        await asyncio.sleep(0.15)
        assert len(turns) == 1

    node.run(story)


@pytest.mark.parametrize("window, written", [(1000.0, False), (9000.0, True)])
def test_a_window_that_ends_during_a_long_turn_prevents_the_call_decided_in_it(node, window, written):
    async def story():
        kind = interface.DocumentType(
            "order", interface.NUMBERED, 2000.0, 20000.0, 1.0, 0.4, False, window, False
        )
        node._core.reconfigure(0.0, dataclasses.replace(node._config.settings, types=(kind,)))
        node._client_server.types["order"], wall = 20000.0, node._lasting.ms()
        owed = node._ledger.add("d", "order", 1, None, wall + 9000.0, b"x")
        node._ledger.record_transmission(owed, "a", wall - 700.0)  # in flight when its process ended
        node._ledger.close()
        node._ledger = Ledger(node._folder, 3_000_000)
        node._on_list(interface.WHOLE, [listed("e1", interface.READY, 9)])
        node._recover(node._ledger.entries)
        turn, written_calls = node._core.turn, []
        # a long turn: many documents, a slow processor
        node._core.turn = lambda now: (turn(now), time.sleep(0.4))
        node._calls.begin = node._calls.can_write = lambda call: True
        node._calls.write_or_cancel = lambda call, may_write: written_calls.append(may_write)
        node._turn()
        assert written_calls == [written]

    node.run(story)


def test_an_expiry_on_disk_counts_from_the_start_of_a_long_turn(node, monkeypatch):
    steady = 5_000_000.0  # fake: the sum of two real clocks is rounded, as the wall clock is large
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
        node._events.append((node._accept, FakeRequest(remaining_ms=5040.0)))
        node._turn()
        assert steady == 5_000_400.0
        assert node._ledger.entries["d"].expiry == pytest.approx(began + 5000.0, rel=0.0, abs=0.001)

    node.run(story)
