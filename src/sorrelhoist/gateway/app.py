"""A gateway process: HTTP servers, peer exchange and graceful shutdown."""

import asyncio
import json
import logging
import socket
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import AbstractContextManager, asynccontextmanager
from typing import Any

import attrs

from ..decisions.routes import CallerLimits
from ..node.signal_inbox import RELOAD_SIGNAL, SignalInbox
from .dispatch import Dispatcher
from .drain import drain
from .http_server import HttpServer, serve
from .memory import MemoryKeeper
from .metrics import GatewayMetrics, MetricsLoader
from .parts import GatewayParts
from .peer_exchange import PeerExchange
from .ports import Dialect
from .reservations import Reserver
from .resource_watch import watch_resources
from .server import (
    CallerDelegate,
    StatusDelegate,
    caller_limits,
    limit_send_buffer,
    readiness,
)
from .sockets import Sockets, open_socket
from .state import GatewayState
from .supervision import supervised

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
    signals : SignalInbox
    """

    state: GatewayState
    dialect: Dialect
    addresses: Addresses
    grace_s: float
    boot_ms: int
    follow: Callable[[PeerExchange], Coroutine[Any, Any, None]]
    reload: Callable[[], None]
    sockets: Sockets = attrs.field(factory=dict)
    signals: SignalInbox = attrs.field(factory=SignalInbox)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain the running requests."""
        loop = asyncio.get_running_loop()
        stop = asyncio.Event()
        async with self._serving() as (front, exchange, servers):
            with (
                self.signals.watched(lambda: self._act_on_signals(stop)),
                self._supervised("follower", lambda: self.follow(exchange)),
                self._supervised("reports", exchange.run),
                self._supervised("freshness", exchange.freshness.run),
                self._supervised("permits", exchange.permits.run),
                self._supervised("memory", front.parts.memory.run),
                self._supervised(
                    "resources",
                    lambda: watch_resources(self.state, lambda: front.connections),
                ),
            ):
                await stop.wait()
                stopped_s = self.signals.stop_s or loop.time()
                count = len(front.running)
                logger.info("stopping", extra={"event": "stop", "running": count})
                planned = self.state.begin_stop(stopped_s, self.grace_s)
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

    def _supervised(
        self, name: str, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> AbstractContextManager[asyncio.Task]:
        return supervised(name, run, self.state.task_failures)

    def _act_on_signals(self, stop: asyncio.Event) -> None:
        for number in self.signals.take():
            logger.info(
                "signal received", extra={"event": "signal", "signal": number.name}
            )
            if number == RELOAD_SIGNAL and not stop.is_set():
                self.reload()
        if self.signals.stop_s is not None:
            stop.set()

    @asynccontextmanager
    async def _serving(
        self,
    ) -> AsyncIterator[tuple[CallerDelegate, PeerExchange, list[HttpServer]]]:
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
            with self._supervised("metrics", loader.run):
                yield front, exchange, servers
        finally:
            for server in servers:
                server.stop()
            transport.close()

    def _listen(
        self, front: CallerDelegate, metrics_text: Callable[[], bytes]
    ) -> list[HttpServer]:
        addresses = self.addresses
        operator_pages = StatusDelegate(_operator_answers(front.parts, metrics_text))
        metrics_address = f"{addresses.host}:{addresses.metrics_port}"
        front_socket = self._socket(addresses.front)
        if self.state.limits.memory_bytes is not None:
            limit_send_buffer(front_socket)
        ready = StatusDelegate(readiness(self.state))
        return [
            serve(front, front_socket, caller_limits(self.state)),
            serve(ready, self._socket(addresses.ready), CallerLimits),
            serve(operator_pages, self._socket(metrics_address), CallerLimits),
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
