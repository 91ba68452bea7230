"""Run one model request to completion, retrying on other endpoints as needed."""

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
from .attempt import Attempt, AttemptContext, Broken, Finished
from .grants import PendingRequest
from .placement import Placement, Placer

logger = logging.getLogger(__name__)

MAX_ATTEMPTS = 32
MIN_WAIT_S = 0.1
MAX_WAIT_S = 0.5
STARTING_WAIT_FRACTION = 0.25
MAX_STARTING_WAIT_S = 5.0


@attrs.frozen
class GenerationContext:
    """Collaborators shared by all generations of an entry.

    Parameters
    ----------
    placer : Placer
    attempts : AttemptContext
    retries : RetryBudget
    clock : callable
        Monotonic seconds.
    on_retry : callable
        Called before each retry.
    """

    placer: Placer
    attempts: AttemptContext
    retries: RetryBudget
    clock: Callable[[], float]
    on_retry: Callable[[], None]


@attrs.define
class Generation:
    """A model request and the part of its answer received so far.

    Parameters
    ----------
    context : GenerationContext
    pending : PendingRequest
    prompt : str
    survives_caller : bool
        Whether the stream keeps running for a grace period after the caller's
        connection is lost.
    """

    context: GenerationContext
    pending: PendingRequest
    prompt: str = attrs.field(repr=False)
    survives_caller: bool = False
    assembler: StreamAssembler = attrs.field(init=False)
    node_id: str = attrs.field(init=False, default="")
    _is_submitted: bool = attrs.field(init=False, default=False)

    def __attrs_post_init__(self) -> None:
        self.assembler = StreamAssembler(self.pending.request.request_id)

    @property
    def kv_tokens(self) -> int:
        """KV cache tokens needed for the prompt and the longest possible answer."""
        return self.pending.request.prompt_tokens + self.pending.request.output_tokens

    async def events(self) -> AsyncGenerator[Delivery | Finished, None]:
        """Run the request, retrying failed attempts from the last token received.

        Yields
        ------
        Delivery or Finished
            Tokens in order and exactly once, then one `Finished`.

        Raises
        ------
        SorrelhoistError
            If the request was refused, failed, or passed its deadline.
        """
        self.context.retries.record_first_attempt(self.context.clock())
        with self.context.placer.running(self.pending):
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
                            self.context.placer.completed(self.pending)
                            return
                if broken is not None:
                    self.context.placer.record_failure(
                        self.pending, placement, broken.failure
                    )
                self._spend_retry(broken)
        raise EndpointFailedError("The request failed too often.", retry_after_s=1.0)

    def _attempt(
        self, placement: Placement
    ) -> AsyncGenerator[Delivery | Finished | Broken, None]:
        self._is_submitted = True
        self.node_id = placement.node_id
        attempt = Attempt(
            self.context.attempts,
            self.pending,
            self.prompt,
            self.assembler,
            self.survives_caller,
        )
        return attempt.events(placement)

    async def _place(self) -> Placement:
        self.pending.request.delivered_tokens = self.assembler.next_sequence
        wait_until_s = self._wait_until_s()
        while True:
            try:
                return await self.context.placer.place(self.pending)
            except OverloadedError as error:
                if not self._may_wait(error, wait_until_s):
                    raise
                await self._wait(error)
            except SorrelhoistError as error:
                # `not_run` covers this attempt only; an earlier one may have run.
                error.not_run = error.not_run and not self._is_submitted
                raise

    def _wait_until_s(self) -> float:
        """Return until when an unsubmitted request may wait for starting endpoints.

        Limited to a fraction of the time left, so that the caller gets an early
        error if no endpoint starts.
        """
        now_s = self.context.clock()
        part_s = (self.pending.deadline_s - now_s) * STARTING_WAIT_FRACTION
        return now_s + min(part_s, MAX_STARTING_WAIT_S)

    def _may_wait(self, error: OverloadedError, wait_until_s: float) -> bool:
        if self._is_submitted:
            return True
        is_starting = isinstance(error, EndpointsStartingError)
        return is_starting and self.context.clock() < wait_until_s

    async def _wait(self, error: OverloadedError) -> None:
        wait_s = min(error.retry_after_s or MAX_WAIT_S, MAX_WAIT_S)
        wait_s = max(wait_s, MIN_WAIT_S)
        if self.context.clock() + wait_s >= self.pending.deadline_s:
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
                "request_id": self.pending.request.request_id,
                "node_id_asked": self.node_id,
                "error": message,
            },
        )
        self.context.on_retry()
        if broken is not None and broken.planned:
            return
        if not self.context.retries.try_retry(self.context.clock()):
            raise EndpointFailedError(message, retry_after_s=1.0)
