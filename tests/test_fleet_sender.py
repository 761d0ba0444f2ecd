"""The fleet features of one real sender: off without their file, settings errors, and the audit trail."""

import asyncio
import os
import subprocess
import sys

import pytest
from fake import World, config

from birchstack.fleet import wire
from birchstack.fleet.records import ProcessEnd, ProcessStart, TurnActions, VersionAdopted, scan_frames
from birchstack.fleet.versions import FOREIGN, FORKED, LIST, NEWER, OLDER, SETTINGS

FLEET_FILE = "[trail]\nbytes = 200000\n"


def run_scenario(folder, scenario, monkeypatch, fleet=FLEET_FILE):
    if fleet is not None:
        (folder / "fleet.toml").write_text(fleet)
        monkeypatch.setenv("BALANCER_FLEET", str(folder / "fleet.toml"))

    async def run():
        (folder / "state").mkdir()
        async with World(folder / "state") as world:
            await asyncio.wait_for(scenario(world), 20.0)

    asyncio.run(run())


async def read_trail(world, after=0):
    """The sender's response on the operators' port, and its records by number."""
    reader, writer = await asyncio.open_connection("127.0.0.1", world.ops)
    writer.write(f"GET {wire.request_target(after)} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    writer.close()
    assert head.startswith(b"HTTP/1.1 200")
    response = wire.decode(body)
    return response, {each.number: each.record() for each in scan_frames(response.frames)}


def test_each_call_is_recorded_after_the_adoption_of_the_list_it_was_made_with(tmp_path, monkeypatch):
    async def scenario(world):
        assert (await world.hand_in("d1"))[0] == 202
        assert await world.until(lambda: len(world.calls) == 1)
        world.say({"rev": 8, "all": False, "targets": [world.entry(uid="s-2")]})
        assert await world.until(lambda: "version=8@" in world.log())
        assert (await world.hand_in("d2"))[0] == 202
        assert await world.until(lambda: len(world.calls) == 2)
        response, records = await read_trail(world)
        assert [*records] == [*range(1, response.last + 1)] and response.holds and response.ready
        kinds = [type(each) for each in records.values()]
        assert kinds[0] is ProcessStart and kinds.count(TurnActions) == 2
        lists = [
            (n, each)
            for n, each in records.items()
            if isinstance(each, VersionAdopted) and each.version.kind == LIST
        ]
        assert [(each.version.number, each.order) for _, each in lists] == [(7, "first"), (8, NEWER)]
        call_records = {each.calls[0]: n for n, each in records.items() if isinstance(each, TurnActions)}
        assert lists[0][0] < call_records["d1"] < lists[1][0] < call_records["d2"]
        assert {each.version.kind for each in records.values() if isinstance(each, VersionAdopted)} == {
            "program",
            "decisions",
            "form",
            "settings",
            "list",
        }
        _, rest = await read_trail(world, response.last - 1)
        assert [*rest] == [response.last]
        metrics = (await world.operator("GET", "/metrics"))[1]
        assert "balancer.list_number=8\n" in metrics and "balancer.trail_failing=0\n" in metrics
        for bad in ("?after=-1", "?after=x", "?most=9999999"):
            assert (await world.operator("GET", wire.PATH + bad))[0] == 400

    run_scenario(tmp_path, scenario, monkeypatch)


@pytest.mark.parametrize("policy, numbers", [("take", [8, 7, 7, 3]), ("hold", [8, 3])])
def test_an_older_or_forked_list_is_recorded_and_follows_the_policy(policy, numbers, tmp_path, monkeypatch):
    async def scenario(world):
        for rev, uid, epoch in [
            (8, "s-2", ""),
            (7, "s-3", ""),
            (7 if policy == "take" else 8, "s-4", ""),
            (3, "s-1", "restored"),
        ]:
            world.say(
                {
                    "rev": rev,
                    "all": True,
                    "targets": [world.entry(), world.entry(uid=uid)],
                    **({"epoch": epoch} if epoch else {}),
                }
            )
        await asyncio.sleep(0.2)
        _, records = await read_trail(world)
        received = [
            each
            for each in records.values()
            if isinstance(each, VersionAdopted) and each.version.kind == LIST
        ]
        assert [each.order for each in received] == ["first", NEWER, OLDER, FORKED, FOREIGN]
        assert [each.version.number for each in received if each.taken][1:] == numbers
        metrics = (await world.operator("GET", "/metrics"))[1]
        assert "balancer.list_number=3\n" in metrics
        assert world.log().count("does not follow the one held") == 3

    run_scenario(tmp_path, scenario, monkeypatch, FLEET_FILE + f'[list]\nback = "{policy}"\n')


def test_a_malformed_version_is_rejected_and_without_a_fleet_file_no_trail_exists(tmp_path, monkeypatch):
    async def scenario(world):
        for rev in ("9", 9.5, True, -1, None, 1 << 70):
            before = len(world.asked)
            world.say({"rev": rev, "all": True, "targets": []})
            assert await world.until(lambda before=before: len(world.asked) > before)
        assert world.log().count('problem="ValueError: rev: ') == 6
        assert "after=7" in world.asked[-1]
        assert (await world.hand_in("d1"))[0] == 202
        assert await world.until(lambda: world.calls)
        assert (await world.operator("GET", wire.PATH))[0] == 404
        assert "balancer.list" not in (await world.operator("GET", "/metrics"))[1]
        assert not [name for name in os.listdir(world.folder) if name.startswith("trail")]

    run_scenario(tmp_path, scenario, monkeypatch, None)


def test_a_reload_and_the_orderly_end_of_a_process_are_recorded(tmp_path, monkeypatch):
    async def scenario(world):
        import signal

        world.configured(version=4, settings__domain__callsOut=3)
        world.process.send_signal(signal.SIGHUP)
        assert await world.until(lambda: "configuration taken over" in world.log())
        assert await world.kill(signal.SIGTERM) == 0
        await world.start()
        _, records = await read_trail(world)
        found = [each for each in records.values()]
        end = next(at for at, each in enumerate(found) if isinstance(each, ProcessEnd))
        assert isinstance(found[end + 1], ProcessStart) and found[end + 1].incarnation != found[0].incarnation
        settings = [
            each.version
            for each in found
            if isinstance(each, VersionAdopted) and each.version.kind == SETTINGS
        ]
        assert [each.number for each in settings] == [None, 4, None] and len(
            {each.digest for each in settings}
        ) == 2

    run_scenario(tmp_path, scenario, monkeypatch)


@pytest.mark.parametrize(
    "text, named",
    [
        ("[trail]\nbytes = 'many'\n", "$.trail.bytes"),
        ("[trail]\nbyts = 3\n", "byts"),
        ("[list]\nback = 'never'\n", "$.list.back"),
        ("[trail\n", "fleet.toml"),
        ("[trail]\nbytes = 2900000\n", "trail.bytes"),
        (None, "No such file"),
    ],
)
def test_an_invalid_fleet_file_ends_the_start_with_its_key_named(text, named, tmp_path):
    import json

    (tmp_path / "state").mkdir()
    (tmp_path / "c.json").write_text(json.dumps(config(tmp_path / "state", ops="127.0.0.1:5001")))
    if text is not None:
        (tmp_path / "fleet.toml").write_text(text)
    environment = {
        **os.environ,
        "BALANCER_CONFIG": str(tmp_path / "c.json"),
        "BALANCER_FLEET": str(tmp_path / "fleet.toml"),
    }
    done = subprocess.run(
        [sys.executable, "-m", "birchstack"], env=environment, capture_output=True, timeout=20
    )
    line = done.stderr.decode().strip()
    assert done.returncode == 2 and named in line and "\n" not in line


def test_without_a_fleet_file_no_module_of_the_fleet_is_imported():
    code = (
        "import sys, birchstack.__main__ as m; m._audit_log(None); "
        "print([n for n in sys.modules if 'fleet' in n or 'msgspec' in n or 'keeper' in n])"
    )
    environment = {name: value for name, value in os.environ.items() if name != "BALANCER_FLEET"}
    assert (
        subprocess.run([sys.executable, "-c", code], env=environment, capture_output=True).stdout == b"[]\n"
    )
