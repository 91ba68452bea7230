"""Planning of endpoint groups, and their reservation by contending entries."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.bench.experiments.groups import VARIANTS, Sigma
from sorrelhoist.bench.experiments.virtual_groups import LEASE_S, ContentionSimulation
from sorrelhoist.decisions.groups import (
    MAX_GROUP_SIZE,
    FixedOrderReservation,
    long_capacity_tokens,
    needs_group,
    plan_groups,
    share_tokens,
)
from sorrelhoist.decisions.groups_parts import (
    GroupReserved,
    PartQueue,
    PartRelease,
    PartRequest,
    PartResponse,
    PartStatus,
    ReservationEnded,
)
from sorrelhoist.decisions.routing import Target

NAMES = ("e-1", "e-2", "e-3")
RESERVATION_TIMEOUT_S = 40.0
ROUNDING_S = 1e-6
# After the last start: the deadline, the longest run, and the expiry of leases.
END_BOUND_S = RESERVATION_TIMEOUT_S + 6.0 + 2 * LEASE_S


def targets(domain, *capacities):
    return [Target(f"{domain}-{i}", "n", domain, c) for i, c in enumerate(capacities)]


PLANS = {
    "two of three": (1400, targets("a", 1000, 1000, 1000), [["a-0", "a-1"]]),
    "largest first": (1400, targets("a", 10, 1000, 1000), [["a-1", "a-2"]]),
    "smallest group first": (
        2900,
        targets("a", 1000, 1000, 1000, 1000, 1000) + targets("b", 3000, 3000),
        [["b-0", "b-1"], [f"a-{i}" for i in range(4)]],
    ),
    "not across domains": (2900, targets("a", 1000, 1000) + targets("b", 1000), []),
    "too many parts": (10**6, targets("a", *[1000] * 20), []),
    "nothing": (1, [], []),
}


@pytest.mark.parametrize("case", PLANS.values(), ids=PLANS)
def test_plan_groups_chooses_fewest_endpoints_of_one_domain(case):
    kv_tokens, members, expected = case
    plans = plan_groups(kv_tokens, members)
    assert [[target.endpoint for target in plan] for plan in plans] == expected


@given(
    st.integers(1, 10_000),
    st.lists(st.tuples(st.sampled_from("ab"), st.integers(1, 4000)), max_size=12),
)
def test_planned_groups_have_capacity_for_the_prompt_fuzz(kv_tokens, made):
    members = [Target(f"e-{i}", "n", d, c) for i, (d, c) in enumerate(made)]
    for plan in plan_groups(kv_tokens, members):
        share = share_tokens(kv_tokens, len(plan))
        assert share * len(plan) >= kv_tokens
        assert all(share <= long_capacity_tokens(target) for target in plan)
        assert len({target.failure_domain for target in plan}) == 1
        assert 2 <= len(plan) <= MAX_GROUP_SIZE
        names = [target.endpoint for target in plan]
        assert names == sorted(set(names))


def test_group_is_needed_only_above_the_largest_endpoint():
    members = targets("a", 500, 1000)
    most = long_capacity_tokens(members[1])
    assert not needs_group(most, members)
    assert needs_group(most + 1, members)
    assert not needs_group(1, [])


def respond(request, status):
    return PartResponse(request.part, request.attempt, request.number, status)


def reserve_first_parts(count):
    """Reserve the first parts; return the reservation and its last request."""
    reservation = FixedOrderReservation(
        "x", NAMES[::-1], LEASE_S, RESERVATION_TIMEOUT_S
    )
    [request] = reservation.start(0.0)
    for _ in range(count):
        [request] = reservation.on_response(respond(request, PartStatus.HELD), 0.1)
    return reservation, request


def test_parts_are_requested_one_at_a_time_in_order_of_names():
    reservation, request = reserve_first_parts(2)
    assert [s.number for s in reservation.parts.values()] == [1, 1, 1]
    assert request.part == "e-3"
    assert reservation.on_response(respond(request, PartStatus.QUEUED), 0.2) == []
    assert reservation.on_response(respond(request, PartStatus.HELD), 0.3) == [
        GroupReserved()
    ]


def refuse_part(reservation, request):
    return reservation.on_response(respond(request, PartStatus.REFUSED), 0.2)


FAULTS = {
    "refused": refuse_part,
    "deadline": lambda reservation, request: reservation.tick(RESERVATION_TIMEOUT_S),
    "lease lapsed": lambda reservation, request: reservation.tick(LEASE_S),
    "part lost": lambda reservation, request: reservation.on_response(
        respond(reservation.tick(1.0)[0], PartStatus.QUEUED), 1.1
    ),
}


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS)
def test_failure_at_the_third_part_releases_all_parts(fault):
    reservation, request = reserve_first_parts(2)
    *releases, last = fault(reservation, request)
    assert last == ReservationEnded()
    assert all(isinstance(action, PartRelease) for action in releases)
    assert [action.part for action in releases] == list(NAMES)
    assert reservation.is_over
    assert reservation.next_tick_s == math.inf
    late = reservation.on_response(respond(request, PartStatus.HELD), 0.3)
    assert [type(action) for action in late] == [PartRelease]


def test_outdated_messages_and_responses_are_ignored():
    queue = PartQueue("e-1", LEASE_S)
    requests = [PartRequest("e-1", "x", number, 0.0) for number in (1, 2)]
    assert queue.on_message(requests[1], 0.0) == [respond(requests[1], PartStatus.HELD)]
    assert queue.on_message(requests[0], 0.1) == []
    reservation, request = reserve_first_parts(0)
    reservation.on_response(respond(request, PartStatus.HELD), 0.1)
    assert reservation.on_response(respond(request, PartStatus.QUEUED), 0.2) == []
    assert not reservation.is_over


def test_expired_lease_of_the_owner_passes_the_part_to_the_next():
    queue = PartQueue("e-1", LEASE_S)
    owner, next_one = (PartRequest("e-1", name, 1, 0.0) for name in "xy")
    queue.on_message(owner, 0.0)
    assert queue.on_message(next_one, 1.0) == [respond(next_one, PartStatus.QUEUED)]
    assert queue.expire(LEASE_S) == [respond(next_one, PartStatus.HELD)]
    assert queue.expire(1.0 + LEASE_S) == []
    assert queue.is_free


def test_full_queue_refuses_a_request():
    queue = PartQueue("e-1", LEASE_S, max_queued_attempts=1)
    requests = [PartRequest("e-1", name, 1, 0.0) for name in "xyz"]
    statuses = [queue.on_message(request, 0.0)[0].status for request in requests]
    assert statuses == [PartStatus.HELD, PartStatus.QUEUED, PartStatus.REFUSED]


@pytest.mark.parametrize(
    ("by_timestamp", "first"),
    [(False, "late"), (True, "early")],
    ids=["arrival", "timestamp"],
)
def test_queue_is_ordered_by_arrival_or_timestamp(by_timestamp, first):
    queue = PartQueue("e-1", LEASE_S, by_timestamp)
    for name, timestamp_s in (("x", 0.0), ("late", 2.0), ("early", 1.0)):
        queue.on_message(PartRequest("e-1", name, 1, timestamp_s), 2.0)
    [granted] = queue.on_message(PartRelease("e-1", "x", 2), 2.1)
    assert (granted.attempt, granted.status) == (first, PartStatus.HELD)


def check_single_holder(contention):
    holders = [
        part.part
        for attempt in contention.attempts.values()
        for part in attempt.parts.values()
        if part.is_held(contention.now_s)
    ]
    assert len(holders) == len(set(holders))
    for attempt in contention.attempts.values():
        waited_s = contention.now_s - attempt.timestamp_s
        assert attempt.is_reserved or waited_s <= RESERVATION_TIMEOUT_S + ROUNDING_S
        if attempt.is_reserved and contention.now_s < attempt.next_tick_s:
            assert all(p.is_held(contention.now_s) for p in attempt.parts.values())


@pytest.mark.parametrize("name", VARIANTS)
@given(
    seed=st.integers(0, 2**32),
    entries=st.integers(1, 12),
    endpoints=st.integers(3, 8),
    loss=st.sampled_from([0.0, 0.01, 0.3]),
    deaths=st.sampled_from([0.0, 0.3]),
)
def test_contention_keeps_one_holder_per_part_and_leaks_none_fuzz(
    name, seed, entries, endpoints, loss, deaths
):
    contention = ContentionSimulation(
        VARIANTS[name],
        entries,
        random.Random(seed),
        endpoints=endpoints,
        loss=loss,
        deaths=deaths,
        patience_s=RESERVATION_TIMEOUT_S,
        stop_s=30.0,
    )
    while contention.step():
        check_single_holder(contention)
        assert contention.now_s < contention.stop_s + END_BOUND_S
    assert not contention.attempts
    assert all(queue.is_free for queue in contention.queues.values())
    if not (loss or deaths):
        assert contention.figures.waits_s


@pytest.mark.parametrize("name", VARIANTS)
def test_contention_makes_progress_without_any_deadline_reached(name):
    contention = ContentionSimulation(VARIANTS[name], 8, random.Random(1), stop_s=120.0)
    figures = contention.run()
    assert not figures.ended
    assert len(figures.waits_s) > 20


def test_yield_passes_the_part_to_the_earliest_attempt():
    queue = PartQueue("e-1", LEASE_S, by_timestamp=True)
    requests = [
        PartRequest("e-1", name, 1, timestamp_s)
        for name, timestamp_s in (("x", 2), ("y", 1))
    ]
    for request in requests:
        queue.on_message(request, 2.0)
    yielding = PartRequest("e-1", "x", 2, 2, yields=True)
    assert queue.on_message(yielding, 2.1) == [
        respond(requests[1], PartStatus.HELD),
        respond(yielding, PartStatus.QUEUED),
    ]
    [again] = queue.on_message(PartRequest("e-1", "y", 2, 1, yields=True), 2.2)
    assert again.status is PartStatus.HELD


def test_sigma_yields_held_parts_while_another_is_missing():
    reservation = Sigma("x", NAMES, LEASE_S, RESERVATION_TIMEOUT_S)
    requests = reservation.start(0.0)
    statuses = [PartStatus.HELD, PartStatus.HELD, PartStatus.QUEUED]
    for request, status in zip(requests, statuses, strict=True):
        assert reservation.on_response(respond(request, status), 0.1) == []
    yielded = reservation.tick(reservation.next_tick_s)
    assert [(request.part, request.yields) for request in yielded] == [
        ("e-1", True),
        ("e-2", True),
    ]
    assert not any(part.is_held(0.2) for part in reservation.parts.values())
