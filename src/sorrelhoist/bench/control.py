"""Measure what control costs, with no load, on real processes.

Entries and agents are real. All agents share one stand-in engine, which serves
nothing here. The traffic counted is the payload of the gossip over UDP, from the
dumps, and of TCP sockets, from ``ss`` where the host has it.
"""

import asyncio
import json
import re
import shutil
import statistics
import subprocess
import time
from collections.abc import Sequence
from typing import Any

import attrs
import psutil

from .control_fleet import control_fleet, nodes_of
from .fleet import Child, Fleet, fetch
from .load_phases import Echo, domain_state

IN_FORCE_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
OUTAGE_S = 45.0
MIB = 1024 * 1024


@attrs.frozen
class RoleCost:
    """Median and highest of the processes of one role.

    Parameters
    ----------
    role : str
    processes : int
    cpu_percent, cpu_percent_max : float
        Of one core.
    resident_mib, resident_mib_max : float
    udp_bytes_per_s, udp_bytes_per_s_max : float
        Sent and received.
    tcp_bytes_per_s : float
        Sent and received, mean; -1 if not measured.
    """

    role: str
    processes: int
    cpu_percent: float
    cpu_percent_max: float
    resident_mib: float
    resident_mib_max: float
    udp_bytes_per_s: float
    udp_bytes_per_s_max: float
    tcp_bytes_per_s: float


@attrs.frozen
class ControlCost:
    """What was measured at one size.

    Parameters
    ----------
    members : int
    started_s : float
        From the first start until all know all and are ready.
    roles : list of RoleCost
    in_force_s : float
        From a change's append until it was in force everywhere.
    in_force_log_down_s : float
        The same with the log down right after the append; -1 if it was not in
        force everywhere in time.
    """

    members: int
    started_s: float
    roles: list[RoleCost]
    in_force_s: float
    in_force_log_down_s: float


@attrs.frozen
class Slope:
    """A straight line through a figure over the number of members."""

    at_zero: float
    per_member: float

    def at(self, members: int) -> float:
        """Return the line's value at a size."""
        return self.at_zero + self.per_member * members


def slope(points: Sequence[tuple[int, float]]) -> Slope:
    """Fit a line by least squares.

    Examples
    --------
    >>> slope([(10, 3.0), (20, 5.0)]).at(30)
    7.0
    """
    if len(points) < 2:
        return Slope(points[0][1] if points else 0.0, 0.0)
    fitted = statistics.linear_regression(*zip(*points, strict=True))
    return Slope(fitted.intercept, fitted.slope)


# Cost


@attrs.frozen
class _Reading:
    cpu_s: float
    resident_bytes: int
    udp_bytes: int
    tcp_bytes: int


async def _read(fleet: Fleet, child: Child) -> _Reading:
    gossip = (await fleet.dump(child.name))["process"]["gossip"]
    process = psutil.Process(child.process.pid)
    times = process.cpu_times()
    return _Reading(
        times.user + times.system,
        process.memory_info().rss,
        gossip["sent_bytes"] + gossip["received_bytes"],
        0,
    )


def tcp_bytes_by_pid() -> dict[int, int]:
    """Return the bytes sent and received by the TCP sockets that are open.

    Returns
    -------
    dict of int to int
        Empty if the host has no ``ss``.
    """
    if shutil.which("ss") is None:
        return {}
    text = subprocess.run(
        ["ss", "-tinpOH", "state", "established"],
        capture_output=True,
        text=True,
        check=False,
    ).stdout
    counted: dict[int, int] = {}
    for line in text.splitlines():
        pid = re.search(r"pid=(\d+)", line)
        if pid is None:
            continue
        counts = re.findall(r"bytes_(?:sent|received):(\d+)", line)
        counted[int(pid[1])] = counted.get(int(pid[1]), 0) + sum(map(int, counts))
    return counted


async def role_costs(fleet: Fleet, window_s: float) -> list[RoleCost]:
    """Measure all processes over a quiet window."""
    nodes = nodes_of(fleet)
    # The first dump's own work stays out of the window of processor time.
    for child in nodes:
        await _read(fleet, child)
    before = [await _read(fleet, child) for child in nodes]
    cpu_before = [_cpu_s(child) for child in nodes]
    tcp_before = tcp_bytes_by_pid()
    started_s = time.monotonic()
    await asyncio.sleep(window_s)
    passed_s = time.monotonic() - started_s
    cpu_after = [_cpu_s(child) for child in nodes]
    tcp_after = tcp_bytes_by_pid()
    after = [await _read(fleet, child) for child in nodes]
    udp_s = time.monotonic() - started_s
    costs = []
    for role in ("entry", "agent"):
        some = [i for i, c in enumerate(nodes) if c.name.startswith(role)]
        cpu = [100 * (cpu_after[i] - cpu_before[i]) / passed_s for i in some]
        resident = [after[i].resident_bytes / MIB for i in some]
        udp = [(after[i].udp_bytes - before[i].udp_bytes) / udp_s for i in some]
        pids = [nodes[i].process.pid for i in some]
        tcp = [tcp_after.get(p, 0) - tcp_before.get(p, 0) for p in pids]
        costs.append(
            RoleCost(
                role,
                len(some),
                statistics.median(cpu),
                max(cpu),
                statistics.median(resident),
                max(resident),
                statistics.median(udp),
                max(udp),
                statistics.mean(tcp) / passed_s if tcp_after else -1.0,
            )
        )
    return costs


