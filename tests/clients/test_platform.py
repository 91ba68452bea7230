"""Tests of the log, host list and weight store clients with injected faults."""

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.web import Application, RequestHandler

from sorrelhoist.clients.engine import EngineClient
from sorrelhoist.clients.exceptions import (
    AppendOutcomeUnknownError,
    EngineUnreachableError,
    LogRateLimitedError,
    OffsetExpiredError,
    ServiceNotReachedError,
    WeightsRateLimitedError,
)
from sorrelhoist.clients.hosts import HostListClient, PlatformHost
from sorrelhoist.clients.http import fetch, json_request
from sorrelhoist.clients.log import Appended, LogClient
from sorrelhoist.clients.plain_service import PlainServiceClient
from sorrelhoist.clients.weights import Weights, WeightStoreClient
from sorrelhoist.exceptions import LogUnavailableError, PlatformError
from sorrelhoist.standins.platform import PlatformOptions
from sorrelhoist.standins.server import RestartableServer
from sorrelhoist.standins.testing import running_platform
from tests.standins.support import inject_faults, until, wait_until_stable

OPEN = PlatformOptions(appends_per_s=0.0, hosts_lag_s=0.0, weights_load_s=0.0)


def run(test, options=OPEN, request_timeout_s=10.0):
    async def main():
        async with running_platform(options) as platform:
            client = LogClient(platform.url, "claims.bookings", request_timeout_s)
            await test(platform, client)
        assert await wait_until_stable(lambda: len(asyncio.all_tasks())) == 1

    asyncio.run(main())


def test_append_and_read_by_offset():
    async def test(platform, log):
        assert await log.append(["a", "b"]) == Appended(1, 3)
        assert await log.append(["č"]) == Appended(3, 4)
        page = await log.read(2, limit=1)
        assert [(one.offset, one.value) for one in page.records] == [(2, "b")]
        assert (page.first_offset, page.next_offset) == (1, 4)
        assert page.records[0].age_s >= 0.0
        other = LogClient(platform.url, "registrations")
        assert (await other.read(1)).next_offset == 1

    run(test)


@pytest.mark.parametrize(
    ("faults", "error", "appended"),
    [
        ({"outage_s": 3600.0}, LogUnavailableError, 0),
        ({"appends_per_s": 0.001}, LogRateLimitedError, 1),
        ({"lose_append_answer_count": 1}, AppendOutcomeUnknownError, 1),
        ({"slow_s": 0.2}, AppendOutcomeUnknownError, 1),
    ],
)
def test_append_error_tells_whether_it_took_effect(faults, error, appended):
    async def test(platform, log):
        await inject_faults(platform, **faults)
        with pytest.raises(error) as caught:
            for _ in range(2):
                await log.append(["a"])
        unknown = error is AppendOutcomeUnknownError
        assert type(caught.value) is error
        assert caught.value.not_run != unknown
        await until(lambda: platform.state.logs[log.topic].next_offset == 1 + appended)
        await inject_faults(platform, outage_s=0.0, slow_s=0.0)
        assert len((await log.read(1)).records) == appended

    run(test, request_timeout_s=0.1)


def test_append_without_a_server_is_known_not_to_have_run():
    async def test(platform, log):
        platform.server.die()
        for call in (log.append(["a"]), log.read(1)):
            with pytest.raises(LogUnavailableError) as caught:
                await call
            assert not isinstance(caught.value, AppendOutcomeUnknownError)

    run(test)


@pytest.mark.parametrize("ended_by", ["append", "outage"])
def test_long_poll_ends_with_a_record_or_an_outage(ended_by):
    async def test(platform, log):
        read = asyncio.create_task(log.read(1, wait_s=3600.0))
        await until(lambda: platform.state._changed._waiters)
        if ended_by == "append":
            await log.append(["a"])
            assert (await read).records[0].value == "a"
            return
        await inject_faults(platform, outage_s=3600.0)
        with pytest.raises(LogUnavailableError):
            await read

    run(test)


def test_stopping_the_server_ends_a_long_poll():
    async def test(platform, log):
        read = asyncio.create_task(log.read(1, wait_s=3600.0))
        await until(lambda: platform.state._changed._waiters)
        await platform.state.stop()
        with pytest.raises(LogUnavailableError):
            await read

    run(test)


