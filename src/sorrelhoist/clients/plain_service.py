"""Client of a plain service, whose calls may not be repeated."""

import attrs
from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

from .exceptions import ServiceNotReachedError, ServiceOutcomeUnknownError
from .http import CONNECT_TIMEOUT_S, Exchange, decode, fetch, json_request

KEY_HEADER = "Idempotency-Key"
WORKSPACE_HEADER = "X-Workspace"
LOOKUP_TIMEOUT_S = 5.0
STATUS_NOT_FOUND = 404


@attrs.frozen
class PlainReply:
    """What the service answered, whatever the status."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class PlainStatus:
    """The service's own report; a new `boot_id` tells that it died."""

    boot_id: str
    state: str


class PlainServiceClient:
    """Call one plain service.

    Parameters
    ----------
    base_url : str
        Without a slash at the end.
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
        """Send one call, once.

        Parameters
        ----------
        method, path : str
            What to call; the path begins with a slash.
        key, workspace : str
            Sent as ``Idempotency-Key`` and ``X-Workspace``.
        body : bytes
            Sent as it is.
        content_type : str
            Of the body.
        timeout_s : float
            For the whole call.

        Returns
        -------
        PlainReply

        Raises
        ------
        ServiceNotReachedError
            If no connection was made, so that nothing was sent.
        ServiceOutcomeUnknownError
            If the call may have run and there is no whole answer.
        """
        request = self._request(method, path, timeout_s)
        request.headers[KEY_HEADER] = key
        request.headers[WORKSPACE_HEADER] = workspace
        if body or method in ("POST", "PUT", "PATCH"):
            request.body = body
            request.headers["Content-Type"] = content_type
        response = await self._send(request)
        return PlainReply(
            response.code, response.headers.get("Content-Type", ""), response.body
        )

    async def lookup(self, key: str) -> PlainReply | None:
        """Return the recorded answer of a key, or None if there is none.

        Raises
        ------
        ServiceNotReachedError
            If the service doesn't answer, or answers with an error.
        """
        request = json_request(
            "GET", f"{self._base_url}/lookup/{key}", None, LOOKUP_TIMEOUT_S
        )
        response = await self._read(request)
        if response.code == STATUS_NOT_FOUND:
            return None
        if response.code != 200:
            raise ServiceNotReachedError(f"A look-up answered {response.code}.")
        return PlainReply(200, response.headers.get("Content-Type", ""), response.body)

    async def status(self) -> PlainStatus:
        """Return the service's own report.

        Raises
        ------
        ServiceNotReachedError
            If the service doesn't answer.
        """
        request = self._request("GET", "/status", LOOKUP_TIMEOUT_S)
        body = decode(await self._read(request))
        if "boot_id" not in body:
            raise ServiceNotReachedError("The service's status can't be read.")
        return PlainStatus(str(body["boot_id"]), str(body["state"]))

    def _request(self, method: str, path: str, timeout_s: float) -> HTTPRequest:
        return HTTPRequest(
            self._base_url + path,
            method=method,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
        )

    async def _send(self, request: HTTPRequest) -> HTTPResponse:
        exchange = Exchange()
        try:
            return await exchange.fetch(request)
        except (HTTPError, OSError) as error:
            if not exchange.connected:
                raise ServiceNotReachedError(
                    f"The service can't be reached: {error}.", not_run=True
                ) from error
            raise ServiceOutcomeUnknownError(
                f"The service did not answer: {error}."
            ) from error
        finally:
            exchange.close()

    async def _read(self, request: HTTPRequest) -> HTTPResponse:
        try:
            return await fetch(request)
        except (HTTPError, OSError) as error:
            raise ServiceNotReachedError(
                f"The service can't be reached: {error}."
            ) from error
