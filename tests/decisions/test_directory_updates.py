"""Changes of the directory reach other gateways whole and in order, or not at all."""

import random

import attrs
import pytest

from sorrelhoist.decisions.directory import Directory, Endpoint
from sorrelhoist.decisions.directory_updates import DirectoryChange, chained_updates

READY = Endpoint(
    endpoint_id="i-1", service="app", address="h:1", failure_domain="a", capacity=8
)
LEAVING = attrs.evolve(READY, is_leaving=True)
OTHER = attrs.evolve(READY, endpoint_id="i-2", address="h:2")


def directory_of(*endpoints):
    directory = Directory()
    directory.read_succeeded(1.0)
    for endpoint in endpoints:
        directory.put(endpoint, 1.0)
    return directory


def digest_of(*endpoints):
    return directory_of(*endpoints).digest


@pytest.mark.parametrize(
    ("own", "changed", "before", "after"),
    [
        ((READY, OTHER), {"i-1": LEAVING}, digest_of(READY), digest_of(LEAVING)),
        ((READY,), {"i-1": LEAVING}, digest_of(READY), digest_of(LEAVING, OTHER)),
        ((LEAVING,), {"i-1": READY}, digest_of(READY), digest_of(LEAVING)),
    ],
)
def test_an_update_of_another_state_changes_nothing(own, changed, before, after):
    directory = directory_of(*own)
    assert not directory.update(changed, before, after, 2.0)
    assert directory.digest == digest_of(*own)


def test_a_late_update_does_not_bring_an_endpoint_back_that_has_left():
    directory = directory_of(OTHER)
    directory.put(READY, 1.0)
    directory.remove("i-1", 2.0)
    registered = (digest_of(OTHER), digest_of(OTHER, READY))
    assert not directory.update({"i-1": READY}, *registered, 2.1)
    assert [one.endpoint_id for one in directory.usable("app", 5.0)] == ["i-2"]


@pytest.mark.parametrize("gateways", [5, 30, 68, 300])
def test_gateways_follow_a_reader_though_updates_are_lost_and_repeated(gateways):
    rng = random.Random(gateways)
    reader, others = directory_of(), [directory_of() for _ in range(gateways - 1)]
    reads = updates_sent = 0
    for step in range(40):
        endpoint = attrs.evolve(READY, endpoint_id=f"i-{step // 2}")
        endpoint = attrs.evolve(endpoint, is_leaving=bool(step % 2))
        before = reader.digest
        reader.put(endpoint, 2.0)
        change = DirectoryChange(endpoint.endpoint_id, b"r", before ^ reader.digest)
        [update] = chained_updates([change], reader.digest, gateways - 1)
        assert (update.digest_before, update.digest_after) == (before, reader.digest)
        for other in others:
            updates_sent += 1
            for _ in range(rng.choice([0, 1, 1, 1, 1, 1, 1, 1, 1, 2])):
                changed = {endpoint.endpoint_id: endpoint}
                other.update(changed, update.digest_before, update.digest_after, 2.0)
            if other.digest != reader.digest:  # not confirmed: reads the store
                reads += 1
                other.put(endpoint, 2.0)
            assert other.digest == reader.digest
    assert reads < updates_sent * 0.2
