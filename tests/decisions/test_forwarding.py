"""Next step after a failed attempt, and the answer to the caller."""

import pytest

from sorrelhoist.decisions.forwarding import (
    MAX_DECLINES,
    Broken,
    Declined,
    Failed,
    FailUnknown,
    NotSent,
    PassOn,
    Progress,
    RefuseNotRun,
    TryAgain,
    after_failure,
    give_up,
)
from sorrelhoist.decisions.routes import Repeat


def progress(repeat, max_endpoints=2, **more):
    return Progress(repeat=repeat, max_endpoints=max_endpoints, **more)


@pytest.mark.parametrize("repeat", list(Repeat))
@pytest.mark.parametrize("failure", [NotSent("refused"), Declined("full")])
def test_a_request_that_was_not_executed_is_sent_to_another_endpoint(repeat, failure):
    assert after_failure(failure, progress(repeat)) == TryAgain()


def test_declines_are_bounded_and_then_refused_as_not_run():
    once = progress(Repeat.ONCE)
    steps = [after_failure(Declined("full"), once) for _ in range(MAX_DECLINES + 1)]
    assert steps[:-1] == [TryAgain()] * MAX_DECLINES
    assert steps[-1] == RefuseNotRun("full")


@pytest.mark.parametrize("failure", [Broken("reset"), Failed(500)])
def test_a_non_repeatable_request_that_may_have_run_is_not_sent_again(failure):
    step = after_failure(failure, progress(Repeat.ONCE))
    assert isinstance(step, FailUnknown | PassOn)


def test_a_repeatable_request_runs_on_no_more_endpoints_than_its_route_allows():
    twice = progress(Repeat.REPEATABLE)
    assert after_failure(Broken("reset"), twice) == TryAgain()
    assert after_failure(Broken("reset"), twice) == FailUnknown("reset")


def test_a_decline_after_a_run_is_not_answered_as_not_run():
    ran = progress(Repeat.REPEATABLE, runs=1, declines=MAX_DECLINES)
    assert after_failure(Declined("full"), ran) == FailUnknown("full")


@pytest.mark.parametrize("repeat", [Repeat.ONCE, Repeat.REPEATABLE])
def test_a_partly_delivered_answer_is_only_retried_if_resumable(repeat):
    begun = progress(repeat, has_begun=True)
    assert isinstance(after_failure(Broken("reset"), begun), FailUnknown)
    resumable = progress(Repeat.RESUMABLE, has_begun=True)
    assert after_failure(Broken("reset"), resumable) == TryAgain()


def test_a_timeout_with_the_request_in_flight_is_not_answered_as_not_run():
    # On kasparek-hoist trouble-3, callers got 503 "not run" for requests that an
    # endpoint was still executing when they timed out.
    out = progress(Repeat.ONCE, is_in_flight=True)
    assert give_up(out, "its time is over") == FailUnknown("its time is over")
    assert isinstance(give_up(progress(Repeat.ONCE), "no room"), RefuseNotRun)


def test_a_declined_request_is_no_longer_in_flight():
    out = progress(Repeat.ONCE, is_in_flight=True)
    after_failure(Declined("full"), out)
    assert isinstance(give_up(out, "no room"), RefuseNotRun)
