"""What a plain service is, and the checks before anything is done for a call."""

import attrs
from returns.result import Failure, Success

from ..decisions.claims_fold import DEFAULT_MAX_KEYS
from ..decisions.idempotency import (
    IdempotencyKey,
    KeyExpired,
    KeyFromFuture,
    KeyMalformed,
    KeyWindow,
    check_key,
)
from ..exceptions import (
    DeadlineExceededError,
    InvalidRequestError,
    KeyExpiredError,
)
from ..messages.gen import ttypes

MS_PER_S = 1000
ANSWER_MARGIN_FRACTION = 0.05
MAX_ANSWER_MARGIN_S = 0.1


@attrs.frozen
class ServiceTraits:
    """What the configuration says of the service.

    Parameters
    ----------
    at_most_once : bool
        Calls may not be repeated. Others go straight through.
    offers_lookup : bool
        The service answers look-ups by key.
    window : KeyWindow
        How long idempotency keys are honoured.
    max_keys : int
        The bound of the index of keys.
    """

    at_most_once: bool = True
    offers_lookup: bool = False
    window: KeyWindow = attrs.field(factory=KeyWindow)
    max_keys: int = DEFAULT_MAX_KEYS


def deadline_of(call: ttypes.ServiceCall, now_s: float, window: KeyWindow) -> float:
    """Return by when the agent must answer a call.

    A small part of the budget is left for the way back.

    Parameters
    ----------
    call : ServiceCall
        With the time left in `budget_ms`.
    now_s : float
        The present time, in monotonic seconds.
    window : KeyWindow
        With the longest budget.

    Returns
    -------
    float
        In monotonic seconds.

    Raises
    ------
    InvalidRequestError, DeadlineExceededError
        If the call can't be made, or no time is left.
    """
    if not call.path.startswith("/"):
        raise InvalidRequestError("The path has no leading slash.", not_run=True)
    budget_s = min(call.budget_ms / MS_PER_S, window.max_budget_s)
    if budget_s <= 0:
        raise DeadlineExceededError("No time is left.", not_run=True)
    margin_s = min(MAX_ANSWER_MARGIN_S, ANSWER_MARGIN_FRACTION * budget_s)
    return now_s + budget_s - margin_s


def checked_key(
    call: ttypes.ServiceCall, now_unix_s: float, window: KeyWindow
) -> IdempotencyKey:
    """Return the idempotency key of a call.

    Parameters
    ----------
    call : ServiceCall
        With its key as the caller sent it.
    now_unix_s : float
        The present time, in seconds since 1970.
    window : KeyWindow
        How long keys are honoured.

    Returns
    -------
    IdempotencyKey

    Raises
    ------
    InvalidRequestError, KeyExpiredError
        If the key can't be used.
    """
    match check_key(call.idempotency_key, now_unix_s, window):
        case Success(key):
            return key
        case Failure(KeyMalformed(reason)):
            raise InvalidRequestError(
                f"The idempotency key can't be used: {reason}.",
                "Send a UUIDv7 as Idempotency-Key.",
            )
        case Failure(KeyFromFuture(ahead_s)):
            raise InvalidRequestError(
                f"The idempotency key's time is {ahead_s:.0f} seconds ahead.",
                "Set the clock that the key was made with.",
            )
        case Failure(KeyExpired(age_s)):
            raise KeyExpiredError(
                f"The idempotency key is {age_s:.0f} seconds old, more than "
                f"{window.window_s:.0f}."
            )
    raise AssertionError("unreachable")
