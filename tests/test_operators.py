"""The operators' server of a real sender on loopback: each request and its effects."""

import asyncio
import contextlib
import signal

import pytest
from fake import OK_200, World, answer, post, read_message


def play(folder, story, **words):
    async def whole():
        (folder / "state").mkdir()
        async with World(folder / "state", **words) as world:
            await asyncio.wait_for(story(world), 20.0)

    asyncio.run(whole())


async def client_status(world):
    status, _ = await world.hand_in_raw(b"GET /up HTTP/1.1\r\nHost: api\r\nConnection: close\r\n\r\n")
    return status


def test_ready_answers_200_once_clients_are_accepted(tmp_path):
    async def story(world):
        assert await world.operator("GET", "/ready") == (200, "ready\n")

    play(tmp_path, story)


def test_an_unknown_request_is_refused_and_changes_nothing(tmp_path):
    async def story(world):
        for method, target in [("GET", "/drain"), ("POST", "/nothing"), ("DELETE", "/ready")]:
            status, _ = await world.operator(method, target)
            assert 400 <= status < 500
        assert await client_status(world) == 200
        reader, writer = await asyncio.open_connection("127.0.0.1", world.ops)
        writer.write(b"\x00\x01 not http\r\n\r\n")
        first, _, _ = await read_message(reader)
        assert first.startswith("HTTP/1.1 400")
        assert await client_status(world) == 200

    play(tmp_path, story)


def test_open_connections_do_not_block_another_request(tmp_path):
    async def story(world):
        held = []
        for _ in range(80):  # more than the server keeps at once, each with half a request
            _, writer = await asyncio.open_connection("127.0.0.1", world.ops)
            writer.write(b"GET /ready HTTP/1.1\r\nHost:")
            held.append(writer)
        began = asyncio.get_running_loop().time()
        assert await world.operator("GET", "/ready") == (200, "ready\n")
        assert asyncio.get_running_loop().time() - began < 0.5
        for writer in held:
            writer.close()

    play(tmp_path, story)


def test_a_drain_turns_clients_away_and_still_accepts_a_request_on_an_open_connection(tmp_path):
    async def story(world):
        idle_reader, idle_writer = await world.client()  # idle after one request
        idle_writer.write(post("d0"))
        assert (await read_message(idle_reader))[0].startswith("HTTP/1.1 202")
        busy_reader, busy_writer = await world.client()
        busy_writer.write(post("d1")[:20])  # in the middle of a request
        assert await world.operator("POST", "/drain") == (200, "drained\n")
        assert await client_status(world) == 503
        assert await asyncio.wait_for(idle_reader.read(), 1.0) == b""  # closed at once
        busy_writer.write(post("d1")[20:])
        first, fields, _ = await read_message(busy_reader)
        assert first.startswith("HTTP/1.1 202") and fields["connection"] == "close"
        assert await asyncio.wait_for(busy_reader.read(), 1.0) == b""
        assert await world.until(lambda: {"d0", "d1"} <= {doc for doc, _, _ in world.calls})
        assert world.process.returncode is None
        assert await world.operator("POST", "/undrain") == (200, "serving\n")
        assert await client_status(world) == 200
        status, fields = await world.hand_in("d2")
        assert status == 202 and "connection" not in fields

    play(tmp_path, story)


# Replacing the process


def test_an_upgrade_under_load_ends_each_document_once_and_sends_none_twice(tmp_path):
    async def story(world):
        taken, stop = [], asyncio.Event()
        world.answers = [[b""] * 5 + [OK_200]] * 10000  # each answer takes 0.1 s, so that calls are in flight

        async def clients():
            number = 0
            while not stop.is_set():
                number += 1
                with contextlib.suppress(OSError, TypeError):
                    status, _ = await world.hand_in(f"u{number}")
                    if status == 202:
                        taken.append(f"u{number}")
                await asyncio.sleep(0.03)

        load = asyncio.create_task(clients())
        await asyncio.sleep(0.5)
        second, ops = await world.beside()
        assert taken
        first = world.process
        world.process = second  # ended by the world at the end
        first.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(first.wait(), 4.0) == 0
        await asyncio.sleep(0.5)
        stop.set()
        await load
        assert await world.operator("GET", "/ready", ops) == (200, "ready\n")
        ended = lambda: {doc for doc, _, _ in world.calls} | {each["ref"] for each in world.notices}  # noqa: E731
        assert await world.until(lambda: set(taken) <= ended(), 8.0)
        called = [doc for doc, _, _ in world.calls]
        assert len(called) == len(set(called)), "a document was sent twice"
        assert "holds the folder" in world.log() and "handing=True" in world.log()

    play(tmp_path, story)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_documents_of_a_standby_process_that_ends_first_are_sent_by_the_holder(tmp_path, number):
    async def story(world):
        second, _ = await world.beside()
        names = [f"d{each}" for each in range(24)]  # the two processes share them
        for name in names:
            assert (await world.hand_in(name, left=9000))[0] == 202
        accepted = [
            path.read_text().count('["take"')
            for path in world.folder.glob("ledger-next-*")
            if path.suffix != ".lock"
        ]
        assert accepted and accepted[0] and await world.until(lambda: len(world.calls) == len(names), 1.0)
        second.send_signal(number)
        assert await asyncio.wait_for(second.wait(), 2.5) == (0 if number == signal.SIGTERM else -number)
        assert await world.until(lambda: not [*world.folder.glob("ledger-next-*")])
        assert sorted(doc for doc, _, _ in world.calls) == sorted(names) and not world.notices
        first = world.process  # no standby process: it finishes its documents
        first.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(first.wait(), 4.0) == 0
        assert "handing=True" not in world.log()

    play(tmp_path, story)


