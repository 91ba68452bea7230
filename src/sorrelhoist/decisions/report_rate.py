"""Rate at which gateways report to each other."""

import attrs

MAX_DATAGRAMS_PER_S = 400.0
"""Upper bound on the datagrams a process sends per second, whatever the fleet size."""

MIN_REPORT_INTERVAL_S = 0.025
"""Minimum interval between reports to all peers: about one engine pass."""

MAX_UPDATE_DATAGRAMS_PER_S = 200.0
"""Upper bound on the datagrams a process sends per second for updates between two
reports: half of what reports may take, whatever the fleet size."""

ANNOUNCEMENT_INTERVAL_S = 5.0
"""Interval after which a process without placements to send sends an empty update, so
that peers know that its updates reach them."""

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


@attrs.define(eq=False, repr=False)
class UpdateRate:
    """Decide whether the loads of a placement are sent before the next report.

    Parameters
    ----------
    sent, held_back : int
        Updates that were sent, and those that the rate limit left to the next report.

    Examples
    --------
    >>> rate = UpdateRate()
    >>> rate.try_send(peers=4, now_s=0.0), rate.try_send(peers=150, now_s=0.0)
    (False, True)
    >>> rate.try_send(peers=150, now_s=0.1), rate.try_send(peers=150, now_s=0.2)
    (True, False)
    """

    sent: int = 0
    held_back: int = 0
    _sent_s: float = float("-inf")
    _spent: float = 0.0
    _spent_s: float = float("-inf")

    def is_useful(self, peers: int) -> bool:
        """Return whether reports are so slow that updates are needed."""
        return report_interval_s(peers) > MIN_REPORT_INTERVAL_S

    def is_announcement_due(self, peers: int, now_s: float) -> bool:
        """Return whether an empty update has to be sent."""
        is_due = now_s - self._sent_s >= ANNOUNCEMENT_INTERVAL_S
        return is_due and self.is_useful(peers)

    def try_send(self, peers: int, now_s: float) -> bool:
        """Return whether an update may be sent to all peers now, and count it."""
        if not self.is_useful(peers):
            return False
        refilled = (now_s - self._spent_s) * MAX_UPDATE_DATAGRAMS_PER_S
        spent = max(0.0, self._spent - refilled)
        if spent >= MAX_UPDATE_DATAGRAMS_PER_S:
            self.held_back += 1
            return False
        self._spent, self._spent_s, self._sent_s = spent + peers, now_s, now_s
        self.sent += 1
        return True


def settle_s(peers: int) -> float:
    """Return the time after which an event is known to nearly all gateways.

    Examples
    --------
    >>> settle_s(4), settle_s(300)
    (0.1, 1.5)
    """
    return max(MIN_SETTLE_S, SETTLE_REPORTS * report_interval_s(peers))
