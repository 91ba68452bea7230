"""Follow the topic of a service's claims and fold it."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Protocol

from ..clients.exceptions import OffsetExpiredError
from ..clients.log import LogPage
from ..decisions.claims_fold import ClaimFold
from ..decisions.claims_records import Outcome, decode_record
from ..exceptions import SorrelhoistError

logger = logging.getLogger(__name__)

PAGE_RECORDS = 100
POLL_WAIT_S = 20.0
MIN_RETRY_S = 0.2
MAX_RETRY_S = 2.0


class ReadLog(Protocol):
    """What the follower needs of the log's client."""

    async def read(
        self, from_offset: int, limit: int = ..., wait_s: float = ...
    ) -> LogPage:
        """Read records from an offset on."""
        ...


class ClaimFollower:
    """Keep a fold up to date.

    Parameters
    ----------
    log : ReadLog
        The topic.
    fold : ClaimFold
        Is changed by this follower alone.
    clock : callable
        Monotonic seconds.
    rng : random.Random
        For the jitter of retries.
    """

    def __init__(
        self,
        log: ReadLog,
        fold: ClaimFold,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.fold = fold
        self.ready = False
        self.fault = "the claims are still being read"
        self._log = log
        self._clock = clock
        self._rng = rng
        self._retry_s = MIN_RETRY_S
        self._moved = asyncio.Event()

    async def run(self) -> None:
        """Read on until cancelled."""
        while True:
            try:
                page = await self._next_page()
            except OffsetExpiredError as error:
                self._restart(error.first_offset)
            except SorrelhoistError as error:
                await self._back_off(error.message)
            except Exception:
                logger.exception("The claims can't be read.")
                await self._back_off("the log's answer can't be read")
            else:
                self._take(page)

    async def progress(self, offset: int | None, until_s: float) -> None:
        """Wait until a record is folded, or until a time.

        Parameters
        ----------
        offset : int or None
            The record; any further one if None.
        until_s : float
            Monotonic seconds.
        """
        target = self.fold.next_offset if offset is None else offset
        while self.fold.next_offset <= target:
            left_s = until_s - self._clock()
            if left_s <= 0 or not await self._wait_for_move(left_s):
                return

    async def wait_ready(self) -> None:
        """Wait until the fold is at the end of the log."""
        while not self.ready:
            await self._moved.wait()

    async def read_outcome(self, offset: int) -> Outcome | None:
        """Read the outcome at an offset; None if the log no longer keeps it.

        Raises
        ------
        SorrelhoistError
            If the log can't be read now.
        """
        try:
            page = await self._log.read(offset, 1, 0.0)
        except OffsetExpiredError:
            return None
        for record in page.records:
            outcome = decode_record(record.value)
            if record.offset == offset and isinstance(outcome, Outcome):
                return outcome
        return None

    async def _next_page(self) -> LogPage:
        wait_s = POLL_WAIT_S if self.ready else 0.0
        return await self._log.read(self.fold.next_offset, PAGE_RECORDS, wait_s)

    def _take(self, page: LogPage) -> None:
        now_s = self._clock()
        self._retry_s = MIN_RETRY_S
        if page.next_offset < self.fold.next_offset:
            logger.error(
                "The log of claims has gone back.",
                extra={"next_offset": page.next_offset},
            )
            self._restart(page.first_offset)
            return
        for record in page.records:
            self.fold.add(record.offset, now_s - record.age_s, record.value)
        self.fold.expire(now_s)
        if self.fold.next_offset >= page.next_offset:
            self.ready = True
            self.fault = ""
        self._moved.set()
        self._moved = asyncio.Event()

    def _restart(self, first_offset: int) -> None:
        logger.warning(
            "Claims are read again from the oldest that the log keeps.",
            extra={"first_offset": first_offset},
        )
        self.ready = False
        self.fault = "the claims are being read again"
        self.fold.restart(first_offset, self._clock())

    async def _back_off(self, fault: str) -> None:
        self.fault = fault
        await asyncio.sleep(self._retry_s * self._rng.uniform(0.5, 1.0))
        self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)

    async def _wait_for_move(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                await self._moved.wait()
        except TimeoutError:
            return False
        return True
