"""Tests of the emulator: edge cases, determinism, and a fixed set of random scenarios without a breach."""

import asyncio
import os
import subprocess
import sys

import msgspec
import pytest

from birchstack.emulator import explore
from birchstack.emulator.clock import Clock, Killed, ProcessLoop
from birchstack.emulator.destinations import OK, SHED, WAIT, Destination, Endpoint, RateLimiter
from birchstack.emulator.folder import TORN, Disk, MemoryFolder
from birchstack.emulator.judge import Judge
from birchstack.emulator.network import Network
from birchstack.emulator.scenario import (
    WRITE_KILLS,
    Cold,
    Group,
    Limit,
    Scenario,
    ScenarioError,
    Trouble,
    draw,
    dump,
    load,
)
from birchstack.emulator.virtual import VirtualDay, play

SHORT = Scenario(seconds=12.0)


def scenario_run(*troubles, seed=1, **changes):
    """Returns a run, not yet started, of the short scenario with troubles."""
    return VirtualDay(msgspec.structs.replace(SHORT, troubles=troubles, **changes), seed, keep_log=True)


@pytest.mark.parametrize("seed", range(2000, 2016))
def test_random_scenarios_have_no_breach(seed):
    result = play(draw(seed, Scenario(seconds=20.0)), seed)
    assert not result.breaches, result.text_of_breaches()
    assert result.figures["delivered"] > 300


def test_the_same_seed_gives_the_same_log_in_any_process(tmp_path):
    logs = []
    for hash_seed in ("1", "2"):
        path = tmp_path / hash_seed
        arguments = ["emulate", "drawn:8", "--seed", "8", "--log", path]
        subprocess.run(
            [sys.executable, "-m", "birchstack.cli", *arguments],
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            stdout=subprocess.DEVNULL,
            timeout=60,
        )
        logs.append(path.read_bytes())
    assert logs[0] == logs[1] and logs[0].count(b"\n") > 3000


# Edge cases


@pytest.mark.parametrize("write", range(1, 13))
@pytest.mark.parametrize("kind", WRITE_KILLS)
def test_a_kill_at_any_write_loses_no_document(kind, write):
    """Also at the write between the ledger record of a document and its 202 answer."""
    played = scenario_run(Trouble(kind=kind, at=4.0, senders=(0,), size=float(write)), senders=1)
    result = played.play()
    assert not result.breaches, result.text_of_breaches()
    assert [life.how for life in played.judge.lives[0]] == ["killed at a write", ""]


def test_a_document_recorded_but_not_answered_is_delivered_once_under_its_old_id():
    """The sender is killed after the ledger record `take` and before the 202: the client gets no answer."""
    unanswered = 0
    for write in range(1, 9):
        played = scenario_run(
            Trouble(kind="kill_after_write", at=4.0, senders=(0,), size=float(write)), senders=1
        )
        played.play()
        delivered = [doc for doc in played.judge.docs.values() if doc.gave_up_at and doc.delivered_at]
        assert all(sum(call.status == 200 for call in doc.calls) == 1 for doc in delivered)
        unanswered += len(delivered)
    assert unanswered


def test_the_end_of_a_trouble_leaves_another_at_the_same_destination_active():
    played = scenario_run(
        Trouble(kind="silent", at=2.0, seconds=6.0, destinations=(0,)),
        Trouble(kind="crash", at=3.0, seconds=2.0, destinations=(0,)),
    )
    played.play()
    dest = played.world.destinations[0]
    calls = [call for doc in played.judge.docs.values() for call in doc.calls if call.destination == 0]
    # After the crash the endpoints accept connections again, but still do not answer
    assert any(5500.0 < call.at < 8000.0 for call in calls)
    assert not any(call.status == 200 and 3300.0 < call.ended_at < 8000.0 for call in calls)
    assert not dest.active_troubles and not played.judge.breaches


