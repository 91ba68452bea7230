"""Measure the cost of the control plane of an idle fleet of real processes.

Entries and agents are real processes. All agents share one stand-in engine, which
serves no requests. Network traffic is the gossip payload over UDP, read from the
state dumps, and the payload of TCP sockets, read from ``ss`` where the host has it.
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

from .control_fleet import control_fleet, role_processes
from .fleet import Child, Fleet, fetch
from .load_phases import Echo, with_domain_state

IN_FORCE_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
OUTAGE_S = 45.0
MIB = 1024 * 1024


@attrs.frozen
class RoleCost:
    """Median and maximum resource use of the processes of one role.

    Parameters
    ----------
    role : str
    processes : int
    cpu_percent, cpu_percent_max : float
        CPU utilisation, in percent of one core.
    resident_mib, resident_mib_max : float
        Resident memory.
    udp_bytes_per_s, udp_bytes_per_s_max : float
        Gossip payload, sent and received.
    tcp_bytes_per_s : float
        TCP payload, sent and received, mean; -1 if not measured.
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
    """Control-plane cost of a fleet of one size.

    Parameters
    ----------
    members : int
        Entries and agents.
    started_s : float
        From the start of the first process until membership has converged and all
        processes are ready.
    roles : list of RoleCost
    in_force_s : float
        From the append of a configuration change until all processes have it in
        force; -1 if it took more than `IN_FORCE_TIMEOUT_S`.
    in_force_log_down_s : float
        The same with the log unavailable right after the append.
    """

    members: int
    started_s: float
    roles: list[RoleCost]
    in_force_s: float
    in_force_log_down_s: float


@attrs.frozen
class LinearFit:
    """Linear fit of a figure over the number of members."""

    intercept: float
    per_member: float

    def value_at(self, members: int) -> float:
        """Return the fitted value for a number of members."""
        return self.intercept + self.per_member * members


def fit_line(points: Sequence[tuple[int, float]]) -> LinearFit:
    """Fit a line by least squares.

    A single point gives a constant, and no points give 0.

    Examples
    --------
    >>> fit_line([(10, 3.0), (20, 5.0)]).value_at(30)
    7.0
    """
    if len(points) < 2:
        return LinearFit(points[0][1] if points else 0.0, 0.0)
    fitted = statistics.linear_regression(*zip(*points, strict=True))
    return LinearFit(fitted.intercept, fitted.slope)


# Resource use


@attrs.frozen
class _ProcessSample:
    cpu_s: float
    resident_bytes: int
    udp_bytes: int
    tcp_bytes: int


async def _sample_process(fleet: Fleet, child: Child) -> _ProcessSample:
    gossip = (await fleet.dump(child.name))["process"]["gossip"]
    process = psutil.Process(child.process.pid)
    times = process.cpu_times()
    return _ProcessSample(
        times.user + times.system,
        process.memory_info().rss,
        gossip["sent_bytes"] + gossip["received_bytes"],
        0,
    )


