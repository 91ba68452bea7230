"""Acquire a grant for a request from the first agent that admits it."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence

import attrs

from ..decisions.routing import Router, RouteRequest, Target
from ..exceptions import OverloadedError, PeerError
from ..messages.gen import ttypes
from ..node.peers import PeerAddress
from .errors import MS_PER_S, error_from_denial, overload_error_from

logger = logging.getLogger(__name__)

MAX_ENDPOINTS_TRIED = 8
GRANT_REPLY_MARGIN_S = 1.0
QUEUE_TIMEOUT_S = 2.0
"""Queueing time at one agent after which another endpoint is tried, if one looks free.
Several times the age of an entry's load information."""
# Denials that would be the same at every endpoint.
NON_RETRYABLE_KINDS = frozenset(
    {"idempotency_key_reused", "invalid_request", "request_kills_endpoints"}
)

CallAgent = Callable[[PeerAddress, object, float], Awaitable[object]]


@attrs.frozen
class HeldGrant:
    """A grant and the endpoint that it is valid for.

    Parameters
    ----------
    target : Target
    address : PeerAddress
        Of the agent.
    grant : Grant
    """

    target: Target
    address: PeerAddress
    grant: ttypes.Grant

    @property
    def node_id(self) -> str:
        """The agent that runs the stream."""
        return self.target.node_id


@attrs.frozen
class ExistingStream:
    """An endpoint that already runs the same request, to be attached to."""

    target: Target
    address: PeerAddress

    @property
    def node_id(self) -> str:
        """The agent that runs the stream."""
        return self.target.node_id


@attrs.frozen
class PendingRequest:
    """A request to be placed, with its deadline and the endpoints that failed it.

    Parameters
    ----------
    route : RouteRequest
    request : GrantRequest
        Its ``budget_ms`` is set anew for each endpoint tried.
    deadline_s : float
    failed_endpoints : set of str
        Endpoints that already failed the request; updated after each attempt.
    """

    route: RouteRequest
    request: ttypes.GrantRequest
    deadline_s: float
    failed_endpoints: set[str] = attrs.field(factory=set)


@attrs.define
class GrantAcquirer:
    """Request grants from agents, best endpoint first.

    Parameters
    ----------
    router : Router
    call_agent : callable
        ``await call_agent(address, body, timeout_s)``.
    address_of : callable
        Address of a node id, or None.
    clock : callable
        Monotonic seconds.
    queue_timeout_s : float
        Queueing time at one endpoint before another one is tried.
    """

    router: Router
    call_agent: CallAgent
    address_of: Callable[[str], PeerAddress | None]
    clock: Callable[[], float]
    queue_timeout_s: float = QUEUE_TIMEOUT_S

    async def acquire(
        self, pending: PendingRequest, targets: Sequence[Target]
    ) -> HeldGrant | ExistingStream:
        """Request a grant from each endpoint, best first, until one admits the request.

        Parameters
        ----------
        pending : PendingRequest
        targets : sequence of Target
            All endpoints that may serve the request.

        Returns
        -------
        HeldGrant or ExistingStream

        Raises
        ------
        OverloadedError
            If no endpoint admits the request; nothing was submitted.
        """
        left = list(targets)
        left_queues: list[Target] = []
        denials: list[ttypes.Denial] = []
        for _ in range(MAX_ENDPOINTS_TRIED):
            chosen = self.router.choose(
                pending.route, left or left_queues, self.clock()
            )
            if not chosen or self.clock() >= pending.deadline_s:
                break
            target = chosen[0]
            (left if left else left_queues).remove(target)
            try:
                async with asyncio.timeout(self._queue_timeout_s(pending, left)):
                    answer = await self._request_grant(pending, target)
            except TimeoutError:
                logger.info(
                    "no grant within the queue timeout; trying another endpoint",
                    extra={
                        "request_id": pending.request.request_id,
                        "endpoint": target.endpoint,
                        "waited_s": self.queue_timeout_s,
                        "others": len(left),
                    },
                )
                left_queues.append(target)
                continue
            match answer:
                case HeldGrant() | ExistingStream():
                    return answer
                case ttypes.Denial(kind=kind):
                    if kind in NON_RETRYABLE_KINDS:
                        raise error_from_denial(answer)
                    denials.append(answer)
        raise overload_error_from(denials)

    def _queue_timeout_s(
        self, pending: PendingRequest, others: Sequence[Target]
    ) -> float | None:
        """Return the queueing limit, or None if no other endpoint looks free."""
        now_s = self.clock()
        for target in others:
            expected_s = self.router.expected_first_token_s(
                pending.route, target, False, now_s
            )
            if expected_s < self.queue_timeout_s:
                return self.queue_timeout_s
        return None

    async def _request_grant(
        self, pending: PendingRequest, target: Target
    ) -> HeldGrant | ExistingStream | ttypes.Denial:
        address = self.address_of(target.node_id)
        if address is None:
            return ttypes.Denial(kind="peer_unreachable", not_run=True)
        budget_s = max(0.0, pending.deadline_s - self.clock())
        pending.request.budget_ms = int(budget_s * MS_PER_S)
        self.router.sent(target.endpoint, pending.route.prompt_tokens)
        try:
            reply = await self.call_agent(
                address, pending.request, budget_s + GRANT_REPLY_MARGIN_S
            )
        except PeerError as error:
            logger.info(
                "agent did not answer",
                extra={"endpoint": target.endpoint, "error": error.message},
            )
            return ttypes.Denial(kind="peer_unreachable", not_run=True)
        return self._read_reply(reply, target, address)

    def _read_reply(
        self, reply: object, target: Target, address: PeerAddress
    ) -> HeldGrant | ExistingStream | ttypes.Denial:
        match reply:
            case ttypes.Grant(load=load):
                self._observe(load)
                return HeldGrant(target, address, reply)
            case ttypes.Denial(kind="exists", load=load):
                self._observe(load)
                return ExistingStream(target, address)
            case ttypes.Denial(load=load):
                self._observe(load)
                return reply
            case _:
                raise OverloadedError("An agent broke the protocol.", not_run=True)

    def _observe(self, load: ttypes.Load | None) -> None:
        if load is not None:
            self.router.observe(load, self.clock())
