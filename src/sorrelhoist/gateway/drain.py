"""Drain of a stopping gateway, until all of its connections are closed."""

import asyncio
import contextlib
from collections.abc import Sequence
from typing import Protocol

from ..decisions.planned_stop import PlannedStop
from .server import CallerDelegate

READINESS_DETECTION_S = 2.5
"""Time until the load balancer notices that the process is not ready: two readiness
probes, 1 s apart, plus slack."""

DRAIN_POLL_S = 0.05

HANDSHAKE_S = 0.1
"""Time in which connections that are being established become acceptable: some round
trips within a region. New ones are refused meanwhile, which tells callers that nothing
was read."""

QUIET_S = 0.2
"""Time without a new request, after the process stopped listening, at which a drain
ends: a request that was just sent on an accepted connection is read within it."""

CLOSE_TIMEOUT_S = 0.1
"""Longest wait for the connections to be closed, within `EXIT_MARGIN_S`."""

END_TIMEOUT_S = 0.05
"""Longest wait for requests that can be served no longer to end, and be logged."""

END_POLL_S = 0.005


class Server(Protocol):
    """An HTTP server that is drained."""

    def refuse_connections(self) -> None:
        """Let new connections be refused."""

    def refuse_unread(self) -> None:
        """Refuse the requests that were not read to their end."""

    def stop(self) -> None:
        """Stop listening."""

    async def close_all_connections(self) -> None:
        """Close all connections."""


async def drain(
    front: CallerDelegate, servers: Sequence[Server], stop: PlannedStop
) -> None:
    """Wait until all that was read is answered, then close the connections.

    Requests that still run near the end of the grace period answer their callers by
    themselves (`Exchange`). Until the connections are closed each request that is read
    is served if it fits, and refused otherwise.

    Parameters
    ----------
    front : CallerDelegate
    servers : sequence of Server
    stop : PlannedStop
    """
    loop = asyncio.get_running_loop()
    detected_at_s = stop.began_s + READINESS_DETECTION_S
    while loop.time() < stop.exit_at_s - HANDSHAKE_S:
        is_idle = front.is_idle and front.parts.reserver.is_idle
        if is_idle and loop.time() >= detected_at_s:
            break
        await _pause(servers, stop)
    for server in servers:
        server.refuse_connections()
    # A process that is late has less time until it is killed.
    left_s = max(0.0, stop.close_at_s - loop.time())
    await _sleep(min(HANDSHAKE_S, left_s / 2), stop)
    for server in servers:
        server.stop()
    await _quiet(front, servers, stop)
    # A request that is read from now on is not passed on: its connection may close
    # before the answer is written.
    stop.is_closing = True
    for server in servers:
        server.refuse_unread()
    # What was read in this pass of the loop is refused before its connection closes.
    await _requests_ended(front)
    await _close_connections(servers)
    await _requests_ended(front)


async def _pause(servers: Sequence[Server], stop: PlannedStop) -> None:
    """Wait until the next poll; refuse what has come too slowly to be served."""
    loop = asyncio.get_running_loop()
    await _sleep(DRAIN_POLL_S, stop)
    if loop.time() >= stop.cut_at_s:
        for server in servers:
            server.refuse_unread()


async def _sleep(wait_s: float, stop: PlannedStop) -> None:
    """Wait, and record by how much the event loop was late."""
    loop = asyncio.get_running_loop()
    due_s = loop.time() + wait_s
    await asyncio.sleep(wait_s)
    stop.due(due_s, loop.time())


async def _quiet(
    front: CallerDelegate, servers: Sequence[Server], stop: PlannedStop
) -> None:
    """Wait until no request comes any more on the connections that were accepted."""
    loop = asyncio.get_running_loop()
    quiet_from_s = loop.time()
    while loop.time() < stop.close_at_s:
        is_quiet = loop.time() - max(quiet_from_s, front.received_s) >= QUIET_S
        if is_quiet and front.is_idle:
            return
        await _pause(servers, stop)


async def _close_connections(servers: Sequence[Server]) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            for server in servers:
                await server.close_all_connections()


async def _requests_ended(front: CallerDelegate) -> None:
    """Wait until requests whose work was ended have said so."""
    end_s = asyncio.get_running_loop().time() + END_TIMEOUT_S
    while front.running and asyncio.get_running_loop().time() < end_s:
        await asyncio.sleep(END_POLL_S)
