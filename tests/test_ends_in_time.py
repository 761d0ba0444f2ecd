"""A document that a process holds ends by its expiry, whether or not that process still makes calls."""

import asyncio
import signal
import time

import pytest
from fake import SILENT, Story, World
from test_overflow import CHANGES

GRACE_S = 0.35  # after its time, a document has its end: 300 ms, and 50 by which time limits are longer
TIMES_MS = (700, 1000, 1300, 1700, 2200, 2800, 3300)
DOCUMENTS = 42


async def hand_in_all(world, due, kinds):
    for number in range(DOCUMENTS):
        left = TIMES_MS[number % len(TIMES_MS)]
        at = time.monotonic()
        status, _ = await world.hand_in(f"d{number}", kinds[number % len(kinds)], left=left)
        if status == 202:
            due[f"d{number}"] = at + left / 1000.0 + GRACE_S


async def watch_ends(world, ended):
    while True:
        for each in world.notices:
            ended.setdefault(each["ref"], time.monotonic())
        await asyncio.sleep(0.01)


def play(folder, story, backlog=False):
    async def whole():
        (folder / "state").mkdir()
        environment = {}
        if backlog:
            path = folder / "backlog.toml"
            path.write_text(f"[backlog]\nwindow = 4\nbytes = {1 << 30}\n")
            environment["BALANCER_BACKLOG"] = str(path)
        async with World(folder / "state", changes=dict(CHANGES), environment=environment) as world:
            world.answers = [SILENT] * 1000
            due, ended = {}, {}
            watching = asyncio.create_task(watch_ends(world, ended))
            await asyncio.wait_for(story(world, due), 25.0)
            await asyncio.sleep(max(0.0, max(due.values()) + 0.2 - time.monotonic()))
            watching.cancel()
            assert len(due) > DOCUMENTS // 2
            late = {each: ended.get(each, float("inf")) - at for each, at in due.items()}
            assert not {each: by for each, by in late.items() if by > 0.0}

    asyncio.run(whole())


# The old process of an upgrade ended nothing while it waited for calls that hang: notices came up to 2 s late
@pytest.mark.parametrize("backlog", [False, True])
@pytest.mark.parametrize("accepted", ["by the old process", "by both"])
@pytest.mark.parametrize("end", ["SIGTERM", "SIGKILL", "SIGTERM, then the new one too"])
def test_documents_end_in_time_while_a_process_is_replaced_and_calls_hang(tmp_path, end, accepted, backlog):
    async def story(world, due):
        if accepted == "by the old process":
            await hand_in_all(world, due, ("sync", "pay"))
        new, _ = await world.beside()
        if accepted == "by both":
            await hand_in_all(world, due, ("sync", "pay"))
        old, world.process = world.process, new
        old.send_signal(signal.SIGKILL if end == "SIGKILL" else signal.SIGTERM)
        await asyncio.wait_for(old.wait(), 4.0)
        if end == "SIGTERM, then the new one too":
            third, _ = await world.beside()
            new.send_signal(signal.SIGTERM)
            world.process = third
            await asyncio.wait_for(new.wait(), 4.0)

    play(tmp_path, story, backlog)


def test_a_turn_without_calls_ends_what_is_late_and_makes_no_call():
    story = Story(slots=1)
    for number in range(3):
        story.take(f"d{number}", left=1000.0 * (number + 1))
    assert story.calls == [("d0", "a")]
    story.alarms.clear()
    for now, ended in (
        (1500.0, []),
        (1899.0, []),
        (1901.0, ["d1"]),
        (2000.0, ["d1"]),
        (2901.0, ["d1", "d2"]),
    ):
        story.sender.turn_without_calls(now)
        assert [doc_id for doc_id, _ in story.said] == ended
    assert story.calls == [("d0", "a")] and min(story.alarms) <= 2900.0
