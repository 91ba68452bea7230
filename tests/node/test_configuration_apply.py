"""Tests of applying: the reported verdict matches the log under all faults."""

import pytest

from sorrelhoist.decisions.configuration import Accepted, Conflict, VerdictPending
from sorrelhoist.decisions.configuration_records import (
    Change,
    Restart,
    encode_record,
)
from sorrelhoist.decisions.documents import diff
from sorrelhoist.exceptions import (
    KeyReusedError,
    LogUnavailableError,
    NotReadyError,
)
from sorrelhoist.node.configuration_confirm import ROUND_INTERVAL_S
from tests.node.configuration_fakes import RETENTION_S, FakeNetwork, domains

FIRST = domains(a="in", b="in", c="in")
SECOND = domains(a="out", b="in", c="in")
THIRD = domains(a="in", b="out", c="in")


@pytest.fixture
def network():
    network = FakeNetwork()
    for node_id in ("a-1", "b-1", "c-1"):
        network.add(node_id)
    network.step()
    network.apply("a-1", FIRST, "first")
    yield network
    network.loop.close()


def offsets(network):
    return [replica.effective_offset for replica in network.replicas.values()]


def test_accepted_change_is_in_force_in_all_processes(network):
    report = network.apply("a-1", SECOND, "second")
    assert report.is_final
    assert report.verdict.revision == 2
    assert sorted(report.confirmations.confirmed) == ["b-1", "c-1"]
    assert offsets(network) == [2, 2, 2]
    assert network.replicas["a-1"].peer_offsets() == {"b-1": 2, "c-1": 2}


@pytest.mark.parametrize(
    ("fault", "verdict", "records"),
    [
        ("rate_limited", Accepted, 2),
        ("lost_after", Accepted, 2),
        ("lost_before", VerdictPending, 1),
        ("down_after", VerdictPending, 2),
    ],
)
def test_verdict_after_a_fault_of_the_append(network, fault, verdict, records):
    network.log.faults = [fault]
    report = network.apply("a-1", SECOND, "second")
    assert type(report.verdict) is verdict
    assert report.is_final == (verdict is Accepted)
    assert len(network.log.history) == records


def test_pending_verdict_is_resolved_after_the_log_outage(network):
    network.log.faults = ["down_after"]
    network.apply("a-1", SECOND, "second")
    network.log.is_down = False
    report = network.apply("b-1", SECOND, "second")
    assert report.is_final
    assert len(network.log.history) == 2
    assert offsets(network) == [2, 2, 2]


def test_repeat_after_an_append_that_was_lost_appends_again(network):
    network.log.faults = ["lost_before"]
    network.apply("a-1", SECOND, "second")
    assert network.apply("a-1", SECOND, "second").is_final
    assert len(network.log.history) == 2


def test_lost_append_conflicts_once_another_change_has_its_base_revision(network):
    network.log.faults = ["lost_before"]
    network.apply("a-1", SECOND, "second")
    network.apply("b-1", THIRD, "third")
    fold = network.replicas["a-1"].state.fold
    verdict = fold.verdict_from_base("second", 1)
    assert verdict == Conflict("second", 1, 2, "third")


def test_log_outage_before_the_append_appends_nothing(network):
    network.log.is_down = True
    with pytest.raises(LogUnavailableError) as caught:
        network.apply("a-1", SECOND, "second")
    assert caught.value.not_run
    assert len(network.log.history) == 1


def test_second_change_on_the_same_base_revision_conflicts(network):
    report = network.apply("a-1", SECOND, "second", base_revision=1)
    assert isinstance(report.verdict, Accepted)
    report = network.apply("b-1", THIRD, "third", base_revision=1)
    assert report.verdict == Conflict("third", 1, 2, "second")
    assert len(network.log.history) == 2


def test_later_record_in_the_log_loses_the_race(network):
    difference = diff(FIRST, THIRD)
    quick = Change("quick", 1, difference, THIRD.digest)
    network.log.racing = [encode_record(quick)]
    report = network.apply("a-1", SECOND, "slow")
    assert report.verdict == Conflict("slow", 1, 2, "quick")


def test_unchanged_set_is_not_appended(network):
    report = network.apply("b-1", FIRST, "again")
    assert report.is_unchanged
    assert report.is_final
    assert len(network.log.history) == 1


def test_apply_id_with_another_set_is_refused(network):
    with pytest.raises(KeyReusedError):
        network.apply("a-1", SECOND, "first")


def test_result_is_not_final_before_a_majority_of_failure_domains_has_it(network):
    network.cut.add("a-1")
    report = network.apply("a-1", SECOND, "second")
    assert isinstance(report.verdict, Accepted)
    assert not report.is_final
    assert sorted(report.confirmations.missing) == ["b-1", "c-1"]
    network.cut.clear()
    assert network.apply("a-1", SECOND, "second").is_final


def test_accepted_change_survives_the_loss_of_log_and_entry(network):
    network.apply("a-1", SECOND, "second")
    network.log.is_down = True
    network.replicas.pop("a-1")
    network.add("d-1")
    network.step("d-1")
    assert not network.replicas["d-1"].configuration.is_domain_in("a")


def test_large_fleet_fetches_the_set_from_followers_within_one_round(network):
    for number in range(30):
        for domain in "abc":
            network.add(f"{domain}-x{number}")
    network.step()
    started_at_s = network.loop.time()
    report = network.apply("a-1", SECOND, "second")
    assert report.is_final
    assert not report.confirmations.missing
    assert set(offsets(network)) == {2}
    assert network.loop.time() - started_at_s < 1.5 * ROUND_INTERVAL_S


def test_apply_does_not_wait_for_a_partitioned_failure_domain(network):
    for number in range(200):
        network.add(f"c-x{number}")
    network.cut.update(name for name in network.replicas if name.startswith("c-"))
    started_at_s = network.loop.time()
    report = network.apply("a-1", SECOND, "second")
    assert report.is_final
    assert len(report.confirmations.missing) == 201
    assert network.loop.time() - started_at_s < 6.0


def test_restart_recovers_from_a_lost_configuration(network):
    network.advance_time(2 * RETENTION_S)
    network.replicas.clear()
    for node_id in ("a-2", "b-2"):
        network.add(node_id)
    network.step()
    with pytest.raises(NotReadyError):
        network.apply("a-2", SECOND, "x")
    report = network.apply("a-2", domains(a="in", b="in"), "y", is_restart=True)
    assert report.is_final
    assert network.apply("b-2", SECOND, "z", base_revision=2).verdict.revision == 3


def test_restart_is_refused_while_a_configuration_is_in_force(network):
    with pytest.raises(NotReadyError):
        network.apply("a-1", SECOND, "x", is_restart=True)


def test_restart_with_an_outdated_offset_is_rejected(network):
    network.apply("a-1", SECOND, "second")
    network.log.put([encode_record(Restart("late", 2, FIRST))])
    network.step()
    assert offsets(network) == [2, 2, 2]
    fold = network.replicas["b-1"].state.fold
    assert isinstance(fold.verdict("late"), Conflict)
