"""The keeper's file and the commands: what they say, to people and to programs, and their status."""

import json

import pytest
from click.testing import CliRunner

from birchstack.cli import main
from birchstack.fleet import wire
from birchstack.fleet.records import INITIAL_CHAIN, ProcessStart, TurnActions, VersionAdopted, encode_frame
from birchstack.fleet.versions import LIST, Version
from birchstack.keeper.config import KeeperError, decode
from birchstack.keeper.store import Store

GOOD = 'name = "k"\nstore = "s"\n[[senders]]\nname = "n1"\nat = "127.0.0.1:1"\n'


def version(number):
    return Version(LIST, "x", "", number, f"{number:032x}")


def piece(records, name="n1", trail="t1", after=0, now=100.0, **words):
    chain, frames = INITIAL_CHAIN, []
    for number, each in enumerate(records, 1):
        data, chain = encode_frame(number, chain, each)
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
        **words,
    )


RECORDS = [
    ProcessStart("l1", "n1", "b", 1000.0, 1.0),
    VersionAdopted(version(1), "first", "x", 1001.0, 2.0),
    TurnActions(10.0, ("d1", "e1", "d2", "e2")),
    TurnActions(30.0, ("d3", "e1"), 2, ("d9",)),
]


@pytest.fixture
def store(tmp_path):
    made = Store(str(tmp_path / "s.sqlite"))
    made.publish(version(1), "first", {"e1": "active", "e2": "active"}, 0.0)
    made.publish(version(2), "newer", {"e1": "leaving"}, 20.0)
    made.take("127.0.0.1:1", piece(RECORDS), 100.0, 1.0)
    made.close()
    return str(tmp_path / "s.sqlite")


def run(store, *words):
    done = CliRunner().invoke(main, ["fleet", "--store", store, "--json", *words])
    return done.exit_code, json.loads(done.output) if done.exit_code in (0, 3) else done.output


def test_each_question_has_its_answer_for_programs_and_a_status(store):
    code, told = run(store, "acted", "--list", "1")
    assert code == 0 and [
        (each["sender"], each["calls"], each["rejected"], each["abandoned"], each["open"])
        for each in told["stretches"]
    ] == [("n1", 3, 2, 1, True)]
    code, told = run(store, "acted", "--list", "1", "--late")
    assert code == 0 and not told["calls"], "within the time that news may take"
    code, told = run(store, "after", "--endpoint", "e1", "--out-at", "2")
    assert code == 3 and [(each["doc"], each["past_ms"]) for each in told["calls"]] == [("d3", 10.0)]
    assert [each["why"] for each in told["unknown"]] == ["not heard of since"]
    code, told = run(store, "after", "--endpoint", "e1", "--out-at", "2", "--grace-ms", "15")
    assert code == 0 and not told["calls"]
    code, told = run(store, "document", "d9")
    assert code == 0 and [(each["sender"], each["endpoint"], each["number"]) for each in told["calls"]] == [
        ("n1", None, 1)
    ]
    code, told = run(store, "findings")
    assert code == 3 and ("silent", "n1") in {(each["kind"], each["sender"]) for each in told}
    code, told = run(store, "status")
    assert code == 3 and told["senders"][0]["list"] == "2@00000000"
    code, told = run(store, "timeline", "--minutes", "1e9")
    assert code == 0 and {"published", "began", "adopted", "unknown"} <= {each["what"] for each in told}


@pytest.mark.parametrize(
    "words",
    [
        ["status"],
        ["acted", "--list", "1"],
        ["document", "d1"],
        ["findings"],
        ["after", "--endpoint", "e1", "--out-at", "2"],
        ["timeline"],
    ],
)
def test_each_question_has_a_table_for_people(store, words):
    done = CliRunner().invoke(main, ["fleet", "--store", store, *words])
    assert done.exit_code in (0, 3) and ("n1" in done.output or words == ["timeline"])
    if words[0] in ("acted", "document", "after"):
        assert "unknown from" in done.output.replace("\n", " ")


