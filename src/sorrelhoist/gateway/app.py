"""A gateway process: HTTP servers, peer exchange and graceful shutdown."""

import asyncio
import json
import logging
import socket
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import AbstractContextManager, asynccontextmanager, contextmanager
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
from .port_wait import PortPurpose, open_datagram_socket, open_when_free
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

CALLERS_PORT = PortPurpose("callers", "callers are not served until then", retry_s=0.1)
READY_PORT = PortPurpose("readiness", "the gateway gets no callers", retry_s=0.1)
METRICS_PORT = PortPurpose("metrics", "callers are served without", retry_s=5.0)
PEERS_PORT = PortPurpose("other gateways", "callers are served without", retry_s=2.0)

DUMP_PATH = "/dump"


@attrs.frozen(kw_only=True)
class Addresses:
    """Listen addresses of a gateway.

    Parameters
    ----------
    host : str
    front, ready : str
        ``IP:PORT``.
    peer_port, peer_port_count : int
        The first of the ports for messages of other gateways, and their number; the
        first free one is used.
    metrics_port : int
    """

    host: str
    front: str
    ready: str
    peer_port: int
    metrics_port: int
    peer_port_count: int = 1

    @property
    def peer_ports(self) -> range:
        """Ports for messages of other gateways."""
        return range(self.peer_port, self.peer_port + self.peer_port_count)


@attrs.define(kw_only=True, eq=False)
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
                with self._opening(front, servers) as callers_served:
                    # Ports that are free are opened before a stop is looked at.
                    await asyncio.sleep(0)
                    await stop.wait()
                stopped_s = self.signals.stop_s or loop.time()
                planned = self.state.begin_stop(stopped_s, self.grace_s)
                planned.due(stopped_s, loop.time())
                logger.info(
                    "stopping",
                    extra={
                        "event": "stop",
                        "running": len(front.running),
                        "late_ms": round(planned.late_s * 1000),
                    },
                )
                if callers_served.is_set():
                    await drain(front, servers, planned)
        count = len(front.running)
        logger.info(
            "stopped",
            extra={
                "event": "stopped",
                "running": count,
                "refused": planned.refused,
                "cut": planned.cut,
                "late_ms": round(planned.late_s * 1000),
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
                try:
                    self.reload()
                except Exception:
                    logger.exception("reload failed", extra={"event": "reload"})
        if self.signals.stop_s is not None:
            stop.set()

    @asynccontextmanager
    async def _serving(
        self,
    ) -> AsyncIterator[tuple[CallerDelegate, PeerExchange, list[HttpServer]]]:
        """Make the parts of the gateway; close what was opened when the context exits.

        The servers are added to the list as their ports are opened.
        """
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
        servers: list[HttpServer] = []
        logger.info(
            "started", extra={"event": "start", "addresses": str(self.addresses)}
        )
        try:
            with self._supervised(
                "peer port", lambda: self._exchange_messages(exchange)
            ):
                yield front, exchange, servers
        finally:
            for server in servers:
                server.stop()

    async def _exchange_messages(self, exchange: PeerExchange) -> None:
        host, ports = self.addresses.host, self.addresses.peer_ports
        if not ports:
            logger.warning(
                "no ports for other gateways in the settings; serving without their "
                "reports",
                extra={"event": "no_peer_ports"},
            )
            return
        opened = await open_when_free(
            lambda: open_datagram_socket(host, ports),
            f"{host}:{ports[0]}-{ports[-1]}",
            PEERS_PORT,
        )
        await exchange.exchange_on(opened)

    @contextmanager
    def _opening(
        self, front: CallerDelegate, servers: list[HttpServer]
    ) -> Iterator[asyncio.Event]:
        """Open each port and serve it as soon as it is free, until the context exits.

        Returns
        -------
        asyncio.Event
            Set once callers are served.
        """
        addresses = self.addresses
        callers_served = asyncio.Event()
        loader = MetricsLoader(self.state, front.parts.metrics)
        operator_pages = StatusDelegate(_operator_answers(front.parts, loader.text))
        answer_probe = readiness(self.state)
        ready = StatusDelegate(
            lambda path: (
                answer_probe(path)
                if callers_served.is_set()
                else (503, b"the port for callers is not open\n")
            )
        )
        metrics_address = f"{addresses.host}:{addresses.metrics_port}"

        async def serve_callers() -> None:
            listener = await self._socket(addresses.front, CALLERS_PORT)
            if self.state.limits.memory_bytes is not None:
                limit_send_buffer(listener)
            servers.append(serve(front, listener, caller_limits(self.state)))
            callers_served.set()

        async def serve_probes() -> None:
            if not addresses.ready:
                logger.warning(
                    "no address for probes in the settings; serving without",
                    extra={"event": "no_ready_address"},
                )
                return
            listener = await self._socket(addresses.ready, READY_PORT)
            servers.append(serve(ready, listener, CallerLimits))

        async def serve_metrics() -> None:
            listener = await self._socket(metrics_address, METRICS_PORT)
            servers.append(serve(operator_pages, listener, CallerLimits))

        with (
            self._supervised("callers' port", serve_callers),
            self._supervised("readiness port", serve_probes),
            self._supervised("metrics port", serve_metrics),
            self._supervised("metrics", loader.run),
        ):
            yield callers_served

    async def _socket(self, address: str, purpose: PortPurpose) -> socket.socket:
        opened = self.sockets.get(address)
        if opened is not None:
            return opened
        return await open_when_free(lambda: open_socket(address), address, purpose)


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
