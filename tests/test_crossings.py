"""Races between two events, always in the order that could go wrong: see docs/notes/crossings.md.

Peers wait for a condition before they go on, so no result depends on timing."""

import asyncio
import json
import signal
import socket
from pathlib import Path

import pytest
from fake import OK_200, Shut, World, answer, play, post, read_message

from birchstack import interface
from birchstack.net import discovery, sender
from birchstack.net.calls import Call, Calls
from birchstack.net.config import decode
from birchstack.net.discovery import Watch
from birchstack.net.front import ClientServer
from birchstack.net.machine import Machine
from birchstack.net.notices import Notices

# A connection established late: a call decided earlier may no longer be allowed


@pytest.mark.parametrize("meanwhile", ["wait", "leaving", "left", "moved"])
def test_a_call_is_not_written_if_its_endpoint_changed_while_it_was_dialled(tmp_path, meanwhile):
    async def story(world):
        shut, answered = Shut(), asyncio.get_running_loop().create_future()
        world.answers = [answered]
        both = [world.entry(), world.entry(uid="s-2", place=shut.place)]
        world.say({"rev": 8, "all": True, "targets": both})
        await listed(world, 2)
        for doc in ("d1", "d2"):  # one for each endpoint
            assert (await world.hand_in(doc))[0] == 202
        assert await world.until(lambda: world.calls)
        await shut.dialled(world)
        if meanwhile == "wait":
            answered.set_result(answer(429, X_Come_Back_Ms="2500"))
            assert await world.until(lambda: '["wait","s-1"' in world.on_disk())
        else:
            place = shut.place if meanwhile != "moved" else "127.0.0.1:9"
            state = meanwhile if meanwhile != "moved" else "active"
            world.say(
                {
                    "rev": 9,
                    "all": False,
                    "targets": [
                        world.entry(state, "s-2", place),
                        *(world.entry("leaving", uid) for uid in ("s-3", "s-4")),
                    ],
                }
            )
            await listed(world, 3 if meanwhile == "left" else 4)
        await shut.open()
        assert await world.until(lambda: shut.heard) and shut.heard[0] == b""
        if meanwhile != "wait":
            answered.set_result(OK_200)
        assert await world.until(lambda: world.on_disk().count('["done"') == 2, 8.0)

    play(tmp_path, story, changes={"settings__limits__dialTimeoutMs": 5000.0})


async def listed(world, count):
    """Waits until the sender's list has that many endpoints."""
    while f"pool_size={count}\n" not in (await world.operator("GET", "/metrics"))[1]:
        await asyncio.sleep(0.01)


# The watch of the list of endpoints

