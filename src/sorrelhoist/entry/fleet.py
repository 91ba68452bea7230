"""Endpoints that may take new work: the configuration joined with the membership."""

from collections.abc import Callable, Collection, Sequence

import attrs

from ..decisions.configuration_set import Configuration
from ..decisions.membership_records import Member
from ..decisions.routing import Target
from ..node.peers import PeerAddress


@attrs.define
class Fleet:
    """View of configuration and membership; it caches nothing, so it is never stale.

    Parameters
    ----------
    configuration : callable
        Returns the `Configuration` in force, or None.
    members : callable
        Returns the members known to be in the cluster.
    all_members : callable
        Returns all members, including those that left or died.
    leaving_hosts : callable
        Returns the names of the hosts that the platform lists as leaving.
    """

    configuration: Callable[[], Configuration | None]
    members: Callable[[], Sequence[Member]]
    all_members: Callable[[], Sequence[Member]]
    leaving_hosts: Callable[[], Collection[str]]

    def _agents(self) -> dict[str, Member]:
        leaving = self.leaving_hosts()
        return {
            member.endpoint: member
            for member in self.members()
            if member.endpoint and member.is_up and member.host not in leaving
        }

    def targets(self, model: str) -> list[Target]:
        """Return the endpoints of a model that may take new work.

        Parameters
        ----------
        model : str

        Returns
        -------
        list of Target
            In no particular order.
        """
        configuration = self.configuration()
        if configuration is None:
            return []
        agents = self._agents()
        return [
            Target(
                endpoint=endpoint.name,
                node_id=agents[endpoint.name].node_id,
                failure_domain=endpoint.failure_domain,
                kv_capacity_tokens=endpoint.kv_capacity_tokens,
            )
            for endpoint in configuration.endpoints_for_model(model)
            if endpoint.name in agents
            and configuration.is_domain_in(endpoint.failure_domain)
        ]

    def service_agents(self, service: str) -> list[Member]:
        """Return the agents of a plain service that may take new calls."""
        configuration = self.configuration()
        if configuration is None:
            return []
        agents = self._agents()
        return [
            agents[endpoint.name]
            for endpoint in configuration.endpoints_for_service(service)
            if endpoint.name in agents
            and configuration.is_domain_in(endpoint.failure_domain)
        ]

    def address_of(self, node_id: str) -> PeerAddress | None:
        """Return the peer address of a member in any state, or None if unknown."""
        for member in self.all_members():
            if member.node_id == node_id:
                return PeerAddress(member.address, member.peer_port)
        return None
