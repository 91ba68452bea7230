"""Validation of values in a document and of the documents of a set as a whole."""

from collections.abc import Iterable, Iterator, Sequence

import attrs

from . import configuration_problems as problems
from .configuration_problems import DocumentLocation, Problem
from .configuration_set import Configuration
from .documents import (
    NAME_PATTERN,
    SHA256_PATTERN,
    Document,
    DocumentKey,
    Endpoint,
    Model,
    Service,
    Workspace,
)

LocatedDocument = tuple[DocumentLocation, Document]


def check_values(location: DocumentLocation, document: Document) -> Iterator[Problem]:
    """Check the ranges of the values of one document.

    Parameters
    ----------
    location : DocumentLocation
        Location of the document.
    document : Document
        Document whose values have the right types.

    Yields
    ------
    Problem
    """
    if not NAME_PATTERN.fullmatch(document.name):
        detail = "The name must be 1 to 63 letters, digits, '.', '_' or '-'."
        yield problems.OutOfRange(_at(location, "name"), detail)
    for field in attrs.fields(type(document)):
        value = getattr(document, field.name)
        minimum = field.metadata.get("minimum")
        limit = field.metadata.get("above")
        if minimum is not None and value < minimum:
            detail = f"{value} is below {minimum}."
            yield problems.OutOfRange(_at(location, field.name), detail)
        if limit is not None and value <= limit:
            detail = f"{value} is not above {limit}."
            yield problems.OutOfRange(_at(location, field.name), detail)
    match document:
        case Workspace():
            yield from _check_keys(location, document)
        case Model():
            yield from _check_model(location, document)
        case Service():
            yield from _check_service(location, document)
        case Endpoint():
            yield from _check_endpoint(location, document)


def _check_keys(location: DocumentLocation, workspace: Workspace) -> Iterator[Problem]:
    for key in workspace.key_sha256:
        if not SHA256_PATTERN.fullmatch(key):
            detail = "A key is not a SHA-256 in 64 lower-case hexadecimal digits."
            yield problems.OutOfRange(_at(location, "key_sha256"), detail)


def _check_model(location: DocumentLocation, model: Model) -> Iterator[Problem]:
    if not NAME_PATTERN.fullmatch(model.version):
        detail = "The version must be 1 to 63 letters, digits, '.', '_' or '-'."
        yield problems.OutOfRange(_at(location, "version"), detail)
    if model.long_prompt_tokens > model.context_tokens:
        detail = "long_prompt_tokens is above context_tokens."
        yield problems.Inconsistent(_at(location, "long_prompt_tokens"), detail)


def _check_service(location: DocumentLocation, service: Service) -> Iterator[Problem]:
    if service.type == "plain" and service.models:
        detail = "A plain service has no models."
        yield problems.Inconsistent(_at(location, "models"), detail)
    if service.type == "model" and not service.models:
        detail = "A model service needs at least one model."
        yield problems.Inconsistent(_at(location, "models"), detail)
    if service.type == "model" and service.at_most_once:
        detail = "Only calls of plain services are at most once."
        yield problems.Inconsistent(_at(location, "at_most_once"), detail)
    if service.lookup and not service.at_most_once:
        detail = "Look-ups serve only services with at_most_once."
        yield problems.Inconsistent(_at(location, "lookup"), detail)
    names = [use.name for use in service.models]
    for name in sorted({name for name in names if names.count(name) > 1}):
        detail = f"The model {name!r} is there twice."
        yield problems.DuplicateDocument(_at(location, "models"), detail)


def _check_endpoint(
    location: DocumentLocation, endpoint: Endpoint
) -> Iterator[Problem]:
    if endpoint.cold_running_requests > endpoint.max_running_requests:
        detail = "cold_running_requests is above max_running_requests."
        yield problems.Inconsistent(_at(location, "cold_running_requests"), detail)
    if not endpoint.model:
        return
    for name in ("kv_capacity_tokens", "prefill_tokens_per_s"):
        if getattr(endpoint, name) == 0:
            detail = "An endpoint with a model needs a value above 0."
            yield problems.OutOfRange(_at(location, name), detail)


