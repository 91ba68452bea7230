"""The configuration as a deterministic fold over the log.

Every reader that folds the same records reaches the same state and the same
verdicts, whenever and from wherever it starts: no lock and no leader is needed.
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
    """A change is in force from its offset on, with the digest it led to."""

    apply_id: str
    offset: int
    revision: int
    digest: str


@attrs.frozen
class Conflict:
    """Another change was accepted first.

    Parameters
    ----------
    apply_id : str
        The losing change.
    base_revision : int
        The revision that it started from; 0 for a restart.
    winning_revision : int
        The revision in force when the losing change was read.
    winning_apply_id : str
        The change that made it; empty if that is no longer known.
    """

    apply_id: str
    base_revision: int
    winning_revision: int
    winning_apply_id: str


@attrs.frozen
class Damaged:
    """A change does not give the set that its digest names."""

    apply_id: str
    offset: int


@attrs.frozen
class UnknownYet:
    """No verdict on a change was read yet."""

    apply_id: str


Verdict = Accepted | Conflict | Damaged


def accepted_verdict(change: AcceptedChange) -> Accepted:
    """Return the verdict on a change of the history."""
    return Accepted(change.apply_id, change.offset, change.revision, change.digest)


@attrs.define
class ConfigurationFold:
    """State of one reader of the log.

    Records may come in any order and more than once. A record counts when all
    records before it are known, from the log or from a checkpoint. The state
    only moves forward: nothing makes it revert.
    """

    state: Checkpoint = attrs.field(factory=Checkpoint)
    unreadable_records: int = 0
    differing_checkpoints: int = 0
    _waiting: dict[int, Record | None] = attrs.field(factory=dict)
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
        """The set in force."""
        return self.state.documents

    @property
    def as_of_offset(self) -> int:
        """All records up to here are folded in."""
        return self.state.as_of_offset

    def apply(self, offset: int, text: str) -> bool:
        """Take one record of the log in.

        Parameters
        ----------
        offset : int
            Where the log holds it.
        text : str
            Its value; one that can't be read counts as nothing.

        Returns
        -------
        bool
            Whether another configuration is in force now.
        """
        if offset <= self.state.as_of_offset:
            return False
        before = self.state.effective_offset
        record = decode_record(text)
        self._waiting[offset] = record
        if record is None:
            self.unreadable_records += 1
        match record:
            case Checkpoint() if self._joins(record, offset):
                self._advance(record)
            case Restart():
                self._restart(offset, record)
        self._drain()
        return self.state.effective_offset > before

    def adopt(self, checkpoint: Checkpoint) -> bool:
        """Take the state of another reader over, if it is ahead.

        Parameters
        ----------
        checkpoint : Checkpoint
            From the log or from a peer.

        Returns
        -------
        bool
            Whether another configuration is in force now.
        """
        self._compare(checkpoint)
        before = self.state.effective_offset
        self._advance(checkpoint)
        self._drain()
        return self.state.effective_offset > before

    def reaches(self, offset: int) -> bool:
        """Whether all records before an offset are folded in."""
        return self.state.as_of_offset >= offset - 1

    def verdict(self, apply_id: str) -> Verdict | UnknownYet:
        """Return what became of a change that was proposed recently."""
        for accepted in self.state.history:
            if accepted.apply_id == apply_id:
                return accepted_verdict(accepted)
        return self._verdicts.get(apply_id, UnknownYet(apply_id))

    def verdict_from_base(
        self, apply_id: str, base_revision: int
    ) -> Verdict | UnknownYet:
        """Return the verdict on a change whose base is known.

        Once another change was accepted on the same base, the change can only
        be rejected, even if its record was not read, or not yet written.
        """
        verdict = self.verdict(apply_id)
        if not isinstance(verdict, UnknownYet):
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
            "waiting_records": len(self._waiting),
            "unreadable_records": self.unreadable_records,
            "differing_checkpoints": self.differing_checkpoints,
            "recent": [attrs.asdict(item) for item in self.state.history[-3:]],
        }

    def _advance(self, checkpoint: Checkpoint) -> None:
        is_ahead = checkpoint.as_of_offset > self.state.as_of_offset
        if is_ahead and checkpoint.effective_offset >= self.state.effective_offset:
            self.state = checkpoint
            self._forget(checkpoint.as_of_offset)

    def _forget(self, as_of_offset: int) -> None:
        waiting = self._waiting.items()
        self._waiting = {
            offset: record for offset, record in waiting if offset > as_of_offset
        }

    def _restart(self, offset: int, restart: Restart) -> None:
        if restart.expected_offset == offset:
            self._advance(restart.state_at(offset))
        else:
            self._remember(self.conflict(restart.apply_id, NO_REVISION))

    def _joins(self, checkpoint: Checkpoint, offset: int) -> bool:
        """Whether all records between a checkpoint and its own offset are known."""
        start = max(checkpoint.as_of_offset, self.state.as_of_offset) + 1
        return all(number in self._waiting for number in range(start, offset))

    def _drain(self) -> None:
        offset = self.state.as_of_offset + 1
        while offset in self._waiting:
            self._fold(offset, self._waiting.pop(offset))
            offset += 1

    def _fold(self, offset: int, record: Record | None) -> None:
        self.state = attrs.evolve(self.state, as_of_offset=offset)
        match record:
            case Change():
                self._judge(offset, record)
            case Checkpoint():
                self._compare(record)

    def _judge(self, offset: int, change: Change) -> None:
        verdict = self._decide(offset, change)
        is_first = change.apply_id not in self._verdicts
        if is_first or isinstance(verdict, Accepted):
            self._remember(verdict)

    def _decide(self, offset: int, change: Change) -> Verdict:
        if change.base_revision != self.state.revision:
            return self.conflict(change.apply_id, change.base_revision)
        documents = self.state.documents.patched(change.diff)
        if documents.digest != change.digest:
            return Damaged(change.apply_id, offset)
        accepted = AcceptedChange(
            change.revision, offset, change.apply_id, change.digest
        )
        history = (*self.state.history, accepted)[-MAX_HISTORY_CHANGES:]
        self.state = Checkpoint(offset, offset, change.revision, documents, history)
        return accepted_verdict(accepted)

    def _remember(self, verdict: Verdict) -> None:
        self._verdicts[verdict.apply_id] = verdict
        while len(self._verdicts) > MAX_VERDICTS:
            self._verdicts.popitem(last=False)

    def _compare(self, checkpoint: Checkpoint) -> None:
        is_same_version = checkpoint.effective_offset == self.state.effective_offset
        if is_same_version and checkpoint.digest != self.state.digest:
            self.differing_checkpoints += 1
