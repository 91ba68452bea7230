"""HTTP client of a plain service, whose calls must not be repeated.

Each call is sent at most once, and the error tells whether it can have run.
"""

from urllib.parse import quote

import attrs
from tornado.httpclient import HTTPResponse

from .exceptions import (
    ExchangeError,
    NoAnswerError,
    ServiceNotReachedError,
    ServiceOutcomeUnknownError,
)
from .http import decode, fetch, json_request, plain_request

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
WORKSPACE_HEADER = "X-Workspace"
METHODS_WITH_BODY = ("POST", "PUT", "PATCH")
READ_TIMEOUT_S = 5.0
STATUS_OK = 200
STATUS_NOT_FOUND = 404


@attrs.frozen
class PlainReply:
    """Response of the service, whatever its status."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class PlainStatus:
    """Status from the service; a new `boot_id` means that it died and restarted."""

    boot_id: str
    state: str


class PlainServiceClient:
    """Call one plain service.

    Parameters
    ----------
    base_url : str
        Without a trailing slash.
    """

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url

    async def call(
        self,
        method: str,
        path: str,
        key: str,
        workspace: str,
        body: bytes,
        content_type: str,
        timeout_s: float,
    ) -> PlainReply:
        """Send one call; it is never retried here.

        Parameters
        ----------
        method, path : str
            HTTP method and path; the path begins with a slash.
        key, workspace : str
            Sent as ``Idempotency-Key`` and ``X-Workspace``.
        body : bytes
            Sent unchanged.
        content_type : str
            Content type of the body.
        timeout_s : float
            Timeout of the whole call.

        Returns
        -------
        PlainReply

        Raises
        ------
        ServiceNotReachedError
            If no connection was established, so that nothing was sent.
        ServiceOutcomeUnknownError
            If the call may have run and no complete response arrived.
        """
        has_body = body or method in METHODS_WITH_BODY
        request = plain_request(
            method, self._base_url + path, body if has_body else None, timeout_s
        )
        request.headers[IDEMPOTENCY_KEY_HEADER] = key
        request.headers[WORKSPACE_HEADER] = workspace
        if has_body:
            request.headers["Content-Type"] = content_type
        try:
            return _reply_from(await fetch(request))
        except NoAnswerError as error:
            raise ServiceOutcomeUnknownError(error.message) from error
        except ExchangeError as error:
            raise ServiceNotReachedError(error.message, not_run=True) from error

    async def lookup(self, key: str) -> PlainReply | None:
        """Return the response recorded for an idempotency key, or None.

        Raises
        ------
        ServiceNotReachedError
            If the service doesn't answer, or answers with an error.
        """
        response = await self._get(f"/lookup/{quote(key, safe='')}")
        if response.code == STATUS_NOT_FOUND:
            return None
        if response.code != STATUS_OK:
            raise ServiceNotReachedError(f"A look-up answered {response.code}.")
        return _reply_from(response)

    async def status(self) -> PlainStatus:
        """Return the status that the service reports.

        Raises
        ------
        ServiceNotReachedError
            If the service doesn't answer, or not with a status.
        """
        response = await self._get("/status")
        try:
            return decode(response.body, PlainStatus)
        except ValueError as error:
            raise ServiceNotReachedError(
                f"Status {response.code} and no report: {error}."
            ) from error

    async def _get(self, path: str) -> HTTPResponse:
        request = json_request("GET", self._base_url + path, None, READ_TIMEOUT_S)
        try:
            return await fetch(request)
        except ExchangeError as error:
            raise ServiceNotReachedError(error.message) from error


def _reply_from(response: HTTPResponse) -> PlainReply:
    content_type = response.headers.get("Content-Type", "")
    return PlainReply(response.code, content_type, response.body)
