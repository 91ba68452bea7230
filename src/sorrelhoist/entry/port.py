"""What the handlers of an entry's HTTP need of it.

Handlers know this interface only, so that they need nothing of the process that
serves them.
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
from .services import ServiceRouter


class EntryPort(Protocol):
    """An entry, as its handlers see it."""

    settings: Settings
    clock: Callable[[], float]
    metrics: EntryMetrics
    fleet: Fleet
    limits: WorkspaceLimiter
    services: ServiceRouter
    attempt_context: AttemptContext

    @property
    def accepting(self) -> bool:
        """Whether new requests are taken."""

    def workspace_for_key(self, key_sha256: str) -> Workspace | None:
        """Return the workspace of a caller's key."""

    def models_for(self, workspace: Workspace) -> list[Model]:
        """Return the models that a workspace may use."""

    def generation(
        self,
        request: GenerationRequest,
        workspace: Workspace,
        request_id: str,
        timeout_s: float,
        has_key: bool,
    ) -> Generation:
        """Prepare the run of a request."""

    def check_service(self, name: str, workspace: Workspace) -> bool:
        """Return whether a service's calls may be repeated."""

    def counted(self, workspace: Workspace) -> AbstractContextManager[None]:
        """Count a request as running for as long as the context lasts."""

    def count_refusal(self, kind: str) -> None:
        """Count a request that is answered with an error."""

    def request_id_for(self, workspace: Workspace, idempotency_key: str) -> str:
        """Return the id of a repeatable request with a key, the same everywhere."""
