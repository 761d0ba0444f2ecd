"""The commands `birchstack keeper` and `birchstack fleet ...`: their options and output.

Owns the texts of these commands. Must not contain logic of its own: answers come from birchstack.keeper.
"""

from __future__ import annotations

import sys
import time
from datetime import UTC, datetime

import click

FINDINGS_STATUS = 3  # exit status when there are findings


@click.command()
@click.argument("file", type=click.Path())
def keeper(file: str) -> None:
    """Run one keeper (audit collector), configured by FILE (docs/operators/fleet.md)."""
    from birchstack.keeper.__main__ import main

    sys.exit(main(file))


@click.group()
@click.option(
    "--store",
    "paths",
    multiple=True,
    required=True,
    type=click.Path(),
    help="Path of a keeper's store; repeat the option to merge several.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the answer as JSON.")
@click.pass_context
def fleet(context: click.Context, paths: tuple[str, ...], as_json: bool) -> None:
    """Query keepers' stores for what the fleet did. Exits with status 3 if there are findings."""
    context.obj = QueryContext(paths, as_json)


class QueryContext:
    """The stores and the output format that the options of `birchstack fleet` select."""

    def __init__(self, paths: tuple[str, ...], as_json: bool) -> None:
        self._paths = paths
        self._json = as_json

    def query(self, query, **options):
        """Returns the result of query(stores); a query that cannot be answered ends the program."""
        from birchstack.keeper.questions import QueryError, Stores

        try:
            return query(Stores([*self._paths], **options))
        except QueryError as problem:
            raise click.ClickException(str(problem)) from problem

    def show(
        self, answer, tables: list[tuple[str, tuple[str, ...], list[tuple]]], has_findings: bool
    ) -> None:
        """Prints an answer as JSON or as tables, then exits with FINDINGS_STATUS if has_findings, else 0.

        tables: title, columns and rows of each.
        """
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
                    table.add_row(*(str(cell) for cell in row))
                console.print(table if rows else f"{title}: none", markup=False)
        sys.exit(FINDINGS_STATUS if has_findings else 0)


def format_time(at_ms: float) -> str:
    """Formats a time in Unix milliseconds as UTC; 0 stands for an unbounded start."""
    if not at_ms:
        return "the beginning"
    return datetime.fromtimestamp(at_ms / 1000.0, UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3]


def format_duration(ms: float) -> str:
    """Formats a duration in seconds; a negative one is unknown."""
    return "-" if ms < 0.0 else f"{ms / 1000.0:.1f} s"


def unknown_table(unknown) -> tuple[str, tuple[str, ...], list[tuple]]:
    """Returns the table of unknown periods."""
    rows = [
        (
            period.sender,
            f"unknown from {format_time(period.from_ms)} to {format_time(period.to_ms)}",
            period.why,
            "?" if period.calls < 0 else period.calls,
        )
        for period in unknown
    ]
    return "not known", ("sender", "when", "why", "calls"), rows


def calls_table(title: str, calls) -> tuple[str, tuple[str, ...], list[tuple]]:
    """Returns the table of calls."""
    rows = [
        (
            format_time(call.at_ms),
            call.sender,
            call.doc,
            call.endpoint or "(abandoned)",
            f"{call.epoch + ':' if call.epoch else ''}{call.number}@{(call.digest or '')[:8]}",
            format_duration(call.past_ms) if call.past_ms else "",
        )
        for call in calls
    ]
    return title, ("began", "sender", "document", "endpoint", "list acted on", "past"), rows


list_option = click.option("--epoch", help="Epoch of the list, where the list service has one.")


@fleet.command()
@click.pass_obj
def status(context: QueryContext) -> None:
    """Show each sender: the versions it acts on, how far it is behind, and the age of its data."""
    rows, findings = context.query(lambda stores: (stores.status(), stores.findings()))
    context.show(
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
                        sender.sender,
                        sender.at,
                        sender.list,
                        "-" if sender.behind < 0 else sender.behind,
                        format_duration(sender.behind_ms),
                        format_duration(sender.age_ms),
                        format_duration(sender.answered_ms),
                        format_duration(sender.heard_ms),
                        sender.settings,
                        sender.decisions,
                        sender.held,
                        "waiting"
                        if not sender.holds
                        else "losing trail"
                        if sender.failing
                        else "ready"
                        if sender.ready
                        else "not ready",
                    )
                    for sender in rows
                ],
            ),
            findings_table(findings),
        ],
        bool(findings),
    )


