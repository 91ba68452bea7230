"""Replicated state of all claims of one service, folded from its log topic.

Every agent of a service applies the same records in the same order and reaches the
same verdicts. The verdict on a claim depends only on the records up to and including
it, and on a void by its own claimant, so it is known as soon as the claim is read:

- A claim wins if its key is free at its offset; otherwise it has lost permanently.
- A void releases the key of its claim, or invalidates the claim if it comes later.
- The first outcome of the claim that holds the key completes the key.

The index stores a hash of each key rather than the key, and the offset of each
outcome rather than the outcome: 192 bytes for each completed key, so
`DEFAULT_MAX_KEYS` take 7.4 MB. An entry expires by the age of its record. With the
default window it is kept for 2,160 seconds, which allows a sustained rate of 18 claims
a second for each service; above that rate new claims are refused before anything runs.
"""

import enum
import struct

import attrs

from .claims_index import ExpiringIndex
from .claims_records import Claim, ClaimRecord, Outcome, Void, decode_record
from .idempotency import KeyWindow

DEFAULT_MAX_KEYS = 40_000
FIRST_OFFSET = 1
# Most entries are completed keys; packing them saves a third of the memory.
_DONE = struct.Struct("16s16sQ")


@attrs.frozen
class Free:
    """No claim holds the key."""


@attrs.frozen
class Open:
    """A claim holds the key and has no outcome: it may have run."""

    claim: Claim


@attrs.frozen
class Done:
    """The call of the key ran; its outcome is the record at `outcome_offset`."""

    claim_id: bytes
    fingerprint: bytes
    outcome_offset: int


KeyState = Free | Open | Done


class Verdict(enum.Enum):
    """What the log has decided about one claim."""

    UNSEEN = "unseen"
    WON = "won"
    LOST = "lost"
    VOIDED = "voided"


@attrs.define
class ClaimFold:
    """State of the claims of one service, from records in offset order.

    Parameters
    ----------
    window : KeyWindow
        How long idempotency keys are honoured.
    max_keys : int
        New claims are refused while the index holds this many keys. Records already
        in the log are still folded: verdicts don't depend on this limit.
    next_offset : int
        Offset of the next record to fold.
    """

    window: KeyWindow = attrs.field(factory=KeyWindow)
    max_keys: int = DEFAULT_MAX_KEYS
    next_offset: int = FIRST_OFFSET
    _floor_s: float | None = None
    _awaiting_first_record: bool = False
    _keys: ExpiringIndex[Open | bytes] = attrs.field(init=False)
    _closed: ExpiringIndex[Void | Verdict] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._clear()

    def restart(self, from_offset: int, floor_s: float) -> None:
        """Clear the state and fold from a later offset.

        Parameters
        ----------
        from_offset : int
            Offset of the next record to fold.
        floor_s : float
            The present time, in monotonic seconds. Claims recorded before it, or
            before the first folded record if that is older, may be missing.
        """
        self.next_offset = from_offset
        self._floor_s = floor_s
        self._awaiting_first_record = True
        self._clear()

    def add(self, offset: int, recorded_at_s: float, value: str) -> bool:
        """Fold one record.

        Parameters
        ----------
        offset : int
            Offset of the record.
        recorded_at_s : float
            When the log stored it, in monotonic seconds of this process.
        value : str
            Text of the record. Text that can't be decoded only advances the offset.

        Returns
        -------
        bool
            False if this is not the next record; it was ignored.
        """
        if offset != self.next_offset:
            return False
        self.next_offset = offset + 1
        self._lower_floor(recorded_at_s)
        record = decode_record(value)
        if record is not None:
            self._fold(record, offset, recorded_at_s)
        return True

    def expire(self, now_s: float) -> None:
        """Drop entries too old to match any key that is still accepted."""
        self._keys.expire(now_s)
        self._closed.expire(now_s)

    def state(self, key_hash: bytes) -> KeyState:
        """Return the current state of a key."""
        match self._keys.get(key_hash):
            case None:
                return Free()
            case bytes() as packed:
                return Done(*_DONE.unpack(packed))
            case state:
                return state

    def verdict(self, claim: Claim) -> Verdict:
        """Return the verdict on a claim from the records folded so far."""
        match self._closed.get(claim.claim_id):
            case Verdict() as verdict:
                return verdict
            case Void(_, _, claimant) if claimant == claim.claimant:
                return Verdict.VOIDED
        if _holder(self.state(claim.key_hash)) == claim.claim_id:
            return Verdict.WON
        return Verdict.UNSEEN

    def covers(self, key_age_s: float, now_s: float) -> bool:
        """Return whether every claim of a key of this age has been folded."""
        if self._floor_s is None:
            return True
        return now_s - self._floor_s >= key_age_s + 2 * self.window.skew_s

    @property
    def full(self) -> bool:
        """Whether the index has reached `max_keys`."""
        return len(self._keys) + len(self._closed) >= self.max_keys

    def dump(self) -> dict:
        """Return the state for the process's dump."""
        return {
            "next_offset": self.next_offset,
            "keys": len(self._keys),
            "closed_claims": len(self._closed),
            "max_keys": self.max_keys,
            "floor_s": self._floor_s,
        }

    def _clear(self) -> None:
        self._keys = ExpiringIndex(self.window.retention_s)
        self._closed = ExpiringIndex(self.window.retention_s)

    def _lower_floor(self, recorded_at_s: float) -> None:
        if self._awaiting_first_record and self._floor_s is not None:
            self._floor_s = min(self._floor_s, recorded_at_s)
        self._awaiting_first_record = False

    def _fold(self, record: ClaimRecord, offset: int, recorded_at_s: float) -> None:
        match record:
            case Claim():
                self._fold_claim(record, recorded_at_s)
            case Void():
                self._fold_void(record, recorded_at_s)
            case Outcome():
                self._fold_outcome(record, offset)

    def _fold_claim(self, claim: Claim, recorded_at_s: float) -> None:
        if self.verdict(claim) is not Verdict.UNSEEN:
            return
        # A void from another claimant has no effect.
        self._closed.remove(claim.claim_id)
        if self._keys.get(claim.key_hash) is None:
            self._keys.add(claim.key_hash, Open(claim), recorded_at_s)
        else:
            self._closed.add(claim.claim_id, Verdict.LOST, recorded_at_s)

    def _fold_void(self, void: Void, recorded_at_s: float) -> None:
        if self._closed.get(void.claim_id) is not None:
            return
        match self.state(void.key_hash):
            case Open(claim) if claim.claim_id == void.claim_id:
                if claim.claimant == void.claimant:
                    self._keys.remove(void.key_hash)
                    self._closed.add(void.claim_id, Verdict.VOIDED, recorded_at_s)
            case Done(claim_id) if claim_id == void.claim_id:
                pass
            case _:
                self._closed.add(void.claim_id, void, recorded_at_s)

    def _fold_outcome(self, outcome: Outcome, offset: int) -> None:
        match self.state(outcome.key_hash):
            case Open(claim) if claim.claim_id == outcome.claim_id:
                packed = _DONE.pack(claim.claim_id, claim.fingerprint, offset)
                self._keys.replace(outcome.key_hash, packed)


def _holder(state: KeyState) -> bytes | None:
    match state:
        case Open(claim):
            return claim.claim_id
        case Done(claim_id):
            return claim_id
    return None
