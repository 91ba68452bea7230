"""Placement inside and outside of failure domains, with seeded arrivals.

Each test that claims a gain also shows that placement without regard to domains
does not reach it.
"""

import heapq
import math
import random

import attrs
import pytest

from sorrelhoist.decisions.directory import Endpoint
from sorrelhoist.decisions.placement.demand import (
    Assignment,
    Busy,
    Demand,
    EndpointView,
)
from sorrelhoist.decisions.placement.load_tracker import EndpointUse
from sorrelhoist.decisions.placement.locality import (
    Localities,
    LocatedRequest,
    RequestKind,
    crossing_s,
    regards_domains,
)
from sorrelhoist.decisions.placement.strategy import place_prompt
from sorrelhoist.decisions.report_rate import report_interval_s
from sorrelhoist.decisions.routes import EngineCosts, RouteTable, ServiceConfig

COSTS = EngineCosts(
    max_running=6,
    kv_capacity_tokens=382_500,
    tokens_per_event=52,
    step_ms=0.925,
    prefill_tokens_per_s=256_000.0,
    pair_ms_per_million=0.0917,
)
DOMAINS = ("a", "b", "c")
DELAYS_S = {(x, y): 0.0045 for x in DOMAINS for y in DOMAINS if x != y}
OBJECTIVE_S, READ_MS, STREAM_S, CALL_S = 0.271, 20.0, 1.7, 0.3
STEP_S = 0.025


def table(delays_s):
    service = ServiceConfig(name="s", domain_delays_s=delays_s)
    return RouteTable(version=1, routes={}, services={"s": service})


@attrs.define(eq=False, slots=False)
class Fleet:
    """Gateways before the endpoints of three domains, with views of the load that are
    as old as their reports; each knows its own placements at once.
    """

    gateways: int
    per_domain: tuple = (20, 20, 20)
    is_local: bool = True
    is_prompt: bool = True
    late: float = 1.0
    seed: int = 1
    out: set = attrs.field(factory=set)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        self.endpoints = [
            Endpoint(
                endpoint_id=f"{domain}-{n}",
                service="s",
                address=f"{domain}-{n}",
                failure_domain=domain,
                capacity=COSTS.max_running,
            )
            for domain, count in zip(DOMAINS, self.per_domain, strict=True)
            for n in range(count)
        ]
        self.streams = {one.address: 0 for one in self.endpoints}
        self.reading_s = dict.fromkeys(self.streams, 0.0)
        self.history = []
        self.localities = [Localities(DOMAINS[n % 3]) for n in range(self.gateways)]
        for own in self.localities:
            for n in range(self.gateways):
                own.heard(str(n), DOMAINS[n % 3])
        self.lag_s = report_interval_s(self.gateways) * self.late
        self.recent = [[] for _ in range(self.gateways)]
        self.ends = []
        self.flows, self.busiest, self.placed = [], [], []
        self.late_requests = self.refused = 0

    def run(self, per_s, seconds, until=None):
        """Serve arrivals; `per_s` gives the rate of a domain at a time."""
        now_s = 0.0
        while now_s < seconds:
            now_s += STEP_S
            if until:
                until(self, now_s)
            while self.ends and self.ends[0][0] <= now_s:
                self.streams[heapq.heappop(self.ends)[1]] -= 1
            self.history.append((now_s, dict(self.streams), dict(self.reading_s)))
            loads = self.streams.values()
            mean = sum(loads) / len(self.streams)
            self.busiest.append(max(loads) / mean if mean else 0.0)
            for number, domain in enumerate(DOMAINS):
                expected = per_s(domain, now_s) * STEP_S
                count = int(expected) + (self.rng.random() < expected % 1)
                own = range(number, self.gateways, 3)
                for _ in range(count):
                    self.arrive(self.rng.choice(own), now_s)
        return self

    def views(self, gateway, now_s):
        lag_s = self.rng.uniform(0, self.lag_s) + 0.002
        steps = min(len(self.history), 1 + int(lag_s / STEP_S))
        seen_s, streams, reading_s = self.history[-steps]
        self.recent[gateway] = [one for one in self.recent[gateway] if one[0] >= seen_s]
        own = [address for _, address in self.recent[gateway]]
        return [
            EndpointView(
                endpoint=one,
                use=EndpointUse(
                    address=one.address,
                    streams=streams[one.address] + own.count(one.address),
                    read_ms=max(0.0, (reading_s[one.address] - now_s) * 1000),
                    reading_s=now_s,
                ),
            )
            for one in self.endpoints
            if one.failure_domain not in self.out
        ]

    def place(self, gateway, now_s):
        def place(views, gateways, lost_s):
            if not self.is_prompt:
                free = [v for v in views if v.use.streams < v.endpoint.capacity]
                if not free:
                    return Busy()
                self.rng.shuffle(free)
                return Assignment(first=min(free, key=lambda v: v.use.streams).endpoint)
            demand = Demand(
                prompt_tokens=5_000,
                output_tokens=1_700,
                is_tight=True,
                objective_left_s=OBJECTIVE_S - lost_s,
                deadline_left_s=10.0,
            )
            return place_prompt(demand, views, COSTS, gateways, self.rng, now_s)

        views = self.views(gateway, now_s)
        own = self.localities[gateway]
        locality = own.of("s", table(DELAYS_S if self.is_local else {}))
        if locality is None:
            return place(views, self.gateways, 0.0)
        return locality.place(
            LocatedRequest(
                kind=RequestKind.SHORT if self.is_prompt else RequestKind.CALL,
                objective_left_s=OBJECTIVE_S,
                request_bytes=4_000,
                answer_bytes=2_640,
            ),
            views,
            own.gateways(str(n) for n in range(self.gateways) if n != gateway),
            COSTS if self.is_prompt else None,
            place,
            self.rng,
            now_s,
        )

    def arrive(self, gateway, now_s):
        found = self.place(gateway, now_s)
        if not isinstance(found, Assignment):
            self.refused += 1
            return
        address = found.first.address
        read_end_s = max(now_s, self.reading_s[address]) + READ_MS / 1000
        first_s = read_end_s - now_s + 2 * COSTS.pass_ms / 1000
        is_full = self.streams[address] >= COSTS.max_running
        domain = DOMAINS[gateway % 3]
        is_outside = found.first.failure_domain != domain
        if is_outside:
            first_s += crossing_s(DELAYS_S["a", "b"], 4_000)
        if self.is_prompt:
            self.reading_s[address] = read_end_s
        self.late_requests += is_full or (self.is_prompt and first_s > OBJECTIVE_S)
        self.streams[address] += 1
        self.recent[gateway].append((now_s, address))
        self.placed.append(now_s)
        if is_outside:
            self.flows.append((now_s, domain, found.first.failure_domain))
        heapq.heappush(
            self.ends, (now_s + (STREAM_S if self.is_prompt else CALL_S), address)
        )

    @property
    def outside(self):
        return len(self.flows) / len(self.placed)

    def outside_between(self, start_s, end_s):
        """Return the share of requests that leave their domain in a time span."""
        placed = sum(start_s <= at_s < end_s for at_s in self.placed)
        return sum(start_s <= at_s < end_s for at_s, _, _ in self.flows) / placed

    def mutual(self, window_s):
        """Return the largest share of requests in a window that pairs of domains send
        each other, counting the smaller direction.
        """
        worst = 0.0
        for n in range(int(self.placed[-1] / window_s)):
            span = [f for f in self.flows if n <= f[0] / window_s < n + 1]
            placed = sum(n <= at_s / window_s < n + 1 for at_s in self.placed)
            for x, y in (("a", "b"), ("a", "c"), ("b", "c")):
                there = sum(f[1:] == (x, y) for f in span)
                back = sum(f[1:] == (y, x) for f in span)
                worst = max(worst, min(there, back) / max(1, placed))
        return worst


