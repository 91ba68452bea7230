"""HTTP client of a model engine.

Covers streams, memory reservations of engine groups, KV-cache transfer, model orders,
status and inventory.
"""

from collections.abc import AsyncIterator
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from typing import Any, NoReturn

from tornado.httpclient import HTTPRequest

from .engine_messages import (
    CacheEvents,
    EngineEnd,
    EngineInventory,
    EngineStatus,
    EngineTokens,
    ExportedCache,
    Freed,
    HeldImport,
    HeldPart,
    Order,
    Ordered,
    StreamLine,
    StreamSpec,
)
from .exceptions import (
    EngineRefusedError,
    EngineUnreachableError,
    ExchangeError,
    NotSentError,
)
from .http import (
    NO_TIMEOUT_S,
    REQUEST_TIMEOUT_S,
    Answer,
    Refusal,
    decode,
    fetch,
    json_request,
)
from .streaming import stream_response

STATUS_OK = 200
STATUS_NOT_FOUND = 404
FIRST_ERROR_STATUS = 400
ORDER_TIMEOUT_S = 600.0

EngineItems = AsyncIterator[EngineTokens | EngineEnd]


class EngineClient:
    """Call the HTTP interface of one engine.

    Parameters
    ----------
    base_url : str
        Without a trailing slash.
    request_timeout_s : float
        Timeout of every call except orders, and of the response status of a stream.
        The gaps between the lines of a stream have no timeout here.
    """

    def __init__(
        self, base_url: str, request_timeout_s: float = REQUEST_TIMEOUT_S
    ) -> None:
        self._base_url = base_url
        self._request_timeout_s = request_timeout_s

    async def status(self) -> EngineStatus:
        """Return the status that the engine reports, which lags behind its state.

        Raises
        ------
        EngineUnreachableError, EngineRefusedError
        """
        return await self._call("GET", "/v1/status", EngineStatus)

    def stream(self, spec: StreamSpec) -> AbstractAsyncContextManager[EngineItems]:
        """Start a stream and read it; it keeps running after the context is left.

        Parameters
        ----------
        spec : StreamSpec
            Model, prompt and output length of the stream.

        Returns
        -------
        context manager of an asynchronous iterator
            Yields `EngineTokens`, then one `EngineEnd`. Raises
            `EngineUnreachableError` if the connection is lost before the end.

        Raises
        ------
        EngineUnreachableError, EngineRefusedError
            On entering the context.
        """
        url = f"{self._base_url}/v1/streams"
        return self._open_stream(json_request("POST", url, spec, NO_TIMEOUT_S))

    def resume(
        self, stream_id: str, from_sequence: int
    ) -> AbstractAsyncContextManager[EngineItems]:
        """Read a stream that exists on the engine, starting at a sequence number.

        Returns and raises the same as `stream`.
        """
        url = f"{self._base_url}/v1/streams/{stream_id}?from={from_sequence}"
        return self._open_stream(json_request("GET", url, timeout_s=NO_TIMEOUT_S))

    async def cancel(self, stream_id: str) -> bool:
        """Cancel a stream.

        Returns
        -------
        bool
            True once the engine holds no memory for it; call again if False.

        Raises
        ------
        EngineUnreachableError, EngineRefusedError
        """
        return await self._delete(f"/v1/streams/{stream_id}")

    async def inventory(self) -> EngineInventory:
        """Return everything that holds KV-cache memory on the engine.

        Raises
        ------
        EngineUnreachableError, EngineRefusedError
        """
        return await self._call("GET", "/v1/streams", EngineInventory)

    async def hold_part(self, stream_id: str, kv_tokens: int) -> None:
        """Reserve memory for a prompt whose leader is another engine of the group.

        Raises
        ------
        EngineRefusedError
            With the kind ``out_of_memory`` or ``exists``.
        EngineUnreachableError
        """
        part = HeldPart(stream_id, kv_tokens)
        await self._call("POST", "/v1/parts", HeldPart, part)

    async def free_part(self, stream_id: str) -> bool:
        """Free a reserved part; True once the engine holds no memory for it."""
        return await self._delete(f"/v1/parts/{stream_id}")

    async def export_stream(self, stream_id: str) -> ExportedCache:
        """Export the KV cache of a running stream.

        Raises
        ------
        EngineUnreachableError, EngineRefusedError
        """
        path = f"/v1/streams/{stream_id}/export"
        return await self._call("POST", path, ExportedCache, {})

    async def import_cache(self, cache: ExportedCache) -> None:
        """Import an exported KV cache; the engine keeps it until a stream uses it.

        Raises
        ------
        EngineUnreachableError, EngineRefusedError
        """
        await self._call("POST", "/v1/imports", HeldImport, cache)

    async def free_import(self, handle: str) -> bool:
        """Free an imported KV cache; True once the engine holds no memory for it."""
        return await self._delete(f"/v1/imports/{handle}")

    async def order(self, order: Order) -> Ordered:
        """Order the engine to load or unload a model, or to change its role.

        Returns
        -------
        Ordered
            What the engine has loaded after the order.

        Raises
        ------
        EngineRefusedError
            With the kind ``stale_fencing`` if the engine has seen a higher fencing
            number.
        EngineUnreachableError
        """
        return await self._call("POST", "/v1/orders", Ordered, order, ORDER_TIMEOUT_S)

    async def cache_events(self, from_sequence: int) -> CacheEvents:
        """Return prefix-cache events, which are delayed and may have gaps.

        Raises
        ------
        EngineUnreachableError, EngineRefusedError
        """
        path = f"/v1/cache-events?from={from_sequence}"
        return await self._call("GET", path, CacheEvents)

    async def _delete(self, path: str) -> bool:
        try:
            return (await self._call("DELETE", path, Freed)).cancelled
        except EngineRefusedError as error:
            if error.status == STATUS_NOT_FOUND:
                return True
            raise

    async def _call(
        self,
        method: str,
        path: str,
        kind: type[Answer],
        body: Any = None,
        timeout_s: float | None = None,
    ) -> Answer:
        request = json_request(
            method, self._base_url + path, body, timeout_s or self._request_timeout_s
        )
        try:
            response = await fetch(request)
            if response.code >= FIRST_ERROR_STATUS:
                _raise_refused(request, response.code, response.body)
            return decode(response.body, kind)
        except (ExchangeError, ValueError) as error:
            raise _unreachable_error(request, error) from error

    @asynccontextmanager
    async def _open_stream(self, request: HTTPRequest) -> AsyncIterator[EngineItems]:
        async with AsyncExitStack() as stack:
            try:
                response = await stack.enter_async_context(
                    stream_response(request, self._request_timeout_s)
                )
                if response.status != STATUS_OK:
                    answer = b"".join([line async for line in response.lines()])
                    _raise_refused(request, response.status, answer)
            except (ExchangeError, ValueError) as error:
                raise _unreachable_error(request, error) from error
            yield _parse_lines(request, response.lines())


async def _parse_lines(
    request: HTTPRequest, lines: AsyncIterator[bytes]
) -> EngineItems:
    try:
        async for data in lines:
            line = decode(data, StreamLine)
            if line.end:
                yield EngineEnd(line.total_tokens, line.finish_reason)
                return
            yield EngineTokens(line.sequence, line.tokens)
    except (ExchangeError, ValueError) as error:
        raise _unreachable_error(request, error) from error
    raise _unreachable_error(request, ValueError("the stream stopped without its end"))


def _unreachable_error(
    request: HTTPRequest, cause: ExchangeError | ValueError
) -> EngineUnreachableError:
    if isinstance(cause, ExchangeError):
        return EngineUnreachableError(
            cause.message, not_run=isinstance(cause, NotSentError)
        )
    return EngineUnreachableError(f"{request.method} {request.url}: {cause}.")


def _raise_refused(request: HTTPRequest, status: int, answer: bytes) -> NoReturn:
    """Raise `EngineRefusedError` with the kind that the response names.

    An error response without a kind is no refusal: it raises `ValueError`.
    """
    kind_name = decode(answer, Refusal).kind
    raise EngineRefusedError(
        kind_name,
        f"{request.method} {request.url} answered {status} '{kind_name}'.",
        status,
    )
