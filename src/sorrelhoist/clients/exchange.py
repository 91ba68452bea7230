"""One HTTP exchange on a connection of its own.

Closing the connection is how a stream is cancelled on this side. An error tells
whether anything can have been sent.
"""

import asyncio
import socket
from typing import Any

from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import DefaultLoopResolver, Resolver, is_valid_ip
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.tcpclient import TCPClient

from .exceptions import ExchangeError, NoAnswerError, NotSentError

MAX_BODY_BYTES = 1024 * 1024 * 1024


class _NumericResolver(Resolver):
    """Resolve IP numbers without a thread; leave names to the loop."""

    def initialize(self) -> None:
        self._names = DefaultLoopResolver()

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        if not is_valid_ip(host):
            return await self._names.resolve(host, port, family)
        if ":" in host:
            return [(socket.AF_INET6, (host, port, 0, 0))]
        return [(socket.AF_INET, (host, port))]


class _Connector(TCPClient):
    """Keep the connection of the one exchange."""

    def __init__(self) -> None:
        super().__init__(resolver=_NumericResolver())
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
    """One request on one connection."""

    def __init__(self) -> None:
        self._connector = _Connector()
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=1, max_body_size=MAX_BODY_BYTES
        )
        self._client.tcp_client = self._connector
        self._answer: asyncio.Future[HTTPResponse] | None = None

    async def fetch(self, request: HTTPRequest) -> HTTPResponse:
        """Make the exchange and read its answer, whatever its status.

        Raises
        ------
        NotSentError, NoAnswerError
        """
        self._answer = self._client.fetch(request, raise_error=False)
        try:
            # The client has no way to cancel; `close` ends what is left.
            return await asyncio.shield(self._answer)
        except (HTTPError, OSError) as error:
            raise self.error(request, str(error)) from error

    def error(self, request: HTTPRequest, cause: str) -> ExchangeError:
        """Return the error for an exchange that has no whole answer."""
        what = f"{request.method} {request.url}"
        if self._connector.stream is None:
            return NotSentError(f"{what} was not sent: {cause}.", not_run=True)
        return NoAnswerError(f"{what} was not answered: {cause}.")

    def close(self) -> None:
        """Close the connection; what is not sent yet never will be."""
        self._connector.abandoned = True
        if self._connector.stream is not None:
            self._connector.stream.close()
        if self._answer is not None:
            self._answer.add_done_callback(_forget)
        self._client.close()


def _forget(answer: "asyncio.Future[HTTPResponse]") -> None:
    if not answer.cancelled():
        answer.exception()
