"""HTTP handlers for completions, resumed streams and the list of models."""

import re
import time
from collections.abc import AsyncIterator
from contextlib import aclosing
from typing import Literal

from tornado.iostream import StreamClosedError

from ..decisions.streams import Delivery, StreamName, sign_stream_id, verify_stream_id
from ..exceptions import InvalidRequestError
from .attempt import Finished
from .generation import Generation
from .http import CallerHandler
from .port import EntryPort
from .requests import (
    MAX_OUTPUT_TOKENS,
    GenerationRequest,
    parse_generation,
    parse_timeout_s,
)
from .response_format import DONE_EVENT, ResponseFormatter, event
from .stream_resume import resume_stream

TIMEOUT_HEADER = "X-Request-Timeout-S"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_IDEMPOTENCY_KEY_CHARS = 256
LAST_EVENT_ID_HEADER = "Last-Event-ID"
# Nine digits are enough: no response has that many tokens.
_SEQUENCE_PATTERN = re.compile("[0-9]{1,9}")


class CompletionHandler(CallerHandler):
    """``POST /v1/chat/completions`` and ``POST /v1/completions``."""

    def initialize(  # type: ignore[override]
        self, entry: EntryPort, surface: Literal["chat", "completions"]
    ) -> None:
        """Set the API that the path belongs to."""
        super().initialize(entry)
        self._surface = surface

    async def post(self) -> None:
        """Generate a completion and write the response."""
        await self.guard(self._post)

    async def _post(self) -> None:
        request = parse_generation(self._surface, self.body())
        self._chunks.clear()
        timeout_s = parse_timeout_s(
            self.request.headers.get(TIMEOUT_HEADER),
            self.entry.settings.default_deadline_s,
        )
        key = self._idempotency_key()
        if key:
            self.request_id = self.entry.request_id_for(self.workspace, key)
            self.set_header("X-Request-Id", self.request_id)
        generation = self.entry.generation(
            request, self.workspace, self.request_id, timeout_s, bool(key)
        )
        tokens = generation.kv_tokens
        admitted = self.entry.limits.admitted(self.workspace.name, tokens)
        with admitted, self.entry.track_request(self.workspace):
            await self._run(generation, request)

    def _idempotency_key(self) -> str:
        key = self.request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
            raise InvalidRequestError(
                f"'{IDEMPOTENCY_KEY_HEADER}' is over "
                f"{MAX_IDEMPOTENCY_KEY_CHARS} characters.",
                "Send a shorter key.",
                not_run=True,
            )
        return key

    async def _run(self, generation: Generation, request: GenerationRequest) -> None:
        formatter = ResponseFormatter(self.request_id, int(time.time()), request)
        writer = ResponseWriter(self, formatter, generation)
        async with aclosing(generation.events()) as events:
            await writer.write(self._record_first_token_time(events))

    async def _record_first_token_time(
        self, events: AsyncIterator[Delivery | Finished]
    ) -> AsyncIterator[Delivery | Finished]:
        started_s = self.entry.clock()
        is_first = True
        async for item in events:
            if is_first:
                is_first = False
                self.entry.metrics.first_token.record(self.entry.clock() - started_s)
            yield item


class ResponseWriter:
    """Write a response, as one JSON body or as server-sent events.

    Parameters
    ----------
    handler : CallerHandler
    formatter : ResponseFormatter
    generation : Generation
    """

    def __init__(
        self,
        handler: CallerHandler,
        formatter: ResponseFormatter,
        generation: Generation,
    ) -> None:
        self._handler = handler
        self._formatter = formatter
        self._generation = generation

    async def write(self, events: AsyncIterator[Delivery | Finished]) -> None:
        """Write the response from the events of the generation."""
        if self._formatter.request.stream:
            await self._write_stream(events)
        else:
            await self._write_whole(events)

    async def _write_whole(self, events: AsyncIterator[Delivery | Finished]) -> None:
        async for item in events:
            if isinstance(item, Finished):
                tokens = self._generation.assembler.tokens
                body = self._formatter.whole(
                    "".join(tokens),
                    item.finish_reason,
                    item.prompt_tokens,
                    item.total_tokens,
                )
                self._handler.entry.metrics.tokens.add(len(tokens))
                self._handler.set_header("Content-Type", "application/json")
                await self._handler.finish(body)

    async def _write_stream(self, events: AsyncIterator[Delivery | Finished]) -> None:
        handler = self._handler
        async for item in events:
            if not handler._headers_written:
                handler.set_header("Content-Type", "text/event-stream")
                handler.set_header("Cache-Control", "no-store")
            match item:
                case Delivery(tokens=tokens):
                    handler.entry.metrics.tokens.add(len(tokens))
                    handler.write(self._event("".join(tokens), None))
                case Finished(finish_reason=reason):
                    handler.write(self._event("", reason))
                    handler.write(DONE_EVENT)
            try:
                await handler.flush()
            except StreamClosedError:
                return
        await handler.finish()

    def _event(self, text: str, finish_reason: str | None) -> str:
        return event(self._formatter.chunk(text, finish_reason), self._event_id())

    def _event_id(self) -> str:
        generation = self._generation
        name = StreamName(
            generation.node_id,
            generation.assembler.request_id,
            self._handler.workspace.name,
        )
        key = self._handler.entry.settings.stream_key
        return f"{sign_stream_id(name, key)}.{generation.assembler.next_sequence}"


class StreamHandler(CallerHandler):
    """``GET /v1/streams/ID``: resume a stream after the ``Last-Event-ID``."""

    async def get(self, stream_id: str) -> None:
        """Resume the stream where the caller's connection broke."""

        async def run() -> None:
            await self._get(stream_id)

        await self.guard(run)

    async def _get(self, stream_id: str) -> None:
        name = self._verify_name(stream_id)
        sequence = self._parse_sequence()
        self.request_id = name.request_id
        self.set_header("Content-Type", "text/event-stream")
        resumed = resume_stream(self.entry, name, sequence)
        async with aclosing(resumed) as events:
            async for item in events:
                self.write(item)
                await self.flush()
        await self.finish()

    def _verify_name(self, stream_id: str) -> StreamName:
        result = verify_stream_id(stream_id, self.entry.settings.stream_key)
        name = result.value_or(None)
        if name is None or name.workspace != self.workspace.name:
            raise InvalidRequestError(
                "The stream id is not valid.",
                "Send the id of the last event that you received.",
                not_run=True,
            )
        return name

    def _parse_sequence(self) -> int:
        text = self.request.headers.get(LAST_EVENT_ID_HEADER, "0").rpartition(".")[2]
        sequence = (
            int(text) if _SEQUENCE_PATTERN.fullmatch(text) else MAX_OUTPUT_TOKENS + 1
        )
        if sequence > MAX_OUTPUT_TOKENS:
            raise InvalidRequestError(
                f"'{LAST_EVENT_ID_HEADER}' has no sequence number.",
                "Send the id of the last event that you received.",
                not_run=True,
            )
        return sequence


class ModelsHandler(CallerHandler):
    """``GET /v1/models``."""

    async def get(self) -> None:
        """List the models that the key may use."""

        async def run() -> None:
            models = self.entry.models_for(self.workspace)
            self.finish(
                {
                    "object": "list",
                    "data": [
                        {
                            "id": model.name,
                            "object": "model",
                            "created": 0,
                            "owned_by": "sorrelhoist",
                        }
                        for model in models
                    ],
                }
            )

        await self.guard(run)
