"""Futures on which queued requests wait for the ledger's admission decision."""

import asyncio
import logging
from collections import Counter
from collections.abc import AsyncIterator, Callable

import attrs

from ..decisions.grants import AdmissionRequest, Denied, Granted, Queued
from ..decisions.ledger import GrantLedger

logger = logging.getLogger(__name__)

# Interval of the progress reports that an entry gets while its request is queued.
REPORT_INTERVAL_S = 0.5

Decision = Granted | Denied


@attrs.define
class AdmissionWaiters:
    """Futures of the requests that are queued in the ledger.

    Parameters
    ----------
    ledger : GrantLedger
    clock : callable
        Monotonic time in seconds.
    """

    ledger: GrantLedger
    clock: Callable[[], float]
    _futures: dict[str, asyncio.Future[Decision]] = attrs.field(
        init=False, factory=dict
    )
    _waiting: Counter[str] = attrs.field(init=False, factory=Counter)

    async def decide(
        self, request: AdmissionRequest
    ) -> AsyncIterator[Queued | Granted | Denied]:
        """Request admission from the ledger and wait for its decision.

        Parameters
        ----------
        request : AdmissionRequest

        Yields
        ------
        Queued, Granted or Denied
            `Queued` zero or more times while the request waits, then one decision.
        """
        answer = self.ledger.request(request, self.clock())
        # A new request may evict a queued one.
        self.pump()
        if not isinstance(answer, Queued):
            yield answer
            return
        future = self._futures.get(request.request_id)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._futures[request.request_id] = future
        self._waiting[request.request_id] += 1
        try:
            while not future.done():
                yield answer
                await asyncio.wait([future], timeout=REPORT_INTERVAL_S)
            yield future.result()
        finally:
            # An entry that lost its connection may be waiting for the same request
            # again; the first waiter must not withdraw it from the second.
            self._waiting[request.request_id] -= 1
            if not self._waiting[request.request_id]:
                del self._waiting[request.request_id]
                if not future.done():
                    self.withdraw(request.request_id)

    def withdraw(self, request_id: str) -> None:
        """Remove a request from the queue."""
        self.ledger.withdraw(request_id)
        future = self._futures.pop(request_id, None)
        if future is not None and not future.done():
            future.cancel()

    def pump(self) -> None:
        """Pass the ledger's new decisions to the queued requests."""
        for decision in self.ledger.pump(self.clock()):
            future = self._futures.pop(decision.request_id, None)
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision, Granted):
                logger.info(
                    "request has left the queue; its grant expires if unused",
                    extra={"grant": decision.grant_id},
                )
