"""Stored and transmitted formats do not change: every name, tag and order of fields is part of them.

The samples were written by commit 4a3057a, before identifiers of the program were renamed. A class attribute
or a dataclass field that is written out under its own name would change its format if it were renamed. Each
test writes the same values again and compares the bytes, then reads the samples and compares the values.
"""

import json
from types import SimpleNamespace

from birchstack.emulator.folder import Disk, MemoryFolder
from birchstack.fleet import records, wire
from birchstack.fleet.audit_files import AuditFiles
from birchstack.fleet.audit_log import FleetAuditLog
from birchstack.fleet.settings import FleetSettings
from birchstack.fleet.versions import Version
from birchstack.interface import Recovery, RecoveryStage, SignalKind
from birchstack.net.audit import SenderStatus
from birchstack.net.by_hand import AdministrativeStates
from birchstack.net.config import decode
from birchstack.net.ledger import Ledger
from birchstack.signals import model

NOW = 1.75e12  # milliseconds of Unix time
LIMIT = 3_000_000

# One line for each record, CRC-32 first; a line begins with its line feed
LEDGER = b"""
2a096f95 ["take","d1","sync",1,null,1750000020000.0,0,5]
bf6e1254 ["take","d2","order",2,"key-1",1750000020000.0,1,3,"repeat-2"]
106dbafa ["call","d2","a",1750000000010.0]
2487c10b ["take","d3","pay",1,null,1750000020000.0,2,0]
6fe8ac57 ["call","d3","b",1750000000020.0]
b9d0a1eb ["back","d3",1,1]
cf04b09a ["take","d4","sync",1,null,1750000020000.0,3,4]
862ca0e3 ["kept","d4",1]
d2239f3c ["take","d5","sync",1,null,1750000020000.0,4,4]
e8c4473a ["notice","d5","dead",250.0]
7fbf51fe ["take","d6","sync",1,null,1750000020000.0,5,3]
d8d19419 ["call","d6","a",1750000000040.0]
6cf1c61a ["done","d6"]
e0c4a2ab ["wait","s-3",1750000005000.0]
aa0b8c55 ["down","s-4",1749999999900.0,40,2000.0]
7cc95668 ["warming","s-5",1749999999700.0,0,0.0]"""
# The same as it is written since records of ends have a digest of the document's content
ENDS_WITH_CONTENT = {
    b'e8c4473a ["notice","d5","dead",250.0]': b'25ae3796 ["notice","d5","dead",250.0,"lyGYeb"]',
    b'6cf1c61a ["done","d6"]': b'5084e8cf ["done","d6","5mGWNg"]',
}
STANDBY_LEDGER = b"""
73ed5b38 ["take","d7","sync",1,null,1750000020000.0,4294967467,5]"""
BODIES = {"body-0": b"hello", "body-1": b"two", "body-3": b"four", "body-4294967467": b"seven"}
LEDGER_AFTER_START = b"""
2b077c3f ["ended",1750000021000.0,["KcQEMY6iPMM"]]
2a096f95 ["take","d1","sync",1,null,1750000020000.0,0,5]
9dca523a ["past","d1",0,0,null,[]]
bf6e1254 ["take","d2","order",2,"key-1",1750000020000.0,1,3,"repeat-2"]
93a4064d ["past","d2",1,0,null,[["a",1750000000010.0]]]
2487c10b ["take","d3","pay",1,null,1750000020000.0,2,0]
42c5a277 ["past","d3",1,1,null,[["b",1750000000020.0]]]
cf04b09a ["take","d4","sync",1,null,1750000020000.0,3,4]
da2acbe0 ["past","d4",1,1,null,[]]
b64f5a38 ["take","d5","sync",1,null,1750000020000.0,4,0]
17b63759 ["past","d5",0,0,null,[]]
e8c4473a ["notice","d5","dead",250.0]
73ed5b38 ["take","d7","sync",1,null,1750000020000.0,4294967467,5]
bf3086c8 ["past","d7",0,0,null,[]]
e0c4a2ab ["wait","s-3",1750000005000.0]
d2b78ae5 ["took","ledger-next-ab"]
aa0b8c55 ["down","s-4",1749999999900.0,40,2000.0]
7cc95668 ["warming","s-5",1749999999700.0,0,0.0]"""

