"""Samples the resources of the process, and withdraws it while it is short of them."""

import asyncio
import contextlib
import fcntl
import logging
import struct
import termios
from collections.abc import Callable, Iterable
from typing import Any

from ..decisions.overload.gateway_health import PERCENT, ResourceSample
from ..decisions.overload.parts import OverloadPart
from .state import GatewayState

logger = logging.getLogger(__name__)

SAMPLE_INTERVAL_S = 0.1


def unsent_bytes(connections: Iterable[Any]) -> tuple[int, ...]:
    """Return the bytes in the kernel's send queue of each connection of a caller."""
    found = []
    for connection in connections:
        stream = getattr(connection, "stream", None)
        if stream is None or stream.closed():
            continue
        with contextlib.suppress(OSError):
            answer = fcntl.ioctl(stream.fileno(), termios.TIOCOUTQ, bytes(4))
            found.append(struct.unpack("i", answer)[0])
    return tuple(found)


def update_health(state: GatewayState, sample: ResourceSample, now_s: float) -> None:
    """Record a sample, and decide whether the gateway is withdrawn.

    A gateway stays withdrawn only while it is one of those with the least headroom.
    """
    state.health.observe(sample, now_s)
    percent = round(state.health.headroom * PERCENT)
    is_withdrawn = state.health.is_short and state.fleet_headroom.may_withdraw(
        state.node_id, percent, now_s
    )
    if is_withdrawn != state.is_withdrawn:
        scarcest = state.health.scarcest
        logger.warning(
            "short of resources" if is_withdrawn else "resources suffice",
            extra={
                "event": "shortage",
                "outcome": "not ready" if is_withdrawn else "ready",
                "resource": scarcest.value if scarcest else None,
                "headroom_percent": percent,
                "loop_delay_s": round(sample.loop_delay_s, 3),
                "unsent_bytes": sum(sample.unsent_bytes),
                "memory_headroom": sample.memory_headroom,
            },
        )
    state.is_withdrawn = is_withdrawn


async def watch_resources(
    state: GatewayState, connections: Callable[[], Iterable[Any]]
) -> None:
    """Sample until cancelled, where gateways may withdraw."""
    if OverloadPart.WITHDRAWAL not in state.overload_parts:
        return
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + SAMPLE_INTERVAL_S
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        now_s = loop.time()
        sample = ResourceSample(
            loop_delay_s=max(0.0, now_s - due_s),
            unsent_bytes=unsent_bytes(connections()),
            link_bytes_per_s=state.limits.link_bytes_per_s,
            memory_headroom=state.memory.headroom,
        )
        update_health(state, sample, now_s)
