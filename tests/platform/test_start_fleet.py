"""A start of all gateways at once, before a store with limits on its calls."""

import pytest

from tests.platform.start_fleet import start_fleet
from tests.virtual_loop import run_virtual

START_SPREAD_S = 0.5
AIM_S = 1.5
"""Time from the start of a gateway until it can serve."""


@pytest.mark.parametrize("gateways, endpoints", [(30, 300), (300, 3_000)])
def test_all_gateways_serve_soon_after_a_start_of_all(gateways, endpoints):
    # 300 gateways need 2,400 reads; the store takes 2,000 a second.
    async def main():
        with start_fleet(gateways, endpoints) as fleet:
            await fleet.start_all(START_SPREAD_S, timeout_s=10.0)
            waits_s = fleet.waits_s()
            print(
                f"{gateways} gateways: {waits_s[gateways // 2]:.2f} s, the last "
                f"{waits_s[-1]:.2f} s, {fleet.store.calls} calls, "
                f"{fleet.store.rejected} rejected"
            )
            assert waits_s[-1] <= AIM_S

    run_virtual(main())
