import attrs
import pytest
from returns.result import Failure, Success

from sorrelhoist.decisions.endpoint_limits import EndpointLimits
from sorrelhoist.decisions.grants import (
    AdmissionRequest,
    Cancelled,
    Completed,
    Denied,
    EndpointObservation,
    EngineHolding,
    Failed,
    Granted,
    Inventory,
    Lane,
    Queued,
)
from sorrelhoist.decisions.ledger import GrantLedger

LIMITS = EndpointLimits(
    kv_capacity_tokens=1000,
    max_running_requests=8,
    cold_running_requests=2,
    prefill_tokens_per_s=1000.0,
    long_prompt_tokens=200,
    max_queued_requests=3,
    lease_s=5.0,
    attach_grace_s=3.0,
    patience_s=2.0,
)
SERVING = EndpointObservation(boot_id="b1", is_cold=False)
COLD = EndpointObservation(boot_id="b1", is_cold=True)
REBOOT = EndpointObservation(boot_id="b2", is_cold=False)


def make_ledger(limits=LIMITS, full=True):
    ledger = GrantLedger(limits, "l", 0.0)
    ledger.observe(SERVING, 0.0)
    while full and not ledger.health.slow_start.full:
        ledger.health.completed(1000, 8, 1000, 0.0)
    return ledger


def make_request(name, prompt=40, output=10, deadline_s=100.0, **kwargs):
    fields = {"workspace": "w", "entry_id": "e", **kwargs}
    return AdmissionRequest(
        request_id=name,
        prompt_tokens=prompt,
        output_tokens=output,
        deadline_s=deadline_s,
        **fields,
    )


def grant(ledger, name, now_s=0.0, submit=True, **kwargs):
    answer = ledger.request(make_request(name, **kwargs), now_s)
    assert isinstance(answer, Granted), answer
    if submit:
        assert ledger.submitted(answer.grant_id, now_s) == Success(None)
    return answer.grant_id


def names(answers, kind):
    return [answer.request_id for answer in answers if isinstance(answer, kind)]


def test_long_request_over_the_allowance_does_not_block_short_ones():
    ledger = make_ledger(full=False)
    ledger.health.completed(1000, 8, 1000, 0.0)
    allowed_tokens = ledger.health.slow_start.allowed_tokens
    assert ledger.health.slow_start.allowed_requests > LIMITS.cold_running_requests
    assert allowed_tokens < 700
    grant(ledger, "long", prompt=690)
    grant(ledger, "short")


CLOSE = {
    "domain_out": lambda ledger: ledger.set_domain_in(False),
    "configuration_stale": lambda ledger: ledger.set_configuration_stale(True),
    "leaving": lambda ledger: ledger.set_leaving(True, 0.0),
    "endpoint_unknown": lambda ledger: ledger.unreachable(0.0),
}


@pytest.mark.parametrize("kind", CLOSE)
def test_closed_endpoint_denies_new_queued_and_unsubmitted_requests(kind):
    ledger = make_ledger()
    running = grant(ledger, "running", prompt=500)
    held = grant(ledger, "held", submit=False)
    assert isinstance(ledger.request(make_request("queued", prompt=600), 0.0), Queued)
    CLOSE[kind](ledger)
    asked = ledger.request(make_request("asked"), 0.0)
    submitted = ledger.submitted(held, 0.0).failure()
    (queued,) = ledger.pump(0.0)
    for answer in (asked, submitted, queued):
        assert (answer.kind, answer.not_run) == (kind, True)
    assert asked.retry_after_s > 0
    assert ledger.renew("e", [running], 0.0) == ()


def test_leaving_endpoint_is_gone_once_drained():
    ledger = make_ledger()
    running = grant(ledger, "r")
    ledger.set_leaving(True, 0.0)
    assert ledger.load(0.0).phase == "leaving"
    assert ledger.observe(REBOOT, 0.5) == (running,)
    assert ledger.request(make_request("asked"), 0.5).kind == "leaving"
    ledger = make_ledger()
    running = grant(ledger, "r")
    ledger.set_leaving(True, 0.0)
    ledger.release(running, 1.0, Completed())
    assert ledger.load(1.0).phase == "gone"


def test_cold_endpoint_gets_no_more_than_its_cold_limit():
    ledger = make_ledger()
    held = [grant(ledger, f"r{i}", submit=False) for i in range(3)]
    ledger.observe(COLD, 0.0)
    results = [ledger.submitted(grant_id, 0.0) for grant_id in held]
    assert results[:2] == [Success(None)] * 2
    assert results[2].failure().kind == "cold"
    assert ledger.request(make_request("more"), 0.0).kind == "cold"


