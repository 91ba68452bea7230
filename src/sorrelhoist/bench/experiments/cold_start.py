"""Compare slow start, a fixed cap and no cap on an endpoint in a cold start.

Run it by ``python -m sorrelhoist.bench.experiments.cold_start``. A cold engine has
capacity for a few requests, crashes when given more, and warms up with completed
work. The policy knows neither the cold capacity nor how much work warms the engine.
"""

import random

import attrs
import click

from ...decisions.endpoint_limits import EndpointLimits
from ...decisions.ledger import GrantLedger
from ...decisions.slow_start import MIN_PACE, Additive, Doubling, Growth
from .tables import mean, show
from .virtual_endpoint import VirtualEngine
from .virtual_load import Caller, VirtualLoad, poisson

FULL_REQUESTS = 16
COLD_REQUESTS = 2
PREFILL_PER_S = 40_000.0
ARRIVALS_PER_S = 8.0
DURATION_S = 120.0
PROMPT_TOKENS = (1000, 4000)
OUTPUT_TOKENS = (20, 80)
COLD_CAPACITY_REQUESTS = (2, 4)
WARM_WORK_TOKENS = (50_000, 300_000)


@attrs.frozen
class Policy:
    """Limits on concurrent requests in a cold start and at full speed."""

    name: str
    cold_requests: int
    max_requests: int
    growth: Growth = Additive()
    min_pace: float = MIN_PACE


POLICIES = (
    Policy("additive, learning", COLD_REQUESTS, FULL_REQUESTS, Additive(1.0)),
    Policy("additive", COLD_REQUESTS, FULL_REQUESTS, Additive(1.0), 1.0),
    Policy("doubling, learning", COLD_REQUESTS, FULL_REQUESTS, Doubling()),
    Policy("doubling", COLD_REQUESTS, FULL_REQUESTS, Doubling(), 1.0),
    Policy("fixed cap 2", COLD_REQUESTS, COLD_REQUESTS),
    Policy("fixed cap 8", 8, 8),
    Policy("none", FULL_REQUESTS, FULL_REQUESTS),
)


def make_load(policy: Policy, seed: int) -> VirtualLoad:
    """Set up a run; the callers and the engine depend on the seed only."""
    rng = random.Random(seed)
    limits = EndpointLimits(
        kv_capacity_tokens=450_000,
        max_running_requests=policy.max_requests,
        cold_running_requests=policy.cold_requests,
        prefill_tokens_per_s=PREFILL_PER_S,
        long_prompt_tokens=32_000,
        lease_s=DURATION_S * 2,
        cold_speed_fraction=0.0,
    )
    engine = VirtualEngine(
        PREFILL_PER_S,
        FULL_REQUESTS,
        rng.randint(*COLD_CAPACITY_REQUESTS),
        rng.randint(*WARM_WORK_TOKENS),
    )
    times = poisson(rng, ARRIVALS_PER_S, 0.0, DURATION_S)
    callers = [
        Caller(i, at_s, rng.randint(*PROMPT_TOKENS), rng.randint(*OUTPUT_TOKENS))
        for i, at_s in enumerate(times)
    ]
    ledger = GrantLedger(limits, "l", 0.0)
    ledger.health.slow_start.growth = policy.growth
    ledger.health.slow_start.min_pace = policy.min_pace
    return VirtualLoad(ledger, engine, callers, rng)


def measure(policy: Policy, runs: int, seed: int) -> dict[str, object]:
    """Return the mean results of a policy over several runs."""
    loads = [make_load(policy, seed + run) for run in range(runs)]
    for load in loads:
        load.run(DURATION_S)
    done = [
        sum(caller.finished_s is not None for caller in load.callers) / DURATION_S
        for load in loads
    ]
    full = [load.full_speed_s for load in loads if load.full_speed_s is not None]
    return {
        "policy": policy.name,
        "deaths_per_run": mean([load.engine.deaths for load in loads]),
        "worst_deaths": max(load.engine.deaths for load in loads),
        "done_per_s": mean(done),
        "full_speed_runs": len(full),
        "full_speed_s": mean(full),
    }


@click.command()
@click.option("--runs", default=5, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def main(runs: int, seed: int, as_json: bool) -> None:
    """Compare policies for a cold start."""
    show([measure(policy, runs, seed) for policy in POLICIES], as_json)


if __name__ == "__main__":
    main()
