"""Failures of endpoints that other gateways report.

Guards against the failure pattern "endpoints of a failure domain are lost under load":
lost endpoints look idle and attract requests. With many gateways, each would have to
find each lost endpoint by failed requests of its own.
"""

from collections.abc import Mapping

import attrs

REPORT_TTL_S = 1.5
"""Age at which a report is ignored: three intervals of unchanged reports."""

PEER_WEIGHT = 0.5
"""Weight of a failure that a peer reports, against one of our own."""

MAX_DOMAIN_EVIDENCE = 0.5
"""Limit on the evidence from one other failure domain. It is below the score from which
an endpoint is avoided: all gateways of a domain may be cut off from an endpoint that
others reach."""

MAX_REPORTED = 32
"""Largest number of endpoints in one report, those with the highest scores."""

CACHE_S = 0.1
"""Time for which a sum over all peers is used again."""


@attrs.frozen
class _Report:
    failure_domain: str
    scores: Mapping[str, float]
    heard_s: float


class PeerFailures:
    """Evidence against endpoints, from the failure scores that peers report.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this gateway.

    Examples
    --------
    >>> peers = PeerFailures("zone-a")
    >>> peers.heard("g-2", "zone-b", {"i-1": 1.0}, now_s=1.0)
    >>> peers.heard("g-3", "zone-b", {"i-1": 1.0}, now_s=1.0)
    >>> peers.evidence(now_s=1.0)
    {'i-1': 0.5}
    >>> peers.heard("g-4", "zone-c", {"i-1": 1.0}, now_s=1.0)
    >>> peers.evidence(now_s=1.0)
    {'i-1': 1.0}
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._reports: dict[str, _Report] = {}
        self._evidence: dict[str, float] = {}
        self._summed_s = float("-inf")

    def heard(
        self,
        node_id: str,
        failure_domain: str,
        scores: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Replace the last report of a peer."""
        if scores:
            self._reports[node_id] = _Report(failure_domain, scores, now_s)
            self._summed_s = float("-inf")
        elif self._reports.pop(node_id, None) is not None:
            self._summed_s = float("-inf")

    def evidence(self, now_s: float) -> dict[str, float]:
        """Return the evidence against each endpoint, in units of failure scores."""
        if now_s - self._summed_s > CACHE_S:
            self._evidence = self._sum(now_s)
            self._summed_s = now_s
        return self._evidence

    def _sum(self, now_s: float) -> dict[str, float]:
        self._reports = {
            node_id: report
            for node_id, report in self._reports.items()
            if now_s - report.heard_s < REPORT_TTL_S
        }
        by_domain: dict[tuple[str, str], float] = {}
        for report in self._reports.values():
            for endpoint_id, score in report.scores.items():
                key = (endpoint_id, report.failure_domain)
                by_domain[key] = by_domain.get(key, 0.0) + score * PEER_WEIGHT
        totals: dict[str, float] = {}
        for (endpoint_id, domain), score in by_domain.items():
            is_own_domain = domain == self._failure_domain
            limited = score if is_own_domain else min(score, MAX_DOMAIN_EVIDENCE)
            totals[endpoint_id] = totals.get(endpoint_id, 0.0) + limited
        return totals
