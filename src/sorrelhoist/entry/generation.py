"""Run one model request to its end, over as many endpoints as it takes."""

import asyncio
import logging
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import AsyncExitStack, aclosing
from types import TracebackType

import attrs

from ..decisions.retries import RetryBudget
from ..decisions.streams import Delivery, Foreign, Gap, StreamAssembler
from ..exceptions import (
    DeadlineExceededError,
    EndpointFailedError,
    OverloadedError,
    PeerError,
)
from ..messages.gen import ttypes
from ..node.peers import PeerAddress, PeerPool
from .calls import SILENCE_TIMEOUT_S, AgentCaller
from .grants import Ask, HeldGrant, RunningElsewhere
from .groups import HeldGroup
from .leases import LeaseKeeper
from .placement import Placement, Placer

logger = logging.getLogger(__name__)

MAX_ATTACHES = 3
MAX_RESUME_WAIT_S = 0.5
ExitCallback = Callable[
    [type[BaseException] | None, BaseException | None, TracebackType | None],
    Awaitable[bool],
]

# A planned move costs the budget for retries nothing.
PLANNED_KINDS = frozenset({"leaving", "domain_out", "moved"})


@attrs.frozen
class Finished:
    """The answer is whole.

    Parameters
    ----------
    finish_reason : str
    prompt_tokens, total_tokens : int
    """

    finish_reason: str
    prompt_tokens: int
    total_tokens: int


@attrs.frozen
class Broken:
    """An attempt ended before the answer was whole.

    Parameters
    ----------
    kind, message : str
    planned : bool
        Whether it was moved away, not lost.
    """

    kind: str
    message: str
    planned: bool = False


