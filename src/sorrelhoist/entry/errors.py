"""Convert denials from agents into the errors that callers receive."""

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
# Kinds of denial from endpoints and agents that are still starting up.
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
    """Return the seconds to wait before a retry, or None if the denial gives none."""
    if not denial.retry_after_ms:
        return None
    return denial.retry_after_ms / MS_PER_S


def error_from_denial(denial: ttypes.Denial) -> SorrelhoistError:
    """Return the error that a caller receives for one denial."""
    cls = _KINDS.get(denial.kind, OverloadedError)
    return cls(
        denial.message,
        denial.remedy,
        not_run=bool(denial.not_run),
        retry_after_s=retry_after_s(denial),
    )


def overload_error_from(denials: Sequence[ttypes.Denial]) -> OverloadedError:
    """Return the error for a request that every endpoint denied.

    Parameters
    ----------
    denials : sequence of Denial
        All given before anything was submitted, so that the request has not run.

    Returns
    -------
    OverloadedError
        With the shortest retry time of the denials. `EndpointsStartingError` if all
        denials are of `STARTING_KINDS`.
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
