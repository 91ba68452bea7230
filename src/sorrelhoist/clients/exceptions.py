"""Errors raised by the HTTP clients of engines, plain services and the platform."""

from ..exceptions import (
    LogUnavailableError,
    OutcomeUnknownError,
    PlatformError,
    SorrelhoistError,
)


class ExchangeError(SorrelhoistError):
    """Base class of the errors of one HTTP exchange."""

    kind = "exchange"
    http_status = 502


class NotSentError(ExchangeError):
    """No connection was established, so nothing was sent."""

    kind = "not_sent"
    default_remedy = "Check that the address is right and something listens there."


class NoAnswerError(ExchangeError):
    """No complete response arrived; the request may have taken effect."""

    kind = "no_answer"
    default_remedy = "Find out whether it took effect before sending it again."


class EngineError(SorrelhoistError):
    """Base class of the errors of an engine's client."""

    kind = "engine"
    http_status = 502
    default_remedy = "Check the engine's status and its logs."


class EngineUnreachableError(EngineError):
    """The engine can't be reached, closed the connection, or broke the protocol.

    The request may have taken effect, unless `not_run` is true.
    """

    kind = "engine_unreachable"
    default_remedy = "Read the engine's inventory once it answers again."


class EngineRefusedError(EngineError):
    """The engine answered with an error and did not execute the request.

    Parameters
    ----------
    kind_name : str
        Error kind that the engine named, such as ``out_of_memory``.
    message : str
        The request and the engine's response.
    status : int
        HTTP status of the response.
    """

    kind = "engine_refused"
    default_remedy = "Act on the kind that the engine named."

    def __init__(self, kind_name: str, message: str, status: int) -> None:
        super().__init__(message, not_run=True)
        self.kind_name = kind_name
        self.status = status


class AppendOutcomeUnknownError(LogUnavailableError):
    """An append was sent without a response: it may have taken effect."""

    kind = "append_outcome_unknown"
    default_remedy = "Read on in the log to find out whether it took effect."


class LogRateLimitedError(LogUnavailableError):
    """The log is over its append rate limit; nothing was appended."""

    kind = "log_rate_limited"


class OffsetExpiredError(LogUnavailableError):
    """The requested records are past the retention of the log.

    Parameters
    ----------
    first_offset : int
        The oldest offset that is still retained.
    message : str
        The log and its oldest retained offset.
    """

    kind = "offset_expired"
    default_remedy = "Start from a checkpoint, or ask a peer."

    def __init__(self, first_offset: int, message: str) -> None:
        super().__init__(message)
        self.first_offset = first_offset


class WeightsRateLimitedError(PlatformError):
    """The weight store is over its rate limit for loads."""

    kind = "weights_rate_limited"
    http_status = 429
    default_remedy = "Come back after the time in Retry-After."


class ServiceNotReachedError(SorrelhoistError):
    """A plain service could not be reached, or a status or look-up read failed.

    When a call raises it, the call was not sent.
    """

    kind = "service_not_reached"
    http_status = 503
    default_remedy = "Send it again once the service is back."


class ServiceOutcomeUnknownError(OutcomeUnknownError):
    """A call was sent to a plain service without a response: it may have run."""

    kind = "service_outcome_unknown"
