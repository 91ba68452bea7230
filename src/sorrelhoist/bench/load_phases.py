"""Run one load plan without long prompts, with them, and through a domain change."""

import asyncio
import time
from collections.abc import Callable, Sequence

import attrs

from .fleet import Fleet
from .load_client import LoadRun, LoadTarget, Sample
from .load_plan import Arrival, LoadWorkspace, make_plan, without_long

PROGRESS_INTERVAL_S = 5.0
WARM_UP_TOKENS = 2_000
WARM_UP_OUTPUT_TOKENS = 4
# Fractions of the run after which the failure domain is taken out and brought back.
DOMAIN_OUT_FRACTION = 0.35
DOMAIN_BACK_FRACTION = 0.7

Echo = Callable[[str], None]


@attrs.frozen
class LoadShape:
    """Size and rate of a load.

    Parameters
    ----------
    seed : int
    requests_per_s : float
        Mean arrival rate.
    phase_s : float
        Duration of each of the three runs.
    longest_tokens : int
        Length of the longest prompt.
    max_requests : int
        Limit for each run.
    """

    seed: int
    requests_per_s: float
    phase_s: float
    longest_tokens: int
    max_requests: int


@attrs.frozen
class DomainChange:
    """Times at which a failure domain was taken out and brought back.

    Times are in seconds from the start of the run.
    """

    domain: str
    left_s: float
    returned_s: float


@attrs.frozen
class LoadRecord:
    """Results of all runs of a load.

    Parameters
    ----------
    shape : LoadShape
    alone, beside : list of Sample
        Results without and with the long requests of the plan.
    through_change : list of Sample
        Results of the run with a domain change; empty if there was none.
    change : DomainChange, optional
    """

    shape: LoadShape
    alone: list[Sample]
    beside: list[Sample]
    through_change: list[Sample]
    change: DomainChange | None


def with_domain_state(documents: Sequence[dict], domain: str, state: str) -> list[dict]:
    """Return a configuration with the state of one failure domain set."""
    return [
        d | {"state": state}
        if d["kind"] == "FailureDomain" and d["name"] == domain
        else d
        for d in documents
    ]


async def run_load(
    target: LoadTarget,
    workspaces: Sequence[LoadWorkspace],
    shape: LoadShape,
    echo: Echo,
    fleet: Fleet | None = None,
    domain: str = "",
) -> LoadRecord:
    """Run all phases of a load and return their results.

    Parameters
    ----------
    target : LoadTarget
    workspaces : sequence of LoadWorkspace
    shape : LoadShape
    echo : callable
        Gets lines of progress.
    fleet : Fleet, optional
        Without it, the run with a domain change is skipped.
    domain : str
        Failure domain that is taken out and brought back.

    Returns
    -------
    LoadRecord
    """
    plan = make_plan(
        shape.seed,
        workspaces,
        shape.requests_per_s,
        shape.phase_s,
        shape.longest_tokens,
        shape.max_requests,
    )
    await warm_up(target, workspaces[0], 40 if fleet else 4)
    echo("warmed up")
    alone = await run_with_progress(LoadRun(target, "alone"), without_long(plan), echo)
    beside = await run_with_progress(LoadRun(target, "beside"), plan, echo)
    if fleet is None:
        return LoadRecord(shape, alone, beside, [], None)
    run = LoadRun(target, "change")
    async with asyncio.TaskGroup() as group:
        samples = group.create_task(run_with_progress(run, plan, echo))
        change = group.create_task(change_domain(fleet, domain, shape.phase_s, echo))
    return LoadRecord(shape, alone, beside, samples.result(), change.result())


async def warm_up(target: LoadTarget, workspace: LoadWorkspace, count: int) -> None:
    """Send short prompts in sequence, so that no engine is cold in the runs."""
    run = LoadRun(target, "warm-up")
    for number in range(count):
        arrival = Arrival(number, 0.0, workspace, WARM_UP_TOKENS, WARM_UP_OUTPUT_TOKENS)
        await run.run([arrival])


async def run_with_progress(
    run: LoadRun, plan: Sequence[Arrival], echo: Echo
) -> list[Sample]:
    """Run a plan and report its progress."""
    started_s = time.monotonic()
    running = asyncio.ensure_future(run.run(plan))
    while True:
        done, _ = await asyncio.wait([running], timeout=PROGRESS_INTERVAL_S)
        elapsed_s = time.monotonic() - started_s
        echo(f"{run.name}: {len(run.samples)} of {len(plan)} after {elapsed_s:.0f} s")
        if done:
            running.result()
            return run.samples


async def change_domain(
    fleet: Fleet, domain: str, phase_s: float, echo: Echo
) -> DomainChange:
    """Take a failure domain out and bring it back at fixed fractions of a run."""
    started_s = time.monotonic()
    await asyncio.sleep(phase_s * DOMAIN_OUT_FRACTION)
    await apply_state(fleet, domain, "out")
    left_s = time.monotonic() - started_s
    echo(f"{domain} is out")
    await asyncio.sleep(
        max(0.0, started_s + phase_s * DOMAIN_BACK_FRACTION - time.monotonic())
    )
    await apply_state(fleet, domain, "in")
    returned_s = time.monotonic() - started_s
    echo(f"{domain} is in")
    return DomainChange(domain, left_s, returned_s)


async def apply_state(fleet: Fleet, domain: str, state: str) -> None:
    """Apply a configuration that sets the state of a failure domain.

    Raises
    ------
    RuntimeError
        If the entry did not accept the configuration.
    """
    response = await fleet.apply(with_domain_state(fleet.documents, domain, state))
    if response.code != 200:
        raise RuntimeError(f"apply failed: {response.body!r}; see the entry's log.")