def _cpu_s(child: Child) -> float:
    times = psutil.Process(child.process.pid).cpu_times()
    return times.user + times.system


# Configuration changes


async def in_force_s(fleet: Fleet, state: str, log_down: bool) -> float:
    """Change the configuration; return the time until it is in force everywhere.

    Parameters
    ----------
    fleet : Fleet
    state : str
        Of the last failure domain.
    log_down : bool
        Whether the log goes down as soon as it holds the change.

    Returns
    -------
    float
        Seconds from when the log held it; -1 if it took too long.
    """
    offset = await _last_offset(fleet)
    domain = [d["name"] for d in fleet.documents if d["kind"] == "FailureDomain"][-1]
    apply = asyncio.ensure_future(
        fleet.apply(domain_state(fleet.documents, domain, state))
    )
    await _record_after(fleet, offset)
    appended_s = time.monotonic()
    if log_down:
        faults = fleet.platform_url + "/faults"
        await fetch(faults, "POST", {"outage_s": OUTAGE_S})
    try:
        async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
            await asyncio.gather(
                *(_until_past(fleet, child.name, offset) for child in nodes_of(fleet))
            )
        taken_s = time.monotonic() - appended_s
    except TimeoutError:
        taken_s = -1.0
    if log_down:
        await fetch(faults, "POST", {"outage_s": 0})
    await apply
    return taken_s


async def _last_offset(fleet: Fleet) -> int:
    url = f"{fleet.platform_url}/v1/logs/configuration/records?from=1&limit=1"
    return json.loads((await fetch(url)).body)["next_offset"] - 1


async def _record_after(fleet: Fleet, offset: int) -> None:
    url = f"{fleet.platform_url}/v1/logs/configuration/records"
    query = f"?from={offset + 1}&limit=1&wait_s=10"
    response = await fetch(url + query)
    if response.code != 200:
        raise RuntimeError(f"the log can't be read: {response.body!r}")


async def _until_past(fleet: Fleet, name: str, offset: int) -> None:
    while await _offset_in_force(fleet, name) <= offset:
        await asyncio.sleep(POLL_INTERVAL_S)


async def _offset_in_force(fleet: Fleet, name: str) -> int:
    process = (await fleet.dump(name))["process"]
    return process["configuration"]["effective_offset"]


async def measure_size(
    members: int, settle_s: float, window_s: float, echo: Echo
) -> ControlCost:
    """Measure a fleet of one size."""
    started_s = time.monotonic()
    async with control_fleet(members) as fleet:
        ready_s = time.monotonic() - started_s
        echo(f"{members} members ready after {ready_s:.1f} s")
        await asyncio.sleep(settle_s)
        roles = await role_costs(fleet, window_s)
        usual_s = await in_force_s(fleet, "out", log_down=False)
        await asyncio.sleep(1.0)
        log_down_s = await in_force_s(fleet, "in", log_down=True)
        return ControlCost(members, ready_s, roles, usual_s, log_down_s)


def cost_lines(cost: ControlCost) -> list[str]:
    """Return the lines of one size."""
    lines = [
        f"{cost.members:4} {r.role:6} x{r.processes:<4}"
        f" processor {r.cpu_percent:.2f}% (max {r.cpu_percent_max:.2f}%)"
        f" resident {r.resident_mib:.1f} MiB (max {r.resident_mib_max:.1f})"
        f" UDP {r.udp_bytes_per_s:.0f} B/s (max {r.udp_bytes_per_s_max:.0f})"
        f" TCP {r.tcp_bytes_per_s:.0f} B/s"
        for r in cost.roles
    ]
    lines.append(
        f"{cost.members:4} change in force everywhere after {cost.in_force_s:.2f} s,"
        f" with the log down after {cost.in_force_log_down_s:.2f} s"
    )
    return lines


def slopes(costs: Sequence[ControlCost]) -> dict[str, Slope]:
    """Fit lines over the number of members, by role and figure."""
    fitted: dict[str, Slope] = {}
    figures: Any = ("cpu_percent", "resident_mib", "udp_bytes_per_s", "tcp_bytes_per_s")
    for index, role in enumerate(("entry", "agent")):
        for figure in figures:
            points = [(c.members, getattr(c.roles[index], figure)) for c in costs]
            fitted[f"{role} {figure}"] = slope(points)
    return fitted
