"""What a gateway takes, and when it gives up, between its stop signal and its end.

The load pattern is a rolling restart: callers keep sending requests to a stopping
gateway until the load balancer has noticed, and on open connections beyond that.
"""

import attrs

from .routes import Repeat

EXIT_MARGIN_S = 0.7
"""Part of the grace period that is reserved for the exit of the process itself."""

NOTICE_S = 2.7
"""Time from the signal in which callers can't know of the stop, also if the signal is
handled late."""

ANSWER_MARGIN_S = 0.3
"""Time before the exit at which all that still runs is answered, for the answers to
reach their callers."""

CLOSE_MARGIN_S = 0.6
"""Part of the grace period from which connections are closed. An answer that has begun
may go on until then: if it is broken off, its caller gets no other."""

SLACK_S = 0.2
"""Time by which work may outlast its expected time, as on a busy host. A request that
is refused is served elsewhere 0.05 s later. One that is cut has waited for nothing, and
its caller doesn't know whether it has run."""

ONCE_SLACK_S = 0.4
"""The same for a request that may not be sent again: if it is cut, it is lost."""


def slack_s(repeat: Repeat) -> float:
    """Return what is added to the expected time of a request's work.

    Examples
    --------
    >>> slack_s(Repeat.REPEATABLE), slack_s(Repeat.ONCE)
    (0.2, 0.4)
    """
    return ONCE_SLACK_S if repeat is Repeat.ONCE else SLACK_S


@attrs.frozen
class WorkEstimate:
    """Time of a request's work.

    Parameters
    ----------
    likely_s : float
        Time within which it most likely ends.
    longest_s : float
        Time that it may take if it needs all that it declares.
    first_event_s : float
        Time that the first event of a stream may take; 0 if that isn't known.
    is_stream : bool
        Whether its answer begins long before it ends.
    """

    likely_s: float = 0.0
    longest_s: float = 0.0
    first_event_s: float = 0.0
    is_stream: bool = False


@attrs.define(kw_only=True)
class PlannedStop:
    """Times of a planned stop, and the requests that it refused or cut.

    Parameters
    ----------
    began_s : float
        Time of the stop signal, monotonic seconds.
    grace_s : float
        Time from the signal until the process is killed.
    is_closing : bool
        Whether connections are being closed, so that nothing new may be sent.
    refused, cut : int
    late_s : float
        Longest time by which the event loop was late since the signal.

    Examples
    --------
    >>> stop = PlannedStop(began_s=100.0, grace_s=8.0)
    >>> stop.cut_at_s
    107.0
    >>> work = WorkEstimate(likely_s=2.5, longest_s=4.0)
    >>> stop.fits(work, complete_s=102.0, deadline_s=130.0, now_s=102.0)
    True
    >>> stop.fits(work, complete_s=103.5, deadline_s=130.0, now_s=103.5)
    False
    >>> stop.fits(work, complete_s=103.5, deadline_s=105.0, now_s=103.5)
    True
    """

    began_s: float
    grace_s: float
    is_closing: bool = False
    refused: int = 0
    cut: int = 0
    late_s: float = 0.0

    @property
    def exit_at_s(self) -> float:
        """Time at which the process begins to exit."""
        return self.began_s + max(0.0, self.grace_s - EXIT_MARGIN_S)

    @property
    def cut_at_s(self) -> float:
        """Time at which all requests whose answer hasn't begun are given up."""
        return max(self.began_s, self.exit_at_s - ANSWER_MARGIN_S)

    @property
    def close_at_s(self) -> float:
        """Time at which all answers that have begun are broken off."""
        return self.began_s + max(0.0, self.grace_s - CLOSE_MARGIN_S)

    def deadline_s(self, deadline_s: float, has_begun: bool) -> float:
        """Return a request's deadline, moved into the grace period.

        Parameters
        ----------
        deadline_s : float
            Its own deadline.
        has_begun : bool
            Whether its answer has begun: it then needs no time for another one.
        """
        return min(deadline_s, self.close_at_s if has_begun else self.cut_at_s)

    def latest_start_s(
        self, work: WorkEstimate, complete_s: float, deadline_s: float
    ) -> float | None:
        """Return until when a request may be sent to an endpoint.

        A caller that couldn't know of the stop may find no other gateway: its request
        is taken if it most likely ends in time. A later one is taken only if all that
        it declares fits.

        Parameters
        ----------
        work : WorkEstimate
            Its work, with its slack.
        complete_s : float
            Time at which its last byte was received, the present time until then. A
            caller that still sends its body when it can know of the stop is late.
        deadline_s : float

        Returns
        -------
        float or None
            None if its deadline ends it before the cut.
        """
        if self.is_closing:
            return self.began_s
        if deadline_s < self.cut_at_s:
            return None
        end_s = self.exit_at_s if work.is_stream else self.cut_at_s
        if complete_s <= self.began_s + NOTICE_S:
            return end_s - work.likely_s
        return min(end_s - work.longest_s, self.cut_at_s - work.first_event_s)

    def fits(
        self, work: WorkEstimate, complete_s: float, deadline_s: float, now_s: float
    ) -> bool:
        """Return whether a request that is sent now can be expected to end in time."""
        if self.is_closing or now_s >= self.cut_at_s:
            return False
        latest_s = self.latest_start_s(work, complete_s, deadline_s)
        return latest_s is None or now_s <= latest_s

    def due(self, due_s: float, now_s: float) -> None:
        """Record that the event loop did at ``now_s`` what was due at ``due_s``."""
        self.late_s = max(self.late_s, now_s - due_s)

    def left_s(self, now_s: float) -> float:
        """Return the time until all requests that still run are given up."""
        return max(0.0, self.cut_at_s - now_s)
