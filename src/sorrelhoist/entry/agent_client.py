"""Client for grant requests to agents, over the peer connections."""

import asyncio

import attrs

from ..exceptions import PeerError
from ..messages.gen import ttypes
from ..node.peers import PeerAddress, PeerPool

# A waiting agent sends a message at least twice within this time.
SILENCE_TIMEOUT_S = 1.5


@attrs.frozen
class AgentClient:
    """Requests grants from agents.

    A request may wait long in an agent's queue, but it fails when the agent sends
    nothing for `SILENCE_TIMEOUT_S`.

    Parameters
    ----------
    pool : PeerPool
    """

    pool: PeerPool

    async def request_grant(
        self, address: PeerAddress, body: ttypes.GrantRequest, timeout_s: float
    ) -> object:
        """Request a grant and wait in the agent's queue for the decision.

        Parameters
        ----------
        address : PeerAddress
        body : GrantRequest
        timeout_s : float
            Longest wait for the decision.

        Returns
        -------
        Grant or Denial

        Raises
        ------
        PeerError
            If the agent is unreachable, falls silent or does not decide in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._await_decision(address, body)
        except TimeoutError as error:
            raise PeerError(f"{address} did not decide in {timeout_s} s.") from error
        except asyncio.CancelledError:
            self.cancel(address, request_id=body.request_id)
            raise

    async def _await_decision(
        self, address: PeerAddress, body: ttypes.GrantRequest
    ) -> object:
        async with self.pool.open(address, body) as receive:
            while True:
                async with asyncio.timeout(SILENCE_TIMEOUT_S):
                    reply = await receive()
                if not isinstance(reply, ttypes.Queued):
                    return reply

    def cancel(
        self, address: PeerAddress, grant_id: str = "", request_id: str = ""
    ) -> None:
        """Release a grant or cancel a queued request, without waiting for the reply.

        If the message is lost, the grant ends when its lease expires.
        """
        body = ttypes.Cancel(
            grant_id=grant_id, request_id=request_id, reason="not needed"
        )
        task = asyncio.ensure_future(self.pool.call(address, body))
        task.add_done_callback(_ignore_outcome)


def _ignore_outcome(task: asyncio.Task) -> None:
    if not task.cancelled():
        task.exception()
