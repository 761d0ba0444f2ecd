"""What is owed outlasts the process; every process here ends without a word, as by SIGKILL."""

import os

import pytest

from birchstack.net import machine as module
from birchstack.net.ledger import Ledger, round_up_to_blocks
from birchstack.net.machine import Folder


def used(folder):
    return sum(round_up_to_blocks(entry.stat().st_size) for entry in os.scandir(folder))


def take(ledger, doc_id="d", body=b"body"):
    return ledger.add(doc_id, "sync", 3, None, 9000.0, body)


def test_an_empty_folder_is_normal(tmp_path):
    assert not Ledger(Folder(str(tmp_path)), 3_000_000).entries


def test_a_document_comes_back_with_its_past_and_in_order(tmp_path):
    ledger = Ledger(Folder(str(tmp_path)), 3_000_000)
    for doc_id in "zab":
        take(ledger, doc_id, doc_id.encode() * 3)
    owed = ledger.entries["a"]
    for doubt in (True, False):
        ledger.record_transmission(owed, "az", 100.0)
        ledger.record_outcome(owed, doubt, True)
    ledger.record_transmission(owed, "bz", 200.0)  # and this one is out at the end
    ledger.finish(ledger.entries["b"])
    for _ in range(2):  # the second time from what the first wrote anew
        again = Ledger(Folder(str(tmp_path)), 3_000_000)
        assert [*again.entries] == ["z", "a"]
        back = again.entries["a"]
        assert (back.sent, back.failed, back.body, back.expiry, back.in_flight) == (
            3,
            2,
            b"aaa",
            9000.0,
            None,
        )
        assert back.in_doubt == [("az", 100.0), ("bz", 200.0)]


@pytest.mark.parametrize("cut", [1, 9, 30])
def test_a_torn_last_record_is_skipped_and_does_not_spoil_the_next(tmp_path, cut):
    ledger = Ledger(Folder(str(tmp_path)), 3_000_000)
    take(ledger, "a")
    take(ledger, "b")
    with open(tmp_path / "ledger", "r+b") as file:
        file.truncate(os.path.getsize(tmp_path / "ledger") - cut)
    take(ledger, "c")  # as a process would that survived a full disk
    assert [*Ledger(Folder(str(tmp_path)), 3_000_000).entries] == ["a", "c"]


def test_a_notice_is_owed_until_it_is_known_and_its_body_is_not_kept(tmp_path):
    ledger = Ledger(Folder(str(tmp_path)), 3_000_000)
    ledger.record_notice(take(ledger), "bounced", 250.0)
    assert os.listdir(tmp_path) == ["ledger"]
    again = Ledger(Folder(str(tmp_path)), 3_000_000)
    assert again.entries["d"].notice == ("bounced", 250.0)
    again.finish(again.entries["d"])
    last = Ledger(Folder(str(tmp_path)), 3_000_000)
    assert not last.entries and "d" in last.ended


def test_a_body_without_its_record_goes_and_a_record_without_its_body_is_owed_an_end(tmp_path):
    ledger = Ledger(Folder(str(tmp_path)), 3_000_000)
    take(ledger, "a")
    take(ledger, "b")
    os.unlink(tmp_path / "body-0")
    (tmp_path / "body-77").write_bytes(b"x")
    (tmp_path / "ledger.new").write_bytes(b"half")
    again = Ledger(Folder(str(tmp_path)), 3_000_000)
    assert again.entries["a"].notice == ("dead", 0.0) and again.entries["b"].notice is None
    assert sorted(os.listdir(tmp_path)) == ["body-1", "ledger"]


def test_the_limit_holds_with_the_largest_bodies_and_while_the_file_is_written_anew(tmp_path, monkeypatch):
    limit, most = 3_000_000, []
    ledger = Ledger(Folder(str(tmp_path)), limit)
    monkeypatch.setattr(
        module.os, "rename", lambda old, new: (most.append(used(tmp_path)), os.replace(old, new))
    )
    for number in range(4000):
        if not ledger.has_space([65536]):
            ledger.finish(next(iter(ledger.entries.values())))
            continue
        owed = take(ledger, f"{number:036}", b"x" * 65536)
        for _ in range(4):
            ledger.record_transmission(owed, "zone", 1.0)
            ledger.record_outcome(owed, True, True)
        most.append(used(tmp_path))
    assert len(ledger.entries) >= 40 and max(most) <= limit and len(most) > 2000
    assert len(Ledger(Folder(str(tmp_path)), limit).entries) == len(ledger.entries)


def test_what_cannot_be_kept_is_not_owed(tmp_path, monkeypatch):
    ledger = Ledger(Folder(str(tmp_path)), 3_000_000)

    def full(*words):
        raise OSError("no space")

    monkeypatch.setattr(module.os, "write", full)
    with pytest.raises(OSError):
        take(ledger)
    assert not ledger.entries and os.listdir(tmp_path) == ["ledger"]


@pytest.mark.parametrize("then", ["written", "not written", "written anew"])
def test_an_outcome_that_a_full_disk_lost_leaves_its_call_in_doubt(tmp_path, monkeypatch, then):
    ledger = Ledger(Folder(str(tmp_path)), 3_000_000)
    owed, write = take(ledger), os.write
    ledger.record_transmission(owed, "az", 100.0)
    monkeypatch.setattr(module.os, "write", lambda *words: 0)
    ledger.record_outcome(owed, True, True)  # it may have run
    monkeypatch.setattr(module.os, "write", write)
    if then == "written":
        ledger.record_transmission(owed, "bz", 900.0)
    ledger.record_outcome(owed, False, False)  # and this one surely not
    assert owed.in_doubt == [("az", 100.0)]
    if then == "written anew":
        assert ledger.compact()
    back = Ledger(Folder(str(tmp_path)), 3_000_000).entries["d"]
    assert (back.sent, back.in_doubt) == (2, [("az", 100.0)])


