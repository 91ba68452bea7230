"""Locality of placement: when a request leaves the failure domain of its gateway.

Load pattern: demand and endpoints are uneven across failure domains, and waves of
demand are out of phase. Traffic between domains is slower and costs money, but the
endpoints of one domain are at times too few.

Each gateway decides alone, from the loads that all gateways know. The own domain comes
first while it serves a request well in time. Before it is full, a share of the requests
that grows with its load goes to a domain that is clearly less loaded, drawn by the room
that it has. Of two domains only the more loaded one sends, so two domains never send
each other a share at the same time.
"""

import collections
import enum
import math
import random
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from ..report_rate import report_interval_s
from ..routes import EngineCosts, RouteTable
from .demand import Assignment, Busy, EndpointView, Impossible, Placement
from .long import MAX_HELPERS

OVERFLOW_START, OVERFLOW_FULL = 0.5, 0.85
"""Loads of the own domain at which the first requests leave it, and at which all that
find room elsewhere do. Requests leave before it is full: what is known of its load is
old by the time they arrive."""

MIN_LOAD_DIFFERENCE = 0.1
"""Least difference of loads for which a share of the requests leaves: it is beyond the
noise of the views of few gateways, so a domain never sends to one that sends to it."""

LOAD_DRIFT_PER_S = 0.2
"""Added to it for each second between two reports, by which views are old: half of a
domain's places are taken anew in about 2 s, the time of an answer."""

RETURN_S = 0.5
"""Time constant of the decay of the share that leaves, once the load falls: several
report intervals, so that the share does not follow single placements."""

ACCEPTED_OBJECTIVE_SHARE = 0.75
"""Fraction of the time to its objective within which a request is taken to be in time:
the rest covers the error of stale views."""

ACCEPTED_SPLIT_SHARE = 0.35
"""The same for prompts that are split: the fraction up to which a prefill is split
where many gateways run."""

SHORT_READ_MS = 120.0
"""Prefill up to which a prompt counts as short: it takes a place in the batch rather
than prefill time."""

FULL_BACKLOG_MS = 75.0
"""Prefill backlog from which an endpoint counts as full for short prompts."""

MIN_DOMAIN_ENGINES = MAX_HELPERS + 1
"""Engines that the largest failure domain of a service must have: as many as a prompt
is split over at most. In smaller domains, preferring the own narrows the splits."""

SPARE_SLOTS = 1
"""Batch slots of an endpoint that don't count as room for short prompts."""

FIRST_WINDOW_BYTES = 14_600
"""Bytes that a new TCP connection sends before the first acknowledgement: ten segments
(RFC 6928). The window doubles with each round trip."""

EVENT_BYTES = 80
"""Mean size of one event of an answer."""

MEAN_WEIGHT = 0.05
"""Weight of one request in the decaying average of the bytes of a request."""

MIN_BYTES_FACTOR, MAX_BYTES_FACTOR = 0.5, 2.0
"""Bounds on how much more often a request with few bytes leaves than one with many."""


ROUNDING = 1e-9
"""Compensates rounding where loads that differ by one place are compared."""


class RequestKind(enum.Enum):
    """Kinds of requests that differ in what they load."""

    CALL = "call"
    SHORT = "short"
    LONG = "long"


class Reason(enum.Enum):
    """Why a request was placed inside or outside of its domain."""

    OWN_FIRST = "own first"
    NOTHING_BETTER = "nothing better"
    SHORTFALL = "shortfall"
    UNDISTURBED = "undisturbed"
    IN_TIME_ELSEWHERE = "in time elsewhere"
    NO_ROOM = "no room"
    NO_ENDPOINTS = "no endpoints"


@attrs.frozen(kw_only=True)
class LocatedRequest:
    """What the decision needs to know of a request.

    Parameters
    ----------
    kind : RequestKind
    objective_left_s : float
        Time until its first event, or its answer, misses the objective.
    request_bytes, answer_bytes : int
        Bytes that cross between the domains if it leaves.
    excluded : frozenset of str
        Ids of endpoints that already failed it.
    """

    kind: RequestKind
    objective_left_s: float
    request_bytes: int = 0
    answer_bytes: int = 0
    excluded: frozenset[str] = frozenset()


