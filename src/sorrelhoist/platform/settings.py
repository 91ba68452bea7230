"""Reads the settings file that the platform writes."""

import os
import tomllib
from pathlib import Path

import attrs

from ..decisions.overload.parts import OverloadParts, parse_parts
from ..decisions.resource_limits import ResourceLimits
from ..exceptions import SettingsError
from .decode_errors import DECODE_ERRORS
from .listen import MAX_PORT, decode_addresses, settings_path

METRICS_PORT = 9464
"""Also stated in ``deploy/system.toml``; the default port of OpenTelemetry's
Prometheus exporter."""

BYTES_PER_MB = 1_000_000
BYTES_PER_S_PER_MBPS = 125_000

DEFAULT_REVOKE_MS = 5000.0
DEFAULT_GRACE_S = 8.0
DEFAULT_RETRY_RATIO, DEFAULT_RETRY_SLACK, DEFAULT_RETRY_WINDOW_S = 0.2, 100.0, 10.0
"""Bounds where the settings have none: the values of the platform's own example."""

MAX_BOUND = 1e9
"""Largest number that a bound may be, whatever its unit."""

MAX_PEER_PORTS = 64
"""Number of ports of the range that are tried."""

OVERLOAD_VARIABLE = "SORRELHOIST_OVERLOAD"
"""Environment variable with the parts of overload control in use, separated by commas.
"""


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """Identity, addresses and limits of a process, as the platform assigns them.

    Parameters
    ----------
    node_id, role, failure_domain, address : str
    front_address, ready_address : str
        ``IP:PORT``; empty where the role serves no callers.
    peer_port, peer_port_count : int
        The first of the ports for messages between gateways, and their number.
    metrics_port : int
    store_address : str
        ``IP:PORT`` of the platform's store.
    revoke_s : float
        Longest time that a revoked API key may still be used.
    grace_s : float
        Time from the stop signal until the process is killed.
    retry_ratio, retry_slack, retry_window_s : float
        Retry budget shared by all processes.
    limits : ResourceLimits
    overload_parts : frozenset of OverloadPart
    """

    node_id: str
    role: str
    failure_domain: str
    address: str
    front_address: str
    ready_address: str
    peer_port: int
    metrics_port: int
    store_address: str
    revoke_s: float
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    peer_port_count: int = 1
    limits: ResourceLimits = ResourceLimits()
    overload_parts: OverloadParts = frozenset()


def load_settings(path: Path | None = None) -> PlatformSettings:
    """Read and check the settings file.

    Raises
    ------
    SettingsError
        If the file can't be read, lacks a field or holds an invalid value.
    """
    path = settings_path(path)
    try:
        fields = tomllib.loads(path.read_text())
        return _decode(fields)
    except SettingsError as error:
        raise SettingsError(f"{path}: {error.message}", error.remedy) from error
    except (OSError, *DECODE_ERRORS) as error:
        raise SettingsError(f"{path}: {error!r}.") from error


def _decode(fields: dict) -> PlatformSettings:
    bounds = _table(fields, "bounds")
    front_address, ready_address = decode_addresses(fields)
    if not front_address:
        raise _missing("listen.front", "the address for callers, IP:PORT")
    first_port, port_count = _decode_ports(fields.get("port_range"))
    return PlatformSettings(
        node_id=_text(fields, "node", "the name of this host"),
        role=str(fields.get("role", "")),
        failure_domain=_text(fields, "zone", "the failure domain of this host"),
        address=_text(fields, "ip", "the address of this host"),
        front_address=front_address,
        ready_address=ready_address,
        peer_port=first_port,
        peer_port_count=port_count,
        metrics_port=METRICS_PORT,
        store_address=_text(
            _table(fields, "provider"), "addr", "the store's IP:PORT", "provider."
        ),
        revoke_s=(_bound(bounds, "revoke_ms", 0.0) or DEFAULT_REVOKE_MS) / 1000,
        grace_s=_bound(bounds, "grace_period_s", DEFAULT_GRACE_S),
        retry_ratio=_bound(bounds, "retry_ratio", DEFAULT_RETRY_RATIO),
        retry_slack=_bound(bounds, "retry_slack", DEFAULT_RETRY_SLACK),
        retry_window_s=_bound(bounds, "retry_window_s", DEFAULT_RETRY_WINDOW_S)
        or DEFAULT_RETRY_WINDOW_S,
        limits=_decode_limits(fields),
        overload_parts=_decode_overload(os.environ.get(OVERLOAD_VARIABLE, "")),
    )


def _missing(name: str, meaning: str) -> SettingsError:
    return SettingsError(f"{name} is missing.", f"Set {name}: {meaning}.")


def _table(fields: dict, name: str) -> dict:
    table = fields.get(name, {})
    if not isinstance(table, dict):
        raise SettingsError(f"{name} must be a table, not {table!r:.40}.")
    return table


def _text(fields: dict, name: str, meaning: str, prefix: str = "") -> str:
    value = fields.get(name)
    if value is None or value == "":
        raise _missing(prefix + name, meaning)
    if not isinstance(value, str):
        raise SettingsError(f"{prefix}{name} must be text, not {value!r:.40}.")
    return value


def _bound(bounds: dict, name: str, default: float) -> float:
    """Return a bound; a contract that is not in force may leave its own out."""
    value = bounds.get(name, default)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not (is_number and 0 <= value <= MAX_BOUND):
        raise SettingsError(f"bounds.{name} must be a number, not {value!r:.40}.")
    return float(value)


def _decode_ports(port_range: list | None) -> tuple[int, int]:
    """Return the first of the ports between gateways, and their number, perhaps 0."""
    if port_range is None or port_range == []:
        return 0, 0
    first, last = int(port_range[0]), int(port_range[-1])
    if not 0 < first <= last <= MAX_PORT:
        raise SettingsError(f"port_range must hold two ports, not {port_range!r:.40}.")
    return first, min(last - first + 1, MAX_PEER_PORTS)


def _decode_overload(names: str) -> OverloadParts:
    return parse_parts(name.strip() for name in names.split(",") if name.strip())


def _decode_limits(fields: dict) -> ResourceLimits:
    limits = _table(fields, "limits")
    share, cores = limits.get("cpu_share"), limits.get("cpu_cores", 1)
    memory_mb, link_mbps = limits.get("memory_mb"), limits.get("link_mbps")
    return ResourceLimits(
        memory_bytes=int(memory_mb * BYTES_PER_MB) if memory_mb else None,
        processor_cores=share * cores if share else None,
        link_bytes_per_s=link_mbps * BYTES_PER_S_PER_MBPS if link_mbps else None,
    )
