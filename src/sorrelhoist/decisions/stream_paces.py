"""Ratios of measured to expected pass times of engines, from their streams.

The load pattern is streams beside others that come and go: prefills and contexts of
others lengthen the passes of an engine while a stream runs. What is placed on an engine
while it reads a prompt delays the first event, a long prompt by more than a short one.
"""

import math
from collections.abc import Iterable
from typing import Any

import attrs

from .decaying_quantile import DecayingQuantile
from .work import SizedWork

WORK_QUANTILE = 0.99
"""Share of the requests that end within the expected time. A request that is cut may be
lost to its caller, while one that is refused is served elsewhere 0.05 s later: a mean
would cut half of those whose expected end is near the limit."""

UNSEEN_PACE, UNSEEN_LOOSE_PACE = 1.25, 2.0
"""Paces that stand for passes that weren't seen yet, of tight streams and of others.
Long prompts are read beside the others: an engine that reads half of the time takes
twice as long for its passes."""

MIN_PASSES = 1000.0
"""Weight of passes below which the rest counts as unseen: a single long pause must not
be taken for the pace of all."""

MIN_FIRST_EVENTS = 200.0
"""The same for first events of prompts of similar or smaller size."""

UNSEEN_LATENESS = 1.0
"""Lateness that stands for first events that weren't seen yet, as a multiple of the
time for which their prompt is read: an engine that reads another one beside it takes
twice as long."""

SIZE_GROWTH = 4.0
"""Ratio of the reading times within which prompts are of similar size."""

MIN_READ_S = 0.001
"""Reading time below which prompts are of one size."""

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
    def size_class(self) -> int:
        return _size_class(self.work)

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
    """What the streams of a service have shown, ended or not.

    Parameters
    ----------
    pace : dict of bool to DecayingQuantile
        Paces by whether the streams are tight.
    lateness_s : dict of int to DecayingQuantile
        Lateness of first events by the class of size of their prompts.
    """

    pace: dict[bool, DecayingQuantile] = attrs.field(factory=dict)
    lateness_s: dict[int, DecayingQuantile] = attrs.field(factory=dict)


@attrs.frozen
class _Lateness:
    """Lateness that few first events exceed, and whether enough were seen to tell."""

    high_s: float
    is_known: bool