@attrs.define(eq=False, repr=False, kw_only=True)
class DomainLoad:
    """Load of the endpoints of one service in one failure domain.

    Parameters
    ----------
    views : list of EndpointView
    places, free : int
        Concurrent short prompts or calls that the endpoints take, and take in addition.
    idle : int
        Endpoints without streams and prefill.
    """

    views: list[EndpointView] = attrs.field(factory=list)
    places: int = 0
    free: int = 0
    idle: int = 0

    @property
    def load(self) -> float:
        """Fraction of the places that are taken; 1 without any endpoint."""
        return 1.0 - self.free / self.places if self.places else 1.0

    def room(self, load: float) -> float:
        """Return the places that it takes until its load is a given one."""
        return load * self.places - (self.places - self.free)


Placer = Callable[[Sequence[EndpointView], int, float], Placement]
"""Places a request on some endpoints; takes these, the number of gateways that place
work on them, and the time that crossing to them takes, in s."""


def crossing_s(delay_s: float, request_bytes: int) -> float:
    """Return the time that a request and its first event lose between domains.

    A connection is opened for each request (one round trip), then the request and the
    first event cross; a request larger than the first TCP window takes more round
    trips.

    Parameters
    ----------
    delay_s : float
        One-way delay between the domains.
    request_bytes : int

    Examples
    --------
    >>> round(crossing_s(0.0045, 4_000), 4), round(crossing_s(0.0045, 30_000), 4)
    (0.018, 0.027)
    """
    windows = max(1, math.ceil(math.log2(request_bytes / FIRST_WINDOW_BYTES + 1)))
    return delay_s * (4 + 2 * (windows - 1))


def domain_loads(
    views: Iterable[EndpointView], costs: EngineCosts | None, now_s: float
) -> dict[str, DomainLoad]:
    """Group endpoints by failure domain and sum their load.

    Parameters
    ----------
    views : iterable of EndpointView
    costs : EngineCosts or None
        None for a service without a model engine.
    now_s : float
    """
    domains: dict[str, DomainLoad] = {}
    slots = max(1, costs.max_running - SPARE_SLOTS) if costs else 0
    for view in views:
        use, endpoint = view.use, view.endpoint
        domain = domains.get(endpoint.failure_domain)
        if domain is None:
            domain = domains[endpoint.failure_domain] = DomainLoad()
        domain.views.append(view)
        places = slots or endpoint.capacity
        domain.places += places
        domain.idle += not use.streams and not use.read_ms
        is_full = costs and use.read_ms and use.backlog_ms(now_s) > FULL_BACKLOG_MS
        if not is_full and use.streams < places:
            domain.free += places - use.streams
    return domains


def regards_domains(views: Iterable[EndpointView], costs: EngineCosts | None) -> bool:
    """Return whether requests for a service prefer the endpoints of the own domain.

    Parameters
    ----------
    views : iterable of EndpointView
        All usable endpoints of the service.
    costs : EngineCosts or None
        None for a service without a model engine, which prefers them always.
    """
    if costs is None:
        return True
    sizes = collections.Counter(view.endpoint.failure_domain for view in views)
    return max(sizes.values(), default=0) >= MIN_DOMAIN_ENGINES


