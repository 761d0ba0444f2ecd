"""The audit trail on disk: recoverable after any end of a process, bounded, and never silently incomplete."""

import random

import pytest

from birchstack.emulator.clock import Killed
from birchstack.emulator.folder import AFTER, BEFORE, TORN, Disk, MemoryFolder
from birchstack.fleet import records as r
from birchstack.fleet.audit_files import COMPLETE_MARKER, AuditFiles
from birchstack.fleet.trail import MAX_TOTALS, SEGMENTS
from birchstack.fleet.versions import LIST, Version

LIMIT = 65536


def audit_files(disk, name="t"):
    return AuditFiles(MemoryFolder(disk), LIMIT, lambda: name)


def process_start(number=1, name="n1"):
    return r.ProcessStart(f"life{number}", name, "boot", 1000.0 + number, float(number))


def adopted(number, now=2.0):
    return r.VersionAdopted(Version(LIST, "o", "", number, f"{number:032x}"), "newer", "o", now, now)


def acted(now, *calls):
    return r.TurnActions(now, tuple(word for doc in calls for word in (doc, f"s-{len(doc) % 3}")))


def read(files, after=0, chained=True):
    """All records after a number as a collector reads them, (number, record), each verified by the chain."""
    found, chain, number = [], None, after
    while frames := files.trail.read_after(number, 4096):
        for each in r.scan_frames(frames):
            record = each.record()
            if chained and chain and not isinstance(record, r.CompactedRecords) and each.number == number + 1:
                assert each.follows(chain)
            assert each.number > number
            number, chain = each.number, each.chain
            found.append((number, record))
    return found


def write_turns(files, count, start=10.0):
    for at in range(count):
        assert files.write(acted(start + at, f"doc{at:06d}"), start + at)


def test_every_record_is_recovered_with_its_number_after_a_restart():
    disk = Disk()
    files = audit_files(disk)
    written = [process_start(), adopted(7), acted(3.0, "d1", "d22"), acted(4.0), adopted(8, 5.0)]
    for each in written:
        files.write(each, 5.0)
    restarted = audit_files(disk, "other")
    assert [record for _, record in read(restarted)] == written and restarted.trail.name == "t"
    assert [number for number, _ in read(restarted)] == [1, 2, 3, 4, 5]
    assert restarted.trail.chain == files.trail.chain
    assert restarted.trail.state.versions[LIST].number == 8
    restarted.write(process_start(2), 9.0)
    assert read(restarted)[-1] == (6, process_start(2)) and read(restarted, 5) == [(6, process_start(2))]
    assert not restarted.trail.state.versions, "a new process has adopted nothing yet"


def test_compaction_into_exact_totals_keeps_the_size_limit():
    disk = Disk()
    files = audit_files(disk)
    files.write(process_start(), 1.0)
    for version in range(5):
        files.write(adopted(version, 10.0 + 1000 * version), 10.0)
        write_turns(files, 1000, 10.0 + 1000 * version)
        assert disk.used() <= LIMIT + 512 * (2 * SEGMENTS + 4)
    files = audit_files(disk)
    (first, compacted), *rest = read(files)
    assert isinstance(compacted, r.CompactedRecords) and compacted.first == 1 and rest[0][0] == first + 1
    calls = {}
    for total in compacted.totals:
        calls[total.number] = sum(each.calls for each in total.tallies)
        assert not total.mixed
    state = compacted.state
    for number, record in rest:
        state = r.state_after(state, number, record)
        if isinstance(record, r.TurnActions):
            calls[state.stretch] = calls.get(state.stretch, 0) + len(record.calls) // 2
    assert [count for count in calls.values() if count] == [1000] * 5
    assert read(files, first + 3)[0][0] == first + 4, "a reader past the compacted records gets no totals"


def test_too_many_stretches_are_combined_and_marked_as_mixed():
    disk = Disk()
    files = audit_files(disk)
    for number in range(3000):
        files.write(adopted(number, float(number)), float(number))
        files.write(acted(number + 0.5, "doc"), number + 0.5)
    _, compacted = read(files)[0]
    assert len(compacted.totals) <= MAX_TOTALS
    assert compacted.totals[0].mixed and not compacted.totals[0].versions
    calls = sum(each.calls for total in compacted.totals for each in total.tallies)
    assert calls + sum(isinstance(record, r.TurnActions) for _, record in read(files)) == 3000


@pytest.mark.parametrize("how", [BEFORE, TORN, AFTER])
def test_a_process_killed_at_any_write_loses_no_stored_record(how):
    for strike in range(1, 120):
        disk = Disk()
        files = audit_files(disk)
        stored = 0
        disk.strike = (disk.writes + strike, how)
        with pytest.raises(Killed):
            files.write(process_start(), 1.0)
            stored = files.trail.last
            for at in range(5000):
                files.write(acted(2.0 + at, f"document-with-a-long-name-{at:050d}"), 2.0)
                stored = files.trail.last
        restarted = audit_files(disk)
        assert restarted.trail.last in (stored, stored + 1)
        assert restarted.write(process_start(2), 9.0)
        found = read(restarted)
        first = found[0][1]
        covered = first.last - first.first + 1 if isinstance(first, r.CompactedRecords) else 1
        assert covered + len(found) - 1 == restarted.trail.last, "a number is missing"
        assert not [record for _, record in found if isinstance(record, r.Gap)]


