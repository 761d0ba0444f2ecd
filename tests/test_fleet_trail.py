"""The trail of a sender on its disk: whole after any end of a process, bounded, and never silently short."""

import random

import pytest

from birchstack.emulator.clock import Killed
from birchstack.emulator.folder import AFTER, BEFORE, TORN, Disk, MemoryFolder
from birchstack.fleet import records as r
from birchstack.fleet.audit_files import SOUND, AuditFiles
from birchstack.fleet.trail import SEGMENTS, TOTALS
from birchstack.fleet.versions import LIST, Version

LIMIT = 65536


def audit_files(disk, name="t"):
    return AuditFiles(MemoryFolder(disk), LIMIT, lambda: name)


def life(number=1, name="n1"):
    return r.Life(f"life{number}", name, "boot", 1000.0 + number, float(number))


def adopted(number, now=2.0):
    return r.Adopted(Version(LIST, "o", "", number, f"{number:032x}"), "newer", "o", now, now)


def acted(now, *calls):
    return r.Acted(now, tuple(word for doc in calls for word in (doc, f"s-{len(doc) % 3}")))


def read(files, after=0, chained=True):
    """Everything from a number on, as a keeper asks for it: (number, record), each checked by the chain."""
    found, chain, number = [], None, after
    while piece := files.trail.piece(number, 4096):
        for each in r.scan(piece):
            record = each.record()
            if chained and chain and not isinstance(record, r.Folded) and each.number == number + 1:
                assert each.follows(chain)
            assert each.number > number
            number, chain = each.number, each.chain
            found.append((number, record))
    return found


def fill(kept, many, start=10.0):
    for at in range(many):
        assert kept.write(acted(start + at, f"doc{at:06d}"), start + at)


def test_every_record_comes_back_with_its_number_after_a_start():
    disk = Disk()
    kept = audit_files(disk)
    written = [life(), adopted(7), acted(3.0, "d1", "d22"), acted(4.0), adopted(8, 5.0)]
    for each in written:
        kept.write(each, 5.0)
    again = audit_files(disk, "other")
    assert [record for _, record in read(again)] == written and again.trail.name == "t"
    assert [number for number, _ in read(again)] == [1, 2, 3, 4, 5]
    assert again.trail.chain == kept.trail.chain and again.trail.state.versions[LIST].number == 8
    again.write(life(2), 9.0)
    assert read(again)[-1] == (6, life(2)) and read(again, 5) == [(6, life(2))]
    assert not again.trail.state.versions, "a new process has adopted nothing yet"


def test_what_has_no_room_is_folded_into_exact_totals_and_the_bound_holds():
    disk = Disk()
    kept = audit_files(disk)
    kept.write(life(), 1.0)
    for version in range(5):
        kept.write(adopted(version, 10.0 + 1000 * version), 10.0)
        fill(kept, 1000, 10.0 + 1000 * version)
        assert disk.used() <= LIMIT + 512 * (2 * SEGMENTS + 4)
    kept = audit_files(disk)
    (first, folded), *rest = read(kept)
    assert isinstance(folded, r.Folded) and folded.first == 1 and rest[0][0] == first + 1
    sums = {}
    for total in folded.totals:
        sums[total.number] = sum(each.calls for each in total.tallies)
        assert not total.mixed
    state = folded.state
    for number, record in rest:
        state = r.after(state, number, record)
        if isinstance(record, r.Acted):
            sums[state.stretch] = sums.get(state.stretch, 0) + len(record.calls) // 2
    assert [count for count in sums.values() if count] == [1000] * 5
    assert read(kept, first + 3)[0][0] == first + 4, "who has the folded ones is not told of them again"


def test_very_many_stretches_are_put_together_and_say_so():
    disk = Disk()
    kept = audit_files(disk)
    for number in range(3000):
        kept.write(adopted(number, float(number)), float(number))
        kept.write(acted(number + 0.5, "doc"), number + 0.5)
    _, folded = read(kept)[0]
    assert len(folded.totals) <= TOTALS and folded.totals[0].mixed and not folded.totals[0].versions
    calls = sum(each.calls for total in folded.totals for each in total.tallies)
    assert calls + sum(isinstance(record, r.Acted) for _, record in read(kept)) == 3000


@pytest.mark.parametrize("how", [BEFORE, TORN, AFTER])
def test_a_process_killed_at_any_write_loses_nothing_it_had_kept(how):
    for strike in range(1, 120):
        disk = Disk()
        kept = audit_files(disk)
        said = 0
        disk.strike = (disk.writes + strike, how)
        with pytest.raises(Killed):
            kept.write(life(), 1.0)
            said = kept.trail.last
            for at in range(5000):
                kept.write(acted(2.0 + at, f"document-with-a-long-name-{at:050d}"), 2.0)
                said = kept.trail.last
        again = audit_files(disk)
        assert again.trail.last in (said, said + 1)
        assert again.write(life(2), 9.0)
        found = read(again)
        first = found[0][1]
        covered = first.last - first.first + 1 if isinstance(first, r.Folded) else 1
        assert covered + len(found) - 1 == again.trail.last, "a number is missing"
        assert not [record for _, record in found if isinstance(record, r.Gap)]


