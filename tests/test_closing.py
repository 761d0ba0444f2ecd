"""Bytes that arrive in the very moment in which a connection is shut or closed: real connections, whose peers
act between two passes of the loop, so that the order is the same every time."""

import asyncio
import contextlib
import os
import signal
import socket
import struct
import time

import pytest
from fake import OK_200, answer, play, post, read_message
from test_crossings import Within, front, until  # noqa: F401

from birchstack import interface as our
from birchstack.net import driver
from birchstack.net.calls import Call, Calls


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


# Small writes leave at once


def test_every_connection_holds_no_small_writes_back(tmp_path, monkeypatch):
    made, before = {}, driver.Link.connection_made

    def connection_made(link, transport):
        before(link, transport)
        sock = transport.get_extra_info("socket")
        made.setdefault(type(link._owner).__name__, []).append(
            sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        )

    monkeypatch.setattr(driver.Link, "connection_made", connection_made)

    async def whole():
        (tmp_path / "state").mkdir()
        async with Within(tmp_path / "state") as world:
            world.answers = [answer(500)]
            assert (await world.hand_in("d1", "pay"))[0] == 202
            assert await world.until(lambda: world.notices)
            assert (await world.operator("GET", "/ready"))[0] == 200

    asyncio.run(whole())
    assert set(made) == {"Client", "Line", "Watch", "Notices", "OperatorConnection"}
    assert all(all(each) for each in made.values())


# A call and what its endpoint does in the moment of its writing


class PausedCall:
    """A call that has its connection and is not written: the loop stands still while the endpoint acts."""

    async def __aenter__(self):
        loop, self.ends, self._up = asyncio.get_running_loop(), [], asyncio.Event()
        self.calls = Calls(
            loop,
            lambda: loop.time() * 1000.0,
            10000.0,
            1000.0,
            8,
            lambda call: self._up.set(),
            lambda call: None,
            lambda call, outcome: self.ends.append(outcome.kind),
        )
        self._door = socket.create_server(("127.0.0.1", 0))
        self.calls.move("s-1", self._door.getsockname())
        return self

    async def dialled(self):
        self.call = Call("d1", 0, "s-1", b"x", 5000.0)
        assert not self.calls.begin(self.call)
        await self._up.wait()
        self.endpoint, _ = self._door.accept()

    async def resting(self):
        """The same over a connection that served a call before."""
        await self.dialled()
        self.calls.go(self.call, True)
        self.endpoint.recv(9999)
        self.endpoint.sendall(OK_200)
        await until(lambda: self.ends.pop() if self.ends else None)
        self.call = Call("d2", 0, "s-1", b"y", 5000.0)
        assert self.calls.begin(self.call)

    def line(self):
        return self.calls._busy[self.call.doc]

    async def __aexit__(self, *problem):
        self.calls.close()
        self._door.close()
        with contextlib.suppress(OSError):
            self.endpoint.close()


ACTS = {
    "an answer": lambda sock: sock.sendall(OK_200),
    "an end": lambda sock: sock.close(),
    "half a line": lambda sock: sock.sendall(b"HTTP/1.1 2"),
    "a reset": reset,
}


@pytest.mark.parametrize("act", ACTS)
@pytest.mark.parametrize("how, kind", [("dialled", our.CONNECT_FAILED), ("resting", our.UNSENT)])
def test_a_call_is_not_written_after_what_its_endpoint_said_before(how, kind, act):
    async def whole():
        async with PausedCall() as moment:
            await getattr(moment, how)()
            written = moment.calls.transmitted
            ACTS[act](moment.endpoint)
            while not moment.line().stale():  # it is here, and the loop has not run since
                pass
            assert not moment.calls.waiting(moment.call)
            moment.calls.go(moment.call, False)
            assert moment.ends == [kind] and moment.calls.transmitted == written  # it never left

    asyncio.run(whole())


