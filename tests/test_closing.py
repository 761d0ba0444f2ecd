"""Bytes that arrive just as a connection is shut down or closed.

The connections are real; their peers act between two passes of the event loop, which fixes the order."""

import asyncio
import contextlib
import os
import signal
import socket
import struct
import time

import pytest
from fake import OK_200, answer, play, post, read_message
from test_crossings import InProcessWorld, client_server, until  # noqa: F401

from birchstack import interface
from birchstack.net import driver, periodic
from birchstack.net.calls import Call, Calls
from birchstack.net.reuse import SETTLE_MS


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


# TCP_NODELAY


def test_every_connection_sets_tcp_nodelay(tmp_path, monkeypatch):
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
        async with InProcessWorld(tmp_path / "state") as world:
            world.answers = [answer(500)]
            assert (await world.hand_in("d1", "pay"))[0] == 202
            assert await world.until(lambda: world.notices)
            assert (await world.operator("GET", "/ready"))[0] == 200

    asyncio.run(whole())
    assert set(made) == {"ClientConnection", "EndpointConnection", "Watch", "Notices", "OperatorConnection"}
    assert all(all(each) for each in made.values())


# What an endpoint does just as a call is written to it


class PausedCall:
    """A call with a connection, not written yet; the event loop does not run while its endpoint acts."""

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
        self.calls.set_address("s-1", self._door.getsockname())
        return self

    async def dialled(self):
        self.call = Call("d1", 0, "s-1", b"x", 5000.0)
        assert not self.calls.begin(self.call)
        await self._up.wait()
        self.endpoint, _ = self._door.accept()

    async def idle(self):
        """The same over an idle connection that has served a call."""
        await self.dialled()
        self.calls.write_or_cancel(self.call, True)
        self.endpoint.recv(9999)
        self.endpoint.sendall(OK_200)
        await until(lambda: self.ends.pop() if self.ends else None)
        await asyncio.sleep(SETTLE_MS / 1000.0)
        self.call = Call("d2", 0, "s-1", b"y", 5000.0)
        assert self.calls.begin(self.call)

    def connection(self):
        return self.calls._busy[self.call.doc_id]

    async def __aexit__(self, *problem):
        self.calls.close()
        self._door.close()
        with contextlib.suppress(OSError):
            self.endpoint.close()


ENDPOINT_ACTIONS = {
    "an answer": lambda sock: sock.sendall(OK_200),
    "an end": lambda sock: sock.close(),
    "half a line": lambda sock: sock.sendall(b"HTTP/1.1 2"),
    "a reset": reset,
}


@pytest.mark.parametrize("act", ENDPOINT_ACTIONS)
@pytest.mark.parametrize("how, kind", [("dialled", interface.CONNECT_FAILED), ("idle", interface.UNSENT)])
def test_a_call_is_not_written_once_its_endpoint_has_sent_bytes_or_closed(how, kind, act):
    async def whole():
        async with PausedCall() as paused:
            await getattr(paused, how)()
            written = paused.calls.transmitted
            ENDPOINT_ACTIONS[act](paused.endpoint)
            while not paused.connection().stale():  # the bytes are here, and the loop has not run since
                pass
            assert not paused.calls.can_write(paused.call)
            paused.calls.write_or_cancel(paused.call, False)
            assert paused.ends == [kind] and paused.calls.transmitted == written  # it was never sent

    asyncio.run(whole())


def test_a_call_whose_connection_is_reset_just_before_the_write_was_never_sent():
    async def whole():
        async with PausedCall() as paused:
            await paused.idle()
            connection, written = paused.connection(), paused.calls.transmitted
            assert paused.calls.can_write(paused.call)
            reset(paused.endpoint)  # after the last check
            while not connection.stale():
                pass
            paused.calls.write_or_cancel(paused.call, True)
            assert paused.ends == [interface.CONNECT_FAILED] and paused.calls.transmitted == written
            await asyncio.sleep(0.02)
            assert len(paused.ends) == 1

    asyncio.run(whole())


