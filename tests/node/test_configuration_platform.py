"""Tests of replica and applier with the log client and the stand-in platform."""

import asyncio
import random
from contextlib import asynccontextmanager

import pytest

from sorrelhoist.clients.log import LogClient
from sorrelhoist.decisions.configuration import VerdictPending
from sorrelhoist.node.configuration import ConfigurationReplica
from sorrelhoist.node.configuration_apply import ConfigurationApplier, Proposal
from sorrelhoist.node.configuration_options import ReplicaOptions
from sorrelhoist.standins.platform import PlatformOptions
from sorrelhoist.standins.testing import running_platform
from tests.node.configuration_fakes import FakeNetwork, FakePeers, domains

FIRST = domains(a="in")


@asynccontextmanager
async def replicas(count, **options):
    async with running_platform(PlatformOptions(**options)) as platform:
        network = FakeNetwork()
        for number in range(count):
            node_id = f"a-{number}"
            network.replicas[node_id] = ConfigurationReplica(
                ReplicaOptions(node_id, "a"),
                LogClient(platform.url, "configuration", request_timeout_s=2.0),
                FakePeers(network, node_id),
                random.Random(number),
            )
        yield platform.state, list(network.replicas.values())
        network.loop.close()


@pytest.mark.parametrize("lost", [0, 1])
def test_applied_change_comes_into_force_in_a_follower(lost):
    async def run():
        async with replicas(2) as (platform, (one, other)):
            in_force = asyncio.Event()
            other.add_listener(
                lambda configuration: configuration.is_domain_in("a") and in_force.set()
            )
            platform.faults.lose_append_answer_count = lost
            async with other.running():
                applier = ConfigurationApplier(one)
                report = await applier.apply(Proposal("x", FIRST))
                await in_force.wait()
            return report

    report = asyncio.run(run())
    assert report.is_final
    assert report.verdict.offset == 1


def test_replica_of_an_empty_log_is_ready_with_no_configuration():
    async def run():
        async with replicas(1) as (_, (replica,)):
            await replica.step()
            return replica

    replica = asyncio.run(run())
    assert replica.is_ready
    assert replica.effective_offset == 0
    assert isinstance(replica.state.fold.verdict("x"), VerdictPending)


def test_run_continues_after_an_unexpected_exception():
    network = FakeNetwork()
    replica = network.add("a-1")
    network.log.put(["{}"])

    async def run():
        schedule, replica.schedule = replica.schedule, None
        async with replica.running():
            await asyncio.sleep(1.0)
            assert not replica.is_ready
            replica.schedule = schedule
            await asyncio.sleep(60.0)

    network.run(run())
    assert replica.is_ready
    network.loop.close()
