"""The command `birchstack`: its sub-commands, their options and the output.

Each sub-command imports what it needs when it runs. `python -m birchstack` (deploy/balancer.toml) does not
use this module.
"""

from __future__ import annotations

import sys
from pathlib import Path

import click

from birchstack.cli_fleet import fleet, keeper

VIOLATION_STATUS = 3  # exit status if a rule was violated


def _console():
    """Returns the console for tables and progress; imported only here, as it loads slowly."""
    from rich.console import Console

    return Console()


def _load_scenario(text: str):
    """Returns the scenario of a TOML file, or the one drawn for "drawn:N"."""
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
    """Run one sender, configured by BALANCER_CONFIG (the same as python -m birchstack)."""
    from birchstack.__main__ import main as run_sender

    sys.exit(run_sender())


@main.command()
@click.argument("scenario")
@click.option(
    "--virtual/--sockets",
    "virtual",
    default=True,
    show_default=True,
    help="In virtual time, or on loopback sockets with real processes started by the deploy file's `run`.",
)
@click.option("--seed", default=1, show_default=True, help="Seed of all random draws.")
@click.option("--port", default=7400, show_default=True, help="Port of every address; only with --sockets.")
@click.option(
    "--log", type=click.Path(dir_okay=False, path_type=Path), help="File for the log of all events."
)
def emulate(scenario: str, virtual: bool, seed: int, port: int, log: Path | None) -> None:
    """Run one scenario and print its results.

    SCENARIO is a TOML file, or drawn:N for faults drawn from a seed.

    The exit status is 3 if a rule was violated.
    """
    from rich.progress import Progress

    loaded = _load_scenario(scenario)
    console = _console()
    with Progress(console=console, transient=True) as bar:
        task = bar.add_task(loaded.name, total=1.0)

        def progress(part: float) -> None:
            bar.update(task, completed=part)

        if virtual:
            from birchstack.emulator.virtual import play

            result = play(loaded, seed, log is not None, progress)
        else:
            from birchstack.emulator import sockets

            try:
                result = sockets.play(loaded, seed, port, None, log is not None, progress)
            except sockets.SocketError as problem:
                raise click.ClickException(str(problem)) from problem
    result.repeat_command = f"birchstack emulate {scenario} --seed {seed}" + (
        "" if virtual else f" --sockets --port {port}"
    )
    if log is not None:
        log.write_text("".join(f"{line}\n" for line in result.log or ()))
    result.show(console)
    sys.exit(VIOLATION_STATUS if result.breaches else 0)


@main.command()
@click.option("--seeds", default=100, show_default=True, help="Maximum number of runs.")
@click.option("--first", default=0, show_default=True, help="First seed.")
@click.option("--seconds", default=300.0, show_default=True, help="Maximum real time.")
@click.option(
    "--most", default=3, show_default=True, help="Maximum number of faults in a run; they may overlap."
)
@click.option("--kind", "kinds", multiple=True, help="Only faults of this kind; may be repeated.")
@click.option(
    "--base", type=click.Path(exists=True), help="Scenario whose faults are replaced by drawn ones."
)
@click.option("--cores", type=int, help="Number of workers; all cores by default.")
@click.option(
    "--folder",
    default="found",
    show_default=True,
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for the scenarios of failing runs.",
)
@click.option("--shrink/--no-shrink", default=True, show_default=True, help="Reduce each failing scenario.")
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
    """Run many seeds with drawn faults and shrink each failing case.

    The exit status is 3 if there was one.
    """
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
            _load_scenario(base) if base else None,
            most,
            kinds or KINDS,
            cores,
            folder,
            shrink,
            progress,
        )
    _print_found(console, found)
    sys.exit(VIOLATION_STATUS if found.breaches else 0)


def _print_found(console, found) -> None:
    """Prints the totals of a search and its failing cases."""
    from rich.table import Table

    table = Table("days", "virtual time", "times life", "value, mean", "value, least", "days with a breach")
    shares = found.shares or [0.0]
    table.add_row(
        str(found.played),
        f"{found.seconds:.0f} s",
        f"{found.seconds / max(found.elapsed_s, 0.01):.0f}",
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
