"""Compare a bounded lane for long prompts with priorities only and with no lane.

Run it by ``python -m sorrelhoist.bench.experiments.lanes``. Short and long prompts
share one warm endpoint. The slowdown of a request is its time from arrival to the
first token divided by that time on an idle endpoint.
"""

import random

import attrs
import click

from ...decisions.endpoint_limits import EndpointLimits
from ...decisions.ledger import GrantLedger
from .tables import mean, percentile, show
from .virtual_endpoint import STEP_S, VirtualEngine
from .virtual_load import Caller, VirtualLoad, poisson

PREFILL_PER_S = 40_000.0
CAPACITY_TOKENS = 450_000
LONG_PROMPT_TOKENS = 32_000
NO_LONG_PROMPT_TOKENS = 10_000_000
SHORT_PER_S = 2.0
LONG_PER_S = 0.06
SHORT_TOKENS = (1000, 4000)
LONG_TOKENS = (100_000, 300_000)
OUTPUT_TOKENS = (20, 80)
BUDGET_S = 120.0
DURATION_S = 400.0


@attrs.frozen
class Policy:
    """Threshold of long prompts, and the share reserved for short ones."""

    name: str
    long_prompt_tokens: int
    short_floor: float


POLICIES = (
    Policy("bounded lane", LONG_PROMPT_TOKENS, 0.25),
    Policy("priority only", LONG_PROMPT_TOKENS, 0.0),
    Policy("none", NO_LONG_PROMPT_TOKENS, 0.0),
)


def make_load(policy: Policy, seed: int) -> VirtualLoad:
    """Set up a run; the callers depend on the seed only."""
    rng = random.Random(seed)
    limits = EndpointLimits(
        kv_capacity_tokens=CAPACITY_TOKENS,
        max_running_requests=16,
        cold_running_requests=16,
        prefill_tokens_per_s=PREFILL_PER_S,
        long_prompt_tokens=policy.long_prompt_tokens,
        short_floor=policy.short_floor,
        lease_s=DURATION_S * 2,
        cold_speed_fraction=0.0,
    )
    arrivals = [
        (at_s, SHORT_TOKENS) for at_s in poisson(rng, SHORT_PER_S, 0, DURATION_S)
    ]
    arrivals += [
        (at_s, LONG_TOKENS) for at_s in poisson(rng, LONG_PER_S, 0, DURATION_S)
    ]
    callers = [
        Caller(i, at_s, rng.randint(*tokens), rng.randint(*OUTPUT_TOKENS))
        for i, (at_s, tokens) in enumerate(arrivals)
    ]
    return VirtualLoad(
        GrantLedger(limits, "l", 0.0),
        VirtualEngine(PREFILL_PER_S, 16, 16, 0),
        callers,
        rng,
        budget_s=BUDGET_S,
        patience_s=0.0,
    )


def is_long(caller: Caller) -> bool:
    """Return whether a request counts as long, independent of the policy."""
    return caller.prompt_tokens >= LONG_PROMPT_TOKENS


def is_served(caller: Caller) -> bool:
    """Return whether a request received its complete answer."""
    return caller.finished_s is not None


def slowdown(caller: Caller) -> float:
    """Return the time to first token divided by that on an idle endpoint."""
    if caller.first_token_s is None:
        raise ValueError("the request received no first token")
    idle_s = STEP_S + caller.prompt_tokens / PREFILL_PER_S
    return (caller.first_token_s - caller.arrival_s) / idle_s


def measure(policy: Policy, runs: int, seed: int) -> dict[str, object]:
    """Return the results of a policy over several runs."""
    callers: list[Caller] = []
    for run in range(runs):
        load = make_load(policy, seed + run)
        load.run(DURATION_S)
        callers += load.callers
    short = [caller for caller in callers if not is_long(caller)]
    long = [caller for caller in callers if is_long(caller)]
    slowdowns = [slowdown(caller) for caller in short if is_served(caller)]
    long_slowdowns = [slowdown(caller) for caller in long if is_served(caller)]
    return {
        "policy": policy.name,
        "short_served": mean([is_served(caller) for caller in short]),
        "short_slowdown_p50": percentile(slowdowns, 0.5),
        "short_slowdown_p99": percentile(slowdowns, 0.99),
        "long_served": mean([is_served(caller) for caller in long]),
        "long_slowdown_p50": percentile(long_slowdowns, 0.5),
        "long_slowdown_p99": percentile(long_slowdowns, 0.99),
    }


@click.command()
@click.option("--runs", default=5, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def main(runs: int, seed: int, as_json: bool) -> None:
    """Compare policies that isolate short prompts from long ones."""
    show([measure(policy, runs, seed) for policy in POLICIES], as_json)


if __name__ == "__main__":
    main()