OUT_BY_HAND = b'{"out": ["s-2"], "back": {"s-1": 1750000000000.0}}'

TRAIL_FRAMES = bytes.fromhex(
    "ce5a1f000000010000000000000098a0b19ce0e63764d7e26cc277224d8f5804b2c097a16ca27031a26e31a26231cb427977420d"
    "c00000cb408f40000000000001ce5a310000000200000000000000529e7b9394e410cfce0a0a11aff0ecb86cb3e04797a16195a4"
    "6c697374a16fa2653108a23066a56669727374a57761746368cb427977420dc00000cb408f480000000000c3ce5a200000000300"
    "0000000000008c143e3c8845ec8628488c579bd6f5faccbb376595a163cb408f50000000000094a26431a3732d31a26432a3732d"
    "320191a26433ce5a260000000400000000000000f56c374f57a2ce741316bf2212d7f3dfd358cefc95a167cb408f580000000000"
    "cb408f600000000000af746865206469736b206661696c656402ce5a0c0000000500000000000000c6b8c7d6110cacdf293dcf2a"
    "2e789e435c34233992a165cb408f680000000000"
)
COMPACTED_FRAME = bytes.fromhex(
    "ce5ab600000005000000000000007369787465656e206279746573206162b7ddf12d97a1660105c4107369787465656e20627974"
    "657320616296a27031a26e31a2623181a46c69737495a46c697374a16fa2653108a2306602cb408f480000000000919b03a27031"
    "a26e31a2623181a46c69737495a46c697374a16fa2653108a23066cb408f480000000000cb408f6800000000009194a3732d3101"
    "cb408f500000000000cb408f5800000000000406c39195a167cb408f580000000000cb408f600000000000af746865206469736b"
    "206661696c656402"
)
SIGNAL_BATCH = bytes.fromhex("9501a2703132c39395a3732d31010714cd0bb895a3732d320308000095a3732d3302090100")
SIGNAL_REQUEST = bytes.fromhex(
    "960193070809a27031cb408f440000000000cb40340000000000009297a3732d3102cd012c6432cd0bb81497a3732d32000000ff"
    "0000"
)
# The answer of a process that waits for the folder, with the digest of SETTINGS
TRAIL_RESPONSE = bytes.fromhex(
    "de0012a46e616d65a26e31a770726f63657373a27031a4626f6f74a26231a5747261696ca0a46c696665a0a5686f6c6473c2a777"
    "616c6c5f6d73cb427977420dc00000a97374656164795f6d73cb408f400000000000a46c61737400a5636861696ec400a7666169"
    "6c696e67c2a876657273696f6e7381a873657474696e677395a873657474696e6773af42414c414e4345525f434f4e464947a003"
    "d9203936623034646563663961333365396534383132306363323737303263623761a76c6973745f6d73cb0000000000000000a8"
    "68656172645f6d73cb4028000000000000a57265616479c3a468656c6403a66672616d6573c400a77369676e616c73c400"
)
SETTINGS = """{"domain": {"callsOut": 4}, "nInstances": 2, "registryMode": "pushed",
"limits": {"maxOpen": 60, "retryAfter": true, "sendCap": 6},
"rules": {"coldFrom": 0.3, "warmUpMs": 1000.0, "settleAfterDoubtMs": 500.0},
"tenants": [{"name": "t1", "quotaPerS": 2.5}], "overShareWorth": 0.5,
"services": [{"name": "pay", "effect": "unsafe", "objectiveMs": 2000.0, "deadlineMs": 20000.0,
"importance": 1.0, "lateShare": 0.4, "group": "one", "windowMs": 5000.0, "oneAtATime": true}]}"""


def disk_with(files):
    disk = Disk()
    disk.files.update({name: bytearray(data) for name, data in files.items()})
    return disk


