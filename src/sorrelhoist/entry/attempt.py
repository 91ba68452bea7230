"""One attempt at a request: on one endpoint, on a group, or where it runs already."""

import asyncio
import logging
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import AsyncExitStack, aclosing
from types import TracebackType

import attrs

from ..decisions.streams import Delivery, Gap, RequestMismatch, StreamAssembler
from ..exceptions import DeadlineExceededError, PeerError
from ..messages.gen import ttypes
from ..node.peers import PeerPool
from .agent_client import SILENCE_TIMEOUT_S, AgentClient
from .grants import Ask, HeldGrant, RunningElsewhere
from .groups import HeldGroup
from .leases import LeaseKeeper
from .placement import Placement

logger = logging.getLogger(__name__)

ATTACH_INTERVAL_S = 0.2
# Waiting for a lost agent pays off up to the time that a new prefill takes.
PREFILL_TOKENS_PER_S = 20_000
MAX_ATTACH_TIME_S = 4.0
# A planned move costs the budget for retries nothing.
PLANNED_KINDS = frozenset({"leaving", "domain_out", "moved"})

Receive = Callable[[], Awaitable]
ExitCallback = Callable[
    [type[BaseException] | None, BaseException | None, TracebackType | None],
    Awaitable[bool],
]


class AgentSilentError(PeerError):
    """An agent holds its connection but says nothing."""

    kind = "agent_silent"


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
    """The attempt ended before the answer was whole.

    Parameters
    ----------
    kind, message : str
    planned : bool
        Whether it was moved away, not lost.
    failure : StreamFailure, optional
        What the agent said.
    """

    kind: str
    message: str
    planned: bool = False
    failure: ttypes.StreamFailure | None = None


Event = Delivery | Finished | Broken


@attrs.frozen
class AttemptTools:
    """What all attempts of an entry share.

    Parameters
    ----------
    pool : PeerPool
    caller : AgentClient
    leases : LeaseKeeper
    clock : callable
        Monotonic seconds.
    on_load : callable
        Gets each load that an agent sends.
    """

    pool: PeerPool
    caller: AgentClient
    leases: LeaseKeeper
    clock: Callable[[], float]
    on_load: Callable[[ttypes.Load], None]


