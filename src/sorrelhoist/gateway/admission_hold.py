"""Waiting of held requests until the gateway can serve them or their hold ends."""

import asyncio

import attrs

from ..decisions.startup import RELEASE_INTERVAL_S
from .state import GatewayState, boot_time_s


@attrs.define(eq=False, repr=False)
class AdmissionHold:
    """Wakes held requests in the order that `Startup` decides.

    Parameters
    ----------
    state : GatewayState
    """

    state: GatewayState
    _waiting: dict[int, asyncio.Future] = attrs.field(factory=dict)
    _timer: asyncio.TimerHandle | None = None

    async def wait(self, due_s: float, until_s: float, size_bytes: int) -> bool:
        """Hold a request; return at once with False if it can't be held.

        Parameters
        ----------
        due_s, until_s : float
        size_bytes : int
            See `Startup.hold`.
        """
        loop = asyncio.get_running_loop()
        startup = self.state.startup
        number = startup.hold(due_s, until_s, size_bytes, loop.time())
        if number is None:
            return False
        self._waiting[number] = loop.create_future()
        self._schedule()
        try:
            await self._waiting[number]
        finally:
            self._waiting.pop(number, None)
            startup.drop(number)
        return True

    def _schedule(self) -> None:
        if self._timer is None and self._waiting:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RELEASE_INTERVAL_S, self._release)

    def _release(self) -> None:
        self._timer = None
        now_s = asyncio.get_running_loop().time()
        is_ready = self.state.can_admit(boot_time_s())
        others = self.state.outage_of_peers()
        for number in self.state.startup.release(is_ready, others, now_s):
            future = self._waiting.pop(number, None)
            if future is not None and not future.done():
                future.set_result(None)
        self._schedule()
