"""Run one attempt of a request: on an endpoint, a group, or an existing stream."""

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
from .grants import ExistingStream, HeldGrant, PendingRequest
from .groups import HeldGroup
from .leases import LeaseRenewer
from .placement import Placement

logger = logging.getLogger(__name__)

ATTACH_INTERVAL_S = 0.2
# Reconnecting to a lost agent is worthwhile only while it takes less time than
# repeating the prefill elsewhere.
PREFILL_TOKENS_PER_S = 20_000
MAX_ATTACH_TIME_S = 4.0
# Planned moves; they do not consume the retry budget.
PLANNED_KINDS = frozenset({"leaving", "domain_out", "moved"})

Receive = Callable[[], Awaitable]
ExitCallback = Callable[
    [type[BaseException] | None, BaseException | None, TracebackType | None],
    Awaitable[bool],
]


class AgentSilentError(PeerError):
    """An agent keeps its connection open but sends nothing within the timeout."""

    kind = "agent_silent"


@attrs.frozen
class Finished:
    """The answer is complete.

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
    """The attempt ended before the answer was complete.

    Parameters
    ----------
    kind, message : str
    planned : bool
        Whether the stream was moved deliberately rather than lost.
    failure : StreamFailure, optional
        As reported by the agent.
    """

    kind: str
    message: str
    planned: bool = False
    failure: ttypes.StreamFailure | None = None


Event = Delivery | Finished | Broken


@attrs.frozen
class AttemptContext:
    """Collaborators shared by all attempts of an entry.

    Parameters
    ----------
    pool : PeerPool
    caller : AgentClient
    leases : LeaseRenewer
    clock : callable
        Monotonic seconds.
    on_load : callable
        Called with each load that an agent sends.
    """

    pool: PeerPool
    caller: AgentClient
    leases: LeaseRenewer
    clock: Callable[[], float]
    on_load: Callable[[ttypes.Load], None]


@attrs.define
class Attempt:
    """Run a request on one placement, reconnecting as often as needed.

    Parameters
    ----------
    context : AttemptContext
    pending : PendingRequest
    prompt : str
    assembler : StreamAssembler
        Holds the tokens received so far.
    survives_caller : bool
        Whether the stream keeps running for a grace period when this attempt is
        cancelled.
    """

    context: AttemptContext
    pending: PendingRequest
    prompt: str = attrs.field(repr=False)
    assembler: StreamAssembler
    survives_caller: bool = False
    _stack: AsyncExitStack = attrs.field(init=False, factory=AsyncExitStack)
    _lost_parts: list[asyncio.Event] = attrs.field(init=False, factory=list)
    _location: ExistingStream | None = attrs.field(init=False, default=None)

    async def events(self, placement: Placement) -> AsyncGenerator[Event, None]:
        """Run the attempt.

        Parameters
        ----------
        placement : HeldGrant, ExistingStream or HeldGroup

        Yields
        ------
        Delivery, Finished or Broken
            Tokens in order and exactly once, then one `Finished` or `Broken`.

        Raises
        ------
        DeadlineExceededError
            If the deadline passes before the stream ends.
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
                    now_s = self.context.clock()
                    give_up_s = give_up_s or now_s + self._attach_time_s()
                    if now_s >= give_up_s:
                        yield Broken(error.kind, error.message)
                        return
                    await asyncio.sleep(ATTACH_INTERVAL_S)
                opening = self._attach()

    def _attach_time_s(self) -> float:
        """Return how long to try to reconnect to a lost agent, in seconds."""
        tokens = self.pending.route.prompt_tokens + self.assembler.next_sequence
        return min(MAX_ATTACH_TIME_S, tokens / PREFILL_TOKENS_PER_S)

    def _open(self, placement: Placement) -> object:
        match placement:
            case ExistingStream():
                self._location = placement
                return self._attach()
            case HeldGrant(target=target, address=address):
                self._location = ExistingStream(target, address)
                self._hold(placement)
                return self._submit(placement.grant.grant_id, [])
            case HeldGroup(leader=leader):
                self._location = ExistingStream(leader.target, leader.address)
                for held in placement.members:
                    lost = self._hold(held)
                    if held is not leader:
                        self._lost_parts.append(lost)
                self._stack.push_async_callback(placement.reservation.aclose)
                names = [held.target.endpoint for held in placement.members]
                return self._submit(leader.grant.grant_id, names)

    def _hold(self, held: HeldGrant) -> asyncio.Event:
        """Renew a grant's lease; return the event that is set when it is lost.

        An agent also forgets the grant of a stream that has ended, so a lost grant
        breaks an attempt only for a group's other parts, which send no stream.
        """
        self._stack.push_async_exit(self._release_on_exit(held))
        return self._stack.enter_context(self.context.leases.renewing(held))

    def _release_on_exit(self, held: HeldGrant) -> ExitCallback:
        async def give_back(
            kind: type[BaseException] | None,
            error: BaseException | None,
            traceback: TracebackType | None,
        ) -> bool:
            dropped = kind is not None and issubclass(
                kind, asyncio.CancelledError | GeneratorExit
            )
            if not (dropped and self.survives_caller):
                self.context.caller.cancel(held.address, grant_id=held.grant.grant_id)
            return False

        return give_back

    def _submit(self, grant_id: str, group_endpoints: list[str]) -> ttypes.Submit:
        return ttypes.Submit(
            grant_id=grant_id,
            request_id=self.assembler.request_id,
            prompt=self.prompt,
            output_tokens=self.pending.request.output_tokens,
            delivered=list(self.assembler.tokens),
            group_endpoints=group_endpoints,
            model=self.pending.request.model,
        )

    def _attach(self) -> ttypes.Attach:
        return ttypes.Attach(
            request_id=self.assembler.request_id,
            from_sequence=self.assembler.next_sequence,
            entry_id=self.pending.request.entry_id,
        )

    async def _read(self, opening: object) -> AsyncGenerator[Event, None]:
        """Read events from one connection until the stream ends or has a gap."""
        assert self._location is not None
        async with self.context.pool.open(self._location.address, opening) as receive:
            while True:
                event = self._process_reply(await self._next(receive))
                if isinstance(event, Gap):
                    return
                if event is not None:
                    yield event
                if isinstance(event, Finished | Broken):
                    return

    async def _next(self, receive: Receive) -> object:
        left_s = self.pending.deadline_s - self.context.clock()
        if left_s <= 0:
            raise self._deadline_error()
        try:
            async with asyncio.timeout(min(left_s, SILENCE_TIMEOUT_S)):
                return await receive()
        except TimeoutError as error:
            if self.context.clock() >= self.pending.deadline_s:
                raise self._deadline_error() from error
            raise AgentSilentError("The agent went silent.") from error

    def _deadline_error(self) -> DeadlineExceededError:
        return DeadlineExceededError(
            f"The deadline passed after {self.assembler.next_sequence} tokens."
        )

    def _process_reply(self, reply: object) -> Event | Gap | None:
        if any(lost.is_set() for lost in self._lost_parts):
            return Broken("part_lost", "An agent no longer holds its part of a group.")
        match reply:
            case ttypes.Piece():
                return self._deliver(reply)
            case ttypes.Grant():
                self._hold_attached(reply)
                return None
            case ttypes.StreamEnd():
                return self._finish(reply)
            case ttypes.StreamFailure(request_id=other) if not self._is_own(other):
                return None
            case ttypes.StreamFailure(kind=kind, message=message, load=load):
                self.context.on_load(load)
                return Broken(kind, message, kind in PLANNED_KINDS, reply)
            case ttypes.Denial(kind=kind, message=message):
                return Broken(kind, message, planned=True)
            case _:
                raise PeerError("An agent broke the protocol.")

    def _is_own(self, request_id: str) -> bool:
        return request_id == self.assembler.request_id

    def _hold_attached(self, grant: ttypes.Grant) -> None:
        """Renew the grant of a stream that this entry attached to."""
        assert self._location is not None
        self._hold(HeldGrant(self._location.target, self._location.address, grant))

    def _finish(self, end: ttypes.StreamEnd) -> Finished | Gap:
        self.context.on_load(end.load)
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
