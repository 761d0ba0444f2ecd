"""The collector's configuration file and the fleet commands: their output, as tables and JSON, and status."""

import json

import pytest
from click.testing import CliRunner

from birchstack.cli import main
from birchstack.fleet import wire
from birchstack.fleet.records import INITIAL_CHAIN, ProcessStart, TurnActions, VersionAdopted, encode_frame
from birchstack.fleet.versions import LIST, Version
from birchstack.keeper.config import ConfigError, decode
from birchstack.keeper.store import Store

VALID_CONFIG = 'name = "k"\nstore = "s"\n[[senders]]\nname = "n1"\nat = "127.0.0.1:1"\n'


def version(number):
    return Version(LIST, "x", "", number, f"{number:032x}")


def piece(records, name="n1", trail="t1", after=0, now=100.0, **fields):
    """Returns a sender's answer with the records beyond number `after`."""
    chain = INITIAL_CHAIN
    frames = []
    for number, record in enumerate(records, 1):
        data, chain = encode_frame(number, chain, record)
        frames.append(data if number > after else b"")
    return wire.TrailResponse(
        name=name,
        process="p1",
        boot="b",
        trail=trail,
        life="l1",
        wall_ms=now,
        steady_ms=now,
        last=len(records),
        chain=chain,
        frames=b"".join(frames),
        versions={LIST: version(2)},
        **fields,
    )


RECORDS = [
    ProcessStart("l1", "n1", "b", 1000.0, 1.0),
    VersionAdopted(version(1), "first", "x", 1001.0, 2.0),
    TurnActions(10.0, ("d1", "e1", "d2", "e2")),
    TurnActions(30.0, ("d3", "e1"), 2, ("d9",)),
]


@pytest.fixture
def store(tmp_path):
    written = Store(str(tmp_path / "s.sqlite"))
    written.add_published(version(1), "first", {"e1": "active", "e2": "active"}, 0.0)
    written.add_published(version(2), "newer", {"e1": "leaving"}, 20.0)
    written.store_answer("127.0.0.1:1", piece(RECORDS), 100.0, 1.0)
    written.close()
    return str(tmp_path / "s.sqlite")


def run(store, *arguments):
    """Returns the exit status and the parsed JSON, or the output where the command failed."""
    result = CliRunner().invoke(main, ["fleet", "--store", store, "--json", *arguments])
    return result.exit_code, json.loads(result.output) if result.exit_code in (0, 3) else result.output


def test_each_query_prints_json_and_sets_the_exit_status(store):
    code, answer = run(store, "acted", "--list", "1")
    assert code == 0 and [
        (stretch["sender"], stretch["calls"], stretch["rejected"], stretch["abandoned"], stretch["open"])
        for stretch in answer["stretches"]
    ] == [("n1", 3, 2, 1, True)]
    code, answer = run(store, "acted", "--list", "1", "--late")
    assert code == 0 and not answer["calls"], "the call began within the time that a version takes to arrive"
    code, answer = run(store, "after", "--endpoint", "e1", "--out-at", "2")
    assert code == 3 and [(call["doc"], call["past_ms"]) for call in answer["calls"]] == [("d3", 10.0)]
    assert [period["why"] for period in answer["unknown"]] == ["not heard of since"]
    code, answer = run(store, "after", "--endpoint", "e1", "--out-at", "2", "--grace-ms", "15")
    assert code == 0 and not answer["calls"]
    code, answer = run(store, "document", "d9")
    assert code == 0 and [(call["sender"], call["endpoint"], call["number"]) for call in answer["calls"]] == [
        ("n1", None, 1)
    ]
    code, answer = run(store, "findings")
    assert code == 3 and ("silent", "n1") in {(finding["kind"], finding["sender"]) for finding in answer}
    code, answer = run(store, "status")
    assert code == 3 and answer["senders"][0]["list"] == "2@00000000"
    code, answer = run(store, "timeline", "--minutes", "1e9")
    assert code == 0 and {"published", "began", "adopted", "unknown"} <= {event["what"] for event in answer}


@pytest.mark.parametrize(
    "arguments",
    [
        ["status"],
        ["acted", "--list", "1"],
        ["document", "d1"],
        ["findings"],
        ["after", "--endpoint", "e1", "--out-at", "2"],
        ["timeline"],
    ],
)
def test_each_query_prints_a_table(store, arguments):
    result = CliRunner().invoke(main, ["fleet", "--store", store, *arguments])
    assert result.exit_code in (0, 3) and ("n1" in result.output or arguments == ["timeline"])
    if arguments[0] in ("acted", "document", "after"):
        assert "unknown from" in result.output.replace("\n", " ")


