"""A change of the directory is read by the gateways that poll the store only."""

import asyncio

import pytest

from sorrelhoist.decisions.store_readers import READER_COUNT
from sorrelhoist.messages.gen import ttypes
from sorrelhoist.platform.source import ENDPOINT_TOPIC
from sorrelhoist.platform.topic_poller import TopicPoller
from tests.gateway.test_freshness import run_with_fleet
from tests.platform.fleet import until
from tests.platform.standins import Endpoint, whole

CHANGES = 6


@pytest.fixture
def directory_reads(monkeypatch):
    """Return pairs of a gateway and whether it had to read again, one for each read."""
    reads, read = [], TopicPoller._read

    async def recorded(poller, now_s):
        entry = [poller.completed.__self__._state.node_id, False]
        if poller.topic == ENDPOINT_TOPIC:
            reads.append(entry)
        known_s = await read(poller, now_s)
        entry[1] = known_s is None
        return known_s

    monkeypatch.setattr(TopicPoller, "_read", recorded)
    return reads


def test_changes_of_the_directory_cost_the_other_gateways_no_reads(directory_reads):
    # Each change of the directory cost a call by every gateway.
    async def main(found, store):
        endpoint = await Endpoint(scripts=[whole()]).start()
        directory_reads.clear()
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
        names = {one.state.node_id for one in readers}
        # A lost update costs a read.
        assert sum(node_id not in names for node_id, _ in directory_reads) <= 1
        # Each reader reads once in 0.9 s, and again if the other one's update arrives
        # during its read.
        repeated = sum(is_repeated for _, is_repeated in directory_reads)
        assert repeated <= sum(
            one.state.directory_updates["applied"] for one in readers
        )
        most = READER_COUNT * ((loop.time() - began_s) / 0.9 + 1) + 1
        assert len(directory_reads) - repeated <= most
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
