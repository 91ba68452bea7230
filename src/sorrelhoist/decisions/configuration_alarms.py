"""Alarms of a configuration replica, each with a message and a remedy."""

from typing import Any

import attrs

from .configuration import ConfigurationFold

FAILED_READS_BEFORE_ALARM = 3


@attrs.frozen
class Alarm:
    """An alarm for the operator.

    Parameters
    ----------
    kind : str
        Stable identifier.
    message : str
        What is wrong.
    remedy : str
        What to do about it.
    """

    kind: str
    message: str
    remedy: str


@attrs.define
class LogView:
    """A replica's view of the configuration log.

    Parameters
    ----------
    next_offset : int
        Offset at which the next read starts.
    first_offset, end_offset : int
        Range of the offsets that the log retained at the last read.
    failures : int
        Number of consecutive failed reads.
    went_back : bool
        Whether the log has lost records that were read earlier.
    """

    next_offset: int = 1
    first_offset: int = 1
    end_offset: int = 1
    failures: int = 0
    went_back: bool = False

    def skip_to(self, offset: int) -> None:
        """Move the start of the next read forward."""
        self.next_offset = max(self.next_offset, offset)

    def record_read(self, read_from: int, first_offset: int, end_offset: int) -> None:
        """Record a successful read."""
        self.first_offset = first_offset
        self.end_offset = end_offset
        self.went_back = end_offset < read_from
        self.failures = 0

    def dump(self) -> dict[str, Any]:
        """Return the view as plain data."""
        return attrs.asdict(self)


def active_alarms(
    fold: ConfigurationFold,
    view: LogView,
    *,
    is_ready: bool,
    is_stale: bool,
    problem: str,
) -> list[Alarm]:
    """Return the active alarms of a replica.

    Parameters
    ----------
    fold : ConfigurationFold
        Its configuration state.
    view : LogView
        Its view of the log.
    is_ready, is_stale : bool
        Whether it has a configuration, and whether that is too old to trust.
    problem : str
        Why the configuration can't be parsed; empty if it can.

    Returns
    -------
    list of Alarm
        The most urgent first.
    """
    alarms = []
    has_gap = not fold.is_complete_before(view.next_offset)
    if view.went_back:
        alarms.append(_LOG_WENT_BACK)
    if has_gap and view.failures == 0:
        alarms.append(_GAP if is_ready else _CONFIGURATION_LOST)
    elif not is_ready:
        alarms.append(_NO_CONFIGURATION)
    if problem:
        alarms.append(attrs.evolve(_NOT_UNDERSTOOD, message=problem))
    elif is_ready and is_stale:
        alarms.append(_STALE)
    if view.failures >= FAILED_READS_BEFORE_ALARM:
        alarms.append(_LOG_UNAVAILABLE)
    if fold.differing_checkpoints:
        alarms.append(_DIFFERING)
    return alarms


_LOG_WENT_BACK = Alarm(
    "log_went_back",
    "The configuration log ends before records that were read earlier.",
    "Restore the log; if it is lost, start all processes anew, then apply the files "
    "with --restart.",
)
_CONFIGURATION_LOST = Alarm(
    "configuration_lost",
    "The log has expired past its last checkpoint, and no peer has the configuration.",
    "If no process is ready, apply the files with --restart.",
)
_GAP = Alarm(
    "configuration_gap",
    "Log records expired before they were read, and no peer has read them; "
    "the configuration in force may be outdated.",
    "If it lasts and no process lacks this alarm, apply the files with --restart.",
)
_NO_CONFIGURATION = Alarm(
    "no_configuration",
    "Neither the log nor a peer has given a configuration yet.",
    "Check that this host reaches the log and the seeds in its settings.",
)
_NOT_UNDERSTOOD = Alarm(
    "configuration_not_understood",
    "",
    "Run the release that the configuration was applied with.",
)
_STALE = Alarm(
    "configuration_stale",
    "Neither the log nor most failure domains were heard lately; "
    "agents grant nothing new.",
    "Restore the network between the failure domains, or the log.",
)
_LOG_UNAVAILABLE = Alarm(
    "configuration_log_unavailable",
    "The configuration log does not answer; no configuration can be applied.",
    "Restore the log; serving goes on with the configuration in force.",
)
_DIFFERING = Alarm(
    "configurations_differ",
    "A process made another configuration from the same log offset.",
    "Run one release everywhere and report it with the state dumps.",
)
