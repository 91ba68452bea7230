import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.grants import AdmissionRequest, Lane
from sorrelhoist.decisions.queueing import FairQueue, QueuedRequest, WaitingQueue


def queued_request(name, workspace="w", tokens=10, deadline_s=9.0, weight=1.0):
    request = AdmissionRequest(
        request_id=name,
        workspace=workspace,
        entry_id="e",
        prompt_tokens=tokens,
        output_tokens=0,
        deadline_s=deadline_s,
        weight=weight,
    )
    return QueuedRequest(request, Lane.SHORT, 0.0)


def drain(queue, count=None):
    count = len(queue) if count is None else count
    return [queue.pop().request.request_id for _ in range(count)]


def test_earliest_deadline_first_within_a_workspace():
    queue = FairQueue()
    for name, deadline_s in [("b", 2.0), ("c", 3.0), ("a", 1.0)]:
        queue.push(queued_request(name, deadline_s=deadline_s))
    assert drain(queue) == ["a", "b", "c"]
    with pytest.raises(IndexError):
        queue.pop()


def test_workspaces_share_by_weight():
    queue = FairQueue()
    for i in range(40):
        queue.push(queued_request(f"a{i}", "a", weight=3.0))
        queue.push(queued_request(f"b{i}", "b", weight=1.0))
    served = "".join(drain(queue, 40))
    assert served.count("a") == pytest.approx(30, abs=1)


def test_idle_workspace_accumulates_no_credit():
    queue = FairQueue()
    for i in range(20):
        queue.push(queued_request(f"a{i}", "a"))
    drain(queue, 10)
    for i in range(20):
        queue.push(queued_request(f"b{i}", "b"))
    served = "".join(drain(queue, 10))
    assert served.count("a") == pytest.approx(5, abs=1)


def test_requests_granted_without_queueing_are_charged():
    queue = FairQueue()
    queue.push(queued_request("c", "c"))
    for _ in range(5):
        queue.charge(queued_request("x", "a").request)
    queue.push(queued_request("a", "a"))
    queue.push(queued_request("b", "b"))
    assert drain(queue)[-1] == "a"


def test_evicts_only_from_the_workspace_with_the_largest_share():
    queue = WaitingQueue(max_requests=3)
    for i in range(3):
        queue.push(queued_request(f"a{i}", "a", deadline_s=10.0 - i))
    assert queue.full
    assert queue.evict_for(queued_request("a3", "a").request) is None
    assert queue.evict_for(queued_request("b", "b").request).request.request_id == "a0"
    queue.push(queued_request("b", "b"))
    assert queue.evict_for(queued_request("b2", "b").request) is None
    assert "a0" not in queue and "b" in queue


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(1, 50)), min_size=30, max_size=90
    ),
    st.tuples(*[st.sampled_from([0.5, 1.0, 4.0])] * 3),
)
def test_fuzz_backlogged_workspaces_stay_within_one_request_of_their_share(
    requests, weights
):
    weight = dict(zip("abc", weights, strict=True))
    queue = FairQueue()
    left = dict.fromkeys("abc", 0)
    for number, (workspace, tokens) in enumerate(requests):
        queue.push(
            queued_request(str(number), workspace, tokens, weight=weight[workspace])
        )
        left[workspace] += 1
    served = dict.fromkeys("abc", 0.0)
    while sum(count > 0 for count in left.values()) > 1:
        request = queue.pop().request
        served[request.workspace] += request.kv_tokens / request.weight
        left[request.workspace] -= 1
        busy = [name for name in "abc" if left[name]]
        for one in busy:
            for other in busy:
                bound = 50 / weight[one] + 50 / weight[other]
                assert abs(served[one] - served[other]) <= bound
