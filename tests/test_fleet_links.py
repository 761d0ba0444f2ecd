"""Links that fail as they are told: on sockets, for datagrams, and from a day's file."""

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


def linked(story):
    """An echo server behind a link, and what story(link, stage) does with it."""

    async def whole():
        async def echo(reader, writer):
            while data := await reader.read(65536):
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        quiet = Scenario(network=Network(delay_ms=0.0, jitter=0.0))
        stage = sockets.Stage(asyncio.get_running_loop(), quiet, 1)
        link = Link(stage, "a", "b", server.sockets[0].getsockname()[:2], ANY)
        await asyncio.sleep(0.01)
        try:
            await asyncio.wait_for(story(link), 10.0)
        finally:
            server.close()
            for host in stage.hosts:
                host.close()

    asyncio.run(whole())


async def say(end, data):
    end[1].write(data)
    return await asyncio.wait_for(end[0].readexactly(len(data)), 2.0)


async def silent(end, seconds=0.1):
    try:
        return await asyncio.wait_for(end[0].read(1), seconds)
    except TimeoutError:
        return "silent"


def test_a_link_carries_both_ways_and_its_end_reaches_the_other_side():
    async def story(link):
        end = await asyncio.open_connection(*link.where)
        big = bytes(range(256)) * 4000
        assert await say(end, big) == big and link.there.bytes == link.back.bytes == len(big)
        end[1].close()
        for _ in range(100):
            await asyncio.sleep(0.01)
            if not link.connections:
                return
        raise AssertionError("the connection stays")

    linked(story)


@pytest.mark.parametrize("way", ["there", "back", "both"])
def test_a_cut_is_silence_and_then_a_reset_for_what_lost_bytes(way):
    async def story(link):
        lost, idle = [await asyncio.open_connection(*link.where) for _ in range(2)]
        assert await say(lost, b"x") + await say(idle, b"y") == b"xy"
        link.cut(way)
        lost[1].write(b"gone")
        assert await silent(lost) == "silent"
        dial = await asyncio.open_connection(*link.where)
        dial[1].write(b"z")
        assert await silent(dial) == "silent"
        link.open()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(lost[0].read(1), 1.0)
        assert await say(idle, b"still here") == b"still here", "nothing of it was lost"

    linked(story)


def test_what_is_held_goes_on_in_its_order_and_delay_and_rate_take_their_time():
    async def story(link):
        end = await asyncio.open_connection(*link.where)
        assert await say(end, b"0") == b"0"
        link.hold("back")
        for each in (b"1", b"2", b"3"):
            end[1].write(each)
            await asyncio.sleep(0.01)
        assert await silent(end) == "silent"
        link.open()
        assert await asyncio.wait_for(end[0].readexactly(3), 1.0) == b"123"
        clock = asyncio.get_running_loop().time
        link.delay(80.0)
        began = clock()
        assert await say(end, b"late") == b"late" and clock() - began >= 0.155
        link.open()
        link.slow(20000.0, "there")
        began = clock()
        assert await say(end, b"x" * 4000) and clock() - began >= 0.19

    linked(story)


def test_a_link_refuses_or_resets_and_is_open_again():
    async def story(link):
        end = await asyncio.open_connection(*link.where)
        assert await say(end, b"x") == b"x"
        link.reset()
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(end[0].read(1), 1.0)
        link.refuse()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*link.where)
        link.open()
        await asyncio.sleep(0.05)
        assert await say(await asyncio.open_connection(*link.where), b"again") == b"again"

    linked(story)


class Echo(asyncio.DatagramProtocol):
    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, source):
        self.transport.sendto(data, source)


class Hear(asyncio.DatagramProtocol):
    def __init__(self):
        self.heard = []

    def datagram_received(self, data, source):
        self.heard.append(int(data))


def test_datagrams_are_lost_doubled_reordered_held_and_cut_as_told():
    async def whole():
        loop = asyncio.get_running_loop()
        server, _ = await loop.create_datagram_endpoint(Echo, local_addr=("127.0.0.1", 0))
        link = await Datagrams(loop, server.get_extra_info("sockname")[:2], 3).open()
        mine, hear = await loop.create_datagram_endpoint(Hear, remote_addr=link.where)

        async def send(many, wait=0.15):
            hear.heard.clear()
            for each in range(many):
                mine.sendto(b"%d" % each)
                if each % 20 == 19:
                    await asyncio.sleep(0.005)
            await asyncio.sleep(wait)
            return [*hear.heard]

        assert await send(60) == [*range(60)]
        link.there.lost = 0.3
        assert 20 < len(await send(100)) < 95 and link.dropped > 5
        link.heal()
        link.back.doubled = 1.0
        assert sorted(await send(30)) == sorted([*range(30)] * 2)
        link.heal()
        link.there.jitter_ms = 60.0
        told = await send(50)
        assert sorted(told) == [*range(50)] and any(a > b for a, b in pairwise(told))
        link.heal()
        link.back.cut = True
        assert await send(5) == []
        link.heal()
        link.there.held = True
        assert await send(5) == []
        link.heal()
        await asyncio.sleep(0.1)
        assert hear.heard == [*range(5)]
        for each in (mine, server, link):
            each.close()

    asyncio.run(whole())


def test_a_day_of_the_fleet_is_played_from_its_file(tmp_path):
    told = load("scenarios/fleet-cut.toml")

    async def whole():
        async with rig_of(told, tmp_path) as rig:
            await asyncio.wait_for(play(told, rig), 20.0)
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

    asyncio.run(whole())


@pytest.mark.parametrize(
    "text, named",
    [
        ("seconds = 0\n", "$.seconds"),
        ("[[step]]\nat = 1.0\ndo = 'jump'\n", "$.step[0].do"),
        ("[[step]]\nat = 1.0\ndo = 'cut'\n", "wants link"),
        ("[[step]]\nat = 1.0\ndo = 'kill'\nname = 'n9'\n", "'n9'"),
        ("[[step]]\nat = 1.0\ndo = 'publish'\n", "wants states"),
        ("stages = 3\n", "stages"),
    ],
)
def test_a_wrong_day_is_named_by_its_key(text, named):
    with pytest.raises(ScriptError) as caught:
        decode(b"name = 'x'\n" + text.encode(), "day.toml")
    assert named in str(caught.value) and "day.toml" in str(caught.value)
