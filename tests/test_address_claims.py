"""While the list names two endpoints at one address, the one that started there last has it."""

import asyncio
import random
import signal

import pytest
from fake import World
from test_hostile_clients import FakeCalls

from birchstack import interface
from birchstack.net.address_claims import AddressClaims
from birchstack.net.discovery import decode_targets
from birchstack.net.listed import EndpointList

WHOLE, DELTA, KNOWN = interface.WHOLE, interface.CHANGES, interface.KNOWN
READY, DRAINING, GONE = interface.READY, interface.DRAINING, interface.GONE


class View:
    """What a process that was just started makes of the lists that it gets."""

    def __init__(self):
        self._known = EndpointList(FakeCalls())
        self._claims = AddressClaims(self._known)

    def told(self, mode, *entries):
        self._known.apply(mode, self._claims.resolve(mode, [*entries]))
        return self.called()

    def called(self):
        return {name for name, entry in self._known.entries.items() if entry.state == READY}


def entry(name, started_ms=0.0, state=READY, port=1):
    return interface.Endpoint(name, 1, "a", 0, state, 0.0, started_ms), ("127.0.0.1", port)


# After a restart nothing told which of two came last: calls went to the other partner's endpoint
@pytest.mark.parametrize("mode", [WHOLE, KNOWN])
def test_the_first_list_of_a_process_gives_an_address_to_the_endpoint_that_started_last(mode):
    old, new = entry("old"), entry("new", 7e11)
    for listed in ([old, new], [new, old]):
        view = View()
        assert view.told(mode, *listed, entry("other", 9e11, port=2)) == {"new", "other"}
        assert view.told(WHOLE, *listed) == {"new"}
        assert view.told(DELTA, entry("old", 0.0, DRAINING)) == {"new"}
        assert view.told(DELTA, entry("old")) == {"new"}
        assert view.told(DELTA, entry("new", 7e11, GONE)) == {"old"}
    assert View().told(WHOLE, old, entry("new", 7e11, DRAINING)) == set()
    assert View().told(WHOLE, old, entry("new", 0.0, DRAINING)) == {"old"}
    assert View().told(WHOLE, entry("a"), entry("b")) == {"a", "b"}  # the list does not tell


def test_an_endpoint_that_starts_again_at_its_address_has_it_again():
    view = View()
    assert view.told(WHOLE, entry("a", 1e11)) == {"a"}
    assert view.told(DELTA, entry("b", 2e11)) == {"b"}
    assert view.told(DELTA, entry("a", 3e11)) == {"a"}
    assert view.told(DELTA, entry("a", 3e11, GONE)) == {"b"}


def test_a_clock_that_was_set_back_does_not_matter_for_an_endpoint_that_is_listed_later():
    view = View()
    assert view.told(WHOLE, entry("a", 5e11)) == {"a"}
    assert view.told(DELTA, entry("b", 4e11)) == {"b"}


@pytest.mark.parametrize("boot_ms", [None, "soon", True, -1, 1e300, [], {}])
def test_an_entry_whose_start_cannot_be_read_is_listed_all_the_same(boot_ms):
    line = {"uid": "a", "endpoint": "127.0.0.1:1", "pod_group": 1, "state": "active", "boot_ms": boot_ms}
    ((listed, _),) = decode_targets([line], ())
    assert (listed.name, listed.started_ms) == ("a", 0.0)


@pytest.mark.parametrize("seed", range(20))
def test_no_call_goes_to_an_endpoint_whose_address_a_listed_one_has_since(seed):
    draw = random.Random(seed)
    listed, now, names, checks = {}, 1e11, 0, 0
    view = View()
    for _ in range(400):
        now += 1000.0
        action = draw.random()
        if action < 0.4 or not listed:  # a process starts at an address, whose last one may be listed still
            names += 1
            told = entry(f"e{names}", now, READY, draw.randrange(1, 5))
        else:
            last, (host, port) = listed[draw.choice([*listed])]
            state = GONE if action < 0.75 else draw.choice([READY, DRAINING])
            started_ms = now if action > 0.95 else last.started_ms  # it starts again where it was
            told = entry(last.name, started_ms, state, port)
        listed[told[0].name] = told
        if told[0].state == GONE:
            del listed[told[0].name]
        if action % 0.1 < 0.015:  # the sender starts again
            view = View()
            if draw.random() < 0.5:
                view.told(KNOWN, *listed.values())
        if action % 0.1 < 0.03:
            called = view.told(WHOLE, *draw.sample([*listed.values()], len(listed)))
        else:
            called = view.told(DELTA, told)
        for port in range(1, 5):
            here = [each for each, (_, at) in listed.values() if at == port]
            last = max(here, key=lambda each: each.started_ms, default=None)
            assert called & {each.name for each in here} <= ({last.name} if last else set())
            assert last is None or last.state != READY or last.name in called
            checks += len(here) > 1
    assert checks > 100


# The same with real processes, however the process is replaced
@pytest.mark.parametrize("way", ["SIGTERM", "SIGKILL", "upgrade", "two upgrades"])
def test_a_process_that_starts_while_two_are_listed_at_an_address_calls_the_later_one(tmp_path, way):
    async def story():
        (tmp_path / "state").mkdir()
        async with World(tmp_path / "state") as world:
            new = {**world.entry(uid="s-2"), "pod_group": 2, "boot_ms": 1_750_000_000_000}
            both = {"rev": 8, "all": True, "targets": [new, world.entry()]}
            await world.until(lambda: world.watchers)
            world.say({"rev": 8, "all": False, "targets": [new]})
            world.lines, world.changes = [both], {"known": both}
            if way.startswith("SIG"):
                await world.kill(getattr(signal, way))
                await world.start()
            for _ in range({"upgrade": 1, "two upgrades": 2}.get(way, 0)):
                process, _ = await world.beside()
                await world.kill(signal.SIGTERM)
                world.process = process
            await asyncio.sleep(0.2)
            for number in range(5):
                await world.hand_in(f"one{number}", left=3000)
                assert (await world.hand_in(f"two{number}", left=3000, dest=2))[0] == 202
            await asyncio.sleep(0.3)
            assert {doc for doc, *_ in world.calls} == {f"two{number}" for number in range(5)}

    asyncio.run(asyncio.wait_for(story(), 30.0))
