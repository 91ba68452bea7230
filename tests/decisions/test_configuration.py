"""Configuration fold: verdicts, checkpoints and records that can't be decoded."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.configuration import (
    Accepted,
    ConfigurationFold,
    Conflict,
    DigestMismatch,
    VerdictPending,
)
from sorrelhoist.decisions.configuration_records import (
    Change,
    Checkpoint,
    decode_record,
    encode_record,
)
from sorrelhoist.decisions.documents import DocumentSet, FailureDomain, diff

EMPTY = DocumentSet()


def documents(*names):
    return DocumentSet.from_documents(FailureDomain(name) for name in names)


def change(apply_id, base_revision, old, new):
    return Change(apply_id, base_revision, diff(old, new), new.digest)


A, B, C = documents("a"), documents("a", "b"), documents("c")
FIRST = encode_record(change("first", 0, EMPTY, A))
SECOND = encode_record(change("second", 1, A, B))
RIVAL = encode_record(change("rival", 1, A, C))


def folded(*texts):
    fold = ConfigurationFold()
    for offset, text in enumerate(texts, start=1):
        fold.apply(offset, text)
    return fold


def test_verdicts_on_accepted_conflicting_and_unknown_changes():
    fold = folded(FIRST, SECOND, RIVAL)
    assert fold.verdict("second") == Accepted("second", 2, 2, B.digest)
    assert fold.verdict("rival") == Conflict("rival", 1, 2, "second")
    assert fold.verdict("other") == VerdictPending("other")
    assert fold.documents == B
    assert folded(FIRST, RIVAL, SECOND).documents == C


def test_duplicate_record_takes_effect_once():
    fold = folded(FIRST, SECOND, SECOND)
    assert isinstance(fold.verdict("second"), Accepted)
    assert fold.revision == 2


def test_adopted_checkpoint_carries_verdicts():
    fold = ConfigurationFold()
    fold.adopt(folded(FIRST, SECOND).state)
    assert fold.verdict("second") == Accepted("second", 2, 2, B.digest)
    assert fold.verdict_from_base("lost", 1) == Conflict("lost", 1, 2, "second")
    assert fold.verdict_from_base("lost", 2) == VerdictPending("lost")


def test_change_with_a_wrong_digest_is_rejected():
    text = FIRST.replace(A.digest, B.digest)
    fold = folded(text, FIRST)
    assert fold.effective_offset == 2
    assert isinstance(folded(text).verdict("first"), DigestMismatch)


@pytest.mark.parametrize(
    ("as_of", "retained_from", "is_used"),
    [(2, 3, True), (2, 2, True), (2, 4, False), (1, 3, False), (1, 2, True)],
)
def test_new_reader_uses_a_checkpoint_only_if_all_later_records_are_retained(
    as_of, retained_from, is_used
):
    old_state = folded(*[FIRST, SECOND][:as_of]).state
    texts = [FIRST, SECOND, RIVAL, RIVAL, encode_record(old_state)]
    fold = ConfigurationFold()
    for offset in range(retained_from, 6):
        fold.apply(offset, texts[offset - 1])
    assert fold.is_complete_before(6) == is_used
    assert fold.effective_offset == (2 if is_used else 0)


def test_checkpoint_that_is_not_ahead_is_ignored():
    fold = folded(FIRST, SECOND)
    assert not fold.adopt(folded(FIRST).state)
    assert fold.documents == B
    inconsistent = Checkpoint(9, 1, 1, A)
    assert not fold.adopt(inconsistent)
    assert fold.documents == B


def test_checkpoint_with_another_digest_at_the_same_offset_is_counted():
    fold = folded(FIRST, encode_record(Checkpoint(1, 1, 1, C)))
    assert fold.differing_checkpoints == 1
    assert fold.documents == A


UNREADABLE = [
    "",
    "[]",
    "null",
    "{",
    "[" * 100_000,
    '{"record": []}',
    FIRST.replace('"revision":1', '"revision":2'),
    FIRST.replace('"base_revision":0', '"base_revision":false'),
    FIRST.replace('"name":"a"', '"name":"\\ud800"'),
    FIRST.replace('"name":"a"', '"name":NaN'),
    FIRST.replace('"region":""', '"region":"\\ud800"'),
    FIRST.replace('"removed":[]', '"removed":[1]'),
    encode_record(folded(FIRST).state).replace('"name":"a"', '"name":"b"'),
    encode_record(Checkpoint(1, 2, 1, A)),
]


@pytest.mark.parametrize("text", UNREADABLE, ids=range(len(UNREADABLE)))
def test_unreadable_record_has_no_effect(text):
    assert decode_record(text) is None
    fold = folded(text, FIRST)
    assert fold.effective_offset == 2
    assert fold.unreadable_records == 1


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(list(json.loads(FIRST))), inner, max_size=9)
    ),
)


@given(JSON, st.sampled_from(sorted(json.loads(FIRST))))
def test_any_value_in_any_field_fuzz(value, key):
    data = {**json.loads(FIRST), key: value}
    fold = folded(json.dumps(data), FIRST)
    assert fold.documents == A or fold.verdict("first")
    assert fold.as_of_offset == 2
