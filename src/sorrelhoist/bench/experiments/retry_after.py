"""Compare three policies for the ``Retry-After`` given to refused callers.

Run it by ``python -m sorrelhoist.bench.experiments.retry_after``. One warm endpoint
gets a burst of overload, then a load within its capacity.
"""

import random

import click

from ...decisions.endpoint_limits import EndpointLimits
from ...decisions.ledger import GrantLedger
from ...decisions.retry_after import (
    BacklogBased,
    Constant,
    Exponential,
    RetryAfterPolicy,
)
from .tables import mean, percentile, show
from .virtual_endpoint import VirtualEngine
from .virtual_load import Caller, VirtualLoad, poisson

PREFILL_PER_S = 40_000.0
OVERLOAD_PER_S = 20.0
OVERLOAD_S = 20.0
CALM_PER_S = 2.0
CALM_S = 100.0
PROMPT_TOKENS = (1000, 4000)
OUTPUT_TOKENS = (20, 80)
BUDGET_S = 10.0
PATIENCE_S = 60.0

ADVICE: dict[str, RetryAfterPolicy] = {
    "informed": BacklogBased(),
    "constant 1 s": Constant(1.0),
    "constant 5 s": Constant(5.0),
    "exponential 0.5 s": Exponential(0.5),
}


def make_load(advice: RetryAfterPolicy, seed: int) -> VirtualLoad:
    """Set up a run; the callers depend on the seed only."""
    rng = random.Random(seed)
    limits = EndpointLimits(
        kv_capacity_tokens=450_000,
        max_running_requests=16,
        cold_running_requests=16,
        prefill_tokens_per_s=PREFILL_PER_S,
        long_prompt_tokens=32_000,
        max_queued_requests=64,
        lease_s=1000.0,
        cold_speed_fraction=0.0,
    )
    times = poisson(rng, OVERLOAD_PER_S, 0.0, OVERLOAD_S)
    times += poisson(rng, CALM_PER_S, OVERLOAD_S, OVERLOAD_S + CALM_S)
    callers = [
        Caller(i, at_s, rng.randint(*PROMPT_TOKENS), rng.randint(*OUTPUT_TOKENS))
        for i, at_s in enumerate(times)
    ]
    return VirtualLoad(
        GrantLedger(limits, "l", 0.0, advice, random.Random(seed)),
        VirtualEngine(PREFILL_PER_S, 16, 16, 0),
        callers,
        rng,
        advice=advice,
        budget_s=BUDGET_S,
        patience_s=PATIENCE_S,
    )


def measure(name: str, runs: int, seed: int) -> dict[str, object]:
    """Return the results of a retry policy over several runs."""
    callers: list[Caller] = []
    for run in range(runs):
        load = make_load(ADVICE[name], seed + run)
        load.run(OVERLOAD_S + CALM_S)
        callers += load.callers
    served = [caller for caller in callers if caller.finished_s is not None]
    waits_s = [
        caller.first_token_s - caller.arrival_s
        for caller in served
        if caller.first_token_s is not None
    ]
    return {
        "advice": name,
        "served": len(served) / len(callers),
        "refusals_per_request": mean([caller.refusals for caller in callers]),
        "wait_p50_s": percentile(waits_s, 0.5),
        "wait_p99_s": percentile(waits_s, 0.99),
        "wait_mean_s": mean(waits_s),
    }


@click.command()
@click.option("--runs", default=3, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def main(runs: int, seed: int, as_json: bool) -> None:
    """Compare retry policies for refused callers."""
    show([measure(name, runs, seed) for name in ADVICE], as_json)


if __name__ == "__main__":
    main()
