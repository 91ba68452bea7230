"""Interface between the HTTP handlers and the entry.

Handlers depend on this protocol only, not on the process that serves them.
"""

from collections.abc import Callable
from contextlib import AbstractContextManager
from typing import Protocol

from ..decisions.documents import Model, Workspace
from ..node.metrics import EntryMetrics
from ..settings import Settings
from .attempt import AttemptContext
from .fleet import Fleet
from .generation import Generation
from .limit_reports import WorkspaceLimiter
from .requests import GenerationRequest
from .service_router import ServiceRouter


class EntryPort(Protocol):
    """The part of an entry that the HTTP handlers use."""

    settings: Settings
    clock: Callable[[], float]
    metrics: EntryMetrics
    fleet: Fleet
    limits: WorkspaceLimiter
    services: ServiceRouter
    attempt_context: AttemptContext

    @property
    def is_accepting(self) -> bool:
        """Whether new requests are accepted."""

    def workspace_for_key(self, key_sha256: str) -> Workspace | None:
        """Return the workspace that a caller's key belongs to, or None."""

    def models_for(self, workspace: Workspace) -> list[Model]:
        """Return the models that a workspace may use."""

    def generation(
        self,
        request: GenerationRequest,
        workspace: Workspace,
        request_id: str,
        timeout_s: float,
        has_idempotency_key: bool,
    ) -> Generation:
        """Create the generation for a parsed request; nothing is sent yet."""

    def check_service(self, name: str, workspace: Workspace) -> bool:
        """Return whether calls of a plain service may be repeated."""

    def track_request(self, workspace: Workspace) -> AbstractContextManager[None]:
        """Count a request as running until the context exits."""

    def count_refusal(self, kind: str) -> None:
        """Count an error response, by kind of error."""

    def request_id_for(self, workspace: Workspace, idempotency_key: str) -> str:
        """Derive a request id from an idempotency key, the same on every entry."""
