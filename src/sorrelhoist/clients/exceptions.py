"""Errors of the clients of the outside interfaces."""

from ..exceptions import (
    LogUnavailableError,
    OutcomeUnknownError,
    PlatformError,
    SorrelhoistError,
)


class ExchangeError(SorrelhoistError):
    """Root of the errors of one HTTP exchange."""

    kind = "exchange"
    http_status = 502


class NotSentError(ExchangeError):
    """No connection was made: nothing was sent."""

    kind = "not_sent"
    default_remedy = "Check that the address is right and something listens there."


class NoAnswerError(ExchangeError):
    """There is no whole answer; what was asked may have taken effect."""

    kind = "no_answer"
    default_remedy = "Find out whether it took effect before sending it again."


class EngineError(SorrelhoistError):
    """Root of the errors of an engine's client."""

    kind = "engine"
    http_status = 502
    default_remedy = "Check the engine's status and its logs."


class EngineUnreachableError(EngineError):
    """The engine can't be reached, cut the connection, or broke the protocol.

    What was asked of it may have taken effect, unless `not_run` is true.
    """

    kind = "engine_unreachable"
    default_remedy = "Read the engine's inventory once it answers again."


class EngineRefusedError(EngineError):
    """The engine answered with an error; nothing was done.

    Parameters
    ----------
    kind_name : str
        The kind that the engine named, such as ``out_of_memory``.
    message : str
        What was asked and what the engine answered.
    status : int
        HTTP status of the answer.
    """

    kind = "engine_refused"
    default_remedy = "Act on the kind that the engine named."

    def __init__(self, kind_name: str, message: str, status: int) -> None:
        super().__init__(message, not_run=True)
        self.kind_name = kind_name
        self.status = status


class AppendOutcomeUnknownError(LogUnavailableError):
    """An append was sent and not answered: it may have taken effect."""

    kind = "append_outcome_unknown"
    default_remedy = "Read on in the log to find out whether it took effect."


class LogRateLimitedError(LogUnavailableError):
    """The log takes no more appends now; nothing was appended."""

    kind = "log_rate_limited"


class OffsetExpiredError(LogUnavailableError):
    """The log no longer keeps the records that were asked for.

    Parameters
    ----------
    first_offset : int
        The oldest offset that is kept.
    message : str
        What was asked.
    """

    kind = "offset_expired"
    default_remedy = "Start from a checkpoint, or ask a peer."

    def __init__(self, first_offset: int, message: str) -> None:
        super().__init__(message)
        self.first_offset = first_offset


class WeightsRateLimitedError(PlatformError):
    """The weight store serves no more loads now."""

    kind = "weights_rate_limited"
    http_status = 429
    default_remedy = "Come back after the time in Retry-After."


class ServiceNotReachedError(SorrelhoistError):
    """A plain service could not be reached: nothing was sent to it."""

    kind = "service_not_reached"
    http_status = 503
    default_remedy = "Send it again once the service is back."


class ServiceOutcomeUnknownError(OutcomeUnknownError):
    """A call was sent to a plain service and not answered: it may have run."""

    kind = "service_outcome_unknown"
