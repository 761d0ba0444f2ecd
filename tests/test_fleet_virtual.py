"""Tests of the fleet's audit in virtual time: random faults, and faults that real processes cannot show."""

import pytest

from birchstack.emulator.rig.drawn import KINDS, play
from birchstack.emulator.rig.virtual import VirtualRig
from birchstack.emulator.virtual import WALL_MS


@pytest.mark.parametrize("kinds, hot", [(KINDS, None), (("keeper cut", "rot"), True), (("disk full",), None)])
def test_audit_reports_every_call_or_an_unknown_period_under_random_faults(kinds, hot):
    for seed in range(6):
        day = play(seed, 12, kinds, hot)
        assert not day.breaches and day.figures["calls seen"] > 50


def test_run_with_same_seed_is_reproducible():
    assert play(3, 8) == play(3, 8)


def test_step_of_wall_clock_is_a_finding_and_shifts_no_call_time():
    rig = VirtualRig(1, senders=3)
    rig.start()
    rig.run(1.0)
    rig["n1"].stepped_ms = 3_600_000.0
    for at in range(60):
        rig.stage.after(at * 20.0, rig.clients.hand_in, rig.senders[at % 3], f"d{at}", 1 + at % 2)
    rig.stage.after(300.0, rig.list.publish)
    rig.run(3.0)
    reader = rig["k1"].reader()
    assert [(each.kind, each.sender, each.detail[:16]) for each in reader.findings()] == [
        ("wall clock", "n1", "stepped by 3600 ")
    ]
    seen = {each.doc: each.at_ms for each in rig.endpoints.calls if each.sender == "n1"}
    assert len(seen) == 20
    for doc, at in seen.items():
        (call,) = reader.document_calls(doc).calls
        assert 0.0 <= WALL_MS + at - call.at_ms < 20.0


def test_keeper_spreads_its_requests_to_300_senders_over_time():
    rig = VirtualRig(2, senders=300, endpoints=2)
    arrivals = []
    for name in rig.senders:
        rig.link("k1", f"{name}:ops").tap = lambda data: arrivals.append(rig.clock.now_ms())
    rig.start()
    rig.run(3.0)
    steady = [at for at in arrivals if at > 1000.0]
    most = max(sum(begin <= at < begin + 50.0 for at in steady) for begin in range(1000, 2950, 5))
    assert len(steady) >= 2 * 4 * 300 * 0.9 and most <= 75, "300 requests in 250 ms are 60 in 50 ms"
    assert len(rig["k1"].reader().status()) == 300
