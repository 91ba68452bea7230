"""Replicas hold the newest configuration through faults of log and peers."""

import asyncio

from sorrelhoist.decisions.configuration_records import Change, encode_record
from sorrelhoist.decisions.documents import DocumentSet, FailureDomain, diff
from tests.node.configuration_fakes import FakeNetwork


def domains(**states):
    documents = [FailureDomain(name, state=state) for name, state in states.items()]
    return DocumentSet.from_documents(documents)


def change(base, base_revision, target, apply_id="id"):
    return encode_record(
        Change(apply_id, base_revision, diff(base, target), target.digest)
    )


FIRST = domains(a="in", b="in", c="in")
SECOND = domains(a="out", b="in", c="in")


def test_replica_follows_the_log_and_tells_listeners():
    network = FakeNetwork()
    replica = network.add("a-1")
    heard = []
    replica.add_listener(lambda configuration: heard.append(configuration))
    network.log.log.append([change(DocumentSet(), 0, FIRST)], 0.0)
    asyncio.run(replica.step())
    network.log.log.append([change(FIRST, 1, SECOND)], 0.0)
    asyncio.run(replica.step())
    assert [item.is_domain_in("a") for item in heard] == [True, False]
    assert replica.effective_offset == 2


def test_without_log_or_peers_a_replica_is_not_ready():
    network = FakeNetwork()
    network.log.is_down = True
    replica = network.add("a-1")
    asyncio.run(replica.step())
    assert not replica.is_ready
    assert replica.is_stale(0.0)


def test_new_replica_takes_the_configuration_from_a_peer_in_an_outage():
    network = FakeNetwork()
    network.log.log.append([change(DocumentSet(), 0, FIRST)], 0.0)
    asyncio.run(network.add("a-1").step())
    network.log.is_down = True
    replica = network.add("b-1")
    asyncio.run(replica.step())
    assert replica.is_ready
    assert replica.configuration.is_domain_in("a")
