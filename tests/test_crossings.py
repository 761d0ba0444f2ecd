"""Two events that cross, in the order that goes wrong, every time: see docs/notes/crossings.md.

A peer waits for a condition before it goes on; nothing here rests on how fast anything is."""

import asyncio
import json
import signal
import socket
from pathlib import Path

import pytest
from fake import OK_200, Shut, World, answer, play, post, read_message

from birchstack import interface as our
from birchstack.net import discovery, sender
from birchstack.net.calls import Call, Calls
from birchstack.net.config import decode
from birchstack.net.discovery import Watch
from birchstack.net.front import Front
from birchstack.net.machine import Machine
from birchstack.net.notices import Notices

# A connection that comes up late: what was decided before may not be written after


@pytest.mark.parametrize("meanwhile", ["wait", "leaving", "left", "moved"])
def test_what_happens_while_a_connection_comes_up_keeps_its_call_from_being_written(tmp_path, meanwhile):
    async def story(world):
        shut, said = Shut(), asyncio.get_running_loop().create_future()
        world.answers = [said]
        both = [world.entry(), world.entry(uid="s-2", place=shut.place)]
        world.say({"rev": 8, "all": True, "targets": both})
        await listed(world, 2)
        for doc in ("d1", "d2"):  # one to each endpoint
            assert (await world.hand_in(doc))[0] == 202
        assert await world.until(lambda: world.calls)
        await shut.dialled(world)
        if meanwhile == "wait":
            said.set_result(answer(429, X_Come_Back_Ms="2500"))
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
            said.set_result(OK_200)
        assert await world.until(lambda: world.on_disk().count('["done"') == 2, 8.0)

    play(tmp_path, story, changes={"settings__limits__dialTimeoutMs": 5000.0})


async def listed(world, count):
    """Waits until the sender knows so many endpoints."""
    while f"pool_size={count}\n" not in (await world.operator("GET", "/metrics"))[1]:
        await asyncio.sleep(0.01)


# The watch of the list

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


def watched(story, said, monkeypatch=None, **figures):
    """Plays a watch against a platform that says said(writer, times asked); story gets what it heard."""
    for name, value in figures.items():
        monkeypatch.setattr(discovery, name, value)

    async def whole():
        heard, asked = [], []

        async def platform(reader, writer):
            asked.append((await read_message(reader))[0])
            try:
                await said(writer, len(asked))
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
def test_a_list_is_read_however_it_is_indented_and_cut(text, size):
    async def said(writer, times):
        writer.write(HEAD)
        for at in range(0, len(text), size):
            writer.write(chunk(text[at : at + size]))
            await writer.drain()

    async def story(watch, heard, asked):
        await until(lambda: len(heard) == text.count(b"rev"))
        assert {(mode, listed[0][0].name) for mode, listed in heard} == {(our.WHOLE, "s-{")}
        assert len(asked) == 1

    watched(story, said)


async def no_head(writer):
    writer.write(b"HTTP/1.1 200 OK\r\n")


async def no_whole_line(writer):
    writer.write(HEAD)
    while True:  # bytes keep coming, an object never
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
def test_a_watch_that_says_no_whole_thing_is_silent_and_opened_anew(broken, monkeypatch):
    async def said(writer, times):
        if times == 1:
            await broken(writer)
        writer.write(HEAD + chunk(json.dumps(LIST).encode() + b"\n"))

    async def story(watch, heard, asked):
        await until(lambda: heard)
        assert len(asked) == 2

    watched(story, said, monkeypatch, HEARTBEAT_S=0.1, RESPONSE_TIMEOUT_S=0.2)


def test_what_came_whole_before_a_watch_ended_counts():
    async def said(writer, times):
        writer.write(HEAD + chunk(json.dumps(LIST).encode() + b"\n") + b"0\r\n\r\n")

    async def story(watch, heard, asked):
        await until(lambda: heard and len(asked) == 2)
        assert asked[1].split()[1].endswith("after=8")

    watched(story, said)


# The end of a process


def listens(port):
    lines = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return any(words[1].endswith(f":{port:04X}") and words[3] == "0A" for words in lines)


def test_a_client_that_was_let_in_last_is_answered_after_the_door_is_shut(tmp_path):
    async def story(world):
        reader, writer = await world.client()
        world.process.send_signal(signal.SIGTERM)
        assert await world.until(lambda: not listens(world.port))
        writer.write(post("d1"))
        assert (await read_message(reader))[0].startswith("HTTP/1.1 503")
        assert await world.process.wait() == 0

    play(tmp_path, story)


@pytest.fixture
def front():
    """A front on a real loop, and its clients: blocking sockets, so that the loop runs only when told to."""

    async def make():
        front = Front(
            asyncio.get_running_loop(),
            {"sync": 20000.0},
            40,
            lambda destination: True,
            lambda handed: handed.reply("taken"),
        )
        await front.open(Machine(), ("127.0.0.1", 0))
        return front

    with asyncio.Runner() as runner:
        front = runner.run(make())

        async def turn(what=lambda: None):
            what()
            await asyncio.sleep(0.02)

        front.turn = lambda *what: runner.run(turn(*what))
        front.client = lambda: socket.create_connection(front._server.sockets[0].getsockname(), timeout=2.0)
        yield front


