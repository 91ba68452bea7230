"""A gateway that has just started holds requests until it knows its configuration."""

import asyncio
import random
import time

import pytest

from sorrelhoist.decisions.store_contact import StoreContact
from sorrelhoist.gateway.freshness import Freshness
from sorrelhoist.gateway.state import GatewayState
from sorrelhoist.messages.gen import ttypes
from tests.platform.fleet import (
    configuration,
    read_answer,
    running_gateway,
    until,
)
from tests.platform.real_gateway import head
from tests.platform.standins import Endpoint, Store, whole
from tests.virtual_loop import run_virtual


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


@pytest.mark.parametrize("mode, status", [("up", 200), ("busy", 503)])
def test_a_body_is_awaited_only_by_a_gateway_that_can_serve_soon(mode, status):
    async def main(fleet):
        if mode == "busy":
            await until(lambda: fleet.state.startup.failed_reads > 1)
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.front_port)
        writer.write(head("/once/1", "POST", extra=["Content-Length: 1"]))
        if status == 200:
            await asyncio.sleep(0.3)
            fleet.store.put("keyed.op", "config", configuration())
            await until(lambda: fleet.state.table is not None)
            writer.write(b"x")
        async with asyncio.timeout(1.0):
            assert (await read_answer(reader, writer)).status == status

    run_with_starting_gateway(main, mode=mode)


DRAWS = 300


class StartingPeers:
    """Peers that answer queries from a given time on, as those that start too."""

    def __init__(self, count, up_at_s, seed=1):
        self.up_at_s = {f"g-{n}": up_at_s * (n + 1) for n in range(count)}
        state = GatewayState(
            node_id="first",
            failure_domain="a",
            contact=StoreContact(5.0),
            rng=random.Random(seed),
        )
        self.freshness = Freshness(state, self.send)
        self.queries = 0

    def send(self, node_id, query):
        self.queries += 1
        if asyncio.get_running_loop().time() < self.start_s + self.up_at_s[node_id]:
            return
        answer = ttypes.FreshnessAnswer(
            node_id=node_id,
            ask_id=query.ask_id,
            configuration_offset=-1,
            configuration_age_ms=2**31 - 1,
            directory_digest=0,
            directory_age_ms=2**31 - 1,
        )
        loop = asyncio.get_running_loop()
        loop.call_later(0.002, self.freshness.message_received, answer)

    async def ask(self):
        """Ask them, and return how long that took."""
        loop = asyncio.get_running_loop()
        self.start_s = loop.time()
        await self.freshness.ask_versions(sorted(self.up_at_s))
        return loop.time() - self.start_s

    def wait_s(self):
        return run_virtual(self.ask())


@pytest.mark.parametrize("count", [2, 4, 29, 67, 299])
def test_gateways_that_all_start_do_not_wait_for_peers_in_vain(count):
    # Replay: all processes are killed, and are up again 10 ms after one another. The
    # first one asked five peers once, and waited 0.3 s for answers that could not come.
    # Which of them it asks is drawn: in 1 to 3 of 100 draws it waited 0.2 to 0.26 s.
    async def main():
        up_at_s = 0.01 if count < 10 else 0.3 / count
        for seed in range(DRAWS):
            peers = StartingPeers(count, up_at_s, seed)
            waited_s = await peers.ask()
            assert waited_s < 0.2, f"seed {seed}"
            assert peers.queries <= 20, f"seed {seed}"

    run_virtual(main())


def test_two_answers_of_one_peer_count_once():
    peers = StartingPeers(2, up_at_s=0.2)
    assert peers.wait_s() == pytest.approx(0.3, abs=0.02)


def test_peers_that_are_up_are_waited_for_only_briefly():
    assert StartingPeers(30, up_at_s=0.0).wait_s() < 0.02
