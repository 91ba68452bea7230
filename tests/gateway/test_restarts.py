"""A gateway that starts uses nothing that the others know to have been withdrawn."""

import asyncio
import contextlib
from contextlib import AsyncExitStack

from tests.gateway.test_freshness import run_with_fleet
from tests.platform.fleet import configuration, running_gateway, until
from tests.platform.standins import Endpoint, in_sequence, whole

LEAVING = ("Server-Leaving", "1")


async def stopped(gateways):
    for one in gateways:
        one.main.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await one.main


def test_an_endpoint_that_left_is_not_used_after_the_gateway_that_heard_it_restarted():
    async def main(found, store):
        endpoints = {}
        for name, script in {
            "i-leaving": in_sequence(whole(extra=[LEAVING]), whole()),
            "i-staying": whole(),
        }.items():
            endpoint = await Endpoint(endpoint_id=name, scripts=[script]).start()
            store.put("keyed.servers", name, endpoint.entry(backend="app"))
            endpoints[name] = endpoint
        leaving = endpoints["i-leaving"]
        now = asyncio.get_running_loop().time
        await until(lambda: all(one.knows(leaving, "app", now()) for one in found))
        while not leaving.requests:
            await found[0].fetch()
        await until(lambda: all(not one.knows(leaving, "app", now()) for one in found))
        await stopped(found[:1])
        arrived = len(leaving.requests)
        again = running_gateway(store, node_id=found[0].state.node_id)
        async with again as started:
            await until(lambda: started.state.directory.leaving_ids)
            for _ in range(20):
                assert (await started.fetch()).status == 200
            assert len(leaving.requests) == arrived
        for endpoint in endpoints.values():
            await endpoint.stop()

    run_with_fleet(main)


def test_a_withdrawn_key_stays_refused_when_the_peers_of_a_started_gateway_end():
    # The store came back from a copy. Once the peers were silent for 2 s, the gateway
    # that had started on the copy used the keys of its older configuration.
    async def main(found, store):
        endpoint = await found[0].add(whole(), service="app")
        copy = store.copy()
        store.put("keyed.op", "config", configuration(2, keys=["other"]))
        await until(lambda: all(one.state.table.version == 2 for one in found))
        store.restore(copy)
        async with AsyncExitStack() as stack:
            late = await stack.enter_async_context(
                running_gateway(store, node_id="gateway-late")
            )
            await until(lambda: late.state.table is not None)
            assert (await late.fetch(wait_ms=500)).status == 503
            await stopped(found)
            for _ in range(50):
                assert (await late.fetch(wait_ms=200)).status == 503
                await asyncio.sleep(0.1)
            store.put("keyed.op", "config", configuration(2, keys=["other"]))
            await until(lambda: late.state.table.version == 2)
            assert (await late.fetch()).status == 401
            assert endpoint.requests == []

    run_with_fleet(main, count=3)
