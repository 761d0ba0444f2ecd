"""The command `birchstack`: sub-commands, their options and how results are shown.

Owns the words of the command line. Must never hold logic of its own, and imports what a command needs only
when that command runs: `python -m birchstack` (deploy/balancer.toml) does not come here at all.
"""

from __future__ import annotations

import sys
from pathlib import Path

import click

from birchstack.cli_fleet import fleet, keeper

BROKEN = 3  # status: a rule was broken


def _console():
    from rich.console import Console

    return Console()


def _scenario(text: str):
    from birchstack.emulator import scenario

    try:
        if text.startswith("drawn:"):
            return scenario.draw(int(text.removeprefix("drawn:")))
        return scenario.load(text)
    except (scenario.ScenarioError, ValueError) as problem:
        raise click.ClickException(str(problem)) from problem


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="birchstack")
def main() -> None:
    """Delivers webhooks and other calls to many outside destinations, and decides well when they fail."""


@main.command()
def run() -> None:
    """Run one sender, as BALANCER_CONFIG tells it (the same as python -m birchstack)."""
    from birchstack.__main__ import main as sender

    sys.exit(sender())


@main.command()
@click.argument("scenario")
@click.option(
    "--virtual/--sockets",
    "virtual",
    default=True,
    show_default=True,
    help="In virtual time, or on loopback against real processes by the line `run`.",
)
@click.option("--seed", default=1, show_default=True, help="Of all chance in the day.")
@click.option("--port", default=7400, show_default=True, help="On sockets: the port of every address.")
@click.option("--log", type=click.Path(dir_okay=False, path_type=Path), help="Write every event there.")
def emulate(scenario: str, virtual: bool, seed: int, port: int, log: Path | None) -> None:
    """Play one day and show its table. SCENARIO is a TOML file, or drawn:N for troubles drawn from a seed.

    Ends with status 3 if a rule was broken."""
    from rich.progress import Progress

    told, console = _scenario(scenario), _console()
    with Progress(console=console, transient=True) as bar:
        task = bar.add_task(told.name, total=1.0)

        def progress(part: float) -> None:
            bar.update(task, completed=part)

        if virtual:
            from birchstack.emulator.virtual import play

            result = play(told, seed, log is not None, progress)
        else:
            from birchstack.emulator import sockets

            try:
                result = sockets.play(told, seed, port, None, log is not None, progress)
            except sockets.SocketError as problem:
                raise click.ClickException(str(problem)) from problem
    result.repeat = f"birchstack emulate {scenario} --seed {seed}" + (
        "" if virtual else f" --sockets --port {port}"
    )
    if log is not None:
        log.write_text("".join(f"{line}\n" for line in result.log or ()))
    result.show(console)
    sys.exit(BROKEN if result.breaches else 0)


@main.command()
@click.option("--seeds", default=100, show_default=True, help="How many days at most.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--seconds", default=300.0, show_default=True, help="How long at most, in real time.")
@click.option("--most", default=3, show_default=True, help="Troubles in a day at most; they may overlap.")
@click.option("--kind", "kinds", multiple=True, help="Only troubles of this kind; may be given again.")
@click.option("--base", type=click.Path(exists=True), help="A scenario whose troubles are drawn anew.")
@click.option("--cores", type=int, help="Workers; all cores by default.")
@click.option(
    "--folder",
    default="found",
    show_default=True,
    type=click.Path(file_okay=False, path_type=Path),
    help="Where breaches are written as scenarios.",
)
@click.option(
    "--shrink/--no-shrink", default=True, show_default=True, help="Look for the least that still breaks."
)
def explore(
    seeds: int,
    first: int,
    seconds: float,
    most: int,
    kinds: tuple[str, ...],
    base: str | None,
    cores: int | None,
    folder: Path,
    shrink: bool,
) -> None:
    """Play many days with drawn troubles, and shrink each breach. Ends with status 3 if there was one."""
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

    from birchstack.emulator import explore as search
    from birchstack.emulator.scenario import KINDS

    unknown = [kind for kind in kinds if kind not in KINDS]
    if unknown:
        raise click.BadParameter(f"{unknown[0]!r} is none of {', '.join(KINDS)}", param_hint="--kind")
    console = _console()
    with Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        console=console,
        transient=True,
    ) as bar:
        task = bar.add_task("days", total=seeds)

        def progress(found: search.Found, count: int) -> None:
            bar.update(task, completed=found.played, description=f"days, {len(found.breaches)} with breaches")

        found = search.explore(
            first,
            seeds,
            seconds,
            _scenario(base) if base else None,
            most,
            kinds or KINDS,
            cores,
            folder,
            shrink,
            progress,
        )
    _show_found(console, found)
    sys.exit(BROKEN if found.breaches else 0)


def _show_found(console, found) -> None:
    from rich.table import Table

    table = Table("days", "virtual time", "times life", "value, mean", "value, least", "days with a breach")
    shares = found.shares or [0.0]
    table.add_row(
        str(found.played),
        f"{found.seconds:.0f} s",
        f"{found.seconds / max(found.spent, 0.01):.0f}",
        f"{sum(shares) / len(shares):.3f}",
        f"{min(shares):.3f}",
        str(len(found.breaches)),
    )
    console.print(table)
    if found.breaches:
        table = Table("seed", "rules broken", "troubles drawn", "again by")
        for each in found.breaches:
            table.add_row(
                str(each.seed), each.failed or ", ".join(each.rules), ", ".join(each.kinds), each.path
            )
        console.print(table)
        for each in found.breaches[:3]:
            console.print(each.text, style="red", markup=False, highlight=False, soft_wrap=True)


main.add_command(keeper)
main.add_command(fleet)

if __name__ == "__main__":
    main()
