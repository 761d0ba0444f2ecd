"""A low limit of file descriptors: idle clients use up theirs, and all other connections still get one."""

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
from birchstack.net.room import RESERVED_DESCRIPTORS, divide_descriptors

DESCRIPTOR_LIMIT = 100


def descriptors_of(process):
    return len(os.listdir(f"/proc/{process.pid}/fd"))


class Crowd:
    """Idle clients: each connects, sends nothing, and connects again soon after it was closed."""

    def __init__(self, world, count):
        self.closed = 0
        self._world = world
        self._tasks = [asyncio.create_task(self._one(number)) for number in range(count)]

    async def _one(self, number):
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await self._world.client()
                try:
                    await reader.read()
                finally:
                    writer.close()
                self.closed += 1
            await asyncio.sleep(0.2 + number / 1000.0)

    async def leave(self):
        for each in self._tasks:
            each.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Answers:
    """The endpoint fails the document named and takes the others."""

    def __init__(self, world, doc):
        self._world = world
        self._doc = doc

    def pop(self, at):
        return answer(500) if self._world.calls[-1][0] == self._doc else OK_200


class Traffic:
    """Submits a document every 30 ms, each over its own connection, and collects the answers.

    Meanwhile it polls the operators' listener and counts the sender's descriptors.
    """

    def __init__(self, world):
        self._world = world
        self.statuses = []
        self.slowest = 0.0
        self.most = 0
        self._tasks = [asyncio.create_task(each()) for each in (self._submit, self._poll_operators)]

    async def _submit(self):
        for number in range(10000):
            self.statuses.append((await asyncio.wait_for(self._world.hand_in(f"t{number}"), 2.0))[0])
            await asyncio.sleep(0.03)

    async def _poll_operators(self):
        while True:
            began = time.monotonic()
            assert (await asyncio.wait_for(self._world.operator("GET", "/metrics"), 2.0))[0] == 200
            self.slowest = max(self.slowest, time.monotonic() - began)
            self.most = max(self.most, descriptors_of(self._world.process))
            await asyncio.sleep(0.05)

    async def end(self):
        for each in self._tasks:
            each.cancel()
        ended = await asyncio.gather(*self._tasks, return_exceptions=True)
        assert all(isinstance(each, asyncio.CancelledError) for each in ended), ended


def test_idle_clients_use_up_their_descriptors_while_discovery_is_down(tmp_path):
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
        before = descriptors_of(world.process)
        traffic = Traffic(world)
        platform, where = world._servers[1], world._servers[1].sockets[0].getsockname()
        platform.close()  # discovery is down: no watch, no notices, dials refused
        for writer in world.watchers:
            writer.transport.abort()
        crowd = Crowd(world, 300)
        await asyncio.sleep(0.7)
        calls = len(world.calls)
        world.answers = Answers(world, "lost")
        assert (await world.hand_in("lost", "pay"))[0] == 202
        await asyncio.sleep(0.7)
        assert len(world.calls) > calls + 10 and crowd.closed > 100  # endpoints are still called
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
        assert set(traffic.statuses) == {202}
        assert await world.until(lambda: world.on_disk().count('["done","t') == len(traffic.statuses))
        # as before, once the idle clients have left
        assert await world.until(lambda: descriptors_of(world.process) <= before + 4)
        many = [await world.client() for _ in range(20)]
        for number, (_, writer) in enumerate(many):
            writer.write(post(f"after{number}"))
        assert {(await read_message(reader))[0][9:12] for reader, _ in many} == {"202"}
        log = world.log()
        assert not any(word in log for word in ("system resource", "not noted", "not taken on", "not sent"))
        print(
            f"acted on after {acted:.2f} s, the operators' slowest answer {1000 * traffic.slowest:.0f} ms, "
            f"descriptors {before} before, {traffic.most} of {DESCRIPTOR_LIMIT} at most, "
            f"{len(traffic.statuses)} documents, {crowd.closed} idle clients closed"
        )
        assert (
            acted < 6.0
            and before + 12 <= RESERVED_DESCRIPTORS
            and traffic.most < DESCRIPTOR_LIMIT
            and traffic.slowest < 1.0
        )
        server.close()

    play(tmp_path, story, descriptors=DESCRIPTOR_LIMIT)


