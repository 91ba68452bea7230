"""Errors and stored answers with which an at-most-once call can end."""

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

INDEX_FULL_RETRY_AFTER_S = 30.0
NOT_REACHED_RETRY_AFTER_S = 1.0
RETRY_WITH_SAME_KEY = "Send it again with the same idempotency key."


def too_late(*, not_run: bool) -> SorrelhoistError:
    """Return the error for a call not sent because its deadline is too close."""
    return DeadlineExceededError(
        "The deadline passed before the service was called.",
        RETRY_WITH_SAME_KEY,
        not_run=not_run,
    )


def not_covered() -> SorrelhoistError:
    """Return the error for a key whose earlier claims may have left the log."""
    return KeyExpiredError("Claims as old as this idempotency key can't be read.")


def log_down(reason: str, retry_after_s: float) -> SorrelhoistError:
    """Return the error for a claim that the log did not append."""
    return LogUnavailableError(
        f"The call was not claimed: {reason}",
        f"{RETRY_WITH_SAME_KEY} Wait for the time in Retry-After first.",
        not_run=True,
        retry_after_s=retry_after_s,
    )


def index_full() -> SorrelhoistError:
    """Return the error for a full claim index: no more keys can be stored."""
    return OverloadedError(
        "The service has as many keys as its agents can remember.",
        not_run=True,
        retry_after_s=INDEX_FULL_RETRY_AFTER_S,
    )


def not_reached(reason: str) -> SorrelhoistError:
    """Return the error for a service to which no connection could be made."""
    return EndpointFailedError(
        f"The service can't be reached: {reason}",
        RETRY_WITH_SAME_KEY,
        not_run=True,
        retry_after_s=NOT_REACHED_RETRY_AFTER_S,
    )


def key_reused() -> SorrelhoistError:
    """Return the error for a key that was already used for another request."""
    return KeyReusedError("The idempotency key was used for another request.")


def may_have_run() -> SorrelhoistError:
    """Return the error for a key held by a claim without an outcome."""
    return OutcomeUnknownError("A call with this idempotency key may have run.")


def answer_from(outcome: Outcome | None) -> AnswerReply | AnswerError:
    """Return the answer for a recorded outcome; None if the log can't return it."""
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