@attrs.frozen
class GenerationTools:
    """What all generations of an entry share."""

    placer: Placer
    pool: PeerPool
    caller: AgentCaller
    leases: LeaseKeeper
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
    _submitted: bool = attrs.field(init=False, default=False)
    _lost: list[asyncio.Event] = attrs.field(init=False, factory=list)

    def __attrs_post_init__(self) -> None:
        self.assembler = StreamAssembler(self.ask.request.request_id)

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
        self.tools.retries.first_attempt(self.tools.clock())
        while True:
            placement = await self._place()
            broken: Broken | None = None
            async with aclosing(self._attempt(placement)) as attempt:
                async for event in attempt:
                    if isinstance(event, Broken):
                        broken = event
                        break
                    yield event
                    if isinstance(event, Finished):
                        return
            self._spend_retry(broken)

    async def _place(self) -> Placement:
        self.ask.request.delivered_tokens = self.assembler.next_sequence
        while True:
            try:
                return await self.tools.placer.place(self.ask)
            except OverloadedError as error:
                if not self._submitted:
                    raise
                await self._wait_to_resume(error)

    async def _wait_to_resume(self, error: OverloadedError) -> None:
        wait_s = min(error.retry_after_s or MAX_RESUME_WAIT_S, MAX_RESUME_WAIT_S)
        if self.tools.clock() + wait_s >= self.ask.deadline_s:
            raise self._too_late()
        await asyncio.sleep(wait_s)

    def _too_late(self) -> DeadlineExceededError:
        return DeadlineExceededError(
            f"The deadline passed after {self.assembler.next_sequence} tokens.",
            not_run=not self._submitted,
        )

    def _spend_retry(self, broken: Broken | None) -> None:
        message = broken.message if broken else "The stream ended early."
        logger.info(
            "attempt failed",
            extra={"request_id": self.ask.request.request_id, "error": message},
        )
        self.tools.on_retry()
        if broken is not None and broken.planned:
            return
        if not self.tools.retries.try_retry(self.tools.clock()):
            raise EndpointFailedError(message, retry_after_s=1.0)

    async def _attempt(
        self, placement: Placement
    ) -> AsyncGenerator[Delivery | Finished | Broken, None]:
        async with AsyncExitStack() as stack:
            address, opening = self._open(placement, stack)
            for _ in range(MAX_ATTACHES):
                try:
                    async with aclosing(self._read(address, opening)) as reading:
                        async for event in reading:
                            yield event
                            if not isinstance(event, Delivery):
                                return
                except PeerError as error:
                    logger.info("stream cut", extra={"error": error.message})
                opening = self._attach()
            yield Broken("peer_unreachable", f"The agent at {address} was lost.")

    def _open(
        self, placement: Placement, stack: AsyncExitStack
    ) -> tuple[PeerAddress, object]:
        self._submitted = True
        self._lost.clear()
        match placement:
            case RunningElsewhere(target=target, address=address):
                self.node_id = target.node_id
                return address, self._attach()
            case HeldGrant(target=target, address=address):
                self.node_id = target.node_id
                self._hold(placement, stack)
                return address, self._submit(placement.grant.grant_id, [])
            case HeldGroup(leader=leader):
                self.node_id = leader.target.node_id
                for held in placement.members:
                    self._hold(held, stack)
                stack.push_async_callback(placement.reservation.aclose)
                names = [held.target.endpoint for held in placement.members]
                return leader.address, self._submit(leader.grant.grant_id, names)

    def _hold(self, held: HeldGrant, stack: AsyncExitStack) -> None:
        stack.push_async_exit(self._give_back(held))
        self._lost.append(stack.enter_context(self.tools.leases.holding(held)))

    def _give_back(self, held: HeldGrant) -> ExitCallback:
        async def give_back(
            kind: type[BaseException] | None,
            error: BaseException | None,
            traceback: TracebackType | None,
        ) -> bool:
            gone = kind is not None and issubclass(
                kind, asyncio.CancelledError | GeneratorExit
            )
            if not (gone and self.survives_caller):
                self.tools.caller.cancel(held.address, grant_id=held.grant.grant_id)
            return False

        return give_back

    def _submit(self, grant_id: str, group_endpoints: list[str]) -> ttypes.Submit:
        return ttypes.Submit(
            grant_id=grant_id,
            request_id=self.assembler.request_id,
            prompt=self.prompt,
            output_tokens=self.ask.request.output_tokens,
            delivered=list(self.assembler.tokens),
            group_endpoints=group_endpoints,
            model=self.ask.request.model,
        )

    def _attach(self) -> ttypes.Attach:
        return ttypes.Attach(
            request_id=self.assembler.request_id,
            from_sequence=self.assembler.next_sequence,
            entry_id=self.ask.request.entry_id,
        )

    async def _read(
        self, address: PeerAddress, opening: object
    ) -> AsyncGenerator[Delivery | Finished | Broken, None]:
        async with self.tools.pool.open(address, opening) as receive:
            while True:
                event = self._take_in(await self._next(receive))
                if isinstance(event, Gap):
                    return
                if event is not None:
                    yield event
                if isinstance(event, Finished | Broken):
                    return

    async def _next(self, receive: Callable[[], Awaitable]) -> object:
        left_s = self.ask.deadline_s - self.tools.clock()
        if left_s <= 0:
            raise self._too_late()
        try:
            async with asyncio.timeout(min(left_s, SILENCE_TIMEOUT_S)):
                return await receive()
        except TimeoutError as error:
            if self.tools.clock() >= self.ask.deadline_s:
                raise self._too_late() from error
            raise PeerError("The agent went silent.") from error

    def _take_in(self, reply: object) -> Delivery | Finished | Broken | Gap | None:
        if any(lost.is_set() for lost in self._lost):
            return Broken("grant_lost", "An agent no longer holds the grant.")
        match reply:
            case ttypes.Piece():
                return self._deliver(reply)
            case ttypes.StreamEnd() if self.assembler.is_whole(reply):
                self.tools.placer.observe(reply.load)
                return Finished(
                    reply.finish_reason, reply.prompt_tokens, reply.total_tokens
                )
            case ttypes.StreamEnd():
                return Gap(self.assembler.next_sequence)
            case ttypes.StreamFailure():
                self.tools.placer.failed(self.ask, reply)
                planned = reply.kind in PLANNED_KINDS
                return Broken(reply.kind, reply.message, planned)
            case ttypes.Denial():
                return Broken(reply.kind, reply.message, planned=True)
            case _:
                raise PeerError("An agent broke the protocol.")

    def _deliver(self, piece: ttypes.Piece) -> Delivery | Gap | None:
        delivery = self.assembler.accept(piece)
        match delivery:
            case Delivery(tokens=[]) | Foreign():
                return None
            case _:
                return delivery
