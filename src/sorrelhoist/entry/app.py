"""The entry process: serves HTTP to callers and operators.

`Entry` owns the state of the process and connects its parts; the HTTP handlers reach
it through `EntryPort`.
"""

import asyncio
import logging
import time
import uuid
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager

from tornado.web import Application, URLSpec

from ..clients.fair_stream import FairHTTPServer
from ..decisions.documents import Model, Workspace
from ..decisions.prompts import PromptProfile, profile_prompt
from ..decisions.retries import RetryBudget
from ..decisions.routing import ExpectedFirstToken, Router, RouteRequest
from ..decisions.suspicion import SuspicionTable
from ..exceptions import (
    InvalidRequestError,
    PeerError,
    PermissionDeniedError,
    UnknownModelError,
)
from ..messages.gen import ttypes
from ..node.configuration_apply import ConfigurationApplier
from ..node.gossip import GossipHooks
from ..node.health import health_routes
from ..node.metrics import EntryMetrics
from ..node.peers import Responder
from ..node.process import NodeProcess
from ..node.signal_inbox import SignalInbox
from ..node.signals import wait_for_stop_signal
from ..settings import Settings
from .agent_client import AgentClient
from .attempt import AttemptContext
from .completions import CompletionHandler, ModelsHandler, StreamHandler
from .fleet import Fleet
from .generation import Generation, GenerationContext
from .grants import GrantAcquirer, PendingRequest
from .groups import GroupReserver
from .http import UnknownPathHandler
from .leases import LeaseRenewer
from .limit_reports import WorkspaceLimiter
from .operators import OperatorServices, operator_handlers
from .placement import Placer
from .refusals import RecentRefusals
from .requests import GenerationRequest
from .service_handler import ServiceHandler
from .service_router import ServiceRouter
from .status import system_status

logger = logging.getLogger(__name__)

# The handlers enforce a lower limit themselves, while the body arrives.
MAX_HTTP_BODY_BYTES = 1 << 40
DRAIN_CHECK_INTERVAL_S = 0.1


