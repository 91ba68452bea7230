"""Groups: what they are made of, and how entries that contend reserve them."""

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.bench.experiments.groups import WAYS, Sigma
from sorrelhoist.bench.experiments.virtual_groups import LEASE_S, Contention
from sorrelhoist.decisions.groups import (
    MAX_GROUP_SIZE,
    FixedOrder,
    long_capacity_tokens,
    needs_group,
    plan_groups,
    share_tokens,
)
from sorrelhoist.decisions.groups_parts import (
    AskPart,
    Ended,
    GiveBack,
    PartAnswer,
    PartQueue,
    Reserved,
    Verdict,
)
from sorrelhoist.decisions.routing import Target

NAMES = ("e-1", "e-2", "e-3")
PATIENCE_S = 40.0
ROUNDING_S = 1e-6
# After the last begin: patience, the longest run, and leases that lapse.
BOUND_S = PATIENCE_S + 6.0 + 2 * LEASE_S


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
def test_plan(case):
    kv_tokens, members, expected = case
    plans = plan_groups(kv_tokens, members)
    assert [[target.endpoint for target in plan] for plan in plans] == expected


@given(
    st.integers(1, 10_000),
    st.lists(st.tuples(st.sampled_from("ab"), st.integers(1, 4000)), max_size=12),
)
def test_plans_hold_the_prompt_fuzz(kv_tokens, made):
    members = [Target(f"e-{i}", "n", d, c) for i, (d, c) in enumerate(made)]
    for plan in plan_groups(kv_tokens, members):
        share = share_tokens(kv_tokens, len(plan))
        assert share * len(plan) >= kv_tokens
        assert all(share <= long_capacity_tokens(target) for target in plan)
        assert len({target.failure_domain for target in plan}) == 1
        assert 2 <= len(plan) <= MAX_GROUP_SIZE
        names = [target.endpoint for target in plan]
        assert names == sorted(set(names))


def test_needs_group_only_above_the_largest():
    members = targets("a", 500, 1000)
    most = long_capacity_tokens(members[1])
    assert not needs_group(most, members)
    assert needs_group(most + 1, members)
    assert not needs_group(1, [])


def answer(ask, verdict):
    return PartAnswer(ask.part, ask.attempt, ask.number, verdict)


def held_up_to(count):
    """Reserve the first parts; return the reservation and its last ask."""
    own = FixedOrder("x", NAMES[::-1], LEASE_S, PATIENCE_S)
    [ask] = own.start(0.0)
    for _ in range(count):
        [ask] = own.on_answer(answer(ask, Verdict.HELD), 0.1)
    return own, ask


def test_asks_in_the_order_of_names_and_one_at_a_time():
    own, ask = held_up_to(2)
    assert [s.number for s in own.parts.values()] == [1, 1, 1]
    assert ask.part == "e-3"
    assert own.on_answer(answer(ask, Verdict.QUEUED), 0.2) == []
    assert own.on_answer(answer(ask, Verdict.HELD), 0.3) == [Reserved()]


def refuse(own, ask):
    return own.on_answer(answer(ask, Verdict.REFUSED), 0.2)


FAULTS = {
    "refused": refuse,
    "deadline": lambda own, ask: own.tick(PATIENCE_S),
    "lease lapsed": lambda own, ask: own.tick(LEASE_S),
    "part lost": lambda own, ask: own.on_answer(
        answer(own.tick(1.0)[0], Verdict.QUEUED), 1.1
    ),
}


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS)
def test_a_fault_at_the_third_part_gives_all_back(fault):
    own, ask = held_up_to(2)
    *back, last = fault(own, ask)
    assert last == Ended()
    assert all(isinstance(action, GiveBack) for action in back)
    assert [action.part for action in back] == list(NAMES)
    assert own.is_over
    assert own.wake_s == math.inf
    late = own.on_answer(answer(ask, Verdict.HELD), 0.3)
    assert [type(action) for action in late] == [GiveBack]


def test_late_messages_and_answers_are_ignored():
    queue = PartQueue("e-1", LEASE_S)
    asks = [AskPart("e-1", "x", number, 0.0) for number in (1, 2)]
    assert queue.on_message(asks[1], 0.0) == [answer(asks[1], Verdict.HELD)]
    assert queue.on_message(asks[0], 0.1) == []
    own, ask = held_up_to(0)
    own.on_answer(answer(ask, Verdict.HELD), 0.1)
    assert own.on_answer(answer(ask, Verdict.QUEUED), 0.2) == []
    assert not own.is_over


