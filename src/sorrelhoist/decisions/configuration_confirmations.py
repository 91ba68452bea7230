"""Confirmations by processes that a configuration is in force, and their quorum."""

from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import attrs


class ClusterMember(Protocol):
    """What confirmations need to know of a process."""

    @property
    def node_id(self) -> str:
        """Identity of the process."""

    @property
    def failure_domain(self) -> str:
        """Failure domain in which it runs."""


M = TypeVar("M", bound=ClusterMember)


@attrs.define
class Confirmations(Generic[M]):
    """Processes that have confirmed a configuration, and those that have not.

    Parameters
    ----------
    offset : int
        Offset of the configuration; a higher one confirms it as well.
    failure_domain : str
        Failure domain of this process, which has the configuration.
    failure_domains : frozenset of str
        Failure domains in the configuration.
    """

    offset: int
    failure_domain: str
    failure_domains: frozenset[str]
    confirmed: dict[str, str] = attrs.field(factory=dict)
    missing: dict[str, M] = attrs.field(factory=dict)

    def start_round(self, members: Iterable[M]) -> list[M]:
        """Update `missing` to the live members without a confirmation; return them."""
        self.missing = {
            member.node_id: member
            for member in members
            if member.node_id not in self.confirmed
        }
        return list(self.missing.values())

    def record_confirmation(self, member: M, effective_offset: int) -> None:
        """Record which offset a process has in force."""
        if effective_offset < self.offset:
            return
        self.confirmed[member.node_id] = member.failure_domain
        self.missing.pop(member.node_id, None)

    @property
    def has_quorum(self) -> bool:
        """Whether a majority of the failure domains has the configuration.

        A process considers its configuration stale unless it is in contact with
        a majority of the failure domains. Two majorities overlap, so each process
        that serves is in contact with a domain that has the configuration.
        """
        holders = {self.failure_domain, *self.confirmed.values()}
        holders &= self.failure_domains
        is_alone = len(self.failure_domains) <= 1
        return is_alone or 2 * len(holders) > len(self.failure_domains)