class Entry:
    """State and lifecycle of an entry process.

    Parameters
    ----------
    settings : Settings
        Settings of a process with the role entry.
    clock : callable, optional
        Returns monotonic seconds.
    """

    def __init__(
        self, settings: Settings, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.suspicions = SuspicionTable()
        hooks = GossipHooks(
            suspicions=lambda: self.suspicions.for_gossip(self.clock()),
            on_suspicions=lambda heard: self.suspicions.merge(heard, self.clock()),
        )
        self.process = NodeProcess(settings, hooks, clock)
        self.metrics = EntryMetrics.create(self.process.metrics.meter)
        self.fleet = Fleet(
            self._configuration,
            self.process.members,
            self.process.all_members,
            lambda: self.process.leaving_hosts,
        )
        self.router = Router(ExpectedFirstToken(), self.process.rng)
        self.retries = RetryBudget()
        self.recent = RecentRefusals()
        self.limits = WorkspaceLimiter(
            settings.node_id, self.process.pool, self.process.others, clock
        )
        self.process.replica.add_listener(self.limits.configure)
        self.services = ServiceRouter(self.fleet, self.process.pool, clock)
        self.leases = LeaseRenewer(
            settings.node_id, self.process.pool, settings.lease_s
        )
        self._tools = self._make_generation_context()
        self.attempt_context = self._tools.attempts
        self.running_requests = 0
        self.is_leaving = False

    def _configuration(self):
        replica = self.process.replica
        return replica.configuration if replica.is_ready else None

    def _make_generation_context(self) -> GenerationContext:
        agent_client = AgentClient(self.process.pool)
        acquirer = GrantAcquirer(
            self.router, agent_client.request_grant, self.fleet.address_of, self.clock
        )
        placer = Placer(
            fleet=self.fleet,
            router=self.router,
            acquirer=acquirer,
            groups=GroupReserver(acquirer, agent_client, self.leases),
            is_suspected=lambda fingerprint: self.suspicions.is_suspected(
                fingerprint, self.clock()
            ),
            is_condemned=lambda fingerprint: self.suspicions.is_condemned(
                fingerprint, self.clock()
            ),
            on_death=self._endpoint_died,
            on_completed=lambda fingerprint: self.suspicions.completed(
                fingerprint, self.clock()
            ),
            clock=self.clock,
        )
        attempts = AttemptContext(
            pool=self.process.pool,
            caller=agent_client,
            leases=self.leases,
            clock=self.clock,
            on_load=placer.observe,
        )
        return GenerationContext(
            placer=placer,
            attempts=attempts,
            retries=self.retries,
            clock=self.clock,
            on_retry=lambda: self.metrics.retries.add(1),
        )

    def _endpoint_died(
        self, endpoint: str, boot_id: str, fingerprint: int, is_sole: bool
    ) -> None:
        self.suspicions.endpoint_died(
            endpoint,
            boot_id,
            [fingerprint],
            self.clock(),
            running_requests=1 if is_sole else 2,
        )

    # Interface of the HTTP handlers (`EntryPort`)

    @property
    def is_accepting(self) -> bool:
        """Whether new requests are accepted."""
        return not self.problem()

    def problem(self) -> str:
        """Return why new requests are not accepted, or an empty string if they are."""
        if self.is_leaving:
            return "The entry is shutting down."
        if not self.process.replica.is_ready or not self.process.replica.state.revision:
            return "The entry has no configuration yet."
        return ""

    def workspace_for_key(self, key_sha256: str) -> Workspace | None:
        """Return the workspace that a caller's key belongs to, or None."""
        return self.process.replica.configuration.workspace_for_key(key_sha256)

    def models_for(self, workspace: Workspace) -> list[Model]:
        """Return the models that a workspace may use."""
        models = self.process.replica.configuration.models
        return [models[name] for name in workspace.models if name in models]

    def generation(
        self,
        request: GenerationRequest,
        workspace: Workspace,
        request_id: str,
        timeout_s: float,
        has_idempotency_key: bool,
    ) -> Generation:
        """Create the generation for a parsed request; nothing is sent yet.

        Raises
        ------
        UnknownModelError
            If the model does not exist or the workspace may not use it.
        InvalidRequestError
            If prompt and output exceed the model's context length.
        """
        model = self._model(request, workspace)
        profile = profile_prompt(model.name, request.prompt, model.bytes_per_token)
        self._check_context_length(model, profile, request)
        ask = PendingRequest(
            route=RouteRequest(
                model=model.name,
                failure_domain=self.settings.failure_domain,
                prompt_tokens=profile.prompt_tokens,
                output_tokens=request.output_tokens,
                prefix_hashes=profile.prefix_hashes,
                is_long=profile.prompt_tokens >= model.long_prompt_tokens,
                affinity=request_id if has_idempotency_key else "",
            ),
            request=ttypes.GrantRequest(
                request_id=request_id,
                workspace=workspace.name,
                model=model.name,
                prompt_tokens=profile.prompt_tokens,
                output_tokens=request.output_tokens,
                entry_id=self.settings.node_id,
                prefix_hashes=profile.prefix_hashes,
                fingerprint=profile.fingerprint,
                weight=workspace.weight,
                group_id="",
                kv_share_tokens=0,
            ),
            deadline_s=self.clock() + timeout_s,
        )
        return Generation(
            self._tools,
            ask,
            request.prompt,
            survives_caller=request.stream or has_idempotency_key,
        )

    def _model(self, request: GenerationRequest, workspace: Workspace) -> Model:
        model = self.process.replica.configuration.models.get(request.model)
        if model is None or request.model not in workspace.models:
            raise UnknownModelError(
                f"There is no model '{request.model[:80]}' for this key.", not_run=True
            )
        return model

    def _check_context_length(
        self, model: Model, profile: PromptProfile, request: GenerationRequest
    ) -> None:
        tokens = profile.prompt_tokens + request.output_tokens
        if tokens > model.context_tokens:
            raise InvalidRequestError(
                f"Prompt and answer take {tokens} tokens; the model reads "
                f"{model.context_tokens}.",
                "Send a shorter prompt or ask for fewer tokens.",
                not_run=True,
            )

    def check_service(self, name: str, workspace: Workspace) -> bool:
        """Return whether calls of a plain service may be repeated.

        Raises
        ------
        PermissionDeniedError
            If the service does not exist, is no plain service, or the workspace may
            not use it.
        """
        service = self.process.replica.configuration.services.get(name)
        usable = service is not None and service.type == "plain"
        if service is None or not usable or name not in workspace.services:
            raise PermissionDeniedError(
                f"This key may not use a service '{name[:80]}'.", not_run=True
            )
        return not service.at_most_once

    @contextmanager
    def track_request(self, workspace: Workspace) -> Iterator[None]:
        """Count a request as running until the context exits."""
        self.metrics.requests.add(1, {"workspace": workspace.name})
        self.recent.requested(self.clock())
        self.running_requests += 1
        try:
            yield
        finally:
            self.running_requests -= 1

    def count_refusal(self, kind: str) -> None:
        """Count an error response, by kind of error."""
        self.metrics.refusals.add(1, {"kind": kind})
        self.recent.refused(kind, self.clock())

    def request_id_for(self, workspace: Workspace, idempotency_key: str) -> str:
        """Derive a request id from an idempotency key.

        Every entry derives the same id, so that a repeated request is recognised
        whichever entry receives it.
        """
        name = f"{workspace.name}\n{idempotency_key}"
        return uuid.uuid5(uuid.NAMESPACE_OID, name).hex

    # Process lifecycle

    @asynccontextmanager
    async def running(self) -> AsyncIterator["Entry"]:
        """Run the entry until the context exits."""
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(self.process.running(self.handle))
            http = FairHTTPServer(
                self._application(), max_body_size=MAX_HTTP_BODY_BYTES
            )
            http.listen(self.settings.http_port, address=self.settings.address)
            stack.callback(http.stop)
            for work in (self.leases.run(), self.limits.run()):
                stack.callback(asyncio.create_task(work).cancel)
            yield self

    async def handle(self, body: object, responder: Responder) -> None:
        """Handle a demand report from another entry; reject all other messages."""
        if not isinstance(body, ttypes.DemandReport):
            raise PeerError(f"An entry does not answer {type(body).__name__}.")
        await responder.send(self.limits.record_peer_report(body))

    def _application(self) -> Application:
        own = {"entry": self}
        routes = health_routes(self.process.metrics, self.problem)
        routes += [
            URLSpec(
                "/v1/chat/completions", CompletionHandler, own | {"surface": "chat"}
            ),
            URLSpec(
                "/v1/completions", CompletionHandler, own | {"surface": "completions"}
            ),
            URLSpec("/v1/models", ModelsHandler, own),
            URLSpec("/v1/streams/([A-Za-z0-9_-]+)", StreamHandler, own),
            URLSpec("/v1/services/([^/]+)(/.*)?", ServiceHandler, own),
        ]
        routes += self._operator_routes()
        return Application(
            routes, default_handler_class=UnknownPathHandler, default_handler_args=own
        )

    def _operator_routes(self) -> list[URLSpec]:
        replica = self.process.replica
        services = OperatorServices(
            replica=replica,
            applier=ConfigurationApplier(replica),
            key_sha256=self.settings.operator_key_sha256,
            status=lambda: system_status(
                self.process, self.router, self.suspicions, self.recent
            ),
            dump=self.dump,
        )
        return operator_handlers(services)

    async def drain(self) -> None:
        """Stop accepting requests and wait for running ones, within the timeout."""
        self.is_leaving = True
        self.process.gossip.leave()
        deadline_s = self.clock() + self.settings.drain_timeout_s
        while self.running_requests and self.clock() < deadline_s:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    def dump(self) -> dict:
        """Return the state as plain data, for the state dump."""
        return {
            "process": self.process.dump(),
            "problem": self.problem(),
            "running_requests": self.running_requests,
            "router": self.router.dump(),
            "leases": self.leases.dump(),
            "limits": self.limits.limits.dump(),
            "retries": self.retries.dump(),
            "suspicions": self.suspicions.dump(self.clock()),
        }


async def run_entry(settings: Settings, signals: SignalInbox) -> None:
    """Run an entry until the process receives a stop signal."""
    entry = Entry(settings)
    async with entry.running():
        logger.info("entry started")
        await wait_for_stop_signal(signals)
        logger.info("entry draining")
        await entry.drain()
    logger.info("entry stopped")
