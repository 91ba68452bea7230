"""Requests through a gateway: what callers receive and what endpoints are sent.

The name of each test states the guarantee that it checks.
"""

import asyncio
import time

import pytest

from tests.platform.fleet import (
    configuration,
    read_answer,
    route,
    run_with_fleet,
    until,
)
from tests.platform.real_gateway import head
from tests.platform.standins import (
    SIGNATURE,
    answer_bytes,
    declines,
    echo_headers,
    hangs,
    in_sequence,
    reset,
    resets,
    whole,
)

# Complete answers


def test_an_answer_is_relayed_unchanged_with_its_signature():
    async def main(fleet):
        endpoint = await fleet.add(whole(body=b"calendar"), service="app")
        answer = await fleet.fetch("/look/7?day=1", request_id="r-1")
        assert (answer.status, answer.body) == (200, b"calendar")
        assert answer.headers["x-response-stamp"] == SIGNATURE[1]
        assert answer.headers["x-attempt-id"] == "r-1"
        seen = endpoint.requests[0]
        assert (seen.method, seen.target) == ("GET", "/look/7?day=1")
        assert seen.headers["x-tenant"] == "tenant-1"
        assert seen.headers["x-expect-instance"] == endpoint.endpoint_id
        assert "authorization" not in seen.headers
        assert 0 < int(seen.headers["x-deadline-ms"]) <= 2000

    run_with_fleet(main)


def test_internal_headers_of_a_caller_are_replaced_or_dropped():
    async def main(fleet):
        endpoint = await fleet.add(whole(), service="app")
        await fleet.fetch(
            headers=[("X-Tenant", "another"), ("X-Helpers", "10.0.0.1:1")]
        )
        assert endpoint.requests[0].headers["x-tenant"] == "tenant-1"
        assert "x-helpers" not in endpoint.requests[0].headers

    run_with_fleet(main)


def test_a_chunked_request_body_is_forwarded_completely():
    async def main(fleet):
        endpoint = await fleet.add(whole(), service="app")
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.front_port)
        writer.write(
            b"POST /once/1 HTTP/1.1\r\nHost: example.test\r\nX-Attempt-Id: c1\r\n"
            b"Authorization: Token key-1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        assert (await read_answer(reader, writer)).status == 200
        assert endpoint.requests[0].body == b"abcde"

    run_with_fleet(main)


@pytest.mark.parametrize(
    "raw",
    [
        pytest.param(b"no answer at all\r\n\r\n", id="garbled"),
        pytest.param(answer_bytes(200, [SIGNATURE], b"half")[:-2], id="truncated"),
        pytest.param(answer_bytes(200, [], b"unsigned"), id="unsigned"),
        pytest.param(
            answer_bytes(200, [SIGNATURE, ("X-Attempt-Id", "other")], b"late"),
            id="another request's",
        ),
        pytest.param(
            answer_bytes(200, [SIGNATURE, ("Content-Encoding", "gzip")], b"x"),
            id="encoded",
        ),
    ],
)
def test_an_invalid_answer_never_reaches_the_caller(raw):
    async def spoiled(received, writer):
        writer.write(raw)
        await writer.drain()

    async def main(fleet):
        endpoint = await fleet.add(spoiled, service="app")
        answer = await fleet.fetch("/once/1", "POST", b"deposit")
        assert answer.status == 502
        assert "x-response-stamp" not in answer.headers
        assert len(endpoint.requests) == 1

    run_with_fleet(main)


def test_bytes_after_an_answer_are_not_used_for_other_requests():
    async def twice(received, writer):
        answer = answer_bytes(200, echo_headers(received), b"first")
        writer.write(answer + answer_bytes(200, [SIGNATURE], b"second"))
        await writer.drain()

    async def main(fleet):
        await fleet.add(twice, service="app")
        answers = [await fleet.fetch() for _ in range(3)]
        assert [answer.body for answer in answers] == [b"first"] * 3

    run_with_fleet(main)


def test_an_answer_without_a_length_is_complete_when_its_connection_closes():
    async def unframed(received, writer):
        writer.write(answer_bytes(200, echo_headers(received), length=False))
        writer.write(b"to the end")
        await writer.drain()

    async def main(fleet):
        await fleet.add(unframed, service="app")
        answer = await fleet.fetch()
        assert (answer.body, answer.is_complete) == (b"to the end", True)

    run_with_fleet(main)


def test_an_answer_without_a_length_whose_connection_is_reset_is_incomplete():
    async def cut(received, writer):
        writer.write(answer_bytes(200, echo_headers(received), length=False))
        writer.write(b"to the")
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)

    async def main(fleet):
        await fleet.add(cut, service="app")
        assert (await fleet.fetch("/once/1", "POST", b"x")).status == 502

    run_with_fleet(main)