class Locality:
    """Decides which requests for one service leave the failure domain.

    Parameters
    ----------
    own_domain : str
    delays_s : dict
        One-way delays between failure domains, by their names in both orders.
    """

    def __init__(
        self, own_domain: str, delays_s: Mapping[tuple[str, str], float]
    ) -> None:
        self.own_domain = own_domain
        self.delays_s = delays_s
        self.counts: dict[tuple[RequestKind, str, Reason], int] = {}
        self.outside_bytes = 0
        self._share = 0.0
        self._share_s = float("-inf")
        self._mean_bytes = 0.0
        self._loads: dict[str, float] = {}

    def place(
        self,
        request: LocatedRequest,
        views: Sequence[EndpointView],
        gateways: Mapping[str, int],
        costs: EngineCosts | None,
        place: Placer,
        rng: random.Random,
        now_s: float,
    ) -> Placement:
        """Place a request inside of the own domain, or outside if that pays.

        Parameters
        ----------
        request : LocatedRequest
        views : sequence of EndpointView
            All usable endpoints of the service.
        gateways : mapping
            Number of gateways by failure domain, including this one.
        costs : EngineCosts or None
        place : Placer
        rng : random.Random
        now_s : float
        """
        usable = [
            view for view in views if view.endpoint.endpoint_id not in request.excluded
        ]
        healthy = [view for view in usable if not view.is_avoided] or usable
        domains = domain_loads(healthy, costs, now_s)
        choice = _Choice(self, request, domains, gateways, place, rng)
        share = self._update_share(request, domains, now_s)
        if request.kind is RequestKind.LONG:
            placement, reason = choice.place_long()
        else:
            placement, reason = choice.place_short(share)
        if isinstance(placement, Assignment):
            placement = attrs.evolve(placement, locality=reason.value)
            self._count(request, placement, reason)
        return placement

    def crossing_s(self, domain: str, request_bytes: int) -> float:
        """Return the time that a request loses if it leaves for a domain."""
        if domain == self.own_domain:
            return 0.0
        delay_s = self.delays_s.get((self.own_domain, domain))
        if delay_s is None:
            delay_s = max(self.delays_s.values(), default=0.0)
        return crossing_s(delay_s, request_bytes)

    def _update_share(
        self, request: LocatedRequest, domains: Mapping[str, DomainLoad], now_s: float
    ) -> float:
        """Return the share of such requests that leave while there is room elsewhere.

        It grows at once with the load of the own domain, and decays when that falls.
        Requests with few bytes leave first. While the own domain has no endpoints all
        leave, which says nothing of its load when it is back.
        """
        own = domains.get(self.own_domain)
        own_load = own.load if own else 0.0
        wanted = (own_load - OVERFLOW_START) / (OVERFLOW_FULL - OVERFLOW_START)
        kept = self._share * math.exp(-max(0.0, now_s - self._share_s) / RETURN_S)
        self._share = max(min(1.0, wanted), kept, 0.0)
        self._share_s = now_s
        self._loads = {name: domain.load for name, domain in domains.items()}
        crossing_bytes = request.request_bytes + request.answer_bytes
        self._mean_bytes = self._mean_bytes or crossing_bytes
        self._mean_bytes += MEAN_WEIGHT * (crossing_bytes - self._mean_bytes)
        if own is None:
            return 1.0
        if self._share >= 1.0 or not crossing_bytes:
            return self._share
        factor = self._mean_bytes / crossing_bytes
        return self._share * min(MAX_BYTES_FACTOR, max(MIN_BYTES_FACTOR, factor))

    def _count(
        self, request: LocatedRequest, assignment: Assignment, reason: Reason
    ) -> None:
        used = [
            endpoint.failure_domain == self.own_domain
            for endpoint in (assignment.first, *assignment.helpers)
        ]
        if used[0]:
            where = "inside" if all(used) else "partly"
        else:
            where = "outside"
            self.outside_bytes += request.request_bytes + request.answer_bytes
        key = (request.kind, where, reason)
        self.counts[key] = self.counts.get(key, 0) + 1

    def dump(self) -> dict:
        """Return the state as plain data."""
        return {
            "share": self._share,
            "loads": self._loads,
            "mean_request_bytes": self._mean_bytes,
            "outside_bytes": self.outside_bytes,
            "placed": [
                {
                    "kind": kind.value,
                    "where": where,
                    "reason": reason.value,
                    "count": count,
                }
                for (kind, where, reason), count in self.counts.items()
            ],
        }


