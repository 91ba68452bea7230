"""Rate limit for endpoints in a cold start, shared between all gateways.

Guards against the failure pattern "cold endpoints come back under load": a cold
endpoint looks idle, so it would attract all waiting requests and fail under them.
"""

import attrs

COLD_TARGET_UTILISATION = 0.7
"""Share of the cold capacity that is used; the rest absorbs uneven gateway load."""

COLD_REPORT_DELAY_S = 1.5
"""Delay until an endpoint reports its own cold start: one heartbeat."""


@attrs.define
class _TokenBucket:
    tokens: float
    updated_s: float


class ColdStartLimiter:
    """Token bucket for each cold endpoint, limiting what this gateway sends to it.

    Examples
    --------
    >>> cold = ColdStartLimiter()
    >>> [cold.try_send("a", 10.0, gateways=2, now_s=1.0) for _ in range(5)]
    [True, True, True, False, False]
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _TokenBucket] = {}

    def can_send(
        self, endpoint_id: str, requests_per_s: float, gateways: int, now_s: float
    ) -> bool:
        """Return whether one more request may be sent now, without taking a token."""
        share = _share_per_s(requests_per_s, gateways)
        return self._refilled(endpoint_id, share, now_s).tokens >= 1.0

    def try_send(
        self, endpoint_id: str, requests_per_s: float, gateways: int, now_s: float
    ) -> bool:
        """Take a token if a request may be sent now; return whether one was taken.

        Parameters
        ----------
        endpoint_id : str
        requests_per_s : float
            Cold capacity of the endpoint, for all gateways together.
        gateways : int
            Number of gateways that share this capacity.
        now_s : float
            The present time, monotonic seconds.
        """
        share = _share_per_s(requests_per_s, gateways)
        bucket = self._refilled(endpoint_id, share, now_s)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _refilled(self, endpoint_id: str, share: float, now_s: float) -> _TokenBucket:
        max_tokens = max(1.0, share)
        bucket = self._buckets.setdefault(endpoint_id, _TokenBucket(max_tokens, now_s))
        elapsed_s = now_s - bucket.updated_s
        bucket.tokens = min(max_tokens, bucket.tokens + elapsed_s * share)
        bucket.updated_s = now_s
        return bucket


def _share_per_s(requests_per_s: float, gateways: int) -> float:
    return requests_per_s * COLD_TARGET_UTILISATION / max(1, gateways)
