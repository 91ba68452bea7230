"""Parse configuration documents from text or plain data, collecting all problems."""

import json
from collections.abc import Hashable, Iterable, Iterator
from typing import Any

import attrs
import cattrs
import yaml
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)
from returns.result import Failure, Result, Success

from . import configuration_problems as problems
from .configuration_checks import check_set, check_values
from .configuration_converter import make_converter
from .configuration_problems import DocumentLocation, Problem, Problems
from .configuration_set import Configuration
from .documents import DOCUMENT_CLASSES, Document, DocumentKey, DocumentSet


@attrs.frozen
class SourceText:
    """The text of a configuration file.

    Parameters
    ----------
    file : str
        File name shown in problems.
    text : str
        YAML, with any number of documents.
    """

    file: str
    text: str


@attrs.frozen
class SourceDocument:
    """A plain document with its location, before parsing.

    Parameters
    ----------
    location : DocumentLocation
        Where it came from.
    data : object
        Plain data; anything but a mapping is reported as a problem.
    """

    location: DocumentLocation
    data: object


@attrs.frozen
class ParsedDocument:
    """A parsed document with its location."""

    location: DocumentLocation
    document: Document


class _StrictLoader(yaml.SafeLoader):
    """YAML loader that rejects duplicate keys."""

    def construct_mapping(
        self, node: yaml.MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        seen: set[object] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if isinstance(key, Hashable) and key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"the key {key!r} is there twice", key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


_STRICT_CONVERTER = make_converter(forbid_extra_keys=True)
_TOLERANT_CONVERTER = make_converter(forbid_extra_keys=False)


def parse_texts(sources: Iterable[SourceText]) -> Result[Configuration, Problems]:
    """Parse the files of a complete set.

    Parameters
    ----------
    sources : iterable of SourceText
        All files of the set.

    Returns
    -------
    Result
        The configuration, or all problems of all files.
    """
    found: list[Problem] = []
    documents: list[SourceDocument] = []
    for source in sources:
        _read_text(source, documents, found)
    return _parse_set(documents, found)


def parse_documents(
    documents: Iterable[SourceDocument],
) -> Result[Configuration, Problems]:
    """Parse the plain documents of a complete set, rejecting unknown keys and kinds."""
    return _parse_set(list(documents), [])


@attrs.define
class AcceptedParser:
    """Parse successive sets that are in force, with a cache of parsed documents.

    Kinds and keys of a newer release are ignored, and documents are not checked
    against each other again, so that processes of two releases can run side by
    side. Documents that did not change are not parsed again.
    """

    _parsed_by_text: dict[str, Document] = attrs.field(factory=dict)

    def parse(self, documents: DocumentSet) -> Result[Configuration, Problems]:
        """Return the configuration, or the problems of invalid documents."""
        parsed: dict[str, Document] = {}
        found: list[Problem] = []
        for key, text in documents.texts.items():
            if key.kind in DOCUMENT_CLASSES:
                self._parse_text(key, text, parsed, found)
        if found:
            return Failure(Problems.of(found))
        self._parsed_by_text = parsed
        return Success(Configuration.of(parsed.values()))

    def _parse_text(
        self,
        key: DocumentKey,
        text: str,
        parsed: dict[str, Document],
        found: list[Problem],
    ) -> None:
        cached = self._parsed_by_text.get(text)
        if cached is not None:
            parsed[text] = cached
            return
        location = DocumentLocation("configuration", str(key))
        fresh: list[ParsedDocument] = []
        _structure(
            SourceDocument(location, json.loads(text)),
            _TOLERANT_CONVERTER,
            fresh,
            found,
        )
        for item in fresh:
            parsed[text] = item.document


def number_documents(file: str, data: Iterable[object]) -> list[SourceDocument]:
    """Return plain documents with their positions in a file."""
    return [
        SourceDocument(DocumentLocation(file, f"document {number}"), item)
        for number, item in enumerate(data, start=1)
    ]


def _read_text(
    source: SourceText, documents: list[SourceDocument], found: list[Problem]
) -> None:
    try:
        data = list(yaml.load_all(source.text, Loader=_StrictLoader))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        detail = " ".join(str(error).split())
        found.append(
            problems.UnreadableText(DocumentLocation(source.file), f"{detail}.")
        )
        return
    present = [item for item in data if item is not None]
    documents.extend(number_documents(source.file, present))


def _parse_set(
    documents: list[SourceDocument], found: list[Problem]
) -> Result[Configuration, Problems]:
    if not documents and not found:
        found.append(
            problems.EmptySet(DocumentLocation("set"), "There are no documents.")
        )
    return _parse(documents, found, _STRICT_CONVERTER)


def _parse(
    documents: Iterable[SourceDocument],
    found: list[Problem],
    converter: cattrs.Converter,
) -> Result[Configuration, Problems]:
    parsed: list[ParsedDocument] = []
    for source in documents:
        _structure(source, converter, parsed, found)
    pairs = [(item.location, item.document) for item in parsed]
    found.extend(check_set(pairs, is_complete=not found))
    if found:
        return Failure(Problems.of(found))
    return Success(Configuration.of(item.document for item in parsed))


def _structure(
    source: SourceDocument,
    converter: cattrs.Converter,
    parsed: list[ParsedDocument],
    found: list[Problem],
) -> None:
    data = source.data
    kind = data.get("kind") if isinstance(data, dict) else None
    document_class = DOCUMENT_CLASSES.get(kind) if isinstance(kind, str) else None
    if document_class is None or not isinstance(data, dict):
        found.append(problems.UnknownKind(source.location, f"The kind is {kind!r}."))
        return
    named = (
        f"{kind} {data['name']}" if "name" in data else str(source.location.document)
    )
    location = attrs.evolve(source.location, document=named)
    fields = {key: value for key, value in data.items() if key != "kind"}
    try:
        document = converter.structure(fields, document_class)
    except cattrs.BaseValidationError as error:
        found.extend(_error_problems(error, location))
        return
    found.extend(check_values(location, document))
    parsed.append(ParsedDocument(location, document))


def _error_problems(error: Exception, location: DocumentLocation) -> Iterator[Problem]:
    match error:
        case ClassValidationError():
            noted, bare = error.group_exceptions()
            for inner, note in noted:
                yield from _error_problems(inner, _nested_location(location, note.name))
            for inner in bare:
                yield from _error_problems(inner, location)
        case IterableValidationError():
            noted_items, _ = error.group_exceptions()
            for inner, item_note in noted_items:
                yield from _error_problems(
                    inner, _nested_location(location, str(item_note.index))
                )
        case ForbiddenExtraKeysError():
            for name in sorted(map(str, error.extra_fields)):
                detail = "There is no such key."
                yield problems.UnknownDocumentKey(
                    _nested_location(location, name), detail
                )
        case KeyError():
            name = str(error.args[0])
            yield problems.MissingDocumentKey(
                _nested_location(location, name, replace=True), "The key is missing."
            )
        case AttributeError():
            yield problems.WrongType(location, "The value is not a mapping.")
        case _:
            yield problems.WrongType(location, str(error))


def _nested_location(
    location: DocumentLocation, name: str, replace: bool = False
) -> DocumentLocation:
    is_same = replace and location.key.rpartition(".")[2] == name
    if is_same:
        return location
    key = f"{location.key}.{name}" if location.key else name
    return attrs.evolve(location, key=key)
