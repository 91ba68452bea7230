"""Ask agents for grants over the peer connections."""

import asyncio

import attrs

from ..exceptions import PeerError
from ..messages.gen import ttypes
from ..node.peers import PeerAddress, PeerPool

# Longest silence of an agent, which reports at least twice in that time.
SILENCE_TIMEOUT_S = 1.5


@attrs.frozen
class AgentCaller:
    """Calls that may wait long at an agent, but never in silence.

    Parameters
    ----------
    pool : PeerPool
    """

    pool: PeerPool

    async def ask(
        self, address: PeerAddress, body: ttypes.GrantRequest, timeout_s: float
    ) -> object:
        """Ask for a grant and wait in the agent's queue.

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
            If the agent can't be reached, goes silent or does not decide.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._decision(address, body)
        except TimeoutError as error:
            raise PeerError(f"{address} did not decide in {timeout_s} s.") from error
        except asyncio.CancelledError:
            self.cancel(address, request_id=body.request_id)
            raise

    async def _decision(
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
        """Give a grant or a waiting request back, without waiting.

        The lease ends it if the message is lost.
        """
        body = ttypes.Cancel(
            grant_id=grant_id, request_id=request_id, reason="not needed"
        )
        task = asyncio.ensure_future(self.pool.call(address, body))
        task.add_done_callback(_drop_outcome)


def _drop_outcome(task: asyncio.Task) -> None:
    if not task.cancelled():
        task.exception()
