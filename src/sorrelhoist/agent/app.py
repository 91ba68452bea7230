"""Agent process: runs beside one endpoint and controls admission to it."""

import asyncio
import logging
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager

from tornado.web import Application

from ..clients.engine import EngineClient
from ..clients.fair_stream import FairHTTPServer
from ..clients.log import LogClient
from ..clients.plain_service import PlainServiceClient
from ..clients.weights import WeightStoreClient
from ..decisions.claims_records import Claimant
from ..decisions.configuration_set import Configuration
from ..decisions.ledger import GrantLedger
from ..decisions.orders import OrderOptions
from ..decisions.orders_registrations import Registration
from ..decisions.suspicion import SuspicionTable
from ..exceptions import NotReadyError, PeerError, SorrelhoistError
from ..messages.gen import ttypes
from ..node.dump import dump_route
from ..node.gossip import GossipHooks
from ..node.health import health_routes
from ..node.metrics import AgentMetrics
from ..node.peers import Responder
from ..node.process import NodeProcess
from ..node.signal_inbox import SignalInbox
from ..node.signals import wait_for_stop_signal
from ..settings import Settings
from .claims import ClaimedCalls, ServiceOptions
from .engine import EngineGuard
from .limits import endpoint_limits
from .order_hooks import EngineOrderHooks
from .orders import EndpointOrders, OrderHooks
from .service import ServiceGuard

logger = logging.getLogger(__name__)

CLOSED_RETRY_AFTER_S = 1.0
STALE_CHECK_INTERVAL_S = 0.5
REGISTRATIONS_TOPIC = "registrations"

Guard = EngineGuard | ServiceGuard