def test_stale_report_does_not_end_a_cold_start():
    ledger = make_ledger()
    ledger.observe(COLD, 10.0)
    ledger.observe(attrs.evolve(SERVING, report_age_s=2.0), 11.0)
    assert ledger.load(11.0).phase == "cold"
    ledger.observe(attrs.evolve(SERVING, report_age_s=0.5), 12.0)
    assert ledger.load(12.0).phase == "warming"


def test_slow_prefill_makes_an_endpoint_cold():
    big = attrs.evolve(LIMITS, kv_capacity_tokens=9000, long_prompt_tokens=8000)
    ledger = make_ledger(big)
    for i in range(2):
        grant_id = grant(ledger, f"r{i}", now_s=i * 20.0, prompt=2500)
        ledger.first_token(grant_id, i * 20.0 + 15.0)
        ledger.release(grant_id, i * 20.0 + 15.0, Completed())
    assert ledger.load(40.0).phase == "cold"


def test_prompt_over_the_cold_allowance_runs_on_an_idle_endpoint():
    ledger = make_ledger(full=False)
    assert ledger.health.slow_start.allowed_tokens == 250
    grant(ledger, "large", prompt=600)
    assert isinstance(ledger.request(make_request("beside"), 0.0), Queued)


def test_failure_halves_the_allowance_and_completed_work_restores_it():
    ledger = make_ledger()
    ids = [grant(ledger, f"r{i}") for i in range(8)]
    ledger.release(ids[0], 0.0, Failed(refused=True))
    assert ledger.health.slow_start.allowed_requests == 4
    for grant_id in ids[1:]:
        ledger.release(grant_id, 1.0, Completed())
    assert ledger.health.slow_start.allowed_requests > 4


@pytest.mark.parametrize(
    "outcome, held",
    [(Completed(), 0), (Cancelled(), 50), (Failed(), 50), (Failed(refused=True), 0)],
)
def test_kv_cache_is_counted_until_the_engine_confirms_the_release(outcome, held):
    ledger = make_ledger()
    grant_id = grant(ledger, "r")
    ledger.release(grant_id, 1.0, outcome)
    assert ledger.usage.kv_tokens == held
    assert ledger.cancelling() == ((grant_id,) if held else ())
    ledger.freed(grant_id, 2.0)
    assert ledger.usage.kv_tokens == 0


def test_reboot_frees_all_kv_cache_and_voids_all_grants():
    ledger = make_ledger()
    held = grant(ledger, "r", submit=False)
    assert ledger.observe(REBOOT, 1.0) == (held,)
    assert ledger.usage.kv_tokens == 0
    assert ledger.submitted(held, 1.0).failure().kind == "unknown_grant"
    assert ledger.health.slow_start.allowed_requests == 2


def test_expired_lease_is_orphaned_then_cancelled_after_the_grace_period():
    ledger = make_ledger()
    grant_id = grant(ledger, "r")
    held = grant(ledger, "held", submit=False)
    first = ledger.expired(60.0)
    assert (first.dropped, first.orphaned, first.to_cancel) == (
        (held,),
        (grant_id,),
        (),
    )
    assert ledger.expired(61.0).to_cancel == ()
    assert ledger.renew("other", [grant_id], 61.0) == (grant_id,)
    assert ledger.attach("r", "other", 62.0).unwrap().grant_id == grant_id
    assert ledger.renew("e", [grant_id], 62.0) == (grant_id,)
    assert ledger.expired(67.0).orphaned == (grant_id,)
    assert ledger.expired(70.0).to_cancel == (grant_id,)
    assert isinstance(ledger.attach("r", "late", 70.0), Failure)
    assert ledger.renew("other", [grant_id], 70.0) == (grant_id,)
    assert ledger.usage.kv_tokens == 50


def test_expired_grant_of_a_paused_entry_can_not_be_submitted():
    ledger = make_ledger()
    held = grant(ledger, "r", submit=False)
    refused = ledger.submitted(held, 5.0).failure()
    assert (refused.kind, refused.not_run) == ("unknown_grant", True)
    assert ledger.usage.kv_tokens == 0


def test_adopted_streams_count_until_cancelled():
    ledger = GrantLedger(LIMITS, "second", 0.0)
    stream = EngineHolding(holding_id="l.1", request_id="r", kv_tokens=900)
    part = EngineHolding(holding_id="p", request_id="x", kv_tokens=50, is_running=False)
    assert ledger.adopt(Inventory("b1", (stream, part)), 0.0) == ("l.1", "p")
    ledger.observe(SERVING, 0.0)
    assert ledger.usage.requests == 1
    assert isinstance(ledger.request(make_request("new", prompt=90), 0.0), Queued)
    assert isinstance(ledger.attach("r", "e", 1.0), Success)
    assert ledger.expired(3.0).to_cancel == ("p",)


