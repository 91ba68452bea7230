"""A cold endpoint gets no more than it bears from any number of gateways."""

import asyncio

import pytest

from sorrelhoist.decisions.directory import Endpoint
from tests.gateway.virtual_fleet import SERVICE, most_in_window, virtual_fleet
from tests.virtual_loop import run_virtual

COLD_PER_S = 14.0
"""Rate that a cold engine of the largest site bears."""

MAX_PER_S = COLD_PER_S * 1.5 + 5
"""The stated bound, in any second and over all gateways."""

COLD_S = 4.0
CALLS_PER_GATEWAY_S = 4.0


def cold_endpoint(name, now_s):
    return Endpoint(
        endpoint_id=name,
        service=SERVICE,
        address="10.0.9.1:80",
        failure_domain="a",
        capacity=10_000,
        cold_until_s=now_s + COLD_S,
    )


@pytest.mark.parametrize(
    "count, network",
    [(5, {}), (30, {}), (68, {}), (68, {"max_delay_s": 0.3, "loss": 0.3}), (300, {})],
)
def test_a_cold_endpoint_gets_no_more_than_it_bears_from_all_gateways(count, network):
    async def main():
        with virtual_fleet(count, [None], cold_per_s=COLD_PER_S, **network) as fleet:
            per_s = CALLS_PER_GATEWAY_S * count
            await fleet.send_calls(per_s, 2.0)
            cold = fleet.add(cold_endpoint("i-cold", asyncio.get_running_loop().time()))
            await fleet.send_calls(per_s, COLD_S)
            times_s = [at_s for at_s, _ in cold.arrivals]
            assert most_in_window(times_s, 1.0) <= MAX_PER_S
            assert len(times_s) >= 0.3 * COLD_PER_S * COLD_S

    run_virtual(main())


@pytest.mark.parametrize(
    "count, loss", [(5, 1.0), (30, 1.0), (68, 1.0), (300, 1.0), (30, 0.0), (68, 0.0)]
)
def test_gateways_cut_off_from_each_other_keep_to_what_a_cold_endpoint_bears(
    count, loss
):
    # Each gateway that heard no other issued permits at the whole rate. Without a loss
    # only the failure domains are cut off.
    async def main():
        with virtual_fleet(count, [None], cold_per_s=COLD_PER_S) as fleet:
            per_s = CALLS_PER_GATEWAY_S * count
            await fleet.send_calls(per_s, 1.5)
            fleet.network.cut_domains = {"a", "b", "c"}
            fleet.network.loss = loss
            await fleet.send_calls(per_s, 2.5)
            cold = fleet.add(cold_endpoint("i-cold", asyncio.get_running_loop().time()))
            await fleet.send_calls(per_s, COLD_S)
            times_s = [at_s for at_s, _ in cold.arrivals]
            assert most_in_window(times_s, 1.0) <= MAX_PER_S

    run_virtual(main())
