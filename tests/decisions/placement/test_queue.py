"""Order in which queued requests are placed."""

from sorrelhoist.decisions.placement.demand import Busy, Impossible
from sorrelhoist.decisions.placement.queue import PendingPlacement, PlacementQueue


def settled(queue, places, now_s=0.0):
    """Place the queued requests, with capacity only for those in `places`."""
    tried = []

    def place(waiting, may_be_late):
        tried.append((waiting.request_id, may_be_late))
        return Impossible("") if waiting.request_id in places else Busy()

    found = queue.place_pending(place, now_s)
    return [waiting.request_id for waiting, _ in found], tried


def test_the_request_with_the_earliest_due_time_is_placed_first():
    queue = PlacementQueue()
    late = PendingPlacement("long", due_s=3.0, give_up_s=4.0)
    soon = PendingPlacement("short", due_s=0.3, give_up_s=4.0)
    queue.push(late)
    queue.push(soon)
    assert settled(queue, {"long", "short"})[0] == ["short", "long"]
    queue.push(late)
    queue.push(soon)
    queue.remove(soon)
    assert settled(queue, {"long", "short"})[0] == ["long"]


def test_requests_with_equal_due_time_are_placed_in_order_of_arrival():
    queue = PlacementQueue()
    waiting = [PendingPlacement(str(n), due_s=1.0, give_up_s=2.0) for n in range(5)]
    for one in waiting:
        queue.push(one)
    names = [one.request_id for one in waiting]
    assert settled(queue, set(names))[0] == names


def test_a_request_is_settled_when_its_give_up_time_is_reached():
    queue = PlacementQueue()
    one = PendingPlacement("a", due_s=1.0, give_up_s=2.0)
    queue.push(one)
    assert settled(queue, set(), now_s=1.9)[0] == []
    assert len(queue) == 1
    assert settled(queue, set(), now_s=2.0)[0] == ["a"]
    queue.remove(one)
    queue.remove(one)
    assert len(queue) == 0


def test_a_request_without_capacity_blocks_only_its_own_lane():
    queue = PlacementQueue()
    for name, lane in (("large", "L"), ("large-2", "L"), ("small", "S")):
        queue.push(PendingPlacement(name, due_s=3.0, give_up_s=4.0, lane=lane))
    found, tried = settled(queue, {"large-2", "small"})
    assert found == ["small"]
    assert [name for name, _ in tried] == ["large", "small"]
    assert len(queue) == 2


def test_the_last_attempt_settles_a_request_with_or_without_capacity():
    queue = PlacementQueue()
    queue.push(PendingPlacement("a", due_s=3.0, give_up_s=4.0, lane="L"))
    queue.push(PendingPlacement("b", due_s=3.0, give_up_s=4.0, lane="L"))
    assert settled(queue, set(), now_s=4.0)[0] == ["a", "b"]
    assert len(queue) == 0


def test_a_request_may_be_late_only_from_its_late_from_time():
    queue = PlacementQueue()
    queue.push(PendingPlacement("a", due_s=3.0, give_up_s=4.0, late_from_s=2.0))
    assert settled(queue, set(), now_s=1.9)[1] == [("a", False)]
    assert settled(queue, set(), now_s=2.0)[1] == [("a", True)]


def test_a_new_request_does_not_overtake_one_of_its_lane_due_no_later():
    queue = PlacementQueue()
    queue.push(PendingPlacement("a", due_s=3.0, give_up_s=4.0, lane="L"))
    assert queue.would_overtake(
        PendingPlacement("b", due_s=3.0, give_up_s=4.0, lane="L")
    )
    assert not queue.would_overtake(
        PendingPlacement("b", due_s=2.0, give_up_s=4.0, lane="L")
    )
    assert not queue.would_overtake(
        PendingPlacement("b", due_s=3.0, give_up_s=4.0, lane="S")
    )