def test_a_call_whose_connection_is_reset_in_the_moment_of_its_writing_never_left():
    async def whole():
        async with PausedCall() as moment:
            await moment.resting()
            line, written = moment.line(), moment.calls.transmitted
            assert moment.calls.waiting(moment.call)
            reset(moment.endpoint)  # after the last look
            while not line.stale():
                pass
            moment.calls.go(moment.call, True)
            assert moment.ends == [our.CONNECT_FAILED] and moment.calls.transmitted == written
            await asyncio.sleep(0.02)
            assert len(moment.ends) == 1

    asyncio.run(whole())


def test_an_endpoint_that_ends_each_new_connection_runs_nothing_and_loses_nothing(tmp_path):
    async def story(world):
        async def rude(reader, writer):
            writer.write(b"HTTP/1.1 2" if len(rudely) % 2 else b"")
            rudely.append(1)
            writer.close()

        rudely = []
        server = await asyncio.start_server(rude, "127.0.0.1", 0)
        place = "{}:{}".format(*server.sockets[0].getsockname())
        await world.until(lambda: world.watchers)
        world.say({"rev": 8, "all": True, "targets": [world.entry(uid="s-2", place=place)]})
        await asyncio.sleep(0.1)
        assert (await world.hand_in("d1"))[0] == 202
        assert await world.until(lambda: len(rudely) > 1)
        world.say({"rev": 9, "all": True, "targets": [world.entry()]})
        assert await world.until(lambda: '["done","d1"' in world.on_disk(), 6.0)
        assert [call[0] for call in world.calls] == ["d1"] and not world.notices
        server.close()

    play(tmp_path, story)


def test_a_reset_long_after_is_met_by_whoever_it_concerns(tmp_path):
    async def story(world):
        async def late(reader, writer):
            await read_message(reader)
            heard.append(1)
            if len(heard) == 1:  # a call is out
                await asyncio.sleep(0.6)
            else:  # or the connection rests
                writer.write(OK_200)
                await writer.drain()
                await asyncio.sleep(0.6)
            writer.transport.abort()

        heard = []
        server = await asyncio.start_server(late, "127.0.0.1", 0)
        place = "{}:{}".format(*server.sockets[0].getsockname())
        await world.until(lambda: world.watchers)
        world.say({"rev": 8, "all": True, "targets": [world.entry(uid="s-2", place=place)]})
        await asyncio.sleep(0.1)
        assert (await world.hand_in("d1", "pay"))[0] == 202 and await world.until(lambda: heard)
        assert await world.until(lambda: world.notices == [{"ref": "d1", "result": "dead"}])  # in doubt
        assert (await world.hand_in("d2", "pay"))[0] == 202
        assert await world.until(lambda: '["done","d2"' in world.on_disk())
        await asyncio.sleep(0.8)
        assert (await world.hand_in("d3", "pay"))[0] == 202
        assert await world.until(lambda: '["done","d3"' in world.on_disk())
        assert len(heard) == 3 and len(world.notices) == 1
        server.close()

    play(tmp_path, story)


# Answers that never end


@pytest.mark.parametrize(
    "head, piece, delivered",
    [
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", b"400\r\n" + b"x" * 1024 + b"\r\n", True),
        (b"HTTP/1.1 200 OK\r\n", b"X-More: y\r\n", True),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 4096, True),
        (b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n", False),
        (b"HTTP/1.1 500 No\r\n", b"X-More: y\r\n", False),
        (b"", b"HTTP/1.1 100 Go on\r\n\r\n", False),
        (b"", b"x", False),
    ],
)
def test_an_answer_that_never_ends_holds_neither_document_nor_connection(tmp_path, head, piece, delivered):
    async def story(world):
        async def endless(reader, writer):
            await read_message(reader)
            began = time.monotonic()
            writer.write(head)
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0.001)
            let_go.append(time.monotonic() - began)

        let_go = []
        server = await asyncio.start_server(endless, "127.0.0.1", 0)
        place = "{}:{}".format(*server.sockets[0].getsockname())
        await world.until(lambda: world.watchers)
        world.say({"rev": 8, "all": True, "targets": [world.entry(uid="s-2", place=place)]})
        await asyncio.sleep(0.1)
        assert (await world.hand_in("d1", "pay"))[0] == 202
        assert await world.until(lambda: let_go)
        assert await world.until(lambda: '["done","d1"' in world.on_disk())
        assert len(let_go) == 1 and let_go[0] < 1.0
        assert world.notices == ([] if delivered else [{"ref": "d1", "result": "dead"}])
        server.close()

    play(tmp_path, story)


