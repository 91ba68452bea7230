"""Client of the platform's append-only log."""

from collections.abc import Callable

import attrs
from tornado.httpclient import HTTPResponse

from ..exceptions import LogUnavailableError
from .exceptions import (
    AppendOutcomeUnknownError,
    ExchangeError,
    LogRateLimitedError,
    NoAnswerError,
    OffsetExpiredError,
)
from .http import REQUEST_TIMEOUT_S, Answer, decode, fetch, json_request

RETRY_AFTER_S = 1.0
STATUS_OK = 200
STATUS_RANGE_EXPIRED = 416
STATUS_RATE_LIMITED = 429
STATUS_UNAVAILABLE = 503


@attrs.frozen
class LogRecord:
    """One record; `age_s` is how long the log has had it."""

    offset: int
    age_s: float
    value: str


@attrs.frozen
class LogPage:
    """Records in the order of their offsets, and what the log keeps.

    Parameters
    ----------
    records : tuple of LogRecord
        Empty when there is none from the offset on.
    first_offset : int
        The oldest that is kept; `next_offset` when the log is empty.
    next_offset : int
        What the next append will get.
    """

    records: tuple[LogRecord, ...]
    first_offset: int
    next_offset: int


@attrs.frozen
class Appended:
    """Offsets `first_offset` up to, not including, `next_offset` were given."""

    first_offset: int
    next_offset: int


@attrs.frozen
class _Append:
    records: list[str]


@attrs.frozen
class _Expired:
    first_offset: int


class LogClient:
    """Append to and read one topic.

    Parameters
    ----------
    base_url : str
        Of the platform, without a slash at the end.
    topic : str
        Such as ``configuration``.
    request_timeout_s : float
        For an append, and for a read beyond the time that it waits.
    """

    def __init__(
        self, base_url: str, topic: str, request_timeout_s: float = REQUEST_TIMEOUT_S
    ) -> None:
        self.topic = topic
        self._url = f"{base_url}/v1/logs/{topic}/records"
        self._request_timeout_s = request_timeout_s

    async def append(self, values: list[str]) -> Appended:
        """Append records side by side.

        Returns
        -------
        Appended

        Raises
        ------
        AppendOutcomeUnknownError
            If the append was sent and not answered.
        LogRateLimitedError, LogUnavailableError
            If nothing was appended.
        """
        request = json_request(
            "POST", self._url, _Append(values), self._request_timeout_s
        )
        try:
            response = await fetch(request)
        except NoAnswerError as error:
            raise self._unknown(error.message) from error
        except ExchangeError as error:
            raise self._unavailable(error.message) from error
        if response.code == STATUS_OK:
            return self._decoded_append(response)
        raise self._refused(response, self._unknown)

    async def read(
        self, from_offset: int, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        """Read records from an offset on.

        Parameters
        ----------
        from_offset : int
            The first offset wanted.
        limit : int
            At most so many records.
        wait_s : float
            How long the log waits for a record when it has none.

        Returns
        -------
        LogPage

        Raises
        ------
        OffsetExpiredError
            If the offset is no longer kept.
        LogUnavailableError
            If the log doesn't answer.
        """
        url = f"{self._url}?from={from_offset}&limit={limit}&wait_s={wait_s}"
        request = json_request("GET", url, timeout_s=self._request_timeout_s + wait_s)
        try:
            response = await fetch(request)
        except ExchangeError as error:
            raise self._unavailable(error.message) from error
        if response.code != STATUS_OK:
            raise self._refused(response, self._unavailable)
        return self._decoded(response, LogPage)

    def _decoded_append(self, response: HTTPResponse) -> Appended:
        try:
            return decode(response.body, Appended)
        except ValueError as error:
            raise self._unknown(str(error)) from error

    def _decoded(self, response: HTTPResponse, kind: type[Answer]) -> Answer:
        try:
            return decode(response.body, kind)
        except ValueError as error:
            raise self._unavailable(str(error)) from error

    def _refused(
        self, response: HTTPResponse, other: Callable[[str], LogUnavailableError]
    ) -> LogUnavailableError:
        if response.code == STATUS_RANGE_EXPIRED:
            first_offset = self._decoded(response, _Expired).first_offset
            return OffsetExpiredError(
                first_offset,
                f"The log '{self.topic}' keeps nothing before {first_offset}.",
            )
        if response.code == STATUS_RATE_LIMITED:
            return LogRateLimitedError(
                f"The log '{self.topic}' takes no more appends now.",
                not_run=True,
                retry_after_s=RETRY_AFTER_S,
            )
        if response.code == STATUS_UNAVAILABLE:
            return self._unavailable("it is in an outage")
        # A status that the interface doesn't name proves nothing.
        return other(f"it answered with status {response.code}")

    def _unknown(self, cause: str) -> AppendOutcomeUnknownError:
        return AppendOutcomeUnknownError(
            f"It is unknown whether the log '{self.topic}' took it: {cause}"
        )

    def _unavailable(self, cause: str) -> LogUnavailableError:
        return LogUnavailableError(
            f"The log '{self.topic}' does not answer: {cause}",
            not_run=True,
            retry_after_s=RETRY_AFTER_S,
        )
