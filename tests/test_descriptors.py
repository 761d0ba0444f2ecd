"""Few descriptors: idle clients fill them while discovery is away, and everyone else still gets theirs."""

import asyncio
import contextlib
import errno
import os
import resource
import socket
import time

import pytest
from fake import OK_200, answer, play, post, read_message

from birchstack.net.machine import ACCEPT_PAUSE_S, Listener
from birchstack.net.room import RESERVE, shares

LIMIT = 100


def held(process):
    return len(os.listdir(f"/proc/{process.pid}/fd"))


class Crowd:
    """Idle clients: each connects, asks nothing, and comes again soon after it was let go."""

    def __init__(self, world, count):
        self.let_go, self._world = 0, world
        self._tasks = [asyncio.create_task(self._one(number)) for number in range(count)]

    async def _one(self, number):
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await self._world.client()
                try:
                    await reader.read()
                finally:
                    writer.close()
                self.let_go += 1
            await asyncio.sleep(0.2 + number / 1000.0)

    async def leave(self):
        for each in self._tasks:
            each.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Answers:
    """The endpoint fails the document named and takes the others."""

    def __init__(self, world, doc):
        self._world, self._doc = world, doc

    def pop(self, at):
        return answer(500) if self._world.calls[-1][0] == self._doc else OK_200


class Traffic:
    """A document every 30 ms over a connection of its own: what it was answered. The operators' door is asked
    and the descriptors are counted meanwhile."""

    def __init__(self, world):
        self._world, self.said, self.slowest, self.most = world, [], 0.0, 0
        self._tasks = [asyncio.create_task(each()) for each in (self._hand_in, self._operate)]

    async def _hand_in(self):
        for number in range(10000):
            self.said.append((await asyncio.wait_for(self._world.hand_in(f"t{number}"), 2.0))[0])
            await asyncio.sleep(0.03)

    async def _operate(self):
        while True:
            began = time.monotonic()
            assert (await asyncio.wait_for(self._world.operator("GET", "/metrics"), 2.0))[0] == 200
            self.slowest = max(self.slowest, time.monotonic() - began)
            self.most = max(self.most, held(self._world.process))
            await asyncio.sleep(0.05)

    async def end(self):
        for each in self._tasks:
            each.cancel()
        ended = await asyncio.gather(*self._tasks, return_exceptions=True)
        assert all(isinstance(each, asyncio.CancelledError) for each in ended), ended


def test_idle_clients_fill_the_descriptors_while_discovery_is_away(tmp_path):
    async def story(world):
        await world.until(lambda: world.watchers)

        async def second(reader, writer):
            while await read_message(reader):
                at_second.append(time.monotonic())
                writer.write(OK_200)
            writer.close()

        at_second = []
        server = await asyncio.start_server(second, "127.0.0.1", 0)
        place = "{}:{}".format(*server.sockets[0].getsockname())
        before = held(world.process)
        traffic = Traffic(world)
        platform, where = world._servers[1], world._servers[1].sockets[0].getsockname()
        platform.close()  # discovery is away: no watch, no notices, dials refused
        for writer in world.watchers:
            writer.transport.abort()
        crowd = Crowd(world, 300)
        await asyncio.sleep(0.7)
        calls = len(world.calls)
        world.answers = Answers(world, "lost")
        assert (await world.hand_in("lost", "pay"))[0] == 202
        await asyncio.sleep(0.7)
        assert len(world.calls) > calls + 10 and crowd.let_go > 100  # endpoints are dialled and called
        assert not world.notices and '["notice","lost","dead"' in world.on_disk()
        world.lines = [{"rev": 8, "all": True, "targets": [world.entry(uid="s-2", place=place)]}]
        world._servers[1] = await asyncio.start_server(world._platform, *where)
        back, asked = time.monotonic(), len(world.asked)
        assert await world.until(lambda: len(world.asked) > asked, 6.0)
        assert await world.until(lambda: world.notices == [{"ref": "lost", "result": "dead"}], 1.0)
        assert await world.until(lambda: at_second, 6.0)
        acted = at_second[0] - back
        await asyncio.sleep(0.5)
        await crowd.leave()
        await traffic.end()
        assert set(traffic.said) == {202}
        assert await world.until(lambda: world.on_disk().count('["done","t') == len(traffic.said))
        assert await world.until(lambda: held(world.process) <= before + 4)  # and as before when they left
        many = [await world.client() for _ in range(20)]
        for number, (_, writer) in enumerate(many):
            writer.write(post(f"after{number}"))
        assert {(await read_message(reader))[0][9:12] for reader, _ in many} == {"202"}
        log = world.log()
        assert not any(word in log for word in ("system resource", "not noted", "not taken on", "not sent"))
        print(
            f"acted on after {acted:.2f} s, the door's slowest answer {1000 * traffic.slowest:.0f} ms, "
            f"descriptors {before} before, {traffic.most} of {LIMIT} at most, "
            f"{len(traffic.said)} documents, {crowd.let_go} idle ones let go"
        )
        assert acted < 6.0 and before + 12 <= RESERVE and traffic.most < LIMIT and traffic.slowest < 1.0
        server.close()

    play(tmp_path, story, descriptors=LIMIT)


