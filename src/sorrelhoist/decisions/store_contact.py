"""Freshness limit on the configuration that was last read from the store.

Revoked API keys must stop working everywhere within a bound, even where the store is
unreachable. A process therefore accepts no keys once its last complete read began
longer ago than the bound allows, and reports itself not ready to the load balancer
before that. The clock must also count time in which the host was suspended.
"""

import attrs

READY_SHARE = 0.55
"""Fraction of the revocation bound after which the process reports itself not ready,
before requests of callers would have to be refused."""

IN_FLIGHT_MARGIN_S = 0.8
"""Margin within the revocation bound for a request on its way to an endpoint."""


@attrs.define(eq=False, repr=False)
class StoreContact:
    """The age of the last complete read of the configuration.

    Parameters
    ----------
    revoke_s : float
        Longest time that a revoked key may still be used.

    Examples
    --------
    >>> contact = StoreContact(revoke_s=5.0)
    >>> contact.may_use_keys(now_s=1.0)
    False
    >>> contact.read_completed(sent_s=1.0)
    >>> contact.may_use_keys(now_s=5.0), contact.may_use_keys(now_s=5.3)
    (True, False)
    >>> contact.is_fresh(now_s=3.0), contact.is_fresh(now_s=4.0)
    (True, False)
    """

    revoke_s: float
    _sent_s: float = float("-inf")
    renewals: int = 0
    """Number of reads after a time in which the configuration wasn't fresh."""

    def read_completed(self, sent_s: float) -> None:
        """Record a completed read, which is as old as the time it was sent."""
        if not self.is_fresh(sent_s):
            self.renewals += 1
        self._sent_s = max(self._sent_s, sent_s)

    def discard(self) -> None:
        """Forget all reads: the store has an older configuration than is in force."""
        self._sent_s = float("-inf")

    def age_s(self, now_s: float) -> float:
        """Return the maximum age of the configuration."""
        return now_s - self._sent_s

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the configuration is fresh enough for new connections."""
        return self.age_s(now_s) < self.revoke_s * READY_SHARE

    def may_use_keys(self, now_s: float) -> bool:
        """Return whether requests with an API key may be sent to endpoints."""
        return self.age_s(now_s) < self.max_key_age_s

    @property
    def max_key_age_s(self) -> float:
        """Age of the configuration up to which requests with an API key may be sent."""
        return self.revoke_s - IN_FLIGHT_MARGIN_S
