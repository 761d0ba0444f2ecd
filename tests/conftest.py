import gc

import known_red
import pytest


def pytest_configure(config):
    known_red.configure(config)


# CPython 3.11 fails in compile(), which reports and summaries use, if a finalizer raises an exception there:
# streams that a test left open are finalized here instead
@pytest.hookimpl(tryfirst=True)
def pytest_runtest_makereport(item, call):
    if call.excinfo:
        gc.collect()


@pytest.hookimpl(tryfirst=True)
def pytest_sessionfinish(session):
    gc.collect()
