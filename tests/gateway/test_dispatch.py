"""Load that a placement adds, so that the next placement takes it into account."""

import asyncio
import random

import attrs
import pytest
from tornado.httputil import HTTPHeaders

from sorrelhoist.decisions.directory import Endpoint
from sorrelhoist.decisions.placement.demand import Assignment, Busy
from sorrelhoist.decisions.routes import (
    EngineCosts,
    Repeat,
    Route,
    RouteTable,
    ServiceConfig,
    Target,
)
from sorrelhoist.decisions.store_contact import StoreContact
from sorrelhoist.gateway.dispatch import (
    RETRY_INTERVAL_S,
    Dispatcher,
    PlacementRequest,
)
from sorrelhoist.gateway.ports import CallerRequest, PromptSize
from sorrelhoist.gateway.state import GatewayState
from tests.virtual_loop import run_virtual

COSTS = EngineCosts(
    max_running=8,
    kv_capacity_tokens=405_000,
    tokens_per_event=34,
    step_ms=1.31,
    prefill_tokens_per_s=154_000.0,
    pair_ms_per_million=0.162,
    hop_ms=0.1,
)
READING = Route(
    name="reading",
    host="h",
    path_prefix="/",
    targets=(Target("llm", 1.0),),
    repeat=Repeat.RESUMABLE,
    is_stream=True,
    objective_s=3.0,
    pause_s=0.6,
)
NOW_S = 100.0


def dispatcher(engines, seed=1):
    state = GatewayState(
        node_id="g",
        failure_domain="a",
        contact=StoreContact(revoke_s=5.0),
        rng=random.Random(seed),
    )
    state.adopt(
        RouteTable(
            version=1,
            routes={("h", "/"): READING},
            services={"llm": ServiceConfig(name="llm", engine=COSTS)},
        )
    )
    endpoints = [
        Endpoint(
            endpoint_id=f"i-{number}",
            service="llm",
            address=f"10.0.0.{number}:80",
            failure_domain="a",
            capacity=8,
        )
        for number in range(engines)
    ]
    for one in endpoints:
        state.directory.put(one, NOW_S)
    return state, Dispatcher(state)


def placement_request(request_id, prompt_tokens):
    request = CallerRequest(
        request_id=request_id,
        method="POST",
        path="/",
        host="h",
        headers=HTTPHeaders(),
        size=PromptSize(prompt_tokens=prompt_tokens, output_tokens=1000),
    )
    return PlacementRequest(
        request=request,
        route=READING,
        service="llm",
        objective_due_s=NOW_S + 3.0,
        deadline_s=NOW_S + 15.0,
    )


def test_kv_cache_of_tickets_is_counted_at_the_endpoints_that_hold_it():
    state, dispatch = dispatcher(engines=17)
    found = asyncio.run(dispatch.place(placement_request("r1", 900_000), NOW_S))
    assert isinstance(found, Assignment)
    assert len(found.tickets) == 3
    held = {ticket.endpoint.address: ticket.tokens for ticket in found.tickets}
    uses = {use.address: use.kv_tokens for use in state.loads.own_uses()}
    assert {address: uses[address] for address in held} == held
    # The endpoint that answers holds no part of the prompt.
    assert uses[found.first.address] == 1000


@pytest.mark.parametrize("seed", range(5))
def test_two_concurrent_large_prompts_reserve_different_endpoints(seed):
    # The second prompt got tickets at endpoints where the first already held some. They
    # were declined, and an endpoint that was only full was taken for a broken one.
    state, dispatch = dispatcher(engines=17, seed=seed)

    async def place_both():
        first = await dispatch.place(placement_request("r1", 900_000), NOW_S)
        state.loads.prefill_completed("r1")
        return [first, await dispatch.place(placement_request("r2", 900_000), NOW_S)]

    found = asyncio.run(place_both())
    held = [ticket.endpoint.endpoint_id for place in found for ticket in place.tickets]
    assert len(held) == len(set(held)) == 6


# Cold starts

COLD_REQUESTS_PER_S = 6.0


def in_virtual_time(acquire, engines=4, prompt_tokens=200_000):
    """Place a long prompt where memory is granted as `acquire` says."""

    async def main():
        now_s = asyncio.get_running_loop().time()
        state, dispatch = dispatcher(engines)
        state.acquire_memory = acquire
        request = attrs.evolve(
            placement_request("r1", prompt_tokens),
            objective_due_s=now_s + 3.0,
            deadline_s=now_s + 15.0,
        )
        found = await dispatch.place(request, now_s)
        return found, asyncio.get_running_loop().time() - now_s, state

    return run_virtual(main())


def test_a_prompt_goes_where_its_memory_is_granted():
    asked = []

    async def acquire(address, tokens, limit_tokens):
        assert tokens == 201_000 and tokens <= limit_tokens
        asked.append(address)
        return len(asked) == 3

    found, _, state = in_virtual_time(acquire)
    assert found.first.address == asked[-1] and len(set(asked)) == 3
    held = [use.address for use in state.loads.own_uses() if use.kv_tokens]
    assert held == [found.first.address]


def test_the_only_engine_is_asked_again_after_it_was_denied():
    asked = []

    async def acquire(address, tokens, limit_tokens):
        asked.append(address)
        return len(asked) == 3

    found, waited_s, _ = in_virtual_time(acquire, engines=1, prompt_tokens=60_000)
    assert isinstance(found, Assignment) and len(asked) == 3
    assert waited_s <= 0.1


