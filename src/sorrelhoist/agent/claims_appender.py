"""Group commit: many records of one topic in one append."""

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
MAX_WAITING_RECORDS = 1024
MAX_APPENDS_IN_FLIGHT = 4
RETRY_AFTER_S = 1.0

AppendAnswer = Appended | NotAppended | AppendUnknown


class AppendLog(Protocol):
    """What the appender needs of the log's client."""

    async def append(self, values: list[str]) -> LogAppended:
        """Append records side by side."""
        ...


@attrs.define(eq=False)
class _Waiting:
    value: str
    answer: "asyncio.Future[AppendAnswer]"
    sent: bool = False


class GroupAppender:
    """Collect records for a few milliseconds and append them together.

    Parameters
    ----------
    log : AppendLog
        One topic.
    batch_window_s : float
        How long the first record of a batch waits for others.
    """

    def __init__(self, log: AppendLog, batch_window_s: float = BATCH_WINDOW_S) -> None:
        self._log = log
        self._batch_window_s = batch_window_s
        self._waiting: deque[_Waiting] = deque()
        self._arrived = asyncio.Event()
        self._slots = asyncio.Semaphore(MAX_APPENDS_IN_FLIGHT)
        self._appends: set[asyncio.Task[None]] = set()

    async def append(self, value: str, timeout_s: float) -> AppendAnswer:
        """Append one record, together with others.

        Parameters
        ----------
        value : str
            The record's text.
        timeout_s : float
            How long to wait for the answer.

        Returns
        -------
        Appended, NotAppended or AppendUnknown
            Unknown if the record was sent and not answered in time.
        """
        if len(self._waiting) >= MAX_WAITING_RECORDS:
            return NotAppended("too many records wait to be appended.", RETRY_AFTER_S)
        waiting = _Waiting(value, asyncio.get_running_loop().create_future())
        self._waiting.append(waiting)
        self._arrived.set()
        await asyncio.wait({waiting.answer}, timeout=max(timeout_s, 0.0))
        if waiting.answer.done():
            return waiting.answer.result()
        if waiting.sent:
            return AppendUnknown()
        self._waiting.remove(waiting)
        return NotAppended("the log was too slow.", RETRY_AFTER_S)

    async def run(self) -> None:
        """Append batches until cancelled."""
        try:
            while True:
                await self._arrived.wait()
                await asyncio.sleep(self._batch_window_s)
                await self._slots.acquire()
                self._start_append(self._next_batch())
        finally:
            for task in self._appends:
                task.cancel()

    def dump(self) -> dict:
        """Return the state for the process's dump."""
        return {
            "waiting_records": len(self._waiting),
            "appends_in_flight": len(self._appends),
        }

    def _next_batch(self) -> list[_Waiting]:
        batch: list[_Waiting] = []
        chars = 0
        while self._waiting and len(batch) < MAX_BATCH_RECORDS:
            chars += len(self._waiting[0].value)
            if batch and chars > MAX_BATCH_CHARS:
                break
            batch.append(self._waiting.popleft())
        if not self._waiting:
            self._arrived.clear()
        return batch

    def _start_append(self, batch: list[_Waiting]) -> None:
        if not batch:
            self._slots.release()
            return
        for waiting in batch:
            waiting.sent = True
        task = asyncio.get_running_loop().create_task(self._append(batch))
        self._appends.add(task)
        task.add_done_callback(self._appends.discard)

    async def _append(self, batch: list[_Waiting]) -> None:
        try:
            answers = await self._answers(batch)
        finally:
            self._slots.release()
        for waiting, answer in zip(batch, answers, strict=True):
            if not waiting.answer.done():
                waiting.answer.set_result(answer)

    async def _answers(self, batch: list[_Waiting]) -> list[AppendAnswer]:
        try:
            appended = await self._log.append([waiting.value for waiting in batch])
        except AppendOutcomeUnknownError:
            return [AppendUnknown()] * len(batch)
        except SorrelhoistError as error:
            refused = NotAppended(error.message, error.retry_after_s or RETRY_AFTER_S)
            return [refused] * len(batch)
        except Exception:
            logger.exception("An append failed in a way that tells nothing.")
            return [AppendUnknown()] * len(batch)
        return [Appended(appended.first_offset + index) for index in range(len(batch))]
