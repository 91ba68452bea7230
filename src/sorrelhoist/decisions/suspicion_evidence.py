"""Evidence that a request crashed an endpoint, and the merge of two reports."""

import attrs
import xxhash

INT64_SIGN_BIT = 2**63


@attrs.frozen
class SuspicionOptions:
    """Retention of evidence, and thresholds for condemning a request.

    Parameters
    ----------
    lifetime_s : float
        Time after which a death is forgotten.
    max_items : int
        Limit on the evidence held; deaths with concurrent requests are evicted
        first, then the oldest.
    correlated_failure_window_s : float
        Deaths at most this far apart count as correlated.
    correlated_failure_deaths : int
        A death isn't blamed on a request if at least this many other endpoints
        died within the window without running it.
    deaths_to_condemn : int
        Number of deaths that condemn a request even if it never ran alone; 0
        disables this. For callers that can't run a request alone on an endpoint.
    """

    lifetime_s: float = 3600.0
    max_items: int = 4096
    correlated_failure_window_s: float = 5.0
    correlated_failure_deaths: int = 3
    deaths_to_condemn: int = 0


@attrs.frozen
class EvidenceKey:
    """Pair of a request and a death of an endpoint.

    Parameters
    ----------
    fingerprint : int
    death_id : int
        See `death_id`.
    """

    fingerprint: int
    death_id: int


@attrs.define(eq=False, repr=False)
class Evidence:
    """What is known about one pair of a request and a death.

    Parameters
    ----------
    died_s : float
        Time when the endpoint died.
    running_requests : int
        Number of distinct requests on the endpoint; 1 if this one ran alone.
    cleared : bool
        Whether the request has completed since.
    sends : int
        How often the item was gossiped.
    sent_s : float
        Time when the item was last gossiped.
    """

    died_s: float
    running_requests: int
    cleared: bool = False
    sends: int = 0
    sent_s: float = float("-inf")

    def join(self, other: "Evidence") -> None:
        """Merge another report; commutative and idempotent."""
        more = max(self.running_requests, other.running_requests)
        if more != self.running_requests or other.cleared > self.cleared:
            self.sends = 0
        self.running_requests = more
        self.cleared = self.cleared or other.cleared
        self.died_s = min(self.died_s, other.died_s)


def death_id(endpoint: str, boot_id: str) -> int:
    """Return the id of a death, which is the same in every process.

    Parameters
    ----------
    endpoint : str
    boot_id : str
        Identifies the run of the endpoint that ended.

    Returns
    -------
    int
        64 bits, signed.
    """
    name = f"{endpoint}\0{boot_id}".encode()
    value: int = xxhash.xxh3_64_intdigest(name)
    return value - 2 * INT64_SIGN_BIT if value >= INT64_SIGN_BIT else value