@attrs.frozen
class _Choice:
    """The domains among which one request is placed."""

    locality: Locality
    request: LocatedRequest
    domains: Mapping[str, DomainLoad]
    gateways: Mapping[str, int]
    place: Placer
    rng: random.Random

    def place_short(self, share: float) -> tuple[Placement, Reason]:
        """Place a short prompt or a call."""
        own = self.domains.get(self.locality.own_domain)
        if self.rng.random() < share:
            name = self._draw_by_room(own.load if own else 1.0)
            found = self._place_in(name) if name else Busy()
            if self._rank(found) == 0:
                return found, Reason.SHORTFALL if own else Reason.NO_ENDPOINTS
        inside = self._place_in(self.locality.own_domain) if own else Busy()
        if self._rank(inside) == 0:
            return inside, Reason.OWN_FIRST
        outside = self._place_anywhere(
            name for name in self.domains if name != self.locality.own_domain
        )
        return self._better(inside, outside)

    def place_long(self) -> tuple[Placement, Reason]:
        """Place a prompt whose prefill may be split over many endpoints."""
        own = self.domains.get(self.locality.own_domain)
        inside = self._place_in(self.locality.own_domain) if own else Busy()
        if self._rank(inside) == 0 and not self._disturbs(inside):
            return inside, Reason.OWN_FIRST
        others = {
            name: domain.idle
            for name, domain in self.domains.items()
            if name != self.locality.own_domain and domain.idle
        }
        if others:
            # One domain, so that its parts stay together.
            name = self.rng.choices(list(others), list(others.values()))[0]
            found = self._place_in(name)
            if self._rank(found) == 0 and not self._disturbs(found):
                if self._rank(inside) == 0:
                    return found, Reason.UNDISTURBED
                return self._better(inside, found)
        if self._rank(inside) == 0:
            return inside, Reason.OWN_FIRST
        return self._better(inside, self._place_anywhere(self.domains))

    def _disturbs(self, found: Placement) -> bool:
        """Return whether a prefill runs beside streams or other prefills."""
        if not isinstance(found, Assignment):
            return False
        used = {found.first.address, *(one.address for one in found.helpers)}
        return any(
            view.use.tight_streams
            for domain in self.domains.values()
            for view in domain.views
            if view.endpoint.address in used
        )

    def _draw_by_room(self, own_load: float) -> str | None:
        """Draw a domain that is clearly less loaded, by the room that it has."""
        own = self.domains.get(self.locality.own_domain)
        step = 1.0 / own.places if own and own.places else 0.0
        interval_s = report_interval_s(sum(self.gateways.values()))
        least = MIN_LOAD_DIFFERENCE + LOAD_DRIFT_PER_S * interval_s
        most_load = own_load - max(least, step) + ROUNDING
        rooms = {
            name: domain.room(own_load)
            for name, domain in self.domains.items()
            if name != self.locality.own_domain
            and domain.free
            and domain.load <= most_load
        }
        if not rooms:
            return None
        return self.rng.choices(list(rooms), list(rooms.values()))[0]

    def _place_in(self, name: str) -> Placement:
        """Place the request within one domain."""
        placers = self._placers(name)
        if name != self.locality.own_domain:
            placers += self.gateways.get(self.locality.own_domain, 1)
        lost_s = self.locality.crossing_s(name, self.request.request_bytes)
        found = self.place(self.domains[name].views, max(1, placers), lost_s)
        return self._add_crossing(found)

    def _placers(self, name: str) -> int:
        """Return how many gateways with mean demand place work in a domain.

        Demand is uneven: the domain with more than its share of the work in progress
        gets more placements between two reports than its gateways alone suggest.
        """
        total = sum(self.gateways.values())
        taken = {key: one.places - one.free for key, one in self.domains.items()}
        busy = sum(taken.values())
        by_work = math.ceil(total * taken[name] / busy) if busy else 0
        return max(self.gateways.get(name, 0), by_work)

    def _place_anywhere(self, names: Iterable[str]) -> Placement:
        """Place the request without regard to domains."""
        views = [view for name in names for view in self.domains[name].views]
        if not views:
            return Busy()
        placers = max(1, sum(self.gateways.values()))
        return self._add_crossing(self.place(views, placers, 0.0))

    def _add_crossing(self, found: Placement) -> Placement:
        if not isinstance(found, Assignment):
            return found
        lost_s = self.locality.crossing_s(
            found.first.failure_domain, self.request.request_bytes
        )
        return attrs.evolve(found, first_event_ms=found.first_event_ms + lost_s * 1000)

    def _rank(self, found: Placement) -> int:
        """Return 0 for well in time, then 1 for in time, 2 for late and 3 for none."""
        if isinstance(found, Impossible):
            return 0
        if isinstance(found, Busy):
            return 3
        left_ms = self.request.objective_left_s * 1000
        is_long = self.request.kind is RequestKind.LONG
        share = ACCEPTED_SPLIT_SHARE if is_long else ACCEPTED_OBJECTIVE_SHARE
        if found.first_event_ms <= left_ms * share:
            return 0
        return 1 if found.first_event_ms <= left_ms else 2

    def _better(
        self, inside: Placement, outside: Placement
    ) -> tuple[Placement, Reason]:
        """Choose the placement outside only if the request is in time only there."""
        if self._rank(outside) >= self._rank(inside):
            return inside, Reason.NOTHING_BETTER
        if self.locality.own_domain not in self.domains:
            return outside, Reason.NO_ENDPOINTS
        if isinstance(inside, Busy):
            return outside, Reason.NO_ROOM
        return outside, Reason.IN_TIME_ELSEWHERE


