"""Get a grant for a request: ask agents in order until one agrees."""

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

MAX_ASKED_ENDPOINTS = 8
GRANT_REPLY_MARGIN_S = 1.0
QUEUE_PATIENCE_S = 2.0
"""How long a request waits in one agent's queue while another endpoint looks free:
several times the age of what an entry knows of loads."""
# Denials that no other endpoint would answer differently.
FINAL_KINDS = frozenset(
    {"idempotency_key_reused", "invalid_request", "request_kills_endpoints"}
)

AskAgent = Callable[[PeerAddress, object, float], Awaitable[object]]


@attrs.frozen
class HeldGrant:
    """A grant and where it holds.

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
class RunningElsewhere:
    """The same request runs on this endpoint already: attach to it."""

    target: Target
    address: PeerAddress

    @property
    def node_id(self) -> str:
        """The agent that runs the stream."""
        return self.target.node_id


@attrs.frozen
class Ask:
    """What the request asks for.

    Parameters
    ----------
    route : RouteRequest
    request : GrantRequest
        Its budget is set at each attempt.
    deadline_s : float
    failed_endpoints : set of str
        Those that failed the request before; filled in as it runs.
    """

    route: RouteRequest
    request: ttypes.GrantRequest
    deadline_s: float
    failed_endpoints: set[str] = attrs.field(factory=set)


@attrs.define
class GrantSeeker:
    """Ask agents for grants.

    Parameters
    ----------
    router : Router
    ask_agent : callable
        ``await ask_agent(address, body, timeout_s)``.
    address_of : callable
        Address of a node id, or None.
    clock : callable
        Monotonic seconds.
    queue_patience_s : float
        Wait in one queue before another endpoint is asked.
    """

    router: Router
    ask_agent: AskAgent
    address_of: Callable[[str], PeerAddress | None]
    clock: Callable[[], float]
    queue_patience_s: float = QUEUE_PATIENCE_S

    async def seek(
        self, ask: Ask, targets: Sequence[Target]
    ) -> HeldGrant | RunningElsewhere:
        """Ask endpoints, best first, until one agrees.

        Parameters
        ----------
        ask : Ask
        targets : sequence of Target
            All endpoints that may serve the request.

        Returns
        -------
        HeldGrant or RunningElsewhere

        Raises
        ------
        OverloadedError
            When no endpoint agrees; nothing was submitted.
        """
        left = list(targets)
        left_queues: list[Target] = []
        denials: list[ttypes.Denial] = []
        for _ in range(MAX_ASKED_ENDPOINTS):
            chosen = self.router.choose(ask.route, left or left_queues, self.clock())
            if not chosen or self.clock() >= ask.deadline_s:
                break
            target = chosen[0]
            (left if left else left_queues).remove(target)
            try:
                async with asyncio.timeout(self._patience_s(ask, left)):
                    answer = await self._ask(ask, target)
            except TimeoutError:
                logger.info(
                    "queue left",
                    extra={
                        "request_id": ask.request.request_id,
                        "endpoint": target.endpoint,
                        "waited_s": self.queue_patience_s,
                        "others": len(left),
                    },
                )
                left_queues.append(target)
                continue
            match answer:
                case HeldGrant() | RunningElsewhere():
                    return answer
                case ttypes.Denial(kind=kind):
                    if kind in FINAL_KINDS:
                        raise error_from_denial(answer)
                    denials.append(answer)
        raise overload_error_from(denials)

    def _patience_s(self, ask: Ask, others: Sequence[Target]) -> float | None:
        """Wait without bound unless another endpoint looks free."""
        now_s = self.clock()
        for target in others:
            expected_s = self.router.expected_first_token_s(
                ask.route, target, False, now_s
            )
            if expected_s < self.queue_patience_s:
                return self.queue_patience_s
        return None

    async def _ask(
        self, ask: Ask, target: Target
    ) -> HeldGrant | RunningElsewhere | ttypes.Denial:
        address = self.address_of(target.node_id)
        if address is None:
            return ttypes.Denial(kind="peer_unreachable", not_run=True)
        budget_s = max(0.0, ask.deadline_s - self.clock())
        ask.request.budget_ms = int(budget_s * MS_PER_S)
        self.router.sent(target.endpoint, ask.route.prompt_tokens)
        try:
            reply = await self.ask_agent(
                address, ask.request, budget_s + GRANT_REPLY_MARGIN_S
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
    ) -> HeldGrant | RunningElsewhere | ttypes.Denial:
        match reply:
            case ttypes.Grant(load=load):
                self._observe(load)
                return HeldGrant(target, address, reply)
            case ttypes.Denial(kind="exists", load=load):
                self._observe(load)
                return RunningElsewhere(target, address)
            case ttypes.Denial(load=load):
                self._observe(load)
                return reply
            case _:
                raise OverloadedError("An agent broke the protocol.", not_run=True)

    def _observe(self, load: ttypes.Load | None) -> None:
        if load is not None:
            self.router.observe(load, self.clock())
