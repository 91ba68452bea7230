"""Kinds of problems in configuration documents, each with a remedy."""

from collections.abc import Iterable
from typing import ClassVar

import attrs


@attrs.frozen
class DocumentLocation:
    """Location of a problem: file, document and key.

    Parameters
    ----------
    file : str
        Name of the file, or of the request that brought the document.
    document : str
        Kind and name of the document, or its position in the file.
    key : str
        Path of the key inside the document; empty for the whole document.
    """

    file: str
    document: str = ""
    key: str = ""

    def __str__(self) -> str:
        parts = [self.file, self.document, self.key]
        return ": ".join(part for part in parts if part)


@attrs.frozen
class Problem:
    """One problem of one document.

    Parameters
    ----------
    location : DocumentLocation
        Location of the problem.
    detail : str
        What is wrong, as a sentence.
    """

    kind: ClassVar[str] = "problem"
    remedy: ClassVar[str] = "Correct the document."

    location: DocumentLocation
    detail: str

    def __str__(self) -> str:
        return f"{self.location}: {self.detail} {self.remedy}"

    def to_plain(self) -> dict[str, str]:
        """Return the problem as plain data."""
        return {
            "kind": self.kind,
            "file": self.location.file,
            "document": self.location.document,
            "key": self.location.key,
            "message": self.detail,
            "remedy": self.remedy,
        }


class UnreadableText(Problem):
    """A text is not YAML, or repeats a key."""

    kind = "unreadable_text"
    remedy = "Correct the YAML."


class EmptySet(Problem):
    """A set has no documents; applying it would remove everything."""

    kind = "empty_set"
    remedy = "Check the folder; to end all service, set the failure domains to out."


class UnknownKind(Problem):
    """A document has no known kind."""

    kind = "unknown_kind"
    remedy = "Set kind to FailureDomain, Model, Service, Workspace or Endpoint."


class UnknownDocumentKey(Problem):
    """A document has a key that its kind does not have."""

    kind = "unknown_key"
    remedy = "Correct the spelling or remove the key."


class MissingDocumentKey(Problem):
    """A document lacks a required key."""

    kind = "missing_key"
    remedy = "Add the key."


class WrongType(Problem):
    """A value has the wrong type or unit."""

    kind = "wrong_type"
    remedy = "Give a plain value of this type; units are part of the key's name."


class OutOfRange(Problem):
    """A value is outside its range."""

    kind = "out_of_range"
    remedy = "Give a value inside the range."


class DuplicateDocument(Problem):
    """Two documents, or two keys, claim the same identity."""

    kind = "duplicate"
    remedy = "Keep one of them or rename the other."


class UnknownReference(Problem):
    """A document names another one that is not in the set."""

    kind = "unknown_reference"
    remedy = "Correct the name or add the document."


class Inconsistent(Problem):
    """Values that are valid alone contradict each other."""

    kind = "inconsistent"
    remedy = "Change one of the values."


@attrs.frozen
class Problems:
    """All problems of a set of documents.

    Parameters
    ----------
    items : tuple of Problem
        In the order in which they were found.
    """

    items: tuple[Problem, ...]

    @classmethod
    def of(cls, items: Iterable[Problem]) -> "Problems":
        """Collect problems."""
        return cls(tuple(items))

    def __str__(self) -> str:
        return "\n".join(str(item) for item in self.items)

    def to_plain(self) -> list[dict[str, str]]:
        """Return the problems as plain data."""
        return [item.to_plain() for item in self.items]

    @property
    def headline(self) -> str:
        """The number of problems, as a sentence."""
        count = len(self.items)
        return "1 problem found." if count == 1 else f"{count} problems found."
