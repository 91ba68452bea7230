"""Prompts of both demanding deployments, in phases, through any number of gateways."""

import asyncio
import random

import attrs
from tornado.httputil import HTTPHeaders

from sorrelhoist.decisions.overload.parts import ALL_PARTS
from sorrelhoist.decisions.placement.demand import Assignment
from sorrelhoist.decisions.routes import (
    EngineCosts,
    Repeat,
    Route,
    RouteTable,
    ServiceConfig,
    Target,
    Workspace,
)
from sorrelhoist.gateway.dispatch import PlacementRequest
from sorrelhoist.gateway.ports import CallerRequest, PromptSize
from tests.gateway.virtual_fleet import SERVICE

PHASE_S = 9.5
FACTORS = {"long": (2.8, 1.0), "middle": (1.0, 1.0), "short": (1.0, 2.4)}


@attrs.frozen
class Kind:
    name: str
    tokens: int
    events: int
    per_s: float
    objective_s: float
    pause_s: float
    deadline_s: float


def costs(step_ms, per_ms, pair_ms, tokens, kv_tokens):
    return EngineCosts(
        max_running=6,
        kv_capacity_tokens=kv_tokens,
        tokens_per_event=tokens,
        step_ms=step_ms,
        prefill_tokens_per_s=per_ms * 1000.0,
        pair_ms_per_million=pair_ms,
        chunk_tokens=2048,
    )


A = (
    costs(0.925, 256, 0.0917, 52, 382_500),
    Kind("short", 5_000, 33, 38.2, 0.271, 0.2, 10.8),
    Kind("middle", 45_000, 20, 6.1, 1.532, 0.5, 10.2),
    Kind("long", 300_000, 16, 1.04, 8.055, 0.8, 15.1),
)
B = (
    costs(0.85, 177, 0.184, 57, 315_000),
    Kind("short", 5_000, 32, 42.6, 0.321, 0.25, 10.7),
    Kind("middle", 45_000, 19, 2.7, 1.533, 0.6, 10.2),
    Kind("long", 220_000, 16, 0.89, 4.057, 1.0, 15.2),
)


@attrs.define(slots=False)
class Outcome:
    kind: Kind
    workspace: str
    arrived_s: float
    decided_s: float
    first_event_s: float | None = None
    retry_after_s: float | None = None

    @property
    def waited_s(self):
        return self.decided_s - self.arrived_s

    @property
    def is_served(self):
        return self.first_event_s is not None

    @property
    def is_in_time(self):
        return (
            self.is_served
            and self.first_event_s <= self.arrived_s + self.kind.objective_s
        )


@attrs.define(slots=False)
class Replay:
    """Send prompts to a virtual fleet whose endpoints are engines.

    An engine prefills one part after the other, in order of arrival.
    """

    fleet: object
    deployment: tuple
    seed: int = 1
    outcomes: list = attrs.field(factory=list)
    free_s: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        engine, *kinds = self.deployment
        self.routes = {
            kind: Route(
                name=kind.name,
                host="h",
                path_prefix=f"/{kind.name}/",
                targets=(Target(SERVICE, 1.0),),
                repeat=Repeat.RESUMABLE,
                is_stream=True,
                objective_s=kind.objective_s,
                pause_s=kind.pause_s,
                timeout_s=kind.deadline_s,
            )
            for kind in kinds
        }
        self.table = RouteTable(
            version=2,
            routes={("h", one.path_prefix): one for one in self.routes.values()},
            services={SERVICE: ServiceConfig(name=SERVICE, engine=engine)},
        )
        for gateway in self.fleet.gateways:
            gateway.state.adopt(self.table)
            gateway.state.overload_parts = ALL_PARTS

    async def arrive(self, kind, per_s, seconds, workspace="usual", phases=True):
        """Send prompts of one kind at a mean rate, in phases or steadily."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        while (elapsed_s := loop.time() - start_s) < seconds:
            factor = FACTORS[kind.name][int(elapsed_s / PHASE_S) % 2] if phases else 1
            await asyncio.sleep(self.rng.expovariate(per_s * factor))
            task = asyncio.ensure_future(self._serve(kind, workspace))
            self.fleet.calls.add(task)

    async def usual(self, scale, seconds, workspace="usual"):
        """Send all kinds of the deployment at a multiple of their usual rates."""
        await asyncio.gather(
            *(
                self.arrive(kind, kind.per_s * scale, seconds, workspace)
                for kind in self.routes
            )
        )

    async def _serve(self, kind, workspace):
        loop = asyncio.get_running_loop()
        gateway = self.rng.choice(self.fleet.gateways)
        now_s = loop.time()
        request_id = f"{gateway.node_id}-{len(self.outcomes)}"
        outcome = Outcome(kind, workspace, now_s, now_s)
        self.outcomes.append(outcome)
        tokens = int(kind.tokens * self.rng.uniform(0.6, 1.4))
        request = PlacementRequest(
            request=CallerRequest(
                request_id=request_id,
                method="POST",
                path=f"/{kind.name}/",
                host="h",
                headers=HTTPHeaders(),
                size=PromptSize(prompt_tokens=tokens, output_tokens=1000),
            ),
            route=self.routes[kind],
            service=SERVICE,
            objective_due_s=now_s + kind.objective_s,
            deadline_s=now_s + kind.deadline_s,
            workspace=Workspace(workspace),
        )
        placed = await gateway.dispatcher.place(request, now_s)
        outcome.decided_s = now_s = loop.time()
        if not isinstance(placed, Assignment):
            outcome.retry_after_s = gateway.dispatcher.retry_after_s(
                SERVICE, now_s, request.deadline_s, request.route
            )
            return
        engine, ends_s = self.deployment[0], []
        for endpoint in (placed.first, *placed.helpers):
            start_s = max(now_s, self.free_s.get(endpoint.address, 0.0))
            self.free_s[endpoint.address] = start_s + placed.part_ms / 1000
            ends_s.append(self.free_s[endpoint.address])
        await asyncio.sleep(max(ends_s) - now_s + engine.pass_ms / 1000)
        gateway.state.loads.prefill_completed(request_id)
        if loop.time() < request.deadline_s:
            outcome.first_event_s = loop.time()
            await asyncio.sleep(kind.events * engine.pass_ms / 1000)
        gateway.state.release(request_id)
        gateway.dispatcher.ended(SERVICE, loop.time())
