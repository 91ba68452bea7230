"""Liveness: no request starves while the short lane of a ledger is overloaded."""

from itertools import cycle, islice

import attrs
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.endpoint_limits import EndpointLimits
from sorrelhoist.decisions.grants import Completed, EndpointObservation, Granted, Queued
from sorrelhoist.decisions.ledger import GrantLedger

from .test_ledger import make_request

LIMITS = EndpointLimits(
    kv_capacity_tokens=1000,
    max_running_requests=4,
    cold_running_requests=4,
    prefill_tokens_per_s=1e6,
    long_prompt_tokens=200,
    max_queued_requests=12,
    patience_s=2.0,
)
LONGEST_S = 3
STEP_S = 0.25
ARRIVALS = 400
SIZES = st.sampled_from([40, 90, 190, 250, 400, 650])


@attrs.frozen
class Event:
    prompt_tokens: int
    workspace: str
    alone: bool
    duration_s: float


EVENTS = st.builds(
    Event,
    SIZES,
    st.sampled_from(["w1", "w2"]),
    st.sampled_from([False] * 9 + [True]),
    st.floats(0.1, LONGEST_S),
)


@given(st.lists(EVENTS, min_size=5, max_size=40))
def test_fuzz_each_admitted_request_starts_within_the_bound(events):
    events = list(islice(cycle(events), ARRIVALS))
    ledger = GrantLedger(LIMITS, "l", 0.0)
    ledger.observe(EndpointObservation(boot_id="b", is_cold=False), 0.0)
    requested_s = {}
    ends_s = {}
    now_s = 0.0

    def start(answer):
        ledger.submitted(answer.grant_id, now_s)
        ledger.first_token(answer.grant_id, now_s)
        event = events[int(answer.request_id)]
        ends_s[answer.grant_id] = now_s + event.duration_s
        # The queue advances by at least one request every LONGEST_S + patience_s.
        bound_s = (LIMITS.max_queued_requests + 1) * (LONGEST_S + LIMITS.patience_s)
        assert now_s - requested_s.pop(answer.request_id) <= bound_s

    pending = list(enumerate(events))
    while pending or requested_s:
        for grant_id in [name for name, end_s in ends_s.items() if end_s <= now_s]:
            del ends_s[grant_id]
            ledger.release(grant_id, now_s, Completed())
        if pending:
            number, event = pending.pop(0)
            request = make_request(
                str(number),
                event.prompt_tokens,
                deadline_s=1e9,
                workspace=event.workspace,
                alone=event.alone,
            )
            answer = ledger.request(request, now_s)
            if isinstance(answer, Granted | Queued):
                requested_s[request.request_id] = now_s
            if isinstance(answer, Granted):
                start(answer)
        for answer in ledger.pump(now_s):
            if isinstance(answer, Granted):
                start(answer)
            else:
                del requested_s[answer.request_id]
        now_s += STEP_S
        assert ends_s or not requested_s, "requests wait while nothing runs"
