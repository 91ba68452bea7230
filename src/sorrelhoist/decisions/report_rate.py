"""Rate at which gateways report to each other."""

MAX_DATAGRAMS_PER_S = 400.0
"""Upper bound on the datagrams a process sends per second, whatever the fleet size."""

MIN_REPORT_INTERVAL_S = 0.025
"""Minimum interval between reports to all peers: about one engine pass."""

SETTLE_REPORTS = 2
"""Number of report intervals after which an event is known to nearly all gateways, even
if a report is lost."""

MIN_SETTLE_S = 0.1
"""Lower bound of that time: many times the delay between failure domains."""


def report_interval_s(peers: int) -> float:
    """Return the interval between two reports to all peers.

    Examples
    --------
    >>> report_interval_s(4), report_interval_s(300)
    (0.025, 0.75)
    """
    return max(MIN_REPORT_INTERVAL_S, peers / MAX_DATAGRAMS_PER_S)


def settle_s(peers: int) -> float:
    """Return the time after which an event is known to nearly all gateways.

    Examples
    --------
    >>> settle_s(4), settle_s(300)
    (0.1, 1.5)
    """
    return max(MIN_SETTLE_S, SETTLE_REPORTS * report_interval_s(peers))