@attrs.define
class Attempt:
    """Run a request at one place, over as many connections as it takes.

    Parameters
    ----------
    tools : AttemptTools
    ask : Ask
    prompt : str
    assembler : StreamAssembler
        The answer so far.
    survives_caller : bool
        Whether the stream goes on for a while when this attempt is dropped.
    """

    tools: AttemptTools
    ask: Ask
    prompt: str = attrs.field(repr=False)
    assembler: StreamAssembler
    survives_caller: bool = False
    _stack: AsyncExitStack = attrs.field(init=False, factory=AsyncExitStack)
    _lost_parts: list[asyncio.Event] = attrs.field(init=False, factory=list)
    _place: RunningElsewhere | None = attrs.field(init=False, default=None)

    async def events(self, placement: Placement) -> AsyncGenerator[Event, None]:
        """Run it.

        Parameters
        ----------
        placement : HeldGrant, RunningElsewhere or HeldGroup

        Yields
        ------
        Delivery, Finished or Broken
            Tokens in order, each once, then one of the others.

        Raises
        ------
        DeadlineExceededError
            If the deadline passes.
        """
        async with self._stack:
            opening = self._open(placement)
            give_up_s = None
            while True:
                try:
                    async with aclosing(self._read(opening)) as reading:
                        async for event in reading:
                            give_up_s = None
                            yield event
                            if not isinstance(event, Delivery):
                                return
                except AgentSilentError as error:
                    yield Broken(error.kind, error.message)
                    return
                except PeerError as error:
                    now_s = self.tools.clock()
                    give_up_s = give_up_s or now_s + self._attach_time_s()
                    if now_s >= give_up_s:
                        yield Broken(error.kind, error.message)
                        return
                    await asyncio.sleep(ATTACH_INTERVAL_S)
                opening = self._attach()

    def _attach_time_s(self) -> float:
        """Return how long to try to reach a lost agent again, in seconds."""
        tokens = self.ask.route.prompt_tokens + self.assembler.next_sequence
        return min(MAX_ATTACH_TIME_S, tokens / PREFILL_TOKENS_PER_S)

    def _open(self, placement: Placement) -> object:
        match placement:
            case RunningElsewhere():
                self._place = placement
                return self._attach()
            case HeldGrant(target=target, address=address):
                self._place = RunningElsewhere(target, address)
                self._hold(placement)
                return self._submit(placement.grant.grant_id, [])
            case HeldGroup(leader=leader):
                self._place = RunningElsewhere(leader.target, leader.address)
                for held in placement.members:
                    lost = self._hold(held)
                    if held is not leader:
                        self._lost_parts.append(lost)
                self._stack.push_async_callback(placement.reservation.aclose)
                names = [held.target.endpoint for held in placement.members]
                return self._submit(leader.grant.grant_id, names)

    def _hold(self, held: HeldGrant) -> asyncio.Event:
        """Keep a grant; return the event of its loss.

        A stream that ended is no longer known to its agent either: only the loss
        of a part, which tells nothing of itself, breaks an attempt.
        """
        self._stack.push_async_exit(self._give_back(held))
        return self._stack.enter_context(self.tools.leases.holding(held))

    def _give_back(self, held: HeldGrant) -> ExitCallback:
        async def give_back(
            kind: type[BaseException] | None,
            error: BaseException | None,
            traceback: TracebackType | None,
        ) -> bool:
            dropped = kind is not None and issubclass(
                kind, asyncio.CancelledError | GeneratorExit
            )
            if not (dropped and self.survives_caller):
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

    async def _read(self, opening: object) -> AsyncGenerator[Event, None]:
        """Read over one connection, up to its end or a gap."""
        assert self._place is not None
        async with self.tools.pool.open(self._place.address, opening) as receive:
            while True:
                event = self._take_in(await self._next(receive))
                if isinstance(event, Gap):
                    return
                if event is not None:
                    yield event
                if isinstance(event, Finished | Broken):
                    return

    async def _next(self, receive: Receive) -> object:
        left_s = self.ask.deadline_s - self.tools.clock()
        if left_s <= 0:
            raise self._too_late()
        try:
            async with asyncio.timeout(min(left_s, SILENCE_TIMEOUT_S)):
                return await receive()
        except TimeoutError as error:
            if self.tools.clock() >= self.ask.deadline_s:
                raise self._too_late() from error
            raise AgentSilentError("The agent went silent.") from error

    def _too_late(self) -> DeadlineExceededError:
        return DeadlineExceededError(
            f"The deadline passed after {self.assembler.next_sequence} tokens."
        )

    def _take_in(self, reply: object) -> Event | Gap | None:
        if any(lost.is_set() for lost in self._lost_parts):
            return Broken("part_lost", "An agent no longer holds its part of a group.")
        match reply:
            case ttypes.Piece():
                return self._deliver(reply)
            case ttypes.Grant():
                self._own(reply)
                return None
            case ttypes.StreamEnd():
                return self._finish(reply)
            case ttypes.StreamFailure(request_id=other) if not self._is_own(other):
                return None
            case ttypes.StreamFailure(kind=kind, message=message, load=load):
                self.tools.on_load(load)
                return Broken(kind, message, kind in PLANNED_KINDS, reply)
            case ttypes.Denial(kind=kind, message=message):
                return Broken(kind, message, planned=True)
            case _:
                raise PeerError("An agent broke the protocol.")

    def _is_own(self, request_id: str) -> bool:
        return request_id == self.assembler.request_id

    def _own(self, grant: ttypes.Grant) -> None:
        """Hold the grant of a stream that this entry attached to."""
        assert self._place is not None
        self._hold(HeldGrant(self._place.target, self._place.address, grant))

    def _finish(self, end: ttypes.StreamEnd) -> Finished | Gap:
        self.tools.on_load(end.load)
        if not self.assembler.is_complete(end):
            return Gap(self.assembler.next_sequence)
        return Finished(end.finish_reason, end.prompt_tokens, end.total_tokens)

    def _deliver(self, piece: ttypes.Piece) -> Delivery | Gap | None:
        delivery = self.assembler.accept(piece)
        match delivery:
            case Delivery(tokens=[]) | RequestMismatch():
                return None
            case _:
                return delivery
