"""What the log and the metrics say about calls, connections and answers."""

import asyncio
import logging
import os
import re
import select
import subprocess
import sys

from fake import OK_200, answer, play

from birchstack.net.log import KeyValueFormatter
from birchstack.net.machine import Machine
from birchstack.net.vitals import Vitals


def parse_metrics(text):
    return dict(line.split("=") for line in text.splitlines())


def test_debug_lines_tell_a_documents_calls_connections_and_end(tmp_path):
    async def story(world):
        world.answers = [answer(503), OK_200]
        assert (await world.hand_in("d1"))[0] == 202
        assert await world.until(lambda: "event=delivered" in world.log())
        lines = [line for line in world.log().splitlines() if "doc=d1" in line]
        events = [re.search(r'event=("[^"]*"|\S+)', line)[1].strip('"') for line in lines]
        call = ["call", "call ended"]
        assert [each for each in events if each != "delivered"] == ["answered", *call, *call]
        ends = [line for line in lines if 'event="call ended"' in line]
        assert "outcome=full status=503" in ends[0] and "outcome=ok status=200" in ends[1]
        assert all(" connection=1 " in line for line in ends)

    play(tmp_path, story, environment={"BALANCER_LOG_LEVEL": "debug"})


def test_bytes_that_answer_no_call_are_counted_and_logged_with_the_close_of_their_connection(tmp_path):
    async def story(world):
        world.answers = [[OK_200, OK_200]]
        assert (await world.hand_in("d1"))[0] == 202
        assert await world.until(lambda: "unrequested bytes" in world.log())
        await asyncio.sleep(0.1)
        metrics = parse_metrics((await world.operator("GET", "/metrics"))[1])
        assert metrics["balancer.connections.unrequested_bytes"] == "1"
        assert metrics["balancer.connections.closed.unrequested_bytes"] == "1"
        assert metrics["balancer.connections.opened"] == "1" and metrics["balancer.calls.ok"] == "1"

    play(tmp_path, story)


def test_an_unknown_log_level_ends_the_program_with_a_line_that_names_the_variable():
    run = subprocess.run(
        [sys.executable, "-m", "birchstack"],
        env={**os.environ, "BALANCER_LOG_LEVEL": "loud"},
        capture_output=True,
        text=True,
        timeout=20,
    )
    assert run.returncode == 2 and "BALANCER_LOG_LEVEL" in run.stderr and "Traceback" not in run.stderr


def test_an_exception_names_its_kind_and_place_ahead_of_a_trace_that_fits_the_line():
    def fail(depth):
        if depth:
            fail(depth - 1)
        raise OSError(107, "not connected" + " " * 20 * depth)

    try:
        fail(200)
    except OSError:
        record = logging.LogRecord("net", logging.ERROR, __file__, 1, "callback", (), sys.exc_info())
    line = KeyValueFormatter().format(record)
    before, _, trace = line.partition(" trace=")
    assert 'error="OSError: [Errno 107] not connected"' in before and before.count("test_call_log.py:") == 3
    assert len(line) < select.PIPE_BUF and "not connected" in trace[-40:]


def test_a_delay_of_the_event_loop_is_measured_and_logged_once_a_second(caplog):
    class Loop:
        def time(self):
            return now

    vitals, now = Vitals(Loop(), Machine(), 0.05), 10.0
    for delay in (0.0, 0.01, 0.3, 0.4, 0.9):
        vitals.tick()
        now += 0.05 + delay
    vitals.tick()
    figures = dict(vitals.figures())
    assert figures["loop.delays"] == 3 and figures["loop.max_delay_ms"] == 900
    assert 1 << 20 < figures["memory_bytes"] < 1 << 34
    assert [each.getMessage() for each in caplog.records] == ["event loop held up"] * 2
