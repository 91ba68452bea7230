"""A change of the directory is read by the gateways that poll the store only."""

import asyncio

from sorrelhoist.decisions.store_readers import READER_COUNT
from sorrelhoist.messages.gen import ttypes
from tests.gateway.test_freshness import run_with_fleet
from tests.platform.fleet import until
from tests.platform.standins import Endpoint, whole

CHANGES = 6


def directory_reads(store):
    return [one for one in store.received if one.query["stream"] == "keyed.servers"]


def test_changes_of_the_directory_cost_the_other_gateways_no_reads():
    # Each change of the directory cost a call by every gateway.
    async def main(found, store):
        endpoint = await Endpoint(scripts=[whole()]).start()
        before = len(directory_reads(store))
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for number in range(CHANGES):
            state = "draining" if number % 2 else "ready"
            entry = endpoint.entry(backend="app", state=state)
            store.put("keyed.servers", f"i-{number // 2}", entry)
            readers = [one for one in found if one.is_reader(loop.time())]
            wanted = {f"i-{number // 2}"} if state == "ready" else set()
            await until(
                lambda wanted=wanted: all(
                    {one.endpoint_id for one in g.state.directory.usable("app", 0.0)}
                    == wanted
                    for g in found
                )
            )
            assert len(readers) == READER_COUNT
        reads = len(directory_reads(store)) - before
        # Each reader reads once in 0.9 s; a lost update costs a read.
        assert reads <= READER_COUNT * ((loop.time() - began_s) / 0.9 + 1) + 1
        applied = sum(one.state.directory_updates["applied"] for one in found)
        assert applied >= CHANGES * (len(found) - READER_COUNT) - 1
        await endpoint.stop()

    run_with_fleet(main)


def test_an_update_of_another_era_is_not_applied():
    async def main(found, store):
        asking = found[0]
        era = asking.exchange.freshness.own.directory_era
        digest = asking.state.directory.digest
        update = ttypes.DirectoryUpdate("g", era + 1, digest, digest + 1, [], 0)
        asking.exchange.freshness.message_received(update)
        assert asking.state.directory_updates == {"other era": 1}

    run_with_fleet(main)
