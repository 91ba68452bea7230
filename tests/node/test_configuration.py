"""Tests of the configuration replica under faults of the log and of peers."""

import pytest

from sorrelhoist.decisions.configuration_records import (
    Change,
    encode_record,
)
from sorrelhoist.decisions.documents import DocumentSet, diff
from sorrelhoist.exceptions import PeerError
from sorrelhoist.messages.gen import ttypes
from tests.node.configuration_fakes import RETENTION_S, FakeNetwork, domains

FIRST = domains(a="in", b="in", c="in")
SECOND = domains(a="out", b="in", c="in")
THIRD = domains(a="in", b="out", c="in")


def change(base, base_revision, target, apply_id="id"):
    record = Change(apply_id, base_revision, diff(base, target), target.digest)
    return encode_record(record)


@pytest.fixture
def network():
    network = FakeNetwork()
    network.log.put([change(DocumentSet(), 0, FIRST)])
    yield network
    network.loop.close()


def test_replica_follows_the_log_and_notifies_listeners(network):
    replica = network.add("a-1")
    received = []
    replica.add_listener(received.append)
    network.step()
    network.log.put([change(FIRST, 1, SECOND)])
    network.step()
    assert [item.is_domain_in("a") for item in received] == [True, False]
    assert replica.effective_offset == 2


def test_failing_listener_does_not_stop_the_others(network):
    replica = network.add("a-1")
    received = []
    replica.add_listener(lambda configuration: 1 / 0)
    replica.add_listener(received.append)
    network.step()
    assert len(received) == 1


def test_without_log_or_peers_a_replica_is_not_ready(network):
    network.log.is_down = True
    replica = network.add("a-1")
    network.step()
    assert not replica.is_ready
    assert replica.is_stale(network.loop.time())
    assert [alarm.kind for alarm in replica.alarms()] == ["no_configuration"]


def test_new_replica_gets_the_configuration_from_a_peer_during_a_log_outage(network):
    network.add("a-1")
    network.step()
    network.log.is_down = True
    replica = network.add("b-1")
    network.step("b-1")
    assert replica.is_ready
    assert replica.configuration.is_domain_in("a")


def test_newer_state_of_a_peer_is_adopted_and_older_state_is_ignored(network):
    network.add("a-1")
    network.add("b-1")
    network.step()
    network.log.put([change(FIRST, 1, SECOND)])
    network.step("a-1")
    old_body = network.replicas["b-1"].state.body()
    network.log.is_down = True
    network.gossip("a-1", "b-1")
    assert network.replicas["b-1"].effective_offset == 2
    network.replicas["b-1"].handle(old_body)
    network.gossip("b-1", "a-1")
    assert [replica.effective_offset for replica in network.replicas.values()] == [2, 2]


def test_configuration_that_cannot_be_parsed_is_not_confirmed(network):
    replica = network.add("a-1")
    network.step()
    newer = DocumentSet.from_plain([{"kind": "FailureDomain", "name": "a", "state": 7}])
    network.log.put([change(FIRST, 1, newer)])
    network.step()
    assert replica.configuration.is_domain_in("b")
    assert replica.is_stale(network.loop.time())
    assert [alarm.kind for alarm in replica.alarms()] == [
        "configuration_not_understood"
    ]
    ack = replica.handle(ttypes.ConfigurationRequest(have_offset=2))
    assert ack.effective_offset == 0
    network.log.put([change(newer, 2, SECOND)])
    network.step()
    assert not replica.is_stale(network.loop.time())
    assert not replica.configuration.is_domain_in("a")


def test_damaged_body_is_refused(network):
    replica = network.add("a-1")
    network.step()
    body = network.replicas["a-1"].state.body()
    for documents in (b"", b"junk", body.documents[:-9]):
        damaged = ttypes.ConfigurationBody(9, 9, body.digest, documents)
        with pytest.raises(PeerError):
            replica.handle(damaged)
    with pytest.raises(PeerError):
        replica.handle(ttypes.ConfigurationBody(9, 1, body.digest, body.documents))
    with pytest.raises(PeerError):
        replica.handle(ttypes.Renew())


