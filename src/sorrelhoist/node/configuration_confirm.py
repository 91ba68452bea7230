"""Replicate an accepted configuration to peers and collect their confirmations."""

import asyncio
from collections.abc import Sequence
from contextlib import suppress

from ..decisions.configuration_confirmations import Confirmations
from ..decisions.configuration_followers import choose_followers
from ..exceptions import PeerError
from .configuration import ConfigurationReplica
from .configuration_options import PeerMember

MAX_PUSH_TARGETS = 64
MAX_CONCURRENT_CALLS = 32
ROUND_INTERVAL_S = 0.2


class ConfigurationConfirmer:
    """Replicates the configuration of one replica and collects confirmations.

    Parameters
    ----------
    replica : ConfigurationReplica
        Replica of this process.
    timeout_s : float
        Maximum time to wait for other processes.
    """

    def __init__(self, replica: ConfigurationReplica, timeout_s: float) -> None:
        self._replica = replica
        self._timeout_s = timeout_s

    async def confirm(self, offset: int) -> Confirmations:
        """Push the configuration until all live processes have it, or until a timeout.

        Parameters
        ----------
        offset : int
            Offset of the configuration; a higher one confirms it as well.

        Returns
        -------
        Confirmations
            The processes that have it, and those that had not confirmed it before
            the timeout.
        """
        own = self._replica.options
        domains = self._replica.configuration.failure_domains.keys()
        confirmations: Confirmations[PeerMember] = Confirmations(
            offset, own.failure_domain, frozenset(domains)
        )
        with suppress(TimeoutError):
            async with asyncio.timeout(self._timeout_s):
                await self._query_until_confirmed(confirmations)
        return confirmations

    async def _query_until_confirmed(
        self, confirmations: Confirmations[PeerMember]
    ) -> None:
        while True:
            members = list(self._replica.peers.members())
            missing = confirmations.start_round(members)
            await self._query_members(
                missing, confirmations, self._choose_push_targets(members)
            )
            if not confirmations.missing:
                return
            await asyncio.sleep(ROUND_INTERVAL_S)

    def _choose_push_targets(self, members: Sequence[PeerMember]) -> frozenset[str]:
        """Choose the processes to push the complete set to; the others fetch it.

        Above `MAX_PUSH_TARGETS` members, these are the followers of each failure
        domain.
        """
        node_ids = [member.node_id for member in members]
        if len(members) <= MAX_PUSH_TARGETS:
            return frozenset(node_ids)
        by_domain: dict[str, list[str]] = {}
        for member in members:
            by_domain.setdefault(member.failure_domain, []).append(member.node_id)
        chosen = [choose_followers(group) for group in by_domain.values()]
        return frozenset(node_id for group in chosen for node_id in group)

    async def _query_members(
        self,
        members: Sequence[PeerMember],
        confirmations: Confirmations[PeerMember],
        push_targets: frozenset[str],
    ) -> None:
        first = [member for member in members if member.node_id in push_targets]
        others = [member for member in members if member.node_id not in push_targets]
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        exchange = self._replica.exchange

        async def query(member: PeerMember) -> None:
            is_push = member.node_id in push_targets
            async with semaphore:
                try:
                    call = exchange.push if is_push else exchange.probe
                    confirmations.record_confirmation(member, await call(member))
                except PeerError:
                    return

        await asyncio.gather(*map(query, first))
        await asyncio.gather(*map(query, others))
