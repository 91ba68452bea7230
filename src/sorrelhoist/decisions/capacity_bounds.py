"""Capacity check: whether a request fits on an endpoint besides the running ones."""

import attrs

from .endpoint_limits import EndpointLimits
from .grants import Lane


@attrs.frozen(kw_only=True)
class Usage:
    """Usage by grants and by what the engine still holds."""

    requests: int = 0
    kv_tokens: int = 0
    long_requests: int = 0
    long_kv_tokens: int = 0
    alone: bool = False


@attrs.frozen(kw_only=True)
class Bounds:
    """Upper bounds of what may be granted at the same time.

    Parameters
    ----------
    kv_tokens : int
        KV cache capacity, minus the use outside the grants.
    allowed_requests, allowed_tokens : int
        Current allowance of slow start, at most the full limits, minus the use
        outside the grants.
    foreign_requests : int
        Requests that run on the endpoint without a grant.
    long_requests, long_kv_tokens : int
        Share for long requests.
    short_requests, short_kv_tokens : int, optional
        Share for short requests while a starved long one waits; None for no bound.
    alone_waits : bool
        True while a starved exclusive request waits, so that no other may start.
    long_uses_short_allowance : bool
        Whether long requests count against the allowance of short ones, as they do
        while the allowance is that of a cold start.
    """

    kv_tokens: int
    allowed_requests: int
    allowed_tokens: int
    foreign_requests: int
    long_requests: int
    long_kv_tokens: int
    short_requests: int | None = None
    short_kv_tokens: int | None = None
    alone_waits: bool = False
    long_uses_short_allowance: bool = True


def fits(lane: Lane, kv_tokens: int, usage: Usage, bounds: Bounds) -> bool:
    """Return whether one more request may start.

    On an idle endpoint, a request may exceed the KV cache allowance of slow start:
    otherwise a prompt larger than the cold allowance would never start.
    """
    if usage.alone:
        return False
    if usage.kv_tokens + kv_tokens > bounds.kv_tokens:
        return False
    if usage.requests + 1 > bounds.allowed_requests:
        return False
    allowance_used = _allowance_used(lane, usage, bounds)
    if usage.requests and allowance_used + kv_tokens > bounds.allowed_tokens:
        return False
    match lane:
        case Lane.ALONE:
            return usage.requests == 0 and bounds.foreign_requests == 0
        case Lane.LONG:
            return not bounds.alone_waits and fits_long(kv_tokens, usage, bounds)
        case Lane.SHORT:
            return not bounds.alone_waits and _fits_short(kv_tokens, usage, bounds)


def _allowance_used(lane: Lane, usage: Usage, bounds: Bounds) -> int:
    # After a cold start, a long request that exceeds the allowance must not block
    # short ones for as long as it runs.
    if lane is Lane.SHORT and not bounds.long_uses_short_allowance:
        return usage.kv_tokens - usage.long_kv_tokens
    return usage.kv_tokens


def fits_long(kv_tokens: int, usage: Usage, bounds: Bounds) -> bool:
    """Return whether a request fits into the share for long requests."""
    return (
        usage.long_requests + 1 <= bounds.long_requests
        and usage.long_kv_tokens + kv_tokens <= bounds.long_kv_tokens
    )


def _fits_short(kv_tokens: int, usage: Usage, bounds: Bounds) -> bool:
    short_requests = usage.requests - usage.long_requests
    short_kv_tokens = usage.kv_tokens - usage.long_kv_tokens
    if bounds.short_requests is not None and short_requests >= bounds.short_requests:
        return False
    if bounds.short_kv_tokens is None:
        return True
    return short_kv_tokens + kv_tokens <= bounds.short_kv_tokens


def lane_of(prompt_tokens: int, alone: bool, limits: EndpointLimits) -> Lane:
    """Return the lane of a request."""
    if alone:
        return Lane.ALONE
    if prompt_tokens >= limits.long_prompt_tokens:
        return Lane.LONG
    return Lane.SHORT
