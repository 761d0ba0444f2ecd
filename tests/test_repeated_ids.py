"""A document's id stays known while its sender owes it and until its time is over, whatever else comes."""

import os

import pytest
from test_ledger import disk_usage, start_standby
from test_node import FakeRequest, node  # noqa: F401  (node is a fixture)

from birchstack.net.ended import EndedDocuments
from birchstack.net.ledger import Ledger
from birchstack.net.ledger_records import encode
from birchstack.net.machine import Folder
from birchstack.net.submission import ACCEPTED, REJECTED, UNAVAILABLE

REFUSED = 5000  # more than the refusals that a sender remembers
LIMIT = 3_000_000


def submit(node, request):  # noqa: F811
    node._events.append((node._accept, request))
    node._turn()
    return request.replies


def refuse_many(node):  # noqa: F811
    """Turns many other documents away; each has too little time left."""
    for number in range(REFUSED):
        assert submit(node, FakeRequest(f"bad-{number}", remaining_ms=40.0))[0][0] == REJECTED


# A repeat of an open id was taken on as new after 4,096 other answers: its document lost, the repeat sent
def test_an_owed_document_keeps_its_id_after_many_other_answers(node):  # noqa: F811
    async def story():
        assert submit(node, FakeRequest("d")) == [(ACCEPTED, 0.0)]
        first = node._ledger.entries["d"]
        refuse_many(node)
        foreign = FakeRequest("d")
        foreign.body = b"rubbish"
        assert submit(node, foreign) == [(UNAVAILABLE, 3000.0)]
        assert submit(node, FakeRequest("d")) == [(ACCEPTED, 0.0)]
        assert node._ledger.entries["d"] is first and first.body == b"x" and len(node._core._held) == 1

    node.run(story)


# The same for a document that was delivered: its effect happened twice
@pytest.mark.parametrize("restarted", [False, True])
def test_an_ended_document_is_not_taken_on_again_before_its_expiry(node, restarted):  # noqa: F811
    async def story():
        submit(node, FakeRequest("d"))
        node._ledger.finish(node._ledger.entries["d"])
        node._enqueue(node._core.withdrawn, "d")
        refuse_many(node)
        if restarted:  # from a file that was compacted meanwhile
            assert node._ledger.compact()
            node._ledger.close()
            node._ledger = Ledger(node._folder, LIMIT)
            node._refusals.clear()
        assert submit(node, FakeRequest("d")) == [(ACCEPTED, 0.0)]
        assert not node._ledger.entries and not node._core._held

    node.run(story)


# A holder adopted a document that it had itself delivered, from the file of a standby that was killed
@pytest.mark.parametrize("adopted", ["while running", "at the start"])
@pytest.mark.parametrize("compacted", [False, True])
def test_an_ended_document_is_not_adopted_from_the_file_of_a_standby(tmp_path, adopted, compacted):
    holder = Ledger(Folder(str(tmp_path)), LIMIT)
    holder.finish(holder.add("d", "pay", 3, None, 9000.0, b"body"))
    _, kill = start_standby(tmp_path, "beef", "d")
    kill()
    assert not compacted or holder.compact()
    if adopted == "while running":
        assert holder.adopt_standby() == []
    else:
        holder = Ledger(Folder(str(tmp_path)), LIMIT)
    assert not holder.entries and "d" in holder.remembered
    assert os.listdir(tmp_path) == ["ledger"]


def test_ended_ids_are_forgotten_after_their_expiry_and_leave_nothing_in_memory_or_on_disk(tmp_path):
    ledger = Ledger(Folder(str(tmp_path)), LIMIT)
    for number in range(3000):
        ledger.finish(ledger.add(f"d{number}", "sync", 3, None, 9000.0 + number, b""))
    ledger.remembered.forget(9999.0)
    assert len(ledger.remembered) == 3000
    ledger.remembered.forget(11_000.0)
    assert "d999" not in ledger.remembered and "d2999" in ledger.remembered
    ledger.remembered.forget(14_000.0)
    assert (
        not len(ledger.remembered)
        and not ledger.remembered.record_bytes
        and ledger.remembered.records() == []
    )
    assert ledger.compact() and os.path.getsize(tmp_path / "ledger") == 0


def test_the_disk_limit_holds_with_many_ended_ids(tmp_path):
    ledger, usage, accepted = Ledger(Folder(str(tmp_path)), LIMIT), [], 0
    for number in range(40_000):
        if not ledger.has_space([1000]):
            break
        accepted += 1
        ledger.finish(ledger.add(f"{number:036}", "sync", 3, None, 9000.0, b"x" * 1000))
        if not number % 50:
            usage.append(disk_usage(tmp_path))
    assert accepted > 15_000 and max(usage) <= LIMIT
    assert len(Ledger(Folder(str(tmp_path)), LIMIT).remembered) == accepted


def test_a_record_of_ended_ids_is_no_longer_than_the_space_kept_for_it():
    ended = EndedDocuments()
    for number in range(100):
        ended.add("i" * (1 + number % 128), 1.7e12 + number * 100.0)
        ended.add(f"id-{number}", 1.7e12 + number * 100.0)
    written = sum(len(encode(fields)) for fields in ended.records())
    assert written <= ended.record_bytes
