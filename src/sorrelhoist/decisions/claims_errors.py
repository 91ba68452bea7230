"""The errors that a claimed call can end with."""

from ..exceptions import (
    DeadlineExceededError,
    EndpointFailedError,
    KeyExpiredError,
    KeyReusedError,
    LogUnavailableError,
    OutcomeUnknownError,
    OverloadedError,
    SorrelhoistError,
)
from .claims_records import Outcome
from .claims_steps import AnswerError, AnswerReply

FULL_RETRY_AFTER_S = 30.0
NOT_REACHED_RETRY_AFTER_S = 1.0
SAME_KEY = "Send it again with the same idempotency key."


def too_late(*, not_run: bool) -> SorrelhoistError:
    """The call was not sent, because too little time was left."""
    return DeadlineExceededError(
        "The deadline passed before the service was called.",
        SAME_KEY,
        not_run=not_run,
    )


def not_covered() -> SorrelhoistError:
    """Earlier claims with the key may exist that the log no longer keeps."""
    return KeyExpiredError("Claims as old as this idempotency key can't be read.")


def log_down(reason: str, retry_after_s: float) -> SorrelhoistError:
    """The claim was not appended."""
    return LogUnavailableError(
        f"The call was not claimed: {reason}",
        f"{SAME_KEY} Wait for the time in Retry-After first.",
        not_run=True,
        retry_after_s=retry_after_s,
    )


def index_full() -> SorrelhoistError:
    """No more keys can be remembered."""
    return OverloadedError(
        "The service has as many keys as its agents can remember.",
        not_run=True,
        retry_after_s=FULL_RETRY_AFTER_S,
    )


def not_reached(reason: str) -> SorrelhoistError:
    """No connection to the service could be made."""
    return EndpointFailedError(
        f"The service can't be reached: {reason}",
        SAME_KEY,
        not_run=True,
        retry_after_s=NOT_REACHED_RETRY_AFTER_S,
    )


def key_reused() -> SorrelhoistError:
    """The key belongs to another request."""
    return KeyReusedError("The idempotency key was used for another request.")


def may_have_run() -> SorrelhoistError:
    """A claim holds the key and has no outcome."""
    return OutcomeUnknownError("A call with this idempotency key may have run.")


def answer_from(outcome: Outcome | None) -> AnswerReply | AnswerError:
    """Answer with an outcome that was read; None if the log can't show it."""
    if outcome is None:
        lost = "It ran; its answer can't be read."
        return AnswerError(OutcomeUnknownError(lost))
    if outcome.body is None:
        too_large = (
            f"It ran with status {outcome.status}; its answer was too large to keep."
        )
        return AnswerError(OutcomeUnknownError(too_large))
    return AnswerReply(
        outcome.status, outcome.content_type, outcome.body, replayed=True
    )
