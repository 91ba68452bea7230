"""Divide a workspace's limit among the entries in proportion to demand.

With equal shares the sum of the shares would never exceed the limit, but an entry
that receives all the demand could use only 1/E of it, with E entries. Here the
shares follow the demand that the entries report to each other. With demands d and a
floor f for each entry, entry i may use ::

    (f + d_i) / (E f + d_1 + ... + d_E)

of the limit, where d_i is the lower of its own last two reports and each other d_j
the higher of the last two reports of entry j. Whichever report each process has
seen, one common vector of demands bounds the sum. So while no process is more than
one report behind, **the sum of the shares is at most the limit**.

While reports from an entry are missing, each entry that misses them uses at most an
equal share. If a network partition splits the entries of one region into p parts,
they use at most p times the limit once their reports about each other have timed
out, and less than twice the limit before.
"""

from collections import deque

import attrs

# Minimum demand that counts for each entry, as a fraction of its equal share.
FLOOR_FRACTION = 0.25
REPORT_HISTORY = 2


@attrs.frozen
class Demand:
    """The demand for one workspace that one entry reports.

    Parameters
    ----------
    workspace : str
    requests_per_s : float
        Rate of all requests received, admitted or refused.
    tokens : int
        Held by running requests.
    """

    workspace: str
    requests_per_s: float
    tokens: int


@attrs.define
class _PeerReports:
    received_s: float
    demands: deque[Demand] = attrs.field(factory=lambda: deque(maxlen=REPORT_HISTORY))


@attrs.define
class DemandView:
    """The last demand reports of all entries for one workspace.

    Parameters
    ----------
    limit_per_s : float
        Limit of the workspace across all entries.
    report_timeout_s : float
        Age after which the reports of an entry are discarded.
    """

    limit_per_s: float
    report_timeout_s: float
    _own: deque[Demand] = attrs.field(
        init=False, factory=lambda: deque(maxlen=REPORT_HISTORY)
    )
    _others: dict[str, _PeerReports] = attrs.field(init=False, factory=dict)

    def record_own_report(self, demand: Demand) -> None:
        """Record the demand that this entry reports to the others."""
        self._own.append(demand)

    def record_report(self, entry_id: str, demand: Demand, now_s: float) -> None:
        """Record the report of another entry."""
        reports = self._others.setdefault(entry_id, _PeerReports(now_s))
        reports.received_s = now_s
        reports.demands.append(demand)

    def share(self, entries: int, now_s: float) -> float:
        """Return this entry's share of the limit, from 0 to 1.

        Parameters
        ----------
        entries : int
            Number of all entries, including this one.
        now_s : float
        """
        equal_share = 1.0 / max(1, entries)
        live = self._live_reports(now_s)
        floor_per_s = FLOOR_FRACTION * self.limit_per_s * equal_share
        if floor_per_s <= 0:
            return equal_share
        own_per_s = floor_per_s + self._lower_own_per_s()
        others_per_s = sum(
            floor_per_s + max(d.requests_per_s for d in reports.demands)
            for reports in live
        )
        share = own_per_s / (own_per_s + others_per_s)
        return share if len(live) >= entries - 1 else min(share, equal_share)

    def other_tokens(self, now_s: float) -> int:
        """Return the tokens held by other entries, by the higher of their reports."""
        return sum(max(d.tokens for d in r.demands) for r in self._live_reports(now_s))

    def _lower_own_per_s(self) -> float:
        # Before the second report, the others may not have received any.
        if len(self._own) < REPORT_HISTORY:
            return 0.0
        return min(demand.requests_per_s for demand in self._own)

    def _live_reports(self, now_s: float) -> list[_PeerReports]:
        oldest_s = now_s - self.report_timeout_s
        silent = [name for name, r in self._others.items() if r.received_s < oldest_s]
        for name in silent:
            del self._others[name]
        return list(self._others.values())