def test_the_ledger_is_written_in_the_stored_format():
    disk = Disk()
    ledger = Ledger(MemoryFolder(disk), LIMIT)
    expiry = NOW + 20000
    ledger.add("d1", "sync", 1, None, expiry, b"hello")
    in_doubt = ledger.add("d2", "order", 2, "key-1", expiry, b"two", "repeat-2")
    ledger.record_transmission(in_doubt, "a", NOW + 10)
    timed_out = ledger.add("d3", "pay", 1, None, expiry, b"")
    ledger.record_transmission(timed_out, "b", NOW + 20)
    ledger.record_outcome(timed_out, True, True)
    ledger.record_outcome(ledger.add("d4", "sync", 1, None, expiry, b"four"), False, True)  # never written
    expired = ledger.add("d5", "sync", 1, None, expiry, b"five")
    ledger.record_notice(expired, "dead", 250.0)
    delivered = ledger.add("d6", "sync", 1, None, expiry, b"six")
    ledger.record_transmission(delivered, "a", NOW + 40)
    ledger.finish(delivered)
    ledger.record_wait("s-3", NOW + 5000)
    ledger.record_recovery(NOW, Recovery("s-4", RecoveryStage.DOWN, 100.0, 40, 2000.0))
    ledger.record_recovery(NOW, Recovery("s-5", RecoveryStage.WARMING, 300.0))
    Ledger(MemoryFolder(disk), LIMIT, "ab").add("d7", "sync", 1, None, expiry, b"seven")
    written = LEDGER
    for before, since in ENDS_WITH_CONTENT.items():
        written = written.replace(before, since)
    assert disk.files == {"ledger": written, "ledger-next-ab": STANDBY_LEDGER, **BODIES}


def test_a_stored_ledger_and_standby_file_are_recovered_and_compacted_as_before():
    disk = disk_with({"ledger": LEDGER, "ledger-next-ab": STANDBY_LEDGER, **BODIES})
    for ended in (["d6"], []):  # the second start reads the compacted ledger
        ledger = Ledger(MemoryFolder(disk), LIMIT)
        entries = ledger.entries
        assert [
            (entry.id, entry.type, entry.destination, entry.key, entry.body, entry.sent, entry.failed)
            for entry in entries.values()
        ] == [
            ("d1", "sync", 1, None, b"hello", 0, 0),
            ("d2", "order", 2, "key-1", b"two", 1, 0),
            ("d3", "pay", 1, None, b"", 1, 1),
            ("d4", "sync", 1, None, b"four", 1, 1),
            ("d5", "sync", 1, None, b"", 0, 0),
            ("d7", "sync", 1, None, b"seven", 0, 0),  # standby documents come last
        ]
        assert {entry.expiry for entry in entries.values()} == {NOW + 20000}
        assert entries["d2"].repeat_key == "repeat-2" and entries["d5"].notice == ("dead", 250.0)
        assert [entries[name].in_doubt for name in ("d2", "d3")] == [[("a", NOW + 10)], [("b", NOW + 20)]]
        assert [*ledger.ended] == ended and "d6" in ledger.remembered and ledger.waits == {"s-3": NOW + 5000}
        assert [ledger.recoveries.get(NOW, name) for name in ledger.recoveries] == [
            Recovery("s-4", RecoveryStage.DOWN, 100.0, 40, 2000.0),
            Recovery("s-5", RecoveryStage.WARMING, 300.0),
        ]
        assert disk.files == {"ledger": LEDGER_AFTER_START, **BODIES}


def test_endpoints_disabled_by_hand_are_stored_as_before():
    disk = Disk()
    states = AdministrativeStates(MemoryFolder(disk), lambda: NOW)
    for endpoint, disable in [("s-1", True), ("s-2", True), ("s-1", False)]:
        states.set_disabled(endpoint, disable, True)
    assert disk.files == {"out-by-hand": OUT_BY_HAND}
    stored = AdministrativeStates(MemoryFolder(disk_with({"out-by-hand": OUT_BY_HAND})), lambda: NOW)
    assert stored.disabled == {"s-2": None} and stored.enabled_at == {"s-1": NOW}


LIST_VERSION = Version(kind="list", origin="o", epoch="e1", number=8, digest="0f")
GAP = records.Gap(from_ms=1003.0, to_ms=1004.0, why="the disk failed", calls=2)


