"""Turn denials from agents into the errors that callers see."""

from collections.abc import Sequence

from ..exceptions import (
    DeadlineExceededError,
    EndpointFailedError,
    EndpointsStartingError,
    InvalidRequestError,
    KeyExpiredError,
    KeyReusedError,
    LimitExceededError,
    LogUnavailableError,
    NotReadyError,
    OutcomeUnknownError,
    OverloadedError,
    RequestSuspectedError,
    SorrelhoistError,
)
from ..messages.gen import ttypes

DEFAULT_RETRY_AFTER_S = 1.0
MS_PER_S = 1000.0
# Denials of endpoints and agents that are about to open.
STARTING_KINDS = frozenset({"cold", "endpoint_unknown", "not_ready"})

_KINDS: dict[str, type[SorrelhoistError]] = {
    error.kind: error
    for error in (
        DeadlineExceededError,
        EndpointFailedError,
        InvalidRequestError,
        KeyExpiredError,
        KeyReusedError,
        LimitExceededError,
        LogUnavailableError,
        NotReadyError,
        OutcomeUnknownError,
        OverloadedError,
        RequestSuspectedError,
    )
}


def retry_after_s(denial: ttypes.Denial) -> float | None:
    """Return when to ask again, in seconds, or None if the denial names no time."""
    if not denial.retry_after_ms:
        return None
    return denial.retry_after_ms / MS_PER_S


def error_of(denial: ttypes.Denial) -> SorrelhoistError:
    """Return the error that a caller sees for one denial."""
    cls = _KINDS.get(denial.kind, OverloadedError)
    return cls(
        denial.message,
        denial.remedy,
        not_run=bool(denial.not_run),
        retry_after_s=retry_after_s(denial),
    )


def refusal_of(denials: Sequence[ttypes.Denial]) -> OverloadedError:
    """Return one refusal for a request that no endpoint would take.

    Parameters
    ----------
    denials : sequence of Denial
        All of them before anything was submitted.

    Returns
    -------
    OverloadedError
        With the earliest time at which one of them expects to have room.
    """
    times_s = [time_s for denial in denials if (time_s := retry_after_s(denial))]
    reasons = sorted({denial.kind for denial in denials if denial.kind})
    is_starting = bool(reasons) and STARTING_KINDS.issuperset(reasons)
    refusal = EndpointsStartingError if is_starting else OverloadedError
    message = "No endpoint can serve the request in time"
    if reasons:
        message += f" ({', '.join(reasons)})"
    return refusal(
        message + ".",
        not_run=True,
        retry_after_s=min(times_s, default=DEFAULT_RETRY_AFTER_S),
    )
