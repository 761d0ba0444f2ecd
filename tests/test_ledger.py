"""The ledger across restarts; every process in these tests ends without clean-up, as by SIGKILL."""

import os

import pytest

from birchstack.net import machine as module
from birchstack.net.ledger import Ledger, round_up_to_blocks
from birchstack.net.machine import Folder


def disk_usage(folder):
    return sum(round_up_to_blocks(file.stat().st_size) for file in os.scandir(folder))


def take(ledger, doc_id="d", body=b"body"):
    return ledger.add(doc_id, "sync", 3, None, 9000.0, body)


def test_an_empty_folder_starts_with_an_empty_ledger(tmp_path):
    assert not Ledger(Folder(str(tmp_path)), 3_000_000).entries


def test_documents_are_recovered_in_order_with_their_transmissions(tmp_path):
    ledger = Ledger(Folder(str(tmp_path)), 3_000_000)
    for doc_id in "zab":
        take(ledger, doc_id, doc_id.encode() * 3)
    entry = ledger.entries["a"]
    for doubt in (True, False):
        ledger.record_transmission(entry, "az", 100.0)
        ledger.record_outcome(entry, doubt, True)
    ledger.record_transmission(entry, "bz", 200.0)  # in flight when the process ends
    ledger.finish(ledger.entries["b"])
    for _ in range(2):  # the second time from the file as the first start left it
        reopened = Ledger(Folder(str(tmp_path)), 3_000_000)
        assert [*reopened.entries] == ["z", "a"]
        recovered = reopened.entries["a"]
        assert (recovered.sent, recovered.failed, recovered.body, recovered.expiry, recovered.in_flight) == (
            3,
            2,
            b"aaa",
            9000.0,
            None,
        )
        assert recovered.in_doubt == [("az", 100.0), ("bz", 200.0)]


@pytest.mark.parametrize("cut", [1, 9, 30])
def test_a_torn_last_record_is_skipped_and_does_not_spoil_the_next(tmp_path, cut):
    ledger = Ledger(Folder(str(tmp_path)), 3_000_000)
    take(ledger, "a")
    take(ledger, "b")
    with open(tmp_path / "ledger", "r+b") as file:
        file.truncate(os.path.getsize(tmp_path / "ledger") - cut)
    take(ledger, "c")  # as by a process that continues after a full disk
    assert [*Ledger(Folder(str(tmp_path)), 3_000_000).entries] == ["a", "c"]


def test_a_notice_is_kept_until_it_is_acknowledged_but_its_body_is_not(tmp_path):
    ledger = Ledger(Folder(str(tmp_path)), 3_000_000)
    ledger.record_notice(take(ledger), "bounced", 250.0)
    assert os.listdir(tmp_path) == ["ledger"]
    reopened = Ledger(Folder(str(tmp_path)), 3_000_000)
    assert reopened.entries["d"].notice == ("bounced", 250.0)
    reopened.finish(reopened.entries["d"])
    last = Ledger(Folder(str(tmp_path)), 3_000_000)
    assert not last.entries and "d" in last.ended


def test_a_body_without_record_is_removed_and_a_document_without_body_ends_undelivered(tmp_path):
    ledger = Ledger(Folder(str(tmp_path)), 3_000_000)
    take(ledger, "a")
    take(ledger, "b")
    os.unlink(tmp_path / "body-0")
    (tmp_path / "body-77").write_bytes(b"x")
    (tmp_path / "ledger.new").write_bytes(b"half")
    reopened = Ledger(Folder(str(tmp_path)), 3_000_000)
    assert reopened.entries["a"].notice == ("dead", 0.0) and reopened.entries["b"].notice is None
    assert sorted(os.listdir(tmp_path)) == ["body-1", "ledger"]


