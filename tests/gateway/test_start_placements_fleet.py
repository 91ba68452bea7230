"""Prompts that return at once after a loss of all gateways spread over the engines.

The load is that of a deployment of 23 gateways and 54 engines: callers that were cut
come back within a quarter of a second, before the gateways have heard of each other.
"""

import asyncio

import pytest
from tornado.httputil import HTTPHeaders

from sorrelhoist.decisions.placement.demand import Assignment
from sorrelhoist.decisions.routes import EngineCosts, RouteTable, ServiceConfig
from sorrelhoist.gateway.dispatch import PlacementRequest
from sorrelhoist.gateway.ports import CallerRequest, PromptSize
from tests.gateway.virtual_fleet import ROUTE, SERVICE, virtual_fleet
from tests.virtual_loop import run_virtual

COSTS = EngineCosts(
    max_running=6,
    kv_capacity_tokens=405_000,
    tokens_per_event=38,
    step_ms=1.31,
    prefill_tokens_per_s=154_000.0,
    pair_ms_per_million=0.162,
)
SIZE = PromptSize(prompt_tokens=5_000, output_tokens=36 * 38)
OBJECTIVE_S = 0.321


async def place(gateway, number):
    now_s = asyncio.get_running_loop().time()
    request = CallerRequest(
        request_id=f"{gateway.node_id}-{number}",
        method="POST",
        path="/",
        host="h",
        headers=HTTPHeaders(),
        size=SIZE,
    )
    placement = await gateway.dispatcher.place(
        PlacementRequest(
            request=request,
            route=ROUTE,
            service=SERVICE,
            objective_due_s=now_s + OBJECTIVE_S,
            deadline_s=now_s + 10.0,
        ),
        now_s,
    )
    assert isinstance(placement, Assignment)
    return placement.first.address


@pytest.mark.parametrize(
    "gateways, engines", [(5, 23), (23, 54), (68, 160), (300, 1_300)]
)
def test_no_engine_gets_more_than_it_runs_at_once(gateways, engines):
    async def main():
        with virtual_fleet(gateways, [None] * engines, engine=COSTS) as fleet:
            now_s = asyncio.get_running_loop().time()
            for gateway in fleet.gateways:
                gateway.state.startup.begin(now_s)
                gateway.state.adopt(
                    RouteTable(
                        version=2,
                        routes={("h", "/"): ROUTE},
                        services={SERVICE: ServiceConfig(name=SERVICE, engine=COSTS)},
                    )
                )
            addresses = await asyncio.gather(
                *(place(one, number) for one in fleet.gateways for number in range(4))
            )
        most = max(map(addresses.count, set(addresses)))
        print(f"{gateways} gateways: {most} of {len(addresses)} on one engine")
        assert most <= COSTS.max_running

    run_virtual(main())
