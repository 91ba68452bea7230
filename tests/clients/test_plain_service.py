"""Tests of plain service calls: the error tells whether the call can have run."""

import asyncio
import socket

import pytest

from sorrelhoist.clients.exceptions import (
    ServiceNotReachedError,
    ServiceOutcomeUnknownError,
)
from sorrelhoist.clients.plain_service import PlainServiceClient
from sorrelhoist.standins.plain_service import PlainServiceOptions
from sorrelhoist.standins.testing import running_plain_service
from tests.standins.support import get, inject_faults, until, wait_until_stable


def call(client, key="k", timeout_s=5.0, method="POST"):
    return client.call(method, "/book", key, "w", b"{}", "application/json", timeout_s)


def run(test, options=None):
    async def main():
        async with running_plain_service(options) as service:
            await test(service, PlainServiceClient(service.url))

    asyncio.run(main())


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "PATCH", "DELETE"])
def test_call_takes_effect_exactly_once(method):
    async def test(service, client):
        reply = await call(client, method=method)
        assert (reply.status, reply.content_type) == (200, "application/json")
        assert await get(f"{service.url}/effects") == {"k": 1}
        assert service.state.answers["k"].workspace == "w"

    run(test)


@pytest.mark.parametrize(
    ("faults", "error", "effects"),
    [
        ({"die": True}, ServiceNotReachedError, 0),
        ({"die_before_effect": True}, ServiceOutcomeUnknownError, 0),
        ({"die_after_effect": True}, ServiceOutcomeUnknownError, 1),
        ({"lose_answer_count": 1}, ServiceOutcomeUnknownError, 1),
    ],
)
def test_error_tells_whether_the_call_can_have_run(faults, error, effects):
    async def test(service, client):
        await inject_faults(service, **faults)
        with pytest.raises(error) as caught:
            await call(client)
        assert caught.value.not_run == (error is ServiceNotReachedError)
        assert service.state.effects["k"] == effects

    run(test, PlainServiceOptions(restart_s=3600.0))


def test_refusal_is_returned_as_a_reply():
    async def test(service, client):
        await inject_faults(service, refuse_count=1)
        assert (await call(client)).status == 503
        assert service.state.effects["k"] == 0
        assert (await call(client)).status == 200

    run(test)


def test_timeout_leaves_the_outcome_unknown_and_the_effect_comes_later():
    async def test(service, client):
        await inject_faults(service, delay_s=0.2)
        with pytest.raises(ServiceOutcomeUnknownError):
            await call(client, timeout_s=0.05)
        await until(lambda: service.state.effects["k"] == 1)

    run(test)


def test_crash_discards_delayed_calls():
    async def test(service, client):
        await inject_faults(service, delay_s=0.05)
        waiting = asyncio.create_task(call(client, key="waiting"))
        await until(lambda: service.state.waiting_calls)
        await inject_faults(service, die=True)
        with pytest.raises(ServiceOutcomeUnknownError):
            await waiting
        # Starts later with the same delay, so the first call would end before it.
        service.server.restart()
        await call(client, key="later")
        assert service.state.effects == {"later": 1}

    run(test, PlainServiceOptions(restart_s=3600.0))


def test_timeout_while_connecting_means_nothing_was_sent():
    async def main():
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
            port = listener.getsockname()[1]
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", port))
            client = PlainServiceClient(f"http://127.0.0.1:{port}")
            with pytest.raises(ServiceNotReachedError):
                await call(client, timeout_s=0.05)
            for filler in fillers:
                filler.close()

    asyncio.run(main())


@pytest.mark.parametrize("spins", [0, 1])
def test_call_cancelled_before_it_is_connected_is_never_sent(spins):
    async def test(service, client):
        task = asyncio.create_task(call(client))
        for _ in range(spins):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert await wait_until_stable(lambda: service.state.effects["k"]) == 0

    run(test)


def test_crash_changes_the_boot_id_and_keeps_effects():
    async def test(service, client):
        await call(client)
        before = await client.status()
        await inject_faults(service, die=True)
        await service.server.wait_until_listening()
        after = await client.status()
        assert before.boot_id != after.boot_id
        assert (before.state, after.state) == ("cold", "cold")
        assert service.state.effects["k"] == 1

    run(test, PlainServiceOptions(restart_s=0.0, cold_s=3600.0))


@pytest.mark.parametrize("lookup", [True, False])
def test_lookup_returns_the_recorded_reply_if_the_service_offers_it(lookup):
    async def test(service, client):
        reply = await call(client, key="a b/č".encode().hex())
        found = await client.lookup("a b/č".encode().hex())
        assert (found.body if found else None) == (reply.body if lookup else None)
        assert await client.lookup("a b/č?") is None

    run(test, PlainServiceOptions(lookup=lookup))


def test_status_and_lookup_fail_while_the_service_is_down():
    async def test(service, client):
        await inject_faults(service, die=True)
        for read in (client.status(), client.lookup("k")):
            with pytest.raises(ServiceNotReachedError):
                await read

    run(test, PlainServiceOptions(restart_s=3600.0))
