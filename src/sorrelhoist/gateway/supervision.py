"""Background tasks that start again after an unexpected exception."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any

from .peer_exchange import running

logger = logging.getLogger(__name__)

FIRST_PAUSE_S = 0.1
"""Pause before the first restart of a task; it doubles with each further one."""

MAX_PAUSE_S = 5.0
"""Longest pause before a restart."""

STEADY_S = 30.0
"""Time without a failure after which the pause is the first one again."""


async def supervise(
    name: str, run: Callable[[], Coroutine[Any, Any, None]], failures: Counter[str]
) -> None:
    """Run a task until it returns or is cancelled; restart it if it fails.

    Parameters
    ----------
    name : str
        Names the task in the log.
    run : callable
        Returns a new coroutine for each start.
    failures : Counter
        Counts failures by name.
    """
    loop = asyncio.get_running_loop()
    pause_s = FIRST_PAUSE_S
    while True:
        started_s = loop.time()
        try:
            await run()
            return
        except (Exception, asyncio.CancelledError) as error:
            if isinstance(error, asyncio.CancelledError) and _is_cancelled():
                raise
            if loop.time() - started_s > STEADY_S:
                pause_s = FIRST_PAUSE_S
            failures[name] += 1
            logger.exception(
                "background task failed; restarting it",
                extra={"event": "task_failed", "task": name, "pause_s": pause_s},
            )
        await asyncio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_PAUSE_S)


@contextmanager
def supervised(
    name: str, run: Callable[[], Coroutine[Any, Any, None]], failures: Counter[str]
) -> Iterator[asyncio.Task]:
    """Supervise a background task and cancel it when the context exits."""
    with running(supervise(name, run, failures)) as task:
        yield task


def _is_cancelled() -> bool:
    """Return whether this task is to end, not only something that it waited for."""
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0
