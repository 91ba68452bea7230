"""Reserve a group of endpoints for a prompt that is too large for one.

All parts or none. Every entry asks the endpoints of a group in the order of
their names, so that entries that contend wait for each other in one direction
and none holds what another needs while it waits for that one.
"""

from collections.abc import Sequence
from contextlib import AsyncExitStack

import attrs

from ..decisions.groups import plan_groups, share_tokens
from ..decisions.routing import Target
from ..exceptions import InvalidRequestError, OverloadedError, PeerError
from ..messages.gen import ttypes
from .agent_client import AgentClient
from .errors import overload_error_from
from .grants import Ask, GrantSeeker, HeldGrant
from .leases import LeaseKeeper


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


@attrs.define
class GroupReserver:
    """Reserve groups.

    Parameters
    ----------
    seeker : GrantSeeker
    caller : AgentClient
    leases : LeaseKeeper
    """

    seeker: GrantSeeker
    caller: AgentClient
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
        raise refusal or overload_error_from([])

    async def _reserve(self, ask: Ask, plan: list[Target], kv_tokens: int) -> HeldGroup:
        share = share_tokens(kv_tokens, len(plan))
        members: list[HeldGrant] = []
        async with AsyncExitStack() as stack:
            for target in plan:
                held = await self.seeker.seek(self._part(ask, share), [target])
                if not isinstance(held, HeldGrant):
                    raise overload_error_from([])
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
            raise overload_error_from([]) from error
        if not isinstance(reply, ttypes.Piece):
            raise overload_error_from([])


def _copied(request: ttypes.GrantRequest) -> ttypes.GrantRequest:
    """Copy a message, so that parts don't share their budget."""
    return ttypes.GrantRequest(
        **{name: getattr(request, name) for name in request.__slots__}
    )
