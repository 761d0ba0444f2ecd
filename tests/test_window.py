"""Tests of the deduplication window: a numbered document that may have run is repeated only within it.

They run real processes that end while a call is in flight. Times are taken at the endpoint, when a call has
arrived completely.
"""

import asyncio
import signal
import time

import pytest
from fake import SILENT, Shut, World, answer

SHORT, LONG = 1000.0, 19000.0


def play(folder, story, window, known=True, **limits):
    """Runs a story with numbered document types whose deduplication window has the given length."""
    services = [
        {
            "name": name,
            "effect": "keyed",
            "group": group,
            "objectiveMs": 5000.0,
            "deadlineMs": 20000.0,
            "importance": 1.0,
            "lateShare": 0.4,
            "windowMs": window,
        }
        for name, group in [("order", "all"), ("zoned", "zone")]
    ]
    changes = {
        "settings__services": services,
        **{f"settings__limits__{key}": value for key, value in limits.items()},
    }

    async def run():
        (folder / "state").mkdir()
        async with World(folder / "state", known, changes) as world:
            world.arrivals = []  # when each call arrived
            world.on_call = lambda: world.arrivals.append(time.monotonic())
            await asyncio.wait_for(story(world), 20.0)

    asyncio.run(run())


async def window_over(world, window):
    """Waits until the window of the first call is over."""
    await asyncio.sleep(max(0.0, world.arrivals[0] + window / 1000.0 - time.monotonic()))


async def assert_not_repeated(world, doc_id="d1", calls=1, result="bounced"):
    """Checks that the document was answered and not transmitted again, and that the sender still serves."""
    assert await world.until(lambda: world.notices)
    assert [(each["ref"], each["result"]) for each in world.notices] == [(doc_id, result)]
    world.answers = []
    if world.lines or world._known:
        assert (await world.hand_in("other", "order"))[0] == 202
        assert await world.until(lambda: world.calls[-1][0] == "other")
    assert [doc for doc, *_ in world.calls].count(doc_id) == calls


async def assert_repeated(world, calls=2):
    """Checks that the document was transmitted again and delivered, with no notice."""
    assert await world.until(lambda: len(world.calls) == calls)
    assert await world.until(lambda: '["done","d1"' in world.on_disk()) and not world.notices


@pytest.fixture
def wall_clock_step(tmp_path, monkeypatch):
    """Returns a function that steps the wall clock of every process started after it is called."""

    def step(seconds):
        (tmp_path / "sitecustomize.py").write_text(
            f"import time\nreal = time.time\ntime.time = lambda: real() + {seconds}\n"
        )
        monkeypatch.setenv("PYTHONPATH", str(tmp_path))

    return step


@pytest.mark.parametrize(
    "number, kind, window, step, result",
    [
        (signal.SIGKILL, "order", SHORT, 0, "bounced"),
        (signal.SIGTERM, "order", SHORT, 0, "bounced"),
        (signal.SIGKILL, "order", SHORT, -3600, "bounced"),
        (signal.SIGKILL, "zoned", SHORT, 0, "dead"),
        (signal.SIGKILL, "order", LONG, 3600, None),
    ],
)
def test_a_window_that_ended_before_a_restart_is_over_even_if_the_wall_clock_is_stepped(
    tmp_path, wall_clock_step, number, kind, window, step, result
):
    async def story(world):
        world.answers = [SILENT]
        assert (await world.hand_in("d1", kind, left=19000))[0] == 202
        assert await world.until(lambda: world.arrivals)
        await world.kill(number)
        await window_over(world, SHORT)
        wall_clock_step(step)
        await world.start()
        await (assert_not_repeated(world, result=result) if result else assert_repeated(world))

    play(tmp_path, story, window)


@pytest.mark.parametrize("window", [SHORT, LONG])
def test_a_window_can_end_while_a_restarted_sender_waits_for_the_endpoint_list(tmp_path, window):
    async def story(world):
        whole = {"rev": 9, "all": True, "targets": [world.entry()]}
        world.answers = [SILENT]
        world.say(whole)
        assert (await world.hand_in("d1", "order", left=19000))[0] == 202
        assert await world.until(lambda: world.arrivals)
        await world.kill(signal.SIGKILL)
        await world.start()  # discovery is silent, and no endpoint is known
        await window_over(world, SHORT + 100.0)
        if window == SHORT:  # answered at once, as no list could help
            assert await world.until(lambda: world.notices, 0.5)
        world.lines = [whole]
        world.say(whole)
        await (assert_not_repeated(world) if window == SHORT else assert_repeated(world))

    play(tmp_path, story, window, known=False)


def test_of_several_calls_that_may_have_run_the_first_one_starts_the_window_across_restarts(tmp_path):
    async def story(world):
        world.answers = [SILENT, SILENT]
        assert (await world.hand_in("d1", "order", left=19000))[0] == 202
        assert await world.until(lambda: world.arrivals)
        await world.kill(signal.SIGTERM)
        await world.start()
        assert await world.until(lambda: len(world.arrivals) == 2)
        await world.kill(signal.SIGKILL)
        await window_over(world, 6 * SHORT)  # counted from the second call the window would be open
        await world.start()
        await assert_not_repeated(world, calls=2)

    play(tmp_path, story, 6 * SHORT)


@pytest.mark.parametrize("window", [2 * SHORT, LONG])
def test_a_repeat_whose_connection_opens_after_the_window_is_not_written(tmp_path, window):
    async def story(world):
        shut = Shut()
        first_answer = asyncio.get_running_loop().create_future()
        world.answers = [first_answer]
        assert (await world.hand_in("d1", "order", left=19000))[0] == 202
        assert await world.until(lambda: world.arrivals)
        world.say(
            {
                "rev": 8,
                "all": False,
                "targets": [world.entry(place=shut.place), world.entry("leaving", "s-2")],
            }
        )
        while "pool_size=2\n" not in (await world.operator("GET", "/metrics"))[1]:  # the change has arrived
            await asyncio.sleep(0.01)
        first_answer.set_result(answer(500))  # the document may have run
        await shut.dialled(world)
        await window_over(world, window if window < LONG else 0.0)
        await shut.open()
        assert await world.until(lambda: shut.heard)
        if window == LONG:
            assert b"Request-Id: d1\r\n" in shut.heard[0] and not world.notices
        else:
            assert shut.heard[0] == b"" and await world.until(lambda: world.notices)
            assert [(each["ref"], each["result"]) for each in world.notices] == [("d1", "bounced")]
        assert len(world.calls) == 1

    play(tmp_path, story, window, dialTimeoutMs=5000.0)
