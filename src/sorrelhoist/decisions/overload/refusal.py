"""Refusal of requests that can't be served in time, and their Retry-After.

The load pattern is callers that compete for too little capacity. One that waits in vain
loses the time in which it could have been served later, so it is told at once.
"""

import random

import attrs

from ..retry_after import MIN_RETRY_AFTER_S
from .start_estimate import StartEstimate

HONOURED_SHARE = 1 / 3
"""A caller honours a Retry-After of up to this fraction of its remaining time."""

SPREAD = 1.0
"""Retries are spread over up to this multiple of the wait, so that callers that were
refused together don't return together."""


@attrs.frozen(kw_only=True)
class TimeLimits:
    """Times left to a request, from now.

    Parameters
    ----------
    deadline_left_s : float
        Time after which an answer is useless.
    queue_left_s : float
        Longest time that it may wait for placement.
    min_answer_s : float
        Shortest time from its start to its first event.
    """

    deadline_left_s: float
    queue_left_s: float
    min_answer_s: float = 0.0


def is_unservable(estimate: StartEstimate, limits: TimeLimits) -> bool:
    """Return whether a request can't be served, however long it waits here.

    A prompt may be placed behind others, so what is ahead in prefill only has to fit
    before its deadline. Without a slot it can't be placed at all.

    Examples
    --------
    >>> limits = TimeLimits(deadline_left_s=10.0, queue_left_s=0.2, min_answer_s=1.0)
    >>> is_unservable(StartEstimate(prefill_s=8.0, slot_s=0.1), limits)
    False
    >>> is_unservable(StartEstimate(prefill_s=9.5), limits)
    True
    >>> is_unservable(StartEstimate(slot_s=0.3), limits)
    True
    """
    return (
        estimate.prefill_s + limits.min_answer_s > limits.deadline_left_s
        or estimate.slot_s > limits.queue_left_s
    )


def overload_retry_after_s(
    wait_s: float, queue_s: float, deadline_left_s: float, rng: random.Random
) -> float | None:
    """Return when a refused caller should return, spread out; None if never.

    It may return as early as the time that it can spend in the queue before its start.

    Parameters
    ----------
    wait_s : float
        Time until it could start.
    queue_s : float
        Time that it may wait in the queue when it returns.
    deadline_left_s : float
    rng : random.Random

    Examples
    --------
    >>> overload_retry_after_s(9.0, 1.0, 10.0, random.Random(1)) is None
    True
    >>> 2.0 <= overload_retry_after_s(3.0, 1.0, 10.0, random.Random(1)) <= 10 / 3
    True
    """
    latest_s = deadline_left_s * HONOURED_SHARE
    earliest_s = max(wait_s - queue_s, MIN_RETRY_AFTER_S)
    if earliest_s > latest_s:
        return None
    spread_to_s = min(max(wait_s, earliest_s) * (1 + SPREAD), latest_s)
    return rng.uniform(earliest_s, max(earliest_s, spread_to_s))
