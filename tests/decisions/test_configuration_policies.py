"""Followers, checkpoints, staleness and confirmations."""

import random

import attrs
import pytest

from sorrelhoist.decisions.configuration_checkpoints import CheckpointSchedule
from sorrelhoist.decisions.configuration_confirmations import Confirmations
from sorrelhoist.decisions.configuration_followers import choose_followers
from sorrelhoist.decisions.configuration_freshness import Freshness
from sorrelhoist.decisions.configuration_records import Checkpoint, encode_record
from sorrelhoist.decisions.documents import DocumentSet

THREE = ("a", "b", "c")


def test_followers_change_by_one_when_one_leaves():
    node_ids = [f"node-{number}" for number in range(100)]
    chosen = choose_followers(node_ids)
    left = choose_followers([item for item in node_ids if item != chosen[0]])
    assert len(set(chosen) - set(left)) == 1


@pytest.mark.parametrize(
    ("heard", "domains", "is_stale"),
    [
        ({}, THREE, True),
        ({"b": 5.0}, THREE, False),
        ({"b": -60.0}, THREE, True),
        ({"a": 5.0}, THREE, True),
        ({"x": 5.0}, THREE, True),
        ({"b": 5.0}, ("a", "b", "c", "d"), True),
        ({"b": 5.0, "c": 5.0}, ("a", "b", "c", "d"), False),
        ({"a": 5.0}, ("a",), False),
        ({}, ("a",), True),
    ],
)
def test_is_stale_without_recent_contact_to_a_majority_of_domains(
    heard, domains, is_stale
):
    freshness = Freshness("a", stale_after_s=60.0)
    for name, heard_at_s in heard.items():
        freshness.record_peer_contact(name, heard_at_s)
    assert freshness.is_stale(domains, now_s=10.0) == is_stale


def test_is_stale_when_the_last_log_read_is_too_old():
    freshness = Freshness("a", stale_after_s=60.0)
    freshness.record_log_read(0.0)
    assert not freshness.is_stale(THREE, 59.9)
    assert freshness.is_stale(THREE, 60.0)


def schedule(seed=0):
    return CheckpointSchedule(1000.0, random.Random(seed))


def test_checkpoint_is_due_well_before_the_oldest_needed_record_expires():
    times = set()
    for seed in range(50):
        decision = schedule(seed)
        decision.observe(1, 100.0, "{}", now_s=0.0)
        due = [t for t in range(0, 900) if decision.is_due(1, True, float(t))]
        late = [t for t in range(0, 900) if decision.is_due(1, False, float(t))]
        times.add(due[0])
        assert 200 <= due[0] <= 400 < 500 <= late[0] <= 650
    assert len(times) > 30


def test_checkpoint_counts_from_its_as_of_offset():
    decision = schedule()
    for offset in (1, 2, 3):
        decision.observe(offset, 0.0, "{}", now_s=float(offset))
    checkpoint = encode_record(Checkpoint(2, 0, 0, DocumentSet()))
    decision.observe(4, 0.0, checkpoint, now_s=390.0)
    assert not decision.is_due(1, True, 300.0)
    assert decision.is_due(1, True, 503.0)
    assert not decision.is_due(3, True, 300.0)
    assert decision.is_due(4, True, 300.0)


def test_older_checkpoint_does_not_delay_the_next_one():
    decision = schedule()
    newer = encode_record(Checkpoint(2, 0, 0, DocumentSet()))
    older = encode_record(Checkpoint(1, 0, 0, DocumentSet()))
    for offset, text in enumerate(["{}", "{}", "{}", newer, older], start=1):
        decision.observe(offset, 0.0, text, now_s=0.0)
    assert decision.as_of_offset == 2


def test_many_records_make_a_checkpoint_due():
    decision = schedule()
    for offset in range(1, 502):
        decision.observe(offset, 0.0, "{}", now_s=0.0)
    assert decision.is_due(1, True, 0.0)


@attrs.frozen
class Member:
    node_id: str
    failure_domain: str


@pytest.mark.parametrize(
    ("confirmed", "domains", "has_quorum"),
    [
        ("", "abc", False),
        ("a", "abc", False),
        ("b", "abc", True),
        ("x", "abc", False),
        ("b", "abcd", False),
        ("bd", "abcd", True),
        ("", "a", True),
        ("b", "ab", True),
        ("", "ab", False),
    ],
)
def test_quorum_needs_confirmations_from_a_majority_of_domains(
    confirmed, domains, has_quorum
):
    confirmations = Confirmations(7, "a", frozenset(domains))
    members = [Member(f"{name}-1", name) for name in "abcdx"]
    confirmations.start_round(members)
    for member in members:
        confirmations.record_confirmation(
            member, 7 if member.failure_domain in confirmed else 6
        )
    assert confirmations.has_quorum == has_quorum
    assert len(confirmations.missing) == len(members) - len(confirmed)
