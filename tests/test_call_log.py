"""What the log and the metrics say about calls, connections and answers."""

import asyncio
import os
import re
import subprocess
import sys

from fake import OK_200, answer, play


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
