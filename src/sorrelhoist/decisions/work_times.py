"""How long endpoints take for the requests of a route, as this gateway has seen."""

from collections.abc import Iterable
from typing import Any

from .decaying_quantile import DecayingQuantile
from .stream_paces import RATIO_AGE_S, WORK_QUANTILE, StreamPaces
from .work import SizedWork, Work

MIN_OBSERVATIONS = 5.0
"""Weight of observations below which the nominal time is a lower bound."""

MIN_FOR_QUANTILE = 100.0
"""The same for requests of a declared size, of which few need all, and for those that
must not be cut: 99 in 100 can't be told from fewer."""


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
        # By the route, and whether the requests declare a size.
        self._seen: dict[tuple[str, bool], DecayingQuantile] = {}
        self._running: dict[str, tuple[Work | SizedWork, float]] = {}
        self._ratios: dict[tuple[str, bool], tuple[float, float]] = {}
        self._paces = StreamPaces()

    def began(self, request_id: str, work: Work | SizedWork, now_s: float) -> None:
        """Record that a request was sent to an endpoint."""
        self._running[request_id] = work, now_s
        if isinstance(work, SizedWork) and work.is_stream:
            self._paces.began(request_id, work, now_s)

    def relayed(self, request_id: str, events: int, now_s: float) -> None:
        """Record events of a stream that arrived together."""
        self._paces.relayed(request_id, events, now_s)

    def ignore(self, request_id: str) -> None:
        """Measure a request no more: its endpoint waits for the caller."""
        self._running.pop(request_id, None)
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
        seen = self._seen.setdefault(_key(work), DecayingQuantile())
        if is_answered or ratio > (seen.quantile(WORK_QUANTILE, now_s) or 1.0):
            seen.add(ratio, now_s)

    def expected_s(self, work: Work | SizedWork, now_s: float) -> float:
        """Return the time within which the work will most likely have ended.

        Requests that have been running for longer than those that ended count with the
        time so far.
        """
        key = _key(work)
        ratio, computed_s = self._ratios.get(key, (0.0, float("-inf")))
        if now_s - computed_s >= RATIO_AGE_S:
            ratio = self._ratio(key, now_s)
            self._ratios[key] = ratio, now_s
        return ratio * work.nominal_s

    def longest_s(self, work: Work | SizedWork, now_s: float) -> float:
        """Return the time that the work may take if it needs all that it declares.

        Other streams say how fast their engines are, and nothing of its size.
        """
        expected_s = self.expected_s(work, now_s)
        match work:
            case SizedWork():
                return max(expected_s, self._paces.longest_s(work, now_s))
            case Work(nominal_s=nominal_s, longest_s=longest_s):
                seen = self._seen.get(_key(work)) or DecayingQuantile()
                is_known = seen.weight(now_s) >= MIN_FOR_QUANTILE
                return max(expected_s, longest_s, 0.0 if is_known else nominal_s)

    def longest_first_event_s(self, work: Work | SizedWork, now_s: float) -> float:
        """Return the time that the first event may take; 0 if that isn't known."""
        match work:
            case SizedWork(is_stream=True):
                return self._paces.longest_first_event_s(work, now_s)
            case _:
                return 0.0

    def _ratio(self, key: tuple[str, bool], now_s: float) -> float:
        seen = self._seen.get(key) or DecayingQuantile()
        ratio = seen.quantile(WORK_QUANTILE, now_s) or 0.0
        older = [
            (age, 1.0)
            for other, began_s in self._running.values()
            if _key(other) == key
            and (age := (now_s - began_s) / other.nominal_s) > ratio
        ]
        if older:
            ratio = seen.quantile(WORK_QUANTILE, now_s, older) or ratio
        _, is_sized = key
        if seen.weight(now_s) < (MIN_FOR_QUANTILE if is_sized else MIN_OBSERVATIONS):
            ratio = max(1.0, ratio)
        return ratio

    def retain(self, routes: Iterable[str], services: Iterable[str] = ()) -> None:
        """Drop the observations of what is not in the configuration."""
        kept = set(routes)
        self._paces.retain(services)
        self._seen = {key: seen for key, seen in self._seen.items() if key[0] in kept}
        self._ratios.clear()

    def dump(self, now_s: float) -> dict[str, dict[str, float]]:
        """Return the ratios of measured to nominal times by route, as plain data."""
        return {
            f"{route} (sized)" if is_sized else route: {
                "weight": round(seen.weight(now_s), 1),
                "ratio": round(seen.quantile(WORK_QUANTILE, now_s) or 0.0, 3),
            }
            for (route, is_sized), seen in self._seen.items()
        }

    def dump_paces(self, now_s: float) -> dict[str, dict[str, Any]]:
        """Return the measured paces of streams by service, as plain data."""
        return self._paces.dump(now_s)


def _key(work: Work | SizedWork) -> tuple[str, bool]:
    """Return what requests have in common whose times are compared."""
    return work.route, isinstance(work, SizedWork)
