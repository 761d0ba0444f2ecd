"""Signals between senders: the messages, what a sender offers, what a keeper merges and passes on."""

import random

import pytest

from birchstack.fleet import wire
from birchstack.fleet.settings import Signals
from birchstack.fleet.signalling import Signalling
from birchstack.interface import MAX_OBSERVERS, SignalKind
from birchstack.keeper.config import PollConfig
from birchstack.keeper.relay import Relay
from birchstack.signals import board as boards
from birchstack.signals import model
from birchstack.signals.board import START, Board
from birchstack.signals.echo import MOST_DELAY_MS, delay_ms
from birchstack.signals.model import LIFETIME_MS, VERSION, Question, Signal, SignalBatch
from birchstack.signals.outbox import MOST, Outbox

WAIT, SERVED, FAILED = SignalKind
ROOM = 100_000


def batch(*signals, life="life", life_ms=60_000):
    return SignalBatch(VERSION, life, life_ms, True, signals)


def failed(observers, endpoint="a", now=0.0, board=None, age_ms=0):
    board = Board() if board is None else board
    for observer in observers:
        board.merge(observer, batch(Signal(endpoint, FAILED, 1, age_ms)), now)
    return board


def drawn(chance):
    """What some senders told: whole batches, one for each life of each."""
    told = []
    for observer in range(chance.randint(2, 8)):
        for life in range(chance.randint(1, 2)):
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
            told.append((f"n{observer}", batch(*signals, life=f"{life}", life_ms=90_000 - 1000 * life)))
    return told


def known(board, now):
    return [board.evidence(endpoint, now) for endpoint in "abc"]


