"""The holder takes over, record by record, what standby processes accept while they are alive."""

import os

import pytest
from test_ledger import kill, take

from birchstack.net import machine as module
from birchstack.net.ledger import Ledger
from birchstack.net.machine import Folder

LIMIT = 3_000_000


def start(path, name=""):
    """Starts a process; returns its ledger, and its folder, by which kill() ends it."""
    folder = Folder(str(path))
    return Ledger(folder, LIMIT, standby_name=name), folder


def accept(ledger, doc_id, accepted_at, body=b"body"):
    return ledger.add(doc_id, "turn", 3, "key", 9000.0, body, accepted_at=accepted_at)


def claim(holder):
    holder.find_standby()
    return [entry.id for entry in holder.claim_standby()]


def test_documents_are_claimed_once_in_the_order_of_their_acceptance(tmp_path):
    holder, holder_folder = start(tmp_path)
    (first, _), (second, _) = start(tmp_path, "beef"), start(tmp_path, "cafe")
    for number in range(6):
        accept((second, first)[number % 2], f"d{number}", 10.0 + number)
    assert claim(holder) == [f"d{number}" for number in range(6)] and claim(holder) == []
    assert [entry.id for entry in first.drop_claimed()] == ["d1", "d3", "d5"] and not first.entries
    accept(first, "d6", 20.0)
    assert first.compact()  # its file is another one from now on
    accept(first, "d7", 21.0)
    assert claim(holder) == ["d6", "d7"]
    holder.finish(holder.entries["d6"])
    kill(holder_folder)
    after = Ledger(Folder(str(tmp_path)), LIMIT)  # another process takes over while both still wait
    assert [*after.entries] == ["d0", "d1", "d2", "d3", "d4", "d5", "d7"] and claim(after) == []
    assert all(entry.body == b"body" for entry in after.entries.values())
    assert second.knows("d6") is False and second.drop_claimed() and second.knows("d6") and after.knows("d6")


def test_a_takeover_keeps_the_order_of_documents_that_another_waiting_process_accepted(tmp_path):
    (holder, holder_folder), (first, _), (second, _) = (
        start(tmp_path, each) for each in ("", "beef", "cafe")
    )
    take(holder, "d0")
    for number in range(1, 7):  # the holder hangs: it claims nothing
        accept((second, first)[number % 2], f"d{number}", 10.0 + number)
    kill(holder_folder)
    first.close()
    for _ in range(2):  # the second time after another kill
        after = Ledger(Folder(str(tmp_path)), LIMIT)
        assert [*after.entries] == [f"d{number}" for number in range(7)] and claim(after) == []
    assert len(second.drop_claimed()) == 3


@pytest.mark.parametrize("ended", [False, True])
def test_the_file_of_a_process_that_waits_for_long_stays_small(tmp_path, ended):
    (holder, _), (standby, _) = start(tmp_path), start(tmp_path, "beef")
    for number in range(4000):
        accept(standby, f"d{number}", 10.0 + number, b"")
        if number % 40 == 39:
            assert len(claim(holder)) == 40
            for entry in [*holder.entries.values()] if ended else ():
                holder.finish(entry)
            assert not ended or number % 400 or holder.compact()
            assert len(standby.drop_claimed()) == 40 and not standby.entries
            assert os.path.getsize(tmp_path / "ledger-next-beef") < 150_000
    assert not ended or os.path.getsize(tmp_path / "ledger") < 500_000


def test_a_body_stays_while_one_process_needs_it_and_no_longer(tmp_path):
    (holder, _), (standby, _) = start(tmp_path), start(tmp_path, "beef")
    take(holder, "same", b"holder's")
    accept(standby, "same", 1.0, b"standby's")
    accept(standby, "new", 2.0, b"new")
    assert claim(holder) == ["new"] and len(standby.drop_claimed()) == 2
    assert holder.entries["same"].body == b"holder's"
    assert sum(name.startswith("body-") for name in os.listdir(tmp_path)) == 2
    for entry in [*holder.entries.values()]:
        holder.finish(entry)
    assert not [name for name in os.listdir(tmp_path) if name.startswith("body-")]


def test_documents_that_a_full_disk_keeps_from_being_claimed_are_claimed_later(tmp_path, monkeypatch):
    (holder, _), (standby, _), write = start(tmp_path), start(tmp_path, "beef"), os.write
    accept(standby, "a", 1.0)
    accept(standby, "b", 2.0)
    with monkeypatch.context() as full:
        full.setattr(module.os, "write", lambda handle, data: write(handle, data[:-9]))
        try:
            claim(holder)
        except OSError:
            assert not holder.entries
        else:
            raise AssertionError("claimed on a full disk")
    assert claim(holder) == ["a", "b"] and [*Ledger(Folder(str(tmp_path)), LIMIT).entries] == ["a", "b"]


def test_a_record_in_the_middle_of_its_write_is_read_once_it_is_whole(tmp_path):
    (holder, _), (standby, _) = start(tmp_path), start(tmp_path, "beef")
    accept(standby, "a", 1.0)
    whole = (tmp_path / "ledger-next-beef").read_bytes()
    for size in (20, len(whole) - 10):
        os.truncate(tmp_path / "ledger-next-beef", size)
        assert claim(holder) == []
        (tmp_path / "ledger-next-beef").write_bytes(whole)
    assert claim(holder) == ["a"]


def test_a_refused_document_whose_record_was_cut_off_is_not_claimed(tmp_path, monkeypatch):
    (holder, _), (standby, _), write = start(tmp_path), start(tmp_path, "beef"), os.write
    for cut in range(1, 110):
        monkeypatch.setattr(module.os, "write", lambda handle, data, cut=cut: write(handle, data[:-cut]))
        try:
            accept(standby, f"d{cut}", 1.0)
        except OSError:
            continue
        raise AssertionError("accepted on a full disk")
    monkeypatch.setattr(module.os, "write", write)
    accept(standby, "last", 2.0)
    assert claim(holder) == ["last"]
