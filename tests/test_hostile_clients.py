"""Hostile clients cost other clients nothing: memory, answers, turns and addresses stay as they should."""

import asyncio
import contextlib
import signal
import socket
import sys
import time
from pathlib import Path

import pytest
from fake import OK_200, play, post, read_message
from hostile import CHUNKED, SENDING, STOPPING, TRICKLING

from birchstack import interface
from birchstack.net.address_claims import AddressClaims
from birchstack.net.listed import EndpointList

LIMITS = {"memory_mb": 32, "sockets": 1024}  # the least that the pages name, with the most descriptors
CROWD = 450  # clients: more than may be connected at once
CLIENT_TIMEOUT_S = 0.4  # a client waits so long for its answer
SERVED_SHARE = 0.5  # what has to be served at least
SECONDS = 3.0


def peak_memory_mb(process):
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024.0 for line in lines if line.startswith("VmHWM:"))


async def status_of(world, request, within=2.0):
    """Status of the answer to a request over a connection of its own; 0 without an answer in time."""
    reader, writer = await world.client()
    with contextlib.suppress(TimeoutError, OSError):
        try:
            writer.write(request)
            message = await asyncio.wait_for(read_message(reader), within)
            return int(message[0].split()[1]) if message else 0
        finally:
            writer.transport.abort()
    return 0


async def usual_answers(world, seconds):
    """Statuses and times of a usual client's requests, one after the other."""
    statuses, times, end = [], [], time.monotonic() + seconds
    while time.monotonic() < end:
        began = time.monotonic()
        statuses.append(await status_of(world, post(f"u{len(times)}")))
        times.append(time.monotonic() - began)
        await asyncio.sleep(0.03)
    return statuses, times


async def beside_hostile_clients(world, kind, port, *counts):
    """Statuses and times of a usual client's requests beside hostile processes with that many clients."""
    hostile, root = Path(__file__).parent / "hostile.py", Path(__file__).parents[1]
    commands = [[sys.executable, hostile, kind, str(port), str(count), str(SECONDS)] for count in counts]
    crowds = [
        await asyncio.create_subprocess_exec(*command, env={"PYTHONPATH": str(root)}) for command in commands
    ]
    await asyncio.sleep(0.5)
    statuses, times = await usual_answers(world, SECONDS - 1.0)
    for crowd in crowds:
        assert await crowd.wait() == 0
    print(
        f"{kind}: peak {peak_memory_mb(world.process):.1f} MB, {len(times)} usual answers, "
        f"median {1000 * sorted(times)[len(times) // 2]:.0f} ms, slowest {1000 * max(times):.0f} ms, "
        f"{len(times) - statuses.count(202)} not 202"
    )
    return statuses, times


@pytest.mark.parametrize("door", ["clients", "operators"])
@pytest.mark.parametrize("kind", STOPPING | TRICKLING)
def test_memory_passes_its_limit_beside_hundreds_of_clients_that_stop_half_way(tmp_path, kind, door):
    async def story(world):
        port = world.port if door == "clients" else world.ops
        statuses, times = await beside_hostile_clients(world, kind, port, CROWD)
        assert peak_memory_mb(world.process) < LIMITS["memory_mb"]
        assert 0 not in statuses and max(times) < CLIENT_TIMEOUT_S
        assert statuses.count(202) >= SERVED_SHARE * len(times)

    play(tmp_path, story, **LIMITS)


@pytest.mark.parametrize("kind", SENDING)
def test_a_usual_client_waits_for_clients_that_send_at_full_speed(tmp_path, kind):
    async def story(world):
        statuses, times = await beside_hostile_clients(world, kind, world.port, 8, 8)
        assert peak_memory_mb(world.process) < LIMITS["memory_mb"]
        assert 0 not in statuses and max(times) < CLIENT_TIMEOUT_S
        if kind != "new names":  # those are documents like any other, and more than can be sent
            assert statuses == [202] * len(times)

    play(tmp_path, story, **LIMITS)


# The answer to a client that had closed raised an exception, and the other documents of the turn were dropped
def test_a_document_is_dropped_with_the_turn_of_a_client_that_left(tmp_path):
    async def story(world):
        clients = [await world.client() for _ in range(20)]
        await world.hand_in("before")  # all are accepted by now
        world.process.send_signal(signal.SIGSTOP)
        for number, (_, writer) in enumerate(clients):
            leaves = number % 2 == 0
            writer.write(post(f"d{number}", more="Connection: close\r\n" if leaves else ""))
            if leaves:
                writer.close()
        await asyncio.sleep(0.05)
        world.process.send_signal(signal.SIGCONT)
        for reader, _ in clients[1::2]:
            first, *_ = await asyncio.wait_for(read_message(reader), CLIENT_TIMEOUT_S)
            assert first.startswith("HTTP/1.1 202")
        assert await world.until(lambda: len(world.calls) == 11) and "trace=" not in world.log()

    play(tmp_path, story)


def send_and_leave(port, requests):
    """Sends requests, more than the receiver's buffers hold, and closes the connection without a reset."""
    client = socket.create_connection(("127.0.0.1", port))
    client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 22)
    client.setblocking(False)
    sent = client.send(b"".join(requests))
    client.close()
    return sent


