"""Estimate of the memory that the program needs for itself."""

import attrs

MIN_BASE_BYTES = 32 * 1024 * 1024
"""Lower bound: a process without work takes about 40 MB."""

MAX_BASE_SHARE = 0.5
"""Upper bound as a fraction of the limit, so that some budget is always left."""

GROWTH_TIME_S = 5.0
"""Time over which a rise of the estimate follows the measurements: memory that was
freed stays with the process for a while, and is used again by what is held next."""


@attrs.define(eq=False, repr=False, kw_only=True)
class ProgramBase:
    """Resident memory less what is held for callers, as a lower envelope in time.

    Parameters
    ----------
    limit_bytes : int
    base_bytes : float
    measured_s : float or None
        Time of the last measurement.

    Examples
    --------
    >>> base = ProgramBase(limit_bytes=200_000_000)
    >>> base.measure(45_000_000, held_bytes=0, now_s=0.0)
    >>> base.measure(95_000_000, held_bytes=40_000_000, now_s=3.0)
    >>> round(base.base_bytes / 1e6, 1)
    51.0
    """

    limit_bytes: int
    base_bytes: float = MIN_BASE_BYTES
    measured_s: float | None = None

    def measure(self, resident_bytes: int, held_bytes: int, now_s: float) -> None:
        """Adjust the estimate to a measured resident size."""
        found = min(
            max(resident_bytes - held_bytes, MIN_BASE_BYTES),
            self.limit_bytes * MAX_BASE_SHARE,
        )
        if self.measured_s is None or found < self.base_bytes:
            self.base_bytes = found
        else:
            share = min(1.0, (now_s - self.measured_s) / GROWTH_TIME_S)
            self.base_bytes += (found - self.base_bytes) * share
        self.measured_s = now_s
