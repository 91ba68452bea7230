"""The newest answer of an endpoint decides its limit."""

from sorrelhoist.decisions.endpoint_notices import NamedLimits


def test_an_older_answer_does_not_replace_a_newer_one():
    limits = NamedLimits()
    assert limits.observe("i-1", 2.0, now_s=10.0)
    assert not limits.observe("i-1", None, now_s=9.0)
    assert limits.limited() == {"i-1": 2.0}


def test_a_limit_of_zero_is_a_limit():
    limits = NamedLimits()
    assert limits.observe("i-1", 0.0, now_s=10.0)
    assert limits.limited() == {"i-1": 0.0}


def test_the_same_limit_again_is_no_change():
    limits = NamedLimits()
    limits.observe("i-1", 2.0, now_s=10.0)
    assert not limits.observe("i-1", 2.0, now_s=11.0)
    assert limits.dump(now_s=12.0) == {"i-1": {"requests_per_s": 2.0, "age_s": 1.0}}
