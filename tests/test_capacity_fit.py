"""The line through what was measured: exact where it is one, and said to bend where it isn't."""

import json

import pytest

from benchmarks.capacity import __main__ as command
from benchmarks.capacity import fit, record

POINTS = (1000.0, 4000.0, 12000.0, 36000.0)


def test_a_line_is_found_with_no_error_and_reaches_its_bound():
    line = fit.line(POINTS, [20.0 + 3.0 * x for x in POINTS])
    assert (line.slope, line.intercept) == pytest.approx((3.0, 20.0))
    assert line.error == pytest.approx(0.0, abs=1e-9) and not line.bend and line.to == 36000.0
    assert line.at(line.reaches(128e6)) == pytest.approx(128e6)


def test_the_error_is_the_standard_error_of_the_slope():
    line = fit.line([1.0, 2.0, 3.0, 4.0], [1.0, 3.0, 2.0, 4.0])
    assert line.slope == pytest.approx(0.8)
    assert line.error == pytest.approx((1.8 / 2 / 5) ** 0.5)


@pytest.mark.parametrize("power", [0.1, 0.4, 1.6, 2.0])
def test_what_is_no_line_is_said_to_bend_and_with_what_exponent(power):
    line = fit.line(POINTS, [x**power for x in POINTS])
    assert line.bend and line.growth == pytest.approx(power)


@pytest.mark.parametrize("ys", [[5.0, 5.1, 4.9, 5.05], [4.6, 4.7, 3.3, 3.7], [10.0, 40.3, 119.0, 361.0]])
def test_a_flat_figure_and_a_line_with_little_noise_do_not_bend(ys):
    assert not fit.line(POINTS, ys).bend


def test_a_falling_line_never_reaches_a_bound_above_it_and_zeros_have_no_exponent():
    line = fit.line(POINTS, [0.0, 0.0, 0.0, 0.0])
    assert line.reaches(1.0) == float("inf") and line.growth is None and not line.bend


def test_no_line_through_two_points():
    with pytest.raises(ValueError):
        fit.line([1.0, 2.0], [1.0, 2.0])


def test_a_record_says_machine_command_unit_and_the_line_of_each_figure():
    rows = [(x, {"memory": 2.0 * x, **({"files": x} if x < 3 else {})}) for x in (1.0, 2.0, 3.0, 4.0)]
    told = json.loads(json.dumps(record.record("toy", {"memory": "bytes", "files": "files"}, rows, "cmd")))
    assert told["slope"] == "toy" and told["command"] == "cmd" and told["points"][0] == [1.0, rows[0][1]]
    assert told["lines"]["memory"]["slope"] == 2.0 and told["lines"]["memory"]["unit"] == "bytes"
    assert "files" not in told["lines"] and told["units"]["files"] == "files"  # two points are no line
    assert {"cpu", "cores", "memory_bytes", "python"} <= set(told["machine"])
    with pytest.raises(KeyError):
        record.record("toy", {"memory": "bytes"}, rows, "cmd")  # a figure without its unit


def test_a_name_that_is_in_no_table_is_refused_before_anything_is_measured(capsys):
    with pytest.raises(SystemExit):
        command.main(["nothing"])
    assert "listed" in capsys.readouterr().err
