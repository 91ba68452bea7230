"""Quantiles of observations whose weight decays with their age."""

import math
from collections.abc import Iterable

DECAY_S = 120.0
"""Time in which the weight of an observation falls to 1/e."""

MAX_EXPONENT = 60.0
"""Largest exponent of a weight, after which all weights are scaled down."""

_MIN_VALUE = 1e-5


class DecayingQuantile:
    """Quantiles of observations whose weight decays with their age.

    Parameters
    ----------
    bucket_growth : float
        Ratio of the bounds of a bucket: a quantile is overestimated by less than this.

    Examples
    --------
    >>> seen = DecayingQuantile()
    >>> for _ in range(99):
    ...     seen.add(1.0, now_s=0.0)
    >>> seen.add(50.0, now_s=0.0)
    >>> 1.0 <= seen.quantile(0.9, now_s=0.0) < 1.1
    True
    >>> round(seen.weight(now_s=120.0))
    37
    """

    def __init__(self, bucket_growth: float = 1.1) -> None:
        self._growth = bucket_growth
        self._weights: dict[int, float] = {}
        self._since_s: float | None = None

    def add(self, value: float, now_s: float, weight: float = 1.0) -> None:
        """Add an observation."""
        if self._since_s is None:
            self._since_s = now_s
        exponent = (now_s - self._since_s) / DECAY_S
        if exponent > MAX_EXPONENT:
            self._weights = {
                bucket: scaled
                for bucket, weight in self._weights.items()
                if (scaled := weight * math.exp(-exponent)) > 0.0
            }
            self._since_s, exponent = now_s, 0.0
        bucket = math.ceil(math.log(max(value, _MIN_VALUE)) / math.log(self._growth))
        self._weights[bucket] = self._weights.get(bucket, 0.0) + weight * math.exp(
            exponent
        )

    def weight(self, now_s: float) -> float:
        """Return the weight of all observations."""
        return sum(self._weights.values()) * self._scale(now_s)

    def quantile(
        self, share: float, now_s: float, more: Iterable[tuple[float, float]] = ()
    ) -> float | None:
        """Return the value below which a share of the weight lies; None without any.

        Parameters
        ----------
        share : float
        now_s : float
        more : iterable of tuple of (float, float)
            Values that count besides, with their weights.
        """
        scale = self._scale(now_s)
        weighted = [
            (self._growth**bucket, weight * scale)
            for bucket, weight in self._weights.items()
        ]
        weighted += more
        total = sum(weight for _, weight in weighted)
        if total <= 0.0:
            return None
        weighted.sort()
        left = share * total
        for value, weight in weighted:
            left -= weight
            if left < 0.0:
                return value
        return weighted[-1][0]

    def _scale(self, now_s: float) -> float:
        if self._since_s is None:
            return 0.0
        return math.exp(-(now_s - self._since_s) / DECAY_S)
