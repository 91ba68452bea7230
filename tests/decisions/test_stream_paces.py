"""Paces of streams: what ended and running ones show of their engines."""

import attrs
import pytest

from sorrelhoist.decisions.decaying_quantile import DECAY_S
from sorrelhoist.decisions.stream_paces import (
    MIN_FIRST_EVENTS,
    UNSEEN_LATENESS,
    UNSEEN_LOOSE_PACE,
    UNSEEN_PACE,
    StreamPaces,
)
from sorrelhoist.decisions.work import SizedWork

PASS_S = 0.04
WORK = SizedWork(
    route="chat", service="llm", first_event_s=0.2, passes=100, pass_s=PASS_S
)


SHORT, LONG = attrs.evolve(WORK, read_s=0.02), attrs.evolve(WORK, read_s=1.0)
UNSEEN_LATE_S = UNSEEN_LATENESS * LONG.read_s


def run(paces, pace, passes=50, began_s=0.0, late_s=0.0, ends=True):
    paces.began("r", WORK, began_s)
    first_s = began_s + WORK.first_event_s + late_s
    for number in range(passes + 1):
        paces.relayed("r", 1, first_s + number * PASS_S * pace)
    if ends:
        paces.ended("r", first_s + passes * PASS_S * pace)


def longest_s(pace, late_s=0.0):
    return WORK.first_event_s + late_s + WORK.passes * PASS_S * pace


def test_what_was_not_seen_yet_counts_with_the_error_of_the_costs():
    paces = StreamPaces()
    assert paces.longest_s(WORK, now_s=0.0) == pytest.approx(longest_s(UNSEEN_PACE))
    for _ in range(18):
        run(paces, pace=0.9)
    few_s = paces.longest_s(WORK, now_s=2.0)
    assert few_s == pytest.approx(longest_s(UNSEEN_PACE), rel=0.001)
    for _ in range(3):
        run(paces, pace=0.9)
    assert paces.longest_s(WORK, now_s=3.0) == pytest.approx(longest_s(1.0), rel=0.01)


def test_paces_of_tight_streams_say_nothing_of_others():
    # Long prompts are read beside streams with a long pause target.
    paces = StreamPaces()
    loose = attrs.evolve(WORK, is_tight=False)
    for _ in range(40):
        run(paces, pace=1.0)
    unseen_s = paces.longest_s(loose, now_s=2.0)
    assert unseen_s == pytest.approx(longest_s(UNSEEN_LOOSE_PACE), rel=0.001)
    paces.began("loose", loose, now_s=2.0)
    first_s = 2.0 + loose.first_event_s
    for number in range(50):
        paces.relayed("loose", 1, first_s + number * PASS_S * 2.5)
    paces.ended("loose", now_s=10.0)
    assert paces.longest_s(loose, now_s=10.0) >= longest_s(2.5)
    assert paces.longest_s(WORK, now_s=10.0) < longest_s(1.03)


def test_one_long_pause_is_not_the_pace_of_all():
    # A young gateway refused all late streams after a single prefill.
    paces = StreamPaces()
    run(paces, pace=1.0, passes=80)
    run(paces, pace=6.0, passes=1, began_s=4.0)
    assert paces.longest_s(WORK, now_s=5.0) == pytest.approx(longest_s(UNSEEN_PACE))


def test_a_long_stream_counts_for_more_than_a_short_one():
    paces = StreamPaces()
    for _ in range(20):
        run(paces, pace=1.0, passes=200)
        run(paces, pace=3.0, passes=1)
    assert paces.longest_s(WORK, now_s=60.0) < longest_s(1.2)
    run(paces, pace=2.0, passes=100, began_s=60.0)
    assert paces.longest_s(WORK, now_s=70.0) >= longest_s(2.0)


def test_a_stream_that_is_cut_shows_its_pace():
    # Its time is short, since its work wasn't done.
    paces = StreamPaces()
    for _ in range(30):
        run(paces, pace=1.8)
    assert paces.longest_s(WORK, now_s=5.0) >= longest_s(1.8)