def test_a_query_that_cannot_be_answered_fails_with_its_reason(store, tmp_path):
    for arguments, expected in [
        (["after", "--endpoint", "e2", "--out-at", "2"], "e2 was not taken out by list 2"),
        (["acted", "--list", "7", "--late"], "list 7 was never given out"),
    ]:
        code, output = run(store, *arguments)
        assert code == 1 and expected in output
    result = CliRunner().invoke(main, ["fleet", "--store", str(tmp_path / "none"), "status"])
    assert result.exit_code == 1 and "none" in result.output


@pytest.mark.parametrize(
    "text, expected",
    [
        ("name = 3\n", "$.name"),
        (VALID_CONFIG + "at2 = 1\n", "at2"),
        (VALID_CONFIG.replace("127.0.0.1:1", "nowhere"), "senders[0].at"),
        (VALID_CONFIG + '[[senders]]\nname = "n2"\nat = "127.0.0.1:1"\n', "is an address of n1 already"),
        (VALID_CONFIG + "[asks]\nevery_s = 0\n", "$.asks.every_s"),
        (VALID_CONFIG + '[lists]\nat = "x"\n', "$.lists.at"),
        ("name = [", "f.toml"),
    ],
)
def test_an_invalid_configuration_file_is_reported_with_its_key(text, expected, tmp_path):
    with pytest.raises(ConfigError, match="f.toml") as error:
        decode(text.encode(), "f.toml")
    assert expected in str(error.value)
    (tmp_path / "f.toml").write_text(text)
    result = CliRunner().invoke(main, ["keeper", str(tmp_path / "f.toml")])
    assert result.exit_code == 2


def test_a_repeated_record_is_stored_once_and_a_failed_commit_stores_nothing(tmp_path):
    store = Store(str(tmp_path / "s.sqlite"), max_mb=1)
    for _ in range(3):
        store.store_answer("a:1", piece(RECORDS), 100.0, 1.0)
        store.cursors["a:1"].next_number = 1  # reads the same records again
        store.cursors["a:1"].restart(rescanning=False)
    assert store.commit() and store.db.execute("SELECT count(*) FROM call").fetchone() == (4,)
    too_many = [
        *RECORDS,
        *(TurnActions(100.0 + index, (f"document-{index}", "e1")) for index in range(20000)),
    ]
    full = False
    try:
        store.store_answer("a:1", piece(too_many, now=1e6), 1e6, 1.0)
        full = not store.commit()
    except Exception:
        store.rollback()
        full = True
    assert full, "these records exceed the limit of one megabyte"
    assert store.db.execute("SELECT count(*) FROM call").fetchone() == (4,), "the transaction is atomic"
    assert store.resume_after("a:1") <= 4, "records that were not committed are polled again"
    store.store_answer("a:1", piece([*RECORDS, TurnActions(50.0, ("d5", "e2"))]), 200.0, 1.0)
    assert store.commit() and store.db.execute("SELECT count(*) FROM call").fetchone() == (5,)


def test_a_record_altered_after_it_was_stored_and_undecodable_bytes_are_findings(tmp_path):
    store = Store(str(tmp_path / "s.sqlite"))
    store.store_answer("a:1", piece(RECORDS), 100.0, 1.0)
    forged = [
        *RECORDS[:2],
        TurnActions(10.0, ("forged", "e1")),
        *RECORDS[3:],
        TurnActions(40.0, ("d4", "e1")),
    ]
    answer = piece(forged, after=4)
    assert store.store_answer("a:1", answer, 200.0, 1.0), (
        "the chain does not match: the trail is read from its start"
    )
    store.store_answer("a:1", piece(forged), 200.0, 1.0)
    undecodable = wire.TrailResponse(
        name="n2",
        process="p",
        boot="b",
        trail="t2",
        life="l",
        wall_ms=1.0,
        steady_ms=1.0,
        last=1,
        frames=b"nothing at all",
    )
    store.store_answer("b:1", undecodable, 200.0, 1.0)
    kinds = {row for row in store.db.execute("SELECT kind, sender FROM finding")}
    assert {("fork", "n1"), ("answer spoilt", "n2")} <= kinds
    assert store.db.execute("SELECT count(*) FROM call WHERE doc IN ('d1', 'forged')").fetchone() == (2,)
