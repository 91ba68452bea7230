"""Expected times of work, from what requests of a route have taken."""

import attrs
import pytest

from sorrelhoist.decisions.decaying_quantile import DECAY_S
from sorrelhoist.decisions.routes import EngineCosts, Repeat, Route
from sorrelhoist.decisions.work import SizedWork, Work, sized_work
from sorrelhoist.decisions.work_times import WorkTimes

CALL = Work("call", 0.3)


def observe(times, took_s, count, now_s=0.0, work=CALL, is_answered=True):
    for _ in range(count):
        times.began("r", work, now_s)
        times.ended("r", is_answered, now_s + took_s)


def stream(passes, pass_s):
    return SizedWork(
        route="chat", service="llm", first_event_s=0.1, passes=passes, pass_s=pass_s
    )


def test_one_slow_request_in_fifty_is_expected_and_one_in_a_thousand_is_not():
    times = WorkTimes()
    observe(times, 0.1, 98)
    observe(times, 5.0, 2)
    assert times.expected_s(CALL, now_s=5.0) >= 5.0
    observe(times, 0.1, 1900)
    assert times.expected_s(CALL, now_s=5.1) < 0.2


def test_a_few_observations_do_not_make_a_route_faster_than_its_objective():
    times = WorkTimes()
    observe(times, 0.01, 3)
    assert times.expected_s(CALL, now_s=0.1) == 0.3
    observe(times, 0.01, 20)
    assert times.expected_s(CALL, now_s=0.2) < 0.02


def test_few_short_streams_do_not_make_the_next_one_short():
    # 99 in 100 can't be told from fewer than a hundred.
    declared = stream(passes=100, pass_s=0.04)
    times = WorkTimes()
    observe(times, 0.4, 90, work=declared)
    assert times.expected_s(declared, now_s=0.5) == pytest.approx(declared.nominal_s)
    observe(times, 0.4, 20, work=declared)
    assert times.expected_s(declared, now_s=0.6) < 0.5


def test_requests_that_still_run_count_before_any_has_ended():
    times = WorkTimes()
    times.began("slow", CALL, now_s=0.0)
    assert times.expected_s(CALL, now_s=4.0) == pytest.approx(4.0)
    assert times.expected_s(Work("other", 0.3), now_s=4.0) == 0.3


def test_a_request_that_was_cut_counts_if_it_was_already_slow():
    times = WorkTimes()
    observe(times, 0.05, 1, is_answered=False)
    assert times.expected_s(CALL, now_s=1.0) == 0.3
    observe(times, 6.0, 1, is_answered=False)
    assert times.expected_s(CALL, now_s=6.0) >= 6.0


def test_slow_work_is_forgotten_after_some_time():
    times = WorkTimes()
    observe(times, 5.0, 10)
    later_s = 10 * DECAY_S
    observe(times, 0.1, 10, now_s=later_s)
    assert times.expected_s(CALL, later_s) < 0.2
    observe(times, 0.1, 10, now_s=1000 * DECAY_S)
    assert times.expected_s(CALL, 1000 * DECAY_S) < 0.2


def test_long_prompts_are_not_expected_to_take_as_long_as_short_ones():
    costs = EngineCosts(
        max_running=8,
        kv_capacity_tokens=405_000,
        tokens_per_event=34,
        step_ms=1.3,
        prefill_tokens_per_s=154_000.0,
        pair_ms_per_million=0.16,
    )
    route = Route(
        name="chat",
        host="h",
        path_prefix="/",
        targets=(),
        repeat=Repeat.RESUMABLE,
        is_stream=True,
    )
    short, long = (
        sized_work(route, "llm", costs, *size)
        for size in ((1000, 100), (300_000, 2000))
    )
    times = WorkTimes()
    observe(times, 2 * short.nominal_s, 20, work=short)
    assert times.expected_s(long, 1.0) == pytest.approx(2 * long.nominal_s, rel=0.15)


def test_a_request_may_need_all_that_it_declares_though_others_needed_less():
    # Most streams need little of what they declare.
    declared = stream(passes=100, pass_s=0.04)
    times = WorkTimes()
    observe(times, 0.2, 500, work=declared)
    assert times.longest_s(declared, now_s=1.0) == pytest.approx(0.1 + 4.0 * 1.25)
    short = stream(passes=10, pass_s=0.04)
    assert times.longest_s(short, now_s=1.0) == pytest.approx(0.1 + 0.4 * 1.25)
    observe(times, 6.0, 50, now_s=1.0, work=declared)
    assert times.longest_s(declared, now_s=7.0) >= 6.0


def test_short_streams_show_how_slow_long_ones_will_be():
    declared = stream(passes=100, pass_s=0.04)
    times = WorkTimes()
    for number in range(100):
        times.began(f"r{number}", declared, now_s=0.0)
        for event in range(10):
            times.relayed(f"r{number}", 1, now_s=0.1 + event * 0.056)
        times.ended(f"r{number}", True, now_s=0.7)
    assert times.expected_s(declared, now_s=0.7) < 1.0
    assert times.longest_s(declared, now_s=0.7) == pytest.approx(5.7, rel=0.1)


def test_few_quick_calls_do_not_bound_the_next_one():
    # A call that may not be repeated was taken late, and cut.
    times = WorkTimes()
    observe(times, 0.03, 20)
    assert times.expected_s(CALL, now_s=1.0) < 0.04
    assert times.longest_s(CALL, now_s=1.0) == CALL.nominal_s
    observe(times, 0.03, 100)
    assert times.longest_s(CALL, now_s=1.0) < 0.04


def test_requests_with_and_without_a_size_are_measured_apart():
    times = WorkTimes()
    declared = stream(passes=100, pass_s=0.04)
    observe(times, 0.5, 150, work=Work("chat", 10.0))
    assert times.expected_s(declared, now_s=1.0) == pytest.approx(declared.nominal_s)


def test_a_request_whose_endpoint_waits_for_its_caller_is_not_measured():
    times = WorkTimes()
    times.began("slow", CALL, now_s=0.0)
    times.ignore("slow")
    times.ended("slow", True, now_s=60.0)
    assert times.expected_s(CALL, now_s=60.0) == CALL.nominal_s


def test_a_sized_answer_without_events_shows_no_pace():
    times = WorkTimes()
    whole = attrs.evolve(stream(passes=100, pass_s=0.04), is_stream=False)
    for number in range(300):
        times.began(f"r{number}", whole, now_s=0.0)
    before_s = times.longest_s(stream(passes=10, pass_s=0.04), now_s=0.0)
    assert before_s == times.longest_s(stream(passes=10, pass_s=0.04), now_s=0.2)


def test_routes_that_are_gone_leave_nothing_behind():
    times = WorkTimes()
    observe(times, 5.0, 10)
    gone = stream(passes=10, pass_s=0.04)
    times.began("s", gone, now_s=0.0)
    times.relayed("s", 1, now_s=0.1)
    times.ended("s", True, now_s=0.2)
    times.retain(["other"], ["other"])
    assert times.dump(5.0) == times.dump_paces(5.0) == {}