def test_an_owner_that_dies_frees_the_part_for_the_next():
    queue = PartQueue("e-1", LEASE_S)
    dead, next_one = (AskPart("e-1", name, 1, 0.0) for name in "xy")
    queue.on_message(dead, 0.0)
    assert queue.on_message(next_one, 1.0) == [answer(next_one, Verdict.QUEUED)]
    assert queue.expire(LEASE_S) == [answer(next_one, Verdict.HELD)]
    assert queue.expire(1.0 + LEASE_S) == []
    assert queue.is_free


def test_a_full_queue_refuses():
    queue = PartQueue("e-1", LEASE_S, max_waiting=1)
    asks = [AskPart("e-1", name, 1, 0.0) for name in "xyz"]
    verdicts = [queue.on_message(ask, 0.0)[0].verdict for ask in asks]
    assert verdicts == [Verdict.HELD, Verdict.QUEUED, Verdict.REFUSED]


@pytest.mark.parametrize(
    ("by_stamp", "first"), [(False, "late"), (True, "early")], ids=["arrival", "stamp"]
)
def test_order_of_the_queue(by_stamp, first):
    queue = PartQueue("e-1", LEASE_S, by_stamp)
    for name, stamp_s in (("x", 0.0), ("late", 2.0), ("early", 1.0)):
        queue.on_message(AskPart("e-1", name, 1, stamp_s), 2.0)
    [granted] = queue.on_message(GiveBack("e-1", "x", 2), 2.1)
    assert (granted.attempt, granted.verdict) == (first, Verdict.HELD)


def check_one_holder(contention):
    holders = [
        part.part
        for attempt in contention.attempts.values()
        for part in attempt.parts.values()
        if part.is_held(contention.now_s)
    ]
    assert len(holders) == len(set(holders))
    for attempt in contention.attempts.values():
        waited_s = contention.now_s - attempt.stamp_s
        assert attempt.is_reserved or waited_s <= PATIENCE_S + ROUNDING_S
        if attempt.is_reserved and contention.now_s < attempt.wake_s:
            assert all(p.is_held(contention.now_s) for p in attempt.parts.values())


@pytest.mark.parametrize("name", WAYS)
@given(
    seed=st.integers(0, 2**32),
    entries=st.integers(1, 12),
    endpoints=st.integers(3, 8),
    loss=st.sampled_from([0.0, 0.01, 0.3]),
    deaths=st.sampled_from([0.0, 0.3]),
)
def test_contention_ends_with_one_holder_and_no_leak_fuzz(
    name, seed, entries, endpoints, loss, deaths
):
    contention = Contention(
        WAYS[name],
        entries,
        random.Random(seed),
        endpoints=endpoints,
        loss=loss,
        deaths=deaths,
        patience_s=PATIENCE_S,
        stop_s=30.0,
    )
    while contention.step():
        check_one_holder(contention)
        assert contention.now_s < contention.stop_s + BOUND_S
    assert not contention.attempts
    assert all(queue.is_free for queue in contention.queues.values())
    if not (loss or deaths):
        assert contention.figures.waits_s


@pytest.mark.parametrize("name", WAYS)
def test_contention_goes_on_without_the_deadline(name):
    contention = Contention(WAYS[name], 8, random.Random(1), stop_s=120.0)
    figures = contention.run()
    assert not figures.ended
    assert len(figures.waits_s) > 20


def test_yield_gives_the_part_to_the_earliest():
    queue = PartQueue("e-1", LEASE_S, by_stamp=True)
    asks = [AskPart("e-1", name, 1, stamp_s) for name, stamp_s in (("x", 2), ("y", 1))]
    for ask in asks:
        queue.on_message(ask, 2.0)
    back = AskPart("e-1", "x", 2, 2, yields=True)
    assert queue.on_message(back, 2.1) == [
        answer(asks[1], Verdict.HELD),
        answer(back, Verdict.QUEUED),
    ]
    [again] = queue.on_message(AskPart("e-1", "y", 2, 1, yields=True), 2.2)
    assert again.verdict is Verdict.HELD


def test_sigma_yields_what_it_holds_when_a_part_is_missing():
    own = Sigma("x", NAMES, LEASE_S, PATIENCE_S)
    asks = own.start(0.0)
    verdicts = [Verdict.HELD, Verdict.HELD, Verdict.QUEUED]
    for ask, verdict in zip(asks, verdicts, strict=True):
        assert own.on_answer(answer(ask, verdict), 0.1) == []
    back = own.tick(own.wake_s)
    assert [(ask.part, ask.yields) for ask in back] == [("e-1", True), ("e-2", True)]
    assert not any(part.is_held(0.2) for part in own.parts.values())
