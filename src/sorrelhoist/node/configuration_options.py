"""Settings of a configuration replica, and the interfaces that it depends on."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from ..clients.log import Appended, LogPage
from ..decisions.configuration_freshness import DEFAULT_STALE_AFTER_S

DEFAULT_LOG_RETENTION_S = 3600.0


class ConfigurationLog(Protocol):
    """Client of the configuration topic, such as `clients.log.LogClient`."""

    async def append(self, values: list[str]) -> Appended:
        """Append records."""

    async def read(
        self, from_offset: int, limit: int = ..., wait_s: float = ...
    ) -> LogPage:
        """Read records starting at an offset; wait up to `wait_s` if there are none."""


class PeerMember(Protocol):
    """Identity and failure domain of another process."""

    @property
    def node_id(self) -> str:
        """Identity of the process."""

    @property
    def failure_domain(self) -> str:
        """Failure domain in which it runs."""


class Peers(Protocol):
    """The other processes according to the membership, and calls to them."""

    def members(self) -> Sequence[PeerMember]:
        """Return the live processes, without this one."""

    async def call(self, member: PeerMember, body: object, timeout_s: float) -> object:
        """Send a message and return its reply; raise `PeerError` if there is none."""


@attrs.frozen
class ReplicaOptions:
    """Settings of a replica.

    Parameters
    ----------
    node_id, failure_domain : str
        Identity and failure domain of this process.
    log_retention_s : float
        Retention time of the log; a value that is too low only adds checkpoints.
    stale_after_s : float
        Time for which a proof of contact is valid; see `Freshness`.
    follow_wait_s : float
        Long-polling timeout of a follower's read.
    poll_interval_s : float
        Interval between two reads of a process that is not a follower.
    retry_min_s, retry_max_s : float
        Bounds of the exponential backoff after failed reads.
    peer_timeout_s : float
        Timeout of one call to a peer.
    page_records : int
        Maximum number of records in one read.
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
        """The poll interval, limited to a third of `stale_after_s`.

        Successful polls alone thus keep the configuration from becoming stale.
        """
        return min(self.poll_interval_s, self.stale_after_s / 3)
