"""What endpoints say of themselves in the headers of their answers."""

import math
from collections.abc import Mapping

import attrs

LIFTED_REPORT_S = 10.0
"""Time for which peers are told that an endpoint names no limit any more: many report
intervals."""

MAX_REPORTED = 32
"""Largest number of limits in one report; the least recently reported go first."""

MAX_REQUESTS_PER_S = 1e6
"""Higher limits are taken for garbled ones."""


@attrs.frozen(kw_only=True)
class EndpointNotice:
    """What one answer says of the endpoint that gave it.

    Parameters
    ----------
    limit_per_s : float or None
        Requests a second that it takes from all gateways together, if it names a limit.
    is_leaving : bool
        Whether it is about to leave and takes no new requests.
    pause_s : float or None
        Time for which it wants no requests from this gateway, if it asks for a pause.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None


@attrs.define(eq=False, repr=False)
class NamedLimit:
    """The limit of an endpoint according to its newest known answer.

    Parameters
    ----------
    requests_per_s : float or None
        None if that answer named no limit, after an earlier one that did.
    named_s : float
        Time of that answer.
    is_own : bool
        Whether this gateway received that answer itself.
    reported_s : float
        Time when it was last reported to the peers.
    """

    requests_per_s: float | None
    named_s: float
    is_own: bool = True
    reported_s: float = float("-inf")


class NamedLimits:
    """Limits that endpoints named in their answers; the newest answer counts.

    Examples
    --------
    >>> limits = NamedLimits()
    >>> limits.observe("i-1", None, now_s=1.0), limits.observe("i-1", 2.5, now_s=2.0)
    (False, True)
    >>> limits.requests_per_s("i-1"), limits.requests_per_s("i-2")
    (2.5, None)
    >>> limits.observe("i-1", None, now_s=3.0), limits.requests_per_s("i-1")
    (True, None)
    """

    def __init__(self) -> None:
        self._limits: dict[str, NamedLimit] = {}

    def observe(
        self,
        endpoint_id: str,
        requests_per_s: float | None,
        now_s: float,
        is_own: bool = True,
    ) -> bool:
        """Record what an answer says; return whether this changes the limit.

        Parameters
        ----------
        endpoint_id : str
        requests_per_s : float or None
            None if the answer names no limit.
        now_s : float
            Time of the answer, which may be older than one already recorded.
        is_own : bool
            Whether this gateway received the answer itself. Others aren't reported:
            each hop adds its delay, and an old answer would look newer than it is.
        """
        known = self._limits.get(endpoint_id)
        if known is None and requests_per_s is None:
            return False
        if known is not None and now_s < known.named_s:
            return False
        reported_s = known.reported_s if known else float("-inf")
        self._limits[endpoint_id] = NamedLimit(
            requests_per_s, now_s, is_own, reported_s
        )
        return known is None or known.requests_per_s != requests_per_s

    def requests_per_s(self, endpoint_id: str) -> float | None:
        """Return the limit of an endpoint, or None if it has none."""
        known = self._limits.get(endpoint_id)
        return known.requests_per_s if known else None

    def limited(self) -> Mapping[str, float]:
        """Return the limits in force by endpoint."""
        return {
            endpoint_id: limit.requests_per_s
            for endpoint_id, limit in self._limits.items()
            if limit.requests_per_s is not None
        }

    def to_report(self, now_s: float) -> dict[str, NamedLimit]:
        """Select the limits for a report to the peers, and mark them as reported."""
        own = {
            endpoint_id: limit
            for endpoint_id, limit in self._limits.items()
            if limit.is_own
            and (
                limit.requests_per_s is not None
                or now_s - limit.named_s < LIFTED_REPORT_S
            )
        }
        chosen = sorted(own, key=lambda key: own[key].reported_s)[:MAX_REPORTED]
        for endpoint_id in chosen:
            own[endpoint_id].reported_s = now_s
        return {endpoint_id: own[endpoint_id] for endpoint_id in chosen}

    def retain(self, endpoint_ids: set[str]) -> None:
        """Forget all other endpoints."""
        self._limits = {
            key: limit for key, limit in self._limits.items() if key in endpoint_ids
        }

    def dump(self, now_s: float) -> dict:
        """Return the state as plain data."""
        return {
            endpoint_id: {
                "requests_per_s": limit.requests_per_s,
                "age_s": now_s - limit.named_s,
            }
            for endpoint_id, limit in self._limits.items()
        }


def valid_rate(value: float) -> bool:
    """Return whether a number can be a limit of requests a second.

    Examples
    --------
    >>> [valid_rate(value) for value in (0.0, 0.5, -1.0, float("nan"), 1e9)]
    [True, True, False, False, False]
    """
    return math.isfinite(value) and 0.0 <= value <= MAX_REQUESTS_PER_S
