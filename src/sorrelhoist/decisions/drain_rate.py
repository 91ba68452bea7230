"""How fast places become free, for advice on when to come back."""

import attrs

GAIN = 0.1
"""Weight of a new interval: the average follows the last ten or so."""

FIRST_INTERVAL_S = 0.25
"""Assumed before any request has ended: a request of one second on four places."""

LONGEST_INTERVAL_S = 5.0
"""Quiet times say nothing of how fast a full service drains."""


@attrs.define
class DrainRate:
    """Average time between two ends of requests.

    Examples
    --------
    >>> rate = DrainRate()
    >>> for tenth in range(100):
    ...     rate.ended(now_s=tenth / 10)
    >>> round(rate.interval_s, 2)
    0.1
    """

    interval_s: float = FIRST_INTERVAL_S
    _ended_s: float | None = None

    def ended(self, now_s: float) -> None:
        """Note the end of a request."""
        if self._ended_s is not None:
            interval_s = min(now_s - self._ended_s, LONGEST_INTERVAL_S)
            self.interval_s += GAIN * (interval_s - self.interval_s)
        self._ended_s = now_s
