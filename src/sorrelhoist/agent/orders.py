"""Reconciliation loop of one endpoint: orders it to load its configured model.

Only the agent sends orders to its endpoint. Each iteration starts from the endpoint's
own report; only the back-off state carries over from one iteration to the next.
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
from .orders_registration import RegistrationTracker

logger = logging.getLogger(__name__)

MS_PER_S = 1000
REGISTRATION_POLL_INTERVAL_S = 60.0
REGISTRATION_RETRY_S = 5.0
STALE_FENCING = "stale_fencing"


class OrderClient(Protocol):
    """Interface of the engine's client that the orders use."""

    async def status(self) -> EngineStatus:
        """Return the engine's status report."""
        ...

    async def order(self, order: Order) -> Ordered:
        """Send an order."""
        ...


class WeightSource(Protocol):
    """Interface of the weight store's client that the orders use."""

    async def load(self, model: str, version: str) -> Weights:
        """Wait until the store has delivered the weights."""
        ...


@attrs.frozen
class OrderHooks:
    """Callbacks into the rest of the agent.

    Parameters
    ----------
    desired : callable
        Returns the desired state of the endpoint, or None.
    may_change_model : callable
        Returns whether the endpoint may stop serving to change its model.
    drained : callable
        Returns a context manager that drains the endpoint: inside it no request is
        admitted or running. Entering it waits for the running requests.
    """

    desired: Callable[[], Desired | None]
    may_change_model: Callable[[], bool]
    drained: Callable[[], AbstractAsyncContextManager[None]]


@attrs.define
class OrderCounters:
    """Event counts since the process started."""

    orders: int = 0
    loads: int = 0
    failures: int = 0
    withheld: int = 0


class EndpointOrders:
    """Reconciles one endpoint with its desired state.

    Parameters
    ----------
    registration : Registration
        Registration of this process; the boot id must be new for each start.
    engine, weights : OrderClient, WeightSource
        Clients of the engine and of the weight store.
    log : ClaimLog
        The client of the topic ``registrations``.
    options : OrderOptions
        Fencing, lease and time limits of the orders.
    hooks : OrderHooks
        Callbacks into the rest of the agent.
    clock : callable
        Returns monotonic seconds.
    rng : random.Random
        Source of jitter.
    is_gone : callable
        Returns whether the process of a newer registration is known to have died.
    """

    def __init__(
        self,
        registration: Registration,
        engine: OrderClient,
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
        self._registration_tracker = RegistrationTracker(
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
        """Reconcile periodically until cancelled."""
        while True:
            try:
                await self._refresh_registration()
                await self.reconcile()
            except SorrelhoistError as error:
                self._state = error.message
            except Exception:
                logger.exception(
                    "Reconciliation of the endpoint failed; it is retried."
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def reconcile(self) -> None:
        """Compare the observed and the desired state once; send at most one order.

        Raises
        ------
        SorrelhoistError
            If the engine or the log does not answer.
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
                await self._registration_tracker.refresh()
            case AnnounceFencing(role):
                await self._send("set_role", Load("", ""), role)
            case Load():
                await self._load(decision)

    def dump(self) -> dict:
        """Return the state as plain data."""
        return {
            "state": self._state,
            "reconciler": self.reconciler.dump(),
            "counters": attrs.asdict(self.counters),
        }

    async def _refresh_registration(self) -> None:
        """Read the log periodically, before the records at its position expire."""
        if self._clock() < self._next_refresh_s:
            return
        retry_s = REGISTRATION_RETRY_S * self._rng.uniform(0.5, 1.5)
        self._next_refresh_s = self._clock() + retry_s
        await self._registration_tracker.refresh()
        if self.reconciler.fencing:
            self._next_refresh_s = self._clock() + REGISTRATION_POLL_INTERVAL_S

    async def _observe(self) -> Observed:
        sent_s = self._clock()
        status = await self._engine.status()
        taken_at_s = sent_s - status.report_age_ms / MS_PER_S
        return Observed(
            status.model, status.version, status.highest_fencing, taken_at_s
        )

    async def _load(self, load: Load) -> None:
        self._state = f"loading {load.model} {load.version}"
        self.counters.loads += 1
        try:
            await self._weights.load(load.model, load.version)
        except PlatformError as error:
            self._record_failure(error)
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
            await self._registration_tracker.refresh()
        order = Order(self.reconciler.fencing, action, load.model, load.version, role)
        # There must be no await between this check and the sending: the lease could
        # expire in between.
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
            self._record_failure(error)
        except (SorrelhoistError, TimeoutError) as error:
            self._record_failure(error)
        else:
            self.reconciler.order_done(self._clock())

    def _record_failure(self, error: Exception) -> None:
        self.counters.failures += 1
        known = error if isinstance(error, SorrelhoistError) else None
        fault = known or PlatformError("The order was not answered in time.")
        self.reconciler.order_failed(fault, self._clock())
        self._state = fault.message
