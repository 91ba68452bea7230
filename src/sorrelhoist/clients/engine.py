"""Client of a model engine."""

import json
from collections.abc import AsyncIterator
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from typing import Any

import attrs
from tornado.httpclient import HTTPError, HTTPRequest

from .engine_messages import (
    CacheEvent,
    CacheEvents,
    EngineEnd,
    EngineInventory,
    EngineStatus,
    EngineTokens,
    ExportedCache,
    HeldImport,
    HeldPart,
    HeldStream,
    Order,
    StreamSpec,
)
from .exceptions import EngineRefusedError, EngineUnreachableError
from .http import (
    NO_TIMEOUT_S,
    REQUEST_TIMEOUT_S,
    decode,
    fetch,
    json_request,
    streamed,
)

STATUS_NOT_FOUND = 404
ORDER_TIMEOUT_S = 600.0

EngineItems = AsyncIterator[EngineTokens | EngineEnd]


class EngineClient:
    """Talk to one engine.

    Parameters
    ----------
    base_url : str
        Without a slash at the end.
    request_timeout_s : float
        For a call that isn't a stream or an order.
    """

    def __init__(
        self, base_url: str, request_timeout_s: float = REQUEST_TIMEOUT_S
    ) -> None:
        self._base_url = base_url
        self._request_timeout_s = request_timeout_s

    async def status(self) -> EngineStatus:
        """Return the engine's own report, which lags.

        Raises
        ------
        EngineUnreachableError, EngineRefusedError
        """
        body = await self._call("GET", "/v1/status")
        return EngineStatus(**_known(EngineStatus, body))

    def stream(self, spec: StreamSpec) -> AbstractAsyncContextManager[EngineItems]:
        """Start a stream; leaving the context leaves it running on the engine.

        Parameters
        ----------
        spec : StreamSpec
            What to run.

        Returns
        -------
        context manager of an asynchronous iterator
            Yields `EngineTokens`, then one `EngineEnd`. Raises
            `EngineUnreachableError` when the connection is cut before.

        Raises
        ------
        EngineUnreachableError, EngineRefusedError
            On entering.
        """
        url = f"{self._base_url}/v1/streams"
        return self._items(json_request("POST", url, attrs.asdict(spec), NO_TIMEOUT_S))

    def resume(
        self, stream_id: str, from_sequence: int
    ) -> AbstractAsyncContextManager[EngineItems]:
        """Read a stream that is on the engine, from a sequence number on.

        Returns and raises as `stream` does.
        """
        url = f"{self._base_url}/v1/streams/{stream_id}?from={from_sequence}"
        return self._items(
            json_request("GET", url, request_timeout_s=NO_TIMEOUT_S),
        )

    async def cancel(self, stream_id: str) -> bool:
        """Cancel a stream.

        Returns
        -------
        bool
            True once the engine holds nothing of it; ask again when False.

        Raises
        ------
        EngineUnreachableError, EngineRefusedError
        """
        return await self._free(f"/v1/streams/{stream_id}")

    async def inventory(self) -> EngineInventory:
        """Return all that holds memory on the engine.

        Raises
        ------
        EngineUnreachableError, EngineRefusedError
        """
        body = await self._call("GET", "/v1/streams")
        return EngineInventory(
            boot_id=body["boot_id"],
            streams=tuple(HeldStream(**item) for item in body["streams"]),
            parts=tuple(HeldPart(**item) for item in body["parts"]),
            imports=tuple(HeldImport(**item) for item in body["imports"]),
        )

    async def hold_part(self, stream_id: str, kv_tokens: int) -> None:
        """Hold memory for a prompt that runs on a group of engines.

        Raises
        ------
        EngineRefusedError
            Of the kind ``out_of_memory`` or ``exists``.
        EngineUnreachableError
        """
        body = {"stream_id": stream_id, "kv_tokens": kv_tokens}
        await self._call("POST", "/v1/parts", body)

    async def free_part(self, stream_id: str) -> bool:
        """Free a part; True once the engine holds nothing of it."""
        return await self._free(f"/v1/parts/{stream_id}")

    async def export_stream(self, stream_id: str) -> ExportedCache:
        """Export the cache of a running stream.

        Raises
        ------
        EngineUnreachableError, EngineRefusedError
        """
        body = await self._call("POST", f"/v1/streams/{stream_id}/export", {})
        return ExportedCache(**body)

    async def import_cache(self, cache: ExportedCache) -> None:
        """Hold an exported cache until a stream names its handle.

        Raises
        ------
        EngineUnreachableError, EngineRefusedError
        """
        await self._call("POST", "/v1/imports", attrs.asdict(cache))

    async def free_import(self, handle: str) -> bool:
        """Free an imported cache; True once the engine holds nothing of it."""
        return await self._free(f"/v1/imports/{handle}")

    async def order(self, order: Order) -> None:
        """Order the engine to load or unload a model, or to change its role.

        Raises
        ------
        EngineRefusedError
            Of the kind ``stale_fencing`` when a higher number was seen.
        EngineUnreachableError
        """
        await self._call("POST", "/v1/orders", attrs.asdict(order), ORDER_TIMEOUT_S)

    async def cache_events(self, from_sequence: int) -> CacheEvents:
        """Return cache events, which come late and with gaps.

        Raises
        ------
        EngineUnreachableError, EngineRefusedError
        """
        body = await self._call("GET", f"/v1/cache-events?from={from_sequence}")
        events = tuple(CacheEvent(**event) for event in body["events"])
        return CacheEvents(events, body["next"])

    async def _free(self, path: str) -> bool:
        try:
            body = await self._call("DELETE", path)
        except EngineRefusedError as error:
            if error.status == STATUS_NOT_FOUND:
                return True
            raise
        return bool(body.get("cancelled"))

    async def _call(
        self, method: str, path: str, body: Any = None, timeout_s: float | None = None
    ) -> dict[str, Any]:
        request = json_request(
            method, self._base_url + path, body, timeout_s or self._request_timeout_s
        )
        try:
            response = await fetch(request)
        except (HTTPError, OSError) as error:
            raise _unreachable(request, error) from error
        answer = decode(response)
        if response.code >= 300:
            raise _refused(request, response.code, answer)
        return answer

    @asynccontextmanager
    async def _items(self, request: HTTPRequest) -> AsyncIterator[EngineItems]:
        async with AsyncExitStack() as stack:
            try:
                response = await stack.enter_async_context(streamed(request))
                if response.status != 200:
                    answer = b"".join([line async for line in response.lines()])
                    raise _refused(request, response.status, json.loads(answer))
            except (HTTPError, OSError, ValueError) as error:
                raise _unreachable(request, error) from error
            yield _parsed(request, response.lines())


async def _parsed(request: HTTPRequest, lines: AsyncIterator[bytes]) -> EngineItems:
    try:
        async for line in lines:
            item = json.loads(line)
            if item.get("end"):
                yield EngineEnd(item["total_tokens"], item["finish_reason"])
                return
            yield EngineTokens(item["sequence"], tuple(item["tokens"]))
    except (HTTPError, OSError, ValueError) as error:
        raise _unreachable(request, error) from error
    raise _unreachable(request, "the stream stopped without its end")


def _known(kind: type, body: dict[str, Any]) -> dict[str, Any]:
    names = attrs.fields_dict(kind)
    return {name: value for name, value in body.items() if name in names}


def _unreachable(
    request: HTTPRequest, cause: Exception | str
) -> EngineUnreachableError:
    return EngineUnreachableError(f"{request.method} {request.url} failed: {cause}.")


def _refused(
    request: HTTPRequest, status: int, answer: dict[str, Any]
) -> EngineRefusedError:
    kind_name = str(answer.get("kind", "unknown"))
    return EngineRefusedError(
        kind_name,
        f"{request.method} {request.url} answered {status} {kind_name}.",
        status,
    )
