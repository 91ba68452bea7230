"""Compare the routing policies on the same seeded load in virtual time.

Run it by ``python -m sorrelhoist.bench.experiments.routing``.
"""

from collections.abc import Sequence

import attrs
import click

from ...decisions.routing import (
    ExpectedFirstToken,
    FewestRequests,
    FewestTokens,
    Policy,
    RoundRobin,
)
from ..load_client import Sample
from ..load_plan import LoadWorkspace, make_plan, mean_prompt_tokens, without_long
from ..report import Slowdown, buckets, outcomes, slowdown
from .virtual_fleet import PREFILL_TOKENS_PER_S, run_fleet

POLICIES: dict[str, Policy] = {
    "expected, long set": ExpectedFirstToken(long_set=True),
    "expected": ExpectedFirstToken(long_set=False),
    "round robin": RoundRobin(),
    "fewest requests": FewestRequests(),
    "fewest tokens": FewestTokens(),
}
WORKSPACES = (
    LoadWorkspace("large-1", "", 8.0, 8_000_000),
    LoadWorkspace("large-2", "", 4.0, 8_000_000),
    *(LoadWorkspace(f"small-{number}", "", 1.0, 200_000) for number in range(6)),
)
# KV-cache capacity of one engine; a longer prompt needs a group.
LONGEST_TOKENS = 330_000
SHORT_BELOW_TOKENS = 4_000
WARM_UP_S = 20.0


@attrs.frozen
class Shape:
    """Parameters of one run."""

    engines: int
    entries: int
    utilisation: float
    seconds_s: float
    seed: int


@attrs.frozen
class PolicyResult:
    """Results of one policy."""

    name: str
    samples: list[Sample]
    slowdown: Slowdown


def compare(shape: Shape, policies: dict[str, Policy]) -> list[PolicyResult]:
    """Run each policy on the same plan, without and with its long prompts."""
    speed = shape.engines * PREFILL_TOKENS_PER_S
    rate = shape.utilisation * speed / mean_prompt_tokens(LONGEST_TOKENS)
    plan = make_plan(shape.seed, WORKSPACES, rate, shape.seconds_s, LONGEST_TOKENS)
    results = []
    for name, policy in policies.items():
        alone, beside = (
            after_warm_up(
                run_fleet(policy, part, shape.engines, shape.entries, shape.seed)
            )
            for part in (without_long(plan), plan)
        )
        slow = slowdown(alone, beside, SHORT_BELOW_TOKENS)
        results.append(PolicyResult(name, beside, slow))
    return results


def after_warm_up(samples: Sequence[Sample]) -> list[Sample]:
    """Return the samples that were sent after the warm-up."""
    return [sample for sample in samples if sample.sent_s >= WARM_UP_S]


def show(compared: PolicyResult) -> None:
    """Print the results of one policy."""
    cells = [
        f"{b.first_token.median_s:.3f}/{b.first_token.p95_s:.3f}"
        f"/{b.first_token.p99_s:.3f}"
        for b in buckets(compared.samples)
    ]
    count = outcomes(compared.samples)
    slow = compared.slowdown
    click.echo(
        f"{compared.name:20}"
        + "".join(f" {cell:>18}" for cell in cells)
        + f"  late {count.late:4} refused {count.refused:3}"
        + f"  slowdown {slow.median:.2f}, p95 {slow.p95:.2f}, of p95 {slow.of_p95:.2f}"
    )


@click.command()
@click.option("--engines", default=16, show_default=True)
@click.option("--entries", default=4, show_default=True)
@click.option("--utilisation", "loads", multiple=True, type=float, default=(0.4, 0.7))
@click.option("--seconds", default=140.0, show_default=True)
@click.option("--policy", "names", multiple=True, type=click.Choice(list(POLICIES)))
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,))
def main(
    engines: int,
    entries: int,
    loads: tuple[float, ...],
    seconds: float,
    names: tuple[str, ...],
    seeds: tuple[int, ...],
) -> None:
    """Print the results of each policy."""
    chosen = {name: POLICIES[name] for name in names or POLICIES}
    for utilisation in loads:
        for seed in seeds:
            shape = Shape(engines, entries, utilisation, seconds, seed)
            click.echo(f"{shape}; median/p95/p99 s of prompts in tokens:")
            click.echo(
                " " * 20
                + "".join(
                    f" {label:>18}"
                    for label in ("1k-4k", "4k-16k", "16k-32k", "32k-100k", "100k on")
                )
            )
            for compared in compare(shape, chosen):
                show(compared)


if __name__ == "__main__":
    main()
