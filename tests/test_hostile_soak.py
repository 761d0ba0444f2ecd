"""Two short drawn runs beside hostile clients; the long ones are started by hand (tests/hostile_soak.py)."""

import hostile_soak
import pytest


@pytest.mark.parametrize("seed", [3, 12])
def test_a_drawn_run_beside_hostile_clients_breaks_no_rule(seed):
    _, text, problems = hostile_soak.play(seed)
    print(text)
    assert not problems
