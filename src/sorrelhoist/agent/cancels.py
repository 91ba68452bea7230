"""Cancels streams and parts on the engine, and retries until confirmed."""

import asyncio
import logging
from collections.abc import Callable
from functools import partial

import attrs

from ..clients.engine import EngineClient
from ..clients.exceptions import EngineRefusedError, EngineUnreachableError
from ..decisions.ledger import GrantLedger
from .stream_names import StreamName

logger = logging.getLogger(__name__)

RETRY_INTERVAL_S = 0.2


@attrs.define(eq=False)
class PendingCancels:
    """Cancels that the engine has not confirmed yet.

    Parameters
    ----------
    client : EngineClient
    ledger : GrantLedger
        Lists what to cancel; its KV cache counts as used until it is freed.
    on_cancel, on_freed : callable
        Called for each cancel that is sent, and for each that is confirmed.
    clock : callable
        Monotonic time in seconds.
    """

    client: EngineClient
    ledger: GrantLedger
    on_cancel: Callable[[], None]
    on_freed: Callable[[], None]
    clock: Callable[[], float]
    tasks: dict[str, asyncio.Task] = attrs.field(init=False, factory=dict)

    def start(self) -> None:
        """Start a task for each cancel that has none.

        Must be called repeatedly: a cancel that failed is sent again by the next call.
        """
        for grant_id in self.ledger.cancelling():
            if grant_id not in self.tasks:
                task = asyncio.get_running_loop().create_task(
                    self._cancel_on_engine(grant_id)
                )
                self.tasks[grant_id] = task
                task.add_done_callback(partial(self._discard_task, grant_id))

    def _discard_task(self, grant_id: str, task: asyncio.Task) -> None:
        self.tasks.pop(grant_id, None)

    async def _cancel_on_engine(self, grant_id: str) -> None:
        holding = self.ledger.holdings.get(grant_id)
        if holding is None:
            return
        name = str(StreamName(grant_id, holding.request_id))
        self.on_cancel()
        try:
            # A stream and a part never share a name, and the engine confirms an
            # unknown name as free, so both calls are safe.
            freed = await self.client.cancel(name)
            freed = await self.client.free_part(name) and freed
        except (EngineRefusedError, EngineUnreachableError) as error:
            logger.info("cancel not confirmed", extra={"error": error.message})
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        if freed:
            self.ledger.freed(grant_id, self.clock())
            self.on_freed()

    async def wait(self) -> None:
        """Wait for the running cancel tasks."""
        if self.tasks:
            await asyncio.wait(self.tasks.values())
