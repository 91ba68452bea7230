"""Reads one token stream from the engine and resumes it after disconnects."""

import logging
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager

import attrs

from ..clients.engine import EngineClient, EngineItems
from ..clients.engine_messages import EngineEnd, EngineTokens, StreamSpec
from ..clients.exceptions import EngineRefusedError, EngineUnreachableError
from ..decisions.grants import Completed, Failed, Outcome
from .runs import Run, RunEnd, RunFailure

logger = logging.getLogger(__name__)

MAX_RESUMES = 20
STATUS_NOT_FOUND = 404
StreamContext = AbstractAsyncContextManager[EngineItems]


@attrs.frozen
class StreamResult:
    """Final result of a stream, for its readers and for the ledger.

    Parameters
    ----------
    result : RunEnd or RunFailure
        Passed on to the readers.
    outcome : Outcome
        Recorded by the ledger.
    """

    result: RunEnd | RunFailure
    outcome: Outcome


@attrs.frozen
class _Disconnected:
    """The connection ended before the stream; the stream may be resumable."""

    message: str


@attrs.define
class StreamDriver:
    """Reads one stream, over up to `MAX_RESUMES` connections.

    Parameters
    ----------
    client : EngineClient
    run : Run
    name : str
        Name of the stream on the engine.
    is_alive : callable
        ``await is_alive(boot_id)`` returns whether the engine still runs with
        this boot id; it may wait for the engine's response.
    on_first_token : callable
        Called once, when the first token arrives.
    """

    client: EngineClient
    run: Run
    name: str
    is_alive: Callable[[str], Awaitable[bool]]
    on_first_token: Callable[[], None]

    async def start(self, spec: StreamSpec) -> StreamResult:
        """Start the stream and read it to its end."""
        return await self._read_with_resumes(self.client.stream(spec))

    async def resume(self) -> StreamResult:
        """Read a stream that already runs on the engine."""
        return await self._read_with_resumes(self._resume_context())

    def _resume_context(self) -> StreamContext:
        return self.client.resume(self.name, self.run.next_sequence)

    async def _read_with_resumes(self, stream: StreamContext) -> StreamResult:
        message = ""
        for _ in range(MAX_RESUMES):
            step = await self._read_connection(stream)
            if isinstance(step, StreamResult):
                return step
            message = step.message
            if not await self.is_alive(self.run.boot_id):
                break
            stream = self._resume_context()
        failure = RunFailure("endpoint_failed", f"The endpoint was lost: {message}")
        return StreamResult(failure, Failed())

    async def _read_connection(
        self, stream: StreamContext
    ) -> StreamResult | _Disconnected:
        try:
            async with stream as items:
                async for item in items:
                    stream_result = self._process_item(item)
                    if stream_result is not None:
                        return stream_result
        except EngineRefusedError as error:
            return self._handle_refusal(error)
        except EngineUnreachableError as error:
            return _Disconnected(error.message)
        return _Disconnected("The stream stopped without its end.")

    def _process_item(
        self, item: EngineTokens | EngineEnd
    ) -> StreamResult | _Disconnected | None:
        match item:
            case EngineTokens(sequence=sequence, tokens=tokens):
                if not self.run.accept(sequence, tokens):
                    return _Disconnected("The engine left tokens out.")
                self._report_first_token()
                return None
            case EngineEnd(total_tokens=total, finish_reason=reason):
                if total != self.run.next_sequence:
                    return _Disconnected("The engine ended before its last token.")
                return StreamResult(RunEnd(total, reason), Completed())

    def _report_first_token(self) -> None:
        if not self.run.has_first_token:
            self.run.has_first_token = True
            self.on_first_token()

    def _handle_refusal(
        self, error: EngineRefusedError
    ) -> StreamResult | _Disconnected:
        if error.kind_name == "exists":
            return _Disconnected(error.message)
        cold = error.kind_name == "cold"
        failure = RunFailure(f"engine_{error.kind_name}", error.message)
        return StreamResult(failure, Failed(refused=True, cold=cold))
