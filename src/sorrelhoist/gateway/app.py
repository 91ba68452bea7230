"""A gateway process: its servers, its loop and its graceful stop."""

import asyncio
import json
import logging
import signal
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from ..decisions.routes import CallerLimits
from .dispatch import Dispatcher
from .load_exchange import LoadExchange, running
from .ports import Dialect
from .reservations import Reserver
from .server import Front, Probe, listen, readiness
from .state import GatewayState

logger = logging.getLogger(__name__)

ROTATION_S = 2.5
"""Time in which the balancer notices that the process isn't ready: two questions,
a second apart, and some slack."""

POLL_INTERVAL_S = 0.05

DUMP_PATH = "/dump"

_DEFAULT_LIMITS = CallerLimits()


@attrs.frozen(kw_only=True)
class Addresses:
    """Where a gateway listens.

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


async def run_gateway(
    state: GatewayState,
    dialect: Dialect,
    addresses: Addresses,
    grace_s: float,
    boot_ms: int,
    follow: Callable[[LoadExchange], Coroutine[Any, Any, None]],
    metrics_text: Callable[[], str],
) -> None:
    """Serve until a signal asks to stop, and finish what is running.

    Parameters
    ----------
    state : GatewayState
    dialect : Dialect
    addresses : Addresses
    grace_s : float
        From the signal to the kill.
    boot_ms : int
        Start of the process, Unix milliseconds.
    follow : callable
        Feeds the state until cancelled.
    metrics_text : callable
        Returns the metrics for a scraper.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _note_reload)
    dispatcher = Dispatcher(state)
    reserver = Reserver(dialect)
    front = Front(state, dispatcher, reserver, dialect)
    limits = state.table.limits if state.table else _DEFAULT_LIMITS
    exchange = LoadExchange(state, boot_ms)
    transport, _ = await loop.create_datagram_endpoint(
        lambda: exchange, local_addr=(addresses.host, addresses.peer_port)
    )
    probe = Probe(_operator_answers(state, dispatcher, metrics_text))
    servers = [
        listen(front, addresses.front, limits),
        listen(Probe(readiness(state)), addresses.ready, limits),
        listen(probe, f"{addresses.host}:{addresses.metrics_port}", limits),
    ]
    logger.info("started", extra={"event": "start", "addresses": str(addresses)})
    with running(follow(exchange)) as following, running(exchange.run()):
        stopped = asyncio.ensure_future(stop.wait())
        await asyncio.wait({stopped, following}, return_when="FIRST_COMPLETED")
        if following.done():
            following.result()
        stop_at_s = loop.time() + grace_s - 1.0
        logger.info("stopping", extra={"event": "stop", "running": len(front.running)})
        state.is_stopping = True
        await _drain(front, stop_at_s)
    for server in servers:
        server.stop()
    transport.close()
    logger.info("stopped", extra={"event": "stopped", "running": len(front.running)})


async def _drain(front: Front, stop_at_s: float) -> None:
    loop = asyncio.get_running_loop()
    quiet_at_s = loop.time() + ROTATION_S
    while loop.time() < stop_at_s:
        is_idle = not front.running and front.reserver.is_idle
        if is_idle and loop.time() >= quiet_at_s:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


def _note_reload() -> None:
    logger.info("settings unchanged", extra={"event": "reload"})


def _operator_answers(
    state: GatewayState, dispatcher: Dispatcher, metrics_text: Callable[[], str]
) -> Callable[[str], tuple[int, str]]:
    def answer(path: str) -> tuple[int, str]:
        if path.partition("?")[0] == DUMP_PATH:
            now_s = asyncio.get_running_loop().time()
            found = state.dump(now_s) | {"dispatcher": dispatcher.dump()}
            return 200, json.dumps(found, default=str)
        return 200, metrics_text()

    return answer
