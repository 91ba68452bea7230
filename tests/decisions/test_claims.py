"""State machine of an at-most-once call: every result, and deadlines that pass."""

import random

import pytest

from sorrelhoist import exceptions as errors
from sorrelhoist.decisions.claims import ClaimStateMachine
from sorrelhoist.decisions.claims_call import ClaimedCall
from sorrelhoist.decisions.claims_fold import ClaimFold
from sorrelhoist.decisions.claims_records import (
    Claim,
    Claimant,
    Void,
    encode_record,
    outcome_of,
)
from sorrelhoist.decisions.claims_steps import (
    AnswerError,
    AnswerReply,
    AppendClaim,
    Appended,
    AppendOutcome,
    AppendUnknown,
    AppendVoid,
    Begin,
    CallService,
    CallUnknown,
    LookedUp,
    LookUp,
    NotAppended,
    NotReached,
    OutcomeRead,
    Progress,
    ReadOutcome,
    ReadThrough,
    Served,
)

KEY, FINGERPRINT = bytes(16), bytes([7] * 16)
ME, OTHER = Claimant("a", "1"), Claimant("b", "1")
NOW_S, GIVE_UP_S, DEADLINE_S = 100.0, 109.0, 110.0
SERVED = Served(200, "text/plain", b"ok")
THEIRS = Claim(KEY, FINGERPRINT, bytes([9] * 16), OTHER)


class CallHarness:
    """A call's state machine with a log whose records are folded immediately."""

    def __init__(self, *, lookup=False, gone=False):
        self.fold = ClaimFold()
        self.now_s = NOW_S
        call = ClaimedCall(
            KEY, FINGERPRINT, ME, NOW_S, DEADLINE_S, GIVE_UP_S, offers_lookup=lookup
        )
        self.process = ClaimStateMachine(call, random.Random(0), lambda claimant: gone)

    def log(self, record):
        offset = self.fold.next_offset
        self.fold.add(offset, self.now_s, encode_record(record))
        return Appended(offset)

    def step(self, event, at_s=None):
        self.now_s = self.now_s if at_s is None else at_s
        return self.process.advance(event, self.fold, self.now_s)

    def advance_to_call(self):
        claim = self.step(Begin()).claim
        assert isinstance(self.step(self.log(claim)), CallService)
        return claim


def test_call_reaches_the_service_once_and_records_the_outcome():
    harness = CallHarness()
    claim = harness.advance_to_call()
    action = harness.step(SERVED)
    assert action == AppendOutcome(outcome_of(claim, 200, "text/plain", b"ok"))
    answer = harness.step(harness.log(action.outcome))
    assert answer == AnswerReply(200, "text/plain", b"ok", replayed=False)


@pytest.mark.parametrize("late_s", [GIVE_UP_S, DEADLINE_S, DEADLINE_S + 1000.0])
def test_winner_paused_past_give_up_time_voids_and_never_calls(late_s):
    harness = CallHarness()
    claim = harness.step(Begin()).claim
    action = harness.step(harness.log(claim), late_s)
    assert action == AppendVoid(Void(KEY, claim.claim_id, ME))
    answer = harness.step(harness.log(action.void), late_s)
    assert isinstance(answer.error, errors.DeadlineExceededError)
    assert answer.error.not_run


def test_pause_before_the_claim_ends_in_deadline_exceeded_not_run():
    answer = CallHarness().step(Begin(), DEADLINE_S)
    assert isinstance(answer.error, errors.DeadlineExceededError)
    assert answer.error.not_run


def test_unconfirmed_void_stays_pending_and_not_run_is_omitted():
    harness = CallHarness()
    claim = harness.step(Begin()).claim
    read = harness.step(AppendUnknown())
    assert isinstance(read, ReadThrough) and read.offset is None
    assert isinstance(harness.step(Progress(), GIVE_UP_S), AppendVoid)
    assert isinstance(harness.step(AppendUnknown()), ReadThrough)
    answer = harness.step(Progress(), DEADLINE_S)
    assert not answer.error.not_run
    assert answer.pending == Void(KEY, claim.claim_id, ME)


def test_claim_with_unknown_append_result_is_appended_again():
    harness = CallHarness()
    claim = harness.step(Begin()).claim
    harness.step(AppendUnknown())
    assert harness.step(Progress(), NOW_S + 1.0) == AppendClaim(claim)
    # The first append may still arrive, so refusing the second proves nothing.
    assert isinstance(harness.step(NotAppended("busy", 1.0)), ReadThrough)
    harness.log(claim)
    assert isinstance(harness.step(Progress()), CallService)


