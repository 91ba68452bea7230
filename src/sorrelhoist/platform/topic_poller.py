"""Reads one topic of the store continuously, across outages and restorations."""

import asyncio
import contextlib
import logging
import math
from collections.abc import Callable

import attrs

from ..decisions.store_backoff import ALONE_BACKOFF_S
from ..decisions.store_readers import StorePosition
from ..exceptions import PlatformError
from ..gateway.state import boot_time_s
from .store import (
    KeyedRecord,
    PartialRead,
    Records,
    RecordsExpiredError,
    StoreClient,
    StoreRestoredError,
)

logger = logging.getLogger(__name__)

CONFIRMATION_CHECK_INTERVAL_S = 0.1
"""Interval between two checks of the freshness confirmations of other gateways."""


@attrs.define(eq=False, repr=False)
class TopicPoller:
    """Reads one topic of the store continuously, by polling or long polling.

    Parameters
    ----------
    store : StoreClient
    topic : str
    apply : callable
        Called with each record of a read from the last position.
    replace : callable
        Called with the newest record of each key, and with whether the store came
        back from an older copy since the last read: then records that were read
        before may be missing, and others may be older than those.
    completed : callable
        Called after each complete read with the time at which its first call was sent,
        on the clock that counts from boot.
    is_confirmed : callable
        Returns whether another gateway has confirmed that there are no new records,
        so that a read isn't needed.
    backoff_s : callable
        Returns the time until the next attempt, from the number of failed ones in a
        row.
    is_urgent : callable
        Returns whether the next read must not wait for a record.
    interval_s, wait_s : float
        Pause between reads, and the long-poll time of a read.
    max_gap_s : float
        Time since the last read from which the newest record of each key is read
        instead of all records since then.
    """

    store: StoreClient
    topic: str
    apply: Callable[[KeyedRecord], None]
    replace: Callable[[Records, bool], None]
    completed: Callable[[float], None]
    is_confirmed: Callable[[], bool] = lambda: False
    backoff_s: Callable[[int], float] = lambda failures: ALONE_BACKOFF_S
    is_urgent: Callable[[], bool] = lambda: False
    interval_s: float = 0.0
    wait_s: float = 0.0
    max_gap_s: float = math.inf
    position: StorePosition | None = None
    _read_s: float = -math.inf
    _begun_s: float = -math.inf
    _read_era: int | None = None
    _failures: int = 0
    _was_confirmed: bool = False
    _is_ahead: bool = False
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    _partial: PartialRead = attrs.field(factory=PartialRead)

    @property
    def is_lost(self) -> bool:
        """Whether the last attempt to read failed."""
        return self._failures > 0

    def records_applied(self) -> None:
        """Record that newer records than those at the position were applied.

        The next read is of the newest record of each key: a read from the position
        would apply older ones again.
        """
        self._is_ahead = True

    def read_soon(self) -> None:
        """End the pause between two reads or attempts."""
        self._wake.set()

    async def run(self) -> None:
        """Read until cancelled.

        After an unexpected exception, the next run begins with the newest record of
        each key: the one that led to it may have been replaced by then.
        """
        try:
            await self._read_all()
        except Exception:
            self.position = None
            self._partial.clear()
            raise

    async def _read_all(self) -> None:
        while True:
            if self.position is not None and self.is_confirmed():
                self._was_confirmed = True
                await asyncio.sleep(CONFIRMATION_CHECK_INTERVAL_S)
                continue
            self._wake.clear()
            sent_s = boot_time_s()
            try:
                known_s = await self._read(sent_s)
            except (RecordsExpiredError, StoreRestoredError) as error:
                self._log(error.kind.replace("_", " "), str(error))
                self.position = None
                self._partial.clear()
                continue
            except PlatformError as error:
                self._report_failure(error)
                await self._back_off()
                continue
            self._report_recovery()
            if known_s is None:
                continue
            self.completed(known_s)
            if self.interval_s:
                await self._pause(self.interval_s)

    async def _back_off(self) -> None:
        """Wait before the next attempt, or until another gateway confirms the state."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self.backoff_s(self._failures)
        while (left_s := end_s - loop.time()) > 0 and not self._wake.is_set():
            await self._pause(min(left_s, CONFIRMATION_CHECK_INTERVAL_S))
            if self.position is not None and self.is_confirmed():
                return

    async def _pause(self, duration_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(duration_s):
                await self._wake.wait()

    async def _read(self, now_s: float) -> float | None:
        """Read and apply; return the time from which the state is that of the store.

        Returns
        -------
        float or None
            None if it has to be read on at once: the store has more records than one
            answer holds, other records were applied meanwhile, which may be newer, or
            the first pages were read too long ago.
        """
        is_behind = now_s - self._read_s > self.max_gap_s
        if self.position is None or self._is_ahead or is_behind:
            if self._is_ahead:
                self._partial.clear()
            self._is_ahead = False
            if not self._partial.records:
                self._begun_s = now_s
            batch = await self.store.newest(self.topic, self._partial)
            if self._is_ahead:
                return None
            known_s = self._begun_s
            is_restored = self._read_era not in (None, batch.end.era)
            self.replace(batch, is_restored)
        else:
            # After an outage, or when confirmations from other gateways stop, a read
            # without long polling confirms the state sooner.
            is_urgent = self.is_lost or self._was_confirmed or self.is_urgent()
            wait_s = 0.0 if is_urgent else self.wait_s
            batch = await self.store.read(self.topic, self.position, wait_s)
            if self._is_ahead:
                return None
            known_s = now_s
            for record in batch.records:
                self.apply(record)
        self.position = batch.end
        self._read_era = batch.end.era
        self._read_s = now_s
        self._was_confirmed = False
        is_current = batch.is_complete and now_s - known_s <= self.max_gap_s
        return known_s if is_current else None

    def _report_failure(self, error: PlatformError) -> None:
        self._failures += 1
        if self._failures == 1:
            self._log("dependency lost", str(error))

    def _report_recovery(self) -> None:
        if self.is_lost:
            self._failures = 0
            self._log("dependency regained", "")

    def _log(self, message: str, reason: str) -> None:
        logger.warning(
            message,
            extra={
                "event": message.replace(" ", "_"),
                "dependency": self.topic,
                "reason": reason,
                "offset": self.position.offset if self.position else None,
                "era": self._read_era,
            },
        )
