"""The window for repeats: what may have run and is numbered is sent again only while its endpoint knows it.

Real processes, ended while a call was out; the times are the endpoint's, taken when a call has come whole."""

import asyncio
import signal
import time

import pytest
from fake import SILENT, Shut, World, answer

SHORT, LONG = 1000.0, 19000.0


def play(folder, story, window, known=True, **limits):
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
        **{f"settings__limits__{key}": each for key, each in limits.items()},
    }

    async def whole():
        (folder / "state").mkdir()
        async with World(folder / "state", known, changes) as world:
            world.at = []  # when each call came
            world.on_call = lambda: world.at.append(time.monotonic())
            await asyncio.wait_for(story(world), 20.0)

    asyncio.run(whole())


async def over(world, window):
    """Waits until the first call is so long ago."""
    await asyncio.sleep(max(0.0, world.at[0] + window / 1000.0 - time.monotonic()))


async def ended(world, doc_id="d1", calls=1, result="bounced"):
    """The document is answered, and was not sent again; the sender serves."""
    assert await world.until(lambda: world.notices)
    assert [(each["ref"], each["result"]) for each in world.notices] == [(doc_id, result)]
    world.answers = []
    if world.lines or world._known:
        assert (await world.hand_in("other", "order"))[0] == 202
        assert await world.until(lambda: world.calls[-1][0] == "other")
    assert [doc for doc, *_ in world.calls].count(doc_id) == calls


async def sent_again(world, calls=2):
    assert await world.until(lambda: len(world.calls) == calls)
    assert await world.until(lambda: '["done","d1"' in world.on_disk()) and not world.notices


@pytest.fixture
def stepped(tmp_path, monkeypatch):
    """Steps the wall clock of each process that starts from now on."""

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
def test_a_window_that_ended_before_the_start_is_over_whatever_the_wall_clock_says(
    tmp_path, stepped, number, kind, window, step, result
):
    async def story(world):
        world.answers = [SILENT]
        assert (await world.hand_in("d1", kind, left=19000))[0] == 202
        assert await world.until(lambda: world.at)
        await world.kill(number)
        await over(world, SHORT)
        stepped(step)
        await world.start()
        await (ended(world, result=result) if result else sent_again(world))

    play(tmp_path, story, window)


@pytest.mark.parametrize("window", [SHORT, LONG])
def test_a_window_that_ends_while_a_start_waits_for_its_list_is_over(tmp_path, window):
    async def story(world):
        whole = {"rev": 9, "all": True, "targets": [world.entry()]}
        world.answers = [SILENT]
        world.say(whole)
        assert (await world.hand_in("d1", "order", left=19000))[0] == 202
        assert await world.until(lambda: world.at)
        await world.kill(signal.SIGKILL)
        await world.start()  # discovery is silent, and no endpoint was known
        await over(world, SHORT + 100.0)
        if window == SHORT:  # answered at once: no list would help it
            assert await world.until(lambda: world.notices, 0.5)
        world.lines = [whole]
        world.say(whole)
        await (ended(world) if window == SHORT else sent_again(world))

    play(tmp_path, story, window, known=False)


def test_of_several_calls_that_may_have_run_the_first_one_counts_over_restarts_too(tmp_path):
    async def story(world):
        world.answers = [SILENT, SILENT]
        assert (await world.hand_in("d1", "order", left=19000))[0] == 202
        assert await world.until(lambda: world.at)
        await world.kill(signal.SIGTERM)
        await world.start()
        assert await world.until(lambda: len(world.at) == 2)
        await world.kill(signal.SIGKILL)
        await over(world, 6 * SHORT)  # the second one's window is still open
        await world.start()
        await ended(world, calls=2)

    play(tmp_path, story, 6 * SHORT)


@pytest.mark.parametrize("window", [2 * SHORT, LONG])
def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_written(tmp_path, window):
    async def story(world):
        shut, said = Shut(), asyncio.get_running_loop().create_future()
        world.answers = [said]
        assert (await world.hand_in("d1", "order", left=19000))[0] == 202
        assert await world.until(lambda: world.at)
        world.say(
            {
                "rev": 8,
                "all": False,
                "targets": [world.entry(place=shut.place), world.entry("leaving", "s-2")],
            }
        )
        while "pool_size=2\n" not in (await world.operator("GET", "/metrics"))[1]:  # it has heard
            await asyncio.sleep(0.01)
        said.set_result(answer(500))  # it may have run
        await shut.dialled(world)
        await over(world, window if window < LONG else 0.0)
        await shut.open()
        assert await world.until(lambda: shut.heard)
        if window == LONG:
            assert b"Request-Id: d1\r\n" in shut.heard[0] and not world.notices
        else:
            assert shut.heard[0] == b"" and await world.until(lambda: world.notices)
            assert [(each["ref"], each["result"]) for each in world.notices] == [("d1", "bounced")]
        assert len(world.calls) == 1

    play(tmp_path, story, window, dialTimeoutMs=5000.0)
