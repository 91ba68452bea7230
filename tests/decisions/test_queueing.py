import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.grants import GrantAsk, Lane
from sorrelhoist.decisions.queueing import FairQueue, Waiting, WaitingQueue


def waiting(name, workspace="w", tokens=10, deadline_s=9.0, weight=1.0):
    ask = GrantAsk(
        request_id=name,
        workspace=workspace,
        entry_id="e",
        prompt_tokens=tokens,
        output_tokens=0,
        deadline_s=deadline_s,
        weight=weight,
    )
    return Waiting(ask, Lane.SHORT, 0.0)


def drain(queue, count=None):
    count = len(queue) if count is None else count
    return [queue.pop().ask.request_id for _ in range(count)]


def test_earliest_deadline_first_inside_a_workspace():
    queue = FairQueue()
    for name, deadline_s in [("b", 2.0), ("c", 3.0), ("a", 1.0)]:
        queue.push(waiting(name, deadline_s=deadline_s))
    assert drain(queue) == ["a", "b", "c"]
    with pytest.raises(IndexError):
        queue.pop()


def test_workspaces_share_by_weight():
    queue = FairQueue()
    for i in range(40):
        queue.push(waiting(f"a{i}", "a", weight=3.0))
        queue.push(waiting(f"b{i}", "b", weight=1.0))
    served = "".join(drain(queue, 40))
    assert served.count("a") == pytest.approx(30, abs=1)


def test_workspace_that_was_away_saves_nothing_up():
    queue = FairQueue()
    for i in range(20):
        queue.push(waiting(f"a{i}", "a"))
    drain(queue, 10)
    for i in range(20):
        queue.push(waiting(f"b{i}", "b"))
    served = "".join(drain(queue, 10))
    assert served.count("a") == pytest.approx(5, abs=1)


def test_requests_granted_without_waiting_are_charged():
    queue = FairQueue()
    queue.push(waiting("c", "c"))
    for _ in range(5):
        queue.charge(waiting("x", "a").ask)
    queue.push(waiting("a", "a"))
    queue.push(waiting("b", "b"))
    assert drain(queue)[-1] == "a"


def test_displaces_only_the_workspace_that_holds_most():
    queue = WaitingQueue(max_requests=3)
    for i in range(3):
        queue.push(waiting(f"a{i}", "a", deadline_s=10.0 - i))
    assert queue.full
    assert queue.displace_for(waiting("a3", "a").ask) is None
    assert queue.displace_for(waiting("b", "b").ask).ask.request_id == "a0"
    queue.push(waiting("b", "b"))
    assert queue.displace_for(waiting("b2", "b").ask) is None
    assert "a0" not in queue and "b" in queue


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(1, 50)), min_size=30, max_size=90
    ),
    st.tuples(*[st.sampled_from([0.5, 1.0, 4.0])] * 3),
)
def test_fuzz_backlogged_workspaces_stay_within_one_request_of_their_share(
    asks, weights
):
    weight = dict(zip("abc", weights, strict=True))
    queue = FairQueue()
    left = dict.fromkeys("abc", 0)
    for number, (workspace, tokens) in enumerate(asks):
        queue.push(waiting(str(number), workspace, tokens, weight=weight[workspace]))
        left[workspace] += 1
    served = dict.fromkeys("abc", 0.0)
    while sum(count > 0 for count in left.values()) > 1:
        ask = queue.pop().ask
        served[ask.workspace] += ask.kv_tokens / ask.weight
        left[ask.workspace] -= 1
        busy = [name for name in "abc" if left[name]]
        for one in busy:
            for other in busy:
                bound = 50 / weight[one] + 50 / weight[other]
                assert abs(served[one] - served[other]) <= bound