class Localities:
    """The decisions for all services, and the failure domains of the gateways.

    Parameters
    ----------
    own_domain : str
        Empty if this process doesn't know it; then nothing is decided here.
    """

    def __init__(self, own_domain: str) -> None:
        self._own_domain = own_domain
        self._by_service: dict[str, Locality] = {}
        self._peers: dict[str, str] = {}
        self._delays_s: dict[tuple[str, str], float] = {}
        self._version: int | None = None

    def heard(self, node_id: str, failure_domain: str) -> None:
        """Record the failure domain of a peer."""
        self._peers[node_id] = failure_domain

    def gateways(self, peers: Iterable[str]) -> dict[str, int]:
        """Count the gateways by failure domain, from the ids of the live peers."""
        counts = {self._own_domain: 1}
        live = {node_id: self._peers.get(node_id, "") for node_id in peers}
        for domain in live.values():
            counts[domain] = counts.get(domain, 0) + 1
        if len(self._peers) > 2 * len(live):
            self._peers = live
        return counts

    def of(self, service: str, table: RouteTable | None) -> Locality | None:
        """Return the decision for a service; None where no delays are configured.

        Delays are a property of the network: those of one service hold for all.
        """
        if table is None or not self._own_domain:
            return None
        if table.version != self._version:
            self._version = table.version
            self._delays_s = {
                ends: delay_s
                for config in table.services.values()
                for ends, delay_s in config.domain_delays_s.items()
            }
            for locality in self._by_service.values():
                locality.delays_s = self._delays_s
        if not self._delays_s:
            return None
        if service not in self._by_service:
            self._by_service[service] = Locality(self._own_domain, self._delays_s)
        return self._by_service[service]

    def counts(self) -> dict[tuple[str, str, str, str], int]:
        """Return placements by service, kind, inside or outside, and reason."""
        return {
            (service, kind.value, where, reason.value): count
            for service, locality in self._by_service.items()
            for (kind, where, reason), count in locality.counts.items()
        }

    def outside_bytes(self) -> dict[str, int]:
        """Return the bytes of requests and answers that left the domain, by service."""
        return {
            service: locality.outside_bytes
            for service, locality in self._by_service.items()
        }

    def dump(self) -> dict:
        """Return the state as plain data."""
        return {name: one.dump() for name, one in self._by_service.items()}
