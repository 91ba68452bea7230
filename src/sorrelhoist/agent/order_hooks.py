"""What the orders to an engine need from the rest of its agent."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs

from ..decisions.configuration_set import Configuration
from ..decisions.membership_records import MemberState
from ..decisions.orders_placement import Desired, desired_for, may_change_model
from ..node.process import NodeProcess
from .engine import EngineGuard

DRAIN_CHECK_INTERVAL_S = 0.1


def loaded_name(model: str, version: str) -> str:
    """Return the form in which members announce what they have loaded.

    Examples
    --------
    >>> loaded_name("clown-large", "3")
    'clown-large@3'
    """
    return f"{model}@{version}"


@attrs.define(eq=False)
class EngineOrderHooks:
    """Answers for `EndpointOrders`.

    Parameters
    ----------
    endpoint : str
    process : NodeProcess
    guard : EngineGuard
    clock : callable
        Monotonic seconds.
    """

    endpoint: str
    process: NodeProcess
    guard: EngineGuard
    clock: Callable[[], float]
    is_changing: bool = False

    def _configuration(self) -> Configuration:
        return self.process.replica.configuration

    def _live(self) -> set[str]:
        """Return the endpoints that models are placed on.

        The dead count until the membership forgets them: a short absence must
        not move models between endpoints.
        """
        return {
            member.endpoint
            for member in self.process.all_members()
            if member.endpoint and member.state is not MemberState.LEFT
        }

    def desired(self) -> Desired | None:
        """Return what the endpoint should be."""
        return desired_for(self._configuration(), self.endpoint, self._live())

    def may_change_model(self) -> bool:
        """Tell whether the endpoint may stop serving for a change."""
        configuration = self._configuration()
        if self.endpoint not in configuration.endpoints:
            return False
        return may_change_model(
            configuration, self.endpoint, self._live(), self._settled()
        )

    def _settled(self) -> set[str]:
        configuration = self._configuration()
        live = self._live()
        settled = set()
        for member in self.process.members():
            wanted = desired_for(configuration, member.endpoint, live)
            if wanted is None:
                continue
            if loaded_name(wanted.model, wanted.version) in member.models:
                settled.add(member.endpoint)
        return settled

    @asynccontextmanager
    async def drained(self) -> AsyncIterator[None]:
        """Take no new work and wait for running work; open again at the end."""
        self.is_changing = True
        self.guard.ledger.set_leaving(True, self.clock())
        try:
            while self.guard.runs.live():
                await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
            yield
        finally:
            self.is_changing = False
            self.guard.ledger.set_leaving(False, self.clock())

    def announce(self, model: str, version: str) -> None:
        """Tell the other members what the engine has loaded."""
        models = (loaded_name(model, version),)
        if self.process.gossip.table.local_member.models != models:
            self.process.gossip.table.update_local_member(models=models)
