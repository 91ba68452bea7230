"""The memory budget: who is cut, when requests are refused, and when that ends."""

import random

import pytest

from sorrelhoist.decisions.memory.account import CONNECTION_BYTES, MAX_RECEIPT_S
from sorrelhoist.decisions.memory.budget import (
    PRESSURE_SHARE,
    RELIEF_SHARE,
    MemoryBudget,
)

MB = 1_000_000


def budget_of(limit_bytes=200 * MB):
    budget = MemoryBudget(limit_bytes)
    budget.measure(50 * MB, now_s=0.0)
    return budget


def cut(budget, now_s):
    for account in budget.to_cut(now_s):
        budget.close(account)


def test_slow_readers_are_cut_before_sound_requests_are_refused():
    budget = budget_of()
    budget.on_over = lambda: cut(budget, 1.0)
    sound = [budget.open(500_000, 0.0) for _ in range(40)]
    for account in sound:
        account.is_receiving = False
    slow = [budget.open(1000, 0.0) for _ in range(200)]
    for step in range(400):
        for account in slow:
            account.hold_unread(step * 5000, now_s=step / 100)
        # Bodies over the share are not cut, so that the sum may be above CUT_SHARE.
        assert budget.held_bytes <= budget.budget_bytes * PRESSURE_SHARE
        assert not budget.is_short
    assert all(account in budget._accounts for account in sound)
    assert sum(account not in budget._accounts for account in slow) > 100


def test_a_connection_within_its_share_is_never_cut():
    # One reader that holds most must not cost the others their connections.
    budget = budget_of()
    small = [budget.open(0, 0.0) for _ in range(50)]
    for account in small:
        account.hold_unread(int(budget.share_bytes) // 4, now_s=0.0)
    large = budget.open(0, 0.0)
    large.hold_unread(300 * MB, now_s=0.0)
    assert budget.to_cut(1.0) == [large]


def test_bodies_that_are_being_received_are_cut_only_if_that_takes_long():
    budget = budget_of()
    while (account := budget.open(4 * MB, 0.0)) is not None:
        assert account.held_bytes == 4 * MB + CONNECTION_BYTES
    assert budget.to_cut(MAX_RECEIPT_S - 0.1) == []
    assert budget.to_cut(MAX_RECEIPT_S + 0.1)


def test_pressure_begins_and_ends_with_hysteresis():
    budget = budget_of()
    high, low = budget.budget_bytes * PRESSURE_SHARE, budget.budget_bytes * RELIEF_SHARE
    account = budget.open(0, 0.0)
    account.due_s = 3.0
    account.hold_request(int(high) + 1)
    assert budget.is_short and budget.open(0, 1.0) is None
    assert budget.retry_after_s(1.0) == pytest.approx(2.0)
    account.hold_request(int(low) + MB)
    assert budget.is_short
    account.hold_request(int(low) - MB)
    assert not budget.is_short and budget.open(0, 1.0) is not None


def test_a_request_that_does_not_fit_is_refused_before_its_body_is_read():
    budget = budget_of()
    assert budget.open(int(budget.budget_bytes), 0.0) is None
    assert budget.held_bytes == 0


def test_a_process_near_its_limit_refuses_whatever_its_accounts_say():
    budget = budget_of()
    budget.measure(195 * MB, now_s=1.0)
    assert budget.is_short
    budget.measure(60 * MB, now_s=2.0)
    assert not budget.is_short


def test_without_a_limit_everything_is_counted_and_nothing_is_cut():
    budget = MemoryBudget(None)
    account = budget.open(0, 0.0)
    account.hold_unread(10_000 * MB, now_s=0.0)
    assert budget.held_bytes > 10_000 * MB
    assert budget.to_cut(1.0) == [] and not budget.is_short


@pytest.mark.parametrize("seed", range(20))
def test_the_sum_of_the_accounts_is_what_is_held(seed):
    # A wrong sum would grow with the process's age until everything is refused.
    rng, budget, live = random.Random(seed), budget_of(), []
    budget.on_over = lambda: cut(budget, 10.0)
    for step in range(500):
        account = budget.open(rng.randrange(MB), step / 100)
        live += [account] if account else []
        if live:
            one = rng.choice(live)
            one.hold_answer(rng.randrange(MB))
            one.hold_unread(rng.randrange(3 * MB), step / 100)
            rng.choice(live).hold_request(rng.randrange(MB))
        if len(live) > 20:
            budget.close(live.pop(rng.randrange(len(live))))
        assert budget.held_bytes == sum(one.held_bytes for one in budget._accounts)
    for account in live:
        budget.close(account)
    assert budget.held_bytes == 0
