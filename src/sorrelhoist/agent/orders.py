"""Orders to the endpoint: load the model that the configuration asks for.

The agent alone orders its endpoint. Each comparison starts from the endpoint's
own report; nothing is kept from one to the next but back-off.
"""

import asyncio
import logging
import random
import time
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import attrs

from ..clients.engine_messages import EngineStatus, Order, Ordered
from ..clients.exceptions import EngineRefusedError
from ..clients.weights import Weights
from ..decisions.orders import (
    POLL_INTERVAL_S,
    AnnounceFencing,
    ConfirmLease,
    Load,
    NoOrder,
    Observed,
    OrderOptions,
    Reconciler,
)
from ..decisions.orders_placement import Desired
from ..decisions.orders_registrations import Registration
from ..exceptions import NotReadyError, PlatformError, SorrelhoistError
from .claims import ClaimLog
from .orders_registration import RegistrationKeeper

logger = logging.getLogger(__name__)

MS_PER_S = 1000
REGISTRATION_POLL_INTERVAL_S = 60.0
REGISTRATION_RETRY_S = 5.0
STALE_FENCING = "stale_fencing"


class OrderedEngine(Protocol):
    """What the orders need of the engine's client."""

    async def status(self) -> EngineStatus:
        """Return the engine's report."""
        ...

    async def order(self, order: Order) -> Ordered:
        """Give an order."""
        ...


class WeightSource(Protocol):
    """What the orders need of the weight store's client."""

    async def load(self, model: str, version: str) -> Weights:
        """Wait until the store has handed over the weights."""
        ...


@attrs.frozen
class OrderHooks:
    """What the rest of the agent tells and does.

    Parameters
    ----------
    desired : callable
        Returns what the endpoint should be, or None.
    may_change_model : callable
        Tells whether the endpoint may stop serving for a change.
    drained : callable
        Returns a context in which the endpoint gets no new work and runs none;
        entering it waits for the running work.
    """

    desired: Callable[[], Desired | None]
    may_change_model: Callable[[], bool]
    drained: Callable[[], AbstractAsyncContextManager[None]]


@attrs.define
class OrderCounters:
    """Counters since the start of the process."""

    orders: int = 0
    loads: int = 0
    failures: int = 0
    withheld: int = 0


class EndpointOrders:
    """Keeps one endpoint as the configuration wants it.

    Parameters
    ----------
    registration : Registration
        Of this process; the boot id must be new for each start.
    engine, weights : OrderedEngine, WeightSource
        Their clients.
    log : ClaimLog
        The client of the topic ``registrations``.
    options : OrderOptions
        Bounds of the orders.
    hooks : OrderHooks
        The rest of the agent.
    clock : callable
        Monotonic seconds.
    rng : random.Random
        For jitter.
    is_gone : callable
        Tells of a newer registration that its process is known to have died.
    """

    def __init__(
        self,
        registration: Registration,
        engine: OrderedEngine,
        weights: WeightSource,
        log: ClaimLog,
        options: OrderOptions,
        hooks: OrderHooks,
        *,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        is_gone: Callable[[Registration], bool] = lambda registration: False,
    ) -> None:
        self.counters = OrderCounters()
        self._rng = rng or random.SystemRandom()
        self.reconciler = Reconciler(options, self._rng)
        self._keeper = RegistrationKeeper(
            log, registration, self.reconciler, clock, is_gone
        )
        self._engine = engine
        self._weights = weights
        self._options = options
        self._hooks = hooks
        self._clock = clock
        self._next_refresh_s = 0.0
        self._state = "starting"

    async def run(self) -> None:
        """Compare and order until cancelled."""
        while True:
            try:
                await self._keep_registered()
                await self.reconcile()
            except SorrelhoistError as error:
                self._state = error.message
            except Exception:
                logger.exception("The endpoint's orders failed unexpectedly.")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def reconcile(self) -> None:
        """Compare once, and give at most one order.

        Raises
        ------
        SorrelhoistError
            If the engine or the log doesn't answer.
        """
        observed = await self._observe()
        now_s = self._clock()
        desired = self._hooks.desired()
        decision = self.reconciler.decide(
            observed, desired, self._hooks.may_change_model(), now_s
        )
        match decision:
            case NoOrder(reason):
                self._state = reason
            case ConfirmLease():
                await self._keeper.refresh()
            case AnnounceFencing(role):
                await self._send("set_role", Load("", ""), role)
            case Load():
                await self._load(decision)

    def dump(self) -> dict:
        """Return the state for the process's dump."""
        return {
            "state": self._state,
            "reconciler": self.reconciler.dump(),
            "counters": attrs.asdict(self.counters),
        }

    async def _keep_registered(self) -> None:
        """Read on now and then, so that the position doesn't expire."""
        if self._clock() < self._next_refresh_s:
            return
        retry_s = REGISTRATION_RETRY_S * self._rng.uniform(0.5, 1.5)
        self._next_refresh_s = self._clock() + retry_s
        await self._keeper.refresh()
        if self.reconciler.fencing:
            self._next_refresh_s = self._clock() + REGISTRATION_POLL_INTERVAL_S

    async def _observe(self) -> Observed:
        asked_s = self._clock()
        status = await self._engine.status()
        taken_at_s = asked_s - status.report_age_ms / MS_PER_S
        return Observed(
            status.model, status.version, status.highest_fencing, taken_at_s
        )

    async def _load(self, load: Load) -> None:
        self._state = f"loading {load.model} {load.version}"
        self.counters.loads += 1
        try:
            await self._weights.load(load.model, load.version)
        except PlatformError as error:
            self._failed(error)
            return
        async with self._hooks.drained():
            desired = self._hooks.desired()
            if desired and (desired.model, desired.version) == (
                load.model,
                load.version,
            ):
                await self._send("load", load)

    async def _send(self, action: str, load: Load, role: str = "") -> None:
        if not self.reconciler.may_send(self._clock()):
            await self._keeper.refresh()
        order = Order(self.reconciler.fencing, action, load.model, load.version, role)
        # Nothing may come between this check and the sending.
        if not self.reconciler.may_send(self._clock()):
            self.counters.withheld += 1
            raise NotReadyError("The right to order could not be confirmed.")
        self.counters.orders += 1
        try:
            async with asyncio.timeout(self._options.max_order_duration_s):
                await self._engine.order(order)
        except EngineRefusedError as error:
            if error.kind_name == STALE_FENCING:
                self.reconciler.mark_replaced()
            self._failed(error)
        except (SorrelhoistError, TimeoutError) as error:
            self._failed(error)
        else:
            self.reconciler.order_done(self._clock())

    def _failed(self, error: Exception) -> None:
        self.counters.failures += 1
        known = error if isinstance(error, SorrelhoistError) else None
        fault = known or PlatformError("The order was not answered in time.")
        self.reconciler.order_failed(fault, self._clock())
        self._state = fault.message
