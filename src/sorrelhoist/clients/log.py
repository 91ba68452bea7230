"""Client of the platform's append-only log."""

import attrs
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from ..exceptions import LogUnavailableError
from .exceptions import (
    AppendOutcomeUnknownError,
    LogRateLimitedError,
    OffsetExpiredError,
)
from .http import REQUEST_TIMEOUT_S, Exchange, decode, fetch, json_request

RETRY_AFTER_S = 1.0
STATUS_RANGE_EXPIRED = 416
STATUS_RATE_LIMITED = 429


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
            "POST", self._url, {"records": values}, self._request_timeout_s
        )
        response = await self._append(request)
        body = self._checked(response)
        return Appended(int(body["first_offset"]), int(body["next_offset"]))

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
        request = json_request(
            "GET", url, request_timeout_s=self._request_timeout_s + wait_s
        )
        try:
            response = await fetch(request)
        except (HTTPError, OSError) as error:
            raise self._unavailable(str(error)) from error
        body = self._checked(response)
        return LogPage(
            tuple(LogRecord(**record) for record in body["records"]),
            int(body["first_offset"]),
            int(body["next_offset"]),
        )

    async def _append(self, request: HTTPRequest) -> HTTPResponse:
        exchange = Exchange()
        try:
            return await exchange.fetch(request)
        except (HTTPError, OSError) as error:
            if not exchange.connected:
                raise self._unavailable(str(error)) from error
            raise AppendOutcomeUnknownError(
                f"An append to '{self.topic}' was not answered: {error}."
            ) from error
        finally:
            exchange.close()

    def _checked(self, response: HTTPResponse) -> dict:
        body = decode(response)
        if response.code == STATUS_RANGE_EXPIRED:
            raise OffsetExpiredError(
                int(body["first_offset"]),
                f"The log '{self.topic}' keeps nothing before {body['first_offset']}.",
            )
        if response.code == STATUS_RATE_LIMITED:
            raise LogRateLimitedError(
                f"The log '{self.topic}' takes no more appends now.",
                not_run=True,
                retry_after_s=RETRY_AFTER_S,
            )
        if response.code != 200 or "next_offset" not in body:
            raise self._unavailable(f"status {response.code}")
        return body

    def _unavailable(self, cause: str) -> LogUnavailableError:
        return LogUnavailableError(
            f"The log '{self.topic}' does not answer: {cause}.",
            not_run=True,
            retry_after_s=RETRY_AFTER_S,
        )
