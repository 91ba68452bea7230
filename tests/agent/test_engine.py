"""Engine guard against a stand-in engine on the same event loop."""

import asyncio
from contextlib import asynccontextmanager

import attrs
import pytest

from sorrelhoist.agent.engine import EngineGuard
from sorrelhoist.clients.engine import EngineClient
from sorrelhoist.decisions.endpoint_limits import EndpointLimits
from sorrelhoist.decisions.ledger import GrantLedger
from sorrelhoist.messages.gen import ttypes
from sorrelhoist.node.metrics import AgentMetrics, ProcessMetrics
from sorrelhoist.standins.engine_model import answer_text
from sorrelhoist.standins.engine_options import EngineOptions
from sorrelhoist.standins.testing import running_engine
from tests.entry.in_process import until
from tests.standins.support import inject_faults

MODEL = "clown-large"
OPTIONS = EngineOptions(
    start_cold=False,
    prefill_tokens_per_s=1e6,
    decode_step_s=0.002,
    restart_s=0.05,
    report_lag_s=0.0,
    kv_capacity_tokens=100_000,
)
LIMITS = EndpointLimits(
    kv_capacity_tokens=100_000,
    max_running_requests=8,
    cold_running_requests=2,
    prefill_tokens_per_s=1e6,
    long_prompt_tokens=50_000,
    lease_s=30.0,
    attach_grace_s=30.0,
)


@attrs.define(eq=False)
class Inbox:
    """Responder that collects the replies to one call."""

    replies: list = attrs.field(factory=list)

    async def send(self, body):
        self.replies.append(body)

    @property
    def tokens(self):
        found = {}
        for piece in self.replies:
            if isinstance(piece, ttypes.Piece):
                found |= dict(enumerate(piece.tokens, piece.sequence))
        return [found[index] for index in sorted(found)]

    def last(self):
        return self.replies[-1] if self.replies else None


@attrs.define
class Deaths:
    seen: list = attrs.field(factory=list)
    completed: list = attrs.field(factory=list)


class Clock:
    """Event loop time, which a test can advance."""

    def __init__(self):
        self.ahead_s = 0.0

    def __call__(self):
        return asyncio.get_running_loop().time() + self.ahead_s


def make_guard(url, clock, ledger_id="a", limits=LIMITS, deaths=None):
    deaths = deaths or Deaths()
    meter = ProcessMetrics("agent-1", "agent").meter
    return EngineGuard(
        endpoint="e-1",
        client=EngineClient(url),
        ledger=GrantLedger(limits, ledger_id, clock()),
        metrics=AgentMetrics.create(meter),
        clock=clock,
        is_suspected=lambda fingerprint: False,
        on_death=lambda boot_id, fingerprints: deaths.seen.append(
            (boot_id, fingerprints)
        ),
        on_completed=deaths.completed.append,
    )


@asynccontextmanager
async def watching(guard):
    await guard.monitor.poll()
    work = asyncio.create_task(guard.run())
    try:
        yield guard
    finally:
        work.cancel()
        for task in [*guard._drivers.values(), *guard.cancels.tasks.values()]:
            task.cancel()


@asynccontextmanager
async def guarded(options=OPTIONS, **more):
    clock = Clock()
    async with running_engine(options) as engine:
        async with watching(make_guard(engine.url, clock, **more)) as guard:
            yield guard, engine, clock


def request(
    request_id="r",
    entry_id="entry-1",
    fingerprint=1,
    prompt_tokens=20,
    output_tokens=200,
):
    return ttypes.GrantRequest(
        request_id=request_id,
        workspace="desk",
        model=MODEL,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        budget_ms=60_000,
        entry_id=entry_id,
        fingerprint=fingerprint,
        weight=1.0,
        group_id="",
        delivered_tokens=0,
        kv_share_tokens=0,
    )


async def start(guard, request_id="r", output_tokens=200, prompt="a party", **more):
    """Get a grant and submit; return the grant id, reading task and inbox."""
    inbox = Inbox()
    await guard.grant(request(request_id, output_tokens=output_tokens, **more), inbox)
    grant = inbox.last()
    assert isinstance(grant, ttypes.Grant), grant
    submit = ttypes.Submit(
        grant_id=grant.grant_id,
        request_id=request_id,
        prompt=prompt,
        output_tokens=output_tokens,
        delivered=[],
        group_endpoints=[],
        model=MODEL,
    )
    inbox = Inbox()
    reading = asyncio.create_task(guard.submit(submit, inbox))
    return grant.grant_id, reading, inbox