# At-most-once execution


@pytest.mark.parametrize("script", [resets(), whole(status=500)])
def test_a_call_that_may_have_run_is_not_sent_again(script):
    async def main(fleet):
        endpoints = [await fleet.add(script, service="app") for _ in range(3)]
        answer = await fleet.fetch("/once/1", "POST", b"deposit")
        assert answer.status in (500, 502)
        assert sum(len(one.requests) for one in endpoints) == 1

    run_with_fleet(main)


def test_a_call_that_times_out_at_an_endpoint_gets_504_not_503():
    async def main(fleet):
        await fleet.add(hangs(), service="app")
        answer = await fleet.fetch("/once/1", "POST", b"deposit", wait_ms=300)
        assert answer.status == 504
        assert answer.took_s < 0.6

    run_with_fleet(main)


def test_a_declined_call_is_sent_to_another_endpoint():
    async def main(fleet):
        for _ in range(2):
            await fleet.add(declines(), service="app")
        await fleet.add(whole(), service="app")
        assert (await fleet.fetch("/once/1", "POST", b"deposit")).status == 200

    run_with_fleet(main)


def test_a_call_declined_by_all_endpoints_gets_503_with_retry_after():
    async def main(fleet):
        await fleet.add(declines(), service="app")
        answer = await fleet.fetch("/once/1", "POST", b"deposit")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0

    run_with_fleet(main)


def test_an_idempotent_call_runs_on_no_more_endpoints_than_its_route_allows():
    async def main(fleet):
        endpoints = [await fleet.add(resets(), service="app") for _ in range(4)]
        assert (await fleet.fetch()).status == 502
        assert sum(len(one.requests) for one in endpoints) == 2

    run_with_fleet(main)


def test_an_endpoint_at_a_reused_address_does_not_run_the_request():
    async def main(fleet):
        endpoint = await fleet.add(whole(), service="app")
        endpoint.endpoint_id = "i-new"  # the address now belongs to another endpoint
        answer = await fleet.fetch("/once/1", "POST", b"deposit")
        assert answer.status == 503

    run_with_fleet(main)


# Callers that disconnect, and deadlines


def test_a_request_without_any_time_left_is_not_sent():
    # A deadline of 0 counted as none: endpoints got the whole time of the route.
    async def main(fleet):
        endpoint = await fleet.add(whole(), service="app")
        answer = await fleet.fetch(wait_ms=0)
        assert answer.status in (503, 504)
        assert not endpoint.requests

    run_with_fleet(main)


@pytest.mark.parametrize("path", ["/stream/1", "/look/1", "/once/1"])
def test_a_caller_that_disconnects_cancels_its_request(path):
    async def main(fleet):
        service = "llm" if "stream" in path else "app"
        endpoint = await fleet.add(hangs(), service=service)
        _, writer = await fleet.send(path, "POST", b"x")
        await until(lambda: endpoint.requests)
        writer.close()
        left_s = time.monotonic()
        await until(lambda: endpoint.left)
        assert time.monotonic() - left_s < 0.4

    run_with_fleet(main)


def test_a_request_ends_at_the_timeout_of_its_route():
    only = [route("look", "idempotent", "app", timeout_ms=300)]

    async def main(fleet):
        endpoint = await fleet.add(hangs(), service="app")
        answer = await fleet.fetch(wait_ms=5000)
        assert answer.status == 504
        assert answer.took_s < 0.6
        assert int(endpoint.requests[0].headers["x-deadline-ms"]) <= 300

    run_with_fleet(main, first=configuration(routes=only))


