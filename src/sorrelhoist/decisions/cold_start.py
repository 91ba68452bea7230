"""Rate limit for endpoints in a cold start, shared between all gateways.

Guards against the failure pattern "cold endpoints come back under load": a cold
endpoint looks idle, so it would attract all waiting requests and fail under them.
"""

import attrs

COLD_TARGET_UTILISATION = 0.7
"""Share of the cold capacity that is used; the rest absorbs uneven gateway load."""


@attrs.define
class _TokenBucket:
    tokens: float
    updated_s: float


class ColdStartLimiter:
    """Token bucket for each cold endpoint, limiting what this gateway sends to it.

    A placement takes a token, so that several placements made before the first of them
    is sent can't exceed the limit together. A placement that ends unsent returns it.

    Examples
    --------
    >>> cold = ColdStartLimiter()
    >>> [cold.try_place(f"r{n}", "a", 10.0, gateways=2, now_s=1.0) for n in range(5)]
    [True, True, True, False, False]
    >>> cold.sent("r0")
    >>> cold.release("r0")
    >>> cold.release("r1")
    >>> [cold.try_place(f"s{n}", "a", 10.0, gateways=2, now_s=1.0) for n in range(2)]
    [True, False]
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _TokenBucket] = {}
        self._unsent: dict[str, str] = {}

    def can_place(
        self, endpoint_id: str, requests_per_s: float, gateways: int, now_s: float
    ) -> bool:
        """Return whether one more request may be placed now, without taking a token."""
        share = _share_per_s(requests_per_s, gateways)
        return self._refilled(endpoint_id, share, now_s).tokens >= 1.0

    def try_place(
        self,
        request_id: str,
        endpoint_id: str,
        requests_per_s: float,
        gateways: int,
        now_s: float,
    ) -> bool:
        """Take a token if a request may be placed now; return whether one was taken.

        Parameters
        ----------
        request_id : str
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
        self._unsent[request_id] = endpoint_id
        return True

    def sent(self, request_id: str) -> None:
        """Record that a placed request was sent, so that its token stays spent."""
        self._unsent.pop(request_id, None)

    def release(self, request_id: str) -> None:
        """Return the token of a request that was placed and not sent."""
        endpoint_id = self._unsent.pop(request_id, None)
        if endpoint_id is not None:
            self._buckets[endpoint_id].tokens += 1.0

    def _refilled(self, endpoint_id: str, share: float, now_s: float) -> _TokenBucket:
        max_tokens = max(1.0, share)
        bucket = self._buckets.setdefault(endpoint_id, _TokenBucket(max_tokens, now_s))
        elapsed_s = now_s - bucket.updated_s
        bucket.tokens = min(max_tokens, bucket.tokens + elapsed_s * share)
        bucket.updated_s = now_s
        return bucket


def _share_per_s(requests_per_s: float, gateways: int) -> float:
    return requests_per_s * COLD_TARGET_UTILISATION / max(1, gateways)
