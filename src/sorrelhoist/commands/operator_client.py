"""HTTP client for the operator API of an entry."""

import json
from typing import Any

import attrs
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from ..exceptions import PeerError, SorrelhoistError

CONNECT_TIMEOUT_S = 5.0
REQUEST_TIMEOUT_S = 60.0
MAX_BODY_BYTES = 256 * 1024 * 1024


class OperatorCallError(SorrelhoistError):
    """The entry answered with an HTTP error status.

    Parameters
    ----------
    status : int
        HTTP status.
    body : dict
        The ``error`` object of the answer; empty if there is none.
    """

    kind = "operator_call"

    def __init__(self, status: int, body: dict[str, Any]) -> None:
        super().__init__(
            str(body.get("message", f"The entry answered with status {status}.")),
            str(body.get("remedy", "")),
            not_run=bool(body.get("not_run", False)),
        )
        self.status = status
        self.body = body


@attrs.frozen
class OperatorClient:
    """Sends requests to the operator API of one entry.

    Parameters
    ----------
    address : str
        ``HOST:PORT`` or a URL.
    key : str
        The operator's key.
    """

    address: str
    key: str

    async def get(self, path: str) -> dict[str, Any]:
        """Fetch a resource under ``/operator/v1/``.

        Raises
        ------
        OperatorCallError
            If the entry answers with an error.
        PeerError
            If the entry does not answer, or its answer is not JSON.
        """
        return await self._fetch("GET", path, None)

    async def post(self, path: str, data: dict[str, Any]) -> dict[str, Any]:
        """Post data as JSON; raises the same errors as `get`."""
        return await self._fetch("POST", path, json.dumps(data))

    async def _fetch(self, method: str, path: str, body: str | None) -> dict[str, Any]:
        base = self.address if "://" in self.address else f"http://{self.address}"
        request = HTTPRequest(
            f"{base.rstrip('/')}/operator/v1/{path}",
            method=method,
            body=body,
            headers={"Authorization": f"Bearer {self.key}"},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
        )
        client = SimpleAsyncHTTPClient(
            force_instance=True, max_body_size=MAX_BODY_BYTES
        )
        try:
            response = await client.fetch(request, raise_error=False)
            data = json.loads(response.body or b"{}")
        except (HTTPError, OSError, ValueError) as error:
            raise self._unreachable(error) from error
        finally:
            client.close()
        if response.code >= 400:
            error_data = data.get("error", {}) if isinstance(data, dict) else {}
            raise OperatorCallError(response.code, error_data)
        return data

    def _unreachable(self, error: Exception) -> PeerError:
        return PeerError(
            f"{self.address} does not answer: {error}.",
            "Check the address, or use another entry.",
        )
