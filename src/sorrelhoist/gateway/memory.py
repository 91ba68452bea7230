"""Accounts of what a gateway holds, its measured size, and callers that are cut."""

import asyncio
import logging
import os
from pathlib import Path

import attrs

from ..decisions.memory.account import MemoryAccount
from ..decisions.memory.budget import MemoryBudget
from .caller import CallerConnection
from .metrics import GatewayMetrics

logger = logging.getLogger(__name__)

MEASURE_INTERVAL_S = 0.25
"""Interval between two measurements of the resident size: at 100 Mbit/s 3 MB arrive in
this time."""

TRIM_SHARE = 0.7
"""Fraction of the limit above which free memory is returned to the system: the
allocator keeps it otherwise, and takes more for pieces of another size."""

MIN_TRIM_SHARE = 0.05
"""Fraction of the limit that must be free inside the process for this: it takes
milliseconds."""

STATM = Path("/proc/self/statm")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Return the memory that this process has in use; 0 if that can't be read."""
    try:
        return int(STATM.read_text().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def return_free_memory() -> None:
    """Return the free memory of the allocator to the system, where it can."""
    import ctypes  # Not loaded at the start, which it would delay.

    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


@attrs.define(eq=False, repr=False)
class MemoryKeeper:
    """Opens an account for each request, and gives up those over the budget.

    Parameters
    ----------
    budget : MemoryBudget
    metrics : GatewayMetrics
    """

    budget: MemoryBudget
    metrics: GatewayMetrics
    _callers: dict[MemoryAccount, CallerConnection] = attrs.field(
        init=False, factory=dict
    )
    _was_short: bool = attrs.field(init=False, default=False)

    def __attrs_post_init__(self) -> None:
        self.budget.on_over = self._cut

    def open(self, caller: CallerConnection, declared_bytes: int) -> bool:
        """Open the account of a caller's request; False if it must be refused."""
        now_s = asyncio.get_running_loop().time()
        account = self.budget.open(declared_bytes, now_s)
        if account is None:
            self._log_pressure(now_s)
            return False
        caller.account = account
        self._callers[account] = caller
        return True

    def close(self, caller: CallerConnection) -> None:
        """Close the account of a request that ended; repeated calls have no effect."""
        if caller.account is not None:
            self._callers.pop(caller.account, None)
            self.budget.close(caller.account)

    async def run(self) -> None:
        """Measure the process until cancelled."""
        while True:
            now_s = asyncio.get_running_loop().time()
            size_bytes = resident_bytes()
            if self._is_worth_trimming(size_bytes):
                return_free_memory()
                size_bytes = resident_bytes()
            self.budget.measure(size_bytes, now_s)
            self._log_pressure(now_s)
            await asyncio.sleep(MEASURE_INTERVAL_S)

    def _is_worth_trimming(self, size_bytes: int) -> bool:
        limit_bytes, base_bytes = self.budget.limit_bytes, self.budget.base_bytes
        if limit_bytes is None or base_bytes is None:
            return False
        free_bytes = size_bytes - self.budget.held_bytes - base_bytes
        is_large = size_bytes > limit_bytes * TRIM_SHARE
        return is_large and free_bytes > limit_bytes * MIN_TRIM_SHARE

    def _cut(self) -> None:
        """Give up requests that hold more than their share."""
        now_s = asyncio.get_running_loop().time()
        for account in self.budget.to_cut(now_s):
            caller = self._callers.get(account)
            if caller is not None and caller.cut_reason is None:
                self.cut(caller, "over its share of the memory")

    def cut(self, caller: CallerConnection, reason: str) -> None:
        """Give up a caller's request, log why, and free what is held for it."""
        now_s = asyncio.get_running_loop().time()
        account = caller.account
        logger.warning(
            "caller cut",
            extra={
                "event": "caller_cut",
                "outcome": "closed" if caller.has_begun else "refused",
                "reason": reason,
                "held_bytes": self.budget.held_bytes,
                "budget_bytes": self.budget.budget_bytes,
                "share_bytes": self.budget.share_bytes,
            }
            | (account.dump(now_s) if account is not None else {}),
        )
        self.metrics.callers_cut.add(1, {"reason": reason})
        caller.cut(reason)
        self.close(caller)

    def _log_pressure(self, now_s: float) -> None:
        """Log when memory pressure begins and when it ends."""
        if self.budget.is_short == self._was_short:
            return
        self._was_short = self.budget.is_short
        logger.warning(
            "memory pressure",
            extra={
                "event": "memory_pressure",
                "outcome": "short" if self._was_short else "relieved",
                "held_bytes": self.budget.held_bytes,
                "budget_bytes": self.budget.budget_bytes,
                "resident_bytes": self.budget.resident_bytes,
                "retry_after_s": round(self.budget.retry_after_s(now_s), 2),
            },
        )
