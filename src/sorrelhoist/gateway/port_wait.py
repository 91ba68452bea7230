"""Opening a port that another process may still hold."""

import asyncio
import logging
import math
import socket
from collections.abc import Callable, Sequence

import attrs

logger = logging.getLogger(__name__)

LOG_INTERVAL_S = 5.0
"""Interval between two log lines of a port that isn't available."""


@attrs.frozen
class PortPurpose:
    """What a port is for, and what is done while it isn't available.

    Parameters
    ----------
    name : str
    without : str
        What the process does meanwhile.
    retry_s : float
        Pause between two attempts to open it.
    """

    name: str
    without: str
    retry_s: float


async def open_when_free(
    open_port: Callable[[], socket.socket], address: str, purpose: PortPurpose
) -> socket.socket:
    """Return a socket as soon as it can be opened; the first attempt is made at once.

    Parameters
    ----------
    open_port : callable
        Raises `OSError` while the port or its address isn't available.
    address : str
        Names the port in the log.
    purpose : PortPurpose
    """
    loop = asyncio.get_running_loop()
    logged_s = -math.inf
    while True:
        try:
            opened = open_port()
        except OSError as error:
            if loop.time() - logged_s >= LOG_INTERVAL_S:
                logged_s = loop.time()
                _log_unavailable(address, purpose, error)
            await asyncio.sleep(purpose.retry_s)
            continue
        if not math.isinf(logged_s):
            logger.info(
                "port is available",
                extra={"event": "port", "purpose": purpose.name, "address": address},
            )
        return opened


def _log_unavailable(address: str, purpose: PortPurpose, error: OSError) -> None:
    logger.error(
        f"port for {purpose.name} can't be opened; {purpose.without}",
        extra={
            "event": "port_unavailable",
            "purpose": purpose.name,
            "address": address,
            "reason": str(error),
            "remedy": "End the process that holds it, or correct the settings file.",
        },
    )


def open_datagram_socket(host: str, ports: Sequence[int]) -> socket.socket:
    """Return a non-blocking datagram socket on the first free port.

    Raises
    ------
    OSError
        If none can be bound.
    """
    error = OSError(f"no port to open on {host}")
    for port in ports:
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            opened.bind((host, port))
        except OSError as refused:
            opened.close()
            error = refused
        else:
            opened.setblocking(False)
            return opened
    raise error
