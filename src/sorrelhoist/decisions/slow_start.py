"""Slow start: the allowance of an endpoint grows with completed work."""

from typing import Self

import attrs

from .endpoint_limits import EndpointLimits

FAILURE_BACKOFF_FACTOR = 0.5
PACE_FACTOR = 0.5
MIN_PACE = 1 / 64
MIN_UTILISATION = 0.5


@attrs.frozen
class Doubling:
    """Double the allowance for each full allowance of completed work."""


@attrs.frozen
class Additive:
    """Add `requests` for each full allowance of completed work."""

    requests: float = 1.0


Growth = Doubling | Additive


@attrs.define
class SlowStart:
    """Concurrency and KV cache allowance of an endpoint that warms up.

    The allowance grows with completed work, but only while it is well utilised: at
    low utilisation, completed work does not show that the endpoint can take more.

    Parameters
    ----------
    floor_requests, floor_tokens : float
        Allowance in a cold start.
    ceiling_requests, ceiling_tokens : float
        Full limits of the endpoint.
    growth : Growth
        How the allowance grows.
    min_pace : float
        Lower bound of the growth factor. The factor is halved each time the endpoint
        turns cold while it warms up, and doubled, up to 1, when it reaches the full
        limits. 1 keeps the factor constant.

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
        """Return a cold slow start under the limits of an endpoint."""
        return cls(
            min(limits.cold_running_requests, limits.max_running_requests),
            limits.cold_kv_tokens,
            limits.max_running_requests,
            limits.kv_capacity_tokens,
        )

    @property
    def allowed_requests(self) -> int:
        """Number of requests that may run concurrently."""
        return int(self._requests)

    @property
    def allowed_tokens(self) -> int:
        """KV cache that may be granted."""
        return int(self._tokens)

    @property
    def full(self) -> bool:
        """True when the allowance has reached the full limits."""
        return (
            self._requests >= self.ceiling_requests
            and self._tokens >= self.ceiling_tokens
        )

    def reset(self) -> None:
        """Return to the allowance of a cold start."""
        self._requests = self.floor_requests
        self._tokens = self.floor_tokens

    def completed(self, tokens: int, used_requests: int, used_tokens: int) -> None:
        """Grow the allowance after a completed request.

        Parameters
        ----------
        tokens : int
            KV cache that was granted to the request.
        used_requests, used_tokens : int
            Total usage just before the request completed.
        """
        busy = (
            used_requests >= self._requests * MIN_UTILISATION
            or used_tokens >= self._tokens * MIN_UTILISATION
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

    def back_off(self) -> None:
        """Reset the allowance and halve the growth factor: growth was too fast."""
        self._pace = max(self.min_pace, self._pace * PACE_FACTOR)
        self.reset()

    def troubled(self) -> None:
        """Halve the allowance after a failure of the endpoint."""
        self._requests *= FAILURE_BACKOFF_FACTOR
        self._tokens *= FAILURE_BACKOFF_FACTOR
        self._clamp()

    def set_limits(self, limits: EndpointLimits) -> None:
        """Apply new limits; a higher ceiling does not raise the allowance at once."""
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
        """Return the state as plain data."""
        return {
            "allowed_requests": self.allowed_requests,
            "allowed_tokens": self.allowed_tokens,
            "full": self.full,
            "pace": self._pace,
        }