def findings_table(findings) -> tuple[str, tuple[str, ...], list[tuple]]:
    """Returns the table of findings."""
    return (
        "findings",
        ("since", "what", "sender", "detail"),
        [(format_time(finding.at_ms), finding.kind, finding.sender, finding.detail) for finding in findings],
    )


@fleet.command()
@click.option("--list", "number", type=int, required=True, help="Version of the list (rev).")
@list_option
@click.option("--late", is_flag=True, help="Show only calls that began when a later version was in force.")
@click.pass_obj
def acted(context: QueryContext, number: int, epoch: str | None, late: bool) -> None:
    """Show which senders acted on a version of the list, from when to when, and how many calls began."""
    if late:
        answer = context.query(lambda stores: stores.late_calls(number, epoch))
        context.show(
            answer,
            [
                calls_table(f"calls on list {number} when a later one was in force", answer.calls),
                unknown_table(answer.unknown),
            ],
            bool(answer.calls),
        )
    answer = context.query(lambda stores: stores.activity(number, epoch))
    rows = [
        (
            stretch.sender,
            stretch.life,
            f"{stretch.number}@{stretch.digest[:8]}",
            format_time(stretch.from_ms),
            "now" if stretch.open else format_time(stretch.to_ms),
            stretch.calls,
            stretch.rejected,
            stretch.abandoned,
        )
        for stretch in answer.stretches
    ]
    context.show(
        answer,
        [
            (
                f"acted on list {number}",
                ("sender", "life", "list", "from", "to", "calls", "rejected", "abandoned"),
                rows,
            ),
            unknown_table(answer.unknown),
        ],
        False,
    )


@fleet.command()
@click.option("--endpoint", required=True, help="UID of the endpoint in the list.")
@click.option("--out-at", type=int, required=True, help="Version of the list that removed the endpoint.")
@click.option("--grace-ms", type=float, default=0.0, show_default=True, help="Ignore calls within this time.")
@list_option
@click.pass_obj
def after(context: QueryContext, endpoint: str, out_at: int, grace_ms: float, epoch: str | None) -> None:
    """Show calls to an endpoint after its removal: sender, document, and time past the grace period."""
    answer = context.query(lambda stores: stores.calls_after_removal(endpoint, out_at, epoch, grace_ms))
    context.show(
        answer,
        [
            calls_table(f"calls to {endpoint} after {format_time(answer.out_ms)}", answer.calls),
            unknown_table(answer.unknown),
        ],
        bool(answer.calls),
    )


@fleet.command()
@click.argument("doc")
@click.pass_obj
def document(context: QueryContext, doc: str) -> None:
    """Show every sender that began a call for a document or abandoned it, and the list it acted on."""
    answer = context.query(lambda stores: stores.document_calls(doc))
    context.show(answer, [calls_table(f"document {doc}", answer.calls), unknown_table(answer.unknown)], False)


@fleet.command()
@click.option("--minutes", type=float, default=60.0, show_default=True, help="How far to look back.")
@click.pass_obj
def timeline(context: QueryContext, minutes: float) -> None:
    """Show events in order of time: versions, process starts and ends, gaps, findings."""
    since_ms = time.time() * 1000.0 - minutes * 60000.0
    answer = context.query(lambda stores: stores.timeline(since_ms))
    context.show(
        answer,
        [
            (
                "timeline",
                ("when", "who", "what", "detail"),
                [(format_time(event.at_ms), event.sender, event.what, event.detail) for event in answer],
            )
        ],
        False,
    )


@fleet.command()
@click.pass_obj
def stragglers(context: QueryContext) -> None:
    """Show senders judged to be behind, on a fork, of a foreign epoch, ahead, flapping or silent."""
    answer = context.query(lambda stores: stores.stragglers())
    rows = [
        (verdict.sender or "the fleet", verdict.what, format_time(verdict.at_ms), verdict.evidence)
        for verdict in answer
    ]
    context.show(answer, [("stragglers", ("sender", "is", "verdict of", "evidence"), rows)], bool(answer))


@fleet.command()
@click.option(
    "--grace-ms",
    type=float,
    default=2000.0,
    show_default=True,
    help="Ignore calls to a removed endpoint within this time.",
)
@click.pass_obj
def findings(context: QueryContext, grace_ms: float) -> None:
    """Show all findings: irregularities in the fleet and its audit trails."""
    answer = context.query(lambda stores: stores.findings(grace_ms))
    context.show(answer, [findings_table(answer)], bool(answer))