def test_where_the_system_has_none_left_idle_clients_give_theirs_to_who_asks(tmp_path):
    async def story(world):
        await world.until(lambda: world.watchers)
        idle = [await world.client() for _ in range(20)]
        await world.operator("GET", "/ready")  # they are in
        hard = resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE)[1]
        resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (held(world.process), hard))
        assert (await asyncio.wait_for(world.hand_in("d1"), 1.0))[0] == 202
        assert await world.until(lambda: world.calls)
        assert await asyncio.wait_for(idle[0][0].read(), 1.0) == b""
        assert "no descriptor for a client" in world.log() and "system resource" not in world.log()

    play(tmp_path, story)


class Short(socket.socket):
    """Says that there is no descriptor for whoever knocks, until the story lets it."""

    none, tried = True, 0

    def accept(self):
        if self.none:
            self.tried += 1
            raise OSError(errno.EMFILE, "Too many open files")
        return super().accept()


def test_accepting_rests_while_no_descriptor_is_left_and_goes_on_after():
    async def whole():
        told, came = [], []
        with Short() as door:
            door.bind(("127.0.0.1", 0))
            door.listen()
            loop = asyncio.get_running_loop()
            listener = Listener(
                loop, door, lambda: came.append(1) or asyncio.Protocol(), 2, lambda: told.append(1)
            )
            clients = [socket.create_connection(door.getsockname()) for _ in range(9)]
            await asyncio.sleep(4.5 * ACCEPT_PAUSE_S)
            assert 1 <= door.tried == len(told) <= 5 and not came
            door.none = False
            async with asyncio.timeout(2.0):
                while len(came) < len(clients):
                    await asyncio.sleep(0.01)
            listener.close()
            for each in clients:
                each.close()

    asyncio.run(whole())


@pytest.mark.parametrize("slots", [1, 8, 60, 1000])
def test_the_shares_and_the_reserve_fit(slots):
    for descriptors in range(64, 5000):
        room = shares(descriptors, slots)
        assert RESERVE + room.clients + 2 * room.coming + room.callers + room.idle + room.slots <= descriptors
        assert min(room.clients, room.slots, room.idle, room.callers) >= min(slots, 4)
        assert room.slots == slots or room.clients <= max(descriptors // 4, 8)  # calls go before clients


def test_operators_that_rest_behind_their_answer_keep_no_more_than_their_share(tmp_path):
    async def story(world):
        await world.until(lambda: world.watchers)
        before, rest = held(world.process), []
        for _ in range(40):
            reader, writer = await asyncio.open_connection("127.0.0.1", world.ops)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ops\r\n\r\n")
            assert (await read_message(reader))[0][9:12] == "200"
            rest.append(writer)  # and does not go
        room = shares(LIMIT, 4)
        assert held(world.process) <= before + room.callers + 4 < before + len(rest)
        assert (await world.hand_in("d1"))[0] == 202
        for each in rest:
            each.close()

    play(tmp_path, story, descriptors=LIMIT)
