"""Reserve a group of endpoints for a prompt that is too large for one.

All parts or none. Every entry asks the endpoints of a group in the order of
their names, so that entries that contend wait for each other in one direction
and none holds what another needs while it waits for that one.
"""

import math
from collections import defaultdict
from collections.abc import Sequence
from contextlib import AsyncExitStack

import attrs

from ..decisions.endpoint_limits import DEFAULT_SHORT_FLOOR
from ..decisions.routing import Target
from ..exceptions import InvalidRequestError, OverloadedError, PeerError
from ..messages.gen import ttypes
from .calls import AgentCaller
from .errors import refusal_of
from .grants import Ask, GrantSeeker, HeldGrant
from .leases import LeaseKeeper

MAX_GROUP_SIZE = 8


@attrs.frozen
class HeldGroup:
    """Grants for all parts of a group.

    Parameters
    ----------
    members : list of HeldGrant
        In the order of their endpoints' names; the first leads.
    reservation : AsyncExitStack
        Renews the leases and gives the grants back when it is closed.
    """

    members: list[HeldGrant]
    reservation: AsyncExitStack

    @property
    def leader(self) -> HeldGrant:
        """The member whose endpoint runs the stream."""
        return self.members[0]

    @property
    def node_id(self) -> str:
        """The agent that runs the stream."""
        return self.leader.node_id


def long_capacity_tokens(target: Target) -> int:
    """Return the memory that one long prompt may take on an endpoint."""
    return int(target.kv_capacity_tokens * (1 - DEFAULT_SHORT_FLOOR))


def needs_group(kv_tokens: int, targets: Sequence[Target]) -> bool:
    """Tell whether no single endpoint has the memory."""
    largest = max((long_capacity_tokens(target) for target in targets), default=0)
    return kv_tokens > largest > 0


def plan_groups(kv_tokens: int, targets: Sequence[Target]) -> list[list[Target]]:
    """Plan one group for each failure domain that is large enough.

    Parameters
    ----------
    kv_tokens : int
        Memory for the whole answer.
    targets : sequence of Target

    Returns
    -------
    list of list of Target
        Each in the order of names; smallest groups first.
    """
    domains: dict[str, list[Target]] = defaultdict(list)
    for target in targets:
        domains[target.failure_domain].append(target)
    plans = [_plan_group(kv_tokens, members) for members in domains.values()]
    return sorted((plan for plan in plans if plan), key=len)


def _plan_group(kv_tokens: int, targets: list[Target]) -> list[Target]:
    largest_first = sorted(targets, key=lambda t: (-t.kv_capacity_tokens, t.endpoint))
    for size in range(2, min(len(targets), MAX_GROUP_SIZE) + 1):
        chosen = largest_first[:size]
        if share_tokens(kv_tokens, size) <= long_capacity_tokens(chosen[-1]):
            return sorted(chosen, key=lambda target: target.endpoint)
    return []


def share_tokens(kv_tokens: int, size: int) -> int:
    """Return the memory that each part of a group holds.

    Examples
    --------
    >>> share_tokens(1_000_001, 2)
    500001
    """
    return math.ceil(kv_tokens / size)


@attrs.define
class GroupReserver:
    """Reserve groups.

    Parameters
    ----------
    seeker : GrantSeeker
    caller : AgentCaller
    leases : LeaseKeeper
    """

    seeker: GrantSeeker
    caller: AgentCaller
    leases: LeaseKeeper

    async def reserve(self, ask: Ask, targets: Sequence[Target]) -> HeldGroup:
        """Reserve a group in one failure domain.

        Parameters
        ----------
        ask : Ask
            For the whole request.
        targets : sequence of Target

        Returns
        -------
        HeldGroup
            All parts hold memory on their engines, but for the leader's.

        Raises
        ------
        InvalidRequestError
            If no failure domain is large enough.
        OverloadedError
            If no group can be had in time.
        """
        kv_tokens = ask.request.prompt_tokens + ask.request.output_tokens
        plans = plan_groups(kv_tokens, targets)
        if not plans:
            raise InvalidRequestError(
                "The prompt is larger than any failure domain's endpoints.",
                "Send a shorter prompt.",
                not_run=True,
            )
        refusal: OverloadedError | None = None
        for plan in plans:
            try:
                return await self._reserve(ask, plan, kv_tokens)
            except OverloadedError as error:
                refusal = refusal or error
        raise refusal or refusal_of([])

    async def _reserve(self, ask: Ask, plan: list[Target], kv_tokens: int) -> HeldGroup:
        share = share_tokens(kv_tokens, len(plan))
        members: list[HeldGrant] = []
        async with AsyncExitStack() as stack:
            for target in plan:
                held = await self.seeker.seek(self._part(ask, share), [target])
                if not isinstance(held, HeldGrant):
                    raise refusal_of([])
                stack.callback(
                    self.caller.cancel, held.address, grant_id=held.grant.grant_id
                )
                stack.enter_context(self.leases.holding(held))
                members.append(held)
            for held in members[1:]:
                await self._hold_part(ask, held, members)
            return HeldGroup(members, stack.pop_all())

    def _part(self, ask: Ask, share: int) -> Ask:
        request = _copied(ask.request)
        request.group_id = ask.request.request_id
        request.kv_share_tokens = share
        return attrs.evolve(ask, request=request)

    async def _hold_part(
        self, ask: Ask, held: HeldGrant, members: list[HeldGrant]
    ) -> None:
        submit = ttypes.Submit(
            grant_id=held.grant.grant_id,
            request_id=ask.request.request_id,
            prompt="",
            output_tokens=0,
            delivered=[],
            group_endpoints=[member.target.endpoint for member in members],
            model=ask.request.model,
        )
        try:
            reply = await self.caller.pool.call(held.address, submit)
        except PeerError as error:
            raise refusal_of([]) from error
        if not isinstance(reply, ttypes.Piece):
            raise refusal_of([])


def _copied(request: ttypes.GrantRequest) -> ttypes.GrantRequest:
    """Copy a message, so that parts don't share their budget."""
    return ttypes.GrantRequest(
        **{name: getattr(request, name) for name in request.__slots__}
    )
