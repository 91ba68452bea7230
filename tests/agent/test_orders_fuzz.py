"""Stateful property test of orders: agents that start, pause, die or register late."""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.agent.claims_world import World
from tests.agent.test_orders import (
    SENT_LATE,
    SETTLE_S,
    STEP_FAULTS,
    Engine,
    Node,
    check_stale_orders,
)
from tests.virtual_loop import VirtualLoop

PLANS = st.lists(
    st.sampled_from(list(STEP_FAULTS)).flatmap(
        lambda step: st.tuples(st.just(step), st.sampled_from(STEP_FAULTS[step]))
    ),
    max_size=4,
)


class OrdersMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.nodes = []
        self.sent_late = set()

    @initialize(fences=st.booleans())
    def begin(self, fences):
        self.world, self.engine = World(), Engine(fences)
        self.start([])

    @rule(plan=PLANS)
    def start(self, plan):
        name = str(len(self.nodes) + 1)

        async def make():
            self.nodes.append(Node(self.world, self.engine, name, name))

        self.loop.run_until_complete(make())
        self.plan_faults(len(self.nodes) - 1, plan)

    @rule(index=st.integers(0, 5), plan=PLANS)
    def plan_faults(self, index, plan):
        node = self.nodes[index % len(self.nodes)]
        self.sent_late |= SENT_LATE & set(plan)
        for step, fault in plan:
            node.faults.setdefault(step, []).append(fault)

    @rule(index=st.integers(0, 5))
    def kill(self, index):
        self.nodes[index % len(self.nodes)].killed.set()

    @rule()
    def endpoint_restarts(self):
        self.engine.model = self.engine.version = ""
        # A restart loses the highest fencing number; loads from before it no longer
        # count when the order of fencing numbers is checked.
        self.engine.highest_fencing = 0
        self.engine.executed.clear()

    @rule(down=st.booleans())
    def outage(self, down):
        self.world.log_down = down

    @rule(seconds=st.sampled_from((0.01, 1.0, 8.0, 30.0, 120.0)))
    def advance(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @invariant()
    def no_stale_order_is_executed(self):
        if self.nodes and self.engine.fences:
            check_stale_orders(self.engine, self.sent_late)

    def teardown(self):
        if self.nodes:
            self._settle()
        self.loop.close()

    def _settle(self):
        self.world.log_down = False
        for node in self.nodes:
            node.killed.set()
        self.start([])
        self.advance(SETTLE_S)
        newest = self.nodes[-1]
        assert self.engine.version == newest.name, newest.orders.dump()
        check_stale_orders(self.engine, self.sent_late)
        newest.killed.set()
        self.advance(1.0)
        self.world.stop()
        self.advance(0.0)


TestOrdersFuzz = OrdersMachine.TestCase