def test_merging_in_any_order_and_again_comes_to_the_same():
    chance = random.Random("merging")
    for _ in range(300):
        told, ends = drawn(chance), set()
        for _ in range(4):
            board = Board()
            again = [*told, *chance.sample(told, len(told) // 2)]
            chance.shuffle(again)
            for observer, each in again:
                board.merge(observer, each, 1e6)
            ends.add(str(known(board, 1e6)))
        assert len(ends) == 1


def test_merging_beyond_the_most_observers_keeps_the_newest_in_any_order():
    chance = random.Random("many")
    ages = {f"n{at:02}": 100 * at for at in range(MAX_OBSERVERS + 9)}
    for _ in range(50):
        board, names = Board(), [*ages] * 2
        chance.shuffle(names)
        for name in names:
            board.merge(name, batch(Signal("a", FAILED, 1, ages[name])), 1e6)
        assert board.evidence("a", 1e6) == model.Evidence("a", MAX_OBSERVERS, 100 * (MAX_OBSERVERS - 1), 0)


def test_one_observer_counts_once_however_much_it_says():
    board = Board()
    for number in range(1, 60):
        board.merge("liar", batch(Signal("a", FAILED, number, 0)), 50.0 * number)
    assert board.evidence("a", 3000.0).failed_by == 1


def test_what_a_former_life_said_counts_no_more_and_is_not_taken_again():
    board = failed(["n1", "n2"])
    assert board.evidence("a", 0.0).failed_by == 2
    board.merge("n1", batch(life="next", life_ms=10), 1000.0)
    assert board.evidence("a", 1000.0).failed_by == 1
    late = batch(Signal("a", FAILED, 9, 0), Signal("b", FAILED, 10, 0), life_ms=61_000)
    assert not board.merge("n1", late, 1000.0)
    assert board.evidence("a", 1000.0).failed_by == 1 and board.evidence("b", 1000.0) is None


def test_a_signal_ends_by_its_age_and_a_wait_by_its_end():
    board = failed(["n1"], age_ms=4000)
    board.merge("n2", batch(Signal("b", WAIT, 1, 2000, 30_000)), 0.0)
    assert board.evidence("a", LIFETIME_MS - 4001.0) and not board.evidence("a", LIFETIME_MS - 3999.0)
    assert board.evidence("b", 27_000.0) == model.Evidence("b", wait_ms=1000, wait_age_ms=29_000)
    assert board.evidence("b", 28_000.0) is None
    assert not board.merge("n3", batch(Signal("c", FAILED, 1, int(LIFETIME_MS))), 0.0)


def test_what_has_ended_is_forgotten_though_nobody_asks_for_it():
    board = failed(["n1"], "ended")
    board.merge("n1", batch(Signal("shut", WAIT, 2, 0, 600_000)), 1.0)
    for number in range(3, 20):
        board.merge("n1", batch(Signal("now", FAILED, number, 0)), 2 * LIFETIME_MS + number)
    assert len(board) == 2 and board.evidence("shut", 3 * LIFETIME_MS)


def test_a_served_call_ends_the_failures_before_it():
    board = failed(["n1", "n2", "n3"], age_ms=500)
    board.merge("n4", batch(Signal("a", SERVED, 1, 100)), 0.0)
    assert board.evidence("a", 0.0) == model.Evidence("a", served_ms=100)
    failed(["n5"], board=board, age_ms=50)
    assert board.evidence("a", 0.0) == model.Evidence("a", 1, 50, 50, 100)


def test_one_that_names_ever_more_endpoints_does_not_drive_out_what_several_saw(monkeypatch):
    monkeypatch.setattr(boards, "MOST_ENDPOINTS", 50)
    board = failed(["n1", "n2"], "seen")
    for number in range(1, 500):
        board.merge("liar", batch(Signal(f"e{number}", FAILED, number, 0)), number / 100.0)
    assert len(board) == 50 and board.evidence("seen", 5.0).failed_by == 2


def test_a_reader_is_told_each_change_once_waits_first_and_no_more_than_it_has_room_for():
    board = failed(["n1"], "f1")
    failed(["n1"], "f2", board=board)
    board.merge("n2", batch(Signal("s1", SERVED, 1, 0), Signal("w1", WAIT, 2, 0, 9000)), 0.0)
    told, after = board.news(START, 0.0, ROOM)
    assert [each.endpoint for each in told] == ["w1", "s1", "f1", "f2"]
    assert board.news(after, 0.0, ROOM) == ((), after)
    failed(["n2"], "f1", board=board)
    told, after = board.news(after, 0.0, ROOM)
    assert [(each.endpoint, each.failed_by) for each in told] == [("f1", 2)]
    seen, after, times = [], START, 0
    while told := board.news(after, 0.0, 30):
        told, after = told
        assert len(b"".join(map(model.encode, told))) <= 30
        seen += [each.endpoint for each in told]
        times += 1
        if not told:
            break
    assert seen == ["w1", "s1", "f2", "f1"] and times > 2


def test_an_observation_that_tells_nothing_new_is_no_news():
    board = failed(["n1", "n2"])
    _, after = board.news(START, 0.0, ROOM)
    for number in range(2, 40):
        board.merge("n1", batch(Signal("a", FAILED, number, 0)), 100.0 * number)
    assert board.news(after, 4000.0, ROOM)[0] == ()
    later = 5 * LIFETIME_MS
    board.merge("n1", batch(Signal("a", FAILED, 41, 0)), later)
    assert [each.failed_by for each in board.news(after, later, ROOM)[0]] == [1], "a new trouble"


def test_a_sender_offers_what_is_new_and_not_too_old():
    outbox = Outbox("life", 0.0)
    outbox.note(100.0, "a", FAILED, 0.0)
    outbox.note(101.0, "a", FAILED, 0.0)
    outbox.note(102.0, "b", WAIT, 700_000.0)
    told = outbox.batch(200.0, START, ROOM)
    assert told.signals == (Signal("b", WAIT, 2, 98, model.LONGEST_WAIT_MS), Signal("a", FAILED, 1, 100))
    assert told.life_ms == 200 and told.heard
    assert outbox.batch(200.0, (2, 0, 1), ROOM).signals == ()
    outbox.note(700.0, "a", FAILED, 0.0)
    assert [each.sequence for each in outbox.batch(700.0, (2, 0, 1), ROOM).signals] == [3]
    assert [each.endpoint for each in outbox.batch(60_000.0, START, ROOM).signals] == ["b"], "stood still"


def test_a_sender_offers_no_more_than_its_room_and_keeps_no_more_than_its_most():
    outbox = Outbox("life", 0.0)
    for number in range(MOST + 50):
        outbox.note(1.0, f"e{number}", FAILED, 0.0)
    taken, seen = START, []
    while signals := outbox.batch(2.0, taken, 200).signals:
        assert sum(len(model.encode(each)) for each in signals) <= 200
        seen += [each.endpoint for each in signals]
        taken = (0, 0, signals[-1].sequence)
    assert seen == [f"e{number}" for number in range(50, MOST + 50)]


def test_one_that_is_longer_than_the_room_holds_nothing_up():
    long = "e" * 250
    outbox, board = Outbox("life", 0.0), Board()
    for endpoint in (long, "a"):
        outbox.note(1.0, endpoint, FAILED, 0.0)
        failed(["n1"], endpoint, board=board)
    assert [each.endpoint for each in outbox.batch(2.0, START, 64).signals] == [long]
    assert [each.endpoint for each in outbox.batch(2.0, (0, 0, 1), 64).signals] == ["a"]
    told, after = board.news(START, 0.0, 64)
    assert [each.endpoint for each in told] == [long]
    assert [each.endpoint for each in board.news(after, 0.0, 64)[0]] == ["a"]


def test_with_the_defaults_and_two_keepers_it_is_a_kilobyte_a_second_at_most():
    pair, sizes = Pair(*(f"n{number}" for number in range(8))), []
    pair.rounds()
    for _ in range(20):
        for place, sender in enumerate(pair.senders.values()):
            for number in range(200):
                sender.observed(f"s-5be2a07c-{place}-{number}", FAILED, 0.0)
        pair.now += 1000.0
        question = pair.relay.question("n1", pair.now)
        sizes.append(len(question) + len(pair.senders["n1"].answer(question)))
        pair.rounds(1)
    assert 400 < max(sizes) <= 500


def test_a_question_counts_only_for_the_process_that_it_was_meant_for_and_while_it_is_fresh():
    question = Question(VERSION, START, "life", 5000.0, 400.0)
    assert delay_ms(question, "life", 5403.0) == 3.0
    assert delay_ms(question, "life", 5400.0 + MOST_DELAY_MS) == MOST_DELAY_MS
    assert delay_ms(question, "life", 5401.0 + MOST_DELAY_MS) is None
    assert delay_ms(question, "life", 65_000.0) is None, "it lay there while the sender stood still"
    assert delay_ms(question, "other", 5403.0) is None


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01\x02", model.encode([2, "life", 1, True, []])])
def test_bytes_that_are_no_message_of_this_version_are_told_so(data):
    with pytest.raises(model.SignalError):
        model.decode_batch(data)
    with pytest.raises(model.SignalError):
        model.decode_question(data)


class Pair:
    """One keeper's relay and some senders, with a clock by hand."""

    def __init__(self, *names):
        self.now, self.relay = 0.0, Relay(PollConfig().signal_bytes)
        self.heard = {name: [] for name in names}
        self.senders = {name: self.made(name) for name in names}

    def made(self, name, life="1"):
        made = Signalling(Signals(), f"{name}/{life}", lambda: self.now, self.heard[name].extend)
        made.begins()
        return made

    def exchange(self, name, there_ms=1.0, back_ms=1.0, lost=False, answers_as=None):
        question, asked_ms = self.relay.question(name, self.now), self.now
        self.now += there_ms
        sender = self.senders[name]
        piece = wire.Piece(
            name=answers_as or name,
            process=sender._life,
            boot="",
            wall_ms=0.0,
            steady_ms=self.now,
            signals=sender.answer(question or b""),
        )
        self.now += back_ms
        if not lost:
            self.relay.handle_answer(name, name, piece, asked_ms, self.now)

    def rounds(self, many=2):
        for _ in range(many):
            for name in self.senders:
                self.exchange(name)


def test_what_one_sender_sees_the_others_are_told_with_its_age():
    pair = Pair("n1", "n2")
    pair.rounds()
    pair.senders["n1"].observed("a", FAILED, 0.0)
    pair.now += 500.0
    pair.rounds()
    (report,) = pair.heard["n2"]
    assert (report.endpoint, report.failed_by) == ("a", 1) and 500.0 < report.last_ms < 510.0
    pair.rounds(3)
    assert len(pair.heard["n2"]) == 1
    assert pair.senders["n2"].live()
    pair.now += 4000.0
    assert not pair.senders["n2"].live()


def test_evidence_comes_again_until_an_answer_says_that_it_was_heard():
    pair = Pair("n1", "n2")
    pair.rounds()
    pair.senders["n1"].observed("a", FAILED, 0.0)
    pair.exchange("n1")
    pair.exchange("n2", lost=True)
    pair.exchange("n2", there_ms=2 * MOST_DELAY_MS)
    assert len(pair.heard["n2"]) == 1, "the late one was not believed"
    pair.exchange("n2")
    assert len(pair.heard["n2"]) == 2
    pair.exchange("n2")
    assert len(pair.heard["n2"]) == 2


def test_an_answer_that_was_long_on_its_way_is_not_believed_and_asked_for_again():
    pair = Pair("n1", "n2")
    pair.rounds()
    pair.senders["n1"].observed("a", FAILED, 0.0)
    pair.exchange("n1", back_ms=2 * MOST_DELAY_MS)
    assert pair.relay.board.evidence("a", pair.now) is None
    pair.exchange("n1")  # by the clock of the late answer: not believed there either
    pair.exchange("n1")
    assert pair.relay.board.evidence("a", pair.now).failed_by == 1


def test_a_new_process_behind_a_door_is_told_all_that_is_known_and_its_former_life_counts_no_more():
    pair = Pair("n1", "n2", "n3")
    pair.rounds()
    pair.senders["n1"].observed("a", FAILED, 0.0)
    pair.senders["n3"].observed("a", FAILED, 0.0)
    pair.rounds()
    assert pair.relay.board.evidence("a", pair.now).failed_by == 2
    pair.now += 50.0
    pair.heard["n1"].clear()
    pair.senders["n1"] = pair.made("n1", "2")
    pair.exchange("n1")
    assert not pair.heard["n1"] and pair.relay.board.evidence("a", pair.now).failed_by == 1
    pair.exchange("n1")
    assert [each.failed_by for each in pair.heard["n1"]] == [1]


def test_a_door_that_answers_under_another_name_or_offers_none_takes_no_part():
    pair = Pair("n1", "n2")
    pair.rounds()
    pair.senders["n1"].observed("a", FAILED, 0.0)
    pair.exchange("n1", answers_as="n9")
    assert pair.relay.question("n1", pair.now) is None
    assert pair.relay.board.evidence("a", pair.now) is None
    waiting = Signalling(Signals(), "w", lambda: pair.now, print)
    assert waiting.answer(b"") == b"" and waiting.answer(b"spoilt") == b""


def test_a_question_that_cannot_be_read_changes_nothing():
    pair = Pair("n1")
    pair.rounds()
    pair.now += 60_000.0
    assert model.decode_batch(pair.senders["n1"].answer(b"spoilt")).heard is False
    assert not pair.senders["n1"].live() and ("signals_refused", 1) in pair.senders["n1"].figures()