def fleets(gateways, per_domain=(20, 20, 20), **more):
    """Return the same fleet with and without locality, larger for many gateways."""
    times = max(1.0, min(3.0, gateways / 25))
    endpoints = tuple(math.ceil(count * times) for count in per_domain)
    return [Fleet(gateways, endpoints, is_local, **more) for is_local in (True, False)]


def capacity_per_s(endpoints):
    """Return the short prompts per second that some endpoints serve."""
    return endpoints * COSTS.max_running / STREAM_S


GATEWAYS = pytest.mark.parametrize("gateways", [5, 30, 68, 300])


@GATEWAYS
@pytest.mark.parametrize("late", [1.0, 3.0])
def test_nothing_leaves_a_domain_that_serves_it(gateways, late):
    local, old = fleets(gateways, late=late)
    rate = 0.4 * capacity_per_s(local.per_domain[0])
    for fleet in (local, old):
        fleet.run(lambda domain, now_s: rate, 5.0)
    assert local.outside <= 0.02 < 0.5 < old.outside
    assert local.late_requests + local.refused <= (
        old.late_requests + old.refused + 0.01 * len(old.placed)
    )


@GATEWAYS
def test_a_domain_with_half_of_the_endpoints_sends_what_it_lacks_at_once(gateways):
    local, old = fleets(gateways, per_domain=(10, 20, 20))
    rate = 0.5 * capacity_per_s(local.per_domain[1])
    for fleet in (local, old):
        fleet.run(lambda domain, now_s: rate, 5.0)
    assert local.outside < 0.25 < 0.5 < old.outside
    others = sum(flow[1] != "a" for flow in local.flows)
    assert others <= 0.01 * len(local.placed)  # with the views of 300 gateways
    assert local.late_requests + local.refused <= (
        old.late_requests + old.refused + 0.01 * len(old.placed)
    )
    to_b = sum(flow[2] == "b" for flow in local.flows) / len(local.flows)
    assert 0.3 < to_b < 0.7  # not all gateways choose the same domain


