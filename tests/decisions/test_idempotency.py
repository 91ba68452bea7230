"""Idempotency keys: age checks against the window, hashes and fingerprints."""

import pytest
import uuid6
from returns.result import Failure

from sorrelhoist.decisions.idempotency import (
    KeyExpired,
    KeyFromFuture,
    KeyMalformed,
    KeyWindow,
    check_key,
    fingerprint,
    key_hash,
    parse_key,
)

WINDOW = KeyWindow(window_s=100.0, skew_s=5.0, max_budget_s=10.0)
NOW_UNIX_S = 1.7e9


def _key(age_s):
    made_ms = int((NOW_UNIX_S - age_s) * 1000)
    return str(uuid6.UUID(int=made_ms << 80 | 7, version=7))


@pytest.mark.parametrize("age_s", [100.0, 0.0, -5.0])
def test_key_within_window_is_accepted(age_s):
    checked = check_key(_key(age_s), NOW_UNIX_S, WINDOW).unwrap()
    assert checked.created_unix_s == NOW_UNIX_S - age_s


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        (_key(100.1), KeyExpired),
        (_key(-5.1), KeyFromFuture),
        ("booking", KeyMalformed),
        ("", KeyMalformed),
        ("0" * 1000, KeyMalformed),
        ("ffffffff-ffff-4fff-8fff-ffffffffffff", KeyMalformed),
    ],
)
def test_invalid_key_is_refused(text, kind):
    match check_key(text, NOW_UNIX_S, WINDOW):
        case Failure(fault):
            assert isinstance(fault, kind)
        case other:
            raise AssertionError(other)


def test_upper_and_lower_case_keys_have_the_same_hash():
    lower, upper = parse_key(_key(1.0)), parse_key(_key(1.0).upper())
    assert key_hash(lower.unwrap()) == key_hash(upper.unwrap())


def test_fingerprint_depends_on_every_part():
    calls = [
        ("w", "POST", "/a", b"b"),
        ("v", "POST", "/a", b"b"),
        ("w", "PUT", "/a", b"b"),
        ("w", "POST", "/ab", b""),
        ("w", "POST", "/a", b"c"),
    ]
    assert len({fingerprint(*call) for call in calls}) == len(calls)
    assert fingerprint("w", "post", "/a", b"b") == fingerprint(*calls[0])
