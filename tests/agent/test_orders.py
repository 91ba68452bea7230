"""Orders through the real I/O layer: a stale agent and its successor, under faults."""

import asyncio
import itertools
import random
from contextlib import asynccontextmanager

import attrs
import pytest

from sorrelhoist.agent.orders import EndpointOrders, OrderHooks
from sorrelhoist.clients.engine_messages import EngineStatus, Ordered
from sorrelhoist.clients.exceptions import (
    EngineRefusedError,
    EngineUnreachableError,
    WeightsRateLimitedError,
)
from sorrelhoist.decisions.orders import OrderOptions
from sorrelhoist.decisions.orders_placement import Desired
from sorrelhoist.decisions.orders_registrations import (
    Registration,
    encode_registration,
)
from tests.agent.claims_world import LATE_DELIVERY_S, PAUSE_S, LogPort, World
from tests.virtual_loop import run_virtual

LOAD_S = 3.0
REPORT_LAG_S = 0.5
RETRY_AFTER_S = 15.0
SETTLE_S = 400.0
# One polling interval, the report lag, the load jitter, the store and the load.
REPAIR_S = 45.0
OPTIONS = OrderOptions(fences=True, max_order_duration_s=20.0, load_jitter_s=5.0)


@attrs.define
class Engine:
    """Engine that all agents of one endpoint share; `executed` lists its loads."""

    fences: bool
    model: str = ""
    version: str = ""
    highest_fencing: int = 0
    executed: list = attrs.field(factory=list)  # (time, agent, fencing)

    def accepts_fencing(self, fencing):
        if self.fences and fencing < self.highest_fencing:
            return False
        if self.fences:
            self.highest_fencing = fencing
        return True

    def load(self, agent, order, now_s):
        if not self.accepts_fencing(order.fencing):
            raise EngineRefusedError("stale_fencing", "stale", 409)
        if order.action == "load":
            self.model, self.version = order.model, order.version
            self.executed.append((now_s, agent, order.fencing))


class Node(LogPort):
    """Process of one agent, with a fixed desired version."""

    def __init__(self, world, engine, name, version, faults=(), **options):
        super().__init__(world, faults)
        self.engine, self.name = engine, name
        self.desired = Desired("clown", version)
        self.is_drained = False
        self.drain_s = 0.0
        self.loaded_at_s = []
        self.orders = EndpointOrders(
            Registration("praha-a-1", "n", name),
            self,
            self,
            self,
            attrs.evolve(OPTIONS, fences=engine.fences, **options),
            OrderHooks(lambda: self.desired, lambda: True, self.drained),
            clock=lambda: world.now_s,
            rng=random.Random(name),
            is_gone=lambda registration: registration.boot_id in world.answers,
        )
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self):
        running = asyncio.create_task(self.orders.run())
        await self.killed.wait()
        running.cancel()
        # Marks this process as dead for `is_gone` of the other agents.
        self.world.answers[self.name] = None

    @asynccontextmanager
    async def drained(self):
        self.is_drained = True
        await asyncio.sleep(self.drain_s)
        yield
        self.is_drained = False

    async def status(self):
        await self._fault("status")
        engine = self.engine
        return EngineStatus(
            boot_id="e",
            state="serving",
            model=engine.model,
            version=engine.version,
            kv_capacity_tokens=1,
            kv_used_tokens=0,
            running_requests=0,
            prefill_tokens_per_s=1.0,
            report_age_ms=int(REPORT_LAG_S * 1000),
            highest_fencing=engine.highest_fencing,
        )

    async def order(self, order):
        fault = await self._fault("order")
        if order.action == "load":
            assert self.is_drained
        if fault == "refused":
            raise EngineRefusedError("busy", "busy", 503)
        if fault == "not_sent":
            raise EngineUnreachableError("cut")
        if fault == "late":
            self.world.later(
                LATE_DELIVERY_S, lambda: self._execute_unless_refused(order)
            )
            raise EngineUnreachableError("cut")
        if fault == "paused_sending":
            # The process is paused after its check and sends the order on resuming.
            self.world.later(PAUSE_S, lambda: self._execute_unless_refused(order))
            await asyncio.sleep(PAUSE_S)
        if order.action == "load":
            await asyncio.sleep(LOAD_S)
        self.engine.load(self.name, order, self.world.now_s)
        if fault == "duplicated":
            self._execute_unless_refused(order)
        if fault == "answer_lost":
            raise EngineUnreachableError("cut")
        await self._after(fault)
        return Ordered(self.engine.model, self.engine.version, "")

    def _execute_unless_refused(self, order):
        try:
            self.engine.load(self.name, order, asyncio.get_running_loop().time())
        except EngineRefusedError:
            pass

    async def load(self, model, version):
        if await self._fault("weights") == "rate_limited":
            raise WeightsRateLimitedError("slow down", retry_after_s=RETRY_AFTER_S)
        self.loaded_at_s.append(self.world.now_s)


STEP_FAULTS = {
    "registration": (
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
    ),
    "read": ("refused", "killed_before", "killed_after", "paused", "paused_after"),
    "status": ("killed_before", "paused"),
    "weights": ("rate_limited", "killed_before", "paused"),
    "order": (
        "refused",
        "not_sent",
        "late",
        "answer_lost",
        "duplicated",
        "killed_before",
        "killed_after",
        "paused_sending",
        "paused_after",
    ),
}
FAULTS = [(step, fault) for step, faults in STEP_FAULTS.items() for fault in faults]
SENT_LATE = {("order", "late"), ("order", "paused_sending")}


def _plan(faults):
    plan = {}
    for step, fault in faults:
        plan.setdefault(step, []).append(fault)
    return plan