def test_the_disk_limit_holds_with_the_largest_bodies_and_during_compaction(tmp_path, monkeypatch):
    limit, usage = 3_000_000, []
    ledger = Ledger(Folder(str(tmp_path)), limit)
    monkeypatch.setattr(
        module.os, "rename", lambda old, new: (usage.append(disk_usage(tmp_path)), os.replace(old, new))
    )
    for number in range(4000):
        if not ledger.has_space([65536]):
            ledger.finish(next(iter(ledger.entries.values())))
            continue
        entry = take(ledger, f"{number:036}", b"x" * 65536)
        for _ in range(4):
            ledger.record_transmission(entry, "zone", 1.0)
            ledger.record_outcome(entry, True, True)
        usage.append(disk_usage(tmp_path))
    assert len(ledger.entries) >= 40 and max(usage) <= limit and len(usage) > 2000
    assert len(Ledger(Folder(str(tmp_path)), limit).entries) == len(ledger.entries)


def test_a_document_that_cannot_be_stored_is_not_accepted(tmp_path, monkeypatch):
    ledger = Ledger(Folder(str(tmp_path)), 3_000_000)

    def full(*words):
        raise OSError("no space")

    monkeypatch.setattr(module.os, "write", full)
    with pytest.raises(OSError):
        take(ledger)
    assert not ledger.entries and os.listdir(tmp_path) == ["ledger"]


@pytest.mark.parametrize("then", ["written", "not written", "compacted"])
def test_an_outcome_lost_to_a_full_disk_leaves_its_transmission_in_doubt(tmp_path, monkeypatch, then):
    ledger = Ledger(Folder(str(tmp_path)), 3_000_000)
    entry, write = take(ledger), os.write
    ledger.record_transmission(entry, "az", 100.0)
    monkeypatch.setattr(module.os, "write", lambda *words: 0)
    ledger.record_outcome(entry, True, True)  # it may have been executed
    monkeypatch.setattr(module.os, "write", write)
    if then == "written":
        ledger.record_transmission(entry, "bz", 900.0)
    ledger.record_outcome(entry, False, False)  # this one certainly was not
    assert entry.in_doubt == [("az", 100.0)]
    if then == "compacted":
        assert ledger.compact()
    recovered = Ledger(Folder(str(tmp_path)), 3_000_000).entries["d"]
    assert (recovered.sent, recovered.in_doubt) == (2, [("az", 100.0)])


def test_a_transmission_in_flight_during_compaction_keeps_its_time(tmp_path):
    ledger = Ledger(Folder(str(tmp_path)), 3_000_000)
    entry = take(ledger)
    ledger.record_transmission(entry, "az", 100.0)
    ledger.record_outcome(entry, True, True)
    ledger.record_transmission(entry, "bz", 900.25)
    assert ledger.compact()
    assert Ledger(Folder(str(tmp_path)), 3_000_000).entries["d"].in_doubt == [("az", 100.0), ("bz", 900.25)]


def test_a_standby_writes_its_own_file_and_the_next_holder_recovers_both(tmp_path):
    folder = Folder(str(tmp_path))
    holder = Ledger(folder, 3_000_000)
    take(holder, "old", b"old body")
    holder.record_wait("s-1", 5000.0)
    standby = Ledger(folder, 3_000_000, standby_name="beef")
    take(standby, "new", b"new body")
    assert [*holder.entries] == ["old"] and [*standby.entries] == ["new"]  # neither reads the other's file
    assert not standby.waits
    holder.record_wait("s-1", 4000.0)  # an earlier end does not shorten a wait
    holder.close()
    standby.close()
    after = Ledger(folder, 3_000_000)  # the standby process, once it holds the folder
    assert [*after.entries] == ["old", "new"] and after.waits == {"s-1": 5000.0}
    assert (after.entries["new"].body, after.entries["old"].body) == (b"new body", b"old body")
    assert not [name for name in os.listdir(tmp_path) if name.startswith("ledger-next")]
    after.compact()
    assert Ledger(folder, 3_000_000).waits == {"s-1": 5000.0}


def kill(folder):
    """Ends the process of this folder, which releases its locks."""
    for handle in folder._locks.values():
        os.close(handle)


def start_standby(path, name, doc_id):
    """Starts a standby process with one document; returns its ledger and a function that kills it."""
    folder = Folder(str(path))
    ledger = Ledger(folder, 3_000_000, standby_name=name)
    take(ledger, doc_id, doc_id.encode())
    return ledger, lambda: kill(folder)