def test_an_endpoint_that_closes_each_new_connection_loses_no_document(tmp_path):
    async def story(world):
        async def closes(reader, writer):
            writer.write(b"HTTP/1.1 2" if len(connections) % 2 else b"")
            connections.append(1)
            writer.close()

        connections = []
        server = await asyncio.start_server(closes, "127.0.0.1", 0)
        place = "{}:{}".format(*server.sockets[0].getsockname())
        await world.until(lambda: world.watchers)
        world.say({"rev": 8, "all": True, "targets": [world.entry(uid="s-2", place=place)]})
        await asyncio.sleep(0.1)
        assert (await world.hand_in("d1"))[0] == 202
        assert await world.until(lambda: len(connections) > 1)
        world.say({"rev": 9, "all": True, "targets": [world.entry()]})
        assert await world.until(lambda: '["done","d1"' in world.on_disk(), 6.0)
        assert [call[0] for call in world.calls] == ["d1"] and not world.notices
        server.close()

    play(tmp_path, story)


def test_a_late_reset_leaves_a_call_in_doubt_and_closes_an_idle_connection(tmp_path):
    async def story(world):
        async def late(reader, writer):
            await read_message(reader)
            received.append(1)
            if len(received) == 1:  # a call is in flight
                await asyncio.sleep(0.6)
            else:  # the connection is idle
                writer.write(OK_200)
                await writer.drain()
                await asyncio.sleep(0.6)
            writer.transport.abort()

        received = []
        server = await asyncio.start_server(late, "127.0.0.1", 0)
        place = "{}:{}".format(*server.sockets[0].getsockname())
        await world.until(lambda: world.watchers)
        world.say({"rev": 8, "all": True, "targets": [world.entry(uid="s-2", place=place)]})
        await asyncio.sleep(0.1)
        assert (await world.hand_in("d1", "pay"))[0] == 202 and await world.until(lambda: received)
        assert await world.until(lambda: world.notices == [{"ref": "d1", "result": "dead"}])  # in doubt
        assert (await world.hand_in("d2", "pay"))[0] == 202
        assert await world.until(lambda: '["done","d2"' in world.on_disk())
        await asyncio.sleep(0.8)
        assert (await world.hand_in("d3", "pay"))[0] == 202
        assert await world.until(lambda: '["done","d3"' in world.on_disk())
        assert len(received) == 3 and len(world.notices) == 1
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
def test_an_endless_answer_is_cut_off_and_its_document_ends(tmp_path, head, piece, delivered):
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
            closed_after.append(time.monotonic() - began)

        closed_after = []
        server = await asyncio.start_server(endless, "127.0.0.1", 0)
        place = "{}:{}".format(*server.sockets[0].getsockname())
        await world.until(lambda: world.watchers)
        world.say({"rev": 8, "all": True, "targets": [world.entry(uid="s-2", place=place)]})
        await asyncio.sleep(0.1)
        assert (await world.hand_in("d1", "pay"))[0] == 202
        assert await world.until(lambda: closed_after)
        assert await world.until(lambda: '["done","d1"' in world.on_disk())
        assert len(closed_after) == 1 and closed_after[0] < 1.0
        assert world.notices == ([] if delivered else [{"ref": "d1", "result": "dead"}])
        server.close()

    play(tmp_path, story)


# Clients


def test_a_request_sent_after_the_close_of_an_idle_connection_is_not_accepted(tmp_path):
    async def story(world):
        idle = [await world.client() for _ in range(4)]
        for reader, writer in idle:
            writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            assert (await read_message(reader))[0][9:12] == "200"
        world.process.send_signal(signal.SIGTERM)
        for number, (reader, writer) in enumerate(idle):
            assert await reader.read() == b""  # closed before the request was sent
            writer.write(post(f"d{number}"))
        await asyncio.sleep(0.2)
        assert world.process.returncode is None or world.process.returncode == 0
        assert '"take"' not in world.on_disk() and not world.calls
        assert await world.process.wait() == 0
        await world.start()
        assert (await world.hand_in("d9"))[0] == 202 and await world.until(lambda: world.calls)
        assert [call[0] for call in world.calls] == ["d9"]

    play(tmp_path, story)


