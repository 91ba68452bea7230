"""Run one model request to its end, over as many attempts as it takes."""

import asyncio
import logging
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing

import attrs

from ..decisions.retries import RetryBudget
from ..decisions.streams import Delivery, StreamAssembler
from ..exceptions import (
    DeadlineExceededError,
    EndpointFailedError,
    EndpointsStartingError,
    OverloadedError,
    SorrelhoistError,
)
from .attempt import Attempt, AttemptTools, Broken, Finished
from .grants import Ask
from .placement import Placement, Placer

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 32
MIN_WAIT_S = 0.1
MAX_WAIT_S = 0.5
STARTING_WAIT_FRACTION = 0.25
MAX_STARTING_WAIT_S = 5.0


@attrs.frozen
class GenerationTools:
    """What all generations of an entry share.

    Parameters
    ----------
    placer : Placer
    attempts : AttemptTools
    retries : RetryBudget
    clock : callable
        Monotonic seconds.
    on_retry : callable
        Called for each further attempt.
    """

    placer: Placer
    attempts: AttemptTools
    retries: RetryBudget
    clock: Callable[[], float]
    on_retry: Callable[[], None]


@attrs.define
class Generation:
    """One request and its answer so far.

    Parameters
    ----------
    tools : GenerationTools
    ask : Ask
    prompt : str
    survives_caller : bool
        Whether it goes on for a while when the caller's connection is lost.
    """

    tools: GenerationTools
    ask: Ask
    prompt: str = attrs.field(repr=False)
    survives_caller: bool = False
    assembler: StreamAssembler = attrs.field(init=False)
    node_id: str = attrs.field(init=False, default="")
    _is_submitted: bool = attrs.field(init=False, default=False)

    def __attrs_post_init__(self) -> None:
        self.assembler = StreamAssembler(self.ask.request.request_id)

    @property
    def kv_tokens(self) -> int:
        """Tokens of the prompt and the longest answer."""
        return self.ask.request.prompt_tokens + self.ask.request.output_tokens

    async def events(self) -> AsyncGenerator[Delivery | Finished, None]:
        """Run the request.

        Yields
        ------
        Delivery or Finished
            Tokens in order, each once; `Finished` is the last.

        Raises
        ------
        SorrelhoistError
            If it was refused, failed, or ran out of time.
        """
        self.tools.retries.record_first_attempt(self.tools.clock())
        with self.tools.placer.running(self.ask):
            for _ in range(MAX_ATTEMPTS):
                placement = await self._place()
                broken: Broken | None = None
                async with aclosing(self._attempt(placement)) as attempt:
                    async for event in attempt:
                        if isinstance(event, Broken):
                            broken = event
                            break
                        yield event
                        if isinstance(event, Finished):
                            self.tools.placer.completed(self.ask)
                            return
                if broken is not None:
                    self.tools.placer.note_failure(self.ask, placement, broken.failure)
                self._spend_retry(broken)
        raise EndpointFailedError("The request failed too often.", retry_after_s=1.0)

    def _attempt(
        self, placement: Placement
    ) -> AsyncGenerator[Delivery | Finished | Broken, None]:
        self._is_submitted = True
        self.node_id = placement.node_id
        attempt = Attempt(
            self.tools.attempts,
            self.ask,
            self.prompt,
            self.assembler,
            self.survives_caller,
        )
        return attempt.events(placement)

    async def _place(self) -> Placement:
        self.ask.request.delivered_tokens = self.assembler.next_sequence
        wait_until_s = self._wait_until_s()
        while True:
            try:
                return await self.tools.placer.place(self.ask)
            except OverloadedError as error:
                if not self._may_wait(error, wait_until_s):
                    raise
                await self._wait(error)
            except SorrelhoistError as error:
                # What was true of this attempt is not true of those before.
                error.not_run = error.not_run and not self._is_submitted
                raise

    def _wait_until_s(self) -> float:
        """Return until when a request that nobody has may wait for starting endpoints.

        A part of its time only: if that does not help, the caller hears it early.
        """
        now_s = self.tools.clock()
        part_s = (self.ask.deadline_s - now_s) * STARTING_WAIT_FRACTION
        return now_s + min(part_s, MAX_STARTING_WAIT_S)

    def _may_wait(self, error: OverloadedError, wait_until_s: float) -> bool:
        if self._is_submitted:
            return True
        is_starting = isinstance(error, EndpointsStartingError)
        return is_starting and self.tools.clock() < wait_until_s

    async def _wait(self, error: OverloadedError) -> None:
        wait_s = min(error.retry_after_s or MAX_WAIT_S, MAX_WAIT_S)
        wait_s = max(wait_s, MIN_WAIT_S)
        if self.tools.clock() + wait_s >= self.ask.deadline_s:
            raise DeadlineExceededError(
                f"The deadline would pass after {self.assembler.next_sequence} tokens.",
                not_run=not self._is_submitted,
                retry_after_s=error.retry_after_s,
            )
        await asyncio.sleep(wait_s)

    def _spend_retry(self, broken: Broken | None) -> None:
        message = broken.message if broken else "The stream ended early."
        logger.info(
            "attempt failed",
            extra={
                "request_id": self.ask.request.request_id,
                "node_id_asked": self.node_id,
                "error": message,
            },
        )
        self.tools.on_retry()
        if broken is not None and broken.planned:
            return
        if not self.tools.retries.try_retry(self.tools.clock()):
            raise EndpointFailedError(message, retry_after_s=1.0)
