"""The limit that an endpoint names holds over any number of gateways."""

import asyncio
from contextlib import ExitStack

import pytest

from tests.gateway.virtual_fleet import most_in_window, virtual_fleet
from tests.virtual_loop import run_virtual

CONTACT_S = 3.0
WINDOW_S = 4.0
TOLD_S = 0.5
CALLS_PER_GATEWAY_S = 4.0


def counted(endpoint, count_from_s):
    """Return the arrivals that the rule counts."""
    return [
        at_s
        for at_s, gateway in endpoint.arrivals
        if at_s >= count_from_s
        and at_s
        >= gateway.told_s.get(endpoint.endpoint.endpoint_id, float("inf")) + TOLD_S
    ]


def assert_limit_holds(endpoint, named_s, limit_per_s, is_counted=lambda one: True):
    endpoint.arrivals = [one for one in endpoint.arrivals if is_counted(one[1])]
    most = most_in_window(counted(endpoint, named_s + CONTACT_S), WINDOW_S)
    assert most <= 1.5 * limit_per_s * WINDOW_S + 5


async def named_for(fleet, limit_per_s, seconds, per_s=None):
    """Send calls for a second, then for some time with a limit on one endpoint."""
    loop = asyncio.get_running_loop()
    per_s = per_s or CALLS_PER_GATEWAY_S * len(fleet.gateways)
    await fleet.send_calls(per_s, 1.0)
    limited = fleet.endpoints["i-0"]
    limited.limit_per_s = limit_per_s
    named_s = loop.time()
    await fleet.send_calls(per_s, seconds)
    return limited, named_s


FLEETS = pytest.mark.parametrize("count", [5, 30, 68])


@FLEETS
@pytest.mark.parametrize("limit_per_s", [1.0, 10.0])
def test_limit_holds_over_all_gateways_and_is_used(count, limit_per_s):
    async def main():
        with virtual_fleet(count, [None, None]) as fleet:
            limited, named_s = await named_for(fleet, limit_per_s, 9.0)
            assert_limit_holds(limited, named_s, limit_per_s)
            used = sum(at_s >= named_s + CONTACT_S for at_s, _ in limited.arrivals)
            assert used >= 0.4 * limit_per_s * (9.0 - CONTACT_S)
            assert sum(one.refused for one in fleet.gateways) == 0

    run_virtual(main())


@FLEETS
@pytest.mark.parametrize("network", [{"max_delay_s": 0.8}, {"loss": 0.3}])
def test_limit_holds_while_reports_are_late_or_lost(count, network):
    async def main():
        with virtual_fleet(count, [None, None], **network) as fleet:
            limited, named_s = await named_for(fleet, 2.0, 8.0)
            assert_limit_holds(limited, named_s, 2.0)

    run_virtual(main())


@FLEETS
def test_limit_holds_while_one_failure_domain_is_cut_off(count):
    async def main():
        with virtual_fleet(count, [None, None]) as fleet:
            loop = asyncio.get_running_loop()
            loop.call_later(4.0, fleet.network.cut_domains.add, "c")
            limited, named_s = await named_for(fleet, 2.0, 9.0)
            assert_limit_holds(limited, named_s, 2.0)
            c_used = [at_s for at_s, one in limited.arrivals if one.domain == "c"]
            assert max(c_used) > 8.0

    run_virtual(main())


@FLEETS
def test_limit_holds_over_the_new_gateways_beside_a_former_build(count):
    async def main():
        with virtual_fleet(count, [None, None], old_every=2) as fleet:
            limited, named_s = await named_for(fleet, 2.0, 8.0)
            assert_limit_holds(limited, named_s, 2.0, lambda one: not one.is_old)

    run_virtual(main())


@FLEETS
def test_limit_holds_over_gateways_that_have_just_started(count):
    async def main():
        with virtual_fleet(count, [2.0, None]) as fleet, ExitStack() as stack:
            loop = asyncio.get_running_loop()
            for number in range(0, count, 3):
                loop.call_later(4.0, fleet.restart, number, stack)
            named_s = loop.time()
            await fleet.send_calls(CALLS_PER_GATEWAY_S * count, 9.0)
            assert_limit_holds(fleet.endpoints["i-0"], named_s, 2.0)

    run_virtual(main())


@pytest.mark.parametrize("network", [{}, {"max_delay_s": 0.5, "loss": 0.3}])
def test_limit_holds_over_300_gateways_of_which_some_are_cut_off(network):
    async def main():
        with virtual_fleet(300, [2.0, None], **network) as fleet:
            loop = asyncio.get_running_loop()
            loop.call_later(3.0, fleet.network.cut_domains.add, "c")
            await fleet.send_calls(300.0, 7.0)
            assert_limit_holds(fleet.endpoints["i-0"], loop.time() - 7.0, 2.0)

    run_virtual(main())


def test_a_lifted_limit_is_soon_forgotten_by_all():
    async def main():
        with virtual_fleet(30, [None, None]) as fleet:
            limited, _ = await named_for(fleet, 2.0, 5.0)
            limited.limit_per_s = None
            await fleet.send_calls(120.0, 3.0)
            assert not any(one.state.named_limits.limited() for one in fleet.gateways)

    run_virtual(main())


def test_all_endpoints_limited_are_used_and_the_rest_is_refused_in_time():
    async def main():
        with virtual_fleet(68, [20.0, 20.0, 20.0]) as fleet:
            await fleet.send_calls(120.0, 8.0)
            served = sum(one.served for one in fleet.gateways)
            assert served >= 0.5 * 60.0 * 7.0
            assert sum(one.refused for one in fleet.gateways) > 0

    run_virtual(main())
