"""Endpoints that register, leave, expire and register again."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions import directory as directory_module
from sorrelhoist.decisions.directory import (
    LEAVING_GRACE_S,
    LEAVING_REPORT_S,
    OUTAGE_GAP_S,
    REMOVAL_HOLD_S,
    STARTED_PEER_REPORT_S,
    Directory,
    Endpoint,
)

ONE = Endpoint(
    endpoint_id="i-1",
    service="llm",
    address="10.0.0.1:80",
    failure_domain="zone-a",
    capacity=8,
)


def known(now_s=10.0):
    directory = Directory()
    directory.read_succeeded(now_s - 1.0)
    directory.read_succeeded(now_s)
    directory.put(ONE, now_s)
    return directory


def reads(directory, *times_s):
    for now_s in times_s:
        directory.read_succeeded(now_s)


def test_a_leaving_endpoint_is_unusable_at_once():
    directory = known()
    assert directory.put(attrs.evolve(ONE, is_leaving=True), 10.5)
    assert directory.usable("llm", 10.5) == []
    assert not directory.is_usable(ONE, 10.5)


def test_an_endpoint_removed_without_an_outage_is_unusable_at_once():
    directory = known()
    reads(directory, 11.0, 12.0, 13.0, 14.0)
    directory.remove("i-1", 14.0)
    assert not directory.is_usable(ONE, 14.0)


def test_an_endpoint_that_expired_in_an_outage_stays_usable_for_the_hold_time():
    directory = known()
    back_s = 10.0 + OUTAGE_GAP_S + 5.0
    reads(directory, back_s)
    directory.remove("i-1", back_s)
    assert directory.is_usable(ONE, back_s + REMOVAL_HOLD_S - 0.1)
    assert directory.put(ONE, back_s + 1.0)
    assert directory.is_usable(ONE, back_s + REMOVAL_HOLD_S + 5.0)


def test_an_endpoint_that_does_not_register_again_is_dropped():
    directory = known()
    back_s = 10.0 + OUTAGE_GAP_S + 5.0
    reads(directory, back_s)
    directory.remove("i-1", back_s)
    assert directory.usable("llm", back_s + REMOVAL_HOLD_S) == []


def test_a_heartbeat_without_new_data_is_not_a_change():
    directory = known()
    assert not directory.put(ONE, 11.0)
    assert directory.put(attrs.evolve(ONE, address="10.0.0.2:80"), 12.0)


def test_endpoints_of_a_failure_domain_that_is_out_are_unusable():
    directory = known()
    directory.set_domains_out(frozenset({"zone-a"}))
    assert directory.usable("llm", 10.0) == []
    assert not directory.is_usable(ONE, 10.0)
    directory.set_domains_out(frozenset())
    assert directory.usable("llm", 10.0) == [ONE]


# A store that comes back from an older copy


def test_a_copy_makes_no_endpoint_ready_that_is_leaving_or_gone():
    directory = known()
    two = attrs.evolve(ONE, endpoint_id="i-2")
    directory.put(two, 10.0)
    directory.put(attrs.evolve(ONE, is_leaving=True), 10.2)
    directory.remove("i-2", 10.4)
    restored = directory.restore([ONE, two], 11.0)
    assert restored.refused == ("i-1", "i-2")
    assert directory.usable("llm", 11.0) == []
    assert directory.usable("llm", 11.0 + REMOVAL_HOLD_S) == []
    assert not directory.is_usable(two, 11.0)


def test_a_registration_after_the_restoration_is_a_new_one():
    directory = known()
    directory.remove("i-1", 10.4)
    directory.restore([ONE], 11.0)
    directory.put(ONE, 11.5)
    assert directory.usable("llm", 11.5) == [ONE]


def test_a_copy_that_lacks_an_endpoint_removes_it_only_after_the_hold_time():
    # No gap between two reads of the directory was long enough for an outage.
    directory = known()
    restored = directory.restore([], 10.5)
    directory.read_succeeded(10.5)
    assert restored.missing == ("i-1",)
    assert directory.usable("llm", 10.5 + REMOVAL_HOLD_S - 0.1) == [ONE]
    assert directory.usable("llm", 10.5 + REMOVAL_HOLD_S) == []


def test_an_endpoint_that_registers_within_the_hold_time_stays():
    directory = known()
    directory.restore([], 10.5)
    directory.put(ONE, 11.5)
    assert directory.usable("llm", 10.5 + REMOVAL_HOLD_S + 5.0) == [ONE]


def test_an_endpoint_that_is_missing_and_leaving_gets_no_work():
    directory = known()
    directory.put(attrs.evolve(ONE, is_leaving=True), 10.2)
    directory.restore([], 10.5)
    assert directory.usable("llm", 10.6) == []


def test_an_endpoint_that_only_the_copy_has_is_used():
    directory = Directory()
    directory.restore([ONE], 10.5)
    assert directory.usable("llm", 10.6) == [ONE]


def test_a_second_copy_does_not_bring_back_an_endpoint_that_was_taken_as_gone():
    directory = known()
    directory.restore([], 10.5)
    assert directory.usable("llm", 10.5 + REMOVAL_HOLD_S) == []
    assert directory.restore([ONE], 14.0).refused == ("i-1",)
    assert directory.usable("llm", 14.0) == []


# Endpoints that say in their answers that they are leaving

BORN = attrs.evolve(ONE, born_ms=1000)
OTHER = attrs.evolve(ONE, endpoint_id="i-2", address="10.0.0.2:80", born_ms=1000)


def record(**changes):
    return lambda directory, now_s: directory.put(attrs.evolve(BORN, **changes), now_s)


def answer(born_ms=1000, is_own=True):
    return lambda directory, now_s: directory.said_leaving(
        "i-1", born_ms, now_s, is_own
    )


def restored_copy(directory, now_s):
    directory.restore([BORN, OTHER], now_s)


@pytest.mark.parametrize(
    "events, is_usable",
    [
        ([answer()], False),
        ([answer(is_own=False)], False),
        ([answer(), record()], False),
        ([answer(is_own=False), record()], False),
        ([answer(), record(is_leaving=True), record()], False),
        ([answer(), restored_copy], False),
        ([record(is_leaving=True), answer(), restored_copy], False),
        ([answer(), record(born_ms=2000)], True),
        ([answer(), record(born_ms=2000), answer()], True),
        ([answer(), record(born_ms=2000), answer(born_ms=2000)], False),
        ([answer(), record(address="10.0.0.9:80", born_ms=2000)], True),
        ([answer(born_ms=900)], True),
        ([record(is_leaving=True), record()], True),
    ],
)
def test_order_of_evidence_that_an_endpoint_is_leaving(events, is_usable):
    directory = known()
    directory.put(BORN, 10.0)
    directory.put(OTHER, 10.0)
    for number, event in enumerate(events):
        event(directory, 10.1 + number * 0.1)
    usable = [one.endpoint_id for one in directory.usable("llm", 12.0)]
    assert usable == (["i-1", "i-2"] if is_usable else ["i-2"])
    found = attrs.evolve(BORN, endpoint_id="i-1")
    assert directory.is_usable(found, 12.0) is is_usable


def test_an_endpoint_of_another_id_at_the_address_of_one_that_leaves_is_usable():
    directory = known()
    directory.put(BORN, 10.0)
    directory.said_leaving("i-1", 1000, 10.1)
    directory.put(attrs.evolve(BORN, endpoint_id="i-9", born_ms=2000), 10.2)
    assert [one.endpoint_id for one in directory.usable("llm", 10.3)] == ["i-9"]


def test_if_all_leave_they_are_used_for_a_while():
    directory = known()
    directory.put(BORN, 10.0)
    directory.said_leaving("i-1", 1000, 10.1)
    assert directory.is_usable(BORN, 10.1 + LEAVING_GRACE_S / 2)
    assert directory.usable("llm", 10.1 + LEAVING_GRACE_S) == []
    assert not directory.is_usable(BORN, 10.1 + LEAVING_GRACE_S)


def test_only_own_answers_are_reported_to_the_others():
    directory = known()
    directory.put(BORN, 10.0)
    directory.put(OTHER, 10.0)
    assert directory.said_leaving("i-1", 1000, 10.1)
    assert not directory.said_leaving("i-1", 1000, 10.2)
    assert directory.said_leaving("i-2", 1000, 10.2, is_own=False)
    assert list(directory.leaving_to_report(10.3)) == ["i-1"]
    assert directory.leaving_to_report(10.1 + LEAVING_REPORT_S) == {}


def test_a_peer_that_starts_is_told_of_all_endpoints_that_are_leaving():
    # The gateway that heard it ended; the one that started in its place used it again.
    directory = known()
    directory.put(BORN, 10.0)
    directory.said_leaving("i-1", 1000, 10.2, is_own=False)
    now_s = 10.2 + 2 * LEAVING_REPORT_S
    version = directory.leaving_version
    directory.peer_started(now_s)
    assert list(directory.leaving_to_report(now_s + STARTED_PEER_REPORT_S / 2)) == [
        "i-1"
    ]
    assert directory.leaving_version > version
    assert directory.leaving_to_report(now_s + STARTED_PEER_REPORT_S) == {}


def test_the_digest_is_not_computed_from_all_endpoints_for_each_answer(monkeypatch):
    # A gateway that polls the store for 300 others sends it 750 times a second.
    directory = Directory()
    for number in range(3_000):
        directory.put(attrs.evolve(ONE, endpoint_id=f"i-{number}"), now_s=1.0)
    computed = []
    monkeypatch.setattr(directory_module, "_digest_of", computed.append)
    for _ in range(750):
        assert directory.digest
    assert not computed


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["put", "cold", "leaving", "remove", "keep", "restore"]),
            st.sampled_from(["a", "b", "c"]),
        )
    )
)
def test_the_digest_is_that_of_the_endpoints_that_are_registered(steps):
    directory = Directory()
    for now_s, (step, endpoint_id) in enumerate(steps, start=1):
        one = attrs.evolve(ONE, endpoint_id=endpoint_id)
        match step:
            case "put":
                directory.put(one, now_s)
            case "cold":
                directory.put(attrs.evolve(one, cold_until_s=now_s + 3.0), now_s)
            case "leaving":
                directory.put(attrs.evolve(one, is_leaving=True), now_s)
            case "remove":
                directory.remove(endpoint_id, now_s)
            case "keep":
                directory.keep_only({endpoint_id}, now_s)
            case "restore":
                directory.restore([one], now_s)
        copy = Directory()
        for entry in directory.dump(now_s)["endpoints"].values():
            if not entry.pop("removed"):
                del entry["said_leaving"]
                copy.put(Endpoint(**entry), now_s)
        assert directory.digest == copy.digest
