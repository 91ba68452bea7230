"""Which endpoints failed lately and are better left alone for a while.

Answers the pattern "an endpoint fails part of its requests while it says that it is
well": what counts is what became of requests, not what the endpoint reports.
"""

import attrs

HALF_LIFE_S = 3.0
"""After this time without requests a failure counts half: an endpoint that crashed
is back after some seconds."""

AVOID_SCORE = 0.7
"""From here on an endpoint is avoided: one failure just now, or several of late."""

SUCCESS_FACTOR = 0.8
"""What a success leaves of the score."""

MAX_SCORE = 6.0
"""Keeps an endpoint from being avoided for much longer than four half-lives."""


@attrs.define
class _Score:
    value: float
    updated_s: float

    def at(self, now_s: float) -> float:
        return self.value * 0.5 ** (max(0.0, now_s - self.updated_s) / HALF_LIFE_S)


class TroubleBook:
    """Recent failures by endpoint.

    Examples
    --------
    >>> book = TroubleBook()
    >>> book.failed("a", now_s=0.0)
    >>> book.is_avoided("a", now_s=1.0), book.is_avoided("a", now_s=2.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._scores: dict[str, _Score] = {}

    def failed(self, endpoint_id: str, now_s: float, weight: float = 1.0) -> None:
        """Note a request that the endpoint failed."""
        value = min(MAX_SCORE, self.score(endpoint_id, now_s) + weight)
        self._scores[endpoint_id] = _Score(value, now_s)

    def succeeded(self, endpoint_id: str, now_s: float) -> None:
        """Note a whole answer."""
        if endpoint_id in self._scores:
            value = self.score(endpoint_id, now_s) * SUCCESS_FACTOR
            self._scores[endpoint_id] = _Score(value, now_s)
            if value < AVOID_SCORE / 10:
                del self._scores[endpoint_id]

    def score(self, endpoint_id: str, now_s: float) -> float:
        """Return the sum of its failures, each aged."""
        score = self._scores.get(endpoint_id)
        return score.at(now_s) if score else 0.0

    def is_avoided(self, endpoint_id: str, now_s: float) -> bool:
        """Tell whether work should go elsewhere if it can."""
        return self.score(endpoint_id, now_s) >= AVOID_SCORE

    def dump(self, now_s: float) -> dict:
        """Return the state as plain data."""
        return {key: self.score(key, now_s) for key in self._scores}
