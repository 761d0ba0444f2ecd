"""Signals between senders: the messages, the sender's outbox, and the collector's merging and relaying."""

import random

import pytest

from birchstack.fleet import wire
from birchstack.fleet.settings import SignalSettings
from birchstack.fleet.signalling import SignalParticipant
from birchstack.interface import MAX_OBSERVERS, SignalKind
from birchstack.keeper.config import PollConfig
from birchstack.keeper.relay import Relay
from birchstack.signals import board as boards
from birchstack.signals import model
from birchstack.signals.board import START_CURSOR, SignalTable
from birchstack.signals.echo import MAX_TRANSIT_DELAY_MS, transit_delay_ms
from birchstack.signals.model import PROTOCOL_VERSION, SIGNAL_LIFETIME_MS, Signal, SignalBatch, SignalRequest
from birchstack.signals.outbox import MAX_SIGNALS_PER_KIND, Outbox

WAIT, SERVED, FAILED = SignalKind
AMPLE_BYTES = 100_000  # room for every message of these tests


def batch(*signals, incarnation="incarnation", age_ms=60_000):
    return SignalBatch(PROTOCOL_VERSION, incarnation, age_ms, True, signals)


def merge_failures(observers, endpoint="a", now=0.0, board=None, age_ms=0):
    """A board into which each observer reported one failure of the endpoint."""
    board = SignalTable() if board is None else board
    for observer in observers:
        board.merge(observer, batch(Signal(endpoint, FAILED, 1, age_ms)), now)
    return board


def random_batches(chance):
    """Batches of some senders: one for each incarnation of each sender."""
    batches = []
    for observer in range(chance.randint(2, 8)):
        for incarnation in range(chance.randint(1, 2)):
            signals = [
                Signal(
                    chance.choice("abc"),
                    kind := chance.choice([*SignalKind]),
                    number,
                    chance.randrange(12_000),
                    chance.randrange(1, 20_000) if kind is WAIT else 0,
                )
                for number in range(1, chance.randint(2, 6))
            ]
            batches.append(
                (
                    f"n{observer}",
                    batch(*signals, incarnation=f"{incarnation}", age_ms=90_000 - 1000 * incarnation),
                )
            )
    return batches


def all_evidence(board, now):
    return [board.evidence(endpoint, now) for endpoint in "abc"]