def test_an_endpoint_drained_during_a_connection_setup_gets_the_call_within_the_grace_or_never():
    # Opening a connection takes 0.8 s of the grace period
    slow = msgspec.structs.replace(SHORT.network, delay_ms=400.0)
    played = scenario_run(Trouble(kind="replace", at=4.0, destinations=(0, 1), size=1.0), network=slow)
    result = played.play()
    assert "3 drain" not in [breach.rule for breach in result.breaches], result.text_of_breaches()
    drained = {uid for (_, uid), (state, _) in played.judge._listed.items() if state != "active"}
    since = {(sender, uid): at for (sender, uid), (state, at) in played.judge._listed.items()}
    late_calls = [
        call
        for doc in played.judge.docs.values()
        for call in doc.calls
        if call.endpoint in drained and call.at > since[call.sender, call.endpoint]
    ]
    assert drained and all(call.at - since[call.sender, call.endpoint] < 2050.0 for call in late_calls)


@pytest.mark.parametrize("seconds", [-60.0, 60.0, 86400.0])
def test_a_step_of_the_wall_clock_before_a_restart_moves_no_expiry(seconds):
    silent = Trouble(kind="silent", at=2.0, seconds=9.0, destinations=(0, 1, 2, 3))
    kill = Trouble(kind="kill", at=5.1)
    played = scenario_run(silent, Trouble(kind="clock_step", at=5.0, size=seconds), kill)
    result = played.play()
    assert not result.breaches, result.text_of_breaches()
    assert abs(scenario_run(silent, kill).play().share - result.share) < 0.02


def test_ten_thousand_destinations():
    groups = (Group(count=10000, endpoints=1),)
    result = play(msgspec.structs.replace(Scenario(seconds=3.0, senders=1), destinations=groups), 1)
    assert not result.breaches and result.figures["delivered"] > 60


def test_two_senders_return_to_a_cold_destination_together():
    played = scenario_run(
        Trouble(kind="crash", at=3.0, seconds=6.0, destinations=(0, 1)), seconds=20.0, senders=2
    )
    result = played.play()
    assert not result.breaches and not result.figures.get("fell over"), result.text_of_breaches()
    delivering = [
        call.sender
        for doc in played.judge.docs.values()
        for call in doc.calls
        if call.destination == 0 and call.status == 200 and 9200.0 < call.ended_at < 14000.0
    ]
    assert set(delivering) == {0, 1}


# Components


def test_an_invalid_key_is_reported_with_its_path(tmp_path):
    path = tmp_path / "s.toml"
    for text, expected in (
        ("[[troubles]]\nkind='silent'\nat=1.0\nsize_=2", "size_"),
        ("[[troubles]]\nkind='flood'\nat=1.0", "$.troubles[0].kind"),
        ("[[troubles]]\nkind='kill'\nat=1.0\nsenders=[7]", "$.troubles[0].senders"),
        ("[clients]\nper_second=0.0", "$.clients.per_second"),
        ("x = [", "s.toml"),
    ):
        path.write_text(text)
        with pytest.raises(ScenarioError) as error:
            load(path)
        assert expected in str(error.value) and "s.toml" in str(error.value)


def test_a_written_scenario_is_read_back_unchanged(tmp_path):
    for seed in range(30):
        (tmp_path / "s.toml").write_bytes(dump(draw(seed)))
        assert load(tmp_path / "s.toml") == draw(seed)


@pytest.mark.parametrize(
    "limit, max_taken",
    [
        (Limit(kind="rate", per_second=10.0), 12),
        (Limit(per_second=10.0), 16),
        (Limit(kind="span", per_second=10.0), 20),
        (Limit(kind="flight", per_second=3.0), 99),
    ],
)
def test_rate_limits_accept_the_calls_that_they_state(limit, max_taken):
    limiter = RateLimiter(limit)
    taken = 0
    for at in range(0, 1000, 10):
        accepted, wait = limiter.take(float(at))
        taken += accepted
        assert accepted or wait > 0.0
    assert 9 <= taken <= max_taken or limit.kind == "flight" and taken == 100
    limiter.in_flight = 3
    assert limiter.take(2000.0)[0] == (limit.kind != "flight")


