"""Listening sockets of a gateway.

The load pattern is the loss of all gateways at once. Callers connect again within
tenths of a second. Those in the accept queue are served once a gateway is up; those
that are refused by all have no retries left by then. This module imports no HTTP
library, so that the sockets are open while the rest of the gateway is imported.
"""

import socket
from collections.abc import Iterator, Mapping
from contextlib import ExitStack, contextmanager, suppress

CONNECTION_BACKLOG = 1024
"""Length of the accept queue; an overflow delays callers by seconds."""

Sockets = Mapping[str, socket.socket]
"""Listening sockets by ``IP:PORT``."""


def open_socket(address: str) -> socket.socket:
    """Return a non-blocking socket that listens on ``IP:PORT``.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)), backlog=CONNECTION_BACKLOG)
    listener.setblocking(False)
    return listener


@contextmanager
def listening(*addresses: str) -> Iterator[Sockets]:
    """Listen on addresses until the context exits.

    Parameters
    ----------
    *addresses : str
        ``IP:PORT``; those that are empty or can't be bound are left out.
    """
    with ExitStack() as stack:
        sockets = {}
        for address in filter(None, addresses):
            with suppress(OSError):
                sockets[address] = stack.enter_context(open_socket(address))
        yield sockets
