"""A gateway that has just started holds requests until it knows its configuration."""

import asyncio
import time

from tests.platform.fleet import configuration, running_gateway, until
from tests.platform.standins import Endpoint, Store, whole


def run_with_starting_gateway(main, mode="up"):
    """Run a gateway whose store has an endpoint and, so far, no configuration."""

    async def run():
        async with asyncio.timeout(30.0):
            store = await Store().start()
            store.mode = mode
            endpoint = await Endpoint(scripts=[whole()]).start()
            store.put("keyed.servers", "i-1", endpoint.entry(backend="app"))
            async with running_gateway(store) as fleet:
                await until(lambda: fleet.exchange is not None)
                await main(fleet)
            await endpoint.stop()
            await store.stop()

    asyncio.run(run())


def test_requests_before_the_first_configuration_are_served():
    async def main(fleet):
        calls = [asyncio.ensure_future(fleet.fetch()) for _ in range(6)]
        await until(lambda: fleet.state.startup.held_count == 6)
        await asyncio.sleep(0.1)
        fleet.store.put("keyed.op", "config", configuration())
        answers = await asyncio.gather(*calls)
        assert [one.status for one in answers] == [200] * 6
        assert fleet.state.startup.held_count == 0

    run_with_starting_gateway(main)


def test_a_request_is_refused_when_its_hold_ends():
    async def main(fleet):
        sent_s = time.monotonic()
        refused = await fleet.fetch(wait_ms=600)
        assert (refused.status, refused.body) == (503, b"no configuration yet\n")
        assert time.monotonic() - sent_s < 0.45
        assert float(refused.headers["retry-after"]) <= 0.2

    run_with_starting_gateway(main)


def test_while_the_store_is_away_a_starting_gateway_refuses_at_once():
    async def main(fleet):
        await until(lambda: fleet.state.startup.failed_reads > 1)
        sent_s = time.monotonic()
        assert (await fleet.fetch()).status == 503
        assert time.monotonic() - sent_s < 0.15

    run_with_starting_gateway(main, mode="busy")


def test_a_caller_that_leaves_is_held_no_longer():
    async def main(fleet):
        _, writer = await fleet.send()
        await until(lambda: fleet.state.startup.held_count == 1)
        writer.close()
        await until(lambda: fleet.state.startup.held_count == 0)

    run_with_starting_gateway(main)