async def attach(guard, from_sequence=0, entry_id="entry-2", request_id="r"):
    inbox = Inbox()
    call = ttypes.Attach(
        request_id=request_id, from_sequence=from_sequence, entry_id=entry_id
    )
    reading = asyncio.create_task(guard.attach(call, inbox))
    await until(lambda: inbox.replies)
    return reading, inbox


def kv_used_tokens_of(engine):
    return engine.state.core.kv_used_tokens


def expected_text(output_tokens=200):
    return answer_text("a party", output_tokens)


def test_stream_is_relayed_completely_and_its_kv_cache_freed():
    deaths = Deaths()

    async def main():
        async with guarded(deaths=deaths) as (guard, engine, _):
            _, reading, inbox = await start(guard)
            await reading
            assert "".join(inbox.tokens) == expected_text()
            assert inbox.last().total_tokens == 200
            assert kv_used_tokens_of(engine) == 0 and not guard.ledger.usage.kv_tokens

    asyncio.run(main())
    assert deaths.completed == [1]


def test_lapsed_lease_is_cancelled_until_the_engine_confirms():
    async def main():
        async with guarded() as (guard, engine, clock):
            await start(guard, output_tokens=5_000)
            await until(lambda: kv_used_tokens_of(engine))
            await inject_faults(engine, ignore_cancel_count=3)
            clock.ahead_s += LIMITS.lease_s + 1
            await until(lambda: orphaned(guard))
            assert kv_used_tokens_of(engine)
            clock.ahead_s += LIMITS.attach_grace_s + 1
            await until(guard.ledger.cancelling)
            counted = guard.ledger.usage.kv_tokens
            assert counted, "KV cache counts as used until the engine confirms it"
            await until(lambda: not guard.ledger.usage.kv_tokens)
            assert kv_used_tokens_of(engine) == 0
            assert engine.state.faults.ignore_cancel_count == 0

    asyncio.run(main())


def orphaned(guard):
    holding = guard.ledger.holdings.of_request("r")
    return holding is not None and holding.state.name == "ORPHANED"


def test_renewed_lease_keeps_the_stream_running():
    async def main():
        async with guarded() as (guard, _, clock):
            grant_id, reading, inbox = await start(guard, output_tokens=400)
            for _ in range(10):
                clock.ahead_s += LIMITS.lease_s * 0.6
                renewed = guard.renew(ttypes.Renew("entry-1", [grant_id, "other"]))
                assert renewed.unknown_grant_ids == ["other"]
                guard._run_housekeeping()
            await reading
            assert "".join(inbox.tokens) == expected_text(400)

    asyncio.run(main())


def test_grant_not_used_before_its_lease_lapses_is_denied():
    async def main():
        async with guarded() as (guard, engine, clock):
            inbox = Inbox()
            await guard.grant(request(), inbox)
            grant_id = inbox.last().grant_id
            clock.ahead_s += LIMITS.lease_s + 1
            submit = ttypes.Submit(grant_id=grant_id, request_id="r", prompt="a party")
            await guard.submit(submit, inbox)
            assert isinstance(inbox.last(), ttypes.Denial) and inbox.last().not_run
            assert kv_used_tokens_of(engine) == 0 and not guard.ledger.usage.kv_tokens

    asyncio.run(main())


def test_another_entry_takes_over_an_orphaned_stream():
    async def main():
        async with guarded() as (guard, _, clock):
            _, reading, first = await start(guard, output_tokens=400)
            await until(lambda: len(first.tokens) > 5)
            reading.cancel()
            clock.ahead_s += LIMITS.lease_s + 1
            await until(lambda: orphaned(guard))
            second, inbox = await attach(guard, from_sequence=5)
            assert isinstance(inbox.replies[0], ttypes.Grant)
            clock.ahead_s += LIMITS.attach_grace_s / 2
            guard._run_housekeeping()
            await second
            assert "".join(first.tokens[:5] + inbox.tokens) == expected_text(400)

    asyncio.run(main())


def test_duplicate_request_attaches_and_inherits_the_lease():
    async def main():
        async with guarded() as (guard, _, clock):
            _, reading, _ = await start(guard, output_tokens=600)
            refused = Inbox()
            await guard.grant(request(entry_id="entry-2"), refused)
            assert refused.last().kind == "exists" and not refused.last().not_run
            second, inbox = await attach(guard)
            assert not any(isinstance(r, ttypes.Grant) for r in inbox.replies)
            reading.cancel()
            clock.ahead_s += LIMITS.lease_s + 1
            await until(lambda: any(isinstance(r, ttypes.Grant) for r in inbox.replies))
            assert guard.ledger.holdings.of_request("r").entry_id == "entry-2"
            await second
            assert "".join(inbox.tokens) == expected_text(600)

    asyncio.run(main())


