"""Supervision of long prefills from sending to the first event.

The load: waves of long prompts. Engines prefill the newest part first, so what any
gateway places on the engines of a prefill afterwards delays it. A wait that this
explains is no sign of a stalled engine, and a prefill that is cut restarts from
nothing.
"""

from collections.abc import Callable

import attrs

from .demand import Assignment, Placement
from .load_tracker import LoadTracker

RECHECK_S = 0.5
"""Interval after which an unexplained wait that was left where it is is checked again:
several engine passes."""

VIEW_AGES_MS = (25, 100, 500)
"""Upper bounds of the ages by which lateness is reported: a report of a small fleet,
one of 30 gateways, and several lost ones."""

LATE_S = 0.1
"""Lateness from which a prefill is logged: more than two engine passes."""


@attrs.frozen
class Wait:
    """Leave the prefill where it is and check it again at a time."""

    until_s: float
    reason: str


@attrs.frozen
class Move:
    """Send the prefill to another place."""

    expected_ms: float


@attrs.frozen(kw_only=True)
class PrefillWatch:
    """The expected first event of one prefill, given what is placed behind it.

    Parameters
    ----------
    sent_s : float
    expected_ms : float
        Time to the first event that was expected when it was sent.
    slack_s : float
        Time beyond the expectation after which a wait has to be explained.
    placed_before_ms : dict
        Prefill time ever placed by all gateways on each of its endpoints, by address,
        when it was sent.
    view_age_s : float
        Age of the oldest report of a peer at that time.
    """

    sent_s: float
    expected_ms: float
    slack_s: float
    placed_before_ms: dict[str, float]
    view_age_s: float

    @classmethod
    def start(
        cls, assignment: Assignment, loads: LoadTracker, slack_s: float, now_s: float
    ) -> "PrefillWatch":
        """Start the watch of an assignment that is counted in the loads already."""
        endpoints = (assignment.first, *assignment.helpers)
        return cls(
            sent_s=now_s,
            expected_ms=assignment.first_event_ms,
            slack_s=slack_s,
            placed_before_ms={
                one.address: loads.placed_ms(one.address) for one in endpoints
            },
            view_age_s=loads.oldest_report_s(now_s),
        )

    def placed_since_ms(self, loads: LoadTracker) -> dict[str, float]:
        """Return the prefill time that was placed on its endpoints since it was sent.

        Examples
        --------
        >>> watch = PrefillWatch(sent_s=0.0, expected_ms=900.0, slack_s=5.0,
        ...     placed_before_ms={"a": 0.0}, view_age_s=0.0)
        >>> watch.placed_since_ms(LoadTracker())
        {}
        """
        added_ms = {
            address: loads.placed_ms(address) - before_ms
            for address, before_ms in self.placed_before_ms.items()
        }
        return {address: ms for address, ms in added_ms.items() if ms > 0}

    def expected_s(self, loads: LoadTracker) -> float:
        """Return the time at which the first event is expected now.

        It follows the last part, so the endpoint with most prefill behind it counts.
        """
        delay_ms = max(self.placed_since_ms(loads).values(), default=0.0)
        return self.sent_s + (self.expected_ms + delay_ms) / 1000

    def lateness_s(self, now_s: float) -> float:
        """Return by how much a first event at this time misses the expectation."""
        return max(0.0, now_s - self.sent_s - self.expected_ms / 1000)

    def view_age(self) -> str:
        """Return a label for the age of the load on which the placement was based.

        Examples
        --------
        >>> PrefillWatch(sent_s=0.0, expected_ms=0.0, slack_s=1.0,
        ...     placed_before_ms={}, view_age_s=0.07).view_age()
        '100 ms'
        """
        for limit_ms in VIEW_AGES_MS:
            if self.view_age_s * 1000 <= limit_ms:
                return f"{limit_ms} ms"
        return "older"

    def dump(self, loads: LoadTracker, now_s: float) -> dict:
        """Return the state as plain data."""
        return {
            "waited_s": now_s - self.sent_s,
            "expected_ms": self.expected_ms,
            "expected_in_s": self.expected_s(loads) - now_s,
            "placed_since_ms": self.placed_since_ms(loads),
        }

    def check(
        self,
        loads: LoadTracker,
        elsewhere: Callable[[], Placement],
        deadline_s: float,
        now_s: float,
    ) -> Wait | Move:
        """Decide whether a prefill without a first event stays where it is.

        Parameters
        ----------
        loads : LoadTracker
        elsewhere : callable
            Returns where the prompt would be placed now, without placing it.
        deadline_s : float
            Time after which the caller has no use for the answer.
        now_s : float

        Returns
        -------
        Wait or Move
        """
        expected_s = self.expected_s(loads)
        if now_s < expected_s + self.slack_s:
            return Wait(expected_s + self.slack_s, "explained")
        again_s = now_s + RECHECK_S
        match elsewhere():
            case Assignment(first_event_ms=new_ms):
                # An unexplained wait is expected to last as long again.
                left_ms = (now_s - expected_s) * 1000
                if now_s + new_ms / 1000 > deadline_s:
                    return Wait(again_s, "too late elsewhere")
                if new_ms >= left_ms:
                    return Wait(again_s, "no sooner elsewhere")
                return Move(new_ms)
            case _:
                return Wait(again_s, "no room elsewhere")