def test_a_full_disk_leaves_a_gap_with_its_time_span_and_number_of_calls():
    disk = Disk()
    files = audit_files(disk)
    files.write(process_start(), 1.0)
    files.write(adopted(7), 2.0)
    disk.full = True
    lost = 0
    for at in range(100):  # the last block may still have space for some
        lost += not files.write(acted(10.0 + at, "d"), 10.0 + at)
    assert lost and files.failing and not files.write(adopted(8, 150.0), 150.0)
    disk.full = False
    assert files.write(acted(2000.0, "after"), 2000.0) and not files.failing
    found = [record for _, record in read(audit_files(disk))]
    gap = next(each for each in found if isinstance(each, r.Gap))
    assert gap.calls == lost and 10.0 <= gap.from_ms < 120.0 and gap.to_ms == 2000.0
    assert found.index(gap) < found.index(adopted(8, 150.0)) < found.index(acted(2000.0, "after"))


def test_a_process_that_ends_while_the_disk_is_full_leaves_a_gap_once():
    disk = Disk()
    files = audit_files(disk)
    files.write(process_start(), 1.0)
    assert COMPLETE_MARKER in disk.files
    disk.full = True
    while files.write(acted(10.0, "d"), 10.0):
        pass
    disk.full = False
    restarted = audit_files(disk)  # after a kill
    restarted.write(process_start(2), 500.0)
    gaps = [record for _, record in read(restarted) if isinstance(record, r.Gap)]
    assert [(gap.calls, gap.to_ms) for gap in gaps] == [(-1, 500.0)] and COMPLETE_MARKER in disk.files
    assert not [record for _, record in read(audit_files(disk), 0) if isinstance(record, r.Gap)][1:]


def test_corruption_leaves_a_gap_once_and_a_torn_tail_none():
    disk = Disk()
    files = audit_files(disk)
    files.write(process_start(), 1.0)
    write_turns(files, 50)
    name = next(name for name in disk.files if name.startswith("trail-t-0"))
    whole = bytes(disk.files[name])
    disk.files[name] = bytearray(whole[:-3])  # torn: only the last record is incomplete
    torn = audit_files(disk)
    assert torn.trail.last == 50 and torn.write(process_start(2), 99.0)
    assert not [record for _, record in read(torn) if isinstance(record, r.Gap)]
    disk.files.clear()
    disk.files[name] = bytearray(whole)
    disk.files[name][len(whole) // 2] ^= 0xFF
    disk.files[COMPLETE_MARKER] = bytearray()
    for number in (2, 3):
        restarted = audit_files(disk)
        restarted.write(process_start(number), 99.0)
        gaps = [record for _, record in read(restarted) if isinstance(record, r.Gap)]
        assert len(gaps) == 1 and gaps[0].why.startswith("rot: 1 records from")
        numbers = [number for number, _ in read(restarted)]
        assert len([each for each in range(1, 51) if each not in numbers]) == 1


def test_a_record_changed_in_place_with_a_valid_checksum_is_detected_by_the_chain():
    disk = Disk()
    files = audit_files(disk)
    files.write(process_start(), 1.0)
    write_turns(files, 9)
    name = next(name for name in disk.files if name.startswith("trail-t-0"))
    frames = [*r.scan_frames(bytes(disk.files[name]))]
    forged, _ = r.encode_frame(5, frames[3].chain, acted(1.0, "forged"))
    disk.files[name] = bytearray(
        b"".join(forged if each.number == 5 else each.stored_bytes() for each in frames)
    )
    restarted = audit_files(disk)
    restarted.write(process_start(2), 99.0)
    gaps = [each.why for _, each in read(restarted, 0, False) if isinstance(each, r.Gap)]
    assert gaps == ["altered at record 6"]


def test_random_bytes_between_frames_are_never_decoded_as_a_record():
    chance = random.Random(3)
    for _ in range(200):
        frames, chain, data = [], r.INITIAL_CHAIN, b""
        for number in range(1, 8):
            frame, chain = r.encode_frame(number, chain, acted(float(number), "d"))
            frames.append(frame)
            data += chance.randbytes(chance.randrange(20)) + frame
        found = [each.stored_bytes() for each in r.scan_frames(data) if isinstance(each, r.Frame)]
        assert found == frames
        cut = chance.randrange(len(data))
        assert [each.stored_bytes() for each in r.scan_frames(data[:cut]) if isinstance(each, r.Frame)] == [
            each for each in frames if data.index(each) + len(each) <= cut
        ]
