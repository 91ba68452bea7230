"""Let requests wait for the ledger's decision."""

import asyncio
import logging
from collections.abc import AsyncIterator, Callable

import attrs

from ..decisions.grants import AdmissionRequest, Denied, Granted, Queued
from ..decisions.ledger import GrantLedger

logger = logging.getLogger(__name__)

# While a request waits, its asker hears from the agent this often.
REPORT_INTERVAL_S = 0.5

Decision = Granted | Denied


@attrs.define
class Gatekeeper:
    """The ledger, and the requests that wait for it.

    Parameters
    ----------
    ledger : GrantLedger
    clock : callable
        Monotonic seconds.
    """

    ledger: GrantLedger
    clock: Callable[[], float]
    _waiting: dict[str, asyncio.Future[Decision]] = attrs.field(
        init=False, factory=dict
    )

    async def decide(
        self, ask: AdmissionRequest
    ) -> AsyncIterator[Queued | Granted | Denied]:
        """Ask the ledger and wait for its decision.

        Parameters
        ----------
        ask : AdmissionRequest

        Yields
        ------
        Queued, Granted or Denied
            `Queued` any number of times while it waits, then one decision.
        """
        answer = self.ledger.request(ask, self.clock())
        # A new ask may displace one that waits.
        self.pump()
        if not isinstance(answer, Queued):
            yield answer
            return
        decided = self._waiting.get(ask.request_id)
        if decided is None:
            decided = asyncio.get_running_loop().create_future()
            self._waiting[ask.request_id] = decided
        try:
            while not decided.done():
                yield answer
                await asyncio.wait([decided], timeout=REPORT_INTERVAL_S)
            yield decided.result()
        finally:
            if not decided.done():
                self.withdraw(ask.request_id)

    def withdraw(self, request_id: str) -> None:
        """Forget a request that waits."""
        self.ledger.withdraw(request_id)
        decided = self._waiting.pop(request_id, None)
        if decided is not None and not decided.done():
            decided.cancel()

    def pump(self) -> None:
        """Tell the requests that wait what was decided."""
        for decision in self.ledger.pump(self.clock()):
            decided = self._waiting.pop(decision.request_id, None)
            if decided is not None and not decided.done():
                decided.set_result(decision)
            elif isinstance(decision, Granted):
                logger.info("grant without asker", extra={"grant": decision.grant_id})
