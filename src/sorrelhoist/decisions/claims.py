"""State machine of one at-most-once call to a service.

A call appends a claim to the log, reads the log up to that claim, and calls the
service only if the claim won and there is time left before the deadline. Then it
appends the outcome.

These rules keep execution at most once through process pauses, crashes and message
loss:

- Only the claimant of the winning claim calls the service, and it does so once.
- Only the claimant voids its claim, and only if nothing was sent to the service.
  Once it has requested a void, the claimant never calls.
- A claim without an outcome keeps holding its key. Other calls wait for the outcome,
  look the key up if the service supports look-ups, and otherwise report that the
  call may have run.

``not_run`` states that the call being answered sent nothing and never will. It is
omitted if another call with the same key is known, or if the claim may still be valid
because its void could not be confirmed. A call that is refused because the log is
unavailable can't know about calls with the same key through other agents; retrying
with the same key is safe in every case.

The transitions run for every call and the state has only a few fields, so they are
plain code rather than an interpreted statechart.
"""

import random
from collections.abc import Callable

import attrs

from ..exceptions import SorrelhoistError
from . import claims_errors as errors
from .claims_call import ClaimedCall, Phase
from .claims_fold import ClaimFold, Done, Free, Open, Verdict
from .claims_records import ID_BYTES, Claim, Claimant, Outcome, Void, outcome_of
from .claims_steps import (
    Action,
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
    Event,
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

CLAIM_RETRY_S = 1.0
LOOKUP_INTERVAL_S = 1.0
VOID_RETRY_S = 0.2


def _never_gone(claimant: Claimant) -> bool:
    return False


@attrs.define
class ClaimStateMachine:
    """State machine of one at-most-once call, from claim to answer.

    Parameters
    ----------
    call : ClaimedCall
        The call with its idempotency key, creation time and deadlines.
    rng : random.Random
        Source of random claim ids.
    is_gone : callable
        Returns whether a claimant is known to have died.
    """

    call: ClaimedCall
    rng: random.Random
    is_gone: Callable[[Claimant], bool] = _never_gone
    phase: Phase = Phase.STARTING
    claim: Claim | None = None
    _called: bool = False
    _next_lookup_s: float = 0.0
    _next_append_s: float = 0.0
    _maybe_appended: bool = False
    _offset: int | None = None
    _cause: SorrelhoistError | None = None
    _served: Served | None = None
    _outcome: Outcome | None = None

    def advance(self, event: Event, fold: ClaimFold, now_s: float) -> Action:
        """Process an event and return the next action.

        Parameters
        ----------
        event : Event
            `Begin` first; afterwards the result of the previous action.
        fold : ClaimFold
            State of the service's claims, up to the last record read.
        now_s : float
            The present time, in monotonic seconds.

        Returns
        -------
        Action
            What the I/O layer has to do next.

        Raises
        ------
        ValueError
            If the event doesn't belong to the current phase.
        """
        match self.phase, event:
            case Phase.STARTING, Begin():
                return self._start(fold, now_s)
            case Phase.CLAIMING, Appended() | NotAppended() | AppendUnknown():
                return self._claimed(event, fold, now_s)
            case Phase.READING, Progress():
                return self._read(fold, now_s)
            case Phase.CALLING, Served() | NotReached() | CallUnknown():
                return self._call_finished(event, now_s)
            case Phase.VOIDING, Appended() | NotAppended() | AppendUnknown():
                return self._voided(event, fold, now_s)
            case Phase.READING_VOID, Progress():
                return self._read_void(fold, now_s)
            case Phase.WAITING, Progress():
                return self._wait(fold, now_s)
            case Phase.LOOKING_UP, LookedUp(served):
                return self._looked_up(served, fold, now_s)
            case Phase.FETCHING, OutcomeRead(outcome):
                return self._fetched(outcome)
            case Phase.RECORDING, Appended() | NotAppended() | AppendUnknown():
                return self._recorded(event)
        raise ValueError(f"{event} can't come while {self.phase.value}.")

    def _start(self, fold: ClaimFold, now_s: float) -> Action:
        match fold.state(self.call.key_hash):
            case Open(claim) if claim.fingerprint != self.call.fingerprint:
                return self._error(errors.key_reused())
            case Done(_, fingerprint) if fingerprint != self.call.fingerprint:
                return self._error(errors.key_reused())
            case Done(_, _, offset):
                return self._fetch(offset)
            case Open(claim):
                patience_s = (
                    0.0 if self.is_gone(claim.claimant) else self.call.left_s(now_s)
                )
                self._next_lookup_s = now_s + patience_s / 2
                return self._wait(fold, now_s)
        return self._claim(fold, now_s)

    def _claim(self, fold: ClaimFold, now_s: float) -> Action:
        if self._called:
            return self._error(errors.may_have_run())
        if not self.call.is_covered(fold, now_s):
            return self._error(errors.not_covered())
        if now_s >= self.call.give_up_s:
            return self._error(errors.too_late(not_run=True))
        if fold.full:
            return self._error(errors.index_full())
        self.claim = self.call.claim(self.rng.randbytes(ID_BYTES))
        self._offset = None
        self._maybe_appended = False
        self.phase = Phase.CLAIMING
        return AppendClaim(self.claim)

    def _claimed(self, event: Event, fold: ClaimFold, now_s: float) -> Action:
        match event:
            case NotAppended(reason, retry_after_s) if not self._maybe_appended:
                return self._error(errors.log_down(reason, retry_after_s))
            case Appended(offset):
                self._offset = offset
        self._maybe_appended = True
        self._next_append_s = now_s + CLAIM_RETRY_S
        self.phase = Phase.READING
        return self._read(fold, now_s)

    def _read(self, fold: ClaimFold, now_s: float) -> Action:
        assert self.claim is not None
        match fold.verdict(self.claim):
            case Verdict.WON:
                return self._won(fold, now_s)
            case Verdict.LOST:
                return self._start(fold, now_s)
        if now_s >= self.call.give_up_s:
            return self._void(errors.too_late(not_run=True))
        if self._offset is not None:
            return ReadThrough(self._offset, self.call.give_up_s)
        if now_s >= self._next_append_s:
            # Safe to repeat: a duplicate of the claim in the log is ignored.
            self.phase = Phase.CLAIMING
            return AppendClaim(self.claim)
        return ReadThrough(None, min(self.call.give_up_s, self._next_append_s))

    def _won(self, fold: ClaimFold, now_s: float) -> Action:
        match fold.state(self.call.key_hash):
            case Done(_, _, offset):
                return self._fetch(offset)
        if not self.call.is_covered(fold, now_s):
            return self._void(errors.not_covered())
        if now_s >= self.call.give_up_s:
            return self._void(errors.too_late(not_run=True))
        self._called = True
        self.phase = Phase.CALLING
        # The time from this timeout to the deadline is for the outcome or a look-up.
        return CallService((self.call.give_up_s + self.call.deadline_s) / 2 - now_s)

    def _call_finished(self, event: Event, now_s: float) -> Action:
        match event:
            case Served() as served:
                return self._record(served)
            case NotReached(reason):
                # Nothing was sent, so the key can safely be released.
                return self._void(errors.not_reached(reason))
        if not self.call.offers_lookup or now_s >= self.call.deadline_s:
            return self._error(errors.may_have_run())
        return self._look_up(now_s)

    def _record(self, served: Served) -> Action:
        assert self.claim is not None
        self._served = served
        self.phase = Phase.RECORDING
        self._outcome = outcome_of(
            self.claim, served.status, served.content_type, served.body
        )
        return AppendOutcome(self._outcome)

    def _recorded(self, event: Event) -> Action:
        assert self._outcome is not None and self._served is not None
        served = self._served
        pending = None if isinstance(event, Appended) else self._outcome
        self.phase = Phase.ANSWERED
        return AnswerReply(
            served.status,
            served.content_type,
            served.body,
            replayed=not self._called,
            pending=pending,
        )

    def _void(self, cause: SorrelhoistError) -> Action:
        assert self.claim is not None
        self._cause = cause
        self.phase = Phase.VOIDING
        return AppendVoid(self.call.void(self.claim))

    def _voided(self, event: Event, fold: ClaimFold, now_s: float) -> Action:
        match event:
            case Appended(offset):
                self._offset = offset
            case NotAppended() | AppendUnknown():
                self._offset = None
        self._next_append_s = now_s + VOID_RETRY_S
        self.phase = Phase.READING_VOID
        return self._read_void(fold, now_s)

    def _read_void(self, fold: ClaimFold, now_s: float) -> Action:
        assert self.claim is not None and self._cause is not None
        match fold.verdict(self.claim):
            case Verdict.VOIDED | Verdict.LOST:
                return self._void_settled(fold)
        if now_s >= self.call.deadline_s:
            return self._error(
                errors.too_late(not_run=False), self.call.void(self.claim)
            )
        if self._offset is not None:
            return ReadThrough(self._offset, self.call.deadline_s)
        if now_s >= self._next_append_s:
            self.phase = Phase.VOIDING
            return AppendVoid(self.call.void(self.claim))
        return ReadThrough(None, min(self.call.deadline_s, self._next_append_s))

    def _void_settled(self, fold: ClaimFold) -> Action:
        assert self._cause is not None
        match fold.state(self.call.key_hash):
            case Free():
                return self._error(self._cause)
            case Done(_, fingerprint, offset) if fingerprint == self.call.fingerprint:
                return self._fetch(offset)
        return self._error(errors.may_have_run())

    def _wait(self, fold: ClaimFold, now_s: float) -> Action:
        self.phase = Phase.WAITING
        match fold.state(self.call.key_hash):
            case Free():
                return self._claim(fold, now_s)
            case Done():
                return self._start(fold, now_s)
            case Open(claim):
                return self._wait_for(claim, now_s)

    def _wait_for(self, holder: Claim, now_s: float) -> Action:
        gone = holder.claimant != self.call.claimant and self.is_gone(holder.claimant)
        if now_s >= self.call.give_up_s or (gone and not self.call.offers_lookup):
            return self._error(errors.may_have_run())
        if not self.call.offers_lookup:
            return ReadThrough(None, self.call.give_up_s)
        if now_s >= self._next_lookup_s:
            self.claim = holder
            return self._look_up(now_s)
        return ReadThrough(None, min(self.call.give_up_s, self._next_lookup_s))

    def _look_up(self, now_s: float) -> Action:
        self._next_lookup_s = now_s + LOOKUP_INTERVAL_S
        self.phase = Phase.LOOKING_UP
        return LookUp(max(self.call.deadline_s - now_s, 0.0) / 2)

    def _looked_up(
        self, served: Served | None, fold: ClaimFold, now_s: float
    ) -> Action:
        if served is not None:
            return self._record(served)
        # None doesn't prove that the call won't run: the claimant may be paused
        # immediately before calling.
        return self._wait(fold, now_s)

    def _fetch(self, offset: int) -> Action:
        self.phase = Phase.FETCHING
        return ReadOutcome(offset)

    def _fetched(self, outcome: Outcome | None) -> Action:
        self.phase = Phase.ANSWERED
        return errors.answer_from(outcome)

    def _error(self, error: SorrelhoistError, pending: Void | None = None) -> Action:
        self.phase = Phase.ANSWERED
        return AnswerError(error, pending)
