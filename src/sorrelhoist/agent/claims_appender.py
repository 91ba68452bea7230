"""Group commit: appends many records of one log topic in one request."""

import asyncio
import logging
from collections import deque
from typing import Protocol

import attrs

from ..clients.exceptions import AppendOutcomeUnknownError
from ..clients.log import Appended as LogAppended
from ..decisions.claims_steps import Appended, AppendUnknown, NotAppended
from ..exceptions import SorrelhoistError

logger = logging.getLogger(__name__)

BATCH_WINDOW_S = 0.003
MAX_BATCH_RECORDS = 64
MAX_BATCH_CHARS = 512 * 1024
MAX_QUEUED_RECORDS = 1024
MAX_APPENDS_IN_FLIGHT = 4
RETRY_AFTER_S = 1.0

AppendResult = Appended | NotAppended | AppendUnknown


class AppendLog(Protocol):
    """Interface of the log client that the appender uses."""

    async def append(self, values: list[str]) -> LogAppended:
        """Append records at consecutive offsets."""
        ...


@attrs.define(eq=False)
class _QueuedRecord:
    value: str
    future: "asyncio.Future[AppendResult]"
    sent: bool = False


class GroupAppender:
    """Collects records for a few milliseconds and appends them as one batch.

    Parameters
    ----------
    log : AppendLog
        Client of the topic.
    batch_window_s : float
        How long the first record of a batch waits for further records.
    """

    def __init__(self, log: AppendLog, batch_window_s: float = BATCH_WINDOW_S) -> None:
        self._log = log
        self._batch_window_s = batch_window_s
        self._queue: deque[_QueuedRecord] = deque()
        self._has_queued = asyncio.Event()
        self._slots = asyncio.Semaphore(MAX_APPENDS_IN_FLIGHT)
        self._appends: set[asyncio.Task[None]] = set()

    async def append(self, value: str, timeout_s: float) -> AppendResult:
        """Append one record as part of a batch.

        Parameters
        ----------
        value : str
            The encoded record.
        timeout_s : float
            How long to wait for the result.

        Returns
        -------
        Appended, NotAppended or AppendUnknown
            AppendUnknown if the record was sent and not answered in time. A record
            that was not sent in time is withdrawn: NotAppended.
        """
        if len(self._queue) >= MAX_QUEUED_RECORDS:
            return NotAppended("too many records wait to be appended.", RETRY_AFTER_S)
        queued = _QueuedRecord(value, asyncio.get_running_loop().create_future())
        self._queue.append(queued)
        self._has_queued.set()
        await asyncio.wait({queued.future}, timeout=max(timeout_s, 0.0))
        if queued.future.done():
            return queued.future.result()
        if queued.sent:
            return AppendUnknown()
        self._queue.remove(queued)
        return NotAppended("the log was too slow.", RETRY_AFTER_S)

    async def run(self) -> None:
        """Append batches until cancelled."""
        try:
            while True:
                await self._has_queued.wait()
                await asyncio.sleep(self._batch_window_s)
                await self._slots.acquire()
                self._start_append(self._next_batch())
        finally:
            for task in self._appends:
                task.cancel()

    def dump(self) -> dict:
        """Return the state as plain data."""
        return {
            "waiting_records": len(self._queue),
            "appends_in_flight": len(self._appends),
        }

    def _next_batch(self) -> list[_QueuedRecord]:
        batch: list[_QueuedRecord] = []
        chars = 0
        while self._queue and len(batch) < MAX_BATCH_RECORDS:
            chars += len(self._queue[0].value)
            if batch and chars > MAX_BATCH_CHARS:
                break
            batch.append(self._queue.popleft())
        if not self._queue:
            self._has_queued.clear()
        return batch

    def _start_append(self, batch: list[_QueuedRecord]) -> None:
        if not batch:
            self._slots.release()
            return
        for queued in batch:
            queued.sent = True
        task = asyncio.get_running_loop().create_task(self._append(batch))
        self._appends.add(task)
        task.add_done_callback(self._appends.discard)

    async def _append(self, batch: list[_QueuedRecord]) -> None:
        try:
            results = await self._append_batch(batch)
        finally:
            self._slots.release()
        for queued, result in zip(batch, results, strict=True):
            if not queued.future.done():
                queued.future.set_result(result)

    async def _append_batch(self, batch: list[_QueuedRecord]) -> list[AppendResult]:
        try:
            appended = await self._log.append([queued.value for queued in batch])
        except AppendOutcomeUnknownError:
            return [AppendUnknown()] * len(batch)
        except SorrelhoistError as error:
            not_appended = NotAppended(
                error.message, error.retry_after_s or RETRY_AFTER_S
            )
            return [not_appended] * len(batch)
        except Exception:
            logger.exception("Append failed unexpectedly; its outcome is unknown.")
            return [AppendUnknown()] * len(batch)
        return [Appended(appended.first_offset + index) for index in range(len(batch))]
