"""How many requests an endpoint in a cold start may get from all gateways together.

Answers the pattern "cold endpoints come back under load": they look idle and would
draw all the work that waits, and fall over under it.
"""

import attrs

COLD_SHARE = 0.7
"""Part of what an endpoint bears that is used, since load is uneven over gateways."""

KNOWN_LATE_S = 1.5
"""An endpoint reports a cold start of its own this much late: one heartbeat."""


@attrs.define
class _Bucket:
    tokens: float
    updated_s: float


class ColdStarts:
    """Counts what this gateway sends to endpoints in a cold start.

    Examples
    --------
    >>> cold = ColdStarts()
    >>> [cold.try_send("a", 10.0, gateways=2, now_s=1.0) for _ in range(5)]
    [True, True, True, False, False]
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def has_room(
        self, endpoint_id: str, requests_per_s: float, gateways: int, now_s: float
    ) -> bool:
        """Tell whether one more request may be sent now."""
        share = _share_per_s(requests_per_s, gateways)
        return self._refilled(endpoint_id, share, now_s).tokens >= 1.0

    def try_send(
        self, endpoint_id: str, requests_per_s: float, gateways: int, now_s: float
    ) -> bool:
        """Count a request if it may be sent now.

        Parameters
        ----------
        endpoint_id : str
        requests_per_s : float
            What the endpoint bears from all gateways.
        gateways : int
            How many share it.
        now_s : float
        """
        share = _share_per_s(requests_per_s, gateways)
        bucket = self._refilled(endpoint_id, share, now_s)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def _refilled(self, endpoint_id: str, share: float, now_s: float) -> _Bucket:
        most = max(1.0, share)
        bucket = self._buckets.setdefault(endpoint_id, _Bucket(most, now_s))
        elapsed_s = now_s - bucket.updated_s
        bucket.tokens = min(most, bucket.tokens + elapsed_s * share)
        bucket.updated_s = now_s
        return bucket


def _share_per_s(requests_per_s: float, gateways: int) -> float:
    return requests_per_s * COLD_SHARE / max(1, gateways)
