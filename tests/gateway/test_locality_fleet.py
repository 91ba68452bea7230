"""Calls stay in their failure domain over any number of gateways, with real reports."""

import asyncio

import attrs
import pytest

from sorrelhoist.decisions.routes import RouteTable, ServiceConfig
from tests.gateway.virtual_fleet import DOMAINS, ROUTE, SERVICE, virtual_fleet
from tests.virtual_loop import run_virtual

DELAYS_S = {(x, y): 0.0045 for x in DOMAINS for y in DOMAINS if x != y}


def spread(fleet, delays_s):
    """Give each domain one endpoint with six places, and state the delays."""
    now_s = asyncio.get_running_loop().time()
    service = ServiceConfig(name=SERVICE, domain_delays_s=delays_s)
    table = RouteTable(
        version=2, routes={("h", "/"): ROUTE}, services={SERVICE: service}
    )
    for number, one in enumerate(fleet.endpoints.values()):
        one.endpoint = attrs.evolve(
            one.endpoint, failure_domain=DOMAINS[number], capacity=6
        )
        for gateway in fleet.gateways:
            gateway.state.directory.put(one.endpoint, now_s)
    for gateway in fleet.gateways:
        gateway.state.adopt(table)


def outside(fleet, start_s):
    """Return the share of calls since a time that left their domain."""
    calls = [
        gateway.domain != one.endpoint.failure_domain
        for one in fleet.endpoints.values()
        for at_s, gateway in one.arrivals
        if at_s >= start_s
    ]
    return sum(calls) / len(calls)


@pytest.mark.parametrize("count", [5, 30, 68])
def test_calls_leave_while_their_domain_is_out_and_come_back(count):
    async def main(delays_s):
        loop = asyncio.get_running_loop()
        with virtual_fleet(count, [None] * 3, loss=0.1) as fleet:
            spread(fleet, delays_s)
            shares = []
            for out in (frozenset(), frozenset({"b"}), frozenset()):
                for gateway in fleet.gateways:
                    gateway.state.directory.set_domains_out(out)
                start_s = loop.time()
                await fleet.send_calls(20.0, 4.0)
                shares.append(outside(fleet, start_s))
            await asyncio.sleep(1.0)
            counts = [gateway.state.localities.counts() for gateway in fleet.gateways]
            refused = sum(gateway.refused for gateway in fleet.gateways)
            return shares, counts, refused

    (before, during, after), counts, refused = run_virtual(main(DELAYS_S))
    assert before <= 0.02 and after <= 0.02 and 0.2 <= during <= 0.5
    assert refused == 0
    kinds = {key for one in counts for key in one}
    assert (SERVICE, "call", "outside", "no endpoints") in kinds
    (old, _, _), counts, _ = run_virtual(main({}))
    assert old > 0.5 and not any(counts)
