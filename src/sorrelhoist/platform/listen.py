"""Sockets of a gateway, opened before its settings are checked.

Nothing is imported here that takes long, so that callers can connect soon after a
start.
"""

import os
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager

from ..gateway.sockets import Sockets, listening

PATH_VARIABLE = "SORRELHOIST_SETTINGS"
"""Environment variable with the path of the settings file."""


def decode_addresses(fields: dict) -> tuple[str, str]:
    """Return the addresses for callers and for readiness probes.

    Returns
    -------
    tuple of str
        ``IP:PORT``; empty where the role serves no callers.
    """
    listen = fields.get("listen", {})
    return listen.get("front", ""), listen.get("ready", "")


@contextmanager
def listening_early() -> Iterator[Sockets]:
    """Listen on the addresses in the settings file, until the context exits.

    Nothing is opened if the file or an address can't be used: the check of the settings
    and the start of the servers, which come later, report that.
    """
    try:
        with open(os.environ.get(PATH_VARIABLE, ""), "rb") as file:
            sockets = listening(*decode_addresses(tomllib.load(file)))
    except (OSError, ValueError, AttributeError):
        sockets = listening()
    with sockets as opened:
        yield opened
