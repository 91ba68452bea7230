"""Whether a gateway is short of processor, link or memory, and may say so.

The load pattern is a fleet of unequal gateways: the load balancer sends each the same,
and the smallest fall behind while others have capacity to spare.
"""

import enum
import math

import attrs

from ..placement.load_tracker import PEER_REPORT_TTL_S

MAX_LOOP_DELAY_S = 0.1
"""Delay of the event loop at which no processor time is left: a request and its first
event pass it several times, within an objective of 300 ms."""

MAX_SEND_DELAY_S = 0.25
"""Time to send what waits at which no bandwidth is left: the shortest pauses between
two events."""

SHORT_BELOW, SOUND_FROM = 0.1, 0.4
"""Headroom below which a gateway becomes short, and from which it recovers."""

SUSTAINED_S = 1.5
MIN_SAMPLES = 8
"""The headroom must be low for this time, and in this many samples in a row. A start-up
of a second or a pause for garbage collection delays one or two samples."""

RECOVERY_S = 2.0
"""Time for which the headroom must be sufficient again: two readiness probes."""

MAX_WITHDRAWN_SHARE = 1 / 3
"""Largest share of the known gateways that is not ready for lack of resources."""

KNOWN_SHARE = 0.8
"""Part of this share that is used, but one gateway at least. Some gateways have not
heard how little the others have left, if reports are lost or late, and count
themselves in."""

FRESH_S = 1.0
"""Age of a report from which its sender is taken to have less headroom than this
gateway: longer than the interval between two reports of 300 gateways."""

KNOWN_S = 3 * PEER_REPORT_TTL_S
"""Time for which a gateway that isn't heard counts as withdrawn, so that the others
don't withdraw beside those that are cut off; and from the first report, time until all
gateways are known, before which this one doesn't withdraw."""

PERCENT = 100
EPSILON = 1e-9


class Resource(enum.Enum):
    """A resource that a gateway may be short of."""

    PROCESSOR = "processor"
    LINK = "link"
    MEMORY = "memory"


@attrs.frozen(kw_only=True)
class ResourceSample:
    """One observation of the resources of this process.

    Parameters
    ----------
    loop_delay_s : float
        By how much a timer of the event loop was late.
    unsent_bytes : tuple of int
        Bytes that wait to be sent, for each connection.
    link_bytes_per_s : float or None
    memory_headroom : float or None
        Unused share of the memory budget; None if there is none.
    """

    loop_delay_s: float = 0.0
    unsent_bytes: tuple[int, ...] = ()
    link_bytes_per_s: float | None = None
    memory_headroom: float | None = None

    def headrooms(self) -> dict[Resource, float]:
        """Return the unused share of each resource that is known."""
        found = {Resource.PROCESSOR: 1 - self.loop_delay_s / MAX_LOOP_DELAY_S}
        if self.link_bytes_per_s and self.unsent_bytes:
            # What waits for one slow caller says nothing about the link, so that each
            # connection counts up to an equal part.
            limit = self.link_bytes_per_s * MAX_SEND_DELAY_S
            part = limit / len(self.unsent_bytes)
            waiting = sum(min(unsent, part) for unsent in self.unsent_bytes)
            found[Resource.LINK] = 1 - waiting / limit
        if self.memory_headroom is not None:
            found[Resource.MEMORY] = self.memory_headroom
        return {resource: max(0.0, share) for resource, share in found.items()}


@attrs.define(eq=False, repr=False)
class GatewayHealth:
    """Shortage of this gateway, with hysteresis.

    Examples
    --------
    >>> health = GatewayHealth()
    >>> for tenth in range(20):
    ...     health.observe(ResourceSample(loop_delay_s=0.2), now_s=tenth / 10)
    >>> health.is_short, health.scarcest
    (True, <Resource.PROCESSOR: 'processor'>)
    """

    headroom: float = 1.0
    scarcest: Resource | None = None
    is_short: bool = False
    _since_s: float | None = None
    _samples: int = 0

    def observe(self, sample: ResourceSample, now_s: float) -> None:
        """Record a sample."""
        headrooms = sample.headrooms()
        self.scarcest = min(headrooms, key=lambda resource: headrooms[resource])
        self.headroom = headrooms[self.scarcest]
        # A change of state needs an unbroken run of samples for it.
        if self.is_short:
            is_for_change = self.headroom >= SOUND_FROM
        else:
            is_for_change = self.headroom < SHORT_BELOW
        if not is_for_change:
            self._since_s, self._samples = None, 0
            return
        if self._since_s is None:
            self._since_s = now_s
        self._samples += 1
        needed_s = RECOVERY_S if self.is_short else SUSTAINED_S
        if now_s - self._since_s >= needed_s and self._samples >= MIN_SAMPLES:
            self.is_short = not self.is_short
            self._since_s, self._samples = None, 0


@attrs.frozen
class _Reported:
    percent: int | None
    heard_s: float

    def goes_before(self, name: str, own: tuple[int, str], now_s: float) -> bool:
        """Return whether this gateway may be withdrawn, with less headroom than own."""
        if self.percent is None:
            return False
        is_unknown = now_s - self.heard_s > FRESH_S
        return is_unknown or (self.percent, name) < own


class FleetHeadroom:
    """Headroom that the other gateways reported, and who may be not ready.

    A gateway of a former build reports none, and never withdraws.

    Examples
    --------
    >>> fleet = FleetHeadroom()
    >>> for time_s in (1.0, 8.0):
    ...     fleet.peer_reported("b", 80, time_s)
    ...     fleet.peer_reported("c", None, time_s)
    >>> fleet.may_withdraw("a", 5, now_s=8.5)
    True
    >>> fleet.peer_reported("b", 2, now_s=8.6)
    >>> fleet.may_withdraw("a", 5, now_s=8.7)
    False
    """

    def __init__(self) -> None:
        self._reported: dict[str, _Reported] = {}
        self._first_s = float("inf")

    def peer_reported(self, node_id: str, percent: int | None, now_s: float) -> None:
        """Record the headroom in a report."""
        self._first_s = min(self._first_s, now_s)
        known = None if percent is None else min(max(percent, 0), PERCENT)
        self._reported[node_id] = _Reported(known, now_s)

    def may_withdraw(self, node_id: str, percent: int, now_s: float) -> bool:
        """Return whether this gateway is among the third with the least headroom."""
        if now_s - self._first_s < KNOWN_S:
            return False
        self._reported = {
            name: reported
            for name, reported in self._reported.items()
            if now_s - reported.heard_s < KNOWN_S
        }
        most = math.floor((len(self._reported) + 1) * MAX_WITHDRAWN_SHARE + EPSILON)
        allowed = max(min(most, 1), math.floor(most * KNOWN_SHARE))
        own = (percent, node_id)
        before = sum(
            reported.goes_before(name, own, now_s)
            for name, reported in self._reported.items()
        )
        return before < allowed