def test_long_poll_without_a_record_returns_an_empty_page():
    async def test(platform, log):
        assert (await log.read(1, wait_s=0.01)).records == ()

    run(test)


def test_expired_offset_error_names_the_oldest_retained_offset():
    async def test(platform, log):
        await log.append(["a", "b"])
        platform.state.logs[log.topic].expire(platform.state.now_s())
        with pytest.raises(OffsetExpiredError) as caught:
            await log.read(2)
        assert caught.value.first_offset == 3
        assert (await log.read(3)).records == ()
        await inject_faults(platform, retention_s=1e-9)
        await log.append(["c"])
        with pytest.raises(OffsetExpiredError):
            await log.read(3)

    run(test)


@given(st.lists(st.sampled_from(["append", "lose", "rate"]), max_size=12))
def test_fuzz_appends_without_a_response_are_found_by_reading(steps):
    async def test(platform, log):
        expected = []
        for index, step in enumerate(steps):
            lost = int(step == "lose")
            rate = 1e-9 if step == "rate" else 0.0
            await inject_faults(
                platform, lose_append_answer_count=lost, appends_per_s=rate
            )
            if step == "rate":
                platform.state.append_rate.take(platform.state.now_s())
            try:
                offset = (await log.append([str(index)])).first_offset
                assert (await log.read(offset)).records[0].value == str(index)
            except LogRateLimitedError:
                continue
            except AppendOutcomeUnknownError:
                assert lost
            expected.append(str(index))
        assert [one.value for one in (await log.read(1)).records] == expected

    run(test)


def test_host_list_lags_behind_registrations():
    async def test(platform, log):
        hosts = HostListClient(platform.url)
        entry = {
            "address": "127.0.0.1",
            "peer_port": 7000,
            "failure_domain": "praha-a",
            "role": "agent",
        }
        url = f"{platform.url}/v1/hosts/h1"
        await fetch(json_request("PUT", url, entry))
        live = PlatformHost(host="h1", state="live", **entry)
        assert await hosts.fetch() == [live]
        await inject_faults(platform, hosts_lag_s=3600.0)
        await fetch(json_request("PUT", url, {**entry, "state": "leaving"}))
        assert await hosts.fetch() == [live]
        await inject_faults(platform, hosts_lag_s=0.0)
        assert (await hosts.fetch())[0].state == "leaving"
        await fetch(json_request("DELETE", url))
        assert await hosts.fetch() == []

    run(test)


def test_weight_store_over_its_rate_raises_with_retry_after():
    async def test(platform, log):
        store = WeightStoreClient(platform.url)
        size_bytes = OPEN.weights_bytes
        assert await store.load("m", "3") == Weights("m", "3", size_bytes)
        with pytest.raises(WeightsRateLimitedError) as caught:
            await store.load("m", "3")
        assert 0 < caught.value.retry_after_s <= 1
        await inject_faults(platform, outage_s=3600.0)
        with pytest.raises(PlatformError):
            await store.load("m", "3")

    run(test)


CALLS = [
    (lambda url: LogClient(url, "t").append(["a"]), AppendOutcomeUnknownError),
    (lambda url: LogClient(url, "t").read(1), LogUnavailableError),
    (lambda url: HostListClient(url).fetch(), PlatformError),
    (lambda url: WeightStoreClient(url).load("m", "3"), PlatformError),
    (lambda url: EngineClient(url).status(), EngineUnreachableError),
    (lambda url: EngineClient(url).cancel("s"), EngineUnreachableError),
    (lambda url: PlainServiceClient(url).status(), ServiceNotReachedError),
]


@pytest.mark.parametrize(("call", "error"), CALLS)
@pytest.mark.parametrize("status", [200, 302, 500])
@pytest.mark.parametrize("body", ["", "[]", "nonsense", json.dumps({"x": 1})])
def test_malformed_response_raises_a_typed_error(call, error, status, body):
    class FixedResponse(RequestHandler):
        def get(self):
            self.set_status(status)
            self.finish(body)

        post = delete = get

    async def main():
        routes = Application(
            [(r"/.*", FixedResponse)], log_function=lambda handler: None
        )
        server = RestartableServer(routes, 0, "127.0.0.1")
        try:
            with pytest.raises(error) as caught:
                await call(server.url)
        finally:
            await server.stop()
        assert error is LogUnavailableError or type(caught.value) is error

    asyncio.run(main())