def check_set(
    located_documents: Sequence[LocatedDocument], is_complete: bool
) -> Iterator[Problem]:
    """Check for duplicates and unresolved references between documents.

    Parameters
    ----------
    located_documents : sequence of (DocumentLocation, Document)
        Documents that could be parsed.
    is_complete : bool
        False if some documents are invalid. References are not checked
        then, because an unresolved one may name one of these.

    Yields
    ------
    Problem
    """
    yield from _check_duplicates(located_documents)
    yield from _check_shared_keys(located_documents)
    if not is_complete:
        return
    configuration = Configuration.of(document for _, document in located_documents)
    for location, document in located_documents:
        match document:
            case Service():
                yield from _check_service_models(location, document, configuration)
            case Workspace():
                yield from _check_workspace_references(
                    location, document, configuration
                )
            case Endpoint():
                yield from _check_endpoint_references(location, document, configuration)


def _check_duplicates(
    located_documents: Iterable[LocatedDocument],
) -> Iterator[Problem]:
    first: dict[DocumentKey, DocumentLocation] = {}
    for location, document in located_documents:
        key = document.key
        if key in first:
            detail = f"{key} is also in {first[key].file}."
            yield problems.DuplicateDocument(location, detail)
        first.setdefault(key, location)


def _check_shared_keys(
    located_documents: Iterable[LocatedDocument],
) -> Iterator[Problem]:
    owners: dict[str, str] = {}
    for location, document in located_documents:
        if not isinstance(document, Workspace):
            continue
        for key in document.key_sha256:
            owner = owners.setdefault(key, document.name)
            if owner != document.name:
                detail = f"The key {key[:8]}... also belongs to workspace {owner!r}."
                yield problems.DuplicateDocument(_at(location, "key_sha256"), detail)


def _check_service_models(
    location: DocumentLocation, service: Service, configuration: Configuration
) -> Iterator[Problem]:
    for use in service.models:
        if (use.name, use.version) not in configuration.model_versions:
            detail = f"There is no model {use.name!r} of version {use.version!r}."
            yield problems.UnknownReference(_at(location, "models"), detail)


def _check_workspace_references(
    location: DocumentLocation, workspace: Workspace, configuration: Configuration
) -> Iterator[Problem]:
    for name in workspace.models:
        if name not in configuration.models:
            detail = f"There is no model {name!r}."
            yield problems.UnknownReference(_at(location, "models"), detail)
    for name in workspace.services:
        if name not in configuration.services:
            detail = f"There is no service {name!r}."
            yield problems.UnknownReference(_at(location, "services"), detail)


def _check_endpoint_references(
    location: DocumentLocation, endpoint: Endpoint, configuration: Configuration
) -> Iterator[Problem]:
    if endpoint.failure_domain not in configuration.failure_domains:
        detail = f"There is no failure domain {endpoint.failure_domain!r}."
        yield problems.UnknownReference(_at(location, "failure_domain"), detail)
    service = configuration.services.get(endpoint.service)
    if service is None:
        detail = f"There is no service {endpoint.service!r}."
        yield problems.UnknownReference(_at(location, "service"), detail)
        return
    served = [use.name for use in service.models]
    if service.type == "plain" and endpoint.model:
        detail = f"The plain service {service.name!r} has no models."
        yield problems.Inconsistent(_at(location, "model"), detail)
    if service.type == "model" and endpoint.model not in served:
        detail = f"The service {service.name!r} does not use {endpoint.model!r}."
        yield problems.UnknownReference(_at(location, "model"), detail)


def _at(location: DocumentLocation, key: str) -> DocumentLocation:
    return attrs.evolve(location, key=key)
