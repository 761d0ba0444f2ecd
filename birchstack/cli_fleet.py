"""The commands `birchstack keeper` and `birchstack fleet ...`: their options and how answers are shown.

Owns the words of these commands. Must never hold logic of its own: answers come from birchstack.keeper.
"""

from __future__ import annotations

import sys
import time
from datetime import UTC, datetime

import click

FINDING = 3  # status: a finding stands


@click.command()
@click.argument("file", type=click.Path())
def keeper(file: str) -> None:
    """Run one keeper, as FILE tells it (docs/operators/fleet.md)."""
    from birchstack.keeper.__main__ import main

    sys.exit(main(file))


@click.group()
@click.option(
    "--store",
    "paths",
    multiple=True,
    required=True,
    type=click.Path(),
    help="A keeper's store; several are read as one.",
)
@click.option("--json", "as_json", is_flag=True, help="For programs: one JSON object.")
@click.pass_context
def fleet(context: click.Context, paths: tuple[str, ...], as_json: bool) -> None:
    """Ask keepers' stores what the fleet did. Ends with status 3 when a finding stands."""
    context.obj = Asked(paths, as_json)


class Asked:
    def __init__(self, paths: tuple[str, ...], as_json: bool) -> None:
        self._paths, self._json = paths, as_json

    def ask(self, question, **words):
        from birchstack.keeper.questions import AskError, Stores

        try:
            return question(Stores([*self._paths], **words))
        except AskError as problem:
            raise click.ClickException(str(problem)) from problem

    def show(self, answer, tables: list[tuple[str, tuple[str, ...], list[tuple]]], finding: bool) -> None:
        """tables: title, columns and rows. Ends the program."""
        if self._json:
            import msgspec

            click.echo(msgspec.json.encode(answer))
        else:
            from rich.console import Console
            from rich.table import Table

            console = Console()
            for title, columns, rows in tables:
                table = Table(*columns, title=title, title_justify="left")
                for row in rows:
                    table.add_row(*(str(each) for each in row))
                console.print(table if rows else f"{title}: none", markup=False)
        sys.exit(FINDING if finding else 0)