def test_lagging_report_can_only_lower_the_available_capacity():
    ledger = make_ledger()
    grant(ledger, "r", now_s=10.0, prompt=140)
    late = attrs.evolve(SERVING, report_age_s=5.0)
    ledger.observe(late, 11.0)
    assert ledger.load(11.0).kv_used_tokens == 150
    foreign = attrs.evolve(SERVING, kv_used_tokens=1000, running_requests=2)
    ledger.observe(foreign, 20.0)
    assert ledger.load(20.0).kv_used_tokens == 1000
    assert isinstance(ledger.request(make_request("more"), 20.0), Queued)
    ledger.observe(attrs.evolve(SERVING, kv_capacity_tokens=9000), 21.0)
    assert ledger.load(21.0).kv_capacity_tokens == 1000


def test_long_prompts_leave_the_reserved_floor_to_short_ones():
    ledger = make_ledger()
    grant(ledger, "long", prompt=740)
    assert isinstance(ledger.request(make_request("long2", prompt=200), 0.0), Queued)
    assert ledger.request(make_request("long3", prompt=745), 0.0).kind == "too_large"
    grant(ledger, "short", prompt=190)


def test_short_requests_overtake_a_long_one_only_until_its_patience_ends():
    ledger = make_ledger()
    first = [grant(ledger, f"s{i}", prompt=90) for i in range(7)]
    assert isinstance(ledger.request(make_request("long", prompt=500), 0.0), Queued)
    ledger.release(first.pop(), 1.0, Completed())
    grant(ledger, "passes", now_s=1.0, prompt=90)
    ledger.release(first.pop(), 2.0, Completed())
    late = ledger.request(make_request("waits", prompt=90), 2.0)
    assert isinstance(late, Queued)
    for grant_id in first[:2]:
        ledger.release(grant_id, 3.0, Completed())
    assert names(ledger.pump(3.0), Granted) == ["long"]


def test_suspected_request_runs_exclusively_and_is_not_starved():
    ledger = make_ledger()
    busy = grant(ledger, "busy")
    assert isinstance(ledger.request(make_request("alone", alone=True), 0.0), Queued)
    passing = grant(ledger, "passing", now_s=1.0)
    assert isinstance(ledger.request(make_request("later"), 2.0), Queued)
    for grant_id in (busy, passing):
        ledger.release(grant_id, 3.0, Cancelled())
        assert ledger.pump(3.0) == []
        ledger.freed(grant_id, 3.0)
    (alone,) = ledger.pump(3.0)
    assert (alone.request_id, alone.lane) == ("alone", Lane.ALONE)
    assert isinstance(ledger.request(make_request("beside"), 4.0), Queued)
    ledger.release(alone.grant_id, 5.0, Completed())
    assert names(ledger.pump(5.0), Granted) == ["later", "beside"]


@pytest.mark.parametrize(
    "prompt, deadline_s, kind",
    [(500, 0.4, "deadline_exceeded"), (500, 0.7, "overloaded"), (100, 0.25, "granted")],
)
def test_denies_at_once_a_request_that_can_not_meet_its_deadline(
    prompt, deadline_s, kind
):
    ledger = make_ledger()
    grant(ledger, "ahead", prompt=200, output=0)
    grant(ledger, "short", prompt=100, output=0)
    answer = ledger.request(make_request("r", prompt, 0, deadline_s), 0.0)
    assert getattr(answer, "kind", "granted") == kind


def test_queue_is_bounded_and_denies_late_requests():
    ledger = make_ledger()
    grant(ledger, "running", prompt=150, output=850)
    for i in range(3):
        request = make_request(f"q{i}", deadline_s=10.0 + i)
        assert isinstance(ledger.request(request, 0.0), Queued)
    assert ledger.request(make_request("q3"), 0.0).kind == "overloaded"
    other = ledger.request(make_request("other", workspace="w2"), 0.0)
    assert isinstance(other, Queued)
    assert names(ledger.pump(0.0), Denied) == ["q2"]
    assert names(ledger.pump(10.0), Denied) == ["q0"]
    assert ledger.withdraw("q1") and not ledger.withdraw("q1")


def test_repeated_request_gets_the_same_grant_but_another_entry_is_denied():
    ledger = make_ledger()
    first = ledger.request(make_request("r"), 0.0)
    assert ledger.request(make_request("r"), 1.0) == first
    other = ledger.request(make_request("r", entry_id="e2"), 1.0)
    assert (other.kind, other.not_run) == ("already_running", False)
    again = ledger.request(make_request("r", entry_id="e2"), 6.0)
    assert again.grant_id != first.grant_id


