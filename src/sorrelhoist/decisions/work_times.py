"""How long endpoints take for the requests of a route, as this gateway has seen."""

from collections.abc import Iterable

from .decaying_quantile import DecayingQuantile
from .stream_paces import RATIO_AGE_S, WORK_QUANTILE, StreamPaces
from .work import StreamWork, Work

MIN_OBSERVATIONS = 5.0
"""Weight of observations below which the nominal time is a lower bound."""

MIN_STREAMS = 100.0
"""The same for streams of a declared size, of which few need all: 99 in 100 can't be
told from fewer."""


class WorkTimes:
    """Expected times of work by route, from what requests have taken.

    Each observation is the ratio of the time taken to the nominal time, so that short
    and long prompts of a route share one distribution.

    Examples
    --------
    >>> times = WorkTimes()
    >>> times.expected_s(Work("look", 0.3), now_s=0.0)
    0.3
    >>> for number in range(10):
    ...     times.began(f"r{number}", Work("look", 0.3), now_s=0.0)
    ...     times.ended(f"r{number}", is_answered=True, now_s=0.1)
    >>> times.expected_s(Work("look", 0.3), now_s=0.1) < 0.11
    True
    """

    def __init__(self) -> None:
        self._seen: dict[str, DecayingQuantile] = {}
        self._running: dict[str, tuple[Work | StreamWork, float]] = {}
        self._ratios: dict[str, tuple[float, float]] = {}
        self._paces = StreamPaces()

    def began(self, request_id: str, work: Work | StreamWork, now_s: float) -> None:
        """Record that a request was sent to an endpoint."""
        self._running[request_id] = work, now_s
        if isinstance(work, StreamWork):
            self._paces.began(request_id, work, now_s)

    def relayed(self, request_id: str, events: int, now_s: float) -> None:
        """Record events of a stream that arrived together."""
        self._paces.relayed(request_id, events, now_s)

    def ignore_pace(self, request_id: str) -> None:
        """Measure the pace of a stream no more: its engine waits for the caller."""
        self._paces.ignore(request_id)

    def ended(self, request_id: str, is_answered: bool, now_s: float) -> None:
        """Record the end of a request.

        One without an answer would have taken longer: it counts if it has already taken
        longer than expected.
        """
        self._paces.ended(request_id, now_s)
        work, began_s = self._running.pop(request_id, (None, now_s))
        if work is None:
            return
        ratio = (now_s - began_s) / work.nominal_s
        seen = self._seen.setdefault(work.route, DecayingQuantile())
        if is_answered or ratio > (seen.quantile(WORK_QUANTILE, now_s) or 1.0):
            seen.add(ratio, now_s)

    def expected_s(self, work: Work | StreamWork, now_s: float) -> float:
        """Return the time within which the work will most likely have ended.

        Requests that have been running for longer than those that ended count with the
        time so far.
        """
        ratio, computed_s = self._ratios.get(work.route, (0.0, float("-inf")))
        if now_s - computed_s >= RATIO_AGE_S:
            is_sized = isinstance(work, StreamWork)
            min_weight = MIN_STREAMS if is_sized else MIN_OBSERVATIONS
            ratio = self._ratio(work.route, min_weight, now_s)
            self._ratios[work.route] = ratio, now_s
        return ratio * work.nominal_s

    def longest_s(self, work: Work | StreamWork, now_s: float) -> float:
        """Return the time that the work may take if it needs all that it declares.

        Other streams say how fast their engines are, and nothing of its size.
        """
        expected_s = self.expected_s(work, now_s)
        match work:
            case StreamWork():
                return max(expected_s, self._paces.longest_s(work, now_s))
            case Work(longest_s=longest_s):
                return max(expected_s, longest_s)

    def _ratio(self, route: str, min_weight: float, now_s: float) -> float:
        seen = self._seen.get(route) or DecayingQuantile()
        ratio = seen.quantile(WORK_QUANTILE, now_s) or 0.0
        older = [
            (age, 1.0)
            for other, began_s in self._running.values()
            if other.route == route
            and (age := (now_s - began_s) / other.nominal_s) > ratio
        ]
        if older:
            ratio = seen.quantile(WORK_QUANTILE, now_s, older) or ratio
        if seen.weight(now_s) < min_weight:
            ratio = max(1.0, ratio)
        return ratio

    def retain(self, routes: Iterable[str], services: Iterable[str] = ()) -> None:
        """Drop the observations of what is not in the configuration."""
        kept = set(routes)
        self._paces.retain(services)
        self._seen = {name: seen for name, seen in self._seen.items() if name in kept}
        self._ratios.clear()

    def dump(self, now_s: float) -> dict[str, dict[str, float]]:
        """Return the ratios of measured to nominal times by route, as plain data."""
        return {
            route: {
                "weight": round(seen.weight(now_s), 1),
                "ratio": round(seen.quantile(WORK_QUANTILE, now_s) or 0.0, 3),
            }
            for route, seen in self._seen.items()
        }

    def dump_paces(self, now_s: float) -> dict[str, dict[str, float]]:
        """Return the measured paces of streams by service, as plain data."""
        return self._paces.dump(now_s)
