"""What a configuration replica is told, and what it works with."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from ..clients.log import Appended, LogPage
from ..decisions.configuration_freshness import DEFAULT_STALE_AFTER_S

DEFAULT_LOG_RETENTION_S = 3600.0


class ConfigurationLog(Protocol):
    """The configuration topic; `clients.log.LogClient` is one."""

    async def append(self, values: list[str]) -> Appended:
        """Append records."""

    async def read(
        self, from_offset: int, limit: int = ..., wait_s: float = ...
    ) -> LogPage:
        """Read records from an offset on."""


class PeerMember(Protocol):
    """What a replica needs to know of another process."""

    @property
    def node_id(self) -> str:
        """Identity of the process."""

    @property
    def failure_domain(self) -> str:
        """Where it runs."""


class Peers(Protocol):
    """The other processes, as the membership sees them."""

    def members(self) -> Sequence[PeerMember]:
        """Return the live processes but the own one."""

    async def call(self, member: PeerMember, body: object, timeout_s: float) -> object:
        """Send a message and return its reply; `PeerError` if there is none."""


@attrs.frozen
class ReplicaOptions:
    """Settings of a replica.

    Parameters
    ----------
    node_id, failure_domain : str
        Of the own process.
    log_retention_s : float
        How long the log keeps a record; too low a value only costs checkpoints.
    stale_after_s : float
        See `Freshness`.
    follow_wait_s : float
        How long a follower's read waits in the log for the next record.
    poll_interval_s : float
        Between two reads of a process that does not follow.
    retry_min_s, retry_max_s : float
        Bounds of the wait after a failed read.
    peer_timeout_s : float
        For one call of a peer.
    page_records : int
        Records in one read.
    """

    node_id: str
    failure_domain: str
    log_retention_s: float = DEFAULT_LOG_RETENTION_S
    stale_after_s: float = DEFAULT_STALE_AFTER_S
    follow_wait_s: float = 15.0
    poll_interval_s: float = 60.0
    retry_min_s: float = 0.5
    retry_max_s: float = 15.0
    peer_timeout_s: float = 3.0
    page_records: int = 500

    @property
    def effective_poll_interval_s(self) -> float:
        """The poll interval, short enough that a poll keeps the replica fresh."""
        return min(self.poll_interval_s, self.stale_after_s / 3)
