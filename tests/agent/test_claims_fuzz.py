"""Stateful property test of at-most-once calls under faults in any order."""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from sorrelhoist.decisions.idempotency import KeyWindow
from sorrelhoist.exceptions import SorrelhoistError
from tests.agent.claims_world import Agent, World
from tests.agent.test_claims_faults import STEP_FAULTS
from tests.virtual_loop import VirtualLoop

NODES = ("a", "b", "c")
WINDOW = KeyWindow(window_s=60.0, skew_s=1.0, max_budget_s=10.0)
SETTLE_S = 30.0
PLANS = st.lists(
    st.sampled_from(list(STEP_FAULTS)).flatmap(
        lambda step: st.tuples(st.just(step), st.sampled_from(STEP_FAULTS[step]))
    ),
    max_size=4,
)


class ClaimsMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.agents = {}
        self.keys = []
        self.attempts = []

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @initialize(lookup=st.booleans(), seed=st.integers(0, 1000))
    def begin(self, lookup, seed):
        self.world = World(offers_lookup=lookup, seed=seed)
        for node in NODES:
            self.restart(node, [])
        self.new_key()

    @rule()
    def new_key(self):
        async def make():
            self.keys.append(self.world.key())
            await asyncio.sleep(0.1)

        self.run(make())

    @rule(
        node=st.sampled_from(NODES),
        index=st.integers(0, 3),
        budget_s=st.sampled_from((0.2, 2.0, 10.0)),
    )
    def call(self, node, index, budget_s):
        key = self.keys[-1 - index % len(self.keys)]
        attempt = self.agents[node].attempt_call(key, budget_s=budget_s)
        self.attempts.append(self.loop.create_task(attempt))
        self.advance(0.0)

    @rule(node=st.sampled_from(NODES), plan=PLANS)
    def plan_faults(self, node, plan):
        for step, fault in plan:
            self.agents[node].faults.setdefault(step, []).append(fault)

    @rule(node=st.sampled_from(NODES), plan=PLANS)
    def restart(self, node, plan):
        if node in self.agents:
            self.run(self.agents[node].kill())

        async def start():
            self.agents[node] = Agent(self.world, node, window=WINDOW)
            # A later time gives the next agent another random seed; usually the agent
            # also becomes ready.
            await asyncio.sleep(0.1)

        self.run(start())
        self.plan_faults(node, plan)

    @rule(down=st.booleans())
    def outage(self, down):
        self.world.log_down = down

    @rule(kept=st.integers(0, 6))
    def expire_records(self, kept):
        """Drop records earlier than the retention period allows."""
        first_offset = max(1, len(self.world.records) + 1 - kept)
        self.world.first_offset = max(self.world.first_offset, first_offset)

    @rule(seconds=st.sampled_from((0.005, 0.05, 1.0, 8.0, 40.0)))
    def advance(self, seconds):
        self.run(asyncio.sleep(seconds))

    @invariant()
    def reported_outcomes_match_effects(self):
        if hasattr(self, "world"):
            self.world.check()
        for attempt in self.attempts:
            if attempt.done():
                assert not attempt.exception()

    def teardown(self):
        if hasattr(self, "world"):
            self._settle()
        self.loop.close()

    def _settle(self):
        self.world.log_down = False
        for node in NODES:
            self.agents[node].faults = {}
        self.advance(SETTLE_S)
        self.reported_outcomes_match_effects()
        for node in NODES:
            self.restart(node, [])
        self.advance(SETTLE_S)
        for key in self.keys[-2:]:
            self._same_answer_everywhere(key)
        self.reported_outcomes_match_effects()
        for agent in self.agents.values():
            self.run(agent.kill())
        self.world.stop()
        self.advance(0.0)

    def _same_answer_everywhere(self, key):
        answers = [self.run(agent.attempt_call(key)) for agent in self.agents.values()]
        kinds = {
            answer.kind if isinstance(answer, SorrelhoistError) else answer.body
            for answer in answers
        }
        assert len(kinds) == 1, answers


TestClaimsFuzz = ClaimsMachine.TestCase
