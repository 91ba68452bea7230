"""Verdicts on claims depend only on the order of the records in the log."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.claims_fold import (
    ClaimFold,
    Done,
    Free,
    Open,
    Verdict,
)
from sorrelhoist.decisions.claims_records import (
    MAX_OUTCOME_BODY_BYTES,
    Claim,
    Claimant,
    Outcome,
    Void,
    decode_record,
    encode_record,
    outcome_of,
)
from sorrelhoist.decisions.idempotency import KeyWindow

A, B = Claimant("a", "1"), Claimant("b", "1")
KEY, FINGERPRINT = bytes(16), bytes([7] * 16)
WINDOW = KeyWindow(window_s=100.0, skew_s=5.0, max_budget_s=10.0)


def _claim(number, claimant=A, key=KEY):
    return Claim(key, FINGERPRINT, bytes([number] * 16), claimant)


def _void(claim, claimant=None):
    return Void(claim.key_hash, claim.claim_id, claimant or claim.claimant)


def _outcome(claim):
    return outcome_of(claim, 200, "text/plain", b"ok")


def _fold(*records):
    fold = ClaimFold(WINDOW)
    for offset, record in enumerate(records, 1):
        text = record if isinstance(record, str) else encode_record(record)
        assert fold.add(offset, 0.0, text)
    return fold


C1, C2, C3 = _claim(1), _claim(2, B), _claim(3)
WON, LOST = Verdict.WON, Verdict.LOST
VOIDED, UNSEEN = Verdict.VOIDED, Verdict.UNSEEN


@pytest.mark.parametrize(
    ("records", "verdicts", "state"),
    [
        ([], [UNSEEN, UNSEEN, UNSEEN], Free()),
        ([C1], [WON, UNSEEN, UNSEEN], Open(C1)),
        ([C1, C2], [WON, LOST, UNSEEN], Open(C1)),
        ([C1, C1], [WON, UNSEEN, UNSEEN], Open(C1)),
        ([C1, _void(C1)], [VOIDED, UNSEEN, UNSEEN], Free()),
        ([_void(C1), C1], [VOIDED, UNSEEN, UNSEEN], Free()),
        ([_void(C1), C1, C2], [VOIDED, WON, UNSEEN], Open(C2)),
        ([C1, _void(C1), C1], [VOIDED, UNSEEN, UNSEEN], Free()),
        ([C1, _void(C1), C2], [VOIDED, WON, UNSEEN], Open(C2)),
        # A claim that lost never wins later, even if it is appended again.
        ([C1, C2, _void(C1)], [VOIDED, LOST, UNSEEN], Free()),
        ([C1, C2, _void(C1), C2], [VOIDED, LOST, UNSEEN], Free()),
        ([C1, C2, _void(C1), C3], [VOIDED, LOST, WON], Open(C3)),
        ([C1, C2, _void(C2)], [WON, LOST, UNSEEN], Open(C1)),
        # Only the claimant can void its claim.
        ([C1, _void(C1, B), C2], [WON, LOST, UNSEEN], Open(C1)),
        ([_void(C1, B), C1, C2], [WON, LOST, UNSEEN], Open(C1)),
        # The first outcome of the claim that holds the key completes it.
        (
            [C1, _outcome(C1), _outcome(C1), _void(C1), C2],
            [WON, LOST, UNSEEN],
            Done(C1.claim_id, FINGERPRINT, 2),
        ),
        ([C1, C2, _outcome(C2)], [WON, LOST, UNSEEN], Open(C1)),
        ([_outcome(C1), C1], [WON, UNSEEN, UNSEEN], Open(C1)),
        # Records that can't be decoded are skipped.
        (["{", '{"t":"later"}', "[]", "1", C1], [WON, UNSEEN, UNSEEN], Open(C1)),
    ],
)
def test_record_sequence_gives_verdicts_and_key_state(records, verdicts, state):
    fold = _fold(*records)
    assert [fold.verdict(claim) for claim in (C1, C2, C3)] == verdicts
    assert fold.state(KEY) == state


def test_only_the_next_record_is_folded():
    fold = _fold(C1)
    assert not fold.add(1, 0.0, encode_record(C2))
    assert not fold.add(3, 0.0, encode_record(C2))
    assert (fold.next_offset, fold.verdict(C2)) == (2, UNSEEN)


def test_entries_expire_by_record_age_and_not_before():
    fold = _fold(C1)
    fold.expire(WINDOW.retention_s)
    assert fold.state(KEY) == Open(C1)
    fold.expire(WINDOW.retention_s + 0.1)
    assert fold.state(KEY) == Free()
    assert fold.dump()["keys"] == 0


def test_full_index_still_folds_records():
    fold = ClaimFold(WINDOW, max_keys=1)
    fold.add(1, 0.0, encode_record(C1))
    other = _claim(4, key=bytes([4] * 16))
    fold.add(2, 0.0, encode_record(other))
    assert fold.full
    assert fold.verdict(other) is WON


@pytest.mark.parametrize(("age_s", "covered"), [(19.0, True), (21.0, False)])
def test_restarted_fold_covers_only_keys_newer_than_its_floor(age_s, covered):
    fold = _fold(C1)
    fold.restart(9, floor_s=100.0)
    fold.add(9, 70.0, encode_record(C2))
    assert fold.covers(age_s, now_s=100.0) is covered
    assert fold.verdict(C1) is UNSEEN


def test_oversized_outcome_is_recorded_without_its_body():
    body = b"x" * (MAX_OUTCOME_BODY_BYTES + 1)
    outcome = decode_record(encode_record(outcome_of(C1, 201, "t" * 999, body)))
    assert isinstance(outcome, Outcome)
    assert (outcome.status, outcome.body) == (201, None)


@given(
    st.text()
    | st.binary().map(repr)
    | st.recursive(
        st.none() | st.integers() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    ).map(str)
)
def test_fuzz_invalid_records_decode_to_none(text):
    assert decode_record(text) is None


@given(st.lists(st.integers(0, 8), max_size=40), st.randoms())
def test_fuzz_at_most_one_claim_holds_the_key(numbers, rng: random.Random):
    """Compare with a reference model that tracks which claim holds the key."""
    claims = {number: _claim(number, rng.choice((A, B))) for number in range(9)}
    holder, closed, records = None, set(), []
    for number in numbers:
        claim = claims[number]
        if rng.random() < 0.4:
            records.append(_void(claim))
            closed.add(number)
            holder = None if holder == number else holder
        else:
            records.append(claim)
            if holder is None and number not in closed:
                holder = number
            elif holder != number:
                closed.add(number)
    expected = Free() if holder is None else Open(claims[holder])
    assert _fold(*records).state(KEY) == expected
