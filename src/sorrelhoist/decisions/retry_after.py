"""Retry-After times for refused requests: back-pressure with jitter."""

import random

import attrs

from .peer_configurations import PeerContact

ELSEWHERE_RETRY_AFTER_S = 0.05
"""Retry-After if another gateway can serve the caller at once: a retry that goes there
can still meet an objective of 200 ms."""

UNKNOWN_RETRY_AFTER_S = 0.2
"""Retry-After while nothing is known of other gateways, as right after a start."""

OUTAGE_RETRY_AFTER_S = 1.5
"""Shortest Retry-After if no gateway can serve the caller. It is spread over up to
twice this time. A caller has few retries, so one that comes back during the outage is
lost."""

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0
DEFAULT_JITTER = 0.2


@attrs.frozen
class BacklogBased:
    """Wait until the estimated backlog ahead is served.

    Parameters
    ----------
    jitter : float
        Largest random addition, as a fraction of the time.
    """

    jitter: float = DEFAULT_JITTER


@attrs.frozen
class Constant:
    """Always wait the same time."""

    delay_s: float = 1.0


@attrs.frozen
class Exponential:
    """Exponential backoff: double the time after each refusal, with full jitter."""

    base_s: float = 0.5
    max_s: float = MAX_RETRY_AFTER_S


RetryAfterPolicy = BacklogBased | Constant | Exponential


@attrs.frozen(kw_only=True)
class Backlog:
    """Backlog ahead of a refused request.

    Parameters
    ----------
    position : int
        Requests ahead in the queue.
    drain_interval_s : float
        Observed time between two departures from the queue.
    expected_wait_s : float
        Wait estimated from other data, such as the prefill in progress.
    attempt : int
        Number of earlier refusals of this request.
    """

    position: int
    drain_interval_s: float
    expected_wait_s: float = 0.0
    attempt: int = 0


def retry_after_s(
    advice: RetryAfterPolicy, backlog: Backlog, rng: random.Random | None = None
) -> float:
    """Return the time after which a refused caller should retry.

    Parameters
    ----------
    advice : RetryAfterPolicy
    backlog : Backlog
        Backlog known to the refusing process.
    rng : random.Random, optional
        Source of jitter; without it there is no jitter.

    Returns
    -------
    float
        Seconds from now, within `MIN_RETRY_AFTER_S` and `MAX_RETRY_AFTER_S`.

    Examples
    --------
    >>> retry_after_s(BacklogBased(), Backlog(position=3, drain_interval_s=0.5))
    2.0
    >>> retry_after_s(Constant(4.0), Backlog(position=3, drain_interval_s=0.5))
    4.0
    """
    draw = rng.random() if rng is not None else None
    match advice:
        case BacklogBased(jitter=jitter):
            drained_s = (backlog.position + 1) * backlog.drain_interval_s
            delay_s = max(drained_s, backlog.expected_wait_s)
            delay_s *= 1 + jitter * (draw or 0.0)
        case Constant(delay_s=constant_s):
            delay_s = constant_s
        case Exponential(base_s=base_s, max_s=max_s):
            delay_s = min(max_s, base_s * 2.0 ** min(backlog.attempt, 32))
            delay_s *= 1.0 if draw is None else draw
    return min(max(delay_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


def local_refusal_retry_after_s(others: PeerContact, rng: random.Random) -> float:
    """Return the Retry-After of a refusal for a reason local to this gateway.

    The load pattern is an outage of the store, for one gateway or for all: callers
    repeat at once at another gateway, which can serve them or not.

    Parameters
    ----------
    others : PeerContact
        Whether the other gateways are in contact with the store.
    rng : random.Random

    Examples
    --------
    >>> local_refusal_retry_after_s(PeerContact.FRESH, random.Random(1))
    0.05
    """
    match others:
        case PeerContact.FRESH:
            return ELSEWHERE_RETRY_AFTER_S
        case PeerContact.LOST:
            return OUTAGE_RETRY_AFTER_S * (1.0 + rng.random())
        case PeerContact.UNKNOWN:
            return UNKNOWN_RETRY_AFTER_S
