"""Unplaced and unfinished work of all gateways, from their load reports.

The load pattern is a burst that waits at many gateways at once: each sees only a part
of the queue, and would estimate too short a wait from its own.
"""

import attrs
import xxhash

from ..placement.load_tracker import PEER_REPORT_TTL_S

MAX_REPORTED_WORKSPACES = 8
"""Largest number of workspaces in the report of one service."""

MAX_REPORTED_SERVICES = 5
"""Largest number of services in a report. With eight workspaces each, they take less
than 1,400 bytes, so that they fit into one datagram."""

MAX_REPORTED_MS = 2**31 - 1
_SIGN_BIT = 1 << 63


@attrs.frozen(kw_only=True)
class WorkspaceLoad:
    """Unfinished prefill of one workspace at one service, and its waiting requests."""

    read_ms: float = 0.0
    waiting: int = 0

    def __add__(self, other: "WorkspaceLoad") -> "WorkspaceLoad":
        return WorkspaceLoad(
            read_ms=self.read_ms + other.read_ms, waiting=self.waiting + other.waiting
        )


@attrs.frozen(kw_only=True)
class ServiceLoad:
    """What waits for placement at one service, and its workspaces.

    Parameters
    ----------
    waiting : float
        Requests that wait; fractional where gateways were estimated.
    waiting_read_ms : float
        Their prefill time.
    workspaces : dict
        `WorkspaceLoad` by hash of the workspace.
    """

    waiting: float = 0.0
    waiting_read_ms: float = 0.0
    workspaces: dict[int, WorkspaceLoad] = attrs.field(factory=dict)

    def __add__(self, other: "ServiceLoad") -> "ServiceLoad":
        workspaces = dict(self.workspaces)
        for key, load in other.workspaces.items():
            workspaces[key] = workspaces.get(key, WorkspaceLoad()) + load
        return ServiceLoad(
            waiting=self.waiting + other.waiting,
            waiting_read_ms=self.waiting_read_ms + other.waiting_read_ms,
            workspaces=workspaces,
        )

    def scaled(self, factor: float) -> "ServiceLoad":
        """Return this load for a multiple of the gateways."""
        return ServiceLoad(
            waiting=self.waiting * factor,
            waiting_read_ms=self.waiting_read_ms * factor,
            workspaces={
                key: attrs.evolve(load, read_ms=load.read_ms * factor)
                for key, load in self.workspaces.items()
            },
        )

    def largest_workspaces(self) -> dict[int, WorkspaceLoad]:
        """Return the workspaces with most prefill, as many as a report holds."""
        by_size = sorted(
            self.workspaces.items(), key=lambda item: item[1].read_ms, reverse=True
        )
        return dict(by_size[:MAX_REPORTED_WORKSPACES])


@attrs.frozen
class _Report:
    services: dict[str, ServiceLoad] | None
    heard_s: float


def workspace_hash(name: str) -> int:
    """Return the signed 64-bit hash under which a workspace is reported."""
    value: int = xxhash.xxh3_64_intdigest(name.encode())
    return value - 2 * _SIGN_BIT if value >= _SIGN_BIT else value


def services_to_report(services: dict[str, ServiceLoad]) -> dict[str, ServiceLoad]:
    """Return the services with most unfinished prefill, as many as a report holds."""
    busy = {
        name: load
        for name, load in services.items()
        if load.waiting or any(one.read_ms for one in load.workspaces.values())
    }
    by_size = sorted(
        busy,
        key=lambda name: sum(one.read_ms for one in busy[name].workspaces.values()),
        reverse=True,
    )
    return {name: busy[name] for name in by_size[:MAX_REPORTED_SERVICES]}


class FleetDemand:
    """Demand that the other gateways reported last.

    A gateway that reports no demands is of a former build and counts as the mean of the
    others. One that has just started, or was lost, has no valid report and counts for
    nothing.

    Examples
    --------
    >>> demand = FleetDemand()
    >>> demand.peer_reported("b", {"llm": ServiceLoad(waiting=4)}, now_s=1.0)
    >>> demand.peer_reported("old", None, now_s=1.0)
    >>> demand.others("llm", now_s=1.5).waiting
    8.0
    >>> demand.others("llm", now_s=9.0).waiting
    0.0
    """

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}

    def peer_reported(
        self, node_id: str, services: dict[str, ServiceLoad] | None, now_s: float
    ) -> None:
        """Record a report; `services` is None in that of a former build."""
        self._reports[node_id] = _Report(services, now_s)

    def is_waiting(self, service: str, now_s: float) -> bool:
        """Return whether requests of a service wait at another gateway."""
        return any(
            services is not None and service in services and services[service].waiting
            for services in self._live(now_s)
        )

    def others(self, service: str, now_s: float) -> ServiceLoad:
        """Return the sum of the other gateways' loads of a service."""
        live = self._live(now_s)
        known = [services for services in live if services is not None]
        total = ServiceLoad()
        for services in known:
            if service in services:
                total += services[service]
        if known and len(live) > len(known):
            return total.scaled(len(live) / len(known))
        return total

    def _live(self, now_s: float) -> list[dict[str, ServiceLoad] | None]:
        self._reports = {
            node_id: report
            for node_id, report in self._reports.items()
            if now_s - report.heard_s < PEER_REPORT_TTL_S
        }
        return [report.services for report in self._reports.values()]

    def dump(self, now_s: float) -> dict:
        """Return the waiting requests of each gateway as plain data."""
        return {
            node_id: {
                "age_s": now_s - report.heard_s,
                "waiting": None
                if report.services is None
                else {name: load.waiting for name, load in report.services.items()},
            }
            for node_id, report in self._reports.items()
        }