def test_group_shard_counts_its_share_and_is_not_queued():
    ledger = make_ledger()
    part = make_request("part", 5000, 100, kv_share_tokens=700, may_queue=False)
    granted = ledger.request(part, 0.0)
    assert (granted.lane, granted.kv_tokens) == (Lane.LONG, 700)
    other = attrs.evolve(part, request_id="other")
    assert ledger.request(other, 0.0).kind == "overloaded"


def test_foreign_kv_cache_is_not_granted_even_on_an_idle_endpoint():
    ledger = make_ledger()
    ledger.observe(attrs.evolve(SERVING, kv_used_tokens=900), 10.0)
    assert isinstance(ledger.request(make_request("r", prompt=140), 10.0), Queued)


def test_short_requests_keep_their_floor_while_a_long_one_is_starved():
    ledger = make_ledger()
    ledger.observe(attrs.evolve(SERVING, kv_used_tokens=200), 10.0)
    grant(ledger, "short", now_s=10.0, prompt=90)
    assert isinstance(ledger.request(make_request("long", prompt=740), 10.0), Queued)
    grant(ledger, "within", now_s=13.0, prompt=140)
    assert isinstance(ledger.request(make_request("over", prompt=30), 13.0), Queued)


def test_short_requests_are_limited_only_if_that_lets_the_long_one_start():
    ledger = make_ledger()
    grant(ledger, "long", prompt=400)
    assert isinstance(ledger.request(make_request("long2", prompt=400), 0.0), Queued)
    for i in range(5):
        grant(ledger, f"s{i}", now_s=3.0, prompt=90)


def test_exclusive_requests_do_not_run_back_to_back_while_others_wait():
    ledger = make_ledger()
    first = grant(ledger, "alone", alone=True)
    ledger.request(make_request("alone2", alone=True), 0.0)
    ledger.request(make_request("short"), 0.0)
    ledger.release(first, 9.0, Completed())
    assert names(ledger.pump(9.0), Granted) == ["short"]


def test_stale_estimates_do_not_close_an_idle_endpoint():
    ledger = make_ledger()
    ledger.rates.decoded(1, 1000.0)
    busy = grant(ledger, "busy")
    assert ledger.request(make_request("r"), 0.0).kind == "overloaded"
    ledger.release(busy, 1.0, Completed())
    assert isinstance(ledger.request(make_request("r"), 1.0), Granted)


def test_low_reported_prefill_throughput_makes_an_endpoint_cold():
    ledger = make_ledger()
    ledger.observe(attrs.evolve(SERVING, prefill_tokens_per_s=240.0), 1.0)
    assert ledger.load(1.0).phase == "cold"


def test_refusal_by_a_cold_engine_makes_the_endpoint_cold():
    ledger = make_ledger()
    grant_id = grant(ledger, "r")
    ledger.release(grant_id, 1.0, Failed(refused=True, cold=True))
    assert ledger.load(1.0).phase == "cold"
    assert ledger.health.slow_start.allowed_requests == 2


def test_completed_work_does_not_raise_the_allowance_of_a_cold_endpoint():
    ledger = make_ledger(full=False)
    ledger.observe(COLD, 1.0)
    for i in range(20):
        pair = [grant(ledger, f"r{i}{side}", now_s=1.0) for side in "ab"]
        for grant_id in pair:
            ledger.release(grant_id, 1.0, Completed())
    assert ledger.health.slow_start.allowed_requests == 2


def test_reboot_while_warming_halves_the_growth_pace():
    ledger = make_ledger(full=False)
    ledger.observe(REBOOT, 1.0)
    assert ledger.health.slow_start.dump()["pace"] == 0.5


def test_short_requests_are_granted_before_long_ones():
    ledger = make_ledger()
    first = grant(ledger, "first", prompt=190, output=810)
    ledger.request(make_request("long", prompt=300), 0.0)
    ledger.request(make_request("short"), 0.0)
    ledger.release(first, 0.5, Completed())
    assert names(ledger.pump(0.5), Granted) == ["short", "long"]


@pytest.mark.parametrize("first, prompt", [(850, 40), (500, 200)])
def test_request_that_fits_does_not_overtake_queued_short_ones(first, prompt):
    ledger = make_ledger()
    grant(ledger, "first", prompt=100, output=first - 100)
    assert isinstance(ledger.request(make_request("head", 190, 400), 0.0), Queued)
    assert isinstance(ledger.request(make_request("fits", prompt), 0.0), Queued)
