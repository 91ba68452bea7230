"""Time between two attempts to read the store while it can't be read.

The load pattern is an outage of the store for all gateways: a fleet that repeats its
reads at a fixed interval is a load that grows with the fleet, and hits the store at
once when it comes back. Instead a few gateways probe it, and the others hear from them
that it is back. A gateway that alone can't read it probes for itself.
"""

import random

from .peer_configurations import PeerContact

FIRST_BACKOFF_S = 0.1
"""Backoff after the first failure; it doubles with each further one."""

PROBE_BACKOFF_S = 0.7
"""Longest backoff of the gateways that poll the store for all. Two of them make 3.8
attempts a second on average, against 4.7 calls of the same two without an outage."""

ALONE_BACKOFF_S = 0.8
"""Longest backoff of a gateway that alone can't read the store: the outage isn't
shared, so that no other gateway can tell it when it ends."""

OUTAGE_BACKOFF_PER_GATEWAY_S = 4.0
"""Longest backoff of the other gateways in an outage for all, per gateway, so that all
of them together try once in three seconds on average. This finds a store that serves
some gateways but not those that poll it."""

MIN_JITTER = 0.5
"""A backoff is drawn between this fraction of it and the whole."""


def store_backoff_s(
    failures: int,
    is_reader: bool,
    others: PeerContact,
    gateways: int,
    rng: random.Random,
) -> float:
    """Return the time until the next attempt to read the store.

    Parameters
    ----------
    failures : int
        Failed attempts in a row, at least 1.
    is_reader : bool
        Whether this gateway polls the store for all.
    others : PeerContact
        Whether other gateways are in contact with the store.
    gateways : int
        Number of live gateways, including this one.
    rng : random.Random

    Examples
    --------
    >>> rng = random.Random(1)
    >>> def longest(failures, is_reader, others, gateways):
    ...     draws = [store_backoff_s(failures, is_reader, others, gateways, rng)
    ...              for _ in range(1000)]
    ...     return round(max(draws), 1)
    >>> longest(1, False, PeerContact.LOST, 68), longest(9, False, PeerContact.LOST, 68)
    (0.1, 271.8)
    >>> longest(9, True, PeerContact.LOST, 68), longest(9, False, PeerContact.FRESH, 68)
    (0.7, 0.8)
    """
    doubled_s = FIRST_BACKOFF_S * 2 ** min(failures - 1, 16)
    if is_reader:
        limit_s = PROBE_BACKOFF_S
    elif others is PeerContact.LOST:
        limit_s = gateways * OUTAGE_BACKOFF_PER_GATEWAY_S
        if failures > 1:  # no series of short backoffs by each gateway of the fleet
            doubled_s = limit_s
    else:
        limit_s = ALONE_BACKOFF_S
    return min(limit_s, doubled_s) * (MIN_JITTER + (1 - MIN_JITTER) * rng.random())
