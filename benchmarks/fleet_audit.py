"""Drawn days of a fleet in virtual time: the audit against what the endpoints saw (all simulated).

    python -m benchmarks.fleet_audit [--first N] [--seeds N] [--most SENDERS]

Ends with status 1 if there was a breach. 1,000 days take some two minutes on eight cores.
"""

import argparse
import logging
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from birchstack.emulator.rig.drawn import play


def day(most, seed):
    logging.disable(logging.CRITICAL)
    try:
        return play(seed, most)
    except Exception as problem:  # a day that cannot be played is a breach too
        problem.add_note(f"seed {seed}")
        raise


def main():
    told = argparse.ArgumentParser(description=__doc__)
    told.add_argument("--first", type=int, default=0)
    told.add_argument("--seeds", type=int, default=1000)
    told.add_argument("--most", type=int, default=60)
    told = told.parse_args()
    began, figures, kinds, senders, bad = time.monotonic(), Counter(), Counter(), [], 0
    with ProcessPoolExecutor() as pool:
        seeds = range(told.first, told.first + told.seeds)
        for each in pool.map(partial(day, told.most), seeds, chunksize=4):
            figures += each.figures
            kinds += Counter(each.kinds)
            senders.append(each.senders)
            if each.breaches:
                bad += 1
                print(f"seed {each.seed}: {each.senders} senders, {each.kinds}: {each.breaches[0]}")
    print(
        f"{told.seeds} days, {min(senders)} to {max(senders)} senders, {bad} with a breach, "
        f"{time.monotonic() - began:.0f} s"
    )
    print(", ".join(f"{what}: {many:,}" for what, many in sorted(figures.items())))
    print("troubles: " + ", ".join(f"{what} {many}" for what, many in kinds.most_common()))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
