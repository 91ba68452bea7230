"""Connects the reconciliation of an engine with the rest of its agent."""

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
    """Return the name under which members announce a loaded model version.

    Examples
    --------
    >>> loaded_name("clown-large", "3")
    'clown-large@3'
    """
    return f"{model}@{version}"


@attrs.define(eq=False)
class EngineOrderHooks:
    """Implementations of the hooks of `EndpointOrders`.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    process : NodeProcess
        Source of the configuration and the membership.
    guard : EngineGuard
        Admission and running requests of the engine.
    clock : callable
        Returns monotonic seconds.
    is_changing : bool
        Whether the endpoint is drained for an order.
    """

    endpoint: str
    process: NodeProcess
    guard: EngineGuard
    clock: Callable[[], float]
    is_changing: bool = False

    def _configuration(self) -> Configuration:
        return self.process.replica.configuration

    def _placement_endpoints(self) -> set[str]:
        """Return the endpoints that models are placed on.

        Endpoints of dead members are included until the membership removes them, so
        that a short absence does not move models between endpoints.
        """
        return {
            member.endpoint
            for member in self.process.all_members()
            if member.endpoint and member.state is not MemberState.LEFT
        }

    def desired(self) -> Desired | None:
        """Return the desired state of the endpoint."""
        return desired_for(
            self._configuration(), self.endpoint, self._placement_endpoints()
        )

    def may_change_model(self) -> bool:
        """Return whether the endpoint may stop serving to change its model."""
        configuration = self._configuration()
        if self.endpoint not in configuration.endpoints:
            return False
        return may_change_model(
            configuration, self.endpoint, self._placement_endpoints(), self._converged()
        )

    def _converged(self) -> set[str]:
        configuration = self._configuration()
        endpoints = self._placement_endpoints()
        converged = set()
        for member in self.process.members():
            desired = desired_for(configuration, member.endpoint, endpoints)
            if desired is None:
                continue
            if loaded_name(desired.model, desired.version) in member.models:
                converged.add(member.endpoint)
        return converged

    @asynccontextmanager
    async def drained(self) -> AsyncIterator[None]:
        """Drain the endpoint on entry; admit requests again on exit."""
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
        """Announce the loaded model version to the other members."""
        models = (loaded_name(model, version),)
        if self.process.gossip.table.local_member.models != models:
            self.process.gossip.table.update_local_member(models=models)