def test_streams_that_still_run_and_silent_ones_count():
    paces = StreamPaces()
    for _ in range(40):
        run(paces, pace=1.0)
    run(paces, pace=1.5, began_s=20.0, ends=False)
    assert paces.longest_s(WORK, now_s=23.2) >= longest_s(1.5)
    assert paces.longest_s(WORK, now_s=30.0) >= longest_s(3.0)
    paces.ignore("r")
    assert paces.longest_s(WORK, now_s=31.0) < longest_s(1.2)


def test_late_first_events_count_also_before_they_come():
    paces = StreamPaces()
    for _ in range(100):
        run(paces, pace=1.0)
    assert paces.longest_s(WORK, now_s=9.0) < longest_s(1.03)
    for number in range(3):
        paces.began(f"late {number}", WORK, now_s=10.0)
    assert paces.longest_s(WORK, now_s=12.0) >= longest_s(1.0, late_s=1.8)
    for number in range(3):
        paces.relayed(f"late {number}", 1, now_s=13.0)
    assert paces.longest_s(WORK, now_s=13.1) >= longest_s(1.0, late_s=2.8)


def begin(paces, work, count, late_s):
    """Let the first events of streams come by some time later than expected."""
    for number in range(count):
        paces.began(f"{work.read_s} {number}", work, now_s=0.0)
        paces.relayed(f"{work.read_s} {number}", 1, work.first_event_s + late_s)
        paces.ended(f"{work.read_s} {number}", now_s=3.0)


def late_s(paces, work, now_s=3.0):
    return paces.longest_first_event_s(work, now_s) - work.first_event_s


def test_first_events_of_short_prompts_say_nothing_of_a_long_one():
    # One quantile for all prompts of a service was that of short ones.
    paces = StreamPaces()
    begin(paces, SHORT, 2000, late_s=0.05)
    assert late_s(paces, SHORT) < 0.1
    assert late_s(paces, LONG) == pytest.approx(UNSEEN_LATE_S)
    begin(paces, LONG, 20, late_s=2.0)
    assert late_s(paces, LONG, now_s=4.0) >= 2.0
    assert late_s(paces, SHORT, now_s=4.0) < 0.1


def test_long_prompts_that_are_seen_in_time_are_expected_in_time():
    paces = StreamPaces()
    begin(paces, LONG, round(MIN_FIRST_EVENTS) // 2, late_s=0.1)
    assert late_s(paces, LONG) == pytest.approx(UNSEEN_LATE_S)
    begin(paces, LONG, 2 * round(MIN_FIRST_EVENTS), late_s=0.1)
    assert late_s(paces, LONG, now_s=4.0) < 0.2


def test_a_long_prompt_may_be_as_late_as_short_ones():
    paces = StreamPaces()
    begin(paces, SHORT, 300, late_s=1.5)
    assert late_s(paces, LONG) >= 1.5


def test_events_that_come_at_once_make_no_engine_faster_than_its_costs():
    paces = StreamPaces()
    for _ in range(200):
        run(paces, pace=0.0, passes=3)
    assert paces.longest_s(WORK, now_s=1.0) >= longest_s(1.0)


def test_a_slow_time_is_forgotten():
    paces = StreamPaces()
    for _ in range(30):
        run(paces, pace=3.0)
    later_s = 10 * DECAY_S
    for _ in range(30):
        run(paces, pace=1.0, began_s=later_s)
    assert paces.longest_s(WORK, later_s + 5.0) < longest_s(1.2)
    much_later_s = 1000 * DECAY_S
    assert paces.longest_s(WORK, much_later_s) == pytest.approx(longest_s(UNSEEN_PACE))


def test_the_dump_shows_what_was_seen_of_each_kind():
    paces = StreamPaces()
    begin(paces, SHORT, 1, late_s=0.05)
    begin(paces, attrs.evolve(LONG, is_tight=False), 1, late_s=0.5)
    run(paces, pace=1.0)
    paces.began("loose", attrs.evolve(WORK, is_tight=False), now_s=0.0)
    paces.relayed("loose", 1, now_s=0.2)
    paces.relayed("loose", 1, now_s=0.3)
    paces.ended("loose", now_s=0.3)
    seen = paces.dump(now_s=3.0)["llm"]
    assert [one["is_tight"] for one in seen["passes"]] == [True, False]
    reads_s = [one["read_s"] for one in seen["first_events"]]
    assert reads_s == sorted(reads_s) and len(reads_s) == 3
