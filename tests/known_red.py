"""KNOWN-RED.txt at the root: tests that fail for a real fault which is listed with its cause and issue.

A pytest plugin (tests/conftest.py). Each line is `test | cause | issue`, the test a pytest node id; three at
most. A listed test that fails is printed and passed over. The run fails on anything else: a line more, one
that cannot be read, a test that does not exist, one that passes again, is skipped or did not run. There is
no file while there is nothing to list.
"""

from __future__ import annotations

import pytest

FILE, MOST = "KNOWN-RED.txt", 3


def listed(text: str) -> dict[str, str]:
    """Cause and issue by node id. Raises ValueError with what is wrong."""
    found: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        words = [word.strip() for word in line.split("|")]
        if len(words) != 3 or not all(words) or "::" not in words[0]:
            raise ValueError(f"{FILE}:{number}: not `test | cause | issue`: {line!r}")
        if words[0] in found:
            raise ValueError(f"{FILE}:{number}: listed twice: {words[0]}")
        found[words[0]] = f"{words[1]} | {words[2]}"
    if not found:
        raise ValueError(f"{FILE}: lists nothing; remove it")
    if len(found) > MOST:
        raise ValueError(f"{FILE}: {len(found)} lines, {MOST} at most: mend them first")
    return found


class KnownRed:
    """Passes over the tests that are listed, and holds the list to what it may be."""

    def __init__(self, reds: dict[str, str], whole: bool) -> None:
        """whole: all tests are asked for, so every listed one has to run."""
        self._reds, self._whole, self._wrong = reds, whole, []
        self._seen: dict[str, str] = {}

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        self._found = {item.nodeid for item in items}

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(self, item: pytest.Item, call: pytest.CallInfo):
        report = yield
        if item.nodeid in self._reds and call.when == "call":
            if report.failed:
                report.outcome, report.wasxfail = "skipped", f"{FILE}: {self._reds[item.nodeid]}"
                self._seen[item.nodeid] = "red"
            elif report.passed:
                report.outcome, report.longrepr = "failed", f"{FILE}: {item.nodeid} passes again: take it out"
                self._seen[item.nodeid] = "passes again"
        return report

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        for test in self._reds:
            if test in self._seen:
                continue
            if test in self._found:
                self._wrong.append(f"{test} did not run to its end")
            elif self._whole:
                self._wrong.append(f"{test} does not exist")
        if self._wrong and session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        terminalreporter.section(FILE)
        for test, why in self._reds.items():
            terminalreporter.write_line(f"{self._seen.get(test, 'not run')}: {test} | {why}")
        for line in self._wrong:
            terminalreporter.write_line(f"wrong: {line}")


def configure(config: pytest.Config) -> None:
    """Reads the file where there is one; what is wrong in it ends the run before its first test."""
    path = config.rootpath / FILE
    if not path.exists():
        return
    try:
        reds = listed(path.read_text(encoding="utf-8"))
    except ValueError as problem:
        raise pytest.UsageError(str(problem)) from problem
    picked = (
        config.option.file_or_dir
        or config.option.keyword
        or config.option.markexpr
        or config.option.deselect
        or config.option.ignore
    )
    config.pluginmanager.register(KnownRed(reds, not picked), "known-red")
