"""A gateway process: signals, exchange with its peers, and the order of its start."""

import asyncio
import logging
import signal
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import ExitStack, asynccontextmanager
from typing import Any

import attrs

from .imports import import_gradually
from .peer_exchange import PeerExchange, running
from .ports import Addresses, Dialect
from .resource_watch import watch_resources
from .sockets import Sockets
from .state import GatewayState

logger = logging.getLogger(__name__)

EXIT_MARGIN_S = 0.7
"""Part of the grace period that is reserved for the exit of the process itself."""

SERVICE_MODULES = (
    "h11",
    "tornado.httpserver",
    "sorrelhoist.gateway.upstream",
    "sorrelhoist.gateway.reservations",
    "sorrelhoist.gateway.dispatch",
    "sorrelhoist.gateway.attempt",
    "sorrelhoist.gateway.exchange",
    "sorrelhoist.gateway.server",
    "sorrelhoist.gateway.service",
)
"""Modules that are needed once callers are served, each after those that it imports."""


@attrs.frozen(kw_only=True)
class Gateway:
    """One gateway process, with its state, dialect and addresses.

    Parameters
    ----------
    state : GatewayState
    dialect : Dialect
    addresses : Addresses
    grace_s : float
        Time from the stop signal until the process is killed.
    boot_ms : int
        Start time of the process, Unix milliseconds.
    follow : callable
        Keeps the state up to date until cancelled.
    reload : callable
        Reloads the settings.
    sockets : mapping of str to socket
        Listening sockets that are open already; the others are opened.
    """

    state: GatewayState
    dialect: Dialect
    addresses: Addresses
    grace_s: float
    boot_ms: int
    follow: Callable[[PeerExchange], Coroutine[Any, Any, None]]
    reload: Callable[[], None]
    sockets: Sockets = attrs.field(factory=dict)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain the running requests.

        The configuration is read while the modules that serve callers are imported: a
        small host needs tenths of a second for both.
        """
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        async with self._exchanging() as exchange:
            with ExitStack() as tasks:
                following = tasks.enter_context(running(self.follow(exchange)))
                for work in (exchange, exchange.freshness, exchange.permits):
                    tasks.enter_context(running(work.run()))
                await import_gradually(SERVICE_MODULES)
                await self._serve(exchange, stop, following)

    async def _serve(
        self, exchange: PeerExchange, stop: asyncio.Event, following: asyncio.Task
    ) -> None:
        from .service import serving

        loop = asyncio.get_running_loop()
        with serving(self.state, self.dialect, self.addresses, self.sockets) as service:
            logger.info(
                "started", extra={"event": "start", "addresses": str(self.addresses)}
            )
            front = service.front
            exchange.permits.on_granted = front.parts.dispatcher.retry_queued
            with (
                running(front.parts.memory.run()),
                running(watch_resources(self.state, lambda: front.connections)),
                running(service.metrics_loader.run()),
            ):
                stopped = asyncio.ensure_future(stop.wait())
                await asyncio.wait({stopped, following}, return_when="FIRST_COMPLETED")
                if following.done():
                    following.result()
                stop_at_s = loop.time() + self.grace_s - EXIT_MARGIN_S
                count = len(front.running)
                logger.info("stopping", extra={"event": "stop", "running": count})
                self.state.stopping_s = loop.time()
                await service.drain(stop_at_s)
        count = len(front.running)
        logger.info("stopped", extra={"event": "stopped", "running": count})

    @asynccontextmanager
    async def _exchanging(self) -> AsyncIterator[PeerExchange]:
        """Receive messages of other gateways until the context exits."""
        exchange = PeerExchange(self.state, self.boot_ms)
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: exchange, local_addr=(self.addresses.host, self.addresses.peer_port)
        )
        try:
            yield exchange
        finally:
            transport.close()
