"""How long a process may trust what it last read from the store.

Keys that were taken away must stop working everywhere within a bound, also where
the store can't be reached. A process therefore serves no key once its last complete
read began longer ago than the bound allows, and tells the balancer before that. The
clock must count the time in which the host stood still.
"""

import attrs

READY_SHARE = 0.55
"""Part of the revocation bound after which the process reports itself not ready:
before callers' requests would have to be refused."""

SAFETY_S = 0.8
"""Kept of the revocation bound for a request on its way to an endpoint."""


@attrs.define
class StoreContact:
    """The age of the last complete read of the configuration.

    Parameters
    ----------
    revoke_s : float
        The bound on the use of a key that was taken away.

    Examples
    --------
    >>> contact = StoreContact(revoke_s=5.0)
    >>> contact.may_use_keys(now_s=1.0)
    False
    >>> contact.read_completed(sent_s=1.0)
    >>> contact.may_use_keys(now_s=5.0), contact.may_use_keys(now_s=5.3)
    (True, False)
    >>> contact.is_sound(now_s=3.0), contact.is_sound(now_s=4.0)
    (True, False)
    """

    revoke_s: float
    _sent_s: float = float("-inf")

    def read_completed(self, sent_s: float) -> None:
        """Note a read that was answered; it shows the state when it was sent."""
        self._sent_s = max(self._sent_s, sent_s)

    def age_s(self, now_s: float) -> float:
        """Return how old the knowledge is at most."""
        return now_s - self._sent_s

    def is_sound(self, now_s: float) -> bool:
        """Tell whether the process should get new connections."""
        return self.age_s(now_s) < self.revoke_s * READY_SHARE

    def may_use_keys(self, now_s: float) -> bool:
        """Tell whether requests with a key may be sent to endpoints."""
        return self.age_s(now_s) < self.revoke_s - SAFETY_S
