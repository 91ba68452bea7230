"""Retries appends of records whose call has already been answered."""

import asyncio
import random
from collections.abc import Callable

from ..decisions.claims_steps import Appended
from .claims_appender import GroupAppender

MAX_PENDING_RECORDS = 1024
MIN_RETRY_S = 0.2
MAX_RETRY_S = 5.0


class PendingRecords:
    """Retries the append of each record until the log has acknowledged it.

    Voids and outcomes are idempotent: a duplicate in the log has no effect. An append
    whose result was lost is therefore repeated.

    Parameters
    ----------
    appender : GroupAppender
        Appender of the topic.
    retry_timeout_s : float
        Time after which an unacknowledged record is dropped.
    clock : callable
        Returns monotonic seconds.
    rng : random.Random
        Source of retry jitter.
    """

    def __init__(
        self,
        appender: GroupAppender,
        retry_timeout_s: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.dropped = 0
        self._appender = appender
        self._retry_timeout_s = retry_timeout_s
        self._clock = clock
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def add(self, value: str) -> None:
        """Append a record in the background; drop it if too many are pending."""
        if len(self._tasks) >= MAX_PENDING_RECORDS:
            self.dropped += 1
            return
        task = asyncio.get_running_loop().create_task(self._append(value))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drained(self, timeout_s: float) -> bool:
        """Wait until all records are appended; False if the timeout expires first."""
        if not self._tasks:
            return True
        _, left = await asyncio.wait(set(self._tasks), timeout=timeout_s)
        return not left

    def cancel(self) -> None:
        """Stop all pending appends."""
        for task in self._tasks:
            task.cancel()

    async def _append(self, value: str) -> None:
        until_s = self._clock() + self._retry_timeout_s
        retry_s = MIN_RETRY_S
        while self._clock() < until_s:
            result = await self._appender.append(value, until_s - self._clock())
            if isinstance(result, Appended):
                return
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(2 * retry_s, MAX_RETRY_S)
        self.dropped += 1