def test_a_prompt_whose_memory_is_granted_nowhere_is_refused_when_its_time_is_over():
    async def acquire(address, tokens, limit_tokens):
        await asyncio.sleep(0.25)
        return False

    found, waited_s, state = in_virtual_time(acquire)
    assert isinstance(found, Busy)
    assert waited_s <= 3.0
    assert not state.loads.own_uses()


@pytest.mark.parametrize("engines", [1, 2, 3, 8])
def test_a_gateway_that_denies_memory_itself_goes_on_with_its_other_work(engines):
    # Cut off from the others, it grants all memory, and its answers take no time: it
    # tried one engine after the other without end in cartog-cut on pryce-mapiau-grown.
    asked = []

    async def acquire(address, tokens, limit_tokens):
        asked.append(address)
        assert len(asked) < 10_000
        return False

    found, waited_s, state = in_virtual_time(acquire, engines)
    assert isinstance(found, Busy)
    assert waited_s <= 3.0
    assert len(asked) <= waited_s / RETRY_INTERVAL_S + 3
    assert not state.loads.own_uses()


def test_a_caller_that_leaves_while_memory_is_asked_for_leaves_no_load():
    async def acquire(address, tokens, limit_tokens):
        assert state.loads.own_uses()
        await asyncio.sleep(10.0)

    async def main():
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(1.0):
                await dispatch.place(placement_request("r1", 200_000), NOW_S)

    state, dispatch = dispatcher(engines=4)
    state.acquire_memory = acquire
    run_virtual(main())
    assert not state.loads.own_uses()


def test_a_permit_that_was_used_while_memory_was_asked_for_is_not_used_twice():
    asked = []

    async def acquire(address, tokens, limit_tokens):
        asked.append(address)
        state.named_limits.observe(f"i-{address.split('.')[-1][:-3]}", 1.0, 1000.0)
        return True

    async def main():
        request = attrs.evolve(
            placement_request("r1", 200_000), objective_due_s=1003.0, deadline_s=1015.0
        )
        return await dispatch.place(request, 1000.0)

    state, dispatch = dispatcher(engines=1)
    state.acquire_memory = acquire
    assert isinstance(run_virtual(main()), Busy)
    assert len(asked) == 1
    assert not state.loads.own_uses()


def cold_dispatcher():
    """Return a dispatcher with one endpoint in a cold start and no other."""
    state, dispatch = dispatcher(engines=0)
    call = attrs.evolve(READING, targets=(Target("app", 1.0),), is_stream=False)
    app = ServiceConfig(name="app", cold_requests_per_s=COLD_REQUESTS_PER_S)
    state.adopt(RouteTable(version=2, routes={("h", "/"): call}, services={"app": app}))
    cold = Endpoint(
        endpoint_id="i-cold",
        service="app",
        address="10.0.0.1:80",
        failure_domain="a",
        capacity=100,
        cold_until_s=float("inf"),
    )
    state.directory.put(cold, NOW_S)
    return state, dispatch


def grant_permits(state, permits, now_s):
    """Grant permits for the cold endpoint, as their issuer does over a second."""
    state.permits.want("i-cold", COLD_REQUESTS_PER_S, now_s)
    (ask,) = state.permits.asks(now_s)
    assert state.permits.granted(ask.ask_id, "i-cold", permits, now_s)


def call_request(request_id, now_s):
    prompt = placement_request(request_id, 1000)
    return attrs.evolve(
        prompt,
        request=attrs.evolve(prompt.request, size=None),
        service="app",
        objective_due_s=now_s + 3.0,
        deadline_s=now_s + 15.0,
    )


def test_one_pass_of_the_queue_places_no_more_than_a_cold_endpoint_bears():
    # All queued requests were placed in one pass of the timer, before the first of
    # them was sent and counted.
    state, dispatch = cold_dispatcher()

    async def main():
        now_s = asyncio.get_running_loop().time()
        grant_permits(state, int(COLD_REQUESTS_PER_S), now_s)
        waiting = [
            asyncio.ensure_future(dispatch.place(call_request(f"r{n}", now_s), now_s))
            for n in range(40)
        ]
        await asyncio.sleep(0)
        dispatch.retry_queued()
        await asyncio.sleep(0)
        placed = [one.result() for one in waiting if one.done()]
        for one in waiting:
            one.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        return sum(isinstance(one, Assignment) for one in placed)

    assert asyncio.run(main()) == COLD_REQUESTS_PER_S


async def place_soon(dispatch, request_id):
    """Place a request if that needs no wait; else return None."""
    now_s = asyncio.get_running_loop().time()
    try:
        async with asyncio.timeout(0.001):
            return await dispatch.place(call_request(request_id, now_s), now_s)
    except TimeoutError:
        return None


def test_a_placement_that_is_not_sent_returns_its_share_of_a_cold_endpoint():
    state, dispatch = cold_dispatcher()

    async def main():
        grant_permits(state, 1, asyncio.get_running_loop().time())
        for number in range(50):
            assert await place_soon(dispatch, f"r{number}") is not None
            state.release(f"r{number}")

    asyncio.run(main())


def test_a_placement_that_was_sent_keeps_its_share_of_a_cold_endpoint():
    state, dispatch = cold_dispatcher()

    async def main():
        grant_permits(state, 3, asyncio.get_running_loop().time())
        for number in range(50):
            if await place_soon(dispatch, f"r{number}") is None:
                return number
            state.request_sent(f"r{number}")
            state.release(f"r{number}")

    assert asyncio.run(main()) == 3
