"""Which processes confirmed that a configuration is in force."""

from collections.abc import Iterable
from typing import Generic, Protocol, TypeVar

import attrs


class Confirming(Protocol):
    """What is needed to know of a process."""

    @property
    def node_id(self) -> str:
        """Identity of the process."""

    @property
    def failure_domain(self) -> str:
        """Where it runs."""


M = TypeVar("M", bound=Confirming)


@attrs.define
class Confirmations(Generic[M]):
    """Who has a configuration in force, and who has not said so.

    Parameters
    ----------
    offset : int
        The version that counts, or any higher one.
    failure_domain : str
        Of the own process, which has it.
    failure_domains : frozenset of str
        Those of the configuration.
    """

    offset: int
    failure_domain: str
    failure_domains: frozenset[str]
    confirmed: dict[str, str] = attrs.field(factory=dict)
    missing: dict[str, M] = attrs.field(factory=dict)

    def start_round(self, members: Iterable[M]) -> list[M]:
        """Return the live members that have not confirmed yet."""
        self.missing = {
            member.node_id: member
            for member in members
            if member.node_id not in self.confirmed
        }
        return list(self.missing.values())

    def note(self, member: M, effective_offset: int) -> None:
        """Take note of what a process has in force."""
        if effective_offset < self.offset:
            return
        self.confirmed[member.node_id] = member.failure_domain
        self.missing.pop(member.node_id, None)

    @property
    def suffice(self) -> bool:
        """Whether most failure domains have it.

        A process calls its configuration stale unless it hears of most failure
        domains, so each one that serves hears of one that has it.
        """
        holders = {self.failure_domain, *self.confirmed.values()}
        holders &= self.failure_domains
        is_alone = len(self.failure_domains) <= 1
        return is_alone or 2 * len(holders) > len(self.failure_domains)
