"""Schedule for appending checkpoints to the configuration topic."""

import random
from collections import deque
from typing import Any

import attrs

from .configuration_records import Checkpoint, Restart, decode_record

MAX_RECORDS_AFTER_CHECKPOINT = 500
# Age at which a checkpoint is due, as a range of fractions of the log's retention.
FOLLOWER_DUE_FRACTIONS = (0.3, 0.5)
OTHER_DUE_FRACTIONS = (0.6, 0.75)
# Substrings of encoded records; records without them are not decoded.
CHECKPOINT_MARKER = '"record":"checkpoint"'
RESTART_MARKER = '"record":"restart"'


@attrs.frozen
class UncheckpointedRecord:
    """A record that new readers need: no checkpoint in the log covers it yet."""

    offset: int
    appended_at_s: float


@attrs.define
class CheckpointSchedule:
    """Decide when the log needs another checkpoint.

    A new reader needs the checkpoint with the highest as-of offset and every
    record after that offset. The next checkpoint is due well before the oldest
    of these expires. The due time has a random jitter in each process, so that
    usually only one process appends.

    Parameters
    ----------
    retention_s : float
        Time for which the log retains a record.
    randomness : random.Random
        Source of the jitter.
    """

    retention_s: float
    randomness: random.Random
    as_of_offset: int = 0
    next_offset: int = 1
    _uncheckpointed: deque[UncheckpointedRecord] = attrs.field(factory=deque)
    _jitter: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._jitter = self.randomness.random()

    def observe(self, offset: int, age_s: float, text: str, now_s: float) -> None:
        """Account for a record; records come in log order.

        Parameters
        ----------
        offset : int
            Its offset in the log.
        age_s : float
            Time since it was appended.
        text : str
            Its value.
        now_s : float
            Monotonic seconds.
        """
        if offset < self.next_offset:
            return
        self.next_offset = offset + 1
        self._uncheckpointed.append(UncheckpointedRecord(offset, now_s - age_s))
        if CHECKPOINT_MARKER not in text and RESTART_MARKER not in text:
            return
        match decode_record(text):
            case Checkpoint(as_of_offset=as_of_offset) if as_of_offset < offset:
                self._advance(as_of_offset)
            case Restart(expected_offset=expected_offset) if expected_offset == offset:
                self._advance(offset - 1)

    def is_due(self, first_offset: int, is_follower: bool, now_s: float) -> bool:
        """Whether to append a checkpoint now.

        Parameters
        ----------
        first_offset : int
            The oldest offset that the log retains.
        is_follower : bool
            Whether this process is a follower. Others wait longer: they append only
            if no follower does.
        now_s : float
            Monotonic seconds.
        """
        has_expired = first_offset > self.as_of_offset + 1
        if has_expired or len(self._uncheckpointed) > MAX_RECORDS_AFTER_CHECKPOINT:
            return True
        if not self._uncheckpointed:
            return False
        age_s = now_s - self._uncheckpointed[0].appended_at_s
        return age_s >= self._due_fraction(is_follower) * self.retention_s

    def dump(self, now_s: float) -> dict[str, Any]:
        """Return the state as plain data."""
        oldest_age_s = (
            now_s - self._uncheckpointed[0].appended_at_s
            if self._uncheckpointed
            else None
        )
        return {
            "as_of_offset": self.as_of_offset,
            "records_after": len(self._uncheckpointed),
            "oldest_needed_age_s": oldest_age_s,
            "retention_s": self.retention_s,
        }

    def _advance(self, as_of_offset: int) -> None:
        if as_of_offset <= self.as_of_offset:
            return
        self.as_of_offset = as_of_offset
        self._jitter = self.randomness.random()
        while self._uncheckpointed and self._uncheckpointed[0].offset <= as_of_offset:
            self._uncheckpointed.popleft()

    def _due_fraction(self, is_follower: bool) -> float:
        low, high = FOLLOWER_DUE_FRACTIONS if is_follower else OTHER_DUE_FRACTIONS
        return low + (high - low) * self._jitter
