"""The result of an emulator run: figures, rule violations and document events, as values, text and a table.

It only formats them; the rules are checked in judge.py.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from birchstack.emulator.judge import Breach, Judge

if TYPE_CHECKING:
    from birchstack.emulator.scenario import Scenario

MAX_EVENT_LISTS = 5  # breaches that are printed with all events of their document


def percentile(values: list[float], fraction: float) -> float:
    """Returns the value at a fraction of the sorted values, or 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] if ordered else 0.0


@dataclass(slots=True)
class Result:
    """Figures, rule violations and document events of one run.

    stage is the environment that it ran in: "virtual" or "sockets".
    """

    name: str
    seed: int
    stage: str
    share: float  # value delivered over value submitted
    breaches: list[Breach]
    figures: dict[str, int]
    seconds: float  # simulated
    cpu_s: float  # CPU time of the run
    memory_mb: float
    median_ms: float
    p99_ms: float
    document_events: dict[str, list[str]] = field(default_factory=dict)
    log: list[str] | None = None
    repeat_command: str = ""  # the command that reproduces the run

    @classmethod
    def of(
        cls,
        scenario: Scenario,
        seed: int,
        stage: str,
        judge: Judge,
        figures: Counter,
        seconds: float,
        cpu_s: float,
        memory_mb: float,
    ) -> Result:
        """Returns the result of a finished run."""
        delivery_ms = judge.delivery_ms
        document_events = {
            breach.doc: judge.docs[breach.doc].lines for breach in judge.breaches[:50] if breach.doc
        }
        return cls(
            scenario.name,
            seed,
            stage,
            judge.share,
            judge.breaches,
            dict(sorted(figures.items())),
            seconds,
            cpu_s,
            memory_mb,
            percentile(delivery_ms, 0.5),
            percentile(delivery_ms, 0.99),
            document_events,
            judge.log,
        )

    @property
    def wasted(self) -> float:
        """Share of the calls that reached an endpoint but delivered nothing."""
        calls = self.figures.get("calls", 0)
        return 1.0 - self.figures.get("delivered", 0) / calls if calls else 0.0

    def rows(self) -> list[tuple[str, str]]:
        """Returns the rows of the table, as name and value."""
        rows = [
            ("scenario", f"{self.name}, seed {self.seed}, {self.stage}"),
            ("value delivered over asked for", f"{self.share:.4f}"),
            ("breaches", str(len(self.breaches))),
            ("time to delivery, median and 99th of 100", f"{self.median_ms:.0f} ms, {self.p99_ms:.0f} ms"),
            ("calls that delivered nothing", f"{100.0 * self.wasted:.1f} %"),
            (
                "played",
                f"{self.seconds:.1f} s in {self.cpu_s:.2f} s of CPU"
                + (f", {self.seconds / self.cpu_s:.0f} times life" if self.cpu_s else ""),
            ),
            ("memory of this process", f"{self.memory_mb:.0f} MB"),
        ]
        return rows + [(name, str(count)) for name, count in self.figures.items()]

    def text_of_breaches(self) -> str:
        """Returns the violations as text, with the command that repeats the run.

        The first ones have all events of their document.
        """
        lines = []
        for index, breach in enumerate(self.breaches):
            lines.append(
                f"rule {breach.rule} at {breach.at:.1f} ms, document {breach.doc or '-'}: {breach.text}"
            )
            if index < MAX_EVENT_LISTS and breach.doc:
                lines += [f"    {line}" for line in self.document_events.get(breach.doc, [])]
        if lines:
            lines += [f"scenario {self.name}, seed {self.seed}; again by: {self.repeat_command}"]
        return "\n".join(lines)

    def show(self, console) -> None:
        """Prints the table and the violations."""
        from rich.table import Table

        table = Table(title=f"{self.name}, seed {self.seed}", show_header=False)
        for name, value in self.rows():
            table.add_row(name, value)
        console.print(table)
        if self.breaches:
            console.print(self.text_of_breaches(), style="red", markup=False, highlight=False, soft_wrap=True)
        else:
            console.print("no rule was broken", style="green")
