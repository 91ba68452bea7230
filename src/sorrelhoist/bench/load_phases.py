"""The runs of one load: without long prompts, with them, through a domain change."""

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
# Part of the run at which the failure domain leaves, and returns.
LEAVES_AT = 0.35
RETURNS_AT = 0.7

Echo = Callable[[str], None]


@attrs.frozen
class LoadShape:
    """What is sent.

    Parameters
    ----------
    seed : int
    requests_per_s : float
    phase_s : float
        Length of each of the three runs.
    longest_tokens : int
    max_requests : int
        Of each run.
    """

    seed: int
    requests_per_s: float
    phase_s: float
    longest_tokens: int
    max_requests: int


@attrs.frozen
class DomainChange:
    """When a failure domain left and came back, seconds of its run."""

    domain: str
    left_s: float
    returned_s: float


@attrs.frozen
class LoadRecord:
    """All that was measured.

    Parameters
    ----------
    shape : LoadShape
    alone, beside : list of Sample
        The plan without, and with, its long requests.
    through_change : list of Sample
        Empty if no failure domain was changed.
    change : DomainChange, optional
    """

    shape: LoadShape
    alone: list[Sample]
    beside: list[Sample]
    through_change: list[Sample]
    change: DomainChange | None


def domain_state(documents: Sequence[dict], domain: str, state: str) -> list[dict]:
    """Return a configuration with one failure domain in or out."""
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
    """Run the whole load.

    Parameters
    ----------
    target : LoadTarget
    workspaces : sequence of LoadWorkspace
    shape : LoadShape
    echo : callable
        Gets lines of progress.
    fleet : Fleet, optional
        Without it no failure domain is changed.
    domain : str
        The one that leaves and returns.
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
    alone = await watched(LoadRun(target, "alone"), without_long(plan), echo)
    beside = await watched(LoadRun(target, "beside"), plan, echo)
    if fleet is None:
        return LoadRecord(shape, alone, beside, [], None)
    run = LoadRun(target, "change")
    async with asyncio.TaskGroup() as group:
        samples = group.create_task(watched(run, plan, echo))
        change = group.create_task(change_domain(fleet, domain, shape.phase_s, echo))
    return LoadRecord(shape, alone, beside, samples.result(), change.result())


async def warm_up(target: LoadTarget, workspace: LoadWorkspace, count: int) -> None:
    """Send short prompts, one after the other, so that no engine is cold."""
    run = LoadRun(target, "warm-up")
    for number in range(count):
        arrival = Arrival(number, 0.0, workspace, WARM_UP_TOKENS, WARM_UP_OUTPUT_TOKENS)
        await run.run([arrival])


async def watched(run: LoadRun, plan: Sequence[Arrival], echo: Echo) -> list[Sample]:
    """Run a plan and tell how far it is."""
    started_s = time.monotonic()
    running = asyncio.ensure_future(run.run(plan))
    while True:
        done, _ = await asyncio.wait([running], timeout=PROGRESS_INTERVAL_S)
        passed_s = time.monotonic() - started_s
        echo(f"{run.name}: {len(run.samples)} of {len(plan)} after {passed_s:.0f} s")
        if done:
            running.result()
            return run.samples


async def change_domain(
    fleet: Fleet, domain: str, phase_s: float, echo: Echo
) -> DomainChange:
    """Take a failure domain out and bring it back."""
    started_s = time.monotonic()
    await asyncio.sleep(phase_s * LEAVES_AT)
    await apply_state(fleet, domain, "out")
    left_s = time.monotonic() - started_s
    echo(f"{domain} is out")
    await asyncio.sleep(max(0.0, started_s + phase_s * RETURNS_AT - time.monotonic()))
    await apply_state(fleet, domain, "in")
    returned_s = time.monotonic() - started_s
    echo(f"{domain} is in")
    return DomainChange(domain, left_s, returned_s)


async def apply_state(fleet: Fleet, domain: str, state: str) -> None:
    """Apply the state of a failure domain.

    Raises
    ------
    RuntimeError
        If it was not accepted.
    """
    response = await fleet.apply(domain_state(fleet.documents, domain, state))
    if response.code != 200:
        raise RuntimeError(f"apply failed: {response.body!r}; see the entry's log.")
