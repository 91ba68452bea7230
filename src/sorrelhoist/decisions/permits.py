"""Permits to send requests to an endpoint whose rate is limited over all gateways.

A share of the rate for each gateway doesn't bound the sum: no share is smaller than one
request, so the sum grows with the fleet. Instead one gateway, chosen by rendezvous
hashing, issues all permits of an endpoint from one token bucket. A gateway places a
request on the endpoint only with a permit; one that isn't used soon lapses.

The load pattern is an endpoint that bears few requests while it looks idle to each
gateway: one that named a limit, or one in a cold start, which fails under more.
"""

import itertools
from collections.abc import Iterable

import attrs

from .rendezvous import first

TARGET_UTILISATION = 0.7
"""Share of the rate that is issued. Two issuers, as after a partition of the network,
stay below one and a half times the rate together."""

BUCKET_S = 0.25
"""Time over which unused permits accumulate."""

MIN_RATE_PER_S = 0.25
"""Lowest rate at which permits are issued: an answer must arrive now and then to tell
that the limit has ended."""

ASK_TTL_S = 0.5
"""Time for which an ask waits at the issuer, and for which its grant is accepted."""

ASK_INTERVAL_S = 0.2
"""Shortest interval between two asks of a gateway for the same endpoint."""

PERMIT_TTL_S = 1.0
"""Time for which a permit may be used: a gateway with little traffic uses it for its
next request."""

MAX_PERMITS_PER_ASK = 16
"""Largest number of permits that one ask is for."""


def issuer(endpoint_id: str, node_ids: Iterable[str]) -> str | None:
    """Choose the gateway that issues the permits of an endpoint.

    Parameters
    ----------
    endpoint_id : str
    node_ids : iterable of str
        Ids of the live gateways that issue permits.

    Returns
    -------
    str or None
        Equal in all processes that know the same gateways; None without any.
    """
    return first(f"permits {endpoint_id}", node_ids)


@attrs.frozen(kw_only=True)
class Ask:
    """A gateway's ask for permits of one endpoint.

    Parameters
    ----------
    node_id : str
    ask_id : int
    endpoint_id : str
    permits : int
    requests_per_s : float
        Rate that the endpoint takes from all gateways together.
    """

    node_id: str
    ask_id: int
    endpoint_id: str
    permits: int
    requests_per_s: float


@attrs.frozen(kw_only=True)
class Grant:
    """Permits issued in reply to an ask; only the ask's sender may use them."""

    node_id: str
    ask_id: int
    endpoint_id: str
    permits: int


@attrs.define(eq=False, repr=False)
class _Bucket:
    rate_per_s: float
    updated_s: float
    tokens: float
    asks: dict[str, tuple[Ask, float]] = attrs.field(factory=dict)

    def refill(self, now_s: float) -> None:
        capacity = max(1.0, self.rate_per_s * BUCKET_S)
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.tokens = min(capacity, self.tokens + elapsed_s * self.rate_per_s)
        self.updated_s = now_s

    def drop_expired(self, now_s: float) -> None:
        self.asks = {
            node_id: (ask, asked_s)
            for node_id, (ask, asked_s) in self.asks.items()
            if now_s - asked_s < ASK_TTL_S
        }


