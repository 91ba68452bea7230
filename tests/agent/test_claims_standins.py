"""At-most-once calls through the real clients against the stand-ins."""

import asyncio
from contextlib import asynccontextmanager

import pytest
import uuid6

from sorrelhoist import exceptions as errors
from sorrelhoist.agent.claims import ClaimedCalls, ServiceOptions
from sorrelhoist.clients.log import LogClient
from sorrelhoist.clients.plain_service import PlainServiceClient
from sorrelhoist.decisions.claims_records import Claimant
from sorrelhoist.messages.gen import ttypes
from sorrelhoist.standins.plain_service import PlainServiceOptions
from sorrelhoist.standins.testing import running_plain_service, running_platform


def _call(key):
    return ttypes.ServiceCall(
        workspace="garden",
        method="POST",
        path="/deposits",
        idempotency_key=key,
        body=b"500",
        content_type="text/plain",
        budget_ms=20_000,
    )


@asynccontextmanager
async def _agent(platform, service, node_id, lookup):
    calls = ClaimedCalls(
        LogClient(platform.url, "claims.bookings"),
        PlainServiceClient(service.url),
        Claimant(node_id, "boot"),
        ServiceOptions(offers_lookup=lookup),
    )
    async with calls.running():
        await calls.wait_ready()
        yield calls


def _run(lookup, scenario):
    async def main():
        options = PlainServiceOptions(lookup=lookup)
        async with (
            running_platform() as platform,
            running_plain_service(options) as service,
            _agent(platform, service, "a", lookup) as first,
            _agent(platform, service, "b", lookup) as second,
        ):
            await scenario(platform, service, first, second)

    asyncio.run(main())


def test_lost_append_answers_do_not_run_a_key_twice():
    async def scenario(platform, service, first, second):
        platform.state.faults.lose_append_answer_count = 2
        key = str(uuid6.uuid7())
        replies = await asyncio.gather(first.call(_call(key)), second.call(_call(key)))
        assert sorted(reply.replayed for reply in replies) == [False, True]
        assert replies[0].body == replies[1].body
        assert service.state.effects == {key: 1}

    _run(False, scenario)


@pytest.mark.parametrize("lookup", [False, True])
def test_lost_service_answer_is_looked_up_or_reported_as_unknown(lookup):
    async def scenario(platform, service, first, second):
        service.state.faults.lose_answer_count = 1
        key = str(uuid6.uuid7())
        if lookup:
            reply = await first.call(_call(key))
            assert reply.status == 200 and (await second.call(_call(key))).replayed
        else:
            with pytest.raises(errors.OutcomeUnknownError) as caught:
                await first.call(_call(key))
            assert not caught.value.not_run
        assert service.state.effects == {key: 1}

    _run(lookup, scenario)


def test_unreachable_service_releases_the_key():
    async def scenario(platform, service, first, second):
        key = str(uuid6.uuid7())
        service.server.die()
        with pytest.raises(errors.EndpointFailedError) as caught:
            await first.call(_call(key))
        assert caught.value.not_run
        assert not service.state.effects
        assert first.counters.voids == 1

    _run(False, scenario)


def test_log_outage_refuses_calls_without_effect():
    async def scenario(platform, service, first, second):
        platform.state.faults.outage_until_s = float("inf")
        with pytest.raises(errors.LogUnavailableError) as caught:
            await first.call(_call(str(uuid6.uuid7())))
        assert caught.value.not_run and caught.value.retry_after_s
        assert not service.state.effects

    _run(False, scenario)