def test_bytes_after_the_last_request_or_the_close_are_read_and_discarded(client_server):  # noqa: F811
    submitted = []
    client_server.on_document = lambda request: submitted.append(request.id) or request.reply("accepted")
    client, idle = client_server.client(), client_server.client()
    client.sendall(post("d1", more="Connection: close\r\n") + post("d2") * 50)
    client_server.turn()
    client_server.turn(lambda: [each.on_deadline() for each in [*client_server._clients]])
    for each in (client, idle):
        each.sendall(post("d3") * 50)
    client_server.turn()
    received = b""
    while data := client.recv(9999):
        received += data
    assert received.count(b"HTTP/1.1 202") == 1  # then the end of the stream, and no reset
    assert idle.recv(9999) == b""
    for each in (client, idle):
        each.sendall(post("d4"))
        client_server.turn()
        each.close()
    client_server.turn()
    assert submitted == ["d1"] and not client_server._leaving and not client_server._clients


def test_new_idle_clients_do_not_reset_a_client_that_was_sent_its_last_answer(client_server):  # noqa: F811
    client = client_server.client()
    client.sendall(post("d1", more="Connection: close\r\n"))
    client_server.turn()
    idle = [client_server.client() for _ in range(60)]  # 40 are accepted
    for _ in range(6):
        client_server.turn()
    for _ in range(5):
        client.sendall(b"x")  # would be answered by a reset if the connection were closed
        client_server.turn()
    assert client.recv(99).startswith(b"HTTP/1.1 202")
    assert len(client_server._clients) + len(client_server._leaving) == 40 and idle[0].recv(9) == b""
    for each in (client, *idle):
        each.close()


@pytest.mark.parametrize("leave", [socket.socket.close, reset])
def test_clients_that_send_many_requests_and_disconnect_leave_nothing_behind(tmp_path, leave):
    async def story(world):
        await world.until(lambda: world.watchers)
        descriptors = lambda: len(os.listdir(f"/proc/{world.process.pid}/fd"))  # noqa: E731
        before = descriptors()
        for number in range(30):
            client = socket.create_connection(("127.0.0.1", world.port))
            client.setblocking(False)
            requests = b"".join(post(f"m{number}-{each}", body=b"x" * 500) for each in range(400))
            client.send(requests)
            leave(client)
        began = time.monotonic()
        assert (await world.hand_in("d1"))[0] == 202 and time.monotonic() - began < 1.0
        assert await world.until(lambda: descriptors() <= before + 6)
        taken = world.on_disk().count('["take",')
        assert 1 <= taken <= 1 + 30 * 8  # of each client no more than may be unanswered on one connection
        assert await world.until(lambda: world.on_disk().count('["done",') == taken)
        assert len(world.calls) == len({call[0] for call in world.calls}) and not world.notices

    play(tmp_path, story, changes={"settings__limits__maxOpen": 1000})


# shutdown() on a connection that its client had just reset raised an exception: it ended the sweep and the
# shutdown of the process, and others were never closed
def test_a_reset_just_before_the_close_stops_the_shutdown(client_server):  # noqa: F811
    clients = [client_server.client() for _ in range(3)]
    for number, each in enumerate(clients):
        each.sendall(post(f"d{number}"))
    client_server.turn()

    def close_after_a_reset():
        reset(clients[0])
        client_server.close()

    client_server.turn(close_after_a_reset)
    for each in clients[1:]:
        assert each.recv(99999).startswith(b"HTTP/1.1 202") and each.recv(99999) == b""
        each.close()
    client_server.turn()
    assert not len(client_server) and not client_server._leaving


def test_a_periodic_task_goes_on_after_an_exception(monkeypatch, caplog):
    async def whole():
        def fail():
            called.append(1)
            raise ZeroDivisionError

        called, wrong = [], []
        monkeypatch.setattr(periodic, "check_invariant", lambda condition, what: wrong.append(what))
        task = periodic.PeriodicTask(asyncio.get_running_loop(), 0.01, fail)
        await until(lambda: len(called) == 3)
        task.stop()
        assert len(wrong) == 3 and "ZeroDivisionError" in caplog.text

    asyncio.run(whole())


# A connection that had ended while it waited to be parsed raised ValueError, as its descriptor is -1
def test_a_closed_socket_has_nothing_unread():
    sock = socket.socket()
    sock.close()
    info = driver.SocketInfo(sock)
    assert info.unread_bytes() == 0 and info.receive_state() == (0.0, False)