class PermitIssuer:
    """Issues the permits of endpoints, for the newest asks first.

    Under overload the requests behind the oldest asks have been refused already. A
    bucket starts with one permit, so that a change of the issuer adds no burst. Of what
    an issuer that is cut off from others may issue, it issues its part.

    Examples
    --------
    >>> issuer = PermitIssuer()
    >>> ask = Ask(
    ...     node_id="g", ask_id=1, endpoint_id="a", permits=1, requests_per_s=10.0
    ... )
    >>> issuer.ask(ask, now_s=0.0)
    >>> issuer.grants(now_s=0.0)
    [Grant(node_id='g', ask_id=1, endpoint_id='a', permits=1)]
    >>> issuer.ask(ask, now_s=0.0)
    >>> issuer.grants(now_s=0.1), round(issuer.next_grant_s(now_s=0.1), 2)
    ([], 0.14)
    >>> len(issuer.grants(now_s=0.15))
    1
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def ask(self, ask: Ask, now_s: float, heard_share: float = 1.0) -> None:
        """Queue an ask; it replaces an earlier one of the same gateway.

        Parameters
        ----------
        ask : Ask
        now_s : float
        heard_share : float
            Share of all gateways that this one hears, itself included: the others may
            have an issuer of their own.
        """
        rate_per_s = max(ask.requests_per_s, MIN_RATE_PER_S) * TARGET_UTILISATION
        rate_per_s *= heard_share
        bucket = self._buckets.setdefault(
            ask.endpoint_id, _Bucket(rate_per_s, now_s, tokens=heard_share)
        )
        bucket.refill(now_s)
        bucket.rate_per_s = rate_per_s
        bucket.asks.pop(ask.node_id, None)
        bucket.asks[ask.node_id] = (ask, now_s)

    def grants(self, now_s: float) -> list[Grant]:
        """Issue the permits that are due."""
        found = []
        for bucket in self._buckets.values():
            bucket.refill(now_s)
            bucket.drop_expired(now_s)
            while bucket.asks and bucket.tokens >= 1.0:
                _, (ask, _) = bucket.asks.popitem()
                permits = min(ask.permits, int(bucket.tokens))
                bucket.tokens -= permits
                found.append(
                    Grant(
                        node_id=ask.node_id,
                        ask_id=ask.ask_id,
                        endpoint_id=ask.endpoint_id,
                        permits=permits,
                    )
                )
        return found

    def next_grant_s(self, now_s: float) -> float | None:
        """Return when the next permit is due, or None while no ask waits."""
        return min(
            (
                now_s + max(0.0, 1.0 - bucket.tokens) / bucket.rate_per_s
                for bucket in self._buckets.values()
                if bucket.asks
            ),
            default=None,
        )

    def retain(self, endpoint_ids: set[str]) -> None:
        """Forget all other endpoints."""
        self._buckets = {
            key: bucket for key, bucket in self._buckets.items() if key in endpoint_ids
        }


@attrs.define(eq=False, repr=False)
class _Held:
    """Permits of one endpoint by their times of expiry, and the asks under way."""

    expiries_s: list[float] = attrs.field(factory=list)
    asked_s: dict[int, float] = attrs.field(factory=dict)
    last_asked_s: float = float("-inf")
    wanted_rate_per_s: float | None = None
    used_permits: int = 0

    def drop_expired(self, now_s: float) -> None:
        self.expiries_s = [one for one in self.expiries_s if now_s < one]
        self.asked_s = {
            ask_id: asked_s
            for ask_id, asked_s in self.asked_s.items()
            if now_s - asked_s < ASK_TTL_S
        }


class PermitHolder:
    """Permits that this gateway holds, and its demand for more.

    Parameters
    ----------
    node_id : str

    Examples
    --------
    >>> held = PermitHolder("g")
    >>> held.can_place("a", now_s=0.0)
    False
    >>> held.want("a", 10.0, now_s=0.0)
    True
    >>> (ask,) = held.asks(now_s=0.0)
    >>> held.granted(ask.ask_id, "a", 1, now_s=0.01)
    True
    >>> held.try_place("r1", "a", now_s=0.02), held.try_place("r2", "a", now_s=0.02)
    (True, False)
    """

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._held: dict[str, _Held] = {}
        self._unsent: dict[str, tuple[str, float]] = {}
        self._ids = itertools.count(1)

    def can_place(self, endpoint_id: str, now_s: float) -> bool:
        """Return whether a permit is at hand."""
        held = self._held.get(endpoint_id)
        return held is not None and any(now_s < one for one in held.expiries_s)

    def want(self, endpoint_id: str, requests_per_s: float, now_s: float) -> bool:
        """Record that a placement lacks a permit; return whether to ask for one now."""
        held = self._held.setdefault(endpoint_id, _Held())
        if now_s - held.last_asked_s < ASK_INTERVAL_S:
            return False
        held.wanted_rate_per_s = requests_per_s
        return True

    def asks(self, now_s: float) -> list[Ask]:
        """Return the asks to send now, one for each endpoint that is wanted."""
        found = []
        for endpoint_id, held in self._held.items():
            if held.wanted_rate_per_s is None:
                continue
            held.drop_expired(now_s)
            ask_id = next(self._ids)
            held.asked_s[ask_id] = held.last_asked_s = now_s
            # Demand is taken to be twice what was used since the last ask.
            permits = max(1, min(MAX_PERMITS_PER_ASK, 2 * held.used_permits))
            held.used_permits = 0
            found.append(
                Ask(
                    node_id=self._node_id,
                    ask_id=ask_id,
                    endpoint_id=endpoint_id,
                    permits=permits,
                    requests_per_s=held.wanted_rate_per_s,
                )
            )
            held.wanted_rate_per_s = None
        return found

    def granted(
        self, ask_id: int, endpoint_id: str, permits: int, now_s: float
    ) -> bool:
        """Record a grant; return False if it is late or doesn't reply to an ask."""
        held = self._held.get(endpoint_id)
        if held is None:
            return False
        held.drop_expired(now_s)
        if held.asked_s.pop(ask_id, None) is None:
            return False
        # The next placement may ask again at once.
        held.last_asked_s = float("-inf")
        permits = min(permits, MAX_PERMITS_PER_ASK)
        held.expiries_s += [now_s + PERMIT_TTL_S] * permits
        return permits > 0

    def try_place(self, request_id: str, endpoint_id: str, now_s: float) -> bool:
        """Use a permit for a placement; return whether there was one."""
        held = self._held.get(endpoint_id)
        if held is None:
            return False
        held.drop_expired(now_s)
        if not held.expiries_s:
            return False
        held.used_permits += 1
        self._unsent[request_id] = (endpoint_id, held.expiries_s.pop(0))
        return True

    def has_placed(self, request_id: str) -> bool:
        """Return whether a request that wasn't sent yet has a permit."""
        return request_id in self._unsent

    def sent(self, request_id: str) -> None:
        """Record that a placed request was sent, so that its permit stays used."""
        self._unsent.pop(request_id, None)

    def release(self, request_id: str) -> None:
        """Return the permit of a request that was placed and not sent."""
        endpoint_id, expires_s = self._unsent.pop(request_id, ("", 0.0))
        if endpoint_id in self._held:
            self._held[endpoint_id].expiries_s.append(expires_s)

    def retain(self, endpoint_ids: set[str]) -> None:
        """Forget all other endpoints."""
        self._held = {
            key: held for key, held in self._held.items() if key in endpoint_ids
        }

    def dump(self, now_s: float) -> dict:
        """Return the permits at hand by endpoint as plain data."""
        return {
            key: sum(now_s < one for one in held.expiries_s)
            for key, held in self._held.items()
        }
