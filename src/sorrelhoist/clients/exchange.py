"""One HTTP request and response on a dedicated connection.

Closing the connection cancels a streamed response on the client's side. The errors
tell whether anything can have been sent.
"""

import asyncio
import socket
from typing import Any

from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import DefaultLoopResolver, Resolver, is_valid_ip
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from .exceptions import ExchangeError, NoAnswerError, NotSentError
from .fair_stream import FairTCPClient

MAX_BODY_BYTES = 1024 * 1024 * 1024


class NumericResolver(Resolver):
    """Resolve numeric addresses without a thread, host names through the loop."""

    def initialize(self) -> None:
        """Prepare for host names."""
        self._names = DefaultLoopResolver()

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the address family and the address."""
        if not is_valid_ip(host):
            return await self._names.resolve(host, port, family)
        if ":" in host:
            return [(socket.AF_INET6, (host, port, 0, 0))]
        return [(socket.AF_INET, (host, port))]


class _Connector(FairTCPClient):
    """Keep a reference to the connection, so that it can be closed early."""

    def __init__(self) -> None:
        super().__init__(resolver=NumericResolver())
        self.stream: IOStream | None = None
        self.abandoned = False

    async def connect(self, *args: Any, **kwargs: Any) -> IOStream:
        stream = await super().connect(*args, **kwargs)
        if self.abandoned:
            stream.close()
            raise StreamClosedError()
        self.stream = stream
        return stream


class Exchange:
    """One HTTP request on one connection."""

    def __init__(self) -> None:
        self._connector = _Connector()
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=1, max_body_size=MAX_BODY_BYTES
        )
        self._client.tcp_client = self._connector
        self._response: asyncio.Future[HTTPResponse] | None = None

    async def fetch(self, request: HTTPRequest) -> HTTPResponse:
        """Send the request and read the complete response, whatever its status.

        Raises
        ------
        NotSentError, NoAnswerError
        """
        self._response = self._client.fetch(request, raise_error=False)
        try:
            # Tornado's client can't cancel a fetch; `close` ends one that still runs.
            return await asyncio.shield(self._response)
        except (HTTPError, OSError) as error:
            raise self.error(request, str(error)) from error

    def error(self, request: HTTPRequest, cause: str) -> ExchangeError:
        """Return the error for an exchange without a complete response."""
        what = f"{request.method} {request.url}"
        if self._connector.stream is None:
            return NotSentError(f"{what} was not sent: {cause}.", not_run=True)
        return NoAnswerError(f"{what} was not answered: {cause}.")

    def close(self) -> None:
        """Close the connection; a request that is not sent yet is never sent."""
        self._connector.abandoned = True
        if self._connector.stream is not None:
            self._connector.stream.close()
        if self._response is not None:
            self._response.add_done_callback(_consume_exception)
        self._client.close()


def _consume_exception(response: "asyncio.Future[HTTPResponse]") -> None:
    # Avoids asyncio's warning that the exception was never retrieved.
    if not response.cancelled():
        response.exception()
