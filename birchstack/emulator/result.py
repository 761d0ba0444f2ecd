"""What a day brought: figures, breaches and stories, as values, text and a table.

Owns the wording of results. Must never judge: the judge did.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from birchstack.emulator.judge import Breach, Judge

if TYPE_CHECKING:
    from birchstack.emulator.scenario import Scenario

MOST_SHOWN = 5  # breaches told with their whole story


def percentile(values: list[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))] if ordered else 0.0


@dataclass(slots=True)
class Result:
    name: str
    seed: int
    stage: str
    share: float  # value delivered over value asked for
    breaches: list[Breach]
    figures: dict[str, int]
    seconds: float  # played
    spent: float  # seconds of CPU that it took
    memory_mb: float
    median_ms: float
    p99_ms: float
    stories: dict[str, list[str]] = field(default_factory=dict)
    log: list[str] | None = None
    repeat: str = ""  # the command that plays it again

    @classmethod
    def of(
        cls,
        scenario: Scenario,
        seed: int,
        stage: str,
        judge: Judge,
        figures: Counter,
        seconds: float,
        spent: float,
        memory_mb: float,
    ) -> Result:
        times = judge.ms_to_deliver
        stories = {breach.doc: judge.docs[breach.doc].lines for breach in judge.breaches[:50] if breach.doc}
        return cls(
            scenario.name,
            seed,
            stage,
            judge.share,
            judge.breaches,
            dict(sorted(figures.items())),
            seconds,
            spent,
            memory_mb,
            percentile(times, 0.5),
            percentile(times, 0.99),
            stories,
            judge.log,
        )

    @property
    def wasted(self) -> float:
        """Of the calls that reached an endpoint, the part that delivered nothing."""
        calls = self.figures.get("calls", 0)
        return 1.0 - self.figures.get("delivered", 0) / calls if calls else 0.0

    def rows(self) -> list[tuple[str, str]]:
        told = [
            ("scenario", f"{self.name}, seed {self.seed}, {self.stage}"),
            ("value delivered over asked for", f"{self.share:.4f}"),
            ("breaches", str(len(self.breaches))),
            ("time to delivery, median and 99th of 100", f"{self.median_ms:.0f} ms, {self.p99_ms:.0f} ms"),
            ("calls that delivered nothing", f"{100.0 * self.wasted:.1f} %"),
            (
                "played",
                f"{self.seconds:.1f} s in {self.spent:.2f} s of CPU"
                + (f", {self.seconds / self.spent:.0f} times life" if self.spent else ""),
            ),
            ("memory of this process", f"{self.memory_mb:.0f} MB"),
        ]
        return told + [(name, str(count)) for name, count in self.figures.items()]

    def text_of_breaches(self) -> str:
        """Each breach, and for the first ones the document's whole story and the command that repeats it."""
        parts = []
        for at, breach in enumerate(self.breaches):
            parts.append(
                f"rule {breach.rule} at {breach.at:.1f} ms, document {breach.doc or '-'}: {breach.text}"
            )
            if at < MOST_SHOWN and breach.doc:
                parts += [f"    {line}" for line in self.stories.get(breach.doc, [])]
        if parts:
            parts += [f"scenario {self.name}, seed {self.seed}; again by: {self.repeat}"]
        return "\n".join(parts)

    def show(self, console) -> None:
        from rich.table import Table

        table = Table(title=f"{self.name}, seed {self.seed}", show_header=False)
        for name, value in self.rows():
            table.add_row(name, value)
        console.print(table)
        if self.breaches:
            console.print(self.text_of_breaches(), style="red", markup=False, highlight=False, soft_wrap=True)
        else:
            console.print("no rule was broken", style="green")
