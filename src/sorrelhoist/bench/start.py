"""Processor time that a gateway needs from its start until it can listen."""

import os
import statistics
import subprocess
import sys

import attrs

LIBRARIES = "asyncio, tornado.httpserver, attrs, click"
"""What each process of this kind needs to import, whatever it decides."""

MEASURE = f"""
import time
begin = time.process_time()
import {LIBRARIES}
libraries = time.process_time()
import sorrelhoist.platform.start, sorrelhoist.platform.process
print(libraries - begin, time.process_time() - begin)
"""


@attrs.frozen
class StartCost:
    """Processor time of the imports of a gateway.

    Parameters
    ----------
    libraries_s : float
        Time for the libraries alone.
    total_s : float
        Time for everything that is imported before a gateway listens.
    """

    libraries_s: float
    total_s: float

    @property
    def ratio(self) -> float:
        """Total time as a multiple of the time for the libraries."""
        return self.total_s / self.libraries_s


def measure_start(runs: int) -> StartCost:
    """Return the medians over new interpreters, after one that writes the bytecode.

    Parameters
    ----------
    runs : int
    """
    costs = [_measure_once() for _ in range(runs + 1)][1:]
    return StartCost(
        libraries_s=statistics.median(cost.libraries_s for cost in costs),
        total_s=statistics.median(cost.total_s for cost in costs),
    )


def _measure_once() -> StartCost:
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, sys.path))}
    result = subprocess.run(
        [sys.executable, "-S", "-c", MEASURE],
        env=environment,
        capture_output=True,
        text=True,
        check=True,
    )
    libraries_s, total_s = map(float, result.stdout.split())
    return StartCost(libraries_s, total_s)
