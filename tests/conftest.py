"""What a failed test shows beside its output, and the profiles of Hypothesis.

The `ci` profile repeats the same examples, `fuzz` runs more on request.
"""

import gc
import os
import time
from pathlib import Path

import attrs
import pytest
from hypothesis import HealthCheck, settings
from pythonjsonlogger.json import JsonFormatter

from sorrelhoist.bench import fleet

_SLOW = [HealthCheck.too_slow, HealthCheck.data_too_large]
settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=60, suppress_health_check=_SLOW
)
settings.register_profile(
    "fuzz", deadline=None, max_examples=3000, suppress_health_check=_SLOW
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def pytest_configure(config):
    """Draw ports from a range of its own in each process of pytest-xdist.

    A port that is free when one process draws it is bound later, perhaps by another.
    """
    number = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    count = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
    share = (fleet.MAX_PORT - fleet.MIN_PORT) // count
    fleet.MIN_PORT += number * share
    fleet.MAX_PORT = fleet.MIN_PORT + share


def pytest_sessionstart(session):
    """Show the fields of log records, not only their messages."""
    plugin = session.config.pluginmanager.get_plugin("logging-plugin")
    if plugin is not None:
        plugin.report_handler.setFormatter(
            JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s")
        )


def pytest_collection_finish(session):
    """Leave what was imported out of the garbage collector's passes.

    A pass over it stops the event loop of a test for some tenths of a second.
    """
    gc.collect()
    gc.freeze()


@attrs.define
class Pauses:
    """What stopped the process, and with it all event loops, during a test."""

    collection_s: float = 0.0
    """Longest run of the garbage collector."""
    _began_s: float = 0.0
    _waited_s: float = attrs.field(factory=lambda: processor_wait_s())

    def collector_called(self, phase, info):
        now_s = time.perf_counter()
        if phase == "start":
            self._began_s = now_s
        else:
            self.collection_s = max(self.collection_s, now_s - self._began_s)

    def __str__(self):
        waited_s = processor_wait_s() - self._waited_s
        return (
            f"longest run of the garbage collector {self.collection_s:.3f} s, "
            f"waited {waited_s:.3f} s for a processor"
        )


def processor_wait_s():
    """Return how long the main thread has been ready to run without a processor."""
    try:
        return int(Path("/proc/self/schedstat").read_text().split()[1]) / 1e9
    except OSError:  # Linux only
        return float("nan")


MAX_LEFT_OBJECTS = 50_000
"""Objects that a test may leave to the collector, which takes tenths of a second."""


@pytest.hookimpl(wrapper=True)
def pytest_runtest_call(item):
    """Add the pauses to the report, which shows them if the test fails.

    What a large virtual fleet leaves is collected here. In a later test, which may run
    in real time, its collection would stop the event loop for seconds.
    """
    pauses = Pauses()
    objects_before = len(gc.get_objects())
    gc.callbacks.append(pauses.collector_called)
    try:
        return (yield)
    finally:
        gc.callbacks.remove(pauses.collector_called)
        item.add_report_section("call", "pauses", str(pauses))
        if len(gc.get_objects()) - objects_before > MAX_LEFT_OBJECTS:
            gc.collect()
