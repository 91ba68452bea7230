"""Replicated state machine of the configuration: a deterministic fold over the log.

Every reader that folds the same records reaches the same state and the same
verdicts on changes, whenever and at whichever offset it starts. No lock and no
leader is needed.
"""

from collections import OrderedDict
from typing import Any

import attrs

from .configuration_records import (
    AcceptedChange,
    Change,
    Checkpoint,
    Record,
    Restart,
    decode_record,
)
from .documents import DocumentSet

MAX_HISTORY_CHANGES = 64
MAX_VERDICTS = 1024
NO_REVISION = 0


@attrs.frozen
class Accepted:
    """Verdict: the change took effect at its offset; the digest is of the new set."""

    apply_id: str
    offset: int
    revision: int
    digest: str


@attrs.frozen
class Conflict:
    """Verdict: rejected, because another change was accepted first.

    Parameters
    ----------
    apply_id : str
        The rejected change.
    base_revision : int
        The revision that it was based on; 0 for a restart.
    winning_revision : int
        The revision in force when the rejected change was read.
    winning_apply_id : str
        The change that created this revision; empty if that is no longer known.
    """

    apply_id: str
    base_revision: int
    winning_revision: int
    winning_apply_id: str


@attrs.frozen
class DigestMismatch:
    """Verdict: rejected, because the resulting set does not have the stated digest."""

    apply_id: str
    offset: int


@attrs.frozen
class VerdictPending:
    """No verdict on the change is known yet."""

    apply_id: str


Verdict = Accepted | Conflict | DigestMismatch


def accepted_verdict(change: AcceptedChange) -> Accepted:
    """Return the verdict on an accepted change of the history."""
    return Accepted(change.apply_id, change.offset, change.revision, change.digest)


