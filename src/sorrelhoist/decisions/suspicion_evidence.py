"""Evidence that a request killed an endpoint, and how two reports join."""

import attrs
import xxhash

MAX_SIGNED = 2**63


@attrs.frozen
class SuspicionOptions:
    """How long evidence lives, and what excuses a request.

    Parameters
    ----------
    lifetime_s : float
        After it a death is forgotten.
    max_items : int
        Bound on the evidence held; deaths with neighbours go first, then the
        oldest.
    crowd_window_s : float
        Deaths no further apart count as one event.
    crowd_deaths : int
        So many other deaths in the window, without the request, excuse it.
    deaths_in_company : int
        So many deaths condemn a request that never ran alone; 0 for none. For
        callers who can't be given an endpoint of their own.
    """

    lifetime_s: float = 3600.0
    max_items: int = 4096
    crowd_window_s: float = 5.0
    crowd_deaths: int = 3
    deaths_in_company: int = 0


@attrs.frozen
class EvidenceKey:
    """One request and one death of an endpoint.

    Parameters
    ----------
    fingerprint : int
    death_id : int
        See `death_id`.
    """

    fingerprint: int
    death_id: int


@attrs.define
class Evidence:
    """What is known of one key.

    Parameters
    ----------
    died_s : float
        When the endpoint died.
    running_requests : int
        Distinct requests that ran on it; 1 means that this one ran alone.
    cleared : bool
        Whether the request completed since.
    sends : int
        How often it was sent on.
    sent_s : float
        When it was sent on last.
    """

    died_s: float
    running_requests: int
    cleared: bool = False
    sends: int = 0
    sent_s: float = float("-inf")

    def join(self, other: "Evidence") -> None:
        """Take in another report; the order and the count don't matter."""
        more = max(self.running_requests, other.running_requests)
        if more != self.running_requests or other.cleared > self.cleared:
            self.sends = 0
        self.running_requests = more
        self.cleared = self.cleared or other.cleared
        self.died_s = min(self.died_s, other.died_s)


def death_id(endpoint: str, boot_id: str) -> int:
    """Name a death; every process names the same death alike.

    Parameters
    ----------
    endpoint : str
    boot_id : str
        Of the run of the endpoint that ended.

    Returns
    -------
    int
        64 bits, signed.
    """
    name = f"{endpoint}\0{boot_id}".encode()
    value: int = xxhash.xxh3_64_intdigest(name)
    return value - 2 * MAX_SIGNED if value >= MAX_SIGNED else value
