"""I/O of at-most-once calls: carries out the actions of the claim state machine."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs

from ..clients.exceptions import ServiceNotReachedError
from ..clients.plain_service import PlainReply
from ..decisions.claims import ClaimStateMachine
from ..decisions.claims_records import ClaimRecord, encode_record
from ..decisions.claims_steps import (
    Action,
    AnswerError,
    AnswerReply,
    AppendClaim,
    AppendOutcome,
    AppendVoid,
    Begin,
    CallService,
    CallUnknown,
    Event,
    LookedUp,
    LookUp,
    NotReached,
    OutcomeRead,
    Progress,
    ReadOutcome,
    ReadThrough,
    Served,
)
from ..exceptions import SorrelhoistError
from ..messages.gen import ttypes
from .claims_appender import GroupAppender
from .claims_follower import ClaimFollower
from .claims_pending import PendingRecords

READ_RETRY_S = 0.2


class PlainService(Protocol):
    """The client of the plain service beside this agent."""

    async def call(
        self,
        method: str,
        path: str,
        key: str,
        workspace: str,
        body: bytes,
        content_type: str,
        timeout_s: float,
    ) -> PlainReply:
        """Send one call without retries."""
        ...

    async def lookup(self, key: str) -> PlainReply | None:
        """Return the recorded answer for a key, or None."""
        ...


@attrs.define
class ClaimCounters:
    """Event counts since the process started."""

    claims: int = 0
    voids: int = 0
    service_calls: int = 0
    outcomes: int = 0
    replays: int = 0
    joined: int = 0
    unknown: int = 0
    not_run: int = 0


async def send(
    service: PlainService, call: ttypes.ServiceCall, key: str, timeout_s: float
) -> PlainReply:
    """Send a call to the service without retries."""
    return await service.call(
        call.method,
        call.path,
        key,
        call.workspace,
        call.body or b"",
        call.content_type or "",
        timeout_s,
    )


@attrs.define
class ClaimRunner:
    """Runs the claim state machine of each call.

    Parameters
    ----------
    service : PlainService
        Client of the service beside this agent.
    appender : GroupAppender
        Appender of the claims topic.
    follower : ClaimFollower
        Follower of the claims topic.
    pending : PendingRecords
        Appends the records that remain after a call has been answered.
    counters : ClaimCounters
        Updated by this class.
    clock : callable
        Returns monotonic seconds.
    """

    service: PlainService
    appender: GroupAppender
    follower: ClaimFollower
    pending: PendingRecords
    counters: ClaimCounters
    clock: Callable[[], float]

    async def run(
        self, machine: ClaimStateMachine, call: ttypes.ServiceCall, key: str
    ) -> AnswerReply:
        """Run a state machine until it produces an answer.

        Parameters
        ----------
        machine : ClaimStateMachine
            State machine of the call, not started yet.
        call : ServiceCall
            Call to send to the service.
        key : str
            Idempotency key of the call in canonical form.

        Returns
        -------
        AnswerReply

        Raises
        ------
        SorrelhoistError
            The error with which the state machine ends.
        """
        event: Event = Begin()
        while True:
            action = machine.advance(event, self.follower.fold, self.clock())
            match action:
                case AnswerReply(pending=pending):
                    self._append_later(pending)
                    return action
                case AnswerError(error, pending):
                    self._append_later(pending)
                    raise error
            # There must be no await between the decision to call and the call: the
            # decision is only valid at the time it was made.
            event = await self._perform(action, machine, call, key)

    async def _perform(
        self,
        action: Action,
        machine: ClaimStateMachine,
        call: ttypes.ServiceCall,
        key: str,
    ) -> Event:
        match action:
            case AppendClaim(claim):
                self.counters.claims += 1
                return await self._append(claim, machine.call.give_up_s)
            case AppendVoid(void):
                self.counters.voids += 1
                return await self._append(void, machine.call.deadline_s)
            case AppendOutcome(outcome):
                self.counters.outcomes += 1
                return await self._append(outcome, machine.call.deadline_s)
            case ReadThrough(offset, until_s):
                await self.follower.wait_until_folded(offset, until_s)
                return Progress()
            case CallService(timeout_s):
                return await self._call_service(call, key, timeout_s)
            case LookUp(timeout_s):
                return await self._look_up(key, timeout_s)
            case ReadOutcome(offset):
                return await self._read_outcome(offset, machine.call.deadline_s)
        raise AssertionError(action)

    async def _append(self, record: ClaimRecord, until_s: float) -> Event:
        return await self.appender.append(encode_record(record), until_s - self.clock())

    async def _call_service(
        self, call: ttypes.ServiceCall, key: str, timeout_s: float
    ) -> Event:
        self.counters.service_calls += 1
        try:
            async with asyncio.timeout(timeout_s):
                reply = await send(self.service, call, key, timeout_s)
        except ServiceNotReachedError as error:
            return NotReached(error.message)
        except Exception as error:
            return CallUnknown(str(error))
        return Served(reply.status, reply.content_type, reply.body)

    async def _look_up(self, key: str, timeout_s: float) -> Event:
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.service.lookup(key)
        except (SorrelhoistError, TimeoutError, OSError):
            return LookedUp(None)
        if reply is None:
            return LookedUp(None)
        return LookedUp(Served(reply.status, reply.content_type, reply.body))

    async def _read_outcome(self, offset: int, until_s: float) -> Event:
        while (left_s := until_s - self.clock()) > 0:
            try:
                async with asyncio.timeout(left_s):
                    return OutcomeRead(await self.follower.read_outcome(offset))
            except (SorrelhoistError, TimeoutError):
                await asyncio.sleep(min(READ_RETRY_S, left_s))
        return OutcomeRead(None)

    def _append_later(self, record: ClaimRecord | None) -> None:
        if record is not None:
            self.pending.add(encode_record(record))
