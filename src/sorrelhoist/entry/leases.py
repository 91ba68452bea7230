"""Lease renewal for all grants that this entry holds."""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager

from ..exceptions import PeerError
from ..messages.gen import ttypes
from ..node.peers import PeerAddress, PeerPool
from .grants import HeldGrant

logger = logging.getLogger(__name__)

RENEWALS_PER_LEASE = 3


class LeaseRenewer:
    """Renew held grants periodically, with one message per agent.

    Parameters
    ----------
    node_id : str
        Of this entry.
    pool : PeerPool
    lease_s : float
        Shortest lease that agents grant.
    """

    def __init__(self, node_id: str, pool: PeerPool, lease_s: float) -> None:
        self._node_id = node_id
        self._pool = pool
        self._period_s = lease_s / RENEWALS_PER_LEASE
        self._held: dict[PeerAddress, dict[str, asyncio.Event]] = defaultdict(dict)

    @contextmanager
    def renewing(self, held: HeldGrant) -> Iterator[asyncio.Event]:
        """Renew a grant's lease while the context is open.

        Yields
        ------
        asyncio.Event
            Set when the agent no longer knows the grant.
        """
        lost = asyncio.Event()
        grants = self._held[held.address]
        grants[held.grant.grant_id] = lost
        try:
            yield lost
        finally:
            grants.pop(held.grant.grant_id, None)
            if not grants:
                self._held.pop(held.address, None)

    async def run(self) -> None:
        """Renew until cancelled."""
        while True:
            await asyncio.sleep(self._period_s)
            renewals = [
                self._renew(address, list(grant_ids))
                for address, grant_ids in list(self._held.items())
            ]
            await asyncio.gather(*renewals)

    async def _renew(self, address: PeerAddress, grant_ids: list[str]) -> None:
        body = ttypes.Renew(entry_id=self._node_id, grant_ids=grant_ids)
        try:
            reply = await self._pool.call(address, body, self._period_s)
        except PeerError as error:
            logger.info("leases not renewed", extra={"error": error.message})
            return
        if isinstance(reply, ttypes.Renewed):
            self._signal_lost(address, reply.unknown_grant_ids)

    def _signal_lost(self, address: PeerAddress, grant_ids: list[str]) -> None:
        grants = self._held.get(address, {})
        for grant_id in grant_ids:
            if grant_id in grants:
                grants[grant_id].set()

    def dump(self) -> dict:
        """Return the state as plain data."""
        return {str(address): sorted(ids) for address, ids in self._held.items()}
