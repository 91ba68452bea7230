"""The typed configuration: the complete set of documents, with look-up indexes."""

import re
from collections import defaultdict
from collections.abc import Iterable, Mapping
from functools import cached_property
from typing import TypeVar

import attrs

from .documents import (
    Document,
    DocumentSet,
    Endpoint,
    FailureDomain,
    Model,
    Service,
    Workspace,
)

T = TypeVar("T")


def version_order(version: str) -> tuple[tuple[int, int | str], ...]:
    """Return a sort key under which version 10 comes after version 9.

    >>> sorted(["10", "9", "9.1"], key=version_order)
    ['9', '9.1', '10']
    """
    parts = re.findall(r"\d+|[^\d.]+", version)
    return tuple((1, int(part)) if part.isdigit() else (0, part) for part in parts)


@attrs.frozen
class Configuration:
    """An immutable set of documents that were checked together.

    Parameters
    ----------
    documents : tuple of Document
        All documents.
    """

    documents: tuple[Document, ...] = ()

    @classmethod
    def of(cls, documents: Iterable[Document]) -> "Configuration":
        """Build a configuration from documents."""
        return cls(tuple(documents))

    def _of_class(self, document_class: type[T]) -> list[T]:
        return [item for item in self.documents if isinstance(item, document_class)]

    @cached_property
    def plain(self) -> DocumentSet:
        """The documents in plain form."""
        return DocumentSet.from_documents(self.documents)

    @property
    def digest(self) -> str:
        """SHA-256 of the canonical JSON text, in hexadecimal."""
        return self.plain.digest

    @cached_property
    def failure_domains(self) -> Mapping[str, FailureDomain]:
        """Failure domains by name."""
        return {item.name: item for item in self._of_class(FailureDomain)}

    @cached_property
    def model_versions(self) -> Mapping[tuple[str, str], Model]:
        """Models by name and version."""
        return {(item.name, item.version): item for item in self._of_class(Model)}

    @cached_property
    def models(self) -> Mapping[str, Model]:
        """The newest version of each model, by name."""
        ordered = sorted(
            self._of_class(Model), key=lambda item: version_order(item.version)
        )
        return {item.name: item for item in ordered}

    @cached_property
    def services(self) -> Mapping[str, Service]:
        """Services by name."""
        return {item.name: item for item in self._of_class(Service)}

    @cached_property
    def workspaces(self) -> Mapping[str, Workspace]:
        """Workspaces by name."""
        return {item.name: item for item in self._of_class(Workspace)}

    @cached_property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """Endpoints by name."""
        return {item.name: item for item in self._of_class(Endpoint)}

    @cached_property
    def _workspaces_by_key(self) -> Mapping[str, Workspace]:
        return {
            key: workspace
            for workspace in self.workspaces.values()
            for key in workspace.key_sha256
        }

    @cached_property
    def _endpoints_by_model(self) -> Mapping[str, tuple[Endpoint, ...]]:
        found: dict[str, list[Endpoint]] = defaultdict(list)
        for endpoint in self.endpoints.values():
            if endpoint.model:
                found[endpoint.model].append(endpoint)
        return {name: tuple(endpoints) for name, endpoints in found.items()}

    @cached_property
    def _endpoints_by_service(self) -> Mapping[str, tuple[Endpoint, ...]]:
        found: dict[str, list[Endpoint]] = defaultdict(list)
        for endpoint in self.endpoints.values():
            found[endpoint.service].append(endpoint)
        return {name: tuple(endpoints) for name, endpoints in found.items()}

    def workspace_for_key(self, key_sha256: str) -> Workspace | None:
        """Return the workspace that a key belongs to, given the key's SHA-256."""
        return self._workspaces_by_key.get(key_sha256)

    def is_domain_in(self, name: str) -> bool:
        """Whether a failure domain is known and takes new work."""
        domain = self.failure_domains.get(name)
        return domain is not None and domain.state == "in"

    def endpoints_for_model(self, name: str) -> tuple[Endpoint, ...]:
        """Return the endpoints that serve a model, in all failure domains."""
        return self._endpoints_by_model.get(name, ())

    def endpoints_for_service(self, name: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service, in all failure domains."""
        return self._endpoints_by_service.get(name, ())

    def model_for_endpoint(self, endpoint: Endpoint) -> Model | None:
        """Return the model version that an endpoint has to serve."""
        service = self.services.get(endpoint.service)
        if service is None:
            return None
        for use in service.models:
            if use.name == endpoint.model:
                return self.model_versions.get((use.name, use.version))
        return None
