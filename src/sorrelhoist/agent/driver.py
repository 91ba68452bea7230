"""Drive one stream on the engine from its start to its end."""

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
Opening = AbstractAsyncContextManager[EngineItems]


@attrs.frozen
class Ended:
    """A stream's outcome, and what the ledger has to know.

    Parameters
    ----------
    result : RunEnd or RunFailure
    outcome : Outcome
    """

    result: RunEnd | RunFailure
    outcome: Outcome


@attrs.frozen
class _Cut:
    """The connection ended before the stream; it may be resumed."""

    message: str


@attrs.define
class StreamDriver:
    """Read one stream, over as many connections as it takes.

    Parameters
    ----------
    client : EngineClient
    run : Run
    name : str
        Of the stream on the engine.
    is_alive : callable
        ``await is_alive(boot_id)`` tells whether the engine still runs with
        this boot id; it may wait for an answer.
    on_first_token : callable
    """

    client: EngineClient
    run: Run
    name: str
    is_alive: Callable[[str], Awaitable[bool]]
    on_first_token: Callable[[], None]

    async def start(self, spec: StreamSpec) -> Ended:
        """Start the stream and read it to its end."""
        return await self._read_on(self.client.stream(spec))

    async def resume(self) -> Ended:
        """Read a stream that is on the engine already."""
        return await self._read_on(self._resumed())

    def _resumed(self) -> Opening:
        return self.client.resume(self.name, self.run.next_sequence)

    async def _read_on(self, opening: Opening) -> Ended:
        message = ""
        for _ in range(MAX_RESUMES):
            step = await self._read(opening)
            if isinstance(step, Ended):
                return step
            message = step.message
            if not await self.is_alive(self.run.boot_id):
                break
            opening = self._resumed()
        failure = RunFailure("endpoint_failed", f"The endpoint was lost: {message}")
        return Ended(failure, Failed())

    async def _read(self, opening: Opening) -> Ended | _Cut:
        try:
            async with opening as items:
                async for item in items:
                    ended = self._take(item)
                    if ended is not None:
                        return ended
        except EngineRefusedError as error:
            return self._refused(error)
        except EngineUnreachableError as error:
            return _Cut(error.message)
        return _Cut("The stream stopped without its end.")

    def _take(self, item: EngineTokens | EngineEnd) -> Ended | _Cut | None:
        match item:
            case EngineTokens(sequence=sequence, tokens=tokens):
                if not self.run.accept(sequence, tokens):
                    return _Cut("The engine left tokens out.")
                self._note_first_token()
                return None
            case EngineEnd(total_tokens=total, finish_reason=reason):
                if total != self.run.next_sequence:
                    return _Cut("The engine ended before its last token.")
                return Ended(RunEnd(total, reason), Completed())

    def _note_first_token(self) -> None:
        if not self.run.has_first_token:
            self.run.has_first_token = True
            self.on_first_token()

    def _refused(self, error: EngineRefusedError) -> Ended | _Cut:
        if error.kind_name == "exists":
            return _Cut(error.message)
        cold = error.kind_name == "cold"
        failure = RunFailure(f"engine_{error.kind_name}", error.message)
        return Ended(failure, Failed(refused=True, cold=cold))