def tcp_bytes_by_pid() -> dict[int, int]:
    """Return the bytes sent and received on open TCP sockets, by process id.

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
    """Measure the resource use of all processes over a window without load."""
    nodes = role_processes(fleet)
    # Dump every state once before the window, so that the work of the first dump does
    # not count as CPU time.
    for child in nodes:
        await _sample_process(fleet, child)
    before = [await _sample_process(fleet, child) for child in nodes]
    cpu_before = [_cpu_s(child) for child in nodes]
    tcp_before = tcp_bytes_by_pid()
    started_s = time.monotonic()
    await asyncio.sleep(window_s)
    elapsed_s = time.monotonic() - started_s
    cpu_after = [_cpu_s(child) for child in nodes]
    tcp_after = tcp_bytes_by_pid()
    after = [await _sample_process(fleet, child) for child in nodes]
    udp_window_s = time.monotonic() - started_s
    costs = []
    for role in ("entry", "agent"):
        indices = [i for i, c in enumerate(nodes) if c.name.startswith(role)]
        cpu = [100 * (cpu_after[i] - cpu_before[i]) / elapsed_s for i in indices]
        resident = [after[i].resident_bytes / MIB for i in indices]
        udp = [
            (after[i].udp_bytes - before[i].udp_bytes) / udp_window_s for i in indices
        ]
        pids = [nodes[i].process.pid for i in indices]
        tcp = [tcp_after.get(p, 0) - tcp_before.get(p, 0) for p in pids]
        costs.append(
            RoleCost(
                role,
                len(indices),
                statistics.median(cpu),
                max(cpu),
                statistics.median(resident),
                max(resident),
                statistics.median(udp),
                max(udp),
                statistics.mean(tcp) / elapsed_s if tcp_after else -1.0,
            )
        )
    return costs


def _cpu_s(child: Child) -> float:
    times = psutil.Process(child.process.pid).cpu_times()
    return times.user + times.system


# Configuration changes


async def measure_propagation_s(fleet: Fleet, state: str, log_down: bool) -> float:
    """Change the configuration and measure how long it takes to reach all processes.

    Parameters
    ----------
    fleet : Fleet
    state : str
        State that the change gives to the last failure domain.
    log_down : bool
        Whether to make the log unavailable as soon as it has stored the change.

    Returns
    -------
    float
        Seconds from the append to the log until the change is in force in all
        processes; -1 after `IN_FORCE_TIMEOUT_S`.
    """
    offset = await _last_offset(fleet)
    domain = [d["name"] for d in fleet.documents if d["kind"] == "FailureDomain"][-1]
    apply = asyncio.ensure_future(
        fleet.apply(with_domain_state(fleet.documents, domain, state))
    )
    await _wait_for_record(fleet, offset)
    appended_s = time.monotonic()
    if log_down:
        faults = fleet.platform_url + "/faults"
        await fetch(faults, "POST", {"outage_s": OUTAGE_S})
    try:
        async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
            await asyncio.gather(
                *(
                    _wait_until_past(fleet, child.name, offset)
                    for child in role_processes(fleet)
                )
            )
        propagation_s = time.monotonic() - appended_s
    except TimeoutError:
        propagation_s = -1.0
    if log_down:
        await fetch(faults, "POST", {"outage_s": 0})
    await apply
    return propagation_s


async def _last_offset(fleet: Fleet) -> int:
    url = f"{fleet.platform_url}/v1/logs/configuration/records?from=1&limit=1"
    return json.loads((await fetch(url)).body)["next_offset"] - 1


async def _wait_for_record(fleet: Fleet, offset: int) -> None:
    url = f"{fleet.platform_url}/v1/logs/configuration/records"
    query = f"?from={offset + 1}&limit=1&wait_s=10"
    response = await fetch(url + query)
    if response.code != 200:
        raise RuntimeError(
            f"configuration log read failed with status {response.code}:"
            f" {response.body!r}"
        )


async def _wait_until_past(fleet: Fleet, name: str, offset: int) -> None:
    while await _effective_offset(fleet, name) <= offset:
        await asyncio.sleep(POLL_INTERVAL_S)


async def _effective_offset(fleet: Fleet, name: str) -> int:
    process = (await fleet.dump(name))["process"]
    return process["configuration"]["effective_offset"]


async def measure_size(
    members: int, settle_s: float, window_s: float, echo: Echo
) -> ControlCost:
    """Start a fleet of one size and measure its control-plane cost.

    Parameters
    ----------
    members : int
        Entries and agents.
    settle_s : float
        Pause between readiness and the measurement.
    window_s : float
        Length of the measurement of resource use.
    echo : callable
        Gets lines of progress.
    """
    started_s = time.monotonic()
    async with control_fleet(members) as fleet:
        ready_s = time.monotonic() - started_s
        echo(f"{members} members ready after {ready_s:.1f} s")
        await asyncio.sleep(settle_s)
        roles = await role_costs(fleet, window_s)
        log_up_s = await measure_propagation_s(fleet, "out", log_down=False)
        await asyncio.sleep(1.0)
        log_down_s = await measure_propagation_s(fleet, "in", log_down=True)
        return ControlCost(members, ready_s, roles, log_up_s, log_down_s)


def cost_lines(cost: ControlCost) -> list[str]:
    """Format the costs of one fleet size as lines of text."""
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


def fit_lines(costs: Sequence[ControlCost]) -> dict[str, LinearFit]:
    """Fit each figure of each role linearly over the number of members."""
    fitted: dict[str, LinearFit] = {}
    figures: Any = ("cpu_percent", "resident_mib", "udp_bytes_per_s", "tcp_bytes_per_s")
    for index, role in enumerate(("entry", "agent")):
        for figure in figures:
            points = [(c.members, getattr(c.roles[index], figure)) for c in costs]
            fitted[f"{role} {figure}"] = fit_line(points)
    return fitted