def test_a_full_disk_loses_trail_and_says_from_when_to_when_and_how_many():
    disk = Disk()
    kept = audit_files(disk)
    kept.write(life(), 1.0)
    kept.write(adopted(7), 2.0)
    disk.full = True
    lost = 0
    for at in range(100):  # the last block may take some still
        lost += not kept.write(acted(10.0 + at, "d"), 10.0 + at)
    assert lost and kept.failing and not kept.write(adopted(8, 150.0), 150.0)
    disk.full = False
    assert kept.write(acted(2000.0, "after"), 2000.0) and not kept.failing
    found = [record for _, record in read(audit_files(disk))]
    gap = next(each for each in found if isinstance(each, r.Gap))
    assert gap.calls == lost and 10.0 <= gap.from_ms < 120.0 and gap.to_ms == 2000.0
    assert found.index(gap) < found.index(adopted(8, 150.0)) < found.index(acted(2000.0, "after"))


def test_a_process_that_ends_while_the_disk_is_full_leaves_a_sign():
    disk = Disk()
    kept = audit_files(disk)
    kept.write(life(), 1.0)
    assert SOUND in disk.files
    disk.full = True
    while kept.write(acted(10.0, "d"), 10.0):
        pass
    disk.full = False
    again = audit_files(disk)  # it was killed meanwhile
    again.write(life(2), 500.0)
    gaps = [record for _, record in read(again) if isinstance(record, r.Gap)]
    assert [(gap.calls, gap.to_ms) for gap in gaps] == [(-1, 500.0)] and SOUND in disk.files
    assert not [record for _, record in read(audit_files(disk), 0) if isinstance(record, r.Gap)][1:]


def test_rot_is_told_from_a_torn_tail_and_leaves_a_gap_once():
    disk = Disk()
    kept = audit_files(disk)
    kept.write(life(), 1.0)
    fill(kept, 50)
    name = next(name for name in disk.files if name.startswith("trail-t-0"))
    whole = bytes(disk.files[name])
    disk.files[name] = bytearray(whole[:-3])  # torn: the last record only
    torn = audit_files(disk)
    assert torn.trail.last == 50 and torn.write(life(2), 99.0)
    assert not [record for _, record in read(torn) if isinstance(record, r.Gap)]
    disk.files.clear()
    disk.files[name] = bytearray(whole)
    disk.files[name][len(whole) // 2] ^= 0xFF
    disk.files[SOUND] = bytearray()
    for number in (2, 3):
        again = audit_files(disk)
        again.write(life(number), 99.0)
        gaps = [record for _, record in read(again) if isinstance(record, r.Gap)]
        assert len(gaps) == 1 and gaps[0].why.startswith("rot: 1 records from")
        numbers = [number for number, _ in read(again)]
        assert len([each for each in range(1, 51) if each not in numbers]) == 1


def test_a_record_changed_in_place_with_a_right_sum_is_found_by_the_chain():
    disk = Disk()
    kept = audit_files(disk)
    kept.write(life(), 1.0)
    fill(kept, 9)
    name = next(name for name in disk.files if name.startswith("trail-t-0"))
    frames = [*r.scan(bytes(disk.files[name]))]
    forged, _ = r.frame(5, frames[3].chain, acted(1.0, "forged"))
    disk.files[name] = bytearray(b"".join(forged if each.number == 5 else each.bytes() for each in frames))
    again = audit_files(disk)
    again.write(life(2), 99.0)
    gaps = [each.why for _, each in read(again, 0, False) if isinstance(each, r.Gap)]
    assert gaps == ["altered at record 6"]


def test_random_bytes_among_frames_never_pass_for_a_record():
    chance = random.Random(3)
    for _ in range(200):
        frames, chain, data = [], r.START, b""
        for number in range(1, 8):
            frame, chain = r.frame(number, chain, acted(float(number), "d"))
            frames.append(frame)
            data += chance.randbytes(chance.randrange(20)) + frame
        found = [each.bytes() for each in r.scan(data) if isinstance(each, r.Frame)]
        assert found == frames
        cut = chance.randrange(len(data))
        assert [each.bytes() for each in r.scan(data[:cut]) if isinstance(each, r.Frame)] == [
            each for each in frames if data.index(each) + len(each) <= cut
        ]