def moment(at_ms: float) -> str:
    if not at_ms:
        return "the beginning"
    return datetime.fromtimestamp(at_ms / 1000.0, UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def span(ms: float) -> str:
    return "-" if ms < 0.0 else f"{ms / 1000.0:.1f} s"


def unknown_rows(unknown) -> tuple[str, tuple[str, ...], list[tuple]]:
    rows = [
        (
            each.sender,
            f"unknown from {moment(each.from_ms)} to {moment(each.to_ms)}",
            each.why,
            "?" if each.calls < 0 else each.calls,
        )
        for each in unknown
    ]
    return "not known", ("sender", "when", "why", "calls"), rows


def call_rows(title: str, calls) -> tuple[str, tuple[str, ...], list[tuple]]:
    rows = [
        (
            moment(each.at_ms),
            each.sender,
            each.doc,
            each.endpoint or "(abandoned)",
            f"{each.epoch + ':' if each.epoch else ''}{each.number}@{(each.digest or '')[:8]}",
            span(each.past_ms) if each.past_ms else "",
        )
        for each in calls
    ]
    return title, ("began", "sender", "document", "endpoint", "list acted on", "past"), rows


list_option = click.option("--epoch", help="Of the list, where its service tells one.")


@fleet.command()
@click.pass_obj
def status(asked: Asked) -> None:
    """Each sender: the versions it acts on, how far it is behind, how old its picture is."""
    rows, findings = asked.ask(lambda stores: (stores.status(), stores.findings()))
    asked.show(
        {"senders": rows, "findings": findings},
        [
            (
                "senders",
                (
                    "sender",
                    "door",
                    "list",
                    "behind",
                    "for",
                    "picture",
                    "answered",
                    "heard of list",
                    "settings",
                    "decisions",
                    "held",
                    "is",
                ),
                [
                    (
                        each.sender,
                        each.at,
                        each.list,
                        "-" if each.behind < 0 else each.behind,
                        span(each.behind_ms),
                        span(each.age_ms),
                        span(each.answered_ms),
                        span(each.heard_ms),
                        each.settings,
                        each.decisions,
                        each.held,
                        "waiting"
                        if not each.holds
                        else "losing trail"
                        if each.failing
                        else "ready"
                        if each.ready
                        else "not ready",
                    )
                    for each in rows
                ],
            ),
            finding_rows(findings),
        ],
        bool(findings),
    )


def finding_rows(findings) -> tuple[str, tuple[str, ...], list[tuple]]:
    return (
        "findings",
        ("since", "what", "sender", "detail"),
        [(moment(each.at_ms), each.kind, each.sender, each.detail) for each in findings],
    )


@fleet.command()
@click.option("--list", "number", type=int, required=True, help="The list's version (rev).")
@list_option
@click.option("--late", is_flag=True, help="Only calls that began when a later version was in force.")
@click.pass_obj
def acted(asked: Asked, number: int, epoch: str | None, late: bool) -> None:
    """Who acted on a version of the list, from when to when, and how many calls began."""
    if late:
        told = asked.ask(lambda stores: stores.late(number, epoch))
        asked.show(
            told,
            [
                call_rows(f"calls on list {number} when a later one was in force", told.calls),
                unknown_rows(told.unknown),
            ],
            bool(told.calls),
        )
    told = asked.ask(lambda stores: stores.acted(number, epoch))
    rows = [
        (
            each.sender,
            each.life,
            f"{each.number}@{each.digest[:8]}",
            moment(each.from_ms),
            "now" if each.open else moment(each.to_ms),
            each.calls,
            each.rejected,
            each.abandoned,
        )
        for each in told.stretches
    ]
    asked.show(
        told,
        [
            (
                f"acted on list {number}",
                ("sender", "life", "list", "from", "to", "calls", "rejected", "abandoned"),
                rows,
            ),
            unknown_rows(told.unknown),
        ],
        False,
    )


@fleet.command()
@click.option("--endpoint", required=True, help="Its uid in the list.")
@click.option("--out-at", type=int, required=True, help="The version of the list that took it out.")
@click.option(
    "--grace-ms", type=float, default=0.0, show_default=True, help="Calls in this time do not count."
)
@list_option
@click.pass_obj
def after(asked: Asked, endpoint: str, out_at: int, grace_ms: float, epoch: str | None) -> None:
    """Who still called an endpoint after it was out, with which documents, how long past the grace."""
    told = asked.ask(lambda stores: stores.after(endpoint, out_at, epoch, grace_ms))
    asked.show(
        told,
        [
            call_rows(f"calls to {endpoint} after {moment(told.out_ms)}", told.calls),
            unknown_rows(told.unknown),
        ],
        bool(told.calls),
    )


@fleet.command()
@click.argument("doc")
@click.pass_obj
def document(asked: Asked, doc: str) -> None:
    """Every sender that called for a document or abandoned it, and the list it acted on."""
    told = asked.ask(lambda stores: stores.document(doc))
    asked.show(told, [call_rows(f"document {doc}", told.calls), unknown_rows(told.unknown)], False)


@fleet.command()
@click.option("--minutes", type=float, default=60.0, show_default=True, help="So far back.")
@click.pass_obj
def timeline(asked: Asked, minutes: float) -> None:
    """What happened, in its order: versions, lives, gaps, findings."""
    since = time.time() * 1000.0 - minutes * 60000.0
    told = asked.ask(lambda stores: stores.timeline(since))
    asked.show(
        told,
        [
            (
                "timeline",
                ("when", "who", "what", "detail"),
                [(moment(each.at_ms), each.sender, each.what, each.detail) for each in told],
            )
        ],
        False,
    )


@fleet.command()
@click.pass_obj
def stragglers(asked: Asked) -> None:
    """Who is behind, on a fork, of a foreign epoch, ahead, flapping or silent, by the keepers' verdicts."""
    told = asked.ask(lambda stores: stores.stragglers())
    rows = [(each.sender or "the fleet", each.what, moment(each.at_ms), each.evidence) for each in told]
    asked.show(told, [("stragglers", ("sender", "is", "verdict of", "evidence"), rows)], bool(told))


@fleet.command()
@click.option("--grace-ms", type=float, default=2000.0, show_default=True, help="Of an endpoint taken out.")
@click.pass_obj
def findings(asked: Asked, grace_ms: float) -> None:
    """What is not as it should be."""
    told = asked.ask(lambda stores: stores.findings(grace_ms))
    asked.show(told, [finding_rows(told)], bool(told))