class StreamPaces:
    """Ratios of measured to expected pass times, and lateness of first events.

    Streams are measured by the time of their passes, which doesn't depend on how much
    of its declared size a stream needs. Each pass has the same weight: long streams
    show more. Tight streams and others are measured by themselves. The first event of
    a prompt may be as late as those of similar or smaller prompts; larger ones, which
    are later, say nothing of it.

    Examples
    --------
    >>> paces = StreamPaces()
    >>> work = SizedWork(
    ...     route="r", service="s", first_event_s=0.2, passes=50, pass_s=0.04,
    ...     read_s=0.1,
    ... )
    >>> round(paces.longest_s(work, now_s=0.0), 2)  # 0.2 + 0.1 + 50 * 0.04 * 1.25
    2.8
    >>> paces.began("r1", work, now_s=0.0)
    >>> for number in range(301):
    ...     paces.relayed("r1", 1, now_s=0.2 + number * 0.08)
    >>> paces.ended("r1", now_s=25.0)
    >>> 4.3 <= paces.longest_s(work, now_s=25.0) < 4.4
    True
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServicePaces] = {}
        self._running: dict[str, _Stream] = {}
        self._paces: dict[tuple[str, bool], tuple[float, float]] = {}
        self._latenesses: dict[tuple[str, int], tuple[_Lateness, float]] = {}

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
            lateness_s = seen.lateness_s.setdefault(
                stream.size_class, DecayingQuantile()
            )
            lateness_s.add(stream.lateness_s(now_s), now_s)
        stream.relayed(events, now_s)

    def ended(self, request_id: str, now_s: float) -> None:
        """Record the end of a stream, whole or not."""
        stream = self._running.pop(request_id, None)
        if stream is not None and stream.passes:
            seen = self._services.setdefault(stream.work.service, _ServicePaces())
            pace = seen.pace.setdefault(stream.work.is_tight, _pace_quantile())
            pace.add(stream.pace, now_s, weight=stream.passes)

    def ignore(self, request_id: str) -> None:
        """Forget a stream."""
        self._running.pop(request_id, None)

    def longest_s(self, work: SizedWork, now_s: float) -> float:
        """Return the time that work may take if it needs all that it declares."""
        first_event_s = self.longest_first_event_s(work, now_s)
        return first_event_s + work.passes * work.pass_s * self._pace(work, now_s)

    def longest_first_event_s(self, work: SizedWork, now_s: float) -> float:
        """Return the time that the first event of the work may take."""
        lateness = self._lateness(work, now_s)
        least_s = 0.0 if lateness.is_known else UNSEEN_LATENESS * work.read_s
        return work.first_event_s + max(lateness.high_s, least_s)

    def _pace(self, work: SizedWork, now_s: float) -> float:
        key = work.service, work.is_tight
        pace, computed_s = self._paces.get(key, (0.0, float("-inf")))
        if now_s - computed_s >= RATIO_AGE_S:
            pace = self._measure_pace(*key, now_s)
            self._paces[key] = pace, now_s
        return pace

    def _lateness(self, work: SizedWork, now_s: float) -> _Lateness:
        key = work.service, _size_class(work)
        lateness, computed_s = self._latenesses.get(
            key, (_Lateness(0.0, False), float("-inf"))
        )
        if now_s - computed_s >= RATIO_AGE_S:
            lateness = self._measure_lateness(*key, now_s)
            self._latenesses[key] = lateness, now_s
        return lateness

    def _measure_pace(self, service: str, is_tight: bool, now_s: float) -> float:
        """Return the pace that few passes exceed."""
        seen = self._services.get(service) or _ServicePaces()
        pace = _high_quantile(
            seen.pace.get(is_tight) or _pace_quantile(),
            [
                (one.pace_now(now_s), one.passes + 1.0)
                for one in self._running_of(service)
                if one.work.is_tight == is_tight
            ],
            (UNSEEN_PACE if is_tight else UNSEEN_LOOSE_PACE, MIN_PASSES),
            now_s,
        )
        # Events may be quick at first, or come several at once: the costs are the
        # least that a long stream takes.
        return max(1.0, pace)

    def _measure_lateness(
        self, service: str, size_class: int, now_s: float
    ) -> _Lateness:
        """Return the lateness of first events of prompts up to a class of size."""
        seen = self._services.get(service) or _ServicePaces()
        running: dict[int, list[tuple[float, float]]] = {}
        for one in self._running_of(service):
            if one.first_event_s is None:
                running.setdefault(one.size_class, []).append(
                    (one.lateness_s(now_s), 1.0)
                )
        high_s = [
            _high_quantile(
                seen.lateness_s.get(other) or DecayingQuantile(),
                running.get(other, ()),
                (0.0, MIN_FIRST_EVENTS),
                now_s,
            )
            for other in {*seen.lateness_s, *running}
            if other <= size_class
        ]
        own = seen.lateness_s.get(size_class)
        is_known = own is not None and own.weight(now_s) >= MIN_FIRST_EVENTS
        return _Lateness(max(high_s, default=0.0), is_known)

    def _running_of(self, service: str) -> list[_Stream]:
        """Return the streams of a service that still run."""
        return [one for one in self._running.values() if one.work.service == service]

    def retain(self, services: Iterable[str]) -> None:
        """Drop the observations of services that are not in the configuration."""
        kept = set(services)
        self._services = {
            name: seen for name, seen in self._services.items() if name in kept
        }
        self._paces.clear()
        self._latenesses.clear()

    def dump(self, now_s: float) -> dict[str, dict[str, Any]]:
        """Return the measured paces by service, as plain data."""
        return {
            service: {
                "passes": [
                    {
                        "is_tight": is_tight,
                        "weight": round(pace.weight(now_s), 1),
                        "pace": round(self._measure_pace(service, is_tight, now_s), 3),
                    }
                    for is_tight, pace in seen.pace.items()
                ],
                "first_events": [
                    {
                        "read_s": round(SIZE_GROWTH**size_class, 4),
                        "weight": round(seen.lateness_s[size_class].weight(now_s), 1),
                        "lateness_s": round(
                            self._measure_lateness(service, size_class, now_s).high_s, 3
                        ),
                    }
                    for size_class in sorted(seen.lateness_s)
                ],
            }
            for service, seen in self._services.items()
        }


def _pace_quantile() -> DecayingQuantile:
    return DecayingQuantile(PACE_BUCKET_GROWTH)


def _size_class(work: SizedWork) -> int:
    """Return the class of size of a prompt: larger ones have larger numbers."""
    return math.floor(math.log(max(work.read_s, MIN_READ_S), SIZE_GROWTH))


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
