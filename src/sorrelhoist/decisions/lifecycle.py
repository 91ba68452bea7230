"""Lifecycle state machine of an endpoint, run from a state chart in YAML."""

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
    """Lifecycle phase of an endpoint; the leaf states of the chart."""

    UNKNOWN = "unknown"
    COLD = "cold"
    WARMING = "warming"
    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


class LifecycleEvent(enum.StrEnum):
    """Event that can trigger a phase transition; the events of the chart."""

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
    """Current lifecycle phase of one endpoint.

    Parameters
    ----------
    now_s : float
        When the endpoint became known, monotonic seconds.

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
        """Apply an event.

        Parameters
        ----------
        event : LifecycleEvent
            Ignored if the current phase has no transition for it.
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
        """Return the state as plain data."""
        return {"phase": self.phase.value, "since_s": self.since_s}
