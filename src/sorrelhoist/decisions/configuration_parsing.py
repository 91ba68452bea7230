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
from .configuration_problems import Place, Problem, Problems
from .configuration_set import Configuration
from .documents import DOCUMENT_CLASSES, Document, DocumentKey, DocumentSet


@attrs.frozen
class SourceText:
    """The text of one file.

    Parameters
    ----------
    file : str
        Name for messages.
    text : str
        YAML, with any number of documents.
    """

    file: str
    text: str


@attrs.frozen
class SourceDocument:
    """One document as it was read.

    Parameters
    ----------
    place : Place
        Where it came from.
    data : object
        Plain data; anything but a mapping is reported as a problem.
    """

    place: Place
    data: object


@attrs.frozen
class Parsed:
    """A document that could be read on its own."""

    place: Place
    document: Document


class _StrictLoader(yaml.SafeLoader):
    """A loader that refuses repeated keys."""

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


_STRICT = make_converter(forbid_extra_keys=True)
_TOLERANT = make_converter(forbid_extra_keys=False)


def parse_texts(sources: Iterable[SourceText]) -> Result[Configuration, Problems]:
    """Parse the texts of a whole set.

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
    return _parse_whole(documents, found)


def parse_documents(
    documents: Iterable[SourceDocument],
) -> Result[Configuration, Problems]:
    """Parse plain documents of a whole set, refusing unknown keys and kinds."""
    return _parse_whole(list(documents), [])


@attrs.define
class AcceptedParser:
    """Parse sets that are in force, one after the other.

    Kinds and keys of a newer release are passed over, and documents are not
    checked against each other again, so that processes of two releases can run
    beside each other. Documents that did not change are not parsed again.
    """

    _known: dict[str, Document] = attrs.field(factory=dict)

    def parse(self, documents: DocumentSet) -> Result[Configuration, Problems]:
        """Return the configuration, or the problems of what can't be understood."""
        parsed: dict[str, Document] = {}
        found: list[Problem] = []
        for key, text in documents.texts.items():
            if key.kind in DOCUMENT_CLASSES:
                self._parse_text(key, text, parsed, found)
        if found:
            return Failure(Problems.of(found))
        self._known = parsed
        return Success(Configuration.of(parsed.values()))

    def _parse_text(
        self,
        key: DocumentKey,
        text: str,
        parsed: dict[str, Document],
        found: list[Problem],
    ) -> None:
        known = self._known.get(text)
        if known is not None:
            parsed[text] = known
            return
        place = Place("configuration", str(key))
        fresh: list[Parsed] = []
        _structure(SourceDocument(place, json.loads(text)), _TOLERANT, fresh, found)
        for item in fresh:
            parsed[text] = item.document


def number_documents(file: str, data: Iterable[object]) -> list[SourceDocument]:
    """Give each plain document its place in a file."""
    return [
        SourceDocument(Place(file, f"document {number}"), item)
        for number, item in enumerate(data, start=1)
    ]


def _read_text(
    source: SourceText, documents: list[SourceDocument], found: list[Problem]
) -> None:
    try:
        data = list(yaml.load_all(source.text, Loader=_StrictLoader))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        detail = " ".join(str(error).split())
        found.append(problems.UnreadableText(Place(source.file), f"{detail}."))
        return
    present = [item for item in data if item is not None]
    documents.extend(number_documents(source.file, present))


def _parse_whole(
    documents: list[SourceDocument], found: list[Problem]
) -> Result[Configuration, Problems]:
    if not documents and not found:
        found.append(problems.EmptySet(Place("set"), "There are no documents."))
    return _parse(documents, found, _STRICT)


def _parse(
    documents: Iterable[SourceDocument],
    found: list[Problem],
    converter: cattrs.Converter,
) -> Result[Configuration, Problems]:
    parsed: list[Parsed] = []
    for source in documents:
        _structure(source, converter, parsed, found)
    pairs = [(item.place, item.document) for item in parsed]
    found.extend(check_set(pairs, is_whole=not found))
    if found:
        return Failure(Problems.of(found))
    return Success(Configuration.of(item.document for item in parsed))


def _structure(
    source: SourceDocument,
    converter: cattrs.Converter,
    parsed: list[Parsed],
    found: list[Problem],
) -> None:
    data = source.data
    kind = data.get("kind") if isinstance(data, dict) else None
    document_class = DOCUMENT_CLASSES.get(kind) if isinstance(kind, str) else None
    if document_class is None or not isinstance(data, dict):
        found.append(problems.UnknownKind(source.place, f"The kind is {kind!r}."))
        return
    named = f"{kind} {data['name']}" if "name" in data else str(source.place.document)
    place = attrs.evolve(source.place, document=named)
    fields = {key: value for key, value in data.items() if key != "kind"}
    try:
        document = converter.structure(fields, document_class)
    except cattrs.BaseValidationError as error:
        found.extend(_explain(error, place))
        return
    found.extend(check_values(place, document))
    parsed.append(Parsed(place, document))


def _explain(error: Exception, place: Place) -> Iterator[Problem]:
    match error:
        case ClassValidationError():
            noted, bare = error.group_exceptions()
            for inner, note in noted:
                yield from _explain(inner, _inside(place, note.name))
            for inner in bare:
                yield from _explain(inner, place)
        case IterableValidationError():
            noted_items, _ = error.group_exceptions()
            for inner, item_note in noted_items:
                yield from _explain(inner, _inside(place, str(item_note.index)))
        case ForbiddenExtraKeysError():
            for name in sorted(map(str, error.extra_fields)):
                detail = "There is no such key."
                yield problems.UnknownDocumentKey(_inside(place, name), detail)
        case KeyError():
            name = str(error.args[0])
            yield problems.MissingDocumentKey(
                _inside(place, name, replace=True), "The key is missing."
            )
        case AttributeError():
            yield problems.WrongType(place, "The value is not a mapping.")
        case _:
            yield problems.WrongType(place, str(error))


def _inside(place: Place, name: str, replace: bool = False) -> Place:
    is_same = replace and place.key.rpartition(".")[2] == name
    if is_same:
        return place
    key = f"{place.key}.{name}" if place.key else name
    return attrs.evolve(place, key=key)
