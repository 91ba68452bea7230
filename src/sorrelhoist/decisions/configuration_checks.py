"""Checks of single values, and of the documents of a set against each other."""

from collections.abc import Iterable, Iterator, Sequence

import attrs

from . import configuration_problems as problems
from .configuration_problems import Place, Problem
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

Placed = tuple[Place, Document]


def check_values(place: Place, document: Document) -> Iterator[Problem]:
    """Check the ranges of the values of one document.

    Parameters
    ----------
    place : Place
        Where the document is.
    document : Document
        Structured, with values of the right types.

    Yields
    ------
    Problem
    """
    if not NAME_PATTERN.fullmatch(document.name):
        detail = "The name must be 1 to 63 letters, digits, '.', '_' or '-'."
        yield problems.OutOfRange(_at(place, "name"), detail)
    for field in attrs.fields(type(document)):
        value = getattr(document, field.name)
        minimum = field.metadata.get("minimum")
        limit = field.metadata.get("above")
        if minimum is not None and value < minimum:
            detail = f"{value} is below {minimum}."
            yield problems.OutOfRange(_at(place, field.name), detail)
        if limit is not None and value <= limit:
            detail = f"{value} is not above {limit}."
            yield problems.OutOfRange(_at(place, field.name), detail)
    match document:
        case Workspace():
            yield from _check_keys(place, document)
        case Model():
            yield from _check_model(place, document)
        case Service():
            yield from _check_service(place, document)
        case Endpoint():
            yield from _check_endpoint(place, document)


def _check_keys(place: Place, workspace: Workspace) -> Iterator[Problem]:
    for key in workspace.key_sha256:
        if not SHA256_PATTERN.fullmatch(key):
            detail = "A key is not a SHA-256 in 64 lower-case hexadecimal digits."
            yield problems.OutOfRange(_at(place, "key_sha256"), detail)


def _check_model(place: Place, model: Model) -> Iterator[Problem]:
    if not NAME_PATTERN.fullmatch(model.version):
        detail = "The version must be 1 to 63 letters, digits, '.', '_' or '-'."
        yield problems.OutOfRange(_at(place, "version"), detail)
    if model.long_prompt_tokens > model.context_tokens:
        detail = "long_prompt_tokens is above context_tokens."
        yield problems.Inconsistent(_at(place, "long_prompt_tokens"), detail)


def _check_service(place: Place, service: Service) -> Iterator[Problem]:
    if service.type == "plain" and service.models:
        detail = "A plain service has no models."
        yield problems.Inconsistent(_at(place, "models"), detail)
    if service.type == "model" and not service.models:
        detail = "A model service needs at least one model."
        yield problems.Inconsistent(_at(place, "models"), detail)
    if service.type == "model" and service.at_most_once:
        detail = "Only calls of plain services are at most once."
        yield problems.Inconsistent(_at(place, "at_most_once"), detail)
    if service.lookup and not service.at_most_once:
        detail = "Look-ups serve only services with at_most_once."
        yield problems.Inconsistent(_at(place, "lookup"), detail)
    names = [use.name for use in service.models]
    for name in sorted({name for name in names if names.count(name) > 1}):
        detail = f"The model {name!r} is there twice."
        yield problems.DuplicateDocument(_at(place, "models"), detail)


def _check_endpoint(place: Place, endpoint: Endpoint) -> Iterator[Problem]:
    if endpoint.cold_running_requests > endpoint.max_running_requests:
        detail = "cold_running_requests is above max_running_requests."
        yield problems.Inconsistent(_at(place, "cold_running_requests"), detail)
    if not endpoint.model:
        return
    for name in ("kv_capacity_tokens", "prefill_tokens_per_s"):
        if getattr(endpoint, name) == 0:
            detail = "An endpoint with a model needs a value above 0."
            yield problems.OutOfRange(_at(place, name), detail)


def check_set(placed: Sequence[Placed], is_whole: bool) -> Iterator[Problem]:
    """Check documents against each other.

    Parameters
    ----------
    placed : sequence of (Place, Document)
        The documents that could be read.
    is_whole : bool
        False when some could not be read; a missing reference then proves
        nothing and is not reported.

    Yields
    ------
    Problem
    """
    yield from _check_duplicates(placed)
    yield from _check_shared_keys(placed)
    if not is_whole:
        return
    configuration = Configuration.of(document for _, document in placed)
    for place, document in placed:
        match document:
            case Service():
                yield from _check_service_models(place, document, configuration)
            case Workspace():
                yield from _check_rights(place, document, configuration)
            case Endpoint():
                yield from _check_placement(place, document, configuration)


def _check_duplicates(placed: Iterable[Placed]) -> Iterator[Problem]:
    first: dict[DocumentKey, Place] = {}
    for place, document in placed:
        key = document.key
        if key in first:
            detail = f"{key} is also in {first[key].file}."
            yield problems.DuplicateDocument(place, detail)
        first.setdefault(key, place)


def _check_shared_keys(placed: Iterable[Placed]) -> Iterator[Problem]:
    owners: dict[str, str] = {}
    for place, document in placed:
        if not isinstance(document, Workspace):
            continue
        for key in document.key_sha256:
            owner = owners.setdefault(key, document.name)
            if owner != document.name:
                detail = f"The key {key[:8]}... also belongs to workspace {owner!r}."
                yield problems.DuplicateDocument(_at(place, "key_sha256"), detail)


def _check_service_models(
    place: Place, service: Service, configuration: Configuration
) -> Iterator[Problem]:
    for use in service.models:
        if (use.name, use.version) not in configuration.model_versions:
            detail = f"There is no model {use.name!r} of version {use.version!r}."
            yield problems.UnknownReference(_at(place, "models"), detail)


def _check_rights(
    place: Place, workspace: Workspace, configuration: Configuration
) -> Iterator[Problem]:
    for name in workspace.models:
        if name not in configuration.models:
            detail = f"There is no model {name!r}."
            yield problems.UnknownReference(_at(place, "models"), detail)
    for name in workspace.services:
        if name not in configuration.services:
            detail = f"There is no service {name!r}."
            yield problems.UnknownReference(_at(place, "services"), detail)


def _check_placement(
    place: Place, endpoint: Endpoint, configuration: Configuration
) -> Iterator[Problem]:
    if endpoint.failure_domain not in configuration.failure_domains:
        detail = f"There is no failure domain {endpoint.failure_domain!r}."
        yield problems.UnknownReference(_at(place, "failure_domain"), detail)
    service = configuration.services.get(endpoint.service)
    if service is None:
        detail = f"There is no service {endpoint.service!r}."
        yield problems.UnknownReference(_at(place, "service"), detail)
        return
    served = [use.name for use in service.models]
    if service.type == "plain" and endpoint.model:
        detail = f"The plain service {service.name!r} has no models."
        yield problems.Inconsistent(_at(place, "model"), detail)
    if service.type == "model" and endpoint.model not in served:
        detail = f"The service {service.name!r} does not use {endpoint.model!r}."
        yield problems.UnknownReference(_at(place, "model"), detail)


def _at(place: Place, key: str) -> Place:
    return attrs.evolve(place, key=key)