def files_left(path):
    return sorted(name for name in os.listdir(path) if not name.startswith("body-"))


def test_the_holder_adopts_documents_of_standby_processes_that_have_ended(tmp_path):
    holder = Ledger(Folder(str(tmp_path)), 3_000_000)
    take(holder, "old")
    _, kill_first = start_standby(tmp_path, "beef", "new")
    second, _ = start_standby(tmp_path, "cafe", "newer")  # has a file and bodies of its own
    assert holder.adopt_standby() == [] and holder.has_standby()  # both are alive
    kill_first()
    assert [(entry.id, entry.body, entry.recovered) for entry in holder.adopt_standby()] == [
        ("new", b"new", True)
    ]
    assert holder.adopt_standby() == [] and [*holder.entries] == ["old", "new"] and holder.has_standby()
    assert files_left(tmp_path) == ["ledger", "ledger-next-cafe", "ledger-next-cafe.lock"]
    holder.finish(holder.entries["new"])
    after = Ledger(Folder(str(tmp_path)), 3_000_000)  # another process takes over while cafe still waits
    assert [*after.entries] == ["old", "newer"] and after.has_standby()
    assert after.claimed_at_start == {"newer"} and after.adopt_standby() == []
    second.close()
    last = Ledger(Folder(str(tmp_path)), 3_000_000)
    assert last.entries["newer"].body == b"newer" and files_left(tmp_path) == ["ledger"]


@pytest.mark.parametrize("adopted", ["while running", "at the start"])
def test_an_adopted_file_that_cannot_be_removed_is_not_adopted_again(tmp_path, monkeypatch, adopted):
    folder, unlink = Folder(str(tmp_path)), os.unlink
    holder = Ledger(folder, 3_000_000)
    start_standby(tmp_path, "beef", "new")[1]()

    def fails(path):
        if "ledger-next" in str(path):
            raise OSError("the disk fails")
        unlink(path)

    monkeypatch.setattr(module.os, "unlink", fails)
    if adopted == "while running":
        assert len(holder.adopt_standby()) == 1
    else:
        holder = Ledger(folder, 3_000_000)
    holder.record_transmission(holder.entries["new"], "az", 100.0)
    holder.finish(holder.entries["new"])
    assert holder.compact() and holder.adopt_standby() == [] and "ledger-next-beef" in files_left(tmp_path)
    monkeypatch.setattr(module.os, "unlink", unlink)  # the disk works again
    kill(folder)
    for _ in range(2):
        assert not Ledger(Folder(str(tmp_path)), 3_000_000).entries and files_left(tmp_path) == ["ledger"]


def test_a_file_that_a_full_disk_keeps_from_adoption_is_adopted_later(tmp_path, monkeypatch):
    holder, write = Ledger(Folder(str(tmp_path)), 3_000_000), os.write
    start_standby(tmp_path, "beef", "new")[1]()
    monkeypatch.setattr(module.os, "write", lambda handle, data: write(handle, data[:-3]))
    assert holder.adopt_standby() == [] and not holder.entries and not holder.has_standby()
    monkeypatch.setattr(module.os, "write", write)
    assert [entry.id for entry in holder.adopt_standby()] == ["new"]
    assert [*Ledger(Folder(str(tmp_path)), 3_000_000).entries] == ["new"]


def test_a_notice_that_a_failing_folder_refused_is_written_once_the_folder_works(tmp_path, monkeypatch):
    ledger = Ledger(Folder(str(tmp_path)), 3_000_000)
    entry = take(ledger, body=b"")

    def failing_write(handle, data):
        raise OSError(5, "Input/output error")

    with monkeypatch.context() as failing:
        failing.setattr(module.os, "write", failing_write)
        ledger.record_notice(entry, "dead", 0.0)
        ledger.save_lost_records()  # the folder still fails
    ledger.save_lost_records()
    assert Ledger(Folder(str(tmp_path)), 3_000_000).entries["d"].notice == ("dead", 0.0)
