"""The steps of one call, with each answer and with time running out."""

import random

import pytest

from sorrelhoist import exceptions as errors
from sorrelhoist.decisions.claims import ClaimProcess
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


class Walk:
    """A process and a log that is read at once."""

    def __init__(self, *, lookup=False, gone=False):
        self.fold = ClaimFold()
        self.now_s = NOW_S
        call = ClaimedCall(
            KEY, FINGERPRINT, ME, NOW_S, DEADLINE_S, GIVE_UP_S, offers_lookup=lookup
        )
        self.process = ClaimProcess(call, random.Random(0), lambda claimant: gone)

    def log(self, record):
        offset = self.fold.next_offset
        self.fold.add(offset, self.now_s, encode_record(record))
        return Appended(offset)

    def step(self, event, at_s=None):
        self.now_s = self.now_s if at_s is None else at_s
        return self.process.advance(event, self.fold, self.now_s)

    def to_call(self):
        claim = self.step(Begin()).claim
        assert isinstance(self.step(self.log(claim)), CallService)
        return claim


def test_call_once():
    walk = Walk()
    claim = walk.to_call()
    action = walk.step(SERVED)
    assert action == AppendOutcome(outcome_of(claim, 200, "text/plain", b"ok"))
    answer = walk.step(walk.log(action.outcome))
    assert answer == AnswerReply(200, "text/plain", b"ok", replayed=False)


@pytest.mark.parametrize("late_s", [GIVE_UP_S, DEADLINE_S, DEADLINE_S + 1000.0])
def test_paused_winner_voids_and_never_calls(late_s):
    walk = Walk()
    claim = walk.step(Begin()).claim
    action = walk.step(walk.log(claim), late_s)
    assert action == AppendVoid(Void(KEY, claim.claim_id, ME))
    answer = walk.step(walk.log(action.void), late_s)
    assert isinstance(answer.error, errors.DeadlineExceededError)
    assert answer.error.not_run


def test_paused_before_claiming_runs_nothing():
    answer = Walk().step(Begin(), DEADLINE_S)
    assert isinstance(answer.error, errors.DeadlineExceededError)
    assert answer.error.not_run


def test_unconfirmed_void_is_left_behind_and_promises_nothing():
    walk = Walk()
    claim = walk.step(Begin()).claim
    read = walk.step(AppendUnknown())
    assert isinstance(read, ReadThrough) and read.offset is None
    assert isinstance(walk.step(Progress(), GIVE_UP_S), AppendVoid)
    assert isinstance(walk.step(AppendUnknown()), ReadThrough)
    answer = walk.step(Progress(), DEADLINE_S)
    assert not answer.error.not_run
    assert answer.pending == Void(KEY, claim.claim_id, ME)


def test_claim_with_a_lost_answer_is_appended_again():
    walk = Walk()
    claim = walk.step(Begin()).claim
    walk.step(AppendUnknown())
    assert walk.step(Progress(), NOW_S + 1.0) == AppendClaim(claim)
    # The first append may still come: a refusal of the second proves nothing.
    assert isinstance(walk.step(NotAppended("busy", 1.0)), ReadThrough)
    walk.log(claim)
    assert isinstance(walk.step(Progress()), CallService)


def test_refused_claim_has_not_run():
    walk = Walk()
    walk.step(Begin())
    answer = walk.step(NotAppended("down", 3.0))
    assert isinstance(answer.error, errors.LogUnavailableError)
    assert answer.error.not_run and answer.error.retry_after_s == 3.0


def test_service_that_was_not_reached_frees_the_key():
    walk = Walk()
    walk.to_call()
    void = walk.step(NotReached("refused")).void
    answer = walk.step(walk.log(void))
    assert isinstance(answer.error, errors.EndpointFailedError)
    assert answer.error.not_run
    assert isinstance(walk.fold.state(KEY), type(ClaimFold().state(KEY)))


@pytest.mark.parametrize("lookup", [False, True])
def test_unknown_call_is_never_repeated_nor_voided(lookup):
    walk = Walk(lookup=lookup)
    walk.to_call()
    action = walk.step(CallUnknown("cut"))
    seen = []
    while not isinstance(action, AnswerError):
        seen.append(type(action))
        walk.now_s += 0.5
        event = LookedUp(None) if isinstance(action, LookUp) else Progress()
        action = walk.step(event)
    assert set(seen) <= {LookUp, ReadThrough} and bool(seen) == lookup
    assert isinstance(action.error, errors.OutcomeUnknownError)
    assert not action.error.not_run and action.pending is None


def test_successor_looks_up_and_records():
    walk = Walk(lookup=True, gone=True)
    walk.log(THEIRS)
    assert isinstance(walk.step(Begin()), LookUp)
    assert walk.step(LookedUp(SERVED)) == AppendOutcome(
        outcome_of(THEIRS, 200, "text/plain", b"ok")
    )
    answer = walk.step(AppendUnknown())
    assert answer.replayed and answer.pending.claim_id == THEIRS.claim_id


@pytest.mark.parametrize("gone", [False, True])
def test_successor_without_look_up_never_calls_nor_voids(gone):
    walk = Walk(gone=gone)
    walk.log(THEIRS)
    action = walk.step(Begin())
    if not gone:
        assert isinstance(action, ReadThrough)
        action = walk.step(Progress(), GIVE_UP_S)
    assert isinstance(action.error, errors.OutcomeUnknownError)


def test_loser_waits_for_the_outcome():
    walk = Walk()
    claim = walk.step(Begin()).claim
    walk.log(THEIRS)
    assert isinstance(walk.step(walk.log(claim)), ReadThrough)
    outcome = outcome_of(THEIRS, 200, "text/plain", b"ok")
    walk.log(outcome)
    assert walk.step(Progress()) == ReadOutcome(3)
    assert walk.step(OutcomeRead(outcome)).replayed


def test_loser_claims_again_when_the_winner_voids():
    walk = Walk()
    first = walk.step(Begin()).claim
    walk.log(THEIRS)
    walk.step(walk.log(first))
    walk.log(Void(KEY, THEIRS.claim_id, OTHER))
    action = walk.step(Progress())
    assert isinstance(action, AppendClaim)
    assert action.claim.claim_id != first.claim_id
    assert isinstance(walk.step(walk.log(action.claim)), CallService)


def test_void_that_comes_after_another_winner_promises_nothing():
    walk = Walk()
    walk.step(Begin())
    walk.step(AppendUnknown())
    walk.log(THEIRS)
    void = walk.step(Progress(), GIVE_UP_S).void
    answer = walk.step(walk.log(void))
    assert isinstance(answer.error, errors.OutcomeUnknownError)
    assert not answer.error.not_run


def test_fold_that_began_too_late_wins_nothing():
    walk = Walk()
    claim = walk.step(Begin()).claim
    walk.fold.restart(5, walk.now_s)
    action = walk.step(walk.log(claim))
    assert isinstance(action, AppendVoid)
    answer = walk.step(walk.log(action.void))
    assert isinstance(answer.error, errors.KeyExpiredError)
    assert not answer.error.not_run


def test_event_out_of_turn_is_an_error():
    with pytest.raises(ValueError, match="starting"):
        Walk().step(Progress())
