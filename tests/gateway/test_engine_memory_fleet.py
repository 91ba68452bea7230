"""What all gateways send to one engine stays within its memory.

The load is deployment A in a phase of many long prompts. Only the memory of engines is
modelled: an engine holds a prompt and its answer from the arrival to the last event.
"""

import asyncio

import attrs
import pytest
from tornado.httputil import HTTPHeaders

from sorrelhoist.decisions.placement.demand import Assignment
from sorrelhoist.decisions.routes import EngineCosts, RouteTable, ServiceConfig
from sorrelhoist.gateway.dispatch import PlacementRequest
from sorrelhoist.gateway.ports import CallerRequest, PromptSize
from tests.gateway.virtual_fleet import ROUTE, SERVICE, virtual_fleet
from tests.virtual_loop import run_virtual

ENGINES = 60
COSTS = EngineCosts(
    max_running=6,
    kv_capacity_tokens=382_500,
    tokens_per_event=52,
    step_ms=0.925,
    prefill_tokens_per_s=256_000.0,
    pair_ms_per_million=0.0917,
)
HOP_S = 0.001


@attrs.frozen
class Kind:
    """One kind of prompt of deployment A, in a phase of many long ones."""

    prompt_tokens: int
    output_tokens: int
    per_s: float
    objective_s: float
    pause_s: float


KINDS = [
    Kind(5_000, 33 * 52, 38.2, 0.271, 0.2),
    Kind(45_000, 20 * 52, 6.1, 1.532, 0.5),
    Kind(300_000, 16 * 52, 2.9, 8.055, 0.8),
]


@attrs.define(eq=False)
class Engines:
    """Tokens of the requests that each engine holds."""

    held: dict = attrs.field(factory=dict)
    most: dict = attrs.field(factory=dict)
    runs: int = 0

    def add(self, address, tokens):
        self.held[address] = self.held.get(address, 0) + tokens
        self.most[address] = max(self.most.get(address, 0), self.held[address])


async def run_prompt(gateway, engines, kind, number):
    """Place a prompt, and hold its memory on the engine until its stream ends."""
    loop = asyncio.get_running_loop()
    size = PromptSize(
        prompt_tokens=kind.prompt_tokens, output_tokens=kind.output_tokens
    )
    request = CallerRequest(
        request_id=f"{gateway.node_id}-{number}",
        method="POST",
        path="/",
        host="h",
        headers=HTTPHeaders(),
        size=size,
    )
    route = attrs.evolve(
        ROUTE, is_stream=True, objective_s=kind.objective_s, pause_s=kind.pause_s
    )
    placement = await gateway.dispatcher.place(
        PlacementRequest(
            request=request,
            route=route,
            service=SERVICE,
            objective_due_s=loop.time() + kind.objective_s,
            deadline_s=loop.time() + 10.0,
        ),
        loop.time(),
    )
    if not isinstance(placement, Assignment):
        return
    engines.runs += 1
    address = placement.first.address
    tokens = kind.prompt_tokens + kind.output_tokens
    await asyncio.sleep(HOP_S)
    engines.add(address, tokens)
    await asyncio.sleep(placement.first_event_ms / 1000)
    gateway.state.loads.prefill_completed(request.request_id)
    await asyncio.sleep(kind.output_tokens / COSTS.tokens_per_event * 0.06)
    engines.add(address, -tokens)
    await asyncio.sleep(HOP_S)
    gateway.state.release(request.request_id)


async def send_prompts(fleet, engines, kind, seconds):
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + seconds
    while loop.time() < ends_s:
        gateway = fleet.rng.choice(fleet.gateways)
        fleet.calls.add(
            asyncio.ensure_future(run_prompt(gateway, engines, kind, len(fleet.calls)))
        )
        await asyncio.sleep(fleet.rng.expovariate(kind.per_s))


@pytest.mark.parametrize(
    "count, seconds, network",
    [
        (5, 12.0, {}),
        (30, 12.0, {}),
        (68, 8.0, {}),
        (300, 4.0, {}),
        (30, 8.0, {"max_delay_s": 0.3}),
        (68, 8.0, {"loss": 0.3}),
        (300, 4.0, {"max_delay_s": 0.1, "loss": 0.3}),
        (300, 4.0, {"max_delay_s": 0.1, "loss": 0.3, "seed": 2}),
    ],
)
def test_no_engine_holds_more_than_its_memory(count, seconds, network):
    # An engine terminates if the requests that it holds exceed its memory.
    async def main():
        engines = Engines()
        with virtual_fleet(count, [None] * ENGINES, **network) as fleet:
            service = ServiceConfig(name=SERVICE, engine=COSTS)
            for gateway in fleet.gateways:
                gateway.state.adopt(
                    RouteTable(
                        version=2,
                        routes={("h", "/"): ROUTE},
                        services={SERVICE: service},
                    )
                )
            await asyncio.sleep(0.5)
            await asyncio.gather(
                *(send_prompts(fleet, engines, kind, seconds) for kind in KINDS)
            )
            over = {
                address: most
                for address, most in engines.most.items()
                if most > COSTS.kv_capacity_tokens
            }
            print(
                f"{count} gateways {network}: {engines.runs} prompts, most held "
                f"{max(engines.most.values())}, engines over {len(over)}"
            )
            assert not over

    run_virtual(main())