def test_what_cannot_be_answered_is_one_line(store, tmp_path):
    for words, named in [
        (["after", "--endpoint", "e2", "--out-at", "2"], "e2 was not taken out by list 2"),
        (["acted", "--list", "7", "--late"], "list 7 was never given out"),
    ]:
        code, told = run(store, *words)
        assert code == 1 and named in told
    done = CliRunner().invoke(main, ["fleet", "--store", str(tmp_path / "none"), "status"])
    assert done.exit_code == 1 and "none" in done.output


@pytest.mark.parametrize(
    "text, named",
    [
        ("name = 3\n", "$.name"),
        (GOOD + "at2 = 1\n", "at2"),
        (GOOD.replace("127.0.0.1:1", "nowhere"), "senders[0].at"),
        (GOOD + '[[senders]]\nname = "n2"\nat = "127.0.0.1:1"\n', "door of n1 already"),
        (GOOD + "[asks]\nevery_s = 0\n", "$.asks.every_s"),
        (GOOD + '[lists]\nat = "x"\n', "$.lists.at"),
        ("name = [", "f.toml"),
    ],
)
def test_a_wrong_file_of_the_keeper_is_named_by_its_key(text, named, tmp_path):
    with pytest.raises(KeeperError, match="f.toml") as caught:
        decode(text.encode(), "f.toml")
    assert named in str(caught.value)
    (tmp_path / "f.toml").write_text(text)
    done = CliRunner().invoke(main, ["keeper", str(tmp_path / "f.toml")])
    assert done.exit_code == 2


def test_a_record_that_comes_often_is_taken_once_and_a_commit_that_fails_takes_nothing(tmp_path):
    made = Store(str(tmp_path / "s.sqlite"), most_mb=1)
    for _ in range(3):
        made.take("a:1", piece(RECORDS), 100.0, 1.0)
        made.places["a:1"].next = 1  # as if it had forgotten
        made.places["a:1"].begin(looking=False)
    assert made.commit() and made.db.execute("SELECT count(*) FROM call").fetchone() == (4,)
    many = [*RECORDS, *(TurnActions(100.0 + at, (f"document-{at}", "e1")) for at in range(20000))]
    full = False
    try:
        made.take("a:1", piece(many, now=1e6), 1e6, 1.0)
        full = not made.commit()
    except Exception:
        made.rollback()
        full = True
    assert full, "a store of one megabyte does not hold this"
    assert made.db.execute("SELECT count(*) FROM call").fetchone() == (4,), "all of it or nothing"
    assert made.wanted("a:1") <= 4, "what was not kept is asked for again"
    made.take("a:1", piece([*RECORDS, TurnActions(50.0, ("d5", "e2"))]), 200.0, 1.0)
    assert made.commit() and made.db.execute("SELECT count(*) FROM call").fetchone() == (5,)


def test_a_record_altered_after_it_was_taken_and_bytes_that_are_none_are_findings(tmp_path):
    made = Store(str(tmp_path / "s.sqlite"))
    made.take("a:1", piece(RECORDS), 100.0, 1.0)
    forged = [
        *RECORDS[:2],
        TurnActions(10.0, ("forged", "e1")),
        *RECORDS[3:],
        TurnActions(40.0, ("d4", "e1")),
    ]
    told = piece(forged, after=4)
    assert made.take("a:1", told, 200.0, 1.0), "it does not follow: read from the start"
    made.take("a:1", piece(forged), 200.0, 1.0)
    spoilt = wire.TrailResponse(
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
    made.take("b:1", spoilt, 200.0, 1.0)
    kinds = {row for row in made.db.execute("SELECT kind, sender FROM finding")}
    assert {("fork", "n1"), ("answer spoilt", "n2")} <= kinds
    assert made.db.execute("SELECT count(*) FROM call WHERE doc IN ('d1', 'forged')").fetchone() == (2,)
