"""Routes calls of plain services to the agents of their endpoints."""

import asyncio
import logging
import uuid
from collections.abc import Awaitable, Callable

import attrs

from ..decisions.membership_records import Member
from ..decisions.rendezvous import ranked
from ..exceptions import (
    DeadlineExceededError,
    InvalidRequestError,
    OutcomeUnknownError,
    OverloadedError,
    PeerError,
)
from ..messages.gen import ttypes
from ..node.peers import PeerAddress, PeerPool
from .agent_client import SILENCE_TIMEOUT_S
from .errors import MS_PER_S, error_from_denial, overload_error_from
from .fleet import Fleet

logger = logging.getLogger(__name__)

REPLY_MARGIN_S = 1.0


@attrs.define
class ServiceRouter:
    """Sends each call to one agent of the service.

    Agents are tried in rendezvous order of the idempotency key. If several agents
    receive the same call, the claims in the log decide which of them runs it.

    Parameters
    ----------
    fleet : Fleet
    pool : PeerPool
    clock : callable
        Returns monotonic seconds.
    """

    fleet: Fleet
    pool: PeerPool
    clock: Callable[[], float]

    async def call(
        self, call: ttypes.ServiceCall, repeatable: bool, deadline_s: float
    ) -> ttypes.ServiceReply:
        """Send a call and return the reply.

        Parameters
        ----------
        call : ServiceCall
            Its time budget is set here, and an idempotency key if it is repeatable
            and has none.
        repeatable : bool
            Whether the service may run the call more than once.
        deadline_s : float
            Monotonic time.

        Returns
        -------
        ServiceReply

        Raises
        ------
        OutcomeUnknownError
            If the connection broke or timed out after sending: the call may have run
            and must not be repeated under a new key. A repeatable call is sent to a
            second agent first.
        SorrelhoistError
            If the call was refused; with ``not_run`` where that is known.
        """
        if repeatable and not call.idempotency_key:
            call.idempotency_key = uuid.uuid4().hex
        if not call.idempotency_key:
            raise InvalidRequestError(
                "The call has no Idempotency-Key header.",
                "Send a UUIDv7 as Idempotency-Key; use it again when you repeat.",
                not_run=True,
            )
        denials: list[ttypes.Denial] = []
        lost: OutcomeUnknownError | None = None
        for member in self._ranked_agents(call):
            if lost is not None and self.clock() >= deadline_s:
                break
            try:
                reply = await self._call_agent(member, call, deadline_s)
            except OutcomeUnknownError as error:
                if not repeatable or lost is not None:
                    raise
                lost = error  # a second agent may run it
                continue
            match reply:
                case ttypes.ServiceReply():
                    return reply
                case ttypes.Denial(not_run=True, kind="not_ready"):
                    denials.append(reply)
                case ttypes.Denial():
                    raise error_from_denial(reply)
        raise lost or overload_error_from(denials)

    def _ranked_agents(self, call: ttypes.ServiceCall) -> list[Member]:
        agents = {a.node_id: a for a in self.fleet.service_agents(call.service_name)}
        if not agents:
            raise OverloadedError(
                f"No endpoint of the service '{call.service_name}' is reachable.",
                not_run=True,
                retry_after_s=1.0,
            )
        return [agents[name] for name in ranked(call.idempotency_key, list(agents))]

    async def _call_agent(
        self, member: Member, call: ttypes.ServiceCall, deadline_s: float
    ) -> object:
        left_s = deadline_s - self.clock()
        if left_s <= 0:
            raise DeadlineExceededError("The deadline passed.", not_run=True)
        call.budget_ms = int(left_s * MS_PER_S)
        address = PeerAddress(member.address, member.peer_port)
        try:
            connection = await self.pool.connection(address)
        except PeerError as error:
            # Nothing was sent, so another agent may be tried.
            logger.info(
                "agent unreachable; call not sent", extra={"error": error.message}
            )
            return ttypes.Denial(kind="not_ready", not_run=True, retry_after_ms=1000)
        try:
            async with asyncio.timeout(left_s + REPLY_MARGIN_S):
                async with connection.open(call) as receive:
                    return await self._await_reply(receive)
        except (PeerError, TimeoutError) as error:
            raise self._outcome_unknown() from error

    async def _await_reply(self, receive: Callable[[], Awaitable]) -> object:
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                reply = await receive()
            if not isinstance(reply, ttypes.Queued):
                return reply

    def _outcome_unknown(self) -> OutcomeUnknownError:
        return OutcomeUnknownError(
            "The agent was lost while the call was with it: it may have run.",
            "Send it again with the same Idempotency-Key to learn the outcome.",
            retry_after_s=1.0,
        )