def test_the_audit_trail_is_stored_as_before():
    written = [
        records.ProcessStart(incarnation="p1", name="n1", boot="b1", wall_ms=NOW, steady_ms=1000.0),
        records.VersionAdopted(
            version=LIST_VERSION, order="first", source="watch", wall_ms=NOW, steady_ms=1001.0
        ),
        records.TurnActions(
            steady_ms=1002.0, calls=("d1", "s-1", "d2", "s-2"), rejected=1, abandoned=("d3",)
        ),
        GAP,
        records.ProcessEnd(1005.0),
    ]
    disk = Disk()
    files = AuditFiles(MemoryFolder(disk), LIMIT, lambda: "ab12")
    assert all(files.write(record, 1000.0) for record in written)
    assert disk.files == {"trail-ab12-000000000001": TRAIL_FRAMES, "trail-sound": b""}
    stored = AuditFiles(MemoryFolder(disk_with(disk.files)), LIMIT, lambda: "other").trail
    assert (stored.name, stored.last, stored.chain.hex()) == ("ab12", 5, "c6b8c7d6110cacdf293dcf2a2e789e43")
    assert [each.record() for each in records.scan_frames(TRAIL_FRAMES)] == written


def test_compacted_audit_records_are_stored_as_before():
    versions = {"list": LIST_VERSION}
    tally = records.EndpointTally(endpoint="s-1", calls=1, first_ms=1002.0, last_ms=1003.0)
    same = {"incarnation": "p1", "name": "n1", "boot": "b1", "versions": versions, "from_ms": 1001.0}
    total = records.StretchTotal(
        number=3, to_ms=1005.0, tallies=(tally,), rejected=4, abandoned=6, mixed=True, **same
    )
    state = records.TrailState(stretch=2, **same)
    compacted = records.CompactedRecords(
        first=1, last=5, chain=b"sixteen bytes ab", state=state, totals=(total,), gaps=(GAP,)
    )
    assert records.compacted_frame(compacted) == COMPACTED_FRAME
    assert [each.record() for each in records.scan_frames(COMPACTED_FRAME)] == [compacted]


def test_signal_messages_are_encoded_as_before():
    wait = model.Signal(endpoint="s-1", kind=SignalKind.WAIT, sequence=7, age_ms=20, wait_ms=3000)
    more = (model.Signal("s-2", SignalKind.FAILED, 8, 0), model.Signal("s-3", SignalKind.SERVED, 9, 1))
    batch = model.SignalBatch(
        version=1, incarnation="p1", incarnation_age_ms=50, request_accepted=True, signals=(wait, *more)
    )
    assert model.encode(batch) == SIGNAL_BATCH and model.decode_batch(SIGNAL_BATCH) == batch
    evidence = model.Evidence(
        endpoint="s-1", failed_by=2, first_ms=300, last_ms=100, served_ms=50, wait_ms=3000, wait_age_ms=20
    )
    clock = {"sender_clock_ms": 1000.5, "clock_age_ms": 20.0}
    both = (evidence, model.Evidence("s-2"))
    request = model.SignalRequest(version=1, acknowledged=(7, 8, 9), incarnation="p1", evidence=both, **clock)
    assert model.encode(request) == SIGNAL_REQUEST and model.decode_request(SIGNAL_REQUEST) == request


def test_an_answer_to_a_keeper_and_the_digest_of_the_settings_are_as_before(tmp_path):
    raw = {"name": "n1", "listen": "127.0.0.1:5000", "discovery": "127.0.0.2:8500", "state": str(tmp_path)}
    config = decode({**raw, "version": 3, "settings": json.loads(SETTINGS)}, {})
    machine = SimpleNamespace(
        unique_name=lambda: "p1", boot_id=lambda: "b1", steady_ms=lambda: 1000.0, wall_ms=lambda: NOW
    )
    status = SenderStatus(ready=True, held=3, heard_ms=12.0)
    log = FleetAuditLog(
        FleetSettings(), config, machine, MemoryFolder(Disk()), lambda: status, lambda *reports: None
    )
    log.record_settings(config, "start")
    assert log.answer_keeper({}, b"").content == TRAIL_RESPONSE
    settings = Version("settings", "BALANCER_CONFIG", "", 3, "96b04decf9a33e9e48120cc27702cb7a")
    assert wire.decode(TRAIL_RESPONSE).versions == {"settings": settings}