class Agent:
    """Agent process of one endpoint, with its guard, orders and peers.

    Parameters
    ----------
    settings : Settings
        Settings of an agent.
    clock : callable, optional
        Monotonic time in seconds.
    """

    def __init__(
        self, settings: Settings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        assert settings.endpoint is not None
        self.settings = settings
        self.endpoint = settings.endpoint
        self.clock = clock
        self.suspicions = SuspicionTable()
        hooks = GossipHooks(
            suspicions=lambda: self.suspicions.for_gossip(self.clock()),
            on_suspicions=lambda received: self.suspicions.merge(
                received, self.clock()
            ),
        )
        self.process = NodeProcess(settings, hooks, clock)
        self.metrics = AgentMetrics.create(self.process.metrics.meter)
        self.guard: Guard | None = None
        self.orders: EndpointOrders | None = None
        self._order_hooks: EngineOrderHooks | None = None
        self.is_leaving = False
        self._notice_s = 0.0
        self._hand_back_timer: asyncio.TimerHandle | None = None

    @asynccontextmanager
    async def running(self) -> AsyncIterator["Agent"]:
        """Run the agent for the duration of the context."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.process.running(self.handle))
            http = FairHTTPServer(self._application())
            http.listen(self.settings.http_port, address=self.settings.address)
            stack.callback(http.stop)
            opening = asyncio.create_task(self._open_guard(stack))
            stack.callback(opening.cancel)
            yield self

    async def _open_guard(self, stack: AsyncExitStack) -> None:
        """Create the guard once the configuration names the endpoint.

        The configuration determines which log holds the claims of the endpoint's
        service and whether orders are fenced; an earlier guard would have to guess.
        """
        while not self._is_configured():
            await asyncio.sleep(STALE_CHECK_INTERVAL_S / 10)
        if self.endpoint.type == "engine":
            await self._guard_engine(stack)
        else:
            await self._guard_service(stack)

    async def _guard_engine(self, stack: AsyncExitStack) -> None:
        replica = self.process.replica
        ledger = GrantLedger(
            endpoint_limits(replica.configuration, self.settings),
            f"{self.settings.node_id}.{self.process.boot_id[:8]}",
            self.clock(),
            rng=self.process.rng,
        )
        guard = EngineGuard(
            endpoint=self.endpoint.name,
            client=EngineClient(self.endpoint.url),
            ledger=ledger,
            metrics=self.metrics,
            clock=self.clock,
            is_suspected=lambda fingerprint: self.suspicions.is_suspected(
                fingerprint, self.clock()
            ),
            on_death=self._endpoint_died,
            on_completed=lambda fingerprint: self.suspicions.completed(
                fingerprint, self.clock()
            ),
        )
        await guard.monitor.poll()
        replica.add_listener(lambda configuration: self._apply_configuration(guard))
        orders = self._make_orders(guard)
        for work in (guard.run(), self._poll_process_state(ledger), orders.run()):
            stack.callback(asyncio.create_task(work).cancel)
        self.guard = guard

    def _make_orders(self, guard: EngineGuard) -> EndpointOrders:
        hooks = EngineOrderHooks(self.endpoint.name, self.process, guard, self.clock)
        endpoint = self.process.replica.configuration.endpoints.get(self.endpoint.name)
        orders = EndpointOrders(
            Registration(
                self.endpoint.name, self.settings.node_id, self.process.boot_id
            ),
            guard.client,
            WeightStoreClient(self.settings.platform_url),
            LogClient(self.settings.platform_url, REGISTRATIONS_TOPIC),
            OrderOptions(fences=endpoint is not None and endpoint.fencing),
            OrderHooks(hooks.desired, hooks.may_change_model, hooks.drained),
            clock=self.clock,
            rng=self.process.rng,
            is_gone=lambda other: self.process.is_gone(other.node_id, other.boot_id),
        )
        guard.monitor.on_loaded = hooks.announce
        self._order_hooks = hooks
        self.orders = orders
        return orders

    def _apply_configuration(self, guard: EngineGuard) -> None:
        configuration = self.process.replica.configuration
        guard.ledger.set_limits(endpoint_limits(configuration, self.settings))
        is_in = self._is_domain_in(configuration)
        guard.ledger.set_domain_in(is_in)
        domain = configuration.failure_domains.get(self.settings.failure_domain)
        notice_s = domain.notice_s if domain is not None and not is_in else 0.0
        self._schedule_hand_back(guard, notice_s)

    def _schedule_hand_back(self, guard: EngineGuard, notice_s: float) -> None:
        """Schedule handing back the running streams at the end of the notice period.

        A notice of 0 s cancels the schedule. The period starts at the configuration
        change that gave this notice; later ones with the same notice don't restart it.
        """
        if notice_s == self._notice_s:
            return
        self._notice_s = notice_s
        if self._hand_back_timer is not None:
            self._hand_back_timer.cancel()
            self._hand_back_timer = None
        if notice_s > 0:
            loop = asyncio.get_running_loop()
            self._hand_back_timer = loop.call_later(notice_s, guard.hand_back_runs)

    def _is_configured(self) -> bool:
        replica = self.process.replica
        return (
            replica.is_ready and self.endpoint.name in replica.configuration.endpoints
        )

    def _is_domain_in(self, configuration: Configuration) -> bool:
        named = self.endpoint.name in configuration.endpoints
        return named and configuration.is_domain_in(self.settings.failure_domain)

    def _is_endpoint_leaving(self) -> bool:
        is_changing = self._order_hooks is not None and self._order_hooks.is_changing
        is_listed = self.settings.host in self.process.leaving_hosts
        return self.is_leaving or is_changing or is_listed

    async def _poll_process_state(self, ledger: GrantLedger) -> None:
        while True:
            self._update_admission(ledger)
            await asyncio.sleep(STALE_CHECK_INTERVAL_S)

    def _update_admission(self, ledger: GrantLedger) -> None:
        """Update the ledger's leaving and stale-configuration flags."""
        now_s = self.clock()
        ledger.set_configuration_stale(self.process.replica.is_stale(now_s))
        is_leaving = self._is_endpoint_leaving()
        if is_leaving != ledger.health.is_leaving:
            ledger.set_leaving(is_leaving, now_s)

    async def _guard_service(self, stack: AsyncExitStack) -> None:
        configuration = self.process.replica.configuration
        service_name = configuration.endpoints[self.endpoint.name].service
        service = configuration.services.get(service_name)
        calls = ClaimedCalls(
            LogClient(self.settings.platform_url, f"claims.{service_name}"),
            PlainServiceClient(self.endpoint.url),
            Claimant(self.settings.node_id, self.process.boot_id),
            ServiceOptions(
                at_most_once=service is None or service.at_most_once,
                offers_lookup=service is not None and service.lookup,
            ),
            clock=self.clock,
        )
        await stack.enter_async_context(calls.running())
        self.guard = ServiceGuard(calls, self._refusal)

    def _refusal(self) -> SorrelhoistError | None:
        """Return the error that refuses new work, or None if work is accepted."""
        replica = self.process.replica
        reason = ""
        if self._is_endpoint_leaving():
            reason = "The endpoint is leaving."
        elif not self._is_domain_in(replica.configuration):
            reason = "The endpoint's failure domain is out of service."
        elif replica.is_stale(self.clock()):
            reason = "The agent can't know the configuration in force."
        if not reason:
            return None
        return NotReadyError(reason, not_run=True, retry_after_s=CLOSED_RETRY_AFTER_S)

    def _endpoint_died(self, boot_id: str, fingerprints: list[int]) -> None:
        self.suspicions.endpoint_died(
            self.endpoint.name, boot_id, fingerprints, self.clock()
        )

    async def handle(self, body: object, responder: Responder) -> None:
        """Handle a call from an entry."""
        match self.guard, body:
            case EngineGuard() as guard, ttypes.GrantRequest():
                self._update_admission(guard.ledger)
                await guard.grant(body, responder)
            case EngineGuard() as guard, ttypes.Submit():
                self._update_admission(guard.ledger)
                await guard.submit(body, responder)
            case EngineGuard() as guard, ttypes.Attach():
                await guard.attach(body, responder)
            case EngineGuard() as guard, ttypes.Renew():
                await responder.send(guard.renew(body))
            case EngineGuard() as guard, ttypes.Cancel():
                await responder.send(guard.cancel(body))
            case ServiceGuard() as guard, ttypes.ServiceCall():
                await guard.call(body, responder)
            case None, ttypes.GrantRequest() | ttypes.ServiceCall():
                await responder.send(self._not_open_denial())
            case _:
                raise PeerError(f"This agent does not answer {type(body).__name__}.")

    def _not_open_denial(self) -> ttypes.Denial:
        return ttypes.Denial(
            kind=NotReadyError.kind,
            message="The agent has not opened yet.",
            remedy=NotReadyError.default_remedy,
            not_run=True,
            retry_after_ms=int(CLOSED_RETRY_AFTER_S * 1000),
        )

    def _application(self) -> Application:
        routes = health_routes(self.process.metrics, self.problem)
        routes.append(dump_route(self.settings.operator_key_sha256, self.dump))
        return Application(routes)

    def problem(self) -> str:
        """Return why the agent accepts no new work, or an empty string."""
        if not self.process.replica.is_ready:
            return "The agent has no configuration yet."
        if self.guard is None:
            return f"No configuration has named the endpoint {self.endpoint.name} yet."
        refusal = self._refusal()
        return refusal.message if refusal else ""

    async def drain(self) -> None:
        """Stop accepting work and wait for running work up to the drain timeout."""
        self.is_leaving = True
        self.process.gossip.leave()
        if self.guard is not None:
            await self.guard.drain(self.settings.drain_timeout_s)

    def dump(self) -> dict:
        """Return the state as plain data."""
        return {
            "process": self.process.dump(),
            "endpoint": self.endpoint.name,
            "problem": self.problem(),
            "orders": None if self.orders is None else self.orders.dump(),
            "guard": None if self.guard is None else self.guard.dump(),
            "suspicions": self.suspicions.dump(self.clock()),
        }


async def run_agent(settings: Settings, signals: SignalInbox) -> None:
    """Run an agent until the process receives a stop signal."""
    agent = Agent(settings)
    async with agent.running():
        logger.info("agent started", extra={"endpoint": agent.endpoint.name})
        await wait_for_stop_signal(signals)
        logger.info("agent draining")
        await agent.drain()
    logger.info("agent stopped")
