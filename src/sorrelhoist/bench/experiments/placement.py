"""Replay prompts through the gateways' placement decisions in virtual time.

Run it by ``python -m sorrelhoist.bench.experiments.placement``.
"""

import random
from collections.abc import Iterable, Iterator, Sequence

import click

from .virtual_domains import DEPLOYMENTS
from .virtual_gateways import COSTS, GatewayFleet, Request
from .virtual_prompts import KINDS, arrivals_from_log, draw_arrivals


def table(requests: Sequence[Request]) -> Iterator[str]:
    """Yield a line of results for each kind of prompt, and the total worth."""
    for kind in KINDS:
        own = [one for one in requests if one.arrival.kind.name == kind.name]
        if not own:
            continue
        waits = sorted(one.first_event_s - one.arrival.at_s for one in own)
        in_time = sum(one.earned == 1.0 for one in own)
        whole = sum(one.is_complete for one in own)
        outside = sum(one.is_outside for one in own) / len(own)
        large = sorted(own, key=lambda one: one.arrival.prompt_tokens)
        tenth = large[-max(1, len(own) // 10) :]
        yield (
            f"{kind.name:8} {len(own):5} in time {in_time:5} late {whole - in_time:4}"
            f" not {len(own) - whole:4} worth {worth(own):.3f}"
            f" largest tenth served"
            f" {sum(o.is_complete for o in tenth) / len(tenth):.2f}"
            f" outside {outside:.2f}"
            f" first event {waits[len(waits) // 2]:.2f}"
            f" / {waits[int(len(waits) * 0.95)]:.2f} s"
        )
    yield f"worth {worth(requests):.3f}"


def worth(requests: Sequence[Request]) -> float:
    """Return the earned share of the total worth of the requests."""
    total = sum(o.arrival.size_factor * o.arrival.kind.worth for o in requests)
    return (
        sum(o.earned * o.arrival.size_factor * o.arrival.kind.worth for o in requests)
        / total
    )


@click.command()
@click.option("--engines", default=22, show_default=True)
@click.option("--gateways", default=5, show_default=True)
@click.option("--seconds", default=36.0, show_default=True)
@click.option("--factor", default=1.0, show_default=True, help="times the usual load")
@click.option("--burst", default=2.0, show_default=True, help="times a kind's load")
@click.option(
    "--deployment",
    type=click.Choice(list(DEPLOYMENTS)),
    help="engines, gateways, delays and uneven demand of this deployment",
)
@click.option("--local/--not-local", "is_local", help="regard failure domains")
@click.option("--log", type=click.File(), help="take the arrivals from this log")
@click.option("--seed", "seeds", multiple=True, type=int, default=(1,))
def main(
    engines: int,
    gateways: int,
    seconds: float,
    factor: float,
    burst: float,
    deployment: str | None,
    is_local: bool,
    log: Iterable[str] | None,
    seeds: tuple[int, ...],
) -> None:
    """Print the outcomes for each kind of prompt."""
    logged = arrivals_from_log(log) if log is not None else None
    chosen = DEPLOYMENTS.get(deployment or "")
    for seed in seeds:
        rng = random.Random(seed)
        if chosen is not None:
            arrivals = chosen.draw_arrivals(rng, seconds, factor)
            fleet = GatewayFleet(
                chosen.engines, chosen.gateways, chosen.costs, seed, chosen, is_local
            )
        else:
            arrivals = logged or draw_arrivals(rng, seconds, factor, burst)
            fleet = GatewayFleet(engines, gateways, COSTS, seed)
        requests = fleet.replay(arrivals, rng)
        click.echo(f"seed {seed}: {len(requests)} prompts")
        for line in table(requests):
            click.echo("  " + line)


if __name__ == "__main__":
    main()
