"""Whether a request fits on an endpoint beside what runs there."""

import attrs

from .endpoint_limits import EndpointLimits
from .grants import Lane


@attrs.frozen(kw_only=True)
class Usage:
    """What is granted, or still held by the engine."""

    requests: int = 0
    kv_tokens: int = 0
    long_requests: int = 0
    long_kv_tokens: int = 0
    alone: bool = False


@attrs.frozen(kw_only=True)
class Bounds:
    """What may be granted at once.

    Parameters
    ----------
    kv_tokens : int
        Memory that is really there.
    allowed_requests, allowed_tokens : int
        What slow start allows now; at the most the full limits.
    foreign_requests : int
        Requests that run without a grant.
    long_requests, long_kv_tokens : int
        The part for long requests.
    short_requests, short_kv_tokens : int, optional
        The part for short requests while a long one waits its turn.
    alone_waits : bool
        True while a solitary request waits its turn: nothing else may start.
    long_in_allowance : bool
        Whether long requests use up the allowance of short ones: while it is that
        of a cold start.
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
    long_in_allowance: bool = True


def fits(lane: Lane, kv_tokens: int, usage: Usage, bounds: Bounds) -> bool:
    """Tell whether one more request may start.

    A lone request may go over what slow start allows in memory: else a prompt
    larger than the cold allowance would wait for ever.
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
    # Past a cold start a long request that went over the allowance must not
    # hold up short ones for as long as it runs.
    if lane is Lane.SHORT and not bounds.long_in_allowance:
        return usage.kv_tokens - usage.long_kv_tokens
    return usage.kv_tokens


def fits_long(kv_tokens: int, usage: Usage, bounds: Bounds) -> bool:
    """Tell whether a request fits beside the long ones in their part."""
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
    """Give the lane of a request."""
    if alone:
        return Lane.ALONE
    if prompt_tokens >= limits.long_prompt_tokens:
        return Lane.LONG
    return Lane.SHORT