def test_checkpoints_preserve_the_configuration_beyond_log_retention(network):
    network.add("a-1", poll_interval_s=20.0)
    network.add("b-1", poll_interval_s=20.0)
    for _ in range(300):
        network.step()
        network.advance_time(20.0)
    assert network.log.log.first_offset > 1
    checkpoints = len(network.log.history) - 1
    assert checkpoints < 3 * network.loop.time() / (0.3 * RETENTION_S)
    network.replicas.clear()
    replica = network.add("c-1")
    network.step("c-1")
    assert replica.configuration.is_domain_in("a")


def test_outdated_checkpoint_of_a_paused_process_is_ignored(network):
    network.add("a-1")
    network.step()
    late = encode_record(network.replicas["a-1"].state.fold.state)
    network.log.put([change(FIRST, 1, SECOND)])
    network.step()
    network.advance_time(0.9 * RETENTION_S)
    network.step()
    network.advance_time(0.2 * RETENTION_S)
    network.log.put([late])
    replica = network.add("b-1")
    network.replicas.pop("a-1")
    network.step("b-1")
    assert not replica.configuration.is_domain_in("a")
    assert replica.effective_offset == 2


def test_expired_log_without_checkpoint_is_recovered_from_a_peer(network):
    network.add("a-1")
    network.step()
    network.advance_time(2 * RETENTION_S)
    network.cut.add("a-1")
    replica = network.add("b-1")
    network.step("b-1")
    assert not replica.is_ready
    assert [alarm.kind for alarm in replica.alarms()] == ["configuration_lost"]
    network.cut.clear()
    network.step("b-1")
    assert replica.configuration.is_domain_in("a")
    assert replica.is_caught_up
    assert replica.alarms() == []


def test_replica_that_missed_expired_records_recovers_from_the_checkpoint(network):
    network.add("a-1")
    network.add("b-1")
    network.step()
    network.log.put([change(FIRST, 1, SECOND)])
    network.step("a-1")
    network.advance_time(0.6 * RETENTION_S)
    network.step("a-1")
    network.advance_time(0.6 * RETENTION_S)
    network.cut.add("b-1")
    network.step("b-1")
    assert network.replicas["b-1"].effective_offset == 2
    assert network.replicas["b-1"].is_caught_up


def test_partitioned_replica_becomes_stale_and_recovers(network):
    replica = network.add("a-1")
    network.add("b-1")
    network.step()
    network.log.is_down = True
    network.cut.add("a-1")
    network.advance_time(59.0)
    assert not replica.is_stale(network.loop.time())
    network.advance_time(2.0)
    assert replica.is_stale(network.loop.time())
    assert [alarm.kind for alarm in replica.alarms()] == ["configuration_stale"]
    network.cut.clear()
    network.gossip("b-1", "a-1")
    assert not replica.is_stale(network.loop.time())


def test_log_that_lost_records_raises_an_alarm_and_changes_nothing(network):
    replica = network.add("a-1")
    network.log.put([change(FIRST, 1, SECOND)])
    network.step()
    network.log.log = type(network.log.log)()
    network.log.put([change(DocumentSet(), 0, THIRD)])
    network.advance_time(61.0)
    network.step()
    assert replica.effective_offset == 2
    assert replica.is_stale(network.loop.time())
    assert "log_went_back" in [alarm.kind for alarm in replica.alarms()]


def test_checkpoint_append_without_answer_is_not_repeated(network):
    replica = network.add("a-1")
    network.step()
    network.advance_time(0.55 * RETENTION_S)
    network.log.faults = ["lost_after"]
    network.step()
    network.step()
    assert len(network.log.history) == 2
    assert replica.is_caught_up


def test_only_followers_long_poll_the_log(network):
    for number in range(6):
        network.add(f"a-{number}")
    followers = [
        replica for replica in network.replicas.values() if replica.is_follower()
    ]
    assert len(followers) == 2
    pauses = [network.run(replica.step()) for replica in network.replicas.values()]
    assert sum(pause_s < 1.0 for pause_s in pauses) == 2