def test_who_waits_at_the_door_as_it_shuts_is_let_in(front):
    clients = [front.client() for _ in range(40)]
    for client in clients:
        client.sendall(post("d1"))
    front.turn(lambda: (front.close(), front.shut()))  # before the loop has let them in
    for _ in range(5):
        front.turn()
    assert all(client.recv(99).startswith(b"HTTP/1.1 202") for client in clients)
    assert not front._server.is_serving()


def test_a_request_that_crosses_the_close_of_an_idle_connection_meets_its_end_not_a_reset(front):
    client = front.client()
    front.turn()
    (idle,) = front._clients
    front.turn(idle.overdue)
    client.sendall(post("d1"))
    front.turn()
    assert client.recv(99) == b""  # and not ConnectionResetError: it may come again


# An answer and a time-out, a notice and its answer


def test_an_answer_that_has_come_when_its_time_is_over_is_read_first():
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
            calls.move("s-1", door.getsockname())
            call = Call("d1", 0, "s-1", b"x", 5000.0)
            assert not calls.begin(call)
            await connected.wait()
            calls.go(call, True)
            endpoint, _ = door.accept()
            endpoint.recv(999)
            endpoint.sendall(answer(503))
            line = calls._busy["d1"]
            while not line._link.unread():  # it is here, and the loop has not run since
                pass
            line._timed_out()
            await until(lambda: ends)
            endpoint.close()
        assert ends == [our.FULL]  # it never ran; and not a time-out that leaves that open
        calls.close()

    asyncio.run(whole())


def noticed(story, said):
    """said(writer, times): what the platform does after the POST of that number."""

    async def whole():
        posts, known, loop = [], [], asyncio.get_running_loop()

        async def platform(reader, writer):
            while (message := await read_message(reader)) is not None:
                posts.append((loop.time(), message[2].decode()))
                said(writer, len(posts))
            writer.close()

        server = await asyncio.start_server(platform, "127.0.0.1", 0)
        notices = Notices(loop, server.sockets[0].getsockname(), known.extend)
        async with asyncio.timeout(8.0):
            await story(notices, posts, known)
        notices._disconnect()
        server.close()

    asyncio.run(whole())


def test_a_notice_whose_connection_fell_silent_is_told_again_in_its_time():
    async def story(notices, posts, known):
        notices.queue("d0", "dead", 0.0)
        await until(lambda: known == ["d0"])
        notices.queue("d1", "dead", 0.0)  # on the connection that says nothing any more
        await until(lambda: known == ["d0", "d1"])
        assert len(posts) == 3 and posts[2][0] - posts[1][0] < 0.25  # of the 300 ms that it has
        assert notices._answer_timeout_s < 0.2  # and a platform that answers again is waited for as before

    noticed(story, lambda writer, times: times == 2 or writer.write(b"HTTP/1.1 204 No\r\n\r\n"))


def test_an_answer_that_nobody_asked_for_acknowledges_no_later_notice():
    async def story(notices, posts, known):
        notices.queue("d0", "dead", 0.0)
        notices.queue("d1", "dead", 0.0)  # waits for the answer to the first
        await until(lambda: len(posts) == 2)
        assert known == ["d0"]
        await until(lambda: known == ["d0", "d1"])

    answers = {1: b"HTTP/1.1 204 No\r\n\r\n" * 2, 2: b""}
    noticed(story, lambda writer, times: writer.write(answers.get(times, b"HTTP/1.1 204 No\r\n\r\n")))


# A delivery and the end of a document's time


class Within(World):
    """The sender runs in this process, so that a story can move its figures."""

    async def start(self):
        raw = json.loads(Path(self.configured()).read_text())
        self.node = sender.Node(decode(raw, {}), asyncio.get_running_loop())
        await self.node.start()

    async def __aexit__(self, *problem):
        self.node._watch.stop()
        self.node._calls.close()
        self.node._front._server.close()
        self.node._door.close()
        for each in self._servers:
            each.close()


@pytest.mark.parametrize("near_ms, notices", [(60000.0, [{"ref": "d1", "result": "dead"}]), (100.0, [])])
def test_a_delivery_that_crosses_the_end_of_its_time_is_ended_by_a_notice_too(
    tmp_path, monkeypatch, near_ms, notices
):
    async def whole():
        (tmp_path / "state").mkdir()
        async with Within(tmp_path / "state") as world:
            assert (await world.hand_in("d1"))[0] == 202
            assert await world.until(lambda: '["done","d1"' in world.on_disk())
            assert world.notices == notices and len(world.calls) == 1 and not world.node._ledger.entries

    monkeypatch.setattr(sender, "NEAR_MS", near_ms)
    asyncio.run(whole())
