"""Registers the agent in the topic ``registrations`` and detects its successor.

The offset of the registration is the fencing number of the agent's orders. Reading the
log without finding a newer registration renews the lease.
"""

import logging
from collections.abc import Callable

from ..clients.exceptions import AppendOutcomeUnknownError, OffsetExpiredError
from ..clients.log import LogRecord
from ..decisions.orders import Reconciler
from ..decisions.orders_registrations import (
    Registration,
    decode_registration,
    encode_registration,
)
from ..exceptions import LogUnavailableError
from .claims import ClaimLog

logger = logging.getLogger(__name__)

FIRST_OFFSET = 1
PAGE_RECORDS = 500


def _never_gone(registration: Registration) -> bool:
    return False


class RegistrationTracker:
    """Registers the agent once and reads the log for newer registrations.

    Parameters
    ----------
    log : ClaimLog
        The client of the topic ``registrations``.
    registration : Registration
        Registration of this process.
    reconciler : Reconciler
        Receives the fencing number, lease renewals and replacement.
    clock : callable
        Returns monotonic seconds.
    is_gone : callable, optional
        Returns whether the process of a newer registration is known to have died.
        The agent then registers again: the record may come from a delayed append by
        an older process.
    """

    def __init__(
        self,
        log: ClaimLog,
        registration: Registration,
        reconciler: Reconciler,
        clock: Callable[[], float],
        is_gone: Callable[[Registration], bool] = _never_gone,
    ) -> None:
        self.successor: Registration | None = None
        self._log = log
        self._registration = registration
        self._reconciler = reconciler
        self._clock = clock
        self._is_gone = is_gone
        self._position = 0
        self._append_attempted = False

    async def refresh(self) -> None:
        """Register if not registered yet; otherwise read the log to renew the lease.

        Raises
        ------
        LogUnavailableError
            If the log does not answer; call again later.
        """
        if self.successor is not None and self._is_gone(self.successor):
            self.successor = None
            self._append_attempted = False
            self._reconciler.fencing = 0
        if not self._reconciler.fencing:
            await self._register()
        elif not self._reconciler.replaced or self.successor is None:
            await self._confirm()

    async def _register(self) -> None:
        if not self._position:
            self._position = await self._end_of_log()
        if self._append_attempted:
            await self._find_own_record()
        if not self._reconciler.fencing:
            await self._append()

    async def _append(self) -> None:
        self._append_attempted = True
        try:
            appended = await self._log.append([encode_registration(self._registration)])
        except AppendOutcomeUnknownError:
            await self._find_own_record()
        else:
            self._registered(appended.first_offset)

    async def _find_own_record(self) -> None:
        """Look for this agent's record after the answer to its append was lost."""
        for record in await self._read_new_records():
            if decode_registration(record.value) == self._registration:
                self._registered(record.offset)
            elif self._reconciler.fencing:
                self._check_for_successor(record)

    def _registered(self, offset: int) -> None:
        self._position = max(self._position, offset + 1)
        self._reconciler.registered(offset, self._clock())
        logger.info(
            "The agent is registered for orders to its endpoint.",
            extra={"fencing": offset},
        )

    async def _confirm(self) -> None:
        begun_s = self._clock()
        try:
            records = await self._read_new_records()
        except OffsetExpiredError:
            # The agent was paused for longer than the log retains records, so a
            # newer registration may have been missed.
            self._mark_replaced(None)
            return
        for record in records:
            self._check_for_successor(record)
        if not self._reconciler.replaced:
            self._reconciler.lease_confirmed(begun_s)

    def _check_for_successor(self, record: LogRecord) -> None:
        newer = decode_registration(record.value)
        if newer is None or newer == self._registration:
            return
        if newer.endpoint == self._registration.endpoint:
            self._mark_replaced(newer)

    def _mark_replaced(self, successor: Registration | None) -> None:
        self.successor = successor
        if not self._reconciler.replaced:
            logger.warning("Another agent has the endpoint; no more orders.")
        self._reconciler.mark_replaced()

    async def _end_of_log(self) -> int:
        try:
            page = await self._log.read(FIRST_OFFSET, 1, 0.0)
        except OffsetExpiredError as error:
            page = await self._log.read(error.first_offset, 1, 0.0)
        return page.next_offset

    async def _read_new_records(self) -> list[LogRecord]:
        """Read the records up to the end of the log and advance the position."""
        position = self._position
        records: list[LogRecord] = []
        while True:
            page = await self._log.read(position, PAGE_RECORDS, 0.0)
            if page.next_offset < position:
                raise LogUnavailableError("The log of registrations has gone back.")
            for record in page.records:
                if record.offset == position:
                    records.append(record)
                    position += 1
            if position >= page.next_offset:
                self._position = position
                return records
