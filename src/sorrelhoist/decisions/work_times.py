"""How long endpoints take for the requests of a route, as this gateway has seen."""

import math
from collections.abc import Iterable

import attrs

from .routes import EngineCosts, Route

DECAY_S = 120.0
"""Time in which the weight of an observation falls to 1/e."""

WORK_QUANTILE = 0.99
"""Share of the requests that end within the expected time. A request that is cut may be
lost to its caller, while one that is refused is served elsewhere 0.05 s later: a mean
would cut half of those whose expected end is near the limit."""

MIN_OBSERVATIONS = 5.0
"""Weight of observations below which the nominal time is a lower bound."""

BUCKET_GROWTH = 1.1
"""Ratio of the bounds of a bucket: a quantile is overestimated by less than this."""

RATIO_AGE_S = 0.05
"""Time for which a computed ratio is used again: many requests may be refused at once
by a gateway that stops."""

MAX_EXPONENT = 60.0
"""Largest exponent of a weight, after which all weights are scaled down."""

MIN_NOMINAL_S = 0.001

_LOG_GROWTH = math.log(BUCKET_GROWTH)
_MIN_RATIO = 1e-5


@attrs.frozen
class Work:
    """Work of one request at an endpoint.

    Parameters
    ----------
    route : str
    nominal_s : float
        Time that it takes by the cost model or the configuration, unmeasured.
    declared_s : float
        Time that it may take by the size that it declares, 0 if it declares none. Other
        requests say nothing about it: most answers are far shorter than their callers
        allow.
    """

    route: str
    nominal_s: float
    declared_s: float = 0.0


def nominal_work(
    route: Route,
    costs: EngineCosts | None,
    prompt_tokens: int,
    output_tokens: int,
    first_event_s: float | None = None,
) -> Work:
    """Return the work of a request by the configuration.

    The objective of a call is the time that it should take. That of a stream ends with
    its first event: only its timeout bounds the rest.

    Parameters
    ----------
    route : Route
    costs : EngineCosts or None
    prompt_tokens, output_tokens : int
    first_event_s : float, optional
        Expected time to the first event by its placement.

    Examples
    --------
    >>> from .routes import Repeat
    >>> call = Route(name="look", host="h", path_prefix="/", targets=(),
    ...              repeat=Repeat.REPEATABLE, objective_s=0.3)
    >>> nominal_work(call, None, 0, 0)
    Work(route='look', nominal_s=0.3, declared_s=0.0)
    """
    if costs is not None and prompt_tokens:
        batch_ms = costs.per_stream_ms * costs.max_running
        decode_s = output_tokens * (costs.step_ms + batch_ms) / 1000
        read_s = costs.read_ms(prompt_tokens) / 1000
        work_s = max(read_s, first_event_s or 0.0) + decode_s
        return Work(route.name, work_s, declared_s=work_s)
    nominal_s = route.timeout_s if route.is_stream else route.objective_s
    return Work(route.name, max(nominal_s, MIN_NOMINAL_S))


class DecayingQuantile:
    """Quantiles of observations whose weight decays with their age.

    Examples
    --------
    >>> seen = DecayingQuantile()
    >>> for _ in range(99):
    ...     seen.add(1.0, now_s=0.0)
    >>> seen.add(50.0, now_s=0.0)
    >>> 1.0 <= seen.quantile(0.9, now_s=0.0) < 1.1
    True
    >>> round(seen.weight(now_s=120.0))
    37
    """

    def __init__(self) -> None:
        self._weights: dict[int, float] = {}
        self._since_s: float | None = None

    def add(self, value: float, now_s: float) -> None:
        """Add an observation with weight 1."""
        if self._since_s is None:
            self._since_s = now_s
        exponent = (now_s - self._since_s) / DECAY_S
        if exponent > MAX_EXPONENT:
            self._weights = {
                bucket: scaled
                for bucket, weight in self._weights.items()
                if (scaled := weight * math.exp(-exponent)) > 0.0
            }
            self._since_s, exponent = now_s, 0.0
        bucket = math.ceil(math.log(max(value, _MIN_RATIO)) / _LOG_GROWTH)
        self._weights[bucket] = self._weights.get(bucket, 0.0) + math.exp(exponent)

    def weight(self, now_s: float) -> float:
        """Return the weight of all observations."""
        return sum(self._weights.values()) * self._scale(now_s)

    def quantile(
        self, share: float, now_s: float, more: Iterable[float] = ()
    ) -> float | None:
        """Return the value below which a share of the weight lies; None without any.

        Parameters
        ----------
        share : float
        now_s : float
        more : iterable of float
            Values that count besides, each with weight 1.
        """
        scale = self._scale(now_s)
        weighted = [
            (BUCKET_GROWTH**bucket, weight * scale)
            for bucket, weight in self._weights.items()
        ]
        weighted += [(value, 1.0) for value in more]
        if not weighted:
            return None
        weighted.sort()
        left = share * sum(weight for _, weight in weighted)
        for value, weight in weighted:
            left -= weight
            if left < 0.0:
                return value
        return weighted[-1][0]

    def _scale(self, now_s: float) -> float:
        if self._since_s is None:
            return 0.0
        return math.exp(-(now_s - self._since_s) / DECAY_S)


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
        self._running: dict[str, tuple[Work, float]] = {}
        self._ratios: dict[str, tuple[float, float]] = {}

    def began(self, request_id: str, work: Work, now_s: float) -> None:
        """Record that a request was sent to an endpoint."""
        self._running[request_id] = work, now_s

    def ended(self, request_id: str, is_answered: bool, now_s: float) -> None:
        """Record the end of a request.

        One without an answer would have taken longer: it counts if it has already taken
        longer than expected.
        """
        work, began_s = self._running.pop(request_id, (None, now_s))
        if work is None:
            return
        ratio = (now_s - began_s) / work.nominal_s
        seen = self._seen.setdefault(work.route, DecayingQuantile())
        if is_answered or ratio > (seen.quantile(WORK_QUANTILE, now_s) or 1.0):
            seen.add(ratio, now_s)

    def expected_s(self, work: Work, now_s: float) -> float:
        """Return the time within which the work will most likely have ended.

        Requests that have been running for longer than those that ended count with the
        time so far. It is never less than what the request declares.
        """
        ratio, computed_s = self._ratios.get(work.route, (0.0, float("-inf")))
        if now_s - computed_s >= RATIO_AGE_S:
            ratio = self._ratio(work.route, now_s)
            self._ratios[work.route] = ratio, now_s
        return max(ratio * work.nominal_s, work.declared_s)

    def _ratio(self, route: str, now_s: float) -> float:
        seen = self._seen.get(route) or DecayingQuantile()
        ratio = seen.quantile(WORK_QUANTILE, now_s) or 0.0
        older = [
            age
            for other, began_s in self._running.values()
            if other.route == route
            and (age := (now_s - began_s) / other.nominal_s) > ratio
        ]
        if older:
            ratio = seen.quantile(WORK_QUANTILE, now_s, older) or ratio
        if seen.weight(now_s) < MIN_OBSERVATIONS:
            ratio = max(1.0, ratio)
        return ratio

    def retain(self, routes: Iterable[str]) -> None:
        """Drop the observations of routes that are not in the configuration."""
        kept = set(routes)
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
