"""Records that must reach the log although their call was answered already."""

import asyncio
import random
from collections.abc import Callable

from ..decisions.claims_steps import Appended
from .claims_appender import GroupAppender

MAX_PENDING_RECORDS = 1024
MIN_RETRY_S = 0.2
MAX_RETRY_S = 5.0


class PendingRecords:
    """Append records until the log has taken them.

    Voids and outcomes count once however often they are in the log, so that an
    append whose answer was lost is made again.

    Parameters
    ----------
    appender : GroupAppender
        Of the topic.
    keep_s : float
        A record is dropped after this time.
    clock : callable
        Monotonic seconds.
    rng : random.Random
        For the jitter of retries.
    """

    def __init__(
        self,
        appender: GroupAppender,
        keep_s: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.dropped = 0
        self._appender = appender
        self._keep_s = keep_s
        self._clock = clock
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def add(self, value: str) -> None:
        """Keep appending a record; drop it if there are too many."""
        if len(self._tasks) >= MAX_PENDING_RECORDS:
            self.dropped += 1
            return
        task = asyncio.get_running_loop().create_task(self._append(value))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drained(self, timeout_s: float) -> bool:
        """Wait until the log has taken all; False if time runs out first."""
        if not self._tasks:
            return True
        _, left = await asyncio.wait(set(self._tasks), timeout=timeout_s)
        return not left

    def cancel(self) -> None:
        """Give up on all records."""
        for task in self._tasks:
            task.cancel()

    async def _append(self, value: str) -> None:
        until_s = self._clock() + self._keep_s
        retry_s = MIN_RETRY_S
        while self._clock() < until_s:
            answer = await self._appender.append(value, until_s - self._clock())
            if isinstance(answer, Appended):
                return
            await asyncio.sleep(retry_s * self._rng.uniform(0.5, 1.0))
            retry_s = min(2 * retry_s, MAX_RETRY_S)
        self.dropped += 1
