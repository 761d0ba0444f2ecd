"""Tests of links with injected faults: on sockets, for datagrams, and from a script."""

import asyncio
from itertools import pairwise

import pytest

from birchstack.emulator import sockets
from birchstack.emulator.rig.datagrams import Datagrams
from birchstack.emulator.rig.links import Link
from birchstack.emulator.rig.real import ANY
from birchstack.emulator.rig.script import ScriptError, decode, load, play, rig_of
from birchstack.emulator.scenario import Network, Scenario
from birchstack.keeper.questions import Stores


def run_with_link(scenario):
    """Runs scenario(link) with a link to an echo server."""

    async def run():
        async def echo(reader, writer):
            while data := await reader.read(65536):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        no_delay = Scenario(network=Network(delay_ms=0.0, jitter=0.0))
        stage = sockets.Stage(asyncio.get_running_loop(), no_delay, 1)
        link = Link(stage, "a", "b", server.sockets[0].getsockname()[:2], ANY)
        await asyncio.sleep(0.01)
        try:
            await asyncio.wait_for(scenario(link), 10.0)
        finally:
            server.close()
            for host in stage.hosts:
                host.close()

    asyncio.run(run())


async def echo_back(end, data):
    end[1].write(data)
    return await asyncio.wait_for(end[0].readexactly(len(data)), 2.0)


async def read_or_silent(end, seconds=0.1):
    try:
        return await asyncio.wait_for(end[0].read(1), seconds)
    except TimeoutError:
        return "silent"


def test_link_relays_both_directions_and_forwards_close():
    async def scenario(link):
        end = await asyncio.open_connection(*link.where)
        big = bytes(range(256)) * 4000
        assert await echo_back(end, big) == big and link.there.bytes == link.back.bytes == len(big)
        end[1].close()
        for _ in range(100):
            await asyncio.sleep(0.01)
            if not link.connections:
                return
        raise AssertionError("the connection was not removed")

    run_with_link(scenario)


@pytest.mark.parametrize("way", ["there", "back", "both"])
def test_cut_drops_bytes_and_resets_damaged_connections_when_it_ends(way):
    async def scenario(link):
        lost, idle = [await asyncio.open_connection(*link.where) for _ in range(2)]
        assert await echo_back(lost, b"x") + await echo_back(idle, b"y") == b"xy"
        link.cut(way)
        lost[1].write(b"gone")
        assert await read_or_silent(lost) == "silent"
        dial = await asyncio.open_connection(*link.where)
        dial[1].write(b"z")
        assert await read_or_silent(dial) == "silent"
        link.open()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(lost[0].read(1), 1.0)
        assert await echo_back(idle, b"still here") == b"still here", "it lost no bytes"

    run_with_link(scenario)


def test_held_bytes_arrive_in_order_and_delay_and_rate_apply():
    async def scenario(link):
        end = await asyncio.open_connection(*link.where)
        assert await echo_back(end, b"0") == b"0"
        link.hold("back")
        for each in (b"1", b"2", b"3"):
            end[1].write(each)
            await asyncio.sleep(0.01)
        assert await read_or_silent(end) == "silent"
        link.open()
        assert await asyncio.wait_for(end[0].readexactly(3), 1.0) == b"123"
        clock = asyncio.get_running_loop().time
        link.delay(80.0)
        began = clock()
        assert await echo_back(end, b"late") == b"late" and clock() - began >= 0.155
        link.open()
        link.slow(20000.0, "there")
        began = clock()
        assert await echo_back(end, b"x" * 4000) and clock() - began >= 0.19

    run_with_link(scenario)


def test_link_resets_and_refuses_until_it_is_opened():
    async def scenario(link):
        end = await asyncio.open_connection(*link.where)
        assert await echo_back(end, b"x") == b"x"
        link.reset()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(end[0].read(1), 1.0)
        link.refuse()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*link.where)
        link.open()
        await asyncio.sleep(0.05)
        assert await echo_back(await asyncio.open_connection(*link.where), b"again") == b"again"

    run_with_link(scenario)


class Echo(asyncio.DatagramProtocol):
    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, source):
        self.transport.sendto(data, source)


class Recorder(asyncio.DatagramProtocol):
    def __init__(self):
        self.received = []

    def datagram_received(self, data, source):
        self.received.append(int(data))


def test_datagrams_are_dropped_duplicated_reordered_held_and_cut():
    async def run():
        loop = asyncio.get_running_loop()
        server, _ = await loop.create_datagram_endpoint(Echo, local_addr=("127.0.0.1", 0))
        link = await Datagrams(loop, server.get_extra_info("sockname")[:2], 3).open()
        client, recorder = await loop.create_datagram_endpoint(Recorder, remote_addr=link.where)

        async def send(count, wait=0.15):
            recorder.received.clear()
            for each in range(count):
                client.sendto(b"%d" % each)
                if each % 20 == 19:
                    await asyncio.sleep(0.005)
            await asyncio.sleep(wait)
            return [*recorder.received]

        assert await send(60) == [*range(60)]
        link.there.lost = 0.3
        assert 20 < len(await send(100)) < 95 and link.dropped > 5
        link.heal()
        link.back.doubled = 1.0
        assert sorted(await send(30)) == sorted([*range(30)] * 2)
        link.heal()
        link.there.jitter_ms = 60.0
        received = await send(50)
        assert sorted(received) == [*range(50)] and any(a > b for a, b in pairwise(received))
        link.heal()
        link.back.cut = True
        assert await send(5) == []
        link.heal()
        link.there.held = True
        assert await send(5) == []
        link.heal()
        await asyncio.sleep(0.1)
        assert recorder.received == [*range(5)]
        for each in (client, server, link):
            each.close()

    asyncio.run(run())


def test_script_file_is_carried_out_on_a_rig(tmp_path):
    script = load("scenarios/fleet-cut.toml")

    async def run():
        async with rig_of(script, tmp_path) as rig:
            await asyncio.wait_for(play(script, rig), 20.0)
            await asyncio.sleep(0.6)
            stores = Stores([rig.store("k1")], rig.now_ms())
            moments = [
                (each.sender, each.detail[:7])
                for each in stores.timeline()
                if each.what == "adopted" and each.detail.startswith("list 2@")
            ]
            assert moments[-1][0] == "n1" and {sender for sender, _ in moments} == set(rig.senders)
            late = {each.sender for each in stores.late_calls(1).calls}
            assert "n1" in late and late <= {"n1", "n2"}
            assert {each.sender for each in stores.calls_after_removal("e1", 2).calls} <= {"n1", "n2"}

    asyncio.run(run())


@pytest.mark.parametrize(
    "text, named",
    [
        ("seconds = 0\n", "$.seconds"),
        ("[[step]]\nat = 1.0\ndo = 'jump'\n", "$.step[0].do"),
        ("[[step]]\nat = 1.0\ndo = 'cut'\n", "needs link"),
        ("[[step]]\nat = 1.0\ndo = 'kill'\nname = 'n9'\n", "'n9'"),
        ("[[step]]\nat = 1.0\ndo = 'publish'\n", "needs states"),
        ("stages = 3\n", "stages"),
    ],
)
def test_malformed_script_is_reported_with_file_and_key(text, named):
    with pytest.raises(ScriptError) as caught:
        decode(b"name = 'x'\n" + text.encode(), "day.toml")
    assert named in str(caught.value) and "day.toml" in str(caught.value)
