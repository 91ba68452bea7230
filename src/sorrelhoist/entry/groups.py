"""Reserve a group of endpoints for a prompt that is too large for one.

A reservation holds all parts or none. Every entry requests the parts of a group in
the order of the endpoints' names. This fixed lock order prevents deadlock between
entries that contend for the same endpoints.
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
from .grants import GrantAcquirer, HeldGrant, PendingRequest
from .leases import LeaseRenewer


@attrs.frozen
class HeldGroup:
    """Grants for all parts of a group.

    Parameters
    ----------
    members : list of HeldGrant
        In the order of their endpoints' names; the first is the leader.
    reservation : AsyncExitStack
        Renews the leases; closing it releases the grants.
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
    """Reserve groups of endpoints.

    Parameters
    ----------
    acquirer : GrantAcquirer
    caller : AgentClient
    leases : LeaseRenewer
    """

    acquirer: GrantAcquirer
    caller: AgentClient
    leases: LeaseRenewer

    async def reserve(
        self, pending: PendingRequest, targets: Sequence[Target]
    ) -> HeldGroup:
        """Reserve a group in one failure domain.

        Parameters
        ----------
        pending : PendingRequest
            The whole request.
        targets : sequence of Target

        Returns
        -------
        HeldGroup
            All parts except the leader's have reserved KV cache on their engines.

        Raises
        ------
        InvalidRequestError
            If no failure domain has enough KV cache capacity.
        OverloadedError
            If no group can be reserved in time.
        """
        kv_tokens = pending.request.prompt_tokens + pending.request.output_tokens
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
                return await self._reserve(pending, plan, kv_tokens)
            except OverloadedError as error:
                refusal = refusal or error
        raise refusal or overload_error_from([])

    async def _reserve(
        self, pending: PendingRequest, plan: list[Target], kv_tokens: int
    ) -> HeldGroup:
        share = share_tokens(kv_tokens, len(plan))
        members: list[HeldGrant] = []
        async with AsyncExitStack() as stack:
            for target in plan:
                held = await self.acquirer.acquire(
                    self._share_request(pending, share), [target]
                )
                if not isinstance(held, HeldGrant):
                    raise overload_error_from([])
                stack.callback(
                    self.caller.cancel, held.address, grant_id=held.grant.grant_id
                )
                stack.enter_context(self.leases.renewing(held))
                members.append(held)
            for held in members[1:]:
                await self._reserve_part(pending, held, members)
            return HeldGroup(members, stack.pop_all())

    def _share_request(self, pending: PendingRequest, share: int) -> PendingRequest:
        request = _copy_request(pending.request)
        request.group_id = pending.request.request_id
        request.kv_share_tokens = share
        return attrs.evolve(pending, request=request)

    async def _reserve_part(
        self, pending: PendingRequest, held: HeldGrant, members: list[HeldGrant]
    ) -> None:
        submit = ttypes.Submit(
            grant_id=held.grant.grant_id,
            request_id=pending.request.request_id,
            prompt="",
            output_tokens=0,
            delivered=[],
            group_endpoints=[member.target.endpoint for member in members],
            model=pending.request.model,
        )
        try:
            reply = await self.caller.pool.call(held.address, submit)
        except PeerError as error:
            raise overload_error_from([]) from error
        if not isinstance(reply, ttypes.Piece):
            raise overload_error_from([])


def _copy_request(request: ttypes.GrantRequest) -> ttypes.GrantRequest:
    """Return a copy of a message, so that each part has its own budget."""
    return ttypes.GrantRequest(
        **{name: getattr(request, name) for name in request.__slots__}
    )
