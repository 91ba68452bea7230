"""Passive health checks: endpoints with recent failures are avoided for a while.

An endpoint may fail part of its requests while it reports itself healthy. The score is
therefore based on the outcome of requests, not on what the endpoint reports.
"""

import attrs

HALF_LIFE_S = 3.0
"""Half-life of a failure in the score without further requests: an endpoint that
crashed is back after some seconds."""

AVOID_SCORE = 0.7
"""Score from which an endpoint is avoided: one failure just now, or several recent
ones."""

NEGLIGIBLE_SCORE = AVOID_SCORE / 10
"""Score below which an endpoint is forgotten."""

SUCCESS_FACTOR = 0.8
"""Factor by which a success reduces the score."""

MAX_SCORE = 6.0
"""Upper bound of the score, so that an endpoint is not avoided for much longer than
four half-lives."""


@attrs.define(eq=False, repr=False)
class _Score:
    value: float
    updated_s: float

    def at(self, now_s: float) -> float:
        return self.value * 0.5 ** (max(0.0, now_s - self.updated_s) / HALF_LIFE_S)


class FailureTracker:
    """Failure scores by endpoint, with exponential decay.

    Examples
    --------
    >>> failures = FailureTracker()
    >>> failures.failed("a", now_s=0.0)
    >>> failures.is_avoided("a", now_s=1.0), failures.is_avoided("a", now_s=2.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._scores: dict[str, _Score] = {}

    def failed(self, endpoint_id: str, now_s: float, weight: float = 1.0) -> None:
        """Record a request that the endpoint failed."""
        value = min(MAX_SCORE, self.score(endpoint_id, now_s) + weight)
        self._scores[endpoint_id] = _Score(value, now_s)

    def succeeded(self, endpoint_id: str, now_s: float) -> None:
        """Record a complete answer."""
        if endpoint_id in self._scores:
            value = self.score(endpoint_id, now_s) * SUCCESS_FACTOR
            self._scores[endpoint_id] = _Score(value, now_s)
            if value < NEGLIGIBLE_SCORE:
                del self._scores[endpoint_id]

    def score(self, endpoint_id: str, now_s: float) -> float:
        """Return the decayed sum of the failures of an endpoint."""
        score = self._scores.get(endpoint_id)
        return score.at(now_s) if score else 0.0

    def is_avoided(
        self, endpoint_id: str, now_s: float, peer_evidence: float = 0.0
    ) -> bool:
        """Return whether requests should go to another endpoint if there is one.

        Parameters
        ----------
        endpoint_id : str
        now_s : float
        peer_evidence : float
            Added to the score, from failures that other gateways report.
        """
        return self.score(endpoint_id, now_s) + peer_evidence >= AVOID_SCORE

    def worst(self, count: int, now_s: float) -> dict[str, float]:
        """Return the highest scores, to report them to other gateways."""
        scores = {key: self.score(key, now_s) for key in self._scores}
        self._scores = {
            key: score
            for key, score in self._scores.items()
            if scores[key] >= NEGLIGIBLE_SCORE
        }
        ranked = sorted(self._scores, key=lambda key: -scores[key])
        return {key: scores[key] for key in ranked[:count]}

    def dump(self, now_s: float) -> dict:
        """Return the state as plain data."""
        return {key: self.score(key, now_s) for key in self._scores}