def test_a_cold_destination_is_overloaded_above_its_multiple_and_not_below():
    for rate, overloaded in ((4.0, False), (14.0, True)):
        dest = Destination(0, Group(capacity=3.0), 3.0, Cold(), 1)  # 9 a second when warm
        trouble = Trouble(kind="crash", at=0.0, seconds=1.0)
        dest.start_trouble(trouble)
        dest.failed(500.0, 1)
        dest.end_trouble(1000.0, trouble)
        endpoint = Endpoint("e1", dest, 0)
        for call in range(int(5 * rate)):
            dest.arrive(1000.0 + call * 1000.0 / rate, endpoint, 1, 0.0)
        assert bool(dest.overloads) == overloaded
        assert all(each.calls_of_observers == each.calls for each in dest.overloads)


def destination_in_outage(kind, usual_rate=3.0, group=None):
    """Returns a destination in an outage from 0 to 1000 ms, its endpoint and the trouble."""
    dest = Destination(0, group or Group(), usual_rate, Cold(), 1)
    trouble = Trouble(kind=kind, at=0.0, seconds=1.0)
    dest.start_trouble(trouble)
    dest.failed(500.0, 1)
    return dest, Endpoint("e1", dest, 0), trouble


def calls_until_overload(dest, endpoint, at):
    return next(
        calls
        for calls in range(1, 1000)
        if dest.arrive(at + calls * 0.01, endpoint, 1, 0.0) and dest.overloads
    )


@pytest.mark.parametrize("at", [1000.0, 1500.0, 3500.0, 7000.0])
@pytest.mark.parametrize("usual_rate", [0.3, 1.0, 3.0, 10.0, 40.0])
def test_a_cold_destination_is_overloaded_by_the_first_call_above_the_margin(usual_rate, at):
    """The margin over the mean number of calls is twice its square root, plus two."""
    dest, endpoint, trouble = destination_in_outage("crash", usual_rate)
    dest.end_trouble(1000.0, trouble)
    warmth = 0.3 + 0.7 * (at - 1000.0) / 8000.0
    allowed = 0.9 * max(1.5, 2.5 * usual_rate) * warmth * 2.0
    earlier_bound = 1.5 * max(2.0, 3.0 * usual_rate) * warmth * 2.0 + 3.0  # it applied 2 s later
    calls = calls_until_overload(dest, endpoint, at)
    assert calls - 1 <= allowed + 2.0 * allowed**0.5 + 2.0 < calls + 0.1 and calls - 1 <= earlier_bound


@pytest.mark.parametrize("kind, counted", [("silent", True), ("vanish", True), ("shut", False)])
def test_calls_pending_at_the_recovery_count_towards_an_overload_and_refused_ones_do_not(kind, counted):
    dest, endpoint, trouble = destination_in_outage(kind)
    for call in range(40):
        dest.arrive(900.0 + call, endpoint, 1, 0.0)
    dest.end_trouble(1000.0, trouble)
    assert (calls_until_overload(dest, endpoint, 1001.0) == 1) == counted


@pytest.mark.parametrize("kind, answer", [("shut", SHED), ("shut_told", WAIT), ("slow", OK)])
def test_the_answers_of_a_destination_during_a_trouble(kind, answer):
    dest = Destination(0, Group(answer_ms=50.0), 3.0, Cold(), 1)
    dest.start_trouble(Trouble(kind=kind, at=0.0, seconds=2.0))
    verdict = dest.arrive(500.0, Endpoint("e1", dest, 0), 0, 0.0)
    assert verdict.answer == answer and (verdict.wait_ms == 1500.0) == (answer == WAIT)
    assert answer != OK or verdict.answer_at > 600.0


def test_a_full_disk_refuses_writes_and_a_torn_write_leaves_half():
    disk = Disk()
    folder = MemoryFolder(disk)
    killed = []
    handle = folder.open("ledger")
    folder.append(handle, b"x" * 100)
    disk.full = True
    assert folder.append(handle, b"y" * 1000) == 412  # the free rest of the last block
    with pytest.raises(OSError):
        folder.append(handle, b"z")
    disk.full = False
    disk.strike = (disk.writes + 1, TORN)
    disk.kill_process = lambda: killed.append(1)
    with pytest.raises(Killed):
        folder.append(handle, b"w" * 10)
    assert killed and disk.files["ledger"].endswith(b"y" + b"w" * 5) and len(disk.files["ledger"]) == 517


