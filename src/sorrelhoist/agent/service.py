"""Guard of a plain service: the agent is the only caller of the service."""

import asyncio
import logging
from collections.abc import Callable

import attrs

from ..exceptions import SorrelhoistError
from ..messages.gen import ttypes
from ..node.peers import Responder
from .claims import ClaimedCalls

logger = logging.getLogger(__name__)

MS_PER_S = 1000
QUEUED_REPORT_INTERVAL_S = 0.5


def denial_of(error: SorrelhoistError) -> ttypes.Denial:
    """Return the denial message that carries an error to the entry."""
    retry_after_s = error.retry_after_s or 0.0
    return ttypes.Denial(
        kind=error.kind,
        message=error.message,
        remedy=error.remedy,
        not_run=error.not_run,
        retry_after_ms=int(retry_after_s * MS_PER_S),
    )


@attrs.define
class ServiceGuard:
    """Answers the calls that entries make to the service.

    Parameters
    ----------
    calls : ClaimedCalls
        At-most-once calls to the service.
    closed : callable
        Returns the error with which new calls are refused, or None.
    """

    calls: ClaimedCalls
    closed: Callable[[], SorrelhoistError | None]

    async def call(self, call: ttypes.ServiceCall, responder: Responder) -> None:
        """Make one call; send `Queued` messages periodically while it runs."""
        refusal = self.closed()
        if refusal is not None:
            await responder.send(denial_of(refusal))
            return
        task = asyncio.ensure_future(self._run(call))
        while True:
            done, _ = await asyncio.wait([task], timeout=QUEUED_REPORT_INTERVAL_S)
            if done:
                await responder.send(task.result())
                return
            queued = ttypes.Queued(request_id=call.request_id, queue_delay_ms=0)
            await responder.send(queued)

    async def _run(self, call: ttypes.ServiceCall) -> object:
        try:
            return await self.calls.call(call)
        except SorrelhoistError as error:
            return denial_of(error)
        except Exception:
            logger.exception("service call failed unexpectedly; the call is denied")
            return denial_of(SorrelhoistError("The agent failed."))

    async def drain(self, timeout_s: float) -> None:
        """Refuse new calls; wait up to `timeout_s` for running ones."""
        await self.calls.drain(timeout_s)

    def dump(self) -> dict:
        """Return the state as plain data."""
        return self.calls.dump()