@GATEWAYS
def test_waves_out_of_phase_overflow_in_one_direction_at_a_time(gateways):
    # Without a least difference of loads, two domains near the start of the overflow
    # send each other requests.
    local, old = fleets(gateways)
    mean = 0.5 * capacity_per_s(local.per_domain[0])

    def per_s(domain, now_s):
        phase = now_s / 6.0 + DOMAINS.index(domain) / 3
        return mean * (1 + 0.7 * math.sin(2 * math.pi * phase))

    for fleet in (local, old):
        fleet.run(per_s, 6.0)
    assert local.outside < 0.35 < 0.5 < old.outside
    assert local.mutual(0.5) <= 0.03 < 0.1 < old.mutual(0.5)
    assert local.late_requests + local.refused <= (
        old.late_requests + old.refused + 0.02 * len(old.placed)
    )


@GATEWAYS
def test_two_overloaded_domains_send_to_the_third_and_not_to_each_other(gateways):
    local, old = fleets(gateways)
    full = capacity_per_s(local.per_domain[0])
    for fleet in (local, old):
        fleet.run(lambda domain, now_s: full * (0.3 if domain == "c" else 0.95), 5.0)
    assert sum(flow[2] == "c" for flow in local.flows) > 0.75 * len(local.flows)
    assert local.mutual(0.5) <= 0.03 < 0.1 < old.mutual(0.5)


@pytest.mark.parametrize("gateways", [5, 30, 68])
def test_a_domain_out_and_back_is_left_and_used_again_at_once(gateways):
    local, old = fleets(gateways)
    rate = 0.35 * capacity_per_s(local.per_domain[0])

    def evacuate(fleet, now_s):
        fleet.out = {"a"} if 2.0 <= now_s < 4.0 else set()

    for fleet in (local, old):
        fleet.run(lambda domain, now_s: rate, 7.0, evacuate)
    assert local.outside_between(2.0, 4.0) >= 0.3
    assert local.outside_between(0.0, 2.0) <= 0.02
    assert local.outside_between(5.0, 7.0) <= 0.05 < old.outside_between(5.0, 7.0)
    assert local.refused == 0
    chosen = [to for at_s, frm, to in local.flows if frm == "a" and 2.0 <= at_s < 4.0]
    assert 0.3 < chosen.count("b") / len(chosen) < 0.7


@pytest.mark.parametrize("gateways", [5, 30, 68, 300])
@pytest.mark.parametrize("seed", [1, 2])
def test_calls_use_the_one_endpoint_of_their_domain_until_it_fills(gateways, seed):
    # One endpoint with six places in each domain: 2.6 calls a second, then 12 in one.
    fleets_ = [
        Fleet(gateways, (1, 1, 1), is_local, is_prompt=False, seed=seed)
        for is_local in (True, False)
    ]
    for fleet in fleets_:
        fleet.run(lambda domain, now_s: 12.0 if domain == "b" else 2.6, 20.0)
    local, old = fleets_
    assert local.outside < 0.35 < 0.5 < old.outside
    assert local.late_requests + local.refused <= (
        old.late_requests + old.refused + 0.01 * len(old.placed)
    )
    # The calls of the others leave when those of the busy domain fill their endpoint.
    from_b = sum(flow[1] == "b" for flow in local.flows)
    assert from_b > 0.75 * len(local.flows)


def test_nothing_is_decided_without_delays_or_without_an_own_domain():
    assert Localities("a").of("s", table({})) is None
    assert Localities("").of("s", table(DELAYS_S)) is None
    assert Localities("a").of("s", None) is None
    assert Localities("a").of("s", table(DELAYS_S)) is not None


@pytest.mark.parametrize(
    "engines, costs, expected", [(16, COSTS, False), (17, COSTS, True), (1, None, True)]
)
def test_small_domains_of_engines_are_not_regarded(engines, costs, expected):
    # With 8 engines in each of three domains, splits became narrower and long prompts
    # were late.
    views = [
        EndpointView(
            endpoint=Endpoint(
                endpoint_id=f"{domain}-{number}",
                service="s",
                address=f"{domain}{number}",
                failure_domain=domain,
                capacity=6,
            ),
            use=EndpointUse(address=f"{domain}{number}"),
        )
        for domain in "abc"
        for number in range(engines)
    ]
    assert regards_domains(views, costs) is expected
