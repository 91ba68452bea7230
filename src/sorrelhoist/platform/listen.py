"""Sockets of a gateway, opened before its settings are checked."""

import os
import tomllib
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from ..gateway.sockets import Sockets, listening

PATH_VARIABLE = "SORRELHOIST_SETTINGS"
"""Environment variable with the path of the settings file."""


def settings_path(path: Path | None) -> Path:
    """Return the path of the settings file: the given one, or the environment's."""
    return path or Path(os.environ.get(PATH_VARIABLE, ""))


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
def listening_early(path: Path | None = None) -> Iterator[Sockets]:
    """Listen on the addresses in the settings file, until the context exits.

    Nothing is opened if the file or an address can't be used: the check of the settings
    and the start of the servers, which come later, report that.
    """
    try:
        fields = tomllib.loads(settings_path(path).read_text())
        sockets = listening(*decode_addresses(fields))
    except (OSError, ValueError, AttributeError):
        sockets = listening()
    with sockets as opened:
        yield opened
