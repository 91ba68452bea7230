"""Immutable data of one at-most-once call: key, claimant, deadlines."""

import enum

import attrs

from .claims_fold import ClaimFold
from .claims_records import Claim, Claimant, Void

VOID_RESERVE_FRACTION = 0.2
MAX_VOID_RESERVE_S = 1.0


class Phase(enum.Enum):
    """Phase of the state machine of a claimed call."""

    STARTING = "starting"
    CLAIMING = "claiming"
    READING = "reading"
    CALLING = "calling"
    VOIDING = "voiding"
    READING_VOID = "reading_void"
    WAITING = "waiting"
    LOOKING_UP = "looking_up"
    FETCHING = "fetching"
    RECORDING = "recording"
    ANSWERED = "answered"


@attrs.frozen
class ClaimedCall:
    """One call with its idempotency key and deadlines.

    Times are in monotonic seconds of this process.

    Parameters
    ----------
    key_hash, fingerprint : bytes
        Hash of the idempotency key; hash of workspace, method, path and body.
    claimant : Claimant
        This process.
    key_created_s : float
        When the caller created the key.
    deadline_s : float
        When the caller must have an answer.
    give_up_s : float
        The service is not called after this time, which leaves time before the
        deadline to confirm a void.
    offers_lookup : bool
        Whether the service supports looking up the answer by key.
    """

    key_hash: bytes
    fingerprint: bytes
    claimant: Claimant
    key_created_s: float
    deadline_s: float
    give_up_s: float
    offers_lookup: bool

    def claim(self, claim_id: bytes) -> Claim:
        """Return a claim for this call."""
        return Claim(self.key_hash, self.fingerprint, claim_id, self.claimant)

    def void(self, claim: Claim) -> Void:
        """Return the void of one of this call's claims."""
        return Void(self.key_hash, claim.claim_id, self.claimant)

    def is_covered(self, fold: ClaimFold, now_s: float) -> bool:
        """Return whether the fold includes every earlier claim with the key."""
        return fold.covers(now_s - self.key_created_s, now_s)

    def left_s(self, now_s: float) -> float:
        """Return the time left in which the service may be called."""
        return max(self.give_up_s - now_s, 0.0)


def give_up_time(now_s: float, deadline_s: float) -> float:
    """Return the time after which a call is no longer sent to the service.

    The time between it and the deadline is reserved for confirming a void: a fraction
    of the time to the deadline, limited to `MAX_VOID_RESERVE_S`.

    Examples
    --------
    >>> give_up_time(0.0, 10.0), give_up_time(0.0, 2.0)
    (9.0, 1.6)
    """
    reserve_s = min(MAX_VOID_RESERVE_S, VOID_RESERVE_FRACTION * (deadline_s - now_s))
    return deadline_s - reserve_s