def test_asyncio_runs_in_virtual_time_and_a_paused_process_does_nothing():
    clock = Clock()
    network = Network(clock, 1, 5.0, 0.1, 0.0)
    server, client = ProcessLoop(clock, network, "s"), ProcessLoop(clock, network, "c")
    received = []

    class Echo(asyncio.BufferedProtocol):
        def connection_made(self, transport):
            self.transport = transport
            self.buffer = bytearray(100)

        def get_buffer(self, sizehint):
            return self.buffer

        def buffer_updated(self, count):
            received.append((clock.now, bytes(self.buffer[:count])))
            if self.transport._loop is server:
                self.transport.write(b"echo")

        def eof_received(self):
            return False

    async def send_twice():
        transport, _ = await client.create_connection(Echo, "h", 1)
        transport.write(b"one")
        async with asyncio.timeout(60.0):
            await asyncio.sleep(30.0)
        transport.write(b"two")

    server.create_task(server.create_server(Echo, "h", 1))
    task = client.create_task(send_twice())
    clock.run(29.0)
    server.set_paused(True)
    clock.run(40.0)
    assert task.done() and [data for _, data in received] == [b"one", b"echo"] and 0.0 < received[0][0] < 0.05
    server.set_paused(False)
    clock.run(41.0)
    assert [data for _, data in received][2:] == [b"two", b"echo"] and received[2][0] == 40.0


def test_a_breach_is_shrunk_to_the_one_trouble_that_matters():
    scenario = msgspec.structs.replace(
        draw(3, max_troubles=1),
        troubles=(
            Trouble(kind="slow", at=3.0),
            Trouble(kind="kill", at=5.0, seconds=8.0),
            Trouble(kind="jump", at=6.0),
        ),
    )
    shrunk = explore.shrink(
        scenario,
        3,
        "x",
        lambda reduced, seed: {"x": 1} if any(t.kind == "kill" for t in reduced.troubles) else {},
    )
    assert [each.kind for each in shrunk.troubles] == ["kill"] and shrunk.seconds < 11.0
    assert shrunk.troubles[0].seconds <= 0.5


def test_the_judge_records_the_history_of_a_document_with_a_breach():
    judge = Judge(SHORT)
    judge.started(0.0, 0)
    binding = next(kind for kind in SHORT.types if kind.effect == "binding")
    doc = judge.handed(10.0, 0, "d1", binding, 0, None, 9000.0, b"x", 1)
    judge.answered(11.0, doc, 202)
    first = judge.call(20.0, 0, "d1", "e1", 0, b"x")
    judge.let_go(2020.0, first)
    judge.call(2100.0, 0, "d1", "e2", 0, b"x")
    assert [breach.rule for breach in judge.breaches] == ["2 effects"]
    assert any("call at e1" in line for line in doc.lines) and any("try 2" in line for line in doc.lines)


@pytest.mark.parametrize(("late", "broken"), [(40.0, []), (60.0, ["2 window"])])
def test_the_judge_allows_a_repeat_within_the_window_and_the_latency_allowance(late, broken):
    judge = Judge(SHORT)
    judge.started(0.0, 0)
    kind = next(kind for kind in SHORT.types if kind.effect == "numbered")
    doc = judge.handed(10.0, 0, "d1", kind, 0, None, 19000.0, b"x", 1)
    judge.answered(11.0, doc, 202)
    judge.let_go(2020.0, judge.call(20.0, 0, "d1", "e1", 0, b"x"))
    judge.call(20.0 + kind.window_ms + late, 0, "d1", "e2", 0, b"x")
    assert [breach.rule for breach in judge.breaches] == broken


@pytest.mark.parametrize(("repeats", "broken"), [(70, False), (150, True)])
def test_the_judge_limits_the_repeats_of_a_run(repeats, broken):
    judge = Judge(SHORT)
    judge.started(0.0, 0)
    kind = SHORT.types[0]
    for number in range(150):
        doc = judge.handed(0.0, 0, f"d{number}", kind, 0, None, 9000.0, b"x", number)
        judge.answered(1.0, doc, 202)
        for _ in range(1 + (number < repeats)):
            judge.answer(3.0, judge.call(2.0, 0, doc.id, "e1", 0, b"x"), 503, 0.0, 1.0)
    judge.finish(4.0)
    assert ("repeats" in [breach.rule for breach in judge.breaches]) == broken
