"""Generations over scripted attempts, and over a real agent and engine."""

import asyncio
import json

import attrs
import pytest

from sorrelhoist.decisions.retries import RetryBudget
from sorrelhoist.decisions.routing import RouteRequest, Target
from sorrelhoist.decisions.streams import Delivery
from sorrelhoist.entry import generation as generation_module
from sorrelhoist.entry.attempt import Broken, Finished
from sorrelhoist.entry.generation import Generation, GenerationContext
from sorrelhoist.entry.grants import HeldGrant, PendingRequest
from sorrelhoist.entry.placement import Placer
from sorrelhoist.exceptions import (
    DeadlineExceededError,
    EndpointFailedError,
    EndpointsStartingError,
    InvalidRequestError,
    OverloadedError,
)
from sorrelhoist.messages.gen import ttypes
from sorrelhoist.standins.engine_model import answer_text
from tests.entry.in_process import ENGINE, MODEL, running_system, until
from tests.virtual_loop import run_virtual

TOKENS = [f"w{i} " for i in range(6)]
HELD = HeldGrant(Target("e-1", "agent-1", "praha-a", 0), None, ttypes.Grant())
LOST = Broken("endpoint_died", "The endpoint died.")
MOVED = Broken("moved", "The endpoint is leaving.", planned=True)


@attrs.define
class Script:
    """Scripted placements and attempts, each used once and in order."""

    placements: list
    attempts: list
    delivered: list = attrs.field(factory=list)
    deaths: list = attrs.field(factory=list)
    balance: float = 100.0

    async def place(self, pending):
        self.delivered.append(pending.request.delivered_tokens)
        placement = self.placements.pop(0) if self.placements else HELD
        if isinstance(placement, Exception):
            raise placement
        return placement

    async def attempt(self, generation):
        for event in self.attempts.pop(0):
            if isinstance(event, int):
                start = generation.assembler.next_sequence
                generation.assembler.tokens += TOKENS[start:event]
                yield Delivery(start, TOKENS[start:event])
            else:
                yield event

    def run(self, timeout_s=60.0):
        async def main():
            clock = asyncio.get_running_loop().time
            placer = Placer(*[None] * 8, clock)
            retries = RetryBudget(floor_per_s=0.0, ratio=0.0)
            retries._balance = self.balance
            context = GenerationContext(placer, None, retries, clock, lambda: None)
            request = ttypes.GrantRequest(request_id="r")
            route = RouteRequest("m", "praha-a", 8, 6, (), False)
            own = Generation(
                context, PendingRequest(route, request, clock() + timeout_s), "prompt"
            )
            return [event async for event in own.events()]

        return run_virtual(main())


@pytest.fixture
def play(monkeypatch):
    def make(placements, attempts, **more):
        script = Script(placements, attempts, **more)
        monkeypatch.setattr(Placer, "place", lambda _, pending: script.place(pending))
        monkeypatch.setattr(Placer, "record_failure", lambda _, *failure: None)
        monkeypatch.setattr(Placer, "completed", lambda _, pending: None)
        own = lambda generation, placement: start(script, generation)  # noqa: E731
        monkeypatch.setattr(Generation, "_attempt", own)
        return script

    def start(script, generation):
        generation._is_submitted = True
        return script.attempt(generation)

    return make


END = Finished("stop", 2, 6)
BUSY = OverloadedError("No room.", not_run=True, retry_after_s=0.2)

STARTING = EndpointsStartingError("Cold.", not_run=True, retry_after_s=0.1)

COMPLETE = {
    "endpoints that start": ([STARTING, STARTING], [[6, END]], [0, 0, 0]),
    "at once": ([], [[6, END]], [0]),
    "another endpoint continues": ([], [[2, LOST], [6, END]], [0, 2]),
    "three deaths": ([], [[2, LOST], [LOST], [5, LOST], [6, END]], [0, 2, 2, 5]),
    "moved": ([], [[3, MOVED], [6, END]], [0, 3]),
    "no room for a while": ([HELD, BUSY, BUSY], [[3, LOST], [6, END]], [0, 3, 3, 3]),
}


@pytest.mark.parametrize("name", COMPLETE)
def test_answer_resumes_after_the_delivered_tokens(play, name):
    placements, attempts, delivered = COMPLETE[name]
    script = play(list(placements), list(attempts))
    events = script.run()
    assert events[-1] == END
    assert [t for event in events[:-1] for t in event.tokens] == TOKENS
    assert script.delivered == delivered


REFUSED = {
    "no room at all": ([BUSY], [], OverloadedError, True),
    "a wrong request": (
        [InvalidRequestError("Too long.", not_run=True)],
        [],
        InvalidRequestError,
        True,
    ),
    "no room till the deadline": (
        [HELD] + [BUSY] * 1000,
        [[2, LOST]],
        DeadlineExceededError,
        False,
    ),
    "refused after it ran": (
        [HELD, InvalidRequestError("Too long.", not_run=True)],
        [[2, LOST]],
        InvalidRequestError,
        False,
    ),
}


@pytest.mark.parametrize("name", REFUSED)
def test_not_run_is_set_only_when_nothing_ran(play, name):
    placements, attempts, kind, not_run = REFUSED[name]
    with pytest.raises(kind) as refused:
        play(list(placements), list(attempts)).run()
    assert refused.value.not_run is not_run


def test_losses_consume_the_retry_budget_and_planned_moves_do_not(play):
    with pytest.raises(EndpointFailedError) as failed:
        play([], [[LOST]] * 9, balance=2.0).run()
    assert not failed.value.not_run
    moves = [[MOVED]] * (generation_module.MAX_ATTEMPTS - 1)
    assert play([], [*moves, [6, END]], balance=0.0).run()[-1] == END


# Faults injected into a system of two engines while an answer is streamed.
FAULTS = {
    "readers are cut": {"drop_streams": 3},
    "lines come twice": {"duplicate_lines": 8},
    "lines are crossed": {"reorder_lines": 8},
    "the engine dies": {"die": True},
    "it falls into a cold start": {"cold": True},
    "cancels are ignored": {"ignore_cancel_count": 3},
}
SLOW = attrs.evolve(ENGINE, decode_step_s=0.01)


@pytest.mark.parametrize("name", FAULTS)
def test_engine_fault_keeps_the_answer_complete_and_frees_the_kv_cache(name):
    prompt, output_tokens = "a party " * 30, 60

    async def main():
        async with running_system(("e-1", "e-2"), SLOW) as system:
            body = {"model": MODEL, "prompt": prompt, "max_tokens": output_tokens}
            running = asyncio.ensure_future(system.post(body))
            await until(lambda: any(e.state.core.running for e in running_on(system)))
            await until(lambda: any(has_tokens(e) for e in running_on(system)))
            for endpoint, engine in system.engines.items():
                if engine.state.core.running:
                    await system.inject_faults(endpoint, **FAULTS[name])
            answer = await running
            text = json.loads(answer.body)["choices"][0]["text"]
            assert text == answer_text(prompt, output_tokens)
            await until(lambda: system.kv_used_tokens() == 0)

    asyncio.run(main())


def running_on(system):
    return [engine for engine in system.engines.values() if engine.state.core]


def has_tokens(engine):
    return any(stream.next_sequence for stream in engine.state.core.running.values())
