"""docs/CAPACITY.md: no figure stands on the page that does not follow from a run on record."""

import ast
import json
import math
import operator
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs/CAPACITY.md").read_text()
OFF = 0.006  # three figures are written of each number
UNKNOWN = "not measured"
DOES = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
    ast.Pow: operator.pow,
}


def table(*heads):
    """The rows of the one table with these heads, as cells by head."""
    rows, inside = [], False
    for line in PAGE.splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if line.startswith("|") and cells == list(heads):
            assert not rows, f"two tables with {heads}"
            inside = True
        elif inside and not line.startswith("|"):
            inside = False
        elif inside and not set(line) <= set("|- :"):
            assert len(cells) == len(heads), line
            rows.append(dict(zip(heads, cells, strict=True)))
    assert rows, f"no table with {heads}"
    return rows


def number(text):
    return float(text.replace(",", "").strip("*"))


def near(written, worked_out):
    return math.isclose(number(written), worked_out, rel_tol=OFF, abs_tol=1e-12)


def work_out(formula, words):
    """A formula of numbers, names, + - * / ** and min, max."""

    def one(node):
        if isinstance(node, ast.Constant) and isinstance(node.value, int | float):
            return node.value
        if isinstance(node, ast.Name):
            return words[node.id]
        if isinstance(node, ast.BinOp):
            return DOES[type(node.op)](one(node.left), one(node.right))
        if isinstance(node, ast.Call) and node.func.id in ("min", "max"):
            return {"min": min, "max": max}[node.func.id](*map(one, node.args))
        raise ValueError(f"{formula}: {ast.dump(node)}")

    return one(ast.parse(formula.strip("`"), mode="eval").body)


TARGETS = {row["target"].strip("`"): number(row["value"]) for row in table("target", "value", "what")}
SLOPES = table("slope", "value", "error", "unit", "record")
PRODUCTS = table("product", "what", "formula", "value", "bound", "grows with", "of the target", "carried by")
WALLS = table("wall", "of the target", "what is left")


def on_record(told):
    """`file; figure; slope` is a line's slope, `file; figure; from` where it begins, `file; figure; at N` a
    point, each followed by `; bends` where the line does. Tells the value, its error and whether it bends."""
    name, figure, how, *bends = told.split("; ")
    name, _, down = name.partition("#")  # of several records in a file, the one with so many down
    record = json.loads((ROOT / f"docs/capacity/{name}.json").read_text())
    if down:
        record = next(each for each in record if f", {down} " in each["slope"])
    if how.startswith("at "):
        there = (figures for x, figures in record["points"] if x == float(how[3:]))
        return next(figures[figure] for figures in there if figure in figures), None, bool(bends)
    line = record["lines"][figure]
    return (
        (line["slope"], line["error"], line["bend"])
        if how == "slope"
        else (line["intercept"], None, line["bend"])
    )


WORDS = TARGETS | {row["slope"].strip("`"): number(row["value"]) for row in SLOPES}


@pytest.mark.parametrize("row", SLOPES, ids=lambda row: row["slope"])
def test_each_slope_stands_on_record_with_its_error_and_its_bend(row):
    value, error, bends = on_record(row["record"])
    assert near(row["value"], value)
    assert row["error"] == "-" if error is None else near(row["error"], error)
    assert bends == row["record"].endswith("; bends")


def share(row):
    """The share of the target at which the bound is met: all that the figure grows with, scaled alike."""
    bound = work_out(row["bound"][3:], WORDS)
    names = [name.strip(" `") for name in row["grows with"].split(",")]
    assert set(names) <= set(TARGETS), row
    over = operator.gt if row["bound"].startswith("<= ") else operator.lt

    def misses(part):
        return over(work_out(row["formula"], WORDS | {name: TARGETS[name] * part for name in names}), bound)

    if not misses(1.0):
        return 1.0
    low, high = 0.0, 1.0
    for _ in range(60):
        low, high = (low, (low + high) / 2) if misses((low + high) / 2) else ((low + high) / 2, high)
    return low


@pytest.mark.parametrize("row", PRODUCTS, ids=lambda row: row["product"])
def test_each_product_follows_from_its_formula_and_each_miss_from_its_bound(row):
    if row["value"] == UNKNOWN:
        assert row["formula"] == row["of the target"] == UNKNOWN
        return
    assert near(row["value"], work_out(row["formula"], WORDS))
    if row["bound"] == "-":
        assert row["of the target"] == "-"
    elif (part := share(row)) == 1.0:
        assert row["of the target"] == "met"
    else:
        assert math.isclose(number(row["of the target"]), part, rel_tol=0.06, abs_tol=1e-12)


def test_the_walls_are_all_that_is_missed_the_smallest_first():
    missed = {
        row["product"]: number(row["of the target"])
        for row in PRODUCTS
        if row["of the target"] not in ("met", "-", UNKNOWN)
    }
    assert [row["wall"] for row in WALLS] == sorted(missed, key=missed.get)
    assert [number(row["of the target"]) for row in WALLS] == sorted(missed.values())


@pytest.mark.parametrize(
    "row", [row for row in PRODUCTS if row["carried by"] != "missing"], ids=lambda row: row["product"]
)
def test_what_is_said_to_carry_a_product_is_there(row):
    assert all((ROOT / path).exists() for path in re.findall(r"`([\w/.]+)`", row["carried by"]))
