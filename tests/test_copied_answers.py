"""A second copy of an answer must never end another call: real processes behind links that copy answers."""

import asyncio
import random

import fake
import pytest
from fake import OK_200, answer

from birchstack.emulator.rig.real import Rig
from birchstack.emulator.rig.rules import violations

SENDERS = 2
PER_SECOND = 200.0
TRAFFIC_S = 4.0
EXPIRY_MS = 2500
COPY_SHARE = 0.3  # of the answers
DESTINATIONS = 2


async def submit(rig, chance):
    """Submits documents of both kinds at an even rate, and waits until each has had its time."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    number = 0
    while loop.time() < began + TRAFFIC_S:
        number += 1
        kind = "pay" if chance.random() < 0.3 else "sync"
        destination = chance.randint(1, DESTINATIONS)
        rig.clients.hand_in(chance.choice(rig.senders), f"d{number:04d}", destination, kind, EXPIRY_MS)
        await asyncio.sleep(1.0 / PER_SECOND)
    await asyncio.sleep(EXPIRY_MS / 1000.0 + 0.5)


def play(folder, seed, latest_ms):
    """Copies of answers follow up to latest_ms later; returns the violations and the number of copies."""

    async def whole():
        words = {"keepers": 0, "endpoints": 4, "destinations": DESTINATIONS, "fleet": None}
        async with Rig(folder, SENDERS, seed=seed, **words) as rig:
            chance = random.Random(seed)
            rig.endpoints.busy_share = 0.02
            rig.endpoints.flaky = {uid: 0.04 for uid in rig.uids}
            rig.endpoints.answer_ms = 20.0
            rig.endpoints.spread_ms = 30.0
            for sender in rig.senders:
                for uid in rig.uids:
                    rig.link(sender, uid).copy(
                        lambda: chance.uniform(0.0, latest_ms) if chance.random() < COPY_SHARE else None
                    )
            await asyncio.wait_for(submit(rig, chance), 30.0)
            copies = sum(link.back.copies for link in rig.links_of())
            return (
                violations(rig.clients, rig.endpoints, rig.list, ("pay",)),
                copies,
                len(rig.endpoints.calls),
            )

    return asyncio.run(whole())


@pytest.mark.parametrize("latest_ms", [10.0, 200.0])
def test_a_second_copy_of_an_answer_ends_no_other_call(tmp_path, latest_ms):
    found, copies, calls = play(tmp_path, 1, latest_ms)
    assert copies > 40 and calls > 200
    assert not found, f"{len(found)} violations\n" + "\n".join(map(str, found[:8]))


def test_a_document_refused_behind_a_copied_200_is_called_again(tmp_path):
    async def story(world):
        world.answers = [[OK_200, OK_200], answer(503)]  # the copy follows 20 ms later
        assert (await world.hand_in("d1"))[0] == 202
        assert await world.until(lambda: len(world.calls) == 1)
        assert (await world.hand_in("d2"))[0] == 202
        assert await world.until(lambda: [call[0] for call in world.calls] == ["d1", "d2", "d2"])

    fake.play(tmp_path, story)
