"""When to append a checkpoint to the configuration topic."""

import random
from collections import deque
from typing import Any

import attrs

from .configuration_records import Checkpoint, Restart, decode_record

MAX_RECORDS_AFTER_CHECKPOINT = 500
FOLLOWER_FRACTIONS = (0.3, 0.5)
OTHER_FRACTIONS = (0.6, 0.75)
CHECKPOINT_MARK = '"record":"checkpoint"'
RESTART_MARK = '"record":"restart"'


@attrs.frozen
class Kept:
    """A record that fresh readers need."""

    offset: int
    appended_at_s: float


@attrs.define
class CheckpointSchedule:
    """Decide when the log needs another checkpoint.

    A fresh reader needs the checkpoint with the highest as-of offset and every
    record after that offset. The next checkpoint is due well before the oldest
    of these expires; each process draws its own time, so that mostly one appends.

    Parameters
    ----------
    retention_s : float
        How long the log keeps a record.
    randomness : random.Random
        Draws the time.
    """

    retention_s: float
    randomness: random.Random
    as_of_offset: int = 0
    next_offset: int = 1
    _kept: deque[Kept] = attrs.field(factory=deque)
    _draw: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._draw = self.randomness.random()

    def observe(self, offset: int, age_s: float, text: str, now_s: float) -> None:
        """Take note of a record, in the order of the log.

        Parameters
        ----------
        offset : int
            Where the log holds it.
        age_s : float
            How long the log has had it.
        text : str
            Its value.
        now_s : float
            Monotonic seconds.
        """
        if offset < self.next_offset:
            return
        self.next_offset = offset + 1
        self._kept.append(Kept(offset, now_s - age_s))
        if CHECKPOINT_MARK not in text and RESTART_MARK not in text:
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
            The oldest offset that the log keeps.
        is_follower : bool
            Others wait longer: they only step in when no follower does.
        now_s : float
            Monotonic seconds.
        """
        has_expired = first_offset > self.as_of_offset + 1
        if has_expired or len(self._kept) > MAX_RECORDS_AFTER_CHECKPOINT:
            return True
        if not self._kept:
            return False
        age_s = now_s - self._kept[0].appended_at_s
        return age_s >= self._fraction(is_follower) * self.retention_s

    def dump(self, now_s: float) -> dict[str, Any]:
        """Return the state as plain data."""
        oldest_age_s = now_s - self._kept[0].appended_at_s if self._kept else None
        return {
            "as_of_offset": self.as_of_offset,
            "records_after": len(self._kept),
            "oldest_needed_age_s": oldest_age_s,
            "retention_s": self.retention_s,
        }

    def _advance(self, as_of_offset: int) -> None:
        if as_of_offset <= self.as_of_offset:
            return
        self.as_of_offset = as_of_offset
        self._draw = self.randomness.random()
        while self._kept and self._kept[0].offset <= as_of_offset:
            self._kept.popleft()

    def _fraction(self, is_follower: bool) -> float:
        low, high = FOLLOWER_FRACTIONS if is_follower else OTHER_FRACTIONS
        return low + (high - low) * self._draw