@attrs.define
class ConfigurationFold:
    """Configuration state of one reader of the log.

    Records may arrive in any order and more than once. A record is folded in when
    all records before it are known, from the log or from a checkpoint. The state
    only moves forward and never reverts to an earlier change.
    """

    state: Checkpoint = attrs.field(factory=Checkpoint)
    unreadable_records: int = 0
    differing_checkpoints: int = 0
    _buffered: dict[int, Record | None] = attrs.field(factory=dict)
    _verdicts: OrderedDict[str, Verdict] = attrs.field(factory=OrderedDict)

    @property
    def effective_offset(self) -> int:
        """Offset of the change in force: the version of the configuration."""
        return self.state.effective_offset

    @property
    def revision(self) -> int:
        """Number of the change in force."""
        return self.state.revision

    @property
    def documents(self) -> DocumentSet:
        """The document set in force."""
        return self.state.documents

    @property
    def as_of_offset(self) -> int:
        """Offset up to which all records are folded in."""
        return self.state.as_of_offset

    def apply(self, offset: int, text: str) -> bool:
        """Add one record of the log.

        Parameters
        ----------
        offset : int
            Its offset in the log.
        text : str
            Its value; a record that can't be decoded has no effect.

        Returns
        -------
        bool
            Whether a newer configuration came into force.
        """
        if offset <= self.state.as_of_offset:
            return False
        before = self.state.effective_offset
        record = decode_record(text)
        self._buffered[offset] = record
        if record is None:
            self.unreadable_records += 1
        match record:
            case Checkpoint() if self._is_contiguous(record, offset):
                self._advance(record)
            case Restart():
                self._restart(offset, record)
        self._fold_buffered()
        return self.state.effective_offset > before

    def adopt(self, checkpoint: Checkpoint) -> bool:
        """Replace the state with the checkpoint of another reader, if it is ahead.

        Parameters
        ----------
        checkpoint : Checkpoint
            From the log or from a peer.

        Returns
        -------
        bool
            Whether a newer configuration came into force.
        """
        self._compare_digest(checkpoint)
        before = self.state.effective_offset
        self._advance(checkpoint)
        self._fold_buffered()
        return self.state.effective_offset > before

    def is_complete_before(self, offset: int) -> bool:
        """Whether all records before an offset are folded in."""
        return self.state.as_of_offset >= offset - 1

    def verdict(self, apply_id: str) -> Verdict | VerdictPending:
        """Return the verdict on a recently proposed change."""
        for accepted in self.state.history:
            if accepted.apply_id == apply_id:
                return accepted_verdict(accepted)
        return self._verdicts.get(apply_id, VerdictPending(apply_id))

    def verdict_from_base(
        self, apply_id: str, base_revision: int
    ) -> Verdict | VerdictPending:
        """Return the verdict on a change whose base is known.

        Once another change on the same base was accepted, this one can only be
        rejected, even if its record has not been read, or not even written, yet.
        """
        verdict = self.verdict(apply_id)
        if not isinstance(verdict, VerdictPending):
            return verdict
        for accepted in self.state.history:
            if accepted.revision == base_revision + 1:
                return self.conflict(apply_id, base_revision)
        return verdict

    def conflict(self, apply_id: str, base_revision: int) -> Conflict:
        """Return the rejection of a change whose base is not in force."""
        history = self.state.history
        winner = history[-1].apply_id if history else ""
        return Conflict(apply_id, base_revision, self.state.revision, winner)

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            "as_of_offset": self.state.as_of_offset,
            "effective_offset": self.state.effective_offset,
            "revision": self.state.revision,
            "digest": self.state.digest,
            "documents": len(self.state.documents.texts),
            "waiting_records": len(self._buffered),
            "unreadable_records": self.unreadable_records,
            "differing_checkpoints": self.differing_checkpoints,
            "recent": [attrs.asdict(item) for item in self.state.history[-3:]],
        }

    def _advance(self, checkpoint: Checkpoint) -> None:
        is_ahead = checkpoint.as_of_offset > self.state.as_of_offset
        if is_ahead and checkpoint.effective_offset >= self.state.effective_offset:
            self.state = checkpoint
            self._discard_buffered(checkpoint.as_of_offset)

    def _discard_buffered(self, as_of_offset: int) -> None:
        waiting = self._buffered.items()
        self._buffered = {
            offset: record for offset, record in waiting if offset > as_of_offset
        }

    def _restart(self, offset: int, restart: Restart) -> None:
        if restart.expected_offset == offset:
            self._advance(restart.state_at(offset))
        else:
            self._store_verdict(self.conflict(restart.apply_id, NO_REVISION))

    def _is_contiguous(self, checkpoint: Checkpoint, offset: int) -> bool:
        """Whether all records between a checkpoint and its own offset are known."""
        start = max(checkpoint.as_of_offset, self.state.as_of_offset) + 1
        return all(number in self._buffered for number in range(start, offset))

    def _fold_buffered(self) -> None:
        offset = self.state.as_of_offset + 1
        while offset in self._buffered:
            self._fold(offset, self._buffered.pop(offset))
            offset += 1

    def _fold(self, offset: int, record: Record | None) -> None:
        self.state = attrs.evolve(self.state, as_of_offset=offset)
        match record:
            case Change():
                self._apply_change(offset, record)
            case Checkpoint():
                self._compare_digest(record)

    def _apply_change(self, offset: int, change: Change) -> None:
        verdict = self._evaluate_change(offset, change)
        is_first = change.apply_id not in self._verdicts
        if is_first or isinstance(verdict, Accepted):
            self._store_verdict(verdict)

    def _evaluate_change(self, offset: int, change: Change) -> Verdict:
        if change.base_revision != self.state.revision:
            return self.conflict(change.apply_id, change.base_revision)
        documents = self.state.documents.patched(change.diff)
        if documents.digest != change.digest:
            return DigestMismatch(change.apply_id, offset)
        accepted = AcceptedChange(
            change.revision, offset, change.apply_id, change.digest
        )
        history = (*self.state.history, accepted)[-MAX_HISTORY_CHANGES:]
        self.state = Checkpoint(offset, offset, change.revision, documents, history)
        return accepted_verdict(accepted)

    def _store_verdict(self, verdict: Verdict) -> None:
        self._verdicts[verdict.apply_id] = verdict
        while len(self._verdicts) > MAX_VERDICTS:
            self._verdicts.popitem(last=False)

    def _compare_digest(self, checkpoint: Checkpoint) -> None:
        is_same_version = checkpoint.effective_offset == self.state.effective_offset
        if is_same_version and checkpoint.digest != self.state.digest:
            self.differing_checkpoints += 1
