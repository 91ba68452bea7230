"""Hand an accepted configuration to other processes, and hear who has it."""

import asyncio
from collections.abc import Sequence
from contextlib import suppress

from ..decisions.configuration_confirmations import Confirmations
from ..decisions.configuration_followers import choose_followers
from ..exceptions import PeerError
from .configuration import ConfigurationReplica
from .configuration_options import PeerMember

MAX_PUSHES = 64
CONCURRENT_CALLS = 32
ROUND_INTERVAL_S = 0.2


class ConfigurationConfirmer:
    """Confirms what one replica has in force.

    Parameters
    ----------
    replica : ConfigurationReplica
        Of this process.
    timeout_s : float
        How long to wait for other processes.
    """

    def __init__(self, replica: ConfigurationReplica, timeout_s: float) -> None:
        self._replica = replica
        self._timeout_s = timeout_s

    async def confirm(self, offset: int) -> Confirmations:
        """Hand the configuration over until all live processes have it.

        Parameters
        ----------
        offset : int
            The version that they must have, or a higher one.

        Returns
        -------
        Confirmations
            Who has it, and who had not said so when the time was over.
        """
        own = self._replica.options
        domains = self._replica.configuration.failure_domains.keys()
        confirmations: Confirmations[PeerMember] = Confirmations(
            offset, own.failure_domain, frozenset(domains)
        )
        with suppress(TimeoutError):
            async with asyncio.timeout(self._timeout_s):
                await self._ask_all(confirmations)
        return confirmations

    async def _ask_all(self, confirmations: Confirmations[PeerMember]) -> None:
        while True:
            members = list(self._replica.peers.members())
            missing = confirmations.start_round(members)
            await self._ask(missing, confirmations, self._choose_pushes(members))
            if not confirmations.missing:
                return
            await asyncio.sleep(ROUND_INTERVAL_S)

    def _choose_pushes(self, members: Sequence[PeerMember]) -> frozenset[str]:
        """Choose who gets the whole set; the others take it from these."""
        node_ids = [member.node_id for member in members]
        if len(members) <= MAX_PUSHES:
            return frozenset(node_ids)
        by_domain: dict[str, list[str]] = {}
        for member in members:
            by_domain.setdefault(member.failure_domain, []).append(member.node_id)
        chosen = [choose_followers(group) for group in by_domain.values()]
        return frozenset(node_id for group in chosen for node_id in group)

    async def _ask(
        self,
        members: Sequence[PeerMember],
        confirmations: Confirmations[PeerMember],
        pushes: frozenset[str],
    ) -> None:
        first = [member for member in members if member.node_id in pushes]
        others = [member for member in members if member.node_id not in pushes]
        gate = asyncio.Semaphore(CONCURRENT_CALLS)
        exchange = self._replica.exchange

        async def ask(member: PeerMember) -> None:
            is_push = member.node_id in pushes
            async with gate:
                try:
                    call = exchange.push if is_push else exchange.probe
                    confirmations.record_confirmation(member, await call(member))
                except PeerError:
                    return

        await asyncio.gather(*map(ask, first))
        await asyncio.gather(*map(ask, others))
