"""Decodes the platform's records of the configuration, endpoints and gateways.

Others write to the store too: whatever a value holds, it is decoded or malformed.
"""

import ipaddress
import json
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from ..decisions.directory import Endpoint
from ..decisions.routes import (
    CallerLimits,
    EngineCosts,
    Repeat,
    Route,
    RouteTable,
    ServiceConfig,
    Target,
    Workspace,
)
from ..gateway.peer_exchange import PeerAddress
from .decode_errors import DECODE_ERRORS

CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"
DEFAULT_CAPACITY = 8
"""Slots of an endpoint that doesn't state its capacity; the smallest in use."""

MAX_CAPACITY = 1_000_000
MAX_TIME_MS = 86_400_000.0
"""Longest time in a record: a day."""

MAX_WHOLE_NUMBER = 2**53
"""Largest whole number that all writers of JSON represent exactly."""

MAX_PORT = 65_535


class MalformedRecordError(ValueError):
    """A record is corrupt, or another writer used a different format."""


@contextmanager
def _decoding(what: str) -> Iterator[None]:
    """Raise `MalformedRecordError` for whatever an odd value leads to."""
    try:
        yield
    except DECODE_ERRORS as error:
        raise MalformedRecordError(f"{what}: {error!r:.200}") from error


def _number(value: Any, least: float, most: float) -> float:
    """Check that a value is a number in a range, and return it."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not least <= value <= most:
        raise ValueError(f"not a number from {least} to {most}")
    return value


def _whole_number(value: Any, least: int, most: int) -> int:
    if _number(value, least, most) != int(value):
        raise ValueError("not a whole number")
    return int(value)


def _seconds(value_ms: Any) -> float:
    return _number(value_ms, 0.0, MAX_TIME_MS) / 1000


def _text(value: Any) -> str:
    """Check that a value is text that can be sent to others, and return it."""
    if not isinstance(value, str):
        raise TypeError(f"{type(value).__name__} in place of text")
    value.encode()
    return value


def _ip(value: Any) -> str:
    return str(ipaddress.IPv4Address(_text(value)))


def decode_table(value: bytes) -> RouteTable:
    """Decode the configuration that operators write: routes, services, API keys.

    Raises
    ------
    MalformedRecordError
        If a field is missing or has the wrong type.
    """
    with _decoding("configuration"):
        fields = json.loads(value, object_hook=_without_nulls)
        routes = [_route(route) for route in fields["routes"]]
        by_prefix: dict[tuple[str, str], Route] = {}
        for route in routes:
            by_prefix.setdefault((route.host, route.path_prefix), route)
        return RouteTable(
            version=_whole_number(fields["version"], 0, MAX_WHOLE_NUMBER),
            routes=by_prefix,
            services={
                service["name"]: _service(service) for service in fields["backends"]
            },
            workspaces=_workspaces(fields.get("tenants")),
            limits=_limits(fields.get("limits") or {}),
        )


def _without_nulls(fields: dict) -> dict:
    """Return fields without those that are null: many writers mean absent ones."""
    return {name: value for name, value in fields.items() if value is not None}


def _route(fields: dict) -> Route:
    # The platform calls a service a "backend"; "split" distributes a route's requests
    # over several services by weight.
    targets = tuple(
        Target(part["backend"], float(part["weight"]))
        for part in fields.get("split") or ()
        if part["weight"] > 0
    ) or (Target(fields["backend"], 1.0),)
    pause_ms = fields.get("gap_target_ms")
    return Route(
        name=fields["name"],
        host=fields["host"].lower(),
        path_prefix=fields["path_prefix"],
        targets=targets,
        repeat=_repeat(fields),
        is_stream=fields.get("kind") == "streaming",
        timeout_s=_seconds(fields["timeout_ms"]),
        objective_s=_seconds(fields.get("goal_ms", fields["timeout_ms"])),
        pause_s=_seconds(pause_ms) if pause_ms else float("inf"),
        max_endpoints=int(fields.get("attempts", 1)),
        priority=int(fields.get("priority", 0)),
        is_public=bool(fields.get("public", False)),
    )


def _repeat(fields: dict) -> Repeat:
    match fields.get("kind"):
        case "idempotent":
            return Repeat.REPEATABLE
        case "streaming" if fields.get("resumable"):
            return Repeat.RESUMABLE
        case _:
            return Repeat.ONCE


def _service(fields: dict) -> ServiceConfig:
    runtime = fields.get("runtime")
    return ServiceConfig(
        name=fields["name"],
        health_path=fields.get("health_path", "/"),
        max_connections=_max_connections(fields.get("max_conns")),
        cold_requests_per_s=float(fields.get("cold_per_s", 0.0)),
        engine=_engine(runtime) if runtime else None,
        domain_delays_s=_domain_delays_s(runtime or {}),
    )


def _max_connections(value: Any) -> int:
    """Decode a number of connections; one that no request could keep is unknown."""
    return int(value) if _is_positive(value) else 0


def _engine(fields: dict) -> EngineCosts:
    return EngineCosts(
        max_running=int(fields["capacity"]),
        kv_capacity_tokens=int(fields["kv_capacity"]),
        # Decode steps per engine pass, and so tokens per event.
        tokens_per_event=int(fields["step_count"]),
        step_ms=float(fields["step_ms"]),
        prefill_tokens_per_s=float(fields["read_per_s"]),
        pair_ms_per_million=float(fields["pairs_per_m"]),
        hop_ms=float(fields.get("hop_ms", 0.0)),
        per_stream_ms=float(fields.get("per_seq_ms", 0.0)),
        context_ms_per_thousand=float(fields.get("context_per_k", 0.0)),
        chunk_tokens=int(fields.get("chunk", 0)),
    )


def _domain_delays_s(runtime: dict) -> dict[tuple[str, str], float]:
    """Decode the delays between failure domains, which are stated for one direction."""
    delays_s: dict[tuple[str, str], float] = {}
    for row in runtime.get("delays") or ():
        ends = (row["from"], row["target_version"])
        delays_s[ends] = delays_s[ends[::-1]] = float(row["delay_ms"]) / 1000
    return delays_s


def _workspaces(tenants: list | None) -> dict[str, Workspace] | None:
    if tenants is None:
        return None
    return {
        key: Workspace(tenant["name"], tenant.get("priority"))
        for tenant in tenants
        for key in tenant.get("api_keys", ())
    }


def _limits(fields: dict) -> CallerLimits:
    """Decode the limits for callers; one that no request could keep counts as absent.

    Examples
    --------
    >>> _limits({"max_body_bytes": 0, "idle_timeout_ms": 2000}) == CallerLimits(
    ...     idle_timeout_s=2.0
    ... )
    True
    """
    defaults = CallerLimits()

    def size(name: str, default_bytes: int) -> int:
        return int(fields[name]) if _is_positive(fields.get(name)) else default_bytes

    def time_s(name: str, default_s: float) -> float:
        if not _is_positive(fields.get(name)):
            return default_s
        return _seconds(min(fields[name], MAX_TIME_MS))

    return CallerLimits(
        max_header_bytes=size("max_header_bytes", defaults.max_header_bytes),
        max_body_bytes=size("max_body_bytes", defaults.max_body_bytes),
        header_timeout_s=time_s("header_timeout_ms", defaults.header_timeout_s),
        idle_timeout_s=time_s("idle_timeout_ms", defaults.idle_timeout_s),
    )


def _is_positive(value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and 1 <= value <= MAX_WHOLE_NUMBER


def decode_endpoint(key: str, value: bytes, now_s: float) -> Endpoint:
    """Decode an endpoint's record in the directory.

    Raises
    ------
    MalformedRecordError
        If a required field is missing or has the wrong type, or the state is
        unknown: such an entry doesn't describe a usable endpoint.
    """
    with _decoding(f"endpoint {key}"):
        fields = json.loads(value)
        state = fields["state"]
        if state not in ("ready", "draining"):
            raise ValueError(f"state {state!r:.40}")
        host, _, port = _text(fields["addr"]).rpartition(":")
        if not (port.isascii() and port.isdigit()):
            raise ValueError("no port")
        # Remaining time of the endpoint's cold start.
        cold_ms = _number(fields.get("cold_left_ms", 0), -MAX_TIME_MS, MAX_TIME_MS)
        return Endpoint(
            endpoint_id=_text(key),
            service=_text(fields["backend"]),
            address=f"{_ip(host)}:{_whole_number(int(port), 1, MAX_PORT)}",
            failure_domain=_text(fields["zone"]),
            capacity=max(1, _capacity(fields)),
            is_leaving=state == "draining",
            cold_until_s=now_s + cold_ms / 1000 if cold_ms > 0 else 0.0,
            born_ms=_whole_number(fields.get("born", 0), 0, MAX_WHOLE_NUMBER),
        )


def _capacity(fields: dict) -> int:
    capacity = fields.get("capacity", DEFAULT_CAPACITY)
    return int(_number(capacity, 0, MAX_CAPACITY))


def decode_gateway(key: str, value: bytes) -> PeerAddress:
    """Decode a gateway's entry in the list of gateways.

    Raises
    ------
    MalformedRecordError
        If it names no address to which reports can be sent.
    """
    with _decoding(f"gateway {key}"):
        _text(key)
        fields = json.loads(value)
        port = _whole_number(fields["port"], 1, MAX_PORT)
        return PeerAddress(_ip(fields["host"]), port)
