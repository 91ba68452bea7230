"""Stateful fuzz test: random ledger operations against a model that keeps only sums."""

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from returns.result import Success

from sorrelhoist.decisions.endpoint_limits import EndpointLimits
from sorrelhoist.decisions.grants import (
    AdmissionRequest,
    Cancelled,
    Completed,
    Denied,
    EndpointObservation,
    EngineHolding,
    Failed,
    Granted,
    Inventory,
    Queued,
)
from sorrelhoist.decisions.ledger import GrantLedger
from sorrelhoist.decisions.lifecycle import Phase

LIMITS = EndpointLimits(
    kv_capacity_tokens=1000,
    max_running_requests=6,
    cold_running_requests=2,
    prefill_tokens_per_s=500.0,
    long_prompt_tokens=200,
    max_queued_requests=5,
    lease_s=5.0,
    attach_grace_s=3.0,
    patience_s=2.0,
)
ENTRIES = st.sampled_from(["e1", "e2"])
PAUSES_S = st.sampled_from([0.0, 0.1, 0.1, 0.1, 1.0, 4.0, 6.0, 60.0])


@attrs.define
class TrackedGrant:
    """A grant in the reference model."""

    granted: Granted
    request: AdmissionRequest | None
    on_engine: bool = False


class LedgerMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.boot = 1
        self.ledger = GrantLedger(LIMITS, "l", self.now_s)
        self.grants: dict[str, TrackedGrant] = {}
        self.requests: dict[str, AdmissionRequest] = {}
        self.waiting: set[str] = set()
        self.closed: set[str] = set()
        self.warm_up()

    def warm_up(self):
        for _ in range(2):
            self.now_s += 1.0
            report = EndpointObservation(boot_id=f"b{self.boot}", is_cold=False)
            self.ledger.observe(report, self.now_s)
        for name in self.closed & {"domain", "stale", "leaving"}:
            self.set_closed(name, False)
        self.ledger.observe(report, self.now_s)
        self.closed.clear()

    def set_closed(self, reason, closed):
        match reason:
            case "domain":
                self.ledger.set_domain_in(not closed)
            case "stale":
                self.ledger.set_configuration_stale(closed)
            case "leaving":
                self.ledger.set_leaving(closed, self.now_s)

    # Reference model

    def decided(self, answer, was_queued):
        assert (answer.request_id in self.waiting) == was_queued
        self.waiting.discard(answer.request_id)
        if isinstance(answer, Granted):
            assert not self.closed
            assert answer.grant_id not in self.grants
            request = self.requests[answer.request_id]
            assert self.now_s <= request.deadline_s
            self.grants[answer.grant_id] = TrackedGrant(answer, request)
        else:
            assert answer.not_run and answer.remedy

    def on_engine(self):
        return [tracked for tracked in self.grants.values() if tracked.on_engine]

    def pick(self, draw, wanted):
        names = [name for name, tracked in self.grants.items() if wanted(tracked)]
        return draw(st.sampled_from(sorted(names))) if names else None

    # Actions of entries

    @rule(data=st.data(), entry=ENTRIES, count=st.integers(1, 6))
    def request(self, data, entry, count):
        for _ in range(count):
            prompt_tokens = data.draw(
                st.one_of(st.integers(1, 99), st.integers(1, 900))
            )
            request = AdmissionRequest(
                request_id=f"r{len(self.requests)}",
                workspace=data.draw(st.sampled_from(["w1", "w2", "w3"])),
                entry_id=entry,
                prompt_tokens=prompt_tokens,
                output_tokens=20,
                deadline_s=self.now_s + data.draw(st.sampled_from([0.5, 20.0, 200.0])),
                weight=data.draw(st.sampled_from([0.5, 1.0, 4.0])),
                alone=prompt_tokens % 10 == 3,
                may_queue=prompt_tokens % 10 > 0,
            )
            self.requests[request.request_id] = request
            self.take_answer(request, self.ledger.request(request, self.now_s))

    def take_answer(self, request, answer):
        if isinstance(answer, Queued):
            assert request.may_queue
            self.waiting.add(request.request_id)
            return
        self.decided(answer, was_queued=False)
        if isinstance(answer, Granted) and request.prompt_tokens % 2:
            self.submit_one(answer.grant_id)
        assert len(self.ledger.queue) <= LIMITS.max_queued_requests

    @rule()
    def pump(self):
        for answer in self.ledger.pump(self.now_s):
            self.decided(answer, was_queued=True)
        if self.closed:
            assert not self.waiting

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def withdraw(self, data):
        request_id = data.draw(st.sampled_from(sorted(self.waiting)))
        if self.ledger.withdraw(request_id):
            self.waiting.discard(request_id)

    @rule(data=st.data())
    def repeat_request(self, data):
        name = self.pick(data.draw, lambda tracked: tracked.request is not None)
        if name is None:
            return
        tracked = self.grants[name]
        in_use = self.ledger.holdings.of_request(tracked.request.request_id)
        if in_use is None or self.now_s >= in_use.expires_s:
            return
        again = self.ledger.request(tracked.request, self.now_s)
        assert again == tracked.granted or isinstance(again, Denied)

    @rule(data=st.data(), count=st.integers(1, 6))
    def submit(self, data, count):
        for _ in range(count):
            if name := self.pick(data.draw, lambda tracked: not tracked.on_engine):
                self.submit_one(name)

    def submit_one(self, name):
        if not isinstance(self.ledger.submitted(name, self.now_s), Success):
            del self.grants[name]
            return
        tracked = self.grants[name]
        assert not self.closed
        beside = self.on_engine()
        lanes = {other.granted.lane for other in beside}
        assert "alone" not in lanes
        assert tracked.granted.lane != "alone" or not beside
        assert len(beside) < self.ledger.health.slow_start.allowed_requests
        if self.ledger.health.phase is Phase.COLD:
            assert len(beside) < LIMITS.cold_running_requests
        tracked.on_engine = True
        again = self.ledger.submitted(name, self.now_s)
        assert not again.failure().not_run

    @rule(data=st.data())
    def first_token(self, data):
        if name := self.pick(data.draw, lambda tracked: tracked.on_engine):
            self.ledger.first_token(name, self.now_s)

    @rule(data=st.data(), outcome=st.sampled_from([Completed(), Failed(refused=True)]))
    def end(self, data, outcome):
        if name := self.pick(data.draw, lambda tracked: tracked.on_engine):
            self.ledger.release(name, self.now_s, outcome)
            del self.grants[name]

    @rule(data=st.data(), outcome=st.sampled_from([Cancelled(), Failed()]))
    def cancel(self, data, outcome):
        if name := self.pick(data.draw, lambda tracked: True):
            self.ledger.release(name, self.now_s, outcome)
            if not self.grants[name].on_engine:
                del self.grants[name]

    @rule(data=st.data())
    def confirm_cancels(self, data):
        for name in self.ledger.cancelling():
            if data.draw(st.booleans()):
                self.ledger.freed(name, self.now_s)
                del self.grants[name]

    @rule(data=st.data(), entry=ENTRIES)
    def renew(self, data, entry):
        self.ledger.renew(entry, sorted(self.grants), self.now_s)

    @rule(data=st.data(), entry=ENTRIES)
    def attach(self, data, entry):
        if name := self.pick(data.draw, lambda tracked: tracked.on_engine):
            request_id = self.grants[name].granted.request_id
            match self.ledger.attach(request_id, entry, self.now_s):
                case Success(granted):
                    assert granted.grant_id in self.grants
                    assert not self.ledger.renew(entry, [granted.grant_id], self.now_s)

    # Time, endpoint status and agent restarts

    @rule(count=st.integers(1, 8))
    def earn_allowance(self, count):
        for _ in range(count):
            self.ledger.health.completed(500, 6, 1000, self.now_s)

    @rule(pause_s=PAUSES_S)
    def pass_time(self, pause_s):
        self.now_s += pause_s

    @rule()
    def expire(self):
        expired = self.ledger.expired(self.now_s)
        for name in expired.dropped:
            assert not self.grants.pop(name).on_engine
        for name in expired.orphaned + expired.to_cancel:
            assert self.grants[name].on_engine

    @rule(
        reboot=st.sampled_from([False] * 7 + [True]),
        is_cold=st.sampled_from([False] * 5 + [True]),
        age_s=st.sampled_from([0.0, 0.5, 2.0]),
        kv=st.one_of(st.just(0), st.integers(0, 1200)),
        running=st.one_of(st.just(0), st.integers(0, 8)),
        capacity=st.sampled_from([0, 0, 800, 5000]),
    )
    def observe(self, reboot, is_cold, age_s, kv, running, capacity):
        self.boot += reboot
        report = EndpointObservation(
            boot_id=f"b{self.boot}",
            is_cold=is_cold,
            kv_used_tokens=kv,
            kv_capacity_tokens=capacity,
            running_requests=running,
            report_age_s=age_s,
        )
        lost = self.ledger.observe(report, self.now_s)
        if lost:
            assert set(lost) == set(self.grants)
            self.grants.clear()
        if self.ledger.health.lifecycle.phase in (Phase.UNKNOWN, Phase.GONE):
            self.closed.add("unknown")
        else:
            self.closed.discard("unknown")

    @precondition(lambda self: not self.closed)
    @rule(
        reason=st.sampled_from(["domain", "stale", "leaving", "unknown"] + ["none"] * 8)
    )
    def close(self, reason):
        if reason == "none":
            return
        if reason == "unknown":
            self.ledger.unreachable(self.now_s)
        self.set_closed(reason, True)
        self.closed.add(reason)

    @precondition(lambda self: self.closed)
    @rule()
    def reopen(self):
        self.warm_up()

    @precondition(lambda self: not self.grants)
    @rule(kv=st.integers(1, 300))
    def restart_agent(self, kv):
        self.ledger = GrantLedger(LIMITS, f"l{self.now_s}", self.now_s)
        self.waiting.clear()
        self.closed.clear()
        self.warm_up()
        found = EngineHolding(holding_id="old", request_id="old", kv_tokens=kv)
        inventory = Inventory(f"b{self.boot}", (found,))
        assert self.ledger.adopt(inventory, self.now_s) == ("old",)
        assert self.ledger.adopt(inventory, self.now_s) == ()
        granted = self.ledger.answer(self.ledger.holdings.get("old"))
        self.grants["old"] = TrackedGrant(granted, None, on_engine=True)

    # Invariants

    @invariant()
    def sums_are_right_and_within_bounds(self):
        usage = self.ledger.usage
        tracked = list(self.grants.values())
        assert usage.kv_tokens == sum(item.granted.kv_tokens for item in tracked)
        assert usage.requests == len(tracked)
        assert usage.kv_tokens <= LIMITS.kv_capacity_tokens
        assert usage.requests <= LIMITS.max_running_requests
        assert usage.long_kv_tokens <= LIMITS.long_kv_tokens
        assert usage.long_requests <= LIMITS.long_running_requests

    def teardown(self):
        self.ledger.expired(self.now_s)
        for name in list(self.grants):
            self.ledger.release(name, self.now_s, Cancelled())
        for name in self.ledger.cancelling():
            self.ledger.freed(name, self.now_s)
        assert self.ledger.usage.kv_tokens == self.ledger.usage.requests == 0
        self.now_s += 1000.0
        for answer in self.ledger.pump(self.now_s):
            assert isinstance(answer, Denied)
            self.decided(answer, was_queued=True)
        assert not self.waiting
        self.ledger.dump()


TestLedgerFuzz = LedgerMachine.TestCase
