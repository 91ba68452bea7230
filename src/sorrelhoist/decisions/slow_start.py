"""Slow start: an endpoint earns its full allowance by completed work."""

from typing import Self

import attrs

from .endpoint_limits import EndpointLimits

TROUBLE_FACTOR = 0.5
PACE_FACTOR = 0.5
MIN_PACE = 1 / 64
USED_FRACTION = 0.5


@attrs.frozen
class Doubling:
    """Double with each allowance of completed work."""


@attrs.frozen
class Additive:
    """Add so many requests with each allowance of completed work."""

    requests: float = 1.0


Growth = Doubling | Additive


@attrs.define
class SlowStart:
    """How much an endpoint may be given at once.

    The allowance grows with each allowance of completed work, as long as it is
    really used: work that never came near it proves nothing about a larger one.

    Parameters
    ----------
    floor_requests, floor_tokens : float
        What a cold start bears.
    ceiling_requests, ceiling_tokens : float
        The full limits.
    growth : Growth
        How the allowance grows.
    min_pace : float
        Growth is slowed down to this part, by half each time that the endpoint
        falls while it grows; reaching the full limits doubles it again. 1 keeps
        the pace.

    Examples
    --------
    >>> start = SlowStart(2, 1000, 16, 8000)
    >>> for _ in range(2):
    ...     start.completed(500, used_requests=2, used_tokens=900)
    >>> start.allowed_requests, start.allowed_tokens
    (2, 1450)
    """

    floor_requests: float
    floor_tokens: float
    ceiling_requests: float
    ceiling_tokens: float
    growth: Growth = Additive()
    min_pace: float = MIN_PACE
    _pace: float = attrs.field(init=False, default=1.0)
    _requests: float = attrs.field(init=False)
    _tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.reset()

    @classmethod
    def from_limits(cls, limits: EndpointLimits) -> Self:
        """Start cold under the limits of an endpoint."""
        return cls(
            min(limits.cold_running_requests, limits.max_running_requests),
            limits.cold_kv_tokens,
            limits.max_running_requests,
            limits.kv_capacity_tokens,
        )

    @property
    def allowed_requests(self) -> int:
        """Requests that may run side by side."""
        return int(self._requests)

    @property
    def allowed_tokens(self) -> int:
        """Memory that may be granted."""
        return int(self._tokens)

    @property
    def full(self) -> bool:
        """True when the allowance has reached the full limits."""
        return (
            self._requests >= self.ceiling_requests
            and self._tokens >= self.ceiling_tokens
        )

    def reset(self) -> None:
        """Go back to what a cold start bears."""
        self._requests = self.floor_requests
        self._tokens = self.floor_tokens

    def completed(self, tokens: int, used_requests: int, used_tokens: int) -> None:
        """Grow on a completed request.

        Parameters
        ----------
        tokens : int
            Memory that the request was granted.
        used_requests, used_tokens : int
            What was granted in all just before it completed.
        """
        busy = (
            used_requests >= self._requests * USED_FRACTION
            or used_tokens >= self._tokens * USED_FRACTION
        )
        if not busy:
            return
        part = max(1 / max(self._requests, 1), tokens / max(self._tokens, 1))
        part = min(part, 1.0)
        match self.growth:
            case Doubling():
                grown = part
            case Additive(requests=requests):
                grown = part * requests / max(self._requests, 1)
        was_full = self.full
        self._requests += self._requests * grown * self._pace
        self._tokens += self._tokens * grown * self._pace
        self._clamp()
        if self.full and not was_full:
            self._pace = min(1.0, self._pace / PACE_FACTOR)

    def fell(self) -> None:
        """Go back to the start and grow more slowly: growth was too fast."""
        self._pace = max(self.min_pace, self._pace * PACE_FACTOR)
        self.reset()

    def troubled(self) -> None:
        """Halve after a failure of the endpoint."""
        self._requests *= TROUBLE_FACTOR
        self._tokens *= TROUBLE_FACTOR
        self._clamp()

    def set_limits(self, limits: EndpointLimits) -> None:
        """Take new limits over without a jump upwards."""
        fresh = SlowStart.from_limits(limits)
        self.floor_requests = fresh.floor_requests
        self.floor_tokens = fresh.floor_tokens
        self.ceiling_requests = fresh.ceiling_requests
        self.ceiling_tokens = fresh.ceiling_tokens
        self._clamp()

    def _clamp(self) -> None:
        self._requests = min(
            max(self._requests, self.floor_requests), self.ceiling_requests
        )
        self._tokens = min(max(self._tokens, self.floor_tokens), self.ceiling_tokens)

    def dump(self) -> dict[str, object]:
        """Give the state as plain data."""
        return {
            "allowed_requests": self.allowed_requests,
            "allowed_tokens": self.allowed_tokens,
            "full": self.full,
            "pace": self._pace,
        }
