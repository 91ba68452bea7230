"""Exceptions of the package, in one hierarchy with a common base class.

Each error carries a remedy: what the reader of the message can do next. The modules
in ``decisions`` return typed errors as values; exceptions are raised at the edges,
where an error leaves a coroutine or the process.
"""

from typing import ClassVar


class SorrelhoistError(Exception):
    """Base class of all errors raised by the package.

    Parameters
    ----------
    message : str
        What happened.
    remedy : str, optional
        What the reader can do about it; `default_remedy` if empty.
    not_run : bool
        Whether it is certain that the request ran on no endpoint.
    retry_after_s : float, optional
        Time after which a retry makes sense, in seconds from now.
    """

    kind: ClassVar[str] = "internal"
    http_status: ClassVar[int] = 500
    default_remedy: ClassVar[str] = "Report it with the request id and the logs."

    def __init__(
        self,
        message: str,
        remedy: str = "",
        *,
        not_run: bool = False,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy or self.default_remedy
        self.not_run = not_run
        self.retry_after_s = retry_after_s

    def __str__(self) -> str:
        return f"{self.message} {self.remedy}".strip()


class SettingsError(SorrelhoistError):
    """A settings file is unreadable or invalid."""

    kind = "settings"
    default_remedy = "Correct the settings file and start again."


class DocumentError(SorrelhoistError):
    """A configuration document is invalid."""

    kind = "invalid_document"
    http_status = 400
    default_remedy = "Correct the document and apply again."


class ConfigurationConflictError(SorrelhoistError):
    """Another configuration was accepted first."""

    kind = "configuration_conflict"
    http_status = 409
    default_remedy = "Read the current configuration and apply again."


class InvalidRequestError(SorrelhoistError):
    """A request is malformed or asks for something that the system does not support."""

    kind = "invalid_request"
    http_status = 400
    default_remedy = "Correct the request."


class HeadersTooLargeError(InvalidRequestError):
    """The headers of a request, or the trailers of its body, are over the limit."""

    kind = "headers_too_large"
    http_status = 431
    default_remedy = "Send fewer or shorter headers."


class BodyTooLargeError(InvalidRequestError):
    """The body of a request is over the limit."""

    kind = "body_too_large"
    http_status = 413
    default_remedy = "Send a shorter body."


class RequestTimeoutError(InvalidRequestError):
    """A request was not sent to its end in time."""

    kind = "request_timeout"
    http_status = 408
    default_remedy = "Send the whole request without pauses."


class StoppingError(InvalidRequestError):
    """The process stops before a request was sent to its end."""

    kind = "stopping"
    http_status = 503
    default_remedy = "It has not run: send it again, on another connection."


class UnsupportedTransferError(InvalidRequestError):
    """The body of a request has a transfer coding other than chunks."""

    kind = "unsupported_transfer"
    http_status = 501
    default_remedy = "Send the body with a length or in chunks."


class UnsupportedVersionError(InvalidRequestError):
    """A request has another version of HTTP."""

    kind = "unsupported_version"
    http_status = 505
    default_remedy = "Use HTTP/1.1."


class UnknownModelError(InvalidRequestError):
    """A request names a model that is not available to its workspace."""

    kind = "unknown_model"
    default_remedy = "Use one of the models that GET /v1/models lists."


class AuthenticationError(SorrelhoistError):
    """A key is missing or unknown."""

    kind = "authentication"
    http_status = 401
    default_remedy = "Send a valid key as 'Authorization: Bearer KEY'."


class PermissionDeniedError(SorrelhoistError):
    """A key is valid but lacks the permission for the operation."""

    kind = "permission"
    http_status = 403
    default_remedy = "Use a key that has this right."


class NotFoundError(SorrelhoistError):
    """There is no such path, stream or service."""

    kind = "not_found"
    http_status = 404
    default_remedy = "Check the path."


class MethodNotAllowedError(SorrelhoistError):
    """The path exists but does not accept this HTTP method."""

    kind = "method_not_allowed"
    http_status = 405
    default_remedy = "Use a method that the path takes."


class KeyReusedError(SorrelhoistError):
    """An idempotency key was sent again with a different body."""

    kind = "idempotency_key_reused"
    http_status = 422
    default_remedy = "Use a new idempotency key for a new request."


class KeyExpiredError(SorrelhoistError):
    """An idempotency key is older than the retention window of the log."""

    kind = "idempotency_key_expired"
    http_status = 422
    default_remedy = "Check with the service whether it ran, then use a new key."


class RequestSuspectedError(SorrelhoistError):
    """A poison request: it was the only one running each time an endpoint died."""

    kind = "request_kills_endpoints"
    http_status = 422
    default_remedy = "Do not send it again; report it with the request id."


class LimitExceededError(SorrelhoistError):
    """A workspace exceeds its limit."""

    kind = "limit_exceeded"
    http_status = 429
    default_remedy = "Come back after the time in Retry-After."


class OverloadedError(SorrelhoistError):
    """No endpoint can serve the request in time."""

    kind = "overloaded"
    http_status = 503
    default_remedy = "Come back after the time in Retry-After."


class EndpointsStartingError(OverloadedError):
    """All endpoints that could serve the request are starting; a short wait helps."""


class LogUnavailableError(SorrelhoistError):
    """The platform's log can't be reached."""

    kind = "log_unavailable"
    http_status = 503
    default_remedy = "Come back after the time in Retry-After."


class NotReadyError(SorrelhoistError):
    """The process has no configuration yet, or is shutting down."""

    kind = "not_ready"
    http_status = 503
    default_remedy = "Ask another entry, or come back later."


class DeadlineExceededError(SorrelhoistError):
    """The deadline passed before the answer was complete."""

    kind = "deadline_exceeded"
    http_status = 504
    default_remedy = "Send it again with a later deadline."


class EndpointFailedError(SorrelhoistError):
    """The request ran and failed; it may be sent again if it is repeatable."""

    kind = "endpoint_failed"
    http_status = 502
    default_remedy = "Send it again."


class OutcomeUnknownError(SorrelhoistError):
    """A call that must not be repeated may have run."""

    kind = "outcome_unknown"
    http_status = 502
    default_remedy = "Do not repeat it; check with the service."


class PeerError(SorrelhoistError):
    """Another process of the system can't be reached or broke the protocol."""

    kind = "peer_unreachable"
    http_status = 503
    default_remedy = "Check that the process runs and is reachable."


class PlatformError(SorrelhoistError):
    """The platform answered with an error or did not answer."""

    kind = "platform_unavailable"
    http_status = 503
    default_remedy = "Check the platform; the call is tried again."
