"""An endpoint that says that it is leaving is left by any number of gateways."""

import asyncio

import pytest

from tests.gateway.virtual_fleet import virtual_fleet
from tests.virtual_loop import run_virtual

DRAIN_S = 2.0
CALLS_PER_GATEWAY_S = 2.0


@pytest.mark.parametrize(
    "count, network",
    [(5, {}), (68, {}), (68, {"max_delay_s": 0.8, "loss": 0.3})],
)
def test_all_gateways_leave_an_endpoint_that_told_one_of_them(count, network):
    async def main():
        with virtual_fleet(count, [None, None], **network) as fleet:
            per_s = CALLS_PER_GATEWAY_S * count
            await fleet.send_calls(per_s, 1.0)
            leaving = fleet.endpoints["i-0"]
            leaving.is_leaving = True
            said_s = asyncio.get_running_loop().time()
            await fleet.send_calls(per_s, 4.0)
            last_s = max(at_s for at_s, _ in leaving.arrivals)
            assert said_s <= last_s < said_s + DRAIN_S
            assert sum(one.refused for one in fleet.gateways) == 0

    run_virtual(main())