def test_a_second_attempt_is_sent_the_remaining_time():
    async def slow_reset(received, writer):
        await asyncio.sleep(0.4)
        reset(writer)

    async def main(fleet):
        script = in_sequence(slow_reset, whole())
        for _ in range(2):
            await fleet.add(script, service="app")
        assert (await fleet.fetch(wait_ms=1500)).status == 200
        times = [
            int(one.headers["x-deadline-ms"])
            for endpoint in fleet.endpoints
            for one in endpoint.requests
        ]
        assert max(times) - min(times) >= 390

    run_with_fleet(main)


# Refusals


def refuses_another(status, extra=()):
    """Refuse, with the id of a request that was refused earlier."""

    async def script(received, writer):
        earlier = ("X-Attempt-Id", "earlier")
        await declines(status, [earlier, *extra])(received, writer)

    return script


@pytest.mark.parametrize("status", [503, 429, 421, 400])
def test_the_refusal_of_another_request_does_not_say_that_this_one_has_not_run(status):
    # A faulty worker wrote an earlier refusal once more.
    async def main(fleet):
        for _ in range(3):
            await fleet.add(refuses_another(status), service="app")
        answer = await fleet.fetch("/once/1", "POST", b"deposit")
        assert answer.status == 502
        assert "retry-after" not in answer.headers
        assert sum(len(one.requests) for one in fleet.endpoints) == 1

    run_with_fleet(main)


def test_the_refusal_of_another_request_asks_for_no_pause():
    async def main(fleet):
        scripts = refuses_another(503, [("Retry-After", "5"), ("Server-Limit", "1")])
        await fleet.add(scripts, service="app")
        await fleet.fetch()
        now_s = asyncio.get_running_loop().time()
        assert fleet.state.dump(now_s)["pauses"] == {}
        assert fleet.state.named_limits.limited() == {}

    run_with_fleet(main)


@pytest.mark.parametrize("ids", [True, False], ids=["with its id", "without one"])
def test_a_refusal_is_never_taken_for_the_answer_to_the_next_request(ids):
    # Connections that are kept would have to keep to this, too.
    async def main(fleet):
        async def answers_and_refuses(received, writer):
            await whole()(received, writer)
            extra = [("X-Attempt-Id", received.headers["x-attempt-id"])] if ids else []
            await declines(503, extra)(received, writer)

        endpoint = await fleet.add(answers_and_refuses, service="app")
        for _ in range(3):
            assert (await fleet.fetch("/once/1", "POST", b"deposit")).status == 200
        assert len(endpoint.requests) == 3

    run_with_fleet(main)


# Keys and routes


def test_unknown_keys_and_paths_are_refused_before_anything_runs():
    async def main(fleet):
        endpoint = await fleet.add(whole(), service="app")
        assert (await fleet.fetch(key="wrong")).status == 401
        assert (await fleet.fetch(key=None)).status == 401
        assert (await fleet.fetch("/nowhere/1")).status == 404
        assert not endpoint.requests

    run_with_fleet(main)


def test_a_public_route_needs_no_key():
    only = [route("look", "idempotent", "app", public=True)]

    async def main(fleet):
        endpoint = await fleet.add(whole(), service="app")
        assert (await fleet.fetch(key=None)).status == 200
        assert "x-tenant" not in endpoint.requests[0].headers

    run_with_fleet(main, first=configuration(routes=only))


def test_a_revoked_key_stops_the_retry_of_a_request():
    async def slow_reset(received, writer):
        await asyncio.sleep(0.5)
        reset(writer)

    async def main(fleet):
        for _ in range(2):
            await fleet.add(slow_reset, service="app")
        asking = asyncio.ensure_future(fleet.fetch())
        await until(lambda: any(one.requests for one in fleet.endpoints))
        await fleet.configure(configuration(2, keys=["other"]))
        assert (await asking).status in (502, 503)
        assert sum(len(one.requests) for one in fleet.endpoints) == 1

    run_with_fleet(main)