def test_reused_key_with_a_different_body_is_denied():
    async def main():
        async with guarded() as (guard, _, _):
            # The key is denied while the first request holds a grant and while it runs.
            await start(guard)
            for entry_id in ("entry-1", "entry-2"):
                await assert_key_is_denied(guard, entry_id)
            await until(lambda: guard.runs.live())
            await assert_key_is_denied(guard, "entry-2")

    asyncio.run(main())


async def assert_key_is_denied(guard, entry_id):
    refused = Inbox()
    await guard.grant(request(entry_id=entry_id, fingerprint=2), refused)
    assert isinstance(refused.last(), ttypes.Denial), refused.last()
    assert refused.last().kind == "idempotency_key_reused"
    assert refused.last().not_run


@pytest.mark.parametrize("is_attached", [True, False])
def test_restarted_agent_adopts_streams_that_the_engine_holds(is_attached):
    async def main():
        clock = Clock()
        async with running_engine(OPTIONS) as engine:
            async with watching(make_guard(engine.url, clock)) as guard:
                _, reading, first = await start(guard, output_tokens=600)
                await until(lambda: len(first.tokens) > 5)
                reading.cancel()
            assert kv_used_tokens_of(engine)
            async with watching(make_guard(engine.url, clock, "b")) as guard:
                assert guard.ledger.usage.kv_tokens == kv_used_tokens_of(engine)
                if is_attached:
                    second, inbox = await attach(guard, 5, "entry-1")
                    await second
                    assert "".join(first.tokens[:5] + inbox.tokens) == expected_text(
                        600
                    )
                else:
                    clock.ahead_s += LIMITS.attach_grace_s + 1
                    await until(lambda: not guard.ledger.usage.kv_tokens)
                assert kv_used_tokens_of(engine) == 0

    asyncio.run(main())


def test_engine_death_fails_running_streams_and_frees_their_kv_cache():
    deaths = Deaths()

    async def main():
        async with guarded(deaths=deaths) as (guard, engine, _):
            starts = [
                await start(guard, name, output_tokens=5_000, fingerprint=fingerprint)
                for name, fingerprint in (("r", 1), ("s", 2))
            ]
            await until(lambda: len(engine.state.core.running) == 2)
            boot_id = guard.monitor.boot_id
            await inject_faults(engine, die=True)
            for _, reading, inbox in starts:
                await reading
                assert inbox.last().endpoint_died and not inbox.last().sole_request
            assert [(b, sorted(p)) for b, p in deaths.seen] == [(boot_id, [1, 2])]
            await until(lambda: guard.monitor.boot_id not in ("", boot_id))
            assert not guard.ledger.usage.kv_tokens
            assert not deaths.completed

    asyncio.run(main())


def test_cold_engine_is_not_loaded_beyond_its_capacity():
    cold = attrs.evolve(OPTIONS, start_cold=True, warm_work=4, cold_slow_factor=1.0)

    async def main():
        async with guarded(cold) as (guard, engine, _):
            work = [run_until_complete(guard, f"r{number}") for number in range(24)]
            await asyncio.gather(*work)
            assert engine.state.deaths == 0
            assert engine.state.core.cold is False

    async def run_until_complete(guard, name):
        while True:
            inbox = Inbox()
            await guard.grant(request(name), inbox)
            grant = inbox.last()
            if isinstance(grant, ttypes.Grant):
                break
            assert grant.not_run and grant.retry_after_ms > 0
            await asyncio.sleep(0.01)
        submit = ttypes.Submit(
            grant_id=grant.grant_id,
            request_id=name,
            prompt=name,
            output_tokens=20,
            delivered=[],
            group_endpoints=[],
            model=MODEL,
        )
        inbox = Inbox()
        await guard.submit(submit, inbox)
        if not isinstance(inbox.last(), ttypes.StreamEnd):
            assert inbox.last().not_run
            await run_until_complete(guard, name)
            return
        assert "".join(inbox.tokens) == answer_text(name, 20)

    asyncio.run(main())


def test_draining_lets_short_streams_finish_and_hands_back_the_rest():
    async def main():
        async with guarded() as (guard, engine, _):
            _, short, inbox = await start(guard, "r", output_tokens=20)
            _, endless, moved = await start(guard, "s", output_tokens=5_000)
            await short
            await guard.drain(0.05)
            await endless
            assert "".join(inbox.tokens) == expected_text(20)
            assert moved.last().kind == "moved" and not moved.last().endpoint_died
            refused = Inbox()
            await guard.grant(request("t"), refused)
            assert refused.last().kind == "leaving" and refused.last().not_run
            await until(lambda: kv_used_tokens_of(engine) == 0)

    asyncio.run(main())
