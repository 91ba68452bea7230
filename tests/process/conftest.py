"""Fixtures: one fleet of real processes per session, restored before each test."""

import asyncio
import fcntl
import os
import re
import shutil
import tempfile
from contextlib import contextmanager
from pathlib import Path

import pytest

from sorrelhoist.bench.fleet import load_documents, running_fleet
from tests.process.support import restore_fleet

KEPT_LOGS = Path(__file__).parents[2] / "build" / "process-logs"
FIRST_FAILED = pytest.StashKey[str]()
CONFIGURATION = Path(__file__).parent / "configuration"
ENGINE_OPTIONS = (
    *("--warm-work", "1", "--cold-slow-factor", "1.0"),
    *("--restart-s", "0.5", "--report-lag-s", "0.1", "--decode-step-s", "0.02"),
)


@contextmanager
def fleet_start_lock():
    """Serialise fleet starts, as concurrent ones could pick the same free ports."""
    path = Path(tempfile.gettempdir()) / "sorrelhoist-fleet.lock"
    with path.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@pytest.fixture(scope="session")
def runner():
    with asyncio.Runner() as runner:
        yield runner


@pytest.fixture(scope="session")
def shared_fleet(runner):
    documents = load_documents(CONFIGURATION)
    context = running_fleet(documents, engine_options=ENGINE_OPTIONS)
    with fleet_start_lock():
        fleet = runner.run(context.__aenter__())
    yield fleet
    runner.run(context.__aexit__(None, None, None))


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Add the id of the first test that failed on this fleet to failure reports."""
    report = yield
    if report.failed and "run" in getattr(item, "fixturenames", ()):
        first = item.session.stash.setdefault(FIRST_FAILED, item.nodeid)
        report.sections.append(("first failure on this fleet", first))
    return report


@pytest.fixture
def run(runner, shared_fleet, request):
    """Run a test's coroutine function on the restored fleet; keep logs on failure."""

    def run(main):
        try:
            runner.run(restore_fleet(shared_fleet))
            runner.run(main(shared_fleet))
        except BaseException:
            keep_logs(shared_fleet, request.node.name)
            raise

    return run


def keep_logs(fleet, test_name):
    """Copy the settings and logs of all processes out of the temporary folder."""
    name = re.sub(r"\W+", "-", test_name)
    shutil.copytree(fleet.folder, KEPT_LOGS / f"{name}-{os.getpid()}")