def test_refused_connections_do_not_consume_the_retry_budget():
    # After the loss of a failure domain, 29 refused connections consumed the budget
    # that broken streams needed to resume. Seen on kasparek-hoist trouble-1.
    async def main(fleet):
        for _ in range(3):
            endpoint = await fleet.add(whole(), service="app")
            await endpoint.stop()
        await fleet.add(whole(), service="app")
        fleet.state.retries.budget("app").set_slack(0.0, 0.0, 0.0)
        assert (await fleet.fetch()).status == 200

    run_with_fleet(main)


def test_a_retry_that_waits_for_an_endpoint_is_charged_when_it_is_sent():
    # Retries that had waited arrived together with those of the next window: BUDGET.
    async def main(fleet):
        answers = asyncio.Event()

        async def busy(received, writer):
            await answers.wait()
            await whole()(received, writer)

        await fleet.add(busy, service="app", capacity=1)
        first = asyncio.ensure_future(fleet.fetch())
        await until(lambda: fleet.endpoints[0].requests)
        declining = await fleet.add(declines(), service="app")
        budget = fleet.state.retries.budget("app")
        budget.set_slack(2.0, 0.0, 0.0)
        waiting = asyncio.ensure_future(fleet.fetch())
        leaving = asyncio.ensure_future(fleet.fetch(wait_ms=120))
        await until(lambda: budget.dump()["reserved"] == 2)
        assert (await leaving).status == 503
        assert budget.dump()["reserved"] == 1
        assert budget.dump()["balance"] == 2.0
        answers.set()
        assert (await first).status == (await waiting).status == 200
        assert budget.dump()["reserved"] == 0
        assert budget.dump()["balance"] == 1.0
        assert len(declining.requests) == 2

    run_with_fleet(main)


# Poison requests


def test_a_poison_request_running_alone_is_refused_after_two_deaths():
    async def main(fleet):
        def crash(endpoint):
            async def script(received, writer):
                await endpoint.stop()

            return script

        async def poison():
            return await fleet.fetch("/once/1", "POST", b"poison")

        for _ in range(2):
            endpoint = await fleet.add(whole(), service="app")
            endpoint.scripts = [crash(endpoint)]
            assert (await poison()).status == 502
            fleet.store.put("keyed.servers", endpoint.endpoint_id, None)
            await until(
                lambda: not fleet.state.directory.usable("app", time.monotonic())
            )
        sound = await fleet.add(whole(), service="app")
        refused = await poison()
        assert refused.status == 503
        assert b"endpoints died" in refused.body
        assert float(refused.headers["retry-after"]) > 1.0
        assert (await fleet.fetch("/once/1", "POST", b"other")).status == 200
        assert len(sound.requests) == 1

    run_with_fleet(main)


def test_a_fault_of_an_endpoint_is_reported_to_other_gateways_and_fullness_is_not():
    async def main(fleet):
        await fleet.add(
            declines(extra=[("Retry-After", "1")]), service="app", name="i-full"
        )
        await fleet.fetch()
        assert "i-full" not in fleet.state.faults.worst(9, time.monotonic())
        await fleet.endpoints[0].stop()
        await until(lambda: not fleet.state.pauses.dump(time.monotonic()))
        await fleet.fetch()
        assert "i-full" in fleet.state.faults.worst(9, time.monotonic())

    run_with_fleet(main)


@pytest.mark.parametrize(
    ("step", "status"), (("endpoint_headers", 503), ("caller_headers", 502))
)
def test_an_error_of_the_gateway_itself_is_answered(monkeypatch, step, status):
    def fails(*arguments):
        raise ValueError("unexpected")

    async def main(fleet):
        endpoint = await fleet.add(whole(), service="app")
        monkeypatch.setattr(type(fleet.gateway.dialect), step, fails)
        answer = await fleet.fetch("/once/1", "POST")
        assert (answer.status, answer.is_complete) == (status, True)
        assert len(endpoint.requests) == (status == 502)

    run_with_fleet(main)


def test_a_request_is_refused_when_its_key_is_revoked_while_its_body_arrives():
    async def main(fleet):
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.front_port)
        writer.write(head("/once/1", "POST", extra=["Content-Length: 9"]) + b"12345")
        await asyncio.sleep(0.1)
        await fleet.configure(configuration(2, keys=()))
        async with asyncio.timeout(0.5):
            assert (await read_answer(reader, writer)).status == 401

    run_with_fleet(main)
