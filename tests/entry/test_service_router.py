"""Calls whose agent is lost while it has them."""

import asyncio
from contextlib import asynccontextmanager

import attrs
import pytest

from sorrelhoist.entry.service_router import ServiceRouter
from sorrelhoist.exceptions import OutcomeUnknownError, PeerError
from sorrelhoist.messages.gen import ttypes

REPLY = ttypes.ServiceReply(status=200)


@attrs.frozen
class Agent:
    node_id: str
    address: str
    peer_port: int = 1


@attrs.define
class Fleet:
    agents: list

    def service_agents(self, name):
        return self.agents


@attrs.define
class Pool:
    """Connections whose first `losses` calls are lost after they were sent."""

    losses: int
    sent: int = 0

    async def connection(self, address):
        return self

    @asynccontextmanager
    async def open(self, call):
        self.sent += 1

        async def receive():
            if self.sent <= self.losses:
                raise PeerError("lost")
            return REPLY

        yield receive


def call(losses, repeatable):
    pool = Pool(losses)
    agents = [Agent(f"a-{number}", f"10.0.0.{number}") for number in range(5)]
    router = ServiceRouter(fleet=Fleet(agents), pool=pool, clock=lambda: 0.0)
    wanted = ttypes.ServiceCall(service_name="s", idempotency_key="k")

    async def main():
        return await router.call(wanted, repeatable, deadline_s=1.0)

    try:
        return asyncio.run(main()), pool.sent
    except OutcomeUnknownError as error:
        return error, pool.sent


def test_a_repeatable_call_goes_to_a_second_agent():
    assert call(losses=1, repeatable=True) == (REPLY, 2)


def test_a_repeatable_call_is_not_sent_to_a_third_agent():
    error, sent = call(losses=5, repeatable=True)
    assert isinstance(error, OutcomeUnknownError)
    assert sent == 2


@pytest.mark.parametrize("losses", [1, 5])
def test_a_call_that_may_run_once_is_sent_once(losses):
    error, sent = call(losses, repeatable=False)
    assert isinstance(error, OutcomeUnknownError)
    assert sent == 1