@pytest.mark.parametrize("size", [1000, 20000, 60000])
@pytest.mark.parametrize("held", [False, True])
def test_requests_are_sent_on_after_their_client_closed_with_much_unread(tmp_path, size, held):
    async def story(world):
        requests = [post(f"left{number}", "pay", body=b"x" * size) for number in range(3_000_000 // size)]
        if held:
            world.process.send_signal(signal.SIGSTOP)
        assert send_and_leave(world.port, requests) > 20 * size
        await asyncio.sleep(0.05)
        if held:
            world.process.send_signal(signal.SIGCONT)
        statuses, times = await usual_answers(world, 1.0)
        assert statuses == [202] * len(times)
        assert not [doc for doc, *_ in world.calls if doc.startswith("left")] and not world.notices
        for number in range(3):  # it comes again
            assert (await world.hand_in(f"left{number}", "pay"))[0] == 202
        again = lambda: [doc for doc, *_ in world.calls if doc.startswith("left")]  # noqa: E731
        assert await world.until(lambda: len(again()) == 3)
        assert sorted(again()) == ["left0", "left1", "left2"]

    play(tmp_path, story)


@pytest.mark.parametrize("leaves", ["before its answer", "after its answer"])
def test_an_id_runs_twice_that_comes_again_after_its_client_left(tmp_path, leaves):
    async def story(world):
        names, new = [f"d{number}" for number in range(6)], None
        world.answers = [[b""] * 20 + [OK_200]] * 4  # 0.4 s each
        for number in range(36):
            reader, writer = await world.client()
            writer.write(post(names[number % len(names)], "pay", left=9000))
            if leaves == "after its answer":
                await read_message(reader)
            writer.close()
            if number == 10:
                new, _ = await world.beside()
            if number == 20:
                world.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.03)
        await asyncio.wait_for(world.process.wait(), 4.0)
        world.process = new
        for name in names:
            assert await status_of(world, post(name, "pay", left=9000)) == 202
        assert await world.until(lambda: {doc for doc, *_ in world.calls} == {*names})
        await asyncio.sleep(0.5)
        assert sorted(doc for doc, *_ in world.calls) == names and not world.notices

    play(tmp_path, story)


@pytest.mark.parametrize("told", ["the new one first", "the old one later", "both at once"])
def test_a_new_process_at_the_address_of_one_that_has_gone_is_taken_for_it(tmp_path, told):
    async def story(world):
        await world.until(lambda: world.watchers)
        assert (await world.hand_in("before"))[0] == 202
        assert await world.until(lambda: world.calls)
        new = {**world.entry(uid="s-2"), "pod_group": 2}  # another partner's, at the same address
        gone = world.entry("left")
        lists = [[new, gone]] if told == "both at once" else [[new], [gone]]
        for revision, targets in enumerate(lists, 8):
            world.say({"rev": revision, "all": False, "targets": targets})
            await asyncio.sleep(0.3)
            await world.hand_in(f"one{revision}", left=3000)
            assert (await world.hand_in(f"two{revision}", left=3000, dest=2))[0] == 202
        await asyncio.sleep(0.5)
        called = {doc for doc, *_ in world.calls}
        assert called == {"before", *(f"two{revision}" for revision, _ in enumerate(lists, 8))}

    play(tmp_path, story)


class FakeCalls:
    def __init__(self):
        self.addresses = {}
        self.set_address = self.addresses.__setitem__
        self.remove_endpoint = lambda name: self.addresses.pop(name, None)


def test_an_address_belongs_to_the_endpoint_that_was_listed_there_last():
    def entry(name, state=interface.READY, port=1):
        return interface.Endpoint(name, 1, "a", 0, state, 0.0), ("127.0.0.1", port)

    def told(mode, *entries):
        effective = claims.resolve(mode, [*entries])
        known.apply(mode, effective)
        assert {*known.entries} == {*calls.addresses}
        return [(each.name, each.state) for each, _ in effective]

    whole, delta = interface.WHOLE, interface.CHANGES
    ready, draining, gone = interface.READY, interface.DRAINING, interface.GONE
    calls = FakeCalls()
    known = EndpointList(calls)
    claims = AddressClaims(known)
    # two that were listed together share it
    assert told(whole, entry("a"), entry("b")) == [("a", ready), ("b", ready)]
    assert told(whole, entry("a")) == [("a", ready)]
    assert told(delta, entry("c")) == [("c", ready), ("a", gone)]
    assert told(delta, entry("a", draining)) == [("a", gone)]
    assert told(whole, entry("a"), entry("c")) == [("c", ready)]
    assert told(delta, entry("c", gone)) == [("c", gone), ("a", ready)]
    assert told(delta, entry("d", draining)) == [("d", draining)]  # it is called no more anyway
    assert told(delta, entry("a", gone), entry("d", gone), entry("e")) == [
        ("a", gone), ("d", gone), ("e", ready)
    ]  # fmt: skip
    assert told(delta, entry("f")) == [("f", ready), ("e", gone)]
    assert told(delta, entry("g")) == [("g", ready), ("f", gone)]
    assert told(delta, entry("f", ready, 2)) == [("f", ready)]  # it moves
    assert told(delta, entry("g", gone), entry("h")) == [("g", gone), ("h", ready)]
    assert told(delta, entry("h", ready, 3)) == [("h", ready), ("e", ready)]
    assert told(whole, entry("e"), entry("f", ready, 2)) == [("e", ready), ("f", ready)]


# A pause in reading counted on after it had ended: as the age of the next request, and as not having waited
def test_documents_in_many_pieces_on_one_connection_are_refused_after_a_pause(tmp_path):
    async def story(world):
        reader, writer = await world.client()
        for number in range(12):
            head = CHUNKED.replace(b"Request-Id: c1", b"Request-Id: c%d" % number)
            writer.write(head + b"1\r\na\r\n" * 50 + b"0\r\n\r\n")
            first, *_ = await read_message(reader)
            assert first.startswith("HTTP/1.1 202"), number
            await asyncio.sleep(1.5 * CLIENT_TIMEOUT_S if number % 4 == 0 else 0.0)
        assert await world.until(lambda: len(world.calls) == 12)
        assert {body for _, body, _ in world.calls} == {b"a" * 50}

    play(tmp_path, story)
