"""Reads the settings file that the platform writes."""

import os
import tomllib
from pathlib import Path

import attrs

from ..decisions.overload.parts import OverloadParts, parse_parts
from ..decisions.resource_limits import ResourceLimits
from ..exceptions import SettingsError
from .decode_errors import DECODE_ERRORS
from .listen import decode_addresses, settings_path

METRICS_PORT = 9464
"""Also stated in ``deploy/system.toml``; the default port of OpenTelemetry's
Prometheus exporter."""

BYTES_PER_MB = 1_000_000
BYTES_PER_S_PER_MBPS = 125_000

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
    except (OSError, *DECODE_ERRORS) as error:
        raise SettingsError(f"{path}: {error!r}.") from error


def _decode(fields: dict) -> PlatformSettings:
    bounds = fields["bounds"]
    front_address, ready_address = decode_addresses(fields)
    return PlatformSettings(
        node_id=fields["node"],
        role=fields["role"],
        failure_domain=fields["zone"],
        address=fields["ip"],
        front_address=front_address,
        ready_address=ready_address,
        peer_port=int(fields["port_range"][0]),
        peer_port_count=_peer_port_count(fields["port_range"]),
        metrics_port=METRICS_PORT,
        store_address=fields["provider"]["addr"],
        revoke_s=bounds["revoke_ms"] / 1000,
        grace_s=float(bounds["grace_period_s"]),
        retry_ratio=float(bounds["retry_ratio"]),
        retry_slack=float(bounds["retry_slack"]),
        retry_window_s=float(bounds["retry_window_s"]),
        limits=_decode_limits(fields),
        overload_parts=_decode_overload(os.environ.get(OVERLOAD_VARIABLE, "")),
    )


def _peer_port_count(port_range: list) -> int:
    first, last = int(port_range[0]), int(port_range[-1])
    return max(1, last - first + 1)


def _decode_overload(names: str) -> OverloadParts:
    return parse_parts(name.strip() for name in names.split(",") if name.strip())


def _decode_limits(fields: dict) -> ResourceLimits:
    limits = fields.get("limits", {})
    share, cores = limits.get("cpu_share"), limits.get("cpu_cores", 1)
    memory_mb, link_mbps = limits.get("memory_mb"), limits.get("link_mbps")
    return ResourceLimits(
        memory_bytes=int(memory_mb * BYTES_PER_MB) if memory_mb else None,
        processor_cores=share * cores if share else None,
        link_bytes_per_s=link_mbps * BYTES_PER_S_PER_MBPS if link_mbps else None,
    )
