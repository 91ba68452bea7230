"""The part of a workspace's limit that one entry may spend.

Weighed against an equal share: with it the sum of the shares never exceeds the
limit, but an entry that gets all the demand may spend only one part in E of it.
Here a share follows the demand that the entries report to each other. With
demands d and a floor f for each entry, entry i may spend ::

    (f + d_i) / (E f + d_1 + ... + d_E)

of the limit, where d_i is the lower of its last two reports and each other d_j the
higher of its last two. Whatever report each process has seen, all of them bound
the sum by one common vector of demands, so while no process is more than one
report behind, **the sum of the shares is at most the limit**. While an entry isn't
heard from, each that misses it spends at most an equal share: entries in one
region that are cut into p parts spend at most p times the limit once they have
given each other up, and less than twice the limit before.
"""

from collections import deque

import attrs

FLOOR_SHARE = 0.25
REPORTS_HELD = 2


@attrs.frozen
class Demand:
    """What one entry reports of one workspace.

    Parameters
    ----------
    workspace : str
    requests_per_s : float
        Asked for, admitted or not.
    tokens : int
        Held by running requests.
    """

    workspace: str
    requests_per_s: float
    tokens: int


@attrs.define
class _Reports:
    heard_s: float
    demands: deque[Demand] = attrs.field(factory=lambda: deque(maxlen=REPORTS_HELD))


@attrs.define
class DemandView:
    """The last reports of all entries on one workspace.

    Parameters
    ----------
    limit_per_s : float
        Of the workspace, over all entries.
    report_timeout_s : float
        An entry that was silent for longer isn't counted on.
    """

    limit_per_s: float
    report_timeout_s: float
    _own: deque[Demand] = attrs.field(
        init=False, factory=lambda: deque(maxlen=REPORTS_HELD)
    )
    _others: dict[str, _Reports] = attrs.field(init=False, factory=dict)

    def report_own(self, demand: Demand) -> None:
        """Note what this entry tells the others."""
        self._own.append(demand)

    def hear(self, entry_id: str, demand: Demand, now_s: float) -> None:
        """Take in the report of another entry."""
        reports = self._others.setdefault(entry_id, _Reports(now_s))
        reports.heard_s = now_s
        reports.demands.append(demand)

    def share(self, entries: int, now_s: float) -> float:
        """Return the part of the limit for this entry, from 0 to 1.

        Parameters
        ----------
        entries : int
            Count of all entries, this one included.
        now_s : float
        """
        equal = 1.0 / max(1, entries)
        heard = self._heard(now_s)
        floor_per_s = FLOOR_SHARE * self.limit_per_s * equal
        if floor_per_s <= 0:
            return equal
        own_per_s = floor_per_s + self._lower_own_per_s()
        others_per_s = sum(
            floor_per_s + max(d.requests_per_s for d in reports.demands)
            for reports in heard
        )
        share = own_per_s / (own_per_s + others_per_s)
        return share if len(heard) >= entries - 1 else min(share, equal)

    def other_tokens(self, now_s: float) -> int:
        """Tokens that the others hold, by the higher of their last reports."""
        return sum(max(d.tokens for d in r.demands) for r in self._heard(now_s))

    def _lower_own_per_s(self) -> float:
        # Before the second report the others may not have heard any.
        if len(self._own) < REPORTS_HELD:
            return 0.0
        return min(demand.requests_per_s for demand in self._own)

    def _heard(self, now_s: float) -> list[_Reports]:
        oldest_s = now_s - self.report_timeout_s
        silent = [name for name, r in self._others.items() if r.heard_s < oldest_s]
        for name in silent:
            del self._others[name]
        return list(self._others.values())
