"""Configuration document classes, document sets and the differences between sets."""

import hashlib
import json
import re
from collections.abc import Iterable, Mapping
from functools import cached_property
from operator import attrgetter
from typing import Any, ClassVar, Literal

import attrs

MAX_NAME_LENGTH = 63
NAME_PATTERN = re.compile(rf"[A-Za-z0-9][A-Za-z0-9._-]{{0,{MAX_NAME_LENGTH - 1}}}")
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")


def _at_least(minimum: float) -> dict[str, float]:
    return {"minimum": minimum}


def _above(limit: float) -> dict[str, float]:
    return {"above": limit}


@attrs.frozen(order=True)
class DocumentKey:
    """Identity of a document in the set.

    Parameters
    ----------
    kind : str
        Class of the document, such as ``Workspace``.
    name : str
        Name of the document; for a model with its version, ``NAME@VERSION``.
    """

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind} {self.name}"


class _Named:
    """Base class of all document kinds."""

    __slots__ = ()

    kind: ClassVar[str]
    name: str

    @property
    def key(self) -> DocumentKey:
        """Identity of the document in the set."""
        return DocumentKey(self.kind, self.name)


@attrs.frozen
class FailureDomain(_Named):
    """Hosts that fail together and are put in or out of service as a unit.

    If `notice_s` is above 0, streams that still run this long after the domain was
    taken out are moved to other domains; with 0 they may run to completion.
    """

    kind: ClassVar[str] = "FailureDomain"

    name: str
    region: str = ""
    state: Literal["in", "out"] = "in"
    notice_s: float = attrs.field(default=0.0, metadata=_at_least(0))


@attrs.frozen
class Model(_Named):
    """One version of a model."""

    kind: ClassVar[str] = "Model"

    name: str
    version: str
    context_tokens: int = attrs.field(metadata=_at_least(1))
    long_prompt_tokens: int = attrs.field(metadata=_at_least(1))
    bytes_per_token: float = attrs.field(default=4.0, metadata=_above(0))

    @property
    def key(self) -> DocumentKey:
        """Identity of the document in the set; versions are kept apart."""
        return DocumentKey(self.kind, f"{self.name}@{self.version}")


@attrs.frozen
class ModelUse:
    """A version of a model that a service serves."""

    name: str
    version: str


@attrs.frozen
class Service(_Named):
    """A service that a group of endpoints offers: models or plain calls."""

    kind: ClassVar[str] = "Service"

    name: str
    type: Literal["model", "plain"]
    models: tuple[ModelUse, ...] = ()
    at_most_once: bool = False
    lookup: bool = False


@attrs.frozen
class Workspace(_Named):
    """A customer with its API keys, access rights and limits."""

    kind: ClassVar[str] = "Workspace"

    name: str
    key_sha256: tuple[str, ...]
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    weight: float = attrs.field(default=1.0, metadata=_above(0))
    requests_per_s: float = attrs.field(default=10.0, metadata=_above(0))
    burst_requests: int = attrs.field(default=20, metadata=_at_least(1))
    concurrent_tokens: int = attrs.field(default=1_000_000, metadata=_at_least(1))


@attrs.frozen
class Endpoint(_Named):
    """A back end on one host, with the capacity limits that its agent enforces."""

    kind: ClassVar[str] = "Endpoint"

    name: str
    failure_domain: str
    service: str
    model: str = ""
    kv_capacity_tokens: int = attrs.field(default=0, metadata=_at_least(0))
    max_running_requests: int = attrs.field(default=1, metadata=_at_least(1))
    cold_running_requests: int = attrs.field(default=1, metadata=_at_least(1))
    prefill_tokens_per_s: float = attrs.field(default=0.0, metadata=_at_least(0))
    fencing: bool = False


Document = FailureDomain | Model | Service | Workspace | Endpoint
DOCUMENT_CLASSES: Mapping[str, type[Document]] = {
    document_class.kind: document_class
    for document_class in (FailureDomain, Model, Service, Workspace, Endpoint)
}


def canonical_json(data: object) -> str:
    """Return the canonical JSON text of plain data.

    >>> canonical_json({"b": 1, "a": [True, "é"]})
    '{"a":[true,"é"],"b":1}'
    """
    return json.dumps(
        data,
        sort_keys=True,
        separators=(",", ":"),
        ensure_ascii=False,
        allow_nan=False,
    )


def document_key(data: Mapping[str, Any]) -> DocumentKey:
    """Return the key of a document in plain form."""
    kind = str(data["kind"])
    name = str(data["name"])
    if kind == Model.kind:
        name = f"{name}@{data['version']}"
    return DocumentKey(kind, name)


def to_plain(document: Document) -> dict[str, Any]:
    """Return a document as plain data, defaults included."""
    data = attrs.asdict(document)
    return {"kind": document.kind, **data}


@attrs.frozen
class DocumentSet:
    """Documents as JSON text, including kinds and keys that this release doesn't know.

    Parameters
    ----------
    texts : Mapping[DocumentKey, str]
        Canonical JSON text of each document.
    """

    texts: Mapping[DocumentKey, str] = attrs.field(factory=dict)

    @classmethod
    def from_plain(cls, documents: Iterable[Mapping[str, Any]]) -> "DocumentSet":
        """Build the set from plain documents."""
        return cls({document_key(data): canonical_json(data) for data in documents})

    @classmethod
    def from_documents(cls, documents: Iterable[Document]) -> "DocumentSet":
        """Build the set from typed documents."""
        return cls(
            {document.key: canonical_json(to_plain(document)) for document in documents}
        )

    def to_plain(self) -> list[dict[str, Any]]:
        """Return the plain documents, ordered by key."""
        return [json.loads(text) for text in self._ordered]

    @cached_property
    def _ordered(self) -> list[str]:
        keys = sorted(self.texts, key=attrgetter("kind", "name"))
        return [self.texts[key] for key in keys]

    @cached_property
    def text(self) -> str:
        """Canonical JSON text of the whole set."""
        return "[" + ",".join(self._ordered) + "]"

    @cached_property
    def digest(self) -> str:
        """SHA-256 of the text, in hexadecimal."""
        return hashlib.sha256(self.text.encode()).hexdigest()

    def patched(self, patch: "DocumentsDiff") -> "DocumentSet":
        """Return the set with a difference applied."""
        texts = dict(self.texts)
        for key in patch.removed:
            texts.pop(key, None)
        texts.update(patch.changed.texts)
        return DocumentSet(texts)


@attrs.frozen
class DocumentsDiff:
    """Difference between two sets.

    Parameters
    ----------
    changed : DocumentSet
        Documents that are new or differ, in their new form.
    removed : tuple of DocumentKey
        Documents that the new set no longer contains.
    """

    changed: DocumentSet
    removed: tuple[DocumentKey, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether both sets are the same."""
        return not self.changed.texts and not self.removed


def diff(old: DocumentSet, new: DocumentSet) -> DocumentsDiff:
    """Return the difference that turns one set into another.

    >>> old = DocumentSet.from_documents([FailureDomain("a"), FailureDomain("b")])
    >>> new = DocumentSet.from_documents([FailureDomain("a", state="out")])
    >>> difference = diff(old, new)
    >>> [str(key) for key in difference.changed.texts]
    ['FailureDomain a']
    >>> [str(key) for key in difference.removed]
    ['FailureDomain b']
    >>> old.patched(difference) == new
    True
    """
    changed = {
        key: text for key, text in new.texts.items() if old.texts.get(key) != text
    }
    removed = sorted(key for key in old.texts if key not in new.texts)
    return DocumentsDiff(DocumentSet(changed), tuple(removed))