def test_a_call_that_is_out_while_the_file_is_written_anew_counts_from_its_writing(tmp_path):
    ledger = Ledger(Folder(str(tmp_path)), 3_000_000)
    owed = take(ledger)
    ledger.record_transmission(owed, "az", 100.0)
    ledger.record_outcome(owed, True, True)
    ledger.record_transmission(owed, "bz", 900.25)
    assert ledger.compact()
    assert Ledger(Folder(str(tmp_path)), 3_000_000).entries["d"].in_doubt == [("az", 100.0), ("bz", 900.25)]


def test_a_process_that_waits_writes_apart_and_the_next_holder_takes_both_up(tmp_path):
    folder = Folder(str(tmp_path))
    holder = Ledger(folder, 3_000_000)
    take(holder, "old", b"old body")
    holder.record_wait("s-1", 5000.0)
    waiting = Ledger(folder, 3_000_000, standby_name="beef")
    take(waiting, "new", b"new body")
    assert [*holder.entries] == ["old"] and [*waiting.entries] == ["new"]  # neither reads the other's
    assert not waiting.waits
    holder.record_wait("s-1", 4000.0)  # an earlier end does not shorten a wait
    holder.close()
    waiting.close()
    after = Ledger(folder, 3_000_000)  # the one that waited, once it holds the folder
    assert [*after.entries] == ["new", "old"] and after.waits == {"s-1": 5000.0}
    assert (after.entries["new"].body, after.entries["old"].body) == (b"new body", b"old body")
    assert not [name for name in os.listdir(tmp_path) if name.startswith("ledger-next")]
    after.compact()
    assert Ledger(folder, 3_000_000).waits == {"s-1": 5000.0}


def killed(folder):
    """The process of this folder ends: its locks are free."""
    for handle in folder._locks.values():
        os.close(handle)


def waiting(path, name, doc_id):
    """A process that waits, with one document. Returns its ledger and what ends it as a kill would."""
    folder = Folder(str(path))
    ledger = Ledger(folder, 3_000_000, standby_name=name)
    take(ledger, doc_id, doc_id.encode())

    return ledger, lambda: killed(folder)


def left(path):
    return sorted(name for name in os.listdir(path) if not name.startswith("body-"))


def test_what_a_process_that_waited_left_is_taken_up_by_the_one_that_holds_once_it_has_ended(tmp_path):
    holder = Ledger(Folder(str(tmp_path)), 3_000_000)
    take(holder, "old")
    _, first_ends = waiting(tmp_path, "beef", "new")
    second, _ = waiting(tmp_path, "cafe", "newer")  # has a file and bodies of its own
    assert holder.adopt_standby() == [] and holder.has_standby()  # both live
    first_ends()
    assert [(owed.id, owed.body, owed.recovered) for owed in holder.adopt_standby()] == [
        ("new", b"new", True)
    ]
    assert holder.adopt_standby() == [] and [*holder.entries] == ["old", "new"] and holder.has_standby()
    assert left(tmp_path) == ["ledger", "ledger-next-cafe", "ledger-next-cafe.lock"]
    holder.finish(holder.entries["new"])
    after = Ledger(Folder(str(tmp_path)), 3_000_000)  # another takes the folder over, and cafe still waits
    assert [*after.entries] == ["old"] and after.has_standby()
    second.close()
    last = Ledger(Folder(str(tmp_path)), 3_000_000)
    assert last.entries["newer"].body == b"newer" and left(tmp_path) == ["ledger"]


@pytest.mark.parametrize("taken_up", ["while it runs", "at its start"])
def test_a_file_that_was_taken_up_and_cannot_be_removed_is_not_taken_up_again(
    tmp_path, monkeypatch, taken_up
):
    folder, unlink = Folder(str(tmp_path)), os.unlink
    holder = Ledger(folder, 3_000_000)
    waiting(tmp_path, "beef", "new")[1]()

    def fails(path):
        if "ledger-next" in str(path):
            raise OSError("the disk fails")
        unlink(path)

    monkeypatch.setattr(module.os, "unlink", fails)
    if taken_up == "while it runs":
        assert len(holder.adopt_standby()) == 1
    else:
        holder = Ledger(folder, 3_000_000)
    holder.record_transmission(holder.entries["new"], "az", 100.0)
    holder.finish(holder.entries["new"])
    assert holder.compact() and holder.adopt_standby() == [] and "ledger-next-beef" in left(tmp_path)
    monkeypatch.setattr(module.os, "unlink", unlink)  # and is whole again
    killed(folder)
    for _ in range(2):
        assert not Ledger(Folder(str(tmp_path)), 3_000_000).entries and left(tmp_path) == ["ledger"]


def test_a_file_that_cannot_be_taken_up_on_a_full_disk_is_taken_up_later(tmp_path, monkeypatch):
    holder, write = Ledger(Folder(str(tmp_path)), 3_000_000), os.write
    waiting(tmp_path, "beef", "new")[1]()
    monkeypatch.setattr(module.os, "write", lambda handle, data: write(handle, data[:-3]))
    assert holder.adopt_standby() == [] and not holder.entries and not holder.has_standby()
    monkeypatch.setattr(module.os, "write", write)
    assert [owed.id for owed in holder.adopt_standby()] == ["new"]
    assert [*Ledger(Folder(str(tmp_path)), 3_000_000).entries] == ["new"]
