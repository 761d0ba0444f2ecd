"""Short soak runs of real processes; the long one is python -m benchmarks.soak."""

import pytest

from birchstack.emulator.rig.soak import soak


@pytest.mark.parametrize("seed", [9, 22])
def test_a_soak_run_breaks_no_rule(tmp_path, seed):
    run = soak(seed, tmp_path)
    assert run.figures["calls"] > 100
    assert not run.failed, "\n".join([*run.faults, *run.problems, *map(str, run.found)])