def test_refused_claim_append_is_reported_as_not_run():
    harness = CallHarness()
    harness.step(Begin())
    answer = harness.step(NotAppended("down", 3.0))
    assert isinstance(answer.error, errors.LogUnavailableError)
    assert answer.error.not_run and answer.error.retry_after_s == 3.0


def test_unreachable_service_releases_the_key():
    harness = CallHarness()
    harness.advance_to_call()
    void = harness.step(NotReached("refused")).void
    answer = harness.step(harness.log(void))
    assert isinstance(answer.error, errors.EndpointFailedError)
    assert answer.error.not_run
    assert isinstance(harness.fold.state(KEY), type(ClaimFold().state(KEY)))


@pytest.mark.parametrize("lookup", [False, True])
def test_call_with_unknown_result_is_never_repeated_or_voided(lookup):
    harness = CallHarness(lookup=lookup)
    harness.advance_to_call()
    action = harness.step(CallUnknown("cut"))
    seen = []
    while not isinstance(action, AnswerError):
        seen.append(type(action))
        harness.now_s += 0.5
        event = LookedUp(None) if isinstance(action, LookUp) else Progress()
        action = harness.step(event)
    assert set(seen) <= {LookUp, ReadThrough} and bool(seen) == lookup
    assert isinstance(action.error, errors.OutcomeUnknownError)
    assert not action.error.not_run and action.pending is None


def test_call_after_a_dead_claimant_looks_up_and_records_the_outcome():
    harness = CallHarness(lookup=True, gone=True)
    harness.log(THEIRS)
    assert isinstance(harness.step(Begin()), LookUp)
    assert harness.step(LookedUp(SERVED)) == AppendOutcome(
        outcome_of(THEIRS, 200, "text/plain", b"ok")
    )
    answer = harness.step(AppendUnknown())
    assert answer.replayed and answer.pending.claim_id == THEIRS.claim_id


@pytest.mark.parametrize("gone", [False, True])
def test_call_after_another_claimant_without_look_up_never_calls_or_voids(gone):
    harness = CallHarness(gone=gone)
    harness.log(THEIRS)
    action = harness.step(Begin())
    if not gone:
        assert isinstance(action, ReadThrough)
        action = harness.step(Progress(), GIVE_UP_S)
    assert isinstance(action.error, errors.OutcomeUnknownError)


def test_losing_claim_waits_for_the_outcome_of_the_winner():
    harness = CallHarness()
    claim = harness.step(Begin()).claim
    harness.log(THEIRS)
    assert isinstance(harness.step(harness.log(claim)), ReadThrough)
    outcome = outcome_of(THEIRS, 200, "text/plain", b"ok")
    harness.log(outcome)
    assert harness.step(Progress()) == ReadOutcome(3)
    assert harness.step(OutcomeRead(outcome)).replayed


def test_losing_call_claims_again_after_the_winner_voids():
    harness = CallHarness()
    first = harness.step(Begin()).claim
    harness.log(THEIRS)
    harness.step(harness.log(first))
    harness.log(Void(KEY, THEIRS.claim_id, OTHER))
    action = harness.step(Progress())
    assert isinstance(action, AppendClaim)
    assert action.claim.claim_id != first.claim_id
    assert isinstance(harness.step(harness.log(action.claim)), CallService)


def test_void_after_another_claim_won_omits_not_run():
    harness = CallHarness()
    harness.step(Begin())
    harness.step(AppendUnknown())
    harness.log(THEIRS)
    void = harness.step(Progress(), GIVE_UP_S).void
    answer = harness.step(harness.log(void))
    assert isinstance(answer.error, errors.OutcomeUnknownError)
    assert not answer.error.not_run


def test_call_voids_when_the_fold_may_miss_earlier_claims():
    harness = CallHarness()
    claim = harness.step(Begin()).claim
    harness.fold.restart(5, harness.now_s)
    action = harness.step(harness.log(claim))
    assert isinstance(action, AppendVoid)
    answer = harness.step(harness.log(action.void))
    assert isinstance(answer.error, errors.KeyExpiredError)
    assert not answer.error.not_run


def test_event_of_another_phase_raises_value_error():
    with pytest.raises(ValueError, match="starting"):
        CallHarness().step(Progress())
