"""Shares of workspaces, kinds and sizes in the order of the queue."""

from sorrelhoist.decisions.overload.fair_shares import fair_shares
from sorrelhoist.decisions.overload.fleet_demand import ServiceLoad, WorkspaceLoad
from sorrelhoist.decisions.overload.kind_shares import KindShares, SizeBand
from sorrelhoist.decisions.placement.queue import PendingPlacement, PlacementQueue
from tests.decisions.placement.test_queue import settled


def total(waiting, **read_ms):
    loads = {
        number: WorkspaceLoad(read_ms=one, waiting=waiting)
        for number, one in enumerate(read_ms.values())
    }
    return ServiceLoad(
        waiting=waiting,
        waiting_read_ms=0.8 * sum(read_ms.values()) if waiting else 0.0,
        workspaces=loads,
    )


def test_shares_are_unlimited_while_nothing_waits():
    shares = fair_shares(total(0, large=9e6, small=1.0), prefill_per_s=1e3)
    assert not shares.is_over(0)


def test_two_large_workspaces_share_what_the_small_ones_leave():
    shares = fair_shares(total(3, a=9e5, b=5e5, small=1e3), prefill_per_s=1e3)
    assert shares.is_over(0)
    assert shares.is_over(1)
    assert not shares.is_over(2)
    # Both have half of the engines, so the larger one waits longer.
    assert shares.wait_s(0, 1e3) > 1.7 * shares.wait_s(1, 1e3)


def test_lower_ranks_go_first_and_equals_by_due_time():
    queue = PlacementQueue()
    for name, due_s in (("over", 1.0), ("late", 3.0), ("soon", 2.0)):
        queue.push(PendingPlacement(name, due_s=due_s, give_up_s=9.0))
    queue.rank_again(lambda waiting: (waiting.request_id == "over",))
    assert settled(queue, {"over", "late", "soon"})[0] == ["soon", "late", "over"]


def test_the_largest_prompts_are_starved_when_only_they_are_refused():
    # The largest tenth found no place while small prompts filled each gap.
    shares = KindShares()
    for number in range(200):
        found = shares.classify("long", 100.0 + number % 100)
        is_placed = found[1] is SizeBand.REST
        shares.record_outcome(found, 100.0, is_placed, now_s=number / 10)
    starved = {
        band for band in SizeBand if shares.is_starved(("long", band), now_s=20.0)
    }
    assert starved == {SizeBand.LARGEST, SizeBand.LARGE}
    assert not shares.is_starved(("other", SizeBand.REST), now_s=20.0)
