"""Sockets of a gateway, opened before its settings are checked."""

import os
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from ..gateway.sockets import Sockets, listening
from .decode_errors import DECODE_ERRORS

PATH_VARIABLE = "SORRELHOIST_SETTINGS"
"""Environment variable with the path of the settings file."""

MAX_PORT = 65_535


def settings_path(path: Path | None) -> Path:
    """Return the path of the settings file: the given one, or the environment's."""
    return path or Path(os.environ.get(PATH_VARIABLE, ""))


def decode_addresses(fields: dict) -> tuple[str, str]:
    """Return the addresses for callers and for readiness probes.

    Returns
    -------
    tuple of str
        ``IP:PORT``; empty where the role serves no callers.

    Raises
    ------
    ValueError
        If one is no such address.
    """
    listen = fields.get("listen", {})
    if not isinstance(listen, dict):
        raise ValueError(f"listen must be a table, not {listen!r}")
    return _decode_address(listen, "front"), _decode_address(listen, "ready")


def _decode_address(listen: dict, name: str) -> str:
    address = listen.get(name, "")
    if address == "":
        return ""
    host, _, port = str(address).rpartition(":")
    is_port = port.isascii() and port.isdigit() and int(port) <= MAX_PORT
    if not (isinstance(address, str) and host and is_port):
        raise ValueError(f"listen.{name} must be IP:PORT, not {address!r}")
    return address


@contextmanager
def listening_early(path: Path | None = None) -> Iterator[Sockets]:
    """Listen on the addresses in the settings file, until the context exits.

    Nothing is opened if the file or an address can't be used: the check of the settings
    and the start of the servers, which come later, report that.
    """
    try:
        fields = tomllib.loads(settings_path(path).read_text())
        sockets = listening(*decode_addresses(fields))
    except (OSError, *DECODE_ERRORS):
        sockets = listening()
    with sockets as opened:
        yield opened
