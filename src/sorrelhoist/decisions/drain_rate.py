"""Rate at which running requests end, used to compute Retry-After."""

import attrs

EWMA_WEIGHT = 0.1
"""Weight of a new interval in the moving average, which covers about the last ten."""

INITIAL_INTERVAL_S = 0.25
"""Interval assumed before any request has ended: requests of one second on four
slots."""

MAX_INTERVAL_S = 5.0
"""Cap on an observed interval: idle times say nothing about how fast a full service
drains."""


@attrs.define(eq=False, repr=False)
class DrainRate:
    """Moving average of the time between the ends of two requests.

    Examples
    --------
    >>> rate = DrainRate()
    >>> for tenth in range(100):
    ...     rate.ended(now_s=tenth / 10)
    >>> round(rate.interval_s, 2)
    0.1
    """

    interval_s: float = INITIAL_INTERVAL_S
    _ended_s: float | None = None

    def ended(self, now_s: float) -> None:
        """Record the end of a request."""
        if self._ended_s is not None:
            interval_s = min(now_s - self._ended_s, MAX_INTERVAL_S)
            self.interval_s += EWMA_WEIGHT * (interval_s - self.interval_s)
        self._ended_s = now_s
