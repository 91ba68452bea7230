"""Planned stops: what is still taken, and until when a request may wait."""

import pytest

from sorrelhoist.decisions.planned_stop import PlannedStop, WorkEstimate

STOP = {"began_s": 100.0, "grace_s": 8.0}


@pytest.mark.parametrize(
    ("expected_s", "deadline_s", "now_s", "fits"),
    [
        pytest.param(0.1, 130.0, 102.9, True, id="short work, long timeout"),
        pytest.param(6.0, 130.0, 100.5, True, id="long work at once"),
        pytest.param(6.0, 130.0, 101.5, False, id="long work later"),
        pytest.param(6.0, 106.0, 105.0, True, id="its deadline ends it in time"),
        pytest.param(0.0, 130.0, 107.0, False, id="at the cut"),
    ],
)
def test_what_would_outlast_the_process_is_not_taken(
    expected_s, deadline_s, now_s, fits
):
    work = WorkEstimate(expected_s, expected_s)
    assert PlannedStop(**STOP).fits(work, now_s, deadline_s, now_s) is fits


@pytest.mark.parametrize(("complete_s", "fits"), [(102.6, True), (102.8, False)])
def test_once_the_stop_is_known_all_that_a_request_declares_must_fit(complete_s, fits):
    stop = PlannedStop(**STOP)
    work = WorkEstimate(likely_s=2.0, longest_s=5.0)
    assert stop.fits(work, complete_s, 130.0, now_s=complete_s) is fits
    assert stop.fits(work, complete_s, 130.0, now_s=104.9) is fits
    short = WorkEstimate(likely_s=2.0, longest_s=2.0)
    assert stop.fits(short, complete_s, 130.0, now_s=complete_s)


def test_a_stream_needs_no_time_for_another_answer_at_its_end():
    stop = PlannedStop(**STOP)
    assert not stop.fits(WorkEstimate(3.2, 3.2), 104.0, 130.0, now_s=104.0)
    stream = WorkEstimate(3.2, 3.2, is_stream=True)
    assert stop.fits(stream, 104.0, 130.0, now_s=104.0)


@pytest.mark.parametrize(("first_event_s", "fits"), [(1.9, True), (2.1, False)])
def test_a_late_stream_begins_before_all_without_an_answer_is_given_up(
    first_event_s, fits
):
    # It would have got 504 with its first event under way.
    work = WorkEstimate(2.2, 2.2, first_event_s, is_stream=True)
    assert PlannedStop(**STOP).fits(work, 105.0, 130.0, now_s=105.0) is fits


def test_nothing_is_taken_or_waits_once_connections_close():
    stop = PlannedStop(**STOP, is_closing=True)
    assert not stop.fits(WorkEstimate(), 100.5, 101.0, now_s=100.5)
    latest_s = stop.latest_start_s(WorkEstimate(), 100.5, 101.0)
    assert latest_s is not None and latest_s <= stop.began_s


@pytest.mark.parametrize("grace_s", (0.0, 0.5, 1.0, 2.0, 8.0, 600.0))
def test_answers_come_before_the_exit_and_the_exit_before_the_kill(grace_s):
    stop = PlannedStop(began_s=100.0, grace_s=grace_s)
    assert 100.0 <= stop.cut_at_s <= stop.exit_at_s
    assert stop.exit_at_s <= stop.close_at_s <= 100.0 + grace_s
    assert stop.deadline_s(1e9, has_begun=False) == stop.cut_at_s
    assert stop.deadline_s(1e9, has_begun=True) == stop.close_at_s
    assert stop.deadline_s(100.0, has_begun=True) == 100.0
