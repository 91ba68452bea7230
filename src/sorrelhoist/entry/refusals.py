"""Counts an entry's recent requests and its refusals, by kind of error."""

from collections import Counter, deque

import attrs

BUCKET_S = 10.0
RETENTION_S = 600.0


@attrs.define
class _Bucket:
    number: int
    requests: int = 0
    refusals: Counter[str] = attrs.field(factory=Counter)


@attrs.define
class RecentRefusals:
    """Sliding-window counts of requests and refusals.

    Counts are kept in buckets of `BUCKET_S` for `RETENTION_S`, so that memory is
    bounded.

    Examples
    --------
    >>> recent = RecentRefusals()
    >>> recent.refused("overloaded", now_s=5.0)
    >>> recent.refusals(60.0, now_s=20.0)
    Counter({'overloaded': 1})
    >>> recent.refusals(60.0, now_s=100.0)
    Counter()
    """

    _buckets: deque[_Bucket] = attrs.field(factory=deque)

    def requested(self, now_s: float) -> None:
        """Count a request that was authenticated and admitted."""
        self._bucket(now_s).requests += 1

    def refused(self, kind: str, now_s: float) -> None:
        """Count an error response of this kind."""
        self._bucket(now_s).refusals[kind] += 1

    def requests(self, window_s: float, now_s: float) -> int:
        """Return the number of requests in the last `window_s` seconds."""
        return sum(bucket.requests for bucket in self._recent(window_s, now_s))

    def refusals(self, window_s: float, now_s: float) -> Counter[str]:
        """Return the refusals in the last `window_s` seconds, by kind of error."""
        total: Counter[str] = Counter()
        for bucket in self._recent(window_s, now_s):
            total += bucket.refusals
        return total

    def _recent(self, window_s: float, now_s: float) -> list[_Bucket]:
        oldest = int((now_s - window_s) // BUCKET_S)
        return [bucket for bucket in self._buckets if bucket.number > oldest]

    def _bucket(self, now_s: float) -> _Bucket:
        number = int(now_s // BUCKET_S)
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        while self._buckets[0].number <= number - RETENTION_S / BUCKET_S:
            self._buckets.popleft()
        return self._buckets[-1]
