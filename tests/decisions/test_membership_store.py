"""State that a member keeps about processes that use its node id stays bounded."""

import random

import attrs

from sorrelhoist.bench.experiments.virtual_network import make_member
from sorrelhoist.decisions.membership_options import MembershipOptions, NodeIdConflict
from sorrelhoist.decisions.membership_store import MAX_TRACKED_BOOTS, MemberStore


def report(store, boot_id):
    """Report another process with the local node id, at another address."""
    local = store.local_member
    store.merge(
        attrs.evolve(
            local,
            boot_id=boot_id,
            address="10.9.9.9",
            incarnation=local.incarnation + 1,
        ),
        now_s=10.0,
    )


def new_store():
    return MemberStore(make_member(1), MembershipOptions(), random.Random(1))


def test_raises_of_many_processes_are_forgotten_oldest_first():
    store = new_store()
    for number in range(4 * MAX_TRACKED_BOOTS):
        report(store, f"other-{number}")
    assert len(store._incarnation_raises) <= MAX_TRACKED_BOOTS


def test_a_process_that_raises_again_and_again_is_a_conflict_among_many():
    store = new_store()
    for number in range(MAX_TRACKED_BOOTS // 2):
        report(store, f"other-{number}")
        report(store, "rival")
    assert any(isinstance(one, NodeIdConflict) for one in store.take_events())
