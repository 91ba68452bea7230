"""An endpoint that says in its answers that it is leaving gets no new requests."""

import asyncio

import pytest

from tests.gateway.test_named_limits import (
    add_endpoint,
    run_with_gateways,
    send_calls,
)
from tests.platform.standins import (
    SIGNATURE,
    answer_bytes,
    declines,
    streams,
    whole,
)

DRAIN_S = 2.0
LEAVING = ("Server-Leaving", "1")


def stream_that_leaves():
    return streams(count=3, extra=[LEAVING])


@pytest.mark.parametrize("count", [1, 5])
@pytest.mark.parametrize(
    "script",
    [whole(extra=[LEAVING]), whole(500, extra=[LEAVING]), declines(extra=[LEAVING])],
    ids=["plain", "error", "declined"],
)
def test_an_endpoint_that_says_that_it_leaves_gets_nothing_from_any_gateway(
    script, count
):
    async def main(found):
        leaving = await add_endpoint(found, script, capacity=100)
        await add_endpoint(found, whole(), capacity=100)
        await send_calls(found, per_s=20.0, seconds=3.0)
        times_s = [one.at_s for one in leaving.requests]
        assert times_s
        # Far below the stated bound: the others hear of it by the next reports.
        assert max(times_s) - times_s[0] < DRAIN_S / 2

    run_with_gateways(count, main)


def test_the_head_of_a_stream_says_that_an_endpoint_leaves():
    async def main(found):
        leaving = await found[0].add(stream_that_leaves(), name="i-leaving")
        await found[0].add(streams(count=3), name="i-staying")
        for _ in range(20):
            assert (await found[0].stream()).is_complete
        assert len(leaving.requests) <= 1

    run_with_gateways(1, main)


def test_all_endpoints_of_a_service_leave():
    async def main(found):
        for _ in range(2):
            await add_endpoint(found, whole(extra=[LEAVING]), capacity=100)
        answers = await send_calls(found, per_s=20.0, seconds=DRAIN_S + 1.5)
        statuses = [one.status for one in answers]
        assert statuses[:10] == [200] * 10
        assert statuses[-10:] == [503] * 10
        assert all("retry-after" in one.headers for one in answers[-10:])
        assert max(one.took_s for one in answers) < 1.0

    run_with_gateways(1, main)


def test_an_endpoint_that_starts_again_under_its_id_is_used():
    async def main(found):
        endpoint = await add_endpoint(
            found, whole(extra=[LEAVING]), capacity=100, born=1000
        )
        await add_endpoint(found, whole(), capacity=100)
        await send_calls(found, per_s=20.0, seconds=1.0)
        before = len(endpoint.requests)
        endpoint.scripts = [whole()]
        found[0].register(endpoint, backend="app", capacity=100, born=2000)
        await asyncio.sleep(1.5)
        await send_calls(found, per_s=20.0, seconds=1.0)
        assert len(endpoint.requests) > before

    run_with_gateways(1, main)


def test_an_answer_to_another_request_says_nothing_of_the_endpoint():
    async def crossed(received, writer):
        headers = [SIGNATURE, ("X-Attempt-Id", "another"), LEAVING]
        writer.write(answer_bytes(200, [*headers, ("Server-Limit", "1")], b"x"))
        await writer.drain()

    async def main(found):
        endpoint = await add_endpoint(found, crossed, capacity=100)
        await found[0].fetch()
        assert endpoint.requests
        state = found[0].state
        assert state.directory.leaving_ids == set()
        assert state.named_limits.limited() == {}

    run_with_gateways(1, main)
