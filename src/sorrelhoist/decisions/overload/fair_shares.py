"""Max-min fair shares of the engines between workspaces, by prefill time.

The load pattern is one workspace that fills the fleet with long prompts: in due order
alone, the prompts of all others wait behind its own.
"""

from collections.abc import Iterable

import attrs

from .fleet_demand import ServiceLoad, WorkspaceLoad

MIN_PLACED_S = 0.5
"""Unfinished prefill that the engines hold at least, in seconds of all their work, for
a share to be computed from it. With less, a share could keep work from engines that
are about to be idle."""


@attrs.frozen(kw_only=True)
class FairShares:
    """Shares of the workspaces of one service.

    Parameters
    ----------
    level_ms : float
        Largest unfinished prefill of one workspace that fits if all share alike;
        infinite while everything fits.
    loads : dict
        `WorkspaceLoad` of all gateways, by hash of the workspace.
    """

    level_ms: float = float("inf")
    loads: dict[int, WorkspaceLoad] = attrs.field(factory=dict)

    def is_over(self, workspace: int) -> bool:
        """Return whether a workspace has more work than its share.

        One that no report names has less than those that are named.
        """
        load = self.loads.get(workspace)
        return load is not None and load.read_ms > self.level_ms

    def wait_s(self, workspace: int, prefill_per_s: float) -> float:
        """Return how long the work of a workspace takes at its share of the engines.

        0 within its share: then the order of due times decides.
        """
        if not self.is_over(workspace):
            return 0.0
        met_ms = sum(min(load.read_ms, self.level_ms) for load in self.loads.values())
        share = self.level_ms / max(met_ms, self.level_ms)
        return self.loads[workspace].read_ms / (prefill_per_s * share)


def max_min_level(demands: Iterable[float], capacity: float) -> float:
    """Return the level up to which each demand is met when all share alike.

    Examples
    --------
    >>> max_min_level([10.0, 20.0, 100.0], capacity=60.0)
    30.0
    >>> max_min_level([10.0, 20.0], capacity=60.0)
    inf
    """
    ordered = sorted(demands)
    left = capacity
    for number, demand in enumerate(ordered):
        share = left / (len(ordered) - number)
        if demand > share:
            return share
        left -= demand
    return float("inf")


def fair_shares(total: ServiceLoad, prefill_per_s: float) -> FairShares:
    """Return the shares for the load of all gateways.

    What fits is what is placed now. The level therefore follows what the engines take,
    whatever limits it.

    Parameters
    ----------
    total : ServiceLoad
    prefill_per_s : float
        Prefill time that all engines complete in a second, in ms.

    Examples
    --------
    >>> large = WorkspaceLoad(read_ms=9e4, waiting=5)
    >>> loads = {1: large, 2: WorkspaceLoad(read_ms=1e3)}
    >>> total = ServiceLoad(waiting=5, waiting_read_ms=4e4, workspaces=loads)
    >>> shares = fair_shares(total, prefill_per_s=1e4)
    >>> shares.is_over(1), shares.is_over(2), shares.is_over(3)
    (True, False, False)
    """
    if not total.waiting:
        return FairShares(loads=total.workspaces)
    demands = [load.read_ms for load in total.workspaces.values()]
    placed_ms = max(sum(demands) - total.waiting_read_ms, prefill_per_s * MIN_PLACED_S)
    return FairShares(
        level_ms=max_min_level(demands, placed_ms), loads=total.workspaces
    )