def test_merging_is_commutative_and_idempotent():
    chance = random.Random("merging")
    for _ in range(300):
        batches, results = random_batches(chance), set()
        for _ in range(4):
            board = SignalTable()
            repeated = [*batches, *chance.sample(batches, len(batches) // 2)]
            chance.shuffle(repeated)
            for observer, each in repeated:
                board.merge(observer, each, 1e6)
            results.add(str(all_evidence(board, 1e6)))
        assert len(results) == 1


def test_merging_beyond_the_observer_limit_keeps_the_newest_in_any_order():
    chance = random.Random("many")
    ages = {f"n{at:02}": 100 * at for at in range(MAX_OBSERVERS + 9)}
    for _ in range(50):
        board, names = SignalTable(), [*ages] * 2
        chance.shuffle(names)
        for name in names:
            board.merge(name, batch(Signal("a", FAILED, 1, ages[name])), 1e6)
        assert board.evidence("a", 1e6) == model.Evidence("a", MAX_OBSERVERS, 100 * (MAX_OBSERVERS - 1), 0)


def test_one_observer_counts_once_however_many_signals_it_sends():
    board = SignalTable()
    for number in range(1, 60):
        board.merge("noisy", batch(Signal("a", FAILED, number, 0)), 50.0 * number)
    assert board.evidence("a", 3000.0).failed_by == 1


def test_signals_of_an_earlier_incarnation_no_longer_count_and_are_not_merged_again():
    board = merge_failures(["n1", "n2"])
    assert board.evidence("a", 0.0).failed_by == 2
    board.merge("n1", batch(incarnation="next", age_ms=10), 1000.0)
    assert board.evidence("a", 1000.0).failed_by == 1
    late = batch(Signal("a", FAILED, 9, 0), Signal("b", FAILED, 10, 0), age_ms=61_000)
    assert not board.merge("n1", late, 1000.0)
    assert board.evidence("a", 1000.0).failed_by == 1 and board.evidence("b", 1000.0) is None


def test_a_signal_expires_by_age_and_a_wait_at_its_end():
    board = merge_failures(["n1"], age_ms=4000)
    board.merge("n2", batch(Signal("b", WAIT, 1, 2000, 30_000)), 0.0)
    assert board.evidence("a", SIGNAL_LIFETIME_MS - 4001.0)
    assert not board.evidence("a", SIGNAL_LIFETIME_MS - 3999.0)
    assert board.evidence("b", 27_000.0) == model.Evidence("b", wait_ms=1000, wait_age_ms=29_000)
    assert board.evidence("b", 28_000.0) is None
    assert not board.merge("n3", batch(Signal("c", FAILED, 1, int(SIGNAL_LIFETIME_MS))), 0.0)


def test_expired_entries_are_removed_without_being_read():
    board = merge_failures(["n1"], "expired")
    board.merge("n1", batch(Signal("waiting", WAIT, 2, 0, 600_000)), 1.0)
    for number in range(3, 20):
        board.merge("n1", batch(Signal("current", FAILED, number, 0)), 2 * SIGNAL_LIFETIME_MS + number)
    assert len(board) == 2 and board.evidence("waiting", 3 * SIGNAL_LIFETIME_MS)


def test_a_served_call_cancels_the_failures_before_it():
    board = merge_failures(["n1", "n2", "n3"], age_ms=500)
    board.merge("n4", batch(Signal("a", SERVED, 1, 100)), 0.0)
    assert board.evidence("a", 0.0) == model.Evidence("a", served_ms=100)
    merge_failures(["n5"], board=board, age_ms=50)
    assert board.evidence("a", 0.0) == model.Evidence("a", 1, 50, 50, 100)


def test_one_observer_naming_ever_more_endpoints_does_not_evict_what_several_observed(monkeypatch):
    monkeypatch.setattr(boards, "MAX_ENDPOINTS", 50)
    board = merge_failures(["n1", "n2"], "confirmed")
    for number in range(1, 500):
        board.merge("noisy", batch(Signal(f"e{number}", FAILED, number, 0)), number / 100.0)
    assert len(board) == 50 and board.evidence("confirmed", 5.0).failed_by == 2


def test_a_reader_gets_each_change_once_waits_first_and_within_its_byte_limit():
    board = merge_failures(["n1"], "f1")
    merge_failures(["n1"], "f2", board=board)
    board.merge("n2", batch(Signal("s1", SERVED, 1, 0), Signal("w1", WAIT, 2, 0, 9000)), 0.0)
    evidence, cursor = board.changes_since(START_CURSOR, 0.0, AMPLE_BYTES)
    assert [each.endpoint for each in evidence] == ["w1", "s1", "f1", "f2"]
    assert board.changes_since(cursor, 0.0, AMPLE_BYTES) == ((), cursor)
    merge_failures(["n2"], "f1", board=board)
    evidence, cursor = board.changes_since(cursor, 0.0, AMPLE_BYTES)
    assert [(each.endpoint, each.failed_by) for each in evidence] == [("f1", 2)]
    seen, cursor, reads = [], START_CURSOR, 0
    while changes := board.changes_since(cursor, 0.0, 30):
        evidence, cursor = changes
        assert len(b"".join(map(model.encode, evidence))) <= 30
        seen += [each.endpoint for each in evidence]
        reads += 1
        if not evidence:
            break
    assert seen == ["w1", "s1", "f2", "f1"] and reads > 2


def test_an_observation_without_new_information_is_not_a_change():
    board = merge_failures(["n1", "n2"])
    _, cursor = board.changes_since(START_CURSOR, 0.0, AMPLE_BYTES)
    for number in range(2, 40):
        board.merge("n1", batch(Signal("a", FAILED, number, 0)), 100.0 * number)
    assert board.changes_since(cursor, 4000.0, AMPLE_BYTES)[0] == ()
    later = 5 * SIGNAL_LIFETIME_MS
    board.merge("n1", batch(Signal("a", FAILED, 41, 0)), later)
    changed = board.changes_since(cursor, later, AMPLE_BYTES)[0]
    assert [each.failed_by for each in changed] == [1], "a new failure"


def test_an_outbox_sends_what_is_new_and_not_expired():
    outbox = Outbox("incarnation", 0.0)
    outbox.record(100.0, "a", FAILED, 0.0)
    outbox.record(101.0, "a", FAILED, 0.0)
    outbox.record(102.0, "b", WAIT, 700_000.0)
    sent = outbox.batch(200.0, START_CURSOR, AMPLE_BYTES)
    assert sent.signals == (Signal("b", WAIT, 2, 98, model.MAX_WAIT_MS), Signal("a", FAILED, 1, 100))
    assert sent.incarnation_age_ms == 200 and sent.request_accepted
    assert outbox.batch(200.0, (2, 0, 1), AMPLE_BYTES).signals == ()
    outbox.record(700.0, "a", FAILED, 0.0)
    assert [each.sequence for each in outbox.batch(700.0, (2, 0, 1), AMPLE_BYTES).signals] == [3]
    late = outbox.batch(60_000.0, START_CURSOR, AMPLE_BYTES).signals
    assert [each.endpoint for each in late] == ["b"], "the sender was suspended meanwhile"


def test_an_outbox_keeps_the_byte_limit_of_a_batch_and_its_own_capacity():
    outbox = Outbox("incarnation", 0.0)
    for number in range(MAX_SIGNALS_PER_KIND + 50):
        outbox.record(1.0, f"e{number}", FAILED, 0.0)
    acknowledged, seen = START_CURSOR, []
    while signals := outbox.batch(2.0, acknowledged, 200).signals:
        assert sum(len(model.encode(each)) for each in signals) <= 200
        seen += [each.endpoint for each in signals]
        acknowledged = (0, 0, signals[-1].sequence)
    assert seen == [f"e{number}" for number in range(50, MAX_SIGNALS_PER_KIND + 50)]


def test_an_item_larger_than_the_byte_limit_is_sent_alone_and_blocks_nothing():
    long_name = "e" * 250
    outbox, board = Outbox("incarnation", 0.0), SignalTable()
    for endpoint in (long_name, "a"):
        outbox.record(1.0, endpoint, FAILED, 0.0)
        merge_failures(["n1"], endpoint, board=board)
    assert [each.endpoint for each in outbox.batch(2.0, START_CURSOR, 64).signals] == [long_name]
    assert [each.endpoint for each in outbox.batch(2.0, (0, 0, 1), 64).signals] == ["a"]
    evidence, cursor = board.changes_since(START_CURSOR, 0.0, 64)
    assert [each.endpoint for each in evidence] == [long_name]
    assert [each.endpoint for each in board.changes_since(cursor, 0.0, 64)[0]] == ["a"]


def test_one_exchange_with_the_default_settings_takes_at_most_500_bytes():
    """With two keepers polling each sender once a second this bounds the signals to 1 kB/s."""
    exchange, sizes = SignalExchange(*(f"n{number}" for number in range(8))), []
    exchange.rounds()
    for _ in range(20):
        for place, sender in enumerate(exchange.senders.values()):
            for number in range(200):
                sender.record_observation(f"s-5be2a07c-{place}-{number}", FAILED, 0.0)
        exchange.now += 1000.0
        request = exchange.relay.question("n1", exchange.now)
        sizes.append(len(request) + len(exchange.senders["n1"].respond(request)))
        exchange.rounds(1)
    assert 400 < max(sizes) <= 500


def test_a_request_is_accepted_only_by_its_addressed_process_and_while_it_is_fresh():
    request = SignalRequest(PROTOCOL_VERSION, START_CURSOR, "incarnation", 5000.0, 400.0)
    assert transit_delay_ms(request, "incarnation", 5403.0) == 3.0
    assert transit_delay_ms(request, "incarnation", 5400.0 + MAX_TRANSIT_DELAY_MS) == MAX_TRANSIT_DELAY_MS
    assert transit_delay_ms(request, "incarnation", 5401.0 + MAX_TRANSIT_DELAY_MS) is None
    unread = transit_delay_ms(request, "incarnation", 65_000.0)
    assert unread is None, "it lay unread while the sender was suspended"
    assert transit_delay_ms(request, "other", 5403.0) is None


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01\x02", model.encode([2, "life", 1, True, []])])
def test_invalid_messages_and_other_versions_raise_an_error(data):
    with pytest.raises(model.SignalError):
        model.decode_batch(data)
    with pytest.raises(model.SignalError):
        model.decode_request(data)


class SignalExchange:
    """One keeper's relay and some senders, with a clock set by the test."""

    def __init__(self, *names):
        self.now, self.relay = 0.0, Relay(PollConfig().signal_bytes)
        self.reports = {name: [] for name in names}
        self.senders = {name: self.start_sender(name) for name in names}

    def start_sender(self, name, incarnation="1"):
        sender = SignalParticipant(
            SignalSettings(), f"{name}/{incarnation}", lambda: self.now, self.reports[name].extend
        )
        sender.start()
        return sender

    def poll(self, name, request_ms=1.0, response_ms=1.0, lost=False, answers_as=None):
        """The relay polls one sender; lost: the response does not arrive."""
        request, sent_ms = self.relay.question(name, self.now), self.now
        self.now += request_ms
        sender = self.senders[name]
        response = wire.TrailResponse(
            name=answers_as or name,
            process=sender._incarnation,
            boot="",
            wall_ms=0.0,
            steady_ms=self.now,
            signals=sender.respond(request or b""),
        )
        self.now += response_ms
        if not lost:
            self.relay.handle_answer(name, name, response, sent_ms, self.now)

    def rounds(self, count=2):
        for _ in range(count):
            for name in self.senders:
                self.poll(name)


def test_an_observation_reaches_the_other_senders_once_with_its_age():
    exchange = SignalExchange("n1", "n2")
    exchange.rounds()
    exchange.senders["n1"].record_observation("a", FAILED, 0.0)
    exchange.now += 500.0
    exchange.rounds()
    (report,) = exchange.reports["n2"]
    assert (report.endpoint, report.failed_by) == ("a", 1) and 500.0 < report.last_ms < 510.0
    exchange.rounds(3)
    assert len(exchange.reports["n2"]) == 1
    assert exchange.senders["n2"].is_live()
    exchange.now += 4000.0
    assert not exchange.senders["n2"].is_live()


def test_evidence_is_sent_again_until_a_response_acknowledges_it():
    exchange = SignalExchange("n1", "n2")
    exchange.rounds()
    exchange.senders["n1"].record_observation("a", FAILED, 0.0)
    exchange.poll("n1")
    exchange.poll("n2", lost=True)
    exchange.poll("n2", request_ms=2 * MAX_TRANSIT_DELAY_MS)
    assert len(exchange.reports["n2"]) == 1, "the stale request was rejected"
    exchange.poll("n2")
    assert len(exchange.reports["n2"]) == 2
    exchange.poll("n2")
    assert len(exchange.reports["n2"]) == 2


def test_a_response_with_a_long_transit_is_discarded_and_requested_again():
    exchange = SignalExchange("n1", "n2")
    exchange.rounds()
    exchange.senders["n1"].record_observation("a", FAILED, 0.0)
    exchange.poll("n1", response_ms=2 * MAX_TRANSIT_DELAY_MS)
    assert exchange.relay.board.evidence("a", exchange.now) is None
    exchange.poll("n1")  # repeats the clock of the late response: rejected by the sender, too
    exchange.poll("n1")
    assert exchange.relay.board.evidence("a", exchange.now).failed_by == 1


def test_a_restarted_sender_gets_all_evidence_and_its_earlier_incarnation_no_longer_counts():
    exchange = SignalExchange("n1", "n2", "n3")
    exchange.rounds()
    exchange.senders["n1"].record_observation("a", FAILED, 0.0)
    exchange.senders["n3"].record_observation("a", FAILED, 0.0)
    exchange.rounds()
    assert exchange.relay.board.evidence("a", exchange.now).failed_by == 2
    exchange.now += 50.0
    exchange.reports["n1"].clear()
    exchange.senders["n1"] = exchange.start_sender("n1", "2")
    exchange.poll("n1")
    assert not exchange.reports["n1"]
    assert exchange.relay.board.evidence("a", exchange.now).failed_by == 1
    exchange.poll("n1")
    assert [each.failed_by for each in exchange.reports["n1"]] == [1]


def test_a_sender_that_answers_under_another_name_or_without_signals_is_left_out():
    exchange = SignalExchange("n1", "n2")
    exchange.rounds()
    exchange.senders["n1"].record_observation("a", FAILED, 0.0)
    exchange.poll("n1", answers_as="n9")
    assert exchange.relay.question("n1", exchange.now) is None
    assert exchange.relay.board.evidence("a", exchange.now) is None
    inactive = SignalParticipant(SignalSettings(), "w", lambda: exchange.now, print)
    assert inactive.respond(b"") == b"" and inactive.respond(b"spoilt") == b""


def test_a_request_that_cannot_be_decoded_changes_nothing():
    exchange = SignalExchange("n1")
    exchange.rounds()
    exchange.now += 60_000.0
    assert model.decode_batch(exchange.senders["n1"].respond(b"spoilt")).request_accepted is False
    assert not exchange.senders["n1"].is_live()
    assert ("signals_refused", 1) in exchange.senders["n1"].metrics()
