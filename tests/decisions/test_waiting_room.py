"""The order in which waiting requests get room."""

from sorrelhoist.decisions.spreading_demand import Busy, Impossible
from sorrelhoist.decisions.waiting_room import Waiting, WaitingRoom


def settled(room, places, now_s=0.0):
    """Settle with room for the requests in `places`."""
    tried = []

    def place(waiting, may_be_late):
        tried.append((waiting.request_id, may_be_late))
        return Impossible("") if waiting.request_id in places else Busy()

    found = room.settle(place, now_s)
    return [waiting.request_id for waiting, _ in found], tried


def test_the_request_that_is_due_first_goes_first():
    room = WaitingRoom()
    late = Waiting("long", due_s=3.0, give_up_s=4.0)
    soon = Waiting("short", due_s=0.3, give_up_s=4.0)
    room.enter(late)
    room.enter(soon)
    assert settled(room, {"long", "short"})[0] == ["short", "long"]
    room.enter(late)
    room.enter(soon)
    room.leave(soon)
    assert settled(room, {"long", "short"})[0] == ["long"]


def test_equal_requests_go_in_the_order_of_their_arrival():
    room = WaitingRoom()
    waiting = [Waiting(str(n), due_s=1.0, give_up_s=2.0) for n in range(5)]
    for one in waiting:
        room.enter(one)
    names = [one.request_id for one in waiting]
    assert settled(room, set(names))[0] == names


def test_those_that_waited_too_long_are_found():
    room = WaitingRoom()
    one = Waiting("a", due_s=1.0, give_up_s=2.0)
    room.enter(one)
    assert settled(room, set(), now_s=1.9)[0] == []
    assert len(room) == 1
    assert settled(room, set(), now_s=2.0)[0] == ["a"]
    room.leave(one)
    room.leave(one)
    assert len(room) == 0


def test_one_without_room_holds_up_its_lane_and_no_other():
    room = WaitingRoom()
    for name, lane in (("large", "L"), ("large-2", "L"), ("small", "S")):
        room.enter(Waiting(name, due_s=3.0, give_up_s=4.0, lane=lane))
    found, tried = settled(room, {"large-2", "small"})
    assert found == ["small"]
    assert [name for name, _ in tried] == ["large", "small"]
    assert len(room) == 2


def test_the_last_try_settles_a_request_whether_there_is_room_or_not():
    room = WaitingRoom()
    room.enter(Waiting("a", due_s=3.0, give_up_s=4.0, lane="L"))
    room.enter(Waiting("b", due_s=3.0, give_up_s=4.0, lane="L"))
    assert settled(room, set(), now_s=4.0)[0] == ["a", "b"]
    assert len(room) == 0


def test_a_request_may_be_late_only_after_its_patience():
    room = WaitingRoom()
    room.enter(Waiting("a", due_s=3.0, give_up_s=4.0, late_from_s=2.0))
    assert settled(room, set(), now_s=1.9)[1] == [("a", False)]
    assert settled(room, set(), now_s=2.0)[1] == [("a", True)]


def test_a_newcomer_does_not_overtake_one_of_its_lane_with_less_time():
    room = WaitingRoom()
    room.enter(Waiting("a", due_s=3.0, give_up_s=4.0, lane="L"))
    assert room.is_overtaking(Waiting("b", due_s=3.0, give_up_s=4.0, lane="L"))
    assert not room.is_overtaking(Waiting("b", due_s=2.0, give_up_s=4.0, lane="L"))
    assert not room.is_overtaking(Waiting("b", due_s=3.0, give_up_s=4.0, lane="S"))
