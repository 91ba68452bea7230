"""JSON lines for logs."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(level: str, node_id: str, role: str) -> None:
    """Write all logs of this process to standard error as JSON lines.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    node_id, role : str
        Added to each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            _FORMAT,
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"node_id": node_id, "role": role},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("tornado.access").setLevel(logging.WARNING)
