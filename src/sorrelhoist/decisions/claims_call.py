"""What stays the same from the begin of a claimed call to its answer."""

import enum

import attrs

from .claims_fold import ClaimFold
from .claims_records import Claim, Claimant, Void

VOID_RESERVE_FRACTION = 0.2
MAX_VOID_RESERVE_S = 1.0


class Phase(enum.Enum):
    """Where a call is."""

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
    """One call with its key and its times, in monotonic seconds of this process.

    Parameters
    ----------
    key_hash, fingerprint : bytes
        Of the call.
    claimant : Claimant
        This process.
    key_made_s : float
        When the caller made the key.
    deadline_s : float
        When the answer must be given.
    give_up_s : float
        From here on the service is not called, so that a void can be confirmed.
    offers_lookup : bool
        Whether the service answers look-ups by key.
    """

    key_hash: bytes
    fingerprint: bytes
    claimant: Claimant
    key_made_s: float
    deadline_s: float
    give_up_s: float
    offers_lookup: bool

    def claim(self, claim_id: bytes) -> Claim:
        """Make a claim for this call."""
        return Claim(self.key_hash, self.fingerprint, claim_id, self.claimant)

    def void(self, claim: Claim) -> Void:
        """Make the void of one of this call's claims."""
        return Void(self.key_hash, claim.claim_id, self.claimant)

    def is_covered(self, fold: ClaimFold, now_s: float) -> bool:
        """Tell whether the fold knows all earlier claims with the key."""
        return fold.covers(now_s - self.key_made_s, now_s)

    def left_s(self, now_s: float) -> float:
        """Return the time until it is too late to call."""
        return max(self.give_up_s - now_s, 0.0)


def give_up_time(now_s: float, deadline_s: float) -> float:
    """Return from when on a call is too late to reach the service.

    Examples
    --------
    >>> give_up_time(0.0, 10.0), give_up_time(0.0, 2.0)
    (9.0, 1.6)
    """
    reserve_s = min(MAX_VOID_RESERVE_S, VOID_RESERVE_FRACTION * (deadline_s - now_s))
    return deadline_s - reserve_s
