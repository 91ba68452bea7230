"""Staleness check of the configuration that a process holds."""

from collections.abc import Collection
from typing import Any

import attrs

DEFAULT_STALE_AFTER_S = 60.0


@attrs.define
class Freshness:
    """Times of the last contact with the log and with each failure domain.

    A process on the wrong side of a network partition can't learn that its failure
    domain was taken out. After `stale_after_s` without proof of contact, it
    reports its configuration as stale, and agents issue no new grants.

    Proof of contact is a read of the log to its end, or messages from a majority
    of the failure domains (its own counts), from processes that hold no newer
    configuration. If only the log counted, all serving would stop during each of
    its outages. If any single peer counted, two processes in the same partition
    could vouch for each other indefinitely. An accepted change has reached other
    failure domains before the operator is told so; while the log is down, no
    change can be accepted.

    Guarantee: a failure domain that is partitioned and was taken out gets new work
    for at most `stale_after_s`, plus the seconds that gossip needs to spread a
    change. Cost: if the log is down and most other failure domains are
    unreachable, serving stops after `stale_after_s`. Raise it if that costs more
    than a late drain.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this process.
    stale_after_s : float
        Time for which a proof of contact is valid.
    """

    failure_domain: str
    stale_after_s: float = DEFAULT_STALE_AFTER_S
    log_heard_at_s: float | None = None
    domains_heard_at_s: dict[str, float] = attrs.field(factory=dict)

    def record_log_read(self, now_s: float) -> None:
        """Record a read that reached the end of the log; `now_s` is its start time."""
        self.log_heard_at_s = now_s

    def record_peer_contact(self, failure_domain: str, now_s: float) -> None:
        """Record contact with a process that holds no newer configuration."""
        self.domains_heard_at_s[failure_domain] = now_s

    def is_stale(self, failure_domains: Collection[str], now_s: float) -> bool:
        """Whether no proof of contact is valid any more.

        Parameters
        ----------
        failure_domains : collection of str
            Failure domains in the configuration; others don't count.
        now_s : float
            Monotonic seconds.
        """
        if self._is_recent(self.log_heard_at_s, now_s):
            return False
        heard = {
            name
            for name, heard_at_s in self.domains_heard_at_s.items()
            if name in failure_domains and self._is_recent(heard_at_s, now_s)
        }
        if not heard:
            return True
        if self.failure_domain in failure_domains:
            heard.add(self.failure_domain)
        return 2 * len(heard) <= len(failure_domains)

    def dump(self, now_s: float) -> dict[str, Any]:
        """Return the ages of the last contacts as plain data."""
        domains = {
            name: round(now_s - heard_at_s, 3)
            for name, heard_at_s in sorted(self.domains_heard_at_s.items())
        }
        log_heard_at_s = self.log_heard_at_s
        log_age_s = None if log_heard_at_s is None else now_s - log_heard_at_s
        return {
            "stale_after_s": self.stale_after_s,
            "log_heard_age_s": log_age_s,
            "domains_heard_age_s": domains,
        }

    def _is_recent(self, heard_at_s: float | None, now_s: float) -> bool:
        return heard_at_s is not None and now_s - heard_at_s < self.stale_after_s
