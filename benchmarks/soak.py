"""The long soak by hand: python -m benchmarks.soak --seeds 1-50 --jobs 5. Status 1 if a run failed."""

from __future__ import annotations

import argparse
import sys
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from birchstack.emulator.rig.soak import SoakRun, soak

SHOWN = 5  # violations of a run that are printed


def _play(seed: int) -> SoakRun:
    return soak(seed, Path(tempfile.mkdtemp(prefix=f"soak-{seed}-")))


def _report(run: SoakRun) -> None:
    print(f"seed {run.seed}: {'FAILED' if run.failed else 'passed'}; {'; '.join(run.faults)}", flush=True)
    for line in [*run.problems, *map(str, run.found[:SHOWN])]:
        print(f"    {line}", flush=True)


def main() -> int:
    """Plays the seeds and prints a line for each and the sums."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-50", help="first and last seed, as in 1-50")
    parser.add_argument("--jobs", type=int, default=5, help="runs at once")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    figures: Counter = Counter()
    failed = []
    with ProcessPoolExecutor(options.jobs) as pool:
        for run in pool.map(_play, range(int(first), int(last or first) + 1)):
            _report(run)
            figures.update(run.figures)
            failed += [run.seed] * run.failed
    print(
        f"{', '.join(f'{count} {name}' for name, count in figures.items())}; failed seeds: {failed or 'none'}"
    )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
