"""The placement of a long prompt reaches the other gateways before their next one."""

import asyncio
from functools import partial

import pytest
from tornado.httputil import HTTPHeaders

from sorrelhoist.bench.experiments.virtual_gateways import COSTS
from sorrelhoist.decisions.placement.demand import Assignment
from sorrelhoist.decisions.report_rate import report_interval_s
from sorrelhoist.gateway.dispatch import PlacementRequest
from sorrelhoist.gateway.ports import CallerRequest, PromptSize
from tests.gateway.virtual_fleet import ROUTE, SERVICE, virtual_fleet
from tests.virtual_loop import run_virtual

fleet_of = partial(virtual_fleet, limits=[None] * 20, engine=COSTS)
STARTED_S = 2.0
UPDATE_S = 0.004


async def place(gateway, request_id="long", prompt_tokens=180_000):
    now_s = asyncio.get_running_loop().time()
    request = CallerRequest(
        request_id=request_id,
        method="POST",
        path="/",
        host="h",
        headers=HTTPHeaders(),
        size=PromptSize(prompt_tokens=prompt_tokens, output_tokens=400),
    )
    found = await gateway.dispatcher.place(
        PlacementRequest(
            request=request,
            route=ROUTE,
            service=SERVICE,
            objective_due_s=now_s + 5.0,
            deadline_s=now_s + 15.0,
        ),
        now_s,
    )
    assert isinstance(found, Assignment)
    return found


def knowing(fleet, found, read_ms=1.0):
    """Count the gateways that know of prefill on the first endpoint."""
    now_s = asyncio.get_running_loop().time()
    return sum(
        one.state.loads.endpoint_use(found.first.address, now_s).read_ms >= read_ms
        for one in fleet.gateways
    )


@pytest.mark.parametrize("count", [30, 68, 300])
def test_all_gateways_know_of_a_long_prompt_within_milliseconds(count):
    async def main():
        with fleet_of(count) as fleet:
            await asyncio.sleep(STARTED_S)
            found = await place(fleet.gateways[0])
            await asyncio.sleep(UPDATE_S)
            assert knowing(fleet, found) == count
            short = await place(fleet.gateways[1], "short", prompt_tokens=5_000)
            sent = fleet.gateways[1].state.update_rate.sent
            assert not short.is_long
            assert sent <= 1  # only the announcement

    run_virtual(main())


def test_no_updates_are_sent_where_reports_are_as_quick():
    async def main():
        with fleet_of(5) as fleet:
            await asyncio.sleep(STARTED_S)
            found = await place(fleet.gateways[0])
            await asyncio.sleep(0.03)
            assert knowing(fleet, found) == 5
            assert fleet.gateways[0].state.update_rate.sent == 0

    run_virtual(main())


def test_a_lost_update_is_repaired_by_the_next_report():
    async def main():
        with fleet_of(30) as fleet:
            await asyncio.sleep(STARTED_S)
            fleet.network.loss = 1.0
            found = await place(fleet.gateways[0])
            await asyncio.sleep(UPDATE_S)
            fleet.network.loss = 0.0
            assert knowing(fleet, found) == 1
            await asyncio.sleep(report_interval_s(29) + 0.01)
            assert knowing(fleet, found) == 30

    run_virtual(main())


def test_gateways_of_a_former_build_are_counted_as_without_updates():
    async def main():
        with fleet_of(30, old_every=3) as fleet:
            await asyncio.sleep(STARTED_S)
            found = await place(fleet.gateways[1])
            await asyncio.sleep(UPDATE_S)
            assert knowing(fleet, found) == 20
            loads = fleet.gateways[1].state.loads
            now_s = asyncio.get_running_loop().time()
            assert loads.peers_without_updates(now_s) == 10
            await asyncio.sleep(report_interval_s(29) + 0.01)
            assert knowing(fleet, found) == 30

    run_virtual(main())


def test_a_burst_of_long_prompts_sends_a_bounded_number_of_datagrams():
    async def main():
        with fleet_of(300) as fleet:
            await asyncio.sleep(STARTED_S)
            gateway = fleet.gateways[0]
            for number in range(10):
                await place(gateway, str(number))
                gateway.state.release(str(number))
            rate = gateway.state.update_rate
            assert (rate.sent, rate.held_back) == (2, 9)  # one was the announcement

    run_virtual(main())