def _run(old_faults, new_faults, *, fences, after_s):
    """Check that the successor's version 2 finally replaces the stale agent's 1."""

    async def main():
        world, engine = World(), Engine(fences)
        old = Node(world, engine, "old", "1", _plan(old_faults))
        await asyncio.sleep(after_s)
        new = Node(world, engine, "new", "2", _plan(new_faults))
        await asyncio.sleep(SETTLE_S)
        if new.killed.is_set() or new.orders.reconciler.replaced:
            # The successor was killed, or the stale agent is alive and its delayed
            # registration came last: the platform replaces both.
            for node in (old, new):
                node.killed.set()
            await asyncio.sleep(1.0)
            new = Node(world, engine, "third", "2")
            await asyncio.sleep(SETTLE_S)
        assert (engine.model, engine.version) == ("clown", "2")
        late = {*old_faults, *new_faults} & SENT_LATE
        check_stale_orders(engine, late)
        for node in (old, new):
            node.killed.set()
        await asyncio.sleep(1.0)
        world.stop()

    run_virtual(main())


def check_stale_orders(engine, sent_late):
    """Check that no stale order is executed.

    Without fencing an order that was sent late can be executed; then the successor
    must repair its effect within `REPAIR_S`.
    """
    highest, stale = 0, []
    for at_s, _, fencing in engine.executed:
        if fencing < highest:
            stale.append(at_s)
        highest = max(highest, fencing)
    if engine.fences or not sent_late:
        assert not stale, engine.executed
    repairs = [at_s for at_s, _, fencing in engine.executed if fencing == highest]
    for at_s in stale:
        assert min(time for time in repairs if time > at_s) - at_s < REPAIR_S


@pytest.mark.parametrize("after_s", [0.0, 12.0, 45.0])
@pytest.mark.parametrize("fences", [True, False])
@pytest.mark.parametrize("fault", FAULTS, ids="-".join)
def test_successor_prevails_under_one_fault(fault, fences, after_s):
    _run([fault], [], fences=fences, after_s=after_s)
    _run([], [fault], fences=fences, after_s=after_s)


@pytest.mark.parametrize("fences", [True, False])
@pytest.mark.parametrize("step", STEP_FAULTS)
def test_successor_prevails_under_two_faults(step, fences):
    step_faults = [(step, fault) for fault in STEP_FAULTS[step]]
    for one, other in itertools.product(step_faults, FAULTS):
        _run([one, other], [], fences=fences, after_s=4.0 if fences else 45.0)
        _run([one], [other], fences=fences, after_s=4.0 if fences else 45.0)


@pytest.mark.parametrize("fences", [True, False])
def test_agent_cut_off_from_the_log_sends_no_orders(fences):
    async def main():
        world, engine = World(), Engine(fences)
        old = Node(world, engine, "old", "1")
        await asyncio.sleep(60.0)
        assert engine.version == "1"
        old.faults["read"] = ["refused"] * 10_000
        new = Node(world, engine, "new", "2")
        await asyncio.sleep(SETTLE_S)
        assert [who for _, who, _ in engine.executed] == ["old", "new"]
        for node in (old, new):
            node.killed.set()
        await asyncio.sleep(1.0)

    run_virtual(main())


@pytest.mark.parametrize("fences", [True, False])
def test_agent_replaced_while_draining_withholds_its_order(fences):
    async def main():
        world, engine = World(), Engine(fences)
        old = Node(world, engine, "old", "1")
        old.drain_s = 200.0
        await asyncio.sleep(45.0)
        assert old.is_drained
        new = Node(world, engine, "new", "2")
        await asyncio.sleep(SETTLE_S)
        assert [who for _, who, _ in engine.executed] == ["new"]
        counters = old.orders.counters
        # An engine with fencing refuses the order; otherwise the agent withholds it.
        assert (counters.failures, counters.withheld) == (fences, not fences)
        for node in (old, new):
            node.killed.set()
        await asyncio.sleep(1.0)

    run_virtual(main())


def test_agent_registers_again_after_late_registration_of_dead_agent():
    async def main():
        world, engine = World(), Engine(True)
        node = Node(world, engine, "new", "2")
        await asyncio.sleep(60.0)
        world.put([encode_registration(Registration("praha-a-1", "n", "old"))])
        await asyncio.sleep(SETTLE_S)
        assert node.orders.reconciler.replaced
        world.answers["old"] = None  # known to be dead
        node.desired = Desired("clown", "3")
        await asyncio.sleep(SETTLE_S)
        assert engine.version == "3" and node.orders.reconciler.fencing == 3
        node.killed.set()
        await asyncio.sleep(1.0)

    run_virtual(main())


def test_rate_limited_load_is_retried_and_loads_are_jittered():
    async def main():
        world = World()
        nodes = [
            Node(
                world,
                Engine(True),
                f"n{index}",
                "1",
                {"weights": ["rate_limited"]} if index == 0 else {},
                load_jitter_s=100.0,
            )
            for index in range(20)
        ]
        for index, node in enumerate(nodes):
            node.orders._registration_tracker._registration = Registration(
                f"e{index}", "n", "b"
            )
        begun_s = world.now_s
        await asyncio.sleep(150.0)
        times = sorted(node.loaded_at_s[0] - begun_s for node in nodes[1:])
        gaps = [later - sooner for sooner, later in itertools.pairwise(times)]
        assert max(gaps) < 40.0 and times[-1] - times[0] > 50.0
        assert nodes[0].orders.counters.loads == 2
        for node in nodes:
            node.killed.set()
        await asyncio.sleep(1.0)

    run_virtual(main())
