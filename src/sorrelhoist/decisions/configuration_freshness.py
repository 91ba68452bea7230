"""Whether a process may still trust the configuration that it holds."""

from collections.abc import Collection
from typing import Any

import attrs

DEFAULT_STALE_AFTER_S = 60.0


@attrs.define
class Freshness:
    """When the log, and processes of other failure domains, were last heard.

    A process cut off from the rest can't know that its failure domain was taken
    out. After `stale_after_s` without proof that it is not cut off, it says that
    its configuration is stale, and agents grant nothing new.

    Proof is a read of the log to its end, or word from most failure domains
    (its own counts) whose processes hold nothing newer. The log alone would stop
    all serving during each of its outages. Any peer at all would let two cut-off
    processes vouch for each other for ever. An accepted change is with other
    failure domains before the operator hears so; while the log is down nothing
    can be accepted at all.

    The bound: a failure domain that is cut off and was taken out gets new work
    for at most `stale_after_s`, plus the seconds in which gossip spreads a change.
    The price: with the log down and most other failure domains unreachable,
    serving stops after `stale_after_s`. Raise it where that costs more than a
    late drain.

    Parameters
    ----------
    failure_domain : str
        The own one.
    stale_after_s : float
        How long proof lasts.
    """

    failure_domain: str
    stale_after_s: float = DEFAULT_STALE_AFTER_S
    log_heard_at_s: float | None = None
    domains_heard_at_s: dict[str, float] = attrs.field(factory=dict)

    def hear_log(self, now_s: float) -> None:
        """Note a read that reached the end of the log; `now_s` is its start."""
        self.log_heard_at_s = now_s

    def hear_peer(self, failure_domain: str, now_s: float) -> None:
        """Note word from a process that holds nothing newer."""
        self.domains_heard_at_s[failure_domain] = now_s

    def is_stale(self, failure_domains: Collection[str], now_s: float) -> bool:
        """Whether no proof is left.

        Parameters
        ----------
        failure_domains : collection of str
            Those in the configuration; others don't count.
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
        """Return the ages of the proofs as plain data."""
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