def test_idle_clients_are_closed_for_a_new_one_if_the_system_has_no_descriptor_left(tmp_path):
    async def story(world):
        await world.until(lambda: world.watchers)
        idle = [await world.client() for _ in range(20)]
        await world.operator("GET", "/ready")  # they are accepted by now
        hard = resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE)[1]
        resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (descriptors_of(world.process), hard))
        assert (await asyncio.wait_for(world.hand_in("d1"), 1.0))[0] == 202
        assert await world.until(lambda: world.calls)
        assert await asyncio.wait_for(idle[0][0].read(), 1.0) == b""
        assert "no descriptor for a client" in world.log() and "system resource" not in world.log()

    play(tmp_path, story)


class ShortSocket(socket.socket):
    """A listening socket that has no descriptor for a new connection until the test allows it."""

    none, tried = True, 0

    def accept(self):
        if self.none:
            self.tried += 1
            raise OSError(errno.EMFILE, "Too many open files")
        return super().accept()


@pytest.mark.parametrize(
    "number",
    [
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.EHOSTUNREACH,
        errno.EPERM,
        errno.ETIMEDOUT,
    ],
)
def test_a_listener_that_cannot_accept_for_a_while_lets_other_work_run_and_continues(number):
    class FailingDoor(socket.socket):
        failing, tried = True, 0

        def accept(self):
            if not self.failing:
                return super().accept()
            self.tried += 1
            if self.tried > 100000:
                raise SystemExit("accepting never gives way")
            raise OSError(number, os.strerror(number))

    async def whole():
        accepted, problems = [], []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: problems.append(context))
        with FailingDoor() as door:
            door.bind(("127.0.0.1", 0))
            door.listen()
            listener = Listener(loop, door, lambda: accepted.append(1) or asyncio.Protocol(), 2, lambda: None)
            with socket.create_connection(door.getsockname()):
                await asyncio.sleep(0.05)
                assert door.tried and not accepted and not problems
                door.failing = False
                async with asyncio.timeout(2.0):
                    while not accepted:
                        await asyncio.sleep(0.005)
            listener.close()

    asyncio.run(whole())


def test_accepting_pauses_while_no_descriptor_is_left_and_then_continues():
    async def whole():
        reported, accepted = [], []
        with ShortSocket() as door:
            door.bind(("127.0.0.1", 0))
            door.listen()
            loop = asyncio.get_running_loop()
            listener = Listener(
                loop, door, lambda: accepted.append(1) or asyncio.Protocol(), 2, lambda: reported.append(1)
            )
            clients = [socket.create_connection(door.getsockname()) for _ in range(9)]
            await asyncio.sleep(4.5 * ACCEPT_PAUSE_S)
            assert 1 <= door.tried == len(reported) <= 5 and not accepted
            door.none = False
            async with asyncio.timeout(2.0):
                while len(accepted) < len(clients):
                    await asyncio.sleep(0.01)
            listener.close()
            for each in clients:
                each.close()

    asyncio.run(whole())


@pytest.mark.parametrize("slots", [1, 8, 60, 1000])
def test_the_shares_and_the_reserve_fit(slots):
    for descriptors in range(64, 5000):
        shares = divide_descriptors(descriptors, slots)
        assert (
            RESERVED_DESCRIPTORS
            + shares.clients
            + 2 * shares.accepting
            + shares.operators
            + shares.idle
            + shares.slots
            <= descriptors
        )
        assert min(shares.clients, shares.slots, shares.idle, shares.operators) >= min(slots, 4)
        # calls have priority over clients
        assert shares.slots == slots or shares.clients <= max(descriptors // 4, 8)


def test_operators_that_do_not_close_after_the_answer_use_no_more_than_their_share(tmp_path):
    async def story(world):
        await world.until(lambda: world.watchers)
        before, unclosed = descriptors_of(world.process), []
        for _ in range(40):
            reader, writer = await asyncio.open_connection("127.0.0.1", world.ops)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ops\r\n\r\n")
            assert (await read_message(reader))[0][9:12] == "200"
            unclosed.append(writer)  # the client does not close its side
        shares = divide_descriptors(DESCRIPTOR_LIMIT, 4)
        assert descriptors_of(world.process) <= before + shares.operators + 4 < before + len(unclosed)
        assert (await world.hand_in("d1"))[0] == 202
        for each in unclosed:
            each.close()

    play(tmp_path, story, descriptors=DESCRIPTOR_LIMIT)
