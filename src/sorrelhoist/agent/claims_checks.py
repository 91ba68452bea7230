"""Settings of a plain service, and validation of a call before anything runs."""

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
class ServiceOptions:
    """Settings of a plain service from the configuration.

    Parameters
    ----------
    at_most_once : bool
        Calls must not run twice, so each needs a claim in the log. If false, calls
        are sent straight to the service.
    offers_lookup : bool
        The service answers look-ups by idempotency key.
    window : KeyWindow
        How long idempotency keys are accepted.
    max_keys : int
        Maximum number of keys in the index.
    """

    at_most_once: bool = True
    offers_lookup: bool = False
    window: KeyWindow = attrs.field(factory=KeyWindow)
    max_keys: int = DEFAULT_MAX_KEYS


def answer_deadline(call: ttypes.ServiceCall, now_s: float, window: KeyWindow) -> float:
    """Return the deadline for the agent's answer to a call.

    It leaves a small part of the budget for the network hop back to the caller.

    Parameters
    ----------
    call : ServiceCall
        The call, with the remaining time in `budget_ms`.
    now_s : float
        The present time, in monotonic seconds.
    window : KeyWindow
        Its `max_budget_s` limits the budget.

    Returns
    -------
    float
        The deadline in monotonic seconds.

    Raises
    ------
    InvalidRequestError, DeadlineExceededError
        If the path is invalid, or no time is left.
    """
    if not call.path.startswith("/"):
        raise InvalidRequestError("The path has no leading slash.", not_run=True)
    budget_s = min(call.budget_ms / MS_PER_S, window.max_budget_s)
    if budget_s <= 0:
        raise DeadlineExceededError("No time is left.", not_run=True)
    margin_s = min(MAX_ANSWER_MARGIN_S, ANSWER_MARGIN_FRACTION * budget_s)
    return now_s + budget_s - margin_s


def validated_key(
    call: ttypes.ServiceCall, now_unix_s: float, window: KeyWindow
) -> IdempotencyKey:
    """Return the idempotency key of a call after validating it.

    Parameters
    ----------
    call : ServiceCall
        The call, with the key as sent by the caller.
    now_unix_s : float
        The present time, in seconds since 1970.
    window : KeyWindow
        How long keys are accepted.

    Returns
    -------
    IdempotencyKey

    Raises
    ------
    InvalidRequestError, KeyExpiredError
        If the key is malformed, from the future or too old.
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
