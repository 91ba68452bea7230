"""At-most-once calls under injected faults: each fault at each step, and pairs."""

import asyncio
import itertools

import pytest

from tests.agent.claims_world import Agent, World
from tests.virtual_loop import run_virtual

APPEND_FAULTS = (
    "refused",
    "rate_limited",
    "answer_lost",
    "not_sent",
    "late",
    "duplicated",
    "duplicated_late",
    "killed_before",
    "killed_after",
    "paused",
    "paused_after",
    "slow",
)
STEP_FAULTS = {
    "claim": APPEND_FAULTS,
    "void": APPEND_FAULTS,
    "outcome": APPEND_FAULTS,
    "read": (
        "refused",
        "duplicated",
        "reordered",
        "killed_before",
        "killed_after",
        "paused",
        "paused_after",
    ),
    "call": (
        "refused",
        "not_sent",
        "late",
        "answer_lost",
        "killed_before",
        "killed_after",
        "killed_late",
        "paused",
        "paused_after",
        "slow",
    ),
    "lookup": ("refused", "killed_before", "slow"),
}
FAULTS = [(step, fault) for step, faults in STEP_FAULTS.items() for fault in faults]
SETTLE_S = 60.0


def _plan(*faults):
    plan = {}
    for step, fault in faults:
        plan.setdefault(step, []).append(fault)
    if "void" in plan:
        # A void is only appended if the service is unreachable.
        plan.setdefault("call", []).insert(0, "refused")
    if "lookup" in plan:
        plan.setdefault("call", []).insert(0, "answer_lost")
    return plan


def _run(first_faults, second_faults=(), *, lookup=False, together=False):
    """Call with one key through two agents and a restart; return the answers."""

    async def main():
        world = World(offers_lookup=lookup)
        first = Agent(world, "a", _plan(*first_faults))
        second = Agent(world, "b", _plan(*second_faults))
        await asyncio.gather(first.ready(), second.ready())
        key = world.key()
        attempts = [first.attempt_call(key), second.attempt_call(key)]
        if together:
            answers = await asyncio.gather(*attempts)
        else:
            answers = [await attempt for attempt in attempts]
        await first.kill()
        restarted = Agent(world, "a")
        await restarted.ready()
        answers.append(await restarted.attempt_call(key))
        await asyncio.sleep(SETTLE_S)
        answers.append(await restarted.attempt_call(key))
        world.check()
        await asyncio.gather(restarted.kill(), second.kill())
        return world, answers

    return run_virtual(main())


@pytest.mark.parametrize("together", [False, True])
@pytest.mark.parametrize("lookup", [False, True])
@pytest.mark.parametrize(("step", "fault"), FAULTS)
def test_key_runs_at_most_once_under_one_fault(step, fault, lookup, together):
    world, answers = _run([(step, fault)], lookup=lookup, together=together)
    assert len(world.effects) <= 1


@pytest.mark.parametrize("lookup", [False, True])
@pytest.mark.parametrize("step", STEP_FAULTS)
def test_key_runs_at_most_once_under_two_faults(step, lookup):
    step_faults = [(step, fault) for fault in STEP_FAULTS[step]]
    for one, other in itertools.product(step_faults, FAULTS):
        if lookup and not {step, other[0]} & {"call", "lookup"}:
            continue
        _run([one, other], lookup=lookup)
        _run([one], [other], lookup=lookup, together=True)
