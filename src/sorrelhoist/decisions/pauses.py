"""Pauses that endpoints ask this gateway for when they turn requests away.

A pause is back-pressure, not a failure: the endpoint counts as full until it ends. The
load pattern is an endpoint under more load than it bears, to which all gateways would
otherwise come back as soon as it has turned them away.
"""

import random
from collections.abc import Iterable

import attrs

from .directory import Endpoint

MAX_PAUSE_S = 600.0
"""Longer pauses are cut to this, so that a mistaken value doesn't last for ever."""

RETURN_JITTER = 0.25
"""Largest extension of a pause, as a share of it: gateways that were turned away
together don't come back together."""


@attrs.frozen
class _Pause:
    born_ms: int
    until_s: float


class EndpointPauses:
    """Pauses by endpoint; one ends early if the endpoint starts again.

    Examples
    --------
    >>> place = {"address": "10.0.0.1:80", "failure_domain": "a"}
    >>> endpoint = Endpoint(endpoint_id="i-1", service="app", capacity=1, **place)
    >>> pauses = EndpointPauses()
    >>> until_s = pauses.pause(endpoint, 2.0, random.Random(1), now_s=10.0)
    >>> pauses.is_paused(endpoint, now_s=11.0), pauses.is_paused(endpoint, until_s)
    (True, False)
    """

    def __init__(self) -> None:
        self._pauses: dict[str, _Pause] = {}

    def pause(
        self, endpoint: Endpoint, pause_s: float, rng: random.Random, now_s: float
    ) -> float:
        """Record that an endpoint asked for a pause; return when it ends.

        A shorter pause doesn't end a longer one: answers may overtake each other.
        """
        self._drop_ended(now_s)
        jitter = 1.0 + rng.uniform(0.0, RETURN_JITTER)
        until_s = now_s + min(pause_s, MAX_PAUSE_S) * jitter
        known = self._pauses.get(endpoint.endpoint_id)
        if known is not None and known.born_ms == endpoint.born_ms:
            until_s = max(until_s, known.until_s)
        self._pauses[endpoint.endpoint_id] = _Pause(endpoint.born_ms, until_s)
        return until_s

    def is_paused(self, endpoint: Endpoint, now_s: float) -> bool:
        """Return whether an endpoint must get nothing now."""
        pause = self._pauses.get(endpoint.endpoint_id)
        return (
            pause is not None
            and pause.born_ms == endpoint.born_ms
            and now_s < pause.until_s
        )

    def left_s(self, endpoints: Iterable[Endpoint], now_s: float) -> float | None:
        """Return the time until the first of some endpoints may get work again.

        Returns
        -------
        float or None
            None if any of them may get work now, or there are none.
        """
        endpoints = list(endpoints)
        if not endpoints or not all(self.is_paused(one, now_s) for one in endpoints):
            return None
        ends_s = [self._pauses[one.endpoint_id].until_s for one in endpoints]
        return min(ends_s) - now_s

    def dump(self, now_s: float) -> dict[str, float]:
        """Return the time left of each pause as plain data."""
        self._drop_ended(now_s)
        return {key: pause.until_s - now_s for key, pause in self._pauses.items()}

    def _drop_ended(self, now_s: float) -> None:
        self._pauses = {
            key: pause for key, pause in self._pauses.items() if now_s < pause.until_s
        }
