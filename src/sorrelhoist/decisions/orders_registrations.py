"""Registrations of agents, which determine whose orders an endpoint accepts.

An agent appends a registration to the log when it starts; the offset of the record is
its fencing number. A later registration for the same endpoint replaces it.
"""

import json
from typing import Any

import attrs

MAX_NAME_CHARS = 256
MAX_RECORD_CHARS = 2048


@attrs.frozen
class Registration:
    """Record of an agent that takes over an endpoint.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    node_id, boot_id : str
        Identify the agent's process.
    """

    endpoint: str
    node_id: str
    boot_id: str


def encode_registration(registration: Registration) -> str:
    """Encode a registration as compact JSON text.

    Examples
    --------
    >>> encode_registration(Registration("praha-a-1", "n1", "b1"))
    '{"t":"registration","endpoint":"praha-a-1","by":["n1","b1"]}'
    """
    fields = {
        "t": "registration",
        "endpoint": registration.endpoint,
        "by": [registration.node_id, registration.boot_id],
    }
    return json.dumps(fields, separators=(",", ":"))


def decode_registration(text: str) -> Registration | None:
    """Decode a registration, or return None if this release can't decode it."""
    if len(text) > MAX_RECORD_CHARS:
        return None
    try:
        fields = json.loads(text)
        if fields["t"] != "registration":
            return None
        node_id, boot_id = fields["by"]
        return Registration(_name(fields["endpoint"]), _name(node_id), _name(boot_id))
    except (ValueError, TypeError, KeyError, RecursionError):
        return None


def _name(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_NAME_CHARS:
        raise ValueError("not a string, or too long")
    return value
