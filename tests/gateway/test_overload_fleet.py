"""Overload seen by fleets of any size, with reports late, lost or of a former build."""

import asyncio
import statistics

import pytest

from sorrelhoist.decisions.overload.own_work import WorkItem
from sorrelhoist.messages.frames import decode, encode
from sorrelhoist.messages.gen import ttypes
from tests.gateway.overload_fleet import A, B, Replay
from tests.gateway.virtual_fleet import SERVICE, virtual_fleet
from tests.virtual_loop import run_virtual

LATE = {"max_delay_s": 0.3, "loss": 0.3}

SHARE_SERVED = 0.7


def outcomes(deployment, count, engines, seconds, **network):
    """Replay the usual load of a deployment on too few engines."""

    async def main():
        with virtual_fleet(count, [None] * engines, **network) as fleet:
            replay = Replay(fleet, deployment)
            await replay.usual(1.0, seconds)
            await asyncio.sleep(3.0)
            return replay.outcomes

    return run_virtual(main())


@pytest.mark.parametrize(
    "deployment, count, network, in_time_share",
    [(A, 5, {}, 0.9), (B, 5, {}, 0.9), (A, 30, LATE, 0.8)],
)
def test_what_cannot_start_in_time_is_refused_at_once(
    deployment, count, network, in_time_share
):
    # Short prompts waited for 0.22 s in vain, and those that were placed at last were
    # late.
    ended = outcomes(deployment, count, 5, 12.0, **network)
    short = [one for one in ended if one.kind.name == "short"]
    refused = [one for one in short if not one.is_served]
    assert statistics.median(one.waited_s for one in refused) < 0.02
    served = [one for one in short if one.is_served]
    assert sum(one.is_in_time for one in served) > in_time_share * len(served)
    for one in refused:
        left_s = one.arrived_s + one.kind.deadline_s - one.decided_s
        assert one.retry_after_s is None or one.retry_after_s <= left_s / 3


class FormerBuild:
    """Send reports without the fields that a former build doesn't know."""

    def __init__(self, gateway):
        self.gateway = gateway

    def sendto(self, data, address):
        message = decode(data)
        if isinstance(message.body, ttypes.LoadUpdate):
            return
        message.body.demands = message.body.headroom_percent = None
        self.gateway.sendto(encode(message), address)


@pytest.mark.parametrize(
    "count, network, former_every, expected_share",
    [
        (5, {}, 0, (1.0, 1.0)),
        (5, {}, 3, (1.0, 1.0)),
        (30, LATE, 3, (0.9, 1.0)),
        (68, {}, 3, (1.0, 1.0)),
        (300, LATE, 3, (0.7, 1.0)),
        (30, {"cut_domains": {"a"}}, 0, (0.3, 0.7)),
    ],
)
def test_each_gateway_knows_what_waits_at_those_it_can_reach(
    count, network, former_every, expected_share
):
    # With its own queue alone, a gateway expects the wait to end many times too early.
    async def main():
        with virtual_fleet(count, [None], **network) as fleet:
            for number, gateway in enumerate(fleet.gateways):
                if former_every and number % former_every == 1:
                    gateway.exchange.connection_made(FormerBuild(gateway))
                for item in range(3):
                    gateway.state.own_work.waits(
                        str(item), WorkItem(service=SERVICE, read_ms=100.0)
                    )
            await asyncio.sleep(2.5)
            started = fleet.gateways[0]
            now_s = asyncio.get_running_loop().time()
            others = started.state.fleet_demand.others(SERVICE, now_s)
            share = others.waiting / (3 * (count - 1))
            low, high = expected_share
            assert low - 0.01 <= share <= high + 0.01
            assert others.waiting_read_ms == pytest.approx(others.waiting * 100.0)

    run_virtual(main())


def test_the_demand_of_a_gateway_that_ended_lapses():
    async def main():
        with virtual_fleet(3, [None]) as fleet:
            ended, other, _ = fleet.gateways
            ended.state.own_work.waits("r", WorkItem(service=SERVICE, read_ms=1e6))
            await asyncio.sleep(1.0)
            loop = asyncio.get_running_loop()
            known = other.state.fleet_demand
            assert known.others(SERVICE, loop.time()).waiting == 1
            fleet.network.gateways.pop(ended.port)
            ended.exchange.connection_made(None)
            await asyncio.sleep(2.5)
            assert known.others(SERVICE, loop.time()).waiting == 0

    run_virtual(main())


@pytest.mark.parametrize("count, network", [(5, {}), (30, LATE)])
def test_a_workspace_that_fills_the_fleet_leaves_the_others_their_share(count, network):
    # In due order alone, most long prompts of the other workspaces were refused after
    # half of their objective.
    async def main():
        with virtual_fleet(count, [None] * 30, **network) as fleet:
            replay = Replay(fleet, A)
            long = next(kind for kind in replay.routes if kind.name == "long")
            await asyncio.gather(
                replay.arrive(long, 1.0, 15.0, "usual", phases=False),
                replay.arrive(long, 15.0, 15.0, "large", phases=False),
            )
            await asyncio.sleep(9.0)
            return replay.outcomes

    ended = run_virtual(main())
    usual = [one for one in ended if one.workspace == "usual"]
    assert sum(one.is_served for one in usual) >= SHARE_SERVED * len(usual)
