"""Client of the platform's append-only log: appends and reads by offset."""

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
STATUS_RANGE_NOT_SATISFIABLE = 416
STATUS_RATE_LIMITED = 429
STATUS_UNAVAILABLE = 503


@attrs.frozen
class LogRecord:
    """One record; `age_s` is the time since it was appended."""

    offset: int
    age_s: float
    value: str


@attrs.frozen
class LogPage:
    """Records in offset order, and the range of offsets that the log retains.

    Parameters
    ----------
    records : tuple of LogRecord
        Empty if there are none at or after the requested offset.
    first_offset : int
        Offset of the oldest retained record; `next_offset` if the log is empty.
    next_offset : int
        Offset of the next append.
    """

    records: tuple[LogRecord, ...]
    first_offset: int
    next_offset: int


@attrs.frozen
class Appended:
    """Offsets of appended records: `first_offset` to `next_offset`, exclusive."""

    first_offset: int
    next_offset: int


@attrs.frozen
class _AppendRequest:
    records: list[str]


@attrs.frozen
class _Expired:
    first_offset: int


class LogClient:
    """Append to and read one topic of the log.

    Parameters
    ----------
    base_url : str
        URL of the platform, without a trailing slash.
    topic : str
        Name of the topic, such as ``configuration``.
    request_timeout_s : float
        Timeout of an append; a read gets its `wait_s` in addition.
    """

    def __init__(
        self, base_url: str, topic: str, request_timeout_s: float = REQUEST_TIMEOUT_S
    ) -> None:
        self.topic = topic
        self._url = f"{base_url}/v1/logs/{topic}/records"
        self._request_timeout_s = request_timeout_s

    async def append(self, values: list[str]) -> Appended:
        """Append records at consecutive offsets.

        Returns
        -------
        Appended

        Raises
        ------
        AppendOutcomeUnknownError
            If the append was sent and it is unknown whether it took effect.
        LogRateLimitedError, LogUnavailableError
            If nothing was appended.
        """
        request = json_request(
            "POST", self._url, _AppendRequest(values), self._request_timeout_s
        )
        try:
            response = await fetch(request)
        except NoAnswerError as error:
            raise self._outcome_unknown_error(error.message) from error
        except ExchangeError as error:
            raise self._unavailable_error(error.message) from error
        if response.code == STATUS_OK:
            return self._decode_append(response)
        raise self._error_for_status(response, self._outcome_unknown_error)

    async def read(
        self, from_offset: int, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        """Read records, starting at an offset.

        Parameters
        ----------
        from_offset : int
            Offset of the first record to read.
        limit : int
            Maximum number of records.
        wait_s : float
            How long the log holds the request open when it has no record (long poll).

        Returns
        -------
        LogPage

        Raises
        ------
        OffsetExpiredError
            If the offset is past the retention.
        LogUnavailableError
            If the log doesn't answer with a page of records.
        """
        url = f"{self._url}?from={from_offset}&limit={limit}&wait_s={wait_s}"
        request = json_request("GET", url, timeout_s=self._request_timeout_s + wait_s)
        try:
            response = await fetch(request)
        except ExchangeError as error:
            raise self._unavailable_error(error.message) from error
        if response.code != STATUS_OK:
            raise self._error_for_status(response, self._unavailable_error)
        return self._decode(response, LogPage)

    def _decode_append(self, response: HTTPResponse) -> Appended:
        try:
            return decode(response.body, Appended)
        except ValueError as error:
            raise self._outcome_unknown_error(str(error)) from error

    def _decode(self, response: HTTPResponse, kind: type[Answer]) -> Answer:
        try:
            return decode(response.body, kind)
        except ValueError as error:
            raise self._unavailable_error(str(error)) from error

    def _error_for_status(
        self,
        response: HTTPResponse,
        fallback_error: Callable[[str], LogUnavailableError],
    ) -> LogUnavailableError:
        if response.code == STATUS_RANGE_NOT_SATISFIABLE:
            first_offset = self._decode(response, _Expired).first_offset
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
            return self._unavailable_error("it is in an outage")
        # An undocumented status proves nothing, so the caller chooses the error.
        return fallback_error(f"it answered with status {response.code}")

    def _outcome_unknown_error(self, cause: str) -> AppendOutcomeUnknownError:
        return AppendOutcomeUnknownError(
            f"It is unknown whether the log '{self.topic}' took it: {cause}"
        )

    def _unavailable_error(self, cause: str) -> LogUnavailableError:
        return LogUnavailableError(
            f"The log '{self.topic}' does not answer: {cause}",
            not_run=True,
            retry_after_s=RETRY_AFTER_S,
        )