# Clients


def test_a_request_that_meets_the_shutdown_is_not_sent_on(tmp_path):
    async def story(world):
        resting = [await world.client() for _ in range(4)]
        for reader, writer in resting:
            writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await read_message(reader))[0][9:12] == "200"
        world.process.send_signal(signal.SIGTERM)
        for number, (reader, writer) in enumerate(resting):
            assert await reader.read() == b""  # the shutdown came first
            writer.write(post(f"d{number}"))
        await asyncio.sleep(0.2)
        assert world.process.returncode is None or world.process.returncode == 0
        assert '"take"' not in world.on_disk() and not world.calls
        assert await world.process.wait() == 0
        await world.start()
        assert (await world.hand_in("d9"))[0] == 202 and await world.until(lambda: world.calls)
        assert [call[0] for call in world.calls] == ["d9"]

    play(tmp_path, story)


def test_what_comes_behind_the_last_request_or_the_shutdown_is_read_and_not_sent_on(front):  # noqa: F811
    came = []
    front.handed = lambda handed: came.append(handed.id) or handed.reply("taken")
    client, resting = front.client(), front.client()
    client.sendall(post("d1", more="Connection: close\r\n") + post("d2") * 50)
    front.turn()
    front.turn(lambda: [each.overdue() for each in [*front._clients]])
    for each in (client, resting):
        each.sendall(post("d3") * 50)
    front.turn()
    said = b""
    while data := client.recv(9999):
        said += data
    assert said.count(b"HTTP/1.1 202") == 1  # then the end of the stream, and no reset
    assert resting.recv(9999) == b""
    for each in (client, resting):
        each.sendall(post("d4"))
        front.turn()
        each.close()
    front.turn()
    assert came == ["d1"] and not front._leaving and not front._clients


def test_idle_newcomers_do_not_cut_one_off_that_was_told_its_last(front):  # noqa: F811
    client = front.client()
    client.sendall(post("d1", more="Connection: close\r\n"))
    front.turn()
    idle = [front.client() for _ in range(60)]  # 40 may be in
    for _ in range(6):
        front.turn()
    for _ in range(5):
        client.sendall(b"x")  # would meet a reset
        front.turn()
    assert client.recv(99).startswith(b"HTTP/1.1 202")
    assert len(front._clients) + len(front._leaving) == 40 and idle[0].recv(9) == b""
    for each in (client, *idle):
        each.close()


@pytest.mark.parametrize("go", [socket.socket.close, reset])
def test_clients_that_send_much_at_once_and_go_leave_nothing_behind(tmp_path, go):
    async def story(world):
        await world.until(lambda: world.watchers)
        held = lambda: len(os.listdir(f"/proc/{world.process.pid}/fd"))  # noqa: E731
        before = held()
        for number in range(30):
            client = socket.create_connection(("127.0.0.1", world.port))
            client.setblocking(False)
            much = b"".join(post(f"m{number}-{each}", body=b"x" * 500) for each in range(400))
            client.send(much)
            go(client)
        began = time.monotonic()
        assert (await world.hand_in("d1"))[0] == 202 and time.monotonic() - began < 1.0
        assert await world.until(lambda: held() <= before + 6)
        taken = world.on_disk().count('["take",')
        assert 1 <= taken <= 1 + 30 * 8  # no more of each than may wait on one connection
        assert await world.until(lambda: world.on_disk().count('["done",') == taken)
        assert len(world.calls) == len({call[0] for call in world.calls}) and not world.notices

    play(tmp_path, story, changes={"settings__limits__maxOpen": 1000})