ENTRY = {
    "uid": "s-{",
    "endpoint": "127.0.0.1:9",
    "az": 'a\\"]',
    "model": "shop",
    "pod_group": 1,
    "state": "active",
    "capacity_hint": 1.0,
    "boot_ms": 0,
}
LIST = {"rev": 8, "all": True, "targets": [ENTRY]}
INDENTED = json.dumps(LIST, indent=2).encode()
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def run_watch(story, respond, monkeypatch=None, **constants):
    """Runs a watch against a platform that answers by respond(writer, number of requests so far)."""
    for name, value in constants.items():
        monkeypatch.setattr(discovery, name, value)

    async def whole():
        heard, asked = [], []

        async def platform(reader, writer):
            asked.append((await read_message(reader))[0])
            try:
                await respond(writer, len(asked))
                await reader.read()
            except ConnectionError:
                pass
            writer.close()

        server = await asyncio.start_server(platform, "127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        watch = Watch(loop, server.sockets[0].getsockname(), ("shop",), lambda *words: heard.append(words))
        watch.start({})
        async with asyncio.timeout(8.0):
            await story(watch, heard, asked)
        watch.stop()
        server.close()

    asyncio.run(whole())


async def until(condition):
    while not condition():
        await asyncio.sleep(0.002)


@pytest.mark.parametrize(
    "text",
    [
        INDENTED + b"\n",
        INDENTED.replace(b"\n", b"\r\n") + b"\n",
        INDENTED.replace(b",\n", b",\n\n  \n") + b"\n",
        json.dumps(LIST).encode() + b"\n",
        b"\n\n" + INDENTED + b"\n\n" + json.dumps(LIST).encode() + b"\n",
    ],
)
@pytest.mark.parametrize("size", [1, 7, 4096])
def test_a_list_is_read_however_it_is_indented_and_split(text, size):
    async def respond(writer, times):
        writer.write(HEAD)
        for at in range(0, len(text), size):
            writer.write(chunk(text[at : at + size]))
            await writer.drain()

    async def story(watch, heard, asked):
        await until(lambda: len(heard) == text.count(b"rev"))
        assert {(mode, listed[0][0].name) for mode, listed in heard} == {(interface.WHOLE, "s-{")}
        assert len(asked) == 1

    run_watch(story, respond)


async def no_head(writer):
    writer.write(b"HTTP/1.1 200 OK\r\n")


async def no_whole_line(writer):
    writer.write(HEAD)
    while True:  # bytes keep coming, but never a complete object
        writer.write(chunk(b'{"rev": 8, "all": true, "targets": [' if writer.transport else b""))
        await writer.drain()
        await asyncio.sleep(0.01)


async def no_end(writer):
    writer.write(HEAD + chunk(b"{\n"))
    while True:
        writer.write(chunk(b'"rev": 8,\n\n'))
        await writer.drain()
        await asyncio.sleep(0.01)


async def nothing(writer):
    writer.write(HEAD + chunk(b"\n"))


@pytest.mark.parametrize("broken", [no_head, no_whole_line, no_end, nothing])
def test_a_watch_without_a_complete_object_counts_as_silent_and_is_reopened(broken, monkeypatch):
    async def respond(writer, times):
        if times == 1:
            await broken(writer)
        writer.write(HEAD + chunk(json.dumps(LIST).encode() + b"\n"))

    async def story(watch, heard, asked):
        await until(lambda: heard)
        assert len(asked) == 2

    run_watch(story, respond, monkeypatch, HEARTBEAT_S=0.1, RESPONSE_TIMEOUT_S=0.2)


def test_a_complete_list_counts_even_if_the_watch_ends_after_it():
    async def respond(writer, times):
        writer.write(HEAD + chunk(json.dumps(LIST).encode() + b"\n") + b"0\r\n\r\n")

    async def story(watch, heard, asked):
        await until(lambda: heard and len(asked) == 2)
        assert asked[1].split()[1].endswith("after=8")

    run_watch(story, respond)


def test_a_copy_of_an_older_change_in_a_watch_brings_no_endpoint_back():
    def line(rev, state, whole=False):
        entry = {**ENTRY, "state": state}
        return chunk(json.dumps({"rev": rev, "all": whole, "targets": [entry]}).encode() + b"\n")

    async def respond(writer, times):
        if times == 1:
            writer.write(HEAD + line(8, "active", True) + line(9, "active") + line(10, "leaving"))
            writer.write(line(9, "active"))
        else:
            writer.write(HEAD + line(10, "leaving", True))

    async def story(watch, heard, asked):
        await until(lambda: len(asked) == 2 and len(heard) == 4)
        assert asked[1].split()[1].endswith("watch=1")  # the whole list is asked for
        ready = [listed[0][0].state == interface.READY for _, listed in heard]
        assert ready == [True, True, False, False]

    run_watch(story, respond)


# Shutdown of a process


def listens(port):
    lines = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return any(words[1].endswith(f":{port:04X}") and words[3] == "0A" for words in lines)


def test_a_client_accepted_last_is_answered_after_the_listener_is_closed(tmp_path):
    async def story(world):
        reader, writer = await world.client()
        world.process.send_signal(signal.SIGTERM)
        assert await world.until(lambda: not listens(world.port))
        writer.write(post("d1"))
        assert (await read_message(reader))[0].startswith("HTTP/1.1 503")
        assert await world.process.wait() == 0

    play(tmp_path, story)


@pytest.fixture
def client_server():
    """A ClientServer whose clients are blocking sockets: the event loop runs only in client_server.turn()."""

    async def make():
        client_server = ClientServer(
            asyncio.get_running_loop(),
            {"sync": 20000.0},
            40,
            lambda destination: True,
            lambda request: request.reply("accepted"),
        )
        await client_server.open(Machine(), ("127.0.0.1", 0))
        return client_server

    with asyncio.Runner() as runner:
        client_server = runner.run(make())

        async def turn(what=lambda: None):
            what()
            await asyncio.sleep(0.02)

        client_server.turn = lambda *what: runner.run(turn(*what))
        client_server.client = lambda: socket.create_connection(
            client_server._listener.sockets[0].getsockname(), timeout=2.0
        )
        yield client_server


def test_clients_in_the_backlog_are_accepted_before_the_listener_is_closed(client_server):
    clients = [client_server.client() for _ in range(40)]
    for client in clients:
        client.sendall(post("d1"))
    # before the loop has accepted them
    client_server.turn(lambda: (client_server.close(), client_server.stop_listening()))
    for _ in range(5):
        client_server.turn()
    assert all(client.recv(99).startswith(b"HTTP/1.1 202") for client in clients)
    assert not client_server._listener.is_serving()


def test_a_request_that_crosses_the_close_of_an_idle_connection_gets_an_end_of_stream_not_a_reset(
    client_server,
):
    client = client_server.client()
    client_server.turn()
    (idle,) = client_server._clients
    client_server.turn(idle.on_deadline)
    client.sendall(post("d1"))
    client_server.turn()
    assert client.recv(99) == b""  # no ConnectionResetError, so the client may send it again


# An answer against a time-out, a notice against its answer


def test_an_answer_that_has_arrived_at_the_time_out_is_read_first():
    async def whole():
        loop, ends, connected = asyncio.get_running_loop(), [], asyncio.Event()
        calls = Calls(
            loop,
            lambda: loop.time() * 1000.0,
            10000.0,
            1000.0,
            8,
            lambda call: connected.set(),
            lambda call: None,
            lambda call, outcome: ends.append(outcome.kind),
        )
        with socket.create_server(("127.0.0.1", 0)) as door:
            calls.set_address("s-1", door.getsockname())
            call = Call("d1", 0, "s-1", b"x", 5000.0)
            assert not calls.begin(call)
            await connected.wait()
            calls.write_or_cancel(call, True)
            endpoint, _ = door.accept()
            endpoint.recv(999)
            endpoint.sendall(answer(503))
            connection = calls._busy["d1"]
            while not connection._link.unread_bytes():  # the answer is here, and the loop has not run since
                pass
            connection._timed_out()
            await until(lambda: ends)
            endpoint.close()
        assert ends == [interface.FULL]  # a refusal, not a time-out, which would leave it in doubt
        calls.close()

    asyncio.run(whole())


def run_notices(story, respond):
    """Runs notices against a platform that answers each POST by respond(writer, its number)."""

    async def whole():
        posts, known, loop = [], [], asyncio.get_running_loop()

        async def platform(reader, writer):
            while (message := await read_message(reader)) is not None:
                posts.append((loop.time(), message[2].decode()))
                respond(writer, len(posts))
            writer.close()

        server = await asyncio.start_server(platform, "127.0.0.1", 0)
        notices = Notices(loop, server.sockets[0].getsockname(), known.extend)
        async with asyncio.timeout(8.0):
            await story(notices, posts, known)
        notices._disconnect()
        server.close()

    asyncio.run(whole())


def test_a_notice_on_a_silent_connection_is_sent_again_in_time():
    async def story(notices, posts, known):
        notices.queue("d0", "dead", 0.0)
        await until(lambda: known == ["d0"])
        notices.queue("d1", "dead", 0.0)  # on the connection that has fallen silent
        await until(lambda: known == ["d0", "d1"])
        assert len(posts) == 3 and posts[2][0] - posts[1][0] < 0.25  # within the 300 ms that the notice has
        assert notices._answer_timeout_s < 0.2  # the time-out shrinks again once the platform answers

    run_notices(story, lambda writer, times: times == 2 or writer.write(b"HTTP/1.1 204 No\r\n\r\n"))


def test_an_unsolicited_answer_acknowledges_no_later_notice():
    async def story(notices, posts, known):
        notices.queue("d0", "dead", 0.0)
        notices.queue("d1", "dead", 0.0)  # waits for the answer to the first
        await until(lambda: len(posts) == 2)
        assert known == ["d0"]
        await until(lambda: known == ["d0", "d1"])

    answers = {1: b"HTTP/1.1 204 No\r\n\r\n" * 2, 2: b""}
    run_notices(story, lambda writer, times: writer.write(answers.get(times, b"HTTP/1.1 204 No\r\n\r\n")))


def test_a_late_copy_of_an_acknowledgement_acknowledges_no_later_notice():
    async def story(notices, posts, known):
        notices.queue("d0", "dead", 0.0)
        notices.queue("d1", "dead", 0.0)  # waits for the answer to the first
        await until(lambda: len(posts) == 2)
        await asyncio.sleep(0.05)  # the copy comes meanwhile, and the second post has no answer yet
        assert known == ["d0"]
        await until(lambda: known == ["d0", "d1"])

    def respond(writer, times):
        if times == 1:
            writer.write(b"HTTP/1.1 204 No\r\n\r\n")
            asyncio.get_running_loop().call_later(0.02, writer.write, b"HTTP/1.1 204 No\r\n\r\n")
        elif times > 2:
            writer.write(b"HTTP/1.1 204 No\r\n\r\n")

    run_notices(story, respond)


# A delivery against the expiry of its document


class InProcessWorld(World):
    """The sender runs in the test's process, so that its constants can be patched."""

    async def start(self):
        raw = json.loads(Path(self.configured()).read_text())
        self.node = sender.Node(decode(raw, {}), asyncio.get_running_loop())
        await self.node.start()

    async def __aexit__(self, *problem):
        self.node._watch.stop()
        self.node._calls.close()
        self.node._client_server._listener.close()
        self.node._door.close()
        for each in self._servers:
            each.close()


@pytest.mark.parametrize("near_ms, notices", [(60000.0, [{"ref": "d1", "result": "dead"}]), (100.0, [])])
def test_a_delivery_that_crosses_the_expiry_is_also_ended_by_a_notice(
    tmp_path, monkeypatch, near_ms, notices
):
    async def whole():
        (tmp_path / "state").mkdir()
        async with InProcessWorld(tmp_path / "state") as world:
            assert (await world.hand_in("d1"))[0] == 202
            assert await world.until(lambda: '["done","d1"' in world.on_disk())
            assert world.notices == notices and len(world.calls) == 1 and not world.node._ledger.entries

    monkeypatch.setattr(sender, "EXPIRY_MARGIN_MS", near_ms)
    asyncio.run(whole())
