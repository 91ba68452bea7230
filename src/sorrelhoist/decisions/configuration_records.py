"""Records of the configuration topic and their JSON encoding."""

import json
from collections.abc import Mapping
from typing import Any

import attrs

from .documents import DocumentKey, DocumentsDiff, DocumentSet, canonical_json

_DECODE_ERRORS = (ValueError, TypeError, KeyError, AttributeError, RecursionError)


@attrs.frozen
class Change:
    """A proposed configuration, as a difference from its base revision.

    Parameters
    ----------
    apply_id : str
        Identifier chosen by the client that applies; the verdict carries it.
    base_revision : int
        The revision that the difference starts from.
    diff : DocumentsDiff
        Documents that changed or were removed.
    digest : str
        SHA-256 of the whole set after the change.
    """

    apply_id: str
    base_revision: int
    diff: DocumentsDiff
    digest: str

    @property
    def revision(self) -> int:
        """The revision that the change creates if it is accepted."""
        return self.base_revision + 1


@attrs.frozen
class AcceptedChange:
    """An accepted change in the history, with the digest of the resulting set."""

    revision: int
    offset: int
    apply_id: str
    digest: str


@attrs.frozen
class Checkpoint:
    """Snapshot of the complete configuration state as of a log offset.

    Parameters
    ----------
    as_of_offset : int
        All records up to here, this one included, are folded in.
    effective_offset : int
        Offset of the last accepted change; 0 before the first.
    revision : int
        Number of the last accepted change; 0 before the first.
    documents : DocumentSet
        The whole set.
    history : tuple of AcceptedChange
        The latest accepted changes, oldest first.
    """

    as_of_offset: int = 0
    effective_offset: int = 0
    revision: int = 0
    documents: DocumentSet = attrs.field(factory=DocumentSet)
    history: tuple[AcceptedChange, ...] = ()

    @property
    def digest(self) -> str:
        """SHA-256 of the set."""
        return self.documents.digest


@attrs.frozen
class Restart:
    """A complete set that replaces the configuration, whatever came before.

    It restores a configuration when the log has expired past its last checkpoint
    and no process has the configuration any more.

    Parameters
    ----------
    apply_id : str
        Identifier; the verdict carries it.
    expected_offset : int
        The only offset at which the restart takes effect: one appended late, by a
        process that was paused, must not undo changes accepted in the meantime.
    documents : DocumentSet
        The whole set.
    """

    apply_id: str
    expected_offset: int
    documents: DocumentSet

    def state_at(self, offset: int) -> Checkpoint:
        """Return the state that the restart creates, the same for every reader.

        The offset also serves as the revision: no earlier revision can be as high.
        """
        digest = self.documents.digest
        accepted = AcceptedChange(offset, offset, self.apply_id, digest)
        return Checkpoint(offset, offset, offset, self.documents, (accepted,))


Record = Change | Checkpoint | Restart


def encode_record(record: Record) -> str:
    """Return the JSON text of a record."""
    match record:
        case Change():
            return _encode_change(record)
        case Checkpoint():
            return _encode_checkpoint(record)
        case Restart():
            return _encode_restart(record)


def decode_record(text: str) -> Record | None:
    """Decode a record.

    Parameters
    ----------
    text : str
        A value of the log.

    Returns
    -------
    Record or None
        None if the text is not a well-formed record. The result depends only on
        the text, so all readers agree on it.
    """
    try:
        data = json.loads(text)
        match data["record"]:
            case "change":
                return _decode_change(data)
            case "checkpoint":
                return _decode_checkpoint(data)
            case "restart":
                return _decode_restart(data)
    except _DECODE_ERRORS:
        return None
    return None


def _encode_change(change: Change) -> str:
    removed = [{"kind": key.kind, "name": key.name} for key in change.diff.removed]
    data = {
        "record": "change",
        "apply_id": change.apply_id,
        "base_revision": change.base_revision,
        "revision": change.revision,
        "changed": change.diff.changed.to_plain(),
        "removed": removed,
        "digest": change.digest,
    }
    return canonical_json(data)


def _decode_change(data: Mapping[str, Any]) -> Change | None:
    removed = tuple(
        DocumentKey(_require_text(item["kind"]), _require_text(item["name"]))
        for item in data["removed"]
    )
    change = Change(
        apply_id=_require_text(data["apply_id"]),
        base_revision=_require_count(data["base_revision"]),
        diff=DocumentsDiff(_decode_documents(data["changed"]), removed),
        digest=_require_text(data["digest"]),
    )
    is_next = _require_count(data["revision"]) == change.revision
    return change if is_next else None


def _encode_checkpoint(checkpoint: Checkpoint) -> str:
    data = {
        "record": "checkpoint",
        "as_of_offset": checkpoint.as_of_offset,
        "effective_offset": checkpoint.effective_offset,
        "revision": checkpoint.revision,
        "documents": checkpoint.documents.to_plain(),
        "history": [attrs.asdict(item) for item in checkpoint.history],
        "digest": checkpoint.digest,
    }
    return canonical_json(data)


def _decode_checkpoint(data: Mapping[str, Any]) -> Checkpoint | None:
    checkpoint = Checkpoint(
        as_of_offset=_require_count(data["as_of_offset"]),
        effective_offset=_require_count(data["effective_offset"]),
        revision=_require_count(data["revision"]),
        documents=_decode_documents(data["documents"]),
        history=tuple(_decode_accepted(item) for item in data["history"]),
    )
    is_ordered = (
        checkpoint.revision <= checkpoint.effective_offset <= checkpoint.as_of_offset
    )
    is_intact = checkpoint.digest == data["digest"]
    return checkpoint if is_ordered and is_intact else None


def _encode_restart(restart: Restart) -> str:
    data = {
        "record": "restart",
        "apply_id": restart.apply_id,
        "expected_offset": restart.expected_offset,
        "documents": restart.documents.to_plain(),
        "digest": restart.documents.digest,
    }
    return canonical_json(data)


def _decode_restart(data: Mapping[str, Any]) -> Restart | None:
    documents = _decode_documents(data["documents"])
    expected_offset = _require_count(data["expected_offset"])
    restart = Restart(_require_text(data["apply_id"]), expected_offset, documents)
    return restart if documents.digest == data["digest"] else None


def _decode_accepted(data: Mapping[str, Any]) -> AcceptedChange:
    return AcceptedChange(
        revision=_require_count(data["revision"]),
        offset=_require_count(data["offset"]),
        apply_id=_require_text(data["apply_id"]),
        digest=_require_text(data["digest"]),
    )


def _decode_documents(data: object) -> DocumentSet:
    if not isinstance(data, list):
        raise TypeError("documents must be a list")
    for item in data:
        _require_text(item["kind"])
        _require_text(item["name"])
    documents = DocumentSet.from_plain(data)
    documents.text.encode()
    return documents


def _require_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError("expected a string")
    value.encode()
    return value


def _require_count(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise TypeError("expected a non-negative integer")
    return value
