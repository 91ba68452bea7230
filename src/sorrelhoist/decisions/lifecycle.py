"""The lifecycle of an endpoint, interpreted from a state chart in a file."""

import enum
from functools import cache
from importlib import resources

import attrs
from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml
from sismic.model import Event, Statechart

CHART_PACKAGE = "sorrelhoist.charts"
CHART_FILE = "endpoint.yaml"


class Phase(enum.StrEnum):
    """Where an endpoint is in its life; the leaf states of the chart."""

    UNKNOWN = "unknown"
    COLD = "cold"
    WARMING = "warming"
    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


class LifecycleEvent(enum.StrEnum):
    """What can move an endpoint to another phase; the events of the chart."""

    BOOT_CHANGED = "boot_changed"
    REPORTED_COLD = "reported_cold"
    REPORTED_SERVING = "reported_serving"
    SLOWED = "slowed"
    UNREACHABLE = "unreachable"
    FULLY_ALLOWED = "fully_allowed"
    TROUBLED = "troubled"
    LEAVE = "leave"
    STAY = "stay"
    DRAINED = "drained"
    REMOVED = "removed"


@cache
def _chart() -> Statechart:
    text = resources.files(CHART_PACKAGE).joinpath(CHART_FILE).read_text("utf-8")
    return import_from_yaml(text)


@attrs.define
class EndpointLifecycle:
    """The phase of one endpoint.

    Parameters
    ----------
    now_s : float
        When the endpoint was first heard of, monotonic seconds.

    Examples
    --------
    >>> lifecycle = EndpointLifecycle(now_s=0.0)
    >>> lifecycle.on(LifecycleEvent.REPORTED_COLD, now_s=1.0)
    <Phase.COLD: 'cold'>
    >>> lifecycle.on(LifecycleEvent.REPORTED_SERVING, now_s=2.0)
    <Phase.WARMING: 'warming'>
    """

    now_s: float
    phase: Phase = attrs.field(init=False, default=Phase.UNKNOWN)
    since_s: float = attrs.field(init=False)
    _interpreter: Interpreter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.since_s = self.now_s
        self._interpreter = Interpreter(_chart())
        self._interpreter.execute()

    def on(self, event: LifecycleEvent, now_s: float) -> Phase:
        """Take an event in.

        Parameters
        ----------
        event : LifecycleEvent
            An event that the current phase does not know changes nothing.
        now_s : float
            The present time, monotonic seconds.

        Returns
        -------
        Phase
            The phase after the event.
        """
        self.now_s = now_s
        self._interpreter.queue(Event(event.value))
        self._interpreter.execute()
        phase = Phase(self._interpreter.configuration[-1])
        if phase is not self.phase:
            self.phase = phase
            self.since_s = now_s
        return phase

    def dump(self) -> dict[str, object]:
        """Give the state as plain data."""
        return {"phase": self.phase.value, "since_s": self.since_s}
