"""Ratios of measured to expected pass times of engines, from their streams.

The load pattern is streams beside others that come and go: prefills and contexts of
others lengthen the passes of an engine while a stream runs.
"""

from collections.abc import Iterable

import attrs

from .decaying_quantile import DecayingQuantile
from .work import SizedWork

WORK_QUANTILE = 0.99
"""Share of the requests that end within the expected time. A request that is cut may be
lost to its caller, while one that is refused is served elsewhere 0.05 s later: a mean
would cut half of those whose expected end is near the limit."""

UNSEEN_PACE = 1.25
"""Pace that stands for passes that weren't seen yet."""

MIN_PASSES = 1000.0
"""Weight of passes below which the rest counts as unseen: a single long pause must not
be taken for the pace of all."""

MIN_FIRST_EVENTS = 200.0
"""The same for first events, of which unseen ones count as in time."""

PACE_BUCKET_GROWTH = 1.02
"""Resolution of measured paces."""

RATIO_AGE_S = 0.05
"""Time for which a computed ratio is used again: many requests may be refused at once
by a gateway that stops."""


@attrs.define(eq=False, repr=False)
class _Stream:
    """A stream that runs, and what it has shown of its engine."""

    work: SizedWork
    began_s: float
    passes: int = 0
    first_event_s: float | None = None
    last_event_s: float = 0.0

    def relayed(self, events: int, now_s: float) -> None:
        if self.first_event_s is None:
            self.first_event_s = now_s
        else:
            self.passes += events
        self.last_event_s = now_s

    def lateness_s(self, now_s: float) -> float:
        """Return by how much its first event was later than expected, or is so far."""
        first_s = now_s if self.first_event_s is None else self.first_event_s
        return max(0.0, first_s - self.began_s - self.work.first_event_s)

    @property
    def pace(self) -> float:
        """Ratio of the measured to the expected time of its passes so far, or 0."""
        if self.first_event_s is None or not self.passes:
            return 0.0
        passes_s = self.last_event_s - self.first_event_s
        return passes_s / self.passes / self.work.pass_s

    def pace_now(self, now_s: float) -> float:
        """Return the same with the pass that runs now, if that is slower."""
        if self.first_event_s is None:
            return 0.0
        passes_s = now_s - self.first_event_s
        return max(self.pace, passes_s / (self.passes + 1) / self.work.pass_s)


@attrs.define(eq=False, repr=False)
class _ServicePaces:
    """What the streams of a service have shown, ended or not."""

    pace: DecayingQuantile = attrs.field(
        factory=lambda: DecayingQuantile(PACE_BUCKET_GROWTH)
    )
    lateness_s: DecayingQuantile = attrs.field(factory=DecayingQuantile)


class StreamPaces:
    """Ratios of measured to expected pass times, and lateness of first events.

    Streams are measured by the time of their passes, which doesn't depend on how much
    of its declared size a stream needs. Each pass has the same weight: long streams
    show more.

    Examples
    --------
    >>> paces = StreamPaces()
    >>> work = SizedWork(
    ...     route="r", service="s", first_event_s=0.2, passes=50, pass_s=0.04
    ... )
    >>> round(paces.longest_s(work, now_s=0.0), 2)  # 0.2 + 50 * 0.04 * 1.25
    2.7
    >>> paces.began("r1", work, now_s=0.0)
    >>> for number in range(301):
    ...     paces.relayed("r1", 1, now_s=0.2 + number * 0.08)
    >>> paces.ended("r1", now_s=25.0)
    >>> 4.2 <= paces.longest_s(work, now_s=25.0) < 4.3
    True
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServicePaces] = {}
        self._running: dict[str, _Stream] = {}
        self._factors: dict[str, tuple[float, float, float]] = {}

    def began(self, request_id: str, work: SizedWork, now_s: float) -> None:
        """Record that a stream was sent to an engine."""
        self._running[request_id] = _Stream(work, now_s)

    def relayed(self, request_id: str, events: int, now_s: float) -> None:
        """Record events that arrived together."""
        stream = self._running.get(request_id)
        if stream is None or not events:
            return
        if stream.first_event_s is None:
            seen = self._services.setdefault(stream.work.service, _ServicePaces())
            seen.lateness_s.add(stream.lateness_s(now_s), now_s)
        stream.relayed(events, now_s)

    def ended(self, request_id: str, now_s: float) -> None:
        """Record the end of a stream, whole or not."""
        stream = self._running.pop(request_id, None)
        if stream is not None and stream.passes:
            seen = self._services.setdefault(stream.work.service, _ServicePaces())
            seen.pace.add(stream.pace, now_s, weight=stream.passes)

    def ignore(self, request_id: str) -> None:
        """Forget a stream."""
        self._running.pop(request_id, None)

    def longest_s(self, work: SizedWork, now_s: float) -> float:
        """Return the time that work may take if it needs all that it declares."""
        pace, lateness_s, computed_s = self._factors.get(
            work.service, (0.0, 0.0, float("-inf"))
        )
        if now_s - computed_s >= RATIO_AGE_S:
            pace, lateness_s = self._measure(work.service, now_s)
            self._factors[work.service] = pace, lateness_s, now_s
        return work.first_event_s + lateness_s + work.passes * work.pass_s * pace

    def _measure(self, service: str, now_s: float) -> tuple[float, float]:
        """Return the pace and the lateness of first events that few streams exceed."""
        seen = self._services.get(service) or _ServicePaces()
        running = [one for one in self._running.values() if one.work.service == service]
        pace = _high_quantile(
            seen.pace,
            [(one.pace_now(now_s), one.passes + 1.0) for one in running],
            (UNSEEN_PACE, MIN_PASSES),
            now_s,
        )
        lateness_s = _high_quantile(
            seen.lateness_s,
            [(one.lateness_s(now_s), 1.0) for one in running],
            (0.0, MIN_FIRST_EVENTS),
            now_s,
        )
        # Events may be quick at first, or come several at once: the costs are the
        # least that a long stream takes.
        return max(1.0, pace), lateness_s

    def retain(self, services: Iterable[str]) -> None:
        """Drop the observations of services that are not in the configuration."""
        kept = set(services)
        self._services = {
            name: seen for name, seen in self._services.items() if name in kept
        }
        self._factors.clear()

    def dump(self, now_s: float) -> dict[str, dict[str, float]]:
        """Return the measured paces by service, as plain data."""
        dumped = {}
        for service, seen in self._services.items():
            pace, lateness_s = self._measure(service, now_s)
            dumped[service] = {
                "passes": round(seen.pace.weight(now_s), 1),
                "pace": round(pace, 3),
                "lateness_s": round(lateness_s, 3),
            }
        return dumped


def _high_quantile(
    seen: DecayingQuantile,
    running: Iterable[tuple[float, float]],
    unseen: tuple[float, float],
    now_s: float,
) -> float:
    """Return the quantile of what was seen, and of what exceeds it already.

    Parameters
    ----------
    seen : DecayingQuantile
    running : iterable of tuple of (float, float)
        Values of what still runs, with their weights.
    unseen : tuple of (float, float)
        Value that stands for what is missing up to a weight.
    now_s : float
    """
    value, weight = unseen
    more = [(value, max(0.0, weight - seen.weight(now_s)))]
    found = seen.quantile(WORK_QUANTILE, now_s, more) or 0.0
    more += [one for one in running if one[0] > found]
    return seen.quantile(WORK_QUANTILE, now_s, more) or 0.0