# Metrics


def parse_metrics(text):
    return dict(line.split("=") for line in text.splitlines())


def test_the_metrics_count_outcomes_by_type_since_the_start(tmp_path):
    async def story(world):
        assert (await world.hand_in("d1"))[0] == 202
        assert (await world.hand_in("d2", left=0))[0] == 429  # no time left: rejected
        assert await world.until(lambda: world.calls)
        await asyncio.sleep(0.1)
        status, text = await world.operator("GET", "/metrics")
        metrics = parse_metrics(text)
        assert status == 200 and metrics["balancer.responses.sync.ok"] == "1"
        assert (
            metrics["balancer.responses.sync.shed"] == "1"
            and metrics["balancer.responses.sync.errors"] == "0"
        )
        assert metrics["balancer.responses.pay.ok"] == "0" and metrics["balancer.tries"] == "1"
        assert metrics["balancer.active"] == "0" and metrics["balancer.pool_size"] == "1"
        assert metrics["balancer.pool_ejected"] == "0" and metrics["balancer.config_applied"] == "0"

    play(tmp_path, story)


# Disabled endpoints


def test_a_disabled_endpoint_gets_nothing_new_until_it_is_enabled(tmp_path):
    async def story(world):
        assert (await world.hand_in("d1"))[0] == 202
        assert await world.until(lambda: len(world.calls) == 1)
        assert await world.operator("POST", "/endpoints/disable?id=s-1") == (200, "s-1 out\n")
        assert (await world.operator("POST", "/endpoints/disable?id=s-1"))[0] == 200  # a second time
        for target in [
            "/endpoints/disable?id=s-9",
            "/endpoints/enable?id=s-9",
            "/endpoints/disable",
            "/endpoints/disable?id=s-1&id=s-2",
        ]:
            assert 400 <= (await world.operator("POST", target))[0] < 500
        assert parse_metrics((await world.operator("GET", "/metrics"))[1])["balancer.pool_ejected"] == "1"
        assert (await world.hand_in("d2"))[0] == 429  # no endpoint available: rejected with a time to retry
        await asyncio.sleep(0.5)
        assert len(world.calls) == 1
        assert await world.operator("POST", "/endpoints/enable?id=s-1") == (200, "s-1 in\n")
        assert (await world.hand_in("d3"))[0] == 202
        assert await world.until(lambda: len(world.calls) == 2) and world.calls[1][0] == "d3"
        assert parse_metrics((await world.operator("GET", "/metrics"))[1])["balancer.pool_ejected"] == "0"

    play(tmp_path, story)


def test_a_disabled_endpoint_stays_disabled_across_an_upgrade(tmp_path):
    async def story(world):
        assert (await world.operator("POST", "/endpoints/disable?id=s-1"))[0] == 200
        second, ops = await world.beside()
        first, world.process = world.process, second
        first.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(first.wait(), 4.0) == 0
        assert await world.until(lambda: "holds the folder" in world.log())
        assert (await world.hand_in("d1"))[0] == 429  # no endpoint available: rejected with a time to retry
        await asyncio.sleep(0.5)
        assert not world.calls
        assert (await world.operator("POST", "/endpoints/enable?id=s-1", ops))[0] == 200
        assert (await world.hand_in("d2"))[0] == 202
        assert await world.until(lambda: world.calls)

    play(tmp_path, story)


def test_a_wait_requested_from_the_old_process_is_honoured_by_the_new_one(tmp_path):
    async def story(world):
        world.answers = [answer(429, x_come_back_ms=2500)]
        assert (await world.hand_in("d1"))[0] == 202
        assert await world.until(lambda: world.calls)
        requested_at = asyncio.get_running_loop().time()
        second, _ = await world.beside()
        first, world.process = world.process, second
        first.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(first.wait(), 4.0) == 0
        assert await world.until(lambda: "holds the folder" in world.log())
        assert await world.until(lambda: len(world.calls) == 2, 6.0)  # d1 again, from the new one
        assert asyncio.get_running_loop().time() - requested_at >= 2.4

    play(tmp_path, story)
