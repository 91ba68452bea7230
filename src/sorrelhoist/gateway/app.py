"""A gateway process: HTTP servers, peer exchange and graceful shutdown."""

import asyncio
import json
import logging
import signal
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

import attrs
from tornado.httpserver import HTTPServer

from ..decisions.routes import CallerLimits
from .dispatch import Dispatcher
from .drain import drain
from .memory import MemoryKeeper
from .metrics import GatewayMetrics, MetricsLoader
from .parts import GatewayParts
from .peer_exchange import PeerExchange, running
from .ports import Dialect
from .reservations import Reserver
from .resource_watch import watch_resources
from .server import (
    CallerDelegate,
    StatusDelegate,
    limit_send_buffer,
    readiness,
    serve,
)
from .sockets import Sockets, open_socket
from .state import GatewayState

logger = logging.getLogger(__name__)

DUMP_PATH = "/dump"


@attrs.frozen(kw_only=True)
class Addresses:
    """Listen addresses of a gateway.

    Parameters
    ----------
    host : str
    front, ready : str
        ``IP:PORT``.
    peer_port, metrics_port : int
    """

    host: str
    front: str
    ready: str
    peer_port: int
    metrics_port: int


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
        """Serve until SIGTERM or SIGINT, then drain the running requests."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        async with self._serving() as (front, exchange, servers):
            with (
                running(self.follow(exchange)) as following,
                running(exchange.run()),
                running(exchange.freshness.run()),
                running(exchange.permits.run()),
                running(front.parts.memory.run()),
                running(watch_resources(self.state, lambda: front.connections)),
            ):
                stopped = asyncio.ensure_future(stop.wait())
                await asyncio.wait({stopped, following}, return_when="FIRST_COMPLETED")
                if following.done():
                    following.result()
                count = len(front.running)
                logger.info("stopping", extra={"event": "stop", "running": count})
                planned = self.state.begin_stop(loop.time(), self.grace_s)
                await drain(front, servers, planned)
        count = len(front.running)
        logger.info(
            "stopped",
            extra={
                "event": "stopped",
                "running": count,
                "refused": planned.refused,
                "cut": planned.cut,
            },
        )

    @asynccontextmanager
    async def _serving(
        self,
    ) -> AsyncIterator[tuple[CallerDelegate, PeerExchange, list[HTTPServer]]]:
        """Listen on all addresses until the context exits."""
        loop = asyncio.get_running_loop()
        metrics = GatewayMetrics()
        parts = GatewayParts(
            state=self.state,
            dispatcher=Dispatcher(self.state),
            reserver=Reserver(self.dialect),
            dialect=self.dialect,
            metrics=metrics,
            memory=MemoryKeeper(self.state.memory, metrics),
        )
        self.state.startup.begin(loop.time(), self.state.limits.memory_bytes)
        front = CallerDelegate(parts)
        exchange = PeerExchange(self.state, self.boot_ms)
        exchange.permits.on_granted = parts.dispatcher.retry_queued
        transport, _ = await loop.create_datagram_endpoint(
            lambda: exchange, local_addr=(self.addresses.host, self.addresses.peer_port)
        )
        loader = MetricsLoader(self.state, metrics)
        servers = self._listen(front, loader.text)
        logger.info(
            "started", extra={"event": "start", "addresses": str(self.addresses)}
        )
        try:
            with running(loader.run()):
                yield front, exchange, servers
        finally:
            for server in servers:
                server.stop()
            transport.close()

    def _listen(
        self, front: CallerDelegate, metrics_text: Callable[[], bytes]
    ) -> list[HTTPServer]:
        addresses, limits = self.addresses, CallerLimits()
        operator_pages = StatusDelegate(_operator_answers(front.parts, metrics_text))
        metrics_address = f"{addresses.host}:{addresses.metrics_port}"
        front_socket = self._socket(addresses.front)
        if self.state.limits.memory_bytes is not None:
            limit_send_buffer(front_socket)
        ready = StatusDelegate(readiness(self.state))
        return [
            serve(front, front_socket, limits),
            serve(ready, self._socket(addresses.ready), limits),
            serve(operator_pages, self._socket(metrics_address), limits),
        ]

    def _socket(self, address: str) -> socket.socket:
        return self.sockets.get(address) or open_socket(address)


def _operator_answers(
    parts: GatewayParts, metrics_text: Callable[[], bytes]
) -> Callable[[str], tuple[int, bytes]]:
    def answer(path: str) -> tuple[int, bytes]:
        if path.partition("?")[0] == DUMP_PATH:
            now_s = asyncio.get_running_loop().time()
            state_dump = parts.state.dump(now_s) | {
                "dispatcher": parts.dispatcher.dump()
            }
            return 200, json.dumps(state_dump, default=str).encode()
        return 200, metrics_text()

    return answer
