"""Polls an engine's status and detects its failure and restart."""

import asyncio
import logging
from collections.abc import Callable

import attrs

from ..clients.engine import EngineClient
from ..clients.engine_messages import EngineInventory, EngineStatus
from ..clients.exceptions import EngineRefusedError, EngineUnreachableError
from ..decisions.grants import EndpointObservation, EngineHolding, Inventory
from ..decisions.ledger import GrantLedger
from .stream_names import StreamName

logger = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.25
# Failure detection may be slower while the engine holds no streams.
IDLE_POLL_INTERVAL_S = 1.0
# An engine that has not responded for this long is considered dead.
DEAD_TIMEOUT_S = 3.0
RECHECK_INTERVAL_S = 0.05
MS_PER_S = 1000.0
STATE_COLD = "cold"


def _observation(status: EngineStatus) -> EndpointObservation:
    return EndpointObservation(
        boot_id=status.boot_id,
        is_cold=status.state == STATE_COLD,
        kv_used_tokens=status.kv_used_tokens,
        kv_capacity_tokens=status.kv_capacity_tokens,
        running_requests=status.running_requests,
        prefill_tokens_per_s=status.prefill_tokens_per_s,
        report_age_s=status.report_age_ms / MS_PER_S,
    )


def _inventory(found: EngineInventory) -> Inventory:
    holdings = [
        _holding(stream.stream_id, stream.kv_tokens, True)
        for stream in found.streams
        if stream.kv_tokens > 0
    ]
    holdings += [_holding(p.stream_id, p.kv_tokens, False) for p in found.parts]
    return Inventory(found.boot_id, tuple(holdings))


def _holding(stream_id: str, kv_tokens: int, is_running: bool) -> EngineHolding:
    name = StreamName.parse(stream_id)
    return EngineHolding(
        holding_id=name.grant_id,
        request_id=name.request_id,
        kv_tokens=kv_tokens,
        is_running=is_running,
    )


@attrs.define(eq=False)
class EngineMonitor:
    """Polls an engine and reports its status to the ledger.

    Parameters
    ----------
    client : EngineClient
    ledger : GrantLedger
    clock : callable
        Monotonic time in seconds.
    on_death : callable
        ``on_death(boot_id)``, called once for each boot that ended.
    on_loaded : callable
        ``on_loaded(model, version)``, called for each status report.
    """

    client: EngineClient
    ledger: GrantLedger
    clock: Callable[[], float]
    on_death: Callable[[str], None]
    on_loaded: Callable[[str, str], None] = lambda model, version: None
    boot_id: str = attrs.field(init=False, default="")
    _answered_s: float = attrs.field(init=False, default=0.0)
    _adopted_boot_id: str = attrs.field(init=False, default="")

    async def run(self) -> None:
        """Poll until cancelled."""
        self._answered_s = self.clock()
        while True:
            await self.poll()
            is_idle = not len(self.ledger.holdings)
            await asyncio.sleep(IDLE_POLL_INTERVAL_S if is_idle else POLL_INTERVAL_S)

    async def poll(self) -> bool:
        """Poll the engine once.

        Returns
        -------
        bool
            Whether the engine responded.
        """
        try:
            status = await self.client.status()
            if self._adopted_boot_id != status.boot_id:
                await self._adopt(status)
        except (EngineUnreachableError, EngineRefusedError) as error:
            self._handle_unreachable(error.message)
            return False
        self._answered_s = self.clock()
        self._update_boot_id(status.boot_id)
        self.ledger.observe(_observation(status), self._answered_s)
        self.on_loaded(status.model, status.version)
        return True

    async def _adopt(self, status: EngineStatus) -> None:
        """Add streams and parts from before this agent started to the ledger."""
        found = await self.client.inventory()
        if found.boot_id != status.boot_id:
            return
        self._update_boot_id(status.boot_id)
        now_s = self.clock()
        self.ledger.observe(_observation(status), now_s)
        unowned = self.ledger.adopt(_inventory(found), now_s)
        self._adopted_boot_id = status.boot_id
        if unowned:
            logger.info("streams adopted", extra={"streams": len(unowned)})

    def _handle_unreachable(self, message: str) -> None:
        now_s = self.clock()
        self.ledger.unreachable(now_s)
        if self.boot_id and now_s - self._answered_s > DEAD_TIMEOUT_S:
            logger.warning("endpoint is silent", extra={"error": message})
            self._update_boot_id("")

    def _update_boot_id(self, boot_id: str) -> None:
        previous_boot_id = self.boot_id
        self.boot_id = boot_id
        if previous_boot_id and previous_boot_id != boot_id:
            self.on_death(previous_boot_id)

    async def is_alive(self, boot_id: str) -> bool:
        """Return whether the engine still runs with a boot id.

        Waits until the engine responds or is considered dead.
        """
        while self.boot_id == boot_id:
            if await self.poll():
                return self.boot_id == boot_id
            await asyncio.sleep(RECHECK_INTERVAL_S)
        return False

    def dump(self) -> dict:
        """Return the state as plain data."""
        return {"boot_id": self.boot_id, "answered_s": self._answered_s}
