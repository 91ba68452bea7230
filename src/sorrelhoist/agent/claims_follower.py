"""Follows the log topic of a service's claims and folds its records into state."""

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
    """Interface of the log client that the follower uses."""

    async def read(
        self, from_offset: int, limit: int = ..., wait_s: float = ...
    ) -> LogPage:
        """Read records starting at an offset."""
        ...


class ClaimFollower:
    """Reads the log and keeps the folded claim state up to date.

    Parameters
    ----------
    log : ReadLog
        Client of the topic.
    fold : ClaimFold
        The claim state; only this follower modifies it.
    clock : callable
        Returns monotonic seconds.
    rng : random.Random
        Source of retry jitter.
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
        self._folded = asyncio.Event()

    async def run(self) -> None:
        """Read and fold records until cancelled."""
        while True:
            try:
                page = await self._next_page()
            except OffsetExpiredError as error:
                self._restart(error.first_offset)
            except SorrelhoistError as error:
                await self._back_off(error.message)
            except Exception:
                logger.exception("Read of the claims log failed; it is retried.")
                await self._back_off("the log's answer can't be read")
            else:
                self._apply_page(page)

    async def wait_until_folded(self, offset: int | None, until_s: float) -> None:
        """Wait until a record is folded, at most until a given time.

        Parameters
        ----------
        offset : int or None
            Offset of the record; if None, wait for any new record.
        until_s : float
            Time at which to stop waiting, in monotonic seconds.
        """
        target = self.fold.next_offset if offset is None else offset
        while self.fold.next_offset <= target:
            left_s = until_s - self._clock()
            if left_s <= 0 or not await self._wait_for_fold(left_s):
                return

    async def wait_ready(self) -> None:
        """Wait until all records up to the end of the log are folded."""
        while not self.ready:
            await self._folded.wait()

    async def read_outcome(self, offset: int) -> Outcome | None:
        """Read the outcome at an offset; None if it is no longer in the log.

        Raises
        ------
        SorrelhoistError
            If the log can't be read.
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

    def _apply_page(self, page: LogPage) -> None:
        now_s = self._clock()
        self._retry_s = MIN_RETRY_S
        if page.next_offset < self.fold.next_offset:
            logger.error(
                "End of the claims log moved backwards; reading it again.",
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
        self._folded.set()
        self._folded = asyncio.Event()

    def _restart(self, first_offset: int) -> None:
        logger.warning(
            "Claims are not ready; reading from the oldest retained record.",
            extra={"first_offset": first_offset},
        )
        self.ready = False
        self.fault = "the claims are being read again"
        self.fold.restart(first_offset, self._clock())

    async def _back_off(self, fault: str) -> None:
        self.fault = fault
        await asyncio.sleep(self._retry_s * self._rng.uniform(0.5, 1.0))
        self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)

    async def _wait_for_fold(self, timeout_s: float) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                await self._folded.wait()
        except TimeoutError:
            return False
        return True
